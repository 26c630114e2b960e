"""Filling runs slow down, and at last leave, where they slow a serving run down.

Their pace follows each look: halved where a serving run beside them is slow,
raised where all are calm.  A run that would have to crawl is stopped instead
and resumes elsewhere, from its checkpoint if it makes any.
"""

import attrs

from ..tasks.job import LifeKey
from ..wire.generated.ttypes import StepSpec
from .disturbance import (
    BEARABLE_STRAIN,
    CALM_STRAIN,
    LONGEST_SLOW_SECONDS,
    SLOW_STRAIN,
    WINDOW_SECONDS,
    Disturbance,
)

SLOWER = 0.5
FASTER = 1.4
"""Factors of one change of pace; a look comes several times a second."""

SLOWEST_PERCENT = 25
"""A run that would have to go slower than this is better off elsewhere."""

WORTH_KEEPING_PERCENT = 50
"""A run without checkpoints that has done more than this is kept, as slow as it must be."""

FULL_PERCENT = 100


@attrs.frozen
class PaceChange:
    """What one filling run should do: work at ``percent`` of its speed, or leave at 0."""

    life: LifeKey
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
class SharingLog:
    """What one worker listed lately of its filling and serving runs."""

    _filling_by_run: dict[tuple[str, int], _Filling] = attrs.field(factory=dict)
    _slow_since_by_run: dict[tuple[str, int], float] = attrs.field(factory=dict)

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

    def slow_seconds(self, now: float) -> float:
        """Return for how long some serving run has been over its target."""
        return max((now - since for since in self._slow_since_by_run.values()), default=0.0)


def learn(disturbance: Disturbance, view, log: SharingLog, now: float) -> None:
    """Take one look's figures in."""
    log.note(view, now)
    cores = log.cores_by_image(now)
    for step, strain in _serving(view):
        disturbance.learn(step.image, strain, cores)


def first_percent(disturbance: Disturbance, view, step: StepSpec) -> int:
    """Return the pace at which a filling run may begin on a worker."""
    percent = FULL_PERCENT
    cores = _cores_asked(view)
    # The run itself is counted there already, as its intent is committed.
    own = step.millicores / 1000
    cores[step.image] = max(0.0, cores.get(step.image, 0.0) - own)
    for serving, _ in _serving(view):
        added = disturbance.weight(step.image, serving.image) * own
        left = max(0.0, BEARABLE_STRAIN - disturbance.predict(serving.image, cores))
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
    factor_by_image = _factors(disturbance, view, rows, slow_seconds)
    strain = max(strain for _, strain in rows)
    for key, step, row in _listed(view):
        if not step.filling:
            continue
        held = percent_by_run.get(key, FULL_PERCENT)
        percent = min(FULL_PERCENT, round(held * factor_by_image[step.image]))
        if percent < SLOWEST_PERCENT:
            keeps = not step.checkpointing and row.percent > WORTH_KEEPING_PERCENT
            percent = SLOWEST_PERCENT // 2 if keeps else 0
        if percent != held:
            changes.append(PaceChange(view.life, *key, step.image, percent, strain))
    return changes


def _factors(disturbance, view, rows, slow_seconds: float) -> dict[str, float]:
    """Return by how much each filling image should change its pace."""
    cores = _cores_asked(view)
    factors = dict.fromkeys(cores, FASTER)
    for serving, strain in rows:
        if strain >= SLOW_STRAIN:
            is_urgent = slow_seconds >= LONGEST_SLOW_SECONDS
            blamed = list(cores) if is_urgent else disturbance.blamed(serving.image, cores)
            factors.update(dict.fromkeys(blamed, SLOWER))
        elif strain > CALM_STRAIN:
            for image in disturbance.blamed(serving.image, cores):
                factors[image] = min(factors[image], 1.0)
    return factors


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
