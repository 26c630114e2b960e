"""Decides which entry host owns which worker.

Ownership covers whole workers, not single slots: requests queue less at an
entry host that owns all slots of a few workers than at one that owns a single
slot of each worker.
"""

from collections import defaultdict
from collections.abc import Callable, Collection

from ..targets.state import EntryHost, Fleet, Worker
from ..wire.generated.ttypes import Assignment, ReleaseWorker, WorkerStanding

OVERLOAD_DETECTION_SECONDS = 6.0
"""How long an entry host must have no free slot before it counts as overloaded."""

OVERLOAD_MOVE_INTERVAL_SECONDS = 30.0
"""Between two moves for overload; rebalancing by number of workers is suspended meanwhile."""

MAX_IMBALANCE = 1
"""Largest tolerated difference in workers owned: each move costs an adoption."""


class OverloadDetector:
    """Detects entry hosts that have had no free slot for some time.

    Requests that find no free slot are forwarded to another entry host at once,
    so only sustained overload justifies moving a worker.  Moves are spaced, so
    that workers do not follow a load skew that shifts between entry hosts.
    """

    def __init__(self):
        self._full_since: dict[str, float] = {}
        self._last_move_at = float("-inf")

    def observe(self, free_slots_by_entry: dict[str, int], now: float) -> None:
        """Update from the free slots that each entry host last reported."""
        self._full_since = {
            entry_id: self._full_since.get(entry_id, now)
            for entry_id, free in free_slots_by_entry.items()
            if free == 0
        }

    def overloaded_entry_ids(self, now: float) -> set[str]:
        """Return the ids of the entry hosts that need another worker."""
        return {
            entry_id
            for entry_id, since in self._full_since.items()
            if now - since >= OVERLOAD_DETECTION_SECONDS
        }

    def may_move(self, now: float) -> bool:
        """Return whether ``OVERLOAD_MOVE_INTERVAL_SECONDS`` have passed since the last move."""
        return now - self._last_move_at >= OVERLOAD_MOVE_INTERVAL_SECONDS

    def record_move(self, now: float) -> None:
        """Start the interval until the next move."""
        self._last_move_at = now


def release_for_overload(
    fleet: Fleet,
    active_entries: list[EntryHost],
    free_slots_by_entry: dict[str, int],
    load_by_worker: dict[str, int],
) -> ReleaseWorker | None:
    """Return the release of the smallest idle worker of an entry host that can spare it.

    Entry hosts with more free slots are considered first.  One can spare a worker
    if it keeps another worker, and at least as many free slots as it releases.
    Return None if no entry host can.
    """
    for donor in sorted(
        active_entries, key=lambda e: (-free_slots_by_entry.get(e.entry_id, 0), e.entry_id)
    ):
        owned = fleet.owned_by(donor.entry_id)
        idle_workers = [worker for worker in owned if not load_by_worker.get(worker.worker_id, 0)]
        if not idle_workers or len(owned) < 2:
            continue
        worker = min(idle_workers, key=lambda each: (each.slots, each.worker_id))
        if free_slots_by_entry.get(donor.entry_id, 0) >= 2 * worker.slots:
            return ReleaseWorker(worker.worker_id, donor.entry_id)
    return None


def assign_unowned(
    fleet: Fleet,
    active_entries: list[EntryHost],
    has_acknowledged_release: Callable[[Worker], bool],
    overloaded_entry_ids: Collection[str] = (),
) -> list[Assignment]:
    """Return an assignment for each worker that can be given an owner.

    Workers go to overloaded entry hosts first, then to those that own fewest.
    A lost worker, or one whose release is not yet acknowledged, stays unowned.
    """
    if not active_entries:
        return []
    owned_count_by_entry = _owned_count_by_entry(fleet, active_entries)
    assignments = []
    for worker in fleet.workers_by_id.values():
        if (
            worker.owner_id
            or worker.standing == WorkerStanding.LOST
            or not has_acknowledged_release(worker)
        ):
            continue
        entry = min(
            active_entries,
            key=lambda e: (
                e.entry_id not in overloaded_entry_ids,
                owned_count_by_entry[e.entry_id],
                e.entry_id,
            ),
        )
        owned_count_by_entry[entry.entry_id] += 1
        assignments.append(Assignment(worker.worker_id, entry.entry_id, entry.incarnation))
    return assignments


def rebalance(
    fleet: Fleet, active_entries: list[EntryHost], load_by_worker: dict[str, int]
) -> ReleaseWorker | None:
    """Return a release by the entry host that owns most workers, or None if balanced.

    It releases its least loaded worker, so that as little as possible is in
    flight under the old epoch.  ``assign_unowned`` then gives that worker to the
    entry host that owns fewest, unless another one is overloaded.
    """
    if len(active_entries) < 2:
        return None
    owned_count_by_entry = _owned_count_by_entry(fleet, active_entries)
    largest_owner = max(
        active_entries, key=lambda e: (owned_count_by_entry[e.entry_id], e.entry_id)
    )
    smallest_owner = min(
        active_entries, key=lambda e: (owned_count_by_entry[e.entry_id], e.entry_id)
    )
    if (
        owned_count_by_entry[largest_owner.entry_id] - owned_count_by_entry[smallest_owner.entry_id]
        <= MAX_IMBALANCE
    ):
        return None
    owned_workers: list[Worker] = fleet.owned_by(largest_owner.entry_id)
    worker = min(owned_workers, key=lambda w: (load_by_worker.get(w.worker_id, 0), w.worker_id))
    return ReleaseWorker(worker.worker_id, largest_owner.entry_id)


def _owned_count_by_entry(fleet: Fleet, active_entries: list[EntryHost]) -> dict[str, int]:
    owned_count_by_entry: dict[str, int] = defaultdict(int)
    for entry in active_entries:
        owned_count_by_entry[entry.entry_id] = 0
    for worker in fleet.workers_by_id.values():
        if worker.owner_id:
            owned_count_by_entry[worker.owner_id] += 1
    return owned_count_by_entry
