"""Latency of the critical path compared with a direct call to a worker in the same run.

Prints the added latency, the processor time per request of each role, the
requests per second that one core of an entry host could handle, and memory.
"""

import json
import statistics
import tempfile
import time

import click
import urllib3

from savoryshelf.tokens import TARGET, issue
from standins.load import LoadPlan
from standins.site import TOKEN_KEY, Site

from .processes import daemons, usage_of

SERIAL_CALLS = 400
BODY = json.dumps({"key": "speed", "work_ms": 0, "padding": "x" * 150}).encode()


def _median_and_p99(call) -> tuple[float, float]:
    seconds = []
    for _ in range(SERIAL_CALLS):
        started = time.perf_counter()
        call()
        seconds.append(time.perf_counter() - started)
    return statistics.median(seconds) * 1000, statistics.quantiles(seconds, n=100)[98] * 1000


def _direct_call(site: Site):
    """Return a function that calls a worker directly, with the headers of its owner."""
    target = site.view("targets")[0]
    announced = site.worker_url(target["worker_id"])
    pool = urllib3.connection_from_url(announced, maxsize=1)
    headers = {
        "Authorization": f"Bearer {issue(TOKEN_KEY, TARGET)}",
        "Savoryshelf-Epoch": str(target["epoch"]),
        "Savoryshelf-Worker": target["worker_id"],
        "Savoryshelf-Incarnation": target["incarnation"],
        "Savoryshelf-Size": "1;10",
        "Savoryshelf-Request-Id": "direct",
    }

    def call():
        answer = pool.urlopen("POST", "/v1/services/quotes", body=BODY, headers=headers)
        assert answer.status == 200

    return call


def _call_through_entry(site: Site):
    pool = urllib3.connection_from_url(site.entry_urls[0], maxsize=1)
    headers = {"Authorization": f"Bearer {site.team_token()}"}

    def call():
        answer = pool.urlopen("POST", "/v1/services/quotes", body=BODY, headers=headers)
        assert answer.status == 200

    return call


@click.command()
@click.option("--seconds", default=10.0, help="Duration of the open-loop load.")
@click.option("--rate", default=150.0, help="Critical requests per second.")
def main(seconds: float, rate: float) -> None:
    """Measure the critical path."""
    with tempfile.TemporaryDirectory() as folder:
        site = Site(folder, controls=3, entries=2, workers=8)
        with site.running():
            direct, through = _direct_call(site), _call_through_entry(site)
            direct_ms, direct_p99 = _median_and_p99(direct)
            through_ms, through_p99 = _median_and_p99(through)
            click.echo(f"direct call: median {direct_ms:.2f} ms, p99 {direct_p99:.2f} ms")
            click.echo(f"through an entry: median {through_ms:.2f} ms, p99 {through_p99:.2f} ms")
            click.echo(f"added: median {through_ms - direct_ms:.2f} ms")
            _open_load(site, seconds, rate)


def _open_load(site: Site, seconds: float, rate: float) -> None:
    plan = LoadPlan(
        entry_urls=site.entry_urls,
        token=site.team_token(),
        service="quotes",
        critical_per_s=rate,
        jobs_per_s=0.0,
        job_classes=[],
        unrepeatable_classes=set(),
        seconds=seconds,
        work_ms=5.0,
    )
    before = {name: usage_of(site, name) for name in daemons(site)}
    with site.under_load(plan) as load_results:
        pass
    after = {name: usage_of(site, name) for name in daemons(site)}
    answered = load_results[0].count("critical", "answered")
    click.echo(f"open-loop load: {rate:.0f} a second for {seconds:.0f} s, {answered} answered")
    spent = {name: after[name].cpu_s - before[name].cpu_s for name in after}
    entry_s = sum(cpu for name, cpu in spent.items() if name.startswith("e"))
    control_s = sum(cpu for name, cpu in spent.items() if name.startswith("c"))
    click.echo(f"entry: {entry_s / answered * 1e6:.0f} us of CPU a request")
    click.echo(f"control, all three: {control_s / answered * 1e6:.0f} us of CPU a request")
    click.echo(f"one core of an entry host: {answered / entry_s:.0f} requests a second")
    memory = {name: round(each.memory_mb) for name, each in after.items()}
    click.echo(f"memory, MB: {memory}")
    p50, p99 = load_results[0].latency_ms(50), load_results[0].latency_ms(99)
    click.echo(f"latency under this load: p50 {p50:.1f} ms, p99 {p99:.1f} ms")


if __name__ == "__main__":
    main()
