"""Authenticated thrift calls between savoryshelf's processes.

A connection starts with a challenge: the server sends a nonce and the client
returns the nonce's HMAC under the cluster key.  Until then the server refuses
all other methods.  The key itself is never sent and never logged.
Connections are not encrypted: see "What is not covered" in docs/OPERATING.md.
"""

import contextlib
import fcntl
import hashlib
import hmac
import math
import secrets
import socket
import struct
import sys
import termios
from collections.abc import Callable

import attrs
import eventlet
from eventlet import patcher
from eventlet.greenio import GreenSocket, shutdown_safe
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.protocol.TProtocol import TProtocolException
from thrift.Thrift import TApplicationException, TException
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport, TTransportException

from ..clock import SystemClock
from ..errors import PeerUnreachable
from ..listener import ACCEPT_RETRY_SECONDS, close_listener
from ..observability.logs import log_event
from ..observability.metrics import LINK_BYTES
from ..observability.unforeseen import UnforeseenErrors
from .generated import ttypes

_select = patcher.original("select")
"""The unpatched module: eventlet's version has no ``poll``."""

CONNECT_TIMEOUT_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 10.0
TCP_USER_TIMEOUT_MS = 1500
"""A connection is closed when sent bytes stay unacknowledged for this time.

It is one and a half times the default election timeout.
"""

KEEPALIVE_IDLE_SECONDS = 2
"""Idle time after which TCP keepalive probes a connection.

The probes go out every second; two unanswered ones close the connection.
"""

MAX_STRING_BYTES = 64 * 1024 * 1024
"""Maximum length of one string or binary field of a message."""

DRAIN_POLL_SECONDS = 0.02
"""Interval at which a draining server looks for calls in progress."""

PROBE_INTERVAL_SECONDS = 0.4
"""Shortest time between two probes on a connection of one-way calls."""

CHECKS_PER_SILENCE = 10
"""How often within the longest silence a call that waits to be sent checks whether bytes move."""

MAX_UNSENT_BYTES = 128 * 1024
"""Bytes of one-way calls that the kernel takes before it has sent them.

What waits there delays all later calls; the caller can still drop what waits outside.
"""

TCP_NOTSENT_LOWAT = 25
"""The option of Linux; ``socket`` has no name for it."""

NONCE_BYTES = 16
IDLE_CLIENTS_PER_POOL = 8

MIN_SILENCE_SECONDS = 0.5
"""A call with less time than this tells nothing about its connection when it is not answered.

Enough for a new connection and a commit across regions.
"""

_PROTOCOL_FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_STRING_BYTES, container_length_limit=1_000_000
)


def compute_proof(cluster_key: str, nonce: bytes) -> bytes:
    """Return the HMAC-SHA256 of ``nonce`` under ``cluster_key``."""
    return hmac.digest(cluster_key.encode(), nonce, hashlib.sha256)


def split_address(address: str) -> tuple[str, int]:
    """Split an address such as ``"10.0.0.1:7000"`` into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def set_socket_options(connection) -> None:
    """Disable Nagle's algorithm, and bound the time until an unresponsive peer is detected."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)


class _ByteCountingSocket(TSocket):
    """A thrift socket that counts the bytes sent and received in LINK_BYTES.

    If ``on_wait`` is set, a write that has timed out calls it and goes on, unless it raises, and
    the bytes are counted that the kernel takes.
    """

    def __init__(self, host: str, port: int, kind: str):
        super().__init__(host, port)
        self.on_wait: Callable[[], None] | None = None
        self.written = 0
        """Bytes that the kernel has taken from patient writes since the connection was opened."""

        self._sent = LINK_BYTES.labels("sent", kind)
        self._received = LINK_BYTES.labels("received", kind)

    def read(self, sz):
        data = super().read(sz)
        self._received.inc(len(data))
        return data

    def open(self):
        super().open()
        self.written = 0

    def write(self, buff):
        self._sent.inc(len(buff))
        if self.on_wait is None:
            super().write(buff)
        else:
            self._write_patiently(memoryview(buff))

    def _write_patiently(self, unsent: memoryview) -> None:
        while unsent:
            try:
                count = self.handle.send(unsent)
            except TimeoutError:
                self.on_wait()
                continue
            except OSError as error:
                raise TTransportException(message="the connection failed", inner=error) from error
            self.written += count
            unsent = unsent[count:]

    @property
    def acknowledged(self) -> int:
        """Return how many of the written bytes the other host's kernel has acknowledged."""
        waiting = fcntl.ioctl(self.handle.fileno(), termios.TIOCOUTQ, bytes(4))
        return self.written - int.from_bytes(waiting, sys.byteorder)


