"""JSON-line logs by eliot: one action tree per request, across processes."""

import contextlib
import sys

import eliot


def start_logging(process_name: str) -> None:
    """Write log lines to standard output, each naming this process."""
    eliot.add_global_fields(process=process_name)
    eliot.to_file(sys.stdout)


def log_event(event: str, **fields) -> None:
    """Write one line that belongs to no request."""
    eliot.log_message(message_type=event, **fields)


@contextlib.contextmanager
def request_action(action_type: str, trace_id: str | None = None, **fields):
    """Log a step of a request; with ``trace_id`` it continues another process's action."""
    if trace_id:
        action = eliot.Action.continue_task(task_id=trace_id, action_type=action_type, **fields)
    else:
        action = eliot.start_action(action_type=action_type, **fields)
    with action:
        yield action


def trace_id_of(action) -> str:
    """Return the id under which another process continues this action."""
    return action.serialize_task_id().decode("ascii")
