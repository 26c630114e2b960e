"""Quarantines workers on which consecutive runs fail.

A worker that fails runs quickly looks idle and would otherwise attract more work.
"""

import attrs

FAILURES_BEFORE_QUARANTINE = 2
"""Consecutive failures that start a quarantine: tasks at fault rarely cause as many in a row."""

QUARANTINE_SECONDS = 2.0
"""Length of the first quarantine.

It doubles each time the probe, which is the first run after a quarantine, fails too.
"""

MAX_QUARANTINE_SECONDS = 16.0
"""Upper bound of a quarantine, so that a worker which has recovered is used again."""

REJECTION_BACKOFF_SECONDS = 0.5
"""How long other workers are preferred to one that rejected a run or did not answer a start.

This leaves time for the next poll, which reports what the worker is running.
"""


@attrs.define
class _WorkerHealth:
    consecutive_failures: int = 0
    quarantined_until: float = 0.0
    next_quarantine_seconds: float = QUARANTINE_SECONDS
    backoff_until: float = 0.0
    last_failure_at: float = float("-inf")


@attrs.define
class FleetHealth:
    """Recent outcomes of runs, by worker; times are monotonic seconds."""

    _health_by_worker_id: dict[str, _WorkerHealth] = attrs.field(factory=dict)

    def record_outcome(self, worker_id: str, succeeded: bool, now: float) -> float:
        """Record whether a run succeeded, and start or end the quarantine of its worker.

        Returns the length of the quarantine that began, in seconds; 0 if none did.
        """
        health = self._health_by_worker_id.setdefault(worker_id, _WorkerHealth())
        if succeeded:
            health.consecutive_failures = 0
            health.next_quarantine_seconds = QUARANTINE_SECONDS
            health.quarantined_until = 0.0
            return 0.0
        health.consecutive_failures += 1
        health.last_failure_at = now
        if (
            health.consecutive_failures < FAILURES_BEFORE_QUARANTINE
            or now < health.quarantined_until
        ):
            return 0.0
        seconds = health.next_quarantine_seconds
        health.quarantined_until = now + seconds
        health.next_quarantine_seconds = min(2 * seconds, MAX_QUARANTINE_SECONDS)
        return seconds

    def record_rejection(self, worker_id: str, now: float) -> None:
        """Record that a worker rejected a run that should have fitted, or left it unanswered."""
        health = self._health_by_worker_id.setdefault(worker_id, _WorkerHealth())
        health.backoff_until = now + REJECTION_BACKOFF_SECONDS

    def quarantined_count(self, now: float) -> int:
        """Return how many workers are quarantined now."""
        return sum(now < health.quarantined_until for health in self._health_by_worker_id.values())

    def is_schedulable(self, worker_id: str, now: float) -> bool:
        """Return whether runs may be placed on this worker now."""
        health = self._health_by_worker_id.get(worker_id)
        if health is None:
            return True
        return now >= health.quarantined_until and now >= health.backoff_until

    def is_quarantined(self, worker_id: str, now: float) -> bool:
        """Return whether this worker is quarantined now."""
        health = self._health_by_worker_id.get(worker_id)
        return health is not None and now < health.quarantined_until

    def is_backed_off(self, worker_id: str, now: float) -> bool:
        """Return whether this worker rejected a start, or left one unanswered, a moment ago."""
        health = self._health_by_worker_id.get(worker_id)
        return health is not None and now < health.backoff_until

    def last_failure_at(self, worker_id: str) -> float:
        """Return when a run last failed on this worker; minus infinity if none did."""
        health = self._health_by_worker_id.get(worker_id)
        return health.last_failure_at if health else float("-inf")

    def consecutive_failures(self, worker_id: str) -> int:
        """Return the number of runs that failed on this worker since its last success."""
        health = self._health_by_worker_id.get(worker_id)
        return health.consecutive_failures if health else 0
