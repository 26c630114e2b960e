"""Control hosts on virtual time: their replicas, joins and repair, with simulated links and disks.

The processes are those of the product without agents and callers.  A link takes time, loses
packets and is silent to a machine without power; disks take time; a process may be frozen.
"""

import contextlib
import operator
import random

import eventlet
from eventlet.event import Event
from greenlet import GreenletExit

from savoryshelf.control import repair, waiting_learners
from savoryshelf.control.repair import GroupRepair
from savoryshelf.dispatch import host as host_module
from savoryshelf.dispatch import joining
from savoryshelf.dispatch.host import TaskControlHost, TaskControlSettings, _AddressByIp
from savoryshelf.dispatch.joining import GroupJoiner, KnownAddresses
from savoryshelf.errors import PeerUnreachable
from savoryshelf.replication import service, transport
from savoryshelf.replication.membership import MembershipChangeRefused, voter_ids
from savoryshelf.replication.seed_bootstrap import bootstrap_identity
from savoryshelf.replication.service import OutcomeUnknown, ReplicaService
from savoryshelf.replication.storage import ReplicaStorage
from savoryshelf.replication.types import NotLeading
from savoryshelf.wire import peers
from savoryshelf.wire.generated import ttypes

from ..replication.group import MemoryDisk
from ..virtual_time import virtual_time

PORT = 7700
SYNC_SECONDS = 0.006
FIRST_RETRANSMISSION_SECONDS = 0.2
SYN_RETRANSMISSION_SECONDS = 1.0
USER_TIMEOUT_SECONDS = peers.TCP_USER_TIMEOUT_MS / 1000
KEEPALIVE_SECONDS = peers.KEEPALIVE_IDLE_SECONDS + 1.0
"""The second probe closes a connection: the user timeout has passed by then."""

NEAR_SECONDS, FAR_SECONDS = 0.0005, 0.02
"""One way between two machines of a region, and of two regions."""


class SimulatedDisk(MemoryDisk):
    """A disk in memory; a write takes ``sync_seconds``, or waits while the disk hangs."""

    def __init__(self, network):
        super().__init__()
        self.sync_seconds = SYNC_SECONDS
        self.hangs_until = 0.0
        self.writes_until_lost = float("inf")
        """Writes after which a write waits for good."""

        self._network = network

    def append(self, name, data):
        """Append to a file and sync it; a loss of power meanwhile may keep or lose the data."""
        is_early = self._network.rng.random() < 0.5
        if is_early:
            super().append(name, data)
        self._sync()
        if not is_early:
            super().append(name, data)

    def replace(self, name, data):
        """Replace a file."""
        self._sync()
        super().replace(name, data)

    def _sync(self):
        self.writes_until_lost -= 1
        if self.writes_until_lost < 0:
            Event().wait()
        wait = max(0.0, self.hangs_until - self._network.now)
        eventlet.sleep(wait + self.sync_seconds * self._network.rng.uniform(0.8, 1.5))


class _StateMachine:
    """The set of applied commands, and how many there were."""

    def __init__(self):
        self.applied = []

    def apply(self, payload):
        self.applied.append(payload)

    def snapshot(self):
        return b"\n".join(self.applied)

    def restore(self, data):
        self.applied = data.split(b"\n") if data else []


class _NoStandstills:
    """Takes the place of the watch, which reads the real clock on each switch of threads."""

    def run(self):
        Event().wait()

    def longest(self, now):
        return service.Delay(now, 0.0)


class _ProcessClock:
    """The clock of one process; while that is frozen, it is not read."""

    def __init__(self, process, clock):
        self._process, self._clock = process, clock

    def monotonic(self):
        self._process.wait_while_frozen()
        return self._clock.monotonic()

    def sleep(self, seconds):
        eventlet.sleep(seconds)
        self._process.wait_while_frozen()


