"""All hosts lose power at once, and two of the control hosts their disks."""

import contextlib
import functools
import random
import shutil
import signal
import time
from concurrent.futures import ThreadPoolExecutor, wait

import orjson
import pytest

from savoryshelf.control import repair
from savoryshelf.control.repair import GroupRepair
from savoryshelf.wire.generated.ttypes import Member

from ..control.test_repair import (
    ReplicaServiceAdapter,
    add_host_with_empty_disk,
    join_group,
    run_repair,
)
from ..replication.group import Group
from .test_whole_path import FRONTS, MANIFEST, NETWORK, ROUTE, SEEDS, Deployment, wait_until

CONTROL_IPS = [*SEEDS, f"{NETWORK}.206", f"{NETWORK}.207"]
GONE_IP = f"{NETWORK}.208"
"""The address of a control host that was replaced; nothing uses it any more."""

NEW_IP = f"{NETWORK}.209"
"""The address of a control host that replaces another."""

RECOVERY_SECONDS = 12.0
"""Time from the start of the last process within which callers have to be served."""

CONTACT_SECONDS = 4.0
"""After this time without another event, the hosts that run count as in touch."""

MAX_WAIT_SECONDS = 3.0
"""Time after that within which callers have to be served."""

DOWN_SECONDS = 1.4
"""How long hosts are down that lose their disks, and workers beside them."""

CATCH_UP_SECONDS = 4.0
"""How long after it is back a host counts as available again, and others may be lost (catchUpS)."""

WAN_SECONDS = 0.08
"""The delay of each way between hosts that are each in a region of their own."""

LARGE_MANIFESTS = 32
LARGE_ROUTES = 50
PREFIX_BYTES = 1000
JOBS_OF_LARGE_MANIFESTS = 8
"""32 manifests of 100 KB are 7 MB of log, a third of a snapshot of docs/CAPACITY.md.

Two of their entries are more than one call to another host takes (256 KiB), so a host with an
empty disk needs 32 round trips of 0.16 s for them: 5.1 s, more than ``CATCH_UP_SECONDS``.
"""

WORKERS = 33
JOB = {"taskSpec": "50 ms", "steps": [{"count": 1, "cpu": 500}]}
LAST_ANSWERS = 4
LAST_LINES = 6
"""What a failure shows of the answers to one entry host, and of each log."""

NO_CONNECTION = "Could not connect to any of"
"""In the lines of thrift's own logger, one for each attempt to call a host that is down."""


@pytest.fixture
def deployment(tmp_path):
    with running(Deployment(tmp_path, [*CONTROL_IPS, NEW_IP])) as started:
        yield started


@pytest.fixture
def linked_deployment(tmp_path):
    """The same over links, across two regions."""
    made = Deployment(tmp_path, [*CONTROL_IPS, NEW_IP])
    with made.linked([*CONTROL_IPS[3:], FRONTS[1]]), running(made) as started:
        yield started


@contextlib.contextmanager
def running(started):
    """Start all hosts, and wait until each control host has a vote."""
    try:
        for ip in [*CONTROL_IPS, *FRONTS]:
            started.start(ip)
        started.add_worker("w1")
        # Until then a seed's disk is empty, and would be lost beside the two that a test takes.
        wait_until(lambda: len(started.logged("control:started", CONTROL_IPS)) == len(CONTROL_IPS))
        wait_until(lambda: started.call_operator("POST", "put", MANIFEST)[0] == 200)
        wait_until(lambda: len(promoted_ids(started)) == 2)
        yield started
    finally:
        for process in started.process_by_ip.values():
            process.kill()
            process.wait(10)
        for worker in started.workers:
            worker.close()


def promoted_ids(deployment):
    """Return the ids of the replicas that have become voters, as the hosts' logs have it."""
    ips = [path.stem for path in deployment.folder.glob("*.log")]
    changes = deployment.logged("group:changed", ips)
    return {line["replica"] for line in changes if line["change"] == "promote"}


