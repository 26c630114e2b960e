"""Why each worker of a service is left out for a step that waits: one reason for each worker.

Only the log reads this; placement decides by itself.  Overdue work ignores the reasons that are
preferences: a worker kept for a suspect, quarantined, backed off, an excluded image and, unless
the service is busy, interference and a reservation; long-running work ignores that in any case.
"""

from collections import Counter
from collections.abc import Callable, Iterable

import attrs

from ..registry import registry_decorator
from ..tasks.job import StepGroup
from ..tasks.worker import Worker
from ..wire.generated.ttypes import StepSpec
from .agent_fleet import AgentFleet
from .health import FleetHealth
from .placement import (
    MAX_BEST_EFFORT_LOAD,
    Placement,
    _Candidate,
    is_at_limit,
    run_count_by_incarnation,
)

ACCEPTS = "accepts"
"""The key under which the workers that would take the step are counted."""


@attrs.frozen
class WorkerSituation:
    """What the leader knows of a worker at one moment, whatever the step."""

    worker: Worker
    candidate: _Candidate | None
    """None unless the present agent has reported the worker's state."""

    has_successor: bool
    """Whether a later incarnation of the worker is known."""

    is_agent_live: bool
    is_kept: bool
    """Whether it is kept for a suspect of a crash."""

    is_open_to: Callable[[StepGroup, _Candidate], bool]
    """Returns whether no reservation for others keeps a step off a worker."""

    is_quarantined: bool
    is_backed_off: bool

    @property
    def is_answering(self) -> bool:
        """Return whether its present agent, which is live, says that it answers."""
        return self.candidate is not None and self.candidate.view.is_responsive


LEAVES_OUT_BY_REASON: dict[str, Callable[[WorkerSituation, StepGroup, int], bool]] = {}
_reason = registry_decorator(LEAVES_OUT_BY_REASON)
"""Registers whether a reason leaves a worker out; the first one that applies is counted.

Takes the worker, the step, and how many runs of the step may exist on the worker.
"""


@_reason("other_incarnation")
def _has_successor(situation, group, run_count) -> bool:
    return situation.has_successor and not situation.is_answering


@_reason("state_not_reported")
def _is_not_reported(situation, group, run_count) -> bool:
    return situation.candidate is None


@_reason("agent_not_live")
def _has_no_live_agent(situation, group, run_count) -> bool:
    return not situation.is_agent_live


@_reason("not_answering")
def _does_not_answer(situation, group, run_count) -> bool:
    return not situation.is_answering


@_reason("leaving")
def _is_leaving(situation, group, run_count) -> bool:
    return bool(situation.worker.record.leaving)


@_reason("draining")
def _is_draining(situation, group, run_count) -> bool:
    return not situation.worker.is_schedulable


@_reason("label")
def _lacks_label(situation, group, run_count) -> bool:
    label = group.spec.required_label
    return bool(label) and label not in situation.worker.record.labels


@_reason("no_room")
def _has_no_room(situation, group, run_count) -> bool:
    return not situation.candidate.fits(group.spec)


@_reason("limit_per_worker")
def _is_at_limit(situation, group, run_count) -> bool:
    return is_at_limit(group.spec, run_count)


@_reason("kept_for_suspect")
def _is_kept(situation, group, run_count) -> bool:
    return situation.is_kept


@_reason("reserved")
def _is_reserved(situation, group, run_count) -> bool:
    return not situation.is_open_to(group, situation.candidate)


@_reason("quarantined")
def _is_quarantined(situation, group, run_count) -> bool:
    return situation.is_quarantined


@_reason("backed_off")
def _is_backed_off(situation, group, run_count) -> bool:
    return situation.is_backed_off


@_reason("interference")
def _would_interfere(situation, group, run_count) -> bool:
    step = group.spec
    if not step.filling:
        return False
    candidate = situation.candidate
    is_full = candidate.load_with(step) > MAX_BEST_EFFORT_LOAD
    return is_full or candidate.interference_with(step) > 1.0


@_reason("excluded_image")
def _excludes_image(situation, group, run_count) -> bool:
    step = group.spec
    return step.filling and step.image in situation.candidate.view.excluded_images


def situations_by_service(
    workers: Iterable[Worker],
    fleet: AgentFleet,
    placement: Placement,
    health: FleetHealth,
    now: float,
) -> dict[str, list[WorkerSituation]]:
    """Return the situation of each live worker, by the name of its service."""
    workers = list(workers)
    candidate_by_incarnation = {
        view.incarnation: placement.candidate(view, health, now)
        for view in fleet.views(workers, now)
    }
    newest_born_by_id: dict[str, int] = {}
    for worker in workers:
        worker_id, born_ms = worker.key
        newest_born_by_id[worker_id] = max(born_ms, newest_born_by_id.get(worker_id, born_ms))
    agent_ids = {worker.record.agent_id for worker in workers}
    is_live_by_agent = {agent_id: fleet.is_live(agent_id, now) for agent_id in agent_ids}
    situations: dict[str, list[WorkerSituation]] = {}
    for worker in workers:
        worker_id, born_ms = worker.key
        situation = WorkerSituation(
            worker,
            candidate_by_incarnation.get(worker.key),
            has_successor=newest_born_by_id[worker_id] > born_ms,
            is_agent_live=is_live_by_agent[worker.record.agent_id],
            is_kept=placement.is_kept(worker.key),
            is_open_to=placement.is_open_to,
            is_quarantined=health.is_quarantined(worker_id, now),
            is_backed_off=health.is_backed_off(worker_id, now),
        )
        situations.setdefault(worker.record.service_name, []).append(situation)
    return situations


@attrs.frozen
class FreeRoom:
    """What the workers of a service that may get runs have free, as seen by a step that waits."""

    millicores: int
    """The sum over the workers."""

    most_millicores: int
    most_memory_mb: int
    """What the worker that has most of it has free."""

    workers_without_long_running: int
    fits_without_finite_runs: int
    """Workers on which the step would fit if their finite runs were gone."""


def free_room(step: StepSpec, situations: list[WorkerSituation]) -> FreeRoom:
    """Return what is free on the workers that answer and do not drain."""
    workers = [s.worker for s in situations if s.is_answering and s.worker.is_schedulable]
    millicores = [max(0, w.record.millicores - w.used.millicores) for w in workers]
    return FreeRoom(
        sum(millicores),
        max(millicores, default=0),
        max((w.record.memory_mb - w.used.memory_mb for w in workers), default=0),
        sum(not w.long_running_millicores for w in workers),
        sum(w.fits_without_finite_runs(step) for w in workers),
    )


def count_by_reason(group: StepGroup, situations: list[WorkerSituation]) -> Counter[str]:
    """Return how many workers are left out for the step, by reason, and how many accept it."""
    run_counts = run_count_by_incarnation(group)
    return Counter(
        _reason_for(situation, group, run_counts.get(situation.worker.key, 0))
        for situation in situations
    )


def _reason_for(situation: WorkerSituation, group: StepGroup, run_count: int) -> str:
    for reason, leaves_out in LEAVES_OUT_BY_REASON.items():
        if leaves_out(situation, group, run_count):
            return reason
    return ACCEPTS
