"""Replica replacement by the leader, with the real Raft core on simulated hosts."""

import pytest

from savoryshelf.control import repair, waiting_learners
from savoryshelf.control.repair import UNRESPONSIVE_VOTER_SECONDS, GroupRepair
from savoryshelf.replication import transport
from savoryshelf.replication.membership import (
    MembershipChangeRefused,
    find_member,
    voter_ids,
)
from savoryshelf.replication.seed_bootstrap import INITIAL_DISK_SUFFIX
from savoryshelf.replication.service import OutcomeUnknown
from savoryshelf.replication.types import Role
from savoryshelf.wire.generated.ttypes import Member, Membership, SnapshotFile

from ..replication.group import Group, Host


class ReplicaServiceAdapter:
    """Gives a simulated host the methods of ``ReplicaService`` that ``GroupRepair`` uses."""

    def __init__(self, host):
        self._host = host

    @property
    def core(self):
        return self._host.core

    @property
    def is_leader(self):
        return self.core.role is Role.LEADER

    def change_membership(self, change):
        """Block until the change is committed, as the service does, while the group runs."""
        core, term, index = self.core, self.core.term, change(self.core)
        self._host.process_ready()
        while core.role is Role.LEADER and core.term == term and core.commit_index < index:
            self._host.group.run_for(self._host.group.tick_seconds)
        if core.commit_index < index:
            raise OutcomeUnknown()

    def await_membership_change(self, limit_seconds):
        """Block until no change is in progress, as the service does, while the group runs."""
        group = self._host.group
        end = group.now + limit_seconds
        while self.is_leader and self.core.must_commit_before_change and group.now < end:
            group.run_for(group.tick_seconds)


def add_host_with_empty_disk(group, name):
    host = group.host_by_name[name] = Host(group, name)
    host.start()
    return host


def run_repair(group, seconds=4.0):
    """Run repair steps for ``seconds``; return the largest number of voters seen."""
    end, most_voters = group.now + seconds, 0
    while group.now < end:
        leader = group.leader()
        if leader.core.has_committed_in_term:
            GroupRepair(ReplicaServiceAdapter(leader), replaces_unresponsive=True).step()
        group.run_for(0.2)
        most_voters = max(most_voters, len(voter_ids(membership(group))))
    return most_voters


def join_group(group, host):
    leader = group.leader()
    member = Member(host.core.replica_id, host.name, "", False)
    GroupRepair(ReplicaServiceAdapter(leader), replaces_unresponsive=True).request_join(member)
    group.run_for(0.5)


def membership(group):
    return group.leader().core.log.membership


def isolate_until_unresponsive(group, name):
    group.isolate(name)
    group.run_for(UNRESPONSIVE_VOTER_SECONDS + 1.0)


def other_than_leader(group):
    return next(name for name, host in group.host_by_name.items() if not host.is_leader)


def test_a_learner_on_another_host_replaces_an_unresponsive_voter():
    group = Group(5)
    group.run_for()
    lost_host = group.host_by_name[other_than_leader(group)]
    lost_id = lost_host.replica_id
    isolate_until_unresponsive(group, lost_host.name)
    host = add_host_with_empty_disk(group, "d0")
    join_group(group, host)
    assert run_repair(group) == 5
    assert find_member(membership(group), lost_id) is None
    assert host.core.replica_id in voter_ids(membership(group))
    assert len(voter_ids(membership(group))) == 5


def test_two_disks_lost_in_turn_are_both_replaced_and_the_log_survives():
    group = Group(5)
    group.run_for()
    group.propose("kept")
    for number in range(2):
        lost_name = other_than_leader(group)
        isolate_until_unresponsive(group, lost_name)
        del group.host_by_name[lost_name]
        host = add_host_with_empty_disk(group, f"d{number}")
        join_group(group, host)
        run_repair(group)
        assert host.applied == ["kept"]
    assert len(voter_ids(membership(group))) == 5


def test_an_unresponsive_voter_keeps_its_vote_until_a_replacement_joins():
    group = Group(5)
    group.run_for()
    unresponsive_name = other_than_leader(group)
    replica_id = group.host_by_name[unresponsive_name].replica_id
    isolate_until_unresponsive(group, unresponsive_name)
    run_repair(group)
    assert replica_id in voter_ids(membership(group))


def test_an_unresponsive_sixth_voter_is_removed():
    group = Group(5)
    group.run_for()
    join_group(group, add_host_with_empty_disk(group, "d0"))
    run_repair(group)
    assert len(voter_ids(membership(group))) == 6
    unresponsive_name = next(
        n for n, h in group.host_by_name.items() if not h.is_leader and n != "d0"
    )
    replica_id = group.host_by_name[unresponsive_name].replica_id
    isolate_until_unresponsive(group, unresponsive_name)
    run_repair(group)
    assert replica_id not in voter_ids(membership(group))


