"""The server runs in this process's hub; clients are native sockets, which never yield to it."""

import errno
import select
import socket
import time
import types

import eventlet
import pytest
from eventlet.event import Event

from savoryshelf import http_server
from savoryshelf.http_server import HttpServer
from savoryshelf.observability import unforeseen

from .loop_time import counting_loop_time
from .virtual_time import own_hub

REQUEST = b"POST /path HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
LIMIT_SECONDS = 5.0


class Application:
    """Answers each request with its body after ``seconds``, and once ``hold`` has returned.

    ``hold`` is called with the number of the request.
    """

    def __init__(self):
        self.seconds = 0.0
        self.hold = lambda number: None
        self.started = 0

    def __call__(self, environ, start_response):
        self.started += 1
        number = self.started
        body = environ["wsgi.input"].read(2)
        eventlet.sleep(self.seconds)
        self.hold(number)
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]


@pytest.fixture(autouse=True)
def hub():
    """Run each test without the green threads that others have left in the process."""
    with own_hub() as hub:
        yield hub


@pytest.fixture
def application():
    return Application()


@pytest.fixture
def server(application):
    return HttpServer("127.0.0.1:0", application, idle_seconds=30.0)


@pytest.fixture
def events(monkeypatch):
    logged = []
    monkeypatch.setattr(
        http_server, "log_event", lambda event, **fields: logged.append((event, fields))
    )
    return logged


def connect(server):
    host, _, port = server.address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=LIMIT_SECONDS)


def let_server_run():
    """Give the server enough turns for all that has arrived, however long they take."""
    eventlet.sleep(0.05)
    for _ in range(20):
        eventlet.sleep(0)


def received(client):
    """Return all bytes up to the end of the connection."""
    data = b""
    while chunk := client.recv(4096):
        data += chunk
    return data


def is_complete_final_response(data):
    head, _, body = data.partition(b"\r\n\r\n")
    return head.startswith(b"HTTP/1.1 200") and b"Connection: close" in head and body == b"hi"


def test_a_request_in_progress_is_answered_before_the_server_ends(server, application):
    release = Event()
    application.hold = lambda number: release.wait()
    client = connect(server)
    client.sendall(REQUEST)
    let_server_run()
    assert server.in_progress == 1
    eventlet.spawn_after(0.3, release.send, None)
    assert server.drain(0.0, LIMIT_SECONDS) == 0
    assert is_complete_final_response(received(client))


# Guards against a request that eventlet's own stop would execute without answering it.
def test_a_request_that_arrived_unread_on_an_open_connection_is_answered(server, application):
    client = connect(server)
    client.sendall(REQUEST)
    let_server_run()
    assert client.recv(4096).endswith(b"hi")
    client.sendall(REQUEST)
    assert server.drain(0.0, LIMIT_SECONDS) == 0
    assert application.started == 2
    assert is_complete_final_response(received(client))


def test_a_request_on_a_connection_that_is_not_accepted_yet_is_answered(server):
    let_server_run()
    client = connect(server)
    client.sendall(REQUEST)
    assert server.drain(0.0, LIMIT_SECONDS) == 0
    assert is_complete_final_response(received(client))


def test_a_request_whose_headers_are_still_arriving_is_answered(server):
    client = connect(server)
    client.sendall(REQUEST[:30])
    let_server_run()
    eventlet.spawn_after(0.2, client.sendall, REQUEST[30:])
    assert server.drain(0.0, LIMIT_SECONDS) == 0
    assert is_complete_final_response(received(client))


def test_connections_are_accepted_during_the_announcement(server):
    clients = []

    def send_request():
        clients.append(connect(server))
        clients[0].sendall(REQUEST)

    eventlet.spawn_after(0.2, send_request)
    assert server.drain(0.5, LIMIT_SECONDS) == 0
    assert is_complete_final_response(received(clients[0]))


def test_a_draining_server_closes_a_connection_after_its_response(server):
    draining = eventlet.spawn(server.drain, 1.0, LIMIT_SECONDS)
    client = connect(server)
    client.sendall(REQUEST)
    let_server_run()
    client.settimeout(0.1)
    assert is_complete_final_response(received(client))
    assert not draining.dead
    draining.wait()


# Guards against a caller that has connected just before, and whose request is on its way.
def test_the_first_request_of_a_new_connection_may_follow_its_opening(server):
    with counting_loop_time() as loop_time:
        server.clock = types.SimpleNamespace(monotonic=lambda: loop_time.seconds)
        client = connect(server)
        eventlet.spawn_after(0.1, client.sendall, REQUEST)
        assert server.drain(0.0, LIMIT_SECONDS) == 0
    assert is_complete_final_response(received(client))


def test_idle_connections_are_closed_when_the_announcement_ends(server, events):
    client = connect(server)
    let_server_run()
    server.drain(0.0, LIMIT_SECONDS)
    assert received(client) == b""
    assert events[-1][0] == "server:drained"
    assert events[-1][1]["seconds"] < 1.0


def test_a_request_that_outlasts_the_limit_is_counted_and_logged(server, application, events):
    application.seconds = 60.0
    client = connect(server)
    client.sendall(REQUEST)
    let_server_run()
    assert server.drain(0.0, 0.3) == 1
    cut = dict(events)["request:cut_off"]
    assert cut["request"] == "POST /path HTTP/1.1"
    assert 0.3 <= cut["age_s"] < 2.0


