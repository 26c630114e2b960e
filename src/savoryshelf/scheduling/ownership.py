"""Which entry host owns which worker.

Whole workers are given, not slots: an entry host that owns all slots of a few
workers queues less than one which owns one slot on each.
"""

from collections import defaultdict

from ..targets.state import EntryHost, Fleet, Worker
from ..wire.generated.ttypes import Assignment, WorkerStanding

MAX_IMBALANCE = 1
"""Difference in workers owned above which one moves; moving costs an adoption."""


def assign_unowned(fleet: Fleet, present: list[EntryHost]) -> list[Assignment]:
    """Return an owner for each worker that has none, evenly over the entry hosts present."""
    if not present:
        return []
    count_by_id = _owned_counts(fleet, present)
    assignments = []
    for worker in fleet.workers_by_id.values():
        if worker.owner_id or worker.standing == WorkerStanding.LOST:
            continue
        entry = min(present, key=lambda e: (count_by_id[e.entry_id], e.entry_id))
        count_by_id[entry.entry_id] += 1
        assignments.append(Assignment(worker.worker_id, entry.entry_id, entry.incarnation))
    return assignments


def rebalance(fleet: Fleet, present: list[EntryHost], load_by_worker: dict) -> list[Assignment]:
    """Return at most one move, from the entry host that owns most to the one that owns least.

    The least loaded worker moves, so that as little as possible is in flight
    under the old epoch.
    """
    if len(present) < 2:
        return []
    count_by_id = _owned_counts(fleet, present)
    most = max(present, key=lambda e: (count_by_id[e.entry_id], e.entry_id))
    least = min(present, key=lambda e: (count_by_id[e.entry_id], e.entry_id))
    if count_by_id[most.entry_id] - count_by_id[least.entry_id] <= MAX_IMBALANCE:
        return []
    movable: list[Worker] = fleet.owned_by(most.entry_id)
    worker = min(movable, key=lambda w: (load_by_worker.get(w.worker_id, 0), w.worker_id))
    return [Assignment(worker.worker_id, least.entry_id, least.incarnation)]


def _owned_counts(fleet: Fleet, present: list[EntryHost]) -> dict[str, int]:
    count_by_id: dict[str, int] = defaultdict(int)
    for entry in present:
        count_by_id[entry.entry_id] = 0
    for worker in fleet.workers_by_id.values():
        if worker.owner_id:
            count_by_id[worker.owner_id] += 1
    return count_by_id