def leave_group(group, replica_id):
    leader = group.leader()
    repair_of_leader = GroupRepair(ReplicaServiceAdapter(leader), replaces_unresponsive=True)
    repair_of_leader.request_leave(replica_id)


def group_with_six_voters():
    group = Group(5)
    group.run_for()
    join_group(group, add_host_with_empty_disk(group, "d0"))
    assert run_repair(group) == 6
    return group


# Guards against the vote of a host that is stopped for good: with two more hosts lost before it
# counts as unresponsive, three of six voters would be left.
def test_a_sixth_voter_that_stops_is_removed_at_once_and_five_bear_two_losses():
    group = group_with_six_voters()
    stopping = group.host_by_name[other_than_leader(group)]
    leave_group(group, stopping.replica_id)
    assert len(voter_ids(membership(group))) == 5
    names = [name for name, host in group.host_by_name.items() if not host.is_leader]
    for name in [stopping.name, *[each for each in names if each != stopping.name][:2]]:
        group.host_by_name.pop(name).core = None
    group.propose("kept")
    group.run_for()
    assert "kept" in group.leader().applied


def test_a_leader_that_stops_as_a_sixth_voter_leaves_the_others_able_to_elect_one():
    group = group_with_six_voters()
    stopping = group.leader()
    leave_group(group, stopping.replica_id)
    stopping.core = None
    del group.host_by_name[stopping.name]
    group.run_for(5.0)
    assert len(voter_ids(membership(group))) == 5
    assert find_member(membership(group), stopping.replica_id) is None


@pytest.mark.parametrize("voters", [5, 6])
def test_no_voter_leaves_a_group_that_would_have_fewer_than_its_target(voters):
    group = Group(5)
    group.run_for()
    if voters == 6:
        group = group_with_six_voters()
        leave_group(group, group.host_by_name[other_than_leader(group)].replica_id)
    names = [name for name, host in group.host_by_name.items() if not host.is_leader]
    with pytest.raises(MembershipChangeRefused):
        leave_group(group, group.host_by_name[names[-1]].replica_id)
    assert len(voter_ids(membership(group))) == 5


def test_a_voter_that_left_and_comes_back_with_its_disk_is_a_voter_again():
    group = group_with_six_voters()
    stopping = group.host_by_name[other_than_leader(group)]
    leave_group(group, stopping.replica_id)
    stopping.core = None
    group.propose("meanwhile")
    group.run_for()
    stopping.start()
    join_group(group, stopping)
    run_repair(group)
    assert stopping.replica_id in voter_ids(membership(group))
    assert "meanwhile" in stopping.applied


def test_a_join_request_from_a_member_changes_nothing():
    group = Group(3)
    group.run_for()
    name = other_than_leader(group)
    membership_before = membership(group)
    join_group(group, group.host_by_name[name])
    assert membership(group) == membership_before
    assert INITIAL_DISK_SUFFIX not in name


@pytest.fixture
def logged(monkeypatch):
    """Collect the events that the repair logs."""
    events = []

    def log_event(event, **fields):
        events.append({"event": event, **fields})

    monkeypatch.setattr(repair, "log_event", log_event)
    monkeypatch.setattr(waiting_learners, "log_event", log_event)
    return events


def group_with_silent_learner():
    """Return a group with a learner that never answers, and its repair."""
    group = Group(5)
    group.run_for()
    group_repair = GroupRepair(ReplicaServiceAdapter(group.leader()), replaces_unresponsive=True)
    group_repair.request_join(Member("d0.new", "d0", "", False))
    group.run_for(0.5)
    return group, group_repair


# A learner was not promoted for 10 s, and nothing told why.
def test_a_waiting_learner_is_logged_with_its_lag_and_seldom(logged):
    group, group_repair = group_with_silent_learner()
    logged.clear()
    for _ in range(90):
        group_repair.step()
        group.run_for(0.1)
    lines = [e for e in logged if e["event"] == "group:learner_waits"]
    assert len(lines) == 1, "the reason does not change in 9 s"
    assert lines[0]["learner"] == "d0.new"
    assert lines[0]["lag_entries"] == group.leader().core.commit_index
    assert lines[0]["contact_s"] > 0


def test_a_learner_that_waits_for_a_snapshot_is_logged_with_what_it_has_of_it(logged):
    group, group_repair = group_with_silent_learner()
    progress = group.leader().core.leader_state.progress_by_id["d0.new"]
    progress.snapshot = SnapshotFile(1, 1, Membership([]), bytes(1000))
    progress.snapshot_offset = 600
    group_repair.step()
    (line,) = [e for e in logged if e["event"] == "group:learner_waits"]
    assert (line["snapshot_offset"], line["snapshot_bytes"]) == (600, 1000)


