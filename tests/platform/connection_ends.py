"""Calls to a worker on loopback whose connections end in each way; prints what callers conclude.

A process of its own: as in the product, eventlet patches the standard library, and hides resets.
``calls`` prints for each case what a start raised, and whether the worker had read any of it.
``leaving`` prints for each case how a session that has a run there concludes that it has ended.
"""

import contextlib
import itertools
import json
import struct
import sys

import eventlet

eventlet.monkey_patch()

import socket  # noqa: E402

from savoryshelf_platform import workers  # noqa: E402

from savoryshelf.dispatch.worker_api import (  # noqa: E402
    NotDelivered,
    StartRequest,
    WorkerIncarnation,
    WorkerUnresponsive,
)

from ..dispatch.fakes import CLOCK, make_session, wait_until  # noqa: E402
from ..tasks.builders import JOB, accept, ledger, record_intent, step, worker  # noqa: E402
from .requests import read_request  # noqa: E402

TASK = f"{JOB}.0.0.0"
REQUEST = StartRequest(TASK, 1, "work", 0, 1, "")
ORDER = b"/savoryshelf/run-start"
WORKER_CLOCK_MS = 1000


def http_answer(body, status=200, header=b""):
    return b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s" % (status, header, len(body), body)


def list_of_runs(*running):
    fields = {"running": running, "endedRuns": [], "born": 1}
    clock_ms = WORKER_CLOCK_MS + int(1000 * CLOCK.monotonic())
    return http_answer(json.dumps(fields | {"clockMs": clock_ms}).encode())


def end(connection, how):
    """End a connection in order, by a reset, or leave it open and silent."""
    if how == "silence":
        return
    if how == "reset":
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


def refuse_connections(listener):
    listener.close()


def drop_connections(listener):
    """Fill the queue, so that opening packets are dropped, as behind a cut."""
    listener.listen(0)
    for _ in range(3):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
        FILLERS.append(filler)


FILLERS = []


# ------------------------------------------------------------------- calls


