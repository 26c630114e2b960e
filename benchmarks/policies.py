"""Compares routing and interference policies on real processes, with baselines in the same run.

Each line is one run of a site on loopback: a scenario, a policy, a seed.  The
order of policies is shuffled by the seed, so that a drift of the machine's speed
does not favour one.
"""

import random
import tempfile

import attrs
import click

from savoryshelf.entry.routing import POLICIES as ROUTING
from standins.load import LoadPlan
from standins.site import DECLARATIONS, Site

TARGET_MS = 250
JOB_RUN_S = 2.0
WARM_UP_SHARE = 0.4
"""Share of a run that is excluded from the latencies, while policies learn."""


@attrs.frozen
class Scenario:
    """Load and worker faults of a run; rates are per second."""

    name: str
    worker_options: tuple[str, ...]
    critical_per_s: float
    jobs_per_s: float
    work_ms: float = 40.0


SCENARIOS = [
    Scenario("no batch", (), 60.0, 0.0),
    Scenario("noisy pairs", ("--noise", "routing=0.8"), 60.0, 6.0),
    Scenario("one worker fails all", ("--bad-worker", "fails_everything"), 60.0, 2.0),
]


def _run(scenario: Scenario, routing: str, interference: str, seed: int, seconds: float) -> str:
    with tempfile.TemporaryDirectory() as folder:
        site = Site(
            folder,
            controls=3,
            entries=2,
            workers=8,
            declarations=DECLARATIONS,
            worker_options=list(scenario.worker_options),
        )
        for name in ("e0", "e1"):
            site.process_by_name[name].environment["SAVORYSHELF_ROUTING_POLICY"] = routing
        for name in ("c0", "c1", "c2"):
            environment = site.process_by_name[name].environment
            environment["SAVORYSHELF_INTERFERENCE_POLICY"] = interference
        with site.running():
            plan = LoadPlan(
                entry_urls=site.entry_urls,
                token=site.team_token(),
                service="quotes",
                critical_per_s=scenario.critical_per_s,
                jobs_per_s=scenario.jobs_per_s,
                job_classes=["routing"],
                unrepeatable_classes=set(),
                seconds=seconds,
                seed=seed,
                work_ms=scenario.work_ms,
                run_s=JOB_RUN_S,
                urgent_share=0.0,
                warm_up_s=seconds * WARM_UP_SHARE,
            )
            with site.under_load(plan) as load_results:
                pass
            results = load_results[0]
            evictions = sum(job["evictions"] for job in site.view("jobs"))
    percentiles = [results.latency_ms(p) for p in (50, 99, 99.9)]
    sent = sum(1 for line in results.lines if line.kind == "critical")
    row = [
        scenario.name,
        routing,
        interference,
        seed,
        *(f"{value:.0f}" for value in percentiles),
        f"{results.share_within(TARGET_MS) * results.count('critical', 'answered') / sent:.3f}",
        results.count("job", "done"),
        evictions,
        results.reasons or "none",
    ]
    return "| " + " | ".join(str(cell) for cell in row) + " |"


@click.command()
@click.option("--seconds", default=10.0)
@click.option("--seeds", default=2)
@click.option("--only", default="", help="Only scenarios whose name contains TEXT.")
def main(seconds: float, seeds: int, only: str) -> None:
    """Compare the policies in every scenario."""
    click.echo(
        "| scenario | routing | interference | seed | p50 ms | p99 ms | p99.9 ms | "
        f"within {TARGET_MS} ms | jobs done | evictions | refusals |"
    )
    click.echo("|---" * 11 + "|")
    for scenario in [each for each in SCENARIOS if only in each.name]:
        for seed in range(1, seeds + 1):
            pairs = [(routing, "limit_then_evict") for routing in sorted(ROUTING)]
            pairs.append(("expected_latency", "none"))
            random.Random(seed).shuffle(pairs)
            for routing, interference in pairs:
                click.echo(_run(scenario, routing, interference, seed, seconds))


if __name__ == "__main__":
    main()
