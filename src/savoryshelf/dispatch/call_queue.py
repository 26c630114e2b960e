"""Begins calls to workers a few at a time."""

from collections import deque
from collections.abc import Callable

import eventlet

MAX_CALLS_AT_ONCE = 16
"""Calls that begin before all other green threads have had a turn.

Each takes 1 to 2 ms of the processor, and one commit may allow those of a whole backlog.
"""


class CallQueue:
    """Calls that begin in the order in which they are added, each in a green thread."""

    def __init__(self):
        self._calls: deque[tuple[Callable, tuple]] = deque()
        self._is_running = False

    def add(self, function: Callable, *arguments) -> None:
        """Let a call begin as soon as possible; returns at once."""
        self._calls.append((function, arguments))
        if not self._is_running:
            self._is_running = True
            eventlet.spawn_n(self._run)

    def _run(self) -> None:
        try:
            while self._calls:
                for _ in range(min(MAX_CALLS_AT_ONCE, len(self._calls))):
                    function, arguments = self._calls.popleft()
                    eventlet.spawn_n(function, *arguments)
                eventlet.sleep()
        finally:
            self._is_running = False
