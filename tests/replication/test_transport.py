"""Delivery to a host that was gone, over sockets on loopback."""

import contextlib
import itertools
import socket
import time
import types

import attrs
import eventlet
import eventlet.green.socket
import pytest
from eventlet.event import Event

from savoryshelf.replication import transport as transport_module
from savoryshelf.replication.snapshot_transfer import SNAPSHOT_CHUNK_BYTES
from savoryshelf.replication.transport import MAX_QUEUED_MESSAGES, PeerTransport
from savoryshelf.replication.types import Timing
from savoryshelf.wire.generated import ControlService
from savoryshelf.wire.generated.ttypes import (
    Membership,
    RaftMessage,
    RaftPayload,
    SnapshotChunk,
    VoteReply,
)
from savoryshelf.wire.peers import (
    CALL_TIMEOUT_SECONDS,
    PeerHandler,
    PeerServer,
    split_address,
)

from ..loop_time import counting_loop_time

KEY = "the-cluster-key-of-tests"
DELIVERY_LIMIT_SECONDS = 0.8
"""From the return of a host until it gets a message: less than an election timeout."""

SILENCE_LIMIT_SECONDS = 3 * Timing().election_timeout
"""From the silence of a connection until a message arrives on another: a few campaigns at most."""


def message(number):
    payload = RaftPayload(vote_reply=VoteReply(True, False))
    return RaftMessage("c0.a", "c1.a", number, payload, 0)


def bulk(number, size):
    """Return a message with a part of a snapshot."""
    payload = RaftPayload(
        snapshot_chunk=SnapshotChunk(1, 1, Membership([]), 0, bytes(size), False, 1)
    )
    return RaftMessage("c0.a", "c1.a", number, payload, 0)


class SilentHost:
    """A host that is gone: its address answers no attempt to connect, and refuses none.

    The queue of a listener is full, so the kernel drops what else arrives.
    """

    def __init__(self):
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._fillers = []
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(self._listener.getsockname())
            self._fillers.append(filler)

    def close(self):
        for filler in self._fillers:
            filler.close()
        self._listener.close()


class Relay:
    """Passes the bytes of its connections on to a host, and can make those that are open mute.

    Their bytes are acknowledged from then on, and answered by nobody; new connections work.
    """

    def __init__(self, host_address):
        self._host_address = split_address(host_address)
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._mute = set()
        self._open = set()
        self._threads = [eventlet.spawn(self._accept)]

    def mute_open_connections(self):
        self._mute |= self._open

    def close(self):
        for thread in self._threads:
            thread.kill()
        self._listener.close()

    def _accept(self):
        while True:
            near, _ = self._listener.accept()
            far = eventlet.connect(self._host_address)
            self._open.add(near)
            for source, sink in ((near, far), (far, near)):
                self._threads.append(eventlet.spawn(self._pass_on, near, source, sink))

    def _pass_on(self, connection, source, sink):
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                if connection not in self._mute:
                    sink.sendall(data)
        if connection not in self._mute:
            sink.close()


RELAY_PAUSE_SECONDS = 0.05


class SlowRelay(Relay):
    """Takes so many bytes in a second from each connection, and holds few of them itself.

    What it has not taken yet waits in the kernel of the sender, as on a slow link.
    """

    def __init__(self, host_address, bytes_per_s):
        super().__init__(host_address)
        self._bytes_per_s = bytes_per_s
        self.connection_count = 0
        self.taken = 0
        """How many bytes it has taken, of all connections."""

        self._takes = True
        # As over a network; on loopback a segment is larger than the buffer.
        self._listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)

    def stop_taking(self):
        """Take no more bytes of the connections that are open."""
        self._takes = False
        self._stopped = set(self._open)

    def _pass_on(self, connection, source, sink):
        if source is not connection:
            # The other direction may close its sockets meanwhile.
            with contextlib.suppress(EOFError):
                super()._pass_on(connection, source, sink)
            return
        self.connection_count += 1
        with contextlib.suppress(OSError, EOFError):
            while data := source.recv(int(self._bytes_per_s * RELAY_PAUSE_SECONDS)):
                self.taken += len(data)
                if connection not in self._mute:
                    sink.sendall(data)
                    eventlet.sleep(RELAY_PAUSE_SECONDS)
                while not self._takes and connection in self._stopped:
                    eventlet.sleep(RELAY_PAUSE_SECONDS)
        if connection not in self._mute:
            sink.close()


