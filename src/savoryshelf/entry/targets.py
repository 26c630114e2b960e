"""The workers that this entry host owns, and the capacity in use on each.

Usage is counted from the requests sent, not from reports, which lag.  A request
that may have started is counted until the worker reports otherwise.
"""

import contextlib

import attrs

from ..leases import granter_deadline
from ..scheduling.quarantine import QuarantineState
from ..wire.generated.ttypes import OwnedWorker, WorkerAnnouncement, WorkerStanding

LATENCY_SMOOTHING = 0.1
TAIL_DEVIATIONS = 4
"""Tail latency is the mean plus this many mean deviations."""

LATENCY_HALF_LIFE_SECONDS = 5.0
"""Half-life of an observed latency while no new answer confirms it."""

LATE_ARRIVAL_SECONDS = 5.0
"""How long after its connection closed an abandoned request may still reach the worker."""

MAX_MISSED_REPORTS = 3
"""Consecutive missed reports after which a worker gets no new work."""


@attrs.frozen
class ResourceDemand:
    """The resources that one request or attempt needs on a worker, besides a slot."""

    cores: float = 0.0
    memory_mb: float = 0.0
    accelerators: int = 0


@attrs.define
class AbandonedRequest:
    """A request given up on without an answer; uses a slot until a report does not list it."""

    demand: ResourceDemand
    abandoned_at: float


@attrs.define
class OwnedTarget:
    """An owned worker: its state, the resources in use and its observed latencies."""

    worker: WorkerAnnouncement
    epoch: int
    standing: WorkerStanding
    owned_since: float
    earlier_lease_s: float
    """The longest task lease that an owner of before may have granted."""

    adopted: bool = False
    leaving: bool = False
    last_report_at: float = float("-inf")
    lease_ends_at: float = float("-inf")
    """When every task lease that this owner has granted has expired, if it has granted any."""

    critical_by_id: dict[str, ResourceDemand] = attrs.field(factory=dict)
    abandoned_by_id: dict[str, AbandonedRequest] = attrs.field(factory=dict)
    batch_by_id: dict[tuple[str, int], ResourceDemand] = attrs.field(factory=dict)
    latency_by_service: dict[str, float] = attrs.field(factory=dict)
    deviation_by_service: dict[str, float] = attrs.field(factory=dict)
    last_response_at_by_service: dict[str, float] = attrs.field(factory=dict)
    quarantine: QuarantineState = attrs.field(factory=QuarantineState)
    slowdown: float = 1.0
    last_dispatch_number: int = 0

    @property
    def worker_id(self) -> str:
        """Return the worker's id."""
        return self.worker.worker_id

    @property
    def has_renewed(self) -> bool:
        """Return whether this owner has answered a report, which alone renews the task lease."""
        return self.lease_ends_at > float("-inf")

    @property
    def outstanding(self) -> int:
        """Return how many slots are, or may be, in use."""
        return len(self.critical_by_id) + len(self.abandoned_by_id) + len(self.batch_by_id)

    @property
    def free_slots(self) -> int:
        """Return how many slots are certain to be free."""
        return max(0, self.worker.slots - self.outstanding)

    def is_schedulable(self, now: float, report_interval_s: float) -> bool:
        """Return whether new work may be sent here at all."""
        is_unresponsive = now - self.last_report_at > MAX_MISSED_REPORTS * report_interval_s
        is_active = self.standing == WorkerStanding.ACTIVE
        return self.adopted and is_active and not self.leaving and not is_unresponsive

    def could_ever_fit(self, demand: ResourceDemand) -> bool:
        """Return whether the worker could run a request of this demand if it ran nothing else."""
        worker = self.worker
        return (
            worker.slots >= 1
            and worker.connections >= 1
            and demand.cores <= worker.cores
            and demand.memory_mb <= worker.memory_mb
            and demand.accelerators <= worker.accelerators
        )

    def fits(self, demand: ResourceDemand) -> bool:
        """Return whether the worker has capacity for one more request of this demand."""
        demands = self._demands_in_use()
        worker = self.worker
        connections = len(self.critical_by_id) + len(self.abandoned_by_id)
        return (
            self.outstanding < worker.slots
            and connections < worker.connections
            and sum(s.cores for s in demands) + demand.cores <= worker.cores
            and sum(s.memory_mb for s in demands) + demand.memory_mb <= worker.memory_mb
            and sum(s.accelerators for s in demands) + demand.accelerators <= worker.accelerators
        )

    def fits_batch(self, demand: ResourceDemand, reserved_slots: int) -> bool:
        """Return whether a batch attempt fits without touching the critical reserve."""
        return len(self.batch_by_id) < self.worker.slots - reserved_slots and self.fits(demand)

    def _demands_in_use(self) -> list[ResourceDemand]:
        abandoned = [each.demand for each in self.abandoned_by_id.values()]
        return [*self.critical_by_id.values(), *abandoned, *self.batch_by_id.values()]

    def reserve(self, request_id: str, demand: ResourceDemand) -> None:
        """Reserve capacity for a critical request; ``reservation`` releases it."""
        self.critical_by_id[request_id] = demand

    @contextlib.contextmanager
    def reservation(self, request_id: str):
        """Release a reserved request when the block ends.

        A request passed to ``abandon`` stays counted until the worker's reports
        show that it is gone.
        """
        try:
            yield
        finally:
            self.critical_by_id.pop(request_id, None)

    def abandon(self, request_id: str, now: float) -> None:
        """Keep counting a request whose outcome on the worker is unknown."""
        demand = self.critical_by_id.get(request_id)
        if demand is not None:
            self.abandoned_by_id[request_id] = AbandonedRequest(demand, now)

    def record_response(self, service: str, seconds: float, now: float) -> None:
        """Update the observed latency of a service with one answer."""
        self.last_response_at_by_service[service] = now
        mean = self.latency_by_service.get(service, seconds)
        deviation = self.deviation_by_service.get(service, 0.0)
        deviation += LATENCY_SMOOTHING * (abs(seconds - mean) - deviation)
        self.deviation_by_service[service] = deviation
        self.latency_by_service[service] = mean + LATENCY_SMOOTHING * (seconds - mean)
        self.quarantine.record_success()

    def mean_latency(self, service: str, now: float) -> float:
        """Return the mean latency of a service on this worker; 0 without samples.

        The value decays while no answer arrives.  Otherwise a worker avoided for
        being slow would never be tried again.
        """
        return self._decayed(self.latency_by_service.get(service, 0.0), service, now)

    def tail_latency(self, service: str, now: float) -> float:
        """Return the tail latency of a service, estimated from mean and mean deviation."""
        mean = self.latency_by_service.get(service, 0.0)
        deviation = self.deviation_by_service.get(service, 0.0)
        return self._decayed(mean + TAIL_DEVIATIONS * deviation, service, now)

    def _decayed(self, seconds: float, service: str, now: float) -> float:
        age = now - self.last_response_at_by_service.get(service, now)
        return seconds * 0.5 ** (age / LATENCY_HALF_LIFE_SECONDS)

    def latency_ratio(self, target_s_by_service: dict[str, float], now: float) -> float:
        """Return the highest ratio of tail latency to latency target over all services."""
        ratios = [
            self.tail_latency(service, now) / target_s_by_service[service]
            for service in self.latency_by_service
            if service in target_s_by_service
        ]
        return max(ratios, default=0.0)

    def record_report(self, now: float, critical_ids: set[str]) -> None:
        """Apply a report: drop abandoned requests it does not list and that cannot be in flight."""
        self.last_report_at = now
        self.abandoned_by_id = {
            request_id: each
            for request_id, each in self.abandoned_by_id.items()
            if request_id in critical_ids or now - each.abandoned_at < LATE_ARRIVAL_SECONDS
        }

    def renew_lease(self, now: float, lease_s: float) -> None:
        """Count the lease that the answer to a report grants.

        The answer may be lost, so a longer lease of before is counted as well.
        """
        lease_s = max(lease_s, 0.0 if self.has_renewed else self.earlier_lease_s)
        self.lease_ends_at = max(self.lease_ends_at, granter_deadline(now, lease_s))

    def lease_has_expired(self, now: float, entry_lease_s: float) -> bool:
        """Return whether the task lease has expired, so that the worker stopped its tasks.

        Until this owner has answered a report, the previous one may have renewed it
        until its own lease expired.  An adoption renews nothing: it may arrive late.
        """
        if self.has_renewed:
            return now > self.lease_ends_at
        return now > granter_deadline(self.owned_since, self.earlier_lease_s + entry_lease_s)


