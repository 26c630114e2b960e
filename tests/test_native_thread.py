"""Blocking calls in a native thread, while green threads go on."""

import contextlib
import gc
import os
import socket
import time

import eventlet
import pytest
from eventlet import patcher

from savoryshelf.native_thread import NativeThread

native_sleep = patcher.original("time").sleep
NativeEvent = patcher.original("threading").Event
LIMIT_SECONDS = 5.0


@pytest.fixture
def thread():
    return NativeThread("test")


def test_a_call_returns_its_result_and_lets_green_threads_run(thread):
    have_run = NativeEvent()

    def take_turns():
        for _ in range(6):
            eventlet.sleep(0.01)
        have_run.set()

    eventlet.spawn(take_turns)
    assert thread.run(lambda limit: have_run.wait(limit) and "done", LIMIT_SECONDS) == "done"


@pytest.mark.parametrize("error", [OSError(5, "I/O error"), SystemExit(1), eventlet.Timeout()])
def test_an_error_is_raised_in_the_caller_and_the_next_call_runs(thread, error):
    def fail():
        raise error

    with pytest.raises(type(error)):
        thread.run(fail)
    assert thread.run(int, "7") == 7


def test_calls_run_one_at_a_time_in_their_order(thread):
    began, ended = [], []

    def call(number):
        assert len(began) == len(ended)
        began.append(number)
        native_sleep(0.01)
        ended.append(number)

    for green in [eventlet.spawn(thread.run, call, number) for number in range(8)]:
        green.wait()
    assert ended == list(range(8))


def test_a_call_whose_caller_was_killed_runs_to_its_end_before_the_next(thread):
    done = []
    with eventlet.Timeout(0.05, False):
        thread.run(lambda: native_sleep(0.2) or done.append("killed"))
    assert thread.run(lambda: done.append("next") or list(done)) == ["killed", "next"]


def test_the_time_at_a_call_is_told_while_it_runs(thread):
    assert thread.running_seconds() == 0.0
    has_begun, release = NativeEvent(), NativeEvent()
    began_at = time.monotonic()
    waiting = eventlet.spawn(thread.run, lambda: has_begun.set() or release.wait())
    with eventlet.Timeout(LIMIT_SECONDS):
        while not has_begun.is_set():
            eventlet.sleep(0.01)
    least = time.monotonic()
    eventlet.sleep(0.1)
    least = time.monotonic() - least
    assert least <= thread.running_seconds() <= time.monotonic() - began_at
    release.set()
    waiting.wait()
    assert thread.running_seconds() == 0.0


# Guards against a result that is taken before its call has ended, since the hub was woken.
def test_a_wake_up_of_an_earlier_call_ends_no_later_one(thread):
    with eventlet.Timeout(0.05, False):
        thread.run(native_sleep, 0.1)
    native_sleep(0.2)
    assert thread.run(lambda: native_sleep(0.1) or "own") == "own"


def test_the_thread_and_its_pipe_end_with_the_object():
    gc.collect()
    before = set(os.listdir("/proc/self/fd")), set(os.listdir("/proc/self/task"))
    thread = NativeThread("test")
    thread.run(int)
    assert set(os.listdir("/proc/self/task")) - before[1]
    del thread
    gc.collect()
    deadline = time.monotonic() + 5.0
    while time.monotonic() < deadline and set(os.listdir("/proc/self/task")) - before[1]:
        eventlet.sleep(0.01)
    assert not set(os.listdir("/proc/self/task")) - before[1]
    assert not set(os.listdir("/proc/self/fd")) - before[0]


# Guards against a process whose writes never return once its TCP connections were reset.
def test_calls_return_after_all_connections_of_the_process_were_reset(thread):
    thread.run(int)
    reset_connections()
    with eventlet.Timeout(5.0):
        assert thread.run(int, "3") == 3


def reset_connections():
    """Shut down every TCP connection of this process, as the loss of both ends would."""
    for descriptor in os.listdir("/proc/self/fd"):
        with contextlib.suppress(OSError):
            if not os.readlink(f"/proc/self/fd/{descriptor}").startswith("socket:"):
                continue
            with socket.socket(fileno=os.dup(int(descriptor))) as connection:
                if connection.family == socket.AF_INET:
                    connection.shutdown(socket.SHUT_RDWR)
