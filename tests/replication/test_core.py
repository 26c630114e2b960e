import random

import pytest

from savoryshelf.replication.core import Replica
from savoryshelf.replication.membership import MembershipChangeRefused, voters
from savoryshelf.replication.types import NotLeading, Recovered, Role
from savoryshelf.wire.generated.ttypes import (
    AppendReply,
    EntryKind,
    LogEntry,
    Member,
    Membership,
    RaftMessage,
    RaftPayload,
    VoteReply,
    VoteRequest,
)

from .group import TIMING, Group, empty_replica


def settled_group(count=3):
    group = Group(count)
    group.settle()
    return group


def test_a_group_elects_one_leader():
    group = settled_group()
    assert sum(host.leads for host in group.host_by_name.values()) == 1


def test_a_command_is_applied_on_every_replica():
    group = settled_group()
    group.propose("a")
    group.settle(1.0)
    assert all(host.applied == ["a"] for host in group.host_by_name.values())


def test_a_command_is_not_committed_without_a_majority():
    group = settled_group()
    leader = group.leader()
    group.isolate(leader.name)
    group.propose("a")
    group.settle(0.5)
    assert leader.applied == []


def test_a_leader_behind_a_cut_steps_down():
    group = settled_group()
    old = group.leader()
    group.isolate(old.name)
    group.settle()
    assert not old.leads
    assert group.leader() is not None


def test_a_replica_that_was_cut_off_does_not_raise_the_term_when_it_returns():
    group = settled_group()
    leader = group.leader()
    follower = next(h for h in group.host_by_name.values() if not h.leads)
    term = leader.core.term
    group.isolate(follower.name)
    group.settle(10.0)
    group.heal()
    group.settle()
    assert group.leader() is leader
    assert leader.core.term == term


def test_only_a_leader_takes_proposals():
    group = settled_group()
    follower = next(h for h in group.host_by_name.values() if not h.leads)
    with pytest.raises(NotLeading):
        follower.core.propose([b"a"])


def test_a_replica_without_its_disk_never_votes():
    replica = empty_replica()
    request = VoteRequest(10, 3, False)
    payload = RaftPayload(vote_request=request)
    replica.receive(RaftMessage("c0.a", "x.new", 5, payload, 0), 10.0)
    ready = replica.take_ready()
    assert not ready.messages[0].payload.vote_reply.granted


def test_a_message_for_the_identity_before_the_disk_was_lost_is_ignored():
    replica = empty_replica("c1.new")
    payload = RaftPayload(append_reply=AppendReply(True, 1, 1))
    replica.receive(RaftMessage("c0.a", "c1.old", 5, payload, 0), 1.0)
    assert replica.term == 0


def test_a_lost_disk_is_replaced_through_a_learner():
    group = settled_group()
    group.propose("a")
    lost = next(h for h in group.host_by_name.values() if not h.leads)
    old_id = lost.replica_id
    lost.disk.content_by_name.clear()
    lost.boot()
    assert lost.replica_id != old_id
    group.change(lambda core: core.add_learner(Member(lost.replica_id, lost.name, "", False)))
    group.settle(2.0)
    assert lost.applied == ["a"]
    group.change(lambda core: core.remove(old_id))
    group.settle(1.0)
    group.change(lambda core: core.promote(lost.replica_id))
    group.settle(1.0)
    assert lost.replica_id in voters(group.leader().core.log.membership)


def test_a_learner_is_not_promoted_before_it_holds_what_is_committed():
    group = settled_group()
    newcomer = Member("c9.new", "c9", "", False)
    group.change(lambda core: core.add_learner(newcomer))
    group.settle(1.0)
    with pytest.raises(MembershipChangeRefused):
        group.leader().core.promote("c9.new")


def test_a_second_change_of_membership_waits_for_the_first():
    group = settled_group()
    leader = group.leader()
    leader.core.add_learner(Member("c8.new", "c8", "", False))
    with pytest.raises(MembershipChangeRefused):
        leader.core.add_learner(Member("c9.new", "c9", "", False))


def message(sender, recipient, term, **payload):
    return RaftMessage(sender, recipient, term, RaftPayload(**payload), 0)


def leader_with_entries_of_an_older_term():
    """Return a replica elected in term 3, whose log begins with two entries of term 1."""
    members = [Member(f"{n}.disk", n, "", True) for n in "abc"]
    entries = [LogEntry(index, 1, EntryKind.COMMAND, b"old") for index in (1, 2)]
    recovered = Recovered(term=2, entries=entries)
    core = Replica("a.disk", Membership(members), recovered, TIMING, random.Random(0), 0.0)
    core.tick(5.0)
    core.receive(message("b.disk", "a.disk", 3, vote_reply=VoteReply(True, True)), 5.0)
    core.receive(message("b.disk", "a.disk", 3, vote_reply=VoteReply(True, False)), 5.0)
    assert core.role is Role.LEADER
    core.synced(core.take_ready())
    return core


