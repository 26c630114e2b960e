"""What is told before a commit, and what is lost with a leader: it ends between each two steps.

Workers forget an end once it is acknowledged, and callers a request once it is answered, so both
must be known to each later leader by then; what was not committed has to be told again.
"""

import functools
import itertools

import eventlet
import pytest

from savoryshelf.dispatch.task_service import TaskService
from savoryshelf.replication.service import OutcomeUnknown
from savoryshelf.replication.types import NotLeading
from savoryshelf.tasks.state_machine import TaskStateMachine
from savoryshelf.wire import codec
from savoryshelf.wire.generated import ttypes
from savoryshelf.wire.generated.ttypes import (
    JobAnswerKind,
    JobCall,
    JobSpec,
    JobVerb,
    RunOutcome,
    TaskCommand,
)

from ..tasks.builders import HOST, JOB, step
from . import group as group_module
from .fakes import CLOCK, FakeWorker, wait_until
from .group import FakeGroup

TASK = f"{JOB}.0.0.0"
OTHER_JOB = "00000000000000b2"
WITHOUT_LEADER_SECONDS = 1.0
RESTART_SECONDS = 1.5
"""After this time a host that has ended is up again."""

MAX_UNSTARTED_SECONDS = 3.0
"""The users' bound of the time in which a task that could run has no run."""

CALM_SECONDS = 4.0
"""In this time everything that was under way has come to its end."""

PROPOSED = "proposed"
"""No other host has the entry: it is lost."""

REPLICATED = "replicated"
"""A majority has the entry, and no host knows that: the next leader commits it."""

COMMITTED = "committed"
"""The leader alone has applied the entry."""

SEEN_BY_AGENT = "seen_by_agent"
"""The host of the worker's agent alone has applied the entry."""

APPLIED = "applied"
"""All hosts have applied the entry, and the leader has done nothing more."""

STEPS_OF_A_COMMIT = [PROPOSED, REPLICATED, COMMITTED, SEEN_BY_AGENT, APPLIED]


class WatchedWorker(FakeWorker):
    """Tells the group of each start and acknowledgement before it carries it out."""

    def __init__(self, worker_id, group):
        super().__init__()
        self.worker_id, self.group = worker_id, group

    def apply_start(self, request):
        self.group.before_start(self.worker_id, request)
        answer = super().apply_start(request)
        self.group.reach("started")
        return answer

    def poll(self, incarnation, fencing_token, seen_end, *arguments):
        is_new = seen_end > self.acknowledged
        if is_new:
            self.group.before_acknowledgement(self.worker_id, seen_end)
        result = super().poll(incarnation, fencing_token, seen_end, *arguments)
        if is_new:
            self.group.reach("acknowledged")
        return result