_DECODER_ERRORS = (
    TProtocolException, TypeError, ValueError, OverflowError, KeyError, struct.error,
)  # fmt: skip
"""What thrift raises for bytes that are no message of the method."""


class _CallTransport(TFramedTransport):
    """A framed transport that tells whether a call was encoded and sent."""

    has_sent = False

    def flush(self):
        super().flush()
        self.has_sent = True


class PeerClient:
    """One connection to another process; must not be shared between green threads.

    ``kind`` is the label of this connection's bytes in LINK_BYTES.  ``connect_timeout`` is for
    reaching the other host, in seconds; its process then has the usual time to answer.
    """

    def __init__(
        self,
        service,
        address: str,
        cluster_key: str,
        kind: str = "control",
        connect_timeout: float = CONNECT_TIMEOUT_SECONDS,
    ):
        self.address = address
        self._connect_timeout = connect_timeout
        host, port = split_address(address)
        self._socket = _ByteCountingSocket(host, port, kind)
        self._transport = _CallTransport(self._socket)
        self._client = service.Client(_PROTOCOL_FACTORY.getProtocol(self._transport))
        self._cluster_key = cluster_key
        self._clock = SystemClock()
        self._is_open = False
        self._probe_end: int | None = None
        """Where among the written bytes the probe ends that is not answered yet."""

        self._next_probe_at = float("-inf")
        self._acknowledged = 0
        self._moved_at = float("-inf")
        """When the connection was last seen to carry bytes, up to the end of the probe."""

    @property
    def is_open(self) -> bool:
        """Return whether the connection is made and authenticated, as far as is known."""
        return self._is_open

    def call(
        self,
        method: str,
        *arguments,
        timeout: float = CALL_TIMEOUT_SECONDS,
        total_timeout: float = math.inf,
    ):
        """Call ``method`` and return its result; declared thrift exceptions pass through.

        ``timeout`` is for the call alone, in seconds, ``total_timeout`` also for opening
        the connection.  Raises PeerUnreachable if the connection fails.  Its ``sent`` is
        false only if the call cannot have reached the other process.
        """
        deadline = self._clock.monotonic() + total_timeout
        if self._is_open and not self._socket.isOpen():
            # Closed by the other process, perhaps at its stop: a call sent on it would be lost.
            self.close()
        if not self._is_open:
            self._connect(deadline)
        try:
            self._set_timeout(timeout, deadline)
        except TTransportException as error:
            raise PeerUnreachable(self.address, error, sent=False) from error
        self._transport.has_sent = False
        try:
            return getattr(self._client, method)(*arguments)
        except (TTransportException, TApplicationException, OSError, EOFError) as error:
            self.close()
            raise PeerUnreachable(self.address, error, sent=True) from error
        except _DECODER_ERRORS as error:
            self.close()
            if not self._transport.has_sent:
                # What cannot be encoded is a fault of this process.
                raise
            raise PeerUnreachable(self.address, error, sent=True) from error
        except TException:
            # Declared by the method: the reply was read completely, so the
            # connection can be reused.
            raise
        except BaseException:
            # Interrupted, for example by a timeout: the reply may still arrive,
            # and the next call on this connection would read it as its own.
            self.close()
            raise

    def send(self, method: str, *arguments, max_silence: float) -> None:
        """Call a one-way method; a client that sends is used for nothing else.

        Nobody answers such a call, and the bytes on a connection that has gone silent may still be
        acknowledged.  So a probe goes with some of the calls, whose answer is not waited for.
        Raises PeerUnreachable, and closes the connection, once it has been silent for
        ``max_silence`` seconds.  A slow one is not: as long as bytes up to the end of the probe
        are acknowledged, its answer can't be there.  After that only the answer counts, as
        acknowledged bytes may be read by nobody.
        """
        if not self._take_answer() and self._is_silent(max_silence):
            self.close()
            error = TimeoutError(f"no answer for {max_silence} s")
            raise PeerUnreachable(self.address, error, sent=False) from error
        if self._probe_end is None:
            self._moved_at = self._clock.monotonic()
        self._socket.on_wait = lambda: self._check_silence(max_silence)
        self.call(method, *arguments, timeout=max_silence / CHECKS_PER_SILENCE)
        now = self._clock.monotonic()
        if self._probe_end is not None or now < self._next_probe_at:
            return
        try:
            self._client.send_hello()
        except (TTransportException, OSError) as error:
            self.close()
            raise PeerUnreachable(self.address, error, sent=True) from error
        self._probe_end = self._socket.written
        self._moved_at = self._clock.monotonic()
        self._next_probe_at = now + PROBE_INTERVAL_SECONDS

    def _take_answer(self) -> bool:
        """Return whether no answer is missing, after the one was read that is there, if any.

        If it is none the connection is closed, and the call that follows opens a new one.
        """
        if self._probe_end is None:
            return True
        if not _is_readable(self._socket.handle):
            return False
        try:
            self._client.recv_hello()
        except (TException, OSError, EOFError, *_DECODER_ERRORS):
            self.close()
        self._probe_end, self._moved_at = None, self._clock.monotonic()
        return True

    def _is_silent(self, max_silence: float) -> bool:
        now, acknowledged = self._clock.monotonic(), self._socket.acknowledged
        may_be_answered = self._probe_end is not None and acknowledged >= self._probe_end
        if acknowledged > self._acknowledged and not may_be_answered:
            self._moved_at = now
        self._acknowledged = acknowledged
        return now - self._moved_at > max_silence

    def _check_silence(self, max_silence: float) -> None:
        """Raise TTransportException if the connection is silent while a call waits to be sent."""
        self._take_answer()
        if not self._is_open or self._is_silent(max_silence):
            raise TTransportException(TTransportException.TIMED_OUT, "the connection is silent")

    def _set_timeout(self, seconds: float, deadline: float) -> None:
        remaining = deadline - self._clock.monotonic()
        if remaining <= 0:
            raise TTransportException(TTransportException.TIMED_OUT, "no time is left to call")
        self._socket.setTimeout(min(seconds, remaining) * 1000)

    def _connect(self, deadline: float) -> None:
        try:
            self._set_timeout(self._connect_timeout, deadline)
            self._transport.open()
            set_socket_options(self._socket.handle)
            if self._socket.on_wait is not None:
                self._socket.handle.setsockopt(
                    socket.IPPROTO_TCP, TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES
                )
            self._set_timeout(CONNECT_TIMEOUT_SECONDS, deadline)
            nonce = self._client.hello()
            self._set_timeout(CONNECT_TIMEOUT_SECONDS, deadline)
            self._client.authenticate(compute_proof(self._cluster_key, nonce))
        except (TException, OSError, EOFError, *_DECODER_ERRORS) as error:
            # Errors of the last kinds also come from an address that cannot be called.
            self.close()
            raise PeerUnreachable(self.address, error, sent=False) from error
        self._is_open = True
        self._acknowledged, self._moved_at = 0, self._clock.monotonic()

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        self._is_open, self._probe_end = False, None
        self._transport.close()


