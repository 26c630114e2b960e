"""Places queued batch attempts on workers; the result depends only on the arguments.

Attempts are placed in this order: urgent ones first, then those of the team
that uses the smallest share of its quota, then the oldest.  A job that fits
on no worker now reserves one, which the jobs behind it then leave alone;
otherwise smaller ones could take whatever comes free, and it would wait without
end.  Once as many workers are reserved as may be, such a job is skipped.
"""

import heapq
import random
from collections import defaultdict
from collections.abc import Callable

import attrs

from ..registry import registry_decorator

MAX_STARTS_PER_ROUND = 256
MAX_SAMPLED_WORKERS = 64

MAX_RESERVED_SHARE = 0.1
"""Share of the workers that may be reserved in one round for jobs that fit on none; one always may.

A reserved worker is partly idle until enough of its runs have ended; how long that takes is not
known here.
"""


@attrs.define
class FreeCapacity:
    """Resources that are free for batch work on one worker."""

    worker_id: str
    incarnation: str
    rack: str
    slots: int
    cores: float
    memory_mb: float
    accelerators: int
    total_slots: int = 1
    slowdown: float = 1.0
    """Recent run time of tasks on this worker, over that of their batch class on other workers."""

    max_slots: int = 1
    """Slots for batch work if none is in use and interference limits none."""

    _whole: tuple[float, float, int] = attrs.field(init=False, eq=False)
    """Cores, memory and accelerators before any allocation."""

    @_whole.default
    def _initial_resources(self) -> tuple[float, float, int]:
        return self.cores, self.memory_mb, self.accelerators

    def could_ever_fit(self, demand: "Demand") -> bool:
        """Return whether the worker could run the demand if it ran no other batch work."""
        cores, memory_mb, accelerators = self._whole
        return (
            self.max_slots >= 1
            and cores >= demand.cores
            and memory_mb >= demand.memory_mb
            and accelerators >= demand.accelerators
        )

    def fits(self, demand: "Demand") -> bool:
        """Return whether the free resources cover the demand."""
        return (
            self.slots >= 1
            and self.cores >= demand.cores
            and self.memory_mb >= demand.memory_mb
            and self.accelerators >= demand.accelerators
        )

    def shortage(self, demand: "Demand") -> float:
        """Return what is missing for the demand, as the largest share of any whole resource.

        Only for workers that could ever fit it; 0 or less if it fits now.
        """
        cores, memory_mb, accelerators = self._whole
        missing = [(1 - self.slots) / self.max_slots]
        for needed, free, whole in (
            (demand.cores, self.cores, cores),
            (demand.memory_mb, self.memory_mb, memory_mb),
            (demand.accelerators, self.accelerators, accelerators),
        ):
            if needed:
                missing.append((needed - free) / whole)
        return max(missing)

    def allocate(self, demand: "Demand") -> None:
        """Subtract the demand from the free resources."""
        self.slots -= 1
        self.cores -= demand.cores
        self.memory_mb -= demand.memory_mb
        self.accelerators -= demand.accelerators


@attrs.frozen
class Demand:
    """The resources that one queued attempt needs, and the fields that decide its priority."""

    job_id: str
    attempt: int
    team: str
    urgent: bool
    submitted_ms: int
    cores: float
    memory_mb: float
    accelerators: int
    avoid_worker_id: str = ""
    """Worker of the previous attempt, or empty; another worker is preferred."""


@attrs.frozen
class Placement:
    """The decision to start an attempt on one incarnation of a worker."""

    demand: Demand
    worker_id: str
    incarnation: str


Policy = Callable[[Demand, list[FreeCapacity], random.Random], FreeCapacity]
POLICIES: dict[str, Policy] = {}


policy = registry_decorator(POLICIES)
"""Registers a policy, which chooses one of the workers that fit a demand."""


@policy("calm")
def _lowest_slowdown(
    demand: Demand, fitting: list[FreeCapacity], rng: random.Random
) -> FreeCapacity:
    """Choose a worker by these criteria, in this order.

    It is not ``avoid_worker_id``; it has no accelerators if the job needs none,
    which keeps them for jobs that do; its slowdown is lowest, in steps of 0.1, so
    that smaller differences do not outweigh the free slots; and the largest share
    of its slots is free.
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
    """Return at most ``MAX_STARTS_PER_ROUND`` placements, and subtract them from ``capacities``."""
    running = defaultdict(int, running_by_team)
    available = [capacity for capacity in capacities if capacity.slots > 0]
    reserved_ids: set[str] = set()
    max_reserved = max(1, int(MAX_RESERVED_SHARE * len(capacities)))
    placements: list[Placement] = []
    for demand in _in_priority_order(demands, running, quota_by_team):
        if len(placements) >= MAX_STARTS_PER_ROUND or not available:
            break
        fitting = _fitting_capacities(demand, available, rng)
        if not fitting:
            if len(reserved_ids) < max_reserved:
                unreserved = [c for c in capacities if c.worker_id not in reserved_ids]
                nearest = _nearest_to_fit(demand, unreserved)
                if nearest is not None:
                    reserved_ids.add(nearest.worker_id)
                    available = [c for c in available if c.worker_id != nearest.worker_id]
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
    """Return the workers that fit, from a sample of a large fleet.

    All workers are checked if none of the sample fits.  The best of a sample is
    nearly as good as the best of all, and checking every worker for every
    attempt dominates the cost of placement.
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


def _nearest_to_fit(demand: Demand, capacities: list[FreeCapacity]) -> FreeCapacity | None:
    """Return the worker that lacks least for the demand, of those that could ever fit it.

    While it is reserved it only gains room, so the next round chooses it again, or a better one.
    """
    return min(
        (capacity for capacity in capacities if capacity.could_ever_fit(demand)),
        key=lambda capacity: (
            capacity.shortage(demand),
            capacity.worker_id == demand.avoid_worker_id,
            capacity.worker_id,
        ),
        default=None,
    )


def _in_priority_order(
    demands: list[Demand], running: dict[str, int], quota_by_team: dict[str, int]
):
    """Yield the demands in the order that the module describes.

    The caller updates ``running`` between two demands.  Each team has a queue;
    the heap orders the teams by their next demand and their share of the
    quota.  A team that has reached its quota is dropped.
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
