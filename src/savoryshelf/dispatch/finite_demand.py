"""How much of each service finite work has needed of late, at its peak.

Long-running runs never release what they have, so as much as that is kept for finite ones.
"""

import math
from collections.abc import Iterable

import attrs

from ..tasks.job import StepGroup
from ..tasks.worker import Worker

HALF_LIFE_SECONDS = 30.0
"""Time in which a peak loses half of its weight: bursts come again, at other times."""


@attrs.define
class FiniteDemand:
    """The highest demand of finite work by service, in one leader's term; fades with time.

    Best-effort work counts for nothing, since it reserves no processors.
    """

    _peak_by_service: dict[str, float] = attrs.field(factory=dict)
    _recorded_at: float = 0.0

    def record(self, groups: Iterable[StepGroup], workers: Iterable[Worker], now: float) -> None:
        """Take note of what runs and of the startable steps; ``now`` is monotonic, in seconds."""
        demand_by_service: dict[str, float] = {}
        for worker in workers:
            finite = worker.used.millicores - worker.long_running.millicores
            if finite and not worker.has_ended:
                name = worker.record.service_name
                demand_by_service[name] = demand_by_service.get(name, 0) + finite
        for group in groups:
            if not group.spec.lasting and not group.spec.filling:
                name = group.job.queue.service_name
                waiting = group.spec.millicores * len(group.startable_indexes)
                demand_by_service[name] = demand_by_service.get(name, 0) + waiting
        remaining = math.exp2((self._recorded_at - now) / HALF_LIFE_SECONDS)
        self._recorded_at = now
        for name in demand_by_service.keys() | self._peak_by_service.keys():
            faded = self._peak_by_service.get(name, 0.0) * remaining
            self._peak_by_service[name] = max(faded, demand_by_service.get(name, 0))

    def peak_millicores(self, service_name: str) -> float:
        """Return the peak of a service in thousandths of a processor."""
        return self._peak_by_service.get(service_name, 0.0)
