"""Which entry host owns which worker.

Whole workers are given, not slots: an entry host that owns all slots of a few
workers queues less than one which owns one slot on each.
"""

from collections import defaultdict
from collections.abc import Callable

from ..targets.state import EntryHost, Fleet, Worker
from ..wire.generated.ttypes import Assignment, ReleaseWorker, WorkerStanding

MAX_IMBALANCE = 1
"""Difference in workers owned above which one moves; moving costs an adoption."""


def assign_unowned(
    fleet: Fleet, present: list[EntryHost], has_let_go: Callable[[Worker], bool]
) -> list[Assignment]:
    """Return an owner for each worker that has none, evenly over the entry hosts present."""
    if not present:
        return []
    count_by_id = _owned_counts(fleet, present)
    assignments = []
    for worker in fleet.workers_by_id.values():
        if worker.owner_id or worker.standing == WorkerStanding.LOST or not has_let_go(worker):
            continue
        entry = min(present, key=lambda e: (count_by_id[e.entry_id], e.entry_id))
        count_by_id[entry.entry_id] += 1
        assignments.append(Assignment(worker.worker_id, entry.entry_id, entry.incarnation))
    return assignments


def rebalance(
    fleet: Fleet, present: list[EntryHost], load_by_worker: dict[str, int]
) -> ReleaseWorker | None:
    """Return at most one release, by the entry host that owns most.

    The least loaded worker goes, so that as little as possible is in flight
    under the old epoch; whoever owns least gets it next.
    """
    if len(present) < 2:
        return None
    count_by_id = _owned_counts(fleet, present)
    most = max(present, key=lambda e: (count_by_id[e.entry_id], e.entry_id))
    least = min(present, key=lambda e: (count_by_id[e.entry_id], e.entry_id))
    if count_by_id[most.entry_id] - count_by_id[least.entry_id] <= MAX_IMBALANCE:
        return None
    movable: list[Worker] = fleet.owned_by(most.entry_id)
    worker = min(movable, key=lambda w: (load_by_worker.get(w.worker_id, 0), w.worker_id))
    return ReleaseWorker(worker.worker_id, most.entry_id)


def _owned_counts(fleet: Fleet, present: list[EntryHost]) -> dict[str, int]:
    count_by_id: dict[str, int] = defaultdict(int)
    for entry in present:
        count_by_id[entry.entry_id] = 0
    for worker in fleet.workers_by_id.values():
        if worker.owner_id:
            count_by_id[worker.owner_id] += 1
    return count_by_id
