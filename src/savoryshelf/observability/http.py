"""Health, readiness and metrics over HTTP, for load balancers and metrics scrapers."""

from collections.abc import Callable

from werkzeug.wrappers import Request, Response

from ..http_server import HttpServer
from .metrics import render_metrics

IDLE_CONNECTION_SECONDS = 60.0
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


def serve_operations(address: str, is_ready: Callable[[], bool]) -> HttpServer:
    """Serve only health, readiness and metrics, in the background."""

    @Request.application
    def application(request: Request) -> Response:
        response = operations_response(request.path, is_ready)
        return response or Response("no such path\n", status=404)

    return HttpServer(address, application, IDLE_CONNECTION_SECONDS)
