import random

import pytest

from savoryshelf.replication.core import Replica
from savoryshelf.replication.membership import MembershipChangeRefused, voter_ids
from savoryshelf.replication.types import NotLeading, RecoveredState, Role
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

from .group import TICK_SECONDS, TIMING, Group, Host, empty_replica


def group_with_leader(count=3):
    group = Group(count)
    group.run_for()
    return group


def test_a_group_elects_one_leader():
    group = group_with_leader()
    assert sum(host.is_leader for host in group.host_by_name.values()) == 1


def test_a_command_is_applied_on_every_replica():
    group = group_with_leader()
    group.propose("a")
    group.run_for(1.0)
    assert all(host.applied == ["a"] for host in group.host_by_name.values())


def test_a_command_is_not_committed_without_a_majority():
    group = group_with_leader()
    leader = group.leader()
    group.isolate(leader.name)
    group.propose("a")
    group.run_for(0.5)
    assert leader.applied == []


def test_a_partitioned_leader_steps_down():
    group = group_with_leader()
    old_leader = group.leader()
    group.isolate(old_leader.name)
    group.run_for()
    assert not old_leader.is_leader
    assert group.leader() is not None


def test_a_replica_does_not_raise_the_term_when_it_returns_from_a_partition():
    group = group_with_leader()
    leader = group.leader()
    follower = next(h for h in group.host_by_name.values() if not h.is_leader)
    term = leader.core.term
    group.isolate(follower.name)
    group.run_for(10.0)
    group.heal_partitions()
    group.run_for()
    assert group.leader() is leader
    assert leader.core.term == term


def test_only_the_leader_accepts_proposals():
    group = group_with_leader()
    follower = next(h for h in group.host_by_name.values() if not h.is_leader)
    with pytest.raises(NotLeading):
        follower.core.propose([b"a"])


def test_a_replica_with_an_empty_disk_does_not_grant_votes():
    replica = empty_replica()
    request = VoteRequest(10, 3, False)
    payload = RaftPayload(vote_request=request)
    replica.receive(RaftMessage("c0.a", "x.new", 5, payload, 0), 10.0)
    ready = replica.take_ready()
    assert not ready.messages[0].payload.vote_reply.granted


def test_a_message_to_the_replica_id_of_a_lost_disk_is_ignored():
    replica = empty_replica("c1.new")
    payload = RaftPayload(append_reply=AppendReply(True, 1, 1))
    replica.receive(RaftMessage("c0.a", "c1.old", 5, payload, 0), 1.0)
    assert replica.term == 0


def test_a_lost_disk_is_replaced_through_a_learner():
    group = group_with_leader()
    group.propose("a")
    replaced = next(h for h in group.host_by_name.values() if not h.is_leader)
    old_id = replaced.replica_id
    replaced.disk.content_by_name.clear()
    replaced.start()
    assert replaced.replica_id != old_id
    group.change_membership(
        lambda core: core.add_learner(Member(replaced.replica_id, replaced.name, "", False))
    )
    group.run_for(2.0)
    assert replaced.applied == ["a"]
    group.change_membership(lambda core: core.remove(old_id))
    group.run_for(1.0)
    group.change_membership(lambda core: core.promote(replaced.replica_id))
    group.run_for(1.0)
    assert replaced.replica_id in voter_ids(group.leader().core.log.membership)


def test_a_learner_is_not_promoted_before_it_holds_all_committed_entries():
    group = group_with_leader()
    new_member = Member("c9.new", "c9", "", False)
    group.change_membership(lambda core: core.add_learner(new_member))
    group.run_for(1.0)
    with pytest.raises(MembershipChangeRefused):
        group.leader().core.promote("c9.new")


def test_a_second_membership_change_is_refused_until_the_first_is_committed():
    group = group_with_leader()
    leader = group.leader()
    leader.core.add_learner(Member("c8.new", "c8", "", False))
    with pytest.raises(MembershipChangeRefused):
        leader.core.add_learner(Member("c9.new", "c9", "", False))


def message(sender, recipient, term, **payload):
    return RaftMessage(sender, recipient, term, RaftPayload(**payload), 0)


