"""The leader's estimate of a worker's clock, from which it derives lease deadlines.

The clock of a worker never goes back within one incarnation, and may run slow,
down to ``MIN_CLOCK_RATE`` of real time.  A reading that came with an answer is a
lower bound of the clock when the answer arrives.  Deadlines are derived from the lower
bound: no lease is longer on the worker's clock than it was meant to be, and one is shorter
by at most 2% of the time since the newest answer.
"""

import attrs

MIN_CLOCK_RATE = 0.98
"""Lowest rate of a worker's clock relative to real time, as the platform specifies it."""

EXPIRY_SLACK_MS = 300
"""Added to a lease before it counts as expired, in ms.

A worker kills its runs shortly after their lease has expired.
"""

MAX_READING_AGE_SECONDS = 30.0
"""Age of the newest reading above which the clock is read again before a lease is granted.

A lease is at most 0.6 s too short then.
"""


@attrs.define
class WorkerClock:
    """The newest reading of one incarnation's clock, and the latest deadline sent to it.

    Times with the suffix ``_ms`` are on the worker's clock, in ms; ``now`` and
    ``received_at`` are on this host's clock, in seconds.
    """

    _reading_ms: int | None = None
    _reading_at: float = 0.0
    _newest_at: float = float("-inf")
    """When the newest reading was received: on a slow clock few exceed the known bound."""

    latest_deadline_ms: int = 0
    """The latest deadline sent to the worker, whether or not the call was answered."""

    _held_until: float | None = None
    """Until when whatever runs on the worker holds a lease at least; None if that is not known."""

    def record_reading(self, clock_ms: int, received_at: float) -> None:
        """Record a reading received at ``received_at``, unless the known bound is higher."""
        self._newest_at = max(self._newest_at, received_at)
        if self._reading_ms is None or clock_ms >= self.lower_bound_ms(received_at):
            self._reading_ms, self._reading_at = clock_ms, received_at

    @property
    def has_reading(self) -> bool:
        """Return whether there is a reading."""
        return self._reading_ms is not None

    def has_recent_reading(self, now: float) -> bool:
        """Return whether a lease may be derived from the readings so far."""
        return now - self._newest_at <= MAX_READING_AGE_SECONDS

    def lower_bound_ms(self, now: float) -> int:
        """Return the lowest time that the worker's clock can show now."""
        return self._reading_ms + int((now - self._reading_at) * 1000 * MIN_CLOCK_RATE)

    def extend_deadline(self, now: float, lease_ms: int) -> int:
        """Return the deadline of a lease of ``lease_ms`` from now; it never moves back."""
        self.latest_deadline_ms = max(self.latest_deadline_ms, self.lower_bound_ms(now) + lease_ms)
        return self.latest_deadline_ms

    def confirm_deadline(self, deadline_ms: int, sent_at: float) -> None:
        """Take note of a deadline under which whatever runs on the worker is certain to run."""
        left_seconds = (deadline_ms - self.lower_bound_ms(sent_at)) / 1000
        # The clock may be that far above its lower bound.
        left_seconds -= (1 - MIN_CLOCK_RATE) * max(0.0, sent_at - self._newest_at)
        held_until = sent_at + left_seconds
        self._held_until = max(held_until, self._held_until or held_until)

    def holds_lease(self, now: float) -> bool | None:
        """Return whether what runs on the worker is certain to hold a lease; None if not known."""
        return None if self._held_until is None else now < self._held_until

    def all_deadlines_passed(self, now: float) -> bool:
        """Return whether every deadline sent has passed, even on the slowest clock."""
        if self._reading_ms is None:
            return False
        return self.lower_bound_ms(now) > self.latest_deadline_ms + EXPIRY_SLACK_MS

    def seconds_until_deadlines_passed(self, now: float) -> float:
        """Return in how many seconds every deadline sent has passed; 0 if there is no reading."""
        if self._reading_ms is None:
            return 0.0
        left_ms = self.latest_deadline_ms + EXPIRY_SLACK_MS - self.lower_bound_ms(now)
        return max(0.0, left_ms / 1000 / MIN_CLOCK_RATE)
