"""Stacks for log lines: names of modules and functions, and no paths."""

import traceback
from types import FrameType

MAX_FRAMES = 16
"""Frames that a line names: the innermost ones."""

MAX_NAME_LENGTH = 120


def frame_names(frame: FrameType | None) -> list[str]:
    """Return a stack as ``module.function:line``, the innermost frame first."""
    names = []
    while frame is not None and len(names) < MAX_FRAMES:
        names.append(_name(frame, frame.f_lineno))
        frame = frame.f_back
    return names


def error_frame_names(error: BaseException) -> list[str]:
    """Return where an error was raised, in the same form: the innermost frame first.

    Unlike in a stack, the functions that called the one that handles it are left out.
    """
    innermost_last = list(traceback.walk_tb(error.__traceback__))
    return [_name(frame, line) for frame, line in innermost_last[: -MAX_FRAMES - 1 : -1]]


def _name(frame: FrameType, line: int) -> str:
    module = frame.f_globals.get("__name__", "?")
    return f"{f'{module}.{frame.f_code.co_qualname}'[-MAX_NAME_LENGTH:]}:{line}"
