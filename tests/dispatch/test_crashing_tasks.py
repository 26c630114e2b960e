"""Tasks that crash the workers that start them, beside others, over real agents and leaders."""

from collections import Counter

import eventlet
import pytest

from savoryshelf.dispatch import assignment
from savoryshelf.dispatch.worker_api import IncarnationReplaced, NotDelivered, WorkerUnresponsive
from savoryshelf.tasks.names import parse_task_name
from savoryshelf.wire.generated.ttypes import NoteWorkers, RunOutcome

from ..tasks.builders import step, worker
from . import group as group_module
from .fakes import FakeWorker, wait_until
from .group import FakeGroup

WORKER_IDS = [f"w{number}" for number in range(12)]
CRASH_SECONDS = 0.01
RESTART_SECONDS = 0.5
RUN_SECONDS = 0.15
LONG_LEASE_MS = 6000
"""Longer than a poll and a restart, so that a run has not lapsed when its worker crashes."""


def job_id(number):
    return f"{number:016x}"


def starts_after_three_crashes(worker_ids):
    """Return how often a task was started after three workers had crashed under it."""
    crashed = set()
    for position, worker_id in enumerate(worker_ids):
        if len(crashed) == 3:
            return len(worker_ids) - position
        crashed.add(worker_id)
    return 0


class CrashingWorker(FakeWorker):
    """Ends runs by itself, and crashes on some; it is back after a while, and knows nothing."""

    def __init__(self, worker_id, group):
        super().__init__()
        self.worker_id = worker_id
        self.group = group
        self.born_ms = 1
        self.is_down = False

    def check(self, incarnation=None):
        if self.is_down:
            raise NotDelivered("down")
        if incarnation is not None and incarnation.born_ms != self.born_ms:
            raise IncarnationReplaced("another incarnation")

    def start(self, incarnation, request):
        self.check()
        answer = super().start(incarnation, request)
        delay_by_job = self.group.crash_seconds_by_job
        job = parse_task_name(request.task).job_id
        self.group.worker_ids_by_task.setdefault(request.task, []).append(self.worker_id)
        if job in delay_by_job and request.task.endswith(".0"):
            eventlet.spawn_after(delay_by_job[job], self.crash, self.born_ms)
        else:
            eventlet.spawn_after(RUN_SECONDS, self.finish, request.task, request.run, self.born_ms)
        return answer

    def finish(self, task, run, born_ms):
        if born_ms == self.born_ms and (task, run) in self.running:
            self.end(task, run, RunOutcome.DONE)

    def crash(self, born_ms):
        if born_ms != self.born_ms or self.is_down:
            return
        self.group.lost_runs += list(self.running)
        self.is_down = True
        eventlet.sleep(RESTART_SECONDS)
        FakeWorker.__init__(self)
        self.is_down, self.born_ms = False, self.born_ms + 1
        self.group.born_by_id[self.worker_id] = self.born_ms
        if self.group.leader:
            record = worker(self.worker_id, self.born_ms)
            self.group.append_command(note_workers=NoteWorkers([record]))
            self.group.term.wake()

    def poll(self, incarnation, *arguments):
        self.check(incarnation)
        result = super().poll(incarnation, *arguments)
        if self.is_down or incarnation.born_ms != self.born_ms:
            raise WorkerUnresponsive("the connection was closed")
        return result

    def stop(self, incarnation, *arguments):
        self.check(incarnation)
        return super().stop(incarnation, *arguments)


class CrashingGroup(FakeGroup):
    def __init__(self):
        self.crash_seconds_by_job = {}
        self.worker_ids_by_task = {}
        self.lost_runs = []
        super().__init__(["c0", "c1", "c2"], WORKER_IDS)
        self.worker_by_id = {each: CrashingWorker(each, self) for each in WORKER_IDS}

    def states(self):
        return {job_id: job.state.value for job_id, job in self.ledger.job_by_id.items()}


@pytest.fixture
def long_leases(monkeypatch):
    monkeypatch.setattr(group_module, "LEASE_MS", LONG_LEASE_MS)


@pytest.fixture
def group(on_virtual_time, monkeypatch):
    monkeypatch.setattr(assignment, "MAX_WORKERS_OF_LEADER", 0)
    started = CrashingGroup()
    try:
        wait_until(lambda: all(started.agent_host(worker_id) for worker_id in WORKER_IDS))
        yield started
        assert started.failures == []
    finally:
        started.close()


def test_tasks_that_crash_their_workers_are_given_up_and_others_complete(group):
    """Guards against BUDGET: a task was started without end, and crashed worker after worker."""
    deadly = {job_id(number) for number in range(0, 60, 12)}
    group.crash_seconds_by_job = dict.fromkeys(deadly, CRASH_SECONDS)
    for number in range(60):
        group.submit(step(4), job_id=job_id(number))
        eventlet.sleep(0.05)
        if number == 30:
            group.change_leader("c1")
    wait_until(lambda: all(s in ("completed", "failed") for s in group.states().values()), 20)
    assert {job for job, state in group.states().items() if state == "failed"} == deadly
    for job in deadly:
        assert starts_after_three_crashes(group.worker_ids_by_task[f"{job}.0.0.0"]) <= 2
    assert {task[:16] for task, _ in group.lost_runs} >= deadly
    losses_by_task = Counter(task for task, _ in group.lost_runs)
    assert all(n <= 2 for task, n in losses_by_task.items() if task[:16] not in deadly)


@pytest.mark.usefixtures("long_leases")
def test_a_task_that_crashes_its_workers_while_it_works_is_given_up(group):
    """Guards against BUDGET, by tasks that the worker outlives for a while."""
    group.crash_seconds_by_job = {job_id(1): 0.6}
    group.submit(step(), job_id=job_id(1))
    wait_until(lambda: group.states()[job_id(1)] == "failed", 20)
    assert starts_after_three_crashes(group.worker_ids_by_task[f"{job_id(1)}.0.0.0"]) <= 2
