"""One life of a worker as the log knows it, and the room its runs take."""

import attrs

from ..wire.generated.ttypes import StepSpec, WorkerLife, WorkerRecord
from .job import IncarnationKey, Task


def incarnation_key(incarnation: WorkerLife) -> IncarnationKey:
    """Return a worker's life as a value that can be looked up."""
    return incarnation.worker_id, incarnation.born_ms


@attrs.define
class ResourceUsage:
    """Processor time in thousandths of a core, memory in MB, accelerators."""

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def add(self, step: StepSpec, sign: int) -> None:
        """Count one run of that step in (1) or out (-1)."""
        if not step.filling:
            self.millicores += sign * step.millicores
        self.memory_mb += sign * step.memory_mb
        self.accelerators += sign * step.accelerators


@attrs.define(eq=False)
class Worker:
    """One life of a worker, with every run that may exist in it."""

    record: WorkerRecord
    used: ResourceUsage = attrs.field(factory=ResourceUsage)
    best_effort_millicores: int = 0
    task_by_run: dict[tuple[str, int], Task] = attrs.field(factory=dict)
    has_ended: bool = False

    @property
    def key(self) -> IncarnationKey:
        """Return what names this life."""
        return incarnation_key(self.record.life)

    @property
    def is_schedulable(self) -> bool:
        """Return whether new runs may be placed here."""
        return not self.has_ended and not self.record.draining

    def add_run(self, task: Task, run: int) -> None:
        """Count a run that may exist here from now on."""
        self.task_by_run[task.name, run] = task
        self._count(task.step.spec, 1)

    def remove_run(self, task: Task, run: int) -> None:
        """Count a run out that surely does not exist any more."""
        if self.task_by_run.pop((task.name, run), None) is not None:
            self._count(task.step.spec, -1)

    def fits(self, step: StepSpec) -> bool:
        """Return whether one more run of that step has room here."""
        record, used = self.record, self.used
        needed = 0 if step.filling else step.millicores
        return (
            used.millicores + needed <= record.millicores
            and used.memory_mb + step.memory_mb <= record.memory_mb
            and used.accelerators + step.accelerators <= record.accelerators
        )

    def unrequested_millicores(self) -> int:
        """Return what neither reserving nor filling runs ask for; below 0 when overbooked."""
        return self.record.millicores - self.used.millicores - self.best_effort_millicores

    def _count(self, step: StepSpec, sign: int) -> None:
        self.used.add(step, sign)
        if step.filling:
            self.best_effort_millicores += sign * step.millicores
