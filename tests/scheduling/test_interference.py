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
    """Report one worker with that latency ratio to a controller, four times a second."""
    controller = controller or InterferenceController()
    now = start
    while now <= start + seconds:
        controller.observe({"w0": observation(latency_ratio, running)}, now)
        now += 0.25
    return controller


def test_a_worker_well_below_its_latency_target_keeps_all_its_batch_slots():
    assert observe_for(10.0, 0.5).batch_limit("w0") == SLOTS


def test_an_unobserved_worker_has_no_limit():
    assert InterferenceController().batch_limit("w9") is None


def test_sustained_high_latency_lowers_the_limit_step_by_step():
    controller = observe_for(1.0, 1.5)
    assert controller.batch_limit("w0") == SLOTS - 1
    observe_for(2.0, 1.5, controller, start=1.25, running=SLOTS - 1)
    assert controller.batch_limit("w0") < SLOTS - 1


def test_the_limit_is_lowered_from_the_number_of_running_tasks():
    assert observe_for(1.0, 1.5, running=2).batch_limit("w0") == 1


def test_the_limit_does_not_change_between_the_two_thresholds():
    controller = observe_for(1.0, 1.5)
    limit = controller.batch_limit("w0")
    observe_for(30.0, 0.85, controller, start=2.0)
    assert controller.batch_limit("w0") == limit


def test_the_limit_rises_again_slowly_and_never_exceeds_the_slots():
    controller = observe_for(4.0, 1.5)
    low = controller.batch_limit("w0")
    observe_for(5.0, 0.2, controller, start=5.0)
    assert low < controller.batch_limit("w0") <= low + 2
    observe_for(120.0, 0.2, controller, start=11.0)
    assert controller.batch_limit("w0") == SLOTS


def test_an_attempt_is_evicted_only_when_lowering_the_limit_was_not_enough():
    controller = observe_for(EVICT_AFTER_SECONDS - 1, 1.5)
    assert controller.worker_to_evict_from(1.0, EVICT_AFTER_SECONDS - 1) is None
    observe_for(1.0, 1.5, controller, start=EVICT_AFTER_SECONDS - 1)
    assert controller.worker_to_evict_from(1.0, EVICT_AFTER_SECONDS) == "w0"


def test_a_higher_eviction_weight_delays_an_eviction():
    controller = observe_for(EVICT_AFTER_SECONDS, 1.5)
    assert controller.worker_to_evict_from(1.0, EVICT_AFTER_SECONDS) == "w0"
    assert controller.worker_to_evict_from(2.5, EVICT_AFTER_SECONDS) is None


def test_no_attempt_is_evicted_once_latency_is_within_its_target():
    controller = observe_for(EVICT_AFTER_SECONDS, 1.5)
    controller.observe({"w0": observation(0.9)}, EVICT_AFTER_SECONDS + 0.5)
    assert controller.worker_to_evict_from(1.0, EVICT_AFTER_SECONDS + 0.5) is None


def test_evictions_are_spaced_when_every_worker_is_above_its_target():
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
    last_eviction_by_worker = {}
    for at, worker_id in evictions:
        assert (
            at - last_eviction_by_worker.get(worker_id, float("-inf"))
            >= WORKER_EVICTION_INTERVAL_SECONDS
        )
        last_eviction_by_worker[worker_id] = at


@pytest.mark.parametrize("latency_ratio", [0.0, 5.0])
def test_the_none_policy_neither_limits_nor_evicts(latency_ratio):
    controller = observe_for(60.0, latency_ratio, controller=POLICIES["none"]())
    assert controller.batch_limit("w0") is None
    assert controller.worker_to_evict_from(1.0, 60.0) is None
