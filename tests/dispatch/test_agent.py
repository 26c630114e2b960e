import contextlib

import eventlet
import pytest

from savoryshelf.dispatch import assignment, crash_log, leader_term, refused_starts
from savoryshelf.dispatch.agent import REPORT_INTERVAL_SECONDS, TAKEOVER_SLACK_MS
from savoryshelf.dispatch.late_starts import call_token
from savoryshelf.dispatch.leader_term import FIRST_REPORT_SECONDS
from savoryshelf.dispatch.permission import PERMISSION_SECONDS
from savoryshelf.dispatch.worker_api import StartResult, WorkerUnresponsive
from savoryshelf.dispatch.worker_clock import MIN_CLOCK_RATE
from savoryshelf.tasks import snapshot
from savoryshelf.tasks.ledger import TaskLedger
from savoryshelf.wire.generated.ttypes import (
    AgentAssignment,
    AssignAgents,
    CancelTasks,
    EndLives,
    RunEnd,
    RunOutcome,
    WorkerLife,
)

from ..tasks.builders import JOB, record_intent, step
from .fakes import CLOCK, wait_until
from .group import LEASE_MS, FakeGroup

pytestmark = pytest.mark.usefixtures("on_virtual_time")

TASK = f"{JOB}.0.0.0"
TAKEOVER_SECONDS = (LEASE_MS + TAKEOVER_SLACK_MS) / 1000 / MIN_CLOCK_RATE
"""How long a new agent waits for the leases that an earlier one may have granted."""


@pytest.fixture(
    params=["the leader calls the workers", "the other hosts call them"],
    ids=["leader-calls", "others-call"],
)
def group(request, monkeypatch):
    if request.param == "the other hosts call them":
        monkeypatch.setattr(assignment, "MAX_WORKERS_OF_LEADER", 0)
    with _group(["c0", "c1", "c2"]) as started:
        yield started


@pytest.fixture
def large_group(monkeypatch):
    """Yield a group in which the leader calls no worker."""
    monkeypatch.setattr(assignment, "MAX_WORKERS_OF_LEADER", 0)
    with _group(["c0", "c1", "c2"]) as started:
        yield started


@contextlib.contextmanager
def _group(hosts, workers=("w1",)):
    started = FakeGroup(hosts, workers)
    try:
        wait_until(lambda: all(started.agent_host(worker_id) for worker_id in workers))
        yield started
        assert started.failures == []
    finally:
        started.close()


def only_worker(group):
    return group.worker_by_id["w1"]


def test_a_task_is_started_and_its_end_is_committed(group):
    group.submit()
    wait_until(lambda: only_worker(group).running)
    only_worker(group).end(TASK, 1, RunOutcome.DONE)
    wait_until(lambda: group.ledger.find_task(TASK).done)
    assert only_worker(group).starts == [(TASK, 1)]
    # Every host has applied the same: the agent acknowledges only what it sees committed.
    wait_until(lambda: not group.ledger.worker_by_incarnation["w1", 1].task_by_run)


def test_a_cancelled_job_is_stopped(group):
    group.submit(step(lasting=True))
    wait_until(lambda: only_worker(group).running)
    group.append_command(cancel_tasks=CancelTasks(JOB))
    wait_until(lambda: not only_worker(group).running)


def test_the_leader_calls_no_worker_of_a_large_fleet(large_group):
    assert large_group.agent_host() in ("c1", "c2")


# Around a hand-over both agents act for a moment: the start of the first arrives late.
def test_a_late_start_of_an_earlier_agent_is_refused(large_group):
    group, worker = large_group, only_worker(large_group)
    earlier = group.agent_host()
    worker.unanswered_calls = {"start", "stop"}
    group.submit()
    wait_until(lambda: worker.delayed_starts)
    group.silent_hosts.add(earlier)
    wait_until(lambda: group.agent_host() not in (earlier, None))
    worker.unanswered_calls = set()
    wait_until(lambda: worker.starts)
    worker.apply_start(worker.delayed_starts[0])
    # Later starts may have been unanswered too.
    ((task, run),) = worker.starts
    assert (task, run) == (TASK, len(worker.delayed_starts) + 1)


