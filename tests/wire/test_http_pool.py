"""Reuse of connections to workers."""

import http.client
import os
import pathlib
import subprocess
import sys

import pytest

from savoryshelf.wire.http_pool import WorkerConnectionPool

PLATFORM = pathlib.Path(__file__).resolve().parents[2] / "platform"

REUSES_A_CONNECTION = """
import eventlet
eventlet.monkey_patch()
import socket
from savoryshelf_platform.workers import HttpWorkerApi
from savoryshelf.dispatch.worker_api import WorkerIncarnation

pool = HttpWorkerApi()._pool(WorkerIncarnation("w1", 1, "127.0.0.1:1"), 1)
here, there = socket.socketpair()
connection = pool._new_conn()
connection.sock = here
others = []
eventlet.spawn(others.append, "ran")
assert connection.is_connected
assert others == [], "another green thread ran during the check"
there.close()
assert not connection.is_connected
"""


# On a busy leader each yield to the hub costs a call as long as all other work takes.
def test_a_connection_is_reused_without_waiting_for_other_green_threads():
    # eventlet has to patch the standard library, which the test process does not do.
    check = subprocess.run(
        [sys.executable, "-W", "ignore", "-c", REUSES_A_CONNECTION],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
        env=os.environ | {"PYTHONPATH": str(PLATFORM)},
    )
    assert check.returncode == 0, check.stderr


# Guards against TWICE: a connection that the worker has closed would be opened again by the
# standard library, without the question which of its incarnations answers there.
def test_a_closed_connection_sends_nothing():
    pool = WorkerConnectionPool("127.0.0.1", 1, identify=lambda connection: None)
    with pytest.raises(http.client.NotConnected):
        pool._new_conn().send(b"POST / HTTP/1.1\r\n\r\n")
