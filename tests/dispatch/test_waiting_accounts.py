"""What counts as time without work, where runs of one step follow or overlap each other."""

import itertools
import math

import pytest

from savoryshelf.dispatch.agent_fleet import AGENT_TIMEOUT_SECONDS
from savoryshelf.dispatch.health import FleetHealth
from savoryshelf.dispatch.interference import InterferenceModel
from savoryshelf.dispatch.placement import Placement, WorkerView
from savoryshelf.dispatch.waiting import (
    LEADER_GRACE_SECONDS,
    MAX_DEFERRAL_SECONDS,
    RETRY_AFTER_FAILURE_SECONDS,
)
from savoryshelf.wire.generated.ttypes import RunOutcome

from ..tasks.builders import JOB, accept, ledger, record_intent, settle_run, step, worker
from .test_bounded_waits import FAILS, WORKS, work
from .test_bounded_waits import Site as BoundedSite

PASS_SECONDS = 0.25
MAX_IDLE_SECONDS = 3.0
"""RULES.md, LOST: for how long a submission with work that could run may have nothing running."""

NAME = JOB + ".0.0.{}"


class Site:
    """A leader that plans in passes, and workers that may be quarantined."""

    def __init__(self, count=4):
        self.ledger = ledger(worker("w1", millicores=2000))
        self.ledger.at_ms = 100_000
        accept(self.ledger, step(count))
        self.placement, self.health = Placement(InterferenceModel()), FleetHealth()
        self.now = 100.0
        self.idle_since_by_run = {}
        self.reported_at = None
        """When the agent of w1 has reported last; None if it is live."""

    def quarantine(self, worker_id="w1"):
        for seconds_ago in (14.0, 14.0, 12.0, 8.0, 0.0):
            self.health.record_outcome(worker_id, False, self.now - seconds_ago)

    def run_pass(self):
        """Plan once; return the names of the tasks that are started."""
        idle = {run: self.now - since for run, since in self.idle_since_by_run.items()}
        views = []
        for tracked in self.ledger.worker_by_incarnation.values():
            is_live = tracked.key[0] != "w1" or self.reported_at is None
            unreported = 0.0 if is_live else self.now - self.reported_at
            views.append(
                WorkerView(
                    tracked, is_live, {}, idle_seconds_by_run=idle, unreported_seconds=unreported
                )
            )
        wall_ms = int(1000 * self.now)
        intents = self.placement.plan(self.ledger, views, wall_ms, self.health, self.now)
        assert self.ledger.record_intents(intents) == intents
        self.now += PASS_SECONDS
        return [intent.task for intent in intents]

    def run(self, seconds):
        """Plan passes for a while; return the names of the tasks that are started."""
        until, started = self.now + seconds, []
        while self.now < until:
            started += self.run_pass()
        return started

    def seconds_until_start(self):
        """Return how long passes go on until one starts something."""
        began_at = self.now
        while not self.run_pass():
            assert self.now - began_at < 10.0
        return self.now - PASS_SECONDS - began_at


@pytest.fixture
def site():
    """Return a site on which tasks 0 and 1 of a step have been at work for 10 s."""
    site = Site()
    assert site.run(10.0) == [NAME.format(0), NAME.format(1)]
    return site


# Guards against the whole time at work of a step that counts as time without, after one refusal.
def test_time_at_work_before_a_refused_start_does_not_count(site):
    settle_run(site.ledger, NAME.format(0), RunOutcome.DONE)
    assert site.run_pass() == [NAME.format(2)]
    settle_run(site.ledger, NAME.format(2), RunOutcome.NEVER_RAN)
    site.placement.record_refusal(NAME.format(2), 1)
    settle_run(site.ledger, NAME.format(1), RunOutcome.DONE)
    site.quarantine()
    assert site.seconds_until_start() >= MAX_DEFERRAL_SECONDS - PASS_SECONDS


# Guards against the time at work of one run that counts as time without, since another is paused.
def test_time_at_work_beside_a_paused_run_does_not_count(site):
    site.idle_since_by_run = {(NAME.format(0), 1): site.now}
    site.run(5.0)
    settle_run(site.ledger, NAME.format(1), RunOutcome.DONE)
    site.quarantine()
    assert site.seconds_until_start() >= MAX_DEFERRAL_SECONDS - PASS_SECONDS


# Guards against the time at work of one run that counts as time without, since the start of
# another is in doubt.
def test_time_at_work_beside_a_start_in_doubt_does_not_count(site):
    settle_run(site.ledger, NAME.format(0), RunOutcome.DONE)
    assert site.run_pass() == [NAME.format(2)]
    site.idle_since_by_run = {(NAME.format(2), 1): -float("inf")}
    site.run(1.0)
    settle_run(site.ledger, NAME.format(1), RunOutcome.DONE)
    site.quarantine()
    assert site.seconds_until_start() >= MAX_DEFERRAL_SECONDS - PASS_SECONDS


