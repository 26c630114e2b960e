"""Stateful test of the task ledger: its invariants hold under any order of commands."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from savoryshelf.tasks import snapshot
from savoryshelf.wire.generated.ttypes import RunEnd, RunIntent, RunOutcome, WorkerLife

from .builders import accept, ledger, record_intent, step, worker

INCARNATIONS = [("w1", 1), ("w2", 1), ("w2", 2)]
OUTCOMES_BUT_DONE = [o for o in RunOutcome if o is not RunOutcome.DONE]
JOB_SHAPES = [
    [step(2), step(1, after=[0])],
    [step(1, allow_duplicates=True)],
    [step(2, lasting=True)],
    [step(1, filling=True, checkpointing=True)],
    [step(3, gang=True, checkpointing=True)],
]


class LedgerMachine(RuleBasedStateMachine):
    """Accepts, starts, settles and cancels jobs; incarnations end and register again."""

    def __init__(self):
        super().__init__()
        self.ledger = ledger(*[worker(*incarnation) for incarnation in INCARNATIONS])
        self.done = set()
        self.completed = set()

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

    @rule(number=st.integers(0, 3), shape=st.sampled_from(JOB_SHAPES))
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

    @rule(number=st.integers(0, 3))
    def cancel(self, number):
        self.ledger.cancel(f"{number:016x}")

    @rule(incarnation=st.sampled_from(INCARNATIONS))
    def end_incarnation(self, incarnation):
        self.ledger.end_incarnations([WorkerLife(*incarnation)], [])

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

    @rule(incarnation=st.sampled_from(INCARNATIONS))
    def register_again(self, incarnation):
        self.ledger.upsert_worker(worker(*incarnation))

    @rule()
    def restart_from_snapshot(self):
        before = {k: w.has_ended for k, w in self.ledger.worker_by_incarnation.items()}
        checkpoints_before = self.checkpoints()
        progress_before = self.progress()
        self.ledger = snapshot.load(snapshot.save(self.ledger))
        assert self.progress() == progress_before
        after = {k: w.has_ended for k, w in self.ledger.worker_by_incarnation.items()}
        assert after == before
        checkpoints_after = self.checkpoints()
        assert checkpoints_after == checkpoints_before

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
TestLedgerMachine.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
