from savoryshelf.dispatch.interference import InterferenceModel, utilisation_at
from savoryshelf.dispatch.placement import WorkerView
from savoryshelf.dispatch.throttling import (
    FULL_SPEED_PERCENT,
    MAX_SLOW_SECONDS,
    ColocationHistory,
    baseline_utilisations,
    initial_speed_percent,
    learn_interference,
    speed_changes,
)
from savoryshelf.dispatch.worker_api import RunStatus

from ..tasks.builders import JOB, accept, ledger, record_intent, step

SERVING_RUN, BEST_EFFORT_RUN = (f"{JOB}.0.0.0", 1), (f"{JOB}.0.1.0", 1)


def colocated_worker(tail_ms, progress_percent=10, checkpointing=True):
    """Return a worker with a serving run of target 50 ms and a filling one beside it."""
    task_ledger = ledger()
    serving = step(lasting=True, target_ms=50, image="shop")
    filling = step(filling=True, image="batch", millicores=2000, checkpointing=checkpointing)
    accept(task_ledger, serving, filling)
    rows = {
        SERVING_RUN: RunStatus(*SERVING_RUN, "", 100, tail_ms),
        BEST_EFFORT_RUN: RunStatus(*BEST_EFFORT_RUN, "", progress_percent, 2000),
    }
    for name, run in rows:
        record_intent(task_ledger, name, run)
    return WorkerView(task_ledger.worker_by_incarnation["w1", 1], True, rows)


def model_with_weight(weight=0.2):
    return InterferenceModel({("batch", "shop"): weight})


def test_a_strained_serving_run_lowers_the_pace_beside_it_to_what_it_bears():
    view = colocated_worker(tail_ms=60)
    ((task, speed_percent),) = [
        (change.task, change.speed_percent)
        for change in speed_changes(model_with_weight(), view, {}, 0.0)
    ]
    assert task == BEST_EFFORT_RUN[0]
    assert 25 <= speed_percent < FULL_SPEED_PERCENT


def test_a_run_that_would_crawl_leaves():
    view = colocated_worker(tail_ms=150)
    (change,) = speed_changes(model_with_weight(0.5), view, {BEST_EFFORT_RUN: 30}, 0.0)
    assert change.speed_percent == 0


def test_a_blamed_run_halves_its_pace_beside_one_over_its_target():
    view = colocated_worker(tail_ms=150)
    (change,) = speed_changes(model_with_weight(0.5), view, {}, 0.0)
    assert change.speed_percent == 50


def test_a_harmless_run_stays_beside_one_that_is_slow_by_itself():
    view = colocated_worker(tail_ms=150)
    assert speed_changes(model_with_weight(0.001), view, {}, 0.0) == []


def test_a_step_in_what_fills_is_learned_from_the_step_in_the_tail():
    interference, history = InterferenceModel(), ColocationHistory()
    calm, slow = colocated_worker(tail_ms=20), colocated_worker(tail_ms=100)
    del calm.status_by_run[BEST_EFFORT_RUN]
    for look in range(5):
        learn_interference(interference, calm, history, look * 0.4)
    learn_interference(interference, slow, history, 2.0)
    learn_interference(interference, slow, history, 2.4)
    assert interference.weight("batch", "shop") > 0.1


def test_looks_in_quick_succession_count_once():
    history = ColocationHistory()
    view = colocated_worker(tail_ms=20)
    history.add_report(view, 1.0)
    assert history.deviations(view, 1.0) == []
    assert history.deviations(view, 1.05) == []
    assert len(history.deviations(view, 1.2)) == 1


def test_what_a_serving_run_takes_by_itself_leaves_out_what_fills_beside_it():
    view = colocated_worker(tail_ms=40)
    baseline = baseline_utilisations(model_with_weight(0.1), view)
    assert abs(baseline["shop"] - (utilisation_at(0.8) - 0.1 * 2.0)) < 1e-9


def test_a_run_without_checkpoints_that_is_nearly_done_stays():
    view = colocated_worker(tail_ms=150, progress_percent=80, checkpointing=False)
    (change,) = speed_changes(model_with_weight(0.5), view, {BEST_EFFORT_RUN: 30}, 0.0)
    assert 0 < change.speed_percent < 30


def test_calm_lets_a_slowed_run_go_faster_again():
    view = colocated_worker(tail_ms=20)
    (change,) = speed_changes(InterferenceModel(), view, {BEST_EFFORT_RUN: 50}, 0.0)
    assert 50 < change.speed_percent <= FULL_SPEED_PERCENT


def test_a_serving_run_that_stays_slow_has_all_others_yield_though_none_is_blamed():
    view = colocated_worker(tail_ms=60)
    assert speed_changes(model_with_weight(0.001), view, {}, 0.0) == []
    (change,) = speed_changes(model_with_weight(0.001), view, {}, MAX_SLOW_SECONDS)
    assert change.speed_percent == 50


def test_slowness_is_counted_from_its_first_look_to_the_first_calm_one():
    history = ColocationHistory()
    history.add_report(colocated_worker(tail_ms=60), 10.0)
    history.add_report(colocated_worker(tail_ms=60), 11.0)
    assert history.slow_seconds(12.0) == 2.0
    history.add_report(colocated_worker(tail_ms=20), 12.0)
    assert history.slow_seconds(12.0) == 0.0


def test_a_run_begins_at_the_pace_that_is_borne():
    view = colocated_worker(tail_ms=20)
    step_spec = view.worker.task_by_run[BEST_EFFORT_RUN].step.spec
    assert initial_speed_percent(InterferenceModel(), view, step_spec) == FULL_SPEED_PERCENT
    assert initial_speed_percent(model_with_weight(), view, step_spec) < FULL_SPEED_PERCENT
