"""Replicated state of workers, entry hosts and ownership.

Each worker has at most one owner.  It is assigned to another entry host only
after its owner has acknowledged the release, or has been removed because its
lease expired.  Every assignment and every new incarnation of the worker
increments its epoch, and the worker rejects dispatches of any epoch but the
newest it was adopted under.  So two entry hosts never use the same worker's
capacity, even if one of them resumes after a long pause with a dispatch that
it has not sent yet.
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
"""How many operation ids are kept to detect resent changes; the oldest are dropped first."""

MAX_LOST_WORKERS = 2000
"""How many lost workers are kept; those that changed longest ago are dropped first."""


@attrs.define
class EarlierIncarnation:
    """An incarnation in whose place another one was registered; it may go on for a while."""

    url: str
    replaced_epoch: int
    """The worker's epoch when this happened."""


@attrs.define
class Worker:
    """One worker: its announcement, its standing and its ownership."""

    worker_id: str
    incarnation: str
    url: str
    failure_domain: str
    rack: str
    slots: int
    connections: int
    """Limit of critical requests in flight, each of which uses one connection."""

    cores: float
    memory_mb: int
    accelerators: int
    standing: WorkerStanding = WorkerStanding.ACTIVE
    owner_id: str = ""
    """The entry host that owns the worker; empty if none does."""

    epoch: int = 0
    released_by_id: str = ""
    """The previous owner, which may not have acknowledged the release yet; empty if none."""

    released_version: int = 0
    """The assignment version that contains the release."""

    changed_ms: int = 0
    """Wall-clock time in ms of the last change of the announcement or the standing."""

    earlier_lives: dict[str, EarlierIncarnation] = attrs.field(factory=dict)
    """By incarnation; kept while the ledger has attempts that were placed on them."""

    @property
    def is_schedulable(self) -> bool:
        """Return whether new work may be placed on this worker."""
        return self.standing == WorkerStanding.ACTIVE and bool(self.owner_id)

    def ignores(self, announced: WorkerAnnouncement) -> bool:
        """Return whether the announcement changes nothing.

        Within one incarnation a worker does not move, and one that leaves does not return.
        """
        if announced.incarnation != self.incarnation or self.standing == WorkerStanding.LOST:
            return False
        return announced == self.announcement() or _place(announced) != _place(self)

    def announcement(self) -> WorkerAnnouncement:
        """Return the worker's last announcement of itself."""
        return WorkerAnnouncement(*(getattr(self, name) for name in WorkerAnnouncement.__slots__))


def _place(worker: Worker | WorkerAnnouncement) -> tuple[str, str, str]:
    return worker.url, worker.failure_domain, worker.rack


