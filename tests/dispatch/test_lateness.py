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


def group(job, number):
    return job.groups[0, number]


def test_a_job_is_late_once_it_cannot_end_within_its_objective():
    job = job_with(step(estimated_ms=1000))
    # The objective is 2000 ms, and very late is three times that.
    ages = {1000: ON_TIME, 1001: LATE, 5000: LATE, 5001: VERY_LATE}
    assert {age: lateness_of(group(job, 0), age) for age in ages} == ages


def test_the_work_that_follows_a_step_counts():
    job = job_with(step(estimated_ms=1000), step(estimated_ms=800, after=[0]))
    # The objective is 3200 ms.
    first = {1400: ON_TIME, 1401: LATE}
    second = {2400: ON_TIME, 2401: LATE}
    assert {age: lateness_of(group(job, 0), age) for age in first} == first
    assert {age: lateness_of(group(job, 1), age) for age in second} == second


def test_long_running_work_is_never_late():
    assert lateness_of(group(job_with(step(lasting=True)), 0), 10**9) == ON_TIME
