"""The speed of a best-effort run, when orders to change it are lost, refused, late or overtaken."""

import eventlet
import pytest

from savoryshelf.dispatch.throttling import PAUSED
from savoryshelf.dispatch.worker_api import CallRejected, WorkerUnresponsive

from ..tasks.builders import JOB, accept, ledger, record_intent, step
from .fakes import FakeWorker, make_session, wait_until
from .protocol_worker import USUAL_LOAD
from .test_time_without_work import (
    BATCH,
    BATCH_JOB,
    BUSY_LOAD,
    LONG_MS,
    RunOutcome,
    require_work,
    serving_group,
    set_loads,
)

pytestmark = pytest.mark.usefixtures("on_virtual_time")
TASK = f"{JOB}.0.0.0"
RUN = (TASK, 1)
CALL_SECONDS = 1.0
"""After how long a call without an answer fails, as in the platform's client."""

SETTLING_SECONDS = 5.0
"""Enough for a call that times out, and for several that follow it."""


class ThrottlingWorker(FakeWorker):
    """Treats each order of a speed as the next of ``fates`` says, and all later ones soundly."""

    def __init__(self):
        super().__init__()
        self.fates = []
        self.refused_late = False

    def set_speed(self, incarnation, task, run, speed_percent, fencing_token):
        fate = self.fates.pop(0) if self.fates else FakeWorker.set_speed
        arguments = incarnation, task, run, speed_percent, fencing_token
        return fate(self, *arguments)

    def apply(self, *arguments):
        """Carry an order out as if it had arrived now."""
        FakeWorker.set_speed(self, *arguments)


def answer_lost(worker, *arguments):
    worker.apply(*arguments)
    eventlet.sleep(CALL_SECONDS)
    raise WorkerUnresponsive("no answer")


def order_lost(worker, *arguments):
    eventlet.sleep(CALL_SECONDS)
    raise WorkerUnresponsive("no answer")


def refused(worker, *arguments):
    worker._record_call("set_speed")
    raise CallRejected("unhealthy")


def carried_out_late(seconds):
    def fate(worker, *arguments):
        eventlet.spawn_after(seconds, apply_unless_fenced, worker, *arguments)
        return order_lost(worker)

    return fate


def delayed(seconds):
    """Let an order arrive so late that one sent after it arrives first."""

    def fate(worker, *arguments):
        eventlet.sleep(seconds)
        return worker.apply(*arguments)

    return fate


def apply_unless_fenced(worker, *arguments):
    try:
        worker.apply(*arguments)
    except CallRejected:
        worker.refused_late = True


@pytest.fixture
def throttled():
    """Yield a session with a best-effort run at work, its worker and its agent."""
    task_ledger, worker = ledger(), ThrottlingWorker()
    accept(task_ledger, step(filling=True, image="batch"))
    record_intent(task_ledger, TASK)
    session, agent = make_session(task_ledger, worker)
    session.start(TASK, 1)
    wait_until(lambda: worker.running and session.is_state_known)
    yield session, worker, agent
    session.close()


# Guards against LOST: a run that was paused by an order without an answer was taken to be at full
# speed, so none followed to set it going again.
@pytest.mark.parametrize(
    "fate", [answer_lost, order_lost, refused, delayed(0.5), carried_out_late(2.0)]
)
@pytest.mark.parametrize("speeds", [(PAUSED,), (50,), (PAUSED, 100), (50, PAUSED, 25, 100)])
@pytest.mark.parametrize("pause", [0.01, 0.4, 1.1])
def test_a_run_gets_the_speed_last_requested_whatever_becomes_of_one_order(
    throttled, fate, speeds, pause
):
    session, worker, agent = throttled
    for impaired in range(len(speeds)):
        worker.fates = [FakeWorker.set_speed] * impaired + [fate]
        for speed in speeds:
            session.set_speed(*RUN, speed)
            eventlet.sleep(pause)
        eventlet.sleep(SETTLING_SECONDS)
        assert worker.speed_by_run.get(RUN, 100) == speeds[-1]
        assert session.speed_percent_by_run.get(RUN, 100) == speeds[-1]
        session.set_speed(*RUN, 100)
        eventlet.sleep(SETTLING_SECONDS)
        assert worker.speed_by_run[RUN] == 100


# Guards against LOST: an older order that failed after a newer one erased what the newer had set,
# and the newer one was carried out before the older.
@pytest.mark.parametrize("older", [answer_lost, carried_out_late(0.5), delayed(0.5)])
def test_an_older_order_that_ends_after_a_newer_one_was_requested_does_not_undo_it(
    throttled, older
):
    session, worker, agent = throttled
    worker.fates = [older]
    session.set_speed(*RUN, 50)
    eventlet.sleep(0.1)
    session.set_speed(*RUN, PAUSED)
    eventlet.sleep(SETTLING_SECONDS)
    assert worker.speed_by_run[RUN] == PAUSED
    session.set_speed(*RUN, 100)
    eventlet.sleep(SETTLING_SECONDS)
    assert worker.speed_by_run[RUN] == 100


