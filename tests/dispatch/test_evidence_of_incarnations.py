"""What agents and the leader take for evidence that an incarnation has ended, and what not."""

import eventlet
import pytest
from eventlet.event import Event

from savoryshelf.dispatch import leader_term
from savoryshelf.dispatch.agent_fleet import AgentFleet
from savoryshelf.dispatch.leader_term import REPLACEMENT_REPORT_SECONDS
from savoryshelf.dispatch.worker_api import Fenced, IncarnationReplaced, WorkerUnresponsive
from savoryshelf.wire.generated.ttypes import RunOutcome

from ..tasks.builders import JOB, accept, ledger, record_intent, step
from .fakes import FakeWorker, make_session, wait_until
from .group import FakeGroup
from .test_agent_fleet import report, state, worker_with_token

pytestmark = pytest.mark.usefixtures("on_virtual_time")
TASK = f"{JOB}.0.0.0"
EARLIER, LATER = ("w1", 1), ("w1", 2)
OTHER_ADDRESS = "10.0.0.9:80"
READ_LATE_SECONDS = 0.3
SETTLING_SECONDS = 2 * REPLACEMENT_REPORT_SECONDS
"""Time after which the leader would have ended an incarnation for which it has evidence."""


@pytest.fixture
def group():
    started = FakeGroup(["c0", "c1", "c2"], ["w1"])
    try:
        wait_until(lambda: started.agent_host("w1"))
        yield started
        assert started.failures == []
    finally:
        started.close()


@pytest.fixture
def running_session():
    """Yield a session with a run that is placed and not started, its worker, and its agent."""
    task_ledger, worker = ledger(), FakeWorker()
    accept(task_ledger, step())
    record_intent(task_ledger, TASK)
    session, agent = make_session(task_ledger, worker)
    yield session, worker, agent
    session.close()


def incarnation(group, key):
    return group.ledger.worker_by_incarnation[key]


def start_a_run(group):
    group.submit(step(lasting=True))
    wait_until(lambda: group.worker_by_id["w1"].running)
    return group.worker_by_id["w1"]


# Guards against TWICE: a later incarnation of which there is only a heartbeat is no evidence, also
# while nobody has found out yet that it does not exist.
def test_a_later_incarnation_that_does_not_answer_ends_no_earlier_one(group):
    worker = start_a_run(group)
    group.error_by_incarnation[LATER] = WorkerUnresponsive("no answer")
    group.note_incarnation(*LATER)
    eventlet.sleep(SETTLING_SECONDS)
    assert not incarnation(group, EARLIER).has_ended
    assert worker.starts == [(TASK, 1)]


# Guards against tasks that are given up: the agent alone knows which runs an incarnation outlived.
def test_the_agent_of_an_earlier_incarnation_has_time_to_report_its_end(group):
    start_a_run(group)
    group.restart_worker("w1", 2)
    group.error_by_incarnation[EARLIER] = WorkerUnresponsive("no answer")
    began_at = group.term.now()
    group.note_incarnation(*LATER)
    wait_until(lambda: incarnation(group, EARLIER).has_ended)
    assert group.term.now() - began_at >= REPLACEMENT_REPORT_SECONDS


# Guards against two agents that take a worker from each other, each with a higher token.
def test_an_incarnation_whose_successor_answers_at_its_address_gets_no_new_token(group):
    start_a_run(group)
    group.restart_worker("w1", 2)
    group.error_by_incarnation[EARLIER] = Fenced("poll")
    group.note_incarnation(*LATER)
    wait_until(lambda: group.term._fleet.answers(incarnation(group, LATER)))
    assert not incarnation(group, EARLIER).has_ended
    tokens = {incarnation(group, EARLIER).record.fencing_token}
    while not incarnation(group, EARLIER).has_ended:
        tokens.add(incarnation(group, EARLIER).record.fencing_token)
        eventlet.sleep(0.01)
    assert len(tokens) == 1


# Guards against work that waits on an incarnation of which there is only a heartbeat.
def test_an_incarnation_whose_first_poll_is_open_gets_no_run(group, monkeypatch):
    has_answered, original = Event(), group._worker

    def open_poll(*arguments):
        has_answered.wait()
        return later.__class__.poll(later, *arguments)

    later = FakeWorker()
    later.poll = open_poll
    monkeypatch.setattr(
        group,
        "_worker",
        lambda incarnation: (
            later if incarnation.address == OTHER_ADDRESS else original(incarnation)
        ),
    )
    group.note_incarnation(*LATER, address=OTHER_ADDRESS)
    wait_until(lambda: incarnation(group, LATER).record.agent_id)
    group.submit(step(count=8, lasting=True))
    wait_until(lambda: len(incarnation(group, EARLIER).task_by_run) == 4)
    eventlet.sleep(SETTLING_SECONDS)
    assert not incarnation(group, LATER).task_by_run
    has_answered.send(None)
    wait_until(lambda: len(incarnation(group, LATER).task_by_run) == 4)


