"""Calls to workers over HTTP, as far as their failure says whether the call arrived."""

import socket
import threading

import pytest
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
