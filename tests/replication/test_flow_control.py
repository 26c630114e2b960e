"""Limits on what a leader sends to members that are unresponsive or far behind.

Without them, each heartbeat or late reply makes the leader send the rest of
the log to the same member again.
"""

import pytest

from savoryshelf.replication import core, send_window
from savoryshelf.replication.log import RaftLog
from savoryshelf.replication.snapshot_transfer import SNAPSHOT_CHUNK_BYTES
from savoryshelf.wire.generated.ttypes import EntryKind, LogEntry, Member, Membership

from .group import FAR_DELAY_SECONDS, TICK_SECONDS, Group, Host


def is_to(message, name):
    return message.recipient.startswith(name + ".")


def entries_in(message):
    request = message.payload.append_request
    return len(request.entries) if request else 0


def run_and_count_entries(group, name, seconds, held_messages=None):
    """Run the group for some seconds; return the number of entries sent to the named host.

    With ``held_messages``, messages to that host are added to it and not delivered.
    """
    sent, end = 0, group.now + seconds
    while group.now < end:
        group.now += 0.1
        for host in group.host_by_name.values():
            host.core.tick(group.now)
            host.process_ready()
        while group.messages:
            message = group.messages.pop(0)
            sent += entries_in(message) if is_to(message, name) else 0
            if held_messages is not None and is_to(message, name):
                held_messages.append(message)
            else:
                group.deliver(message)
    return sent


def busy_group_with_stalled_member(commands):
    group = Group(3)
    group.run_for()
    stalled = next(host for host in group.host_by_name.values() if not host.is_leader)
    held_messages, sent = [], 0
    for number in range(commands):
        group.propose(str(number))
        sent += run_and_count_entries(group, stalled.name, 0.1, held_messages)
    return group, stalled, held_messages, sent


def test_an_unresponsive_member_is_sent_few_entries():
    _, _, _, sent = busy_group_with_stalled_member(100)
    # Ten commands are proposed per second, and the leader stops sending entries
    # after three heartbeat intervals (0.6 s) without a reply.
    assert sent < 20


def test_delayed_messages_delivered_together_do_not_each_resend_the_log():
    group, stalled, held_messages, _ = busy_group_with_stalled_member(100)
    first = next(message for message in held_messages if entries_in(message))
    held_messages.remove(first)
    group.messages = held_messages
    sent = run_and_count_entries(group, stalled.name, 3.0)
    assert stalled.applied == [str(number) for number in range(100)]
    # Rejections may cause a few repetitions, but not one per delayed message.
    assert sent <= 3 * 100


def group_with_large_snapshot(chunks):
    """Return a busy group of three whose state fills that many chunks, and a far new learner."""
    group = Group(3, tick_seconds=0.002)
    group.run_for(3.0)
    for _ in range(chunks):
        group.propose("x" * (SNAPSHOT_CHUNK_BYTES - 100))
    group.run_for(0.5)
    group.leader().compact()
    group.commands_per_s = 200.0
    host = group.host_by_name["d0"] = Host(group, "d0")
    host.start()
    group.far_names = {"d0"}
    return group, host


def add_learner(group, host):
    group.change_membership(
        lambda core: core.add_learner(Member(host.replica_id, host.name, "", False))
    )


# Guards against a chunk that every commit sends again while it is on its way to a far member.
def test_a_chunk_of_a_snapshot_is_not_sent_again_with_each_commit():
    group, host = group_with_large_snapshot(chunks=10)
    sent = []
    deliver = group.deliver

    def count_and_deliver(message):
        if message.payload.snapshot_chunk:
            sent.append(message.payload.snapshot_chunk.offset)
        deliver(message)

    group.deliver = count_and_deliver
    add_learner(group, host)
    group.run_for(2.0)
    assert len(host.applied) > 10
    assert len(sent) <= 2 * len(set(sent))


# Guards against a transfer that begins anew for ever, since the leader has dropped the entries
# after the snapshot by the time it is complete.
def test_a_member_catches_up_while_snapshots_are_taken_faster_than_one_is_sent():
    group, host = group_with_large_snapshot(chunks=20)
    add_learner(group, host)
    leader = group.leader()
    for _ in range(10):
        group.run_for(0.4)
        leader.compact()
    assert leader.core.is_caught_up(host.replica_id)


