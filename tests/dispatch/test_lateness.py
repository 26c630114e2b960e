from savoryshelf.dispatch.lateness import (
    LATE,
    ON_TIME,
    VERY_LATE,
    latency_objective_ms,
    lateness_of,
)

from ..tasks.builders import JOB, accept, ledger, step


def job_with(*steps):
    task_ledger = ledger()
    accept(task_ledger, *steps)
    return task_ledger.job_by_id[JOB]


def test_the_objective_follows_the_critical_path():
    job = job_with(
        step(estimated_ms=1000), step(estimated_ms=400), step(estimated_ms=200, after=[0])
    )
    assert latency_objective_ms(job) == 500 + 1.5 * 1200


def test_a_job_is_late_after_its_objective_and_very_late_after_three_times_it():
    job = job_with(step(estimated_ms=1000))
    ages = {2000: ON_TIME, 2001: LATE, 6000: LATE, 6001: VERY_LATE}
    assert {age: lateness_of(job, 0, age) for age in ages} == ages


def test_long_running_work_is_never_late():
    assert lateness_of(job_with(step(lasting=True)), 0, 10**9) == ON_TIME
