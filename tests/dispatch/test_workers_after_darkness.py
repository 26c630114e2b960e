"""What a new agent may find at a worker that went on alone while all hosts were down."""

import eventlet
import pytest

from savoryshelf.dispatch import assignment
from savoryshelf.dispatch.worker_api import StartResult
from savoryshelf.wire.generated.ttypes import RunOutcome

from ..tasks.builders import step
from ..virtual_time import virtual_time
from .protocol_worker import CALL_TIMEOUT_SECONDS, SILENT
from .startable_group import LEASE_MS, MAX_WAIT_SECONDS, StartableGroup, bounds_of_waits

JOB, OTHER_JOB = "00000000000000a1", "00000000000000b2"
TASK, OTHER_TASK = f"{JOB}.0.0.0", f"{OTHER_JOB}.0.0.0"
LASTING = {"lasting": True}
START_SECONDS = bounds_of_waits().until_used + MAX_WAIT_SECONDS
"""From the restart of the hosts until what may start has a run, where workers answer."""

LOST_SECONDS = bounds_of_waits().until_expired + MAX_WAIT_SECONDS
"""The same for a task whose run may exist on a worker that does not answer."""

DARK_SECONDS = 1.0


@pytest.fixture(params=["the leader calls the workers", "the other hosts call them"])
def site(request, monkeypatch):
    if request.param == "the other hosts call them":
        monkeypatch.setattr(assignment, "MAX_WORKERS_OF_LEADER", 0)
    with virtual_time() as clock:
        group = StartableGroup(clock)
        try:
            for number in (1, 2):
                group.start_worker(f"w{number}", labels=["a", f"w{number}"])
            eventlet.sleep(2.0)
            yield group
            assert group.judge.violations == []
            assert group.failures == []
        finally:
            group.close()


def where(site, task):
    """Return the workers on which a task is at work."""
    return [w for w in site.judge.workers if w.is_up and task in {name for name, _ in w.running}]


def wait_for(condition, seconds):
    """Wait until a condition holds, for so long at most; return whether it does."""
    for _ in range(int(seconds / 0.02)):
        if condition():
            return True
        eventlet.sleep(0.02)
    return condition()


def start(site, task=TASK, **fields):
    """Submit a task, and return the worker on which it has started."""
    site.submit(step(**fields), job_id=task.partition(".")[0])
    assert wait_for(lambda: where(site, task), MAX_WAIT_SECONDS)
    return where(site, task)[0]


def other_than(site, worker):
    return next(each for each in site.worker_by_id.values() if each is not worker)


def require_use_of(site, worker, seconds=START_SECONDS):
    """Require that a worker gets a run soon which may be nowhere else."""
    site.submit(step(required_label=worker.worker_id, **LASTING), job_id=OTHER_JOB)
    assert wait_for(lambda: where(site, OTHER_TASK) == [worker], seconds), site.explain(
        site.ledger.find_task(OTHER_TASK)
    )


def test_an_end_that_was_listed_while_all_hosts_were_down_is_noted_and_not_run_again(site):
    worker = start(site)
    site.lose_power()
    eventlet.sleep(DARK_SECONDS)
    assert [end.outcome for end in worker.ends] == [RunOutcome.DONE]
    site.restart("c1")
    assert wait_for(lambda: site.ledger.find_task(TASK).done, START_SECONDS)
    # A worker without runs is not polled, so the next run brings the acknowledgement.
    require_use_of(site, worker)
    assert wait_for(lambda: worker.acknowledged == 1, START_SECONDS)
    assert site.ledger.find_task(TASK).runs == 1


def test_an_end_whose_lease_lapsed_while_all_hosts_were_down_is_run_again(site):
    worker = start(site, **LASTING)
    site.lose_power()
    eventlet.sleep(LEASE_MS / 1000 + DARK_SECONDS)
    assert [end.outcome for end in worker.ends] == [RunOutcome.LAPSED]
    site.restart("c1")
    assert wait_for(lambda: where(site, TASK), START_SECONDS)


