"""Disks that are known to be lost: who tells of them, and which quorums they leave."""

import pytest

from savoryshelf.replication.membership import (
    MembershipChangeRefused,
    QuorumRule,
    quorum_size,
    surviving_quorum,
    voter_ids,
    with_lower_min_copies,
    without_lost_member,
)
from savoryshelf.wire.generated.ttypes import (
    AppendRequest,
    DiskLost,
    Member,
    Membership,
    RaftMessage,
    RaftPayload,
)

from .group import Group, Host, empty_replica


def members(names, min_copies=None):
    return Membership([Member(f"{name}.1", name, "", True) for name in names], min_copies)


def ids(names):
    return {f"{name}.1" for name in names}


def message_to(recipient, sender="a.1", shard=0, **payload):
    return RaftMessage(sender, recipient, 1, RaftPayload(**payload), shard)


def test_a_message_for_an_earlier_disk_of_the_host_is_answered_that_it_is_lost():
    replica = empty_replica("x.new")
    replica.receive(message_to("x.old", append_request=AppendRequest(0, 0, [], 0, 1)), 1.0)
    [answer] = replica.take_ready().messages
    assert (answer.recipient, answer.payload.disk_lost.replica_id) == ("a.1", "x.old")


@pytest.mark.parametrize(
    "message",
    [
        message_to("y.old", append_request=AppendRequest(0, 0, [], 0, 1)),
        message_to("x.old", shard=1, append_request=AppendRequest(0, 0, [], 0, 1)),
        message_to("x.old", disk_lost=DiskLost("a.0")),
    ],
    ids=["other-host", "other-group", "no-request"],
)
def test_other_messages_for_another_replica_are_not_answered(message):
    replica = empty_replica("x.new")
    replica.receive(message, 1.0)
    assert replica.take_ready().is_empty()


# The least number of voters that go on once the disks of all others are known to be lost.
@pytest.mark.parametrize(
    ("voters", "min_copies", "size", "fewest"),
    [
        ("abcde", None, 3, 3),
        ("abcd", 3, 3, 2),
        ("abc", 3, 3, 1),
        ("ab", 3, 2, 1),
        ("abc", None, 2, 2),
        ("abcdef", None, 4, 3),
    ],
)
def test_the_survivors_are_a_quorum_if_they_meet_every_other_quorum(
    voters, min_copies, size, fewest
):
    membership = members(voters, min_copies)
    assert quorum_size(membership) == size
    for left in range(1, len(voters) + 1):
        lost = ids(voters[left:])
        expected = ids(voters[:left]) if left >= fewest else set()
        assert surviving_quorum(membership, lost) == expected


def test_each_removal_of_a_lost_voter_keeps_the_number_of_copies():
    membership = members("abcde")
    for removed in "ed":
        membership = without_lost_member(membership, f"{removed}.1")
        assert quorum_size(membership) == 3
        assert membership.removes_lost


def test_a_group_that_is_shrunk_on_purpose_keeps_fewer_copies():
    membership = members("abc", 3)
    assert quorum_size(with_lower_min_copies(membership)) == 2
    assert quorum_size(with_lower_min_copies(members("abcde", 3))) == 3


def test_while_a_change_is_not_committed_a_quorum_is_one_of_before_and_of_after():
    rule = QuorumRule((members("abcd", 3), members("abc", 3)))
    assert not rule.is_met_by(ids("abd"))
    assert rule.is_met_by(ids("abc"))
    assert rule.value({"a.1": 5, "b.1": 5, "d.1": 5, "c.1": 2}) == 2


def group_of(count=5):
    group = Group(count)
    group.run_for(3.0)
    return group


def replace_disk(group, name):
    host = group.host_by_name[name] = Host(group, name)
    host.start()
    return host


def followers(group):
    return [name for name, host in group.host_by_name.items() if not host.is_leader]


def test_a_leader_learns_of_a_lost_disk_and_removes_it():
    group = group_of()
    name = followers(group)[0]
    lost_id = group.host_by_name[name].replica_id
    replace_disk(group, name)
    group.run_for(1.0)
    assert group.leader().core.lost_member_ids == [lost_id]
    group.change_membership(lambda core: core.remove_lost(lost_id))
    group.run_for(1.0)
    membership = group.leader().core.log.membership
    assert len(voter_ids(membership)) == 4
    assert quorum_size(membership) == 3


def test_a_voter_that_is_only_silent_is_not_removed_as_lost():
    group = group_of()
    name = followers(group)[0]
    group.isolate(name)
    group.run_for(3.0)
    lost_id = group.host_by_name[name].replica_id
    with pytest.raises(MembershipChangeRefused):
        group.leader().core.remove_lost(lost_id)


