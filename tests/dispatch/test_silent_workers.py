"""Jobs whose workers are lost, cut off or restarted together, over real agents and leaders."""

import eventlet
import pytest

from savoryshelf.dispatch import assignment
from savoryshelf.dispatch.agent import NoLeader
from savoryshelf.dispatch.worker_api import IncarnationReplaced, NotDelivered, WorkerUnresponsive
from savoryshelf.wire.generated.ttypes import NoteWorkers, RunOutcome

from ..tasks.builders import JOB, step, worker
from .fakes import FakeWorker, wait_until
from .group import LEASE_MS, FakeGroup

WORKER_IDS = [f"w{number}" for number in range(8)]
TASK = f"{JOB}.0.0.0"
CRASH_SECONDS = 0.01
DOWN_SECONDS = 0.2
WORK_SECONDS = 3.0
"""Time after which polls have shown that the workers outlived the starts."""

CUT_SECONDS = 4.0
"""Longer than a lease and all that is added to it."""


class MortalWorker(FakeWorker):
    """Crashes, starts again, and is cut off, when told to; its lease lapses when cut off."""

    def __init__(self, worker_id, group):
        super().__init__()
        self.worker_id, self.group = worker_id, group
        self.born_ms = 1
        self.sequence = 0
        self.is_down = self.is_cut = False

    def check(self, incarnation):
        if self.is_cut:
            raise WorkerUnresponsive("timed out")
        if self.is_down:
            raise NotDelivered("down")
        if incarnation.born_ms != self.born_ms:
            raise IncarnationReplaced("another incarnation")

    def start(self, incarnation, request):
        self.check(incarnation)
        answer = super().start(incarnation, request)
        self.group.started_on.append((request.task, request.run, self.worker_id))
        eventlet.spawn_after(CRASH_SECONDS, self.group.after_start, self)
        return answer

    def stop(self, incarnation, *arguments):
        self.check(incarnation)
        return super().stop(incarnation, *arguments)

    def poll(self, incarnation, *arguments):
        self.check(incarnation)
        result = super().poll(incarnation, *arguments)
        if self.is_cut or self.is_down or incarnation.born_ms != self.born_ms:
            raise WorkerUnresponsive("no answer")
        return result

    def crash(self, is_back=True, down_seconds=DOWN_SECONDS):
        """Crash; the next incarnation is there after a while, or never."""
        self.is_down = True
        self.running.clear()
        if is_back:
            eventlet.sleep(down_seconds)
            born_ms, is_cut = self.born_ms + 1, self.is_cut
            FakeWorker.__init__(self)
            self.born_ms, self.sequence, self.is_down, self.is_cut = born_ms, 0, False, is_cut
            self.group.born_by_id[self.worker_id] = born_ms
            self.send_heartbeat()

    def cut(self, seconds=CUT_SECONDS):
        """Be unreachable for a while, and run on until the lease is over."""
        self.is_cut = True
        eventlet.sleep(LEASE_MS / 1000)
        for task, run in list(self.running):
            self.end(task, run, RunOutcome.LAPSED)
        eventlet.sleep(seconds - LEASE_MS / 1000)
        self.is_cut = False
        self.send_heartbeat()

    def send_heartbeat(self):
        self.sequence += 1
        record = worker(self.worker_id, self.born_ms)
        record.sequence = self.sequence
        if self.group.leader and not self.is_cut:
            self.group.append_command(note_workers=NoteWorkers([record]))
            self.group.term.wake()


class MortalGroup(FakeGroup):
    def __init__(self):
        self.started_on = []
        self.after_start = lambda worker: None
        super().__init__(["c0", "c1", "c2"], WORKER_IDS)
        self.worker_by_id = {each: MortalWorker(each, self) for each in WORKER_IDS}

    def state(self, job_id=JOB):
        return self.ledger.job_by_id[job_id].state.value

    def finish(self):
        """End the runs that work as done, until all jobs have ended."""
        for each in self.worker_by_id.values():
            for task, run in list(each.running):
                each.end(task, run, RunOutcome.DONE)
        return all(job.is_ended for job in self.ledger.job_by_id.values())


@pytest.fixture
def group(on_virtual_time, monkeypatch):
    monkeypatch.setattr(assignment, "MAX_WORKERS_OF_LEADER", 0)
    started = MortalGroup()
    try:
        wait_until(lambda: all(started.agent_host(each) for each in WORKER_IDS))
        yield started
        assert started.failures == []
    finally:
        started.close()


# Guards against LOST: a worker that was cut off right after a start counted as crashed once its
# lease was over, and after one real crash the job failed for good.
@pytest.mark.parametrize("change", ["none", "leader", "leader_after_lease"])
def test_a_cut_after_a_crash_fails_no_job(group, change):
    acts = [MortalWorker.crash, MortalWorker.cut]
    group.after_start = lambda each: acts and acts.pop(0)(each)
    group.submit(step())
    wait_until(lambda: not acts)
    if change == "leader":
        group.change_leader("c1")
    eventlet.sleep(CUT_SECONDS - 0.5)
    if change == "leader_after_lease":
        group.change_leader("c1")
    assert group.state() != "failed"
    wait_until(group.finish, 20)
    assert group.state() == "completed"
    assert not group.ledger.held_task_by_name


# Guards against jobs that fail for restarts of all workers at once, from outside.
def test_restarts_of_all_workers_at_once_fail_no_job(group):
    for number in range(6):
        group.submit(step(2), job_id=f"{number:016x}")
    for _ in range(6):
        wait_until(lambda: sum(len(each.running) for each in group.worker_by_id.values()) == 12, 20)
        eventlet.sleep(WORK_SECONDS)
        for each in group.worker_by_id.values():
            eventlet.spawn_n(each.crash)
        eventlet.sleep(DOWN_SECONDS)
    wait_until(group.finish, 30)
    assert {group.state(job_id) for job_id in group.ledger.job_by_id} == {"completed"}