# Guards against an order without an answer that a worker carries out after a newer one.
def test_a_worker_refuses_an_order_of_a_speed_that_a_later_one_has_replaced(throttled):
    session, worker, agent = throttled
    worker.fates = [carried_out_late(4.0)]
    session.set_speed(*RUN, PAUSED)
    wait_until(lambda: worker.speed_by_run)
    session.set_speed(*RUN, 100)
    eventlet.sleep(SETTLING_SECONDS)
    assert worker.refused_late
    assert worker.speed_by_run[RUN] == 100


# Guards against an order that is dropped since its agent may not call workers at that moment.
def test_a_speed_requested_without_permission_is_ordered_once_there_is_one(throttled):
    session, worker, agent = throttled
    agent.has_permission = False
    session.set_speed(*RUN, PAUSED)
    eventlet.sleep(0.2)
    assert not worker.speed_by_run
    agent.has_permission = True
    wait_until(lambda: worker.speed_by_run.get(RUN) == PAUSED)


# Guards against work that waits unseen: a paused run counts as none for callers.
def test_a_run_counts_as_paused_until_the_order_to_go_on_is_confirmed(throttled):
    session, worker, agent = throttled
    session.set_speed(*RUN, PAUSED)
    wait_until(lambda: worker.speed_by_run.get(RUN) == PAUSED)
    worker.fates = [refused, order_lost]
    session.set_speed(*RUN, 100)
    while worker.fates:
        assert RUN in session.idle_seconds_by_run()
        eventlet.sleep(0.02)
    wait_until(lambda: worker.speed_by_run[RUN] == 100)
    wait_until(lambda: RUN not in session.idle_seconds_by_run(), 0.2)


# Guards against orders that overtake one another: the older one would be in force for a while.
def test_the_orders_of_one_run_do_not_overlap(throttled):
    session, worker, agent = throttled
    under_way, most = [], []

    def slow(worker, *arguments):
        under_way.append(arguments)
        most.append(len(under_way))
        eventlet.sleep(0.5)
        under_way.pop()
        return worker.apply(*arguments)

    worker.fates = [slow] * 20
    for speed in (50, 25, PAUSED, 25, 100):
        session.set_speed(*RUN, speed)
        eventlet.sleep(0.2)
    wait_until(lambda: worker.speed_by_run.get(RUN) == 100)
    assert max(most) == 1


# Guards against orders that a run gets while it is being stopped.
def test_no_speed_is_ordered_while_a_stop_is_not_confirmed(throttled):
    session, worker, agent = throttled
    worker.unanswered_calls = {"stop"}
    worker.fates = [refused] * 100
    session.set_speed(*RUN, 50)
    eventlet.sleep(0.1)
    session.stop(*RUN)
    eventlet.sleep(SETTLING_SECONDS)
    assert len(worker.fates) >= 98


# Guards against orders without end for a run that is gone.
@pytest.mark.parametrize("fate", [refused, order_lost])
def test_no_order_is_repeated_for_a_run_that_has_ended_or_is_being_stopped(throttled, fate):
    session, worker, agent = throttled
    worker.fates = [fate] * 100
    session.set_speed(*RUN, 50)
    eventlet.sleep(0.1)
    session.stop(*RUN)
    wait_until(lambda: RUN not in session.worker.task_by_run)
    eventlet.sleep(SETTLING_SECONDS)
    left = len(worker.fates)
    eventlet.sleep(SETTLING_SECONDS)
    assert len(worker.fates) == left >= 98


# Guards against LOST as callers see it: of an answer that is lost to the order of a pause, nothing
# may be left over once the load has gone.
@pytest.mark.parametrize("busy_seconds", [0.0, 0.3, 0.6, 0.9, 1.2])
@pytest.mark.parametrize("is_carried_out", [True, False])
def test_a_lost_answer_to_the_order_of_a_pause_leaves_no_long_rest(busy_seconds, is_carried_out):
    with serving_group(weight=0.2, load=USUAL_LOAD) as group:
        pauses = lose_the_answer_to_a_pause(group, is_carried_out)
        group.submit(
            step(1, estimated_ms=LONG_MS, **(BATCH | {"millicores": 2000})), job_id=BATCH_JOB
        )
        group.wait_for(lambda: max(group.progress().values(), default=0) >= 60)
        set_loads(group, BUSY_LOAD)
        group.wait_for(lambda: pauses)
        eventlet.sleep(busy_seconds)
        set_loads(group, USUAL_LOAD)
        require_work(group, 10.0)
        group.wait_for(lambda: group.ended(RunOutcome.DONE))


def lose_the_answer_to_a_pause(group, is_carried_out):
    """Let the first order of a pause get no answer; return the list of all such orders."""
    set_speed, pauses = group.set_speed, []

    def answer(incarnation, task, run, speed_percent, token):
        pauses.extend([speed_percent] if speed_percent == PAUSED else [])
        if speed_percent != PAUSED or len(pauses) > 1:
            return set_speed(incarnation, task, run, speed_percent, token)
        if is_carried_out:
            set_speed(incarnation, task, run, speed_percent, token)
        eventlet.sleep(CALL_SECONDS)
        raise WorkerUnresponsive("no answer")

    group.set_speed = answer
    return pauses