class ControlProcess(TaskControlHost):
    """A process of a control host, without its agent and without callers."""

    def __init__(self, machine, seed_ips, is_first_start):
        network = machine.network
        self.machine = machine
        self.is_ended = False
        self.waiting_replies: set = set()
        """Pairs of a caller's machine and the event that takes this process's reply."""

        self._settings = TaskControlSettings(
            ip=machine.ip,
            peer_port=PORT,
            failure_domain="",
            seed_ips=seed_ips,
            is_first_start=is_first_start,
            data_folder="",
            cluster_key=network.key_of(self),
            dispatch=None,
        )
        self._clock = _ProcessClock(self, network.clock)
        self._is_stopping = False
        self._reason_logged, self._asks_since = "", network.now
        self._known_addresses = KnownAddresses()
        self._address_by_ip = _AddressByIp(PORT)
        self.update_seeds(seed_ips)
        storage = ReplicaStorage(machine.disk)
        self.identity = bootstrap_identity(storage, machine.ip, seed_ips, PORT, is_first_start)
        own_member = ttypes.Member(self.identity.replica_id, self.own_address, "", False)
        self._joiner = GroupJoiner(own_member, self._settings.cluster_key, self._clock)
        self.state_machine = _StateMachine()
        self._transport = transport.PeerTransport(self._settings.cluster_key)
        self._transport._clock = self._clock
        self.replica = ReplicaService(
            replica_id=self.identity.replica_id,
            initial_membership=self.identity.genesis,
            storage=storage,
            state_machine=self.state_machine,
            transport=self._transport,
            address_by_host=self._address_by_ip,
            clock=self._clock,
            timing=self._settings.timing,
            rng=random.Random(network.rng.random()),
            snapshot_every=network.snapshot_every,
            announces_commits=True,
            began_at=network.now,
            processor_time=network.clock.monotonic,
        )
        self.replica._standstills = _NoStandstills()
        self.repair = GroupRepair(self.replica, replaces_unresponsive=True)
        self._threads = []

    def start(self):
        """Take part in the group."""
        self.replica.start()
        self._threads = [
            eventlet.spawn(self._run_activity, activity)
            for activity in (self._maintain_membership, self._repair_group)
        ]
        eventlet.spawn(self._watch_for_errors)

    def _watch_for_errors(self):
        try:
            self.wait()
        except GreenletExit:
            pass
        except Exception as error:
            self.machine.network.errors.append(f"{self.machine.ip}: {error!r}")

    def wait_while_frozen(self):
        """Block while this process is frozen; end the thread if the process has ended."""
        network = self.machine.network
        while self.machine.frozen_until > network.now and not self.is_ended:
            eventlet.sleep(self.machine.frozen_until - network.now)
        if self.is_ended:
            raise GreenletExit

    def on_deliver(self, messages):
        """Answer a call of a peer, as ``TaskControlHandler`` does."""
        self.deliver(messages)

    def on_join(self, member):
        """Answer a call of a peer."""
        with self._leader_calls():
            try:
                self.repair.request_join(member)
            except MembershipChangeRefused as error:
                raise ttypes.Unavailable(str(error), False) from None

    def on_remove_replica(self, name):
        """Answer a call of a peer."""
        with self._leader_calls():
            self.repair.request_leave(name)

    @contextlib.contextmanager
    def _leader_calls(self):
        try:
            yield
        except NotLeading:
            address, name = self.replica.leader_address, self.replica.leader_name
            raise ttypes.NotLeader(address, name) from None
        except OutcomeUnknown as error:
            raise ttypes.Unavailable(str(error), True) from None
        except MembershipChangeRefused as error:
            raise ttypes.Refused("membership_change_refused", str(error)) from None

    def leave(self):
        """Do what a process does first at its end after SIGTERM."""
        self._is_stopping = True
        with eventlet.Timeout(host_module.MAX_LEAVE_SECONDS, False):
            self._leave_group()

    def end(self):
        """End this process at once."""
        self.is_ended = True
        self._transport.close()
        for thread in self._threads:
            thread.kill()
        self.replica.stop()


class Machine:
    """A machine with its disk, and its process while one runs."""

    def __init__(self, network, ip):
        self.network, self.ip = network, ip
        self.disk = SimulatedDisk(network)
        self.process = None
        self.has_power = True
        self.frozen_until = 0.0
        self.connection_generation = 0

    def run(self, seed_ips, is_first_start=False):
        """Start the process."""
        process = ControlProcess(self, seed_ips, is_first_start)
        if self.has_power and self.process is None:
            self.process = process
            process.start()

    def kill(self):
        """End the process at once; its connections are reset."""
        process, self.process = self.process, None
        if process is None:
            return
        process.end()
        for source, reply in list(process.waiting_replies):
            delay = self.network.delay(self.ip, source.ip)
            eventlet.spawn_after(delay, _send_once, reply, OSError("reset"))

    def lose_power(self, loses_disk=False):
        """End the process; nothing is answered until the power is back."""
        self.has_power = False
        process, self.process = self.process, None
        if process is not None:
            process.end()
            for _, reply in list(process.waiting_replies):
                eventlet.spawn_after(KEEPALIVE_SECONDS, _send_once, reply, OSError("keep-alive"))
        self.frozen_until = 0.0
        if loses_disk:
            self.disk = SimulatedDisk(self.network)


