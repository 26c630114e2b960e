"""Links between hosts delay, cut in one or both directions, go half-open, and heal."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import threading
import time

import pytest

from standins.links import (
    KEEPALIVE_SECONDS,
    ROOT,
    USER_TIMEOUT_SECONDS,
    Links,
    _Connection,
    _End,
    _Way,
    ways_between,
)
from standins.site import loopback_address

PORT = 7720
DELAY_SECONDS = 0.1
SHORT_SECONDS = 0.4
"""A wait that is longer than one round trip and shorter than a time-out."""

SLACK_SECONDS = 1.0
"""How much later than due something may happen on a busy machine."""


class Echo:
    """A host that sends back what it gets; it can end as a process that is killed does."""

    def __init__(self, ip):
        self.listener = socket.create_server((ip, PORT))
        self.received, self.connections, self.ended_count = [], [], 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                self.connections.append(self.listener.accept()[0])
                threading.Thread(target=self._answer, args=(self.connections[-1],)).start()

    def _answer(self, connection):
        with contextlib.suppress(OSError):
            while data := connection.recv(100):
                self.received.append(data)
                connection.sendall(data)
        self.ended_count += 1

    def kill(self):
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for connection in self.connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
            connection.close()


class Pair:
    """Two hosts and the links between them."""

    def __init__(self, folder):
        self.a, self.b = loopback_address(), loopback_address()
        self.folder, ips = folder, [self.a, self.b]
        self.links = Links(folder, ips, ips, [PORT], lambda source, target: DELAY_SECONDS)
        self.echo = Echo(self.b)

    def connect(self, seconds=SHORT_SECONDS):
        """Connect from the first host to the second."""
        ports = json.loads((self.folder / f"{self.a}.links").read_text())
        address = self.b, ports[f"{self.b}:{PORT}"]
        return socket.create_connection(address, seconds)

    def close(self):
        self.echo.kill()
        self.links.close()


@pytest.fixture
def pair(tmp_path):
    made = Pair(tmp_path)
    yield made
    made.close()


def ask(connection, seconds=2 * SLACK_SECONDS, data=b"x"):
    """Send bytes; return the answer and the seconds it took."""
    connection.settimeout(seconds)
    began_at = time.monotonic()
    connection.sendall(data)
    return connection.recv(100), time.monotonic() - began_at


def wait_for_end(connection, seconds):
    """Return the seconds until a connection ends."""
    began_at = time.monotonic()
    connection.settimeout(seconds)
    with contextlib.suppress(ConnectionError):
        assert connection.recv(100) == b""
    return time.monotonic() - began_at


def wait_for_echo_to_get(pair, data):
    """Wait until a thread of this process, which may have no turn for a while, has read it."""
    deadline = time.monotonic() + 2 * SLACK_SECONDS
    while data not in pair.echo.received:
        assert time.monotonic() < deadline
        time.sleep(0.01)


def test_each_direction_has_its_delay(pair):
    with pair.connect() as connection:
        ask(connection)
        answer, seconds = ask(connection)
    assert answer == b"x"
    assert 2 * DELAY_SECONDS <= seconds < 2 * DELAY_SECONDS + SLACK_SECONDS


def test_a_cut_holds_bytes_and_requests_to_connect_until_it_is_healed(pair):
    with pair.connect() as connection:
        ask(connection)
        with pair.links.are_cut(ways_between([pair.a], [pair.b])):
            with pytest.raises(TimeoutError):
                ask(connection, SHORT_SECONDS, b"held")
            with pytest.raises(TimeoutError):
                pair.connect()
            assert b"held" not in pair.echo.received
        connection.settimeout(USER_TIMEOUT_SECONDS + SLACK_SECONDS)
        assert connection.recv(100) == b"held"
        with pair.connect() as other:
            assert ask(other)[0] == b"x"


def test_a_connection_ends_when_its_bytes_are_held_for_too_long(pair):
    with pair.connect() as connection:
        ask(connection)
        pair.links.cut(ways_between([pair.a], [pair.b]))
        connection.sendall(b"lost")
        seconds = wait_for_end(connection, USER_TIMEOUT_SECONDS + SLACK_SECONDS)
        assert seconds >= USER_TIMEOUT_SECONDS - 0.1
        pair.links.heal(ways_between([pair.a], [pair.b]))
        assert b"lost" not in pair.echo.received


def test_an_idle_connection_ends_when_its_probes_are_not_answered(pair):
    with pair.connect() as connection:
        ask(connection)
        with pair.links.are_cut(ways_between([pair.a], [pair.b])):
            seconds = wait_for_end(connection, KEEPALIVE_SECONDS + 2 * SLACK_SECONDS)
    assert seconds >= KEEPALIVE_SECONDS - 0.1


def test_a_way_that_is_cut_twice_is_open_once_both_are_healed(pair):
    ways = ways_between([pair.a], [pair.b])
    with pair.links.are_cut(ways):
        with pair.links.are_cut(ways):
            pass
        with pytest.raises(TimeoutError):
            pair.connect()
    pair.connect().close()
    with pair.links.are_cut([(pair.a, "127.0.0.1")]):
        pair.connect().close()
    assert len(pair.links.cuts) == 2 == len(pair.links.cuts_between(pair.a, [pair.b]))
    assert all(until - since >= SHORT_SECONDS for _, since, until in pair.links.cuts)


def test_one_way_bytes_pass_in_the_other_direction_only(pair):
    with pair.connect() as connection:
        ask(connection)
        (called,) = pair.echo.connections
        with pair.links.are_cut([(pair.a, pair.b)]):
            connection.sendall(b"held")
            called.sendall(b"passes")
            connection.settimeout(SLACK_SECONDS)
            assert connection.recv(100) == b"passes"
            time.sleep(SHORT_SECONDS)
            assert b"held" not in pair.echo.received
    with pair.connect() as connection:
        ask(connection)
        with pair.links.are_cut([(pair.b, pair.a)]):
            connection.sendall(b"heard")
            wait_for_echo_to_get(pair, b"heard")
            with pytest.raises(TimeoutError):
                connection.settimeout(SHORT_SECONDS)
                connection.recv(100)
            # Nothing acknowledges what arrived.
            seconds = wait_for_end(connection, USER_TIMEOUT_SECONDS + SLACK_SECONDS)
            assert seconds >= USER_TIMEOUT_SECONDS - 2 * SHORT_SECONDS


@pytest.mark.parametrize("way", [0, 1], ids=["to the host", "from the host"])
def test_nobody_connects_over_a_link_that_is_cut_one_way(pair, way):
    cut = pair.links.are_cut([ways_between([pair.a], [pair.b])[way]])
    with cut, pytest.raises(TimeoutError):
        pair.connect()
    pair.connect().close()


def test_a_connection_is_half_open_after_its_host_lost_power(pair):
    with pair.connect() as connection:
        ask(connection)
        dark = pair.links.lose_power([pair.b])
        pair.echo.kill()
        with pytest.raises(TimeoutError):
            connection.settimeout(SHORT_SECONDS)
            connection.recv(100)
        pair.echo = Echo(pair.b)
        pair.links.heal(dark)
        with pytest.raises(TimeoutError):
            ask(connection, SHORT_SECONDS, b"into nothing")
        with pair.connect() as other:
            assert ask(other)[0] == b"x"
        seconds = wait_for_end(connection, USER_TIMEOUT_SECONDS + SLACK_SECONDS)
        assert seconds >= USER_TIMEOUT_SECONDS - 4 * SHORT_SECONDS
        assert pair.echo.received == [b"x"]


def test_a_process_that_is_killed_alone_resets_or_ends_its_connections(pair):
    with pair.connect() as connection:
        ask(connection)
        pair.echo.kill()
        assert wait_for_end(connection, SLACK_SECONDS) < SLACK_SECONDS
        assert wait_for_end(pair.connect(), SLACK_SECONDS) < SLACK_SECONDS


def reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    # Ends a blocked read, which would hold up the reset.
    connection.shutdown(socket.SHUT_RD)
    connection.close()


def wait_for_echo_to_end(pair):
    deadline = time.monotonic() + USER_TIMEOUT_SECONDS + SLACK_SECONDS
    while pair.echo.ended_count < len(pair.echo.connections):
        assert time.monotonic() < deadline
        time.sleep(0.02)


# Guards against a host that takes connections for open that the other host has reset.
def test_a_reset_reaches_the_other_host(pair):
    connection = pair.connect()
    ask(connection)
    reset(connection)
    wait_for_echo_to_end(pair)
    with pair.connect() as connection:
        ask(connection)
        reset(pair.echo.connections[-1])
        assert wait_for_end(connection, SLACK_SECONDS) < SLACK_SECONDS


# Guards against relays that fail when a connection was reset before they had passed it on.
def test_a_connection_that_was_reset_before_it_is_relayed_ends():
    async def relay():
        ends, others = [], []
        for ip in ("a", "b"):
            with socket.create_server(("127.0.0.1", 0)) as listener:
                others.append(socket.create_connection(listener.getsockname()))
                streams = await asyncio.open_connection(sock=listener.accept()[0])
            ends.append(_End(ip, _Way(0.0), *streams))
        reset(others[0])
        await asyncio.sleep(DELAY_SECONDS)
        async with asyncio.timeout(SLACK_SECONDS):
            await _Connection(*ends).run()
        return wait_for_end(others[1], SLACK_SECONDS)

    assert asyncio.run(relay()) < SLACK_SECONDS


def test_a_process_of_relays_that_does_not_run_is_on_record(pair):
    assert pair.links.standstills() == []
    process = pair.links._process
    process.send_signal(signal.SIGSTOP)
    time.sleep(SLACK_SECONDS)
    process.send_signal(signal.SIGCONT)
    time.sleep(SHORT_SECONDS)
    ((since, until),) = pair.links.standstills()
    assert SLACK_SECONDS / 2 < until - since < 2 * SLACK_SECONDS


CALL = """
import {module}
{prepare}
import socket, sys
with socket.create_connection((sys.argv[1], int(sys.argv[2])), 5) as connection:
    connection.sendall(b"x")
    assert connection.recv(100) == b"x"
"""


@pytest.mark.parametrize(
    ("module", "prepare"), [("socket", ""), ("eventlet", "eventlet.monkey_patch()")]
)
def test_a_program_calls_over_its_links_unchanged(pair, module, prepare):
    command = [sys.executable, "-c", CALL.format(module=module, prepare=prepare)]
    environment = os.environ | pair.links.environment(pair.a)
    call = [*command, pair.b, str(PORT)]
    subprocess.run(call, cwd=ROOT, env=environment, check=True)
    with pair.links.are_cut(ways_between([pair.a], [pair.b])):
        assert subprocess.run(call, cwd=ROOT, env=environment, capture_output=True).returncode
