import time

import eventlet
import pytest

from savoryshelf.dispatch.worker_api import StartVerdict
from savoryshelf.wire.generated.ttypes import RunOutcome

from ..tasks.builders import JOB, accept, ledger, record_intent, step
from .fakes import LEASE_MS, FakeWorker, make_link, wait_until

TASK = f"{JOB}.0.0.0"


@pytest.fixture
def started():
    held, worker = ledger(), FakeWorker()
    accept(held, step())
    record_intent(held, TASK)
    link, term = make_link(held, worker)
    yield held, worker, link, term
    link.close()


def test_a_start_and_its_end_are_settled(started):
    held, worker, link, _ = started
    link.start(TASK, 1)
    wait_until(lambda: worker.running)
    worker.end(TASK, 1, RunOutcome.DONE)
    wait_until(lambda: held.find_task(TASK).done)


def test_a_start_without_an_answer_is_stopped_before_the_task_is_free(started):
    held, worker, link, _ = started
    worker.lost = {"start", "stop"}
    link.start(TASK, 1)
    wait_until(lambda: worker.calls.count("stop") >= 2)
    assert held.find_task(TASK).incarnation_by_run
    worker.lost = set()
    wait_until(lambda: not held.find_task(TASK).incarnation_by_run)
    assert worker.carry_out(worker.late_starts[0]) is StartVerdict.RUN_TOO_LOW


def test_a_late_start_that_ran_after_all_is_stopped(started):
    held, worker, link, _ = started
    worker.lost = {"start", "stop"}
    link.start(TASK, 1)
    wait_until(lambda: worker.late_starts)
    worker.carry_out(worker.late_starts[0])
    worker.lost = set()
    wait_until(lambda: worker.ends and not held.find_task(TASK).incarnation_by_run)
    assert worker.ends[0].outcome is RunOutcome.STOPPED


def test_a_silent_worker_is_given_up_only_after_its_lease(started):
    held, worker, link, term = started
    link.start(TASK, 1)
    wait_until(lambda: worker.running and worker.deadlines)
    worker.lost = {"look", "start", "stop"}
    silent_from = time.monotonic()
    wait_until(lambda: term.over)
    assert (time.monotonic() - silent_from) * 1000 > LEASE_MS
    assert worker.clock_ms() > max(worker.deadlines)
    assert not held.find_task(TASK).incarnation_by_run


def test_a_life_that_another_replaced_is_over_at_once(started):
    held, worker, link, term = started
    link.start(TASK, 1)
    wait_until(lambda: worker.running)
    worker.has_ended = True
    wait_until(lambda: term.over)
    assert held.worker_by_incarnation["w1", 1].has_ended


def test_after_a_takeover_a_run_that_is_not_listed_never_ran(started):
    held, worker, link, _ = started
    assert not link.is_known
    wait_until(lambda: link.is_known)
    wait_until(lambda: not held.find_task(TASK).incarnation_by_run)


def test_a_run_that_the_log_does_not_know_is_stopped(started):
    _, worker, link, _ = started
    link.start(TASK, 1)
    wait_until(lambda: worker.running)
    worker.running["stray.0.0.0", 3] = worker.running[TASK, 1].__class__("stray.0.0.0", 3, "", 0, 0)
    worker.end("another.0.0.0", 1, RunOutcome.DONE)
    wait_until(lambda: worker.stopped.get("stray.0.0.0") == 3)


def test_nothing_is_ordered_once_leadership_is_in_doubt(started):
    held, worker, link, term = started
    term.leads = False
    link.start(TASK, 1)
    eventlet.sleep(0.2)
    assert "start" not in worker.calls
    assert held.find_task(TASK).incarnation_by_run


def test_a_run_that_began_while_a_look_was_open_is_not_taken_for_vanished(started):
    held, worker, link, _ = started
    accept(held, step(), job_id="00000000000000b2")
    second = "00000000000000b2.0.0.0"
    link.start(TASK, 1)
    wait_until(lambda: (TASK, 1) in link.row_by_run)
    worker.lists_at_once = True
    looks = worker.calls.count("look")
    worker.end("other.0.0.0", 1, RunOutcome.DONE)
    wait_until(lambda: worker.calls.count("look") >= looks + 2)
    record_intent(held, second)
    link.start(second, 1)
    wait_until(lambda: (second, 1) in worker.running)
    eventlet.sleep(0.1)
    worker.end(TASK, 1, RunOutcome.DONE)
    wait_until(lambda: held.find_task(TASK).done)
    assert held.find_task(second).incarnation_by_run == {1: ("w1", 1)}


def test_a_worker_that_said_it_leaves_is_over_at_its_first_silence(started):
    held, worker, link, term = started
    link.start(TASK, 1)
    wait_until(lambda: worker.running and worker.deadlines)
    link.has_left = True
    worker.lost = {"look", "start", "stop"}
    wait_until(lambda: term.over == ["it left"])
    assert worker.clock_ms() < max(worker.deadlines) + 200
    assert not held.find_task(TASK).incarnation_by_run
