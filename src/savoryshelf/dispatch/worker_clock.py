"""What the leader knows of a worker's clock and of the lease of its runs.

A worker's clock never goes back within one life and may run slow by
``SLOWEST_RATE``.  A reading that came with an answer is a lower bound of it.
"""

import attrs

MIN_CLOCK_RATE = 0.98
"""How slow a worker's clock may run, as a ratio (the platform's figure)."""

EXPIRY_SLACK_MS = 300
"""Added before a lease is taken to have ended: a worker kills its runs a little later."""


@attrs.define
class WorkerClock:
    """Readings of one life's clock, in ms, by this host's clock, in seconds."""

    _reading_ms: int | None = None
    _reading_at: float = 0.0
    latest_deadline_ms: int = 0
    """The latest deadline sent to the worker, answered or not."""

    def record_reading(self, clock_ms: int, received_at: float) -> None:
        """Note a reading that was received at ``at``; older ones teach nothing."""
        if self._reading_ms is None or clock_ms >= self.lower_bound_ms(received_at):
            self._reading_ms, self._reading_at = clock_ms, received_at

    @property
    def has_reading(self) -> bool:
        """Return whether a reading was taken."""
        return self._reading_ms is not None

    def lower_bound_ms(self, now: float) -> int:
        """Return what the clock surely shows by now."""
        return self._reading_ms + int((now - self._reading_at) * 1000 * MIN_CLOCK_RATE)

    def extend_deadline(self, now: float, lease_ms: int) -> int:
        """Return the deadline that gives a lease of that length from now; it never shortens."""
        expected_ms = self._reading_ms + int((now - self._reading_at) * 1000)
        self.latest_deadline_ms = max(self.latest_deadline_ms, expected_ms + lease_ms)
        return self.latest_deadline_ms

    def all_deadlines_passed(self, now: float) -> bool:
        """Return whether every deadline sent from here has surely passed."""
        if self._reading_ms is None:
            return False
        return self.lower_bound_ms(now) > self.latest_deadline_ms + EXPIRY_SLACK_MS
