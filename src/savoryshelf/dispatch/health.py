"""Which workers fail what they run, by outcomes: failing fast looks like being idle."""

import attrs

FAILURES_BEFORE_QUARANTINE = 2
"""Failures in a row that set a worker aside: tasks fail by their own fault far less often."""

QUARANTINE_SECONDS = 2.0
"""How long a worker is set aside at first; doubles with each failed probe."""

MAX_QUARANTINE_SECONDS = 16.0
"""A worker is tried at least this often, so that one which is well again returns."""

REJECTION_BACKOFF_SECONDS = 0.5
"""After a rejection for want of room: what it runs is known again by the next look."""


@attrs.define
class _WorkerHealth:
    consecutive_failures: int = 0
    quarantined_until: float = 0.0
    next_quarantine_seconds: float = QUARANTINE_SECONDS
    backoff_until: float = 0.0


@attrs.define
class FleetHealth:
    """Outcomes by worker."""

    _health_by_worker_id: dict[str, _WorkerHealth] = attrs.field(factory=dict)

    def record_outcome(self, worker_id: str, succeeded: bool, now: float) -> None:
        """Note how a run ended."""
        health = self._health_by_worker_id.setdefault(worker_id, _WorkerHealth())
        if succeeded:
            health.consecutive_failures = 0
            health.next_quarantine_seconds = QUARANTINE_SECONDS
            health.quarantined_until = 0.0
            return
        health.consecutive_failures += 1
        if (
            health.consecutive_failures >= FAILURES_BEFORE_QUARANTINE
            and now >= health.quarantined_until
        ):
            health.quarantined_until = now + health.next_quarantine_seconds
            health.next_quarantine_seconds = min(
                2 * health.next_quarantine_seconds, MAX_QUARANTINE_SECONDS
            )

    def record_rejection(self, worker_id: str, now: float) -> None:
        """Note that a worker had no room for what should have fitted."""
        health = self._health_by_worker_id.setdefault(worker_id, _WorkerHealth())
        health.backoff_until = now + REJECTION_BACKOFF_SECONDS

    def is_schedulable(self, worker_id: str, now: float) -> bool:
        """Return whether runs may be placed on this worker."""
        health = self._health_by_worker_id.get(worker_id)
        if health is None:
            return True
        return now >= health.quarantined_until and now >= health.backoff_until

    def consecutive_failures(self, worker_id: str) -> int:
        """Return how many runs failed there since one succeeded."""
        health = self._health_by_worker_id.get(worker_id)
        return health.consecutive_failures if health else 0
