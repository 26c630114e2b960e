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
    _largest_by_service: dict[str, float] = attrs.field(factory=dict)
    """The most that one waiting task needed."""

    _recorded_at: float = 0.0

    def record(self, groups: Iterable[StepGroup], workers: Iterable[Worker], now: float) -> None:
        """Take note of what runs and of the startable steps; ``now`` is monotonic, in seconds."""
        demand_by_service: dict[str, float] = {}
        largest_by_service: dict[str, float] = {}
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
                largest = max(group.spec.millicores, largest_by_service.get(name, 0))
                largest_by_service[name] = largest
        remaining = math.exp2((self._recorded_at - now) / HALF_LIFE_SECONDS)
        self._recorded_at = now
        _update(self._peak_by_service, demand_by_service, remaining)
        _update(self._largest_by_service, largest_by_service, remaining)

    def peak_millicores(self, service_name: str) -> float:
        """Return the peak of a service in thousandths of a processor."""
        return self._peak_by_service.get(service_name, 0.0)

    def largest_millicores(self, service_name: str) -> float:
        """Return what the largest task of a service needed, in thousandths of a processor."""
        return self._largest_by_service.get(service_name, 0.0)


def _update(peaks: dict[str, float], values: dict[str, float], remaining: float) -> None:
    """Let peaks fade to the share that remains, and raise them to new values."""
    for name in peaks.keys() | values.keys():
        peaks[name] = max(peaks.get(name, 0.0) * remaining, values.get(name, 0))
