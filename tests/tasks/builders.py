"""Builders of manifests, workers, jobs and task ledgers, with defaults for tests."""

from savoryshelf.tasks.ledger import TaskLedger
from savoryshelf.wire.generated.ttypes import (
    AcceptTasks,
    JobSpec,
    Manifest,
    QueueSpec,
    RunEnd,
    RunIntent,
    ServiceSpec,
    StepSpec,
    WorkerLife,
    WorkerRecord,
)

JOB = "00000000000000a1"
HOST = "quotes.example"


def step(count=1, **fields):
    defaults = {
        "millicores": 1000,
        "memory_mb": 100,
        "accelerators": 0,
        "estimated_ms": 500,
        "after": [],
        "checkpointing": False,
        "gang": False,
        "same_rack": False,
        "required_label": "",
        "data_rack": "",
        "max_per_worker": 0,
        "allow_duplicates": False,
        "lasting": False,
        "image": "",
        "target_ms": 0,
        "filling": False,
        "may_miss": 0,
    }
    return StepSpec(count=count, **(defaults | fields))


def queue(name="quotes", prefix="/quotes/", priority=0, max_attempts=2):
    return QueueSpec(name, HOST, prefix, "dispatch", priority, max_attempts, 1.5, 500)


def manifest(version=1, queues=None):
    return Manifest(version, queues or [queue()], [ServiceSpec("dispatch", True, False)], "{}")


def worker(worker_id="w1", born_ms=1, millicores=4000, memory_mb=1000, rack="r1", labels=("a",)):
    return WorkerRecord(
        WorkerLife(worker_id, born_ms), "dispatch", "10.0.0.1:80", "zone-a", rack, list(labels),
        millicores, memory_mb, 0, False, 0,
    )  # fmt: skip


def ledger(*workers):
    task_ledger = TaskLedger()
    task_ledger.put_manifest(manifest())
    for record in workers or [worker()]:
        task_ledger.upsert_worker(record)
    return task_ledger


def accept(task_ledger, *steps, job_id=JOB, prefix="/quotes/", repetitions=0, first_run_ms=0):
    spec = JobSpec("work", list(steps), repetitions, first_run_ms, 1000)
    return task_ledger.accept(AcceptTasks(job_id, HOST, prefix + job_id, spec))


def record_intent(task_ledger, task, run=1, incarnation=("w1", 1)):
    return task_ledger.record_intents([RunIntent(task, run, WorkerLife(*incarnation))])


def settle_run(task_ledger, task, outcome, run=1, incarnation=("w1", 1), checkpoint="", number=0):
    ended = RunEnd(task, run, outcome, checkpoint, number)
    task_ledger.settle(WorkerLife(*incarnation), number, [ended])
