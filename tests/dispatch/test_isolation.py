"""Placement of tasks that may have crashed a worker."""

import math

import pytest

from savoryshelf.dispatch.health import FleetHealth
from savoryshelf.dispatch.interference import InterferenceModel
from savoryshelf.dispatch.isolation import (
    ISOLATION_SECONDS,
    MAX_CHOICES_PER_PASS,
    MAX_SHARED_WAIT_SECONDS,
    MAX_WAIT_SECONDS,
    QUIET_SECONDS,
)
from savoryshelf.dispatch.placement import Placement, WorkerView
from savoryshelf.dispatch.throttling import MAX_PAUSE_SECONDS
from savoryshelf.tasks.crashes import withdraw_crash
from savoryshelf.wire.generated.ttypes import RunAge, RunOutcome, WorkerLife

from ..tasks.builders import JOB, accept, ledger, record_intent, settle_run, step, worker

SUSPECTS = [f"{JOB}.0.0.{index}" for index in range(3)]
OTHER_JOB = "00000000000000b2"
BATCH = {"filling": True, "image": "batch", "memory_mb": 20}

MAX_IDLE_SECONDS = 3.0
"""RULES.md, LOST: for how long a submission with work that could run may have nothing running."""

PASS_SECONDS = 0.1
LEASE_SECONDS = 7.0


class Leader:
    """Plans starts on eight workers and records them; ``now`` moves only as the tests say."""

    def __init__(self):
        self.ledger = ledger(*(worker(f"w{number}") for number in range(8)))
        self.now = 100.0
        self.silent = set()
        """The ids of workers that do not answer."""

        self.idle_seconds_by_run = {}
        self.excluded_images = frozenset()
        self.change()

    def change(self):
        """Begin a term of another leader, which knows the ledger alone."""
        self.placement = Placement(InterferenceModel())

    def plan(self):
        """Return the worker of each task that is started now."""
        self.ledger.at_ms = int(self.now * 1000)
        views = [
            WorkerView(
                w, w.key[0] not in self.silent, {}, excluded_images=self.excluded_images,
                idle_seconds_by_run=self.idle_seconds_by_run,
            )
            for w in self.ledger.worker_by_incarnation.values()
            if not w.has_ended
        ]  # fmt: skip
        intents = self.placement.plan(
            self.ledger, views, int(self.now * 1000), FleetHealth(), self.now
        )
        self.ledger.record_intents(intents)
        return {intent.task: intent.life.worker_id for intent in intents}

    def note_starts_everywhere(self):
        """Let all workers have started something just now."""
        for key in self.ledger.worker_by_incarnation:
            self.placement._isolation._started_at_by_worker[key] = self.now

    def crash(self, worker_id, *tasks):
        """Crash a worker on the start of these tasks."""
        for task in tasks:
            assert record_intent(self.ledger, task, 1, (worker_id, 1))
        worked = [RunAge(task, 1, 0) for task in tasks]
        self.end(worker_id, worked)

    def end(self, worker_id, worked=()):
        """Let a worker have crashed."""
        self.ledger.at_ms = int(self.now * 1000)
        self.ledger.end_incarnations([WorkerLife(worker_id, 1)], [], None, True, list(worked))
        self.ledger.upsert_worker(worker(worker_id, 2))

    def pause(self, task, seconds):
        """Let the only run of a task be paused, and evicted after some seconds."""
        ((run, key),) = self.ledger.find_task(task).incarnation_by_run.items()
        paused_at = self.now
        while self.now < paused_at + seconds:
            self.idle_seconds_by_run = {(task, run): self.now - paused_at}
            self.plan()
            self.now += PASS_SECONDS
        self.idle_seconds_by_run = {}
        settle_run(self.ledger, task, RunOutcome.STOPPED, run, key)

    def seconds_until_started(self, task, change_seconds=math.inf):
        """Plan until a task has a run; return after how long, with a new leader each so often."""
        began_at = changed_at = self.now
        while not self.ledger.find_task(task).incarnation_by_run:
            assert self.now < began_at + 20.0, "it is never started"
            if self.now >= changed_at + change_seconds:
                self.change()
                changed_at = self.now
            self.plan()
            self.now += PASS_SECONDS
        return self.now - began_at


@pytest.fixture
def leader():
    started = Leader()
    accept(started.ledger, step(3))
    return started


def test_suspects_are_started_one_at_a_time_each_on_a_worker_of_its_own(leader):
    leader.crash("w0", *SUSPECTS)
    # A quarter of the eight workers may be kept for suspects.
    first = leader.plan()
    assert len(first) == len(set(first.values())) == 2
    leader.now += ISOLATION_SECONDS
    second = leader.plan()
    assert {*first, *second} == set(SUSPECTS)


def test_a_suspect_is_not_started_where_a_worker_has_crashed_of_late(leader):
    leader.crash("w0", SUSPECTS[0])
    assert leader.plan()[SUSPECTS[0]] != "w0"


def test_nothing_else_is_started_beside_a_suspect_until_it_has_worked_for_a_while(leader):
    leader.crash("w0", SUSPECTS[0])
    place = leader.plan()[SUSPECTS[0]]
    accept(leader.ledger, step(40, millicores=100, memory_mb=10), job_id=OTHER_JOB)
    assert place not in leader.plan().values()
    accept(leader.ledger, step(40, millicores=100, memory_mb=10), job_id="00000000000000c3")
    leader.now += ISOLATION_SECONDS
    assert place in leader.plan().values()