# Guards against a session that learns of the next incarnation only when its open call times out:
# the process is gone, and nothing has closed its connections.
def test_a_heartbeat_of_another_incarnation_has_the_present_one_asked_at_once(group, monkeypatch):
    # The leader does not end the incarnation in place of its agent.
    monkeypatch.setattr(leader_term, "REPLACEMENT_REPORT_SECONDS", 60.0)
    worker, open_polls = start_a_run(group), []

    def poll(*arguments):
        open_polls.append(arguments)
        eventlet.sleep(60)

    worker.poll = poll
    # Completes the poll that is open.
    worker.end("another.0.0.0", 1, RunOutcome.DONE)
    wait_until(lambda: open_polls)
    group.worker_by_id["w1"], group.born_by_id["w1"] = FakeWorker(), 2
    group.note_incarnation(*LATER)
    wait_until(lambda: incarnation(group, EARLIER).has_ended)


def test_the_present_incarnation_is_asked_on_a_new_connection(group, monkeypatch):
    start_a_run(group)
    disconnected = []
    monkeypatch.setattr(group, "disconnect", disconnected.append)
    group.note_incarnation(*LATER, address=OTHER_ADDRESS)
    wait_until(lambda: any(each.born_ms == EARLIER[1] for each in disconnected))
    assert not incarnation(group, EARLIER).has_ended


def test_a_poll_beside_the_open_one_that_finds_another_incarnation_ends_the_session(
    running_session,
):
    session, worker, agent = running_session

    def poll(incarnation, fencing_token, seen_end, deadline_ms, wait_ms):
        if wait_ms:
            eventlet.sleep(60)
        raise IncarnationReplaced("another incarnation answers")

    session.start(TASK, 1)
    wait_until(lambda: worker.running and session.is_state_known)
    worker.poll = poll
    session.check_incarnation()
    wait_until(lambda: agent.end_reasons)


# Guards against BUDGET: a start that met another incarnation counted for its task as a crash.
def test_a_start_that_met_another_incarnation_has_not_reached_the_one_called(running_session):
    session, worker, agent = running_session
    worked = []
    agent.incarnation_ended = lambda ended, why: worked.append(ended.worked_ms_by_run())

    def start(*arguments):
        raise IncarnationReplaced("another incarnation answers")

    worker.start = start
    session.start(TASK, 1)
    wait_until(lambda: worked)
    assert worked == [{(TASK, 1): -1}]


# Guards against jobs that fail for restarts of all workers at once: an answer that a busy host read
# late seemed to tell that its worker had outlived the others, and been lost alone.
def test_an_answer_that_is_read_late_tells_no_more_than_that_the_call_was_answered(
    running_session,
):
    session, worker, agent = running_session
    answered = []

    def start(*arguments):
        answer = FakeWorker.start(worker, *arguments)
        worker.has_crashed = True
        eventlet.sleep(READ_LATE_SECONDS)
        answered.append(answer)
        return answer

    worker.start = start
    session.start(TASK, 1)
    wait_until(lambda: answered)
    assert session.contact_loss().heard_ms >= 1000 * READ_LATE_SECONDS - 1


# Guards against TWICE: until the report is committed, the ledger still has runs on an incarnation
# whose end was reported, and a start would be carried out after they were released.
def test_a_session_that_has_reported_the_end_of_its_incarnation_makes_no_call(running_session):
    session, worker, agent = running_session
    reasons = []
    agent.incarnation_ended = lambda ended, why: reasons.append(why)
    session.start(TASK, 1)
    wait_until(lambda: worker.running)
    worker.is_replaced = True
    wait_until(lambda: reasons)
    worker.is_replaced = False
    eventlet.sleep(0.1)
    worker.calls.clear()
    session.start(TASK, 1)
    session.stop(TASK, 1)
    session.set_speed(TASK, 1, 50)
    session.check_incarnation()
    eventlet.sleep(0.5)
    assert worker.calls == []
    assert len(reasons) == 1


def test_an_incarnation_answers_only_by_a_report_under_its_present_token():
    fleet = AgentFleet()
    fleet.record_report(report(states=[state(token=5)]), 0.0)
    assert fleet.answers(worker_with_token(5))
    assert not fleet.answers(worker_with_token(6))
    fleet.record_report(report(2, states=[state(token=6, responsive=False)]), 0.0)
    assert not fleet.answers(worker_with_token(6))
