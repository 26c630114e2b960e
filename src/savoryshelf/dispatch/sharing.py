"""Filling runs yield where a serving run beside them answers slowly."""

import attrs

from ..tasks.job import LifeKey

SLOW_AT = 0.8
"""Share of its target at which a serving run's tail makes the filling runs beside it yield."""

CALM_AT = 0.5
"""Share of its target below which they may go on; the gap keeps them from swinging."""

YIELDING_PERCENT = 0


@attrs.frozen
class PaceOrder:
    """A share of its speed at which a run should work."""

    life: LifeKey
    task: str
    run: int
    percent: int


def pace_orders(views) -> list[PaceOrder]:
    """Return the pace of each filling run that stands beside a serving one."""
    orders = []
    for view in views:
        strain = _strain(view)
        if strain is None or CALM_AT < strain < SLOW_AT:
            continue
        percent = YIELDING_PERCENT if strain >= SLOW_AT else 100
        for (name, run), task in view.worker.task_by_run.items():
            if task.step.spec.filling and (name, run) in view.row_by_run:
                orders.append(PaceOrder(view.worker.key, name, run, percent))
    return orders


def _strain(view) -> float | None:
    """Return the worst tail of the serving runs there over its target, or None without any."""
    strains = [
        view.row_by_run[key].gauge / task.step.spec.target_ms
        for key, task in view.worker.task_by_run.items()
        if task.step.spec.target_ms and key in view.row_by_run
    ]
    return max(strains, default=None)
