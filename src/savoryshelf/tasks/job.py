"""A job, its tasks grouped by occurrence and step, and the progress of each task."""

import enum

import attrs

from ..wire.generated.ttypes import JobSpec, QueueSpec, StepSpec

IncarnationKey = tuple[str, int]
"""Worker id and start time (wall clock, ms): identifies one incarnation of a worker."""


MAX_WAITING_AGE_MS = 1500
"""How old a count of waiting jobs may be, in ms: 2 s, less the time that its answer takes."""


class JobState(enum.Enum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


@attrs.frozen
class Crash:
    """The crash of a worker under a run of a task."""

    run: int
    incarnation: IncarnationKey
    on_start: bool
    """Whether the worker is not known to have outlived the start of the run."""

    is_sole: bool
    """Whether no other task, or gang, had a run on the worker that it may not have outlived."""

    is_certain: bool
    """Whether the run is known to have started there, rather than to have been sent there."""

    is_proven: bool | None = False
    """Whether the worker is known to have ended, rather than to have been silent for long.

    None if an earlier version recorded the crash, which did not tell these apart.
    """

    is_replaced: bool = False
    """Whether a later incarnation has answered at its address, so that it never answers again."""


@attrs.define(eq=False)
class Task:
    """A task and those of its runs that may exist now."""

    name: str
    step: "StepGroup"
    index: int
    runs: int = 0
    """Number of the newest run; runs are numbered from 1, and 0 means no run yet."""

    failures: int = 0
    done: bool = False
    checkpoint: str = ""
    """The newest checkpoint; the next run resumes from it.  All members of a gang have the same."""

    checkpoint_run: int = 0
    """Number of the run that the checkpoint came from; 0 if there is none."""

    failed_on: str = ""
    """Id of the worker on which the most recent failure or crash happened; empty if none did."""

    crashes: list[Crash] = attrs.field(factory=list)
    """Crashes of workers under runs of the task that have not been explained otherwise."""

    incarnation_by_run: dict[int, IncarnationKey] = attrs.field(factory=dict)
    """Where each run that may exist was placed, by run number."""


@attrs.define(eq=False)
class StepGroup:
    """The tasks of one step in one occurrence of a job."""

    job: "Job"
    occurrence: int
    number: int
    spec: StepSpec
    tasks: list[Task] = attrs.field(factory=list)
    unfinished: int = 0
    """Number of tasks that are not done."""

    startable_indexes: set[int] = attrs.field(factory=set)
    """Indexes of the tasks that may be started now: unblocked, not done, and without a run."""

    is_unblocked: bool = False
    """Whether all tasks of the steps that this one depends on are done."""

    @property
    def key(self) -> tuple[str, int, int]:
        """Return the key that identifies this group: job id, occurrence and step number."""
        return self.job.job_id, self.occurrence, self.number


@attrs.define(eq=False)
class Job:
    """An accepted job with the tasks of all its occurrences."""

    job_id: str
    queue: QueueSpec
    spec: JobSpec
    accepted_ms: int
    groups: dict[tuple[int, int], StepGroup] = attrs.field(factory=dict)
    unfinished: int = 0
    """Number of tasks that are not done, over all occurrences."""

    has_begun: bool = False
    """Whether a run of it that has ended had begun."""

    existing_runs: int = 0
    """Number of its runs that may exist."""

    planned_ms_by_run: dict[tuple[str, int], int] = attrs.field(factory=dict)
    """When those runs were planned, by task name and run number; no part of the state.

    Wall-clock times (ms) of the commands.  Snapshots do not have them.
    """

    cancelled: bool = False
    failed: bool = False
    ended_ms: int = 0

    @property
    def state(self) -> JobState:
        """Return the state to report to callers."""
        if self.cancelled:
            return JobState.CANCELLED
        if self.failed:
            return JobState.FAILED
        if self.unfinished == 0:
            return JobState.COMPLETED
        return JobState.RUNNING if self.started else JobState.QUEUED

    @property
    def started(self) -> bool:
        """Return whether a run of it has begun, or may have.

        A start that a worker refused counts only until that is known.
        """
        return self.has_begun or self.existing_runs > 0

    def was_waiting(self, now_ms: int, command_ms: int) -> bool:
        """Return whether no run of it had begun ``MAX_WAITING_AGE_MS`` ago, as far as is known.

        ``command_ms`` is the time of the newest command.  A run that was planned by a leader
        whose clock differs from it, or from ``now_ms``, may have begun before.
        """
        if self.has_begun or len(self.planned_ms_by_run) < self.existing_runs:
            return False
        return all(
            0 <= command_ms - planned_ms < MAX_WAITING_AGE_MS
            and 0 <= now_ms - planned_ms < MAX_WAITING_AGE_MS
            for planned_ms in self.planned_ms_by_run.values()
        )

    @property
    def is_ended(self) -> bool:
        """Return whether the job has ended, so that no more runs are started."""
        return self.cancelled or self.failed or self.unfinished == 0

    def due_ms(self, occurrence: int) -> int:
        """Return the wall-clock time (ms) from which an occurrence may start; 0 for at once."""
        if not self.spec.repetitions:
            return 0
        return self.spec.first_run_ms + occurrence * self.spec.interval_ms

    def tasks(self):
        """Yield the tasks of all occurrences and steps."""
        for group in self.groups.values():
            yield from group.tasks


def gang_members(task: Task) -> list[Task]:
    """Return the tasks that start and end together with a task, including itself."""
    return task.step.tasks if task.step.spec.gang else [task]


def share_newest_checkpoint(group: StepGroup) -> None:
    """Give all members of a gang the newest checkpoint that one of them has."""
    if not group.tasks:
        # Earlier versions accepted steps without tasks.
        return
    newest = max(group.tasks, key=lambda task: (task.checkpoint_run, bool(task.checkpoint)))
    for member in group.tasks:
        member.checkpoint, member.checkpoint_run = newest.checkpoint, newest.checkpoint_run


def new_job(job_id: str, queue: QueueSpec, spec: JobSpec, accepted_ms: int) -> Job:
    """Return a job with the tasks of all its occurrences, none of them started."""
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
