"""Pools of HTTP connections for green threads."""

import urllib3
from eventlet.patcher import original
from urllib3.connection import HTTPConnection

_select = original("select")


class _PolledConnection(HTTPConnection):
    """Checks for the end of an idle connection without yielding to other green threads.

    urllib3 would wait in eventlet's hub, for as long as all other green threads take.
    """

    @property
    def is_connected(self) -> bool:
        """Return whether the connection is open and has nothing to read, not even its end."""
        if self.sock is None:
            return False
        poller = _select.poll()
        poller.register(self.sock.fileno(), _select.POLLIN)
        return not poller.poll(0)


class WorkerConnectionPool(urllib3.HTTPConnectionPool):
    """Keep-alive connections to one worker."""

    ConnectionCls = _PolledConnection