@pytest.fixture(autouse=True)
def green_sockets(monkeypatch):
    """Let the thrift sockets of this module yield to other green threads."""
    monkeypatch.setattr("thrift.transport.TSocket.socket", eventlet.green.socket)


class Handler(PeerHandler):
    """Keeps the terms of the messages that were delivered, for the whole server."""

    def __init__(self, terms):
        super().__init__(KEY)
        self._terms = terms

    def deliver(self, messages):
        self.require_authenticated()
        self._terms += [m.term for m in messages]


@attrs.frozen
class RunningHost:
    """A host, and the terms of the messages that it got."""

    address: str
    terms: list[int]


@contextlib.contextmanager
def running_host(address):
    """Yield a host at the address."""
    terms = []
    server = PeerServer(ControlService, address, lambda: Handler(terms))
    yield RunningHost(server.address, terms)
    server.close()


@contextlib.contextmanager
def running_transport():
    """Yield a transport, by whose clock a pause of this process makes no message old."""
    transport = PeerTransport(KEY)
    with counting_loop_time() as loop_time:
        transport._clock = types.SimpleNamespace(monotonic=lambda: loop_time.seconds)
        yield transport
        transport.close()


def wait_until(is_true, seconds):
    """Return the time until the condition holds, infinite if it does not within ``seconds``.

    It is that in which this process ran.
    """
    with counting_loop_time() as loop_time:
        while loop_time.seconds < seconds:
            if is_true():
                return loop_time.seconds
            eventlet.sleep(0.005)
    return float("inf")


# Guards against a host that is back and is still not reached: an attempt to connect that began
# before lasted up to 1 s, and what was sent meanwhile, such as a vote request, was dropped.
@pytest.mark.parametrize("gone_seconds", [0.05, 0.3, 0.6, 0.9])
def test_a_message_to_a_host_that_is_back_arrives(gone_seconds):
    silent = SilentHost()
    with running_transport() as transport:
        transport.send(silent.address, message(1))
        eventlet.sleep(gone_seconds)
        silent.close()
        with running_host(silent.address) as host:
            transport.send(silent.address, message(2))
            assert wait_until(lambda: 2 in host.terms, 2.0) < DELIVERY_LIMIT_SECONDS


def test_a_message_sent_just_before_the_host_is_back_arrives():
    silent = SilentHost()
    with running_transport() as transport:
        transport.send(silent.address, message(1))
        eventlet.sleep(0.1)
        silent.close()
        with running_host(silent.address) as host:
            assert wait_until(lambda: 1 in host.terms, 2.0) < DELIVERY_LIMIT_SECONDS


def test_a_message_that_is_old_when_the_host_is_back_is_not_delivered():
    silent = SilentHost()
    with running_transport() as transport:
        transport.send(silent.address, message(1))
        eventlet.sleep(1.5)
        silent.close()
        with running_host(silent.address) as host:
            transport.send(silent.address, message(2))
            wait_until(lambda: 2 in host.terms, 2.0)
            assert host.terms == [2]


HELD_SECONDS = 0.3
"""A process gets no processor for this long, again and again: longer than an attempt to connect."""


def hold_the_processor():
    while True:
        time.sleep(HELD_SECONDS)
        eventlet.sleep(0.01)


@pytest.fixture
def connects_later(monkeypatch):
    """Let each attempt to connect wait for its answer, as one over a link does."""
    connect, waiting, attempts = eventlet.greenio.base.socket_connect, set(), []

    def begin(descriptor, address):
        if descriptor in waiting:
            waiting.discard(descriptor)
            return connect(descriptor, address)
        attempts.append(address)
        connect(descriptor, address)
        waiting.add(descriptor)
        return None

    monkeypatch.setattr("eventlet.greenio.base.socket_connect", begin)
    return attempts


# Guards against a host on a busy processor that never connects: its attempts would time out while
# their answers are there and unread.
def test_a_process_that_is_held_for_longer_than_an_attempt_lasts_connects(connects_later):
    with running_host("127.0.0.1:0") as host, running_transport() as transport:
        holder = eventlet.spawn(hold_the_processor)
        try:
            for number in range(40):
                transport.send(host.address, message(number))
                eventlet.sleep(0.01)
                if host.terms:
                    break
        finally:
            holder.kill()
        assert connects_later
        assert host.terms


