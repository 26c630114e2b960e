"""Counts of crashes on two replicas, one of which restarts from snapshots at any time."""

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from savoryshelf.tasks.crashes import SURVIVAL_MS
from savoryshelf.tasks.state_machine import TaskStateMachine
from savoryshelf.wire import codec
from savoryshelf.wire.generated.ttypes import (
    AcceptTasks,
    AgentAssignment,
    AssignAgents,
    ContactLoss,
    EndEvidence,
    EndLives,
    GiveUpTasks,
    IntendRuns,
    JobSpec,
    NoteWorkers,
    ReplacedLives,
    RunAge,
    RunEnd,
    RunIntent,
    RunOutcome,
    SettleRuns,
    TaskCommand,
    TaskCommandBody,
    WithdrawCrashes,
    WorkerLife,
)

from .builders import HOST, manifest, step, worker

WORKER_IDS = [f"w{number}" for number in range(6)]
DEADLY, DEADLY_GANG, INNOCENT, INNOCENT_GANG = (f"{number:016x}" for number in range(4))
JOBS = {
    DEADLY: step(2),
    DEADLY_GANG: step(2, gang=True),
    INNOCENT: step(3, allow_duplicates=True),
    INNOCENT_GANG: step(2, gang=True),
}
CRASHING_TASKS = {f"{DEADLY}.0.0.0", f"{DEADLY_GANG}.0.0.1"}
BETWEEN_EVENTS_MS = 10_000


@attrs.define
class _History:
    """What has happened to a task or a gang, as the workers saw it."""

    worker_ids: set = attrs.field(factory=set)
    """Workers that have crashed under a run that they had started."""

    crashes_by_itself: int = 0
    """How many of these crashes did not come together with those of all workers."""

    on_start: int = 0
    """How many came before the worker was known to have outlived the start."""

    starts_after_three: int = 0


