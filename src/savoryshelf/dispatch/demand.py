"""How much room runs that end ask for, so that lasting ones leave it to them."""

import math

import attrs

AVERAGE_SECONDS = 5.0
"""Time constant of the average: some steps of a job, short against a lasting run."""

SWING = 1.5
"""How far demand rises above its average before callers wait: bursts are about half more."""

LEAST_SHARE = 0.08
"""Share of a service's processors left to runs that end before any demand was seen."""

MOST_SHARE = 0.2
"""However many runs wait: lasting work may not be kept out by a backlog alone."""


@attrs.define
class EndingDemand:
    """Average processors asked for by runs that end, running or waiting, by service."""

    _millicores_by_service: dict[str, float] = attrs.field(factory=dict)
    _noted_at: float | None = None

    def note(self, millicores_by_service: dict[str, int], now: float) -> None:
        """Take in what is asked for now."""
        passed = 0.0 if self._noted_at is None else max(0.0, now - self._noted_at)
        self._noted_at = now
        share = 1.0 - math.exp(-passed / AVERAGE_SECONDS)
        held = self._millicores_by_service
        for service in held.keys() | millicores_by_service.keys():
            asked = millicores_by_service.get(service, 0)
            average = held.get(service, 0.0)
            held[service] = average + share * (asked - average)

    def share(self, service: str, total_millicores: int) -> float:
        """Return the share of a service's processors to be left to runs that end."""
        asked = SWING * self._millicores_by_service.get(service, 0.0) / max(1, total_millicores)
        return min(MOST_SHARE, max(LEAST_SHARE, asked))