# Guards against hosts that end, all at once, after some 26 minutes without a leader.
def test_a_voter_goes_on_to_campaign_after_thousands_of_campaigns():
    group = group_with_leader()
    group.leader().core._become_follower(group.leader().core.term, None, "test")
    core = next(iter(group.host_by_name.values())).core
    core._campaigns = 5000
    now = core.now + 10.0
    while core.campaigns == 5000:
        now += TICK_SECONDS
        core.tick(now)
    assert 0.0 < core.campaign_due_at - core.now <= 2.0 * core.timing.election_timeout


# Guards against an error that ended the process of a leader on the reply that commits its removal.
def test_a_leader_whose_removal_is_committed_while_commands_wait_to_be_sent_follows():
    group = group_with_leader()
    leader = group.leader()
    core, term = leader.core, leader.core.term
    removal = core.remove(leader.replica_id)
    leader.process_ready()
    core.propose([b"waits"])
    followers = [host for host in group.host_by_name.values() if host is not leader]
    for host in followers:
        reply = AppendReply(True, removal, core.leader_state.round)
        sent = message(host.replica_id, leader.replica_id, term, append_reply=reply)
        core.receive(sent, group.now)
    assert core.commit_index == removal
    assert core.role is Role.FOLLOWER


def leader_with_entries_of_an_earlier_term():
    """Return a leader of term 3 whose log starts with two uncommitted entries of term 1."""
    members = [Member(f"{n}.disk", n, "", True) for n in "abc"]
    entries = [LogEntry(index, 1, EntryKind.COMMAND, b"old") for index in (1, 2)]
    recovered = RecoveredState(term=2, entries=entries)
    core = Replica("a.disk", Membership(members), recovered, TIMING, random.Random(0), 0.0)
    core.tick(5.0)
    core.receive(message("b.disk", "a.disk", 3, vote_reply=VoteReply(True, True)), 5.0)
    core.receive(message("b.disk", "a.disk", 3, vote_reply=VoteReply(True, False)), 5.0)
    assert core.role is Role.LEADER
    core.advance(core.take_ready())
    return core


def acknowledge_up_to(core, index):
    reply = AppendReply(True, index, core.leader_state.round)
    core.receive(message("b.disk", "a.disk", core.term, append_reply=reply), 5.0)


def test_an_entry_of_an_earlier_term_is_not_committed_by_counting_replicas():
    core = leader_with_entries_of_an_earlier_term()
    acknowledge_up_to(core, 2)
    assert core.commit_index == 0
    acknowledge_up_to(core, 3)
    assert core.commit_index == 3


def test_a_membership_change_is_refused_before_the_leader_commits_in_its_term():
    core = leader_with_entries_of_an_earlier_term()
    with pytest.raises(MembershipChangeRefused):
        core.add_learner(Member("c9.new", "c9", "", False))
    acknowledge_up_to(core, 3)
    core.add_learner(Member("c9.new", "c9", "", False))


def test_a_reply_to_an_earlier_round_does_not_confirm_a_read():
    core = leader_with_entries_of_an_earlier_term()
    acknowledge_up_to(core, 3)
    core.take_ready()
    read_id = core.request_read()
    acknowledge_up_to(core, 3)
    assert read_id not in core.take_ready().confirmed_reads, "the round began before the read"
    acknowledge_up_to(core, 3)
    assert read_id in core.take_ready().confirmed_reads


def acknowledge(core, member_id, index, now):
    reply = AppendReply(True, index, core.leader_state.round)
    core.receive(message(member_id, "a.disk", core.term, append_reply=reply), now)


def test_a_new_leader_takes_no_member_for_caught_up_that_lacks_entries_before_its_term():
    core = leader_with_entries_of_an_earlier_term()
    assert core.commit_index == 0, "it does not know yet what is committed"
    acknowledge(core, "b.disk", 2, 5.0)
    assert not core.is_caught_up("b.disk")
    acknowledge(core, "b.disk", 3, 5.0)
    assert core.is_caught_up("b.disk")


# Guards against a promotion that is never due since commits go on while a reply is on its way.
def test_a_member_has_caught_up_that_held_what_was_committed_when_its_round_was_sent():
    core = leader_with_entries_of_an_earlier_term()
    round_of_c = core.leader_state.round
    acknowledge(core, "b.disk", 3, 5.0)
    core.propose([b"a"])
    core.advance(core.take_ready())
    acknowledge(core, "b.disk", 4, 5.0)
    assert core.commit_index == 4
    reply = AppendReply(True, 3, round_of_c)
    core.receive(message("c.disk", "a.disk", core.term, append_reply=reply), 5.04)
    assert core.is_caught_up("c.disk")


