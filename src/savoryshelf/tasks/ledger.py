"""All jobs, workers and runs, as every control replica computes them from the log.

A run may exist from the moment its intent is committed until its end, or the
end of its worker's life, is committed.  A task without such a run may be
started; nothing else may.
"""

from collections.abc import Callable

import attrs

from ..outcomes import Accepted, Refusal
from ..registry import registering
from ..wire.generated.ttypes import (
    AcceptTasks,
    Manifest,
    PairWeight,
    RunEnd,
    RunIntent,
    RunOutcome,
    WorkerLife,
    WorkerRecord,
)
from .job import Job, LifeKey, StepGroup, Task, new_job
from .manifest import find_queue
from .names import MalformedTaskName, parse_task_name
from .worker import Worker, life_key

_SETTLERS: dict[int, Callable] = {}
_settles = registering(_SETTLERS)
"""Registers what an end means for its task, by ``RunOutcome``."""


@attrs.define(eq=False)
class TaskLedger:
    """Jobs, workers and the runs that join them."""

    at_ms: int = 0
    """Wall-clock time of the newest command; never goes back."""

    manifest: Manifest = attrs.field(factory=lambda: Manifest(-1, [], [], ""))
    job_by_id: dict[str, Job] = attrs.field(factory=dict)
    worker_by_life: dict[LifeKey, Worker] = attrs.field(factory=dict)
    startable_by_key: dict[tuple, StepGroup] = attrs.field(factory=dict)
    unwanted: dict[tuple[str, int], LifeKey] = attrs.field(factory=dict)
    """Runs to be stopped, by task name and run number."""

    weight_by_pair: dict[tuple[str, str], float] = attrs.field(factory=dict)
    """What leaders have learned of filling and serving images, for the next one."""

    # ------------------------------------------------------------------- commands

    def put_manifest(self, manifest: Manifest) -> Accepted:
        """Put a manifest in force if its version is higher than the one held."""
        if manifest.version <= self.manifest.version:
            return Accepted(duplicate=True)
        self.manifest = manifest
        return Accepted()

    def accept(self, command: AcceptTasks) -> Accepted | Refusal:
        """Accept a job once; a resend finds the first."""
        if command.job_id in self.job_by_id:
            return Accepted(duplicate=True)
        queue = find_queue(self.manifest, command.host, command.path)
        if queue is None:
            return Refusal("no_such_queue", f"no queue for {command.host}{command.path}")
        job = new_job(command.job_id, queue, command.spec, self.at_ms)
        self.add_job(job)
        return Accepted()

    def add_job(self, job: Job) -> None:
        """Take in a job and offer the tasks whose turn has come."""
        self.job_by_id[job.job_id] = job
        for group in job.groups.values():
            self._open_if_due(group)

    def cancel(self, job_id: str) -> Accepted | Refusal:
        """Cancel a job; one that ended keeps its end."""
        job = self.job_by_id.get(job_id)
        if job is None:
            return Refusal("no_such_job", f"no job {job_id} is known")
        if not job.is_ended:
            job.cancelled = True
            self._close(job)
        return Accepted()

    def note_worker(self, record: WorkerRecord) -> None:
        """Take in a worker's life, or what changed of it."""
        known = self.worker_by_life.get(life_key(record.life))
        if known is None:
            self.worker_by_life[life_key(record.life)] = Worker(record)
            return
        record.seen_end = known.record.seen_end
        known.record = record
        known.is_over = False

    def intend(self, intents: list[RunIntent]) -> list[RunIntent]:
        """Record that runs may exist from now on; return the intents which hold."""
        return [intent for intent in intents if self._intend_one(intent)]

    def settle(self, life: WorkerLife, seen_end: int, ends: list[RunEnd]) -> None:
        """Record ends of runs in one life, which lists them up to ``seen_end``."""
        worker = self.worker_by_life.get(life_key(life))
        seen_before = worker.record.seen_end if worker else 0
        for end in ends:
            # A worker lists an end until it is acknowledged, so it may be read twice.
            if not 0 < end.number <= seen_before:
                self._settle_one(end, life_key(life))
        if worker is not None:
            worker.record.seen_end = max(seen_before, seen_end)

    def end_lives(self, lives: list[WorkerLife], checkpoints: list[RunEnd]) -> None:
        """Record that lives are surely over: whatever ran in them is lost."""
        checkpoint_by_run = {(end.task, end.run): end.checkpoint for end in checkpoints}
        for life in lives:
            worker = self.worker_by_life.get(life_key(life))
            if worker is None:
                continue
            worker.is_over = True
            for name, run in list(worker.task_by_run):
                checkpoint = checkpoint_by_run.get((name, run), "")
                self._settle_one(RunEnd(name, run, RunOutcome.LOST, checkpoint, 0), worker.key)

    def forget(self, ended_before_ms: int) -> int:
        """Forget jobs that ended before that time and have no run left; return how many."""
        old = list(self._ended_before(ended_before_ms))
        for job in old:
            del self.job_by_id[job.job_id]
        return len(old)

    def has_ended_before(self, ended_before_ms: int) -> bool:
        """Return whether there is a job to forget."""
        return any(True for _ in self._ended_before(ended_before_ms))

    def _ended_before(self, ended_before_ms: int):
        for job in self.job_by_id.values():
            if not job.is_ended or job.ended_ms >= ended_before_ms:
                continue
            if not any(task.life_by_run for task in job.tasks()):
                yield job

    def note_weights(self, weights: list[PairWeight]) -> None:
        """Keep what a leader has learned of pairs of images."""
        for each in weights:
            self.weight_by_pair[each.filling_image, each.serving_image] = each.weight

    # -------------------------------------------------------------------- queries

    def find_task(self, name: str) -> Task | None:
        """Return the task of that name, or None."""
        try:
            parts = parse_task_name(name)
        except MalformedTaskName:
            return None
        job = self.job_by_id.get(parts.job_id)
        group = job.groups.get((parts.occurrence, parts.step)) if job else None
        if group is None or not 0 <= parts.index < len(group.tasks):
            return None
        return group.tasks[parts.index]

    def waiting(self, queue_name: str) -> int:
        """Return how many jobs of a queue have had no task started."""
        return sum(
            1
            for job in self.job_by_id.values()
            if job.queue.name == queue_name and not job.started and not job.is_ended
        )

    # -------------------------------------------------------------------- helpers

    def _intend_one(self, intent: RunIntent) -> bool:
        task, worker = self.find_task(intent.task), self.worker_by_life.get(life_key(intent.life))
        if task is None or worker is None or not worker.takes_work:
            return False
        group = task.step
        if group.job.is_ended or task.done or not group.is_open or intent.run <= task.runs:
            return False
        is_copy = bool(task.life_by_run)
        if is_copy and not group.spec.allow_duplicates:
            return False
        task.runs = intent.run
        task.life_by_run[intent.run] = worker.key
        worker.place(task, intent.run)
        group.job.started = True
        group.startable.discard(task.index)
        self._index(group)
        return True

    def _settle_one(self, end: RunEnd, key: LifeKey) -> None:
        task = self.find_task(end.task)
        if task is None:
            return
        if end.run > task.runs:
            return
        self._release(task, end.run, key)
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        _SETTLERS[end.outcome](self, task, key)
        self._offer(task)

    def _release(self, task: Task, run: int, key: LifeKey) -> None:
        if task.life_by_run.get(run) != key:
            return
        del task.life_by_run[run]
        self.unwanted.pop((task.name, run), None)
        worker = self.worker_by_life.get(key)
        if worker is not None:
            worker.release(task, run)

    def _offer(self, task: Task) -> None:
        """Make a task startable again if nothing of it can be running."""
        group = task.step
        if task.done or task.life_by_run or group.job.is_ended or not group.is_open:
            return
        group.startable.add(task.index)
        self._index(group)

    def _index(self, group: StepGroup) -> None:
        if group.startable:
            self.startable_by_key[group.key] = group
        else:
            self.startable_by_key.pop(group.key, None)

    def _open_if_due(self, group: StepGroup) -> None:
        before = (group.job.groups[group.occurrence, number] for number in group.spec.after or [])
        if group.is_open or group.job.is_ended or any(step.unfinished for step in before):
            return
        group.is_open = True
        for task in group.tasks:
            self._offer(task)

    def finish(self, task: Task) -> None:
        """Note that a task is done, and open the steps that waited for it."""
        if task.done:
            return
        group, job = task.step, task.step.job
        task.done = True
        group.startable.discard(task.index)
        self._index(group)
        group.unfinished -= 1
        job.unfinished -= 1
        for run, key in task.life_by_run.items():
            self.unwanted[task.name, run] = key
        if group.unfinished == 0:
            for later in job.groups.values():
                if later.occurrence == group.occurrence and group.number in (
                    later.spec.after or []
                ):
                    self._open_if_due(later)
        if job.unfinished == 0 and not job.ended_ms:
            job.ended_ms = self.at_ms

    def fail(self, job: Job) -> None:
        """Give a job up."""
        if not job.is_ended:
            job.failed = True
            self._close(job)

    def _close(self, job: Job) -> None:
        job.ended_ms = self.at_ms
        for group in job.groups.values():
            group.startable.clear()
            self._index(group)
            for task in group.tasks:
                for run, key in task.life_by_run.items():
                    self.unwanted[task.name, run] = key


