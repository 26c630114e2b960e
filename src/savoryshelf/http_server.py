"""An HTTP server, on eventlet's WSGI server, that stops without cutting off requests.

When ``eventlet.wsgi.server`` stops, it closes each connection from which it has not read a
request line.  A request that arrived there by then is still executed, but not answered.
"""

import contextlib
import socket

import attrs
import eventlet
from eventlet import greenio, patcher, wsgi
from eventlet.semaphore import Semaphore

from .clock import SystemClock
from .listener import ACCEPT_RETRY_SECONDS, close_listener
from .observability.logs import log_event
from .observability.unforeseen import UnforeseenErrors

_select = patcher.original("select")
"""The unpatched module: eventlet's version has no ``poll``."""

LISTEN_BACKLOG = 512
"""Connections that the kernel holds until they are accepted."""

MAX_CONNECTIONS = 1024
"""Connections served at once; further ones wait in the kernel, except in a drain."""

_CONNECTION_KEY = "savoryshelf.connection"
"""Key of the connection in the WSGI environment."""

FIRST_REQUEST_SECONDS = 0.25
"""Time for the first request of a connection to arrive, before a draining server closes it."""

DRAIN_POLL_SECONDS = 0.02
"""Interval at which a draining server looks for idle connections to close."""


@attrs.define(eq=False)
class _Connection:
    """An open connection.

    ``request_began_at`` is the monotonic time, in seconds, at which the first byte of the
    request in progress was read; None between requests.
    """

    socket: socket.socket
    accepted_at: float
    request_began_at: float | None = None
    request_line: str = ""
    answered: int = 0
    """Requests that were answered on this connection."""

    is_final_answered: bool = False
    """Whether a response has announced that it closes the connection."""

    @property
    def has_request(self) -> bool:
        """Return whether a request is in progress or its bytes are unread."""
        return self.request_began_at is not None or _is_readable(self.socket)


