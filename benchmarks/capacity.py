"""Cost per unit of load for docs/CAPACITY.md, each from measurements at two or more sizes.

The first measurements call the real code in this process; the last ones run a
whole site of real processes, idle and under two loads of each kind.
"""

import functools
import gc
import hashlib
import json
import random
import tempfile
import time
import tracemalloc
import warnings
from collections.abc import Callable

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import click  # noqa: E402

from savoryshelf.clock import SystemClock  # noqa: E402
from savoryshelf.configuration.declarations import parse, to_document  # noqa: E402
from savoryshelf.control.leader_loop import LeaderLoop  # noqa: E402
from savoryshelf.control.site_service import SiteService  # noqa: E402
from savoryshelf.control.state import SiteStateMachine  # noqa: E402
from savoryshelf.entry.batch import BatchDispatch  # noqa: E402
from savoryshelf.entry.state import EntryState  # noqa: E402
from savoryshelf.entry.sync import SyncLoop  # noqa: E402
from savoryshelf.scheduling import placement  # noqa: E402
from savoryshelf.wire import codec  # noqa: E402
from savoryshelf.wire.generated import ttypes  # noqa: E402
from savoryshelf.wire.generated.ttypes import Command, CommandBody  # noqa: E402
from standins.load import LoadPlan  # noqa: E402
from standins.site import Site  # noqa: E402

from .processes import daemons, usage_of  # noqa: E402

TASKS_PER_WORKER = 29
DECLARATIONS = {
    "customer": "capacity",
    "batch_classes": {"plans": {"cores": 1}},
    "teams": {f"team-{n}": {"max_running": 10_000} for n in range(130)},
}
BODY = b"b" * 200


