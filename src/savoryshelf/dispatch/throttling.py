"""Filling runs slow down, and at last leave, where they slow a serving run down.

Their pace follows each look: lowered to what a strained serving run beside them
bears, raised where all are calm.  A run that would have to crawl is stopped
instead and resumes elsewhere, from its checkpoint if it makes any.
"""

import math

import attrs

from ..tasks.job import IncarnationKey
from ..wire.generated.ttypes import StepSpec
from .interference import (
    BEARABLE_OCCUPANCY,
    HIGHEST_OWN_OCCUPANCY,
    STRAINED_OCCUPANCY,
    Disturbance,
    occupancy,
    room_beside,
)

SLOWER = 0.5
FASTER = 1.4
"""Factors of one change of pace; a look comes several times a second."""

SLOWEST_PERCENT = 25
"""A run that would have to go slower than this is better off elsewhere."""

WORTH_KEEPING_PERCENT = 50
"""A run without checkpoints that has done more than this is kept, as slow as it must be."""

FULL_PERCENT = 100

LONGEST_SLOW_SECONDS = 2.0
"""After so long all filling runs yield, whatever is known of them: the platform bears 4 s."""

WINDOW_SECONDS = 0.5
"""A worker's figure for a run covers about this time."""

AVERAGE_SECONDS = 2.0
"""Time constant of a run's average: long against a step, short against a swing of its load."""

SHORTEST_READING_SECONDS = 0.1
"""A look that follows another sooner than this lists the same figures."""


@attrs.frozen
class PaceChange:
    """What one filling run should do: work at ``percent`` of its speed, or leave at 0."""

    life: IncarnationKey
    task: str
    run: int
    image: str
    percent: int
    strain: float


@attrs.define
class _Filling:
    image: str
    cores: float
    listed_at: float


@attrs.define
class _Trace:
    """Averages of late of one serving run: its occupancy and the cores beside it."""

    read_at: float
    occupancy: float
    cores_by_image: dict[str, float]

    def deviate(
        self, occupied: float, cores_by_image: dict[str, float], now: float
    ) -> tuple[float, dict[str, float]]:
        """Return how a reading deviates from the averages, and take it in."""
        share = 1.0 - math.exp((self.read_at - now) / AVERAGE_SECONDS)
        response = occupied - self.occupancy
        steps = {
            image: cores_by_image.get(image, 0.0) - self.cores_by_image.get(image, 0.0)
            for image in cores_by_image.keys() | self.cores_by_image.keys()
        }
        self.read_at = now
        self.occupancy += share * response
        for image, step in steps.items():
            self.cores_by_image[image] = self.cores_by_image.get(image, 0.0) + share * step
        return response, steps


@attrs.define
class SharingLog:
    """What one worker listed lately of its filling and serving runs."""

    _filling_by_run: dict[tuple[str, int], _Filling] = attrs.field(factory=dict)
    _slow_since_by_run: dict[tuple[str, int], float] = attrs.field(factory=dict)
    _trace_by_run: dict[tuple[str, int], _Trace] = attrs.field(factory=dict)

    def note(self, view, now: float) -> None:
        """Take in one look."""
        for key, step, row in _listed(view):
            if step.filling:
                self._filling_by_run[key] = _Filling(step.image, row.gauge / 1000, now)
            elif step.target_ms and row.gauge > step.target_ms:
                self._slow_since_by_run.setdefault(key, now)
            else:
                self._slow_since_by_run.pop(key, None)
        for key in self._slow_since_by_run.keys() - view.row_by_run.keys():
            del self._slow_since_by_run[key]
        recent = now - WINDOW_SECONDS
        self._filling_by_run = {
            key: each for key, each in self._filling_by_run.items() if each.listed_at > recent
        }

    def cores_by_image(self, now: float) -> dict[str, float]:
        """Return the cores on which each filling image worked in the last window."""
        cores: dict[str, float] = {}
        for each in self._filling_by_run.values():
            share = 1.0 - (now - each.listed_at) / WINDOW_SECONDS
            cores[each.image] = cores.get(each.image, 0.0) + each.cores * share
        return cores

    def deviations(self, view, now: float) -> list[tuple[str, float, dict[str, float]]]:
        """Return how each serving run's figures deviate from their averages of late.

        Each comes as the run's image, the deviation of its occupancy and those of the
        cores on which each image fills beside it.
        """
        cores = self.cores_by_image(now)
        deviations = []
        for key, step, row in _listed(view):
            if not step.target_ms:
                continue
            occupied = occupancy(row.gauge / step.target_ms)
            trace = self._trace_by_run.get(key)
            if trace is None:
                self._trace_by_run[key] = _Trace(now, occupied, dict(cores))
            elif now - trace.read_at >= SHORTEST_READING_SECONDS:
                deviations.append((step.image, *trace.deviate(occupied, cores, now)))
        for key in self._trace_by_run.keys() - view.row_by_run.keys():
            del self._trace_by_run[key]
        return deviations

    def slow_seconds(self, now: float) -> float:
        """Return for how long some serving run has been over its target."""
        return max((now - since for since in self._slow_since_by_run.values()), default=0.0)


