"""A simulated control group: real cores and storage, with a fake network, clock and disks."""

import heapq
import json
import random

from savoryshelf.replication.core import Replica
from savoryshelf.replication.storage import ReplicaStorage
from savoryshelf.replication.types import RecoveredState, Role, Timing
from savoryshelf.wire import codec
from savoryshelf.wire.generated.ttypes import EntryKind, Member, Membership, SnapshotFile

TIMING = Timing(heartbeat_interval=0.2, election_timeout=1.0)
TICK_SECONDS = 0.1
FAR_DELAY_SECONDS = 0.02
"""One way between a far host and any other."""


class MemoryDisk:
    """A data folder in memory; ``Host.process_ready`` can simulate a torn write on it."""

    def __init__(self):
        self.content_by_name: dict[str, bytes] = {}

    def list_files(self):
        return sorted(self.content_by_name)

    def read(self, name):
        return self.content_by_name[name]

    def append(self, name, data):
        self.content_by_name[name] = self.content_by_name.get(name, b"") + data

    def replace(self, name, data):
        self.content_by_name[name] = data

    def remove(self, name):
        del self.content_by_name[name]

    def truncate(self, name, size):
        self.content_by_name[name] = self.content_by_name[name][:size]

    def sync(self, names):
        pass


class Host:
    """One replica with its disk; its state machine is the list of applied commands.

    After each ``held_seconds`` in which it runs its process gets no processor for as long.
    """

    def __init__(self, group, name):
        self.group = group
        self.name = name
        self.disk = MemoryDisk()
        self.core = None
        self.applied = []
        self.sync_seconds = 0.0
        self.held_seconds = 0.0
        self.held_phase = 0.0
        self._syncing = None
        self._synced_at = 0.0
        self._inbox = []

    def start(self, initial_membership=None, program_age_seconds=0.0):
        self.storage = ReplicaStorage(self.disk)
        identity = self.storage.load_or_create_identity(self.name)
        if initial_membership is not None and identity.genesis is None:
            self.storage.save_initial_membership(identity, initial_membership)
        recovered = self.storage.recover()
        self.applied = []
        self._syncing, self._inbox = None, []
        if recovered.snapshot:
            self.applied = json.loads(recovered.snapshot.state)
        self.core = Replica(
            identity.replica_id,
            identity.genesis or Membership([]),
            recovered,
            TIMING,
            self.group.rng,
            self.group.now,
            began_at=self.group.now - program_age_seconds,
        )

    @property
    def replica_id(self):
        return self.storage.load_or_create_identity(self.name).replica_id

    @property
    def is_leader(self):
        return self.core is not None and self.core.role is Role.LEADER

    def process_ready(self, crash_before_sync=False, written_fraction=None):
        """Process the core's pending work; return False if it crashed before the sync."""
        while (
            self.core is not None
            and self._syncing is None
            and not (ready := self.core.take_ready()).is_empty()
        ):
            self.group.enqueue(ready.messages_before_sync)
            if (ready.record or ready.snapshot_to_install) and crash_before_sync:
                self._write_partially(ready, written_fraction)
                self.core = None
                return False
            if ready.snapshot_to_install:
                term, vote = self.core.term, self.core.voted_for
                self.storage.write_snapshot(ready.snapshot_to_install, term, vote, [])
                self.applied = json.loads(ready.snapshot_to_install.state)
            if ready.record:
                self.storage.write(ready.record)
            if ready.record and self.sync_seconds:
                self._syncing, self._synced_at = ready, self.group.now + self.sync_seconds
            else:
                self._complete(ready)
        return True

    def _complete(self, ready):
        self.core.advance(ready)
        self.group.enqueue(ready.messages)
        for entry in ready.committed:
            if entry.kind == EntryKind.COMMAND:
                self.applied.append(entry.payload.decode())

    def receive(self, message):
        """Handle a message, or keep it until the sync in progress ends."""
        if self._syncing is None and not self.is_held:
            self.core.receive(message, self.group.now)
            self.process_ready()
        else:
            self._inbox.append(message)

    @property
    def is_held(self):
        cycle = 2 * self.held_seconds
        return cycle > 0 and (self.group.now + self.held_phase) % cycle < self.held_seconds

    def run(self):
        """Do what is due: end a sync, handle the messages that waited, tick the core."""
        if self.core is None or self.is_held:
            return
        if self._syncing and self._synced_at > self.group.now:
            return
        if self._syncing:
            ready, self._syncing = self._syncing, None
            self._complete(ready)
        messages, self._inbox = self._inbox, []
        for message in messages:
            self.core.receive(message, self.group.now)
        self.core.tick(self.group.now)
        self.process_ready()

    def _write_partially(self, ready, written_fraction):
        """Write only the given fraction of the record, as a crash during the write would."""
        if written_fraction and ready.record:
            content_before = {n: self.disk.read(n) for n in self.disk.list_files()}
            self.storage.write(ready.record)
            for name in self.disk.list_files():
                old_content = content_before.get(name, b"")
                new_content = self.disk.read(name)
                if new_content != old_content:
                    self.disk.truncate(
                        name,
                        len(old_content)
                        + int((len(new_content) - len(old_content)) * written_fraction),
                    )

    def compact(self):
        core = self.core
        index = core.applied_index
        if index <= core.log.base_index:
            return
        state = json.dumps(self.applied).encode()
        snapshot = SnapshotFile(
            index, core.log.term_at(index), core.log.membership_at(index), state
        )
        tail = core.log.entries(index + 1, core.log.last_index)
        self.storage.write_snapshot(snapshot, core.term, core.voted_for, tail)
        core.compact(snapshot, 0)


