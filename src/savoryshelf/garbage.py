"""Keeps the garbage collector from stopping a process for long."""

import gc


def spare_present_objects() -> None:
    """Let no later collection go through the objects that there are; to be called at start.

    These are the modules and, later, the state that was read from the disk.  A collection of the
    oldest generation goes through all others at one go, and nothing else runs meanwhile.  Spared
    objects are freed as soon as nothing refers to them, unless they refer to each other.
    """
    gc.freeze()