# Guards against a vote request that is dropped in favour of what was queued before it.
def test_a_full_queue_drops_its_oldest_messages():
    with running_host("127.0.0.1:0") as host, running_transport() as transport:
        count = 2 * MAX_QUEUED_MESSAGES
        for number in range(count):
            transport.send(host.address, message(number))
        wait_until(lambda: count - 1 in host.terms, 3.0)
        assert host.terms == list(range(count - MAX_QUEUED_MESSAGES, count))


# Guards against an election of which nobody can tell whether a silent voter was reached.
def test_the_loss_of_a_host_and_its_return_are_logged_once_each(monkeypatch):
    lines = []
    monkeypatch.setattr(
        transport_module, "log_event", lambda name, **values: lines.append((name, values))
    )
    silent = SilentHost()
    with running_transport() as transport:
        for number in range(6):
            transport.send(silent.address, message(number))
            eventlet.sleep(0.25)
        silent.close()
        ((name, lost),) = lines
        assert (name, lost["address"]) == ("peer:lost", silent.address)
        assert not lost["had_connection"]
        with running_host(silent.address) as host:
            transport.send(silent.address, message(7))
            wait_until(lambda: 7 in host.terms, 2.0)
            wait_until(lambda: len(lines) > 1, 1.0)
    assert [name for name, _ in lines] == ["peer:lost", "peer:regained"]
    assert lines[1][1]["seconds"] >= 1.0


# Guards against an outage of which nobody can tell at which of its peers a host waits.
def test_the_state_of_a_sender_tells_whether_its_peer_answers():
    silent = SilentHost()
    with running_transport() as transport:
        assert transport.sender_state(silent.address) == {}
        for number in range(3):
            transport.send(silent.address, message(number))
        wait_until(lambda: "calling_s" in transport.sender_state(silent.address), 1.0)
        state = transport.sender_state(silent.address)
        assert not state["connected"]
        assert state["queued"] == 3
        assert wait_until(lambda: "lost_s" in transport.sender_state(silent.address), 2.0) < 1.0
        silent.close()
        with running_host(silent.address) as host:
            transport.send(silent.address, message(7))
            wait_until(lambda: 7 in host.terms, 2.0)
            wait_until(lambda: "sent_s" in transport.sender_state(silent.address), 1.0)
            state = transport.sender_state(silent.address)
            assert state["connected"]
            assert state["queued"] == 0
            assert "lost_s" not in state
            assert "calling_s" not in state


# Guards against a call that lasts for seconds, behind which all else to that peer waits, unseen.
def test_the_state_of_a_sender_tells_how_long_its_call_has_lasted(monkeypatch):
    call, release = transport_module.PeerClient.call, Event()

    def call_slowly(self, *arguments, **timeouts):
        call(self, *arguments, **timeouts)
        release.wait()

    monkeypatch.setattr(transport_module.PeerClient, "call", call_slowly)
    with running_host("127.0.0.1:0") as host, running_transport() as transport:

        def state():
            return transport.sender_state(host.address)

        transport.send(host.address, message(1))
        assert wait_until(lambda: state().get("calling_s", 0) > 0.5, 2.0) < 1.0
        transport.send(host.address, message(2))
        assert state()["connected"]
        assert state()["queued"] == 2
        assert "lost_s" not in state()
        release.send(None)
        assert wait_until(lambda: "sent_s" in state(), 2.0) < 1.0


# Guards against a replica that never hears from this one again, though both processes go on: their
# connection had gone silent, its bytes were acknowledged, and nobody answers what is delivered.
def test_messages_arrive_again_after_a_connection_has_gone_silent():
    with running_host("127.0.0.1:0") as host, running_transport() as transport:
        relay = Relay(host.address)
        transport.send(relay.address, message(1))
        assert wait_until(lambda: 1 in host.terms, 2.0) < DELIVERY_LIMIT_SECONDS
        relay.mute_open_connections()
        numbers = itertools.count(2)

        def is_reached():
            transport.send(relay.address, message(next(numbers)))
            return len(host.terms) > 1

        assert wait_until(is_reached, 6.0) < SILENCE_LIMIT_SECONDS
        relay.close()


def test_a_connection_that_was_idle_for_longer_than_a_silence_is_kept(monkeypatch):
    monkeypatch.setattr(transport_module, "MAX_SILENCE_SECONDS", 0.2)
    lines = []
    monkeypatch.setattr(transport_module, "log_event", lambda name, **values: lines.append(name))
    with running_host("127.0.0.1:0") as host, running_transport() as transport:
        for number in range(1, 4):
            transport.send(host.address, message(number))
            assert wait_until(lambda n=number: n in host.terms, 2.0) < DELIVERY_LIMIT_SECONDS
            eventlet.sleep(0.6)
    assert not lines


