"""Which work waited for a run although there was room, from what was seen (rule LOST)."""

import math
from collections.abc import Iterable, Iterator

import attrs

MAX_WAIT_SECONDS = 3.0
"""How long work may wait for a run while there is room for it."""

TASK_SLACK_SECONDS = 6.0
"""A long-running task is owed a run of its own from this long after its last one."""

CONTACT_SECONDS = 4.0
"""Everything counts as impaired for this long after an impairment."""

MIN_PLACES = 2
"""Runs of a step that must fit on workers at once: there is room for the work twice over."""

MAX_USED_SHARE = 0.5
"""Share of the service's capacity in use from which work may wait."""

Span = tuple[float, float]
"""From, until; on the monotonic clock, in seconds."""


@attrs.frozen
class Demand:
    """Work that has to have a run in the span ``owed``: a job, or one long-running task.

    ``runs`` are the times at which it had one at work; for ``slack_seconds`` after each none is
    owed.  A best-effort run takes no processor time of what a worker has, so its ``cpu`` is 0.
    """

    name: str
    step: str
    cpu: int
    memory_mb: int
    max_per_worker: int
    owed: Span
    runs: list[Span]
    slack_seconds: float = 0.0
    max_wait_seconds: float = MAX_WAIT_SECONDS
    waits_for_finite_runs: bool = False
    """Whether it has room as soon as one worker has, were no finite runs there."""


@attrs.frozen
class Use:
    """What a run takes of its worker."""

    worker_id: str
    step: str
    cpu: int
    memory_mb: int
    span: Span
    is_best_effort: bool = False
    """Whether it counts for nothing in the share of the service's capacity in use."""

    is_finite: bool = False
    """Whether it ends within its estimate; a best-effort run may be slowed down."""


@attrs.frozen
class WorkerTimes:
    """The capacity of a worker, and the times at which it was up."""

    worker_id: str
    cpu: int
    memory_mb: int
    up: list[Span]


@attrs.frozen
class Wait:
    """A demand that was not met from ``since`` on; ``free`` are the workers with room for it."""

    demand: Demand
    since: float
    free: list[str]


def calm_spans(disturbances: Iterable[Span], until: float) -> list[Span]:
    """Return the spans that begin a contact time after a disturbance and end with the next."""
    spans, calm_from = [], -math.inf
    for began_at, ended_at in sorted(disturbances):
        if began_at > calm_from > -math.inf:
            spans.append((calm_from, began_at))
        calm_from = max(calm_from, ended_at + CONTACT_SECONDS)
    return [*spans, (calm_from, until)] if until > calm_from else spans


def unmet_demands(
    demands: Iterable[Demand], workers: list[WorkerTimes], uses: list[Use], judged: list[Span]
) -> Iterator[Wait]:
    """Return the first wait of each demand that is too long, within one of the judged spans."""
    for demand in demands:
        long_waits = (
            (since, until)
            for waits_from, waits_until in _waits(demand)
            for since, until in (
                (max(waits_from, first), min(waits_until, last)) for first, last in judged
            )
            if until - since >= demand.max_wait_seconds
        )
        for span in long_waits:
            found = _first_wait_with_room(demand, span, workers, uses)
            if found is not None:
                yield found
                break


def _waits(demand: Demand) -> Iterator[Span]:
    waits_from, owed_until = demand.owed
    for began_at, ended_at in sorted(demand.runs):
        if began_at > waits_from:
            yield waits_from, min(began_at, owed_until)
        waits_from = max(waits_from, ended_at + demand.slack_seconds)
    if waits_from < owed_until:
        yield waits_from, owed_until


def _first_wait_with_room(
    demand: Demand, span: Span, workers: list[WorkerTimes], uses: list[Use]
) -> Wait | None:
    first, last = span
    near = [use for use in uses if use.span[0] < last and use.span[1] > first]
    ups = [up for worker in workers for up in worker.up]
    changes = {at for each in [*(use.span for use in near), *ups] for at in each}
    times = [first, *sorted(at for at in changes if first < at < last), last]
    since = None
    for at, until in zip(times, times[1:], strict=False):
        free = _free_workers(demand, at, workers, near)
        if not free:
            since = None
            continue
        since = at if since is None else since
        if until - since >= demand.max_wait_seconds:
            return Wait(demand, since, free)
    return None


def _free_workers(
    demand: Demand, at: float, workers: list[WorkerTimes], uses: list[Use]
) -> list[str]:
    """Return the workers that have room; none unless there is room twice over, half unused.

    For a demand that waits for finite runs to end, those that have room without them.
    """
    up = [each for each in workers if any(first <= at < last for first, last in each.up)]
    active = [use for use in uses if use.span[0] <= at < use.span[1]]
    if demand.waits_for_finite_runs:
        lasting = [use for use in active if not use.is_finite]
        return [worker.worker_id for worker in up if _places_on(worker, demand, lasting)]
    reserved = [use for use in active if not use.is_best_effort]
    if not up or any(
        sum(getattr(use, kind) for use in reserved)
        >= MAX_USED_SHARE * sum(getattr(worker, kind) for worker in up)
        for kind in ("cpu", "memory_mb")
    ):
        return []
    places_by_worker = {worker.worker_id: _places_on(worker, demand, active) for worker in up}
    if sum(places_by_worker.values()) < MIN_PLACES:
        return []
    return [worker_id for worker_id, places in places_by_worker.items() if places]


def _places_on(worker: WorkerTimes, demand: Demand, active: list[Use]) -> int:
    """Return how many runs of the demand's step the worker could start."""
    uses = [use for use in active if use.worker_id == worker.worker_id]
    places = [
        (getattr(worker, kind) - sum(getattr(use, kind) for use in uses)) // getattr(demand, kind)
        for kind in ("cpu", "memory_mb")
        if getattr(demand, kind)
    ]
    if demand.max_per_worker:
        places.append(demand.max_per_worker - sum(use.step == demand.step for use in uses))
    return max(0, min(places))
