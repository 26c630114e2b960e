"""Workers, entry hosts and ownership, as every control replica holds them.

Each worker has at most one owner.  It is given to another only after the owner
has acknowledged the release, or has been removed because its lease ran out.
Every change of owner raises the worker's epoch, and the worker refuses
dispatches of any epoch but the newest it was adopted under.  So two entry
hosts never spend the same worker's capacity, not even when one of them wakes
from a freeze with a dispatch in its hands.
"""

import attrs

from ..outcomes import Accepted, Refusal
from ..wire.generated.ttypes import (
    Assignment,
    ChangeStanding,
    RegisterEntry,
    RemoveEntry,
    WorkerAnnouncement,
    WorkerStanding,
)

MAX_OPERATIONS = 1000
MAX_LOST_WORKERS = 2000


@attrs.define
class Worker:
    """One worker and who owns it."""

    worker_id: str
    incarnation: str
    url: str
    failure_domain: str
    rack: str
    slots: int
    connections: int
    cores: float
    memory_mb: int
    accelerators: int
    standing: WorkerStanding = WorkerStanding.ACTIVE
    owner_id: str = ""
    epoch: int = 0
    released_by_id: str = ""
    """The entry host that owned it last and may not have heard of its release."""

    released_version: int = 0
    """The assignment version that tells it."""

    changed_ms: int = 0

    @property
    def is_schedulable(self) -> bool:
        """Return whether new work may be placed here."""
        return self.standing == WorkerStanding.ACTIVE and bool(self.owner_id)

    def announcement(self) -> WorkerAnnouncement:
        """Return what the worker declared of itself."""
        return WorkerAnnouncement(*(getattr(self, name) for name in WorkerAnnouncement.__slots__))


@attrs.define
class EntryHost:
    """One running entry process."""

    entry_id: str
    incarnation: str
    address: str
    http_url: str
    failure_domain: str


@attrs.define
class Fleet:
    """All workers and entry hosts of a site."""

    workers_by_id: dict[str, Worker] = attrs.field(factory=dict)
    entries_by_id: dict[str, EntryHost] = attrs.field(factory=dict)
    assignment_version: int = 0
    """Grows with every change that an owner must hear of."""

    operations: dict[str, int] = attrs.field(factory=dict)
    """Operation ids of operators' changes, with their time: a resend changes nothing."""

    def register_worker(self, announced: WorkerAnnouncement, at_ms: int) -> bool:
        """Note a worker's announcement; return whether this is a new life of it.

        A worker that an operator drained stays drained, whoever restarts it.
        """
        registered = self.workers_by_id.get(announced.worker_id)
        fields = {name: getattr(announced, name) for name in WorkerAnnouncement.__slots__}
        if registered is None:
            self.workers_by_id[announced.worker_id] = Worker(**fields, changed_ms=at_ms)
            self.assignment_version += 1
            return True
        is_new_incarnation = registered.incarnation != announced.incarnation
        standing = registered.standing
        if standing != WorkerStanding.DRAINED:
            standing = WorkerStanding.ACTIVE
        is_unchanged = registered.announcement() == announced and standing == registered.standing
        if is_unchanged:
            return False
        for name, value in fields.items():
            setattr(registered, name, value)
        registered.standing = standing
        registered.changed_ms = at_ms
        if is_new_incarnation:
            registered.epoch += 1
        self.assignment_version += 1
        return is_new_incarnation

    def change_standing(self, change: ChangeStanding, at_ms: int) -> Accepted | Refusal:
        """Drain, return, or give up a worker."""
        if change.operation_id and change.operation_id in self.operations:
            return Accepted(duplicate=True)
        worker = self.workers_by_id.get(change.worker_id)
        if worker is None:
            return Refusal("no_such_worker", f"no worker {change.worker_id} has announced itself")
        if change.incarnation and change.incarnation != worker.incarnation:
            return Accepted(duplicate=True)
        self._record_operation(change.operation_id, at_ms)
        worker.standing = WorkerStanding(change.standing)
        worker.changed_ms = at_ms
        self.assignment_version += 1
        if worker.standing == WorkerStanding.LOST:
            self._revoke(worker)
        return Accepted()

    def release(self, worker_id: str, entry_id: str) -> bool:
        """Take a worker away from its owner; return whether it was the owner."""
        worker = self.workers_by_id.get(worker_id)
        if worker is None or not entry_id or worker.owner_id != entry_id:
            return False
        self.assignment_version += 1
        self._revoke(worker)
        return True

    def assign(self, assignment: Assignment) -> bool:
        """Give a worker to an entry host under a new epoch; return whether it holds."""
        worker = self.workers_by_id.get(assignment.worker_id)
        entry = self.entries_by_id.get(assignment.entry_id)
        if worker is None or worker.standing == WorkerStanding.LOST:
            return False
        if entry is None or entry.incarnation != assignment.entry_incarnation:
            return False
        if worker.owner_id:
            return False
        worker.owner_id = entry.entry_id
        worker.released_by_id = ""
        worker.epoch += 1
        self.assignment_version += 1
        return True

    def register_entry(self, entry: RegisterEntry) -> None:
        """Note an entry process; a new life of it owns nothing."""
        registered = self.entries_by_id.get(entry.entry_id)
        if registered is not None and registered.incarnation != entry.incarnation:
            self._remove_owner(entry.entry_id)
        self.entries_by_id[entry.entry_id] = EntryHost(
            entry.entry_id, entry.incarnation, entry.address, entry.http_url, entry.failure_domain
        )

    def remove_entry(self, removal: RemoveEntry) -> bool:
        """Forget an entry process whose lease has run out; its workers are free."""
        registered = self.entries_by_id.get(removal.entry_id)
        if registered is None or registered.incarnation != removal.incarnation:
            return False
        del self.entries_by_id[removal.entry_id]
        self._remove_owner(removal.entry_id)
        return True

    def expire(self, before_ms: int) -> None:
        """Forget old operation ids, and workers that were lost long ago."""
        self.operations = {k: at for k, at in self.operations.items() if at >= before_ms}
        lost = [w for w in self.workers_by_id.values() if w.standing == WorkerStanding.LOST]
        lost.sort(key=lambda worker: worker.changed_ms)
        for worker in lost[: max(0, len(lost) - MAX_LOST_WORKERS)]:
            del self.workers_by_id[worker.worker_id]

    def owned_by(self, entry_id: str) -> list[Worker]:
        """Return the workers which that entry host owns."""
        return [w for w in self.workers_by_id.values() if w.owner_id == entry_id]

    def _revoke(self, worker: Worker) -> None:
        if worker.owner_id:
            worker.released_by_id = worker.owner_id
            worker.released_version = self.assignment_version
        worker.owner_id = ""

    def _remove_owner(self, entry_id: str) -> None:
        """Free the workers of an entry process which surely acts no more."""
        for worker in self.workers_by_id.values():
            if worker.owner_id == entry_id:
                worker.owner_id = ""
            if worker.released_by_id == entry_id:
                worker.released_by_id = ""
        self.assignment_version += 1

    def _record_operation(self, operation_id: str, at_ms: int) -> None:
        if not operation_id:
            return
        self.operations[operation_id] = at_ms
        while len(self.operations) > MAX_OPERATIONS:
            del self.operations[next(iter(self.operations))]