def test_entries_are_not_kept_for_a_member_without_contact():
    group, stalled, _, _ = busy_group_with_stalled_member(20)
    leader = group.leader()
    group.lose(stalled.name)
    group.run_for(2.0)
    leader.compact()
    assert leader.core.log.base_index == leader.core.applied_index


def test_entries_kept_for_a_slow_member_are_limited(monkeypatch):
    monkeypatch.setattr(core, "MAX_KEPT_ENTRIES", 50)
    # One chunk a round trip: the transfer lasts for longer than the test looks at it.
    monkeypatch.setattr(send_window, "MAX_WINDOW_BYTES", SNAPSHOT_CHUNK_BYTES)
    group, host = group_with_large_snapshot(chunks=20)
    add_learner(group, host)
    group.run_for(0.6)
    leader = group.leader()
    assert leader.core.leader_state.progress_by_id[host.replica_id].snapshot is not None
    leader.compact()
    assert leader.core.applied_index - leader.core.log.base_index == 50


def healed_group_with_conflicting_entries(count):
    """Return a busy group of five after a split, and the two hosts that were with the old leader.

    Each of the two holds ``count`` entries that were never committed.
    """
    group = Group(5, tick_seconds=0.002)
    group.run_for(3.0)
    group.far_names = set(group.host_by_name)
    group.commands_per_s = 100.0
    group.run_for(0.3)
    old_leader = group.leader()
    companion = next(h for h in group.host_by_name.values() if h is not old_leader)
    cut_off = [old_leader, companion]
    for host in cut_off:
        for name in group.host_by_name.keys() - {each.name for each in cut_off}:
            group.blocked_links |= {(host.name, name), (name, host.name)}
    for number in range(count):
        old_leader.core.propose([f"conflicting {number}".encode()])
    old_leader.process_ready()
    group.run_for(4.0)
    for host in cut_off:
        assert host.core.log.last_index - host.core.commit_index >= count
    group.heal_partitions()
    return group, cut_off


# Guards against a leader that steps back by one entry per round trip, and sends all later entries
# each time: the members were behind for seconds and the links full.
@pytest.mark.parametrize("count", [10, 100, 400])
def test_a_member_with_many_conflicting_entries_catches_up_within_some_round_trips(count):
    group, cut_off = healed_group_with_conflicting_entries(count)
    sent, enqueue = dict.fromkeys((host.name for host in cut_off), 0), group.enqueue

    def enqueue_and_count(messages):
        for message in messages:
            name = message.recipient.rpartition(".")[0]
            if name in sent:
                sent[name] += entries_in(message)
        enqueue(messages)

    group.enqueue = enqueue_and_count
    missing = group.leader().core.log.last_index - cut_off[0].core.commit_index
    group.run_for(TICK_SECONDS + 20 * FAR_DELAY_SECONDS)
    core = group.leader().core
    assert all(core.is_caught_up(host.replica_id) for host in cut_off)
    assert max(sent.values()) < 5 * missing


