"""Health, readiness and metrics over HTTP, for load balancers and metrics scrapers."""

from collections.abc import Callable

import eventlet
from eventlet import wsgi
from werkzeug.wrappers import Request, Response

from ..wire.peers import split_address
from .metrics import render_metrics

METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


def operations_response(path: str, is_ready: Callable[[], bool]) -> Response | None:
    """Return the response to a health, readiness or metrics request; None for other paths."""
    if path == "/healthz":
        return Response("ok\n")
    if path == "/readyz":
        return Response("ready\n") if is_ready() else Response("not ready\n", status=503)
    if path == "/metrics":
        return Response(render_metrics(), content_type=METRICS_CONTENT_TYPE)
    return None


def serve_operations(address: str, is_ready: Callable[[], bool]) -> str:
    """Serve only health, readiness and metrics, in the background.

    Returns the address that the server listens on.
    """

    @Request.application
    def application(request: Request) -> Response:
        response = operations_response(request.path, is_ready)
        return response or Response("no such path\n", status=404)

    listener = eventlet.listen(split_address(address))
    eventlet.spawn(wsgi.server, listener, application, log_output=False)
    return "{}:{}".format(*listener.getsockname()[:2])
