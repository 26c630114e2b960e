import errno
import select
import socket

import eventlet
import pytest

from savoryshelf.listener import close_listener


@pytest.fixture
def listener():
    listener = eventlet.listen(("127.0.0.1", 0))
    yield listener
    listener.close()


def test_connections_in_the_accept_queue_are_returned_with_their_bytes(listener):
    with socket.create_connection(listener.getsockname()) as caller:
        caller.sendall(b"request")
        ((accepted, address),) = close_listener(listener)
        assert address == caller.getsockname()
        assert accepted.recv(64) == b"request"
        accepted.sendall(b"response")
        caller.settimeout(1.0)
        assert caller.recv(64) == b"response"
        accepted.close()


def test_a_caller_is_refused_once_the_listener_is_closed(listener):
    address = listener.getsockname()
    assert close_listener(listener) == []
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address)


def test_a_connection_that_comes_during_the_close_is_not_reset(listener, monkeypatch):
    """The kernel ignores it until its caller tries again and is refused."""
    caller = socket.socket()
    caller.setblocking(False)
    accept = listener.accept

    def accept_after_a_caller_came():
        try:
            return accept()
        except BlockingIOError:
            caller.connect_ex(listener.getsockname())
            raise

    monkeypatch.setattr(listener, "accept", accept_after_a_caller_came)
    close_listener(listener)
    select.select([], [caller], [], 5.0)
    assert caller.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == errno.ECONNREFUSED
    caller.close()