# Guards against power that is lost before each host has a vote: a promotion that was refused, since
# another host was just being added, counted as one, and two disks of four voters were lost.
def test_a_refused_promotion_is_not_taken_for_a_vote(tmp_path, monkeypatch):
    deployment = Deployment(tmp_path)

    def log(event, **fields):
        with open(tmp_path / f"{CONTROL_IPS[0]}.log", "ab") as file:
            file.write(orjson.dumps({"message_type": event, **fields}) + b"\n")

    monkeypatch.setattr(repair, "log_event", log)
    group = Group(3)
    group.run_for()
    learner = add_host_with_empty_disk(group, "d0")
    join_group(group, learner)
    leader = group.leader()
    leader.core.add_learner(Member("d1.disk", "d1", "", False))
    GroupRepair(ReplicaServiceAdapter(leader)).step()
    assert "change_refused" in (tmp_path / f"{CONTROL_IPS[0]}.log").read_text()
    assert promoted_ids(deployment) == set()
    run_repair(group, 1.0)
    assert promoted_ids(deployment) == {learner.replica_id}


def lose_power(deployment, lost_disks, seeds):
    """Kill all processes; they start again with these seeds, some with an empty disk."""
    processes = dict(deployment.process_by_ip)
    for process in processes.values():
        process.kill()
    for process in processes.values():
        process.wait(10)
    for ip in lost_disks:
        shutil.rmtree(deployment.folder / ip)
    deployment.seeds, deployment.is_first_start = seeds, False
    for ip in processes:
        deployment.start(ip)


# Guards against entry hosts that never find the group again: their settings name the two hosts
# that lost their disks, which did not find it either, and one that was replaced.
@pytest.mark.parametrize("lost_disks", [SEEDS[:2], [SEEDS[0], CONTROL_IPS[4]], CONTROL_IPS[3:]])
@pytest.mark.parametrize(
    "names_others", [True, False], ids=["a seed that kept its disk", "a seed that is gone"]
)
def test_every_entry_host_serves_again_after_a_power_loss_of_all_hosts(
    deployment, lost_disks, names_others
):
    path = deployment.submit(1, "50 ms")
    others = [ip for ip in CONTROL_IPS if ip not in lost_disks]
    lose_power(deployment, lost_disks, [*lost_disks, others[0] if names_others else GONE_IP])
    check_service_is_back(deployment, path)
    wait_until(lambda: len(promoted_ids(deployment)) >= 4)


# Guards against a group that keeps the vote of a host which was stopped for good once its
# successor was there: two lost disks left three voters of six, and no leader was elected again.
@pytest.mark.parametrize("stops_leader", [True, False], ids=["leader-stops", "another-stops"])
def test_a_power_loss_right_after_a_planned_replacement_is_survived(deployment, stops_leader):
    path = deployment.submit(1, "50 ms")
    deployment.start(NEW_IP)
    wait_until(lambda: len(promoted_ids(deployment)) == 3)
    leader_ip = deployment.leader_ip()
    follower_ips = [ip for ip in CONTROL_IPS if ip != leader_ip]
    stopped_ip = leader_ip if stops_leader else follower_ips[0]
    deployment.stop(stopped_ip, signal.SIGTERM)
    lost_disks = [ip for ip in CONTROL_IPS if ip != stopped_ip][:2]
    lose_power(deployment, lost_disks, [*lost_disks, NEW_IP])
    check_service_is_back(deployment, path)


# Guards against hosts that wait on what is open to two others, the leader and one more, which
# lost power: no reset tells them so, and what they send is neither refused nor answered.
@pytest.mark.parametrize("other", [CONTROL_IPS[1], CONTROL_IPS[4]], ids=["near", "far"])
def test_every_entry_host_serves_soon_after_two_hosts_lost_power(linked_deployment, other):
    path = linked_deployment.submit(1, "50 ms")
    leader_ip = linked_deployment.leader_ip()
    dark_ips = [leader_ip, other if other != leader_ip else CONTROL_IPS[0]]
    linked_deployment.lose_power(dark_ips)
    check_service_is_back(linked_deployment, path, CONTACT_SECONDS + MAX_WAIT_SECONDS)


