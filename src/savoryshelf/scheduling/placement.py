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
SAMPLE_ROOMS = 64


@attrs.define
class Room:
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

    def take(self, demand: "Demand") -> None:
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


Policy = Callable[[Demand, list[Room], random.Random], Room]
POLICIES: dict[str, Policy] = {}


policy = registry_decorator(POLICIES)
"""Registers a policy; it chooses among the rooms which fit."""


@policy("calm")
def _calm(demand: Demand, fitting: list[Room], randomness: random.Random) -> Room:
    """Prefer workers where tasks run undisturbed, then the emptiest.

    A worker with accelerators is kept for work which needs them.
    """
    return min(
        fitting,
        key=lambda room: (
            room.worker_id == demand.avoid_worker_id,
            room.accelerators > 0 and demand.accelerators == 0,
            round(room.slowdown, 1),
            -room.slots / room.total_slots,
            -room.cores,
            room.worker_id,
        ),
    )


@policy("least_loaded")
def _least_loaded(demand: Demand, fitting: list[Room], randomness: random.Random) -> Room:
    return max(fitting, key=lambda room: (room.slots / room.total_slots, room.cores))


@policy("random")
def _random(demand: Demand, fitting: list[Room], randomness: random.Random) -> Room:
    return randomness.choice(fitting)


def place(
    demands: list[Demand],
    rooms: list[Room],
    running_by_team: dict[str, int],
    quota_by_team: dict[str, int],
    choose: Policy,
    randomness: random.Random,
) -> list[Placement]:
    """Return the starts of this round; ``rooms`` is used up on the way."""
    running = defaultdict(int, running_by_team)
    open_rooms = [room for room in rooms if room.slots > 0]
    placements: list[Placement] = []
    for demand in _in_order(demands, running, quota_by_team):
        if len(placements) >= MAX_STARTS_PER_ROUND or not open_rooms:
            break
        fitting = _fitting(demand, open_rooms, randomness)
        if not fitting:
            continue
        room = choose(demand, fitting, randomness)
        room.take(demand)
        running[demand.team] += 1
        placements.append(Placement(demand, room.worker_id, room.incarnation))
        if room.slots == 0:
            open_rooms.remove(room)
    return placements


def _fitting(demand: Demand, rooms: list[Room], randomness: random.Random) -> list[Room]:
    """Return rooms that fit, from a sample of a large fleet, or from all if none of it does.

    The best of a sample is nearly as good as the best of all, and looking at
    every worker for every attempt is what placing costs.
    """
    if len(rooms) > SAMPLE_ROOMS:
        fitting = [room for room in randomness.sample(rooms, SAMPLE_ROOMS) if room.fits(demand)]
        if fitting:
            return fitting
    return [room for room in rooms if room.fits(demand)]


def _in_order(demands: list[Demand], running: dict[str, int], quota_by_team: dict[str, int]):
    """Yield demands in the order of the module's first paragraph, as ``running`` grows.

    Each team has a queue; the heap holds each team's share and next demand,
    and a team at its quota is dropped.
    """
    queue_by_team: dict[str, list[Demand]] = defaultdict(list)
    for demand in demands:
        queue_by_team[demand.team].append(demand)
    for queue in queue_by_team.values():
        queue.sort(key=lambda d: (not d.urgent, d.submitted_ms, d.job_id), reverse=True)
    heap = [_rank(team, queue[-1], running, quota_by_team) for team, queue in queue_by_team.items()]
    heapq.heapify(heap)
    while heap:
        *_, team = heapq.heappop(heap)
        if running[team] >= quota_by_team.get(team, 0):
            continue
        queue = queue_by_team[team]
        yield queue.pop()
        if queue:
            heapq.heappush(heap, _rank(team, queue[-1], running, quota_by_team))


def _rank(team: str, demand: Demand, running: dict[str, int], quota_by_team: dict[str, int]):
    share = running[team] / max(1, quota_by_team.get(team, 0))
    return (not demand.urgent, share, demand.submitted_ms, team)
