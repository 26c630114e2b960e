"""One job: its tasks, grouped by occurrence and step, and how far each of them is."""

import enum

import attrs

from ..wire.generated.ttypes import JobSpec, QueueSpec, StepSpec

IncarnationKey = tuple[str, int]
"""A worker's id and the wall-clock millisecond at which this life of it began."""


class JobState(enum.Enum):
    """What a caller is told of its job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


@attrs.define(eq=False)
class Task:
    """One task and the runs of it that may exist now."""

    name: str
    step: "StepGroup"
    index: int
    runs: int = 0
    """Number of the newest run; runs are numbered from 1."""

    failures: int = 0
    done: bool = False
    checkpoint: str = ""
    failed_on: str = ""
    """Worker on which the newest failed run ended."""

    incarnation_by_run: dict[int, IncarnationKey] = attrs.field(factory=dict)


@attrs.define(eq=False)
class StepGroup:
    """The tasks of one step in one occurrence of its job."""

    job: "Job"
    occurrence: int
    number: int
    spec: StepSpec
    tasks: list[Task] = attrs.field(factory=list)
    unfinished: int = 0
    startable_indexes: set[int] = attrs.field(factory=set)
    """Indexes of the tasks that may be started now: their turn has come and no run exists."""

    is_unblocked: bool = False
    """Whether all steps before this one are done."""

    @property
    def key(self) -> tuple[str, int, int]:
        """Return what names this group among all groups."""
        return self.job.job_id, self.occurrence, self.number


@attrs.define(eq=False)
class Job:
    """One accepted job."""

    job_id: str
    queue: QueueSpec
    spec: JobSpec
    accepted_ms: int
    groups: dict[tuple[int, int], StepGroup] = attrs.field(factory=dict)
    unfinished: int = 0
    started: bool = False
    cancelled: bool = False
    failed: bool = False
    ended_ms: int = 0

    @property
    def state(self) -> JobState:
        """Return what a caller is told."""
        if self.cancelled:
            return JobState.CANCELLED
        if self.failed:
            return JobState.FAILED
        if self.unfinished == 0:
            return JobState.COMPLETED
        return JobState.RUNNING if self.started else JobState.QUEUED

    @property
    def is_ended(self) -> bool:
        """Return whether nothing more will be started."""
        return self.cancelled or self.failed or self.unfinished == 0

    def due_ms(self, occurrence: int) -> int:
        """Return when that occurrence may begin, on the wall clock; 0 for at once."""
        if not self.spec.repetitions:
            return 0
        return self.spec.first_run_ms + occurrence * self.spec.interval_ms

    def tasks(self):
        """Yield all tasks."""
        for group in self.groups.values():
            yield from group.tasks


def new_job(job_id: str, queue: QueueSpec, spec: JobSpec, accepted_ms: int) -> Job:
    """Return a job with all its tasks, none of them started."""
    job = Job(job_id, queue, spec, accepted_ms)
    for occurrence in range(max(1, spec.repetitions)):
        for number, step in enumerate(spec.steps):
            group = StepGroup(job, occurrence, number, step)
            prefix = f"{job_id}.{occurrence}.{number}."
            group.tasks = [Task(prefix + str(i), group, i) for i in range(step.count)]
            group.unfinished = step.count
            job.groups[occurrence, number] = group
            job.unfinished += step.count
    return job
