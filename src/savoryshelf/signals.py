"""Handles signals in eventlet's hub."""

import contextlib
import os
import signal
from collections.abc import Callable

import eventlet
from eventlet import hubs, patcher

_os = patcher.original("os")
"""The unpatched module: a write of eventlet may switch green threads, which a handler must not."""


def on_signal(number: int, action: Callable[[], None]) -> None:
    """Run ``action`` in a green thread whenever this process gets the signal.

    A handler must not block, since it may interrupt the hub.  Nor is it enough that it spawns
    the action: the hub would go on waiting until its next timer or file event.  A byte in a
    pipe ends that wait.
    """
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    os.set_blocking(writer, False)

    def act_on_each_byte() -> None:
        while True:
            hubs.trampoline(reader, read=True)
            for _ in os.read(reader, 1):
                eventlet.spawn_n(action)

    def wake_hub(*_) -> None:
        # A full pipe wakes the hub as well.
        with contextlib.suppress(BlockingIOError):
            _os.write(writer, b"s")

    eventlet.spawn_n(act_on_each_byte)
    signal.signal(number, wake_hub)


def on_first_signal(number: int, action: Callable[[], None]) -> None:
    """Run ``action`` in a green thread when this process first gets the signal."""
    pending_actions = [action]

    def act_once() -> None:
        if pending_actions:
            pending_actions.pop()()

    on_signal(number, act_once)
