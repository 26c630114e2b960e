"""Two incarnations of a worker under one id: what ends the earlier one, and what does not."""

import types

import eventlet
import pytest

from savoryshelf.dispatch import assignment
from savoryshelf.dispatch.leader_term import (
    MAX_PASS_INTERVAL_SECONDS,
    REPLACEMENT_REPORT_SECONDS,
)
from savoryshelf.dispatch.worker_api import (
    CallRejected,
    Fenced,
    IncarnationReplaced,
    WorkerUnresponsive,
)
from savoryshelf.tasks import snapshot
from savoryshelf.tasks.crashes import SURVIVAL_MS
from savoryshelf.wire.generated.ttypes import RunOutcome

from ..tasks.builders import JOB, step
from . import group as group_module
from .fakes import CLOCK, wait_until
from .group import LEASE_MS, FakeGroup

pytestmark = pytest.mark.usefixtures("on_virtual_time")
TASK = f"{JOB}.0.0.0"
OTHER_JOB = "00000000000000b2"
EARLIER, LATER = ("w1", 1), ("w1", 2)
LEASE_SECONDS = 6.0
"""As on the platform; the leases of this group are too short for long polls."""

PASS_SECONDS = 2 * MAX_PASS_INTERVAL_SECONDS + 0.1
"""Time for the leader's next two passes, and for a call, a report and a commit between them."""


@pytest.fixture
def long_leases(monkeypatch):
    monkeypatch.setattr(group_module, "LEASE_MS", 1000 * LEASE_SECONDS)


@pytest.fixture(params=["the leader calls the workers", "the other hosts call them"])
def group(request, monkeypatch):
    if request.param == "the other hosts call them":
        monkeypatch.setattr(assignment, "MAX_WORKERS_OF_LEADER", 0)
    started = FakeGroup(["c0", "c1", "c2"], ["w1"])
    try:
        wait_until(lambda: started.agent_host("w1"))
        yield started
        assert started.failures == []
    finally:
        started.close()


def incarnation(group, key):
    return group.ledger.worker_by_incarnation[key]


def has_ended(group, key):
    return incarnation(group, key).has_ended


def start_a_run(group):
    group.submit(step(lasting=True))
    wait_until(lambda: group.worker_by_id["w1"].running)
    return group.worker_by_id["w1"]


def change_leader(group):
    group.change_leader("c1" if group.leader == "c0" else "c0")


def restore_a_snapshot(group):
    host = group.agent_host()
    state_machine = group.state_machine_by_host[host]
    state_machine.restore(snapshot.save(state_machine.ledger))


def do_nothing(group):
    pass


@pytest.fixture(params=[do_nothing, change_leader, restore_a_snapshot])
def event(request):
    return request.param


# Guards against TWICE: all that ran on a worker that lived was started again after one heartbeat
# of another writer with a later start.
def test_a_heartbeat_of_a_later_incarnation_ends_nothing(group, event):
    worker = start_a_run(group)
    group.note_incarnation(*LATER)
    event(group)
    wait_until(lambda: has_ended(group, LATER))
    eventlet.sleep(REPLACEMENT_REPORT_SECONDS + PASS_SECONDS)
    assert not has_ended(group, EARLIER)
    assert worker.starts == [(TASK, 1)]
    group.submit(job_id=OTHER_JOB)
    wait_until(lambda: len(worker.starts) == 2)
    worker.end(TASK, 1, RunOutcome.DONE)
    wait_until(lambda: not group.ledger.find_task(TASK).incarnation_by_run.get(1))


# Guards against work that is placed on an incarnation of which there is only a heartbeat.
def test_an_incarnation_that_has_not_answered_gets_no_run(group):
    group.error_by_incarnation[LATER] = WorkerUnresponsive("no answer")
    group.note_incarnation(*LATER, address="10.0.0.9:80")
    group.submit(step(count=8, lasting=True))
    wait_until(lambda: len(incarnation(group, EARLIER).task_by_run) == 4)
    eventlet.sleep(PASS_SECONDS)
    assert not group.ledger.find_task(f"{JOB}.0.0.7").runs, (
        "more than the earlier incarnation has room for"
    )