# An agent that was cut off or paused goes on as if it were still the worker's agent.
def test_an_agent_without_answers_of_the_leader_makes_no_calls(large_group):
    group, worker = large_group, only_worker(large_group)
    host = group.agent_host()
    group.submit(step(lasting=True))
    wait_until(lambda: worker.running)
    group.silent_hosts |= {"c0", "c1", "c2"}
    agent = group.agent_by_host[host]
    wait_until(lambda: not agent.may_call_workers())
    # A long poll may have been sent before.
    eventlet.sleep(0.1)
    worker.end(TASK, 1, RunOutcome.LAPSED)
    eventlet.sleep(0.1)
    calls = len(worker.calls)
    eventlet.sleep(0.5)
    assert len(worker.calls) == calls


def test_an_agent_that_has_not_applied_the_newest_assignment_makes_no_calls(large_group):
    group = large_group
    host = group.agent_host()
    agent = group.agent_by_host[host]
    wait_until(agent.may_call_workers)
    group.stalled_hosts.add(host)
    agent.leave()
    wait_until(lambda: group.agent_host() not in (host, None))
    wait_until(lambda: not agent.may_call_workers())


def test_the_workers_of_an_agent_that_applies_nothing_get_another_agent(large_group):
    """Its disk stalls: it reports and could never start a run."""
    group = large_group
    host = group.agent_host()
    group.stalled_hosts.add(host)
    group.submit()
    wait_until(lambda: group.agent_host() not in (host, None))
    wait_until(lambda: only_worker(group).starts)
    assert len(only_worker(group).running) == 1


def test_an_agent_that_leaves_hands_its_workers_over(large_group):
    group = large_group
    host = group.agent_host()
    group.submit(step(lasting=True))
    wait_until(lambda: only_worker(group).running)
    group.agent_by_host[host].leave()
    wait_until(lambda: group.agent_host() not in (host, None))
    wait_until(lambda: not group.agent_by_host[host].session_by_incarnation)
    assert only_worker(group).starts == [(TASK, 1)]


def test_a_run_goes_on_while_its_worker_gets_another_agent(large_group):
    group, worker = large_group, only_worker(large_group)
    earlier = group.agent_host()
    group.submit()
    wait_until(lambda: worker.running)
    group.silent_hosts.add(earlier)
    wait_until(lambda: group.agent_host() not in (earlier, None))
    worker.end(TASK, 1, RunOutcome.DONE)
    wait_until(lambda: group.ledger.find_task(TASK).done)
    assert worker.starts == [(TASK, 1)]


# After a snapshot was installed, calls of before may still be on their way: the same token
# would let one of them through after a poll that did not list its run.
def test_an_agent_whose_state_was_replaced_gets_a_new_token(large_group):
    group = large_group
    host = group.agent_host()
    record = group.ledger.worker_by_incarnation["w1", 1].record
    token = record.fencing_token
    state_machine = group.state_machine_by_host[host]
    state_machine.restore(snapshot.save(state_machine.ledger))
    wait_until(lambda: record.fencing_token > token)


def test_an_unresponsive_worker_of_a_new_agent_is_lost_only_after_the_earlier_permission(
    large_group,
):
    group, worker = large_group, only_worker(large_group)
    earlier = group.agent_host()
    group.submit(step(lasting=True))
    wait_until(lambda: worker.running and worker.deadlines)
    worker.unanswered_calls = {"poll", "start", "stop"}
    group.silent_hosts.add(earlier)
    wait_until(lambda: group.agent_host() not in (earlier, None))
    began_at = group.term.now()
    wait_until(lambda: not group.ledger.find_task(TASK).incarnation_by_run)
    assert (group.term.now() - began_at) * 1000 >= LEASE_MS + 1000 * PERMISSION_SECONDS


