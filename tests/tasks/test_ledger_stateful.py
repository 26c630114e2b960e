"""The real ledger under any order of commands, held against what a worker would know."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from savoryshelf.tasks import snapshot
from savoryshelf.wire.generated.ttypes import RunEnd, RunOutcome, WorkerLife

from .builders import accept, intend, ledger, step, worker

LIVES = [("w1", 1), ("w2", 1), ("w2", 2)]
PLAIN_ENDS = [o for o in RunOutcome if o is not RunOutcome.DONE]
SHAPES = [
    [step(2), step(1, after=[0])],
    [step(1, allow_duplicates=True)],
    [step(2, lasting=True)],
    [step(1, filling=True, checkpointing=True)],
]


class LedgerMachine(RuleBasedStateMachine):
    """Jobs are accepted, started, ended and cancelled; workers are lost and come back."""

    def __init__(self):
        super().__init__()
        self.ledger = ledger(*[worker(*life) for life in LIVES])
        self.done = set()
        self.completed = set()

    def placed(self):
        return [
            (name, run, key)
            for key, held in self.ledger.worker_by_life.items()
            for name, run in held.task_by_run
        ]

    @rule(number=st.integers(0, 3), shape=st.sampled_from(SHAPES))
    def accept(self, number, shape):
        accept(self.ledger, *shape, job_id=f"{number:016x}")

    @rule(data=st.data(), life=st.sampled_from(LIVES))
    def start(self, data, life):
        tasks = [t for job in self.ledger.job_by_id.values() for t in job.tasks()]
        if not tasks:
            return
        task = data.draw(st.sampled_from(tasks))
        allowed = task.step.spec.allow_duplicates or not task.life_by_run
        ended = task.step.job.is_ended or task.done
        if intend(self.ledger, task.name, task.runs + 1, life):
            assert allowed and not ended
            before = task.step.spec.after
            groups = task.step.job.groups
            assert all(groups[task.step.occurrence, b].unfinished == 0 for b in before)

    @precondition(lambda self: self.placed())
    @rule(data=st.data(), outcome=st.sampled_from(PLAIN_ENDS), finishes=st.booleans())
    def settle(self, data, outcome, finishes):
        name, run, key = data.draw(st.sampled_from(self.placed()))
        outcome = RunOutcome.DONE if finishes else outcome
        if finishes and not self.ledger.find_task(name).step.spec.lasting:
            self.done.add(name)
        self.ledger.settle(WorkerLife(*key), 0, [RunEnd(name, run, outcome, "", 0)])

    @rule(number=st.integers(0, 3))
    def cancel(self, number):
        self.ledger.cancel(f"{number:016x}")

    @rule(life=st.sampled_from(LIVES))
    def lose_life(self, life):
        self.ledger.end_lives([WorkerLife(*life)], [])

    @rule(life=st.sampled_from(LIVES))
    def hear_again(self, life):
        self.ledger.note_worker(worker(*life))

    @rule()
    def restart_from_snapshot(self):
        over = {k for k, w in self.ledger.worker_by_life.items() if w.is_over}
        self.ledger = snapshot.load(snapshot.save(self.ledger))
        assert not over & self.ledger.worker_by_life.keys()

    @invariant()
    def a_task_runs_once_unless_copies_are_allowed(self):
        for job in self.ledger.job_by_id.values():
            for task in job.tasks():
                assert len(task.life_by_run) <= 1 or task.step.spec.allow_duplicates

    @invariant()
    def room_in_use_is_the_sum_of_the_runs(self):
        for held in self.ledger.worker_by_life.values():
            steps = [task.step.spec for task in held.task_by_run.values()]
            assert held.used.memory_mb == sum(s.memory_mb for s in steps)
            assert held.used.millicores == sum(s.millicores for s in steps if not s.filling)

    @invariant()
    def what_is_done_stays_done(self):
        for name in self.done:
            assert self.ledger.find_task(name).done

    @invariant()
    def a_startable_task_has_no_run_and_an_open_job(self):
        for group in self.ledger.startable_by_key.values():
            assert group.startable and not group.job.is_ended
            for index in group.startable:
                task = group.tasks[index]
                assert not task.done and not task.life_by_run

    @invariant()
    def completed_means_every_task_is_done(self):
        for job in self.ledger.job_by_id.values():
            if job.state.value == "completed":
                assert all(task.done for task in job.tasks())

    @invariant()
    def every_run_of_an_ended_job_is_unwanted(self):
        for name, run, _ in self.placed():
            if self.ledger.find_task(name).step.job.is_ended:
                assert (name, run) in self.ledger.unwanted


TestLedgerMachine = LedgerMachine.TestCase
TestLedgerMachine.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
