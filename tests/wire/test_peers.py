import contextlib
import errno
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import eventlet
import pytest
from thrift.protocol.TProtocol import TProtocolException

from savoryshelf.errors import PeerUnreachable
from savoryshelf.observability import unforeseen
from savoryshelf.wire import peers
from savoryshelf.wire.generated import ControlService, ttypes
from savoryshelf.wire.peers import (
    PeerClient,
    PeerHandler,
    PeerPool,
    PeerServer,
    compute_proof,
)

KEY = "the-cluster-key-of-tests"
DRAIN_LIMIT_SECONDS = 1.0


class Handler(PeerHandler):
    def probe(self):
        self.require_authenticated()
        return ttypes.ProbeReply("c0.disk", None)

    def view(self, name, argument):
        self.require_authenticated()
        raise ttypes.Refused(name, argument)

    def job(self, team, job_id, wait_seconds):
        self.require_authenticated()
        eventlet.sleep(wait_seconds)
        return ttypes.JobView(job_id=job_id)


@contextlib.contextmanager
def running_server(address="127.0.0.1:0"):
    """Yield a server, and a function that drains it and returns once it has closed.

    The server runs in a native thread with its own eventlet hub.
    """
    started, stopping, servers = threading.Event(), threading.Event(), []

    def run():
        servers.append(PeerServer(ControlService, address, lambda: Handler(KEY)))
        started.set()
        while not stopping.is_set():
            eventlet.sleep(0.01)
        servers[0].drain(DRAIN_LIMIT_SECONDS)

    def drain():
        stopping.set()
        thread.join()

    thread = threading.Thread(target=run)
    thread.start()
    started.wait()
    yield servers[0], drain
    drain()


@pytest.fixture
def server():
    with running_server() as (server, _):
        yield server


def test_a_peer_with_the_cluster_key_is_served(server):
    client = PeerClient(ControlService, server.address, KEY)
    assert client.call("probe").replica_id == "c0.disk"
    client.close()


# Guards against a host that no peer can reach any more, though its process goes on: one accept
# that failed, for example for want of a file descriptor, ended the thread that accepts.
def test_a_server_goes_on_after_an_accept_that_fails(server, monkeypatch):
    accept, failures = server._listener.accept, [OSError(errno.EMFILE, "too many open files")]

    def fail_once():
        if failures:
            raise failures.pop()
        return accept()

    monkeypatch.setattr(server._listener, "accept", fail_once)
    for _ in range(3):
        client = PeerClient(ControlService, server.address, KEY)
        assert client.call("probe", timeout=1.0, total_timeout=2.0).replica_id == "c0.disk"
        client.close()
    assert not failures


def test_a_server_goes_on_after_a_connection_that_is_reset_at_once(server, monkeypatch):
    set_options, failures = peers.set_socket_options, [OSError(errno.EINVAL, "reset")]

    def fail_once(connection):
        if failures and threading.current_thread() is not threading.main_thread():
            raise failures.pop()
        set_options(connection)

    monkeypatch.setattr(peers, "set_socket_options", fail_once)
    client = PeerClient(ControlService, server.address, KEY)
    with pytest.raises(PeerUnreachable):
        client.call("probe", timeout=1.0, total_timeout=2.0)
    assert client.call("probe", timeout=1.0, total_timeout=2.0).replica_id == "c0.disk"
    client.close()


# Guards against the same after an error that nobody has foreseen, also while a connection begins.
@pytest.mark.parametrize("place", ["accept", "handler"])
def test_a_server_goes_on_after_an_unforeseen_error(server, monkeypatch, place):
    lines, failures = [], [RuntimeError("unforeseen")]
    monkeypatch.setattr(unforeseen, "log_event", lambda event, **fields: lines.append(fields))
    owner, name = {
        "accept": (server._listener, "accept"),
        "handler": (server, "_make_handler"),
    }[place]
    original = getattr(owner, name)

    def fail_once():
        if failures:
            raise failures.pop()
        return original()

    monkeypatch.setattr(owner, name, fail_once)
    for _ in range(3):
        client = PeerClient(ControlService, server.address, KEY)
        with contextlib.suppress(PeerUnreachable):
            client.call("probe", timeout=1.0, total_timeout=2.0)
        client.close()
    client = PeerClient(ControlService, server.address, KEY)
    assert client.call("probe", timeout=1.0, total_timeout=2.0).replica_id == "c0.disk"
    client.close()
    assert not failures
    (line,) = lines
    assert line["activity"] == "accept connections of peers"
    assert line["error"] == "RuntimeError('unforeseen')"
    assert "fail_once:" in line["stack"][0]