@pytest.mark.parametrize("is_noted", [True, False], ids=["noted", "not noted"])
def test_an_incarnation_whose_worker_has_restarted_ends_at_once(group, is_noted):
    start_a_run(group)
    began_at = CLOCK.monotonic()
    group.restart_worker("w1", 2)
    if is_noted:
        group.note_incarnation(*LATER)
    wait_until(lambda: has_ended(group, EARLIER))
    assert CLOCK.monotonic() - began_at < REPLACEMENT_REPORT_SECONDS
    wait_until(lambda: bool(group.worker_by_id["w1"].starts) is is_noted)


# Guards against TWICE: ends and runs of the next incarnation counted for the earlier one.
def test_the_runs_of_an_incarnation_are_settled_by_that_incarnation(group, event):
    start_a_run(group)
    group.restart_worker("w1", 2)
    group.note_incarnation(*LATER)
    event(group)
    later = group.worker_by_id["w1"]
    wait_until(lambda: later.running)
    assert later.starts == [(TASK, 2)]
    assert list(incarnation(group, LATER).task_by_run) == [(TASK, 2)]
    assert not incarnation(group, EARLIER).task_by_run
    assert incarnation(group, LATER).record.seen_end == 0


# Guards against LOST and against two agents that take a worker from each other: the agent of the
# earlier incarnation learns nothing, since the later one knows a higher token.
@pytest.mark.parametrize(
    "error",
    [Fenced("poll"), CallRejected("poll"), WorkerUnresponsive("no answer")],
    ids=lambda error: type(error).__name__,
)
def test_an_incarnation_whose_successor_answers_at_its_address_ends(group, event, error):
    start_a_run(group)
    group.restart_worker("w1", 2)
    group.error_by_incarnation[EARLIER] = error
    began_at = CLOCK.monotonic()
    group.note_incarnation(*LATER)
    event(group)
    wait_until(lambda: has_ended(group, EARLIER))
    if event is do_nothing:
        assert CLOCK.monotonic() - began_at < REPLACEMENT_REPORT_SECONDS + PASS_SECONDS
    wait_until(lambda: group.worker_by_id["w1"].running)
    assert not has_ended(group, LATER)


# Guards against BUDGET and LOST: the agent knows which runs had worked, the leader does not.
@pytest.mark.parametrize("is_found_by_agent", [True, False])
def test_the_end_of_an_incarnation_tells_what_is_known_of_its_runs(group, is_found_by_agent):
    worker = start_a_run(group)
    eventlet.sleep(2 * SURVIVAL_MS / 1000)
    polls = worker.calls.count("poll")
    for agent in group.agent_by_host.values():
        for session in agent.session_by_incarnation.values():
            session.check_incarnation()
    wait_until(lambda: worker.calls.count("poll") > polls)
    group.restart_worker("w1", 2)
    if not is_found_by_agent:
        group.error_by_incarnation[EARLIER] = WorkerUnresponsive("no answer")
    group.note_incarnation(*LATER)
    wait_until(lambda: has_ended(group, EARLIER))
    (crash,) = group.ledger.find_task(TASK).crashes
    assert crash.is_certain is is_found_by_agent
    assert crash.on_start is not is_found_by_agent


# Guards against TWICE: another process of the same id, at another address, is no evidence.
def test_an_incarnation_goes_on_while_another_one_answers_at_another_address(group, event):
    worker = start_a_run(group)
    elsewhere = FakeElsewhere(group)
    elsewhere.answer()
    group.note_incarnation(*LATER, address="10.0.0.9:80")
    event(group)
    wait_until(lambda: elsewhere.polls)
    eventlet.sleep(REPLACEMENT_REPORT_SECONDS + PASS_SECONDS)
    assert not has_ended(group, EARLIER)
    assert not has_ended(group, LATER)
    assert worker.starts == [(TASK, 1)]
    assert elsewhere.worker.starts == []


class FakeElsewhere:
    """A second process under the id of a worker, at an address of its own."""

    def __init__(self, group):
        self.worker = type(group.worker_by_id["w1"])()
        self._group = group
        self._original = group._worker

    def answer(self):
        self._group._worker = self._worker

    def _worker(self, incarnation):
        if incarnation.address == "10.0.0.9:80":
            return self.worker
        return self._original(incarnation)

    @property
    def polls(self):
        return self.worker.calls