def test_no_connection_is_accepted_after_the_server_has_drained(server):
    server.drain(0.0, LIMIT_SECONDS)
    with pytest.raises(ConnectionRefusedError):
        connect(server)


def test_a_connection_that_comes_as_the_server_stops_accepting_is_not_reset(server, monkeypatch):
    """Its caller must learn that the request did not run."""
    host, _, port = server.address.rpartition(":")
    caller = socket.socket()
    caller.setblocking(False)
    listener_close = server._listener.close

    def close_after_a_caller_came():
        caller.connect_ex((host, int(port)))
        listener_close()

    monkeypatch.setattr(server._listener, "close", close_after_a_caller_came)
    server.drain(0.0, LIMIT_SECONDS)
    select.select([], [caller], [], LIMIT_SECONDS)
    assert caller.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == errno.ECONNREFUSED
    caller.close()


def test_a_connection_beyond_the_maximum_is_served_by_a_drain(application):
    application.seconds = 0.3
    server = HttpServer("127.0.0.1:0", application, idle_seconds=30.0, max_connections=1)
    clients = [connect(server) for _ in range(3)]
    for client in clients:
        client.sendall(REQUEST)
    let_server_run()
    assert server.drain(0.0, LIMIT_SECONDS) == 0
    assert all(is_complete_final_response(received(client)) for client in clients)


def test_waiting_until_answered_covers_what_has_arrived_and_serves_later_requests(
    server, application
):
    unaccepted, later = connect(server), []
    unaccepted.sendall(REQUEST)
    is_later_served, release = Event(), Event()

    def hold(number):
        if number == 1:
            # By then the server waits for what had arrived.
            eventlet.sleep(0.2)
            later.append(connect(server))
            later[0].sendall(REQUEST)
            is_later_served.wait()
        else:
            is_later_served.send(None)
            release.wait()

    application.hold = hold
    with eventlet.Timeout(LIMIT_SECONDS):
        server.wait_until_answered(2 * LIMIT_SECONDS)
    assert unaccepted.recv(4096).endswith(b"hi")
    assert server.in_progress == 1
    release.send(None)
    server.drain(0.0, LIMIT_SECONDS)
    assert is_complete_final_response(received(later[0]))


def test_waiting_until_answered_ends_at_its_limit(server, application):
    application.seconds = 60.0
    connect(server).sendall(REQUEST)
    let_server_run()
    with eventlet.Timeout(LIMIT_SECONDS):
        server.wait_until_answered(0.2)
    assert server.in_progress == 1


# Guards against a server that looks without a pause for callers that it cannot accept.
def test_waiting_until_answered_leaves_the_processor_idle_at_the_maximum_of_connections(
    application, hub, monkeypatch
):
    looks, waits = [], []
    server = HttpServer("127.0.0.1:0", application, idle_seconds=30.0, max_connections=1)
    clients = [connect(server) for _ in range(3)]
    let_server_run()
    count_calls(monkeypatch, http_server, "_is_readable", looks)
    count_calls(monkeypatch, hub, "wait", waits)
    used_before = time.thread_time()
    server.wait_until_answered(1.0)
    assert time.thread_time() - used_before < 0.3
    # A busy machine leaves little processor time even to a loop without a pause.
    looks_at_callers = [each for each in looks if each == (server._listener,)]
    assert 0 < len(looks_at_callers) <= 1.0 / http_server.DRAIN_POLL_SECONDS + 1
    # The hub may wake up a little early, and waits once more then.
    assert len(waits) <= 3 * len(looks_at_callers)
    assert len(clients) == 3


def count_calls(monkeypatch, owner, name, calls):
    real = getattr(owner, name)

    def call(*arguments):
        calls.append(arguments)
        return real(*arguments)

    monkeypatch.setattr(owner, name, call)


# Guards against a process that goes on and that no caller can reach any more: its thread that
# accepts ended, or used up its slots, by an error that nobody has foreseen.
@pytest.mark.parametrize("place", ["accept", "connection"])
def test_a_server_goes_on_after_unforeseen_errors(application, monkeypatch, place):
    lines = []
    monkeypatch.setattr(unforeseen, "log_event", lambda event, **fields: lines.append(fields))
    server = HttpServer("127.0.0.1:0", application, idle_seconds=30.0, max_connections=2)
    failures = [RuntimeError("unforeseen") for _ in range(3)]
    owner, name = {
        "accept": (server._listener, "accept"),
        "connection": (http_server, "_Connection"),
    }[place]
    original = getattr(owner, name)

    def fail_first(*arguments):
        if failures:
            raise failures.pop()
        return original(*arguments)

    monkeypatch.setattr(owner, name, fail_first)
    for _ in range(3):
        # The first two may be closed without an answer.
        client = connect(server)
        client.sendall(REQUEST)
        eventlet.sleep(0.3)
        client.close()
    with connect(server) as client:
        client.sendall(REQUEST)
        eventlet.sleep(0.3)
        assert client.recv(4096).startswith(b"HTTP/1.1 200")
    assert not failures
    (line,) = lines
    assert line["activity"] == "accept connections"
    assert "fail_first:" in line["stack"][0]
