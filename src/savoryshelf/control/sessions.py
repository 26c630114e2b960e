"""Sessions of the entry hosts, which the leader builds from their syncs.

Sessions are held in memory only and belong to one term: a new leader starts
without any.  A note is an entry host's report on one of the workers it owns.
"""

import attrs

from ..leases import ENTRY_LEASE_SECONDS, granter_deadline
from ..targets.state import EntryHost, Worker
from ..wire.generated.ttypes import AttemptKey, SyncRequest, WorkerNote


def attempt_id(key: AttemptKey) -> tuple[str, int]:
    """Return the job id and the attempt number of a key, as a hashable value.

    The third field, ``shard``, is left out: every key of a site has shard 0.
    """
    return key.job_id, key.attempt


@attrs.define
class EntrySession:
    """The state of one entry process as of its last sync."""

    entry_id: str
    incarnation: str
    last_sync_at: float
    free_slots: int = 0
    configuration_version: int = 0
    assignment_version: int = -1
    is_leaving: bool = False
    has_full_report: bool = False
    """Whether the process has sent a full report; start and stop orders are computed only then."""

    acknowledged_starts: set[tuple[str, int]] = attrs.field(factory=set)
    acknowledged_stops: set[tuple[str, int]] = attrs.field(factory=set)
    note_by_worker_id: dict[str, WorkerNote] = attrs.field(factory=dict)

    def retain_only(self, placed: set[tuple[str, int]], owned_ids: set[str]) -> None:
        """Drop attempts that are not in ``placed`` and notes on workers not in ``owned_ids``."""
        self.acknowledged_starts &= placed
        self.acknowledged_stops &= placed
        self.note_by_worker_id = {k: v for k, v in self.note_by_worker_id.items() if k in owned_ids}


class EntrySessions:
    """Sessions of all entry hosts that have synced in this leader's term."""

    def __init__(self, elected_at: float):
        self.elected_at = elected_at
        self.by_id: dict[str, EntrySession] = {}
        self._removing: set[str] = set()

    def record_sync(self, request: SyncRequest, now: float) -> EntrySession | None:
        """Update the session from a sync; return None while the entry host is being removed.

        The reply to a sync renews the entry host's lease.  During the removal
        that would let it use workers which the commit frees for other owners.
        """
        if request.entry_id in self._removing:
            return None
        session = self.by_id.get(request.entry_id)
        is_new = session is None or session.incarnation != request.incarnation
        if is_new or request.is_full:
            session = EntrySession(request.entry_id, request.incarnation, now)
            session.has_full_report = bool(request.is_full)
            self.by_id[request.entry_id] = session
        session.last_sync_at = now
        session.free_slots = request.free_slots
        session.configuration_version = request.configuration_version
        session.assignment_version = request.assignment_version
        session.is_leaving = request.leaving
        session.acknowledged_starts |= {attempt_id(k) for k in request.acknowledged_starts}
        session.acknowledged_stops |= {attempt_id(k) for k in request.acknowledged_stops}
        session.note_by_worker_id |= {note.worker_id: note for note in request.notes}
        return session

    def lease_has_expired(self, entry: EntryHost, now: float) -> bool:
        """Return whether the lease of that entry process has expired, allowing for clock drift.

        A previous leader may have renewed the lease until this one was elected.
        An entry process that has not synced since then therefore keeps its lease
        for a full lease time after the election.
        """
        session = self.by_id.get(entry.entry_id)
        renewed_at = self.elected_at
        if session is not None and session.incarnation == entry.incarnation:
            renewed_at = max(renewed_at, session.last_sync_at)
        return now > granter_deadline(renewed_at, ENTRY_LEASE_SECONDS)

    def has_acknowledged_release(self, worker: Worker) -> bool:
        """Return whether the previous owner of the worker, if any, has acknowledged its release."""
        if not worker.released_by_id:
            return True
        session = self.by_id.get(worker.released_by_id)
        return session is not None and session.assignment_version >= worker.released_version

    def begin_removal(self, entry_id: str) -> None:
        """Stop renewing the entry host's lease until its removal is committed or has failed."""
        self._removing.add(entry_id)

    def end_removal(self, entry_id: str) -> None:
        """Accept syncs of the entry host again; its next one starts a new session."""
        self._removing.discard(entry_id)
        self.by_id.pop(entry_id, None)

    def latest_notes(self) -> dict[str, WorkerNote]:
        """Return the latest owner's note on each worker, by worker id.

        The epoch rises with each change of owner, so that is the note with the highest epoch.
        """
        latest: dict[str, WorkerNote] = {}
        for session in self.by_id.values():
            for worker_id, note in session.note_by_worker_id.items():
                if worker_id not in latest or latest[worker_id].epoch < note.epoch:
                    latest[worker_id] = note
        return latest
