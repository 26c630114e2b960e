"""A worker whose lists of ends cannot always be read whole, and its sessions in turn."""

import eventlet
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from savoryshelf.dispatch import worker_session
from savoryshelf.wire.generated.ttypes import AgentAssignment, RunOutcome

from ..tasks.builders import JOB, accept, ledger, manifest, queue, record_intent, step
from ..tasks.builders import worker as a_worker
from .fakes import LEASE_MS, FakeWorker, make_session

TASKS = [f"{JOB}.0.0.{index}" for index in range(4)]


class UnreadableEnds(RuleBasedStateMachine):
    @initialize(has_unreadable_numbers=st.booleans(), foreign_rows=st.integers(0, 1))
    def begin(self, has_unreadable_numbers, foreign_rows):
        self.retry_seconds = worker_session.RETRY_SECONDS
        worker_session.RETRY_SECONDS = 0.0
        self.worker = FakeWorker()
        self.worker.has_unreadable_numbers = has_unreadable_numbers
        self.worker.foreign_rows = foreign_rows
        self.ledger = ledger(a_worker(millicores=100_000))
        self.ledger.put_manifest(manifest(2, [queue(max_attempts=1000)]))
        accept(self.ledger, step(len(TASKS)))
        self.done_number_by_task = {}
        self.failed_numbers = []
        self.session, self.agent = make_session(self.ledger, self.worker)
        self.kill_thread()

    def kill_thread(self):
        # Only the rules poll.
        self.session._threads[0].kill()
        self.poll()

    def teardown(self):
        if not hasattr(self, "session"):
            return
        self.worker.unreadable_ends.clear()
        self.worker.foreign_rows = 0
        for _ in range(3):
            self.poll()
        self.nothing_is_done_twice()
        assert self.worker.acknowledged == len(self.worker.ends)
        for task in self.done_number_by_task:
            assert self.ledger.find_task(task).done
        failures = sum(self.ledger.find_task(task).failures for task in TASKS)
        assert failures == len(self.failed_numbers)
        self.session.close()
        worker_session.RETRY_SECONDS = self.retry_seconds

    @rule(task=st.sampled_from(TASKS), is_answered=st.booleans(), is_applied=st.booleans())
    def start(self, task, is_answered, is_applied):
        run = self.ledger.find_task(task).runs + 1
        if not record_intent(self.ledger, task, run):
            return
        # A start after a run that is done breaks TWICE once the end is taken note of.
        assert not self.is_acknowledged(task)
        if not is_answered:
            self.worker.unanswered_calls = {"start"}
        self.session.start(task, run)
        self.let_calls_return()
        self.worker.unanswered_calls = set()
        if is_applied and self.worker.delayed_starts:
            self.worker.apply_start(self.worker.delayed_starts[-1])

    @precondition(lambda self: self.worker.running)
    @rule(
        choice=st.integers(0, 10),
        outcome=st.sampled_from([RunOutcome.DONE, RunOutcome.DONE, RunOutcome.FAILED]),
        is_readable=st.booleans(),
    )
    def end(self, choice, outcome, is_readable):
        task, run = sorted(self.worker.running)[choice % len(self.worker.running)]
        number = len(self.worker.ends) + 1
        if not is_readable:
            self.worker.unreadable_ends.add(number)
        self.worker.end(task, run, outcome)
        if outcome is RunOutcome.DONE:
            self.done_number_by_task.setdefault(task, number)
        else:
            self.failed_numbers.append(number)

    @rule(is_readable=st.booleans())
    def end_unknown_run(self, is_readable):
        number = len(self.worker.ends) + 1
        if not is_readable:
            self.worker.unreadable_ends.add(number)
        self.worker.end(f"stray.0.0.{number}", 1, RunOutcome.DONE)

    @precondition(lambda self: self.worker.unreadable_ends)
    @rule(choice=st.integers(0, 10))
    def make_readable(self, choice):
        odd = self.worker.unreadable_ends
        odd.remove(sorted(odd)[choice % len(odd)])

    @rule()
    def poll(self):
        self.session._poll_now()
        self.let_calls_return()

    @rule()
    def take_over(self):
        self.session.close()
        (known,) = self.ledger.worker_by_incarnation.values()
        self.ledger.assign_agents([AgentAssignment(known.record.life, "c1.disk/1")], 6)
        self.session = worker_session.WorkerSession(self.agent, known, LEASE_MS)
        self.kill_thread()

    def let_calls_return(self):
        for _ in range(20):
            eventlet.sleep(0)

    def is_acknowledged(self, task):
        return self.done_number_by_task.get(task, 10**9) <= self.worker.acknowledged

    @invariant()
    def nothing_is_done_twice(self):
        if not hasattr(self, "session"):
            return
        for task, number in self.done_number_by_task.items():
            if number <= self.worker.acknowledged:
                position = self.worker.ends[number - 1]
                later = [
                    run for name, run in self.worker.starts if name == task and run > position.run
                ]
                assert later == []
        tasks = [task for task, _ in self.worker.running]
        assert len(tasks) == len(set(tasks))


TestUnreadableEnds = UnreadableEnds.TestCase
