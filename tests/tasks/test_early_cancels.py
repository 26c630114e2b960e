"""Cancels that overtake the hand-in of their job (rule UNASKED, issue 64)."""

import pytest

from savoryshelf.outcomes import Accepted, Refusal
from savoryshelf.tasks import early_cancels, snapshot
from savoryshelf.tasks.state_machine import TaskStateMachine
from savoryshelf.wire import codec
from savoryshelf.wire.generated.ttypes import (
    AcceptTasks,
    CancelTasks,
    ForgetJobs,
    JobSpec,
    TaskCommand,
    TaskCommandBody,
)

from .builders import HOST, JOB, accept, ledger, manifest, step

OTHER_JOB = "00000000000000b2"


@pytest.fixture
def task_ledger():
    return ledger()


# Guards against a task that runs for good though its cancel was acknowledged: nothing was kept of
# the cancel of a job that was not known yet.
@pytest.mark.parametrize("is_restored", [False, True])
def test_a_job_that_was_cancelled_before_it_came_is_refused(task_ledger, is_restored):
    assert isinstance(task_ledger.cancel(JOB, is_kept=True), Refusal)
    if is_restored:
        task_ledger = snapshot.load(snapshot.save(task_ledger))
    outcome = accept(task_ledger, step(lasting=True))
    assert isinstance(outcome, Refusal) and outcome.reason == "cancelled"
    assert task_ledger.job_by_id == {}
    assert not task_ledger.startable_group_by_key
    assert accept(task_ledger, step(), job_id=OTHER_JOB) == Accepted()


def test_a_cancel_after_the_hand_in_cancels_the_job_and_keeps_nothing(task_ledger):
    accept(task_ledger, step(lasting=True))
    assert task_ledger.cancel(JOB, is_kept=True) == Accepted()
    assert JOB not in task_ledger.early_cancels
    assert accept(task_ledger, step(lasting=True)) == Accepted(duplicate=True)
    assert task_ledger.job_by_id[JOB].cancelled


def test_a_repeated_cancel_is_kept_from_the_newest_on(task_ledger):
    for at_ms in (100, 200):
        task_ledger.at_ms = at_ms
        assert task_ledger.cancel(JOB, is_kept=True).reason == "no_such_job"
    task_ledger.delete_ended_jobs(150)
    assert JOB in task_ledger.early_cancels


@pytest.mark.parametrize("is_restored", [False, True])
def test_early_cancels_are_deleted_with_the_jobs_that_ended_then(task_ledger, is_restored):
    for at_ms, job_id in ((100, JOB), (200, OTHER_JOB)):
        task_ledger.at_ms = at_ms
        task_ledger.cancel(job_id, is_kept=True)
    if is_restored:
        task_ledger = snapshot.load(snapshot.save(task_ledger))
    assert not task_ledger.has_jobs_ended_before(100)
    assert task_ledger.has_jobs_ended_before(101)
    task_ledger.delete_ended_jobs(101)
    assert JOB not in task_ledger.early_cancels
    assert OTHER_JOB in task_ledger.early_cancels
    assert not task_ledger.has_jobs_ended_before(200)


# Guards against memory without bound, for anyone may cancel ids that never existed, and against an
# acknowledgement that a later cancel takes back.
def test_too_many_early_cancels_are_refused_and_none_is_dropped(task_ledger, monkeypatch):
    monkeypatch.setattr(early_cancels, "MAX_EARLY_CANCELS", 2)
    task_ledger.cancel(JOB, is_kept=True)
    task_ledger.cancel(OTHER_JOB, is_kept=True)
    assert task_ledger.cancel("00000000000000c3", is_kept=True).reason == "too_many_cancels"
    assert task_ledger.cancel(JOB, is_kept=True).reason == "no_such_job"
    assert accept(task_ledger, step()).reason == "cancelled"
    assert accept(task_ledger, step(), job_id=OTHER_JOB).reason == "cancelled"
    assert accept(task_ledger, step(), job_id="00000000000000c3") == Accepted()
    assert task_ledger.cancel("00000000000000c3", is_kept=True) == Accepted()


# Guards against jobs that were accepted by an earlier version and are lost when its log is read.
def test_a_log_of_an_earlier_version_has_the_same_effect_again():
    state_machine = TaskStateMachine()
    commands = [
        {"put_manifest": manifest()},
        {"cancel_tasks": CancelTasks(JOB)},
        {"accept_tasks": accept_command(JOB)},
        {"cancel_tasks": CancelTasks(OTHER_JOB, is_kept=True)},
        {"accept_tasks": accept_command(OTHER_JOB)},
    ]
    outcomes = [
        state_machine.apply(codec.encode(TaskCommand(1000, TaskCommandBody(**body))))
        for body in commands
    ]
    assert outcomes[2] == Accepted()
    assert outcomes[4].reason == "cancelled"
    assert set(state_machine.ledger.job_by_id) == {JOB}
    forget = TaskCommand(2000, TaskCommandBody(forget_jobs=ForgetJobs(1001)))
    state_machine.apply(codec.encode(forget))
    assert OTHER_JOB not in state_machine.ledger.early_cancels


def accept_command(job_id):
    spec = JobSpec("work", [step(lasting=True)], 0, 0, 1000)
    return AcceptTasks(job_id, HOST, "/quotes/" + job_id, spec)
