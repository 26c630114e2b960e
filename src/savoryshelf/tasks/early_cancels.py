"""Jobs that were cancelled before they were handed in.

A caller that gives up closes its connection and cancels, and the cancel may overtake the hand-in,
which an entry host still has under way.  The cancel is answered as one of an unknown job, and
the job must not run: so its id is kept for longer than any hand-in is under way.
"""

import attrs

MAX_EARLY_CANCELS = 10_000
"""Bound on the ids that are kept, since anyone may cancel ids that never existed.

About 1.2 MB in memory and 0.2 MB in a snapshot.
"""


@attrs.define
class EarlyCancels:
    """The ids of such jobs, and when each was cancelled, in ms of the ledger's time."""

    at_ms_by_job_id: dict[str, int] = attrs.field(factory=dict)

    def __contains__(self, job_id: str) -> bool:
        """Return whether a job was cancelled before it was handed in."""
        return job_id in self.at_ms_by_job_id

    def add(self, job_id: str, at_ms: int) -> bool:
        """Keep an id, from the newest cancel on; return False if there are too many."""
        if job_id not in self and len(self.at_ms_by_job_id) >= MAX_EARLY_CANCELS:
            return False
        # In the order of their times, so that the oldest is the first.
        self.at_ms_by_job_id.pop(job_id, None)
        self.at_ms_by_job_id[job_id] = at_ms
        return True

    def has_before(self, before_ms: int) -> bool:
        """Return whether any id was cancelled before that time."""
        return next(iter(self.at_ms_by_job_id.values()), before_ms) < before_ms

    def delete_before(self, before_ms: int) -> None:
        """Delete the ids that were cancelled before that time."""
        self.at_ms_by_job_id = {
            job_id: at_ms for job_id, at_ms in self.at_ms_by_job_id.items() if at_ms >= before_ms
        }
