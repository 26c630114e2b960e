"""Replicas with their real driver, ``ReplicaService``, in one process on virtual time."""

import contextlib
import random

import eventlet
from eventlet import hubs

from savoryshelf.replication.service import OutcomeUnknown, ReplicaService
from savoryshelf.replication.storage import ReplicaStorage
from savoryshelf.replication.types import NotLeading
from savoryshelf.wire.generated.ttypes import Member, Membership

from ..virtual_time import virtual_time
from .group import TIMING, MemoryDisk

DELAY_SECONDS = 0.001
"""One way between two hosts."""


class SlowDisk(MemoryDisk):
    """A disk in memory; an append takes ``sync_seconds``."""

    def __init__(self, clock):
        super().__init__()
        self.sync_seconds = 0.0
        self._clock = clock

    def append(self, name, data):
        self._clock.sleep(self.sync_seconds)
        super().append(name, data)


class _Transport:
    def __init__(self, group, name):
        self._group, self._name = group, name

    def send(self, address, message):
        is_cut = (self._name, address) in self._group.cut_links
        if not is_cut and not {self._name, address} & self._group.cut_off:
            eventlet.spawn_after(DELAY_SECONDS, self._group.deliver, address, message)


class _Counter:
    """A state machine that counts its commands; each takes the group's ``apply_seconds``."""

    def __init__(self, group):
        self.count = 0
        self._group = group

    def apply(self, payload):
        self._group.stand_still(self._group.apply_seconds)
        self.count += 1
        return self.count

    def snapshot(self):
        return str(self.count).encode()

    def restore(self, data):
        self.count = int(data)


class ServiceGroup:
    """Running replicas by name; those in ``cut_off`` neither send nor receive.

    ``cut_links`` has pairs of a sender and a recipient whom its messages do not reach.
    """

    def __init__(self, clock, count=3, seed=0):
        self.clock = clock
        self.cut_off: set[str] = set()
        self.apply_seconds = 0.0
        """Processor time of one command; all hosts share one processor."""

        self.cut_links: set[tuple[str, str]] = set()
        self._seed = seed
        self.disk_by_name = {f"c{n}": SlowDisk(clock) for n in range(count)}
        self._start()

    def _start(self):
        storages = {name: ReplicaStorage(disk) for name, disk in self.disk_by_name.items()}
        ids = {
            name: each.load_or_create_identity(name).replica_id for name, each in storages.items()
        }
        membership = Membership([Member(ids[name], name, "", True) for name in storages])
        self.service_by_name = {
            name: ReplicaService(
                replica_id=ids[name],
                initial_membership=membership,
                storage=storage,
                state_machine=_Counter(self),
                transport=_Transport(self, name),
                address_by_host={},
                clock=self.clock,
                timing=TIMING,
                rng=random.Random(f"{self._seed}-{name}"),
                processor_time=self.clock.monotonic,
            )
            for name, storage in storages.items()
        }
        for service in self.service_by_name.values():
            service.start()

    def add_host(self, name):
        """Start a host with an empty disk, which is no member yet; return its service."""
        disk = self.disk_by_name[name] = SlowDisk(self.clock)
        storage = ReplicaStorage(disk)
        service = self.service_by_name[name] = ReplicaService(
            replica_id=storage.load_or_create_identity(name).replica_id,
            initial_membership=Membership([]),
            storage=storage,
            state_machine=_Counter(self),
            transport=_Transport(self, name),
            # It has to answer before it knows the members.
            address_by_host={each: each for each in self.disk_by_name},
            clock=self.clock,
            timing=TIMING,
            rng=random.Random(f"{self._seed}-{name}"),
            processor_time=self.clock.monotonic,
        )
        service.start()
        return service

    def restart(self):
        """End all hosts at once, and start them with their disks."""
        for service in self.service_by_name.values():
            service.stop()
        self._start()

    def leader_name(self):
        """Return the name of the leader that can serve, or None."""
        for name, service in self.service_by_name.items():
            if service.core.has_committed_in_term:
                return name
        return None

    def deliver(self, name, message):
        """Hand a message to a host, unless that is gone."""
        if name in self.service_by_name:
            self.service_by_name[name].deliver([message])

    def propose(self, name):
        """Propose a command to a host, and do not wait for its commit."""
        eventlet.spawn(self._propose, name)

    def _propose(self, name):
        with contextlib.suppress(NotLeading, OutcomeUnknown):
            self.service_by_name[name].propose(b"")

    def stand_still(self, seconds):
        """Let time pass in which no green thread of any host runs."""
        hubs.get_hub().now += seconds

    def term(self):
        """Return the latest term of any host."""
        return max(service.core.term for service in self.service_by_name.values())

    def wait_for_leader(self):
        """Return the name of the leader once there is one."""
        while (name := self.leader_name()) is None:
            self.clock.sleep(0.01)
        return name


@contextlib.contextmanager
def running_services(count=3, seed=0):
    """Run a group in the block, on virtual time; yield it once it has a leader."""
    with virtual_time(seed) as clock:
        group = ServiceGroup(clock, count, seed)
        try:
            group.wait_for_leader()
            clock.sleep(1.0)
            yield group
        finally:
            # The watch of each would go on in this process, on every switch of green threads.
            for service in group.service_by_name.values():
                service.stop()