def learn(disturbance: Disturbance, view, log: SharingLog, now: float) -> None:
    """Take one look's figures in."""
    log.note(view, now)
    for image, response, steps in log.deviations(view, now):
        disturbance.learn(image, response, steps)


def own_occupancies(disturbance: Disturbance, view) -> dict[str, float]:
    """Return by serving image what its most occupied run takes by itself, as last listed."""
    working = _cores_used(view)
    own_by_image: dict[str, float] = {}
    for step, strain in _serving(view):
        own = max(0.0, occupancy(strain) - disturbance.excess(step.image, working))
        own_by_image[step.image] = max(own, own_by_image.get(step.image, 0.0))
    return own_by_image


def first_percent(disturbance: Disturbance, view, step: StepSpec) -> int:
    """Return the pace at which a filling run may begin on a worker."""
    percent = FULL_PERCENT
    cores = _cores_asked(view)
    # The run itself is counted there already, as its intent is committed.
    own = step.millicores / 1000
    cores[step.image] = max(0.0, cores.get(step.image, 0.0) - own)
    for serving, _ in _serving(view):
        added = disturbance.weight(step.image, serving.image) * own
        room = room_beside(view.own_by_image.get(serving.image, HIGHEST_OWN_OCCUPANCY))
        left = max(0.0, room - disturbance.excess(serving.image, cores))
        if added > left:
            percent = min(percent, int(FULL_PERCENT * left / added))
    return max(SLOWEST_PERCENT, percent)


def pace_changes(
    disturbance: Disturbance, view, percent_by_run: dict, slow_seconds: float
) -> list[PaceChange]:
    """Return the changes of pace that a worker's last look asks for."""
    rows = _serving(view)
    if not rows:
        return []
    changes = []
    limit_by_image = _limits(disturbance, view, rows)
    strain = max(strain for _, strain in rows)
    # Above the target occupancy saturates, and with it the estimate of what is bearable.
    is_over = strain > 1.0
    for key, step, row in _listed(view):
        if not step.filling:
            continue
        held = percent_by_run.get(key, FULL_PERCENT)
        limit = limit_by_image.get(step.image, FULL_PERCENT)
        percent = round(min(FULL_PERCENT, held * FASTER, limit))
        is_blamed = is_over and step.image in limit_by_image
        if is_blamed or slow_seconds >= LONGEST_SLOW_SECONDS:
            percent = min(percent, round(held * SLOWER))
        if percent < SLOWEST_PERCENT:
            keeps = not step.checkpointing and row.percent > WORTH_KEEPING_PERCENT
            percent = SLOWEST_PERCENT // 2 if keeps else 0
        if percent != held:
            changes.append(PaceChange(view.life, *key, step.image, percent, strain))
    return changes


def _limits(disturbance, view, rows) -> dict[str, float]:
    """Return the highest pace in percent of each image that should not go on as it does."""
    cores = _cores_asked(view)
    working = _cores_used(view)
    limits: dict[str, float] = {}
    for serving, strain in rows:
        occupied = occupancy(strain)
        if occupied <= STRAINED_OCCUPANCY:
            continue
        own = occupied - disturbance.excess(serving.image, working)
        room = max(0.0, BEARABLE_OCCUPANCY - own)
        for image, share in disturbance.blamed(serving.image, cores, room).items():
            limits[image] = min(limits.get(image, FULL_PERCENT), FULL_PERCENT * share)
    return limits


def _cores_used(view) -> dict[str, float]:
    """Return the cores on which each image was working, as the worker listed them."""
    cores: dict[str, float] = {}
    for _, step, row in _listed(view):
        if step.filling:
            cores[step.image] = cores.get(step.image, 0.0) + row.gauge / 1000
    return cores


def _cores_asked(view) -> dict[str, float]:
    """Return the cores which the filling runs of a worker would use at full speed, by image."""
    cores: dict[str, float] = {}
    for task in view.worker.task_by_run.values():
        step = task.step.spec
        if step.filling:
            cores[step.image] = cores.get(step.image, 0.0) + step.millicores / 1000
    return cores


def _listed(view):
    """Yield key, step and row of each run which the worker listed and the log knows."""
    for key, task in view.worker.task_by_run.items():
        row = view.row_by_run.get(key)
        if row is not None:
            yield key, task.step.spec, row


def _serving(view) -> list[tuple[StepSpec, float]]:
    """Return the serving runs listed, with their tails over their targets."""
    return [(step, row.gauge / step.target_ms) for _, step, row in _listed(view) if step.target_ms]
