"""Virtual time for tests of green threads: waiting costs nothing, and each run is the same.

A hub whose clock stands still while anything is ready, and jumps to the next timer when nothing
is.  Timers that are due together run in the order in which they were set.  For code without
sockets, pipes and native threads.
"""

import contextlib
import itertools
import random

import eventlet
from eventlet import hubs
from eventlet.hubs.hub import BaseHub

BEGINNING_SECONDS = 1000.0
READING_SECONDS = 1e-7
"""How far apart two readings of the clock are at least: the product takes equal times as unclear.
"""

MAX_ROUNDS_AT_ONE_TIME = 100_000
"""Rounds of the hub without a wait after which something goes on for good."""

WALL_OFFSET_MS = 1_700_000_000_000


class Stuck(Exception):
    """Time does not pass: no timer is set, or what is ready never waits."""


class _DueTime(float):
    """When a timer is due; equal times keep the order in which they were made."""

    def __new__(cls, seconds, number):
        due = super().__new__(cls, seconds)
        due.number = number
        return due

    def __eq__(self, other):
        return self is other

    __hash__ = float.__hash__

    def __lt__(self, other):
        if isinstance(other, _DueTime):
            return (float(self), self.number) < (float(other), other.number)
        return float(self) < other


class VirtualHub(BaseHub):
    """Runs timers in their order, and never sleeps."""

    def __init__(self):
        self.now = BEGINNING_SECONDS
        self._rounds = 0
        """How many times this hub has gone on without a wait."""

        self._numbers = itertools.count()
        super().__init__(lambda: self.now)

    @staticmethod
    def is_available():
        """Return whether this hub can be used on this system."""
        return True

    def add_timer(self, timer):
        """Set a timer."""
        due = _DueTime(self.now + timer.seconds, next(self._numbers))
        self.next_timers.append((due, timer))
        return due

    def wait(self, seconds=None):
        """Jump to the time of the next timer."""
        if not self.timers:
            raise Stuck("no timer is set")
        due = float(self.timers[0][0])
        self._rounds = 0 if due > self.now else self._rounds + 1
        if self._rounds > MAX_ROUNDS_AT_ONE_TIME:
            raise Stuck(f"{self._rounds} rounds without a wait")
        self.now = max(self.now, due)


class VirtualClock:
    """The clocks of the product on virtual time."""

    def __init__(self, hub):
        self._hub = hub
        self._read_at = 0.0

    def monotonic(self) -> float:
        """Return seconds on a clock that never steps, and later than any that were read before."""
        self._read_at = max(self._hub.now, self._read_at + READING_SECONDS)
        return self._read_at

    def wall_ms(self) -> int:
        """Return milliseconds since the epoch."""
        return WALL_OFFSET_MS + int(1000 * self._hub.now)

    def sleep(self, seconds: float) -> None:
        """Suspend this green thread for that long."""
        eventlet.sleep(seconds)


@contextlib.contextmanager
def own_hub(hub_class=None):
    """Run only green threads that the block starts, on a hub of its own; yield that hub.

    Without a class, it is one of the system's default.
    """
    kept = dict(vars(hubs._threadlocal))
    hubs.use_hub(hub_class)
    hub = hubs.get_hub()
    try:
        yield hub
    finally:
        # False before its first switch, too.
        if hub.greenlet:
            hub.abort(wait=True)
        vars(hubs._threadlocal).clear()
        vars(hubs._threadlocal).update(kept)


@contextlib.contextmanager
def virtual_time(seed=0):
    """Run the green threads of this thread on virtual time in the block; yield its clock."""
    random_state = random.getstate()
    with own_hub(VirtualHub) as hub:
        random.seed(seed)
        try:
            yield VirtualClock(hub)
        finally:
            random.setstate(random_state)