# Guards against jobs that fail for restarts of all workers at once: a report that waited for a
# leader told that a worker had been lost so much later, and alone.
def test_a_report_that_comes_late_tells_when_contact_was_lost(group):
    group.submit(step())
    wait_until(lambda: group.started_on)
    lost = group.worker_by_id[group.started_on[0][2]]
    agent = group.agent_by_host[group.agent_host(lost.worker_id)]
    told = []

    def lose_report(report):
        told.extend((agent.now(), ended.losses[0]) for ended in report.ended_lives)
        raise NoLeader("no leader")

    agent._report_to_leader = lose_report
    lost.crash()
    wait_until(lambda: len(told) > 3)
    (first_at, first), (last_at, last) = told[0], told[-1]
    passed_ms = 1000 * (last_at - first_at)
    assert passed_ms > 100
    assert last.heard_ms - first.heard_ms == pytest.approx(passed_ms, abs=1)
    assert last.unanswered_ms - first.unanswered_ms == pytest.approx(passed_ms, abs=1)


# Guards against BUDGET: no later incarnation ever tells that the worker has crashed.
def test_a_task_whose_workers_never_come_back_is_started_twice_after_three(group):
    group.after_start = lambda each: each.crash(is_back=False)
    group.submit(step())
    wait_until(lambda: TASK in group.ledger.held_task_by_name, 60)
    group.change_leader("c1")
    eventlet.sleep(20.0)
    assert len(group.started_on) == 5
    assert group.state() != "failed"


# Guards against LOST: a task was held for good whose workers come back after their leases, since
# nothing proved that they had crashed, and none of them could answer any more.
@pytest.mark.parametrize("lasting", [False, True])
@pytest.mark.parametrize("change", ["none", "leader", "snapshot"])
def test_a_task_whose_workers_come_back_after_their_leases_is_given_up(group, change, lasting):
    group.after_start = lambda each: each.crash(down_seconds=CUT_SECONDS)
    group.submit(step(lasting=lasting))
    wait_until(lambda: len(group.started_on) == 3, 60)
    if change == "leader":
        group.change_leader("c1")
    elif change == "snapshot":
        state_machine = group.state_machine_by_host["c1"]
        state_machine.restore(state_machine.snapshot())
        group.change_leader("c1")
    wait_until(lambda: group.state() == "failed", 60)
    assert len(group.started_on) == 5


# Guards against LOST: a heartbeat of a later incarnation, which anybody may have sent, is no
# evidence that the earlier one never answers again.
def test_a_heartbeat_of_a_later_incarnation_gives_up_no_task(group):
    group.after_start = lambda each: each.crash(is_back=False)
    group.submit(step())
    wait_until(lambda: TASK in group.ledger.held_task_by_name, 60)
    for worker_id in {worker_id for _, _, worker_id in group.started_on}:
        group.error_by_incarnation[worker_id, 2] = WorkerUnresponsive("no answer")
        group.note_incarnation(worker_id, 2)
    later = group.ledger.worker_by_incarnation[worker_id, 2]
    wait_until(lambda: group.term._fleet.is_silent(later))
    assert not later.has_ended
    eventlet.sleep(20.0)
    assert group.state() != "failed"
    assert not any(crash.is_replaced for crash in group.ledger.find_task(TASK).crashes)


# Guards against LOST: while one worker is away its crash may be withdrawn, and the task go on.
def test_a_task_one_of_whose_workers_never_comes_back_stays_held(group):
    acts = [lambda each: each.crash(is_back=False)]
    group.after_start = lambda each: (
        acts.pop()(each) if acts else each.crash(down_seconds=CUT_SECONDS)
    )
    group.submit(step())
    wait_until(lambda: TASK in group.ledger.held_task_by_name, 60)
    eventlet.sleep(20.0)
    assert sum(crash.is_replaced for crash in group.ledger.find_task(TASK).crashes) == 4
    assert group.state() != "failed"
    assert len(group.started_on) == 5


# Guards against BUDGET by a leader that is lost while a task waits to be given up.
@pytest.mark.parametrize("has_new_leader", [False, True])
def test_a_task_that_crashes_its_workers_is_given_up_a_while_after_the_second(
    group, has_new_leader
):
    group.after_start = lambda each: each.crash()
    group.submit(step())
    wait_until(lambda: TASK in group.ledger.held_task_by_name, 20)
    assert group.state() != "failed"
    if has_new_leader:
        group.change_leader("c1")
    wait_until(lambda: group.state() == "failed", 10)
    assert len(group.started_on) == 2


# Guards against BUDGET: a heartbeat that was sent before the crash came late, and undid its count.
def test_a_heartbeat_withdraws_no_crash_before_the_worker_has_answered(group):
    acts = [MortalWorker.cut]
    group.after_start = lambda each: acts and acts.pop()(each)
    group.submit(step())
    wait_until(lambda: group.ledger.find_task(TASK).crashes)
    worker_id, born_ms = group.ledger.find_task(TASK).crashes[0].incarnation
    record = worker(worker_id, born_ms)
    record.sequence = group.worker_by_id[worker_id].sequence = 7
    group.append_command(note_workers=NoteWorkers([record]))
    group.term.wake()
    eventlet.sleep(0.5)
    assert group.worker_by_id[worker_id].is_cut
    assert group.ledger.find_task(TASK).crashes
    wait_until(lambda: not group.ledger.find_task(TASK).crashes, 20)
