"""Log lines about learners that wait to become voters, bounded in volume."""

import attrs

from ..observability.logs import log_event
from ..replication.core import Replica

MIN_LOG_INTERVAL_SECONDS = 1.0
"""At most one line per learner in this time, however often the reason changes."""

REPEAT_INTERVAL_SECONDS = 10.0
"""A reason that lasts is logged again after this time, with the learner's lag by then."""


@attrs.define
class _Wait:
    began_at: float
    reason: str = ""
    logged_at: float = float("-inf")


class WaitingLearners:
    """How long each learner waits under this leader, and what was logged of it."""

    def __init__(self):
        self._term = 0
        self._wait_by_id: dict[str, _Wait] = {}

    def keep_current(self, core: Replica) -> None:
        """Begin the wait of new learners; drop those of former ones and of earlier terms."""
        if core.term != self._term:
            self._term, self._wait_by_id = core.term, {}
        learner_ids = [m.replica_id for m in core.log.membership.members if not m.voter]
        self._wait_by_id = {
            replica_id: self._wait_by_id.get(replica_id) or _Wait(core.now)
            for replica_id in learner_ids
        }

    def log_reason(self, core: Replica, learner_id: str, reason: str) -> None:
        """Log why the learner waits, if that is new or was last logged long ago."""
        wait = self._wait_by_id[learner_id]
        interval = MIN_LOG_INTERVAL_SECONDS
        if reason == wait.reason:
            interval = REPEAT_INTERVAL_SECONDS
        if core.now - wait.logged_at < interval:
            return
        wait.reason, wait.logged_at = reason, core.now
        log_event(
            "group:learner_waits", learner=learner_id, why=reason, **self.state(core, learner_id)
        )

    def state(self, core: Replica, learner_id: str) -> dict:
        """Return the learner's lag, its last contact and how long it waits, for a log line."""
        wait = self._wait_by_id.get(learner_id)
        progress = core.leader_state and core.leader_state.progress_by_id.get(learner_id)
        if not wait or not progress:
            return {}
        sent = {}
        if progress.snapshot is not None:
            sent = {
                "snapshot_offset": progress.snapshot_offset,
                "snapshot_bytes": len(progress.snapshot.state),
            }
        return {
            **sent,
            "lag_entries": core.commit_index - progress.match_index,
            "contact_s": round(core.now - progress.acked_at, 3),
            "waits_s": round(core.now - wait.began_at, 3),
        }
