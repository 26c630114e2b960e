"""What kept this process from its work lately, to tell why a leader and a majority lost contact."""

import time
from collections import deque

import attrs

from ..clock import Clock

CHECK_SECONDS = 0.05
"""Length of the timer that shows whether the green threads of this process run on time."""

MIN_DELAY_SECONDS = 0.05
"""Shorter delays are not kept."""

KEPT_SECONDS = 5.0
"""How long a delay is kept; contact is lost after two election timeouts at most."""


@attrs.frozen
class Delay:
    """A time in which something was waited for.

    ``processor_seconds`` is how much of it this thread had the processor: as good as all if a
    green thread did not yield, and as good as none if the process was suspended, had to wait
    for a processor, or was blocked in a call to the system.
    """

    ended_at: float
    seconds: float
    processor_seconds: float = 0.0


NO_DELAY = Delay(float("-inf"), 0.0)


class RecentDelays:
    """The delays of the last seconds."""

    def __init__(self):
        self._delays: deque[Delay] = deque()

    def record(self, delay: Delay) -> None:
        """Take a delay into account that has just ended."""
        if delay.seconds < MIN_DELAY_SECONDS:
            return
        self._delays.append(delay)
        while self._delays[0].ended_at < delay.ended_at - KEPT_SECONDS:
            self._delays.popleft()

    def longest(self, now: float) -> Delay:
        """Return the longest delay of the last seconds."""
        recent = [delay for delay in self._delays if delay.ended_at >= now - KEPT_SECONDS]
        return max(recent, key=lambda delay: delay.seconds, default=NO_DELAY)


class StandstillWatch:
    """Measures how long this process stands still: none of its green threads runs meanwhile."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._recent = RecentDelays()
        self._due_at = clock.monotonic() + CHECK_SECONDS
        self._processor_at = time.thread_time()

    def run(self) -> None:
        """Look for standstills, without end; to be called in a green thread of its own."""
        while True:
            self._due_at = self._clock.monotonic() + CHECK_SECONDS
            self._processor_at = time.thread_time()
            self._clock.sleep(CHECK_SECONDS)
            self._recent.record(self._current(self._clock.monotonic()))

    def longest(self, now: float) -> Delay:
        """Return the longest standstill of the last seconds, also if it has ended just now."""
        return max(self._recent.longest(now), self._current(now), key=lambda each: each.seconds)

    def _current(self, now: float) -> Delay:
        processor_seconds = time.thread_time() - self._processor_at
        return Delay(now, max(0.0, now - self._due_at), processor_seconds)
