"""The task ledger: jobs, workers and runs, as each control replica computes them from the log.

A run may exist from the commit of its start intent until the commit of its end
or of the end of its worker's incarnation.  A task may be started only while no
run of it may exist, unless its step allows duplicates.
"""

from collections.abc import Callable

import attrs

from ..outcomes import Accepted, Refusal
from ..registry import registry_decorator
from ..wire.generated.ttypes import (
    AcceptTasks,
    AgentAssignment,
    ContactLoss,
    EndEvidence,
    Manifest,
    PairWeight,
    RunAge,
    RunEnd,
    RunIntent,
    RunOutcome,
    WorkerLife,
    WorkerRecord,
)
from .crashes import (
    CrashNote,
    must_give_up,
    must_give_up_without_evidence,
    must_hold,
    note_replaced,
    record_crash,
    record_loss,
    withdraw_crash,
    withdraw_unclassified_crash,
)
from .early_cancels import MAX_EARLY_CANCELS, EarlyCancels
from .job import IncarnationKey, Job, StepGroup, Task, gang_members, new_job
from .manifest import find_queue
from .names import MalformedTaskName, parse_task_name
from .worker import Worker, incarnation_key

_FIXED_FIELDS = ("address", "service_name", "failure_domain", "rack", "labels")
"""What does not change within one incarnation; capacity and draining may."""

_HANDLER_BY_OUTCOME: dict[int, Callable] = {}
_handles_outcome = registry_decorator(_HANDLER_BY_OUTCOME)
"""Registers the function that updates a task after a run ended with that ``RunOutcome``."""


@attrs.frozen
class IncarnationEnd:
    """The recorded end of an incarnation."""

    incarnation: IncarnationKey
    agent_id: str | None
    """The agent that reported the end; None if the leader decided it by itself."""

    announced: bool
    """Whether the incarnation had announced its exit."""

    released_runs: list[tuple[str, int]]
    """The runs that it settled as lost, by task name and run number."""

    crash_notes: list[CrashNote]
    """What it changed in the crashes that count for tasks."""


def contradicted_fields(known: WorkerRecord, announced: WorkerRecord) -> list[str]:
    """Return what a record says otherwise though it does not change within one incarnation."""
    return [name for name in _FIXED_FIELDS if getattr(known, name) != getattr(announced, name)]


def may_correct(known: WorkerRecord, announced: WorkerRecord) -> bool:
    """Return whether a record may change what is fixed in an incarnation that has not ended.

    The leader gives such a record the token of the incarnation's agent, after it has checked it
    against the known one; heartbeats have none.  The address stays: runs were sent there, and
    only calls there tell whether they have ended.
    """
    is_checked = bool(known.fencing_token) and announced.fencing_token == known.fencing_token
    return is_checked and announced.address == known.address