def _send_once(event, outcome):
    if not event.ready():
        event.send(outcome)


class Network:
    """All machines, and the links between them."""

    def __init__(self, clock, rng):
        self.clock, self.rng = clock, rng
        self.loss = 0.0
        self.snapshot_every = 5000
        self.machine_by_ip: dict[str, Machine] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self.errors: list[str] = []
        self.region_by_ip: dict[str, str] = {}
        self.far_seconds = FAR_SECONDS
        """One way between two regions."""

        self._began_at = clock.monotonic()
        self._process_by_key: dict[str, ControlProcess] = {}

    @property
    def now(self):
        """Return the time; frozen processes do not hold it up."""
        return self.clock.monotonic()

    @property
    def seconds(self):
        """Return the seconds since the beginning."""
        return self.now - self._began_at

    def key_of(self, process):
        """Return a key by which the connections of a process are known."""
        key = f"{process.machine.ip}#{len(self._process_by_key)}"
        self._process_by_key[key] = process
        return key

    def process_of(self, key):
        """Return the process with this key."""
        return self._process_by_key[key]

    def add(self, ip, region):
        """Add a machine with an empty disk."""
        machine = self.machine_by_ip[ip] = Machine(self, ip)
        self.region_by_ip[ip] = region
        return machine

    def delay(self, sender_ip, recipient_ip):
        """Return the time one way between two machines."""
        regions = {self.region_by_ip[ip] for ip in (sender_ip, recipient_ip)}
        return self.far_seconds if len(regions) > 1 else NEAR_SECONDS

    def cut(self, ips, others=None):
        """Cut the links between these machines and all others; return the links."""
        others = others or set(self.machine_by_ip) - set(ips)
        links = {(a, b) for a in ips for b in others} | {(b, a) for a in ips for b in others}
        self.cut_links |= links
        return links

    def passes(self, sender_ip, recipient_ip):
        """Return whether a packet that is sent now arrives, if the machine is there."""
        is_cut = (sender_ip, recipient_ip) in self.cut_links
        return not is_cut and self.rng.random() >= self.loss

    def processes(self):
        """Return the processes that run."""
        return [m.process for m in self.machine_by_ip.values() if m.process is not None]

    def leader(self):
        """Return the process that leads the latest term and can serve, or None."""
        leading = [p for p in self.processes() if p.replica.core.has_committed_in_term]
        return max(leading, key=lambda each: each.replica.core.term, default=None)

    def is_complete(self, count=5):
        """Return whether the voters are ``count`` processes that run."""
        leader = self.leader()
        if leader is None:
            return False
        core = leader.replica.core
        voters = voter_ids(core.log.membership)
        running = {p.identity.replica_id for p in self.processes()}
        is_committed = core.log.membership_index <= core.commit_index
        return len(voters) == count and set(voters) <= running and is_committed


class _Silence(OSError):
    """Nothing came back in time."""