# Guards against calls to hosts and workers that are off, and silent as machines of their own are,
# which hold up the election of the next leader, or the answers to callers that wait for long; also
# where the hosts that are left have to connect anew.
@pytest.mark.parametrize("are_reset", [False, True], ids=["others-run", "others-reset"])
@pytest.mark.parametrize("other", [CONTROL_IPS[1], CONTROL_IPS[4]], ids=["near", "far"])
def test_waiting_callers_are_served_after_silent_hosts_lost_their_disks(
    linked_deployment, other, are_reset
):
    deployment = linked_deployment
    for number in range(2, WORKERS + 1):
        deployment.add_worker(f"w{number}")
    path = deployment.submit(1, "50 ms")
    leader = deployment.leader_ip()
    lost = [leader, other if other != leader else CONTROL_IPS[0]]
    with ThreadPoolExecutor(2 * WORKERS) as pool:
        with deployment.silent([*lost, FRONTS[1]]):
            restarts = [
                pool.submit(worker.restart, DOWN_SECONDS, is_silent=True)
                for worker in deployment.workers
            ]
            for ip in lost:
                shutil.rmtree(deployment.folder / ip)
            if are_reset:
                deployment.reset_connections(set(CONTROL_IPS) - set(lost))
            waiting = [
                pool.submit(deployment.call, "POST", f"/q/{number:016x}", JOB, seconds=60.0)
                for number in range(32, 40)
            ]
            wait(restarts)
        deployment.is_first_start = False
        for ip in [*lost, FRONTS[1]]:
            deployment.start(ip)
        began_at = time.monotonic()
        wait_until(lambda: deployment.call_operator("GET", "get") == (200, MANIFEST))
        assert time.monotonic() - began_at < RECOVERY_SECONDS
        answers = [each.result()[0] for each in waiting]
        assert time.monotonic() - began_at < RECOVERY_SECONDS
    assert answers == [200] * len(waiting)
    check_service_is_back(deployment, path, began_at + RECOVERY_SECONDS - time.monotonic())
    wait_until(lambda: deployment.state(f"/q/{32:016x}") == "completed")


# Guards against a group that counts the vote of a disk that is gone, or misses that of a host that
# had just come back, when this host and the leader lose their disks.
@pytest.mark.parametrize("is_disk_kept", [True, False], ids=["kept", "lost"])
@pytest.mark.parametrize("was_leader", [True, False], ids=["leader", "another"])
def test_a_host_that_has_just_come_back_and_the_leader_lose_their_disks(
    linked_deployment, was_leader, is_disk_kept
):
    deployment = linked_deployment
    path = deployment.submit(1, "50 ms")
    leader = deployment.leader_ip()
    first = leader if was_leader else next(ip for ip in CONTROL_IPS if ip != leader)
    deployment.is_first_start = False
    deployment.stop(first)
    if not is_disk_kept:
        shutil.rmtree(deployment.folder / first)
    time.sleep(DOWN_SECONDS)
    deployment.start(first)
    wait_until(lambda: len(deployment.logged("control:started", [first])) == 2)
    # Until it has a vote again, two lost disks may be too many.
    wait_until(lambda: is_disk_kept or len(promoted_ids(deployment)) == 3)
    time.sleep(CONTACT_SECONDS)
    leader = deployment.leader_ip()
    lost = [first, leader if leader != first else next(ip for ip in CONTROL_IPS if ip != first)]
    with deployment.silent(lost):
        for ip in lost:
            shutil.rmtree(deployment.folder / ip)
        time.sleep(DOWN_SECONDS)
    for ip in lost:
        deployment.start(ip)
    began_at = time.monotonic()
    wait_until(lambda: deployment.call_operator("GET", "get") == (200, MANIFEST))
    check_service_is_back(deployment, path, began_at + RECOVERY_SECONDS - time.monotonic())


