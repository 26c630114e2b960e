import attrs
import eventlet
import pytest
from eventlet.event import Event

from savoryshelf.dispatch import worker_session
from savoryshelf.dispatch.worker_api import (
    CallRejected,
    IncarnationReplaced,
    NotDelivered,
    RunStatus,
    StartResult,
    WorkerUnresponsive,
)
from savoryshelf.dispatch.worker_clock import WorkerClock
from savoryshelf.dispatch.worker_session import (
    MAX_CONCURRENT_STARTS,
    MAX_DOUBT_SECONDS,
    RETRY_SECONDS,
    STOP_LAG_SECONDS,
    WorkerSession,
)
from savoryshelf.tasks.crashes import SURVIVAL_MS
from savoryshelf.tasks.job import Crash
from savoryshelf.wire.generated.ttypes import (
    AgentAssignment,
    EndEvidence,
    RunIntent,
    RunOutcome,
    WorkerLife,
)

from ..tasks.builders import JOB, accept, ledger, record_intent, settle_run, step
from ..tasks.builders import worker as a_worker
from .fakes import CLOCK, LEASE_MS, MAX_LISTED_ENDS, FakeWorker, make_session, wait_until

pytestmark = pytest.mark.usefixtures("on_virtual_time")
TASK = f"{JOB}.0.0.0"


@pytest.fixture
def running_session():
    """Yield a ledger with one placed task, its worker, and the session with it and its agent."""
    task_ledger, worker = ledger(), FakeWorker()
    accept(task_ledger, step())
    record_intent(task_ledger, TASK)
    session, agent = make_session(task_ledger, worker)
    yield task_ledger, worker, session, agent
    session.close()


def assert_is_refused_for_good(worker, order):
    """Check that a late start is refused by its token, and by its run under any token."""
    assert worker.apply_start(order) is StartResult.FENCED
    order = attrs.evolve(order, fencing_token=worker.fencing_token)
    assert worker.apply_start(order) is StartResult.STALE_RUN


def test_a_run_that_starts_and_ends_is_settled(running_session):
    task_ledger, worker, session, _ = running_session
    session.start(TASK, 1)
    wait_until(lambda: worker.running)
    worker.end(TASK, 1, RunOutcome.DONE)
    wait_until(lambda: task_ledger.find_task(TASK).done)


def test_an_unanswered_start_is_stopped_before_the_task_can_start_again(running_session):
    """The start call may still arrive: a second run would then execute beside the first."""
    task_ledger, worker, session, _ = running_session
    worker.unanswered_calls = {"start", "stop"}
    session.start(TASK, 1)
    wait_until(lambda: worker.calls.count("stop") >= 2)
    assert task_ledger.find_task(TASK).incarnation_by_run
    worker.unanswered_calls = set()
    wait_until(lambda: not task_ledger.find_task(TASK).incarnation_by_run)
    assert_is_refused_for_good(worker, worker.delayed_starts[0])


def test_a_delayed_start_that_took_effect_is_stopped(running_session):
    """The start call arrives after it timed out, while the stop is still unanswered."""
    task_ledger, worker, session, _ = running_session
    worker.unanswered_calls = {"start", "stop"}
    session.start(TASK, 1)
    wait_until(lambda: worker.delayed_starts)
    worker.apply_start(worker.delayed_starts[0])
    worker.unanswered_calls = set()
    wait_until(lambda: worker.ends and not task_ledger.find_task(TASK).incarnation_by_run)
    assert worker.ends[0].outcome is RunOutcome.STOPPED


def test_an_unresponsive_worker_is_lost_only_after_its_lease_has_expired(running_session):
    task_ledger, worker, session, agent = running_session
    session.start(TASK, 1)
    wait_until(lambda: worker.running and worker.deadlines)
    worker.unanswered_calls = {"poll", "start", "stop"}
    unresponsive_from = CLOCK.monotonic()
    wait_until(lambda: agent.end_reasons)
    assert (CLOCK.monotonic() - unresponsive_from) * 1000 > LEASE_MS
    assert worker.clock_ms() > max(worker.deadlines)
    assert not task_ledger.find_task(TASK).incarnation_by_run


def test_a_replaced_incarnation_ends_at_once(running_session):
    task_ledger, worker, session, agent = running_session
    session.start(TASK, 1)
    wait_until(lambda: worker.running)
    worker.is_replaced = True
    wait_until(lambda: agent.end_reasons)
    assert task_ledger.worker_by_incarnation["w1", 1].has_ended


def test_an_incarnation_that_is_replaced_while_its_lease_holds_has_crashed(
    running_session, monkeypatch
):
    _, worker, session, agent = running_session
    monkeypatch.setattr(worker_session, "POLL_WAIT_MS", 100)
    session.start(TASK, 1)
    wait_until(lambda: worker.running)
    worker.is_replaced = True
    wait_until(lambda: agent.end_reasons)
    assert session.end_evidence is EndEvidence.REPLACED


# Guards against LOST: a worker whose runs had lapsed before it was replaced counted as crashed
# under them, since nobody could ask it meanwhile, and jobs failed for such crashes.
def test_an_incarnation_that_is_replaced_after_its_lease_is_not_known_to_have_crashed(
    running_session,
):
    _, worker, session, agent = running_session
    session.start(TASK, 1)
    wait_until(lambda: worker.running and worker.deadlines)
    agent.has_permission = False
    wait_until(session.lease_has_expired)
    worker.is_replaced = agent.has_permission = True
    wait_until(lambda: agent.end_reasons)
    assert session.end_evidence is EndEvidence.SILENT


# Guards against LOST: a lease that no answer has confirmed counted as granted, so that a worker
# counted as crashed under runs that had lapsed.
def test_only_an_answered_call_shows_that_a_lease_holds(running_session, monkeypatch):
    _, worker, session, agent = running_session
    monkeypatch.setattr(worker_session, "POLL_WAIT_MS", 100)
    session.start(TASK, 1)
    wait_until(lambda: worker.running and len(worker.deadlines) > 30)

    def lose(*arguments):
        eventlet.sleep((LEASE_MS - 50) / 1000)
        raise IncarnationReplaced("another incarnation")

    worker.poll = lose
    wait_until(lambda: agent.end_reasons)
    assert session.end_evidence is EndEvidence.SILENT


# Guards against BUDGET: a task that crashes its worker before the start is answered was held, and
# never given up, since the worker had held no lease before.
def test_a_start_that_goes_unanswered_holds_a_lease_if_it_arrives(running_session):
    task_ledger, worker, session, agent = running_session
    session.start(TASK, 1)
    wait_until(lambda: worker.running)
    worker.end(TASK, 1, RunOutcome.STOPPED)
    wait_until(lambda: not session.worker.task_by_run)
    eventlet.sleep(2 * LEASE_MS / 1000)
    record_intent(task_ledger, TASK, 2)
    worker.unanswered_calls = {"start", "stop", "poll"}
    session.start(TASK, 2)
    wait_until(lambda: worker.delayed_starts)
    worker.is_replaced = True
    wait_until(lambda: agent.end_reasons)
    assert session.end_evidence is EndEvidence.REPLACED


