"""A native thread that tells when no green thread of this process runs any more."""

import contextlib
import posix
import sys
import time
from collections.abc import Callable

import attrs
import eventlet
import orjson
from eventlet import patcher

from .logs import is_within_line
from .stacks import frame_names

HUNG_SECONDS = 2.0
"""Time since the hub's timer ended last after which that is logged."""

BEAT_SECONDS = 0.5
"""Length of the timer that shows that the hub runs."""

LOG_INTERVAL_SECONDS = 10.0
"""Shortest time between two lines."""

LATE_SECONDS = 0.5
"""A native thread that wakes later than this has stood still with the whole process."""

MIN_SLEEP_SECONDS = 0.05
MAX_LINE_BYTES = 4000
"""Below what a pipe takes at once, so that no other line gets into this one."""

STANDARD_OUTPUT = 1

_native_thread = patcher.original("_thread")
_native_sleep = patcher.original("time").sleep


def _write_line(line: bytes) -> None:
    # A line that the logger has written in part is lost anyway.
    beginning = b"\n" if is_within_line() else b""
    # Eventlet replaces ``os.write``.
    posix.write(STANDARD_OUTPUT, beginning + line)


@attrs.define(eq=False)
class HubWatchdog:
    """Watches the hub of the thread that calls ``start``.

    The line is written past the loggers of the process, whose locks the hub's thread may hold.
    Only the watchdog waits if standard output takes no more.
    """

    process_name: str
    write_line: Callable[[bytes], object] = _write_line
    now: Callable[[], float] = time.monotonic
    sleep: Callable[[float], None] = _native_sleep
    _turned_at: float = 0.0
    _logged_at: float = float("-inf")
    _resumed_at: float = float("-inf")
    _main_ident: int = 0

    def start(self) -> None:
        """Start the timer of the hub and the native thread; neither keeps the process alive."""
        self._turned_at = self.now()
        self._main_ident = _native_thread.get_ident()
        eventlet.spawn_n(self._beat)
        # Unlike ``Thread.start`` it does not wait for the thread's first turn.
        _native_thread.start_new_thread(self._run, ())

    def _beat(self) -> None:
        while True:
            self._turned_at = self.now()
            eventlet.sleep(BEAT_SECONDS)

    def _run(self) -> None:
        while True:
            self.sleep_and_look()

    def sleep_and_look(self) -> None:
        """Sleep until a hub that has not turned since counts as hung, and log it if so."""
        began_at = self.now()
        due_at = max(
            max(self._turned_at, self._resumed_at) + HUNG_SECONDS,
            self._logged_at + LOG_INTERVAL_SECONDS,
        )
        seconds = max(MIN_SLEEP_SECONDS, due_at - began_at)
        self.sleep(seconds)
        now = self.now()
        if now - began_at > seconds + LATE_SECONDS:
            # Suspended, or without a processor: the hub could not turn either.
            self._resumed_at = now
        silence = now - max(self._turned_at, self._resumed_at)
        if silence >= HUNG_SECONDS and now - self._logged_at >= LOG_INTERVAL_SECONDS:
            self._logged_at = now
            self.log(now - self._turned_at)

    def log(self, seconds: float) -> None:
        """Write one line with the stack of the hub's thread; never raises."""
        # There is nowhere to tell a failure; the next line may come through.
        with contextlib.suppress(Exception):
            frame = sys._current_frames().get(self._main_ident)
            self.write_line(self._line(seconds, frame_names(frame)))

    def _line(self, seconds: float, stack: list[str]) -> bytes:
        while True:
            fields = {
                "timestamp": time.time(),
                "process": self.process_name,
                "message_type": "process:hung",
                "why": "no green thread has run",
                "seconds": round(seconds, 2),
                "processor_s": round(time.process_time(), 2),
                "stack": stack,
            }
            line = orjson.dumps(fields) + b"\n"
            if len(line) <= MAX_LINE_BYTES:
                return line
            stack = stack[:-1]
