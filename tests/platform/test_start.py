"""Signals that arrive while a process starts."""

import contextlib
import pathlib
import signal

import pytest
import urllib3

from .test_whole_path import FRONTS, PORTS, SEEDS, Deployment, wait_until


def is_importing(process):
    """Return whether the process has loaded a library that run.py imports first."""
    return "greenlet" in pathlib.Path(f"/proc/{process.pid}/maps").read_text()


def is_serving(deployment, ip):
    port, path = (PORTS["control"], "config/get") if ip in SEEDS else (PORTS["ready"], "readiness")
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        return bool(deployment.http.request("GET", f"http://{ip}:{port}/savoryshelf/{path}").status)
    return False


# Guards against a process that is ended by the signal for changed settings before it serves.
@pytest.mark.parametrize("ip", [SEEDS[0], FRONTS[0]], ids=["control", "entry"])
def test_a_signal_for_changed_settings_does_not_end_a_process_that_starts(tmp_path, ip):
    deployment = Deployment(tmp_path)
    deployment.start(ip)
    process = deployment.process_by_ip[ip]
    try:
        wait_until(lambda: is_importing(process))
        process.send_signal(signal.SIGHUP)
        wait_until(lambda: process.poll() is not None or is_serving(deployment, ip))
        assert process.poll() is None
    finally:
        process.kill()
        process.wait(10)