def _gang_of(task: Task) -> list[Task]:
    return task.step.tasks if task.step.spec.gang else [task]


@_settles(RunOutcome.DONE)
def _done(ledger: TaskLedger, task: Task, key: LifeKey) -> None:
    if task.step.spec.lasting:
        return
    for member in _gang_of(task):
        # The members of a gang end together, and one end stands for all.
        if member is not task:
            for run, life in list(member.life_by_run.items()):
                ledger._release(member, run, life)
        ledger.finish(member)


@_settles(RunOutcome.FAILED)
def _failed(ledger: TaskLedger, task: Task, key: LifeKey) -> None:
    if task.done:
        return
    task.failures += 1
    task.failed_on = key[0]
    if task.step.spec.lasting:
        return
    failures = sum(member.failures for member in _gang_of(task))
    if failures >= task.step.job.queue.max_attempts:
        ledger.fail(task.step.job)


@_settles(RunOutcome.STOPPED)
@_settles(RunOutcome.LAPSED)
@_settles(RunOutcome.BROKEN)
@_settles(RunOutcome.ALONE)
@_settles(RunOutcome.LOST)
@_settles(RunOutcome.NEVER_RAN)
def _ended_without_result(ledger: TaskLedger, task: Task, key: LifeKey) -> None:
    """Nothing counts against the task: it is offered again."""
