"""Resets all TCP connections of a process that runs, by a signal.

The process has ``hooks/sitecustomize.py`` on its path; the programs are as they are.
"""

import os
import pathlib
import signal
import subprocess

HOOK_FOLDER = pathlib.Path(__file__).resolve().parent / "hooks"
RESET_SIGNAL = signal.SIGUSR2


def hook_environment() -> dict[str, str]:
    """Return the variables with which a process imports the hooks when it starts."""
    paths = [str(HOOK_FOLDER), os.environ.get("PYTHONPATH", "")]
    return {"PYTHONPATH": os.pathsep.join(filter(None, paths))}


def reset_connections(process: subprocess.Popen) -> bool:
    """Reset the connections of a process; return False if it has none yet, or has ended."""
    if process.poll() is not None or not _catches(process.pid, RESET_SIGNAL):
        return False
    process.send_signal(RESET_SIGNAL)
    return True


def _catches(pid: int, number: signal.Signals) -> bool:
    """Return whether a process has a handler for a signal, which would end it otherwise."""
    with open(f"/proc/{pid}/status", encoding="utf-8") as status:
        masks = [line.split()[1] for line in status if line.startswith("SigCgt:")]
    return any(int(mask, 16) >> (number - 1) & 1 for mask in masks)
