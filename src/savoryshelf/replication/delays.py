"""What kept this process from its work lately, to tell why a leader and a majority lost contact."""

import time
from collections import deque
from collections.abc import Callable

import attrs

from ..clock import Clock
from ..observability.logs import log_event
from ..observability.unforeseen import UnforeseenErrors
from .activities import LongTurns

CHECK_SECONDS = 0.05
"""Length of the timer that shows whether the green threads of this process run on time."""

MIN_DELAY_SECONDS = 0.05
"""Shorter delays are not kept."""

KEPT_SECONDS = 5.0
"""How long a delay is kept; contact is lost after two election timeouts at most."""

LOGGED_STANDSTILL_SECONDS = 0.2
"""Standstills of this length are logged: no heartbeat was sent for longer than its interval."""

LOG_INTERVAL_SECONDS = 5.0
"""Shortest time between two such lines; the second tells the longest standstill since."""


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
    seconds_by_activity: dict[str, float] = attrs.field(factory=dict)
    """What the process did meanwhile, as far as it ran."""


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
    """Measures how long this process stands still: none of its green threads runs meanwhile.

    ``on_check`` is called whenever its timer ends; it must not raise.
    """

    def __init__(self, clock: Clock, on_check: Callable[[], None] | None = None):
        self._clock = clock
        self._on_check = on_check
        self._recent = RecentDelays()
        self._turns = LongTurns(clock)
        self._unlogged = NO_DELAY
        self._logged_at = float("-inf")
        self._due_at = clock.monotonic() + CHECK_SECONDS
        self._processor_at = time.thread_time()

    def run(self) -> None:
        """Look for standstills, without end; to be called in a green thread of its own."""
        errors = UnforeseenErrors("watch for standstills")
        with self._turns.watched():
            while True:
                self._due_at = self._clock.monotonic() + CHECK_SECONDS
                self._processor_at = time.thread_time()
                self._clock.sleep(CHECK_SECONDS)
                try:
                    delay = self._current(self._clock.monotonic())
                    self._recent.record(delay)
                    self._log_if_long(delay)
                except Exception as error:
                    errors.log(error)
                if self._on_check is not None:
                    self._on_check()

    def _log_if_long(self, delay: Delay) -> None:
        if delay.seconds >= LOGGED_STANDSTILL_SECONDS and delay.seconds > self._unlogged.seconds:
            self._unlogged = delay
        now, longest = self._clock.monotonic(), self._unlogged
        if longest.seconds and now - self._logged_at >= LOG_INTERVAL_SECONDS:
            self._unlogged, self._logged_at = NO_DELAY, now
            log_event(
                "process:stood_still", seconds=round(longest.seconds, 3),
                processor_s=round(longest.processor_seconds, 3),
                seconds_ago=round(now - longest.ended_at, 3),
                activities=longest.seconds_by_activity,
            )  # fmt: skip

    def longest(self, now: float) -> Delay:
        """Return the longest standstill of the last seconds, also if it has ended just now."""
        return max(self._recent.longest(now), self._current(now), key=lambda each: each.seconds)

    def _current(self, now: float) -> Delay:
        processor_seconds = time.thread_time() - self._processor_at
        seconds = max(0.0, now - self._due_at)
        if seconds < MIN_DELAY_SECONDS:
            return Delay(now, seconds, processor_seconds)
        activities = self._turns.seconds_by_activity(self._due_at)
        return Delay(now, seconds, processor_seconds, activities)
