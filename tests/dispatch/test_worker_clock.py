from savoryshelf.dispatch.worker_clock import EXPIRY_SLACK_MS, SLOWEST_RATE, WorkerClock


def test_a_lease_has_passed_only_when_a_slow_clock_surely_shows_it():
    clock = WorkerClock()
    clock.read(10_000, 100.0)
    clock.deadline(100.0, 6000)
    assert not clock.has_passed(100.0 + 6.0)
    assert not clock.has_passed(100.0 + 6.0 / SLOWEST_RATE)
    assert clock.has_passed(100.1 + (6.0 + EXPIRY_SLACK_MS / 1000) / SLOWEST_RATE)


def test_a_deadline_never_shortens():
    clock = WorkerClock()
    clock.read(10_000, 100.0)
    first = clock.deadline(100.0, 6000)
    clock.read(10_980, 101.0)
    assert clock.deadline(100.5, 1000) >= first


def test_a_late_reading_teaches_nothing():
    clock = WorkerClock()
    clock.read(10_000, 100.0)
    clock.read(9_000, 103.0)
    assert clock.at_least(100.0) == 10_000


def test_an_unread_clock_never_says_that_a_lease_has_passed():
    assert not WorkerClock().has_passed(1e9)
