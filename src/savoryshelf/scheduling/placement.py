"""Where waiting batch attempts go: a pure function from what is known to starts.

The order is: urgent work first, then the team that uses the least of its
quota, then the oldest.  A job that fits nowhere now is passed over and never
holds up those behind it.
"""

import heapq
import random
from collections import defaultdict
from collections.abc import Callable

import attrs

from ..registry import registry_decorator

MAX_STARTS_PER_ROUND = 256
MAX_SAMPLED_WORKERS = 64


@attrs.define
class FreeCapacity:
    """What one worker has left for batch work."""

    worker_id: str
    incarnation: str
    rack: str
    slots: int
    cores: float
    memory_mb: float
    accelerators: int
    total_slots: int = 1
    slowdown: float = 1.0
    """How much longer tasks lately took here than their class needs elsewhere."""

    def fits(self, demand: "Demand") -> bool:
        """Return whether the demand fits what is left."""
        return (
            self.slots >= 1
            and self.cores >= demand.cores
            and self.memory_mb >= demand.memory_mb
            and self.accelerators >= demand.accelerators
        )

    def allocate(self, demand: "Demand") -> None:
        """Count the demand as placed here."""
        self.slots -= 1
        self.cores -= demand.cores
        self.memory_mb -= demand.memory_mb
        self.accelerators -= demand.accelerators


@attrs.frozen
class Demand:
    """One attempt that waits to be placed."""

    job_id: str
    attempt: int
    team: str
    urgent: bool
    submitted_ms: int
    cores: float
    memory_mb: float
    accelerators: int
    avoid_worker_id: str = ""


@attrs.frozen
class Placement:
    """A decision: this attempt starts on this worker."""

    demand: Demand
    worker_id: str
    incarnation: str


Policy = Callable[[Demand, list[FreeCapacity], random.Random], FreeCapacity]
POLICIES: dict[str, Policy] = {}


policy = registry_decorator(POLICIES)
"""Registers a policy; it chooses among the rooms which fit."""


@policy("calm")
def _calm(demand: Demand, fitting: list[FreeCapacity], rng: random.Random) -> FreeCapacity:
    """Prefer workers where tasks run undisturbed, then the emptiest.

    A worker with accelerators is kept for work which needs them.
    """
    return min(
        fitting,
        key=lambda capacity: (
            capacity.worker_id == demand.avoid_worker_id,
            capacity.accelerators > 0 and demand.accelerators == 0,
            round(capacity.slowdown, 1),
            -capacity.slots / capacity.total_slots,
            -capacity.cores,
            capacity.worker_id,
        ),
    )


@policy("least_loaded")
def _least_loaded(demand: Demand, fitting: list[FreeCapacity], rng: random.Random) -> FreeCapacity:
    return max(
        fitting, key=lambda capacity: (capacity.slots / capacity.total_slots, capacity.cores)
    )


@policy("random")
def _random(demand: Demand, fitting: list[FreeCapacity], rng: random.Random) -> FreeCapacity:
    return rng.choice(fitting)


def place(
    demands: list[Demand],
    capacities: list[FreeCapacity],
    running_by_team: dict[str, int],
    quota_by_team: dict[str, int],
    choose: Policy,
    rng: random.Random,
) -> list[Placement]:
    """Return the starts of this round; ``rooms`` is used up on the way."""
    running = defaultdict(int, running_by_team)
    available = [capacity for capacity in capacities if capacity.slots > 0]
    placements: list[Placement] = []
    for demand in _in_priority_order(demands, running, quota_by_team):
        if len(placements) >= MAX_STARTS_PER_ROUND or not available:
            break
        fitting = _fitting_capacities(demand, available, rng)
        if not fitting:
            continue
        capacity = choose(demand, fitting, rng)
        capacity.allocate(demand)
        running[demand.team] += 1
        placements.append(Placement(demand, capacity.worker_id, capacity.incarnation))
        if capacity.slots == 0:
            available.remove(capacity)
    return placements


def _fitting_capacities(
    demand: Demand, capacities: list[FreeCapacity], rng: random.Random
) -> list[FreeCapacity]:
    """Return rooms that fit, from a sample of a large fleet, or from all if none of it does.

    The best of a sample is nearly as good as the best of all, and looking at
    every worker for every attempt is what placing costs.
    """
    if len(capacities) > MAX_SAMPLED_WORKERS:
        fitting = [
            capacity
            for capacity in rng.sample(capacities, MAX_SAMPLED_WORKERS)
            if capacity.fits(demand)
        ]
        if fitting:
            return fitting
    return [capacity for capacity in capacities if capacity.fits(demand)]


def _in_priority_order(
    demands: list[Demand], running: dict[str, int], quota_by_team: dict[str, int]
):
    """Yield demands in the order of the module's first paragraph, as ``running`` grows.

    Each team has a queue; the heap holds each team's share and next demand,
    and a team at its quota is dropped.
    """
    queue_by_team: dict[str, list[Demand]] = defaultdict(list)
    for demand in demands:
        queue_by_team[demand.team].append(demand)
    for queue in queue_by_team.values():
        queue.sort(key=lambda d: (not d.urgent, d.submitted_ms, d.job_id), reverse=True)
    heap = [
        _sort_key(team, queue[-1], running, quota_by_team) for team, queue in queue_by_team.items()
    ]
    heapq.heapify(heap)
    while heap:
        *_, team = heapq.heappop(heap)
        if running[team] >= quota_by_team.get(team, 0):
            continue
        queue = queue_by_team[team]
        yield queue.pop()
        if queue:
            heapq.heappush(heap, _sort_key(team, queue[-1], running, quota_by_team))


def _sort_key(team: str, demand: Demand, running: dict[str, int], quota_by_team: dict[str, int]):
    share = running[team] / max(1, quota_by_team.get(team, 0))
    return (not demand.urgent, share, demand.submitted_ms, team)
