"""A TCP relay between processes that simulates partitions, delay and low bandwidth."""

import contextlib
import socket
import threading
import time

CHUNK_BYTES = 65536


class Relay:
    """Forwards connections from ``address`` to ``upstream``, except during a partition.

    ``bytes_per_s`` limits each direction of a connection; 0 is no limit.
    """

    def __init__(self, upstream: str, delay_s: float = 0.0, bytes_per_s: float = 0.0):
        host, _, port = upstream.rpartition(":")
        self._upstream = (host, int(port))
        self._delay_s = delay_s
        self._bytes_per_s = bytes_per_s
        self._forwarding = threading.Event()
        self._forwarding.set()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._spawn(self._accept_connections)

    def partition(self) -> None:
        """Stop forwarding; connections stay open, and no error reaches either side."""
        self._forwarding.clear()

    def heal(self) -> None:
        """Resume forwarding; connections that lost bytes in the partition are closed."""
        self._forwarding.set()

    @staticmethod
    def _spawn(function, *arguments) -> None:
        threading.Thread(target=function, args=arguments, daemon=True).start()

    def _accept_connections(self) -> None:
        while True:
            client, _ = self._listener.accept()
            self._spawn(self._connect, client)

    def _connect(self, client) -> None:
        self._forwarding.wait()
        try:
            server = socket.create_connection(self._upstream)
        except OSError:
            client.close()
            return
        for connection in (client, server):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._spawn(self._forward, client, server)
        self._forward(server, client)

    def _forward(self, source, sink) -> None:
        """Forward bytes; those received during a partition are lost, and the connection is closed.

        Each chunk is sent one delay after it arrived, however many are in flight.
        """
        outgoing: list = []
        condition = threading.Condition()
        self._spawn(self._send_delayed, outgoing, condition, sink)
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if not self._forwarding.is_set():
                    self._forwarding.wait()
                    break
                if self._bytes_per_s:
                    time.sleep(len(data) / self._bytes_per_s)
                with condition:
                    outgoing.append((time.monotonic() + self._delay_s, data))
                    condition.notify()
        with condition:
            outgoing.append((0.0, b""))
            condition.notify()
        source.close()

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
        sink.close()