def test_a_member_that_has_not_replied_for_an_election_timeout_has_not_caught_up():
    core = leader_with_entries_of_an_earlier_term()
    acknowledge(core, "b.disk", 3, 5.0)
    core.advance(core.take_ready())
    for now in (5.0 + 0.9 * TIMING.election_timeout, 5.0 + 1.1 * TIMING.election_timeout):
        core.tick(now)
        core.advance(core.take_ready())
        acknowledge(core, "c.disk", 3, now)
    assert core.is_caught_up("c.disk")
    assert not core.is_caught_up("b.disk")


# A group whose first candidate lacked the newest entry was without a leader for 3.8 s.
def test_a_failed_campaign_is_repeated_sooner_than_an_election_timeout():
    group = group_with_leader()
    old_leader = group.leader()
    behind, ahead = (h for h in group.host_by_name.values() if h is not old_leader)
    old_leader.core.propose([b"a"])
    old_leader.process_ready()
    for each in [m for m in group.messages if m.recipient == ahead.replica_id]:
        ahead.core.receive(each, group.now)
        ahead.process_ready()
    group.messages.clear()
    old_leader.core = None
    # The one that lacks the entry campaigns first, and in vain.
    group.now += 2 * TIMING.election_timeout
    behind.core.tick(group.now)
    behind.process_ready()
    began_at = group.now
    while group.leader() is None:
        group.run_for(0.1)
    assert group.leader() is ahead
    assert group.now - began_at < TIMING.election_timeout


# A leader that was paused for longer than an election takes finds replies that arrived before:
# it must not take them for a sign that it still leads.
def test_replies_that_waited_during_a_pause_of_the_leader_are_no_recent_contact():
    group = group_with_leader()
    leader = group.leader()
    leader.core.propose([b"a"])
    leader.process_ready()
    for each in [m for m in group.messages if m.recipient != leader.replica_id]:
        group.messages.remove(each)
        group.deliver(each)
    assert group.messages, "the followers have replied"
    group.now += 10 * TIMING.election_timeout
    for reply in [m for m in group.messages if m.recipient == leader.replica_id]:
        leader.core.receive(reply, group.now)
    assert leader.core.seconds_since_quorum_contact(group.now) >= 10 * TIMING.election_timeout
    leader.core.tick(group.now)
    assert leader.core.role is not Role.LEADER


def test_a_follower_learns_of_a_commit_from_its_announcement():
    group = group_with_leader()
    leader = group.leader()
    group.propose("a")
    while group.messages:
        group.deliver(group.messages.pop(0))
    followers = [h for h in group.host_by_name.values() if h is not leader]
    assert leader.applied == ["a"]
    assert [h.applied for h in followers] == [[], []]
    leader.core.announce_commit()
    leader.process_ready()
    while group.messages:
        group.deliver(group.messages.pop(0))
    assert [h.applied for h in followers] == [["a"], ["a"]]
    leader.core.announce_commit()
    assert leader.core.take_ready().is_empty(), "it was announced already"


# Guards against two leaders of one term.
def test_a_replica_votes_for_one_candidate_in_a_term():
    group = group_with_leader(5)
    follower, first, second, _ = (h for h in group.host_by_name.values() if not h.is_leader)
    term, now = follower.core.term + 1, group.now + TIMING.election_timeout + 0.1
    log = follower.core.log
    granted = []
    for candidate in (first, second, first):
        request = VoteRequest(log.last_index, log.last_term, False)
        follower.core.receive(
            message(candidate.replica_id, follower.replica_id, term, vote_request=request), now
        )
        ready = follower.core.take_ready()
        granted += [m.payload.vote_reply.granted for m in ready.messages]
    assert granted == [True, False, True]