class CutGroup(FakeGroup):
    """Loses its leader once, as soon as one step of one command or call is reached."""

    def __init__(self):
        self.cut = None
        """The step, and the command that it is one of, if it is one of a command."""

        self.does_host_end = False
        self.led_from = 0.0
        self.broken = []
        self.was_cut = False
        super().__init__(["c0", "c1", "c2"], ["w1", "w2"])
        self.worker_by_id = {each: WatchedWorker(each, self) for each in self.worker_by_id}

    @property
    def ledger(self):
        """The state that each leader has at the beginning of its term: that of the log."""
        state_machine = TaskStateMachine()
        for payload in self.log:
            state_machine.apply(payload)
        return state_machine.ledger

    def _start_host(self, host):
        super()._start_host(host)
        self.replica_by_host[host].propose = functools.partial(self._propose, host)

    def _propose(self, host, payload):
        if host != self.leader:
            raise NotLeading(None)
        name, _ = codec.sole_field(codec.decode(TaskCommand, payload).body)
        reached = self.cut[0] if self.cut and self.cut[1] == name else None
        if reached not in STEPS_OF_A_COMMIT:
            return self.append(payload)
        if reached != PROPOSED:
            self.log.append(payload)
        appliers = {
            COMMITTED: [self.leader],
            SEEN_BY_AGENT: [self.agent_host()],
            APPLIED: list(self.state_machine_by_host),
        }
        for each in appliers.get(reached, []):
            self.apply(each)
        self.lose_leader()
        raise OutcomeUnknown

    def _report(self, host, report):
        if any(settlement.ends for settlement in report.settlements):
            self.reach("listed")
        reply = super()._report(host, report)
        if any(settlement.ends for settlement in report.settlements):
            self.reach("reported")
        return reply

    def reach(self, name):
        if self.cut and self.cut[0] == name:
            self.lose_leader()

    def lose_leader(self):
        lost, self.leader, self.cut, self.was_cut = self.leader, "", None, True
        self.term.wake()
        if self.does_host_end:
            self._end_host(lost)
            eventlet.spawn_after(RESTART_SECONDS, self._start_again, lost)
        eventlet.spawn_after(WITHOUT_LEADER_SECONDS, self._elect, lost)

    def _end_host(self, host):
        agent = self.agent_by_host[host]
        agent.may_call_workers = lambda: False
        self.silent_hosts.add(host)
        del self.state_machine_by_host[host]
        for session in agent.session_by_incarnation.values():
            # This may be the thread of that session.
            eventlet.spawn_n(session.close)

    def _start_again(self, host):
        self._start_host(host)
        self.replica_by_host[host].core.term = self.term._term
        self.apply(host)
        self.silent_hosts.discard(host)

    def _elect(self, lost):
        self._thread.wait()
        host = "c1" if lost == "c0" else "c0"
        for each in self.state_machine_by_host:
            self.apply(each)
        core = self.replica_by_host[host].core
        core.term, core.previous_leader_id = self.term._term + 1, f"{lost}.disk"
        self.leader = host
        self._begin_term()
        self.led_from = CLOCK.monotonic()

    def prepare(self, cut, does_host_end, is_agent_leader):
        """Choose the step at which the leader is lost, and whether the agent's host leads."""
        self.does_host_end = does_host_end
        wait_until(lambda: self.agent_host())
        agent_host = self.agent_host()
        wanted = agent_host if is_agent_leader else next(h for h in HOSTS if h != agent_host)
        if self.leader != wanted:
            self.change_leader(wanted)
            eventlet.sleep(WITHOUT_LEADER_SECONDS)
        assert self.agent_host() == agent_host
        self.cut = cut

    def before_start(self, worker_id, request):
        """No start is sent whose intent the next leader does not know."""
        place = self.ledger.find_task(request.task).incarnation_by_run.get(request.run)
        if place != (worker_id, 1):
            self.broken.append(f"{request.task}:{request.run} is started and not committed")
        workers = self.worker_by_id.values()
        if any(request.task == task for each in workers for task, _ in each.running):
            self.broken.append(f"{request.task}:{request.run} runs beside another one")

    def before_acknowledgement(self, worker_id, seen_end):
        """No end is acknowledged that the next leader does not know."""
        ledger = self.ledger
        if ledger.worker_by_incarnation[worker_id, 1].record.seen_end < seen_end:
            self.broken.append(f"{worker_id}: {seen_end} is acknowledged and not committed")
        for end in self.worker_by_id[worker_id].ends[:seen_end]:
            if end.run in ledger.find_task(end.task).incarnation_by_run:
                self.broken.append(f"{end.task}:{end.run} is acknowledged and not settled")

    def runs(self):
        workers = self.worker_by_id.values()
        return [(each, run) for each in workers for run in each.running if run[0] == TASK]

    def starts(self):
        workers = self.worker_by_id.values()
        return [run for each in workers for run in each.starts if run[0] == TASK]

    def keep_workers_in_use(self):
        """Have each worker run something for good: one without runs is not polled."""
        self.submit(step(2, lasting=True, max_per_worker=1), job_id=OTHER_JOB)
        wait_until(lambda: all(each.running for each in self.worker_by_id.values()))

    def call(self, verb):
        """Call the leader once, as an entry host does; None if the outcome is unknown."""
        if not self.leader:
            return None
        replica = self.replica_by_host[self.leader]
        service = TaskService(replica, self.state_machine_by_host[self.leader], self.clock)
        service.on_change = self.term.wake
        spec = JobSpec("work", [step()], 0, 0, 1000)
        try:
            return service.job_call(JobCall(verb, HOST, "/quotes/" + JOB, spec, "trace"))
        except (ttypes.NotLeader, ttypes.Unavailable):
            return None

    def call_until_answered(self, verb):
        while (answer := self.call(verb)) is None:
            eventlet.sleep(0.1)
        return answer


HOSTS = ["c0", "c1", "c2"]


@pytest.fixture(params=[600, 6000], ids=["short-lease", "long-lease"])
def group(on_virtual_time, monkeypatch, request):
    monkeypatch.setattr(group_module, "LEASE_MS", request.param)
    started = CutGroup()
    try:
        yield started
        assert started.was_cut
        assert started.broken == []
        assert started.failures == []
    finally:
        started.close()


def each_place(steps):
    """Parametrise a test with the steps, and with where the worker's agent is."""
    cases = itertools.product(steps, [False, True], [False, True])
    return pytest.mark.parametrize(
        ("cut", "does_host_end", "is_agent_leader"),
        [
            pytest.param(
                cut, ends, leads,
                id=f"{cut}-{'host' if ends else 'term'}-{'leader' if leads else 'other'}",
            )
            for cut, ends, leads in cases
        ],
    )  # fmt: skip