def test_a_peer_with_another_cluster_key_is_rejected(server):
    client = PeerClient(ControlService, server.address, "another-key-of-16-chars")
    with pytest.raises(PeerUnreachable) as caught:
        client.call("probe")
    assert not caught.value.sent


def test_a_peer_that_skips_the_challenge_is_rejected():
    handler = Handler(KEY)
    with pytest.raises(ttypes.Unauthenticated):
        handler.probe()


def test_a_proof_is_valid_only_on_its_own_connection():
    """A recorded proof must not authenticate another connection (replay)."""
    first, second = Handler(KEY), Handler(KEY)
    proof = compute_proof(KEY, first.hello())
    first.authenticate(proof)
    with pytest.raises(ttypes.Unauthenticated):
        second.authenticate(proof)


class InterruptedClient:
    """A thrift client whose call is interrupted before the reply is read."""

    def probe(self):
        raise eventlet.Timeout(None)


def test_a_connection_is_closed_after_an_interrupted_call(server):
    """The late reply of an interrupted call must not be read as that of the next call."""
    client = PeerClient(ControlService, server.address, KEY)
    client.call("probe")
    thrift_client, client._client = client._client, InterruptedClient()
    with pytest.raises(eventlet.Timeout):
        client.call("probe")
    client._client = thrift_client
    assert not client._transport.isOpen()
    assert client.call("probe").replica_id == "c0.disk"
    client.close()


def test_a_declared_exception_leaves_the_connection_open(server):
    client = PeerClient(ControlService, server.address, KEY)
    with pytest.raises(ttypes.Refused):
        client.call("view", "refused", "")
    assert client._transport.isOpen()
    client.close()


def test_a_call_to_a_closed_port_is_reported_as_not_sent():
    client = PeerClient(ControlService, "127.0.0.1:1", KEY)
    with pytest.raises(PeerUnreachable) as caught:
        client.call("probe")
    assert not caught.value.sent


def test_the_total_timeout_covers_a_connection_that_is_not_answered():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = PeerClient(ControlService, "{}:{}".format(*listener.getsockname()), KEY)
        started = time.monotonic()
        with pytest.raises(PeerUnreachable) as caught:
            client.call("probe", total_timeout=0.2)
    assert not caught.value.sent
    assert time.monotonic() - started < 0.4


def test_the_total_timeout_covers_the_call(server):
    client = PeerClient(ControlService, server.address, KEY)
    started = time.monotonic()
    with pytest.raises(PeerUnreachable) as caught:
        client.call("job", "team", "job-1", 2.0, total_timeout=0.3)
    assert caught.value.sent
    assert time.monotonic() - started < 0.5


def call_during_drain(call_seconds):
    """Return the call's future, and the seconds that the drain took."""
    with running_server() as (server, drain), ThreadPoolExecutor() as pool:
        client = PeerClient(ControlService, server.address, KEY)
        client.call("probe")
        call = pool.submit(client.call, "job", "team", "job-1", call_seconds)
        time.sleep(0.2)
        started = time.monotonic()
        drain()
        seconds = time.monotonic() - started
        call.exception()
        client.close()
    return call, seconds


def test_a_drain_waits_for_calls_in_progress():
    call, _ = call_during_drain(call_seconds=0.6)
    assert call.result().job_id == "job-1"


def test_a_drain_cuts_off_a_call_at_its_limit():
    call, seconds = call_during_drain(call_seconds=10.0)
    assert call.exception().sent
    assert DRAIN_LIMIT_SECONDS <= seconds < 5.0


def test_a_call_after_the_other_process_has_restarted_uses_a_new_connection():
    with running_server() as (server, drain):
        client = PeerClient(ControlService, server.address, KEY)
        client.call("probe")
        drain()
        with running_server(server.address):
            assert client.call("probe").replica_id == "c0.disk"
            client.close()


class SilencedClient:
    """A client whose open connection gets no answer once ``silent`` holds it; new ones do."""

    silent = frozenset()

    def __init__(self):
        self.is_open = False

    def call(self, method, **timeouts):
        if self.is_open and self in SilencedClient.silent:
            self.close()
            raise PeerUnreachable("a:1", "timed out", sent=True)
        self.is_open = True
        eventlet.sleep(0.01)
        return "answer"

    def close(self):
        self.is_open = False