def test_a_suspect_is_not_started_right_after_another_start(leader):
    """The worker that is kept for it gets no other start meanwhile."""
    leader.crash("w0", SUSPECTS[0])
    leader.note_starts_everywhere()
    assert SUSPECTS[0] not in leader.plan()
    leader.now += QUIET_SECONDS / 2
    accept(leader.ledger, step(60, millicores=100, memory_mb=10), job_id=OTHER_JOB)
    others = leader.plan()
    assert len(set(others.values())) == 7
    leader.now += QUIET_SECONDS / 2
    assert leader.plan()[SUSPECTS[0]] not in others.values()


def test_a_suspect_waits_only_for_so_long(leader):
    """Guards against LOST: with all workers starting something, it would wait for ever."""
    leader.crash("w0", SUSPECTS[0])
    waiting_since = leader.now
    while not leader.ledger.find_task(SUSPECTS[0]).incarnation_by_run:
        leader.note_starts_everywhere()
        leader.plan()
        leader.now += 0.1
        assert leader.now - waiting_since <= MAX_WAIT_SECONDS + 0.3


def test_more_workers_are_kept_for_suspects_that_have_waited(leader):
    leader.crash("w0", *SUSPECTS)
    leader.note_starts_everywhere()
    leader.plan()
    leader.now += MAX_SHARED_WAIT_SECONDS
    started = leader.plan()
    assert len(set(started.values())) == len(SUSPECTS)


def test_a_pass_with_many_suspects_scores_workers_for_a_bounded_number(monkeypatch):
    """Guards against a leader that plans for half a second after crashes that explain little."""
    leader = Leader()
    for number in range(8, 200):
        leader.ledger.upsert_worker(worker(f"w{number}"))
    accept(leader.ledger, step(300, millicores=10, memory_mb=1))
    tasks = [f"{JOB}.0.0.{index}" for index in range(300)]
    leader.crash("w0", *tasks)
    scored = []
    score = Placement.score
    monkeypatch.setattr(
        Placement, "score", lambda *arguments: scored.append(1) or score(*arguments)
    )
    started = leader.plan()
    assert len(started) == MAX_CHOICES_PER_PASS
    assert len(scored) < (MAX_CHOICES_PER_PASS + 1) * 200
    while leader.now < 100.0 + MAX_WAIT_SECONDS + 0.1:
        leader.now += 0.05
        started |= leader.plan()
    assert started.keys() == set(tasks)


# ------------------------------------------------------- waits that add up, or begin anew


def start_suspect(leader, **fields):
    """Let a task that has crashed a worker work on one of its own for a while."""
    accept(leader.ledger, step(**(BATCH | fields)), job_id=OTHER_JOB)
    task = f"{OTHER_JOB}.0.0.0"
    leader.crash("w0", task)
    assert task in leader.plan()
    leader.now += ISOLATION_SECONDS
    leader.plan()
    return task


each_duration = pytest.mark.parametrize("lasting", [False, True], ids=["finite", "lasting"])


# Guards against LOST: a run that is paused, and a whole wait for a worker of its own after it.
@each_duration
@pytest.mark.parametrize("has_new_leader", [False, True], ids=["one leader", "new leader"])
def test_a_pause_counts_towards_the_wait_of_a_suspect_for_a_worker_of_its_own(
    lasting, has_new_leader
):
    leader = Leader()
    task = start_suspect(leader, lasting=lasting)
    # It would be evicted again at once on each worker.
    leader.excluded_images = frozenset({"batch"})
    leader.now += 5.0
    leader.pause(task, MAX_PAUSE_SECONDS)
    if has_new_leader:
        leader.change()
    seconds = MAX_PAUSE_SECONDS + leader.seconds_until_started(task)
    assert seconds < MAX_IDLE_SECONDS


# Guards against LOST: a wait for a worker of its own that each new leader begins anew.
@each_duration
def test_a_suspect_starts_though_the_leader_changes_each_second(lasting):
    leader = Leader()
    accept(leader.ledger, step(lasting=lasting, **BATCH), job_id=OTHER_JOB)
    leader.excluded_images = frozenset({"batch"})
    leader.crash("w0", f"{OTHER_JOB}.0.0.0")
    assert leader.seconds_until_started(f"{OTHER_JOB}.0.0.0", 1.0) < MAX_IDLE_SECONDS


# Guards against suspects that are never apart: the wait for the lease of the worker that was lost
# with them is longer than any of theirs.
@each_duration
def test_the_wait_for_a_lease_is_no_wait_for_a_worker_of_its_own(lasting):
    leader = Leader()
    accept(leader.ledger, step(lasting=lasting), job_id=OTHER_JOB)
    task = f"{OTHER_JOB}.0.0.0"
    (lost,) = leader.plan().values()
    leader.silent = {lost}
    for _ in range(int(LEASE_SECONDS / PASS_SECONDS)):
        leader.now += PASS_SECONDS
        leader.plan()
    leader.end(lost)
    leader.silent.clear()
    ended_at = leader.now
    while leader.now < ended_at + MAX_WAIT_SECONDS - PASS_SECONDS:
        leader.note_starts_everywhere()
        assert not leader.plan()
        leader.now += PASS_SECONDS
    # And no longer.
    leader.now += 2 * PASS_SECONDS
    leader.note_starts_everywhere()
    assert task in leader.plan()


# Guards against a suspect that is taken for one of a new crash each time it waits.
def test_a_crash_that_was_withdrawn_begins_no_new_wait():
    leader = Leader()
    task = start_suspect(leader)
    leader.now += 5.0
    (key,) = leader.ledger.find_task(task).incarnation_by_run.values()
    leader.end(key[0])
    leader.plan()
    leader.now += 5.0
    withdraw_crash(leader.ledger.find_task(task), key)
    leader.plan()
    leader.excluded_images = frozenset({"batch"})
    leader.pause(task, MAX_PAUSE_SECONDS)
    assert MAX_PAUSE_SECONDS + leader.seconds_until_started(task) < MAX_IDLE_SECONDS