# Guards against LOST and TWICE: an end that a worker has forgotten and no leader knows, so that
# its task is never started again, or is although it is done.
@pytest.mark.parametrize("outcome", [RunOutcome.DONE, RunOutcome.FAILED])
@each_place(["listed", "reported", *STEPS_OF_A_COMMIT, "acknowledged"])
def test_an_end_is_acknowledged_only_once_each_later_leader_knows_it(
    group, outcome, cut, does_host_end, is_agent_leader
):
    group.keep_workers_in_use()
    group.submit(step())
    wait_until(group.runs)
    ((worker, run),) = group.runs()
    group.agent_host = functools.partial(CutGroup.agent_host, group, worker.worker_id)
    group.prepare((cut, "settle_batch"), does_host_end, is_agent_leader)
    worker.end(*run, outcome)
    wait_until(lambda: group.led_from)
    if outcome == RunOutcome.DONE:
        wait_until(lambda: group.ledger.job_by_id[JOB].state.value == "completed")
    else:
        wait_until(lambda: len(group.starts()) == 2)
    assert CLOCK.monotonic() - group.led_from < MAX_UNSTARTED_SECONDS
    eventlet.sleep(CALM_SECONDS)
    assert worker.acknowledged == 1
    is_done = outcome == RunOutcome.DONE
    assert group.starts() == ([(TASK, 1)] if is_done else [(TASK, 1), (TASK, 2)])
    assert group.ledger.find_task(TASK).failures == (0 if is_done else 1)


# Guards against LOST and TWICE: a start that no later leader knows, or one that is never sent.
@each_place([*STEPS_OF_A_COMMIT, "started"])
def test_a_start_is_sent_only_once_each_later_leader_knows_its_intent(
    group, cut, does_host_end, is_agent_leader
):
    group.prepare((cut, "intend_runs"), does_host_end, is_agent_leader)
    group.submit(step())
    wait_until(lambda: group.led_from)
    wait_until(group.runs)
    assert CLOCK.monotonic() - group.led_from < MAX_UNSTARTED_SECONDS
    eventlet.sleep(CALM_SECONDS)
    assert len(group.runs()) == 1
    ((worker, run),) = group.runs()
    worker.end(*run, RunOutcome.DONE)
    wait_until(lambda: group.ledger.job_by_id[JOB].state.value == "completed")


# Guards against LOST: a job that was acknowledged and that no later leader knows.
@each_place(STEPS_OF_A_COMMIT)
def test_a_job_is_acknowledged_only_once_each_later_leader_knows_it(
    group, cut, does_host_end, is_agent_leader
):
    group.prepare((cut, "accept_tasks"), does_host_end, is_agent_leader)
    assert group.call(JobVerb.SUBMIT) is None
    wait_until(lambda: group.led_from)
    assert (JOB in group.ledger.job_by_id) == (cut != PROPOSED)
    assert group.call(JobVerb.SUBMIT).kind == JobAnswerKind.ACCEPTED
    assert JOB in group.ledger.job_by_id
    wait_until(group.starts)
    assert CLOCK.monotonic() - group.led_from < MAX_UNSTARTED_SECONDS
    eventlet.sleep(CALM_SECONDS)
    assert group.starts() == [(TASK, 1)]


# Guards against LOST: the caller knows that the job was accepted, and no leader does.
@pytest.mark.parametrize("does_host_end", [False, True], ids=["term", "host"])
def test_a_job_that_was_acknowledged_is_started_by_the_next_leader(group, does_host_end):
    group.prepare(None, does_host_end, True)
    assert group.call(JobVerb.SUBMIT).kind == JobAnswerKind.ACCEPTED
    group.lose_leader()
    wait_until(lambda: group.led_from)
    assert group.call(JobVerb.READ).kind == JobAnswerKind.STATE
    wait_until(group.starts)
    assert CLOCK.monotonic() - group.led_from < MAX_UNSTARTED_SECONDS


# Guards against a cancelled job that goes on: the answer was given before the commit.
@each_place([*STEPS_OF_A_COMMIT, "answered"])
def test_a_cancel_is_answered_only_once_each_later_leader_knows_it(
    group, cut, does_host_end, is_agent_leader
):
    group.submit(step(lasting=True))
    wait_until(group.runs)
    group.agent_host = functools.partial(CutGroup.agent_host, group, group.runs()[0][0].worker_id)
    group.prepare((cut, "cancel_tasks"), does_host_end, is_agent_leader)
    answer = group.call(JobVerb.CANCEL)
    group.reach("answered")
    assert (answer is None) == (cut != "answered")
    wait_until(lambda: group.led_from)
    if answer is None:
        assert bool(group.runs()) or cut != PROPOSED
        answer = group.call_until_answered(JobVerb.CANCEL)
    assert answer.state == "cancelled"
    assert group.call(JobVerb.READ).state == "cancelled"
    wait_until(lambda: not group.runs(), MAX_UNSTARTED_SECONDS)
    eventlet.sleep(CALM_SECONDS)
    assert group.starts() == [(TASK, 1)]
    assert not group.ledger.find_task(TASK).incarnation_by_run
