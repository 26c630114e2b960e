"""Calls to a worker that was started again under its id: none reaches another incarnation."""

import contextlib
import socket
import threading
import time

import orjson
import pytest
from savoryshelf_platform.workers import CALL_TIMEOUT_SECONDS, HttpWorkerApi

from savoryshelf.dispatch.worker_api import (
    CallRejected,
    Fenced,
    IncarnationReplaced,
    NotDelivered,
    StartRequest,
    StartResult,
    WorkerIncarnation,
    WorkerUnresponsive,
)

TASK = "00000000000000a1.0.0.0"
EMPTY_LIST = {"clockMs": 5, "running": [], "endedRuns": []}
CALLS = {
    "start": lambda api, incarnation: api.start(incarnation, StartRequest(TASK, 1, "work", 1, 7)),
    "stop": lambda api, incarnation: api.stop(incarnation, TASK, 1, 7),
    "speed": lambda api, incarnation: api.set_speed(incarnation, TASK, 1, 50, 7),
    "acknowledgement": lambda api, incarnation: api.poll(incarnation, 7, 3, 0, 0),
}
each_call = pytest.mark.parametrize("call", CALLS.values(), ids=CALLS.keys())


class Worker:
    """A worker in native threads; ``restart`` begins another incarnation at the same address."""

    def __init__(self):
        self.requests = []
        """The name and the body of each call, of the present incarnation."""

        self.answer_by_call = {}
        """Status and body of a call's answer, by its name, in place of an empty list."""

        self.is_silent = False
        self.answer_seconds = 0.0
        """How long each answer takes."""

        self._connections = []
        self._port = 0
        self.boot(born=1)

    def boot(self, born):
        self.born = born
        self.requests = []
        self._listener = socket.create_server(("127.0.0.1", self._port))
        self._port = self._listener.getsockname()[1]
        self._accepting = threading.Thread(target=self._accept, args=(self._listener,), daemon=True)
        self._accepting.start()

    def crash(self):
        self._listener.shutdown(socket.SHUT_RDWR)
        # Before the close: the thread could go on to accept at the next listener, which may have
        # the same file descriptor.
        self._accepting.join()
        self._listener.close()
        self.drop_connections()

    def drop_connections(self):
        for connection in self._connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        self._connections.clear()

    def restart(self, born):
        self.crash()
        self.boot(born)

    def incarnation(self, born=None):
        return WorkerIncarnation("w1", self.born if born is None else born, self.address)

    @property
    def address(self):
        return f"127.0.0.1:{self._port}"

    def _accept(self, listener):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listener.accept()
                self._connections.append(connection)
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        with contextlib.suppress(OSError, ValueError), connection:
            stream = connection.makefile("rb")
            while first := stream.readline():
                length = 0
                while line := stream.readline().strip():
                    name, _, value = line.partition(b":")
                    length = int(value) if name.lower() == b"content-length" else length
                path = first.split()[1].decode().rpartition("/")[2]
                self.requests.append((path, orjson.loads(stream.read(length))))
                if self.is_silent:
                    continue
                reply = EMPTY_LIST | {"born": self.born}
                status, reply = self.answer_by_call.get(path, (200, reply))
                body = orjson.dumps(reply)
                time.sleep(self.answer_seconds)
                head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
                connection.sendall(head.encode() + body)


@pytest.fixture
def worker():
    worker = Worker()
    yield worker
    worker.crash()


def orders(worker):
    """Return the calls that have an effect on a worker, other than on its fencing token."""
    return [
        (name, body)
        for name, body in worker.requests
        if name != "hold" or body["lastSeen"] or body.get("deadlineMs")
    ]


# Guards against TWICE: a start for an earlier incarnation was run by the next one, and ends of the
# next one were acknowledged by a poll of the earlier one.
@each_call
@pytest.mark.parametrize("had_connection", [False, True])
def test_no_call_reaches_another_incarnation(worker, call, had_connection):
    api, earlier = HttpWorkerApi(), worker.incarnation()
    if had_connection:
        call(api, earlier)
    worker.restart(born=2)
    with contextlib.suppress(WorkerUnresponsive):
        # The connection to the earlier incarnation may break under the first call.
        with pytest.raises(IncarnationReplaced):
            call(api, earlier)
        assert not orders(worker)
    with pytest.raises(IncarnationReplaced):
        call(api, earlier)
    assert not orders(worker)


@each_call
def test_a_call_reaches_the_incarnation_that_it_names(worker, call):
    api = HttpWorkerApi()
    call(api, worker.incarnation())
    call(api, worker.incarnation())
    assert len(orders(worker)) == 2
    assert len(worker.requests) == 3, "one connection, asked once whose it is"