def test_a_reason_that_keeps_changing_is_logged_at_most_once_a_second(logged):
    group, group_repair = group_with_silent_learner()
    group_repair.step()
    logged.clear()
    for number in range(50):
        core = group.leader().core
        group_repair._waiting.log_reason(core, "d0.new", f"reason {number}")
        group.run_for(0.1)
    assert 4 <= len(logged) <= 5


def test_a_promotion_is_logged_with_the_lag_of_the_learner_and_the_time_it_took(logged):
    group = Group(3)
    group.run_for()
    group_repair = GroupRepair(ReplicaServiceAdapter(group.leader()), replaces_unresponsive=True)
    host = add_host_with_empty_disk(group, "d0")
    group_repair.request_join(Member(host.core.replica_id, host.name, "", False))
    for _ in range(10):
        group_repair.step()
        group.run_for(0.2)
    promotion = next(e for e in logged if e.get("change") == "promote")
    assert promotion["lag_entries"] == 0
    assert {"took_s", "waits_s", "contact_s"} <= promotion.keys()


CATCH_UP_SECONDS = 4.0
"""A new host must be a full member this long after its start."""

REPAIR_INTERVAL_SECONDS = 0.1
JOIN_SECONDS = 0.5
"""Time from the start of a new host until it is added."""


def busy_group(far_count=2):
    """Return five voters whose leader and majority are close, under steady commits."""
    group = Group(5, tick_seconds=0.002)
    group.run_for(3.0)
    others = [name for name, host in group.host_by_name.items() if not host.is_leader]
    group.far_names = set(others[:far_count])
    group.commands_per_s = 200.0
    group.run_for(0.2)
    return group


def replace_far_host(group, lost_name, new_name, start_after=1.5):
    """Lose a far host for good, then start another one; return that and the time of its start."""
    group.lose(lost_name)
    group.run_for(start_after)
    host, started_at = add_host_with_empty_disk(group, new_name), group.now
    group.far_names.add(new_name)
    group.run_for(JOIN_SECONDS)
    repair_of_leader(group).request_join(Member(host.core.replica_id, host.name, "", False))
    return host, started_at


def repair_of_leader(group):
    return GroupRepair(ReplicaServiceAdapter(group.leader()), replaces_unresponsive=True)


def run_repair_until(group, end, is_done=lambda: False):
    """Step the repair of whichever host leads until ``end``; return whether it was done."""
    while group.now < end and not is_done():
        leader = group.leader()
        if leader is not None:
            repair_of_leader(group).step()
        group.run_for(REPAIR_INTERVAL_SECONDS)
    return is_done()


def has_live_voters(group, count=5):
    """Return whether the voters are ``count`` hosts, all of which exist."""
    leader = group.leader()
    if leader is None:
        return False
    voters = voter_ids(leader.core.log.membership)
    live_ids = {host.replica_id for host in group.host_by_name.values()}
    return len(voters) == count and set(voters) <= live_ids


# Guards against a learner that answers a round trip late and is never promoted under load: the
# group stayed at four voters, and the loss of two disks ended it.
def test_a_far_learner_replaces_a_lost_voter_under_steady_commits():
    group = busy_group()
    lost_name = min(group.far_names)
    host, started_at = replace_far_host(group, lost_name, "d0")
    assert run_repair_until(group, started_at + CATCH_UP_SECONDS, lambda: has_live_voters(group))
    assert host.replica_id in voter_ids(membership(group))
    leader = group.leader()
    applied = list(leader.applied)
    near = next(n for n in group.host_by_name if n != leader.name and n not in group.far_names)
    group.commands_per_s = 0.0
    for name in (leader.name, near):
        group.lose(name)
    group.run_for(5.0)
    assert group.leader() is not None, "three of five voters are left"
    group.propose("after")
    group.run_for(1.0)
    assert group.leader().applied[: len(applied)] == applied
    assert group.leader().applied[-1] == "after"


def test_a_learner_whose_lag_grows_is_not_promoted():
    group = busy_group()
    group.run_for(2.0)
    group.entry_rate_by_name["d0"] = 100.0
    host, started_at = replace_far_host(group, min(group.far_names), "d0")
    run_repair_until(group, started_at + 8.0)
    progress = group.leader().core.leader_state.progress_by_id[host.replica_id]
    assert progress.match_index > 0, "it does receive entries"
    assert len(voter_ids(membership(group))) == 5, "no voter is removed for it"
    assert host.replica_id not in voter_ids(membership(group))


