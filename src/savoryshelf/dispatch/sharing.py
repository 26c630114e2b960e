"""Filling runs leave where a serving run beside them answers slowly.

Pacing was weighed: a run that is paced to nothing holds its memory and its
place in its job for as long as the serving run stays, which is the whole day.
Stopped, it resumes elsewhere, from its checkpoint if it makes any.
"""

import attrs

from ..tasks.job import LifeKey

SLOW_AT = 0.8
"""Share of its target at which a serving run's tail makes the filling runs beside it leave."""


@attrs.frozen
class Departure:
    """A filling run that should be stopped where it is."""

    life: LifeKey
    task: str
    run: int


def departures(views) -> list[Departure]:
    """Return the filling runs that stand beside a serving one which is slow."""
    leaving = []
    for view in views:
        if _strain(view) < SLOW_AT:
            continue
        for (name, run), task in view.worker.task_by_run.items():
            if task.step.spec.filling and (name, run) in view.row_by_run:
                leaving.append(Departure(view.worker.key, name, run))
    return leaving


def _strain(view) -> float:
    """Return the worst tail of the serving runs there over its target; 0 without any."""
    strains = [
        view.row_by_run[key].gauge / task.step.spec.target_ms
        for key, task in view.worker.task_by_run.items()
        if task.step.spec.target_ms and key in view.row_by_run
    ]
    return max(strains, default=0.0)
