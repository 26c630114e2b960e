"""Chooses the attempts to evict when an urgent job fits on no worker."""

from collections.abc import Iterable

import attrs


@attrs.frozen
class Candidate:
    """A running attempt that may be evicted, with the resources that this would free."""

    job_id: str
    attempt: int
    worker_id: str
    cores: float
    memory_mb: float
    accelerators: int
    runtime_s: float
    evictions: int


@attrs.frozen
class Shortfall:
    """Resources that a worker lacks for the urgent attempt; zero or less where it has enough."""

    slots: int
    cores: float
    memory_mb: float
    accelerators: int

    def is_covered_by(self, victims: list[Candidate]) -> bool:
        """Return whether evicting these attempts frees enough of every resource."""
        return (
            len(victims) >= self.slots
            and sum(v.cores for v in victims) >= self.cores
            and sum(v.memory_mb for v in victims) >= self.memory_mb
            and sum(v.accelerators for v in victims) >= self.accelerators
        )


def cost(victim: Candidate, eviction_weight: float) -> float:
    """Return the cost of evicting this attempt, in seconds.

    The whole run time counts as work at risk, because a checkpoint preserves
    it only if the checkpoint succeeds.  This eviction and each earlier one of
    the attempt add 60 seconds times the operator's ``eviction_weight``, so that no
    attempt starves.
    """
    return victim.runtime_s + 60.0 * eviction_weight * (1 + victim.evictions)


def choose_victims(
    shortfall_by_worker: dict[str, Shortfall],
    candidates: Iterable[Candidate],
    eviction_weight: float,
) -> list[Candidate]:
    """Return attempts on one worker that together cover its shortfall, or an empty list.

    On each worker, attempts are taken in order of cost until they suffice; of
    these sets, the one with the lowest total cost is returned.  A cheaper set may
    exist, because the order ignores how many resources each attempt frees.
    """
    candidates_by_worker: dict[str, list[Candidate]] = {}
    for candidate in candidates:
        candidates_by_worker.setdefault(candidate.worker_id, []).append(candidate)
    best: tuple[float, list[Candidate]] | None = None
    for worker_id, shortfall in shortfall_by_worker.items():
        victims = _choose_victims_on_worker(
            shortfall, candidates_by_worker.get(worker_id, []), eviction_weight
        )
        if victims is None:
            continue
        total = sum(cost(victim, eviction_weight) for victim in victims)
        if best is None or total < best[0]:
            best = (total, victims)
    return best[1] if best else []


def _choose_victims_on_worker(
    shortfall: Shortfall, candidates: list[Candidate], eviction_weight: float
) -> list[Candidate] | None:
    ordered = sorted(candidates, key=lambda c: (cost(c, eviction_weight), c.job_id))
    victims: list[Candidate] = []
    for candidate in ordered:
        if shortfall.is_covered_by(victims):
            return victims
        victims.append(candidate)
    return victims if shortfall.is_covered_by(victims) else None
