"""Starts that went unanswered and reach the next incarnation under a worker's id."""

import math

import eventlet
import pytest

from savoryshelf.dispatch import worker_session
from savoryshelf.dispatch.late_starts import (
    LATE_SECONDS,
    LOOK_SHARE,
    MAX_LOOKS_PER_SECOND,
    MIN_LOOK_SECONDS,
    LateStarts,
)
from savoryshelf.dispatch.leader_term import REPLACEMENT_REPORT_SECONDS
from savoryshelf.dispatch.worker_api import Fenced, StartResult, WorkerUnresponsive
from savoryshelf.dispatch.worker_session import (
    MAX_CLEARING_SECONDS,
    MAX_REPORT_DELAY_SECONDS,
    POLL_WAIT_MS,
    RETRY_SECONDS,
)
from savoryshelf.wire.generated.ttypes import CancelTasks

from ..tasks.builders import JOB, step
from . import group as group_module
from .fakes import wait_until
from .group import FakeGroup

pytestmark = pytest.mark.usefixtures("on_virtual_time")
TASK = f"{JOB}.0.0.0"
OTHER_JOB = "00000000000000b2"
DOWN_SECONDS = 0.3
LOOK_SECONDS = 0.05
"""How soon after its start the next incarnation has to be asked: long before its heartbeat."""


@pytest.fixture
def long_leases(monkeypatch):
    monkeypatch.setattr(group_module, "LEASE_MS", 6000)


@pytest.fixture
def group():
    started = FakeGroup(["c0", "c1", "c2"], ["w1"])
    started.do_questions_carry_tokens = True
    try:
        wait_until(lambda: started.agent_host("w1"))
        yield started
        assert started.failures == []
    finally:
        started.close()


@pytest.fixture
def two_workers():
    started = FakeGroup(["c0", "c1", "c2"], ["w1", "w2"])
    started.do_questions_carry_tokens = True
    try:
        wait_until(lambda: started.agent_host("w1") and started.agent_host("w2"))
        yield started
        assert started.failures == []
    finally:
        started.close()


def leave_a_start_unanswered(group, worker):
    """Submit a task whose start goes unanswered; return the order."""
    worker.unanswered_calls = {"start"}
    group.submit(step(lasting=True))
    wait_until(lambda: worker.delayed_starts)
    return worker.delayed_starts[0]


def leave_a_start_in_doubt(group):
    """Submit a task whose start and stops go unanswered on one of two workers.

    Return that worker's id, the other worker, and the order.
    """
    workers = group.worker_by_id
    for worker in workers.values():
        worker.unanswered_calls = {"start", "stop"}
    group.submit(step(lasting=True))
    wait_until(lambda: any(worker.delayed_starts for worker in workers.values()))
    worker_id = next(i for i, worker in workers.items() if worker.delayed_starts)
    (other,) = (worker for i, worker in workers.items() if i != worker_id)
    other.unanswered_calls = set()
    return worker_id, other, workers[worker_id].delayed_starts[0]


def cancel(group):
    group.append_command(cancel_tasks=CancelTasks(JOB))


def restart(group, worker_id):
    """Crash a worker, and start it again a while later without a heartbeat."""
    group.worker_by_id[worker_id].has_crashed = True
    eventlet.sleep(DOWN_SECONDS)
    group.restart_worker(worker_id, 2)
    return group.worker_by_id[worker_id]


# Guards against TWICE: an order that had gone unanswered was carried out by the next incarnation,
# which had seen no higher token, while the task ran elsewhere.
@pytest.mark.parametrize("is_idle", [False, True], ids=["with a run", "idle"])
def test_an_unanswered_start_is_refused_soon_after_the_next_incarnation_has_started(group, is_idle):
    worker = group.worker_by_id["w1"]
    order = leave_a_start_unanswered(group, worker)
    if is_idle:
        cancel(group)
        worker.unanswered_calls = set()
        wait_until(lambda: not group.ledger.find_task(TASK).incarnation_by_run)
        eventlet.sleep(1.0)
    else:
        worker.unanswered_calls = set()
        wait_until(lambda: worker.running)
    later = restart(group, "w1")
    eventlet.sleep(LOOK_SECONDS)
    assert later.apply_start(order) is StartResult.FENCED


