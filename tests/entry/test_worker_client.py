"""Each failure of a call maps to what is known of its outcome; uses a real socket."""

import socket
import threading

import pytest

from savoryshelf.entry.targets import OwnedTarget, ResourceDemand
from savoryshelf.entry.worker_client import (
    WorkerClient,
    WorkerRefused,
    WorkerUnreachable,
    WorkerUnresponsive,
)

from .fakes import owned

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"


@pytest.fixture
def worker():
    """Yield a worker that answers every connection with the bytes that a test sets."""
    listener = socket.create_server(("127.0.0.1", 0))
    answer = {"bytes": OK + b"whole"}

    def serve():
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            with connection:
                connection.recv(65536)
                connection.sendall(answer["bytes"])

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    answer["url"] = f"http://127.0.0.1:{listener.getsockname()[1]}"
    yield answer
    listener.close()


def target_at(url):
    each = owned("w0")
    each.worker.url = url
    return OwnedTarget(each.worker, 1, each.standing, 0.0, 10.0)


def run(url):
    client = WorkerClient("token")
    return client.run_critical(
        target_at(url), "quotes", ResourceDemand(), "r", "text/plain", b"", 1.0, ""
    )


def test_a_complete_answer_is_returned(worker):
    assert run(worker["url"]).body == b"whole"


@pytest.mark.parametrize(
    "cut", [OK + b"who", OK, b"HTTP/1.1 200", b"", b"nonsense\r\n\r\n"], ids=len
)
def test_a_truncated_answer_counts_as_no_answer(worker, cut):
    worker["bytes"] = cut
    with pytest.raises(WorkerUnresponsive):
        run(worker["url"])


def test_a_refusal_means_that_the_request_did_not_run(worker):
    worker["bytes"] = b"HTTP/1.1 503 No\r\nSavoryshelf-Not-Run: guard\r\nContent-Length: 0\r\n\r\n"
    with pytest.raises(WorkerRefused) as caught:
        run(worker["url"])
    assert caught.value.reason == "guard"


def test_a_worker_that_does_not_listen_was_not_reached():
    with pytest.raises(WorkerUnreachable):
        run("http://127.0.0.1:1")


@pytest.mark.parametrize("reply", [b"[]", b"{}", b"{", b'{"incarnation": "x"}'])
def test_an_adoption_without_a_complete_answer_fails(worker, reply):
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(reply)
    worker["bytes"] = head + reply
    with pytest.raises(WorkerUnresponsive):
        WorkerClient("token").adopt(target_at(worker["url"]), "http://e0", 10.0, 1.0)
