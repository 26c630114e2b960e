"""Tells which green threads of this process kept the others waiting."""

import contextlib
from collections import Counter, deque
from collections.abc import Callable, Iterator

import attrs
import greenlet

from ..clock import Clock

MIN_TURN_SECONDS = 0.002
"""Shorter turns of a green thread are not kept: to find its name costs more than they tell."""

MAX_TURNS = 256
"""Turns that are kept: those of half a second at least."""

MAX_NAMED = 4
"""Activities that one log line names at most."""

PACKAGE_PREFIX = "savoryshelf"

OTHER = "other"
"""The hub, or a green thread that has ended: neither shows what it ran."""

_listeners: list[Callable[[greenlet.greenlet], None]] = []
"""Called with the green thread that has just been switched away from."""


def _announce(event: str, origin_and_target: tuple) -> None:
    for listener in _listeners:
        listener(origin_and_target[0])


@contextlib.contextmanager
def _listening(listener: Callable[[greenlet.greenlet], None]) -> Iterator[None]:
    _listeners.append(listener)
    greenlet.settrace(_announce)
    try:
        yield
    finally:
        _listeners.remove(listener)
        if not _listeners:
            greenlet.settrace(None)


@attrs.frozen
class _Turn:
    ended_at: float
    seconds: float
    activity: str


class LongTurns:
    """The latest turns of this thread's green threads that were long."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._turns: deque[_Turn] = deque(maxlen=MAX_TURNS)
        self._began_at = float("inf")

    @contextlib.contextmanager
    def watched(self) -> Iterator[None]:
        """Keep the turns that end in the block."""
        self._began_at = self._clock.monotonic()
        with _listening(self._end_turn):
            yield

    def seconds_by_activity(self, since: float) -> dict[str, float]:
        """Return the longest activities since then, and what their turns took in all."""
        seconds: Counter[str] = Counter()
        for turn in self._turns:
            if turn.ended_at > since:
                seconds[turn.activity] += min(turn.seconds, turn.ended_at - since)
        current = self._clock.monotonic() - max(self._began_at, since)
        if current >= MIN_TURN_SECONDS:
            seconds[activity_of(greenlet.getcurrent())] += current
        return {name: round(each, 3) for name, each in seconds.most_common(MAX_NAMED)}

    def _end_turn(self, thread: greenlet.greenlet) -> None:
        now = self._clock.monotonic()
        seconds, self._began_at = now - self._began_at, now
        if seconds >= MIN_TURN_SECONDS:
            self._turns.append(_Turn(now, seconds, activity_of(thread)))


def activity_of(thread: greenlet.greenlet) -> str:
    """Return the outermost of the project's functions in a green thread, and the innermost.

    The latter is the one that let others run: what took long may have returned before.
    """
    frame = thread.gr_frame
    names = []
    while frame is not None:
        module = frame.f_globals.get("__name__", "")
        if module.startswith(PACKAGE_PREFIX) and module != __name__:
            names.append(frame.f_code.co_qualname)
        frame = frame.f_back
    if not names:
        return OTHER
    return names[-1] if names[0] == names[-1] else f"{names[-1]}: {names[0]}"
