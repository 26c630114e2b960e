"""Checks at submission whether any worker could ever run a job of a batch class."""

from ..configuration.declarations import BatchClass, Limits
from ..targets.state import Fleet, Worker
from ..wire.generated.ttypes import WorkerStanding

_RESOURCES = ("cores", "memory_mb", "accelerators")


def explain_infeasibility(batch_class: BatchClass, limits: Limits, fleet: Fleet) -> str:
    """Return why no worker of the fleet could ever run this class, or an empty string.

    The reason names what the class needs and what the fleet has.  An empty fleet
    gives no reason, since its workers may not have announced themselves yet.
    """
    workers = [w for w in fleet.workers_by_id.values() if w.standing != WorkerStanding.LOST]
    if not workers or any(_fits(batch_class, limits, worker) for worker in workers):
        return ""
    insufficient = [
        name for name in _RESOURCES if _largest_amount(workers, name) < getattr(batch_class, name)
    ]
    if insufficient:
        return "; ".join(
            f"the class needs {getattr(batch_class, name)} {name}, the largest worker has "
            f"{_largest_amount(workers, name)}"
            for name in insufficient
        )
    if all(worker.slots <= limits.critical_reserve_slots for worker in workers):
        return (
            f"limits.critical_reserve_slots of {limits.critical_reserve_slots} leaves no batch "
            "slot on any worker; lower it"
        )
    return "no single worker has a batch slot and all the cores, memory and accelerators needed"


def _fits(batch_class: BatchClass, limits: Limits, worker: Worker) -> bool:
    has_slot = worker.slots > limits.critical_reserve_slots
    return has_slot and all(getattr(worker, n) >= getattr(batch_class, n) for n in _RESOURCES)


def _largest_amount(workers: list[Worker], name: str):
    return max(getattr(worker, name) for worker in workers)
