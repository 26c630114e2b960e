"""Tells at once when a job can never run, and what would have to change."""

from ..configuration.declarations import BatchClass, Limits
from ..targets.state import Fleet, Worker
from ..wire.generated.ttypes import WorkerStanding

_SIZES = ("cores", "memory_mb", "accelerators")


def why_never(declared: BatchClass, limits: Limits, fleet: Fleet) -> str:
    """Return why no worker known could ever run this class, or an empty string.

    A fleet of which nothing is known yet says nothing.
    """
    workers = [w for w in fleet.workers_by_id.values() if w.standing != WorkerStanding.LOST]
    if not workers or any(_could_run(declared, limits, worker) for worker in workers):
        return ""
    lacking = [name for name in _SIZES if _largest(workers, name) < getattr(declared, name)]
    if lacking:
        return "; ".join(
            f"it needs {getattr(declared, name)} {name}, the largest worker has "
            f"{_largest(workers, name)}"
            for name in lacking
        )
    if all(worker.slots <= limits.critical_reserve_slots for worker in workers):
        return (
            f"limits.critical_reserve_slots {limits.critical_reserve_slots} leaves no slot "
            "of any worker for batch work; lower it"
        )
    return "no single worker has the cores, memory and accelerators it needs together"


def _could_run(declared: BatchClass, limits: Limits, worker: Worker) -> bool:
    has_slot = worker.slots > limits.critical_reserve_slots
    return has_slot and all(getattr(worker, n) >= getattr(declared, n) for n in _SIZES)


def _largest(workers: list[Worker], name: str):
    return max(getattr(worker, name) for worker in workers)