def test_a_replica_in_contact_with_its_leader_refuses_vote_requests_and_stays_in_its_term():
    group = group_with_leader()
    leader = group.leader()
    follower, other = (h for h in group.host_by_name.values() if not h.is_leader)
    request = VoteRequest(follower.core.log.last_index + 5, leader.core.term, False)
    vote_message = message(
        other.replica_id, follower.replica_id, leader.core.term + 1, vote_request=request
    )
    follower.core.receive(vote_message, group.now)
    assert follower.core.term == leader.core.term
    assert follower.core.voted_for != other.replica_id
    ready = follower.core.take_ready()
    assert ready.record is None
    assert [m.term for m in ready.messages] == [leader.core.term]
    assert [m.payload.vote_reply.granted for m in ready.messages] == [False]


def test_a_reply_is_sent_only_after_the_entries_it_acknowledges_are_written():
    group = group_with_leader()
    leader = group.leader()
    follower = next(h for h in group.host_by_name.values() if not h.is_leader)
    leader.core.propose([b"a"])
    leader.process_ready()
    for append_message in [m for m in group.messages if m.recipient == follower.replica_id]:
        follower.core.receive(append_message, group.now)
    ready = follower.core.take_ready()
    assert ready.record.entries
    assert ready.messages_before_sync == []
    assert any(m.payload.append_reply for m in ready.messages)


def test_an_entry_of_an_earlier_term_is_committed_only_with_one_of_the_new_term():
    group = group_with_leader()
    old_leader = group.leader()
    others = [h for h in group.host_by_name.values() if h is not old_leader]
    old_leader.core.propose([b"a"])
    old_leader.process_ready()
    # The entry reaches one follower; the leader fails before it gets the reply.
    for message in [m for m in group.messages if m.recipient == others[0].replica_id]:
        others[0].core.receive(message, group.now)
        others[0].process_ready()
    group.messages.clear()
    old_leader.core = None
    group.run_for(5.0)
    leader = group.leader()
    assert leader is others[0]
    assert leader.applied == ["a"]
    assert leader.core.log.term_at(leader.core.commit_index) == leader.core.term


def test_a_read_is_not_confirmed_by_a_partitioned_leader():
    group = group_with_leader()
    leader = group.leader()
    read_id = leader.core.request_read()
    assert read_id not in leader.core.take_ready().confirmed_reads
    leader.core.request_read()
    group.isolate(leader.name)
    confirmed = []
    for _ in range(5):
        group.now += TIMING.heartbeat_interval
        leader.core.tick(group.now)
        confirmed += leader.core.take_ready().confirmed_reads
    assert confirmed == []


def test_a_follower_hundreds_of_entries_behind_catches_up_from_a_snapshot():
    group = group_with_leader()
    follower = next(h for h in group.host_by_name.values() if not h.is_leader)
    group.isolate(follower.name)
    for number in range(300):
        group.propose(str(number))
    group.run_for(1.0)
    group.leader().compact()
    group.heal_partitions()
    group.run_for(3.0)
    assert follower.applied == [str(number) for number in range(300)]
    assert follower.core.log.base_index > 0


def test_a_restarted_group_recovers_all_acknowledged_commands():
    group = group_with_leader()
    group.propose("a")
    group.run_for(1.0)
    for host in group.host_by_name.values():
        host.start()
    group.run_for()
    group.propose("b")
    group.run_for(1.0)
    assert all(host.applied == ["a", "b"] for host in group.host_by_name.values())


# Guards against a host that the group has removed, or a learner that is cut off, which names a
# leader that is gone to entry hosts and workers for as long as it runs.
def test_a_learner_without_contact_names_no_leader():
    group = group_with_leader()
    host = group.host_by_name["d0"] = Host(group, "d0")
    host.start()
    group.change_membership(
        lambda core: core.add_learner(Member(host.replica_id, host.name, "", False))
    )
    group.run_for(1.0)
    assert host.core.leader_id == group.leader().replica_id
    group.isolate(host.name)
    group.run_for(2.5 * TIMING.election_timeout)
    assert host.core.leader_id is None


def test_a_learner_in_contact_names_its_leader_at_any_time():
    group = group_with_leader()
    host = group.host_by_name["d0"] = Host(group, "d0")
    host.start()
    group.change_membership(
        lambda core: core.add_learner(Member(host.replica_id, host.name, "", False))
    )
    group.run_for(1.0)
    for _ in range(60):
        group.run_for(0.1)
        assert host.core.leader_id == group.leader().replica_id
