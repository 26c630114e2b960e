"""What a process imports when it starts, and signals that arrive meanwhile."""

import contextlib
import os
import pathlib
import signal
import subprocess
import sys

import pytest
import urllib3
from savoryshelf_platform.settings import PATH_VARIABLE

from .test_whole_path import FRONTS, PORTS, ROOT, SEEDS, Deployment, wait_until


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


# Guards against a start that is held up, with its process, until each of twenty threads that it
# does not need has had a processor once.
def test_a_control_host_starts_two_threads_beside_its_own(tmp_path):
    deployment = Deployment(tmp_path)
    deployment.start(SEEDS[0])
    process = deployment.process_by_ip[SEEDS[0]]
    try:
        wait_until(lambda: deployment.logged("control:started", [SEEDS[0]]))
        # Its own, that of the disk, and that of the watchdog, whose start waits for no turn of it.
        assert len(os.listdir(f"/proc/{process.pid}/task")) == 3
    finally:
        process.kill()
        process.wait(10)


def output_of_a_start(role, expression):
    """Return what an expression gives once a process of a role has imported its modules."""
    program = (
        "import gc, runpy, sys\n"
        f"sys.argv = ['run.py', {role!r}]\n"
        "try:\n"
        "    runpy.run_path('platform/run.py', run_name='__main__')\n"
        "finally:\n"
        f"    print({expression})\n"
    )
    environment = {key: value for key, value in os.environ.items() if key != PATH_VARIABLE}
    result = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, env=environment, capture_output=True, text=True
    )
    assert f"InvalidSetting: {PATH_VARIABLE}" in result.stderr
    return result.stdout.split()


UNUSED = ["dns", "werkzeug", "cattrs", "yaml", "savoryshelf.configuration", "savoryshelf.entry"]
"""What neither role uses: above all the resolver of names, a quarter of a start."""


# Guards against starts that take longer, and with them each way back after a loss of power, for
# modules that the process does not use.
@pytest.mark.parametrize(
    ("role", "used", "unused"),
    [
        (
            "front", "savoryshelf.gateway.leader",
            ["savoryshelf.dispatch", "savoryshelf.replication", "savoryshelf.tasks", "urllib3"],
        ),
        ("core", "savoryshelf.dispatch.host", ["savoryshelf.gateway"]),
    ],
    ids=["entry", "control"],
)  # fmt: skip
def test_a_start_imports_only_what_its_process_uses(role, used, unused):
    modules = set(output_of_a_start(role, "*sys.modules"))
    assert used in modules
    for name in [*UNUSED, *unused]:
        assert not [each for each in modules if each == name or each.startswith(f"{name}.")]


# Guards against a process that stands still while a full collection walks through its modules,
# which stay for good; on a busy processor that is long enough to miss heartbeats.
@pytest.mark.parametrize("role", ["front", "core"], ids=["entry", "control"])
def test_a_full_collection_passes_over_what_a_start_has_imported(role):
    counts = output_of_a_start(role, "gc.get_freeze_count(), len(gc.get_objects())")
    frozen, walked_through = map(int, counts)
    assert walked_through < frozen / 10
