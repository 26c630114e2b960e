"""One life of a worker as the log knows it, and the room its runs take."""

import attrs

from ..wire.generated.ttypes import StepSpec, WorkerLife, WorkerRecord
from .job import LifeKey, Task


def life_key(life: WorkerLife) -> LifeKey:
    """Return a worker's life as a value that can be looked up."""
    return life.worker_id, life.born_ms


@attrs.define
class Room:
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
    used: Room = attrs.field(factory=Room)
    filling_millicores: int = 0
    task_by_run: dict[tuple[str, int], Task] = attrs.field(factory=dict)
    is_over: bool = False

    @property
    def key(self) -> LifeKey:
        """Return what names this life."""
        return life_key(self.record.life)

    @property
    def takes_work(self) -> bool:
        """Return whether new runs may be placed here."""
        return not self.is_over and not self.record.draining

    def place(self, task: Task, run: int) -> None:
        """Count a run that may exist here from now on."""
        self.task_by_run[task.name, run] = task
        self._count(task.step.spec, 1)

    def release(self, task: Task, run: int) -> None:
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

    def spare_millicores(self) -> int:
        """Return what neither reserving nor filling runs ask for; below 0 when overbooked."""
        return self.record.millicores - self.used.millicores - self.filling_millicores

    def _count(self, step: StepSpec, sign: int) -> None:
        self.used.add(step, sign)
        if step.filling:
            self.filling_millicores += sign * step.millicores
