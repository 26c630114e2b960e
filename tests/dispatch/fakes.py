"""In-memory fakes of an agent and of a worker, for tests of worker sessions."""

import eventlet

from savoryshelf.clock import SystemClock
from savoryshelf.dispatch.call_queue import CallQueue
from savoryshelf.dispatch.late_starts import LateStarts
from savoryshelf.dispatch.worker_api import (
    EndedRun,
    Fenced,
    IncarnationReplaced,
    PollResult,
    RunStatus,
    StartResult,
    WorkerUnresponsive,
)
from savoryshelf.dispatch.worker_session import WorkerSession
from savoryshelf.wire.generated.ttypes import AgentAssignment, RunEnd, RunOutcome

LEASE_MS = 600
CLOCK = SystemClock()
"""The clock of all fakes; the fixture ``on_virtual_time`` replaces its time."""

MAX_LISTED_ENDS = 500
"""Ends that one poll lists at most, as the platform's pages say."""


class FakeWorker:
    """Answers all calls but those named in ``unanswered_calls``; only long polls are held open.

    A start that is not answered is kept in ``delayed_starts`` and may be applied later.
    """

    def __init__(self):
        self.fencing_token = 0
        self.starts = []
        self.requests = []
        """The calls to start that were answered."""

        self.poll_error = None
        self.unanswered_calls = set()
        self.delayed_starts = []
        self.running = {}
        self.speed_by_run = {}
        """The speeds that were ordered, in percent; runs without an order work at full speed."""

        self.stopped = {}
        self.ends = []
        self.deadlines = []
        self.calls = []
        self.is_replaced = False
        self.has_crashed = False
        """Whether the process has ended: open polls break, and no call is answered."""

        self.unreadable_runs = 0
        """Rows of each poll that cannot be read; with any, a poll is answered at once."""

        self.unreadable_ends = set()
        """Numbers of the ends whose rows cannot be read."""

        self.has_unreadable_numbers = False
        """Whether the numbers in these rows cannot be read either."""

        self.foreign_rows = 0
        """Rows in each list of ends that nothing can be read of, and no end of this worker."""

        self.acknowledged = 0
        """The number up to which ends were acknowledged, and are forgotten."""

        self.lists_before_waiting = False
        """Whether a long poll lists the runs as of its arrival instead of its answer."""

    def clock_ms(self):
        return int(CLOCK.monotonic() * 1000)

    def _record_call(self, name):
        self.calls.append(name)
        if self.has_crashed:
            raise WorkerUnresponsive("connection reset")
        if self.is_replaced:
            raise IncarnationReplaced("another incarnation")

    def start(self, incarnation, request):
        self._record_call("start")
        if "start" in self.unanswered_calls:
            self.delayed_starts.append(request)
            raise WorkerUnresponsive("no answer")
        self.requests.append(request)
        return self.apply_start(request), self.clock_ms()

    def is_fenced(self, fencing_token):
        """Take note of the token of a call; return whether the call is refused for it."""
        if fencing_token < self.fencing_token:
            return True
        self.fencing_token = fencing_token
        return False

    def apply_start(self, request):
        if self.is_fenced(request.fencing_token):
            return StartResult.FENCED
        if request.run <= self.stopped.get(request.task, 0):
            return StartResult.STALE_RUN
        self.running[request.task, request.run] = RunStatus(request.task, request.run, "", 0, 0)
        self.starts.append((request.task, request.run))
        return StartResult.STARTED

    def stop(self, incarnation, task, run, fencing_token):
        self._record_call("stop")
        if "stop" in self.unanswered_calls:
            raise WorkerUnresponsive("no answer")
        if self.is_fenced(fencing_token):
            raise Fenced("stop")
        self.stopped[task] = max(run, self.stopped.get(task, 0))
        if self.running.pop((task, run), None):
            self.end(task, run, RunOutcome.STOPPED)

    def end(self, task, run, outcome):
        self.running.pop((task, run), None)
        self.ends.append(EndedRun(len(self.ends) + 1, task, run, outcome, ""))

    def poll(self, incarnation, fencing_token, seen_end, deadline_ms, wait_ms):
        self._record_call("poll")
        if "poll" in self.unanswered_calls:
            raise WorkerUnresponsive("no answer")
        if self.is_fenced(fencing_token):
            raise Fenced("poll")
        if self.poll_error is not None:
            raise self.poll_error
        if deadline_ms:
            self.deadlines.append(deadline_ms)
        self.acknowledged = max(self.acknowledged, seen_end)
        running_before_wait = list(self.running.values()) if self.lists_before_waiting else None
        for _ in range(wait_ms // 20):
            if any(end.number > seen_end for end in self.ends) or "poll" in self.unanswered_calls:
                break
            if self.unreadable_runs or self.foreign_rows:
                eventlet.sleep(0.001)
                break
            eventlet.sleep(0.02)
            if self.has_crashed:
                raise WorkerUnresponsive("connection reset")
        ends = [end for end in self.ends if end.number > self.acknowledged]
        listed = ends[:MAX_LISTED_ENDS]
        odd = [end.number for end in listed if end.number in self.unreadable_ends]
        running = (
            list(self.running.values()) if running_before_wait is None else running_before_wait
        )
        return PollResult(
            self.clock_ms(), running, [end for end in listed if end.number not in odd],
            self.unreadable_runs, len(odd) + self.foreign_rows,
            [] if self.has_unreadable_numbers else odd, len(ends) >= MAX_LISTED_ENDS,
        )  # fmt: skip

    def set_speed(self, incarnation, task, run, speed_percent, fencing_token):
        self._record_call("set_speed")
        if self.is_fenced(fencing_token):
            raise Fenced("set_speed")
        self.speed_by_run[task, run] = speed_percent

    def disconnect(self, incarnation):
        pass


class FakeAgent:
    """Applies what a session reports to a ledger at once, without replication."""

    takeover_slack_ms = 0

    def __init__(self, ledger, worker_api):
        self.ledger = ledger
        self.worker_api = worker_api
        self.session_by_incarnation = {}
        self.late_starts = LateStarts()
        self.start_calls = CallQueue()
        self.end_reasons = []
        self.rejections = []
        self.settled_ends = []
        self.has_permission = True

    def now(self):
        return CLOCK.monotonic()

    def may_call_workers(self):
        return self.has_permission

    def state_changed(self, session):
        pass

    def poll_completed(self, session, history):
        pass

    def run_started(self, session, task, run):
        pass

    def settle_ends(self, session, seen_end, ends):
        self.settled_ends += ends
        self.ledger.settle(session.worker.record.life, seen_end, ends, session.fencing_token)

    def start_rejected(self, session, task, run, result):
        self.rejections.append(result)
        never_ran = RunEnd(task, run, RunOutcome.NEVER_RAN, "", 0)
        self.settle_ends(session, 0, [never_ran])

    def start_unanswered(self, session):
        pass

    def incarnation_ended(self, session, why):
        self.end_reasons.append(why)
        self.ledger.end_incarnations([session.worker.record.life], [], [session.fencing_token])


def make_session(ledger, worker_api):
    (worker,) = ledger.worker_by_incarnation.values()
    incarnation = worker.record.life
    ledger.assign_agents([AgentAssignment(incarnation, "c0.disk/1")], 6)
    agent = FakeAgent(ledger, worker_api)
    return WorkerSession(agent, worker, LEASE_MS), agent


def wait_until(condition, seconds=5.0):
    deadline = CLOCK.monotonic() + seconds
    while not condition():
        assert CLOCK.monotonic() < deadline, f"the condition was not met within {seconds} s"
        eventlet.sleep(0.02)