# A host that was paused while it waited for the reply took it for fresh.
def test_a_reply_that_comes_late_permits_calls_only_for_the_rest_of_the_time(large_group):
    group = large_group
    agent = group.agent_by_host[group.agent_host()]
    group.reply_seconds = 0.8 * PERMISSION_SECONDS
    wait_until(lambda: not agent.may_call_workers())
    samples = []
    for _ in range(200):
        eventlet.sleep(0.01)
        samples.append(agent.may_call_workers())
    assert 0 < sum(samples) < len(samples) / 2


def test_a_leader_without_a_majority_grants_no_permission(large_group):
    group = large_group
    agent = group.agent_by_host[group.agent_host()]
    wait_until(agent.may_call_workers)
    group.quorum_contact_age = 5.0
    wait_until(lambda: not agent.may_call_workers())
    group.quorum_contact_age = 0.0
    wait_until(agent.may_call_workers)


def test_a_worker_that_rejects_its_agents_token_gets_a_new_one(large_group):
    group, worker = large_group, only_worker(large_group)
    worker.fencing_token = call_token(50, 0)
    group.submit()
    record = group.ledger.worker_by_incarnation["w1", 1].record
    token = record.fencing_token
    wait_until(lambda: record.fencing_token > token)


def test_a_new_leader_takes_over_the_workers_of_the_one_before_at_once(group):
    """Those that the other hosts call are left to them."""
    host = group.agent_host()
    group.submit(step(lasting=True))
    wait_until(lambda: only_worker(group).running)
    lost = "c0"
    group.silent_hosts.add(lost)
    token = group.ledger.worker_by_incarnation["w1", 1].record.fencing_token
    began_at = group.term.now()
    group.change_leader("c2" if host == "c1" else "c1")
    if host == lost:
        wait_until(lambda: group.agent_host() == group.leader)
        assert group.term.now() - began_at < FIRST_REPORT_SECONDS
    else:
        eventlet.sleep(2 * FIRST_REPORT_SECONDS)
        record = group.ledger.worker_by_incarnation["w1", 1].record
        assert (group.agent_host(), record.fencing_token) == (host, token)
    assert only_worker(group).starts == [(TASK, 1)]


# Guards against ends that are reported each second for good: a call that returned after its session
# was dropped added a settlement, or the end of an incarnation, that nothing removed.
def test_a_call_that_returns_after_its_session_was_dropped_reports_nothing():
    with _group(["c0", "c1", "c2"]) as group:
        group.submit(step(lasting=True))
        wait_until(lambda: only_worker(group).running)
        agent, session = next(
            (a, s) for a in group.agent_by_host.values() for s in a.session_by_incarnation.values()
        )
        agent._drop_session(session.worker.key)
        agent.incarnation_ended(session, "another incarnation answers")
        agent.start_rejected(session, TASK, 1, StartResult.UNHEALTHY)
        agent.settle_ends(session, 1, [RunEnd(TASK, 1, RunOutcome.DONE, "", 1)])
        agent.state_changed(session)
        assert agent._ended_incarnations == {}
        assert agent._settlements == []
        assert session not in agent._changed_sessions


# Guards against a worker that gets no runs until its state changes, which may be never: a call of a
# dropped session that failed late had that session's state reported, under its earlier token.
def test_a_call_that_fails_after_its_session_was_dropped_hides_the_worker_from_no_one(group):
    # The agent opens the session some time after its assignment is in the ledger.
    agent = group.agent_by_host[group.agent_host()]
    wait_until(lambda: agent.session_by_incarnation)
    (earlier,) = agent.session_by_incarnation.values()
    given = AgentAssignment(earlier.worker.record.life, agent.agent_id)
    group.append_command(assign_agents=AssignAgents([given], 1))
    wait_until(lambda: earlier.is_closed and agent.session_by_incarnation)
    (session,) = agent.session_by_incarnation.values()
    wait_until(lambda: session.is_responsive)
    eventlet.sleep(2 * REPORT_INTERVAL_SECONDS)
    earlier._mark_unresponsive(WorkerUnresponsive("no answer"))
    eventlet.sleep(2 * REPORT_INTERVAL_SECONDS)
    group.submit()
    wait_until(lambda: only_worker(group).starts, 2.0)


