"""Calls to workers whose address, id or reply is odd: typed errors, and no thread that ends."""

import contextlib
import socket
import threading

import attrs
import orjson
import pytest
from savoryshelf_platform.workers import HttpWorkerApi

from savoryshelf.dispatch.worker_api import (
    IncarnationReplaced,
    StartRequest,
    WorkerIncarnation,
    WorkerUnresponsive,
)

from ..dispatch.fakes import make_session, wait_until
from ..tasks.builders import JOB, accept, ledger, record_intent, step, worker
from .requests import read_request

TASK = f"{JOB}.0.0.0"
ODD_ADDRESSES = [
    "127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1:" + "9" * 5000, "127.0.0.1:" + "9" * 30,
    "127.0.0.1:\u00b2", "127.0.0.1", ":80", "a\nb:80", "a\x00b:80", "[::1:80",
    "\u00e9" * 80 + ":80", "localhost:1",
]  # fmt: skip
REQUEST = StartRequest(TASK, 1, "work", 1, 1)
EMPTY_LIST = {"clockMs": 5, "running": [], "endedRuns": []}


def odd(texts):
    return pytest.mark.parametrize("text", texts, ids=lambda text: repr(text[:16]))


def calls(api, incarnation):
    return [
        lambda: api.start(incarnation, REQUEST),
        lambda: api.stop(incarnation, TASK, 1, 1),
        lambda: api.poll(incarnation, 1, 0, 0, 0),
        lambda: api.set_speed(incarnation, TASK, 1, 50, 1),
    ]


# Guards against a worker's entry with a port out of range: its calls raised errors that no
# caller expected.
@odd(ODD_ADDRESSES)
def test_a_worker_with_an_odd_address_is_unresponsive(text):
    api = HttpWorkerApi()
    for call in calls(api, WorkerIncarnation("w1", 1, text)):
        with pytest.raises(WorkerUnresponsive):
            call()
    api.disconnect(WorkerIncarnation("w1", 1, text))


# Guards against a look-up that blocks the whole process, for an entry of an earlier landing.
def test_the_name_of_a_worker_is_not_looked_up(monkeypatch):
    looked_up = []
    monkeypatch.setattr(
        socket, "getaddrinfo", lambda host, *rest, **options: looked_up.append(host)
    )
    for call in calls(HttpWorkerApi(), WorkerIncarnation("w1", 1, "localhost:1")):
        with pytest.raises(WorkerUnresponsive):
            call()
    assert looked_up == []


@odd(["w\n1", "w\u4e00"])
def test_a_worker_with_an_odd_id_is_unresponsive(text):
    for call in calls(HttpWorkerApi(), WorkerIncarnation(text, 1, "127.0.0.1:1")):
        with pytest.raises(WorkerUnresponsive):
            call()


def test_a_call_that_cannot_be_encoded_is_unanswered():
    api = HttpWorkerApi()
    with pytest.raises(WorkerUnresponsive):
        api.poll(WorkerIncarnation("w1", 1, "127.0.0.1:1"), 1, 0, 2**65, 0)


# Guards against tasks that never end: a record of an odd address, committed by an earlier
# version, kept its runs for good, since the thread of their start had ended.
@odd(["127.0.0.1:" + "9" * 5000, "127.0.0.1:99999", "127.0.0.1:\u00b2"])
def test_a_run_on_a_worker_with_an_odd_address_is_lost_after_its_lease(text):
    record = worker()
    record.address = text
    task_ledger = ledger(record)
    session, agent = make_session(task_ledger, HttpWorkerApi())
    accept(task_ledger, step())
    record_intent(task_ledger, TASK)
    session.start(TASK, 1)
    wait_until(lambda: agent.end_reasons)
    assert not task_ledger.find_task(TASK).incarnation_by_run
    session.close()


@attrs.define
class ReplyingWorker:
    """A worker that identifies itself, and then gives the same reply, a status and bytes."""

    incarnation: WorkerIncarnation
    reply: tuple[int, bytes] = (200, b"{}")

    def serve(self, listener):
        """Answer two requests a connection until the listener is shut down."""
        identity = orjson.dumps(EMPTY_LIST | {"born": self.incarnation.born_ms})
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listener.accept()
                with connection:
                    self._answer(connection, (200, identity), b"")
                    self._answer(connection, self.reply, b"Connection: close\r\n")

    def _answer(self, connection, reply, header):
        read_request(connection)
        status, body = reply
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
        connection.sendall(head.encode() + header + b"\r\n" + body)