def test_an_end_that_was_committed_and_not_acknowledged_does_not_count_twice(site):
    worker = start(site)
    site.trap = "settle_batch"
    assert wait_for(lambda: site.is_dark, MAX_WAIT_SECONDS)
    eventlet.sleep(DARK_SECONDS)
    assert worker.acknowledged == 0
    site.restart("c1")
    # The log has the end, so the first poll acknowledges it.
    require_use_of(site, worker)
    assert worker.acknowledged == 1
    assert site.ledger.find_task(TASK).runs == 1


def test_a_worker_whose_token_is_ahead_of_the_log_is_used_again(site):
    worker = site.worker_by_id["w1"]
    site.lose_power()
    site.advance_token(worker)
    eventlet.sleep(DARK_SECONDS)
    site.restart("c1")
    require_use_of(site, worker)


def test_a_run_of_a_worker_whose_token_is_ahead_of_the_log_goes_on(site):
    worker = start(site, **LASTING)
    site.lose_power()
    site.advance_token(worker)
    eventlet.sleep(DARK_SECONDS)
    site.restart("c1")
    eventlet.sleep(bounds_of_waits().until_settled)
    assert where(site, TASK) == [worker]
    assert site.ledger.find_task(TASK).runs == 1


def test_a_worker_whose_clock_is_ahead_of_what_was_read_last_is_used_again(site):
    worker = start(site, **LASTING)
    site.lose_power()
    worker._clock_offset_ms += 3600 * 1000
    eventlet.sleep(DARK_SECONDS)
    site.restart("c1")
    require_use_of(site, worker)
    assert wait_for(lambda: where(site, TASK), START_SECONDS)


@pytest.mark.parametrize("answer", [StartResult.TOO_LATE, StartResult.NO_CAPACITY])
def test_a_task_whose_starts_are_refused_for_a_while_starts_then(site, answer):
    for worker in site.worker_by_id.values():
        worker.impairment = answer
    site.submit(step(**LASTING), job_id=JOB)
    eventlet.sleep(0.3)
    site.lose_power()
    eventlet.sleep(DARK_SECONDS)
    site.restart("c1")
    eventlet.sleep(2 * DARK_SECONDS)
    for worker in site.worker_by_id.values():
        worker.heal()
    assert wait_for(lambda: where(site, TASK), START_SECONDS)


def test_a_task_of_which_its_worker_knows_a_higher_run_starts(site):
    """Starts of lower runs are answered with ``old`` there."""
    site.lose_power()
    for worker in site.worker_by_id.values():
        worker._closed_run_by_task[TASK] = 3
    site.restart("c1")
    site.submit(step(**LASTING), job_id=JOB)
    assert wait_for(lambda: where(site, TASK), START_SECONDS)


def test_a_run_under_a_lease_that_nobody_alive_has_granted_starts_elsewhere_once_it_expired(site):
    worker = start(site, **LASTING)
    # The lease is renewed by the poll before the power goes.
    site.lose_power()
    worker.impairment = SILENT
    eventlet.sleep(DARK_SECONDS)
    site.restart("c1")
    other = other_than(site, worker)
    assert wait_for(lambda: where(site, TASK) == [other], LOST_SECONDS)
    worker.heal()
    require_use_of(site, worker)


def test_a_worker_that_is_gone_after_its_exit_was_announced_loses_its_runs_at_once(site):
    worker = start(site, **LASTING)
    worker.is_draining = True
    assert site.beat(worker)
    assert site.leave(worker)
    site.lose_power()
    worker.exit()
    eventlet.sleep(DARK_SECONDS)
    site.restart("c1")
    assert wait_for(lambda: where(site, TASK) == [other_than(site, worker)], START_SECONDS)


def test_a_worker_that_announced_its_exit_to_nobody_loses_its_runs_after_its_lease(site):
    worker = start(site, **LASTING)
    site.lose_power()
    worker.is_draining = True
    assert not site.leave(worker)
    worker.exit()
    site.restart("c1")
    assert wait_for(lambda: where(site, TASK) == [other_than(site, worker)], LOST_SECONDS)