# Guards against a gang of which one member fails and that is started again as soon as the others
# may be, on workers that are avoided.
@pytest.mark.parametrize("kind", ["gang", "lasting gang"])
def test_an_overdue_gang_with_a_failed_member_is_held_back(kind):
    site = BoundedSite()
    site.is_sound = False
    site.fate = lambda task, worker_id: FAILS if task.index == 0 else WORKS
    accept(site.ledger, work(kind))
    for _ in range(40):
        site.quarantine("w0", "w1", "w2", "w3")
        site.run_pass()
    times = sorted({at for at, _, _ in site.starts})
    assert len(times) > 2
    assert min(b - a for a, b in itertools.pairwise(times)) >= RETRY_AFTER_FAILURE_SECONDS


# Guards against accounts that are kept for good: the leader's memory would grow with each job.
def test_work_that_has_long_been_at_work_has_no_account(site):
    for index in range(2):
        settle_run(site.ledger, NAME.format(index), RunOutcome.DONE)
    assert site.run(2 * MAX_DEFERRAL_SECONDS) == [NAME.format(2), NAME.format(3)]
    assert not site.placement.waiting._account_by_key


# Guards against the same of jobs that are cancelled while they wait.
def test_work_that_was_cancelled_while_it_waited_has_no_account(site):
    for index in range(2):
        settle_run(site.ledger, NAME.format(index), RunOutcome.DONE)
    site.quarantine()
    assert not site.run(2 * PASS_SECONDS)
    site.ledger.cancel(JOB)
    site.run_pass()
    assert not site.placement.waiting._account_by_key


# Guards against work that waited long for room, and is overdue for as long again once it has some.
def test_a_long_wait_for_room_is_made_up_for_by_a_short_time_at_work():
    site = Site()
    other_job = "00000000000000b2"
    accept(site.ledger, step(lasting=True, millicores=2000), job_id=other_job)
    record_intent(site.ledger, other_job + ".0.0.0")
    assert not site.run(60.0)
    settle_run(site.ledger, other_job + ".0.0.0", RunOutcome.STOPPED)
    site.ledger.cancel(other_job)
    assert site.run(2 * MAX_DEFERRAL_SECONDS) == [NAME.format(0), NAME.format(1)]
    for index in range(2):
        settle_run(site.ledger, NAME.format(index), RunOutcome.DONE)
    site.quarantine()
    assert site.seconds_until_start() >= MAX_DEFERRAL_SECONDS - PASS_SECONDS


# Guards against a wait by preferences, and a whole one after a start that went to an agent that
# is gone: each is within its bound, and their sum is not.
def test_a_start_that_an_agent_never_sent_does_not_begin_the_wait_anew():
    site = Site()
    site.ledger.upsert_worker(worker("w2"))
    site.quarantine("w1")
    site.quarantine("w2")
    began_at = site.now
    assert not site.run(MAX_DEFERRAL_SECONDS - PASS_SECONDS)
    # Now w1 is sound again, and its agent has just been lost.
    site.health.record_outcome("w1", True, site.now)
    lost_at = site.now
    assert site.run_pass() == [NAME.format(0), NAME.format(1)]
    assert not site.run(AGENT_TIMEOUT_SECONDS - PASS_SECONDS)
    site.reported_at = lost_at
    site.seconds_until_start()
    assert site.now - PASS_SECONDS - began_at < MAX_IDLE_SECONDS


# Guards against a step that has long been at work and begins to wait anew when its only run, which
# was paused meanwhile, is evicted.
def test_the_pause_of_an_only_run_counts_after_its_eviction():
    site = Site(count=1)
    assert site.run(10.0) == [NAME.format(0)]
    site.quarantine()
    site.idle_since_by_run = {(NAME.format(0), 1): site.now}
    assert site.run(MAX_DEFERRAL_SECONDS - PASS_SECONDS) == []
    settle_run(site.ledger, NAME.format(0), RunOutcome.STOPPED)
    site.idle_since_by_run = {}
    assert site.seconds_until_start() <= PASS_SECONDS


# Guards against a new leader that begins the wait anew: a run that is paused counted as one at work
# if other tasks of its step could start.
def test_a_new_leader_counts_the_pause_of_a_run_beside_startable_tasks(site):
    site.ledger.upsert_worker(worker("w2"))
    site.quarantine("w1")
    site.quarantine("w2")
    paused_at = site.now
    settle_run(site.ledger, NAME.format(1), RunOutcome.STOPPED)
    site.idle_since_by_run = {(NAME.format(0), 1): paused_at}
    assert not site.run(MAX_DEFERRAL_SECONDS - PASS_SECONDS)
    site.placement = Placement(InterferenceModel())
    assert site.seconds_until_start() <= LEADER_GRACE_SECONDS


# Guards against a new leader that takes a step for overdue: a start in doubt has no known time.
def test_a_new_leader_counts_no_time_of_a_start_in_doubt(site):
    site.ledger.upsert_worker(worker("w2"))
    site.quarantine("w1")
    site.quarantine("w2")
    settle_run(site.ledger, NAME.format(1), RunOutcome.STOPPED)
    site.idle_since_by_run = {(NAME.format(0), 1): -math.inf}
    site.placement = Placement(InterferenceModel())
    assert site.seconds_until_start() >= MAX_DEFERRAL_SECONDS - PASS_SECONDS