# Guards against a leader that was deposed before the disk was lost, with commits of the next one
# on the lost disk.
def test_a_leader_removes_a_lost_voter_only_once_it_has_committed_an_entry_since():
    group = group_of()
    leader = group.leader()
    name = followers(group)[0]
    lost_id = group.host_by_name[name].replica_id
    for other in followers(group):
        if other != name:
            group.blocked_links |= {(other, leader.name), (leader.name, other)}
    replace_disk(group, name)
    group.run_for(0.5)
    assert leader.core.lost_member_ids == [lost_id]
    with pytest.raises(MembershipChangeRefused):
        leader.core.remove_lost(lost_id)


def test_a_tale_of_another_hosts_disk_is_not_believed():
    group = group_of()
    leader, (one, other) = group.leader(), followers(group)[:2]
    lost_id = group.host_by_name[other].replica_id
    leader.core.receive(
        message_to(leader.replica_id, f"{one}.new", disk_lost=DiskLost(lost_id)), group.now
    )
    assert not leader.core.lost_member_ids


def test_two_of_four_elect_once_the_others_are_known_to_be_lost_and_not_before():
    group = group_of()
    first, *others = followers(group)
    leader_name = group.leader().name
    lost_id = group.host_by_name[first].replica_id
    replace_disk(group, first)
    group.run_for(1.0)
    group.change_membership(lambda core: core.remove_lost(lost_id))
    group.propose("kept")
    group.run_for(1.0)
    for name in (leader_name, others[0]):
        group.lose(name)
    group.run_for(8.0)
    assert group.leader() is None, "the two others may only be silent"
    for name in (leader_name, others[0]):
        replace_disk(group, name)
    group.run_for(6.0)
    assert group.leader().name in others[1:]
    assert group.leader().applied == ["kept"]


def test_a_restart_does_not_forget_that_a_change_of_voters_is_committed():
    group = group_of()
    name = followers(group)[0]
    removed = group.host_by_name[name].replica_id
    group.change_membership(lambda core: core.remove(removed))
    group.run_for(1.0)
    group.lose_power()
    for host in group.host_by_name.values():
        host.start()
        if host.name != name:
            assert len(host.core._quorum_rule().memberships) == 1


# Guards against a survivor that goes on alone, without what was committed with a promoted one.
def test_a_promotion_is_committed_only_by_a_quorum_of_the_voters_before_too():
    group = group_of()
    lost_names = followers(group)[:2]
    lost_ids = [group.host_by_name[name].replica_id for name in lost_names]
    learner, _ = [replace_disk(group, name) for name in lost_names]
    group.run_for(1.0)
    for lost_id in lost_ids:
        group.change_membership(lambda core, lost_id=lost_id: core.remove_lost(lost_id))
        group.run_for(0.5)
    member = Member(learner.replica_id, learner.name, "", False)
    group.change_membership(lambda core: core.add_learner(member))
    group.run_for(1.0)
    group.isolate(next(name for name in followers(group) if name not in lost_names))
    core = group.leader().core
    index = core.promote(learner.replica_id)
    group.leader().process_ready()
    group.run_for(0.7)
    assert core.log.membership_index == index
    assert core.commit_index < index, "three of four hold it, but not three of the three before"
    group.heal_partitions()
    group.run_for(3.0)
    assert group.leader().core.commit_index >= index


# Guards against a change that waits for the removed voter, which gets no entries and is not asked.
def test_one_of_two_voters_is_removed():
    group = group_of(2)
    removed = group.host_by_name[followers(group)[0]].replica_id
    group.change_membership(lambda core: core.remove(removed))
    group.run_for(2.0)
    core = group.leader().core
    assert core.commit_index >= core.log.membership_index
    assert set(core.leader_state.progress_by_id) == set()


def test_a_live_voter_is_removed_though_another_one_is_silent():
    group = group_of(4)
    silent, name, _ = followers(group)
    removed = group.host_by_name[name].replica_id
    group.isolate(silent)
    group.change_membership(lambda core: core.remove(removed))
    group.run_for(3.0)
    core = group.leader().core
    assert removed not in voter_ids(core.log.membership)
    assert core.commit_index >= core.log.membership_index
    assert removed not in core.leader_state.progress_by_id


def test_the_next_leader_completes_a_removal_with_the_vote_of_the_removed_one():
    group = group_of(4)
    name, other, _ = followers(group)
    leader, removed = group.leader(), group.host_by_name[name].replica_id
    leader.core.remove(removed)
    leader.process_ready()
    group.run_for(0.2)
    group.lose(leader.name)
    group.isolate(other)
    group.run_for(6.0)
    group.heal_partitions()
    group.run_for(3.0)
    core = group.leader().core
    assert removed not in voter_ids(core.log.membership)
    assert core.commit_index >= core.log.membership_index
