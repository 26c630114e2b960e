"""Calls to workers over HTTP; each error type says whether the request may have run.

The platform's side of this interface is described in docs/INTERFACES.md.
"""

import json

import attrs
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from ..errors import SavoryshelfError
from ..observability.metrics import LINK_BYTES
from ..wire.generated.ttypes import StartOrder, StopOrder
from .targets import OwnedTarget, ResourceDemand

CONNECT_TIMEOUT_SECONDS = 0.5
CONTROL_CALL_TIMEOUT_SECONDS = 3.0
NOT_RUN_HEADER = "Savoryshelf-Not-Run"
EPOCH_HEADER = "Savoryshelf-Epoch"
WORKER_HEADER = "Savoryshelf-Worker"
INCARNATION_HEADER = "Savoryshelf-Incarnation"
REQUEST_ID_HEADER = "Savoryshelf-Request-Id"
SIZE_HEADER = "Savoryshelf-Size"
TRACE_HEADER = "Savoryshelf-Trace-Id"


class WorkerRefused(SavoryshelfError):
    """The worker did not run the request and never will."""

    def __init__(self, worker_id: str, reason: str):
        super().__init__(f"{worker_id} refused: {reason}")
        self.reason = reason


class WorkerUnreachable(SavoryshelfError):
    """No connection was established, so nothing reached the worker."""


class WorkerUnresponsive(SavoryshelfError):
    """The request was sent and no complete answer arrived: it may have run."""


@attrs.frozen
class WorkerResponse:
    """A complete answer from a worker."""

    status: int
    content_type: str
    body: bytes


