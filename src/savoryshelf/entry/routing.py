"""Policies that choose, among workers with capacity, the one for a critical request."""

import random
from collections.abc import Callable

from ..registry import registry_decorator
from .targets import OwnedTarget

Policy = Callable[[str, list[OwnedTarget], random.Random, float], OwnedTarget]
POLICIES: dict[str, Policy] = {}


policy = registry_decorator(POLICIES)
"""Registers a policy; it chooses at time ``now`` among workers that all have capacity."""


@policy("expected_latency")
def _expected_latency(
    service: str, targets: list[OwnedTarget], rng: random.Random, now: float
) -> OwnedTarget:
    """Prefer the worker with the lowest expected latency.

    The observed latency for this service includes the slowdown by co-located
    work; the utilisation predicts how it will change.  A worker
    without samples has latency 0, so that it is tried.
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
    """Choose the least recently used worker."""
    return min(targets, key=lambda t: (t.last_dispatch_number, t.worker_id))


def _choose_lowest(targets: list[OwnedTarget], key, rng: random.Random) -> OwnedTarget:
    """Return the lowest by ``key``; ties break at random, or all hosts would pick the same."""
    keys = [key(target) for target in targets]
    lowest = min(keys)
    return rng.choice([t for t, k in zip(targets, keys, strict=True) if k == lowest])
