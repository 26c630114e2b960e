"""Lines on startable work that waits too long: what they name, and how many there are."""

import eventlet
import pytest

from savoryshelf.dispatch import waiting_log
from savoryshelf.dispatch.agent_fleet import AgentFleet
from savoryshelf.dispatch.health import FleetHealth
from savoryshelf.dispatch.interference import InterferenceModel
from savoryshelf.dispatch.placement import Placement
from savoryshelf.dispatch.waiting import MAX_DEFERRAL_SECONDS
from savoryshelf.dispatch.waiting_log import (
    INVALID,
    LOOK_SECONDS,
    MAX_LINES,
    SETTLED,
    WaitingLog,
)
from savoryshelf.dispatch.worker_api import StartResult
from savoryshelf.observability import metrics
from savoryshelf.tasks.worker import incarnation_key
from savoryshelf.wire.generated.ttypes import (
    AgentReport,
    RunIntent,
    RunOutcome,
    WorkerLife,
    WorkerState,
)

from ..tasks.builders import JOB, accept, ledger, record_intent, settle_run, step, worker
from .fakes import CLOCK, wait_until
from .group import FakeGroup

AGENT = "c1.disk/1"
PASS_SECONDS = 0.25
LASTING = {"lasting": True}
TOO_LARGE = {"millicores": 99_000}


class Term:
    """A leader's passes over a ledger with two workers, all of whose starts are refused."""

    def __init__(self):
        self.ledger = ledger(worker("w1"), worker("w2"))
        self.placement, self.health = Placement(InterferenceModel()), FleetHealth()
        self.fleet, self.now, self.reports = AgentFleet(), 100.0, 0
        self.log = WaitingLog(self.placement, self.fleet, self.health)
        for tracked in self.ledger.worker_by_incarnation.values():
            tracked.record.agent_id, tracked.record.fencing_token = AGENT, 1

    def report(self):
        """Report that both workers answer."""
        self.reports += 1
        states = [
            WorkerState(WorkerLife(*key), 1, True, {}, {}, False)
            for key in self.ledger.worker_by_incarnation
        ]
        self.fleet.record_report(
            AgentReport(
                agent_id=AGENT, number=self.reports, is_full=True, leaving=False,
                applied_index=0, timer_lag_seconds=0.0, states=states, settlements=[],
                ended_lives=[], rejections=[], weights=[], region="",
            ),
            self.now,
        )  # fmt: skip

    def run(self, seconds, pass_seconds=PASS_SECONDS):
        """Plan passes and look after each; all that is planned is refused before the next."""
        until = self.now + seconds
        while self.now < until:
            self.report()
            views = self.fleet.views(self.ledger.worker_by_incarnation.values(), self.now)
            intents = self.placement.plan(
                self.ledger, views, int(1000 * self.now), self.health, self.now
            )
            assert self.ledger.record_intents(intents) == intents
            self.log.look(self.ledger, int(1000 * self.now), self.now)
            for intent in intents:
                key = incarnation_key(intent.life)
                task = self.ledger.find_task(intent.task)
                self.log.record_never_ran(task, intent.run, key, SETTLED, self.now)
                settle_run(self.ledger, intent.task, RunOutcome.NEVER_RAN, intent.run, key)
            self.now += pass_seconds


@pytest.fixture
def lines(monkeypatch):
    logged = []
    monkeypatch.setattr(
        waiting_log, "log_event", lambda event, **fields: logged.append((event, fields))
    )
    return logged


def last_line(lines):
    event, fields = lines[-1]
    assert event == "task:waits"
    return fields


# Guards against startable work that waits for longer than a deferral without a line.
@pytest.mark.parametrize("fields", [{}, LASTING])
def test_work_without_a_worker_is_named_with_what_leaves_the_workers_out(lines, fields):
    term = Term()
    term.ledger.worker_by_incarnation["w2", 1].record.draining = True
    accept(term.ledger, step(3, memory_mb=5000, required_label="a", max_per_worker=2, **fields))
    term.run(MAX_DEFERRAL_SECONDS)
    assert lines == []
    term.run(LOOK_SECONDS)
    line = last_line(lines)
    assert (line["task"], line["job"], line["service"]) == (f"{JOB}.0.0.0", JOB, "dispatch")
    assert MAX_DEFERRAL_SECONDS <= line["seconds"] <= MAX_DEFERRAL_SECONDS + LOOK_SECONDS
    assert line["since_ms"] == 100_000
    needs = ("millicores", "memory_mb", "accelerators", "label", "max_per_worker")
    assert [line[name] for name in needs] == [1000, 5000, 0, "a", 2]
    assert (line["waiting"], line["tasks"]) == (3, 3)
    assert (line["workers"], line["left_out"]) == (2, {"no_room": 1, "draining": 1})
    free = line["free"]
    assert (free["most_memory_mb"], free["fits_without_finite_runs"]) == (1000, 0)
    assert (line["accepts"], line["never_ran"], line["further_steps"]) == (0, 0, 0)


