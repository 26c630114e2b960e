"""Calls to workers over HTTP, as far as their failure says whether the call arrived."""

import socket
import struct
import threading

import pytest
from savoryshelf_platform import workers
from savoryshelf_platform.workers import HttpWorkerApi

from savoryshelf.dispatch.worker_api import (
    NotDelivered,
    StartRequest,
    WorkerIncarnation,
    WorkerUnresponsive,
)

from .requests import read_request

LIST = b'{"clockMs":5,"running":[],"endedRuns":[],"born":1}'
IDENTITY = b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%s" % (len(LIST), LIST)
REQUEST = StartRequest("00000000000000a1.0.0.0", 1, "work", 0, 1, "")


@pytest.fixture
def listener():
    # Not a green one: calls block the whole process here, so others answer in native threads.
    listening = socket.create_server(("127.0.0.1", 0))
    yield listening
    listening.close()


def incarnation(listening):
    return WorkerIncarnation("w1", 1, f"127.0.0.1:{listening.getsockname()[1]}")


def test_a_refused_connection_means_that_the_call_did_not_arrive(listener):
    """Guards against LOST: a start that the worker did not get counted as cause of its crash."""
    worker = incarnation(listener)
    listener.close()
    with pytest.raises(NotDelivered):
        HttpWorkerApi().start(worker, REQUEST)


# Guards against TWICE: a worker without connections was taken for one that has exited.
def test_a_connection_that_times_out_says_as_much_as_one_that_is_refused(listener, monkeypatch):
    monkeypatch.setattr(workers, "CONNECT_TIMEOUT_SECONDS", 0.05)
    monkeypatch.setattr(workers, "IDENTIFY_TIMEOUT_SECONDS", 0.05)
    worker, api = incarnation(listener), HttpWorkerApi()
    listener.listen(0)
    # Once the queue is full, the opening packet is dropped, as behind a cut.
    queued = [socket.socket() for _ in range(3)]
    for each in queued:
        each.setblocking(False)
        each.connect_ex(listener.getsockname())
    with pytest.raises(NotDelivered, match="timed out") as timed_out:
        api.start(worker, REQUEST)
    listener.close()
    for each in queued:
        each.close()
    with pytest.raises(NotDelivered, match="refused") as refused:
        api.start(worker, REQUEST)
    assert timed_out.type is refused.type is NotDelivered


def close_before_the_answer(listener, requests_answered):
    connection, _ = listener.accept()
    for _ in range(requests_answered):
        read_request(connection)
        connection.sendall(IDENTITY)
    read_request(connection)
    connection.close()


def test_a_connection_that_closes_before_it_is_identified_does_not_carry_the_call(listener):
    """Guards against a worker that is asked to stop a run that it was never told to start."""
    threading.Thread(target=close_before_the_answer, args=(listener, 0)).start()
    with pytest.raises(NotDelivered):
        HttpWorkerApi().start(incarnation(listener), REQUEST)


def test_a_connection_that_closes_before_the_answer_leaves_the_call_in_doubt(listener):
    threading.Thread(target=close_before_the_answer, args=(listener, 1)).start()
    with pytest.raises(WorkerUnresponsive) as caught:
        HttpWorkerApi().start(incarnation(listener), REQUEST)
    assert not isinstance(caught.value, NotDelivered)


@pytest.mark.parametrize("is_reset", [False, True])
def test_a_connection_that_is_reset_or_silent_leaves_the_call_in_doubt(
    listener, monkeypatch, is_reset
):
    monkeypatch.setattr(workers, "CALL_TIMEOUT_SECONDS", 0.2)
    held = []

    def serve():
        connection, _ = listener.accept()
        held.append(connection)
        read_request(connection)
        connection.sendall(IDENTITY)
        read_request(connection)
        if is_reset:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            connection.close()

    threading.Thread(target=serve).start()
    with pytest.raises(WorkerUnresponsive) as caught:
        HttpWorkerApi().start(incarnation(listener), REQUEST)
    assert not isinstance(caught.value, NotDelivered)
    held[0].close()
