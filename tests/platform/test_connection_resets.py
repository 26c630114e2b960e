"""All connections of control hosts are reset, and then two others lose their disks."""

import shutil
import time

import pytest

from .test_power_loss import (
    CONTROL_IPS,
    DOWN_SECONDS,
    RECOVERY_SECONDS,
    check_service_is_back,
    running,
)
from .test_whole_path import MANIFEST, Deployment, paused, wait_until

REST_SECONDS = 4.0
"""Time between a fault and the next one."""


@pytest.fixture
def deployment(tmp_path):
    with running(Deployment(tmp_path, CONTROL_IPS)) as started:
        yield started


def others_than(*ips):
    return [ip for ip in CONTROL_IPS if ip not in ips]


def lose_disks(deployment, ips):
    """Let hosts end, and start again with empty disks; return when the last one started."""
    for ip in ips:
        deployment.process_by_ip[ip].kill()
    for ip in ips:
        deployment.stop(ip)
        shutil.rmtree(deployment.folder / ip)
    time.sleep(DOWN_SECONDS)
    deployment.is_first_start = False
    for ip in ips:
        deployment.start(ip)
    return time.monotonic()


def change_leader(deployment):
    """Suspend the leader until another has been elected; return that one."""
    first = deployment.leader_ip()
    with paused(deployment, [first]):
        wait_until(lambda: deployment.leader_ip() != first)
    return deployment.leader_ip()


def check_group_is_back(deployment, path, started_at):
    """Check that the manifest is read back and that callers are served in time."""
    wait_until(lambda: deployment.call_operator("GET", "get") == (200, MANIFEST))
    seconds_left = started_at + RECOVERY_SECONDS - time.monotonic()
    assert seconds_left > 0.0, "the manifest was read back late"
    check_service_is_back(deployment, path, seconds_left)


# Guards against a control host that goes on without ever voting again, since the connection within
# its process that reports finished writes was reset with all others: with two more disks lost,
# the group had no leader for good.
@pytest.mark.parametrize("is_leader", [False, True], ids=["follower", "leader"])
def test_a_control_host_votes_after_all_its_connections_were_reset(deployment, is_leader):
    path = deployment.submit(1, "50 ms")
    leader = deployment.leader_ip()
    reset = leader if is_leader else others_than(leader)[0]
    deployment.reset_connections([reset])
    time.sleep(REST_SECONDS)
    leader = deployment.leader_ip()
    if leader == reset:
        leader = change_leader(deployment)
        time.sleep(REST_SECONDS)
    started_at = lose_disks(deployment, [leader, others_than(leader, reset)[-1]])
    check_group_is_back(deployment, path, started_at)


# Guards against the same when the hosts that are left lose their connections as the two end.
def test_hosts_elect_when_their_connections_are_reset_as_two_others_lose_their_disks(deployment):
    path = deployment.submit(1, "50 ms")
    leader = deployment.leader_ip()
    lost = [leader, others_than(leader)[-1]]
    deployment.reset_connections(others_than(*lost))
    started_at = lose_disks(deployment, lost)
    check_group_is_back(deployment, path, started_at)