# Guards against jobs that fail for restarts of all workers at once: a worker that got a new token
# while it did not answer seemed to have been lost only then, and alone.
def test_a_new_token_does_not_change_when_contact_was_lost(running_session):
    task_ledger, worker, session, agent = running_session
    session.start(TASK, 1)
    wait_until(lambda: worker.running)
    worker.has_crashed = True
    wait_until(lambda: session.is_unresponsive)
    eventlet.sleep(0.3)
    session.close()
    task_ledger.assign_agents([AgentAssignment(session.worker.record.life, "c0.disk/1")], 9)
    before = session.contact_loss()
    following = worker_session.WorkerSession(agent, session.worker, LEASE_MS, previous=session)
    try:
        eventlet.sleep(0.1)
        assert following.contact_loss().unanswered_ms >= before.unanswered_ms + 100
        assert following.contact_loss().heard_ms >= before.heard_ms + 100
    finally:
        following.close()


def test_a_run_missing_from_the_first_poll_after_a_takeover_is_settled(running_session):
    task_ledger, worker, session, _ = running_session
    assert not session.is_state_known
    wait_until(lambda: session.is_state_known)
    wait_until(lambda: not task_ledger.find_task(TASK).incarnation_by_run)


# Guards against tasks that run twice after a new agent has taken over a worker with more unread
# ends than one poll lists: the runs behind the others counted as runs that had never started.
def test_ends_beyond_those_that_one_poll_lists_are_no_missing_runs():
    count = 2 * MAX_LISTED_ENDS + 150
    task_ledger, worker = ledger(a_worker(millicores=count, memory_mb=count)), FakeWorker()
    accept(task_ledger, step(count, millicores=1, memory_mb=1))
    tasks = [f"{JOB}.0.0.{index}" for index in range(count)]
    for task in tasks:
        record_intent(task_ledger, task)
        worker.end(task, 1, RunOutcome.DONE)
    session, agent = make_session(task_ledger, worker)
    try:
        wait_until(lambda: all(task_ledger.find_task(task).done for task in tasks))
    finally:
        session.close()
    assert {end.outcome for end in agent.settled_ends} == {RunOutcome.DONE}
    assert len(agent.settled_ends) == count


# Guards against a task that waits for good: what one incomplete list leaves open, the next ones
# have to settle.
def test_a_run_that_never_started_is_settled_once_all_ends_have_been_listed():
    count = MAX_LISTED_ENDS + 1
    task_ledger, worker = ledger(a_worker(millicores=count, memory_mb=count)), FakeWorker()
    accept(task_ledger, step(count, millicores=1, memory_mb=1))
    tasks = [f"{JOB}.0.0.{index}" for index in range(count)]
    for task in tasks:
        record_intent(task_ledger, task)
    for task in tasks[1:]:
        worker.end(task, 1, RunOutcome.DONE)
    session, agent = make_session(task_ledger, worker)
    try:
        wait_until(lambda: not task_ledger.find_task(tasks[0]).incarnation_by_run)
    finally:
        session.close()
    assert [e.task for e in agent.settled_ends if e.outcome == RunOutcome.NEVER_RAN] == [tasks[0]]
    assert all(task_ledger.find_task(task).done for task in tasks[1:])


# Guards against members of a gang that resume from different checkpoints: an end of an earlier
# run may be settled between their starts.
def test_starts_of_one_run_of_a_gang_carry_the_checkpoint_that_was_newest_when_it_was_planned():
    task_ledger, worker = ledger(), FakeWorker()
    accept(task_ledger, step(2, gang=True, checkpointing=True))
    tasks = [f"{JOB}.0.0.0", f"{JOB}.0.0.1"]

    def plan_run(number):
        incarnation = WorkerLife("w1", 1)
        assert (
            len(task_ledger.record_intents([RunIntent(t, number, incarnation) for t in tasks])) == 2
        )

    plan_run(1)
    for task in tasks:
        settle_run(task_ledger, task, RunOutcome.STOPPED, 1, checkpoint="planned", number=0)
    session, _ = make_session(task_ledger, worker)
    try:
        plan_run(2)
        session.start(tasks[0], 2)
        session.start(tasks[1], 2)
        settle_run(task_ledger, tasks[0], RunOutcome.BROKEN, 2, ("w0", 1), "later", 1)
        wait_until(lambda: len(worker.requests) == 2)
    finally:
        session.close()
    assert {request.checkpoint for request in worker.requests} == {"planned"}


def test_a_run_that_is_not_in_the_ledger_is_stopped(running_session):
    _, worker, session, _ = running_session
    session.start(TASK, 1)
    wait_until(lambda: worker.running)
    worker.running["stray.0.0.0", 3] = worker.running[TASK, 1].__class__("stray.0.0.0", 3, "", 0, 0)
    # Any end completes the long poll that is open.
    worker.end("another.0.0.0", 1, RunOutcome.DONE)
    wait_until(lambda: worker.stopped.get("stray.0.0.0") == 3)


# Guards against a run that was given up while it worked, and of which no line tells: each poll
# lists the run, and its end until that is acknowledged.
def test_a_listed_run_that_is_not_in_the_ledger_is_logged_once(running_session, monkeypatch):
    task_ledger, worker, session, _ = running_session
    lines = []
    monkeypatch.setattr(
        worker_session, "log_event", lambda event, **fields: lines.append((event, fields))
    )
    session.start(TASK, 1)
    wait_until(lambda: (TASK, 1) in session.status_by_run)
    settle_run(task_ledger, TASK, RunOutcome.LOST)
    monkeypatch.setattr(session, "stop", lambda task, run: None)
    monkeypatch.setattr(session._agent, "settle_ends", lambda *_: eventlet.sleep(0.02))
    for _ in range(3):
        session._poll_now()
    where = {"task": TASK, "run": 1, "worker": "w1", "born": 1}
    ledger_says = {"newest_run": 1, "task_known": True, "task_done": False}
    running = ("run:unknown", where | ledger_says | {"how": "running"})
    assert [line for line in lines if line[0] == "run:unknown"] == [running]
    worker.end(TASK, 1, RunOutcome.DONE)
    worker.end("stray.0.0.0", 3, RunOutcome.STOPPED)
    for _ in range(3):
        session._poll_now()
    stray = {"task": "stray.0.0.0", "run": 3, "newest_run": 0, "task_known": False}
    assert [line for line in lines if line[0] == "run:unknown"] == [
        running,
        ("run:unknown", where | ledger_says | {"how": "done"}),
        ("run:unknown", where | ledger_says | stray | {"how": "stopped"}),
    ]


def test_no_start_is_sent_without_the_permission_to_call_workers(running_session):
    task_ledger, worker, session, agent = running_session
    agent.has_permission = False
    session.start(TASK, 1)
    eventlet.sleep(0.2)
    assert "start" not in worker.calls
    assert task_ledger.find_task(TASK).incarnation_by_run


def test_a_run_started_during_a_long_poll_is_not_taken_for_missing(running_session):
    """A worker may answer a long poll with the runs that it had when the poll arrived.

    The answer lacks a run started in the meantime, which must not be settled as missing.
    """
    task_ledger, worker, session, _ = running_session
    accept(task_ledger, step(), job_id="00000000000000b2")
    second_task = "00000000000000b2.0.0.0"
    session.start(TASK, 1)
    wait_until(lambda: (TASK, 1) in session.status_by_run)
    worker.lists_before_waiting = True
    # Any end completes the open long poll, so that the next one lists runs as of its arrival.
    poll_count = worker.calls.count("poll")
    worker.end("other.0.0.0", 1, RunOutcome.DONE)
    wait_until(lambda: worker.calls.count("poll") >= poll_count + 2)
    record_intent(task_ledger, second_task)
    session.start(second_task, 1)
    wait_until(lambda: (second_task, 1) in worker.running)
    eventlet.sleep(0.1)
    worker.end(TASK, 1, RunOutcome.DONE)
    wait_until(lambda: task_ledger.find_task(TASK).done)
    assert task_ledger.find_task(second_task).incarnation_by_run == {1: ("w1", 1)}


