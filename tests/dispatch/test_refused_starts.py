"""Planned starts that did not become a run."""

from savoryshelf.dispatch.refused_starts import REMEMBERED_SECONDS, RefusedStarts

TASK = "00000000000000a1.0.0.0"


def test_a_refused_start_counts_for_its_worker_and_task_alone():
    starts = RefusedStarts()
    starts.record_start(TASK, 1, "w1", 10.0, 10.0)
    starts.record_start("00000000000000a1.0.0.1", 1, "w2", 10.0, 10.0)
    starts.record_refusal(TASK, 1)
    assert starts.count_by_worker(TASK) == {"w1": 1}
    assert not starts.has_refusals("00000000000000a1.0.0.1")


# Agents report an end again until they see it committed.
def test_a_refusal_that_is_reported_twice_counts_once():
    starts = RefusedStarts()
    starts.record_start(TASK, 1, "w1", 10.0, 10.0)
    starts.record_refusal(TASK, 1)
    starts.record_refusal(TASK, 1)
    assert starts.count_by_worker(TASK) == {"w1": 1}


def test_the_refusal_of_a_start_that_this_leader_did_not_plan_counts_for_nothing():
    starts = RefusedStarts()
    starts.record_refusal(TASK, 1)
    assert not starts.has_refusals(TASK)


def test_a_task_waits_since_before_the_starts_that_were_refused():
    starts = RefusedStarts()
    starts.record_start(TASK, 1, "w1", 10.0, 8.0)
    assert starts.waiting_since_by_task() == {}
    starts.record_refusal(TASK, 1)
    assert starts.waiting_since_by_task() == {TASK: 8.0}
    starts.record_start(TASK, 2, "w2", 11.0, 8.0)
    assert starts.waiting_since_by_task() == {}


# Guards against a task that avoids a worker for good, and against a record without a bound.
def test_starts_are_forgotten_after_a_while():
    starts = RefusedStarts()
    starts.record_start(TASK, 1, "w1", 10.0, 8.0)
    starts.record_refusal(TASK, 1)
    starts.record_start(TASK, 2, "w2", 12.0, 8.0)
    starts.forget_old(10.5 + REMEMBERED_SECONDS)
    assert not starts.has_refusals(TASK)
    starts.forget_old(12.5 + REMEMBERED_SECONDS)
    starts.record_refusal(TASK, 2)
    assert not starts.has_refusals(TASK)


# Guards against a leader that ends: a start that was found invalid used up no run number, so the
# next start of the task has the same one.
def test_a_run_number_that_is_planned_again_is_forgotten_with_both_starts():
    starts = RefusedStarts()
    starts.record_start(TASK, 1, "w1", 10.0, 8.0)
    starts.record_refusal(TASK, 1)
    starts.record_start(TASK, 1, "w2", 11.0, 8.0)
    starts.record_refusal(TASK, 1)
    assert starts.count_by_worker(TASK) == {"w1": 1, "w2": 1}
    starts.forget_old(10.5 + REMEMBERED_SECONDS)
    assert starts.count_by_worker(TASK) == {"w2": 1}
    starts.forget_old(11.5 + REMEMBERED_SECONDS)
    assert not starts.has_refusals(TASK)
