"""What a process logs while nobody reads it, and what it writes beside its own lines."""

import json
import os
import pathlib
import select
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).resolve().parents[2]

LINES = 20_000
"""More than a pipe holds and a process keeps."""

LATER_LINES = 50
WAIT_SECONDS = 20.0

SCRIPT = f"""
import sys, time
from savoryshelf.observability.logs import log_event, start_logging

start_logging("test")
for number in range({LINES}):
    log_event("numbered", number=number, filling="x" * 200)
print("went on", file=sys.stderr, flush=True)
sys.stdin.readline()
for number in range({LINES}, {LINES} + {LATER_LINES}):
    time.sleep(0.05)
    log_event("numbered", number=number)
"""


@pytest.fixture
def unread_process():
    """Yield a process that logs much, waits for a line on its standard input, and logs more."""
    process = subprocess.Popen(
        [sys.executable, "-W", "ignore", "-c", SCRIPT],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    yield process
    process.kill()
    process.communicate()


def has_gone_on(process):
    readable, _, _ = select.select([process.stderr], [], [], WAIT_SECONDS)
    return bool(readable) and process.stderr.readline() == "went on\n"


# Guards against a host that stands still, and votes no more, because nobody reads its log.
def test_a_process_whose_log_nobody_reads_goes_on(unread_process):
    assert has_gone_on(unread_process)


def test_a_log_that_is_read_again_goes_on_with_whole_lines(unread_process):
    assert has_gone_on(unread_process)
    numbers, dropped = [], 0
    for text in unread_process.stdout:
        if not numbers:
            unread_process.stdin.write("\n")
            unread_process.stdin.flush()
        line = json.loads(text)
        if line["message_type"] == "numbered":
            numbers.append(line["number"])
        elif line["message_type"] == "log:lines_dropped":
            dropped += line["lines"]
    assert dropped
    assert numbers == sorted(numbers)
    assert numbers[-1] == LINES + LATER_LINES - 1
    assert len(numbers) + dropped == LINES + LATER_LINES


FIRST_READ_BYTES = 40_000
"""Less than a pipe holds, and no whole number of lines."""

HUNG_PROGRAM = """
import sys, time
from savoryshelf.observability import watchdog
from savoryshelf.observability.logs import log_event, start_logging

start_logging("test")
for number in range(2000):
    log_event("numbered", number=number, filling="x" * LENGTH)
print("went on", file=sys.stderr, flush=True)
sys.stdin.readline()
log_event("numbered", number=2000)
print("went on", file=sys.stderr, flush=True)
watchdog.HubWatchdog("test").log(2.0)
for number in range(2001, 2061):
    time.sleep(0.02)
    log_event("numbered", number=number)
"""


# Guards against the line on a hung process that lands within another one, which waits in part for
# a reader: it could not be read, and it is the only one of that process that tells anything.
@pytest.mark.parametrize("length", [200, 9000], ids=["short", "longer than a pipe takes at once"])
def test_the_line_on_a_hung_process_begins_on_a_line_of_its_own(length):
    process = subprocess.Popen(
        [sys.executable, "-W", "ignore", "-c", HUNG_PROGRAM.replace("LENGTH", str(length))],
        stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True,
    )  # fmt: skip
    try:
        assert has_gone_on(process)
        descriptor = process.stdout.fileno()
        written = os.read(descriptor, FIRST_READ_BYTES)
        process.stdin.write("\n")
        process.stdin.flush()
        assert has_gone_on(process)
        while part := os.read(descriptor, FIRST_READ_BYTES):
            written += part
        assert process.wait(WAIT_SECONDS) == 0
    finally:
        process.kill()
        process.communicate()
    lines = written.decode().splitlines()
    line_by_place, broken = {}, []
    for place, text in enumerate(lines):
        try:
            line_by_place[place] = json.loads(text)
        except ValueError:
            broken.append(place)
    (hung_at,) = [n for n, line in line_by_place.items() if line["message_type"] == "process:hung"]
    # A line that is longer may have been written in part; the rest of it follows.
    assert broken == ([] if length < select.PIPE_BUF else [hung_at - 1, hung_at + 1])
    numbers = [line["number"] for line in line_by_place.values() if "number" in line]
    assert numbers == sorted(numbers)
    assert numbers[-1] == 2060


CONNECTING_PROGRAM = """
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
        [sys.executable, "-W", "ignore", "-c", CONNECTING_PROGRAM],
        cwd=ROOT, capture_output=True, text=True, timeout=30, check=True,
    )  # fmt: skip
    assert (result.stdout, result.stderr) == ("", "")