def fail_polls(worker, *errors):
    """Have the open poll and those after it fail; the last error goes on."""
    left = list(errors)

    def poll(*arguments):
        worker.calls.append("poll")
        error = left.pop(0) if len(left) > 1 else left[0]
        if error is not None:
            raise error
        return type(worker).poll(worker, *arguments)

    worker.poll = poll
    # Completes the long poll that is open.
    worker.end("another.0.0.0", 1, RunOutcome.DONE)


TIMED_OUT = WorkerUnresponsive("timed out")
NO_CONNECTION = NotDelivered("timed out")
RESET = WorkerUnresponsive("connection reset")
CLOSED = WorkerUnresponsive("closed without an answer")
REFUSED = NotDelivered("connection refused")


# Guards against two runs of a task at once: the announcement arrives, its confirmation does not,
# and the worker works on beyond a cut, or though it accepts no connection any more.
@pytest.mark.parametrize(
    "errors",
    [
        (TIMED_OUT,), (NO_CONNECTION,), (RESET, NO_CONNECTION), (CLOSED, TIMED_OUT),
        (CLOSED, NO_CONNECTION), (CLOSED, None, TIMED_OUT, NO_CONNECTION),
        (REFUSED,), (RESET, REFUSED), (TIMED_OUT, REFUSED), (CLOSED, REFUSED),
    ],
)  # fmt: skip
@pytest.mark.parametrize("is_announced_first", [False, True])
def test_a_worker_that_announced_its_shutdown_and_is_silent_ends_with_its_lease(
    running_session, errors, is_announced_first
):
    task_ledger, worker, session, agent = running_session
    session.start(TASK, 1)
    wait_until(lambda: worker.running and worker.deadlines)
    session.worker.record.leaving = is_announced_first
    fail_polls(worker, *errors)
    wait_until(lambda: session.is_unresponsive)
    # The announcement may be committed while the polls already fail.
    session.worker.record.leaving = True
    wait_until(lambda: agent.end_reasons)
    assert agent.end_reasons == ["lease expired"]
    assert worker.clock_ms() > max(worker.deadlines)
    assert not task_ledger.find_task(TASK).incarnation_by_run


# Guards against TWICE, as above, where the next session of the agent sees the polls fail.
def test_a_poll_that_a_worker_closed_does_not_end_it_in_the_next_session_either(running_session):
    task_ledger, worker, session, agent = running_session
    session.start(TASK, 1)
    wait_until(lambda: worker.running and worker.deadlines)
    fail_polls(worker, CLOSED, NO_CONNECTION)
    wait_until(lambda: session.is_unresponsive)
    session.close()
    session.worker.record.leaving = True
    following = WorkerSession(agent, session.worker, LEASE_MS, previous=session)
    wait_until(lambda: agent.end_reasons)
    following.close()
    assert agent.end_reasons == ["lease expired"]
    assert worker.clock_ms() > max(worker.deadlines)


@pytest.mark.parametrize("errors", [(REFUSED,), (CLOSED, NO_CONNECTION)])
def test_connections_alone_do_not_end_an_incarnation(running_session, errors):
    task_ledger, worker, session, agent = running_session
    session.start(TASK, 1)
    wait_until(lambda: worker.running and worker.deadlines)
    fail_polls(worker, *errors)
    wait_until(lambda: agent.end_reasons)
    assert agent.end_reasons == ["lease expired"]


# Guards against two runs of a task at once: a worker that refuses polls is alive, and its runs
# were started elsewhere as soon as it had announced its shutdown.
def test_a_worker_that_announced_its_shutdown_and_refuses_polls_has_not_ended(
    running_session, monkeypatch
):
    task_ledger, worker, session, agent = running_session
    monkeypatch.setattr(worker_session, "MAX_REFUSED_POLL_SECONDS", 0.0)
    session.start(TASK, 1)
    wait_until(lambda: worker.running and worker.deadlines)
    session.worker.record.leaving = True
    worker.poll_error = CallRejected("503")
    # Completes the long poll that is open.
    worker.end("another.0.0.0", 1, RunOutcome.DONE)
    wait_until(lambda: session.is_unresponsive)
    wait_until(lambda: agent.end_reasons)
    assert agent.end_reasons == ["lease expired"]
    assert worker.clock_ms() > max(worker.deadlines)


# One malformed answer ended the thread that polls a worker, and its runs never ended.
def test_an_unexpected_error_of_a_poll_does_not_end_the_session(running_session):
    task_ledger, worker, session, _ = running_session
    session.start(TASK, 1)
    wait_until(lambda: worker.running)
    worker.poll_error = TypeError("a reply of another type")
    # Completes the long poll that is open.
    worker.end("another.0.0.0", 1, RunOutcome.DONE)
    wait_until(lambda: worker.ends and (TASK, 1) in session.status_by_run)
    worker.end(TASK, 1, RunOutcome.DONE)
    eventlet.sleep(0.1)
    assert not task_ledger.find_task(TASK).done
    worker.poll_error = None
    wait_until(lambda: task_ledger.find_task(TASK).done)


def test_a_fenced_session_makes_no_more_calls(running_session):
    _, worker, session, _ = running_session
    session.start(TASK, 1)
    wait_until(lambda: worker.running)
    worker.fencing_token = 2 * session.call_token
    worker.end("another.0.0.0", 1, RunOutcome.DONE)
    wait_until(lambda: session.is_fenced)
    calls = len(worker.calls)
    session.stop(TASK, 1)
    session.set_speed(TASK, 1, 50)
    eventlet.sleep(0.5)
    assert len(worker.calls) == calls


# The start of a run that the log counts as lost would run beside the one that replaces it.  Until
# the loss is applied, the session has the token of the worker's agent.
@pytest.mark.parametrize("is_applied", [False, True])
def test_nothing_is_started_on_a_worker_that_was_reported_as_lost(
    running_session, monkeypatch, is_applied
):
    task_ledger, worker, session, agent = running_session
    if not is_applied:
        monkeypatch.setattr(
            agent, "incarnation_ended", lambda _, why: agent.end_reasons.append(why)
        )
    worker.unanswered_calls = {"poll", "start", "stop"}
    wait_until(lambda: agent.end_reasons)
    worker.unanswered_calls = set()
    calls = len(worker.calls)
    accept(task_ledger, step(), job_id="00000000000000b2")
    task_ledger.worker_by_incarnation["w1", 1].has_ended = False
    assert record_intent(task_ledger, "00000000000000b2.0.0.0")
    session.start("00000000000000b2.0.0.0", 1)
    session.stop(TASK, 1)
    session.set_speed(TASK, 1, 50)
    eventlet.sleep(0.5)
    assert worker.starts == []
    assert len(worker.calls) == calls


