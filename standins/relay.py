"""A small relay between processes: it can cut silently, delay, and narrow a link."""

import contextlib
import socket
import threading
import time

CHUNK_BYTES = 65536


class Relay:
    """Forwards connections to one address until it is cut."""

    def __init__(self, target: str, delay_s: float = 0.0, bytes_per_s: float = 0.0):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._delay_s = delay_s
        self._bytes_per_s = bytes_per_s
        self._open = threading.Event()
        self._open.set()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._spawn(self._accept)

    def cut(self) -> None:
        """Forward nothing from now on; connections stay open and silent."""
        self._open.clear()

    def heal(self) -> None:
        """Forward again; connections which the cut caught are closed."""
        self._open.set()

    @staticmethod
    def _spawn(function, *arguments) -> None:
        threading.Thread(target=function, args=arguments, daemon=True).start()

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            self._spawn(self._join, near)

    def _join(self, near) -> None:
        self._open.wait()
        try:
            far = socket.create_connection(self._target)
        except OSError:
            near.close()
            return
        for each in (near, far):
            each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._spawn(self._copy, near, far)
        self._copy(far, near)

    def _copy(self, source, sink) -> None:
        """Forward bytes; those of a cut are lost, so a connection ends with its cut.

        A chunk leaves its delay after it came, however many are on the way.
        """
        sending: list = []
        woken = threading.Condition()
        self._spawn(self._send_in_time, sending, woken, sink)
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if not self._open.is_set():
                    self._open.wait()
                    break
                if self._bytes_per_s:
                    time.sleep(len(data) / self._bytes_per_s)
                with woken:
                    sending.append((time.monotonic() + self._delay_s, data))
                    woken.notify()
        with woken:
            sending.append((0.0, b""))
            woken.notify()
        source.close()

    @staticmethod
    def _send_in_time(sending: list, woken, sink) -> None:
        with contextlib.suppress(OSError):
            while True:
                with woken:
                    while not sending:
                        woken.wait()
                    at, data = sending.pop(0)
                if not data:
                    break
                time.sleep(max(0.0, at - time.monotonic()))
                sink.sendall(data)
        sink.close()