def test_a_worker_that_drained_before_all_hosts_went_down_is_used_once_it_is_ready(site):
    worker = site.worker_by_id["w1"]
    worker.is_draining = True
    assert site.beat(worker)
    site.lose_power()
    worker.is_draining = False
    eventlet.sleep(DARK_SECONDS)
    site.restart("c1")
    require_use_of(site, worker)


def test_the_run_of_a_drained_worker_without_later_heartbeats_ends_as_usual(site, monkeypatch):
    worker = start(site, estimated_ms=3000)
    worker.is_draining = True
    assert site.beat(worker)
    beat = site.beat
    monkeypatch.setattr(site, "beat", lambda each: each is not worker and beat(each))
    site.lose_power()
    eventlet.sleep(DARK_SECONDS)
    site.restart("c1")
    site.submit(step(**LASTING), job_id=OTHER_JOB)
    assert wait_for(lambda: where(site, OTHER_TASK) == [other_than(site, worker)], START_SECONDS)
    assert wait_for(lambda: site.ledger.find_task(TASK).done, START_SECONDS)
    assert site.ledger.find_task(TASK).runs == 1


def test_a_start_that_was_committed_and_never_sent_is_made_up_for(site):
    site.trap = "intend_runs"
    site.submit(step(**LASTING), job_id=JOB)
    assert wait_for(lambda: site.is_dark, MAX_WAIT_SECONDS)
    eventlet.sleep(DARK_SECONDS)
    assert not where(site, TASK)
    site.restart("c1")
    assert wait_for(lambda: where(site, TASK), START_SECONDS)
    assert site.ledger.find_task(TASK).runs == 2


def test_the_same_start_is_made_up_for_though_the_hosts_go_down_twice(site):
    site.trap = "intend_runs"
    site.submit(step(**LASTING), job_id=JOB)
    assert wait_for(lambda: site.is_dark, MAX_WAIT_SECONDS)
    site.restart("c1")
    site.trap = "settle_batch"
    assert wait_for(lambda: site.is_dark, START_SECONDS)
    site.restart("c2", uses_snapshot=True)
    assert wait_for(lambda: where(site, TASK), START_SECONDS)


def test_a_start_that_was_sent_and_never_answered_is_no_second_run(site):
    site.trap = "start"
    site.submit(step(**LASTING), job_id=JOB)
    assert wait_for(lambda: site.is_dark, MAX_WAIT_SECONDS)
    eventlet.sleep(DARK_SECONDS)
    (worker,) = where(site, TASK)
    site.restart("c1")
    eventlet.sleep(bounds_of_waits().until_settled)
    assert where(site, TASK) == [worker]
    assert site.ledger.find_task(TASK).runs == 1


@pytest.mark.parametrize("late_seconds", [CALL_TIMEOUT_SECONDS, 2.5, 5.0])
def test_a_start_that_is_carried_out_after_the_restart_is_no_second_run(site, late_seconds):
    for worker in site.worker_by_id.values():
        worker.late_seconds = late_seconds
    site.trap = "start"
    site.submit(step(**LASTING), job_id=JOB)
    assert wait_for(lambda: site.is_dark, MAX_WAIT_SECONDS)
    for worker in site.worker_by_id.values():
        worker.late_seconds = 0.0
    site.restart("c1")
    assert wait_for(lambda: where(site, TASK), START_SECONDS)
    eventlet.sleep(late_seconds)
    assert len(where(site, TASK)) == 1


def test_a_worker_that_restarted_while_all_hosts_were_down_is_used_as_another(site):
    worker = start(site, **LASTING)
    site.lose_power()
    worker.exit()
    successor = site.start_worker(worker.worker_id, 2, labels=worker.labels)
    eventlet.sleep(DARK_SECONDS)
    site.restart("c1")
    assert wait_for(lambda: where(site, TASK), START_SECONDS)
    require_use_of(site, successor)
