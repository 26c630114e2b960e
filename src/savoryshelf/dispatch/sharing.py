"""Filling runs leave where they slow a serving run down, and what is learned from it.

Pacing was weighed: a run that is paced to nothing holds its memory and its
place in its job for as long as the serving run stays, which may be the whole
day.  Stopped, it resumes elsewhere, from its checkpoint if it makes any.
"""

import attrs

from ..tasks.job import LifeKey
from ..wire.generated.ttypes import StepSpec
from .disturbance import SLOW_STRAIN, WINDOW_SECONDS, Disturbance, FillingSpan, cores_by_image


@attrs.frozen
class Departure:
    """A filling run that should be stopped where it is, and the strain that asks for it."""

    life: LifeKey
    task: str
    run: int
    image: str
    beside: str
    strain: float
    weight: float


@attrs.define
class SharingLog:
    """The filling runs which one worker listed lately."""

    _open_by_run: dict[tuple[str, int], FillingSpan] = attrs.field(factory=dict)
    _closed: list[FillingSpan] = attrs.field(factory=list)

    def note(self, listed: dict[tuple[str, int], StepSpec], now: float) -> None:
        """Note the filling runs of a look."""
        for key, step in listed.items():
            if key not in self._open_by_run:
                self._open_by_run[key] = FillingSpan(step.image, step.millicores / 1000, now)
        for key in self._open_by_run.keys() - listed.keys():
            self._closed.append(attrs.evolve(self._open_by_run.pop(key), ended_at=now))
        self._closed = [span for span in self._closed if span.ended_at > now - WINDOW_SECONDS]

    def cores_by_image(self, now: float) -> dict[str, float]:
        """Return the cores on which each filling image worked in the last window."""
        return cores_by_image([*self._open_by_run.values(), *self._closed], now)


def learn(disturbance: Disturbance, view, log: SharingLog, now: float) -> None:
    """Take one look's figures in."""
    tasks = view.worker.task_by_run
    filling = {
        key: tasks[key].step.spec
        for key in view.row_by_run
        if key in tasks and tasks[key].step.spec.filling
    }
    log.note(filling, now)
    cores = log.cores_by_image(now)
    for step, strain in _serving(view):
        disturbance.learn(step.image, strain, cores)


def departures(disturbance: Disturbance, view) -> list[Departure]:
    """Return the filling runs that should leave a worker because of what it listed last."""
    filling: dict[str, list[tuple[str, int]]] = {}
    cores: dict[str, float] = {}
    for key, task in view.worker.task_by_run.items():
        step = task.step.spec
        if step.filling and key in view.row_by_run:
            filling.setdefault(step.image, []).append(key)
            cores[step.image] = cores.get(step.image, 0.0) + step.millicores / 1000
    leaving: dict[tuple[str, int], Departure] = {}
    for step, strain in _serving(view):
        if strain < SLOW_STRAIN:
            continue
        for image in disturbance.blamed(step.image, cores):
            weight = disturbance.weight(image, step.image)
            for key in filling[image]:
                leaving[key] = Departure(view.life, *key, image, step.image, strain, weight)
    return list(leaving.values())


def _serving(view) -> list[tuple[StepSpec, float]]:
    """Return the serving runs listed, with their tails over their targets."""
    return [
        (task.step.spec, view.row_by_run[key].gauge / task.step.spec.target_ms)
        for key, task in view.worker.task_by_run.items()
        if task.step.spec.target_ms and key in view.row_by_run
    ]