LINK_BYTES_PER_S = 128 * 1024


@contextlib.contextmanager
def slow_link(bytes_per_s=LINK_BYTES_PER_S):
    """Yield a host, the slow relay before it, and a transport that has reached it."""
    with running_host("127.0.0.1:0") as host, running_transport() as transport:
        relay = SlowRelay(host.address, bytes_per_s)
        transport.send(relay.address, message(1))
        assert wait_until(lambda: 1 in host.terms, 2.0) < DELIVERY_LIMIT_SECONDS
        yield host, relay, transport
        relay.close()


# Guards against a member behind a slow link that is never caught up: the connection was given up
# each 2 s although it carried bytes, and what takes longer was sent again from its beginning.
def test_bulk_that_takes_longer_than_a_silence_arrives_on_one_connection(monkeypatch):
    lines = []
    monkeypatch.setattr(transport_module, "log_event", lambda name, **values: lines.append(name))
    with slow_link() as (host, relay, transport):
        transport.send(relay.address, bulk(2, 12 * LINK_BYTES_PER_S))

        def is_reached():
            transport.send(relay.address, message(3))
            eventlet.sleep(0.05)
            return 2 in host.terms

        assert wait_until(is_reached, 24.0) > transport_module.MAX_SILENCE_SECONDS
        assert 2 in host.terms
        assert wait_until(lambda: 3 in host.terms, 2.0) < 2.0
        assert relay.connection_count == 1
    assert not lines


# Guards against a connection that is kept for good because it once was slow.
@pytest.mark.parametrize("how", ["swallows", "takes nothing"])
def test_a_slow_connection_that_goes_silent_amid_a_message_is_given_up(how):
    with slow_link() as (host, relay, transport):
        transport.send(relay.address, bulk(2, 20 * LINK_BYTES_PER_S))
        eventlet.sleep(3.0)
        if how == "swallows":
            relay.mute_open_connections()
        else:
            relay.stop_taking()

        def is_reached():
            transport.send(relay.address, message(3))
            return 3 in host.terms

        assert wait_until(is_reached, 10.0) < SILENCE_LIMIT_SECONDS
        assert 2 not in host.terms


# Guards against a voter behind a slow link that hears of no leader, since heartbeats and votes
# wait behind parts of a snapshot that are repeated with each heartbeat.
def test_messages_are_not_held_up_by_more_bulk_than_the_link_carries():
    with slow_link() as (host, relay, transport):
        taken_before, worst = {1: relay.taken}, 0
        for number in range(2, 102):
            taken_before[number] = relay.taken
            transport.send(relay.address, bulk(0, SNAPSHOT_CHUNK_BYTES))
            transport.send(relay.address, message(number))
            eventlet.sleep(Timing().heartbeat_interval)
            worst = max(worst, relay.taken - taken_before[max(host.terms)])
        assert host.terms.count(0) > 5
    # As when each call that takes longer was given up.
    assert worst < CALL_TIMEOUT_SECONDS * LINK_BYTES_PER_S


# Guards against a voter behind a slow link that hears of no leader while it is sent at one go what
# was proposed at once, in one call or in calls none of which is slow.
@pytest.mark.parametrize(
    ("bytes_per_s", "size"), [(LINK_BYTES_PER_S, 256 * 1024), (2 * LINK_BYTES_PER_S, 140 * 1024)]
)
def test_a_burst_of_bulk_holds_up_no_later_message_for_long(bytes_per_s, size):
    with slow_link(bytes_per_s) as (host, relay, transport):
        for _ in range(60):
            transport.send(relay.address, bulk(0, size))
        taken_before, worst, is_reached = {1: relay.taken}, 0, False
        limit = CALL_TIMEOUT_SECONDS * bytes_per_s
        for number in itertools.count(2):
            taken_before[number] = relay.taken
            transport.send(relay.address, message(number))
            eventlet.sleep(Timing().heartbeat_interval)
            worst = max(worst, relay.taken - taken_before[max(host.terms)])
            is_reached = max(host.terms) > 10
            if is_reached or worst >= limit:
                break
        assert worst < limit
        assert is_reached
        assert 0 in host.terms
