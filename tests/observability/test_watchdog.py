"""A process whose hub does not turn tells where it is stuck."""

import json
import os
import pathlib
import subprocess
import sys
import threading
import time

import attrs

from savoryshelf.observability import watchdog
from savoryshelf.observability.watchdog import (
    HUNG_SECONDS,
    LATE_SECONDS,
    LOG_INTERVAL_SECONDS,
    MAX_LINE_BYTES,
    HubWatchdog,
)

ROOT = pathlib.Path(__file__).resolve().parents[2]

PROGRAM = """
import eventlet
eventlet.monkey_patch()
import os, sys, time
sys.path[:0] = ["src", "platform"]
from eventlet import patcher
from savoryshelf.observability.logs import log_event, start_logging
from savoryshelf.observability.watchdog import HubWatchdog

def look_up_a_name():
    patcher.original("time").sleep(float(sys.argv[1]))

start_logging("core:test")
HubWatchdog("core:test").start()
eventlet.sleep(0.3)
look_up_a_name()
log_event("test:goes_on")
eventlet.sleep(0.3)
{end}
"""


def run_program(seconds, end, **options):
    command = [sys.executable, "-W", "ignore", "-c", PROGRAM.replace("{end}", end), str(seconds)]
    return subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=30, check=False, **options
    )


def lines_of(result):
    return [json.loads(line) for line in result.stdout.splitlines()]


# Guards against a process that hangs in a native call and leaves nothing to tell in which.
def test_a_hub_that_waits_for_a_native_call_is_shown_with_its_stack():
    result = run_program(2.5, "sys.stdout.flush(); os._exit(0)")
    assert result.returncode == 0, result.stderr
    hung, goes_on = lines_of(result)
    assert (hung["message_type"], hung["process"]) == ("process:hung", "core:test")
    assert goes_on["message_type"] == "test:goes_on"
    assert HUNG_SECONDS <= hung["seconds"] <= 3.0
    assert hung["stack"][0].startswith("__main__.look_up_a_name:")
    assert not any("/" in each for each in hung["stack"])


def test_a_process_that_runs_writes_nothing_and_ends():
    began_at = time.monotonic()
    result = run_program(0.2, "sys.exit(3)")
    assert result.returncode == 3, result.stderr
    assert [line["message_type"] for line in lines_of(result)] == ["test:goes_on"]
    assert time.monotonic() - began_at < 10.0, "the native thread must not keep it alive"


# Guards against a process that can't end since its watchdog waits for a reader of its lines.
def test_a_watchdog_that_waits_for_a_full_pipe_keeps_nothing_else_waiting():
    end = "os.set_blocking(2, False); os.write(2, b'done'); os._exit(0)"
    fill = """
import posix
os.set_blocking(1, False)
try:
    while True:
        posix.write(1, b"x" * 4096)
except BlockingIOError:
    pass
os.set_blocking(1, True)
"""
    program = PROGRAM.replace('start_logging("core:test")', fill).replace(
        'log_event("test:goes_on")', ""
    )
    reader, writer = os.pipe()
    try:
        result = subprocess.run(
            [sys.executable, "-W", "ignore", "-c", program.replace("{end}", end), "2.6"],
            cwd=ROOT, stdout=writer, stderr=subprocess.PIPE, timeout=30, check=False,
        )  # fmt: skip
    finally:
        os.close(reader)
        os.close(writer)
    assert (result.returncode, result.stderr) == (0, b"done")


@attrs.define
class Clock:
    """Time that passes while the watchdog sleeps; ``late`` is added to each sleep."""

    now: float = 100.0
    late: float = 0.0
    slept: list = attrs.field(factory=list)

    def sleep(self, seconds):
        self.slept.append(seconds)
        self.now += seconds + self.late


def make_watchdog(clock, lines):
    made = HubWatchdog("test", lines.append, lambda: clock.now, clock.sleep)
    made._turned_at = clock.now
    made._main_ident = threading.get_ident()
    return made


def test_a_hub_that_stays_hung_is_logged_at_most_each_ten_seconds():
    clock, lines = Clock(), []
    made = make_watchdog(clock, lines)
    while clock.now < 100.0 + HUNG_SECONDS + 3.5 * LOG_INTERVAL_SECONDS:
        made.sleep_and_look()
    seconds = [json.loads(line)["seconds"] for line in lines]
    assert seconds == [HUNG_SECONDS + n * LOG_INTERVAL_SECONDS for n in range(len(seconds))]
    assert len(seconds) >= 4


# Guards against a watchdog that uses up what the users' bench charges for wake-ups.
def test_a_watchdog_wakes_less_than_once_a_second_while_the_hub_turns():
    clock, lines = Clock(), []
    made = make_watchdog(clock, lines)

    def sleep(seconds):
        clock.sleep(seconds)
        made._turned_at = clock.now - watchdog.BEAT_SECONDS

    made.sleep = sleep
    for _ in range(20):
        made.sleep_and_look()
    assert min(clock.slept) >= 1.0
    assert lines == []


# Guards against a line for each process after a suspension of the machine.
def test_a_process_that_was_suspended_as_a_whole_is_not_hung():
    clock, lines = Clock(late=30.0), []
    made = make_watchdog(clock, lines)
    made.sleep_and_look()
    clock.late = 0.0
    assert lines == []
    made._turned_at = clock.now
    clock.late = LATE_SECONDS / 2
    made.sleep_and_look()
    assert len(lines) == 1


def test_a_line_is_bounded_and_a_failure_to_write_it_is_not_raised():
    clock, lines = Clock(), []
    made = make_watchdog(clock, lines)
    assert len(made._line(2.0, ["m" * 300] * 100)) <= MAX_LINE_BYTES

    def fail(line):
        raise BrokenPipeError

    made.write_line = fail
    made.sleep_and_look()