# A host that was paused, or has lost its leader, changed the speed of runs that it does not
# manage any more.
def test_no_call_is_made_without_permission(running_session):
    _, worker, session, agent = running_session
    session.start(TASK, 1)
    wait_until(lambda: worker.running and (TASK, 1) in session.status_by_run)
    agent.has_permission = False
    worker.end("another.0.0.0", 1, RunOutcome.DONE)
    eventlet.sleep(0.1)
    calls = len(worker.calls)
    session.set_speed(TASK, 1, 50)
    session.stop(TASK, 1)
    eventlet.sleep(0.3)
    assert len(worker.calls) == calls
    agent.has_permission = True
    wait_until(lambda: not worker.running)


# A run that the earlier agent had paused stayed paused.
def test_a_best_effort_run_that_was_taken_over_may_be_paused():
    task_ledger, worker = ledger(), FakeWorker()
    accept(task_ledger, step(filling=True))
    record_intent(task_ledger, TASK)
    worker.running[TASK, 1] = RunStatus(TASK, 1, "", 0, 0)
    session, _ = make_session(task_ledger, worker)
    session.set_speed(TASK, 1, 100)
    wait_until(lambda: worker.speed_by_run.get((TASK, 1)) == 100)
    session.close()


# Between the application of another assignment and the closing of this session, a run of the
# next agent could be started under the earlier token.
def test_no_call_is_made_once_another_assignment_is_applied(running_session):
    task_ledger, worker, session, _ = running_session
    task_ledger.assign_agents([AgentAssignment(WorkerLife("w1", 1), "c2.disk/1")], 0)
    # Completes the long poll that is open.
    worker.end("another.0.0.0", 1, RunOutcome.DONE)
    eventlet.sleep(0.1)
    calls = len(worker.calls)
    session.start(TASK, 1)
    session.stop(TASK, 1)
    eventlet.sleep(0.3)
    assert len(worker.calls) == calls
    assert worker.starts == []


# Guards against a run that counts as being started for good: an error that is not a worker's
# refusal ended the thread of the start, and no poll settled the run any more.
@pytest.mark.parametrize("error", [ValueError("odd"), CallRejected("503")], ids=["odd", "rejected"])
def test_a_start_whose_first_poll_fails_is_settled(error):
    task_ledger, worker = ledger(), FakeWorker()
    worker.poll_error = error
    session, _ = make_session(task_ledger, worker)
    accept(task_ledger, step())
    record_intent(task_ledger, TASK)
    session.start(TASK, 1)
    eventlet.sleep(0.1)
    worker.poll_error = None
    wait_until(lambda: not session._starts_in_flight)
    session.close()


# Guards against a worker that is used though none of its calls can be made: an unexpected error
# neither made it unresponsive nor let its lease expire.
def test_a_worker_whose_calls_fail_unexpectedly_is_lost_after_its_lease(running_session):
    task_ledger, worker, session, agent = running_session
    session.start(TASK, 1)
    wait_until(lambda: worker.running and worker.deadlines)
    worker.poll_error = OverflowError("odd")
    worker.end("another.0.0.0", 1, RunOutcome.DONE)
    wait_until(lambda: session.is_unresponsive)
    wait_until(lambda: agent.end_reasons == ["lease expired"])
    assert not task_ledger.find_task(TASK).incarnation_by_run


# An error after the answer of a poll ended the thread that polls a worker as well.
def test_an_unexpected_error_after_a_poll_does_not_end_the_session(running_session):
    task_ledger, worker, session, agent = running_session
    session.start(TASK, 1)
    wait_until(lambda: worker.running)

    def fail(*arguments):
        del agent.poll_completed
        raise TypeError("what the poll listed is odd")

    agent.poll_completed = fail
    worker.end("another.0.0.0", 1, RunOutcome.DONE)
    wait_until(lambda: agent.poll_completed is not fail)
    worker.end(TASK, 1, RunOutcome.DONE)
    wait_until(lambda: task_ledger.find_task(TASK).done)


# Guards against a run that counts as being started for good, after an error of this host.
def test_a_start_whose_thread_fails_is_stopped(running_session, monkeypatch):
    task_ledger, worker, session, _ = running_session

    def fail(*arguments):
        raise TypeError("an error of this host")

    monkeypatch.setattr(session, "_call_start", fail)
    session.start(TASK, 1)
    wait_until(lambda: worker.stopped.get(TASK) == 1)
    wait_until(lambda: not task_ledger.find_task(TASK).incarnation_by_run)


# Guards against a second run of a task: a stop that the worker had refused counted as confirmed,
# so the unanswered start was taken for one that never ran, and arrived later.
def test_an_unanswered_start_is_not_settled_while_its_stop_is_refused(running_session, monkeypatch):
    task_ledger, worker, session, _ = running_session
    worker.unanswered_calls = {"start"}
    refused = []

    def refuse(*arguments):
        refused.append(arguments)
        raise CallRejected("run-stop: status 503")

    with monkeypatch.context() as patch:
        patch.setattr(worker, "stop", refuse)
        session.start(TASK, 1)
        wait_until(lambda: len(refused) >= 3)
        assert task_ledger.find_task(TASK).incarnation_by_run, "the run may still start"
    wait_until(lambda: not task_ledger.find_task(TASK).incarnation_by_run)
    assert_is_refused_for_good(worker, worker.delayed_starts[0])


def test_a_stop_that_another_incarnation_answers_ends_the_session(running_session):
    task_ledger, worker, session, agent = running_session
    session.start(TASK, 1)
    wait_until(lambda: worker.running and (TASK, 1) in session.status_by_run)
    worker.is_replaced = True
    session.stop(TASK, 1)
    wait_until(lambda: agent.end_reasons)
    eventlet.sleep(0.5)
    assert len(agent.end_reasons) == 1
    assert not task_ledger.find_task(TASK).incarnation_by_run


# Guards against tasks that never run again: a worker that refuses every poll lists no ends, and
# each refused poll counted as another renewal of its lease.
def test_a_worker_that_refuses_polls_is_lost_after_its_lease(running_session):
    task_ledger, worker, session, agent = running_session
    session.start(TASK, 1)
    wait_until(lambda: worker.running and worker.deadlines)
    worker.poll_error = CallRejected("hold: status 429")
    worker.end("another.0.0.0", 1, RunOutcome.DONE)
    wait_until(lambda: not session.is_responsive, 2.0)
    wait_until(lambda: agent.end_reasons == ["lease expired"])
    assert not task_ledger.find_task(TASK).incarnation_by_run


def test_a_worker_that_refuses_one_poll_is_not_unresponsive(running_session):
    _, worker, session, _ = running_session
    session.start(TASK, 1)
    wait_until(lambda: worker.running and worker.deadlines)
    worker.poll_error = CallRejected("hold: status 429")
    worker.end("another.0.0.0", 1, RunOutcome.DONE)
    eventlet.sleep(0.2)
    assert session.is_responsive
    worker.poll_error = None
    wait_until(lambda: session.worker.record.seen_end == 1)


def test_the_end_of_an_incarnation_tells_which_runs_it_had_outlived(running_session):
    """Guards against LOST: a start that the worker did not get counted as cause of its crash."""
    task_ledger, worker, session, _ = running_session
    assert session.worked_ms_by_run() == {}
    session.start(TASK, 1)
    wait_until(lambda: worker.running and session.worked_ms_by_run())
    eventlet.sleep(0.05)
    session._poll_now()
    assert session.worked_ms_by_run()[TASK, 1] >= 50


