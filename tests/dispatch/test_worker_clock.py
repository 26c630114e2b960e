from savoryshelf.dispatch.worker_clock import EXPIRY_SLACK_MS, MIN_CLOCK_RATE, WorkerClock


def test_a_deadline_has_passed_only_when_the_slowest_clock_is_past_it():
    clock = WorkerClock()
    clock.record_reading(10_000, 100.0)
    clock.extend_deadline(100.0, 6000)
    assert not clock.all_deadlines_passed(100.0 + 6.0)
    assert not clock.all_deadlines_passed(100.0 + 6.0 / MIN_CLOCK_RATE)
    assert clock.all_deadlines_passed(100.1 + (6.0 + EXPIRY_SLACK_MS / 1000) / MIN_CLOCK_RATE)


def test_a_deadline_never_moves_back():
    clock = WorkerClock()
    clock.record_reading(10_000, 100.0)
    first = clock.extend_deadline(100.0, 6000)
    clock.record_reading(10_980, 101.0)
    assert clock.extend_deadline(100.5, 1000) >= first


def test_an_out_of_date_reading_is_ignored():
    clock = WorkerClock()
    clock.record_reading(10_000, 100.0)
    clock.record_reading(9_000, 103.0)
    assert clock.lower_bound_ms(100.0) == 10_000


def test_no_deadline_has_passed_without_a_reading():
    assert not WorkerClock().all_deadlines_passed(1e9)
