"""Demo: runs a site on loopback under mixed load and kills its control leader.

Exits with status 0 only if no guarantee was violated: nothing was lost or run twice.
"""

import sys
import tempfile
import time

import click

from .load import LoadPlan, find_violations, format_summary
from .site import Site


@click.command()
@click.option("--seconds", default=20.0, help="Duration of the load in seconds.")
@click.option("--critical-per-s", default=60.0)
@click.option("--jobs-per-s", default=4.0)
@click.option("--seed", default=1)
def main(seconds: float, critical_per_s: float, jobs_per_s: float, seed: int) -> None:
    """Run a site on loopback under load and kill its control leader halfway.

    Sends --critical-per-s critical requests and --jobs-per-s batch jobs per second
    on average, at times drawn from --seed.  Prints a summary; exits with status 1
    if a guarantee was violated.
    """
    with tempfile.TemporaryDirectory() as folder:
        site = Site(folder, controls=3, entries=2, workers=8)
        click.echo("starting 3 control hosts, 2 entry hosts and 8 stand-in workers ...")
        with site.running():
            plan = LoadPlan(
                entry_urls=site.entry_urls,
                token=site.team_token(),
                service="quotes",
                critical_per_s=critical_per_s,
                jobs_per_s=jobs_per_s,
                job_classes=["routing", "truck-dispatch"],
                unrepeatable_classes={"truck-dispatch"},
                seconds=seconds,
                seed=seed,
            )
            click.echo(f"sending load for {seconds:.0f} s; the control leader is killed halfway")
            with site.under_load(plan) as collected:
                time.sleep(seconds / 2)
                _kill_leader(site)
            results = collected[0]
        check = site.check_record(results)
        click.echo(format_summary(results, check))
        violations = find_violations(results, check)
        for violation in violations:
            click.echo(f"VIOLATION {violation}")
        click.echo(
            "nothing lost, nothing run twice" if not violations else "guarantees were violated"
        )
    sys.exit(1 if violations else 0)


def _kill_leader(site: Site) -> None:
    name = site.leader()
    click.echo(f"killing the control leader {name}")
    site.process_by_name[name].kill()


if __name__ == "__main__":
    main()
