"""A small relay between processes: it can cut silently, delay, and narrow a link."""

import socket
import threading
import time

CHUNK_BYTES = 65536
POLL_SECONDS = 0.05


class Relay:
    """Forwards connections to one address until it is cut."""

    def __init__(self, target, delay_s=0.0, bytes_per_s=0.0):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._delay_s = delay_s
        self._bytes_per_s = bytes_per_s
        self._open = threading.Event()
        self._open.set()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._spawn(self._accept)

    def cut(self):
        """Forward nothing from now on; connections stay open and silent."""
        self._open.clear()

    def heal(self):
        self._open.set()

    @staticmethod
    def _spawn(function, *arguments):
        threading.Thread(target=function, args=arguments, daemon=True).start()

    def _accept(self):
        while True:
            near, _ = self._listener.accept()
            self._spawn(self._join, near)

    def _join(self, near):
        self._open.wait()
        try:
            far = socket.create_connection(self._target)
        except OSError:
            near.close()
            return
        self._spawn(self._copy, near, far)
        self._copy(far, near)

    def _copy(self, source, sink):
        """Forward bytes; those of a cut are lost, so a connection ends with its cut."""
        try:
            while data := source.recv(CHUNK_BYTES):
                if not self._open.is_set():
                    self._open.wait()
                    break
                if self._bytes_per_s:
                    time.sleep(len(data) / self._bytes_per_s)
                time.sleep(self._delay_s)
                sink.sendall(data)
        except OSError:
            pass
        finally:
            source.close()
            sink.close()
