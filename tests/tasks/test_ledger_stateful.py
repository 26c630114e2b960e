"""Stateful test of the task ledger: its invariants hold under any order of commands."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from savoryshelf.dispatch.task_service import TaskService, WorkerHeartbeat
from savoryshelf.tasks import snapshot
from savoryshelf.tasks.state_machine import TaskStateMachine
from savoryshelf.wire import codec
from savoryshelf.wire.generated.ttypes import (
    AgentAssignment,
    RunEnd,
    RunIntent,
    RunOutcome,
    WorkerLife,
    WorkerRecord,
)

from ..dispatch.applying_replica import FakeClock, FakeReplica
from .builders import accept, ledger, record_intent, step, worker

INCARNATIONS = [("w1", 1), ("w2", 1), ("w2", 2)]
HEARD_OF = [*INCARNATIONS, ("w1", 2), ("w1", 0), ("w2", 3), ("w3", 1)]
"""The incarnations that heartbeats name."""

FIXED = {
    "address": ("10.0.0.1:80", "10.0.0.9:80"),
    "service_name": ("dispatch", "foreign"),
    "failure_domain": ("zone-a", "zone-b"),
    "rack": ("r1", "r9"),
    "labels": (["a"], ["b"]),
}
"""What does not change within one incarnation: most heartbeats' value, and another writer's."""

EARLY = 4
"""The number of a job that may be cancelled before it is accepted."""

LONG = 12
"""Heartbeats, 3 s apart, after which a sender that was ignored is believed."""

OUTCOMES_BUT_DONE = [o for o in RunOutcome if o is not RunOutcome.DONE]
JOB_SHAPES = [
    [step(2), step(1, after=[0])],
    [step(1, allow_duplicates=True)],
    [step(2, lasting=True)],
    [step(1, filling=True, checkpointing=True)],
    [step(3, gang=True, checkpointing=True)],
]


class LedgerMachine(RuleBasedStateMachine):
    """Accepts, starts, settles and cancels jobs; incarnations end and register again.

    Heartbeats and leaves in the name of any life come from its worker or from another writer, to
    one leader after the other.
    """

    def __init__(self):
        super().__init__()
        self.state_machine = TaskStateMachine()
        self.state_machine.ledger = ledger(*[worker(*each) for each in INCARNATIONS])
        self.clock = FakeClock()
        self.done = set()
        self.completed = set()
        self.was_cancelled_early = False
        """Whether the job ``EARLY`` was cancelled before it came."""

        self.may_exist = set()
        """The runs that were started, until evidence of their own life has ended them."""

        self.change_leader()

    @property
    def ledger(self):
        return self.state_machine.ledger

    def lives(self):
        """Return what the ledger holds of each life: whether it has ended, and its record."""
        return {
            key: (each.has_ended, codec.decode(WorkerRecord, codec.encode(each.record)))
            for key, each in self.ledger.worker_by_incarnation.items()
        }

    def placed_runs(self):
        return [
            (name, run, key)
            for key, tracked_worker in self.ledger.worker_by_incarnation.items()
            for name, run in tracked_worker.task_by_run
        ]

    def checkpoints(self):
        tasks = [task for job in self.ledger.job_by_id.values() for task in job.tasks()]
        return {task.name: (task.checkpoint, task.checkpoint_run) for task in tasks}

    def progress(self):
        """Return what decides which tasks are started and which runs are stopped."""
        groups = self.ledger.startable_group_by_key
        startable = {key: sorted(group.startable_indexes) for key, group in groups.items()}
        return startable, sorted(self.ledger.runs_to_stop.items()), sorted(self.placed_runs())

    @rule(number=st.integers(0, EARLY), shape=st.sampled_from(JOB_SHAPES))
    def accept(self, number, shape):
        accept(self.ledger, *shape, job_id=f"{number:016x}")

    @rule(data=st.data(), incarnation=st.sampled_from(INCARNATIONS))
    def start(self, data, incarnation):
        tasks = [t for job in self.ledger.job_by_id.values() for t in job.tasks()]
        if not tasks:
            return
        task = data.draw(st.sampled_from(tasks))
        allowed = task.step.spec.allow_duplicates or not task.incarnation_by_run
        ended = task.step.job.is_ended or task.done
        if record_intent(self.ledger, task.name, task.runs + 1, incarnation):
            self.may_exist.add((task.name, task.runs, incarnation))
            assert allowed and not ended
            dependencies = task.step.spec.after
            groups = task.step.job.groups
            assert all(
                groups[task.step.occurrence, number].unfinished == 0 for number in dependencies
            )

    @precondition(lambda self: self.placed_runs())
    @rule(
        data=st.data(),
        outcome=st.sampled_from(OUTCOMES_BUT_DONE),
        finishes=st.booleans(),
        checkpoint=st.sampled_from(["", "c1", "c2"]),
        is_reported=st.booleans(),
    )
    def settle(self, data, outcome, finishes, checkpoint, is_reported):
        name, run, key = data.draw(st.sampled_from(self.placed_runs()))
        outcome = RunOutcome.DONE if finishes else outcome
        if finishes and not self.ledger.find_task(name).step.spec.lasting:
            self.done.add(name)
        seen_end = self.ledger.worker_by_incarnation[key].record.seen_end
        end = RunEnd(name, run, outcome, checkpoint, seen_end + 1 if is_reported else 0)
        self.ledger.settle(WorkerLife(*key), end.number, [end])
        self.may_exist.discard((name, run, key))
        group = self.ledger.find_task(name).step
        if finishes and group.spec.gang:
            # One member that is done completes all.
            names = {task.name for task in group.tasks}
            self.may_exist = {each for each in self.may_exist if each[0] not in names}

    @precondition(lambda self: self.placed_runs())
    @rule(data=st.data(), outcome=st.sampled_from(OUTCOMES_BUT_DONE), number=st.integers(0, 3))
    def settle_for_another_life(self, data, outcome, number):
        """Report an end from a life on which the run was not placed."""
        name, run, key = data.draw(st.sampled_from(self.placed_runs()))
        other = data.draw(st.sampled_from([each for each in HEARD_OF if each != key]))
        self.ledger.settle(WorkerLife(*other), 0, [RunEnd(name, run, outcome, "", number)])

    @rule(number=st.integers(0, 3))
    def cancel(self, number):
        self.ledger.cancel(f"{number:016x}")

    @rule()
    def cancel_maybe_early(self):
        job_id = f"{EARLY:016x}"
        self.was_cancelled_early |= job_id not in self.ledger.job_by_id
        self.ledger.cancel(job_id, is_kept=True)

    @invariant()
    def a_job_counts_the_runs_of_its_tasks(self):
        for job in self.ledger.job_by_id.values():
            runs = sum(len(task.incarnation_by_run) for task in job.tasks())
            assert job.existing_runs == runs
            existing = {(t.name, run) for t in job.tasks() for run in t.incarnation_by_run}
            assert job.planned_ms_by_run.keys() <= existing

    @invariant()
    def a_job_that_was_cancelled_before_it_came_does_not_exist(self):
        assert not self.was_cancelled_early or f"{EARLY:016x}" not in self.ledger.job_by_id

    @rule(incarnation=st.sampled_from(INCARNATIONS))
    def end_incarnation(self, incarnation):
        self.ledger.end_incarnations([WorkerLife(*incarnation)], [])
        self.may_exist = {each for each in self.may_exist if each[2] != incarnation}

    @rule(incarnation=st.sampled_from(HEARD_OF))
    def assign(self, incarnation):
        self.ledger.assign_agents([AgentAssignment(WorkerLife(*incarnation), "c0.disk/1")], 0)

    @rule()
    def change_leader(self):
        self.service = TaskService(FakeReplica(self.state_machine), self.state_machine, self.clock)

    @rule(
        key=st.sampled_from(HEARD_OF),
        sequence=st.integers(0, 5),
        draining=st.booleans(),
        other=st.sampled_from(["", *FIXED]),
        count=st.sampled_from([1, LONG]),
    )
    def hear(self, key, sequence, draining, other, count):
        """Hear heartbeats of one sender: the worker, or another writer that differs in a field."""
        before, runs_before = self.lives(), sorted(self.placed_runs())
        for number in range(count):
            self.clock.seconds += 3.0
            record = worker(*key)
            record.sequence, record.draining = sequence + number, draining
            record.leaving, record.fencing_token = False, 0
            for name, (usual, unusual) in FIXED.items():
                setattr(record, name, unusual if name == other else usual)
            self.service.heartbeat(WorkerHeartbeat(record, 0))
        after = self.lives()
        assert sorted(self.placed_runs()) == runs_before
        for each, (had_ended, known) in before.items():
            has_ended, record = after[each]
            if each != key:
                assert (has_ended, record) == (had_ended, known)
                continue
            assert had_ended or not has_ended
            assert bool(record.leaving) == bool(known.leaving)
            if had_ended:
                assert has_ended or not known.leaving
                continue
            # Calls go to the address to which the runs were sent, by the same agent.
            assert (record.address, record.agent_id) == (known.address, known.agent_id)
            if self.ledger.worker_by_incarnation[each].task_by_run:
                assert record.fencing_token == known.fencing_token
            if count < LONG:
                assert all(getattr(record, name) == getattr(known, name) for name in FIXED)
        for each in after.keys() - before.keys():
            assert each == key and after[each][1].service_name != "foreign"
            assert each[1] or not any(life[0] == each[0] and life[1] for life in before)

    @rule(worker_id=st.sampled_from(["w1", "w2", "w3"]))
    def leave(self, worker_id):
        before, runs_before = self.lives(), sorted(self.placed_runs())
        self.service.leave(worker_id)
        after = self.lives()
        assert sorted(self.placed_runs()) == runs_before
        for key, (had_ended, known) in before.items():
            has_ended, record = after[key]
            assert has_ended == had_ended
            if record == known:
                continue
            # It changes only the one incarnation that may have sent it.
            assert key[0] == worker_id and not had_ended and known.draining and record.leaving
            for other, (other_ended, other_record) in before.items():
                if other[0] == worker_id and other != key:
                    assert other_ended and not other_record.draining

    @precondition(
        lambda self: any(g.spec.gang for g in self.ledger.startable_group_by_key.values())
    )
    @rule(data=st.data())
    def start_gang(self, data):
        groups = [g for g in self.ledger.startable_group_by_key.values() if g.spec.gang]
        group = data.draw(st.sampled_from(groups))
        run = 1 + max(task.runs for task in group.tasks)
        intents = [
            RunIntent(task.name, run, WorkerLife(*data.draw(st.sampled_from(INCARNATIONS))))
            for task in group.tasks
        ]
        valid = self.ledger.record_intents(intents)
        assert valid in ([], intents)
        for intent in valid:
            self.may_exist.add((intent.task, run, (intent.life.worker_id, intent.life.born_ms)))

    @rule(incarnation=st.sampled_from(INCARNATIONS))
    def register_again(self, incarnation):
        self.ledger.upsert_worker(worker(*incarnation))

    @rule()
    def restart_from_snapshot(self):
        before = {k: w.has_ended for k, w in self.ledger.worker_by_incarnation.items()}
        checkpoints_before = self.checkpoints()
        progress_before = self.progress()
        lives_before = self.lives()
        self.state_machine.ledger = snapshot.load(snapshot.save(self.ledger))
        assert self.lives() == lives_before
        assert self.progress() == progress_before
        after = {k: w.has_ended for k, w in self.ledger.worker_by_incarnation.items()}
        assert after == before
        checkpoints_after = self.checkpoints()
        assert checkpoints_after == checkpoints_before

    # Guards against TWICE: a heartbeat, a leave or another incarnation's report is no evidence.
    @invariant()
    def a_run_may_exist_until_evidence_of_its_own_life_has_ended_it(self):
        assert set(self.placed_runs()) == self.may_exist

    @invariant()
    def a_task_has_one_run_unless_duplicates_are_allowed(self):
        for job in self.ledger.job_by_id.values():
            for task in job.tasks():
                assert len(task.incarnation_by_run) <= 1 or task.step.spec.allow_duplicates

    @invariant()
    def used_resources_are_the_sum_over_the_runs(self):
        for tracked_worker in self.ledger.worker_by_incarnation.values():
            steps = [task.step.spec for task in tracked_worker.task_by_run.values()]
            assert tracked_worker.used.memory_mb == sum(s.memory_mb for s in steps)
            assert tracked_worker.used.millicores == sum(
                s.millicores for s in steps if not s.filling
            )

    @invariant()
    def a_task_that_is_done_stays_done(self):
        for name in self.done:
            assert self.ledger.find_task(name).done

    @invariant()
    def a_startable_task_has_no_run_and_its_job_has_not_ended(self):
        for group in self.ledger.startable_group_by_key.values():
            assert group.startable_indexes and not group.job.is_ended
            for index in group.startable_indexes:
                task = group.tasks[index]
                assert not task.done and not task.incarnation_by_run

    # Guards against accepted work that waits for good: no command would make it startable again.
    @invariant()
    def an_unfinished_task_is_startable_blocked_or_has_a_run_that_may_exist(self):
        workers = self.ledger.worker_by_incarnation
        for job in self.ledger.job_by_id.values():
            if job.is_ended:
                continue
            for task in job.tasks():
                group = task.step
                required = [job.groups[group.occurrence, n] for n in group.spec.after]
                if task.done or any(step.unfinished for step in required):
                    continue
                if not task.incarnation_by_run:
                    assert self.ledger.startable_group_by_key.get(group.key) is group
                    assert task.index in group.startable_indexes
                for run, key in task.incarnation_by_run.items():
                    assert not workers[key].has_ended
                    assert workers[key].task_by_run[task.name, run] is task

    # Guards against members of a gang that wait at their workers for one that does not run.
    @invariant()
    def every_run_of_a_gang_that_is_not_whole_is_to_be_stopped(self):
        for job in self.ledger.job_by_id.values():
            for group in job.groups.values():
                placed = [(t.name, r) for t in group.tasks for r in t.incarnation_by_run]
                is_whole = len(placed) == len(group.tasks) and len({run for _, run in placed}) == 1
                if group.spec.gang and not is_whole:
                    assert all(run in self.ledger.runs_to_stop for run in placed)

    @invariant()
    def every_task_of_a_completed_job_is_done(self):
        for job in self.ledger.job_by_id.values():
            if job.state.value == "completed":
                assert all(task.done for task in job.tasks())

    @invariant()
    def all_members_of_a_gang_have_the_same_checkpoint(self):
        for job in self.ledger.job_by_id.values():
            for group in job.groups.values():
                if group.spec.gang:
                    assert len({task.checkpoint for task in group.tasks}) == 1

    @invariant()
    def every_run_of_an_ended_job_is_to_be_stopped(self):
        for name, run, _ in self.placed_runs():
            if self.ledger.find_task(name).step.job.is_ended:
                assert (name, run) in self.ledger.runs_to_stop


TestLedgerMachine = LedgerMachine.TestCase
TestLedgerMachine.settings = settings(max_examples=100, stateful_step_count=40, deadline=None)
