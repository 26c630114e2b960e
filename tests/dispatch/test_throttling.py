from savoryshelf.dispatch.interference import InterferenceModel, utilisation_at
from savoryshelf.dispatch.placement import WorkerView
from savoryshelf.dispatch.throttling import (
    FULL_SPEED_PERCENT,
    MAX_SLOW_SECONDS,
    PAUSE_SLOW_SECONDS,
    PAUSED,
    ColocationHistory,
    baseline_utilisations,
    initial_speed_percent,
    learn_interference,
    speed_changes,
)
from savoryshelf.dispatch.worker_api import RunStatus

from ..tasks.builders import JOB, accept, ledger, record_intent, step, worker

SERVING_RUN, BEST_EFFORT_RUN = (f"{JOB}.0.0.0", 1), (f"{JOB}.0.1.0", 1)


def colocated_worker(tail_ms, progress_percent=10, checkpointing=True):
    """Return a worker with a best-effort run and a serving run with a latency target of 50 ms."""
    task_ledger = ledger()
    serving_step = step(lasting=True, target_ms=50, image="shop")
    best_effort_step = step(
        filling=True, image="batch", millicores=2000, checkpointing=checkpointing
    )
    accept(task_ledger, serving_step, best_effort_step)
    status_by_run = {
        SERVING_RUN: RunStatus(*SERVING_RUN, "", 100, tail_ms),
        BEST_EFFORT_RUN: RunStatus(*BEST_EFFORT_RUN, "", progress_percent, 2000),
    }
    for name, run in status_by_run:
        record_intent(task_ledger, name, run)
    return WorkerView(task_ledger.worker_by_incarnation["w1", 1], True, status_by_run)


def model_with_weight(weight=0.2):
    return InterferenceModel({("batch", "shop"): weight})


def changes(model, view, speed_percent_by_run=None, slow_seconds=0.0, paused_seconds=0.0):
    """Return the changes of speeds that were requested ``paused_seconds`` ago.

    A serving run over its target has been so for ``slow_seconds``.
    """
    now, speeds = 100.0, speed_percent_by_run or {}
    history = ColocationHistory()
    paused = {run for run, speed_percent in speeds.items() if speed_percent == PAUSED}
    history.record_pauses(paused, now - paused_seconds)
    history.add_report(view, now - slow_seconds)
    history.add_report(view, now)
    return speed_changes(model, view, speeds, history, now)


def test_best_effort_runs_are_throttled_beside_a_serving_run_over_its_target():
    view = colocated_worker(tail_ms=60)
    ((task, speed_percent),) = [
        (change.task, change.speed_percent) for change in changes(model_with_weight(), view)
    ]
    assert task == BEST_EFFORT_RUN[0]
    assert 25 <= speed_percent < FULL_SPEED_PERCENT


def test_a_run_that_would_fall_below_the_minimum_speed_is_evicted():
    view = colocated_worker(tail_ms=150)
    (change,) = changes(model_with_weight(0.5), view, {BEST_EFFORT_RUN: 30})
    assert change.speed_percent is None


def test_a_run_without_checkpoints_that_is_nearly_done_is_paused():
    view = colocated_worker(tail_ms=150, progress_percent=80, checkpointing=False)
    (change,) = changes(model_with_weight(0.5), view, {BEST_EFFORT_RUN: 30})
    assert change.speed_percent == PAUSED


def test_a_run_that_is_paused_for_longer_than_its_work_took_is_evicted():
    # Four fifths of 500 ms are done.
    view = colocated_worker(tail_ms=150, progress_percent=80, checkpointing=False)
    paused = {BEST_EFFORT_RUN: PAUSED}
    assert changes(model_with_weight(0.5), view, paused, paused_seconds=0.39) == []
    (change,) = changes(model_with_weight(0.5), view, paused, paused_seconds=0.41)
    assert change.speed_percent is None


def test_a_paused_run_goes_on_once_latencies_are_low():
    view = colocated_worker(tail_ms=20)
    (change,) = changes(model_with_weight(0.5), view, {BEST_EFFORT_RUN: PAUSED}, paused_seconds=9.0)
    assert PAUSED < change.speed_percent < FULL_SPEED_PERCENT


def test_an_interfering_run_halves_its_speed_beside_one_over_its_target():
    view = colocated_worker(tail_ms=150)
    (change,) = changes(model_with_weight(0.5), view)
    assert change.speed_percent == 50


def test_a_run_with_negligible_interference_keeps_its_speed():
    view = colocated_worker(tail_ms=150)
    assert changes(model_with_weight(0.001), view) == []


def test_interference_is_learned_when_latency_rises_with_best_effort_load():
    interference, history = InterferenceModel(), ColocationHistory()
    idle, loaded = colocated_worker(tail_ms=20), colocated_worker(tail_ms=100)
    del idle.status_by_run[BEST_EFFORT_RUN]
    for number in range(5):
        learn_interference(interference, idle, history, number * 0.4)
    learn_interference(interference, loaded, history, 2.0)
    learn_interference(interference, loaded, history, 2.4)
    assert interference.weight("batch", "shop") > 0.1