class Crashes(RuleBasedStateMachine):
    """Some tasks crash each worker that starts them; workers crash without cause as well."""

    def __init__(self):
        super().__init__()
        self.replicas = [TaskStateMachine(), TaskStateMachine()]
        self.now_ms = 1
        self.cut_worker_ids = set()
        """Workers that go on, though their incarnation was recorded as ended for its silence."""

        self.gone_worker_ids = set()
        """Workers that have crashed and never come back, which nobody can tell from these."""

        self.histories_by_cut_worker = {}
        """What the runs belong to that worked on workers when these were cut off."""

        self.born_ms_by_worker = dict.fromkeys(WORKER_IDS, 1)
        self.history_by_unit = {}
        self.apply(put_manifest=manifest())
        self.apply(note_workers=NoteWorkers([worker(each) for each in WORKER_IDS]))
        for job_id, spec in JOBS.items():
            command = AcceptTasks(job_id, HOST, "/quotes/" + job_id, JobSpec("", [spec], 0, 0, 0))
            self.apply(accept_tasks=command)

    @property
    def ledger(self):
        return self.replicas[0].ledger

    def apply(self, **body):
        payload = codec.encode(TaskCommand(self.now_ms, TaskCommandBody(**body)))
        return [replica.apply(payload) for replica in self.replicas][0]

    def history(self, task):
        job_id = task.step.job.job_id
        unit = job_id if task.step.spec.gang else task.name
        return self.history_by_unit.setdefault(unit, _History())

    def life(self, worker_id):
        return WorkerLife(worker_id, self.born_ms_by_worker[worker_id])

    def worker(self, worker_id):
        return self.ledger.worker_by_incarnation[worker_id, self.born_ms_by_worker[worker_id]]

    @rule(
        data=st.data(), job_id=st.sampled_from(sorted(JOBS)), answered=st.booleans(),
        is_back=st.booleans(),
    )  # fmt: skip
    def start(self, data, job_id, answered, is_back):
        """Start a task, or a gang; a task that crashes its worker does so before it has worked.

        The worker is back at once, or never.
        """
        tasks = list(self.ledger.job_by_id[job_id].tasks())
        if not JOBS[job_id].gang:
            tasks = [data.draw(st.sampled_from(tasks))]
        elif any(task.incarnation_by_run for task in tasks):
            return
        run = 1 + max(task.runs for task in tasks)
        places = data.draw(
            st.lists(
                st.sampled_from(WORKER_IDS), min_size=len(tasks), max_size=len(tasks), unique=True
            )
        )
        intents = [
            RunIntent(task.name, run, self.life(place))
            for task, place in zip(tasks, places, strict=True)
        ]
        valid = self.apply(intend_runs=IntendRuns(intents))
        for intent in valid:
            task = self.ledger.find_task(intent.task)
            if intent.task not in CRASHING_TASKS or not task.incarnation_by_run:
                continue
            history = self.history(task)
            history.starts_after_three += len(history.worker_ids) >= 3
            in_doubt = set() if answered else {intent.task}
            if is_back:
                self.crash(intent.life.worker_id, in_doubt, False)
            else:
                self.now_ms += BETWEEN_EVENTS_MS
                self.record_end(intent.life.worker_id, EndEvidence.SILENT, in_doubt, False)
                self.gone_worker_ids.add(intent.life.worker_id)

    @rule(data=st.data())
    def start_innocent_tasks(self, data):
        """Start what may be started, as the leader does in each pass."""
        up = list(filter(self.is_up, WORKER_IDS))
        for task in self.ledger.job_by_id[INNOCENT].tasks():
            if up and task.index in task.step.startable_indexes:
                place = data.draw(st.sampled_from(up))
                intent = RunIntent(task.name, task.runs + 1, self.life(place))
                self.apply(intend_runs=IntendRuns([intent]))

    @rule(data=st.data(), is_known=st.booleans(), has_worked=st.booleans())
    def crash_without_cause(self, data, is_known, has_worked):
        worker_id = self.draw_worker_in_use(data)
        if worker_id:
            self.crash(worker_id, set(), not is_known, has_worked=has_worked)

    def draw_worker_in_use(self, data):
        """Return a worker that is up, if possible one with runs; None if all are down."""
        up = list(filter(self.is_up, WORKER_IDS))
        in_use = [each for each in up if self.worker(each).task_by_run]
        return data.draw(st.sampled_from(in_use or up)) if up else None

    @rule(is_known=st.booleans(), has_worked=st.booleans())
    def crash_of_all_workers(self, is_known, has_worked):
        """All workers restart at the same moment, which is no doing of their tasks."""
        self.now_ms += BETWEEN_EVENTS_MS
        for worker_id in filter(self.is_up, WORKER_IDS):
            self.crash(worker_id, set(), not is_known, alone=False, has_worked=has_worked)

    def is_up(self, worker_id):
        return worker_id not in self.cut_worker_ids | self.gone_worker_ids

    def crash(self, worker_id, tasks_in_doubt, is_all_in_doubt, alone=True, has_worked=False):
        """Crash and start again; the next incarnation answers, which proves it."""
        if alone:
            self.now_ms += BETWEEN_EVENTS_MS
        life = self.life(worker_id)
        self.record_end(
            worker_id, EndEvidence.REPLACED, tasks_in_doubt, is_all_in_doubt, alone, has_worked
        )
        # The same end, as the leader records it that has heard of the next incarnation.
        ending = EndLives([life], [], crashed=True, evidence=EndEvidence.REPLACED)
        self.apply(end_lives=ending)
        self.born_ms_by_worker[worker_id] += 1
        self.apply(note_workers=NoteWorkers([worker(worker_id, life.born_ms + 1)]))

    def record_end(
        self, worker_id, evidence, tasks_in_doubt, is_all_in_doubt, alone=True, has_worked=False,
        has_crashed=True,
    ):  # fmt: skip
        runs = self.worker(worker_id).task_by_run
        worked_ms = SURVIVAL_MS if has_worked else 0
        worked = [RunAge(name, run, worked_ms) for name, run in runs if name not in tasks_in_doubt]
        for history in {id(h): h for h in map(self.history, runs.values())}.values():
            if has_crashed:
                history.worker_ids.add(worker_id)
                history.crashes_by_itself += alone
                history.on_start += not has_worked or is_all_in_doubt
        ending = EndLives(
            [self.life(worker_id)], [], None, True, None if is_all_in_doubt else worked, evidence,
            [ContactLoss(10, 0)],
        )  # fmt: skip
        self.apply(end_lives=ending)
        self.give_up_tasks()

    def give_up_tasks(self):
        """Only what is final counts: crashes that were none, or were of all workers, do not."""
        for name in self.apply(give_up_tasks=GiveUpTasks(list(self.ledger.held_task_by_name))):
            history = self.history(self.ledger.find_task(name))
            assert len(history.worker_ids) >= 2, name
            is_innocent = name.partition(".")[0] in (INNOCENT, INNOCENT_GANG)
            # Five losses right after starts are too many, whatever explains them.
            assert not is_innocent or history.crashes_by_itself >= 2 or history.on_start >= 5, name

    @rule(worker_id=st.sampled_from(WORKER_IDS), is_known=st.booleans(), is_gone=st.booleans())
    def fall_silent(self, worker_id, is_known, is_gone):
        """A worker is cut off until its lease is over, or is lost for good."""
        if self.is_up(worker_id):
            self.now_ms += BETWEEN_EVENTS_MS
            self.lose_contact(worker_id, is_known, is_gone, alone=True)

    @rule(is_known=st.booleans(), is_gone=st.booleans())
    def fall_silent_together(self, is_known, is_gone):
        """All workers are cut off at the same moment, or are lost for good."""
        self.now_ms += BETWEEN_EVENTS_MS
        for worker_id in filter(self.is_up, WORKER_IDS):
            self.lose_contact(worker_id, is_known, is_gone, alone=False)

    def lose_contact(self, worker_id, is_known, is_gone, alone):
        if not is_gone:
            tasks = self.worker(worker_id).task_by_run.values()
            histories = {id(h): h for h in map(self.history, tasks)}.values()
            self.histories_by_cut_worker[worker_id] = list(histories) if alone else []
        self.record_end(
            worker_id, EndEvidence.SILENT, set(), not is_known, alone, has_crashed=is_gone
        )
        (self.gone_worker_ids if is_gone else self.cut_worker_ids).add(worker_id)

    @rule(data=st.data())
    def come_back(self, data):
        """A later incarnation answers of a worker that was lost, or restarted while cut off.

        Nobody can tell whether the worker ended before its runs lapsed, so it may count as a crash.
        """
        away = sorted(self.cut_worker_ids | self.gone_worker_ids)
        if not away:
            return
        worker_id = data.draw(st.sampled_from(away))
        life = self.life(worker_id)
        if worker_id in self.cut_worker_ids:
            for history in self.histories_by_cut_worker.pop(worker_id):
                history.worker_ids.add(worker_id)
                history.crashes_by_itself += 1
        self.cut_worker_ids.discard(worker_id)
        self.gone_worker_ids.discard(worker_id)
        self.born_ms_by_worker[worker_id] += 1
        self.apply(note_workers=NoteWorkers([worker(worker_id, life.born_ms + 1)]))
        self.apply(note_replaced=ReplacedLives([life]))
        self.give_up_tasks()

    @rule(data=st.data())
    def answer_again(self, data):
        """A worker that was cut off sends a heartbeat, and answers the poll that follows."""
        if self.cut_worker_ids:
            worker_id = data.draw(st.sampled_from(sorted(self.cut_worker_ids)))
            self.cut_worker_ids.remove(worker_id)
            life = self.life(worker_id)
            record = worker(worker_id, life.born_ms)
            record.sequence = self.worker(worker_id).record.sequence
            self.apply(note_workers=NoteWorkers([record]))
            self.apply(withdraw_crashes=WithdrawCrashes([life]))

    @rule(data=st.data())
    def end_a_run(self, data):
        placed = [
            (name, run, key)
            for key, tracked in self.ledger.worker_by_incarnation.items()
            for name, run in tracked.task_by_run
        ]
        if not placed:
            return
        name, run, key = data.draw(st.sampled_from(placed))
        ends = [RunEnd(name, run, RunOutcome.STOPPED, "", 0)]
        self.apply(settle_runs=SettleRuns(WorkerLife(*key), 0, ends, 0))

    @rule(data=st.data(), sequence=st.integers(0, 3), leaving=st.booleans())
    def hear_late(self, data, sequence, leaving):
        """A heartbeat of any incarnation arrives late, or a leave; then agents are assigned."""
        key = data.draw(st.sampled_from(sorted(self.ledger.worker_by_incarnation)))
        if key == (key[0], self.born_ms_by_worker[key[0]]):
            return
        record = worker(*key)
        record.sequence, record.leaving, record.draining = sequence, leaving, leaving
        self.apply(note_workers=NoteWorkers([record]))
        self.apply(assign_agents=AssignAgents([AgentAssignment(WorkerLife(*key), "h1/1")], 0))
        # Such an incarnation runs nothing, and is found out at the first poll.
        ending = EndLives([WorkerLife(*key)], [], None, True, [], EndEvidence.REPLACED)
        self.apply(end_lives=ending)

    @rule()
    def restart_a_replica(self):
        self.replicas[1].restore(self.replicas[1].snapshot())

    @invariant()
    def replicas_agree(self):
        assert self.replicas[0].snapshot() == self.replicas[1].snapshot()

    @invariant()
    def no_task_that_crashes_its_workers_is_started_three_times_after_three_crashes(self):
        for history in self.history_by_unit.values():
            assert history.starts_after_three <= 2

    @invariant()
    def a_job_is_given_up_only_after_two_workers_have_crashed_under_a_task(self):
        """A worker that is only cut off has not crashed."""
        for job in self.ledger.job_by_id.values():
            if job.failed:
                counts = [len(self.history(task).worker_ids) for task in job.tasks()]
                assert max(counts) >= 2

    @invariant()
    def what_is_held_is_not_startable(self):
        for group in self.ledger.startable_group_by_key.values():
            names = {group.tasks[index].name for index in group.startable_indexes}
            assert not names & self.ledger.held_task_by_name.keys()


TestCrashes = Crashes.TestCase
TestCrashes.settings = settings(max_examples=100, stateful_step_count=50, deadline=None)
