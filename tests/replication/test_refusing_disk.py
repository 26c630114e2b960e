"""A replica whose disk refuses writes for a while: the others go on, and it comes back."""

import errno
import os
import random

import eventlet
import pytest

from savoryshelf.clock import SystemClock
from savoryshelf.disk import LocalDisk
from savoryshelf.replication.service import OutcomeUnknown, ReplicaService
from savoryshelf.replication.storage import ReplicaStorage
from savoryshelf.replication.types import NotLeading, Timing
from savoryshelf.wire.generated.ttypes import Member, Membership

NAMES = ["c0", "c1", "c2"]
TIMING = Timing(heartbeat_interval=0.1, election_timeout=0.4)
WAIT_TIMEOUT_SECONDS = 20.0


class Commands:
    """Lists the commands that were applied."""

    def __init__(self):
        self.applied = []

    def apply(self, payload):
        self.applied.append(payload)
        return len(self.applied)


class Group:
    """Three replicas in this process, each with a folder of its own."""

    def __init__(self, folder):
        members = [Member(f"{name}.disk", name, "", True) for name in NAMES]
        self.service_by_name = {}
        for name in NAMES:
            self.service_by_name[name] = ReplicaService(
                replica_id=f"{name}.disk",
                initial_membership=Membership(members),
                storage=ReplicaStorage(LocalDisk(str(folder / name))),
                state_machine=Commands(),
                transport=self,
                address_by_host=dict(zip(NAMES, NAMES, strict=True)),
                clock=SystemClock(),
                timing=TIMING,
                rng=random.Random(name),
            )
        for service in self.service_by_name.values():
            service.start()

    def send(self, address, message):
        """Deliver a message, as the transport of a replica."""
        self.service_by_name[address].deliver([message])

    def leader(self, names=NAMES):
        """Wait until one of these replicas leads; return its name."""
        with eventlet.Timeout(WAIT_TIMEOUT_SECONDS):
            while True:
                for name in names:
                    core = self.service_by_name[name].core
                    if self.service_by_name[name].is_leader and core.has_committed_in_term:
                        return name
                eventlet.sleep(0.02)

    def propose(self, payload, names=NAMES):
        """Propose a command to whichever of these replicas leads until it is committed."""
        while True:
            try:
                with eventlet.Timeout(WAIT_TIMEOUT_SECONDS):
                    return self.service_by_name[self.leader(names)].propose(payload)
            except (NotLeading, OutcomeUnknown):
                eventlet.sleep(0.02)

    def wait_until_applied(self, name, payload):
        applied = self.service_by_name[name].state_machine.applied
        with eventlet.Timeout(WAIT_TIMEOUT_SECONDS):
            while payload not in applied:
                eventlet.sleep(0.02)
        return applied


@pytest.fixture
def group(tmp_path):
    started = Group(tmp_path)
    yield started
    for service in started.service_by_name.values():
        service.stop()


@pytest.fixture
def refused_folders(tmp_path, monkeypatch):
    """Return the set of the folders whose disk takes one byte of each write, and no more."""
    folders, write = set(), os.write

    def refuse(descriptor, data):
        path = os.readlink(f"/proc/self/fd/{descriptor}")
        if not any(path.startswith(f"{tmp_path}/{folder}/") for folder in folders):
            return write(descriptor, data)
        if len(data) > 1 and data.startswith(b"SSW1"):
            return write(descriptor, data[:1])
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    monkeypatch.setattr(os, "write", refuse)
    return folders


# Guards against a control host that ends, again and again, while its disk refuses writes.
@pytest.mark.parametrize("is_leader", [True, False], ids=["the leader's", "a follower's"])
def test_a_replica_goes_on_once_its_disk_takes_writes_again(group, refused_folders, is_leader):
    group.propose(b"before")
    leader = group.leader()
    refused = leader if is_leader else next(name for name in NAMES if name != leader)
    others = [name for name in NAMES if name != refused]
    refused_folders.add(refused)
    if is_leader:
        # A leader that has nothing to write would lead on.
        eventlet.spawn(group.propose, b"in doubt", [refused])
        eventlet.sleep(0.05)
    group.propose(b"meanwhile", others)
    assert b"meanwhile" not in group.service_by_name[refused].state_machine.applied
    refused_folders.clear()
    group.propose(b"after")
    applied = group.wait_until_applied(refused, b"after")
    for name in others:
        assert group.wait_until_applied(name, b"after") == applied
    assert [each for each in applied if each != b"in doubt"] == [b"before", b"meanwhile", b"after"]
    assert applied.count(b"in doubt") <= 1


# Guards against a record that is on the disk twice, or in part, after a refusal.
def test_what_was_written_through_refusals_is_recovered(group, refused_folders, tmp_path):
    refused = next(name for name in NAMES if name != group.leader())
    for number in range(5):
        refused_folders.add(refused)
        eventlet.spawn_after(0.15, refused_folders.clear)
        group.propose(b"%d" % number)
    group.wait_until_applied(refused, b"4")
    recovered = ReplicaStorage(LocalDisk(str(tmp_path / refused))).recover()
    payloads = [entry.payload for entry in recovered.entries if entry.payload]
    assert payloads == [b"%d" % number for number in range(5)]
