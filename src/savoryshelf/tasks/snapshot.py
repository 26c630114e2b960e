"""Encodes the task ledger as a snapshot, and decodes it.

It holds the incarnations of workers that have ended as well: one that reports again has to be
treated alike by all replicas.
"""

import contextlib
import gc
from collections.abc import Iterator

from ..wire import codec
from ..wire.generated.ttypes import (
    CrashRecord,
    JobRecord,
    PairWeight,
    PlacedRun,
    TaskRecord,
    TaskSnapshot,
    WorkerLife,
)
from .job import Crash, Job, Task, new_job, share_newest_checkpoint
from .ledger import TaskLedger
from .worker import Worker, incarnation_key


@contextlib.contextmanager
def _without_collections() -> Iterator[None]:
    """Keep the garbage collector from running in the block, which must not wait.

    It runs again and again while many objects are made, goes through the whole ledger at times
    and finds nothing, while the replica sends no heartbeat.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


@_without_collections()
def save(ledger: TaskLedger) -> bytes:
    """Return the encoded ledger."""
    tracked = [
        worker
        for _, worker in sorted(ledger.worker_by_incarnation.items(), key=lambda item: item[0])
    ]
    workers = [w.record for w in tracked if not w.has_ended]
    ended_workers = [w.record for w in tracked if w.has_ended]
    jobs = [_job_record(job) for job in ledger.job_by_id.values()]
    weights = [PairWeight(*pair, weight) for pair, weight in ledger.weight_by_pair.items()]
    return codec.encode(
        TaskSnapshot(
            ledger.at_ms,
            ledger.manifest,
            workers,
            jobs,
            weights,
            ledger.newest_token,
            ended_workers,
            ledger.early_cancels.at_ms_by_job_id,
        )  # fmt: skip
    )


@_without_collections()
def load(data: bytes) -> TaskLedger:
    """Return the ledger decoded from what ``save`` returned."""
    snapshot = codec.decode(TaskSnapshot, data)
    ledger = TaskLedger(snapshot.at_ms, snapshot.manifest)
    ledger.newest_token = snapshot.newest_token or 0
    ledger.update_weights(snapshot.weights)
    for record in snapshot.workers:
        ledger.worker_by_incarnation[incarnation_key(record.life)] = Worker(record)
    for record in snapshot.ended_workers or []:
        worker = ledger.worker_by_incarnation[incarnation_key(record.life)] = Worker(record)
        worker.has_ended = True
    for record in snapshot.jobs:
        _load_job(ledger, record)
    early_cancels = snapshot.early_cancels or {}
    for job_id, at_ms in sorted(early_cancels.items(), key=lambda item: item[1]):
        ledger.early_cancels.add(job_id, at_ms)
    return ledger


def _job_record(job: Job) -> JobRecord:
    return JobRecord(
        job_id=job.job_id,
        queue=job.queue,
        spec=job.spec,
        accepted_ms=job.accepted_ms,
        ended_ms=job.ended_ms,
        cancelled=job.cancelled,
        failed=job.failed,
        # The members of a gang that is done need not all have had a run.
        tasks=[_task_record(task) for task in job.tasks() if task.runs or task.done],
        started=job.started,
        begun=job.has_begun,
    )


def _task_record(task: Task) -> TaskRecord:
    placed = [PlacedRun(run, WorkerLife(*key)) for run, key in task.incarnation_by_run.items()]
    crashes = [
        CrashRecord(
            crash.run,
            WorkerLife(*crash.incarnation),
            crash.on_start,
            crash.is_sole,
            crash.is_certain,
            crash.is_proven,
            crash.is_replaced,
        )
        for crash in task.crashes
    ]
    return TaskRecord(
        task.name, task.runs, task.failures, task.done, task.checkpoint, placed, task.failed_on,
        crashes, task.checkpoint_run,
    )  # fmt: skip


def _load_job(ledger: TaskLedger, record: JobRecord) -> None:
    job = new_job(record.job_id, record.queue, record.spec, record.accepted_ms)
    # Snapshots of earlier versions count planned starts.
    job.has_begun = record.started if record.begun is None else record.begun
    ledger.job_by_id[job.job_id] = job
    for task_record in record.tasks:
        _load_task(ledger, task_record)
    for group in job.groups.values():
        if group.spec.gang:
            # Members without a run have no record, and in earlier versions each had its own value.
            share_newest_checkpoint(group)
            ledger._stop_partial_gang(group)
        ledger._unblock_if_ready(group)
    if record.failed or record.cancelled:
        job.failed, job.cancelled = record.failed, record.cancelled
        ledger._end_job(job)
    job.ended_ms = record.ended_ms


def _load_task(ledger: TaskLedger, task_record: TaskRecord) -> None:
    task = ledger.find_task(task_record.task)
    task.runs, task.failures = task_record.runs, task_record.failures
    task.checkpoint, task.failed_on = task_record.checkpoint, task_record.failed_on
    task.checkpoint_run = task_record.checkpoint_run or 0
    for crash in task_record.crashes or []:
        key = incarnation_key(crash.life)
        task.crashes.append(
            Crash(
                crash.run, key, crash.on_start, crash.sole, crash.certain, crash.proven,
                bool(crash.replaced),
            )
        )  # fmt: skip
    if task.crashes:
        ledger.crashed_task_by_name[task.name] = task
    for placed in task_record.placed:
        key = incarnation_key(placed.life)
        worker = ledger.worker_by_incarnation.get(key)
        if worker is None:
            continue
        task.incarnation_by_run[placed.run] = key
        task.step.job.existing_runs += 1
        worker.add_run(task, placed.run)
    if task_record.done:
        task.step.unfinished -= 1
        task.step.job.unfinished -= 1
        task.done = True
        ledger.crashed_task_by_name.pop(task.name, None)
        for run, key in task.incarnation_by_run.items():
            ledger.runs_to_stop[task.name, run] = key