class Group:
    """The hosts of a group, the messages in flight and the simulated time in seconds.

    Messages between a host of ``far_names`` and any other host take ``FAR_DELAY_SECONDS``
    in ``run_for``.  A sync takes a host its ``sync_seconds``, and it does nothing else meanwhile.
    ``commands_per_s`` are proposed to the leader all the time, and a host in
    ``entry_rate_by_name`` receives at most that many log entries a second.  Each request for a
    vote and each answer to one is lost with the probability ``vote_loss``.  With
    ``loses_first_votes`` the first of each kind from one host to another is lost.
    """

    def __init__(self, count=3, seed=0, tick_seconds=TICK_SECONDS):
        self.rng = random.Random(seed)
        self.vote_loss = 0.0
        self.loses_first_votes = False
        self._lost_first = set()
        self._loss_rng = random.Random(f"loss-{seed}")
        self.now = 0.0
        self.tick_seconds = tick_seconds
        self.far_names = set()
        self.commands_per_s = 0.0
        self.entry_rate_by_name = {}
        self.proposed = 0
        self._next_proposal_at = 0.0
        self._delayed = []
        self._delayed_count = 0
        self._received_at_by_name = {}
        self.messages = []
        self.blocked_links = set()
        self.host_by_name = {f"c{n}": Host(self, f"c{n}") for n in range(count)}
        members = []
        for name, host in self.host_by_name.items():
            replica_id = ReplicaStorage(host.disk).load_or_create_identity(name).replica_id
            members.append(Member(replica_id, name, "", True))
        self.initial_membership = Membership(members)
        for host in self.host_by_name.values():
            host.start(self.initial_membership)

    def enqueue(self, messages):
        self.messages.extend(messages)

    def is_blocked(self, message):
        sender, recipient = (m.rpartition(".")[0] for m in (message.sender, message.recipient))
        return (sender, recipient) in self.blocked_links

    def is_lost(self, message):
        payload = message.payload
        vote = payload.vote_request or payload.vote_reply
        if vote is None:
            return False
        key = (message.sender, message.recipient, type(vote), vote.pre_vote)
        if self.loses_first_votes and key not in self._lost_first:
            self._lost_first.add(key)
            return True
        return self._loss_rng.random() < self.vote_loss

    def deliver(self, message):
        if self.is_blocked(message) or self.is_lost(message):
            return
        host = self.host_by_name.get(message.recipient.rpartition(".")[0])
        if host is not None and host.core is not None:
            host.receive(message)

    def run_for(self, seconds=4.0):
        """Advance the time and deliver every message in order."""
        end = self.now + seconds
        while self.now < end:
            self.now += self.tick_seconds
            self._propose_commands()
            for host in list(self.host_by_name.values()):
                host.run()
            self._deliver_due()

    def _propose_commands(self):
        if not self.commands_per_s or self.now < self._next_proposal_at:
            return
        self._next_proposal_at = self.now + 1 / self.commands_per_s
        if self.leader() is not None:
            self.proposed += 1
            self.propose(str(self.proposed))

    def _deliver_due(self):
        while self._delayed and self._delayed[0][0] <= self.now:
            self.deliver(heapq.heappop(self._delayed)[-1])
        while self.messages:
            message = self.messages.pop(0)
            due = self._due(message)
            if due <= self.now:
                self.deliver(message)
            else:
                self._delayed_count += 1
                heapq.heappush(self._delayed, (due, self._delayed_count, message))

    def _due(self, message):
        sender, recipient = (m.rpartition(".")[0] for m in (message.sender, message.recipient))
        due = self.now
        if {sender, recipient} & self.far_names:
            due += FAR_DELAY_SECONDS
        rate = self.entry_rate_by_name.get(recipient)
        if rate:
            request = message.payload.append_request
            entries = len(request.entries) if request else 0
            due = max(due, self._received_at_by_name.get(recipient, 0.0)) + entries / rate
            self._received_at_by_name[recipient] = due
        return due

    def lose(self, name):
        """Remove a host with its disk for good."""
        del self.host_by_name[name]

    def lose_power(self):
        """Stop all hosts and lose the messages in flight; the disks stay."""
        for host in self.host_by_name.values():
            host.core = None
        self.messages.clear()
        self._delayed.clear()

    def isolate(self, name):
        """Block all messages to and from a host."""
        for other in self.host_by_name:
            self.blocked_links |= {(name, other), (other, name)}

    def heal_partitions(self):
        self.blocked_links.clear()

    def leader(self):
        """Return the leader of the latest term, or None."""
        leaders = [h for h in self.host_by_name.values() if h.is_leader]
        return max(leaders, key=lambda h: h.core.term, default=None)

    def propose(self, text):
        leader = self.leader()
        leader.core.propose([text.encode()])
        leader.process_ready()

    def change_membership(self, change):
        """Propose a membership change on the leader."""
        leader = self.leader()
        change(leader.core)
        leader.process_ready()


def decode_membership(entry):
    return codec.decode(Membership, entry.payload)


def empty_replica(replica_id="x.new"):
    return Replica(replica_id, Membership([]), RecoveredState(), TIMING, random.Random(0), 0.0)
