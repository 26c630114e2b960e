"""What finite work has needed of a service of late."""

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