def group_with_entries_of_a_later_term(
    held, uncommitted, conflicting, compacts=False, leaderships=1
):
    """Return a group and a host that holds ``conflicting`` entries that the leader lacks.

    Their term is later than that of the ``held`` entries before them, which the leader holds too,
    and of the ``uncommitted`` ones that the leader has in their place.  If it ``compacts``, the
    logs begin with the first entry that differs.  The leader is that of so many ``leaderships``
    after that of the host, so that its latest entries may be of a later term than all of those.
    """
    group = Group(5)
    group.run_for(3.0)
    for number in range(held):
        group.propose(str(number))
        if number % 100 == 0:
            group.run_for(TICK_SECONDS)
    group.run_for(1.0)
    for host in group.host_by_name.values():
        if compacts:
            host.compact()
    companions = {group.leader().name, *list(group.host_by_name.keys() - {group.leader().name})[:1]}
    others = group.host_by_name.keys() - companions
    between = {(a, b) for a in companions for b in others}
    group.blocked_links = between | {(b, a) for a, b in between}
    for number in range(uncommitted):
        group.propose(f"uncommitted {number}")
    is_blocked = group.is_blocked
    group.is_blocked = lambda m: (
        is_blocked(m)
        or (m.payload.append_request is not None and m.sender.rpartition(".")[0] in others)
    )
    while not any(group.host_by_name[name].is_leader for name in others):
        group.run_for(TICK_SECONDS)
    host = next(each for name in others if (each := group.host_by_name[name]).is_leader)
    host.core.propose([f"conflicting {number}".encode() for number in range(conflicting - 1)])
    host.process_ready()
    group.is_blocked = is_blocked
    group.heal_partitions()
    group.isolate(host.name)
    group.run_for(6.0)
    assert group.leader().name in companions
    for _ in range(leaderships - 1):
        group.isolate(group.leader().name)
        group.run_for(6.0)
    leader = group.leader()
    assert host.core.log.last_index == host.core.commit_index + conflicting
    first = host.core.commit_index + 1
    assert leader.core.log.term_at(first) < host.core.log.term_at(first)
    assert leader.core.log.base_index == (first - 1 if compacts else 0)
    return group, host


# Guards against a leader that sends a member a whole term again: its entries in place of those
# that the member holds are of an earlier term, most of which the member holds.
@pytest.mark.parametrize("leaderships", [1, 2])
@pytest.mark.parametrize("conflicting", [1, 2, 20, 30, 31, 100])
def test_a_member_with_entries_of_a_later_term_is_sent_only_what_it_lacks(conflicting, leaderships):
    group, host = group_with_entries_of_a_later_term(2000, 30, conflicting, leaderships=leaderships)
    leader = group.leader()
    missing = leader.core.log.last_index - host.core.commit_index
    group.heal_partitions()
    rejections, deliver = [], group.deliver

    def deliver_and_keep_rejections(message):
        reply = message.payload.append_reply
        if reply and not reply.success and message.sender == host.replica_id:
            rejections.append(reply)
        deliver(message)

    group.deliver = deliver_and_keep_rejections
    sent = run_and_count_entries(group, host.name, 3.0)
    assert group.leader() is leader
    # One for each term in which the logs differ.
    assert len(rejections) <= leaderships + 1
    assert leader.core.is_caught_up(host.replica_id)
    assert host.applied == leader.applied
    assert sent < 2 * missing


@pytest.mark.parametrize("leaderships", [1, 2])
@pytest.mark.parametrize("uncommitted", [1, 2, 30])
@pytest.mark.parametrize("conflicting", [1, 2, 30])
def test_a_member_that_holds_all_up_to_the_start_of_the_log_needs_no_snapshot(
    uncommitted, conflicting, leaderships
):
    group, host = group_with_entries_of_a_later_term(
        10, uncommitted, conflicting, compacts=True, leaderships=leaderships
    )
    leader, chunks, enqueue = group.leader(), [], group.enqueue

    def enqueue_and_keep(messages):
        chunks.extend(m for m in messages if m.payload.snapshot_chunk is not None)
        enqueue(messages)

    group.enqueue = enqueue_and_keep
    group.heal_partitions()
    group.run_for(3.0)
    assert leader.core.is_caught_up(host.replica_id)
    assert host.applied == leader.applied
    assert not chunks


def test_the_first_entry_of_a_term_is_found_as_far_as_the_log_goes_back():
    log = RaftLog(Membership([]), base_index=10, base_term=2)
    for index, term in enumerate([2, 2, 3, 3, 5], start=11):
        log.append(LogEntry(index, term, EntryKind.COMMAND, b""))
    first_by_index = {index: log.first_index_of_term_at(index) for index in range(11, 16)}
    assert first_by_index == {11: 11, 12: 11, 13: 13, 14: 13, 15: 15}
    last_by_term = {term: log.last_index_of_terms_up_to(term) for term in range(1, 7)}
    assert last_by_term == {1: 10, 2: 12, 3: 14, 4: 14, 5: 15, 6: 15}