@attrs.define
class EntryHost:
    """One incarnation of an entry process."""

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
    """Increments with every change that owners must be informed of."""

    newest_epoch: int = 0
    """Epochs are never used twice, since a worker may outlive its record; 0 before the first."""

    operations: dict[str, int] = attrs.field(factory=dict)
    """Wall-clock time in ms of each operator's change by its id, to detect a resent change."""

    def register_worker(self, announced: WorkerAnnouncement, at_ms: int) -> bool:
        """Register a worker's announcement; return whether it is a new incarnation.

        A worker that was drained stays drained when it restarts.  An announcement
        does not end the incarnation registered before: it may be late, or come from
        another process that runs under the same id.  The new incarnation gets an
        owner once that of the earlier one has acknowledged the release.
        """
        registered = self.workers_by_id.get(announced.worker_id)
        fields = {name: getattr(announced, name) for name in WorkerAnnouncement.__slots__}
        if registered is None:
            self.workers_by_id[announced.worker_id] = Worker(**fields, changed_ms=at_ms)
            self.assignment_version += 1
            return True
        if registered.ignores(announced):
            return False
        is_new_incarnation = registered.incarnation != announced.incarnation
        standing = registered.standing
        if (is_new_incarnation and standing != WorkerStanding.DRAINED) or (
            standing == WorkerStanding.LOST
        ):
            standing = WorkerStanding.ACTIVE
        if is_new_incarnation:
            earlier = EarlierIncarnation(registered.url, registered.epoch)
            registered.earlier_lives[registered.incarnation] = earlier
            registered.earlier_lives.pop(announced.incarnation, None)
        for name, value in fields.items():
            setattr(registered, name, value)
        registered.standing = standing
        registered.changed_ms = at_ms
        self.assignment_version += 1
        if is_new_incarnation:
            registered.epoch = self._next_epoch()
            self._revoke(registered)
        return is_new_incarnation

    def register_restarted_worker(self, announced: WorkerAnnouncement, at_ms: int) -> str:
        """Apply an announcement as entries of older logs mean it, and return the ended incarnation.

        Replicas apply the same entries, whatever snapshot they begin with.
        """
        registered = self.workers_by_id.get(announced.worker_id)
        if registered is None:
            self.register_worker(announced, at_ms)
            return ""
        ended = registered.incarnation if registered.incarnation != announced.incarnation else ""
        standing = registered.standing
        if standing != WorkerStanding.DRAINED:
            standing = WorkerStanding.ACTIVE
        if registered.announcement() == announced and standing == registered.standing:
            return ""
        for name in WorkerAnnouncement.__slots__:
            setattr(registered, name, getattr(announced, name))
        registered.standing = standing
        registered.changed_ms = at_ms
        if ended:
            registered.epoch += 1
        self.assignment_version += 1
        return ended

    def change_standing(self, change: ChangeStanding, at_ms: int) -> Accepted | Refusal:
        """Change the standing of a worker; one that is lost also loses its owner.

        The change is accepted without effect if it was resent or names another
        incarnation, and refused if the worker is not registered.
        """
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
        """Release a worker from its owner; return whether that entry host owned it."""
        worker = self.workers_by_id.get(worker_id)
        if worker is None or not entry_id or worker.owner_id != entry_id:
            return False
        self.assignment_version += 1
        self._revoke(worker)
        return True

    def assign(self, assignment: Assignment, counts_epochs: bool = True) -> bool:
        """Assign an unowned worker to an entry host under a new epoch.

        Return False if the worker or this incarnation of the entry host is not
        registered, or if the worker is lost or has an owner.  ``counts_epochs`` is
        False for entries of older logs.
        """
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
        worker.epoch = self._next_epoch() if counts_epochs else worker.epoch + 1
        self.assignment_version += 1
        return True

    def register_entry(self, entry: RegisterEntry) -> None:
        """Register an entry process; a new incarnation starts without workers."""
        registered = self.entries_by_id.get(entry.entry_id)
        if registered is not None and registered.incarnation != entry.incarnation:
            self._free_workers_of(entry.entry_id)
        self.entries_by_id[entry.entry_id] = EntryHost(
            entry.entry_id, entry.incarnation, entry.address, entry.http_url, entry.failure_domain
        )

    def remove_entry(self, removal: RemoveEntry) -> bool:
        """Remove an entry process whose lease has expired, which frees its workers.

        Return False if this incarnation is not registered.
        """
        registered = self.entries_by_id.get(removal.entry_id)
        if registered is None or registered.incarnation != removal.incarnation:
            return False
        del self.entries_by_id[removal.entry_id]
        self._free_workers_of(removal.entry_id)
        return True

    def expire(self, before_ms: int) -> None:
        """Drop operation ids older than ``before_ms``, and lost workers in excess of the limit."""
        self.operations = {k: at for k, at in self.operations.items() if at >= before_ms}
        lost = [w for w in self.workers_by_id.values() if w.standing == WorkerStanding.LOST]
        lost.sort(key=lambda worker: worker.changed_ms)
        for worker in lost[: max(0, len(lost) - MAX_LOST_WORKERS)]:
            del self.workers_by_id[worker.worker_id]

    def is_current(self, worker_id: str, incarnation: str) -> bool:
        """Return whether that incarnation of the worker is the one registered."""
        worker = self.workers_by_id.get(worker_id)
        return worker is not None and worker.incarnation == incarnation

    def owned_by(self, entry_id: str) -> list[Worker]:
        """Return the workers that the entry host owns."""
        return [w for w in self.workers_by_id.values() if w.owner_id == entry_id]

    def _next_epoch(self) -> int:
        if not self.newest_epoch:
            epochs = (worker.epoch for worker in self.workers_by_id.values())
            self.newest_epoch = max(epochs, default=0)
        self.newest_epoch += 1
        return self.newest_epoch

    def _revoke(self, worker: Worker) -> None:
        """End the ownership, and record the release that the owner, if any, has to acknowledge.

        ``assignment_version`` must already be that of the release.
        """
        if worker.owner_id:
            worker.released_by_id = worker.owner_id
            worker.released_version = self.assignment_version
        worker.owner_id = ""

    def _free_workers_of(self, entry_id: str) -> None:
        """Free the workers of an entry process that has restarted or whose lease has expired."""
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
