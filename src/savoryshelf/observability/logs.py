"""Logs as JSON lines, written by eliot.

The actions of one request form one tree, also across processes.
"""

import contextlib
import logging
import sys

import eliot


def start_logging(process_name: str) -> None:
    """Log to standard output; each line holds ``process_name``.

    Nothing of thrift's own lines is kept: it writes one to standard error for each attempt to
    connect that fails, and a process waits there, with all its green threads, once a pipe is full.
    What fails is logged where it is handled, as ``peer:lost``.
    """
    logging.getLogger("thrift").propagate = False
    logging.getLogger("thrift").addHandler(logging.NullHandler())
    eliot.add_global_fields(process=process_name)
    eliot.to_file(sys.stdout)


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
