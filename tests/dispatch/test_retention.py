from savoryshelf.dispatch.retention import Retention

from ..tasks.builders import JOB, accept, ledger, step

HOUR_MS = 3_600_000
SECOND = "00000000000000b2"


def test_there_is_no_cutoff_before_the_retention_time_has_passed():
    retention = Retention(120.0)
    cutoffs = [retention.expiry_cutoff_ms(1000, float(second)) for second in range(120)]
    assert cutoffs == [None] * 120


def test_a_wall_clock_jump_deletes_no_job_early():
    """A leader whose wall clock is an hour ahead moves the ledger's time by that hour.

    A job that ended just before must still be kept for the whole retention time.
    """
    task_ledger, retention = ledger(), Retention(120.0)
    accept(task_ledger, step())
    retention.expiry_cutoff_ms(task_ledger.at_ms, 0.0)
    task_ledger.at_ms += HOUR_MS
    task_ledger.cancel(JOB)
    for second in range(1, 121):
        task_ledger.at_ms += 1000
        cutoff_ms = retention.expiry_cutoff_ms(task_ledger.at_ms, float(second))
        assert cutoff_ms is None or not task_ledger.has_jobs_ended_before(cutoff_ms)


def test_a_job_that_ended_long_ago_is_deleted_and_a_running_one_is_kept():
    task_ledger, retention = ledger(), Retention(120.0)
    accept(task_ledger, step())
    accept(task_ledger, step(), job_id=SECOND)
    task_ledger.cancel(JOB)
    task_ledger.at_ms += 1
    retention.expiry_cutoff_ms(task_ledger.at_ms, 0.0)
    cutoff_ms = retention.expiry_cutoff_ms(task_ledger.at_ms, 121.0)
    assert task_ledger.has_jobs_ended_before(cutoff_ms)
    assert task_ledger.delete_ended_jobs(cutoff_ms) == 1
    assert list(task_ledger.job_by_id) == [SECOND]
