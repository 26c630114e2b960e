import pytest

from savoryshelf.dispatch.agent import TAKEOVER_SLACK_MS
from savoryshelf.dispatch.permission import PERMISSION_SECONDS
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


def test_a_lease_holds_until_the_fastest_clock_is_past_its_deadline():
    clock = WorkerClock()
    assert clock.holds_lease(100.0) is None
    clock.record_reading(10_000, 100.0)
    deadline_ms = clock.extend_deadline(110.0, 6000)
    clock.confirm_deadline(deadline_ms, 110.0)
    lapses_at = 100.0 + (deadline_ms - 10_000) / 1000
    assert clock.holds_lease(lapses_at - 0.01)
    assert not clock.holds_lease(lapses_at + 0.01)


def test_an_earlier_call_that_is_answered_late_shortens_no_lease():
    clock = WorkerClock()
    clock.record_reading(10_000, 100.0)
    earlier_ms = clock.extend_deadline(100.0, 6000)
    clock.confirm_deadline(clock.extend_deadline(102.0, 6000), 102.0)
    clock.confirm_deadline(earlier_ms, 100.0)
    assert clock.holds_lease(107.0)


def test_no_deadline_has_passed_without_a_reading():
    assert not WorkerClock().all_deadlines_passed(1e9)


# Guards against leases that grow with the age of a worker whose clock is slow: no answer arrives
# in less than no time, so no reading of the slowest clock is above the bound known from the first.
# A worker that crashed was lost that much later, and one whose agent had changed was taken for
# lost while a late start of the earlier agent ran there under such a lease.
@pytest.mark.parametrize("rate", [MIN_CLOCK_RATE, 0.99, 1.0])
def test_a_lease_is_as_long_on_a_slow_clock_as_on_any_other(rate):
    clock = WorkerClock()
    for poll in range(300):
        now = 100.0 + 2.0 * poll
        worker_ms = 1000 * rate * now
        clock.record_reading(int(worker_ms), now + 0.005)
        deadline_ms = clock.extend_deadline(now + 2.0, 6000) - 1000 * rate * (now + 2.0)
        assert 6000 - 100 <= deadline_ms <= 6000


# Guards against two runs of a task: a worker cannot be reached by its next agent, and a start that
# the earlier one sent as late as it was permitted arrives there.
@pytest.mark.parametrize("rate", [MIN_CLOCK_RATE, 1.0])
@pytest.mark.parametrize("idle_seconds", [0.0, 2.0, 60.0, 3600.0])
def test_the_next_agent_waits_longer_than_any_lease_of_the_earlier_one(idle_seconds, rate):
    taken_over_at = 10_000.0
    granted_at = taken_over_at + PERMISSION_SECONDS
    clock = WorkerClock()
    read_at = granted_at - idle_seconds
    clock.record_reading(int(1000 * rate * read_at), read_at)
    deadline_ms = clock.extend_deadline(granted_at, 6000)
    killed_at = (deadline_ms + EXPIRY_SLACK_MS) / rate / 1000
    assert taken_over_at + (6000 + TAKEOVER_SLACK_MS) / MIN_CLOCK_RATE / 1000 >= killed_at