class _Protocol(wsgi.HttpProtocol):
    """Records on its connection when a request begins and when its response is written."""

    def __init__(self, connection: _Connection, owner: "HttpServer", state, server):
        self._connection = connection
        self._owner = owner
        super().__init__(state, server)

    def handle_one_request(self):
        """Wait for the first byte of a request, then read and answer the request."""
        has_request = False
        with contextlib.suppress(ConnectionError, TimeoutError):
            has_request = bool(self.rfile.peek(1))
        if not has_request:
            self.close_connection = True
            return
        self._connection.request_began_at = self._owner.clock.monotonic()
        try:
            super().handle_one_request()
            # eventlet follows only the caller's own header.
            self.close_connection = self.close_connection or self._connection.is_final_answered
        finally:
            self._connection.request_began_at = None
            self._connection.answered += 1

    def get_environ(self):
        """Return the WSGI environment, with the connection."""
        return super().get_environ() | {_CONNECTION_KEY: self._connection}

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
        self.clock = SystemClock()
        self._connections: set[_Connection] = set()
        self._free_slots = Semaphore(max_connections)
        self._idle_seconds = idle_seconds
        self._listener = eventlet.listen((host, int(port)), backlog=LISTEN_BACKLOG)
        self.address = "{}:{}".format(*self._listener.getsockname()[:2])
        self._server = wsgi.Server(
            self._listener,
            self._listener.getsockname(),
            self._answer,
            log_output=False,
            socket_timeout=idle_seconds,
        )
        self._errors = UnforeseenErrors("accept connections", address=self.address)
        self._acceptor = eventlet.spawn(self._accept_connections)

    @property
    def in_progress(self) -> int:
        """Return the number of requests that have begun to arrive and are not answered yet."""
        return sum(each.request_began_at is not None for each in self._connections)

    def drain(self, announce_seconds: float, limit_seconds: float) -> int:
        """Stop serving; return the number of requests that were cut off at the limit.

        For ``announce_seconds``, connections are still accepted, so that load balancers can
        notice failing readiness checks.  Afterwards, none is accepted, idle ones are closed,
        and requests in progress are finished, until ``limit_seconds`` after the call.  From
        the call on, each response closes its connection.
        """
        started_at = self.clock.monotonic()
        self.is_draining = True
        self._log("server:draining", started_at)
        eventlet.sleep(announce_seconds)
        self._stop_accepting()
        self._log("server:closed_to_new", started_at)
        while self._connections and self.clock.monotonic() - started_at < limit_seconds:
            self._close_idle_connections()
            eventlet.sleep(DRAIN_POLL_SECONDS)
        for each in self._connections:
            self._log_cut(each)
        cut = self.in_progress
        self._log("server:drained", started_at, cut=cut, limit_seconds=limit_seconds)
        return cut

    def wait_until_answered(self, limit_seconds: float) -> None:
        """Wait until the requests that have arrived by now are answered; serve later ones too."""
        latest = self.clock.monotonic() + limit_seconds
        while _is_readable(self._listener) and self.clock.monotonic() < latest:
            # Without a free slot, nothing is accepted until a connection ends.
            eventlet.sleep(DRAIN_POLL_SECONDS if self._free_slots.locked() else 0)
        answered = {each: each.answered for each in self._connections if each.has_request}
        while self.clock.monotonic() < latest:
            answered = {
                each: count
                for each, count in answered.items()
                if each in self._connections and each.answered == count
            }
            if not answered:
                return
            eventlet.sleep(DRAIN_POLL_SECONDS)

    def _accept_connections(self) -> None:
        while True:
            self._free_slots.acquire()
            try:
                accepted, peer = self._listener.accept()
            except Exception as error:
                self._free_slots.release()
                if isinstance(error, OSError):
                    log_event("server:accept_failed", address=self.address, why=str(error))
                else:
                    self._errors.log(error)
                eventlet.sleep(ACCEPT_RETRY_SECONDS)
                continue
            self._start_serving(accepted, peer)

    def _start_serving(self, accepted, peer) -> None:
        try:
            accepted.settimeout(self._idle_seconds)
            connection = _Connection(accepted, self.clock.monotonic())
        except Exception as error:
            self._free_slots.release()
            accepted.close()
            self._errors.log(error)
            return
        self._connections.add(connection)
        eventlet.spawn_n(self._serve, connection, peer)

    def _serve(self, connection: _Connection, peer) -> None:
        try:
            state = [peer, connection.socket, wsgi.STATE_REQUEST]
            _Protocol(connection, self, state, self._server)
        except TimeoutError:
            log_event("request:timed_out", request=connection.request_line, peer=peer[0])
        finally:
            self._connections.discard(connection)
            connection.socket.close()
            self._free_slots.release()

    def _answer(self, environ, start_response):
        def start_final_response(status, headers, exc_info=None):
            if self.is_draining:
                headers = [each for each in headers if each[0].lower() != "connection"]
                headers.append(("Connection", "close"))
                environ[_CONNECTION_KEY].is_final_answered = True
            return start_response(status, headers, exc_info)

        return self._application(environ, start_final_response)

    def _stop_accepting(self) -> None:
        self._acceptor.kill()
        # Also beyond the maximum: otherwise the kernel would reset these connections.
        for accepted, peer in close_listener(self._listener):
            self._start_serving(accepted, peer)

    def _close_idle_connections(self) -> None:
        newest = self.clock.monotonic() - FIRST_REQUEST_SECONDS
        for each in list(self._connections):
            is_new = not each.answered and each.accepted_at > newest
            # Unread bytes are a request that its green thread has not seen yet.
            if not each.has_request and not is_new:
                greenio.shutdown_safe(each.socket)

    def _log(self, event: str, started_at: float, **fields) -> None:
        log_event(
            event,
            address=self.address,
            seconds=round(self.clock.monotonic() - started_at, 3),
            connections=len(self._connections),
            in_progress=self.in_progress,
            **fields,
        )

    def _log_cut(self, connection: _Connection) -> None:
        if connection.request_began_at is not None:
            age = self.clock.monotonic() - connection.request_began_at
            log_event("request:cut_off", request=connection.request_line, age_s=round(age, 3))


def _is_readable(sock) -> bool:
    """Return whether a read or an accept would return at once."""
    poll = _select.poll()
    poll.register(sock.fileno(), _select.POLLIN)
    return bool(poll.poll(0))
