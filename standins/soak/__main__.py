"""Runs seeded soaks; exits with status 1 if a promise was broken."""

import pathlib
import shutil
import signal
import sys
import tempfile

import click

from .run import SIZES, run_soak


@click.command()
@click.option("--seed", default=1, help="The only seed, unless --seeds is given.")
@click.option("--seeds", default="", metavar="A-B", help="Range of seeds.")
@click.option("--seconds", default=30.0, help="Duration of the faults of each seed.")
@click.option("--size", type=click.Choice(list(SIZES)), default="usual")
@click.option("--closings/--no-closings", default=True, help="All hosts end at once, or never.")
@click.option("--best-effort/--no-best-effort", default=True, help="Runs that share workers.")
@click.option("--large/--no-large", default=True, help="Tasks of over half of a worker.")
@click.option("--crashes/--no-crashes", default=True, help="Workers lost together, late orders.")
@click.option("--links/--no-links", default=True, help="Links cut between hosts, power lost.")
@click.option("--resets/--no-resets", default=True, help="Connections of hosts reset, or never.")
@click.option("--losses/--no-losses", default=True, help="Disks lost in turn, near and far.")
@click.option("--logs", default="", help="Folder that keeps the logs of seeds with findings.")
def main(
    seed: int,
    seeds: str,
    seconds: float,
    size: str,
    closings: bool,
    best_effort: bool,
    large: bool,
    crashes: bool,
    links: bool,
    resets: bool,
    losses: bool,
    logs: str,
) -> None:
    """Run a series of faults for each seed, and print what was broken."""
    # Ends the processes of a run that is terminated.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    first, _, last = (seeds or f"{seed}-{seed}").partition("-")
    failed = []
    for number in range(int(first), int(last) + 1):
        folder = tempfile.mkdtemp(prefix=f"soak-{number}-", dir=logs or None)
        kinds = closings, best_effort, large, crashes, links, resets, losses
        result = run_soak(pathlib.Path(folder), number, seconds, size, *kinds)
        click.echo(result.summary())
        if not result.findings:
            shutil.rmtree(folder)
        else:
            failed.append(number)
            report = result.report(histories_per_kind=len(result.findings))
            pathlib.Path(folder, "findings.txt").write_text(report, encoding="utf-8")
            click.echo(f"{result.report(histories_per_kind=1)}\nall of it is in {folder}")
    click.echo(f"seeds {first} to {last}: {len(failed)} with findings {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
