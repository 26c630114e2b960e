"""Decides whether a service has room for one more long-running job beside its finite work.

Long-running runs never release what they have, and they have to start wherever there is room for
them.  Once such jobs have been accepted, nothing keeps their runs off the room that large finite
tasks need, so a job that would take it is not accepted in the first place.
"""

import attrs

from ..tasks.ledger import TaskLedger
from ..wire.generated.ttypes import JobSpec, QueueSpec, StepSpec
from .finite_demand import FiniteDemand
from .reservations import LARGE_SHARE

MAX_FINITE_SHARE = 0.5
"""Share of the processors up to which room is kept for finite work.

Below it, long-running work is accepted whatever waits: callers expect that work with room runs
while under half of the capacity is in use.
"""


@attrs.frozen
class Occupancy:
    """Processors of the workers that a job may use, in thousandths of one."""

    total: int
    long_running: int
    """What accepted long-running work reserves: its runs, and the tasks that wait for one."""

    kept: float
    """What is kept for finite work."""

    @property
    def free(self) -> float:
        """Return what is left for further long-running work; negative if it has too much."""
        return self.total - self.long_running - self.kept


def long_running_steps(spec: JobSpec) -> list[StepSpec]:
    """Return the steps of a job that reserve processors for as long as it is not cancelled."""
    return [step for step in spec.steps if step.lasting and not step.filling]


def occupancy_without_room(
    ledger: TaskLedger, demand: FiniteDemand, queue: QueueSpec, spec: JobSpec, now: float
) -> Occupancy | None:
    """Return why a job is not accepted now, or None if it has room.

    That is if its long-running steps would take what finite work has needed in the last seconds at
    its peak, some of it of queues that are no less urgent.  Where no finite task needs a large part
    of a worker, finite work finds room beside long-running runs, and none is kept.  ``now`` is
    monotonic time in seconds.
    """
    steps = long_running_steps(spec)
    if not steps:
        return None
    service_name = queue.service_name
    labels = {step.required_label for step in steps if step.required_label}
    workers = [
        worker
        for worker in ledger.worker_by_incarnation.values()
        if not worker.has_ended
        and worker.record.service_name == service_name
        and labels <= set(worker.record.labels)
    ]
    usable = [worker for worker in workers if worker.is_schedulable]
    least = min((worker.record.millicores for worker in usable), default=0)
    if demand.largest_millicores(service_name) <= LARGE_SHARE * least:
        return None
    if not _has_finite_work(ledger, queue):
        return None
    needed_by_finite_work = demand.recent_millicores(service_name, now)
    total = sum(worker.record.millicores for worker in usable)
    in_service = sum(
        worker.record.millicores
        for worker in ledger.worker_by_incarnation.values()
        if worker.is_schedulable and worker.record.service_name == service_name
    )
    share_of_service = total / max(1, in_service)
    occupancy = Occupancy(
        total=total,
        long_running=sum(worker.long_running.millicores for worker in workers)
        + _waiting_millicores(ledger, service_name, labels),
        kept=min(MAX_FINITE_SHARE * total, share_of_service * needed_by_finite_work),
    )
    needed = sum(step.count * step.millicores for step in steps)
    return occupancy if needed > occupancy.free else None


def _has_finite_work(ledger: TaskLedger, queue: QueueSpec) -> bool:
    """Return whether finite work of queues that are no less urgent is not done yet."""
    return any(
        group.unfinished and not group.spec.lasting and not group.spec.filling
        for job in ledger.job_by_id.values()
        if not job.is_ended
        and job.queue.service_name == queue.service_name
        and job.queue.priority <= queue.priority
        for group in job.groups.values()
    )


def _waiting_millicores(ledger: TaskLedger, service_name: str, labels: set[str]) -> int:
    """Return what the long-running tasks that wait for a run will reserve on such workers.

    Those that are held back after crashes may start again once a silent worker answers.
    """
    waiting = [
        (group, len(group.startable_indexes)) for group in ledger.startable_group_by_key.values()
    ]
    waiting += [(task.step, 1) for task in ledger.held_task_by_name.values()]
    return sum(
        group.spec.millicores * count
        for group, count in waiting
        if group.spec.lasting
        and not group.spec.filling
        and group.job.queue.service_name == service_name
        and (not labels or group.spec.required_label in labels)
    )
