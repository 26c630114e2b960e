"""A control group for measurements: real replicas, sockets and files in one process.

The importing program must have called ``eventlet.monkey_patch`` before.
"""

import os
import random

import attrs
import eventlet

from savoryshelf.clock import SystemClock
from savoryshelf.control.handler import ControlHandler
from savoryshelf.disk import LocalDisk
from savoryshelf.replication.service import ReplicaService, StateMachine
from savoryshelf.replication.storage import ReplicaStorage
from savoryshelf.replication.transport import PeerTransport
from savoryshelf.replication.types import Timing
from savoryshelf.wire.generated import ControlService
from savoryshelf.wire.generated.ttypes import Member, Membership
from savoryshelf.wire.peers import PeerServer
from standins.relay import Relay

CLUSTER_KEY = "benchmark-cluster-key"
BITS_PER_BYTE = 8


@attrs.frozen
class Link:
    """Delay and bandwidth between a far replica and the others, equal in both directions."""

    delay_s: float = 0.020
    bytes_per_s: float = 15e6 / BITS_PER_BYTE


class Host:
    """The host of one replica, with the attributes that ControlHandler uses."""

    def __init__(self, number: int, folder: str):
        self.name = f"c{number}"
        self.replica: ReplicaService | None = None
        self.server = PeerServer(
            ControlService, "127.0.0.1:0", lambda: ControlHandler(CLUSTER_KEY, self)
        )
        self.folder = os.path.join(folder, self.name)
        self.storage = ReplicaStorage(LocalDisk(self.folder))
        self.replica_id = self.storage.load_or_create_identity(self.name).replica_id


class Group:
    """The hosts of one group; those in ``far`` are reached through a relay with a slow link."""

    def __init__(
        self,
        folder: str,
        count: int,
        make_state_machine,
        snapshot_every: int = 5000,
        far: frozenset[int] = frozenset(),
        link: Link | None = None,
    ):
        self.hosts = [Host(number, folder) for number in range(count)]
        self._make_state_machine = make_state_machine
        self._snapshot_every = snapshot_every
        self._far_names = {f"c{number}" for number in far}
        self._link = link or Link()
        members = [Member(h.replica_id, h.server.address, "", True) for h in self.hosts]
        self._initial_membership = Membership(members)
        for host in self.hosts:
            self.start(host)

    def start(self, host: Host) -> ReplicaService:
        """Start a host's replica from the state on its disk."""
        state_machine: StateMachine = self._make_state_machine()
        host.replica = ReplicaService(
            replica_id=host.replica_id,
            initial_membership=self._initial_membership,
            storage=host.storage,
            state_machine=state_machine,
            transport=PeerTransport(CLUSTER_KEY),
            address_by_host={each.name: self._address_for(host, each) for each in self.hosts},
            clock=SystemClock(),
            timing=Timing(),
            rng=random.Random(host.name),
            snapshot_every=self._snapshot_every,
        )
        host.replica.start()
        return host.replica

    def _address_for(self, sender: Host, recipient: Host) -> str:
        address = recipient.server.address
        if sender is not recipient and self._far_names & {sender.name, recipient.name}:
            return Relay(address, self._link.delay_s, self._link.bytes_per_s).address
        return address

    def leader(self) -> Host:
        """Wait for a leader that has committed in its term."""
        while True:
            for host in self.hosts:
                if host.replica.is_leader and host.replica.core.has_committed_in_term:
                    return host
            eventlet.sleep(0.02)

    def stop(self) -> None:
        """Stop every replica."""
        for host in self.hosts:
            host.replica.stop()