# Guards against a task that waits for good: its start was not answered, nor was any stop, while
# the worker went on to answer polls, so its lease never expired either.
def test_a_start_in_doubt_whose_stops_go_unanswered_is_settled_under_a_new_token(group):
    worker = only_worker(group)
    worker.unanswered_calls = {"start", "stop"}
    group.submit()
    wait_until(lambda: worker.delayed_starts)
    wait_until(lambda: group.ledger.find_task(TASK).runs >= 2, 3.0)
    assert worker.apply_start(worker.delayed_starts[0]) is StartResult.FENCED
    worker.unanswered_calls = set()
    wait_until(lambda: worker.running)
    assert len(worker.starts) == 1


# Guards against a run that is settled while it works: its start was carried out late.
def test_a_start_in_doubt_that_took_effect_goes_on_under_a_new_token(group):
    worker = only_worker(group)
    worker.unanswered_calls = {"start", "stop"}
    group.submit()
    wait_until(lambda: worker.delayed_starts)
    worker.apply_start(worker.delayed_starts[0])
    eventlet.sleep(0.5)
    assert group.ledger.find_task(TASK).incarnation_by_run == {1: ("w1", 1)}
    assert worker.starts == [(TASK, 1)]


# Guards against a task that is started on one worker again and again, while that worker answers
# polls and stops but no start, and others have room.
def test_a_task_whose_start_goes_unanswered_starts_on_another_worker():
    with _group(["c0", "c1", "c2"], ["w1", "w2"]) as group:
        bad, good = group.worker_by_id["w1"], group.worker_by_id["w2"]
        bad.unanswered_calls = {"start"}
        group.submit()
        wait_until(lambda: good.running, 1.0)
        assert len(bad.delayed_starts) <= 2


# Guards against a gang that waits for a member whose start was refused: the others held their
# capacity until they timed out, and ended alone.
def test_a_gang_starts_again_at_once_after_the_start_of_a_member_was_refused(monkeypatch):
    with _group(["c0", "c1", "c2"], ["w1", "w2"]) as group:
        full, other = group.worker_by_id["w1"], group.worker_by_id["w2"]
        start, refused = full.start, []

        def refuse_once(incarnation, request):
            if not refused:
                refused.append(request)
                return StartResult.NO_CAPACITY, full.clock_ms()
            return start(incarnation, request)

        monkeypatch.setattr(full, "start", refuse_once)
        group.submit(step(2, gang=True, max_per_worker=1))
        wait_until(lambda: full.running and other.running, 2.0)
        assert {run for _, run in [*full.running, *other.running]} == {2}


def test_an_end_whose_report_is_lost_is_reported_again(group):
    group.submit()
    wait_until(lambda: only_worker(group).running)
    host = group.agent_host()
    group.silent_hosts.add(host)
    only_worker(group).end(TASK, 1, RunOutcome.DONE)
    eventlet.sleep(0.3)
    assert not group.ledger.find_task(TASK).done
    group.silent_hosts.discard(host)
    wait_until(lambda: group.ledger.find_task(TASK).done, 2.0)


# Guards against a task that waits for good when the host that started it loses what it knew of it.
@pytest.mark.parametrize("change", ["snapshot", "leader"])
def test_a_start_in_doubt_is_settled_after_a_change_of_agent_or_leader(large_group, change):
    group, worker = large_group, only_worker(large_group)
    # A worker whose first poll was not answered would get no start.
    tracked = group.ledger.worker_by_incarnation["w1", 1]
    wait_until(lambda: group.term._fleet.answers(tracked))
    worker.unanswered_calls = {"start", "stop", "poll"}
    group.submit()
    wait_until(lambda: worker.delayed_starts)
    host = group.agent_host()
    if change == "snapshot":
        state_machine = group.state_machine_by_host[host]
        state_machine.restore(state_machine.snapshot())
    else:
        group.change_leader("c2" if host == "c1" else "c1")
    worker.unanswered_calls = {"start", "stop"}
    wait_until(lambda: group.ledger.find_task(TASK).runs >= 2, 3.0)
    assert worker.apply_start(worker.delayed_starts[0]) is StartResult.FENCED