def _slope(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and intercept of the line through the first and the last point."""
    (x0, y0), (x1, y1) = points[0], points[-1]
    slope = (y1 - y0) / (x1 - x0)
    return slope, y0 - slope * x0


def _report(name: str, unit: str, points: list[tuple[float, float]]) -> None:
    slope, intercept = _slope(points)
    shown = ", ".join(f"{x:g}: {y:.4g}" for x, y in points)
    click.echo(f"{name}: {slope:.4g} {unit} each, {intercept:.4g} at zero  ({shown})")


def _command(**body) -> bytes:
    return codec.encode(Command(1, CommandBody(**body)))


def _announcement(number: int) -> ttypes.WorkerAnnouncement:
    name = f"w{number:04d}"
    url = f"http://10.0.0.1:{10_000 + number}"
    return ttypes.WorkerAnnouncement(name, "0123456789ab", url, "fd", "rack", 32, 64, 64, 1, 2)


def _job_commands(number: int) -> list[bytes]:
    """Return the commands that accept, start and finish one job."""
    job_id = f"{number:024d}"
    digest = hashlib.sha256(BODY).hexdigest()
    job = ttypes.SubmitJob(
        job_id, f"team-{number % 130}", f"key-{number}", "plans", BODY, False, digest, "t" * 40
    )
    start = ttypes.AttemptStart(job_id, 1, f"w{number % 830:04d}", "0123456789ab")
    key = ttypes.AttemptKey(job_id, 1, 0)
    outcome = ttypes.AttemptOutcome(
        key, ttypes.OutcomeKind.FINISHED, "", result=BODY, checkpoint_id="", run_ms=1
    )
    return [
        _command(submit_job=job),
        _command(start_attempts=ttypes.StartAttempts([start])),
        _command(settle_attempts=ttypes.SettleAttempts([outcome])),
    ]


def _state_machine_with(workers: int) -> SiteStateMachine:
    state_machine = SiteStateMachine()
    document = to_document(parse(DECLARATIONS))
    state_machine.apply(
        _command(apply_configuration=ttypes.ApplyConfiguration("first", 0, document, ""))
    )
    state_machine.apply(
        _command(register_entry=ttypes.RegisterEntry("e0", "life", "10.0.0.1:1", "http://e", ""))
    )
    announced = [_announcement(n) for n in range(workers)]
    state_machine.apply(_command(register_workers=ttypes.RegisterWorkers(announced)))
    owners = [ttypes.Assignment(each.worker_id, "e0", "life") for each in announced]
    state_machine.apply(_command(assign_workers=ttypes.AssignWorkers(owners)))
    return state_machine


def _memory_of(make: Callable[[], object]) -> float:
    """Return the bytes allocated for the object that ``make`` returns."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size


def _seconds_of(work: Callable[[], object], repeats: int = 5) -> float:
    """Return the lowest processor time of ``repeats`` calls, in seconds."""
    best = float("inf")
    for _ in range(repeats):
        started = time.process_time()
        work()
        best = min(best, time.process_time() - started)
    return best


def control_slopes() -> None:
    """Measure memory, log and snapshot size, apply time and placement per job."""

    def ended_jobs(count):
        state_machine = _state_machine_with(830)
        for number in range(count):
            for command in _job_commands(number):
                state_machine.apply(command)
        return state_machine

    counts = (1000, 4000)
    _report("memory of an ended job", "B", [(n, _memory_of(lambda: ended_jobs(n))) for n in counts])
    commands = _job_commands(1)
    log_bytes = sum(len(c) + 40 for c in commands)
    click.echo(f"log entries of one job: {log_bytes} B in 3 entries, framing of an entry included")
    snapshots, times, restore_times = [], [], []
    for count in counts:
        state_machine = ended_jobs(count)
        snapshot = state_machine.snapshot()
        snapshots.append((count, len(snapshot)))
        restored = _state_machine_with(830)
        restore = functools.partial(restored.restore, snapshot)
        restore_times.append((count, _seconds_of(restore, 3) * 1e3))
        times.append((count, _seconds_of(state_machine.snapshot, 3) * 1e3))
    _report("snapshot of an ended job", "B", snapshots)
    _report("encoding a snapshot", "ms", times)
    _report("restoring a snapshot", "ms", restore_times)
    apply_times = [(n, _seconds_of(lambda: ended_jobs(n), 1) * 1e6) for n in counts]
    _report("applying the commands of one job", "us", apply_times)
    _placement_slopes()


def _placement_slopes() -> None:
    def place(queued, workers):
        demands = [
            placement.Demand(f"{n}", 1, f"team-{n % 130}", False, n, 1.0, 1.0, 0)
            for n in range(queued)
        ]
        capacities = [
            placement.FreeCapacity(f"w{n}", "life", "rack", 29, 64.0, 1e5, 0, 32)
            for n in range(workers)
        ]
        quotas = {f"team-{n}": 1000 for n in range(130)}
        calm = placement.POLICIES["calm"]
        return placement.place(demands, capacities, {}, quotas, calm, random.Random(0))

    queue = [(n, _seconds_of(lambda: place(n, 830), 2) * 1e3) for n in (20, 80)]
    _report("placing one attempt among 830 workers", "ms", queue)
    fleet = [(n, _seconds_of(lambda: place(70, n), 2) * 1e3) for n in (119, 830)]
    _report("placing 70 attempts, per worker of the fleet", "ms", fleet)


def leader_slopes() -> None:
    """Measure the leader's rounds and syncs per running attempt."""
    rounds, syncs, sizes = [], [], (2000, 8000)
    for running in sizes:
        state_machine = _state_machine_with(830)
        for number in range(running):
            for command in _job_commands(number)[:2]:
                state_machine.apply(command)
        site = SiteService(_FakeReplica(state_machine), state_machine, SystemClock())
        leader_loop = LeaderLoop(site, None, "calm", "none", random.Random(0))
        session = site.sessions.record_sync(_full_sync(state_machine), 0.0)
        rounds.append((running, _seconds_of(leader_loop._free_capacities, 2) * 1e3))
        syncs.append((running, _seconds_of(lambda: site._starts(session), 2) * 1e3))
    _report("computing free capacity, per running attempt", "ms", rounds)
    _report("finding new starts for one entry host, per attempt it runs", "ms", syncs)


class _FakeReplica:
    """Replaces the replica, with only the attributes that SiteService reads here."""

    is_leader = True
    leader_address = leader_name = ""

    def __init__(self, state_machine):
        self.state_machine = state_machine


def _full_sync(state_machine: SiteStateMachine) -> ttypes.SyncRequest:
    """Return a full sync of an entry host that owns all workers and acknowledges all starts."""
    notes = [
        ttypes.WorkerNote(
            worker_id=worker.worker_id, epoch=worker.epoch, adopted=True, slowdown=1.0
        )
        for worker in state_machine.state.fleet.workers_by_id.values()
    ]
    placed_keys = [
        ttypes.AttemptKey(job.job_id, job.attempt, 0) for job in state_machine.state.ledger.placed()
    ]
    return ttypes.SyncRequest(
        entry_id="e0",
        incarnation="life",
        assignment_version=0,
        notes=notes,
        acknowledged_starts=placed_keys,
        acknowledged_stops=[],
        is_full=True,
    )


def _entry_host(workers: int, tasks: int):
    """Return the sync loop of an entry host whose workers run ``tasks`` tasks each."""
    state = EntryState("e0")
    state.update_configuration(1, to_document(parse(DECLARATIONS)))
    clock = SystemClock()
    state.lease.renew(clock.monotonic() + 1e6, 6.0)
    batch = BatchDispatch(state, _UnusedWorkerClient(), clock, "http://e0", lambda: None)
    sync = SyncLoop(state, batch, None, clock, ("10.0.0.1:7000", "http://e0"), "fd")
    active = ttypes.WorkerStanding.ACTIVE
    owned = [ttypes.OwnedWorker(_announcement(n), 1, active) for n in range(workers)]
    state.targets.replace(owned, clock.monotonic(), 10.0)
    for number, target in enumerate(state.targets.by_id.values()):
        target.adopted = True
        batch.handle_report(target.worker_id, 1, _worker_report(number, tasks))
    return sync


class _UnusedWorkerClient:
    """Replaces the worker client; these measurements call no worker."""

    def close_unused(self, kept_urls):
        """Do nothing: there are no connections."""


def _worker_report(number: int, tasks: int) -> dict:
    listed = [
        {
            "job_id": f"{number * 1000 + n:024d}",
            "attempt": 1,
            "state": "running",
            "cores": 1.0,
            "memory_mb": 100,
            "accelerators": 0,
        }
        for n in range(tasks)
    ]
    return {"incarnation": "0123456789ab", "epoch": 1, "critical": [], "tasks": listed}


def entry_slopes() -> None:
    """Measure memory, sync requests and report handling of an entry host per worker."""
    sizes = (30, 119)
    memory = [(n, _memory_of(lambda: _entry_host(n, TASKS_PER_WORKER))) for n in sizes]
    _report(f"memory of an owned worker with {TASKS_PER_WORKER} tasks", "B", memory)
    sync_loops = [(n, _entry_host(n, TASKS_PER_WORKER)) for n in sizes]
    sync_bytes = [(n, len(codec.encode(sync._request(1.0)))) for n, sync in sync_loops]
    _report(f"full sync request per owned worker with {TASKS_PER_WORKER} tasks", "B", sync_bytes)
    for _, sync in sync_loops:
        reply = ttypes.SyncReply(leader_term=1, wants_all=False)
        sync._delta.record_reply(sync._request(1.0), reply)
    sync_bytes = [(n, len(codec.encode(sync._request(1.0)))) for n, sync in sync_loops]
    _report("sync request without changes, per owned worker", "B", sync_bytes)
    sync_cpu = [
        (n, _seconds_of(lambda: codec.encode(sync._request(1.0))) * 1e6) for n, sync in sync_loops
    ]
    _report("encoding a sync request, per owned worker", "us", sync_cpu)
    sync_loop = _entry_host(119, TASKS_PER_WORKER)
    reports = []
    for tasks in (5, TASKS_PER_WORKER):
        text = json.dumps(_worker_report(5, tasks))

        def handle(text=text):
            sync_loop._batch.handle_report("w0005", 1, json.loads(text))

        reports.append((tasks, _seconds_of(handle) * 1e6))
        click.echo(f"report of {tasks} tasks: {len(text)} B of JSON")
    _report("handling a report, per task, at 119 workers", "us", reports)


def site_slopes(seconds: float) -> None:
    """Measure processes when idle, and under critical requests and jobs at two rates each."""
    with tempfile.TemporaryDirectory() as folder:
        site = Site(folder, controls=3, entries=2, workers=8)
        with site.running():
            _site_costs(site, "idle", 0.0, 0.0, seconds)
            _site_costs(site, "20 critical/s", 20.0, 0.0, seconds)
            _site_costs(site, "80 critical/s", 80.0, 0.0, seconds)
            _site_costs(site, "4 jobs/s", 0.0, 4.0, seconds)
            _site_costs(site, "16 jobs/s", 0.0, 16.0, seconds)


def _site_costs(site: Site, name: str, critical: float, jobs: float, seconds: float) -> None:
    plan = LoadPlan(
        entry_urls=site.entry_urls,
        token=site.team_token(),
        service="quotes",
        critical_per_s=critical,
        jobs_per_s=jobs,
        job_classes=["routing"],
        unrepeatable_classes=set(),
        seconds=seconds,
        seed=len(name),
        run_s=0.5,
    )
    leader = site.leader()
    before = {each: usage_of(site, each) for each in daemons(site)}
    started = time.monotonic()
    if critical or jobs:
        with site.under_load(plan):
            pass
    else:
        time.sleep(seconds)
    elapsed = time.monotonic() - started
    for each in daemons(site):
        after = usage_of(site, each)
        role = "leader" if each == leader else "follower" if each[0] == "c" else "entry"
        cpu = (after.cpu_s - before[each].cpu_s) / elapsed * 100
        sent = (after.control_bytes - before[each].control_bytes) / elapsed / 1000
        click.echo(
            f"{name}: {each} ({role}): {cpu:.1f}% of a core, {after.memory_mb:.0f} MB, "
            f"{sent:.2f} KB/s sent for control"
        )


@click.command()
@click.option("--seconds", default=8.0, help="Duration of each load on the whole site.")
def main(seconds: float) -> None:
    """Measure the cost per unit of each load."""
    control_slopes()
    leader_slopes()
    entry_slopes()
    site_slopes(seconds)


if __name__ == "__main__":
    main()
