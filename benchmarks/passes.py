"""Processor time of one pass of the leader by size of the fleet and of the backlog, no network."""

import time

import click
from tabulate import tabulate

from savoryshelf.dispatch.agent_fleet import AgentFleet
from savoryshelf.dispatch.health import FleetHealth
from savoryshelf.dispatch.interference import InterferenceModel
from savoryshelf.dispatch.placement import Placement
from savoryshelf.tasks.ledger import TaskLedger
from savoryshelf.wire.generated.ttypes import (
    AcceptTasks,
    AgentAssignment,
    AgentReport,
    JobSpec,
    Manifest,
    QueueSpec,
    RunIntent,
    ServiceSpec,
    StepSpec,
    WorkerLife,
    WorkerRecord,
    WorkerState,
)

WORKERS = (50, 446, 2000)
WAITING_TASKS = (0, 100, 2000)
RUNS_PER_WORKER = 6
TASKS_PER_JOB = 20
WORKER_MILLICORES, TASK_MILLICORES = 16_000, 1_800
AGENT = "c1.disk/1"
REPETITIONS = 5


def _step(count: int, image: str, serving: bool) -> StepSpec:
    return StepSpec(
        count=count, millicores=TASK_MILLICORES, memory_mb=500, accelerators=0, estimated_ms=2200,
        after=[], checkpointing=False, gang=False, same_rack=False, required_label="",
        data_rack="", max_per_worker=0, allow_duplicates=False, lasting=serving, image=image,
        target_ms=150 if serving else 0, filling=not serving, may_miss=0,
    )  # fmt: skip


def _accept(ledger: TaskLedger, number: int, step: StepSpec) -> str:
    job_id = f"{number:016x}"
    spec = JobSpec("", [step], 0, 0, 0)
    ledger.accept(AcceptTasks(job_id, "host", f"/q/{job_id}", spec))
    return job_id


def _fleet(workers: int) -> tuple[TaskLedger, AgentFleet]:
    """Return a ledger with that many busy workers, and what the leader knows of them."""
    ledger, fleet = TaskLedger(), AgentFleet()
    queue = QueueSpec("q", "host", "/q/", "service", 2, 3, 2.0, 1000)
    ledger.put_manifest(Manifest(1, [queue], [ServiceSpec("service", True, False)], ""))
    incarnations = [WorkerLife(f"w{number}", 1) for number in range(workers)]
    for incarnation in incarnations:
        ledger.upsert_worker(
            WorkerRecord(
                incarnation,
                "service",
                "10.0.0.1:80",
                "zone",
                "r1",
                ["a", "r1"],
                WORKER_MILLICORES,
                62_500,
                0,
                False,
                0,
                1,
                False,
                None,
                0,
            )  # fmt: skip
        )
    ledger.assign_agents([AgentAssignment(incarnation, AGENT) for incarnation in incarnations], 0)
    for number, incarnation in enumerate(incarnations):
        job_id = _accept(ledger, number, _step(RUNS_PER_WORKER, f"shop-{number % 8}", True))
        intents = [RunIntent(f"{job_id}.0.0.{i}", 1, incarnation) for i in range(RUNS_PER_WORKER)]
        ledger.record_intents(intents)
    states = [
        WorkerState(w.record.life, w.record.fencing_token, True, {}, {}, False)
        for w in ledger.worker_by_incarnation.values()
    ]
    fleet.record_report(
        AgentReport(AGENT, 1, True, False, 0, 0.0, states, [], [], [], [], "region"), 0.0
    )
    return ledger, fleet


def pass_seconds(workers: int, waiting_tasks: int) -> float:
    """Return the processor time of a pass, in seconds: the least of some repetitions."""
    ledger, fleet = _fleet(workers)
    for number in range(waiting_tasks // TASKS_PER_JOB):
        _accept(ledger, 1_000_000 + number, _step(TASKS_PER_JOB, f"batch-{number % 8}", False))
    model = InterferenceModel({(f"batch-{i}", f"shop-{i}"): 0.1 for i in range(8)})
    placement, health, times = Placement(model), FleetHealth(), []
    for _ in range(REPETITIONS):
        began_at = time.thread_time()
        views = fleet.views(list(ledger.worker_by_incarnation.values()), 0.0)
        placement.plan(ledger, views, 0, health, 0.0)
        times.append(time.thread_time() - began_at)
    return min(times)


@click.command()
def main() -> None:
    """Print the processor time of a pass, in ms, by workers and waiting tasks."""
    rows = [
        [workers, *(1000 * pass_seconds(workers, waiting) for waiting in WAITING_TASKS)]
        for workers in WORKERS
    ]
    headers = ["workers", *(f"{waiting} waiting, ms" for waiting in WAITING_TASKS)]
    click.echo(tabulate(rows, headers, floatfmt=".1f"))


if __name__ == "__main__":
    main()
