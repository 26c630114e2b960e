from savoryshelf.dispatch.disturbance import LONGEST_SLOW_SECONDS, Disturbance
from savoryshelf.dispatch.placement import WorkerView
from savoryshelf.dispatch.sharing import (
    FULL_PERCENT,
    SharingLog,
    first_percent,
    learn,
    pace_changes,
)
from savoryshelf.dispatch.worker_api import RunningRow

from ..tasks.builders import JOB, accept, intend, ledger, step

SERVING, FILLING = (f"{JOB}.0.0.0", 1), (f"{JOB}.0.1.0", 1)


def shared_worker(tail_ms, filling_percent=10, checkpointing=True):
    """Return a worker with a serving run of target 50 ms and a filling one beside it."""
    held = ledger()
    serving = step(lasting=True, target_ms=50, image="shop")
    filling = step(filling=True, image="batch", millicores=2000, checkpointing=checkpointing)
    accept(held, serving, filling)
    rows = {
        SERVING: RunningRow(*SERVING, "", 100, tail_ms),
        FILLING: RunningRow(*FILLING, "", filling_percent, 2000),
    }
    for name, run in rows:
        intend(held, name, run)
    return WorkerView(held.worker_by_life["w1", 1], True, rows)


def disturbed(view):
    disturbance, log = Disturbance(), SharingLog()
    learn(disturbance, view, log, 0.0)
    return disturbance


def test_a_slow_serving_run_halves_the_pace_beside_it():
    view = shared_worker(tail_ms=150)
    changes = pace_changes(disturbed(view), view, {}, 0.0)
    assert [(change.task, change.percent) for change in changes] == [(FILLING[0], 50)]


def test_a_run_that_would_crawl_leaves():
    view = shared_worker(tail_ms=150)
    (change,) = pace_changes(disturbed(view), view, {FILLING: 30}, 0.0)
    assert change.percent == 0


def test_a_run_without_checkpoints_that_is_nearly_done_stays():
    view = shared_worker(tail_ms=150, filling_percent=80, checkpointing=False)
    (change,) = pace_changes(disturbed(view), view, {FILLING: 30}, 0.0)
    assert 0 < change.percent < 30


def test_calm_lets_a_slowed_run_go_faster_again():
    view = shared_worker(tail_ms=20)
    (change,) = pace_changes(Disturbance(), view, {FILLING: 50}, 0.0)
    assert 50 < change.percent <= FULL_PERCENT


def test_a_serving_run_that_stays_slow_has_all_others_yield_though_none_is_blamed():
    view = shared_worker(tail_ms=60)
    assert pace_changes(Disturbance(), view, {}, 0.0) == []
    (change,) = pace_changes(Disturbance(), view, {}, LONGEST_SLOW_SECONDS)
    assert change.percent == 50


def test_slowness_is_counted_from_its_first_look_to_the_first_calm_one():
    log = SharingLog()
    log.note(shared_worker(tail_ms=60), 10.0)
    log.note(shared_worker(tail_ms=60), 11.0)
    assert log.slow_seconds(12.0) == 2.0
    log.note(shared_worker(tail_ms=20), 12.0)
    assert log.slow_seconds(12.0) == 0.0


def test_a_run_begins_at_the_pace_that_is_borne():
    view = shared_worker(tail_ms=20)
    step_spec = view.worker.task_by_run[FILLING].step.spec
    assert first_percent(Disturbance(), view, step_spec) == FULL_PERCENT
    assert first_percent(disturbed(shared_worker(150)), view, step_spec) < FULL_PERCENT
