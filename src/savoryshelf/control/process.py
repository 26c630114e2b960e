"""The control host process: wires up the replica, its thrift server, the control loop and HTTP.

Its HTTP server answers health, readiness and metrics requests only.
"""

import contextlib
import random
import signal

import eventlet
from eventlet.support.greenlets import GreenletExit

from ..clock import SystemClock
from ..disk import LocalDisk
from ..errors import PeerUnreachable
from ..http_server import HttpServer
from ..observability.http import serve_operations
from ..observability.logs import log_event
from ..replication.bootstrap import ControlHost, bootstrap_membership
from ..replication.membership import find_member, host_name
from ..replication.service import ReplicaService
from ..replication.storage import ReplicaStorage
from ..replication.transport import PeerTransport
from ..replication.types import Timing
from ..signals import on_first_signal
from ..wire.generated import ControlService, ttypes
from ..wire.peers import PeerClient, PeerServer
from .handler import ControlHandler
from .leader_loop import LeaderLoop
from .repair import GroupRepair
from .site_service import SiteService
from .state import SiteStateMachine

JOIN_INTERVAL_SECONDS = 1.0
MAX_DRAIN_SECONDS = 5.0
"""Time after SIGTERM within which calls in progress must end; a commit takes less."""


class ControlHostProcess:
    """Runs one control host with one replica of the control group."""

    def __init__(self, settings):
        self._settings = settings
        self._hosts = [ControlHost(*fields) for fields in settings.control_hosts]
        self._storage = ReplicaStorage(LocalDisk(settings.data_folder))
        self.identity = self._storage.load_or_create_identity(settings.name)
        self.replica: ReplicaService | None = None
        self._site: SiteService | None = None
        self._repair: GroupRepair | None = None
        self._transport = PeerTransport(settings.cluster_key)
        self._is_stopping = False

    def run(self) -> None:
        """Serve until the replica fails, or a stop is requested and the calls have ended."""
        peers = PeerServer(
            ControlService,
            self._settings.listen,
            lambda: ControlHandler(self._settings.cluster_key, self),
        )
        operations = serve_operations(self._settings.http_listen, self._is_ready)
        running = eventlet.spawn(self._run_replica)
        on_first_signal(signal.SIGTERM, lambda: self._stop(peers, operations, running))
        with contextlib.suppress(GreenletExit):
            running.wait()

    def _stop(self, peers: PeerServer, operations: HttpServer, running) -> None:
        """Report not ready, answer the calls that have arrived, then end the process."""
        self._is_stopping = True
        log_event("control:stopping", limit_seconds=MAX_DRAIN_SECONDS)
        if self._site is not None:
            self._site.end_waits()
        peers.drain(MAX_DRAIN_SECONDS)
        operations.drain(0.0, MAX_DRAIN_SECONDS)
        log_event("control:stopped")
        running.kill()

    def _run_replica(self) -> None:
        initial_membership = bootstrap_membership(
            self.identity, self._hosts, self._storage, self._settings.cluster_key
        )
        self._start_replica(initial_membership)
        log_event("control:started", replica_id=self.identity.replica_id)
        eventlet.spawn(self._join_until_member)
        leader_loop = LeaderLoop(
            self._site,
            self._repair,
            self._settings.placement_policy,
            self._settings.interference_policy,
            random.Random(),
        )
        eventlet.spawn(self._run_leader_loop, leader_loop)
        self.replica.wait()

    def running_site_service(self) -> SiteService:
        """Return the service of the site; raises Unavailable until the group is bootstrapped."""
        if self._site is None:
            raise ttypes.Unavailable("the control group is not bootstrapped yet", False)
        return self._site

    def running_repair(self) -> GroupRepair:
        """Return the group repair; raises Unavailable until the group is bootstrapped."""
        self.running_site_service()
        return self._repair

    def _start_replica(self, initial_membership: ttypes.Membership) -> None:
        state_machine, clock = SiteStateMachine(), SystemClock()
        replica = ReplicaService(
            replica_id=self.identity.replica_id,
            initial_membership=initial_membership,
            storage=self._storage,
            state_machine=state_machine,
            transport=self._transport,
            address_by_host={host.name: host.address for host in self._hosts},
            clock=clock,
            timing=Timing(self._settings.heartbeat_seconds, self._settings.election_seconds),
            rng=random.Random(),
            snapshot_every=self._settings.snapshot_every,
        )
        self._site = SiteService(replica, state_machine, clock)
        self._repair = GroupRepair(replica)
        self.replica = replica
        replica.start()

    def _run_leader_loop(self, leader_loop: LeaderLoop) -> None:
        try:
            leader_loop.run()
        except Exception as error:
            # A leader whose control loop has failed would stay leader and decide nothing,
            # so the process fails and another replica is elected.
            self.replica.stop(error)

    def _is_ready(self) -> bool:
        if self._is_stopping or self.replica is None:
            return False
        return bool(self.replica.leader_address)

    def _join_until_member(self) -> None:
        """Ask the other control hosts to admit this replica until it is a member of the group."""
        own_id = self.identity.replica_id
        while find_member(self.replica.core.log.membership, own_id) is None:
            for host in self._hosts:
                if host.name != host_name(own_id):
                    self._request_join(host)
            eventlet.sleep(JOIN_INTERVAL_SECONDS * random.uniform(0.8, 1.2))

    def _request_join(self, host: ControlHost) -> None:
        settings = self._settings
        member = ttypes.Member(
            self.identity.replica_id, settings.advertise, settings.failure_domain, False
        )
        client = PeerClient(ControlService, host.address, settings.cluster_key)
        try:
            client.call("join", member)
        except (PeerUnreachable, ttypes.NotLeader, ttypes.Unavailable):
            return
        finally:
            client.close()