# Guards against runs that are started again while no line tells which decision released them.
@pytest.mark.parametrize("decided_by_agent", [True, False])
def test_the_leader_names_the_runs_that_the_end_of_an_incarnation_releases(
    group, decided_by_agent, monkeypatch
):
    lines = []
    monkeypatch.setattr(
        crash_log, "log_event", lambda event, **fields: lines.append((event, fields))
    )
    group.submit(step(3, lasting=True))
    wait_until(lambda: len(only_worker(group).running) == 3)
    record = group.ledger.worker_by_incarnation["w1", 1].record
    agent_id, token = record.agent_id, record.fencing_token
    tokens = [token] if decided_by_agent else None
    group.append_command(end_lives=EndLives([WorkerLife("w1", 1)], [], tokens))
    ((event, fields),) = lines
    assert event == "worker:life_ended"
    assert fields == {
        "worker": "w1", "born": 1, "decided_by": agent_id if decided_by_agent else "leader",
        "announced": False, "runs": 3, "line": 1, "not_named": 0,
        "released": [f"{JOB}.0.0.{index}:1" for index in range(3)],
    }  # fmt: skip


# Guards against a task that waits for good while one worker refuses each of its starts.
@pytest.mark.parametrize(
    "result", [StartResult.MALFORMED, StartResult.TOO_LATE, StartResult.STALE_RUN], ids=str
)
def test_a_task_starts_elsewhere_though_a_worker_refuses_it_again_and_again(result):
    with _group(["c0", "c1", "c2"], ["w1", "w2"]) as group:
        refusing = group.worker_by_id["w1"]
        refusing.start = lambda incarnation, request: (result, refusing.clock_ms())
        group.submit(step(1, lasting=True))
        wait_until(lambda: group.worker_by_id["w2"].running)


# Guards against a leader that ends some seconds after a start was found invalid: it used up no run
# number, so the next start of its task has the same one.
def test_a_leader_goes_on_after_a_start_was_invalid(monkeypatch):
    monkeypatch.setattr(refused_starts, "REMEMBERED_SECONDS", 0.5)
    is_valid, workers = TaskLedger._is_valid, set()

    def is_valid_elsewhere(self, intent, task):
        workers.add(intent.life.worker_id)
        return len(workers) > 1 and is_valid(self, intent, task)

    monkeypatch.setattr(TaskLedger, "_is_valid", is_valid_elsewhere)
    with _group(["c0", "c1", "c2"], ["w1", "w2"]) as group:
        group.submit(step(1, lasting=True))
        wait_until(lambda: any(worker.running for worker in group.worker_by_id.values()))
        eventlet.sleep(1.0)
        group.submit(step(1, lasting=True), job_id="00000000000000b2")
        wait_until(lambda: sum(len(w.running) for w in group.worker_by_id.values()) == 2)


# Guards against a task that waits for good while the starts planned for it turn out invalid.
def test_a_task_starts_elsewhere_though_its_starts_on_one_worker_are_invalid(monkeypatch):
    is_valid = TaskLedger._is_valid
    monkeypatch.setattr(
        TaskLedger,
        "_is_valid",
        lambda self, intent, task: intent.life.worker_id != "w1" and is_valid(self, intent, task),
    )
    with _group(["c0", "c1", "c2"], ["w1", "w2"]) as group:
        group.submit(step(1, lasting=True))
        wait_until(lambda: group.worker_by_id["w2"].running)


