"""Stacks for log lines: names of modules and functions, and no paths."""

from types import FrameType

MAX_FRAMES = 16
"""Frames that a line names: the innermost ones."""

MAX_NAME_LENGTH = 120


def frame_names(frame: FrameType | None) -> list[str]:
    """Return a stack as ``module.function:line``, the innermost frame first."""
    names = []
    while frame is not None and len(names) < MAX_FRAMES:
        module = frame.f_globals.get("__name__", "?")
        name = f"{module}.{frame.f_code.co_qualname}"[-MAX_NAME_LENGTH:]
        names.append(f"{name}:{frame.f_lineno}")
        frame = frame.f_back
    return names
