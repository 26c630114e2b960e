"""Leases of workers that drain."""

import eventlet
import pytest

from savoryshelf.dispatch.worker_api import WorkerUnresponsive
from savoryshelf.dispatch.worker_session import WorkerSession

from ..tasks.builders import JOB, accept, ledger, record_intent, step
from .fakes import CLOCK, FakeAgent, FakeWorker, make_session, wait_until

pytestmark = pytest.mark.usefixtures("on_virtual_time")
TASK = f"{JOB}.0.0.0"
LEASE_MS = 6000
DRAIN_SECONDS = 6.5
"""Longer than a lease that was granted before the worker drained."""

WITHOUT_RUN_SECONDS = 3.0
"""A task should have a run again within this time, by the rule LOST of the platform's pages."""

POLL_TIMEOUT_SECONDS = 1.4
"""How long a poll that a draining worker holds open goes without an answer at most."""


@pytest.fixture
def running_session():
    task_ledger, worker = ledger(), FakeWorker()
    accept(task_ledger, step())
    record_intent(task_ledger, TASK)
    first, _ = make_session(task_ledger, worker)
    first.close()
    agent = FakeAgent(task_ledger, worker)
    session = WorkerSession(agent, first.worker, LEASE_MS)
    session.start(TASK, 1)
    wait_until(lambda: worker.running and worker.deadlines)
    yield worker, session, agent
    session.close()


def lease_left_ms(worker):
    return max(worker.deadlines) - worker.clock_ms()


# Guards against tasks without a run for a whole lease after their worker has left.
def test_tasks_of_a_worker_that_drained_and_exits_are_free_within_3_s(running_session):
    worker, session, agent = running_session
    session.worker.record.draining = True
    eventlet.sleep(DRAIN_SECONDS)
    session.worker.record.leaving = worker.has_crashed = True
    exited_at = CLOCK.monotonic()
    wait_until(lambda: agent.end_reasons, 2 * LEASE_MS / 1000)
    assert agent.end_reasons == ["lease expired"]
    assert lease_left_ms(worker) < 0
    assert CLOCK.monotonic() - exited_at < WITHOUT_RUN_SECONDS


# Guards against runs that lapse while their worker drains, for one poll that got no answer.
def test_runs_of_a_worker_that_drains_outlive_a_poll_without_an_answer(running_session):
    worker, session, agent = running_session
    session.worker.record.draining = True
    eventlet.sleep(DRAIN_SECONDS)

    def lose_one_poll(*arguments):
        del worker.poll
        eventlet.sleep(POLL_TIMEOUT_SECONDS)
        raise WorkerUnresponsive("no answer")

    worker.poll = lose_one_poll
    lowest = lease_left_ms(worker)
    until = CLOCK.monotonic() + 2 * POLL_TIMEOUT_SECONDS
    while CLOCK.monotonic() < until:
        eventlet.sleep(0.01)
        lowest = min(lowest, lease_left_ms(worker))
    assert "poll" not in vars(worker)
    assert 0 < lowest < 1000 * POLL_TIMEOUT_SECONDS
    assert not agent.end_reasons


def test_leases_of_other_workers_stay_long(running_session):
    worker, session, _ = running_session
    eventlet.sleep(DRAIN_SECONDS)
    assert lease_left_ms(worker) > LEASE_MS / 2
