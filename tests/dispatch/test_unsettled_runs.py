"""Lines on runs that may exist and are not listed: what they name, and how many there are."""

import contextlib

import eventlet
import pytest

from savoryshelf.dispatch import unsettled_runs
from savoryshelf.dispatch.unsettled_runs import (
    LINE_SECONDS,
    LOOK_SECONDS,
    MAX_LINES,
    MAX_UNSETTLED_SECONDS,
    UnsettledRuns,
    UnsettledState,
)
from savoryshelf.dispatch.worker_api import StartResult
from savoryshelf.observability import metrics
from savoryshelf.registry import registry_decorator
from savoryshelf.wire.generated.ttypes import RunOutcome

from ..tasks.builders import JOB, accept, ledger, record_intent, settle_run, step, worker
from .fakes import CLOCK, MAX_LISTED_ENDS, FakeWorker, make_session, wait_until
from .group import FakeGroup

pytestmark = pytest.mark.usefixtures("on_virtual_time")
TASK = f"{JOB}.0.0.0"
RUN = (TASK, 1)


class Site:
    """One session with one worker on which a run has been placed and not started yet."""

    def __init__(self):
        self.ledger, self.worker = ledger(), FakeWorker()
        accept(self.ledger, step(9, millicores=1))
        assert record_intent(self.ledger, TASK)
        self.session, self.agent = make_session(self.ledger, self.worker)
        self.run = RUN
        self.blocked = []

    def hold_calls(self, name):
        """Let calls of that name go on without an answer until the site is closed."""
        real = getattr(self.worker, name)

        def call(*arguments):
            self.blocked.append(name)
            while not self.session.is_closed:
                eventlet.sleep(0.01)
            return real(*arguments)

        setattr(self.worker, name, call)

    def keep_ends_uncommitted(self):
        self.agent.settle_ends = lambda *arguments: eventlet.sleep(0.02)

    def is_in_state(self, state):
        is_unlisted = self.run in self.session.unlisted_runs()
        return is_unlisted and self.session.unsettled_states(self.run)[0] is state


@contextlib.contextmanager
def a_site():
    site = Site()
    try:
        yield site
    finally:
        site.session.close()


PREPARE_BY_STATE = {}
prepares = registry_decorator(PREPARE_BY_STATE)
"""Registers what brings the run of a site into that state."""


@prepares(UnsettledState.INCARNATION_ENDED)
def _be_replaced_while_the_end_is_not_committed(site):
    site.agent.incarnation_ended = lambda session, why: None
    site.worker.is_replaced = True


@prepares(UnsettledState.START_IN_FLIGHT)
def _get_no_answer_to_a_start(site):
    site.hold_calls("start")
    site.session.start(*RUN)


@prepares(UnsettledState.START_QUEUED)
def _wait_for_four_other_starts(site):
    site.keep_ends_uncommitted()
    site.hold_calls("start")
    for index in range(1, 5):
        assert record_intent(site.ledger, f"{JOB}.0.0.{index}")
        site.session.start(f"{JOB}.0.0.{index}", 1)
    wait_until(lambda: len(site.blocked) == 4)
    site.session.start(*RUN)


@prepares(UnsettledState.FENCED)
def _reject_the_token(site):
    site.worker.apply_start = lambda request: StartResult.FENCED
    site.session.start(*RUN)


@prepares(UnsettledState.NEEDS_TOKEN)
def _answer_polls_and_no_stop(site):
    site.worker.unanswered_calls = {"start", "stop"}
    site.session.start(*RUN)


@prepares(UnsettledState.START_IN_DOUBT)
def _answer_neither_start_nor_stop(site):
    site.worker.unanswered_calls = {"start", "stop", "poll"}
    wait_until(lambda: site.session.is_unresponsive)
    site.session.clock.record_reading(site.worker.clock_ms(), CLOCK.monotonic())
    site.session.start(*RUN)


@prepares(UnsettledState.NO_PERMISSION)
def _lose_the_permission(site):
    site.agent.has_permission = False


@prepares(UnsettledState.STATE_UNKNOWN)
def _hold_the_first_poll(site):
    site.hold_calls("poll")


@prepares(UnsettledState.UNRESPONSIVE)
def _fall_silent(site):
    site.session.start(*RUN)
    wait_until(lambda: RUN in site.session.status_by_run)
    site.worker.unanswered_calls = {"poll", "start", "stop"}


@prepares(UnsettledState.NOT_CONFIRMED)
def _lose_the_confirmation(site):
    site.session._confirmed_at_by_run.pop(RUN)


@prepares(UnsettledState.ENDED_NOT_COMMITTED)
def _end_without_a_commit(site):
    site.keep_ends_uncommitted()
    site.worker.end(*RUN, RunOutcome.DONE)