# Guards against TWICE: a run that the next incarnation had begun on an order for the earlier one
# was at work when its task was started elsewhere.
def test_a_run_begun_for_an_earlier_incarnation_is_stopped_before_its_task_starts_again(
    two_workers,
):
    group = two_workers
    worker_id, other, order = leave_a_start_in_doubt(group)
    later = restart(group, worker_id)
    assert later.apply_start(order) is StartResult.STARTED
    wait_until(lambda: other.starts)
    assert not later.running


# The same where the agent of the earlier incarnation does not find the next one.
def test_an_incarnation_replaces_no_other_while_it_runs_late_starts(long_leases, two_workers):
    group = two_workers
    worker_id, other, order = leave_a_start_in_doubt(group)
    group.error_by_incarnation[worker_id, 1] = WorkerUnresponsive("no answer")
    later = restart(group, worker_id)
    later.unanswered_calls = {"stop"}
    assert later.apply_start(order) is StartResult.STARTED
    group.note_incarnation(worker_id, 2)
    wait_until(lambda: "poll" in later.calls)
    eventlet.sleep(REPLACEMENT_REPORT_SECONDS)
    later.unanswered_calls = set()
    wait_until(lambda: other.starts or later.starts[1:])
    assert list(later.running) in ([], [(TASK, 2)])


def session_of(group, worker_id="w1"):
    """Return the session with the present incarnation of a worker."""
    agent = group.agent_by_host[group.agent_host(worker_id)]
    return agent.session_by_incarnation[worker_id, 1]


# Guards against TWICE: the poll that fails as a worker crashes, before the start that is under way
# does, showed the next incarnation a token no higher than that of the start.
def test_a_start_under_way_when_its_worker_crashes_is_refused_by_the_next_incarnation(
    group, monkeypatch
):
    worker, orders = group.worker_by_id["w1"], []
    eventlet.sleep(0.1)

    def hang(incarnation, request):
        orders.append(request)
        eventlet.sleep(2 * DOWN_SECONDS)
        raise WorkerUnresponsive("no answer")

    monkeypatch.setattr(worker, "start", hang)
    group.submit(step(lasting=True))
    wait_until(lambda: orders)
    later = restart(group, "w1")
    eventlet.sleep(LOOK_SECONDS)
    assert later.apply_start(orders[0]) is StartResult.FENCED


# Guards against TWICE: what is found under way once the next incarnation has answered is late too.
@pytest.mark.parametrize("call_seconds", [0.1, 2 * MAX_REPORT_DELAY_SECONDS])
def test_a_start_under_way_when_the_next_incarnation_was_found_is_refused_there(
    group, monkeypatch, call_seconds
):
    worker, orders = group.worker_by_id["w1"], []
    leave_a_start_unanswered(group, worker)
    worker.unanswered_calls = set()
    wait_until(lambda: worker.running)
    session = session_of(group)

    def hang(incarnation, request):
        orders.append(request)
        eventlet.sleep(call_seconds)
        raise WorkerUnresponsive("no answer")

    monkeypatch.setattr(worker, "start", hang)
    group.restart_worker("w1", 2)
    later = group.worker_by_id["w1"]
    monkeypatch.setattr(group, "start", lambda incarnation, request: hang(incarnation, request))
    group.submit(step(lasting=True), job_id=OTHER_JOB)
    wait_until(lambda: orders)
    wait_until(lambda: session.is_closed)
    assert later.apply_start(orders[0]) is StartResult.FENCED


# Guards against LOST and against an agent that takes its own session for another's: a start that a
# higher token of the same session overtakes is placed again, and the session goes on.
def test_a_start_overtaken_by_a_higher_token_of_its_session_is_placed_again(group, monkeypatch):
    worker, orders = group.worker_by_id["w1"], []
    eventlet.sleep(0.1)
    start = worker.start

    def overtake(incarnation, request):
        orders.append(request)
        if len(orders) == 1:
            session_of(group)._raise_token()
            worker.is_fenced(session_of(group).call_token)
        return start(incarnation, request)

    monkeypatch.setattr(worker, "start", overtake)
    session = session_of(group)
    group.submit(step(lasting=True))
    wait_until(lambda: worker.running, 0.5)
    assert list(worker.running) == [(TASK, 2)]
    assert session_of(group) is session
    assert not session.is_fenced