@attrs.define(eq=False)
class TaskLedger:
    """Jobs, workers, and the runs of the jobs' tasks on the workers."""

    at_ms: int = 0
    """Wall-clock time of the newest command, in ms; never decreases."""

    manifest: Manifest = attrs.field(factory=lambda: Manifest(-1, [], [], ""))
    """The manifest in force; version -1 until one has been put."""

    job_by_id: dict[str, Job] = attrs.field(factory=dict)
    worker_by_incarnation: dict[IncarnationKey, Worker] = attrs.field(factory=dict)
    startable_group_by_key: dict[tuple, StepGroup] = attrs.field(factory=dict)
    """The groups with startable tasks, by ``StepGroup.key``."""

    runs_to_stop: dict[tuple[str, int], IncarnationKey] = attrs.field(factory=dict)
    """The incarnation on which each run to be stopped is, by task name and run number."""

    crashed_task_by_name: dict[str, Task] = attrs.field(factory=dict)
    """The tasks of jobs that have not ended under whose runs workers have crashed."""

    held_task_by_name: dict[str, Task] = attrs.field(factory=dict)
    """The tasks that would be startable if less was held against them; see ``must_hold``."""

    weight_by_pair: dict[tuple[str, str], float] = attrs.field(factory=dict)
    """Interference weights by best-effort image and serving image.

    Each leader starts from what earlier leaders have learned.
    """

    newest_token: int = 0
    """The newest fencing token that an agent was given."""

    early_cancels: EarlyCancels = attrs.field(factory=EarlyCancels)
    """The jobs that were cancelled before they were handed in."""

    behind_ms: int = 0
    """How far the clock of the newest command is behind ``at_ms``; no part of the state."""

    # ------------------------------------------------------------------- commands

    def put_manifest(self, manifest: Manifest) -> Accepted:
        """Replace the manifest if the new one has a higher version."""
        if manifest.version <= self.manifest.version:
            return Accepted(duplicate=True)
        self.manifest = manifest
        return Accepted()

    def accept(self, command: AcceptTasks) -> Accepted | Refusal:
        """Accept a job; one with an id that exists is a duplicate and changes nothing."""
        if command.job_id in self.job_by_id:
            return Accepted(duplicate=True)
        if command.job_id in self.early_cancels:
            return Refusal("cancelled", f"job {command.job_id} was cancelled before it came")
        queue = find_queue(self.manifest, command.host, command.path)
        if queue is None:
            return Refusal(
                "no_such_queue", f"the manifest has no queue for {command.host}{command.path}"
            )
        job = new_job(command.job_id, queue, command.spec, self.at_ms)
        self.add_job(job)
        return Accepted()

    def add_job(self, job: Job) -> None:
        """Add a job and make the tasks of its unblocked steps startable."""
        self.job_by_id[job.job_id] = job
        for group in job.groups.values():
            self._unblock_if_ready(group)

    def cancel(self, job_id: str, is_kept: bool = False) -> Accepted | Refusal:
        """Cancel a job; a job that has ended keeps its state.

        With ``is_kept``, one that is not known is refused if it is handed in later, until
        ``delete_ended_jobs`` deletes what ended at this time.
        """
        job = self.job_by_id.get(job_id)
        if job is None:
            if is_kept and not self.early_cancels.add(job_id, self.at_ms):
                return Refusal("too_many_cancels", f"{MAX_EARLY_CANCELS} unknown jobs are kept")
            return Refusal(
                "no_such_job", f"job {job_id} does not exist, or its record has been deleted"
            )
        if not job.is_ended:
            job.cancelled = True
            self._end_job(job)
        return Accepted()

    def upsert_worker(self, record: WorkerRecord) -> None:
        """Add an incarnation of a worker, or update its record.

        An incarnation that was recorded as ended and reports again is schedulable again; one that
        had announced its exit has ended for good.  What it is taken to have crashed under stays
        until it has answered: a heartbeat may come late.  Earlier versions withdrew it at once; so
        their logs have the same effect again.  A record older than the known one is ignored, and
        so is one that contradicts what is fixed before the incarnation has ended, unless it
        ``may_correct`` that.
        """
        existing = self.worker_by_incarnation.get(incarnation_key(record.life))
        if existing is None:
            # Snapshots of earlier versions may lack the incarnations that have ended.
            self._withdraw_unclassified_crashes(incarnation_key(record.life))
            record.agent_id, record.fencing_token = None, 0
            record.lost_after_ms = record.lost_before_ms = record.lost_with = None
            self.worker_by_incarnation[incarnation_key(record.life)] = Worker(record)
            return
        known = existing.record
        if (record.sequence or 0) < (known.sequence or 0):
            return
        if existing.has_ended and known.leaving:
            # What it lists was settled as lost, and must not be acknowledged.
            return
        if existing.has_ended:
            self._withdraw_unclassified_crashes(existing.key)
        elif contradicted_fields(known, record) and not may_correct(known, record):
            return
        record.seen_end = known.seen_end
        record.lost_after_ms, record.lost_before_ms = known.lost_after_ms, known.lost_before_ms
        record.lost_with = known.lost_with
        record.agent_id, record.fencing_token = known.agent_id, known.fencing_token
        if known.leaving:
            record.leaving = record.draining = True
        existing.record = record
        existing.has_ended = False

    def assign_agents(self, assignments: list[AgentAssignment], min_token: int) -> None:
        """Make agents responsible for workers, each assignment under a new fencing token."""
        for assignment in assignments:
            worker = self.worker_by_incarnation.get(incarnation_key(assignment.life))
            if worker is None or worker.has_ended:
                continue
            self.newest_token = max(self.newest_token, min_token) + 1
            worker.record.agent_id = assignment.agent_id
            worker.record.fencing_token = self.newest_token

    def record_intents(self, intents: list[RunIntent]) -> list[RunIntent]:
        """Record start intents, after which the runs may exist; return the valid ones.

        Members of a gang would only wait for one that cannot start, so they are valid together
        or not at all.
        """
        planned = [(intent, self.find_task(intent.task)) for intent in intents]
        incomplete = {
            task.step.key
            for intent, task in planned
            if task is not None and task.step.spec.gang and not self._is_valid(intent, task)
        }
        valid = []
        for intent, task in planned:
            if self._is_valid(intent, task) and task.step.key not in incomplete:
                self._record_intent(intent, task)
                valid.append(intent)
        for intent in valid:
            self._stop_partial_gang(self.find_task(intent.task).step)
        return valid

    def settle(
        self, incarnation: WorkerLife, seen_end: int, ends: list[RunEnd], fencing_token: int = 0
    ) -> None:
        """Record ends of runs on one incarnation.

        All ends up to ``seen_end`` count as settled afterwards.  Does nothing if
        ``fencing_token`` is set and is not the one of the worker's agent: the next agent may
        know better what runs there.
        """
        worker = self.worker_by_incarnation.get(incarnation_key(incarnation))
        if fencing_token and (worker is None or worker.record.fencing_token != fencing_token):
            return
        settled_up_to = worker.record.seen_end if worker else 0
        for end in ends:
            # A worker lists an end until it is acknowledged, so the same end may arrive twice.
            # Inferred ends have the number 0.
            if not 0 < end.number <= settled_up_to:
                self._settle_run(end, incarnation_key(incarnation))
        if worker is not None:
            worker.record.seen_end = max(settled_up_to, seen_end)

    def end_incarnations(
        self,
        incarnations: list[WorkerLife],
        checkpoints: list[RunEnd],
        fencing_tokens: list[int] | None = None,
        crashed: bool = False,
        worked: list[RunAge] | None = None,
        evidence: EndEvidence | None = None,
        losses: list[ContactLoss] | None = None,
    ) -> list[IncarnationEnd]:
        """Record that incarnations have ended; their remaining runs are settled as lost.

        With ``crashed``, the crash counts for the tasks of these runs, unless the incarnation
        was draining; ``worked`` says which runs it had outlived, and by how much, ``evidence``
        what the end rests on, and ``losses`` when contact was lost.  A crash in a log of an
        earlier version has no evidence; what that version gave up for it stays given up.

        ``checkpoints`` holds the last known checkpoints of these runs.  With
        ``fencing_tokens``, one for each incarnation, those that have another agent meanwhile
        are left as they are.
        """
        checkpoint_by_run = {(end.task, end.run): end.checkpoint for end in checkpoints}
        ended: list[Worker] = []
        for position, incarnation in enumerate(incarnations):
            worker = self.worker_by_incarnation.get(incarnation_key(incarnation))
            if worker is None or worker in ended:
                # An agent reports an end until it is applied, and reports may share a command.
                continue
            if fencing_tokens and worker.record.fencing_token != fencing_tokens[position]:
                continue
            ended.append(worker)
            if crashed and losses and losses[position].heard_ms >= 0 and not worker.has_ended:
                # ``at_ms`` stands still after a clock was ahead, and cannot tell losses apart then.
                now_ms = self.at_ms - self.behind_ms
                record_loss(worker, losses[position], now_ms, self.worker_by_incarnation.values())
        ends = []
        for worker in ended:
            worker.has_ended = True
            agent_id = worker.record.agent_id if fencing_tokens else None
            worker.record.agent_id, worker.record.fencing_token = None, 0
            notes = []
            if crashed and not worker.record.draining:
                notes = self._record_crash(worker, worked or [], evidence)
            released_runs = list(worker.task_by_run)
            announced = bool(worker.record.leaving)
            ends.append(IncarnationEnd(worker.key, agent_id, announced, released_runs, notes))
            for name, run in released_runs:
                checkpoint = checkpoint_by_run.get((name, run), "")
                self._settle_run(RunEnd(name, run, RunOutcome.LOST, checkpoint, 0), worker.key)
        self._release_held_tasks()
        return ends

    def _record_crash(
        self, worker: Worker, worked: list[RunAge], evidence: EndEvidence | None
    ) -> list[CrashNote]:
        """Count a crash for the tasks whose runs it ended."""
        worker.crashed_ms = self.at_ms
        is_proven = None if evidence is None else evidence == EndEvidence.REPLACED
        notes = record_crash(worker, worked, is_proven)
        tasks = [self.find_task(note.task) for note in notes]
        for task in tasks:
            self.crashed_task_by_name[task.name] = task
            self._hold_startable_members(task)
        if evidence is None:
            for task in tasks:
                if must_give_up_without_evidence(task):
                    self.fail_job(task.step.job)
        return notes

    def _withdraw_unclassified_crashes(self, incarnation: IncarnationKey) -> None:
        """Drop the crashes of an incarnation that an earlier version recorded."""
        for task in self.crashed_task_by_name.values():
            withdraw_unclassified_crash(task, incarnation)
        self._release_held_tasks()

    def withdraw_crashes(self, incarnations: list[WorkerLife]) -> None:
        """Drop the crashes of incarnations that have answered since: they were only silent."""
        for task in self.crashed_task_by_name.values():
            for incarnation in incarnations:
                withdraw_crash(task, incarnation_key(incarnation))
        self._release_held_tasks()

    def note_replaced(self, incarnations: list[WorkerLife]) -> None:
        """Note that incarnations never answer again: a later one has, at the same address."""
        for task in self.crashed_task_by_name.values():
            for incarnation in incarnations:
                note_replaced(task, incarnation_key(incarnation))

    def give_up(self, names: list[str]) -> list[str]:
        """Fail the jobs of those tasks under which enough workers are known to have crashed.

        Return the names of these tasks.
        """
        given_up = []
        for name in names:
            task = self.find_task(name)
            if task is None or task.done or task.step.job.is_ended:
                continue
            if must_give_up(task, self.worker_by_incarnation):
                self.fail_job(task.step.job)
                given_up.append(name)
        return given_up

    def _is_held(self, task: Task) -> bool:
        return must_hold(task, self.worker_by_incarnation)

    def _hold_startable_members(self, task: Task) -> None:
        """Hold the members of a gang that were startable before the crash of another one."""
        group = task.step
        if not group.startable_indexes or not group.spec.gang or not self._is_held(task):
            return
        for index in group.startable_indexes:
            self.held_task_by_name[group.tasks[index].name] = group.tasks[index]
        group.startable_indexes.clear()
        self._update_startable_groups(group)

    def _release_held_tasks(self) -> None:
        """Make the tasks startable that are held no more."""
        for name, task in list(self.held_task_by_name.items()):
            if task.done or task.step.job.is_ended or not self._is_held(task):
                del self.held_task_by_name[name]
                self._make_startable_if_idle(task)

    def delete_ended_jobs(self, ended_before_ms: int) -> int:
        """Delete jobs that ended before that time and have no run left; return how many.

        Deletes the early cancels before that time as well.
        """
        self.early_cancels.delete_before(ended_before_ms)
        deletable = list(self._deletable_jobs(ended_before_ms))
        for job in deletable:
            del self.job_by_id[job.job_id]
            # Its parts refer to each other, and the collector may have been told to spare them.
            for group in job.groups.values():
                group.tasks.clear()
            job.groups.clear()
        return len(deletable)

    def has_jobs_ended_before(self, ended_before_ms: int) -> bool:
        """Return whether ``delete_ended_jobs`` would delete anything."""
        if self.early_cancels.has_before(ended_before_ms):
            return True
        return any(True for _ in self._deletable_jobs(ended_before_ms))

    def _deletable_jobs(self, ended_before_ms: int):
        for job in self.job_by_id.values():
            if not job.is_ended or job.ended_ms >= ended_before_ms:
                continue
            if not any(task.incarnation_by_run for task in job.tasks()):
                yield job

    def update_weights(self, weights: list[PairWeight]) -> None:
        """Store the interference weights that a leader has learned."""
        for pair in weights:
            self.weight_by_pair[pair.filling_image, pair.serving_image] = pair.weight

    # -------------------------------------------------------------------- queries

    def find_task(self, name: str) -> Task | None:
        """Return the task with that name, or None."""
        try:
            parts = parse_task_name(name)
        except MalformedTaskName:
            return None
        job = self.job_by_id.get(parts.job_id)
        group = job.groups.get((parts.occurrence, parts.step)) if job else None
        if group is None or not 0 <= parts.index < len(group.tasks):
            return None
        return group.tasks[parts.index]

    def queued_job_count(self, queue_name: str, now_ms: int | None = None) -> int:
        """Return how many jobs of a queue have not ended and have had no task started.

        With ``now_ms``, the wall-clock time, a job counts as well whose runs have all just been
        planned: the workers may refuse them, and the count may be as old as that.
        """
        return sum(
            1
            for job in self.job_by_id.values()
            if job.queue.name == queue_name and not job.is_ended and self._is_queued(job, now_ms)
        )

    def _is_queued(self, job: Job, now_ms: int | None) -> bool:
        if not job.started:
            return True
        return now_ms is not None and job.was_waiting(now_ms, self.at_ms - self.behind_ms)

    # -------------------------------------------------------------------- helpers

    def _is_valid(self, intent: RunIntent, task: Task | None) -> bool:
        worker = self.worker_by_incarnation.get(incarnation_key(intent.life))
        if task is None or worker is None or not worker.is_schedulable:
            return False
        group = task.step
        if group.job.is_ended or task.done or not group.is_unblocked or intent.run <= task.runs:
            return False
        if self._is_held(task):
            return False
        return group.spec.allow_duplicates or not task.incarnation_by_run

    def _record_intent(self, intent: RunIntent, task: Task) -> None:
        worker = self.worker_by_incarnation[incarnation_key(intent.life)]
        group = task.step
        task.runs = intent.run
        task.incarnation_by_run[intent.run] = worker.key
        worker.add_run(task, intent.run)
        group.job.existing_runs += 1
        group.job.planned_ms_by_run[task.name, intent.run] = self.at_ms - self.behind_ms
        group.startable_indexes.discard(task.index)
        self._update_startable_groups(group)

    def _settle_run(self, end: RunEnd, key: IncarnationKey) -> None:
        task = self.find_task(end.task)
        if task is None:
            return
        if end.run > task.runs:
            return
        self._release_run(task, end.run, key)
        if end.outcome != RunOutcome.NEVER_RAN:
            task.step.job.has_begun = True
        self._note_checkpoint(task, end)
        _HANDLER_BY_OUTCOME[end.outcome](self, task, key)
        self._make_startable_if_idle(task)
        self._stop_partial_gang(task.step)

    def _note_checkpoint(self, task: Task, end: RunEnd) -> None:
        """Keep the checkpoint of an ended run, for all of its gang, unless a newer one is known.

        Ends of one run come in any order.  What was last seen of a run that was lost is older
        than what the other members of its gang saved when they ended.
        """
        if not end.checkpoint:
            return
        is_reported = end.number > 0
        if end.run > task.checkpoint_run or (end.run == task.checkpoint_run and is_reported):
            for member in gang_members(task):
                member.checkpoint, member.checkpoint_run = end.checkpoint, end.run

    def _release_run(self, task: Task, run: int, key: IncarnationKey) -> None:
        if task.incarnation_by_run.get(run) != key:
            return
        del task.incarnation_by_run[run]
        task.step.job.existing_runs -= 1
        task.step.job.planned_ms_by_run.pop((task.name, run), None)
        self.runs_to_stop.pop((task.name, run), None)
        worker = self.worker_by_incarnation.get(key)
        if worker is not None:
            worker.remove_run(task, run)

    def _stop_partial_gang(self, group: StepGroup) -> None:
        """Have the runs of a gang stopped unless each member has one of the same number.

        They would wait for the others until they time out, and the gang can start again only
        after that.
        """
        if not group.spec.gang or not group.unfinished or group.job.is_ended:
            return
        placed = [
            (task.name, run, key)
            for task in group.tasks
            for run, key in task.incarnation_by_run.items()
        ]
        is_whole = len(placed) == len(group.tasks) and len({run for _, run, _ in placed}) == 1
        for name, run, key in placed:
            if is_whole:
                self.runs_to_stop.pop((name, run), None)
            else:
                self.runs_to_stop[name, run] = key

    def _make_startable_if_idle(self, task: Task) -> None:
        """Make a task startable, unless it is done or blocked or a run of it may exist."""
        group = task.step
        if task.done or task.incarnation_by_run or group.job.is_ended or not group.is_unblocked:
            return
        if self._is_held(task):
            self.held_task_by_name[task.name] = task
            return
        self.held_task_by_name.pop(task.name, None)
        group.startable_indexes.add(task.index)
        self._update_startable_groups(group)

    def _update_startable_groups(self, group: StepGroup) -> None:
        if group.startable_indexes:
            self.startable_group_by_key[group.key] = group
        else:
            self.startable_group_by_key.pop(group.key, None)

    def _unblock_if_ready(self, group: StepGroup) -> None:
        required = (group.job.groups[group.occurrence, number] for number in group.spec.after or [])
        if group.is_unblocked or group.job.is_ended or any(step.unfinished for step in required):
            return
        group.is_unblocked = True
        for task in group.tasks:
            self._make_startable_if_idle(task)

    def finish_task(self, task: Task) -> None:
        """Mark a task as done, have its other runs stopped, and unblock dependent steps."""
        if task.done:
            return
        group, job = task.step, task.step.job
        task.done = True
        group.startable_indexes.discard(task.index)
        self._update_startable_groups(group)
        self.crashed_task_by_name.pop(task.name, None)
        self.held_task_by_name.pop(task.name, None)
        group.unfinished -= 1
        job.unfinished -= 1
        for run, key in task.incarnation_by_run.items():
            self.runs_to_stop[task.name, run] = key
        if group.unfinished == 0:
            for dependent in job.groups.values():
                if dependent.occurrence == group.occurrence and group.number in (
                    dependent.spec.after or []
                ):
                    self._unblock_if_ready(dependent)
        if job.unfinished == 0 and not job.ended_ms:
            job.ended_ms = self.at_ms

    def fail_job(self, job: Job) -> None:
        """Mark a job as failed, unless it has ended."""
        if not job.is_ended:
            job.failed = True
            self._end_job(job)

    def _end_job(self, job: Job) -> None:
        job.ended_ms = self.at_ms
        for group in job.groups.values():
            group.startable_indexes.clear()
            self._update_startable_groups(group)
            for task in group.tasks:
                self.crashed_task_by_name.pop(task.name, None)
                self.held_task_by_name.pop(task.name, None)
                for run, key in task.incarnation_by_run.items():
                    self.runs_to_stop[task.name, run] = key


