"""How much of each service finite work has needed of late, at its peak.

Long-running runs never release what they have, so as much as that is kept for finite ones.
"""

import math
from collections.abc import Iterable

import attrs

from ..tasks.job import StepGroup
from ..tasks.worker import Worker
from ..wire.generated.ttypes import StepSpec

HALF_LIFE_SECONDS = 30.0
"""Time in which a peak loses half of its weight: bursts come again, at other times."""

RECENT_HALF_LIFE_SECONDS = 5.0
"""The same for what decides whether more work is accepted: room that is free again is offered."""


@attrs.define
class FiniteDemand:
    """The highest demand of finite work by service, in one leader's term; fades with time.

    Best-effort work counts for nothing, since it reserves no processors.
    """

    _peak_by_service: dict[str, float] = attrs.field(factory=dict)
    _recent_by_service: dict[str, float] = attrs.field(factory=dict)
    _largest_by_service: dict[str, float] = attrs.field(factory=dict)
    """The most that one waiting task needed."""

    _recorded_at: float = 0.0

    def record(self, groups: Iterable[StepGroup], workers: Iterable[Worker], now: float) -> None:
        """Take note of what runs and of the startable steps; ``now`` is monotonic, in seconds.

        Only what the workers can hold counts: more of it would keep no more of them, for longer.
        """
        workers = [worker for worker in workers if not worker.has_ended]
        capacities = _Capacities(workers)
        demand_by_service: dict[str, float] = {}
        largest_by_service: dict[str, float] = {}
        for worker in workers:
            finite = worker.used.millicores - worker.long_running.millicores
            if finite:
                name = worker.record.service_name
                demand_by_service[name] = demand_by_service.get(name, 0) + finite
        waiting_by_requirement: dict[tuple[str, str], float] = {}
        for group in groups:
            step = group.spec
            requirement = group.job.queue.service_name, step.required_label
            if step.lasting or step.filling or not capacities.may_hold(step, requirement):
                continue
            waiting = step.millicores * len(group.startable_indexes)
            waiting += waiting_by_requirement.get(requirement, 0)
            waiting_by_requirement[requirement] = waiting
            name, _ = requirement
            largest_by_service[name] = max(step.millicores, largest_by_service.get(name, 0))
        for (name, label), waiting in waiting_by_requirement.items():
            most = capacities.total_millicores(name, label)
            demand_by_service[name] = demand_by_service.get(name, 0) + min(waiting, most)
        for name, demand in demand_by_service.items():
            demand_by_service[name] = min(demand, capacities.total_millicores(name, ""))
        remaining = math.exp2((self._recorded_at - now) / HALF_LIFE_SECONDS)
        recent = math.exp2((self._recorded_at - now) / RECENT_HALF_LIFE_SECONDS)
        self._recorded_at = now
        _update(self._recent_by_service, demand_by_service, recent)
        _update(self._peak_by_service, demand_by_service, remaining)
        _update(self._largest_by_service, largest_by_service, remaining)

    def peak_millicores(self, service_name: str) -> float:
        """Return the peak of a service in thousandths of a processor."""
        return self._peak_by_service.get(service_name, 0.0)

    def recent_millicores(self, service_name: str, now: float) -> float:
        """Return the peak of a service in the last seconds, in thousandths of a processor.

        It fades between two records too: nothing is recorded while nothing waits.
        """
        faded = math.exp2((self._recorded_at - now) / RECENT_HALF_LIFE_SECONDS)
        return self._recent_by_service.get(service_name, 0.0) * faded

    def largest_millicores(self, service_name: str) -> float:
        """Return what the largest task of a service needed, in thousandths of a processor."""
        return self._largest_by_service.get(service_name, 0.0)


def _update(peaks: dict[str, float], values: dict[str, float], remaining: float) -> None:
    """Let peaks fade to the share that remains, and raise them to new values."""
    for name in peaks.keys() | values.keys():
        peaks[name] = max(peaks.get(name, 0.0) * remaining, values.get(name, 0))


class _Capacities:
    """What the workers of each service and required label have."""

    def __init__(self, workers: list[Worker]):
        self._records = [worker.record for worker in workers]
        self._by_requirement: dict[tuple[str, str], tuple[int, int, int, int]] = {}

    def total_millicores(self, service_name: str, label: str) -> int:
        """Return the processors of all workers with that label, in thousandths."""
        return self._of((service_name, label))[0]

    def may_hold(self, step: StepSpec, requirement: tuple[str, str]) -> bool:
        """Return whether no resource that one task needs exceeds what any worker has of it."""
        _, millicores, memory_mb, accelerators = self._of(requirement)
        return (
            step.millicores <= millicores
            and step.memory_mb <= memory_mb
            and step.accelerators <= accelerators
        )

    def _of(self, requirement: tuple[str, str]) -> tuple[int, int, int, int]:
        """Return the processors of all of them, and the most that one has of each resource."""
        capacity = self._by_requirement.get(requirement)
        if capacity is None:
            service_name, label = requirement
            records = [
                record
                for record in self._records
                if record.service_name == service_name and (not label or label in record.labels)
            ]
            capacity = self._by_requirement[requirement] = (
                sum(record.millicores for record in records),
                max((record.millicores for record in records), default=0),
                max((record.memory_mb for record in records), default=0),
                max((record.accelerators for record in records), default=0),
            )
        return capacity