def test_polls_in_quick_succession_give_one_sample():
    history = ColocationHistory()
    view = colocated_worker(tail_ms=20)
    history.add_report(view, 1.0)
    assert history.deviations(view, 1.0) == []
    assert history.deviations(view, 1.05) == []
    assert len(history.deviations(view, 1.2)) == 1


# Every poll costs time in proportion to the square of the images it compares.
def test_best_effort_images_that_ended_long_ago_are_not_compared_any_more():
    history = ColocationHistory()
    task_ledger = ledger(worker(millicores=9000, memory_mb=90_000))
    accept(task_ledger, step(lasting=True, target_ms=50, image="shop"))
    record_intent(task_ledger, SERVING_RUN[0])
    view = WorkerView(task_ledger.worker_by_incarnation["w1", 1], True, {})
    compared = []
    for number in range(100):
        job_id = f"{0xD000 + number:016x}"
        accept(task_ledger, step(filling=True, image=f"batch-{number}"), job_id=job_id)
        run = f"{job_id}.0.0.0", 1
        record_intent(task_ledger, *run)
        status_by_run = {
            SERVING_RUN: RunStatus(*SERVING_RUN, "", 100, 20),
            run: RunStatus(*run, "", 10, 1000),
        }
        view = WorkerView(view.worker, True, status_by_run)
        history.add_report(view, number * 1.0)
        compared = history.deviations(view, number * 1.0)
    ((_, _, cores_deviation_by_image),) = compared
    assert len(cores_deviation_by_image) < 10


def test_baseline_utilisation_excludes_the_share_of_best_effort_runs():
    view = colocated_worker(tail_ms=40)
    baseline = baseline_utilisations(model_with_weight(0.1), view)
    assert abs(baseline["shop"] - (utilisation_at(0.8) - 0.1 * 2.0)) < 1e-9


# A nearly finished run went on at an eighth of its speed beside a serving run that was over
# its target for more than the 4 s that the platform tolerates.
def test_nothing_works_beside_a_run_that_misses_its_target_for_too_long():
    view = colocated_worker(tail_ms=60, progress_percent=80, checkpointing=False)
    (change,) = changes(model_with_weight(0.001), view, slow_seconds=PAUSE_SLOW_SECONDS)
    assert change.speed_percent == PAUSED


def test_a_throttled_run_speeds_up_when_latency_is_low():
    view = colocated_worker(tail_ms=20)
    (change,) = changes(InterferenceModel(), view, {BEST_EFFORT_RUN: 50})
    assert 50 < change.speed_percent <= FULL_SPEED_PERCENT


# It stayed at the speed that a serving run had needed which was stopped meanwhile.
def test_a_throttled_run_gets_full_speed_once_no_serving_run_is_left():
    view = colocated_worker(tail_ms=20)
    del view.status_by_run[SERVING_RUN]
    for speed_percent in (PAUSED, 50):
        (change,) = changes(InterferenceModel(), view, {BEST_EFFORT_RUN: speed_percent})
        assert change.speed_percent == FULL_SPEED_PERCENT


# A run that was at full speed must not be slowed down because another agent takes it over.
def test_a_run_of_unknown_speed_gets_full_speed_where_latencies_are_low():
    view = colocated_worker(tail_ms=20)
    (change,) = changes(InterferenceModel(), view, {BEST_EFFORT_RUN: None})
    assert change.speed_percent == FULL_SPEED_PERCENT


def test_a_target_missed_for_too_long_throttles_all_best_effort_runs():
    view = colocated_worker(tail_ms=60)
    assert changes(model_with_weight(0.001), view) == []
    (change,) = changes(model_with_weight(0.001), view, slow_seconds=MAX_SLOW_SECONDS)
    assert change.speed_percent == 50


def test_slow_seconds_count_from_the_first_miss_until_the_target_is_met():
    history = ColocationHistory()
    history.add_report(colocated_worker(tail_ms=60), 10.0)
    history.add_report(colocated_worker(tail_ms=60), 11.0)
    assert history.slow_seconds(12.0) == 2.0
    history.add_report(colocated_worker(tail_ms=20), 12.0)
    assert history.slow_seconds(12.0) == 0.0


def test_a_run_starts_at_a_speed_within_the_headroom():
    view = colocated_worker(tail_ms=20)
    step_spec = view.worker.task_by_run[BEST_EFFORT_RUN].step.spec
    assert initial_speed_percent(InterferenceModel(), view, step_spec) == FULL_SPEED_PERCENT
    assert initial_speed_percent(model_with_weight(), view, step_spec) < FULL_SPEED_PERCENT