@_handles_outcome(RunOutcome.DONE)
def _done(ledger: TaskLedger, task: Task, key: IncarnationKey) -> None:
    if task.step.spec.lasting:
        return
    for member in gang_members(task):
        # The members of a gang end together: one that is done completes all of them.
        if member is not task:
            for run, incarnation in list(member.incarnation_by_run.items()):
                ledger._release_run(member, run, incarnation)
        ledger.finish_task(member)


@_handles_outcome(RunOutcome.FAILED)
def _failed(ledger: TaskLedger, task: Task, key: IncarnationKey) -> None:
    if task.done:
        return
    task.failures += 1
    task.failed_on = key[0]
    if task.step.spec.lasting:
        return
    failures = sum(member.failures for member in gang_members(task))
    if failures >= task.step.job.queue.max_attempts:
        ledger.fail_job(task.step.job)


@_handles_outcome(RunOutcome.STOPPED)
@_handles_outcome(RunOutcome.LAPSED)
@_handles_outcome(RunOutcome.BROKEN)
@_handles_outcome(RunOutcome.ALONE)
@_handles_outcome(RunOutcome.LOST)
@_handles_outcome(RunOutcome.NEVER_RAN)
def _ended_without_result(ledger: TaskLedger, task: Task, key: IncarnationKey) -> None:
    """Leave the task as it is; the outcome counts as no failure, and it may be started again."""