def test_a_start_that_could_not_be_sent_is_reported_as_such(running_session):
    """It is no suspect of a crash that is recorded before the run is settled as never started."""
    _, worker, session, agent = running_session

    def refuse(incarnation, request):
        raise NotDelivered("connection refused")

    results = []
    agent.start_rejected = lambda session, task, run, result: results.append(result)
    worker.start, worker.unanswered_calls = refuse, {"stop"}
    session.start(TASK, 1)
    wait_until(lambda: results == [StartResult.NOT_SENT])
    assert session.worked_ms_by_run() == {(TASK, 1): -1}


# Guards against work that waits for a lease to expire: a run whose start no connection could carry
# counted as one that may exist, until a stop was confirmed by a worker that could not be reached.
@pytest.mark.parametrize("has_reading", [True, False], ids=["known worker", "new worker"])
def test_a_task_whose_start_was_not_sent_can_start_elsewhere_at_once(has_reading, monkeypatch):
    task_ledger, worker = ledger(), FakeWorker()
    session, _ = make_session(task_ledger, worker)
    try:
        if has_reading:
            worker.end("another.0.0.0", 1, RunOutcome.DONE)
            wait_until(lambda: session.clock.has_reading)

        def refuse(*arguments):
            worker.calls.append("refused")
            raise NotDelivered("connection refused")

        for call in ("start", "stop", "poll"):
            monkeypatch.setattr(worker, call, refuse)
        accept(task_ledger, step())
        record_intent(task_ledger, TASK)
        session.start(TASK, 1)
        wait_until(lambda: not task_ledger.find_task(TASK).incarnation_by_run, LEASE_MS / 2000)
        assert not session.is_responsive, "the task would be placed here again"
        assert not worker.starts
    finally:
        session.close()


def test_a_worker_is_polled_before_and_after_the_start_of_a_suspect(running_session):
    """The worker's other runs are no suspects then if it crashes, nor is this one for long."""
    task_ledger, worker, session, _ = running_session
    task_ledger.find_task(TASK).crashes.append(Crash(1, ("w2", 1), True, False, True))
    starts_before, note_survivors = [], session._note_survivors

    def record():
        starts_before.append(worker.calls.count("start"))
        note_survivors()

    session._note_survivors = record
    session.start(TASK, 1)
    wait_until(lambda: starts_before == [0, 1])
    wait_until(lambda: session.worked_ms_by_run().get((TASK, 1), 0) >= SURVIVAL_MS, 1.0)


# Guards against a second run beside the first: a row that cannot be read may be any run.
def test_no_run_is_missing_while_a_row_cannot_be_read(running_session):
    task_ledger, worker, session, _ = running_session
    session.start(TASK, 1)
    wait_until(lambda: (TASK, 1) in session.status_by_run)
    run = worker.running.pop((TASK, 1))
    worker.unreadable_runs = 1
    worker.end("another.0.0.0", 1, RunOutcome.DONE)
    polls = worker.calls.count("poll")
    eventlet.sleep(0.6)
    assert task_ledger.find_task(TASK).incarnation_by_run
    # Such a poll returns at once, again and again, as long as an end in it cannot be read.
    assert worker.calls.count("poll") - polls < 10
    worker.unreadable_runs = 0
    worker.running[TASK, 1] = run
    worker.end(TASK, 1, RunOutcome.DONE)
    wait_until(lambda: task_ledger.find_task(TASK).done)


STOP_SECONDS = 0.4
"""PROTOCOL.md, ``stopMs``: how long a stop takes to end a run, at most."""


class HidingWorker(FakeWorker):
    """Lists each of its runs, or another writer's, in a row that cannot be read."""

    def __init__(self):
        super().__init__()
        self.unreadable_runs = 1

    def poll(self, *arguments):
        result = super().poll(*arguments)
        return attrs.evolve(result, running=[])

    def stop(self, incarnation, task, run, fencing_token):
        self._record_call("stop")
        if "stop" in self.unanswered_calls:
            raise WorkerUnresponsive("no answer")
        self.stopped[task] = run
        eventlet.spawn_after(STOP_SECONDS, self._end_if_running, task, run)

    def _end_if_running(self, task, run):
        if (task, run) in self.running:
            self.end(task, run, RunOutcome.STOPPED)


# Guards against a task that waits for good for a run that was never sent, since each list of its
# worker holds a row that cannot be read; and against a second run, should the row be of that run.
@pytest.mark.parametrize("is_running", [False, True], ids=["never sent", "runs in that row"])
def test_a_run_behind_a_row_that_cannot_be_read_is_stopped_and_settled(is_running):
    task_ledger, worker = ledger(), HidingWorker()
    accept(task_ledger, step(1))
    record_intent(task_ledger, TASK)
    if is_running:
        worker.running[TASK, 1] = RunStatus(TASK, 1, "", 0, 0)
    session, _ = make_session(task_ledger, worker)
    bound = MAX_DOUBT_SECONDS + STOP_LAG_SECONDS + 4 * RETRY_SECONDS
    wait_until(lambda: not task_ledger.find_task(TASK).incarnation_by_run, bound)
    assert not worker.running
    assert worker.stopped == {TASK: 1}
    session.close()


class HoldingWorker(HidingWorker):
    """Holds each poll until a run ends, odd rows or not, as the platform's workers do."""

    def __init__(self):
        super().__init__()
        self.unreadable_runs = 0

    def poll(self, *arguments):
        return attrs.evolve(super().poll(*arguments), unreadable_runs=1)


# Guards against a wait of two long polls more for a run that was never sent.
def test_a_run_behind_a_row_that_cannot_be_read_does_not_wait_for_long_polls():
    task_ledger, worker = ledger(), HoldingWorker()
    accept(task_ledger, step(1))
    record_intent(task_ledger, TASK)
    session, _ = make_session(task_ledger, worker)
    bound = MAX_DOUBT_SECONDS + STOP_LAG_SECONDS + 4 * RETRY_SECONDS
    wait_until(lambda: not task_ledger.find_task(TASK).incarnation_by_run, bound)
    session.close()


# Guards against work that is thrown away for another writer's row: its run is known to be there.
def test_a_run_that_has_started_is_not_stopped_for_a_row_that_cannot_be_read(running_session):
    task_ledger, worker, session, _ = running_session
    session.start(TASK, 1)
    wait_until(lambda: (TASK, 1) in session.status_by_run)
    # Its row is the one that cannot be read from now on.
    run = worker.running.pop((TASK, 1))
    worker.unreadable_runs = 1
    worker.end("another.0.0.0", 1, RunOutcome.DONE)
    eventlet.sleep(MAX_DOUBT_SECONDS + 4 * RETRY_SECONDS)
    assert "stop" not in worker.calls
    worker.unreadable_runs = 0
    worker.running[TASK, 1] = run


# Guards against a run that is given up before its stop has certainly taken effect.
def test_a_run_behind_a_row_that_cannot_be_read_is_kept_while_its_stop_is_unconfirmed():
    task_ledger, worker = ledger(), HidingWorker()
    accept(task_ledger, step(1))
    record_intent(task_ledger, TASK)
    worker.running[TASK, 1] = RunStatus(TASK, 1, "", 0, 0)
    worker.unanswered_calls = {"stop"}
    session, _ = make_session(task_ledger, worker)
    eventlet.sleep(MAX_DOUBT_SECONDS + STOP_LAG_SECONDS + 4 * RETRY_SECONDS)
    assert task_ledger.find_task(TASK).incarnation_by_run
    session.close()


