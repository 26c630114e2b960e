from savoryshelf.dispatch.retention import Retention

from ..tasks.builders import JOB, accept, ledger, step

HOUR_MS = 3_600_000
SECOND = "00000000000000b2"


def test_nothing_is_forgotten_before_its_time():
    retention = Retention(120.0)
    asked = [retention.forget_before(1000, float(second)) for second in range(120)]
    assert asked == [None] * 120


def test_a_clock_that_jumps_ahead_forgets_no_job_early():
    held, retention = ledger(), Retention(120.0)
    accept(held, step())
    retention.forget_before(held.at_ms, 0.0)
    held.at_ms += HOUR_MS
    held.cancel(JOB)
    for second in range(1, 121):
        held.at_ms += 1000
        before_ms = retention.forget_before(held.at_ms, float(second))
        assert before_ms is None or not held.has_jobs_ended_before(before_ms)


def test_a_job_that_ended_long_ago_is_forgotten_and_a_running_one_is_not():
    held, retention = ledger(), Retention(120.0)
    accept(held, step())
    accept(held, step(), job_id=SECOND)
    held.cancel(JOB)
    held.at_ms += 1
    retention.forget_before(held.at_ms, 0.0)
    before_ms = retention.forget_before(held.at_ms, 121.0)
    assert held.has_jobs_ended_before(before_ms)
    assert held.delete_ended_jobs(before_ms) == 1
    assert list(held.job_by_id) == [SECOND]
