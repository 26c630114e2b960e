"""How a member with an empty disk is sent the state and the log of a day."""

import random

import pytest

from savoryshelf.replication import send_window
from savoryshelf.replication.send_window import MAX_WINDOW_BYTES, MIN_WINDOW_BYTES
from savoryshelf.replication.snapshot_transfer import (
    SNAPSHOT_CHUNK_BYTES,
    IncomingSnapshot,
    chunk_at,
)
from savoryshelf.wire.generated.ttypes import Member, Membership, SnapshotFile

from .group import TIMING, Group, Host

DELAY_SECONDS = 0.08
"""One way between two regions."""

ROUND_TRIP_SECONDS = 2 * DELAY_SECONDS
CATCH_UP_SECONDS = 4.0
"""A host whose disk was lost has its vote this long after the start of its process (catchUpS)."""

START_SECONDS = 1.0
JOIN_SECONDS = 5 * ROUND_TRIP_SECONDS
"""A new connection, the request on it, and the commit that adds the host."""

PROMOTION_SECONDS = ROUND_TRIP_SECONDS + 0.1
"""The commit that makes it a voter, and the pause before it."""

TRANSFER_SECONDS = CATCH_UP_SECONDS - START_SECONDS - JOIN_SECONDS - PROMOTION_SECONDS
"""What is left for state and log."""

STATE_BYTES = 1024 * 1024
ENTRIES = 5000
ENTRY_BYTES = 266
"""799 B of a job in three entries (docs/CAPACITY.md)."""

FAST_LINK_BYTES_PER_S = 200_000_000 / 8
SLOW_LINK_BYTES_PER_S = 2_000_000 / 8


class FarGroup(Group):
    """A group whose hosts are each in a region of their own.

    What is sent to a host of ``bytes_per_s_by_name`` waits for what was sent to it before.
    ``copies`` tells how often each message to the host ``d0`` arrives, and ``late`` by how much
    each message to a host is delayed.
    """

    def __init__(self, count=3, seed=0):
        super().__init__(count, seed, tick_seconds=0.005)
        self.delay_seconds = 0.0
        self.bytes_per_s_by_name = {}
        self.copies = lambda message: 1
        self.late = lambda name: 0.0
        self.sent = []
        """The messages to the host ``d0``, with their times."""

        self.longest_queueing = 0.0
        self._free_at_by_name = {}

    def enqueue(self, messages):
        for message in messages:
            times = 1
            if message.recipient.startswith("d0."):
                self.sent.append((self.now, message))
                times = self.copies(message)
            self.messages += [message] * times

    def _due(self, message):
        name = message.recipient.rpartition(".")[0]
        rate = self.bytes_per_s_by_name.get(name)
        sent_at = self.now
        if rate:
            free_at = max(self.now, self._free_at_by_name.get(name, 0.0))
            self.longest_queueing = max(self.longest_queueing, free_at - self.now)
            sent_at = self._free_at_by_name[name] = free_at + bulk_bytes(message) / rate
        return sent_at + self.delay_seconds + self.late(name)


def bulk_bytes(message):
    payload = message.payload
    if payload.snapshot_chunk:
        return len(payload.snapshot_chunk.data)
    entries = payload.append_request.entries if payload.append_request else []
    return sum(len(entry.payload) for entry in entries)