class WorkerClient:
    """Keep-alive connections to workers, by URL.

    Each call names the worker and the incarnation that it is meant for, and any other refuses it.
    """

    def __init__(self, token: str):
        self._token = token
        self._pool_by_url: dict[str, urllib3.HTTPConnectionPool] = {}

    def run_critical(
        self,
        target: OwnedTarget,
        service: str,
        demand: ResourceDemand,
        request_id: str,
        content_type: str,
        body: bytes,
        timeout_s: float,
        trace_id: str,
    ) -> WorkerResponse:
        """Run one critical request; raises one of this module's errors."""
        headers = {
            "Content-Type": content_type,
            REQUEST_ID_HEADER: request_id,
            SIZE_HEADER: f"{demand.cores};{demand.memory_mb}",
            TRACE_HEADER: trace_id,
        }
        path = f"/v1/services/{service}"
        return self._post(target, path, body, headers, timeout_s, "critical")

    def start_attempt(self, target: OwnedTarget, order: StartOrder) -> None:
        """Start a batch attempt; the worker knows it by job and attempt from then on."""
        headers = {
            "Content-Type": "application/octet-stream",
            "Savoryshelf-Job": order.key.job_id,
            "Savoryshelf-Attempt": str(order.key.attempt),
            "Savoryshelf-Class": order.class_name,
            "Savoryshelf-Checkpoint": order.checkpoint_id or "",
            INCARNATION_HEADER: order.worker_incarnation,
            SIZE_HEADER: f"{order.cores};{order.memory_mb};{order.accelerators}",
            TRACE_HEADER: order.trace_id or "",
        }
        timeout_s = CONTROL_CALL_TIMEOUT_SECONDS
        self._expect_ok(self._post(target, "/v1/tasks", order.body, headers, timeout_s, "batch"))

    def stop_attempt(self, target: OwnedTarget, order: StopOrder) -> None:
        """Ask for a stop, after a checkpoint if ordered; a later report has the outcome."""
        payload = {
            "job_id": order.key.job_id,
            "attempt": order.key.attempt,
            "checkpoint": order.checkpoint,
        }
        self._post_json(target, "/v1/tasks/stop", payload)

    def settle_attempt(self, target: OwnedTarget, job_id: str, attempt: int) -> bool:
        """Return whether the worker has this attempt; if not, it refuses it from now on."""
        payload = {"job_id": job_id, "attempt": attempt}
        return bool(self._post_json(target, "/v1/tasks/settle", payload, ("known",))["known"])

    def adopt(self, target: OwnedTarget, owner_url: str, lease_s: float, report_s: float) -> dict:
        """Become the worker's owner under the target's epoch; return what it is running."""
        payload = {
            "epoch": target.epoch,
            "owner_url": owner_url,
            "lease_s": lease_s,
            "report_interval_s": report_s,
        }
        expected = ("incarnation", "tasks", "critical")
        return self._post_json(target, "/v1/adopt", payload, expected)

    def _post_json(
        self, target: OwnedTarget, path: str, payload: dict, expected: tuple[str, ...] = ()
    ) -> dict:
        """Return the worker's answer, which must hold the expected keys."""
        headers = {"Content-Type": "application/json"}
        body = json.dumps(payload).encode()
        response = self._post(target, path, body, headers, CONTROL_CALL_TIMEOUT_SECONDS, "control")
        self._expect_ok(response)
        try:
            reply = json.loads(response.body)
        except ValueError as error:
            raise WorkerUnresponsive(f"{target.worker_id}: unreadable answer: {error}") from None
        if not isinstance(reply, dict) or any(key not in reply for key in expected):
            raise WorkerUnresponsive(
                f"{target.worker_id}: the answer lacks one of the keys {expected}"
            )
        return reply

    @staticmethod
    def _expect_ok(response: WorkerResponse) -> None:
        if response.status not in (200, 202):
            raise WorkerUnresponsive(f"status {response.status} instead of 200 or 202")

    def _post(
        self,
        target: OwnedTarget,
        path: str,
        body: bytes,
        headers: dict[str, str],
        timeout_s: float,
        kind: str,
    ) -> WorkerResponse:
        # Another process may listen there by now: it refuses what names another incarnation.
        headers = {
            "Authorization": f"Bearer {self._token}",
            EPOCH_HEADER: str(target.epoch),
            WORKER_HEADER: target.worker_id,
            INCARNATION_HEADER: target.worker.incarnation,
        } | headers
        timeout = urllib3.Timeout(connect=min(CONNECT_TIMEOUT_SECONDS, timeout_s), total=timeout_s)
        try:
            response = self._pool(target.worker.url).urlopen(
                "POST", path, body=body, headers=headers, timeout=timeout, retries=False
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise WorkerUnreachable(f"{target.worker_id}: {error}") from None
        except (HTTPError, OSError) as error:
            raise WorkerUnresponsive(f"{target.worker_id}: {error}") from None
        if not _has_explicit_length(response):
            # The end of such a body cannot be distinguished from a broken connection.
            raise WorkerUnresponsive(
                f"{target.worker_id}: the answer has neither Content-Length nor chunked encoding"
            )
        LINK_BYTES.labels("sent", kind).inc(len(body))
        LINK_BYTES.labels("received", kind).inc(len(response.data))
        if response.headers.get(NOT_RUN_HEADER):
            raise WorkerRefused(target.worker_id, response.headers[NOT_RUN_HEADER])
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        return WorkerResponse(response.status, content_type, response.data)

    def _pool(self, url: str) -> urllib3.HTTPConnectionPool:
        pool = self._pool_by_url.get(url)
        if pool is None:
            pool = urllib3.connection_from_url(url, maxsize=64, block=False)
            self._pool_by_url[url] = pool
        return pool

    def close_unused(self, kept_urls: set[str]) -> None:
        """Close the connections to all URLs but ``kept_urls``: workers not owned any more."""
        for url in self._pool_by_url.keys() - kept_urls:
            self._pool_by_url.pop(url).close()


def _has_explicit_length(response: urllib3.BaseHTTPResponse) -> bool:
    """Return whether the headers of the answer say where its body ends."""
    is_chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    return is_chunked or "Content-Length" in response.headers