@each_call
def test_calls_to_the_next_incarnation_use_connections_of_its_own(worker, call):
    api = HttpWorkerApi()
    call(api, worker.incarnation())
    worker.restart(born=2)
    call(api, worker.incarnation())
    assert len(orders(worker)) == 1


# Guards against TWICE: the next incarnation took starts for the earlier one, since the question
# on a new connection showed it a token that these had too.
def test_the_question_on_a_new_connection_shows_the_highest_token(worker):
    api, earlier = HttpWorkerApi(), worker.incarnation()
    api.poll(earlier, 7, 0, 0, 0)
    api.poll(earlier, 9, 0, 0, 0)
    assert len(worker.requests) == 3, "a higher token needs no new connection"
    api.poll(earlier, 7, 0, 0, 0)
    worker.restart(born=2)
    with pytest.raises((IncarnationReplaced, WorkerUnresponsive)):
        api.poll(earlier, 7, 0, 0, 0)
    with pytest.raises(IncarnationReplaced) as caught:
        api.poll(earlier, 7, 0, 0, 0)
    assert {body["fencingToken"] for _, body in worker.requests} == {9}
    assert caught.value.successor == worker.incarnation()


@each_call
def test_the_end_of_an_earlier_incarnation_leaves_the_connections_to_the_next_one(worker, call):
    api, earlier = HttpWorkerApi(), worker.incarnation()
    worker.restart(born=2)
    call(api, worker.incarnation())
    api.disconnect(earlier)
    call(api, worker.incarnation())
    assert [name for name, _ in worker.requests].count("hold") <= 3
    assert len(worker.requests) == 3, "the connection was closed with the earlier incarnation's"


@each_call
def test_an_incarnation_that_does_not_say_which_one_it_is_gets_no_call(worker, call):
    worker.answer_by_call["hold"] = (200, EMPTY_LIST)
    with pytest.raises(NotDelivered):
        call(HttpWorkerApi(), worker.incarnation())
    assert not orders(worker)


@each_call
def test_a_worker_that_never_tells_its_start_is_called(worker, call):
    worker.answer_by_call["hold"] = (200, EMPTY_LIST)
    call(HttpWorkerApi(), worker.incarnation(born=0))
    assert len(orders(worker)) == 1


# Guards against TWICE: a heartbeat of another writer without a start, under the id and the address
# of a worker, brought an incarnation whose runs were started in that of the worker.
@each_call
def test_an_incarnation_without_a_start_is_not_that_of_a_worker_that_tells_one(worker, call):
    with pytest.raises(IncarnationReplaced):
        call(HttpWorkerApi(), worker.incarnation(born=0))
    assert not orders(worker)


@each_call
def test_a_worker_that_accepts_connections_and_does_not_answer_gets_no_call(worker, call):
    worker.is_silent = True
    with pytest.raises(NotDelivered):
        call(HttpWorkerApi(), worker.incarnation())
    assert not orders(worker)


@each_call
@pytest.mark.parametrize(
    "status, reply, error",
    [
        (409, {"clockMs": 5, "reason": "fence"}, Fenced),
        (503, {"clockMs": 5}, CallRejected),
        (421, {}, IncarnationReplaced),
        (500, {}, NotDelivered),
    ],
)
def test_a_refused_question_whose_connection_it_is_refuses_the_call(
    worker, call, status, reply, error
):
    worker.answer_by_call["hold"] = (status, reply)
    with pytest.raises(error):
        call(HttpWorkerApi(), worker.incarnation())
    assert not orders(worker)


def test_a_start_on_a_connection_that_broke_is_in_doubt(worker):
    api, request = HttpWorkerApi(), StartRequest(TASK, 1, "work", 1, 7)
    assert api.start(worker.incarnation(), request) == (StartResult.STARTED, 5)
    worker.is_silent = True
    with pytest.raises(WorkerUnresponsive) as caught:
        api.start(worker.incarnation(), request)
    assert not isinstance(caught.value, NotDelivered)


# Guards against a worker that is out of use although it answers each call in time.
@each_call
@pytest.mark.parametrize("answer_seconds", [0.3, 0.75])
def test_a_worker_that_answers_within_the_timeout_of_a_call_is_used(worker, call, answer_seconds):
    worker.answer_seconds = answer_seconds
    assert answer_seconds < CALL_TIMEOUT_SECONDS
    call(HttpWorkerApi(), worker.incarnation())
    assert len(orders(worker)) == 1