# Guards against TWICE: an idle session was not told that its incarnation had ended, and its next
# start was run by the next incarnation.
def test_nothing_is_started_on_an_incarnation_that_ended_while_it_was_idle(group):
    eventlet.sleep(0.1)
    group.restart_worker("w1", 2)
    group.submit(step(lasting=True))
    wait_until(lambda: has_ended(group, EARLIER))
    assert group.worker_by_id["w1"].starts == []
    group.note_incarnation(*LATER)
    wait_until(lambda: group.worker_by_id["w1"].running)
    assert list(group.worker_by_id["w1"].running) == [(TASK, 2)]
    assert not group.ledger.find_task(TASK).crashes, (
        "the start had not reached the incarnation that ended"
    )


def test_restarts_in_series_leave_the_last_incarnation(group):
    group.submit(step(lasting=True))
    for born in range(2, 8):
        wait_until(lambda: group.worker_by_id["w1"].running)
        group.restart_worker("w1", born)
        group.note_incarnation("w1", born)
    wait_until(lambda: group.worker_by_id["w1"].running)
    wait_until(lambda: all(has_ended(group, ("w1", born)) for born in range(1, 7)))
    assert not has_ended(group, ("w1", 7))


def test_a_silent_incarnation_with_a_later_one_elsewhere_ends_with_its_lease(group):
    start_a_run(group)
    elsewhere = FakeElsewhere(group)
    elsewhere.answer()
    group.error_by_incarnation[EARLIER] = WorkerUnresponsive("no answer")
    began_at = group.term.now()
    group.note_incarnation(*LATER, address="10.0.0.9:80")
    wait_until(lambda: has_ended(group, EARLIER))
    assert group.term.now() - began_at > LEASE_MS / 1000
    wait_until(lambda: elsewhere.worker.running)


@pytest.mark.parametrize("call", ["set_speed", "stop"])
def test_any_call_that_finds_another_incarnation_ends_the_earlier_one(group, call):
    worker = start_a_run(group)
    session = next(
        session
        for agent in group.agent_by_host.values()
        for session in agent.session_by_incarnation.values()
    )

    def refuse(*arguments):
        raise IncarnationReplaced("another incarnation answers")

    setattr(worker, call, refuse)
    if call == "stop":
        session.stop(TASK, 1)
    else:
        session.set_speed(TASK, 1, 50)
    wait_until(lambda: has_ended(group, EARLIER))


# Guards against LOST: starts that were under way together to an incarnation that had ended counted
# as suspects of a crash, all but the first to be told, and jobs were given up for them.
def test_starts_that_did_not_reach_an_incarnation_are_no_suspects_of_its_end(group):
    eventlet.sleep(0.1)
    group.restart_worker("w1", 2)

    def refuse(seconds):
        # A connection and a question take a round trip.
        eventlet.sleep(seconds)
        raise IncarnationReplaced("another incarnation answers")

    group.start = lambda incarnation, request: refuse(0.05)
    group.poll = lambda incarnation, *arguments: refuse(0.06)
    group.submit(step(count=3, lasting=True))
    wait_until(lambda: has_ended(group, EARLIER))
    tasks = [group.ledger.find_task(f"{JOB}.0.0.{index}") for index in range(3)]
    assert [task.name for task in tasks if task.crashes] == []


# Guards against AVAIL: an incarnation of another writer at the worker's address took the worker
# from its session and kept it from a new token.
@pytest.mark.parametrize(
    "error",
    [IncarnationReplaced("another incarnation answers"), WorkerUnresponsive("no answer")],
    ids=lambda error: type(error).__name__,
)
def test_an_incarnation_of_another_writer_at_the_same_address_lets_no_lease_lapse(
    long_leases, group, error
):
    worker = start_a_run(group)
    original = group._worker

    def fence(incarnation, fencing_token, *arguments):
        if fencing_token < worker.fencing_token:
            raise Fenced("poll")
        worker.fencing_token = fencing_token
        raise error

    foreign = types.SimpleNamespace(poll=fence)
    group._worker = lambda incarnation: (
        foreign if incarnation.born_ms == 2 else original(incarnation)
    )
    group.note_incarnation(*LATER)
    granted, granted_at, longest = len(worker.deadlines), group.term.now(), 0.0
    ends_at = granted_at + 2 * LEASE_SECONDS
    while group.term.now() < ends_at:
        eventlet.sleep(0.02)
        if len(worker.deadlines) > granted:
            granted, granted_at = len(worker.deadlines), group.term.now()
        longest = max(longest, group.term.now() - granted_at)
    assert longest < LEASE_SECONDS, f"no lease was granted for {longest:.2f} s"
    assert worker.starts == [(TASK, 1)]
