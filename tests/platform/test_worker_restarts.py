"""Incarnations of a worker under one id: what is said of one, or to one, counts for no other."""

import random
import threading
import time

import pytest

from standins.platform import doubled_runs, heartbeat, send_heartbeat

from .test_whole_path import PORTS, SEEDS, WORKER_IP, running, wait_until

WORKERS = 7
SERIES_SECONDS = 30.0
DOWN_SECONDS = 0.02
LATE_SECONDS = (0.5, 1.0)
"""How long after it listens a worker sends its first heartbeat, where that is late."""

MIN_STARTS = 30
"""Fewer show nothing: the series did not run as it should."""

TASKS = 8
"""As many as fit on one worker."""

LIVE_TASK_MS = 4000
USE_SECONDS = 8.0
"""Time in which a live worker must get a run: longer than its lease and a quarantine."""


def submit_steadily(deployment, stopping, rng, gap_seconds, task_ms, count):
    """Submit jobs at this rate, without waiting for their ends."""
    body = {"steps": [{"count": count, "cpu": 500}]}
    while not stopping.wait(gap_seconds):
        path = f"/q/{rng.getrandbits(64):016x}"
        deployment.call("POST", path, body | {"taskSpec": f"{rng.randint(*task_ms)} ms"})


def restart_in_series(deployment, rng, gap_seconds, late_seconds):
    """Restart one worker after the other for a while; each has a late first heartbeat."""
    ends_at = time.monotonic() + SERIES_SECONDS
    while time.monotonic() < ends_at:
        for worker in deployment.workers:
            time.sleep(gap_seconds)
            worker.restart(DOWN_SECONDS, rng.uniform(*late_seconds))


def run_twice(deployment):
    """Return a description of each pair of runs that breaks the rule TWICE."""
    records = [record for worker in deployment.workers for record in worker.records]
    return [f"{one.task}: {one}; {other}" for one, other in doubled_runs(records)]


def play_restarts(folder, submissions, gap_seconds, late_seconds):
    """Restart workers while jobs are submitted; return the doubled runs."""
    rng, stopping = random.Random(41), threading.Event()
    with running(folder, WORKERS) as deployment:
        load = threading.Thread(
            target=submit_steadily, args=(deployment, stopping, rng, *submissions)
        )
        load.start()
        restart_in_series(deployment, random.Random(42), gap_seconds, late_seconds)
        stopping.set()
        load.join()
        time.sleep(2.0)
    assert sum(len(worker.starts) for worker in deployment.workers) >= MIN_STARTS
    return run_twice(deployment)


# Guards against runs that a new incarnation of a worker got from the session of the one before:
# they were settled as lost with the earlier incarnation, and started again elsewhere.
@pytest.mark.parametrize(
    "submissions, gap_seconds",
    [((0.5, (300, 900), 3), 0.5), ((0.7, (1000, 2000), 1), 0.5)],
    ids=["short-tasks", "long-tasks"],
)
def test_nothing_runs_twice_while_workers_restart_before_their_heartbeats(
    tmp_path, submissions, gap_seconds
):
    doubled = play_restarts(tmp_path, submissions, gap_seconds, LATE_SECONDS)
    assert not doubled, "\n".join([f"{len(doubled)} pairs", *doubled])


# Guards against ends of a new incarnation that a poll of the earlier one acknowledged unread.
def test_nothing_runs_twice_while_workers_restart_under_short_tasks(tmp_path):
    doubled = play_restarts(tmp_path, (0.06, (50, 150), TASKS), 0.5, (0.0, 0.0))
    assert not doubled, "\n".join([f"{len(doubled)} pairs", *doubled])


# Guards against a live worker that was taken for ended, and its runs for lost, because of one
# heartbeat of another writer under its id.
@pytest.mark.parametrize("service", ["another", "svc"])
@pytest.mark.parametrize("has_own_address", [True, False], ids=["own-address", "other-address"])
def test_a_heartbeat_of_another_writer_ends_no_live_worker(tmp_path, service, has_own_address):
    with running(tmp_path, 3) as deployment:
        paths = [deployment.submit(n, f"{LIVE_TASK_MS} ms", count=TASKS) for n in range(2)]
        wait_until(lambda: sum(len(w.starts) for w in deployment.workers) == 2 * TASKS)
        worker = max(deployment.workers, key=lambda worker: len(worker.starts))
        address = worker.address if has_own_address else f"{WORKER_IP}:9"
        born = int(time.time() * 1000)
        body = heartbeat(address, service=service, born=born)
        send_heartbeat(deployment.http, f"{SEEDS[0]}:{PORTS['control']}", worker.worker_id, body)
        wait_until(lambda: all(deployment.state(path) == "completed" for path in paths))
        count, deadline = len(worker.starts), time.monotonic() + USE_SECONDS
        number = 2
        while len(worker.starts) == count and time.monotonic() < deadline:
            deployment.submit(number, "100 ms", count=TASKS)
            number += 1
            time.sleep(0.2)
        is_used = len(worker.starts) > count
    doubled = run_twice(deployment)
    assert not doubled, "\n".join([f"{len(doubled)} pairs", *doubled])
    assert is_used