# Guards against a leader that is back from a power loss and costs each idle connection a timeout.
def test_one_silent_connection_closes_the_idle_ones_of_its_pool(monkeypatch):
    pool = PeerPool(ControlService, "a:1", KEY)
    made = []
    pool._create_client = lambda: made.append(SilencedClient()) or made[-1]
    threads = [eventlet.spawn(pool.call, "probe") for _ in range(4)]
    assert [thread.wait() for thread in threads] == ["answer"] * 4
    monkeypatch.setattr(SilencedClient, "silent", frozenset(made))
    with pytest.raises(PeerUnreachable):
        pool.call("probe")
    threads = [eventlet.spawn(pool.call, "probe") for _ in range(4)]
    assert [thread.wait() for thread in threads] == ["answer"] * 4


# Guards against new connections to a leader that is slow, for each call that times out there.
def test_a_connection_that_was_answered_since_the_failed_call_began_stays_open(monkeypatch):
    pool = PeerPool(ControlService, "a:1", KEY)
    made = []
    pool._create_client = lambda: made.append(SilencedClient()) or made[-1]
    threads = [eventlet.spawn(pool.call, "probe") for _ in range(2)]
    assert [thread.wait() for thread in threads] == ["answer"] * 2

    def time_out(method, **timeouts):
        eventlet.sleep(0.05)
        raise PeerUnreachable("a:1", "timed out", sent=True)

    slow, working = made[1], made[0]
    monkeypatch.setattr(slow, "call", time_out, raising=False)
    failing = eventlet.spawn(pool.call, "probe")
    eventlet.sleep(0.01)
    assert pool.call("probe") == "answer"
    with pytest.raises(PeerUnreachable):
        failing.wait()
    assert working.is_open


# Guards against a host that ends by itself: the error of an odd address in its list of peers was
# none that its activities expect.
@pytest.mark.parametrize(
    "host",
    ["a\x00b", "\u00e9" * 80, "a..b", "x" * 300, "a\nb", "", "[::1"],
    ids=lambda h: repr(h[:5]),
)
@pytest.mark.parametrize("port", [99999, 10**30, 0], ids=lambda port: str(port)[:6])
def test_an_odd_address_is_an_unreachable_peer(host, port):
    with pytest.raises(PeerUnreachable) as raised:
        PeerClient(ControlService, f"{host}:{port}", KEY).call("probe", timeout=1.0)
    assert not raised.value.sent


# Guards against a host that ends by itself after a reply that is no message: random changes of
# a reply raised each of these errors in the decoder.
@pytest.mark.parametrize(
    "error",
    [
        TProtocolException(), EOFError(), TypeError(), OverflowError(), KeyError(1),
        UnicodeDecodeError("utf-8", b"\xff", 0, 1, "odd"),
    ],
    ids=repr,
)  # fmt: skip
def test_a_reply_that_is_no_message_is_an_unreachable_peer(server, monkeypatch, error):
    client = PeerClient(ControlService, server.address, KEY)
    client.call("probe")

    def fail():
        raise error

    # The call is sent as usual.
    monkeypatch.setattr(client._client, "recv_probe", fail)
    with pytest.raises(PeerUnreachable) as raised:
        client.call("probe")
    assert raised.value.sent
    monkeypatch.undo()
    assert client.call("probe").replica_id == "c0.disk"


# What this process cannot send is its own fault, and no other address can help.
def test_a_call_that_cannot_be_encoded_is_no_unreachable_peer(server):
    client = PeerClient(ControlService, server.address, KEY)
    with pytest.raises((TypeError, OverflowError)):
        client.call("job", "team", "job", "a text")


# Guards against new connections, three round trips each, to a leader that is well: a call with
# little time left gave up before an answer could have come.
@pytest.mark.parametrize("limit", ["timeout", "total_timeout"])
def test_a_call_with_little_time_keeps_the_idle_connections(monkeypatch, limit):
    pool = PeerPool(ControlService, "a:1", KEY)
    made = []
    pool._create_client = lambda: made.append(SilencedClient()) or made[-1]
    threads = [eventlet.spawn(pool.call, "probe") for _ in range(4)]
    assert [thread.wait() for thread in threads] == ["answer"] * 4
    monkeypatch.setattr(SilencedClient, "silent", frozenset(made))
    with pytest.raises(PeerUnreachable):
        pool.call("probe", **{limit: 0.02})
    assert sum(client.is_open for client in made) == 3
