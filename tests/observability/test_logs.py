"""What a process writes beside its own lines."""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]

PROGRAM = """
import eventlet
eventlet.monkey_patch()
import socket, sys
sys.path.insert(0, "src")
from savoryshelf.errors import PeerUnreachable
from savoryshelf.observability.logs import start_logging
from savoryshelf.wire.generated import ControlService
from savoryshelf.wire.peers import PeerClient

start_logging("core:test")
with socket.socket() as unused:
    unused.bind(("127.0.0.1", 0))
    address = "127.0.0.1:%d" % unused.getsockname()[1]
    for _ in range(20):
        try:
            PeerClient(ControlService, address, "key").call("hello")
        except PeerUnreachable:
            pass
"""


# Guards against a process that waits, with all its green threads, for a reader of its standard
# error: each attempt to connect to a host that is gone wrote a line there, 13 a second.
def test_attempts_to_connect_that_fail_write_nothing_to_standard_error():
    result = subprocess.run(
        [sys.executable, "-W", "ignore", "-c", PROGRAM],
        cwd=ROOT, capture_output=True, text=True, timeout=30, check=True,
    )  # fmt: skip
    assert (result.stdout, result.stderr) == ("", "")
