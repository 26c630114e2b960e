"""Links between workers and hosts, which can be cut in one direction or both.

A link listens on a loopback address and passes bytes on to its target.  While a direction is cut,
its bytes are held, as TCP sends them again once the way is free, and no connection is made: that
needs both directions.
"""

import contextlib
import socket
import threading


class Link:
    """One link; ``forth`` is the way of requests, ``back`` that of answers."""

    def __init__(self, ip: str, target: str):
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self.forth, self.back = threading.Event(), threading.Event()
        self.forth.set()
        self.back.set()
        self._listener = socket.create_server((ip, 0), backlog=64)
        self.address = f"{ip}:{self._listener.getsockname()[1]}"
        self._sockets: set[socket.socket] = set()
        self._is_closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while not self._is_closed:
            try:
                accepted, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._connect, args=(accepted,), daemon=True).start()

    def _connect(self, accepted: socket.socket) -> None:
        self.forth.wait()
        self.back.wait()
        try:
            onward = socket.create_connection((self._host, self._port), timeout=2.0)
        except OSError:
            accepted.close()
            return
        onward.settimeout(None)
        for each in (accepted, onward):
            each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._sockets.add(each)
        for source, sink, gate in ((accepted, onward, self.forth), (onward, accepted, self.back)):
            threading.Thread(target=self._pass_on, args=(source, sink, gate), daemon=True).start()

    def _pass_on(self, source: socket.socket, sink: socket.socket, gate: threading.Event) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                gate.wait()
                sink.sendall(data)
        gate.wait()
        for each in (source, sink):
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)
            each.close()
            self._sockets.discard(each)

    def close(self) -> None:
        """Stop listening, and close all connections."""
        self._is_closed = True
        self._listener.close()
        self.forth.set()
        self.back.set()
        for each in list(self._sockets):
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)