# Guards against work that is thrown away for one odd list: the session is old, and yet this is the
# first list that it has seen, since the worker was silent before.
def test_a_run_behind_a_row_that_cannot_be_read_once_goes_on():
    task_ledger, worker = ledger(), FakeWorker()
    accept(task_ledger, step(1))
    record_intent(task_ledger, TASK)
    worker.unanswered_calls, worker.unreadable_runs = {"poll"}, 1
    session, _ = make_session(task_ledger, worker)
    session.clock.record_reading(worker.clock_ms(), CLOCK.monotonic())
    session.clock.extend_deadline(CLOCK.monotonic(), 60_000)
    eventlet.sleep(MAX_DOUBT_SECONDS + RETRY_SECONDS)
    worker.unanswered_calls = set()
    wait_until(lambda: session.is_state_known)
    worker.running[TASK, 1] = RunStatus(TASK, 1, "", 0, 0)
    worker.unreadable_runs = 0
    wait_until(lambda: (TASK, 1) in session.status_by_run)
    eventlet.sleep(2 * RETRY_SECONDS)
    assert "stop" not in worker.calls and (TASK, 1) in worker.running
    session.close()


# Guards against a long-running task that waits for good: its end cannot be read, and neither can a
# row of the runs, which is of another run.
def test_a_long_running_task_whose_end_cannot_be_read_starts_again_beside_an_odd_row():
    task_ledger, worker = ledger(), FakeWorker()
    accept(task_ledger, step(1, lasting=True))
    record_intent(task_ledger, TASK)
    session, _ = make_session(task_ledger, worker)
    session.start(TASK, 1)
    wait_until(lambda: (TASK, 1) in session.status_by_run)
    worker.unreadable_runs, worker.unreadable_ends = 1, {1}
    worker.end(TASK, 1, RunOutcome.FAILED)
    bound = MAX_DOUBT_SECONDS + STOP_LAG_SECONDS + 4 * RETRY_SECONDS
    wait_until(lambda: not task_ledger.find_task(TASK).incarnation_by_run, bound)
    session.close()


# Guards against a long-running task that waits for good for an end that cannot be read: whatever
# it says, the task has to run again.
def test_a_long_running_task_starts_again_though_its_end_cannot_be_read():
    task_ledger, worker = ledger(), FakeWorker()
    accept(task_ledger, step(1, lasting=True))
    record_intent(task_ledger, TASK)
    session, _ = make_session(task_ledger, worker)
    session.start(TASK, 1)
    wait_until(lambda: (TASK, 1) in session.status_by_run)
    worker.unreadable_ends = {1}
    worker.end(TASK, 1, RunOutcome.FAILED)
    wait_until(lambda: not task_ledger.find_task(TASK).incarnation_by_run)
    session.close()


# Guards against a start that brings a worker over its capacity: it was placed before the capacity
# shrank, and was sent after it, held back by the starts before it.
def test_a_start_held_back_is_not_sent_once_the_capacity_has_shrunk():
    task_ledger, worker = ledger(), FakeWorker()
    accept(task_ledger, step(4))
    tasks = [f"{JOB}.0.0.{index}" for index in range(4)]
    for task in tasks:
        record_intent(task_ledger, task)
    session, _ = make_session(task_ledger, worker)
    for _ in range(MAX_CONCURRENT_STARTS):
        session._start_slots.acquire()
    for task in tasks:
        session.start(task, 1)
    eventlet.sleep(0.1)
    record = a_worker(millicores=2000)
    record.sequence = 1
    task_ledger.upsert_worker(record)
    for _ in range(MAX_CONCURRENT_STARTS):
        session._start_slots.release()
    wait_until(lambda: not session._starts_in_flight)
    assert len(worker.starts) <= 2
    # What was not sent is settled at once, so that it can be placed again.
    assert len(task_ledger.worker_by_incarnation["w1", 1].task_by_run) <= 2
    session.close()


def test_asking_which_runs_were_outlived_leaves_their_ends_to_the_session(running_session):
    """Another poll that settles the same ends would keep the session waiting for its own."""
    task_ledger, worker, session, agent = running_session
    session.start(TASK, 1)
    wait_until(lambda: worker.running)
    settled = []
    agent.settle_ends = lambda *arguments: settled.append(arguments)
    session.close()
    worker.end(TASK, 1, RunOutcome.DONE)
    session.is_closed = False
    session._note_survivors()
    assert not settled


def test_a_worker_that_refuses_a_start_gets_no_further_ones(running_session):
    """Its open poll may tell of the crash much later."""
    _, worker, session, agent = running_session
    reported = []
    agent.state_changed = lambda session: reported.append(session.is_responsive)

    def refuse(incarnation, request):
        raise NotDelivered("connection refused")

    worker.start, worker.unanswered_calls = refuse, {"stop"}
    session.start(TASK, 1)
    wait_until(lambda: False in reported)


# Guards against LOST: starts that waited for a free call when the worker crashed were suspects.
def test_a_start_that_waits_for_others_has_not_reached_the_worker(running_session, monkeypatch):
    task_ledger, worker, session, _ = running_session
    accept(task_ledger, step(MAX_CONCURRENT_STARTS + 1, millicores=1), job_id="00000000000000b2")
    tasks = [f"00000000000000b2.0.0.{index}" for index in range(MAX_CONCURRENT_STARTS + 1)]
    for task in tasks:
        assert record_intent(task_ledger, task)
    wait_until(lambda: session.clock.has_reading)
    answered, begun, start = Event(), [], worker.start

    def start_later(incarnation, request):
        begun.append(request.task)
        answered.wait()
        return start(incarnation, request)

    monkeypatch.setattr(worker, "start", start_later)
    for task in tasks:
        session.start(task, 1)
    wait_until(lambda: len(begun) == MAX_CONCURRENT_STARTS)
    worked_ms_by_run = session.worked_ms_by_run()
    assert {task for task, _ in worked_ms_by_run} == set(tasks) - set(begun)
    assert set(worked_ms_by_run.values()) == {-1}
    answered.send(None)
    wait_until(lambda: session.worked_ms_by_run().keys() >= {(task, 1) for task in tasks})
    assert min(session.worked_ms_by_run().values()) >= 0


def cancel_its_job(task_ledger):
    task_ledger.cancel(JOB)


def announce_the_exit(task_ledger):
    (entry,) = task_ledger.worker_by_incarnation.values()
    entry.record.draining = entry.record.leaving = True


# Guards against UNASKED: a start that waited for a slot was sent after the cancel was acknowledged;
# and against TWICE: one call without an answer ends an incarnation that has announced its exit.
@pytest.mark.parametrize("event", [cancel_its_job, announce_the_exit])
def test_a_start_that_waits_is_not_sent_once_it_is_not_wanted(running_session, monkeypatch, event):
    task_ledger, worker, session, _ = running_session
    other = "00000000000000b2"
    accept(task_ledger, step(MAX_CONCURRENT_STARTS, millicores=1), job_id=other)
    tasks = [f"{other}.0.0.{index}" for index in range(MAX_CONCURRENT_STARTS)]
    wait_until(lambda: not task_ledger.find_task(TASK).incarnation_by_run)
    answered, begun, start = Event(), [], worker.start

    def start_later(incarnation, request):
        begun.append(request.task)
        answered.wait()
        return start(incarnation, request)

    monkeypatch.setattr(worker, "start", start_later)
    for task in [*tasks, TASK]:
        assert record_intent(task_ledger, task, 2)
        session.start(task, 2)
    wait_until(lambda: len(begun) == MAX_CONCURRENT_STARTS)
    event(task_ledger)
    answered.send(None)
    wait_until(lambda: not task_ledger.find_task(TASK).incarnation_by_run)
    assert begun == tasks


