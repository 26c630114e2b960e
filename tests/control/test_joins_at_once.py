"""Hosts that join a group at once, with the driver of the replica, on virtual time."""

import eventlet
import pytest

from savoryshelf.control import repair
from savoryshelf.control.repair import MAX_JOIN_WAIT_SECONDS, GroupRepair
from savoryshelf.dispatch.joining import JOIN_TIMEOUT_SECONDS
from savoryshelf.replication.membership import MembershipChangeRefused, find_member
from savoryshelf.replication.service import OutcomeUnknown
from savoryshelf.replication.types import NotLeading
from savoryshelf.wire.generated.ttypes import Member

from ..replication import service_group
from ..replication.service_group import running_services

DELAY_SECONDS = 0.08
COMMIT_SECONDS = 2 * DELAY_SECONDS + 0.02
"""A round trip between regions, and what a host takes for itself."""


@pytest.fixture(name="group")
def far_group(monkeypatch):
    monkeypatch.setattr(service_group, "DELAY_SECONDS", DELAY_SECONDS)
    monkeypatch.setattr(repair, "log_event", lambda event, **fields: None)
    with running_services(count=3) as group:
        yield group


def ask(group, repair_of_leader, name, outcomes):
    """Ask for a host to be added; keep how that ended, and when."""
    began_at = group.clock.monotonic()
    try:
        repair_of_leader.request_join(Member(f"{name}.new", name, "", False))
        outcome = "accepted"
    except (MembershipChangeRefused, OutcomeUnknown, NotLeading) as error:
        outcome = type(error).__name__
    outcomes[name] = outcome, group.clock.monotonic() - began_at


def test_a_join_waits_no_longer_than_its_host_does():
    assert MAX_JOIN_WAIT_SECONDS == JOIN_TIMEOUT_SECONDS


# Guards against a second host that is refused while the first one is added, is told "accepted" and
# asks again 0.4 s later.
def test_two_hosts_that_join_at_once_are_learners_after_two_commits(group):
    leader = group.service_by_name[group.leader_name()]
    outcomes, repair_of_leader = {}, GroupRepair(leader)
    for name in ("d0", "d1"):
        eventlet.spawn(ask, group, repair_of_leader, name, outcomes)
    group.clock.sleep(2 * COMMIT_SECONDS)
    assert {outcome for outcome, _ in outcomes.values()} == {"accepted"}
    committed = leader.core.log.membership_at(leader.core.commit_index)
    assert all(find_member(committed, f"{name}.new") for name in ("d0", "d1"))


def test_a_host_that_asks_twice_is_added_once(group):
    leader = group.service_by_name[group.leader_name()]
    outcomes, repair_of_leader = {}, GroupRepair(leader)
    for _ in range(2):
        eventlet.spawn(ask, group, repair_of_leader, "d0", outcomes)
        group.clock.sleep(0.05)
    group.clock.sleep(3 * COMMIT_SECONDS)
    assert outcomes["d0"][0] == "accepted"
    members = [each.replica_id for each in leader.core.log.membership.members]
    assert members.count("d0.new") == 1


# Guards against an answer that says "accepted" though the leader could not commit anything, and
# against one that comes after its host has given up.
def test_a_join_that_can_not_be_committed_is_not_accepted(group):
    name = group.leader_name()
    leader, outcomes = group.service_by_name[name], {}
    repair_of_leader = GroupRepair(leader)
    group.cut_off |= group.service_by_name.keys() - {name}
    for joining in ("d0", "d1"):
        eventlet.spawn(ask, group, repair_of_leader, joining, outcomes)
    group.clock.sleep(10.0)
    assert {outcomes["d0"][0], outcomes["d1"][0]} <= {
        "MembershipChangeRefused", "OutcomeUnknown", "NotLeading",
    }  # fmt: skip
    assert outcomes["d1"][1] <= MAX_JOIN_WAIT_SECONDS + 0.1


# Guards against a leader that stands still while a host waits to be added.
def test_the_leader_commits_commands_while_a_join_waits(group):
    name = group.leader_name()
    leader, outcomes = group.service_by_name[name], {}
    repair_of_leader = GroupRepair(leader)
    for joining in ("d0", "d1", "d2"):
        eventlet.spawn(ask, group, repair_of_leader, joining, outcomes)
    count, began_at = leader.state_machine.count, group.clock.monotonic()
    group.propose(name)
    while leader.state_machine.count == count:
        group.clock.sleep(0.005)
    assert group.clock.monotonic() - began_at < 2 * COMMIT_SECONDS
    assert len(outcomes) < 3
