"""A control group in memory: real cores and storage, a fake network, clock and disks."""

import json
import random

from savoryshelf.replication.core import Replica
from savoryshelf.replication.storage import ReplicaStorage
from savoryshelf.replication.types import Recovered, Role, Timing
from savoryshelf.wire import codec
from savoryshelf.wire.generated.ttypes import EntryKind, Member, Membership, SnapshotFile

TIMING = Timing(heartbeat=0.2, election=1.0)
STEP = 0.1


class MemoryDisk:
    """A disk whose crash may tear the write that was under way."""

    def __init__(self):
        self.content_by_name: dict[str, bytes] = {}

    def names(self):
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


class Host:
    """One replica with its disk and a state machine that lists what was applied."""

    def __init__(self, group, name):
        self.group = group
        self.name = name
        self.disk = MemoryDisk()
        self.core = None
        self.applied = []

    def boot(self, genesis=None):
        self.storage = ReplicaStorage(self.disk)
        identity = self.storage.identity(self.name)
        if genesis is not None and identity.genesis is None:
            self.storage.save_genesis(identity, genesis)
        recovered = self.storage.recover()
        self.applied = []
        if recovered.snapshot:
            self.applied = json.loads(recovered.snapshot.state)
        self.core = Replica(
            identity.replica_id,
            identity.genesis or Membership([]),
            recovered,
            TIMING,
            self.group.randomness,
            self.group.now,
        )

    @property
    def replica_id(self):
        return self.storage.identity(self.name).replica_id

    @property
    def leads(self):
        return self.core is not None and self.core.role is Role.LEADER

    def carry_out(self, crash_before_sync=False, tear=None):
        """Do what the core asks; return False if a crash came before the sync."""
        while self.core is not None and not (ready := self.core.take_ready()).is_empty():
            self.group.post(ready.early_messages)
            if (ready.record or ready.install) and crash_before_sync:
                self._tear(ready, tear)
                self.core = None
                return False
            if ready.install:
                term, vote = self.core.term, self.core.voted_for
                self.storage.write_snapshot(ready.install, term, vote, [])
                self.applied = json.loads(ready.install.state)
            if ready.record:
                self.storage.write(ready.record)
            self.core.synced(ready)
            self.group.post(ready.messages)
            for entry in ready.committed:
                if entry.kind == EntryKind.COMMAND:
                    self.applied.append(entry.payload.decode())
        return True

    def _tear(self, ready, tear):
        """Leave the first bytes of the write which the crash cut."""
        if tear and ready.record:
            before = {n: self.disk.read(n) for n in self.disk.names()}
            self.storage.write(ready.record)
            for name in self.disk.names():
                kept = before.get(name, b"")
                grown = self.disk.read(name)
                if grown != kept:
                    self.disk.truncate(name, len(kept) + int((len(grown) - len(kept)) * tear))

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
    """Hosts, the messages between them, and the time."""

    def __init__(self, count=3, seed=0):
        self.randomness = random.Random(seed)
        self.now = 0.0
        self.messages = []
        self.cut = set()
        self.host_by_name = {f"c{n}": Host(self, f"c{n}") for n in range(count)}
        members = []
        for name, host in self.host_by_name.items():
            replica_id = ReplicaStorage(host.disk).identity(name).replica_id
            members.append(Member(replica_id, name, "", True))
        self.genesis = Membership(members)
        for host in self.host_by_name.values():
            host.boot(self.genesis)

    def post(self, messages):
        self.messages.extend(messages)

    def blocked(self, message):
        sender, recipient = (m.rpartition(".")[0] for m in (message.sender, message.recipient))
        return (sender, recipient) in self.cut

    def deliver(self, message):
        if self.blocked(message):
            return
        host = self.host_by_name.get(message.recipient.rpartition(".")[0])
        if host is not None and host.core is not None:
            host.core.receive(message, self.now)
            host.carry_out()

    def settle(self, seconds=4.0):
        """Let time pass with every message delivered in order."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            for host in self.host_by_name.values():
                if host.core is not None:
                    host.core.tick(self.now)
                    host.carry_out()
            while self.messages:
                self.deliver(self.messages.pop(0))

    def isolate(self, name):
        """Cut a host off both ways."""
        for other in self.host_by_name:
            self.cut |= {(name, other), (other, name)}

    def heal(self):
        self.cut.clear()

    def leader(self):
        """Return the leader of the newest term."""
        leaders = [h for h in self.host_by_name.values() if h.leads]
        return max(leaders, key=lambda h: h.core.term, default=None)

    def propose(self, text):
        leader = self.leader()
        leader.core.propose([text.encode()])
        leader.carry_out()

    def change(self, change):
        """Make a change of membership on the leader."""
        leader = self.leader()
        change(leader.core)
        leader.carry_out()


def decode_membership(entry):
    return codec.decode(Membership, entry.payload)


def empty_replica(replica_id="x.new"):
    return Replica(replica_id, Membership([]), Recovered(), TIMING, random.Random(0), 0.0)
