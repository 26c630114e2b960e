"""What finite work has needed of a service of late."""

import pytest

from savoryshelf.dispatch.finite_demand import HALF_LIFE_SECONDS, FiniteDemand

from ..tasks.builders import JOB, accept, ledger, record_intent, step, worker

OTHER_JOB, THIRD_JOB = "00000000000000b2", "00000000000000c3"


def recorded(demand, task_ledger, now=0.0):
    groups = task_ledger.startable_group_by_key.values()
    demand.record(groups, task_ledger.worker_by_incarnation.values(), now)
    return demand.peak_millicores("dispatch")


def test_finite_runs_and_waiting_tasks_count_and_others_do_not():
    task_ledger = ledger(worker(millicores=16_000))
    accept(task_ledger, step(3, millicores=2_000))
    accept(task_ledger, step(3, millicores=1_000, lasting=True), job_id=OTHER_JOB)
    accept(task_ledger, step(3, millicores=500, filling=True, image="i"), job_id=THIRD_JOB)
    record_intent(task_ledger, f"{JOB}.0.0.0")
    record_intent(task_ledger, f"{OTHER_JOB}.0.0.0")
    record_intent(task_ledger, f"{THIRD_JOB}.0.0.0")
    assert recorded(FiniteDemand(), task_ledger) == 6_000


def test_a_peak_fades_and_a_new_one_replaces_it():
    demand, task_ledger = FiniteDemand(), ledger(worker(millicores=16_000))
    accept(task_ledger, step(4, millicores=2_000))
    assert recorded(demand, task_ledger) == 8_000
    task_ledger.cancel(JOB)
    assert recorded(demand, task_ledger, HALF_LIFE_SECONDS) == 4_000
    accept(task_ledger, step(4, millicores=4_000), job_id=OTHER_JOB)
    assert recorded(demand, task_ledger, 2 * HALF_LIFE_SECONDS) == 16_000


def test_a_service_without_finite_work_has_no_peak():
    assert recorded(FiniteDemand(), ledger()) == 0.0


def test_the_largest_waiting_task_counts_and_fades():
    demand, task_ledger = FiniteDemand(), ledger(worker(millicores=16_000))
    accept(task_ledger, step(4, millicores=2_000))
    accept(task_ledger, step(1, millicores=9_000), job_id=OTHER_JOB)
    accept(task_ledger, step(1, millicores=12_000, lasting=True), job_id=THIRD_JOB)
    recorded(demand, task_ledger)
    assert demand.largest_millicores("dispatch") == 9_000
    task_ledger.cancel(OTHER_JOB)
    recorded(demand, task_ledger, HALF_LIFE_SECONDS)
    assert demand.largest_millicores("dispatch") == 4_500


# Guards against workers that are kept for minutes after a backlog of a multiple of the service.
def test_a_backlog_counts_for_no_more_than_the_workers_have():
    demand, task_ledger = FiniteDemand(), ledger(worker(millicores=16_000))
    accept(task_ledger, step(800, millicores=2_000))
    record_intent(task_ledger, f"{JOB}.0.0.0")
    assert recorded(demand, task_ledger) == 16_000
    task_ledger.cancel(JOB)
    assert recorded(demand, task_ledger, HALF_LIFE_SECONDS) == 8_000


# Guards against workers that are kept for what none of them can run.
@pytest.mark.parametrize(
    "fields", [{"millicores": 17_000}, {"memory_mb": 1_001}, {"required_label": "none"}]
)
def test_tasks_that_fit_on_no_worker_do_not_count(fields):
    demand, task_ledger = FiniteDemand(), ledger(worker(millicores=16_000))
    accept(task_ledger, step(4, **({"millicores": 9_000} | fields)))
    assert recorded(demand, task_ledger) == 0.0
    assert demand.largest_millicores("dispatch") == 0.0


def test_tasks_that_need_a_label_count_for_no_more_than_the_workers_that_have_it():
    workers = [worker("w1", millicores=16_000), worker("w2", millicores=4_000, labels=("b",))]
    demand, task_ledger = FiniteDemand(), ledger(*workers)
    accept(task_ledger, step(9, millicores=2_000, required_label="b"))
    accept(task_ledger, step(3, millicores=2_000), job_id=OTHER_JOB)
    assert recorded(demand, task_ledger) == 10_000
