"""Logs as JSON lines, written by eliot.

The actions of one request form one tree, also across processes.
"""

import atexit
import contextlib
import logging
import select
import sys

import eliot
from eventlet import patcher

_os = patcher.original("os")
_select = patcher.original("select")
"""The unpatched modules: a write of eventlet may switch green threads."""

MAX_KEPT_BYTES = 1024 * 1024
"""Bytes of lines that are kept while nobody reads the log; further lines are dropped."""


class NonBlockingOutput:
    """A file for log lines whose writes never wait for a reader.

    What finds no room is written after later lines, or dropped in whole lines, and counted.
    """

    is_within_line = False
    """Whether a line was written in part, so that another writer has to begin a line of its own."""

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._kept = bytearray()
        self._dropped_lines = 0

    def write(self, line: bytes) -> None:
        """Keep a line to be written by ``flush``."""
        if len(self._kept) + len(line) > MAX_KEPT_BYTES:
            self._dropped_lines += 1
        else:
            self._kept += line

    def flush(self) -> None:
        """Write what finds room now."""
        while self._kept and _is_writable(self._descriptor):
            # A pipe that is writable takes this much without a wait, and as a whole.
            end_of_lines = self._kept.rfind(b"\n", 0, select.PIPE_BUF) + 1
            part = self._kept[: end_of_lines or select.PIPE_BUF]
            written = _os.write(self._descriptor, part)
            self.is_within_line = part[:written][-1:] != b"\n"
            del self._kept[:written]
        if self._dropped_lines and not self._kept:
            lines, self._dropped_lines = self._dropped_lines, 0
            log_event("log:lines_dropped", lines=lines)


_output: NonBlockingOutput | None = None
"""Where this process logs, once that has begun."""


def is_within_line() -> bool:
    """Return whether a line of the log of this process is written in part."""
    return _output is not None and _output.is_within_line


def _is_writable(descriptor: int) -> bool:
    poll = _select.poll()
    poll.register(descriptor, _select.POLLOUT)
    return bool(poll.poll(0))


def start_logging(process_name: str) -> None:
    """Log to standard output; each line holds ``process_name``.

    Nothing of thrift's own lines is kept: it writes one to standard error for each attempt to
    connect that fails, and a process waits there, with all its green threads, once a pipe is full.
    What fails is raised as PeerUnreachable, and logged where that is handled.
    """
    eliot.add_global_fields(process=process_name)
    global _output
    _output = NonBlockingOutput(sys.stdout.fileno())
    eliot.to_file(_output)
    atexit.register(_output.flush)
    thrift_logger = logging.getLogger("thrift")
    thrift_logger.addHandler(logging.NullHandler())
    thrift_logger.propagate = False


def log_event(event: str, **fields) -> None:
    """Log one event that belongs to no request."""
    eliot.log_message(message_type=event, **fields)


@contextlib.contextmanager
def request_action(action_type: str, trace_id: str | None = None, **fields):
    """Log a step of a request; with ``trace_id`` it continues an action of another process."""
    if trace_id:
        action = eliot.Action.continue_task(task_id=trace_id, action_type=action_type, **fields)
    else:
        action = eliot.start_action(action_type=action_type, **fields)
    with action:
        yield action


def trace_id_of(action) -> str:
    """Return the id by which another process can continue this action."""
    return action.serialize_task_id().decode("ascii")
