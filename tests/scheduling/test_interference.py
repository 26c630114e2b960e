from savoryshelf.scheduling.interference import (
    EVICT_AFTER_SECONDS,
    HOLD_SECONDS,
    SITE_PAUSE_SECONDS,
    WORKER_PAUSE_SECONDS,
    InterferenceWatch,
)


def watch_after(seconds, pressures, start=0.0, watch=None):
    """Return a watch that saw these pressures every half second."""
    watch = watch or InterferenceWatch()
    now = start
    while now <= start + seconds:
        watch.observe(pressures, now)
        now += 0.5
    return watch


def test_a_short_peak_changes_nothing():
    watch = watch_after(HOLD_SECONDS - 1, {"w0": 3.0})
    assert watch.takes_batch("w0")


def test_a_worker_under_lasting_pressure_gets_no_more_batch_work():
    watch = watch_after(HOLD_SECONDS + 1, {"w0": 1.5, "w1": 0.5})
    assert not watch.takes_batch("w0")
    assert watch.takes_batch("w1")


def test_a_worker_is_calm_again_only_well_below_the_mark():
    watch = watch_after(HOLD_SECONDS + 1, {"w0": 1.5})
    watch.observe({"w0": 0.9}, 10.0)
    assert not watch.takes_batch("w0")
    watch.observe({"w0": 0.6}, 11.0)
    assert watch.takes_batch("w0")


def test_an_attempt_yields_only_when_sparing_the_worker_was_not_enough():
    watch = watch_after(HOLD_SECONDS + 1, {"w0": 1.5})
    assert watch.must_yield(1.0, HOLD_SECONDS + 1) is None
    end = HOLD_SECONDS + EVICT_AFTER_SECONDS + 1
    watch_after(EVICT_AFTER_SECONDS, {"w0": 1.5}, HOLD_SECONDS + 1, watch)
    assert watch.must_yield(1.0, end) == "w0"


def test_where_evictions_weigh_more_a_worker_is_given_more_time():
    end = HOLD_SECONDS + EVICT_AFTER_SECONDS + 1
    watch = watch_after(end, {"w0": 1.5})
    assert watch.must_yield(1.0, end) == "w0"
    assert watch.must_yield(2.5, end) is None


def test_a_wave_of_noisy_tasks_causes_no_storm_of_evictions():
    workers = {f"w{n}": 2.0 for n in range(20)}
    watch, evictions, now = InterferenceWatch(), [], 0.0
    while now < 60.0:
        watch.observe(workers, now)
        worker_id = watch.must_yield(1.0, now)
        if worker_id:
            watch.yielded(worker_id, now)
            evictions.append((now, worker_id))
        now += 0.25
    times = [at for at, _ in evictions]
    assert all(b - a >= SITE_PAUSE_SECONDS for a, b in zip(times, times[1:], strict=False))
    by_worker = {}
    for at, worker_id in evictions:
        assert at - by_worker.get(worker_id, float("-inf")) >= WORKER_PAUSE_SECONDS
        by_worker[worker_id] = at


def test_pressure_that_has_passed_makes_nobody_yield():
    end = HOLD_SECONDS + EVICT_AFTER_SECONDS + 1
    watch = watch_after(end, {"w0": 1.5})
    watch.observe({"w0": 0.9}, end + 0.5)
    assert watch.must_yield(1.0, end + 0.5) is None
