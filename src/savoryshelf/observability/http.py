"""Health, readiness and metrics over HTTP, for load balancers and metrics scrapers."""

from collections.abc import Callable

import attrs

from ..http_server import HttpServer
from .metrics import render_metrics

IDLE_CONNECTION_SECONDS = 60.0
TEXT_CONTENT_TYPE = "text/plain; charset=utf-8"
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@attrs.frozen
class OperationsReply:
    """The response to a health, readiness or metrics request."""

    body: bytes
    status: str = "200 OK"
    content_type: str = TEXT_CONTENT_TYPE


def operations_reply(path: str, is_ready: Callable[[], bool]) -> OperationsReply | None:
    """Return the reply to a health, readiness or metrics request; None for other paths."""
    if path == "/healthz":
        return OperationsReply(b"ok\n")
    if path == "/readyz":
        if is_ready():
            return OperationsReply(b"ready\n")
        return OperationsReply(b"not ready\n", "503 Service Unavailable")
    if path == "/metrics":
        return OperationsReply(render_metrics(), content_type=METRICS_CONTENT_TYPE)
    return None


def serve_operations(address: str, is_ready: Callable[[], bool]) -> HttpServer:
    """Serve only health, readiness and metrics, in the background."""

    def application(environ, start_response):
        reply = operations_reply(environ["PATH_INFO"], is_ready)
        reply = reply or OperationsReply(b"no such path\n", "404 Not Found")
        headers = [("Content-Type", reply.content_type), ("Content-Length", str(len(reply.body)))]
        start_response(reply.status, headers)
        return [] if environ["REQUEST_METHOD"] == "HEAD" else [reply.body]

    return HttpServer(address, application, IDLE_CONNECTION_SECONDS)