def _is_readable(connection) -> bool:
    """Return whether a read would return at once."""
    poll = _select.poll()
    poll.register(connection.fileno(), _select.POLLIN)
    return bool(poll.poll(0))


@attrs.frozen
class _IdleClient:
    """A connection of a pool, and when it was answered last."""

    client: PeerClient
    answered_at: float


class PeerPool:
    """Pool of connections to one address.

    Concurrent calls use separate connections and do not wait for each other.
    """

    def __init__(self, service, address: str, cluster_key: str, kind: str = "control"):
        self._create_client = lambda: PeerClient(service, address, cluster_key, kind)
        self._clock = SystemClock()
        self._idle_clients: list[_IdleClient] = []

    def call(self, method: str, *arguments, **timeouts: float):
        """Call ``method`` over an idle connection, or over a new one if none is idle.

        ``timeouts`` are those of ``PeerClient.call``.
        """
        client = self._idle_clients.pop().client if self._idle_clients else self._create_client()
        began_at, answered_at = self._clock.monotonic(), float("-inf")
        try:
            result = client.call(method, *arguments, **timeouts)
            answered_at = self._clock.monotonic()
            return result
        except PeerUnreachable:
            if min(timeouts.values(), default=math.inf) >= MIN_SILENCE_SECONDS:
                self._close_idle_since(began_at)
            raise
        finally:
            if len(self._idle_clients) < IDLE_CLIENTS_PER_POOL:
                self._idle_clients.append(_IdleClient(client, answered_at))
            else:
                client.close()

    def _close_idle_since(self, began_at: float) -> None:
        """Close the connections that have answered nothing since a call began that failed.

        They may have gone silent with its connection, for example when the other host lost
        power: each would cost another call its timeout.  One that has answered since works.
        """
        for idle in self._idle_clients:
            if idle.answered_at < began_at:
                idle.client.close()


