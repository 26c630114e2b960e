"""A TCP relay between processes that simulates partitions, delay, resets and low bandwidth."""

import contextlib
import socket
import struct
import threading
import time

CHUNK_BYTES = 65536
TO_UPSTREAM, TO_CLIENT = "to upstream", "to client"
BOTH_WAYS = (TO_UPSTREAM, TO_CLIENT)
_LINGER_ZERO = struct.pack("ii", 1, 0)


class _Connection:
    """The two sockets of a relayed connection; ``is_silent`` drops all further bytes."""

    def __init__(self, client, server):
        self.sockets = (client, server)
        self.is_silent = False
        for each in self.sockets:
            each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def reset(self) -> None:
        """Close both sides with a reset."""
        for each in self.sockets:
            with contextlib.suppress(OSError):
                each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
                # Sends nothing, but ends a blocked recv, which would hold up the reset.
                each.shutdown(socket.SHUT_RD)

    @staticmethod
    def close(each) -> None:
        """Close one side, also while another thread waits for its bytes."""
        with contextlib.suppress(OSError):
            linger = each.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, len(_LINGER_ZERO))
            each.shutdown(socket.SHUT_RD if linger == _LINGER_ZERO else socket.SHUT_RDWR)
        each.close()


class Relay:
    """Forwards connections from ``address`` to ``upstream``, except during a partition.

    ``delay_s`` may be changed at any time.  ``bytes_per_s`` limits each direction of
    a connection; 0 is no limit.
    """

    def __init__(
        self,
        upstream: str,
        delay_s: float = 0.0,
        bytes_per_s: float = 0.0,
        ip: str = "127.0.0.1",
    ):
        host, _, port = upstream.rpartition(":")
        self._upstream = (host, int(port))
        self.delay_s = delay_s
        self._bytes_per_s = bytes_per_s
        self._forwarding_by_direction = {way: threading.Event() for way in BOTH_WAYS}
        self.partitions: list[tuple[float, float]] = []
        """When it did not forward: from, until, on the monotonic clock, in seconds."""

        self._partitioned_at: float | None = None
        self.heal()
        self._connections: set[_Connection] = set()
        self._listener = socket.create_server((ip, 0))
        self.address = f"{ip}:{self._listener.getsockname()[1]}"
        self._spawn(self._accept_connections)

    def partition(self, directions: tuple[str, ...] = BOTH_WAYS) -> None:
        """Stop forwarding; connections stay open, and no error reaches either side."""
        if self._partitioned_at is None:
            self._partitioned_at = time.monotonic()
        for direction in directions:
            self._forwarding_by_direction[direction].clear()

    def heal(self) -> None:
        """Resume forwarding; connections that lost bytes in the partition are closed."""
        if self._partitioned_at is not None:
            self.partitions.append((self._partitioned_at, time.monotonic()))
            self._partitioned_at = None
        for forwarding in self._forwarding_by_direction.values():
            forwarding.set()

    def reset(self) -> None:
        """Reset all open connections."""
        for connection in list(self._connections):
            connection.reset()

    def silence(self) -> None:
        """Drop all further bytes of the open connections; new ones are forwarded."""
        for connection in list(self._connections):
            connection.is_silent = True

    def close(self) -> None:
        """Stop accepting connections, and reset the open ones."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.heal()
        self.reset()

    @staticmethod
    def _spawn(function, *arguments) -> None:
        threading.Thread(target=function, args=arguments, daemon=True).start()

    def _accept_connections(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                client, _ = self._listener.accept()
                self._spawn(self._connect, client)

    def _connect(self, client) -> None:
        for forwarding in self._forwarding_by_direction.values():
            forwarding.wait()
        try:
            server = socket.create_connection(self._upstream)
        except OSError:
            client.close()
            return
        connection = _Connection(client, server)
        self._connections.add(connection)
        self._spawn(self._forward, connection, client, server, TO_UPSTREAM)
        self._forward(connection, server, client, TO_CLIENT)
        self._connections.discard(connection)

    def _forward(self, connection, source, sink, direction) -> None:
        """Forward bytes; those received during a partition are lost, and the connection is closed.

        Each chunk is sent one delay after it arrived, however many are in flight.
        """
        forwarding = self._forwarding_by_direction[direction]
        outgoing: list = []
        condition = threading.Condition()
        self._spawn(self._send_delayed, outgoing, condition, sink)
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if connection.is_silent:
                    continue
                if not forwarding.is_set():
                    forwarding.wait()
                    break
                if self._bytes_per_s:
                    time.sleep(len(data) / self._bytes_per_s)
                with condition:
                    outgoing.append((time.monotonic() + self.delay_s, data))
                    condition.notify()
        with condition:
            outgoing.append((0.0, b""))
            condition.notify()
        connection.close(source)

    @staticmethod
    def _send_delayed(outgoing: list, condition, sink) -> None:
        with contextlib.suppress(OSError):
            while True:
                with condition:
                    while not outgoing:
                        condition.wait()
                    send_at, data = outgoing.pop(0)
                if not data:
                    break
                time.sleep(max(0.0, send_at - time.monotonic()))
                sink.sendall(data)
        _Connection.close(sink)
