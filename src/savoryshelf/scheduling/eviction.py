"""Who must yield when urgent work finds no room."""

from collections.abc import Iterable

import attrs


@attrs.frozen
class Candidate:
    """A running attempt that could be evicted."""

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
    """What a worker lacks for the urgent attempt."""

    slots: int
    cores: float
    memory_mb: float
    accelerators: int

    def is_covered_by(self, victims: list[Candidate]) -> bool:
        """Return whether evicting these frees enough."""
        return (
            len(victims) >= self.slots
            and sum(v.cores for v in victims) >= self.cores
            and sum(v.memory_mb for v in victims) >= self.memory_mb
            and sum(v.accelerators for v in victims) >= self.accelerators
        )


def cost(victim: Candidate, eviction_weight: float) -> float:
    """Return what evicting this attempt costs: work at risk, and the operator's weight.

    A checkpoint keeps the work, but only if it succeeds; and an attempt which
    was evicted before costs more each time, so that none starves.
    """
    return victim.runtime_s + 60.0 * eviction_weight * (1 + victim.evictions)


def choose_victims(
    shortfall_by_worker: dict[str, Shortfall],
    candidates: Iterable[Candidate],
    eviction_weight: float,
) -> list[Candidate]:
    """Return the cheapest set on one worker which makes room, or nothing."""
    candidates_by_worker: dict[str, list[Candidate]] = {}
    for candidate in candidates:
        candidates_by_worker.setdefault(candidate.worker_id, []).append(candidate)
    best: tuple[float, list[Candidate]] | None = None
    for worker_id, shortfall in shortfall_by_worker.items():
        victims = _cheapest_victims(
            shortfall, candidates_by_worker.get(worker_id, []), eviction_weight
        )
        if victims is None:
            continue
        total = sum(cost(victim, eviction_weight) for victim in victims)
        if best is None or total < best[0]:
            best = (total, victims)
    return best[1] if best else []


def _cheapest_victims(
    shortfall: Shortfall, candidates: list[Candidate], eviction_weight: float
) -> list[Candidate] | None:
    ordered = sorted(candidates, key=lambda c: (cost(c, eviction_weight), c.job_id))
    victims: list[Candidate] = []
    for candidate in ordered:
        if shortfall.is_covered_by(victims):
            return victims
        victims.append(candidate)
    return victims if shortfall.is_covered_by(victims) else None
