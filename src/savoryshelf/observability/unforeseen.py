"""Log lines of unforeseen errors in activities whose rounds are independent of each other.

Such an activity goes on with its next round: if its green thread ended instead, nobody would miss
it while the rest of the process answers.
"""

from .logs import log_event
from .stacks import error_frame_names

MAX_LOGGED = 4
"""Errors that one activity logs at most."""


class UnforeseenErrors:
    """Logs the errors of one activity, those of one kind and place once."""

    def __init__(self, activity: str, **fields):
        self._fields = {"activity": activity, **fields}
        self._logged: set[tuple[type, str]] = set()

    def log(self, error: Exception) -> None:
        """Log an error with where it was raised, unless one like it was logged before."""
        stack = error_frame_names(error)
        kind = (type(error), stack[0] if stack else "")
        if kind in self._logged or len(self._logged) >= MAX_LOGGED:
            return
        self._logged.add(kind)
        log_event("activity:round_failed", **self._fields, error=repr(error), stack=stack)