# Guards against work that never starts though a worker has room: a worker that was marked as
# unresponsive while its last run was settled was never asked again.
@pytest.mark.parametrize(
    "error", [CallRejected("hold: status 503"), NotDelivered("refused")], ids=["refuses", "lost"]
)
def test_an_unresponsive_worker_without_runs_is_used_again_once_it_answers(error, monkeypatch):
    task_ledger, worker = ledger(), FakeWorker()
    session, agent = make_session(task_ledger, worker)
    try:
        # Completes the first poll, after which the session is idle.
        worker.end("another.0.0.0", 1, RunOutcome.DONE)
        wait_until(lambda: session.clock.has_reading)
        eventlet.sleep(worker_session.MAX_REFUSED_POLL_SECONDS + 0.1)
        worker.poll_error = error
        with monkeypatch.context() as patch:
            patch.setattr(worker, "start", lambda *a: (StartResult.UNHEALTHY, worker.clock_ms()))
            accept(task_ledger, step())
            record_intent(task_ledger, TASK)
            session.start(TASK, 1)
            wait_until(lambda: not task_ledger.find_task(TASK).incarnation_by_run)
            wait_until(lambda: session.is_unresponsive)
        worker.poll_error = None
        wait_until(lambda: session.is_responsive, 1.0)
        assert not agent.end_reasons
    finally:
        session.close()


# Guards against tasks that wait in turn for a worker that answers no start: each took one of a few
# concurrent calls until it timed out, although others had room.
def test_starts_that_wait_while_another_goes_unanswered_are_not_sent(running_session, monkeypatch):
    task_ledger, worker, session, agent = running_session
    count = 3 * MAX_CONCURRENT_STARTS
    accept(task_ledger, step(count, millicores=1, memory_mb=1), job_id="00000000000000b2")
    tasks = [f"00000000000000b2.0.0.{index}" for index in range(count)]
    for task in tasks:
        assert record_intent(task_ledger, task)
    wait_until(lambda: session.clock.has_reading)
    sent, timeout = [], 0.3

    def time_out(incarnation, request):
        sent.append(request.task)
        eventlet.sleep(timeout)
        raise WorkerUnresponsive("no answer")

    monkeypatch.setattr(worker, "start", time_out)
    for task in tasks:
        session.start(task, 1)
    eventlet.sleep(1.5 * timeout)
    assert len(sent) == MAX_CONCURRENT_STARTS
    assert agent.rejections == [StartResult.NOT_SENT] * (count - MAX_CONCURRENT_STARTS)
    assert not any(task_ledger.find_task(t).incarnation_by_run for t in set(tasks) - set(sent))


# Guards against a task that waits for two polls, each held open for 2 s: the one that was to settle
# its run after a confirmed stop failed, and was not repeated.
def test_a_run_whose_stop_is_confirmed_is_settled_soon_though_a_poll_fails(
    running_session, monkeypatch
):
    task_ledger, worker, session, _ = running_session
    session.start(TASK, 1)
    wait_until(lambda: (TASK, 1) in session.status_by_run)
    worker.unanswered_calls = {"start"}
    poll, failed = worker.poll, []

    def fail_once(*arguments):
        if not failed:
            failed.append(arguments)
            raise WorkerUnresponsive("no answer")
        return poll(*arguments)

    accept(task_ledger, step(), job_id="00000000000000b2")
    second_task = "00000000000000b2.0.0.0"
    record_intent(task_ledger, second_task)
    monkeypatch.setattr(worker, "poll", fail_once)
    session.start(second_task, 1)
    wait_until(lambda: failed)
    wait_until(lambda: not task_ledger.find_task(second_task).incarnation_by_run, 1.0)


# The same after a time without permission, in which no start was sent.
def test_a_run_that_was_not_started_for_lack_of_permission_is_settled_soon(running_session):
    task_ledger, worker, session, agent = running_session
    session.start(TASK, 1)
    wait_until(lambda: (TASK, 1) in session.status_by_run)
    accept(task_ledger, step(), job_id="00000000000000b2")
    second_task = "00000000000000b2.0.0.0"
    record_intent(task_ledger, second_task)
    agent.has_permission = False
    session.start(second_task, 1)
    eventlet.sleep(0.1)
    agent.has_permission = True
    wait_until(lambda: not task_ledger.find_task(second_task).incarnation_by_run, 1.0)
    assert worker.starts == [(TASK, 1)]


# Guards against a run that is not settled though its worker has said that it does not run: the
# answer was dropped when the call after it, which renews the lease, was not answered.
@pytest.mark.parametrize(
    "error", [WorkerUnresponsive("no answer"), CallRejected("hold: status 503")]
)
def test_a_poll_counts_though_the_renewal_of_the_lease_after_it_fails(error, monkeypatch):
    task_ledger, worker = ledger(), FakeWorker()
    accept(task_ledger, step(2))
    other = f"{JOB}.0.0.1"
    for task in (TASK, other):
        record_intent(task_ledger, task)
    worker.running[other, 1] = RunStatus(other, 1, "", 0, 0)
    poll = worker.poll

    def poll_without_renewals(incarnation, fencing_token, seen_end, deadline_ms, wait_ms):
        if deadline_ms:
            raise error
        return poll(incarnation, fencing_token, seen_end, deadline_ms, wait_ms)

    monkeypatch.setattr(worker, "poll", poll_without_renewals)
    session, agent = make_session(task_ledger, worker)
    try:
        wait_until(lambda: not task_ledger.find_task(TASK).incarnation_by_run, LEASE_MS / 2000)
        assert task_ledger.find_task(other).incarnation_by_run
        assert not agent.end_reasons
    finally:
        session.close()


# Guards against a lease that is far too long, or too short for the run to outlast it: what the
# clock of a worker shows after a long time without an answer is known to 2% of that time.
def test_the_clock_of_a_worker_is_read_again_before_a_start_after_a_long_time(running_session):
    task_ledger, worker, session, agent = running_session
    wait_until(lambda: session.clock.has_reading and not session.worker.task_by_run)
    assert record_intent(task_ledger, TASK, 2)
    session.clock = WorkerClock()
    session.clock.record_reading(worker.clock_ms() - 980_000, agent.now() - 1000.0)
    polls = worker.calls.count("poll")
    session._call_start(TASK, 2, "")
    (request,) = worker.requests
    assert LEASE_MS - 100 <= request.deadline_ms - worker.clock_ms() <= LEASE_MS
    assert worker.calls.count("poll") > polls
    worker.unanswered_calls = {"poll", "start", "stop"}
    wait_until(lambda: agent.end_reasons == ["lease expired"], 3.0)


@pytest.fixture(params=[False, True], ids=["numbered", "without number"])
def two_runs(request):
    """Yield a ledger, a worker, its agent and two runs there; unreadable ends may lack numbers."""
    task_ledger, worker = ledger(), FakeWorker()
    worker.has_unreadable_numbers = request.param
    accept(task_ledger, step(2))
    tasks = [f"{JOB}.0.0.{index}" for index in range(2)]
    for task in tasks:
        record_intent(task_ledger, task)
    session, agent = make_session(task_ledger, worker)
    for task in tasks:
        session.start(task, 1)
    wait_until(lambda: len(session.status_by_run) == 2)
    agent.session = session
    yield task_ledger, worker, agent, tasks
    # The newest session: a test may have replaced the first one.
    agent.session.close()


