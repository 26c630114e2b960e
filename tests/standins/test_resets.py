"""All connections of a process are reset while it goes on."""

import contextlib
import os
import signal
import socket
import subprocess
import sys
import time

import pytest

from standins.resets import hook_environment, reset_connections
from standins.site import loopback_address

PORT = 7720
SLACK_SECONDS = 3.0

SERVER = """
import sys

import eventlet

eventlet.monkey_patch()


def answer(connection, _):
    while data := connection.recv(100):
        connection.sendall(data)


eventlet.serve(eventlet.listen((sys.argv[1], int(sys.argv[2]))), answer)
"""


@contextlib.contextmanager
def running_server(ip, environment):
    """Run a process that sleeps in eventlet's hub until somebody sends something."""
    command = [sys.executable, "-W", "ignore", "-c", SERVER, ip, str(PORT)]
    process = subprocess.Popen(command, env=os.environ | environment)
    try:
        yield process
    finally:
        process.kill()
        process.wait(10)


def connect(ip):
    deadline = time.monotonic() + 10.0
    while True:
        try:
            return socket.create_connection((ip, PORT), SLACK_SECONDS)
        except ConnectionRefusedError:
            assert time.monotonic() < deadline
            time.sleep(0.02)


def ask(connection):
    connection.sendall(b"x")
    return connection.recv(100)


def test_connections_of_an_idle_process_are_reset_and_its_listener_stays():
    ip = loopback_address()
    with running_server(ip, hook_environment()) as process:
        connections = [connect(ip) for _ in range(3)]
        assert all(ask(connection) == b"x" for connection in connections)
        for _ in range(2):
            assert reset_connections(process)
            for connection in connections:
                with connection, pytest.raises(ConnectionResetError):
                    connection.recv(100)
            connections = [connect(ip)]
            assert ask(connections[0]) == b"x"
        connections[0].close()
        assert process.poll() is None


# Guards against a process that the signal ends, since it comes before the handler is there.
def test_a_process_without_the_hook_goes_on():
    ip = loopback_address()
    with running_server(ip, {}) as process:
        with connect(ip) as connection:
            assert not reset_connections(process)
            assert ask(connection) == b"x"
        process.send_signal(signal.SIGKILL)
        process.wait(10)
        assert not reset_connections(process)
