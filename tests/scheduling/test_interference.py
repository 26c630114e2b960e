import pytest

from savoryshelf.scheduling.interference import (
    EVICT_AFTER_SECONDS,
    POLICIES,
    SITE_EVICTION_INTERVAL_SECONDS,
    WORKER_EVICTION_INTERVAL_SECONDS,
    InterferenceController,
    WorkerObservation,
)

SLOTS = 5


def observation(latency_ratio, running=SLOTS):
    return WorkerObservation(latency_ratio, running, SLOTS)


def observe_for(seconds, latency_ratio, controller=None, start=0.0, running=SLOTS):
    """Let a watch see one worker under that pressure, four times a second."""
    controller = controller or InterferenceController()
    now = start
    while now <= start + seconds:
        controller.observe({"w0": observation(latency_ratio, running)}, now)
        now += 0.25
    return controller


def test_a_calm_worker_keeps_all_its_batch_slots():
    assert observe_for(10.0, 0.5).batch_limit("w0") == SLOTS


def test_a_worker_of_which_nothing_is_known_has_no_limit():
    assert InterferenceController().batch_limit("w9") is None


def test_lasting_pressure_lowers_the_limit_step_by_step():
    controller = observe_for(1.0, 1.5)
    assert controller.batch_limit("w0") == SLOTS - 1
    observe_for(2.0, 1.5, controller, start=1.25, running=SLOTS - 1)
    assert controller.batch_limit("w0") < SLOTS - 1


def test_the_limit_is_lowered_from_what_runs():
    assert observe_for(1.0, 1.5, running=2).batch_limit("w0") == 1


def test_between_the_marks_the_limit_stays():
    controller = observe_for(1.0, 1.5)
    limit = controller.batch_limit("w0")
    observe_for(30.0, 0.85, controller, start=2.0)
    assert controller.batch_limit("w0") == limit


def test_the_limit_rises_again_slowly_and_never_beyond_the_slots():
    controller = observe_for(4.0, 1.5)
    low = controller.batch_limit("w0")
    observe_for(5.0, 0.2, controller, start=5.0)
    assert low < controller.batch_limit("w0") <= low + 2
    observe_for(120.0, 0.2, controller, start=11.0)
    assert controller.batch_limit("w0") == SLOTS


def test_an_attempt_yields_only_when_lowering_was_not_enough():
    controller = observe_for(EVICT_AFTER_SECONDS - 1, 1.5)
    assert controller.worker_to_evict_from(1.0, EVICT_AFTER_SECONDS - 1) is None
    observe_for(1.0, 1.5, controller, start=EVICT_AFTER_SECONDS - 1)
    assert controller.worker_to_evict_from(1.0, EVICT_AFTER_SECONDS) == "w0"


def test_where_evictions_weigh_more_a_worker_is_given_more_time():
    controller = observe_for(EVICT_AFTER_SECONDS, 1.5)
    assert controller.worker_to_evict_from(1.0, EVICT_AFTER_SECONDS) == "w0"
    assert controller.worker_to_evict_from(2.5, EVICT_AFTER_SECONDS) is None


def test_pressure_that_has_passed_makes_nobody_yield():
    controller = observe_for(EVICT_AFTER_SECONDS, 1.5)
    controller.observe({"w0": observation(0.9)}, EVICT_AFTER_SECONDS + 0.5)
    assert controller.worker_to_evict_from(1.0, EVICT_AFTER_SECONDS + 0.5) is None


def test_a_wave_of_noisy_tasks_causes_no_storm_of_evictions():
    workers = {f"w{n}": observation(2.0) for n in range(20)}
    controller, evictions, now = InterferenceController(), [], 0.0
    while now < 60.0:
        controller.observe(workers, now)
        worker_id = controller.worker_to_evict_from(1.0, now)
        if worker_id:
            controller.record_eviction(worker_id, now)
            evictions.append((now, worker_id))
        now += 0.25
    assert evictions
    times = [at for at, _ in evictions]
    assert all(
        b - a >= SITE_EVICTION_INTERVAL_SECONDS for a, b in zip(times, times[1:], strict=False)
    )
    by_worker = {}
    for at, worker_id in evictions:
        assert at - by_worker.get(worker_id, float("-inf")) >= WORKER_EVICTION_INTERVAL_SECONDS
        by_worker[worker_id] = at


@pytest.mark.parametrize("latency_ratio", [0.0, 5.0])
def test_the_baseline_leaves_everything_alone(latency_ratio):
    controller = observe_for(60.0, latency_ratio, controller=POLICIES["none"]())
    assert controller.batch_limit("w0") is None
    assert controller.worker_to_evict_from(1.0, 60.0) is None