# Guards against disks that are known to be gone but count as voters until their successors have
# caught up: the disks of two others are lost before that, and there is no leader again.
def test_two_more_disks_are_lost_while_the_successors_of_two_still_catch_up(tmp_path):
    deployment = Deployment(tmp_path, CONTROL_IPS)
    linked = deployment.linked(*([ip] for ip in CONTROL_IPS), far_seconds=WAN_SECONDS)
    with linked, running(deployment):
        manifests = list(large_manifests(seed=70))
        paths = []
        for number, manifest in enumerate(manifests):
            if number % (LARGE_MANIFESTS // JOBS_OF_LARGE_MANIFESTS) == 0:
                paths.append(deployment.submit(number, "50 ms"))
            wait_until(functools.partial(is_acknowledged, deployment, manifest))
        leader = deployment.leader_ip()
        first = [leader, next(ip for ip in CONTROL_IPS if ip != leader)]
        lose_disks(deployment, first)
        time.sleep(CATCH_UP_SECONDS)
        leader = deployment.leader_ip()
        assert leader not in first
        others = [ip for ip in CONTROL_IPS if ip not in [*first, leader]]
        lose_disks(deployment, [leader, others[0]])
        began_at = time.monotonic()
        answers = []

        def is_last_manifest_read():
            status, body = deployment.call_operator("GET", "get")
            answers.append((status, body.get("version")))
            return (status, body) == (200, manifests[-1])

        with explained(deployment, answers):
            wait_until(is_last_manifest_read)
            assert time.monotonic() - began_at < RECOVERY_SECONDS
        check_service_is_back(deployment, paths[0], began_at + RECOVERY_SECONDS - time.monotonic())
        states = {path: deployment.state(path) for path in paths}
        assert set(states.values()) <= {"queued", "running", "completed"}, states


def is_acknowledged(deployment, manifest):
    return deployment.call_operator("POST", "put", manifest)[0] == 200


def lose_disks(deployment, ips):
    """Let hosts lose power and disks; they are silent for a while, and start again."""
    deployment.is_first_start = False
    with deployment.silent(ips):
        for ip in ips:
            shutil.rmtree(deployment.folder / ip)
        time.sleep(DOWN_SECONDS)
    for ip in ips:
        deployment.start(ip)


def large_manifests(seed):
    """Return manifests, each with many routes whose long prefixes are its own."""
    rng = random.Random(seed)
    for version in range(2, 2 + LARGE_MANIFESTS):
        prefixes = [f"/{rng.randbytes(PREFIX_BYTES).hex()}/" for _ in range(LARGE_ROUTES)]
        routes = [ROUTE | {"name": f"r{n}", "pathPrefix": p} for n, p in enumerate(prefixes)]
        yield MANIFEST | {"version": version, "routes": [ROUTE, *routes]}


def check_service_is_back(deployment, path, seconds=RECOVERY_SECONDS):
    """Check that each entry host accepts a job in time, and knows the one of this path."""
    began_at = time.monotonic()
    for number, front in enumerate(FRONTS):
        new_path = f"/q/{number + 16:016x}"
        answers = []

        def is_accepted(path=new_path, ip=front, answers=answers):
            answers.append(deployment.call("POST", path, JOB, ip=ip))
            return answers[-1][0] == 200

        with explained(deployment, answers):
            wait_until(is_accepted)
            assert deployment.state(path, front) in ("queued", "running", "completed")
            assert time.monotonic() - began_at < seconds


@contextlib.contextmanager
def explained(deployment, answers):
    """Add the last answers, the group's changes, and the ends of all logs to a failure."""
    try:
        yield
    except AssertionError as error:
        logs = sorted(deployment.folder.glob("*.log"))
        changes = deployment.logged("group:changed", [path.stem for path in logs])
        shown = [str(error), f"{len(answers)} answers, the last: {answers[-LAST_ANSWERS:]}"]
        shown += [f"{change['change']} {change['replica']}" for change in changes]
        for path in logs:
            process = deployment.process_by_ip.get(path.stem)
            shown.append(
                f"{path.stem}: {'runs' if process and process.poll() is None else 'ended'}"
            )
            lines = [line for line in path.read_text().splitlines() if NO_CONNECTION not in line]
            shown += lines[-LAST_LINES:]
        raise AssertionError("\n".join(shown)) from error


def test_a_failure_shows_the_last_answers_and_the_ends_of_the_logs(tmp_path):
    deployment = Deployment(tmp_path)
    lines = [f"line {number}" for number in range(9)]
    (tmp_path / f"{FRONTS[0]}.log").write_text("\n".join([*lines, f"{NO_CONNECTION}: x", ""]))
    with pytest.raises(AssertionError) as failure, explained(deployment, [(200, {}), (503, {})]):
        raise AssertionError("not met")
    text = str(failure.value)
    assert "not met\n2 answers, the last: [(200, {}), (503, {})]" in text
    assert f"{FRONTS[0]}: ended\nline 3\n" in text and text.endswith("line 8")
