"""Which workers fail what they run, by outcomes: failing fast looks like being idle."""

import attrs

SUSPECT_FAILURES = 2
"""Failures in a row that set a worker aside: tasks fail by their own fault far less often."""

SET_ASIDE_SECONDS = 2.0
"""How long a worker is set aside at first; doubles with each failed probe."""

LONGEST_SET_ASIDE_SECONDS = 16.0
"""A worker is tried at least this often, so that one which is well again returns."""

FULL_SECONDS = 0.5
"""After a rejection for want of room: what it runs is known again by the next look."""


@attrs.define
class _Record:
    failures_in_row: int = 0
    set_aside_until: float = 0.0
    set_aside_seconds: float = SET_ASIDE_SECONDS
    full_until: float = 0.0


@attrs.define
class FleetHealth:
    """Outcomes by worker."""

    _record_by_id: dict[str, _Record] = attrs.field(factory=dict)

    def ended(self, worker_id: str, succeeded: bool, now: float) -> None:
        """Note how a run ended."""
        record = self._record_by_id.setdefault(worker_id, _Record())
        if succeeded:
            record.failures_in_row = 0
            record.set_aside_seconds = SET_ASIDE_SECONDS
            record.set_aside_until = 0.0
            return
        record.failures_in_row += 1
        if record.failures_in_row >= SUSPECT_FAILURES and now >= record.set_aside_until:
            record.set_aside_until = now + record.set_aside_seconds
            record.set_aside_seconds = min(2 * record.set_aside_seconds, LONGEST_SET_ASIDE_SECONDS)

    def full(self, worker_id: str, now: float) -> None:
        """Note that a worker had no room for what should have fitted."""
        record = self._record_by_id.setdefault(worker_id, _Record())
        record.full_until = now + FULL_SECONDS

    def is_schedulable(self, worker_id: str, now: float) -> bool:
        """Return whether runs may be placed on this worker."""
        record = self._record_by_id.get(worker_id)
        if record is None:
            return True
        return now >= record.set_aside_until and now >= record.full_until

    def failures_in_row(self, worker_id: str) -> int:
        """Return how many runs failed there since one succeeded."""
        record = self._record_by_id.get(worker_id)
        return record.failures_in_row if record else 0
