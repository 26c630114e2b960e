"""Manifests that change in series on real processes, while these are stopped, killed and paused."""

import collections
import random
import signal
import threading
import time

import pytest

from .manifest_changes import (
    CONFIG_APPLY_SECONDS,
    DEFECTS,
    REFUSING_STATUSES,
    Change,
    Observers,
    Operator,
    Read,
    Request,
    broken_rules,
    operate,
)
from .test_whole_path import FRONTS, SEEDS, Deployment, wait_until

SERIES_SECONDS = 15.0
MEAN_GAP_SECONDS = 0.4
LONGEST_PAUSE_SECONDS = 3.0
RESTART_SECONDS = 0.5
POWER_OFF_SECONDS = 1.4
"""Time between the end of all processes and their start, as on the platform's days."""


class CountingDeployment(Deployment):
    """Counts the processes that each host has had."""

    def __init__(self, folder):
        super().__init__(folder)
        self.boot_by_ip = collections.Counter()

    def start(self, ip):
        self.boot_by_ip[ip] += 1
        super().start(ip)


@pytest.fixture
def deployment(tmp_path):
    started = CountingDeployment(tmp_path)
    try:
        for ip in [*SEEDS, *FRONTS]:
            started.start(ip)
        started.add_worker("w1")
        # A seed that is killed before it has come to its disk would return as another replica.
        wait_until(lambda: len(started.logged("control:started", SEEDS)) == len(SEEDS))
        yield started
    finally:
        for process in started.process_by_ip.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait(10)
        for worker in started.workers:
            worker.close()


def change_in_series(operator, rng, stopping):
    """Send changes, older ones again and invalid ones, until told to stop."""
    while not stopping.wait(rng.expovariate(1 / MEAN_GAP_SECONDS)):
        kind = rng.random()
        if kind < 0.2:
            operator.send_invalid(rng.choice(sorted(DEFECTS)))
        elif kind < 0.3:
            operator.send_again(rng.choice(operator.changes))
        else:
            operator.change()


def disturb(deployment, rng):
    """Kill, stop or pause one host, the leader more often than others."""
    ip = rng.choice([deployment.leader_ip(), *SEEDS, *FRONTS])
    process = deployment.process_by_ip[ip]
    kind = rng.choice(["pause", signal.SIGKILL, signal.SIGTERM])
    if kind == "pause":
        process.send_signal(signal.SIGSTOP)
        time.sleep(rng.uniform(0.3, LONGEST_PAUSE_SECONDS))
        process.send_signal(signal.SIGCONT)
    else:
        deployment.stop(ip, kind)
        time.sleep(RESTART_SECONDS)
        deployment.start(ip)


def newest_read(ips):
    """Return the manifest that is read at any of these hosts, or None."""
    for ip in ips:
        status, body = operate(ip, "GET", "get")
        if status == 200:
            return body
    return None


# Guards against a change that is not in force in time, is taken back or refused, and against a
# success on a dropped route, such as that of a resend (rule CONFIG, issue 52).
@pytest.mark.parametrize("seed", [1, 2])
def test_acknowledged_manifests_stay_in_force_on_every_host(deployment, seed):
    rng = random.Random(seed)
    operator, stopping = Operator(SEEDS, rng), threading.Event()
    operator.change()
    deployment.is_first_start = False
    wait_until(lambda: all(deployment.is_ready(ip) for ip in FRONTS))
    operators = [
        threading.Thread(
            target=change_in_series, args=(operator, random.Random(f"{seed}-{number}"), stopping)
        )
        for number in range(2)
    ]
    with Observers(deployment, deployment.boot_by_ip) as observers:
        for each in operators:
            each.start()
        ends_at = time.monotonic() + SERIES_SECONDS
        while time.monotonic() < ends_at:
            disturb(deployment, rng)
            time.sleep(rng.uniform(0.2, 2.0))
        stopping.set()
        for each in operators:
            each.join()
        last = operator.change()
        time.sleep(CONFIG_APPLY_SECONDS + 1.0)
        hosts = list(deployment.process_by_ip)
        for ip in hosts:
            deployment.stop(ip)
        time.sleep(POWER_OFF_SECONDS)
        for ip in hosts:
            deployment.start(ip)
        wait_until(lambda: newest_read(SEEDS))
        wait_until(lambda: all(deployment.is_ready(ip) for ip in FRONTS))
        time.sleep(1.0)
    assert broken_rules(operator, observers.reads, observers.requests) == []
    assert last.acknowledged_at
    assert observers.reads[-1].sent_at > last.acknowledged_at
    assert {seen.status for seen in observers.requests} >= {200, 404}


# ------------------------------------------------------------------------- the checks themselves


def operator_with(*changes):
    operator = Operator(SEEDS, random.Random(1))
    operator.changes += changes
    return operator


def change(version, *prefixes, sent_at=0.0, acknowledged_at=0.1):
    body = {"version": version, "routes": [{"pathPrefix": each} for each in prefixes]}
    return Change(version, body, sent_at, acknowledged_at)


ADDED = change(3, "/extra0/")
DROPPED = change(9, sent_at=10.0, acknowledged_at=10.1)


def request(sent_at, status, boot=1):
    return Request(FRONTS[0], boot, sent_at, sent_at + 0.1, status, "/extra0/")


def read(sent_at, body):
    return Read(SEEDS[0], sent_at, sent_at + 0.1, 200, body)


@pytest.mark.parametrize(
    ("reads", "requests", "count"),
    [
        ([], [request(5.0, 200), request(12.5, 200)], 0),
        ([], [request(5.0, 404)], 1),
        ([], [request(12.7, 200)], 1),
        ([], [request(12.7, 404), request(12.7, 503), request(12.7, 0)], 0),
        ([], [request(12.7, 400)], 1),
        ([], [request(10.0, 404), request(10.4, 200)], 1),
        ([], [request(10.0, 404), request(10.2, 200)], 0),
        ([], [request(10.0, 404), request(10.4, 200, boot=2)], 0),
        ([read(12.5, ADDED.body), read(12.7, DROPPED.body)], [], 0),
        ([read(12.7, ADDED.body)], [], 1),
        ([read(5.0, ADDED.body | {"limits": {}})], [], 1),
    ],
)
def test_the_checks_find_what_breaks_a_rule_and_nothing_else(reads, requests, count):
    assert len(broken_rules(operator_with(ADDED, DROPPED), reads, requests)) == count


def test_the_checks_find_refused_changes_and_invalid_ones_that_were_taken():
    operator = operator_with(ADDED)
    operator.changes.append(Change(5, {"routes": []}, 1.0, refused_with=REFUSING_STATUSES[0]))
    operator.invalid += [("cut short", change(7)), ("empty", change(8, acknowledged_at=None))]
    found = broken_rules(operator, [read(5.0, {"version": 8})], [])
    assert len(found) == 4
