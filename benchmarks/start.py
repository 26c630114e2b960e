"""Processor and wall time of a start of each role, from its spawn to its first log lines."""

import contextlib
import json
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time

import click
import urllib3

from standins.platform import platform_settings
from standins.site import loopback_address

ROOT = pathlib.Path(__file__).resolve().parents[1]
PORTS = {"front": 8161, "ready": 8167, "control": 8166, "peers": 7720}
RUNNING_EVENT_BY_ROLE = {"core": "control:started", "front": ""}
"""The event after which a process serves; a front logs none, so it is asked."""

POLL_SECONDS = 0.002


def _processor_seconds(pid: int) -> float:
    """Return the processor time of all threads of a process so far."""
    total_ns = 0
    for task in os.listdir(f"/proc/{pid}/task"):
        with open(f"/proc/{pid}/task/{task}/schedstat", encoding="ascii") as file:
            total_ns += int(file.read().split()[0])
    return total_ns / 1e9


def _is_serving(role: str, ip: str, http: urllib3.PoolManager, log: pathlib.Path) -> bool:
    event = RUNNING_EVENT_BY_ROLE[role]
    if event:
        return f'"{event}"' in log.read_text()
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        # Not ready yet, as it has no leader, but it listens and answers.
        http.request("GET", f"http://{ip}:{PORTS['ready']}/savoryshelf/readiness")
        return True
    return False


def _measure(root: pathlib.Path, role: str, folder: pathlib.Path, environment: dict) -> tuple:
    """Return processor and wall seconds until ``process:start`` and until the process serves."""
    # A process of its own address, in a group of one.
    ip = loopback_address()
    data = folder / "data"
    data.mkdir()
    settings = platform_settings(role, ip, PORTS, [ip], str(data))
    (folder / "settings.json").write_text(json.dumps(settings))
    log = folder / "log"
    http = urllib3.PoolManager(timeout=1.0, retries=False)
    began_at = time.monotonic()
    with open(log, "wb") as output:
        process = subprocess.Popen(
            [sys.executable, str(root / "platform" / "run.py"), role],
            env=environment | {"SAVORYSHELF_CONFIG": str(folder / "settings.json")},
            stdout=output, stderr=output,
        )  # fmt: skip
    try:
        while '"process:start"' not in log.read_text():
            if process.poll() is not None:
                raise click.ClickException(log.read_text())
            time.sleep(POLL_SECONDS)
        start_wall = time.monotonic() - began_at
        start_processor = _processor_seconds(process.pid)
        while not _is_serving(role, ip, http, log):
            time.sleep(POLL_SECONDS)
        return (
            start_processor, start_wall,
            _processor_seconds(process.pid), time.monotonic() - began_at,
        )  # fmt: skip
    finally:
        process.kill()
        process.wait()


@click.command()
@click.option("--root", default=str(ROOT), help="Sources to start, for example of another landing.")
@click.option("--starts", default=9, help="Starts of each role; the medians are shown.")
def main(root: str, starts: int) -> None:
    """Measure starts with byte code of all modules, as the build leaves it."""
    click.echo("| role | start cpu s | start wall s | serves cpu s | serves wall s |")
    click.echo("|---" * 5 + "|")
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        environment = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        environment["PYTHONPYCACHEPREFIX"] = str(folder / "code")
        libraries = ROOT / "target" / "deps"
        if libraries.exists():
            environment["PYTHONPATH"] = str(libraries)
        for role in RUNNING_EVENT_BY_ROLE:
            rows = []
            # The first start writes the byte code.
            for number in range(starts + 1):
                own = folder / f"{role}{number}"
                own.mkdir()
                rows.append(_measure(pathlib.Path(root), role, own, environment))
            medians = [statistics.median(column) for column in zip(*rows[1:], strict=True)]
            click.echo(f"| {role} | " + " | ".join(f"{value:.2f}" for value in medians) + " |")


if __name__ == "__main__":
    main()
