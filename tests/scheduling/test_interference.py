import pytest

from savoryshelf.scheduling.interference import (
    EVICT_AFTER_SECONDS,
    POLICIES,
    SITE_PAUSE_SECONDS,
    WORKER_PAUSE_SECONDS,
    InterferenceWatch,
    Observation,
)

SLOTS = 5


def seen(pressure, running=SLOTS):
    return Observation(pressure, running, SLOTS)


def watch_for(seconds, pressure, watch=None, start=0.0, running=SLOTS):
    """Let a watch see one worker under that pressure, four times a second."""
    watch = watch or InterferenceWatch()
    now = start
    while now <= start + seconds:
        watch.observe({"w0": seen(pressure, running)}, now)
        now += 0.25
    return watch


def test_a_calm_worker_keeps_all_its_batch_slots():
    assert watch_for(10.0, 0.5).batch_limit("w0") == SLOTS


def test_a_worker_of_which_nothing_is_known_has_no_limit():
    assert InterferenceWatch().batch_limit("w9") is None


def test_lasting_pressure_lowers_the_limit_step_by_step():
    watch = watch_for(1.0, 1.5)
    assert watch.batch_limit("w0") == SLOTS - 1
    watch_for(2.0, 1.5, watch, start=1.25, running=SLOTS - 1)
    assert watch.batch_limit("w0") < SLOTS - 1


def test_the_limit_is_lowered_from_what_runs():
    assert watch_for(1.0, 1.5, running=2).batch_limit("w0") == 1


def test_between_the_marks_the_limit_stays():
    watch = watch_for(1.0, 1.5)
    limit = watch.batch_limit("w0")
    watch_for(30.0, 0.85, watch, start=2.0)
    assert watch.batch_limit("w0") == limit


def test_the_limit_rises_again_slowly_and_never_beyond_the_slots():
    watch = watch_for(4.0, 1.5)
    low = watch.batch_limit("w0")
    watch_for(5.0, 0.2, watch, start=5.0)
    assert low < watch.batch_limit("w0") <= low + 2
    watch_for(120.0, 0.2, watch, start=11.0)
    assert watch.batch_limit("w0") == SLOTS


def test_an_attempt_yields_only_when_lowering_was_not_enough():
    watch = watch_for(EVICT_AFTER_SECONDS - 1, 1.5)
    assert watch.must_yield(1.0, EVICT_AFTER_SECONDS - 1) is None
    watch_for(1.0, 1.5, watch, start=EVICT_AFTER_SECONDS - 1)
    assert watch.must_yield(1.0, EVICT_AFTER_SECONDS) == "w0"


def test_where_evictions_weigh_more_a_worker_is_given_more_time():
    watch = watch_for(EVICT_AFTER_SECONDS, 1.5)
    assert watch.must_yield(1.0, EVICT_AFTER_SECONDS) == "w0"
    assert watch.must_yield(2.5, EVICT_AFTER_SECONDS) is None


def test_pressure_that_has_passed_makes_nobody_yield():
    watch = watch_for(EVICT_AFTER_SECONDS, 1.5)
    watch.observe({"w0": seen(0.9)}, EVICT_AFTER_SECONDS + 0.5)
    assert watch.must_yield(1.0, EVICT_AFTER_SECONDS + 0.5) is None


def test_a_wave_of_noisy_tasks_causes_no_storm_of_evictions():
    workers = {f"w{n}": seen(2.0) for n in range(20)}
    watch, evictions, now = InterferenceWatch(), [], 0.0
    while now < 60.0:
        watch.observe(workers, now)
        worker_id = watch.must_yield(1.0, now)
        if worker_id:
            watch.yielded(worker_id, now)
            evictions.append((now, worker_id))
        now += 0.25
    assert evictions
    times = [at for at, _ in evictions]
    assert all(b - a >= SITE_PAUSE_SECONDS for a, b in zip(times, times[1:], strict=False))
    by_worker = {}
    for at, worker_id in evictions:
        assert at - by_worker.get(worker_id, float("-inf")) >= WORKER_PAUSE_SECONDS
        by_worker[worker_id] = at


@pytest.mark.parametrize("pressure", [0.0, 5.0])
def test_the_baseline_leaves_everything_alone(pressure):
    watch = watch_for(60.0, pressure, watch=POLICIES["none"]())
    assert watch.batch_limit("w0") is None
    assert watch.must_yield(1.0, 60.0) is None
