"""A term and a worker in memory, for links."""

import time

import eventlet

from savoryshelf.dispatch.worker_api import (
    EndRow,
    LifeOver,
    Look,
    RunningRow,
    StartVerdict,
    WorkerUnanswered,
)
from savoryshelf.dispatch.worker_session import WorkerLink
from savoryshelf.wire.generated.ttypes import RunOutcome

LEASE_MS = 600


class FakeWorker:
    """Answers calls at once; ``lost`` names the calls whose answers are lost."""

    def __init__(self):
        self.lost = set()
        self.late_starts = []
        self.running = {}
        self.stopped = {}
        self.ends = []
        self.deadlines = []
        self.calls = []
        self.has_ended = False
        self.lists_at_once = False
        """Whether a look lists what runs when it comes, though it waits for an end."""

    def clock_ms(self):
        return int(time.monotonic() * 1000)

    def _enter(self, name):
        self.calls.append(name)
        if self.has_ended:
            raise LifeOver("another life")

    def start(self, life, order):
        self._enter("start")
        if "start" in self.lost:
            self.late_starts.append(order)
            raise WorkerUnanswered("no answer")
        return self.carry_out(order), self.clock_ms()

    def carry_out(self, order):
        if order.run <= self.stopped.get(order.task, 0):
            return StartVerdict.RUN_TOO_LOW
        self.running[order.task, order.run] = RunningRow(order.task, order.run, "", 0, 0)
        return StartVerdict.STARTED

    def stop(self, life, task, run, fence):
        self._enter("stop")
        if "stop" in self.lost:
            raise WorkerUnanswered("no answer")
        self.stopped[task] = max(run, self.stopped.get(task, 0))
        if self.running.pop((task, run), None):
            self.end(task, run, RunOutcome.STOPPED)

    def end(self, task, run, outcome):
        self.running.pop((task, run), None)
        self.ends.append(EndRow(len(self.ends) + 1, task, run, outcome, ""))

    def look(self, life, fence, seen_end, deadline_ms, wait_ms):
        self._enter("look")
        if "look" in self.lost:
            raise WorkerUnanswered("no answer")
        if deadline_ms:
            self.deadlines.append(deadline_ms)
        listed = list(self.running.values()) if self.lists_at_once else None
        for _ in range(wait_ms // 20):
            if any(end.number > seen_end for end in self.ends) or "look" in self.lost:
                break
            eventlet.sleep(0.02)
        ends = [end for end in self.ends if end.number > seen_end]
        running = list(self.running.values()) if listed is None else listed
        return Look(self.clock_ms(), running, ends)

    def pace(self, life, task, run, percent, fence):
        self._enter("pace")

    def forget(self, life):
        pass


class FakeTerm:
    """Commits to a ledger at once."""

    fence = 7
    takeover_slack_ms = 0

    def __init__(self, ledger, calls):
        self.ledger = ledger
        self.calls = calls
        self.over = []
        self.rejections = []
        self.leads = True

    def now(self):
        return time.monotonic()

    def may_order(self):
        return self.leads

    def wake(self):
        pass

    def looked(self, link, history):
        pass

    def started(self, link, task, run):
        pass

    def settle(self, link, seen_end, ends):
        self.ledger.settle(link.worker.record.life, seen_end, ends)

    def start_rejected(self, link, task, run, verdict):
        self.rejections.append(verdict)

    def rejected(self, link, why):
        pass

    def life_over(self, link, why):
        self.over.append(why)
        self.ledger.end_incarnations([link.worker.record.life], [])


def make_link(ledger, calls):
    (worker,) = ledger.worker_by_incarnation.values()
    term = FakeTerm(ledger, calls)
    return WorkerLink(term, worker, LEASE_MS), term


def wait_until(condition, seconds=5.0):
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, "did not come true in time"
        eventlet.sleep(0.02)