# Guards against lines whose number grows with the work that waits.
def test_a_look_names_few_steps_the_longest_wait_first_and_says_how_many_it_leaves_out(lines):
    term = Term()
    jobs = [f"00000000000000{number:02x}" for number in range(1, MAX_LINES + 4)]
    for job_id in reversed(jobs):
        accept(term.ledger, step(40, **TOO_LARGE, **LASTING), job_id=job_id)
        term.run(PASS_SECONDS)
    term.run(MAX_DEFERRAL_SECONDS)
    lines.clear()
    term.run(4 * LOOK_SECONDS, pass_seconds=0.05)
    looks = [lines[first : first + MAX_LINES] for first in range(0, len(lines), MAX_LINES)]
    assert len(looks) <= 5
    for look in looks:
        named = [fields["job"] for _, fields in look]
        assert named == jobs[::-1][:MAX_LINES]
        assert [fields["further_steps"] for _, fields in look] == [3] * MAX_LINES


def test_steps_of_which_something_may_be_running_are_named_last(lines):
    term = Term()
    accept(term.ledger, step(2, **TOO_LARGE))
    assert record_intent(term.ledger, f"{JOB}.0.0.1")
    term.run(1.0)
    accept(term.ledger, step(**TOO_LARGE), job_id="00000000000000b2")
    term.run(MAX_DEFERRAL_SECONDS + LOOK_SECONDS)
    at_work = [fields["at_work"] for _, fields in lines[-2:]]
    assert at_work == [False, True]


# Guards against starts that are planned and refused again and again without a line: each of them
# made the wait count anew.
@pytest.mark.parametrize("fields", [{}, LASTING, {"gang": True}])
def test_work_whose_planned_starts_never_become_runs_shows_them(lines, fields):
    term = Term()
    accept(term.ledger, step(2, **fields))
    term.run(MAX_DEFERRAL_SECONDS + 2 * LOOK_SECONDS)
    line = last_line(lines)
    assert line["seconds"] >= MAX_DEFERRAL_SECONDS
    passes = line["seconds"] / PASS_SECONDS
    assert passes - 1 <= line["never_ran"] <= passes + 1
    assert line["never_ran_in_step"] == 2 * line["never_ran"]
    assert line["newest_never_ran_on"] in ("w1", "w2")
    assert line["newest_never_ran"] == SETTLED
    assert 0 <= line["newest_never_ran_seconds_ago"] <= PASS_SECONDS
    assert line["since_ms"] == 100_000


def test_a_wait_counts_from_before_the_start_that_never_became_a_run(lines):
    term = Term()
    accept(term.ledger, step(memory_mb=5000, **LASTING))
    term.run(5.0)
    for key in term.ledger.worker_by_incarnation:
        term.ledger.worker_by_incarnation[key].record.memory_mb = 9000
    term.run(LOOK_SECONDS + PASS_SECONDS)
    assert last_line(lines)["since_ms"] == 100_000
    assert last_line(lines)["never_ran"] > 0


def test_a_wait_counts_anew_after_a_run_that_may_have_come_to_be(lines):
    term = Term()
    accept(term.ledger, step(**LASTING))
    term.run(3.0)
    term.log.record_ended(term.ledger.find_task(f"{JOB}.0.0.0"))
    lines.clear()
    term.run(MAX_DEFERRAL_SECONDS - LOOK_SECONDS)
    assert lines == []
    term.run(2 * LOOK_SECONDS)
    assert last_line(lines)["seconds"] < MAX_DEFERRAL_SECONDS + 2 * LOOK_SECONDS


def test_a_start_that_is_settled_twice_counts_once_and_each_invalid_one_counts(lines):
    term = Term()
    accept(term.ledger, step(**TOO_LARGE))
    task = term.ledger.find_task(f"{JOB}.0.0.0")
    for how in (SETTLED, SETTLED, INVALID, INVALID):
        term.log.record_never_ran(task, 1, ("w2", 1), how, term.now)
    term.run(MAX_DEFERRAL_SECONDS + LOOK_SECONDS)
    line = last_line(lines)
    assert (line["never_ran"], line["newest_never_ran"]) == (3, INVALID)