def test_a_poll_overtaken_by_a_higher_token_of_its_session_fences_nothing(group, monkeypatch):
    worker, session = group.worker_by_id["w1"], session_of(group)
    poll, refused = worker.poll, []

    def overtake(*arguments):
        if not refused:
            refused.append(arguments)
            session._raise_token()
            raise Fenced("poll")
        return poll(*arguments)

    monkeypatch.setattr(worker, "poll", overtake)
    group.submit(step(lasting=True))
    wait_until(lambda: refused and worker.running)
    assert session_of(group) is session
    assert not session.is_fenced


# Guards against LOST: late runs that cannot be stopped keep a worker, or the task of a run there,
# from work for a bounded time only.
@pytest.mark.parametrize("is_confirmed", [False, True])
def test_late_runs_that_cannot_be_stopped_delay_nothing_for_long(
    two_workers, monkeypatch, is_confirmed
):
    group = two_workers
    worker_id, other, order = leave_a_start_in_doubt(group)
    later = restart(group, worker_id)
    if is_confirmed:
        monkeypatch.setattr(later, "stop", lambda *arguments: None)
    else:
        later.unanswered_calls = {"stop"}
    assert later.apply_start(order) is StartResult.STARTED
    wait_until(lambda: other.starts, MAX_CLEARING_SECONDS + 0.5)
    group.note_incarnation(worker_id, 2)
    group.submit(step(8, lasting=True), job_id=OTHER_JOB)
    wait_until(lambda: len(later.starts) > 1, MAX_CLEARING_SECONDS + 1.0)


def test_a_session_that_has_raised_its_token_too_often_gets_a_new_one(group, monkeypatch):
    monkeypatch.setattr(worker_session, "CALL_TOKENS", 3)
    worker = group.worker_by_id["w1"]
    session = session_of(group)
    leave_a_start_unanswered(group, worker)
    wait_until(lambda: session_of(group) is not session)
    assert session_of(group).fencing_token > session.fencing_token


# Guards against a price for looks that nothing calls for: each counts as a probe.
@pytest.mark.parametrize("is_late", [False, True])
def test_looks_for_the_next_incarnation_are_bounded(long_leases, group, is_late):
    worker, silent_seconds = group.worker_by_id["w1"], 3.0
    group.submit(step(lasting=True), job_id=OTHER_JOB)
    wait_until(lambda: worker.running)
    if is_late:
        leave_a_start_unanswered(group, worker)
    worker.has_crashed = True
    wait_until(lambda: session_of(group).is_unresponsive)
    before = worker.calls.count("poll")
    eventlet.sleep(silent_seconds)
    looks = worker.calls.count("poll") - before
    usual = silent_seconds / (0.5 * RETRY_SECONDS)
    if not is_late:
        assert looks <= usual
        return
    most = (1 + math.log(silent_seconds * LOOK_SHARE / MIN_LOOK_SECONDS)) / LOOK_SHARE
    assert usual < looks <= 1.1 * most


def test_late_starts_are_possible_for_a_while():
    late_starts = LateStarts()
    assert not late_starts.are_possible("w1", 100.0)
    late_starts.note("w1", 100.0)
    late_starts.note("w1", 101.0)
    assert late_starts.are_possible("w1", 100.9 + LATE_SECONDS)
    assert not late_starts.are_possible("w2", 101.0)
    assert not late_starts.are_possible("w1", 101.0 + LATE_SECONDS)


def test_an_agent_makes_a_bounded_number_of_looks_in_a_second():
    late_starts = LateStarts()
    for second in (100.0, 101.0):
        times = [second + each / 1000 for each in range(1000)]
        assert sum(map(late_starts.may_look, times)) == MAX_LOOKS_PER_SECOND


def test_an_idle_worker_is_polled_only_while_late_starts_are_possible(group):
    worker = group.worker_by_id["w1"]
    leave_a_start_unanswered(group, worker)
    cancel(group)
    worker.unanswered_calls = set()
    polls = worker.calls.count("poll")
    eventlet.sleep(LATE_SECONDS - 1.0)
    assert worker.calls.count("poll") > polls + 2
    eventlet.sleep(1.0 + POLL_WAIT_MS / 1000)
    polls = worker.calls.count("poll")
    eventlet.sleep(5.0)
    assert worker.calls.count("poll") == polls
