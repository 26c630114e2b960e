"""Assembles an entry host process and shuts it down without dropping requests."""

import signal

import eventlet
from eventlet import wsgi
from eventlet.event import Event

from ..clock import SystemClock
from ..http_server import HttpServer
from ..observability.logs import log_event
from ..signals import on_signal
from ..tokens import TARGET, issue
from ..wire.generated import EntryService
from ..wire.peers import PeerServer
from .batch import BatchDispatch
from .control_client import ControlClient
from .critical import CriticalPath
from .handler import EntryHandler
from .http import callers, operators, targets  # noqa: F401  (importing them registers their routes)
from .http.app import EntryApplication, EntryContext
from .state import EntryState
from .sync import OutcomeLoop, SyncLoop
from .worker_client import WorkerClient

IDLE_CONNECTION_SECONDS = 60
MAX_CONNECTIONS = 2000
MAX_HEADER_LINE_BYTES = 8192
MAX_DRAIN_SECONDS = 60.0
"""Time in a stop after which the requests in progress are cut off; callers may wait for 25 s."""

MIN_DRAIN_STEP_SECONDS = 5.0
"""Time for each step of a stop, also if the steps before it have used up the whole."""


class EntryHostProcess:
    """Runs one entry host until it is asked to stop."""

    def __init__(self, settings):
        self._settings = settings
        clock = SystemClock()
        state = EntryState(settings.name)
        workers = WorkerClient(issue(settings.token_key, TARGET))
        address_by_name = {name: address for name, address, _ in settings.control_hosts}
        control = ControlClient(address_by_name, settings.cluster_key)
        critical = CriticalPath(
            state, workers, clock, settings.routing_policy, settings.cluster_key
        )
        own_url = f"http://{settings.http_listen}"
        batch = BatchDispatch(state, workers, clock, own_url, critical.wake_queued)
        self._context = EntryContext(
            state, critical, batch, control, clock, settings.token_key, settings.body_seconds
        )
        self._sync = SyncLoop(
            state, batch, control, clock, (settings.listen, own_url), settings.failure_domain
        )
        self._outcomes = OutcomeLoop(batch, control, clock)
        self._stop_requested = Event()

    def run(self) -> None:
        """Serve until a stop is requested, then drain the requests in flight."""
        for number in (signal.SIGTERM, signal.SIGINT):
            on_signal(number, self._request_stop)
        settings = self._settings
        peers = PeerServer(
            EntryService,
            settings.listen,
            lambda: EntryHandler(settings.cluster_key, self._context.critical),
        )
        wsgi.MAX_HEADER_LINE = MAX_HEADER_LINE_BYTES
        server = HttpServer(
            settings.http_listen,
            EntryApplication(self._context),
            IDLE_CONNECTION_SECONDS,
            MAX_CONNECTIONS,
        )
        tasks = [eventlet.spawn(self._sync.run), eventlet.spawn(self._outcomes.run)]
        for task in tasks:
            task.link(self._stop_if_failed)
        log_event("entry:started", entry_id=settings.name)
        self._stop_requested.wait()
        self._drain(server, peers)

    def _request_stop(self) -> None:
        if not self._stop_requested.ready():
            self._stop_requested.send(None)

    def _stop_if_failed(self, task) -> None:
        """Stop when a loop fails: a host that cannot sync can only refuse requests."""
        try:
            task.wait()
        except Exception as error:
            log_event("entry:task_failed", error=repr(error))
            self._request_stop()

    def _drain(self, server: HttpServer, peers: PeerServer) -> None:
        """Report not ready, answer what has arrived, release the workers, then stop serving.

        The workers report to this host until they are released: their leases would
        expire if the HTTP server closed earlier.  Requests that come after the release are
        refused as not run.
        """
        context = self._context
        context.state.is_stopping = True
        log_event("entry:stopping", in_flight=context.in_flight)
        eventlet.sleep(self._settings.drain_seconds)
        deadline = context.clock.monotonic() + MAX_DRAIN_SECONDS

        def remaining_seconds() -> float:
            return max(MIN_DRAIN_STEP_SECONDS, deadline - context.clock.monotonic())

        server.wait_until_answered(remaining_seconds())
        peers.drain(remaining_seconds())
        self._sync.leave()
        server.drain(0.0, remaining_seconds())
        log_event("entry:stopped", in_flight=context.in_flight)
