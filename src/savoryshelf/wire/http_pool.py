"""Pools of HTTP connections for green threads."""

from collections.abc import Callable

import urllib3
from eventlet.patcher import original
from urllib3.connection import HTTPConnection

_select = original("select")


class _IdentifiedConnection(HTTPConnection):
    """Carries requests only to the process that has identified itself on it.

    A connection ends with the process that accepted it, so whatever is sent on it later reaches
    that process or none.
    """

    auto_open = 0
    """http.client would open a closed connection again without asking who answers there."""

    def __init__(self, *args, identify: Callable[[HTTPConnection], None], **kwargs):
        super().__init__(*args, **kwargs)
        self._identify = identify

    @property
    def is_connected(self) -> bool:
        """Return whether the connection is open and has nothing to read, not even its end.

        urllib3 would wait in eventlet's hub, for as long as all other green threads take.
        """
        if self.sock is None:
            return False
        poller = _select.poll()
        poller.register(self.sock.fileno(), _select.POLLIN)
        return not poller.poll(0)

    def request(self, *args, **kwargs) -> None:
        """Send a request; on a new connection, have the other end identified before."""
        if self.is_closed:
            self.connect()
            try:
                self._identify(self)
            except BaseException:
                self.close()
                raise
        super().request(*args, **kwargs)


class WorkerConnectionPool(urllib3.HTTPConnectionPool):
    """Keep-alive connections to one process of a worker.

    ``identify`` is called with each new connection.  It may send requests on it, and raises an
    error of its own if another process answers; nothing else is sent on the connection then.
    """

    ConnectionCls = _IdentifiedConnection