def test_a_learner_that_must_load_a_snapshot_is_not_promoted_before():
    group = busy_group()
    for each in group.host_by_name.values():
        each.compact()
    host, started_at = replace_far_host(group, min(group.far_names), "d0")
    core = group.leader().core
    original = host.core.receive

    def receive(message, now):
        if not message.payload.snapshot_chunk:
            original(message, now)

    host.core.receive = receive
    run_repair_until(group, started_at + 5.0)
    assert core.leader_state.progress_by_id[host.replica_id].snapshot is not None
    assert len(voter_ids(membership(group))) == 5
    host.core.receive = original
    assert run_repair_until(group, group.now + 2.0, lambda: has_live_voters(group))


def live_voters(group):
    """Return the number of live voters as the leader has it, 0 without one."""
    leader = group.leader()
    if leader is None:
        return 0
    live_ids = {host.replica_id for host in group.host_by_name.values()}
    return len(live_ids & set(voter_ids(leader.core.log.membership)))


def run_until_led(group):
    while group.leader() is None or not group.leader().core.has_committed_in_term:
        group.run_for(0.05)


# Guards against a replacement that begins its wait anew with each leader and takes too long.
def test_the_next_leader_replaces_a_voter_that_never_answered_it_without_the_full_wait():
    group = busy_group()
    replace_far_host(group, min(group.far_names), "d0")
    group.lose(group.leader().name)
    run_until_led(group)
    elected_at = group.now

    def is_replaced():
        return live_voters(group) == 4 and len(voter_ids(membership(group))) == 5

    assert run_repair_until(group, elected_at + 1.5, is_replaced)


def test_a_voter_that_answered_the_leader_once_keeps_its_vote_for_the_full_wait():
    group = busy_group()
    lost_name = min(group.far_names)
    lost_id = group.host_by_name[lost_name].replica_id
    _, _ = replace_far_host(group, lost_name, "d0", start_after=0.1)
    run_repair_until(group, group.now + 1.0)
    assert lost_id in voter_ids(membership(group))


@pytest.mark.parametrize("lost", ["follower", "leader"])
def test_a_replacement_is_complete_in_time(lost):
    group = busy_group()
    lost_name = min(group.far_names) if lost == "follower" else group.leader().name
    group.lose(lost_name)
    group.run_for(1.5)
    host, started_at = add_host_with_empty_disk(group, "d0"), group.now
    group.far_names.add("d0")
    group.run_for(JOIN_SECONDS)
    run_until_led(group)
    repair_of_leader(group).request_join(Member(host.core.replica_id, host.name, "", False))
    assert run_repair_until(group, started_at + CATCH_UP_SECONDS, lambda: has_live_voters(group))


def test_two_voters_lost_one_after_the_other_are_replaced_in_time():
    group = busy_group()
    _, started_at = replace_far_host(group, min(group.far_names), "d0")
    run_repair_until(group, started_at + CATCH_UP_SECONDS)
    assert has_live_voters(group)
    group.lose(group.leader().name)
    group.run_for(1.5)
    host, started_at = add_host_with_empty_disk(group, "d1"), group.now
    run_until_led(group)
    repair_of_leader(group).request_join(Member(host.core.replica_id, host.name, "", False))
    assert run_repair_until(group, started_at + CATCH_UP_SECONDS, lambda: has_live_voters(group))


REACHED_LATE_SECONDS = transport.CONNECT_TIMEOUT_SECONDS + 1.5 * transport.RETRY_DELAY_SECONDS
"""An attempt to connect that began while the other host was off, and the pause after it."""


# Guards against the removal of a voter that is there and that a new leader reaches late; of two
# that have not answered yet, the one with the smaller id is removed.
@pytest.mark.parametrize("choose_lost", [min, max])
def test_after_a_power_loss_a_voter_that_is_reached_late_keeps_its_vote(choose_lost):
    group = busy_group()
    lost = choose_lost(group.far_names)
    live = next(name for name in group.far_names if name != lost)
    live_id = group.host_by_name[live].replica_id
    replace_far_host(group, lost, "d0", start_after=0.1)
    group.commands_per_s = 0.0
    for host in group.host_by_name.values():
        host.core = None
    group.messages.clear()
    for host in group.host_by_name.values():
        host.start()
    deliver, reached_at = group.deliver, float("inf")

    def deliver_unless_connecting(message):
        is_late = message.recipient == live_id and message.payload.append_request
        if not is_late or group.now >= reached_at:
            deliver(message)

    group.deliver = deliver_unless_connecting
    run_until_led(group)
    reached_at = group.now + REACHED_LATE_SECONDS
    for _ in range(25):
        if group.leader() is not None:
            repair_of_leader(group).step()
        group.run_for(0.1)
        assert live_id in voter_ids(membership(group))