class Exchange:
    """A worker that ends its connection at one point of an exchange."""

    def __init__(self, point, how):
        self.point, self.how, self.received = point, how, b""
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.incarnation = incarnation_at(self.listener)
        self.held = []

    def serve(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                self.held.append(connection)
                self._serve_connection(connection)

    def _serve_connection(self, connection):
        if self.point == "accepted":
            return end(connection, self.how)
        read_request(connection)
        if self.point == "asked":
            return end(connection, self.how)
        if self.point == "asked_wrongly":
            return connection.sendall(self.how)
        connection.sendall(list_of_runs())
        if self.point == "identified":
            # The order has been sent, or is being sent, and nobody has read it.
            eventlet.sleep(0.05)
            return end(connection, self.how)
        self._read_order(connection)
        if self.point == "ordered":
            return end(connection, self.how)
        connection.sendall(list_of_runs()[:-1])
        return end(connection, self.how)

    def _read_order(self, connection):
        while ORDER not in self.received and (data := connection.recv(65536)):
            self.received += data


def incarnation_at(listener):
    return WorkerIncarnation("w1", 1, f"127.0.0.1:{listener.getsockname()[1]}")


def attempt(api, exchange):
    try:
        api.start(exchange.incarnation, REQUEST)
    except WorkerUnresponsive as error:
        kind = "not delivered" if isinstance(error, NotDelivered) else "in doubt"
    else:
        kind = "answered"
    return [kind, ORDER in exchange.received]


def call_refused():
    exchange = Exchange("", "")
    refuse_connections(exchange.listener)
    return attempt(workers.HttpWorkerApi(), exchange)


def call_dropped():
    exchange = Exchange("", "")
    drop_connections(exchange.listener)
    return attempt(workers.HttpWorkerApi(), exchange)


def call_on_new_connection(point, how):
    exchange = Exchange(point, how)
    eventlet.spawn(exchange.serve)
    return attempt(workers.HttpWorkerApi(), exchange)


def call_on_idle_connection(how):
    """The connection ends while it waits in the pool, and no other can be made."""
    exchange, api = Exchange("idle", how), workers.HttpWorkerApi()

    def serve():
        connection, _ = exchange.listener.accept()
        read_request(connection)
        connection.sendall(list_of_runs())
        read_request(connection)
        connection.sendall(list_of_runs())
        refuse_connections(exchange.listener)
        end(connection, how)

    eventlet.spawn(serve)
    api.poll(exchange.incarnation, 1, 0, 0, 0)
    eventlet.sleep(0.1)
    return attempt(api, exchange)


def print_calls():
    workers.CALL_TIMEOUT_SECONDS = workers.IDENTIFY_TIMEOUT_SECONDS = 0.3
    workers.CONNECT_TIMEOUT_SECONDS = 0.1
    results = {"refused": call_refused(), "dropped": call_dropped()}
    for point, how in itertools.product(
        ("accepted", "asked", "identified", "ordered", "answering"), ("order", "reset", "silence")
    ):
        results[f"{point} {how}"] = call_on_new_connection(point, how)
    results["asked error"] = call_on_new_connection("asked_wrongly", http_answer(b"{}", 500))
    results["asked garbage"] = call_on_new_connection("asked_wrongly", b"\0\0\r\n\r\n")
    results["idle order"] = call_on_idle_connection("order")
    results["idle reset"] = call_on_idle_connection("reset")
    print(json.dumps(results))


# ----------------------------------------------------------------- leaving


class LeavingWorker:
    """A worker with one run that ends its connections as it leaves, and works on."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.connections = []
        self.lease_until_ms = 0
        self.is_polled = False
        self._acceptor = eventlet.spawn(self._accept)

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                self.connections.append(connection)
                eventlet.spawn(self._serve, connection)

    def _serve(self, connection):
        with contextlib.suppress(OSError, ValueError):
            while True:
                head, _, body = self._read(connection).partition(b"\r\n\r\n")
                order = json.loads(body)
                self.lease_until_ms = max(self.lease_until_ms, order.get("deadlineMs", 0))
                if order.get("waitMs"):
                    self.is_polled = True
                    eventlet.sleep(order["waitMs"] / 1000)
                connection.sendall(list_of_runs([TASK, 1, "", 10, 0]))

    def _read(self, connection):
        data = b""
        while b"\r\n\r\n" not in data or not data.endswith(b"}"):
            received = connection.recv(65536)
            if not received:
                raise ConnectionResetError
            data += received
        return data

    def clock_ms(self):
        return WORKER_CLOCK_MS + int(1000 * CLOCK.monotonic())

    def leave(self, how, then):
        self._acceptor.kill()
        then(self.listener)
        for connection in self.connections:
            end(connection, how)


def leave(how, then):
    """Return why the incarnation counts as ended, and how many ms its lease still had."""
    leaving, record = LeavingWorker(), worker()
    record.address = incarnation_at(leaving.listener).address
    task_ledger = ledger(record)
    accept(task_ledger, step())
    record_intent(task_ledger, TASK)
    session, agent = make_session(task_ledger, workers.HttpWorkerApi())
    wait_until(lambda: leaving.is_polled and (TASK, 1) in session.status_by_run)
    session.worker.record.leaving = True
    leaving.leave(how, then)
    wait_until(lambda: agent.end_reasons, 10.0)
    left_ms = leaving.lease_until_ms - leaving.clock_ms()
    session.close()
    return [agent.end_reasons, left_ms]


def print_leaving():
    workers.IDENTIFY_TIMEOUT_SECONDS = workers.CONNECT_TIMEOUT_SECONDS = 0.1
    ways = {"refused": refuse_connections, "dropped": drop_connections}
    results = {
        f"{how} {name}": leave(how, then)
        for (name, then), how in itertools.product(ways.items(), ("order", "reset"))
    }
    print(json.dumps(results))


if __name__ == "__main__":
    {"calls": print_calls, "leaving": print_leaving}[sys.argv[1]]()