# Guards against a lost worker whose runs wait for its lease anew, since it is moved meanwhile.
def test_a_silent_worker_with_runs_is_moved_to_no_other_agent(large_group, monkeypatch):
    planned_with = []

    def record(workers, *arguments):
        planned_with.append({worker.key[0]: worker.may_move for worker in workers})
        return assignment.plan_assignments(workers, *arguments)

    monkeypatch.setattr(leader_term, "plan_assignments", record)
    large_group.submit(step(1, lasting=True))
    silent = large_group.worker_by_id["w1"]
    wait_until(lambda: silent.running)
    wait_until(lambda: planned_with[-1:] == [{"w1": True}])
    silent.unanswered_calls = {"poll", "start", "stop"}
    wait_until(lambda: planned_with[-1:] == [{"w1": False}])


def reassign(group, agent_ids, worker_id="w1"):
    """Commit assignments of a worker, each under a new token."""
    life = WorkerLife(worker_id, 1)
    for agent_id in agent_ids:
        assignments = AssignAgents([AgentAssignment(life, agent_id)], group.term._term)
        group.append_command(assign_agents=assignments)


def silence_a_working_worker(group):
    """Let a worker fall silent under a run, once its agent need not wait for earlier leases."""
    group.submit(step(1, lasting=True))
    silent = group.worker_by_id["w1"]
    wait_until(lambda: silent.running)
    eventlet.sleep(TAKEOVER_SECONDS)
    silent.unanswered_calls = {"poll", "start", "stop"}
    return group.ledger.find_task(TASK)


# Guards against runs of a lost worker that wait for its lease anew with each token that its agent
# gets, though no other host has been its agent.
def test_a_lost_worker_ends_with_its_lease_though_its_agent_gets_new_tokens(group):
    task = silence_a_working_worker(group)
    agent_id = group.agent_by_host[group.agent_host()].agent_id
    deadline = CLOCK.monotonic() + LEASE_MS / 1000 + 1.5
    while task.incarnation_by_run:
        assert CLOCK.monotonic() < deadline
        reassign(group, [agent_id])
        eventlet.sleep(0.3)


# Guards against a second run: the lease of an agent in between may go on.
@pytest.mark.parametrize("is_ended", [False, True], ids=["another agent", "an end"])
def test_a_new_token_after_another_agent_waits_for_the_longest_lease_anew(group, is_ended):
    task = silence_a_working_worker(group)
    host = group.agent_host()
    agent_id = group.agent_by_host[host].agent_id
    other = next(a.agent_id for h, a in group.agent_by_host.items() if h != host)
    eventlet.sleep(LEASE_MS / 2000)
    if is_ended:
        group.append_command(end_lives=EndLives([WorkerLife("w1", 1)], [], None))
        group.note_incarnation("w1", 1)
        assert record_intent(group.ledger, TASK, 2)
    reassign(group, [agent_id] if is_ended else [other, agent_id])
    eventlet.sleep(TAKEOVER_SECONDS - 0.5)
    assert not group.ledger.worker_by_incarnation["w1", 1].has_ended
    assert task.incarnation_by_run


# Guards against runs of a lost worker that wait for good: each new agent waits for a lease anew,
# and the hosts lag one after the other.
def test_a_silent_worker_is_lost_though_its_agents_lag_in_turn():
    with _group(["c0", "c1", "c2"]) as group:
        group.submit(step(1, lasting=True))
        wait_until(lambda: only_worker(group).running)
        only_worker(group).unanswered_calls = {"poll", "start", "stop"}
        agents = list(group.agent_by_host.values())
        slack_ms = agents[0].takeover_slack_ms
        until = CLOCK.monotonic() + 2 * (LEASE_MS + slack_ms) / 1000 + 1.0
        has_ended = False
        while CLOCK.monotonic() < until and not has_ended:
            laggard = agents[int(CLOCK.monotonic() / 0.7) % 3]
            for agent in agents:
                agent._mean_lag = 0.5 if agent is laggard else 0.0
            eventlet.sleep(0.01)
            has_ended = not group.ledger.find_task(f"{JOB}.0.0.0").incarnation_by_run
        assert has_ended
