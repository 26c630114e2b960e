"""One incarnation of a worker as recorded in the log, and the resources its runs use."""

import attrs

from ..wire.generated.ttypes import StepSpec, WorkerLife, WorkerRecord
from .job import IncarnationKey, Task


def incarnation_key(incarnation: WorkerLife) -> IncarnationKey:
    """Return the hashable key of an incarnation."""
    return incarnation.worker_id, incarnation.born_ms


@attrs.define
class ResourceUsage:
    """Resources that runs use: millicores, memory in MB, accelerators.

    Best-effort runs reserve no processor time, so their millicores do not count here.
    """

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def add(self, step: StepSpec, sign: int) -> None:
        """Add (``sign`` 1) or subtract (``sign`` -1) the resources of one run of a step."""
        if not step.filling:
            self.millicores += sign * step.millicores
        self.memory_mb += sign * step.memory_mb
        self.accelerators += sign * step.accelerators

    def leaves_room(self, record: WorkerRecord, step: StepSpec) -> bool:
        """Return whether one more run of that step fits on the worker beside what is used."""
        needed = 0 if step.filling else step.millicores
        return (
            self.millicores + needed <= record.millicores
            and self.memory_mb + step.memory_mb <= record.memory_mb
            and self.accelerators + step.accelerators <= record.accelerators
        )


@attrs.define(eq=False)
class Worker:
    """One incarnation of a worker, with every run that may exist on it."""

    record: WorkerRecord
    used: ResourceUsage = attrs.field(factory=ResourceUsage)
    best_effort_millicores: int = 0
    """Processor time that best-effort runs ask for; not part of ``used``."""

    best_effort_millicores_by_image: dict[str, int] = attrs.field(factory=dict)
    serving_millicores: int = 0
    """Processor time that serving runs reserve; part of ``used`` unless they are best-effort."""

    serving_run_count_by_image: dict[str, int] = attrs.field(factory=dict)
    long_running_millicores: int = 0
    """Processor time that long-running runs ask for."""

    long_running: ResourceUsage = attrs.field(factory=ResourceUsage)
    """What long-running runs reserve; part of ``used``."""

    task_by_run: dict[tuple[str, int], Task] = attrs.field(factory=dict)
    """Tasks of the runs that may exist here, by task name and run number."""

    has_ended: bool = False
    crashed_ms: int = 0
    """When its crash was recorded, wall clock in ms; 0 if it has not crashed."""

    @property
    def key(self) -> IncarnationKey:
        """Return the key of this incarnation."""
        return incarnation_key(self.record.life)

    @property
    def is_schedulable(self) -> bool:
        """Return whether new runs may be placed on this worker."""
        return not self.has_ended and not self.record.draining

    def add_run(self, task: Task, run: int) -> None:
        """Add a run, which may exist here from now on, and the resources it uses."""
        self.task_by_run[task.name, run] = task
        self._count(task.step.spec, 1)

    def remove_run(self, task: Task, run: int) -> None:
        """Remove a run that can no longer exist, and its resources; ignores an unknown run."""
        if self.task_by_run.pop((task.name, run), None) is not None:
            self._count(task.step.spec, -1)

    def fits(self, step: StepSpec) -> bool:
        """Return whether the free resources suffice for one more run of that step."""
        return self.used.leaves_room(self.record, step)

    def fits_without_finite_runs(self, step: StepSpec) -> bool:
        """Return whether one run of that step would fit if only the long-running ones were here."""
        return self.long_running.leaves_room(self.record, step)

    @property
    def is_over_capacity(self) -> bool:
        """Return whether the runs need more than the worker has, since its capacity shrank."""
        record, used = self.record, self.used
        return (
            used.millicores > record.millicores
            or used.memory_mb > record.memory_mb
            or used.accelerators > record.accelerators
        )

    @property
    def is_shared(self) -> bool:
        """Return whether best-effort runs may exist here beside serving ones."""
        return bool(self.best_effort_millicores_by_image and self.serving_run_count_by_image)

    def unrequested_millicores(self) -> int:
        """Return the millicores that no run, best-effort runs included, asks for.

        Negative if the runs ask for more than the worker has.
        """
        return self.record.millicores - self.used.millicores - self.best_effort_millicores

    def _count(self, step: StepSpec, sign: int) -> None:
        self.used.add(step, sign)
        if step.lasting:
            self.long_running_millicores += sign * step.millicores
            self.long_running.add(step, sign)
        if step.target_ms:
            self.serving_millicores += sign * step.millicores
            _add(self.serving_run_count_by_image, step.image, sign)
        if step.filling:
            self.best_effort_millicores += sign * step.millicores
            _add(self.best_effort_millicores_by_image, step.image, sign * step.millicores)


def _add(amount_by_image: dict[str, int], image: str, amount: int) -> None:
    total = amount_by_image.get(image, 0) + amount
    if total:
        amount_by_image[image] = total
    else:
        amount_by_image.pop(image, None)