class OwnedTargets:
    """All workers this entry host owns now."""

    def __init__(self):
        self.by_id: dict[str, OwnedTarget] = {}

    def replace(
        self, owned: list[OwnedWorker], now: float, task_lease_s: float
    ) -> list[OwnedTarget]:
        """Apply the list that control sent; return the workers that need to be adopted.

        ``task_lease_s`` is the one in force.
        """
        previous_by_id, self.by_id = self.by_id, {}
        to_adopt = []
        for each in owned:
            target = previous_by_id.get(each.worker.worker_id)
            if target is None or target.epoch != each.epoch:
                lease_s = max(task_lease_s, each.longest_task_lease_s or 0.0)
                target = OwnedTarget(each.worker, each.epoch, each.standing, now, lease_s)
                to_adopt.append(target)
            target.worker, target.standing = each.worker, each.standing
            self.by_id[each.worker.worker_id] = target
        return to_adopt

    def current(self, worker_id: str, epoch: int) -> OwnedTarget | None:
        """Return the worker if it is still owned under that epoch."""
        target = self.by_id.get(worker_id)
        return target if target is not None and target.epoch == epoch else None

    def free_slots(self, now: float, report_interval_s: float) -> int:
        """Return how many slots could be given to critical requests now."""
        return sum(
            target.free_slots
            for target in self.by_id.values()
            if target.is_schedulable(now, report_interval_s)
        )