class PeerHandler:
    """Base class of the service handlers; authenticates the connection.

    One instance serves one connection, so it holds that connection's nonce.
    """

    def __init__(self, cluster_key: str):
        self._cluster_key = cluster_key
        self._nonce = secrets.token_bytes(NONCE_BYTES)
        self.authenticated = False
        self.carries_replication = False
        """Whether another replica sends its messages on this connection."""

    def hello(self) -> bytes:
        """Return the nonce of this connection."""
        return self._nonce

    def authenticate(self, proof: bytes) -> None:
        """Authenticate the connection; raises Unauthenticated if ``proof`` is wrong."""
        if not hmac.compare_digest(proof, compute_proof(self._cluster_key, self._nonce)):
            raise ttypes.Unauthenticated(reason="wrong cluster key")
        self.authenticated = True

    def require_authenticated(self) -> None:
        """Raise Unauthenticated unless the connection is authenticated."""
        if not self.authenticated:
            raise ttypes.Unauthenticated(reason="the connection is not authenticated")


@attrs.define(eq=False)
class _ServedConnection:
    """A connection of a server; ``call_began_at`` is None while no call is in progress.

    That time, on the monotonic clock, is when the first byte of the call arrived.
    """

    socket: GreenSocket
    handler: PeerHandler
    call_began_at: float | None = None

    @property
    def is_in_use(self) -> bool:
        """Return whether a call is in progress or has arrived and is unread."""
        if self.call_began_at is not None:
            return True
        try:
            return bool(self.socket.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False


class PeerServer:
    """Accepts connections; each has a green thread and a handler of its own."""

    def __init__(self, service, address: str, make_handler):
        host, port = split_address(address)
        self._listener = eventlet.listen((host, port), reuse_port=False)
        self.address = "{}:{}".format(*self._listener.getsockname()[:2])
        self._service = service
        self._make_handler = make_handler
        self._clock = SystemClock()
        self._connections: set[_ServedConnection] = set()
        self._errors = UnforeseenErrors("accept connections of peers", address=self.address)
        self._acceptor = eventlet.spawn(self._accept_connections)

    def _accept_connections(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except Exception as error:
                if isinstance(error, OSError):
                    log_event("peer:accept_failed", address=self.address, why=str(error))
                else:
                    self._errors.log(error)
                eventlet.sleep(ACCEPT_RETRY_SECONDS)
                continue
            self._start_serving(connection)

    def _start_serving(self, connection) -> None:
        try:
            set_socket_options(connection)
            served = _ServedConnection(connection, self._make_handler())
        except Exception as error:
            connection.close()
            # A peer may have reset the connection already.
            if not isinstance(error, OSError):
                self._errors.log(error)
            return
        self._connections.add(served)
        eventlet.spawn_n(self._serve_connection, served)

    def _serve_connection(self, served: _ServedConnection) -> None:
        socket_transport = TSocket()
        socket_transport.setHandle(served.socket)
        transport = TFramedTransport(socket_transport)
        protocol = _PROTOCOL_FACTORY.getProtocol(transport)
        processor = self._service.Processor(served.handler)
        try:
            # A peer may disconnect or send malformed data at any time. This ends
            # only its own connection.
            with contextlib.suppress(TException, OSError, EOFError, struct.error):
                while served.socket.recv(1, socket.MSG_PEEK):
                    served.call_began_at = self._clock.monotonic()
                    processor.process(protocol, protocol)
                    served.call_began_at = None
        finally:
            self._connections.discard(served)
            transport.close()

    def drain(self, limit_seconds: float) -> None:
        """Accept no more connections, and close each once no call is in progress on it.

        The connections of other replicas are closed last: commits for the other calls depend
        on them.  Calls that are in progress after ``limit_seconds`` are cut off and logged.
        """
        self._acceptor.kill()
        for connection, _ in close_listener(self._listener):
            self._start_serving(connection)
        with eventlet.Timeout(limit_seconds, False):
            while self._close_idle_connections():
                eventlet.sleep(DRAIN_POLL_SECONDS)
        for served in list(self._connections):
            if served.call_began_at is not None:
                age = self._clock.monotonic() - served.call_began_at
                log_event("peer:call_cut_off", seconds=age, limit_seconds=limit_seconds)
            shutdown_safe(served.socket)

    def _close_idle_connections(self) -> bool:
        """Close idle connections but those of other replicas; return whether a call remains."""
        is_call_left = False
        for served in list(self._connections):
            if served.handler.carries_replication:
                continue
            if served.is_in_use:
                is_call_left = True
            else:
                shutdown_safe(served.socket)
        return is_call_left

    def close(self) -> None:
        """Stop accepting connections."""
        self._acceptor.kill()
        self._listener.close()