def test_work_that_is_not_due_or_has_ended_has_no_line(lines):
    term = Term()
    accept(term.ledger, step(), repetitions=1, first_run_ms=10**12)
    accept(term.ledger, step(), job_id="00000000000000b2")
    term.run(1.0)
    term.ledger.cancel("00000000000000b2")
    term.run(MAX_DEFERRAL_SECONDS + LOOK_SECONDS)
    assert lines == []


def test_what_is_remembered_goes_with_the_work():
    term = Term()
    accept(term.ledger, step(5, **LASTING))
    term.run(1.0)
    assert term.log._never_ran_by_task and term.log._wait_by_key
    term.ledger.cancel(JOB)
    term.run(waiting_log.KEPT_SECONDS + 2.0)
    assert not term.log._never_ran_by_task and not term.log._wait_by_key


def test_overdue_steps_and_workers_left_out_are_counted_on_the_metrics_page(lines):
    term = Term()
    left_out = metrics.LEFT_OUT_WORKERS.labels("no_room")
    before = left_out._value.get()
    accept(term.ledger, step(**TOO_LARGE))
    accept(term.ledger, step(**TOO_LARGE), job_id="00000000000000b2")
    term.run(MAX_DEFERRAL_SECONDS + LOOK_SECONDS)
    assert left_out._value.get() - before == 2 * len(lines)
    assert b"savoryshelf_overdue_steps 2.0" in metrics.render_metrics()
    assert b'savoryshelf_left_out_workers_total{reason="no_room"}' in metrics.render_metrics()
    term.ledger.cancel(JOB)
    term.ledger.cancel("00000000000000b2")
    term.run(LOOK_SECONDS + PASS_SECONDS)
    assert b"savoryshelf_overdue_steps 0.0" in metrics.render_metrics()


@pytest.fixture
def group(on_virtual_time):
    started = FakeGroup(["c0"], ["w1", "w2"])
    try:
        wait_until(lambda: started.agent_host("w1") and started.agent_host("w2"))
        yield started
        assert started.failures == []
    finally:
        started.close()


# Guards against a task of which each start is refused without a line from the real leader.
def test_a_leader_names_a_task_whose_starts_are_refused_again_and_again(lines, group):
    for fake in group.worker_by_id.values():
        fake.apply_start = lambda request: StartResult.MALFORMED
    group.submit(step(**LASTING))
    wait_until(lambda: any(event == "task:waits" for event, _ in lines), 6.0)
    line = last_line(lines)
    assert line["task"] == f"{JOB}.0.0.0"
    assert line["never_ran"] > 1
    assert line["newest_never_ran_on"] in ("w1", "w2")
    assert line["workers"] == 2


# Guards against a wait that counts on over a run, which hides what the task waits for since then.
@pytest.mark.parametrize("end", ["fails", "is lost"])
def test_for_a_leader_a_wait_begins_anew_once_a_run_has_ended(lines, group, end):
    def refuse(request):
        return StartResult.MALFORMED

    for fake in group.worker_by_id.values():
        fake.apply_start = refuse
    group.submit(step(**LASTING))
    wait_until(lambda: lines, 6.0)
    for fake in group.worker_by_id.values():
        del fake.apply_start
    wait_until(lambda: any(fake.running for fake in group.worker_by_id.values()))
    ran_from = CLOCK.monotonic()
    name, running = next((n, fake) for n, fake in group.worker_by_id.items() if fake.running)
    for fake in group.worker_by_id.values():
        fake.apply_start = refuse
    if end == "fails":
        running.end(*next(iter(running.running)), RunOutcome.FAILED)
    else:
        group.restart_worker(name, 2)
        group.note_incarnation(name, 2)
        group.worker_by_id[name].apply_start = refuse
    lines.clear()
    wait_until(lambda: lines, 8.0)
    assert last_line(lines)["seconds"] < CLOCK.monotonic() - ran_from


def test_a_leader_counts_planned_starts_that_were_invalid_when_committed(lines, group):
    term = group.term
    real_plan = term._placement.plan

    def plan(*args):
        for intent in real_plan(*args):
            yield RunIntent(intent.task, intent.run, WorkerLife(intent.life.worker_id, 99))

    term._placement.plan = lambda *args: list(plan(*args))
    group.submit(step(**LASTING))
    wait_until(lambda: any(event == "task:waits" for event, _ in lines), 6.0)
    line = last_line(lines)
    assert line["never_ran"] > 1
    assert line["newest_never_ran"] == INVALID


# Guards against a leader that stops placing since a log line can't be written.
def test_an_error_in_the_log_of_waits_ends_no_term(group, monkeypatch):
    calls = []

    def fail(*args):
        calls.append(args)
        raise ValueError("an error")

    monkeypatch.setattr(WaitingLog, "look", fail)
    eventlet.sleep(0.6)
    assert len(calls) > 1
    assert not group.term._has_ended