def acknowledged(core, index):
    reply = AppendReply(True, index, core.leadership.round)
    core.receive(message("b.disk", "a.disk", core.term, append_reply=reply), 5.0)


def test_an_entry_of_an_older_term_is_not_counted_as_committed():
    core = leader_with_entries_of_an_older_term()
    acknowledged(core, 2)
    assert core.commit_index == 0
    acknowledged(core, 3)
    assert core.commit_index == 3


def test_membership_is_not_changed_before_a_commit_in_the_leaders_term():
    core = leader_with_entries_of_an_older_term()
    with pytest.raises(MembershipChangeRefused):
        core.add_learner(Member("c9.new", "c9", "", False))
    acknowledged(core, 3)
    core.add_learner(Member("c9.new", "c9", "", False))


def test_an_answer_to_an_earlier_round_confirms_no_read():
    core = leader_with_entries_of_an_older_term()
    acknowledged(core, 3)
    core.take_ready()
    read_id = core.request_read()
    acknowledged(core, 3)
    assert read_id not in core.take_ready().confirmed_reads, "its round began before the read"
    acknowledged(core, 3)
    assert read_id in core.take_ready().confirmed_reads


def test_a_replica_that_hears_its_leader_ignores_campaigns():
    group = settled_group()
    leader = group.leader()
    follower, other = (h for h in group.host_by_name.values() if not h.leads)
    request = VoteRequest(follower.core.log.last_index + 5, leader.core.term, False)
    campaign = message(
        other.replica_id, follower.replica_id, leader.core.term + 1, vote_request=request
    )
    follower.core.receive(campaign, group.now)
    assert follower.core.term == leader.core.term
    assert follower.core.take_ready().messages == []


def test_a_reply_leaves_only_after_what_it_promises_is_written():
    group = settled_group()
    leader = group.leader()
    follower = next(h for h in group.host_by_name.values() if not h.leads)
    leader.core.propose([b"a"])
    leader.carry_out()
    for each in [m for m in group.messages if m.recipient == follower.replica_id]:
        follower.core.receive(each, group.now)
    ready = follower.core.take_ready()
    assert ready.record.entries
    assert ready.early_messages == []
    assert any(m.payload.append_reply for m in ready.messages)


def test_an_entry_of_an_older_term_is_committed_only_under_one_of_the_new_term():
    group = settled_group()
    old = group.leader()
    others = [h for h in group.host_by_name.values() if h is not old]
    old.core.propose([b"a"])
    old.carry_out()
    # The entry reaches one follower, then the leader is gone before it hears of it.
    for message in [m for m in group.messages if m.recipient == others[0].replica_id]:
        others[0].core.receive(message, group.now)
        others[0].carry_out()
    group.messages.clear()
    old.core = None
    group.settle(5.0)
    leader = group.leader()
    assert leader is others[0]
    assert leader.applied == ["a"]
    assert leader.core.log.term_at(leader.core.commit_index) == leader.core.term


def test_a_read_is_confirmed_by_a_round_that_began_after_it():
    group = settled_group()
    leader = group.leader()
    read_id = leader.core.request_read()
    assert read_id not in leader.core.take_ready().confirmed_reads
    leader.core.request_read()
    group.isolate(leader.name)
    confirmed = []
    for _ in range(5):
        group.now += TIMING.heartbeat
        leader.core.tick(group.now)
        confirmed += leader.core.take_ready().confirmed_reads
    assert confirmed == []


def test_a_replica_hundreds_of_changes_behind_catches_up_by_snapshot():
    group = settled_group()
    behind = next(h for h in group.host_by_name.values() if not h.leads)
    group.isolate(behind.name)
    for number in range(300):
        group.propose(str(number))
    group.settle(1.0)
    group.leader().compact()
    group.heal()
    group.settle(3.0)
    assert behind.applied == [str(number) for number in range(300)]
    assert behind.core.log.base_index > 0


def test_a_restarted_group_holds_everything_that_was_acknowledged():
    group = settled_group()
    group.propose("a")
    group.settle(1.0)
    for host in group.host_by_name.values():
        host.boot()
    group.settle()
    group.propose("b")
    group.settle(1.0)
    assert all(host.applied == ["a", "b"] for host in group.host_by_name.values())
