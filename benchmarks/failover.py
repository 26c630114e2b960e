"""Durations of leader election, takeover, configuration changes and urgent placement."""

import json
import statistics
import tempfile
import time

import click

from standins.site import DECLARATIONS, Site

POLL_SECONDS = 0.01
REPEATS = 3


def _seconds_until(condition, limit: float = 60.0) -> float:
    started = time.monotonic()
    while time.monotonic() - started < limit:
        if condition():
            return time.monotonic() - started
        time.sleep(POLL_SECONDS)
    raise TimeoutError(f"condition not met within {limit} s")


def _print_durations(name: str, seconds: list[float]) -> None:
    low, middle, high = min(seconds), statistics.median(seconds), max(seconds)
    click.echo(f"{name}: {low:.2f}, {middle:.2f}, {high:.2f} s (minimum, median, maximum)")


def _version_in_force(site: Site, url: str) -> int:
    text = site.http.request("GET", f"{url}/metrics").data.decode()
    lines = [li for li in text.splitlines() if li.startswith("savoryshelf_configuration_version ")]
    return int(float(lines[0].split()[1]))


def measure_configuration_changes(site: Site, count: int) -> None:
    """Measure from the response to a change until it is in force on every entry host."""
    seconds = []
    for number in range(count):
        version = site.view("status")["configuration_version"]
        content = site.declarations | {"site": f"change-{number}"}
        status, reply = site.apply(content, version, f"change-{number}")
        assert status == 200, reply
        applied_version = reply["version"]
        seconds.append(
            _seconds_until(
                lambda applied_version=applied_version: all(
                    _version_in_force(site, url) >= applied_version for url in site.entry_urls
                )
            )
        )
    _print_durations(
        f"a change in force on {len(site.entry_urls)} entry hosts, {count} changes", seconds
    )


def measure_urgent_placement(site: Site) -> None:
    """Measure from the acceptance of an urgent job until it is placed, on a full site."""
    token, seconds = site.team_token(), []
    for number in range(40):
        body = json.dumps({"key": f"long-{number}", "run_s": 120}).encode()
        headers = {"Idempotency-Key": f"long-{number}"}
        site.call("POST", "/v1/jobs/routing", token, body=body, headers=headers)
    site.wait_for(lambda: _running(site) > 0, "the first job to run")
    time.sleep(2.0)
    for number in range(REPEATS):
        body = json.dumps({"key": f"urgent-{number}", "run_s": 60}).encode()
        headers = {"Idempotency-Key": f"urgent-{number}", "Savoryshelf-Urgent": "1"}
        _, reply = site.call("POST", "/v1/jobs/routing", token, body=body, headers=headers)
        job_id = reply["job_id"]
        seconds.append(_seconds_until(lambda: _is_placed(site, job_id)))
    _print_durations("urgent work placed on a full site", seconds)
    for job in site.view("jobs"):
        site.call("DELETE", f"/v1/jobs/{job['job_id']}", token)


def _running(site: Site) -> int:
    return sum(1 for job in site.view("jobs") if job["state"] == "running")


def _is_placed(site: Site, job_id: str) -> bool:
    return site.view("explain", job_id)["state"] == "running"


def measure_leader_changes(site: Site) -> None:
    """Measure from the kill of the leader until another leader answers."""
    seconds = []
    for _ in range(REPEATS):
        name = site.leader()
        site.process_by_name[name].kill()
        seconds.append(
            _seconds_until(lambda: site.view("status") and site.leader() != name)  # noqa: B023
        )
        started = time.monotonic()
        site.process_by_name[name].start()
        site.wait_for(lambda: _has_caught_up(site), "every replica to catch up")
        click.echo(f"  {name} has caught up {time.monotonic() - started:.2f} s after its start")
    _print_durations("a new leader after the previous one was killed", seconds)


def _has_caught_up(site: Site) -> bool:
    replicas = (site.view("status") or {"replicas": []})["replicas"]
    return len(replicas) == 3 and all(r["behind"] == 0 and r["heard_s_ago"] < 1 for r in replicas)


def measure_takeover(site: Site) -> None:
    """Measure from the kill of an entry host until its workers are adopted by the other."""
    site.process_by_name["e1"].kill()
    seconds = _seconds_until(
        lambda: all(t["owner"] == "e0" and t["adopted"] for t in site.view("targets"))
    )
    _print_durations("workers of a killed entry host adopted by another", [seconds])


@click.command()
def main() -> None:
    """Measure all durations on one site."""
    with tempfile.TemporaryDirectory() as folder:
        site = Site(folder, controls=3, entries=2, workers=4, declarations=DECLARATIONS)
        with site.running():
            measure_configuration_changes(site, 20)
            measure_urgent_placement(site)
            measure_leader_changes(site)
            measure_takeover(site)


if __name__ == "__main__":
    main()
