"""The real ledger beside agents, workers and messages that arrive late, or after others.

Agents of earlier assignments go on as if they still were the agents: their starts and reports
may arrive at any time.
"""

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from savoryshelf.wire.generated.ttypes import AgentAssignment, RunEnd, RunOutcome, WorkerLife

from .builders import JOB, accept, ledger, record_intent, step, worker

WORKERS = ("w1",)
TASKS = [f"{JOB}.0.0.{index}" for index in range(2)]


@attrs.define(eq=False)
class _Worker:
    """Executes runs, under the rules that the platform's pages give for workers."""

    fencing_token: int = 0
    running: set = attrs.field(factory=set)
    ends: list = attrs.field(factory=list)
    closed_run_by_task: dict = attrs.field(factory=dict)
    """The highest run of each task that has ended or was stopped here."""

    def start(self, token, task, run):
        if token < self.fencing_token or run <= self.closed_run_by_task.get(task, 0):
            return
        self.fencing_token = token
        self.running.add((task, run))

    def end(self, task, run, outcome):
        self.running.remove((task, run))
        self.closed_run_by_task[task] = run
        self.ends.append(RunEnd(task, run, outcome, "", len(self.ends) + 1))


@attrs.define(eq=False)
class _Agent:
    """One assignment of a worker, as its agent sees it; it never learns that it has ended."""

    worker_id: str
    token: int
    unanswered: set = attrs.field(factory=set)
    has_given_up: bool = False


class Agents(RuleBasedStateMachine):
    @initialize()
    def set_up(self):
        self.ledger = ledger(*(worker(worker_id) for worker_id in WORKERS))
        accept(self.ledger, step(len(TASKS)))
        self.workers = {worker_id: _Worker() for worker_id in WORKERS}
        self.agents = []
        self.starts = []
        self.reports = []
        self.done = []
        for worker_id in WORKERS:
            self.assign(worker_id)

    def entry(self, worker_id):
        return self.ledger.worker_by_incarnation[worker_id, 1]

    def agent_of(self, worker_id):
        """Return the agent of the present assignment, or None."""
        token = self.entry(worker_id).record.fencing_token
        return next((a for a in self.agents if (a.worker_id, a.token) == (worker_id, token)), None)

    @rule(worker_id=st.sampled_from(WORKERS))
    def assign(self, worker_id):
        if self.entry(worker_id).has_ended:
            # The worker has reported again.
            self.ledger.upsert_worker(worker(worker_id))
        self.ledger.assign_agents([AgentAssignment(WorkerLife(worker_id, 1), "agent")], 0)
        token = self.entry(worker_id).record.fencing_token
        self.agents.append(_Agent(worker_id, token))

    @rule(task=st.sampled_from(TASKS), worker_id=st.sampled_from(WORKERS))
    def place(self, task, worker_id):
        """Commit a start intent, which the agent applies: it sends the start."""
        agent, found = self.agent_of(worker_id), self.ledger.find_task(task)
        if agent is None or agent.has_given_up:
            return
        run = found.runs + 1
        if record_intent(self.ledger, task, run, (worker_id, 1)):
            agent.unanswered.add((task, run))
            self.starts.append((agent, task, run))

    @precondition(lambda self: self.starts)
    @rule(data=st.data())
    def start_arrives(self, data):
        agent, task, run = self.starts.pop(data.draw(st.integers(0, len(self.starts) - 1)))
        agent.unanswered.discard((task, run))
        self.workers[agent.worker_id].start(agent.token, task, run)

    @precondition(lambda self: any(w.running for w in self.workers.values()))
    @rule(data=st.data(), outcome=st.sampled_from([RunOutcome.DONE, RunOutcome.STOPPED]))
    def run_ends(self, data, outcome):
        running = sorted((i, *run) for i, w in self.workers.items() for run in w.running)
        worker_id, task, run = data.draw(st.sampled_from(running))
        self.workers[worker_id].end(task, run, outcome)
        if outcome is RunOutcome.DONE:
            self.done.append(task)

    @rule(data=st.data())
    def poll(self, data):
        """Poll with an agent's token, and report ends and missing runs."""
        agent = data.draw(st.sampled_from(self.agents))
        state, entry = self.workers[agent.worker_id], self.entry(agent.worker_id)
        if agent.has_given_up or agent.token < state.fencing_token:
            return
        state.fencing_token = agent.token
        listed = state.ends[entry.record.seen_end :]
        known = state.running | agent.unanswered | {(end.task, end.run) for end in listed}
        missing = [
            RunEnd(*run, RunOutcome.NEVER_RAN, "", 0)
            for run in entry.task_by_run
            if run not in known
        ]
        if listed or missing:
            self.reports.append((agent, len(state.ends), listed + missing))

    @rule(data=st.data())
    def lose(self, data):
        """All leases of a worker expire, and an agent that got no answer takes it for lost."""
        agent = data.draw(st.sampled_from(self.agents))
        if agent.has_given_up:
            return
        state = self.workers[agent.worker_id]
        for task, run in sorted(state.running):
            state.end(task, run, RunOutcome.LAPSED)
        # The deadlines of all starts have passed as well.
        self.starts = [s for s in self.starts if s[0].worker_id != agent.worker_id]
        agent.has_given_up = True
        self.reports.append((agent, 0, None))

    @precondition(lambda self: self.reports)
    @rule(data=st.data())
    def report_is_applied(self, data):
        agent, seen_end, ends = self.reports.pop(data.draw(st.integers(0, len(self.reports) - 1)))
        life = WorkerLife(agent.worker_id, 1)
        if ends is None:
            self.ledger.end_incarnations([life], [], [agent.token])
        else:
            self.ledger.settle(life, seen_end, ends, agent.token)

    @invariant()
    def no_settled_run_executes(self):
        for worker_id, state in getattr(self, "workers", {}).items():
            for task, run in state.running:
                assert self.ledger.find_task(task).incarnation_by_run.get(run) == (worker_id, 1)

    @invariant()
    def no_task_runs_twice_at_a_time(self):
        running = [task for w in getattr(self, "workers", {}).values() for task, _ in w.running]
        assert len(running) == len(set(running))

    @invariant()
    def no_done_task_is_done_again_once_that_is_committed(self):
        for task in TASKS if hasattr(self, "ledger") else ():
            if self.ledger.find_task(task).done:
                assert not self.ledger.find_task(task).step.startable_indexes & {int(task[-1])}


TestAgents = Agents.TestCase
TestAgents.settings = settings(max_examples=500, stateful_step_count=30)
