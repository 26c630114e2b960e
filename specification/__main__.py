"""Checks that every model holds and that each mutant is refuted; exits 1 otherwise."""

import sys
import time

import click

from . import (  # noqa: F401
    agents,
    attempts,
    configuration,
    election,
    incarnations,
    lost_disks,
    ownership,
    repair,
)
from .model import MODELS, MUTANT_MAX_STATES, Specification, check, is_small

SMALL_BOUNDS = (
    "small bounds: election to term 3 of 4, repair logs of 2 entries of 3, "
    "membership logs of 1 entry of 2, lost-disks 4 voters of 5, lost-disks-changes to term 2 of 3, "
    "lost-disks-removals logs of 2 entries of 3 and 2 disks of 3"
)


@click.command()
@click.argument("names", nargs=-1)
def main(names: tuple[str, ...]) -> None:
    """Check the models called NAMES and their mutants; by default, all models."""
    if is_small():
        click.echo(SMALL_BOUNDS)
    chosen = [MODELS[name] for name in names] if names else list(MODELS.values())
    results = [_check_model(each) for each in chosen]
    sys.exit(0 if all(results) else 1)


def _check_model(model: Specification) -> bool:
    started = time.perf_counter()
    passed = True
    for outcome in check(model.make(frozenset(model.guards))):
        is_proved = outcome.holds is True and outcome.exhaustive
        passed = passed and is_proved
        result = "holds" if is_proved else "REFUTED" if outcome.holds is False else "UNDETERMINED"
        click.echo(
            f"{model.name}: {outcome.property_name}: {outcome.states} states, "
            f"exhaustive {outcome.exhaustive}, {result}"
        )
    for guard in model.checkable_guards:
        passed = _check_mutant(model, guard) and passed
    click.echo(f"{model.name}: {time.perf_counter() - started:.1f} s")
    return passed


def _check_mutant(model: Specification, guard: str) -> bool:
    mutant = model.make(frozenset(model.guards) - {guard})
    refuted = [outcome for outcome in check(mutant, MUTANT_MAX_STATES) if outcome.holds is False]
    for outcome in refuted:
        click.echo(
            f"{model.name}: without '{guard}': refuted, {outcome.trace_length} states: "
            f"{outcome.property_name}"
        )
    if not refuted:
        click.echo(f"{model.name}: without '{guard}': NOT REFUTED")
    return bool(refuted)


if __name__ == "__main__":
    main()
