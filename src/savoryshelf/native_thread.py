"""Runs blocking calls in a native thread while the green threads of the process go on.

``eventlet.tpool`` does so too, but tells the hub of a result by a TCP connection of the process to
itself.  Whatever resets the connections of a host resets that one, and no result is delivered any
more.  A pipe belongs to the process alone.
"""

import contextlib
import os
import time
import weakref
from collections.abc import Callable

import attrs
from eventlet import hubs, patcher
from eventlet.semaphore import Semaphore

_os = patcher.original("os")
"""The unpatched module: eventlet's write may switch green threads, which a native thread lacks."""

_queue = patcher.original("queue")
_threading = patcher.original("threading")

MAX_WAKE_UPS_READ = 4096
"""Bytes read from the pipe at once; each wakes the hub, and says nothing else."""


@attrs.define(eq=False)
class _Call:
    function: Callable
    arguments: tuple
    began_at: float | None = None
    has_ended: bool = False
    result: object = None
    error: BaseException | None = None

    def run(self) -> None:
        self.began_at = time.monotonic()
        try:
            self.result = self.function(*self.arguments)
        except BaseException as error:
            # Raised in the green thread that waits; this thread serves the next call.
            self.error = error
        self.has_ended = True


class NativeThread:
    """One native thread, which starts with the first call and ends with this object.

    Calls run one at a time, in the order in which they were made.  If the green thread that waits
    for one is killed, that call still runs to its end.
    """

    def __init__(self, name: str):
        self._name = name
        self._requests = None
        self._reader = -1
        self._turn = Semaphore(1)
        self._call: _Call | None = None

    def run(self, function: Callable, *arguments):
        """Return the result of ``function(*arguments)``, or raise what it raises."""
        with self._turn:
            if self._requests is None:
                self._start()
            self._call = call = _Call(function, arguments)
            try:
                self._requests.put(call)
                while not call.has_ended:
                    hubs.trampoline(self._reader, read=True)
                    with contextlib.suppress(BlockingIOError):
                        _os.read(self._reader, MAX_WAKE_UPS_READ)
            finally:
                self._call = None
        if call.error is not None:
            raise call.error
        return call.result

    def running_seconds(self) -> float:
        """Return for how long the native thread has been at the present call; 0 if it is at none.

        A green thread may wait for a call all the same, if its end was not told.
        """
        call = self._call
        if call is None or call.began_at is None or call.has_ended:
            return 0.0
        return time.monotonic() - call.began_at

    def _start(self) -> None:
        requests = _queue.SimpleQueue()
        reader, writer = os.pipe()
        os.set_blocking(reader, False)
        os.set_blocking(writer, False)
        thread = _threading.Thread(
            target=_serve, args=(requests, writer), name=self._name, daemon=True
        )
        thread.start()
        finalizer = weakref.finalize(self, _stop, requests, reader)
        finalizer.atexit = False
        # Last, so that the next call tries again after an error.
        self._requests, self._reader = requests, reader


def _serve(requests, writer: int) -> None:
    while (call := requests.get()) is not None:
        call.run()
        # A full pipe wakes the hub as well.
        with contextlib.suppress(BlockingIOError):
            _os.write(writer, b"r")
        call = None
    _os.close(writer)


def _stop(requests, reader: int) -> None:
    requests.put(None)
    _os.close(reader)