def take_over(task_ledger, worker, agent):
    agent.session.close()
    (known,) = task_ledger.worker_by_incarnation.values()
    task_ledger.assign_agents([AgentAssignment(known.record.life, "c1.disk/1")], 6)
    agent.session = worker_session.WorkerSession(agent, known, LEASE_MS)


# Guards against a second run of a task that is done: its end cannot be read, and was acknowledged
# with a later one; a run that a list did not hold counted as one that never ran.
@pytest.mark.parametrize("is_taken_over", [False, True])
def test_an_end_that_cannot_be_read_is_not_taken_for_a_run_that_never_ran(two_runs, is_taken_over):
    task_ledger, worker, agent, (odd, other) = two_runs
    worker.unreadable_ends = {1}
    worker.end(odd, 1, RunOutcome.DONE)
    worker.end(other, 1, RunOutcome.DONE)
    # What can be read does not wait.
    wait_until(lambda: task_ledger.find_task(other).done)
    if is_taken_over:
        take_over(task_ledger, worker, agent)
    eventlet.sleep(0.8)
    assert worker.acknowledged == 0
    assert task_ledger.find_task(odd).incarnation_by_run
    worker.unreadable_ends = set()
    wait_until(lambda: task_ledger.find_task(odd).done)


# Guards against a failure that counts twice: it is listed until it is acknowledged.
def test_a_failure_listed_behind_an_end_that_cannot_be_read_counts_once(two_runs):
    task_ledger, worker, _, (odd, other) = two_runs
    worker.unreadable_ends = {1}
    worker.end(odd, 1, RunOutcome.STOPPED)
    worker.end(other, 1, RunOutcome.FAILED)
    eventlet.sleep(0.8)
    assert worker.acknowledged == 0
    assert task_ledger.find_task(odd).incarnation_by_run
    worker.unreadable_ends = set()
    wait_until(lambda: not task_ledger.find_task(other).incarnation_by_run)
    eventlet.sleep(0.4)
    assert [task_ledger.find_task(task).failures for task in (odd, other)] == [0, 1]


# Guards against ends that the worker lists for good, up to the most that it lists in one answer.
def test_ends_are_acknowledged_up_to_the_first_that_cannot_be_read():
    task_ledger, worker = ledger(), FakeWorker()
    accept(task_ledger, step(3))
    tasks = [f"{JOB}.0.0.{index}" for index in range(3)]
    for task in tasks:
        record_intent(task_ledger, task)
    session, _ = make_session(task_ledger, worker)
    for task in tasks:
        session.start(task, 1)
    wait_until(lambda: len(session.status_by_run) == 3)
    worker.unreadable_ends = {2}
    for task in tasks:
        worker.end(task, 1, RunOutcome.DONE)
    wait_until(lambda: worker.acknowledged == 1)
    wait_until(lambda: task_ledger.find_task(tasks[2]).done)
    assert task_ledger.find_task(tasks[1]).incarnation_by_run
    session.close()


# Guards against tasks that wait for good for a row that is no end of theirs: all runs were listed,
# or placed later.
def test_work_goes_on_beside_a_row_that_is_the_end_of_no_run(two_runs):
    task_ledger, worker, agent, (task, other) = two_runs
    worker.foreign_rows = 1
    worker.end(other, 1, RunOutcome.FAILED)
    wait_until(lambda: worker.acknowledged == 1)
    wait_until(lambda: task_ledger.find_task(other).failures == 1)
    # A run that is placed before the list after an acknowledgement may be what the row is of.
    polls = worker.calls.count("poll")
    wait_until(lambda: worker.calls.count("poll") >= polls + 2)
    worker.unanswered_calls = {"start"}
    assert record_intent(task_ledger, other, 2)
    agent.session.start(other, 2)
    wait_until(lambda: not task_ledger.find_task(other).incarnation_by_run)
    worker.unanswered_calls = set()
    worker.end(task, 1, RunOutcome.DONE)
    wait_until(lambda: task_ledger.find_task(task).done)


# Guards against an end of an unknown run that keeps all later ends from being acknowledged.
def test_an_end_that_cannot_be_read_is_acknowledged_if_it_is_the_end_of_no_run_here(two_runs):
    task_ledger, worker, _, (_, other) = two_runs
    worker.unreadable_ends = {1}
    worker.end("stray.0.0.0", 1, RunOutcome.DONE)
    worker.end(other, 1, RunOutcome.DONE)
    wait_until(lambda: worker.acknowledged == 2)
    assert task_ledger.find_task(other).done


# Guards against a second run of a task that is done: two rows of which nothing can be read look
# alike, and the one that was listed first is forgotten as the other one appears.
def test_an_end_that_cannot_be_read_is_not_taken_for_one_that_was_acknowledged(two_runs):
    task_ledger, worker, agent, (odd, other) = two_runs
    agent.session._threads[0].kill()
    worker.unreadable_ends = {1, 3}
    worker.end("stray.0.0.0", 1, RunOutcome.DONE)
    worker.end(other, 1, RunOutcome.DONE)
    agent.session._poll_now()
    assert task_ledger.find_task(other).done
    worker.end(odd, 1, RunOutcome.DONE)
    agent.session._poll_now()
    assert worker.acknowledged == 2
    assert task_ledger.find_task(odd).incarnation_by_run


class PausedAgent:
    """Stops its process for 20 s right after a check of the permission, and those that follow.

    ``checks_before`` of them come before it.
    """

    def __init__(self, agent, checks_before):
        self._agent = agent
        self._checks_before = checks_before
        self._paused_seconds = 0.0
        self._valid_until = CLOCK.monotonic() + 1.0

    def __getattr__(self, name):
        return getattr(self._agent, name)

    def now(self):
        return CLOCK.monotonic() + self._paused_seconds

    def may_call_workers(self):
        if self.now() >= self._valid_until:
            return False
        self._checks_before -= 1
        if self._checks_before < 0:
            self._paused_seconds += 20.0
        return True


# Guards against two runs of a task: a process that is stopped between the check of its permission
# and its look at the clock grants a lease from when it goes on, long after the worker's next agent,
# which may not reach it, has taken it for lost.
@pytest.mark.parametrize("checks_before", [0, 1, 2])
@pytest.mark.parametrize("call", ["start", "poll", "renewal"])
def test_no_lease_counts_from_later_than_the_check_of_the_permission(
    running_session, call, checks_before
):
    task_ledger, worker, session, agent = running_session
    wait_until(lambda: session.clock.has_recent_reading(agent.now()))
    wait_until(lambda: not session.worker.task_by_run)
    session._threads[0].kill()
    assert record_intent(task_ledger, TASK, 2)
    worker.deadlines.clear()
    session._agent = PausedAgent(agent, checks_before)
    if call == "start":
        session._call_start(TASK, 2, "")
    elif call == "poll":
        session._poll_now()
    else:
        session._renew_lease()
    granted = worker.deadlines + [request.deadline_ms for request in worker.requests]
    assert all(deadline_ms <= worker.clock_ms() + LEASE_MS for deadline_ms in granted)