def group_of_a_day(state_bytes=STATE_BYTES, entries=ENTRIES, seed=0):
    """Return a group whose leader holds a snapshot and that many entries after it."""
    group = FarGroup(seed=seed)
    group.run_for(3.0)
    command_bytes = min(state_bytes, 65536)
    for _ in range(state_bytes // command_bytes if command_bytes else 0):
        group.propose("x" * command_bytes)
    group.run_for(0.5)
    group.leader().compact()
    for _ in range(entries // 500):
        group.leader().core.propose([b"y" * ENTRY_BYTES] * 500)
        group.run_for(0.05)
    group.run_for(0.5)
    group.delay_seconds = DELAY_SECONDS
    group.run_for(1.0)
    return group


def add_host(group, bytes_per_s=FAST_LINK_BYTES_PER_S):
    host = group.host_by_name["d0"] = Host(group, "d0")
    host.start()
    group.bytes_per_s_by_name["d0"] = bytes_per_s
    group.change_membership(
        lambda core: core.add_learner(Member(host.replica_id, host.name, "", False))
    )
    return host


def seconds_until_caught_up(group, host, limit):
    began_at = group.now
    while not group.leader().core.is_caught_up(host.replica_id):
        if group.now - began_at > limit:
            break
        group.run_for(0.01)
    return group.now - began_at


def chunks_sent(group):
    return [m.payload.snapshot_chunk for _, m in group.sent if m.payload.snapshot_chunk]


# Guards against a replacement that takes longer than catchUpS: a chunk, or 512 entries, a round
# trip, and nothing else on the way.
@pytest.mark.parametrize(
    ("state_bytes", "entries"),
    [(STATE_BYTES, ENTRIES), (STATE_BYTES, 0), (4096, ENTRIES), (0, 100)],
)
def test_the_state_and_log_of_a_day_arrive_in_the_time_that_is_left(state_bytes, entries):
    group = group_of_a_day(state_bytes, entries)
    host = add_host(group)
    assert seconds_until_caught_up(group, host, 20.0) < TRANSFER_SECONDS
    assert group.run_for(1.0) is None
    assert host.applied == group.leader().applied


# Guards against a transfer that begins anew, or waits for long, when a chunk is lost.
@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("kind", ["snapshot_chunk", "append_request", "any"])
def test_what_is_lost_is_sent_again_without_what_was_not(seed, kind):
    group = group_of_a_day()
    rng, lost = random.Random(f"loss-{seed}"), []

    def copies(message):
        is_of_kind = kind == "any" or getattr(message.payload, kind) is not None
        if is_of_kind and bulk_bytes(message) and rng.random() < 0.1:
            lost.append(message)
            return 0
        return 1

    group.copies = copies
    host = add_host(group)
    seconds_until_caught_up(group, host, 20.0)
    offsets = [chunk.offset for chunk in chunks_sent(group)]
    lost_chunks = [m for m in lost if m.payload.snapshot_chunk]
    assert len(offsets) <= len(set(offsets)) + len(lost_chunks) + 2
    group.run_for(1.0)
    assert host.applied == group.leader().applied


# Guards against a lost chunk that costs more than the round trips to notice it and to repeat it.
@pytest.mark.parametrize("number", range(9))
def test_one_lost_chunk_costs_a_few_round_trips(number):
    group, chunks = group_of_a_day(), []

    def copies(message):
        if message.payload.snapshot_chunk is not None:
            chunks.append(message)
            if len(chunks) == number + 1:
                return 0
        return 1

    group.copies = copies
    host = add_host(group)
    assert seconds_until_caught_up(group, host, 20.0) < TRANSFER_SECONDS


# Guards against a member that cannot assemble what arrives out of order or twice.
@pytest.mark.parametrize("seed", range(6))
def test_what_arrives_twice_and_out_of_order_is_assembled(seed):
    group = group_of_a_day()
    rng = random.Random(f"order-{seed}")
    group.copies = lambda message: rng.choice([1, 1, 1, 2])
    group.late = lambda name: rng.uniform(0.0, 0.1)
    host = add_host(group)
    seconds_until_caught_up(group, host, 20.0)
    group.run_for(1.0)
    assert host.applied == group.leader().applied


@pytest.mark.parametrize("seed", range(50))
def test_a_snapshot_is_assembled_from_chunks_in_any_order(seed):
    rng = random.Random(seed)
    size = rng.choice([0, 1, SNAPSHOT_CHUNK_BYTES, 5 * SNAPSHOT_CHUNK_BYTES + 7])
    snapshot = SnapshotFile(7, 2, Membership([]), rng.randbytes(size))
    other = SnapshotFile(7, 2, Membership([]), rng.randbytes(size))
    offsets = [*range(0, max(1, size), SNAPSHOT_CHUNK_BYTES)]
    incoming, assembled = IncomingSnapshot(), None
    for offset in rng.sample(offsets, rng.randrange(len(offsets))):
        assert incoming.add(chunk_at(other, offset, 1), "earlier.a", 2) is None
    held = 0
    while assembled is None:
        offset = rng.choice(offsets)
        assembled = incoming.add(chunk_at(snapshot, offset, 1), "leader.a", 3)
        earlier = SnapshotFile(6, 2, Membership([]), b"earlier")
        if assembled is None:
            assert incoming.add(chunk_at(earlier, 0, 1), "leader.a", 3) is None
            assert incoming.next_offset >= held
            held = incoming.next_offset
    assert assembled == snapshot


def test_chunks_far_behind_a_gap_are_not_kept():
    snapshot = SnapshotFile(7, 2, Membership([]), bytes(4 * MAX_WINDOW_BYTES))
    incoming = IncomingSnapshot()
    for offset in range(SNAPSHOT_CHUNK_BYTES, len(snapshot.state), SNAPSHOT_CHUNK_BYTES):
        assert incoming.add(chunk_at(snapshot, offset, 1), "leader.a", 1) is None
    incoming.add(chunk_at(snapshot, 0, 1), "leader.a", 1)
    assert incoming.next_offset <= MAX_WINDOW_BYTES + SNAPSHOT_CHUNK_BYTES


# Guards against a leader whose queues fill up with a state for a member that is gone, or is slow.
def test_a_member_that_falls_silent_amid_a_snapshot_is_sent_little():
    group = group_of_a_day(8 * STATE_BYTES, 100)
    host = add_host(group)
    while len(chunks_sent(group)) < 10:
        group.run_for(0.005)
    group.isolate(host.name)
    group.run_for(ROUND_TRIP_SECONDS)
    group.sent.clear()
    group.run_for(10.0)
    sent = sum(bulk_bytes(message) for _, message in group.sent)
    assert sent <= 10.0 / (2 * TIMING.heartbeat_interval) * MIN_WINDOW_BYTES
    group.heal_partitions()
    assert seconds_until_caught_up(group, host, 20.0) < CATCH_UP_SECONDS
    group.run_for(1.0)
    assert host.applied == group.leader().applied


def test_a_member_that_is_restarted_amid_a_snapshot_gets_it_anew():
    group = group_of_a_day(4 * STATE_BYTES, 100)
    host = add_host(group)
    while len(chunks_sent(group)) < 10:
        group.run_for(0.005)
    host.start()
    assert seconds_until_caught_up(group, host, 20.0) < CATCH_UP_SECONDS
    group.run_for(1.0)
    assert host.applied == group.leader().applied


def test_a_snapshot_of_another_leader_is_sent_from_its_beginning():
    group = group_of_a_day(4 * STATE_BYTES, 100)
    for each in group.host_by_name.values():
        each.compact()
    host = add_host(group)
    while len(chunks_sent(group)) < 10:
        group.run_for(0.005)
    group.lose(group.leader().name)
    while group.leader() is None or not group.leader().core.has_committed_in_term:
        group.run_for(0.1)
    assert seconds_until_caught_up(group, host, 20.0) < CATCH_UP_SECONDS
    group.run_for(1.0)
    assert host.applied == group.leader().applied


# Guards against heartbeats and votes that wait behind what is sent at one go, and for a voter
# without a leader: its link, or another one on the way, is slow.
@pytest.mark.parametrize(
    "bytes_per_s", [SLOW_LINK_BYTES_PER_S, 8 * SLOW_LINK_BYTES_PER_S, FAST_LINK_BYTES_PER_S]
)
@pytest.mark.parametrize(("state_bytes", "entries"), [(4 * STATE_BYTES, 0), (4096, 4 * ENTRIES)])
def test_what_is_on_the_way_to_a_member_holds_up_no_message_for_long(
    bytes_per_s, state_bytes, entries
):
    group = group_of_a_day(state_bytes, entries)
    host = add_host(group, bytes_per_s)
    limit = 2 * (state_bytes + entries * ENTRY_BYTES) / bytes_per_s + CATCH_UP_SECONDS
    assert seconds_until_caught_up(group, host, limit) < limit
    assert group.longest_queueing < TIMING.election_timeout
    group.run_for(1.0)
    assert host.applied == group.leader().applied


def test_no_more_is_on_the_way_than_the_largest_window(monkeypatch):
    group = group_of_a_day(16 * STATE_BYTES, ENTRIES)
    largest = 0
    record_sent = send_window.SendWindow.record_sent

    def record_and_measure(window, *arguments):
        nonlocal largest
        record_sent(window, *arguments)
        largest = max(largest, window.in_flight)

    monkeypatch.setattr(send_window.SendWindow, "record_sent", record_and_measure)
    host = add_host(group, bytes_per_s=10 * FAST_LINK_BYTES_PER_S)
    assert seconds_until_caught_up(group, host, 20.0) < CATCH_UP_SECONDS
    assert MAX_WINDOW_BYTES / 2 < largest <= MAX_WINDOW_BYTES + SNAPSHOT_CHUNK_BYTES


# Guards against a leader that sends entries one by one: each answer to a small message leaves room
# for one that is as small.
def test_entries_are_sent_in_few_messages(monkeypatch):
    monkeypatch.setattr(send_window, "MAX_WINDOW_BYTES", 2 * MIN_WINDOW_BYTES)
    group = group_of_a_day(4096, 4 * ENTRIES)
    host = add_host(group)
    seconds_until_caught_up(group, host, 20.0)
    sizes = [size for _, message in group.sent if (size := bulk_bytes(message))]
    assert len(sizes) <= sum(sizes) / send_window.MIN_ROOM_BYTES + 10
