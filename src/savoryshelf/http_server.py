"""An HTTP server, on eventlet's WSGI server, that knows its requests in progress."""

import contextlib
import socket

import attrs
import eventlet
from eventlet import wsgi

from .clock import SystemClock
from .observability.logs import log_event

LISTEN_BACKLOG = 512
"""Connections that the kernel holds until they are accepted."""

MAX_CONNECTIONS = 1024
"""Connections served at once; further ones wait until they are accepted."""

ACCEPT_RETRY_SECONDS = 0.1
"""Pause after a failed accept, for example for want of a file descriptor."""


@attrs.define(eq=False)
class _Connection:
    """An open connection.

    ``request_began_at`` is the monotonic time, in seconds, at which the first byte of the
    request in progress was read; None between requests.
    """

    socket: socket.socket
    request_began_at: float | None = None
    request_line: str = ""


class _Protocol(wsgi.HttpProtocol):
    """Records on its connection when a request begins and when its response is written."""

    def __init__(self, connection: _Connection, clock, state, server):
        self._connection = connection
        self._clock = clock
        super().__init__(state, server)

    def handle_one_request(self):
        """Wait for the first byte of a request, then read and answer the request."""
        has_request = False
        with contextlib.suppress(ConnectionError, TimeoutError):
            has_request = bool(self.rfile.peek(1))
        if not has_request:
            self.close_connection = True
            return
        self._connection.request_began_at = self._clock.monotonic()
        try:
            super().handle_one_request()
        finally:
            self._connection.request_began_at = None

    def parse_request(self):
        """Parse the request line and the headers; return whether they are valid."""
        self._connection.request_line = self.raw_requestline.decode("latin-1").strip()
        return super().parse_request()


class HttpServer:
    """Serves a WSGI application on ``address``, ``ip:port``, in the background."""

    def __init__(
        self,
        address: str,
        application,
        idle_seconds: float,
        max_connections: int = MAX_CONNECTIONS,
    ):
        host, _, port = address.rpartition(":")
        self.is_draining = False
        self._application = application
        self._clock = SystemClock()
        self._connections: set[_Connection] = set()
        self._pool = eventlet.GreenPool(max_connections)
        self._idle_seconds = idle_seconds
        self._listener = eventlet.listen((host, int(port)), backlog=LISTEN_BACKLOG)
        self.address = "{}:{}".format(*self._listener.getsockname()[:2])
        self._acceptor = eventlet.spawn(self._accept_connections)

    @property
    def in_progress(self) -> int:
        """Return the number of requests that have begun to arrive and are not answered yet."""
        return sum(each.request_began_at is not None for each in self._connections)

    def log_requests_in_progress(self) -> None:
        """Log each request that this process cuts off if it ends now."""
        for each in self._connections:
            if each.request_began_at is not None:
                age = self._clock.monotonic() - each.request_began_at
                log_event("request:cut_off", request=each.request_line, age_s=round(age, 3))

    def _accept_connections(self) -> None:
        server = wsgi.Server(
            self._listener,
            self._listener.getsockname(),
            self._answer,
            log_output=False,
            socket_timeout=self._idle_seconds,
        )
        while True:
            try:
                accepted, peer = self._listener.accept()
            except OSError as error:
                log_event("server:accept_failed", address=self.address, why=str(error))
                eventlet.sleep(ACCEPT_RETRY_SECONDS)
                continue
            accepted.settimeout(self._idle_seconds)
            connection = _Connection(accepted)
            self._connections.add(connection)
            self._pool.spawn_n(self._serve, server, connection, peer)

    def _serve(self, server: wsgi.Server, connection: _Connection, peer) -> None:
        try:
            state = [peer, connection.socket, wsgi.STATE_REQUEST]
            _Protocol(connection, self._clock, state, server)
        except TimeoutError:
            log_event("request:timed_out", request=connection.request_line, peer=peer[0])
        finally:
            self._connections.discard(connection)
            connection.socket.close()

    def _answer(self, environ, start_response):
        def start_final_response(status, headers, exc_info=None):
            if self.is_draining:
                headers = [*headers, ("Connection", "close")]
            return start_response(status, headers, exc_info)

        return self._application(environ, start_final_response)
