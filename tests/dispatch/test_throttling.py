from savoryshelf.dispatch.interference import Disturbance, occupancy
from savoryshelf.dispatch.placement import WorkerView
from savoryshelf.dispatch.throttling import (
    FULL_PERCENT,
    LONGEST_SLOW_SECONDS,
    SharingLog,
    first_percent,
    learn,
    own_occupancies,
    pace_changes,
)
from savoryshelf.dispatch.worker_api import RunningRow

from ..tasks.builders import JOB, accept, ledger, record_intent, step

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
        record_intent(held, name, run)
    return WorkerView(held.worker_by_incarnation["w1", 1], True, rows)


def disturbed(weight=0.2):
    return Disturbance({("batch", "shop"): weight})


def test_a_strained_serving_run_lowers_the_pace_beside_it_to_what_it_bears():
    view = shared_worker(tail_ms=60)
    ((task, percent),) = [
        (change.task, change.percent) for change in pace_changes(disturbed(), view, {}, 0.0)
    ]
    assert task == FILLING[0]
    assert 25 <= percent < FULL_PERCENT


def test_a_run_that_would_crawl_leaves():
    view = shared_worker(tail_ms=150)
    (change,) = pace_changes(disturbed(0.5), view, {FILLING: 30}, 0.0)
    assert change.percent == 0


def test_a_blamed_run_halves_its_pace_beside_one_over_its_target():
    view = shared_worker(tail_ms=150)
    (change,) = pace_changes(disturbed(0.5), view, {}, 0.0)
    assert change.percent == 50


def test_a_harmless_run_stays_beside_one_that_is_slow_by_itself():
    view = shared_worker(tail_ms=150)
    assert pace_changes(disturbed(0.001), view, {}, 0.0) == []


def test_a_step_in_what_fills_is_learned_from_the_step_in_the_tail():
    disturbance, log = Disturbance(), SharingLog()
    calm, slow = shared_worker(tail_ms=20), shared_worker(tail_ms=100)
    del calm.row_by_run[FILLING]
    for look in range(5):
        learn(disturbance, calm, log, look * 0.4)
    learn(disturbance, slow, log, 2.0)
    learn(disturbance, slow, log, 2.4)
    assert disturbance.weight("batch", "shop") > 0.1


def test_looks_in_quick_succession_count_once():
    log = SharingLog()
    view = shared_worker(tail_ms=20)
    log.note(view, 1.0)
    assert log.deviations(view, 1.0) == []
    assert log.deviations(view, 1.05) == []
    assert len(log.deviations(view, 1.2)) == 1


def test_what_a_serving_run_takes_by_itself_leaves_out_what_fills_beside_it():
    view = shared_worker(tail_ms=40)
    own = own_occupancies(disturbed(0.1), view)
    assert abs(own["shop"] - (occupancy(0.8) - 0.1 * 2.0)) < 1e-9


def test_a_run_without_checkpoints_that_is_nearly_done_stays():
    view = shared_worker(tail_ms=150, filling_percent=80, checkpointing=False)
    (change,) = pace_changes(disturbed(0.5), view, {FILLING: 30}, 0.0)
    assert 0 < change.percent < 30


def test_calm_lets_a_slowed_run_go_faster_again():
    view = shared_worker(tail_ms=20)
    (change,) = pace_changes(Disturbance(), view, {FILLING: 50}, 0.0)
    assert 50 < change.percent <= FULL_PERCENT


def test_a_serving_run_that_stays_slow_has_all_others_yield_though_none_is_blamed():
    view = shared_worker(tail_ms=60)
    assert pace_changes(disturbed(0.001), view, {}, 0.0) == []
    (change,) = pace_changes(disturbed(0.001), view, {}, LONGEST_SLOW_SECONDS)
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
    assert first_percent(disturbed(), view, step_spec) < FULL_PERCENT