@prepares(UnsettledState.UNREADABLE_RUNS)
def _list_what_cannot_be_read(site):
    site.worker.unreadable_runs = 1


@prepares(UnsettledState.UNREADABLE_ENDS)
def _list_an_end_that_cannot_be_read(site):
    site.worker.end(*RUN, RunOutcome.DONE)
    site.worker.unreadable_ends = {1}


@prepares(UnsettledState.LIST_CUT_SHORT)
def _list_as_many_ends_as_fit(site):
    site.keep_ends_uncommitted()
    for number in range(MAX_LISTED_ENDS + 1):
        site.worker.end(f"{JOB}.0.9.{number}", 1, RunOutcome.DONE)


@prepares(UnsettledState.AWAITING_POLL)
def _hold_the_poll_after_a_start(site):
    wait_until(lambda: site.session.is_state_known and not site.session.worker.task_by_run)
    site.hold_calls("poll")
    site.run = (TASK, 2)
    assert record_intent(site.ledger, *site.run)
    site.session.start(*site.run)


def test_each_state_is_tested():
    assert set(PREPARE_BY_STATE) == set(UnsettledState)


# Guards against a run that holds its task back while no line tells in which state it is.
@pytest.mark.parametrize("expected", UnsettledState)
def test_the_state_of_a_run_that_is_not_listed_is_named(expected):
    with a_site() as site:
        PREPARE_BY_STATE[expected](site)
        wait_until(lambda: site.is_in_state(expected))
        assert site.session.unsettled_states(site.run).count(expected) == 1


@pytest.mark.parametrize("way", ["missing from a list", "refused"])
def test_a_run_that_never_ran_is_named_so_until_that_is_committed(way):
    with a_site() as site:
        site.keep_ends_uncommitted()
        if way == "refused":
            site.worker.apply_start = lambda request: StartResult.NO_CAPACITY
            site.session.start(*RUN)
        wait_until(lambda: site.is_in_state(UnsettledState.ENDED_NOT_COMMITTED))
        settle_run(site.ledger, TASK, RunOutcome.NEVER_RAN)
        assert site.session.unlisted_runs() == set()


def test_a_run_that_its_worker_lists_is_not_named():
    with a_site() as site:
        site.session.start(*RUN)
        wait_until(lambda: RUN in site.session.status_by_run)
        assert site.session.unlisted_runs() == set()


def test_the_lease_that_is_left_ends_when_the_lease_has_expired():
    with a_site() as site:
        site.session.start(*RUN)
        wait_until(lambda: RUN in site.session.status_by_run and site.worker.deadlines)
        site.worker.unanswered_calls = {"poll", "start", "stop"}
        site.agent.incarnation_ended = lambda session, why: None
        while not site.session.lease_has_expired():
            assert site.session.lease_seconds_left() > 0
            eventlet.sleep(0.02)
        eventlet.sleep(0.01)
        assert site.session.lease_seconds_left() == 0


class FakeSession:
    """A session of which all runs are unlisted, in one state."""

    def __init__(self, worker_id, runs, state=UnsettledState.UNRESPONSIVE):
        (self.worker,) = ledger(worker(worker_id)).worker_by_incarnation.values()
        self.incarnation = type("I", (), {"worker_id": worker_id, "born_ms": 1})
        self.fencing_token, self.last_contact_at, self.status_by_run = 7, 90.0, {}
        self.runs, self.state = runs, state

    def unlisted_runs(self):
        return self.runs

    def unsettled_states(self, run):
        return [self.state, UnsettledState.NOT_CONFIRMED]

    def lease_has_expired(self):
        return False

    def lease_seconds_left(self):
        return 1.5


@pytest.fixture
def lines(monkeypatch):
    logged = []
    monkeypatch.setattr(
        unsettled_runs, "log_event", lambda event, **fields: logged.append((event, fields))
    )
    return logged


def look_for(unsettled, sessions, first, seconds):
    for number in range(int(seconds / LOOK_SECONDS) + 1):
        now = first + number * LOOK_SECONDS
        unsettled.look(sessions, int(1000 * now), now)


def test_a_line_names_the_run_that_has_waited_longest_on_its_worker(lines):
    unsettled, session = UnsettledRuns(), FakeSession("w1", {("a.0.0.0", 2)})
    unsettled.look([session], 100_000, 100.0)
    session.runs = {("a.0.0.0", 2), ("b.0.0.0", 1)}
    look_for(unsettled, [session], 100.0 + LOOK_SECONDS, MAX_UNSETTLED_SECONDS + 1.0)
    event, fields = lines[-1]
    assert event == "run:unsettled"
    expected = {
        "task": "a.0.0.0", "run": 2, "worker": "w1", "born": 1, "token": 7, "runs": 2,
        "state": "unresponsive", "also": ["not_confirmed"], "since_ms": 100_000,
        "was_listed": False, "lease_expired": False, "lease_seconds_left": 1.5,
        "further_workers": 0,
    }  # fmt: skip
    assert expected.items() <= fields.items()
    assert fields["contact_seconds_ago"] == fields["seconds"] + 10.0
    assert all(f["seconds"] > MAX_UNSETTLED_SECONDS for _, f in lines)