class SimulatedClient:
    """A connection; it takes the place of ``PeerClient`` and calls methods of ControlProcess."""

    network: Network

    def __init__(
        self,
        service_type,
        address,
        cluster_key,
        kind="control",
        connect_timeout=peers.CONNECT_TIMEOUT_SECONDS,
    ):
        self.address = address
        self._connect_timeout = connect_timeout
        self._source = self.network.process_of(cluster_key)
        self._peer = None
        self._generations = (0, 0)

    @property
    def is_open(self):
        """Return whether there is a connection."""
        return self._peer is not None

    def close(self):
        self._peer = None

    def send(self, method, *arguments, max_silence):
        """Call a one-way method; stricter than the real one, since its answer is waited for."""
        self.call(method, *arguments, timeout=max_silence)

    def call(
        self, method, *arguments, timeout=peers.CALL_TIMEOUT_SECONDS, total_timeout=float("inf")
    ):
        """Call a method of the peer; raises PeerUnreachable."""
        self._source.wait_while_frozen()
        deadline = self.network.now + total_timeout
        if self._peer is not None and self._peer.is_ended and self._peer.machine.has_power:
            self._peer = None  # The connection was closed.
        if self._peer is None:
            try:
                self._connect(deadline)
            except OSError as error:
                self._peer = None
                raise PeerUnreachable(self.address, error, sent=False) from error
        deadline = min(deadline, self.network.now + timeout)
        try:
            handle = operator.methodcaller(f"on_{method}", *arguments)
            return self._round_trip(handle, deadline)
        except OSError as error:
            self._peer = None
            raise PeerUnreachable(self.address, error, sent=True) from error

    def _connect(self, deadline):
        network = self.network
        machine = network.machine_by_ip.get(self.address.rpartition(":")[0])
        connect_by = min(deadline, network.now + self._connect_timeout)
        if machine is None:
            eventlet.sleep(max(0.0, connect_by - network.now))
            raise _Silence("connect timeout")
        source = self._source.machine
        self._transmit(source, machine, connect_by, SYN_RETRANSMISSION_SECONDS)
        self._transmit(machine, source, connect_by, SYN_RETRANSMISSION_SECONDS)
        if machine.process is None:
            raise OSError("connection refused")
        self._peer = machine.process
        self._generations = (source.connection_generation, machine.connection_generation)
        for _ in ("hello", "authenticate"):
            by = min(deadline, network.now + peers.CONNECT_TIMEOUT_SECONDS)
            self._round_trip(lambda peer: None, by)

    def _transmit(self, sender, recipient, give_up_at, wait=FIRST_RETRANSMISSION_SECONDS):
        network = self.network
        while True:
            if network.passes(sender.ip, recipient.ip) and sender.has_power:
                eventlet.sleep(network.delay(sender.ip, recipient.ip))
                if recipient.has_power:
                    break
            left = give_up_at - network.now
            if left <= 0:
                raise _Silence("timeout")
            eventlet.sleep(min(wait, left))
            if wait > left:
                raise _Silence("timeout")
            wait *= 2
        if network.now > give_up_at:
            raise _Silence("timeout")

    def _round_trip(self, handle, deadline):
        network, peer, source = self.network, self._peer, self._source.machine
        give_up_at = min(deadline, network.now + USER_TIMEOUT_SECONDS)
        self._transmit(source, peer.machine, give_up_at)
        generations = (source.connection_generation, peer.machine.connection_generation)
        if peer.is_ended or generations != self._generations:
            eventlet.sleep(network.delay(source.ip, peer.machine.ip))
            raise OSError("reset")
        reply = Event()
        waiting = (source, reply)
        peer.waiting_replies.add(waiting)
        eventlet.spawn_n(self._serve, peer, handle, waiting)
        outcome = _Silence("read timeout")
        try:
            with eventlet.Timeout(max(0.0, deadline - network.now), False):
                outcome = reply.wait()
        finally:
            peer.waiting_replies.discard(waiting)
        self._source.wait_while_frozen()
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    def _serve(self, peer, handle, waiting):
        source, reply = waiting
        outcome = None
        try:
            peer.wait_while_frozen()
            outcome = handle(peer)
        except GreenletExit:
            return
        except Exception as error:
            outcome = error
        try:
            if not peer.is_ended:
                self._transmit(peer.machine, source, self.network.now + USER_TIMEOUT_SECONDS)
                _send_once(reply, outcome)
        except _Silence:
            eventlet.sleep(KEEPALIVE_SECONDS - USER_TIMEOUT_SECONDS)
            _send_once(reply, OSError("keep-alive"))


@contextlib.contextmanager
def simulated_network(seed=0, log=None):
    """Run control hosts in the block, on virtual time; yield their network."""
    rng = random.Random(f"network-{seed}")
    with contextlib.ExitStack() as stack:
        clock = stack.enter_context(virtual_time(seed))
        network = Network(clock, rng)

        class Client(SimulatedClient):
            pass

        Client.network = network

        def log_event(event, **fields):
            if log is not None:
                log(network.seconds, event, fields)

        for module in (transport, joining, host_module):
            stack.callback(setattr, module, "PeerClient", module.PeerClient)
            module.PeerClient = Client
        for module in (transport, joining, host_module, service, repair, waiting_learners):
            stack.callback(setattr, module, "log_event", module.log_event)
            module.log_event = log_event
        try:
            yield network
        finally:
            for machine in network.machine_by_ip.values():
                machine.kill()


def propose(network, payload, on_committed):
    """Propose a command to the leader, if there is one, and do not wait for its commit."""

    def run(process):
        with contextlib.suppress(NotLeading, OutcomeUnknown):
            process.replica.propose(payload)
            on_committed(payload)

    process = network.leader()
    if process is not None:
        eventlet.spawn_n(run, process)
