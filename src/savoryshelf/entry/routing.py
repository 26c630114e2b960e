"""Which of the workers with room gets a critical request; each policy by name."""

import random
from collections.abc import Callable

from ..registry import registry_decorator
from .targets import OwnedTarget

Policy = Callable[[str, list[OwnedTarget], random.Random, float], OwnedTarget]
POLICIES: dict[str, Policy] = {}


policy = registry_decorator(POLICIES)
"""Registers a policy; it chooses, at a time, among workers which all have room."""


@policy("expected_latency")
def _expected_latency(
    service: str, targets: list[OwnedTarget], rng: random.Random, now: float
) -> OwnedTarget:
    """Prefer the worker that is expected to answer first.

    Its learned latency for this service already holds the slow-down by its
    neighbours; what is outstanding there says how that is about to change.  A
    worker not tried yet counts as fast, so that it is tried.
    """

    def expected(target: OwnedTarget) -> tuple[float, float]:
        latency = target.mean_latency(service, now)
        utilisation = target.outstanding / max(1, target.worker.slots)
        return latency * (1 + utilisation), utilisation

    return _choose_lowest(targets, expected, rng)


@policy("least_outstanding")
def _least_outstanding(
    service: str, targets: list[OwnedTarget], rng: random.Random, now: float
) -> OwnedTarget:
    return _choose_lowest(targets, lambda t: t.outstanding / max(1, t.worker.slots), rng)


@policy("two_choices")
def _two_choices(
    service: str, targets: list[OwnedTarget], rng: random.Random, now: float
) -> OwnedTarget:
    sample = rng.sample(targets, min(2, len(targets)))
    return min(sample, key=lambda t: t.outstanding / max(1, t.worker.slots))


@policy("random")
def _random(
    service: str, targets: list[OwnedTarget], rng: random.Random, now: float
) -> OwnedTarget:
    return rng.choice(targets)


@policy("round_robin")
def _round_robin(
    service: str, targets: list[OwnedTarget], rng: random.Random, now: float
) -> OwnedTarget:
    """Take the worker that was dispatched to longest ago."""
    return min(targets, key=lambda t: (t.last_dispatch_number, t.worker_id))


def _choose_lowest(targets: list[OwnedTarget], key, rng: random.Random) -> OwnedTarget:
    """Return the least by ``key``; equals are drawn at random, so that hosts do not herd."""
    keys = [key(target) for target in targets]
    lowest = min(keys)
    return rng.choice([t for t, k in zip(targets, keys, strict=True) if k == lowest])