def test_a_run_that_is_listed_or_settled_in_time_has_no_line(lines):
    unsettled, session = UnsettledRuns(), FakeSession("w1", {("a.0.0.0", 2)})
    for first in (100.0, 110.0, 120.0):
        session.runs = {("a.0.0.0", 2)}
        look_for(unsettled, [session], first, MAX_UNSETTLED_SECONDS)
        session.runs = set()
        look_for(unsettled, [session], first + 5.0, 1.0)
    assert lines == []


# Guards against lines whose number grows with the workers that do not answer.
def test_an_agent_names_few_workers_a_second_the_longest_wait_first(lines):
    unsettled, sessions = UnsettledRuns(), []
    for number in range(MAX_LINES + 4):
        sessions.insert(0, FakeSession(f"w{number}", {("a.0.0.0", n) for n in range(30)}))
        look_for(unsettled, sessions, 100.0 + number, 0.0)
    lines.clear()
    look_for(unsettled, sessions, 130.0, 3 * LINE_SECONDS)
    assert [f["worker"] for _, f in lines] == 4 * [f"w{number}" for number in range(MAX_LINES)]
    assert {f["further_workers"] for _, f in lines} == {4}
    assert {f["runs"] for _, f in lines} == {30}


def test_unsettled_runs_are_counted_by_state_on_the_metrics_page(lines):
    unsettled = UnsettledRuns()
    sessions = [
        FakeSession("w1", {("a.0.0.0", n) for n in range(3)}, UnsettledState.FENCED),
        FakeSession("w2", {("b.0.0.0", 1)}, UnsettledState.NEEDS_TOKEN),
    ]
    look_for(unsettled, sessions, 100.0, MAX_UNSETTLED_SECONDS + LINE_SECONDS)
    page = metrics.render_metrics()
    assert b'savoryshelf_unsettled_runs{state="fenced"} 3.0' in page
    assert b'savoryshelf_unsettled_runs{state="needs_token"} 1.0' in page
    look_for(unsettled, [], 110.0, LINE_SECONDS)
    page = metrics.render_metrics()
    assert b'savoryshelf_unsettled_runs{state="fenced"} 0.0' in page
    assert {state.value for state in UnsettledState} == {
        line.partition('{state="')[2].partition('"')[0]
        for line in page.decode().splitlines()
        if line.startswith("savoryshelf_unsettled_runs{")
    }


@pytest.fixture
def group():
    # The agents of other tests go on, so the worker has an id of its own.
    started = FakeGroup(["c0", "c1"], ["w31"])
    try:
        wait_until(lambda: started.agent_host("w31"))
        yield started
        assert started.failures == []
    finally:
        started.close()


# Guards against a task that waits for a run nobody can settle, without a line of its agent.
def test_an_agent_names_a_run_whose_end_cannot_be_read(group, lines):
    group.submit()
    fake = group.worker_by_id["w31"]
    wait_until(lambda: fake.running)
    fake.unreadable_ends = {1}
    fake.end(*RUN, RunOutcome.DONE)

    def own_lines():
        return [fields for _, fields in lines if fields["worker"] == "w31"]

    wait_until(own_lines, 6.0)
    fields = own_lines()[0]
    assert fields["task"] == TASK
    assert fields["state"] == "unreadable_ends"
    assert fields["seconds"] >= MAX_UNSETTLED_SECONDS


# Guards against lines on a worker that another agent calls by now.
def test_an_agent_names_no_run_of_a_session_that_it_has_closed(group, lines):
    group.submit()
    fake = group.worker_by_id["w31"]
    wait_until(lambda: fake.running)
    fake.unanswered_calls = {"poll", "start", "stop"}
    session = group.agent_by_host[group.agent_host("w31")].session_by_incarnation["w31", 1]
    wait_until(lambda: session.is_unresponsive)
    session.close()
    eventlet.sleep(MAX_UNSETTLED_SECONDS + 2 * LINE_SECONDS)
    assert not [fields for _, fields in lines if fields["worker"] == "w31"]


# Guards against an agent that ends since a log line can't be written.
def test_an_error_in_the_log_of_unsettled_runs_ends_no_agent(group, monkeypatch):
    calls = []

    def fail(*arguments):
        calls.append(arguments)
        raise ValueError("an error")

    monkeypatch.setattr(UnsettledRuns, "look", fail)
    eventlet.sleep(2.5 * LOOK_SECONDS)
    assert len(calls) >= 3