@pytest.fixture
def replying_worker():
    """Yield a worker that runs in a native thread, since calls block the whole process here.

    Not with http.server: once eventlet has loaded it, its locks belong to this thread's hub.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    worker = ReplyingWorker(WorkerIncarnation("w1", 1, f"127.0.0.1:{port}"))
    thread = threading.Thread(target=worker.serve, args=(listener,))
    thread.start()
    yield worker
    listener.shutdown(socket.SHUT_RDWR)
    thread.join()
    listener.close()


NESTED = b"[" * 1000 + b"]" * 1000


@pytest.mark.parametrize(
    "reply",
    [
        (409, b'{"clockMs":5,"reason":[]}'),
        (409, b'{"clockMs":5,"reason":' + NESTED + b"}"),
        (409, b'{"clockMs":5,"reason":{"a":1}}'),
        (200, NESTED * 2),
        (500, b"{}"),
    ],
    ids=["list", "nested", "object", "no JSON", "status"],
)
def test_an_odd_reply_to_a_start_is_no_answer(replying_worker, reply):
    replying_worker.reply = reply
    with pytest.raises(WorkerUnresponsive):
        HttpWorkerApi().start(replying_worker.incarnation, REQUEST)


# Guards against a thread that ends between a start's answer and its bookkeeping: the run then
# counted as being started for good.
@pytest.mark.parametrize("clock", ["5", 2**63, -1, 5.5, [1], None], ids=str)
def test_an_odd_clock_in_the_reply_to_a_start_is_no_reading(replying_worker, clock):
    replying_worker.reply = (200, orjson.dumps({"clockMs": clock}))
    _, clock_ms = HttpWorkerApi().start(replying_worker.incarnation, REQUEST)
    assert clock_ms is None


# Guards against workers that are ended, and counted as crashed, for a field that nobody can read.
@pytest.mark.parametrize("born", ["1", 1.5, [1], True, 2**63], ids=str)
def test_an_odd_start_time_in_the_reply_to_a_poll_is_no_other_incarnation(replying_worker, born):
    replying_worker.reply = (200, orjson.dumps(EMPTY_LIST | {"born": born}))
    with pytest.raises(WorkerUnresponsive):
        HttpWorkerApi().poll(replying_worker.incarnation, 1, 0, 0, 0)


# Guards against runs that are settled by a list of which nobody knows whose it is.
@pytest.mark.parametrize("reply", [EMPTY_LIST, EMPTY_LIST | {"born": None}], ids=["none", "null"])
def test_a_reply_to_a_poll_without_a_start_time_is_no_answer(replying_worker, reply):
    replying_worker.reply = (200, orjson.dumps(reply))
    with pytest.raises(WorkerUnresponsive):
        HttpWorkerApi().poll(replying_worker.incarnation, 1, 0, 0, 0)


def test_another_start_time_in_the_reply_to_a_poll_is_another_incarnation(replying_worker):
    replying_worker.reply = (200, b'{"clockMs":5,"running":[],"endedRuns":[],"born":2}')
    with pytest.raises(IncarnationReplaced):
        HttpWorkerApi().poll(replying_worker.incarnation, 1, 0, 0, 0)


# Guards against tasks that run twice: of more than 500 ends a worker lists 500, and the runs
# behind the others counted as runs that had never started.
@pytest.mark.parametrize("count, may_omit_ends", [(499, False), (500, True)])
def test_a_poll_that_lists_as_many_ends_as_one_answer_holds_may_omit_others(
    replying_worker, count, may_omit_ends
):
    ends = [[number, TASK, number, "done", ""] for number in range(1, count + 1)]
    reply = EMPTY_LIST | {"endedRuns": ends, "born": replying_worker.incarnation.born_ms}
    replying_worker.reply = (200, orjson.dumps(reply))
    result = HttpWorkerApi().poll(replying_worker.incarnation, 1, 0, 0, 0)
    assert len(result.ends) == count
    assert result.may_omit_ends is may_omit_ends
