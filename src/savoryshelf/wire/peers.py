"""Authenticated thrift calls between savoryshelf's processes.

A connection starts with a challenge: the server hands out a nonce and the
client returns its HMAC under the cluster key.  Until then every other method
is refused.  The key itself never crosses the link and is never logged.  The
link is not encrypted: see "What is not covered" in docs/OPERATING.md.
"""

import contextlib
import hashlib
import hmac
import secrets
import socket
import struct

import eventlet
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TApplicationException, TException
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport, TTransportException

from ..errors import PeerUnreachable
from ..observability.metrics import LINK_BYTES
from .generated import ttypes

CONNECT_TIMEOUT_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 10.0
TCP_USER_TIMEOUT_MS = 1500
"""Bytes unacknowledged for so long end a connection: one election timeout and a half."""

KEEPALIVE_IDLE_SECONDS = 2
"""An idle connection is probed after so long, each second, and given up after two misses."""

MAX_FRAME_BYTES = 64 * 1024 * 1024
NONCE_BYTES = 16
IDLE_CLIENTS_PER_POOL = 8

_PROTOCOL_FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FRAME_BYTES, container_length_limit=1_000_000
)


def compute_proof(cluster_key: str, nonce: bytes) -> bytes:
    """Return the proof that the holder of ``cluster_key`` gives for ``nonce``."""
    return hmac.digest(cluster_key.encode(), nonce, hashlib.sha256)


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``"10.0.0.1:7000"``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def set_socket_options(connection) -> None:
    """Make a connection send at once, and fail soon when the other side is silent."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)


class _ByteCountingSocket(TSocket):
    """A thrift socket which counts the bytes that cross it."""

    def __init__(self, host: str, port: int, kind: str):
        super().__init__(host, port)
        self._sent = LINK_BYTES.labels("sent", kind)
        self._received = LINK_BYTES.labels("received", kind)

    def read(self, sz):
        data = super().read(sz)
        self._received.inc(len(data))
        return data

    def write(self, buff):
        self._sent.inc(len(buff))
        super().write(buff)


class PeerClient:
    """One connection to another process; not shared between green threads."""

    def __init__(self, client_type, address: str, cluster_key: str, kind: str = "control"):
        self.address = address
        host, port = split_address(address)
        self._socket = _ByteCountingSocket(host, port, kind)
        self._transport = TFramedTransport(self._socket)
        self._client = client_type.Client(_PROTOCOL_FACTORY.getProtocol(self._transport))
        self._cluster_key = cluster_key
        self._is_open = False

    def call(self, method: str, *arguments, timeout: float = CALL_TIMEOUT_SECONDS):
        """Call ``method``; declared thrift exceptions pass through.

        Raises PeerUnreachable when the link fails.  Its ``sent`` is false only
        if the call cannot have reached the other side.
        """
        if not self._is_open:
            self._connect()
        self._socket.setTimeout(timeout * 1000)
        try:
            return getattr(self._client, method)(*arguments)
        except (TTransportException, TApplicationException, OSError, EOFError) as error:
            self.close()
            raise PeerUnreachable(self.address, error, sent=True) from error
        except TException:
            # Declared by the method: the answer was read to its end.
            raise
        except BaseException:
            # Interrupted, by a timeout say: the answer is still to come, and
            # the next call on this connection would take it for its own.
            self.close()
            raise

    def _connect(self) -> None:
        self._socket.setTimeout(CONNECT_TIMEOUT_SECONDS * 1000)
        try:
            self._transport.open()
            set_socket_options(self._socket.handle)
            nonce = self._client.hello()
            self._client.authenticate(compute_proof(self._cluster_key, nonce))
        except (TException, OSError, EOFError) as error:
            self.close()
            raise PeerUnreachable(self.address, error, sent=False) from error
        self._is_open = True

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        self._is_open = False
        self._transport.close()


class PeerPool:
    """Idle connections to one address, so that concurrent calls do not wait for each other."""

    def __init__(self, client_type, address: str, cluster_key: str, kind: str = "control"):
        self._create_client = lambda: PeerClient(client_type, address, cluster_key, kind)
        self._idle_clients: list[PeerClient] = []

    def call(self, method: str, *arguments, timeout: float = CALL_TIMEOUT_SECONDS):
        """Call ``method`` over an idle connection, or a new one."""
        client = self._idle_clients.pop() if self._idle_clients else self._create_client()
        try:
            return client.call(method, *arguments, timeout=timeout)
        finally:
            if len(self._idle_clients) < IDLE_CLIENTS_PER_POOL:
                self._idle_clients.append(client)
            else:
                client.close()


class PeerHandler:
    """Base of the handlers: admits nothing before the challenge is answered.

    One instance serves one connection, so the nonce needs no table.
    """

    def __init__(self, cluster_key: str):
        self._cluster_key = cluster_key
        self._nonce = secrets.token_bytes(NONCE_BYTES)
        self.authenticated = False

    def hello(self) -> bytes:
        """Return this connection's nonce."""
        return self._nonce

    def authenticate(self, proof: bytes) -> None:
        """Admit the connection if ``proof`` matches its nonce."""
        if not hmac.compare_digest(proof, compute_proof(self._cluster_key, self._nonce)):
            raise ttypes.Unauthenticated(reason="wrong cluster key")
        self.authenticated = True

    def require_authenticated(self) -> None:
        """Raise Unauthenticated unless the challenge was answered."""
        if not self.authenticated:
            raise ttypes.Unauthenticated(reason="answer the challenge first")


class PeerServer:
    """Accepts peers' connections; one green thread and one handler for each."""

    def __init__(self, service, address: str, make_handler):
        host, port = split_address(address)
        self._listener = eventlet.listen((host, port), reuse_port=False)
        self.address = "{}:{}".format(*self._listener.getsockname()[:2])
        self._service = service
        self._make_handler = make_handler
        self._acceptor = eventlet.spawn(self._accept_connections)

    def _accept_connections(self) -> None:
        while True:
            connection, _ = self._listener.accept()
            set_socket_options(connection)
            eventlet.spawn_n(self._serve_connection, connection)

    def _serve_connection(self, connection) -> None:
        socket_transport = TSocket()
        socket_transport.setHandle(connection)
        transport = TFramedTransport(socket_transport)
        protocol = _PROTOCOL_FACTORY.getProtocol(transport)
        processor = self._service.Processor(self._make_handler())
        # A peer may vanish or send nonsense at any moment; that ends its
        # connection and nothing else.
        with contextlib.suppress(TException, OSError, EOFError, struct.error):
            while True:
                processor.process(protocol, protocol)
        transport.close()

    def close(self) -> None:
        """Stop accepting connections."""
        self._acceptor.kill()
        self._listener.close()
