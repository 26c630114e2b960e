"""Each worker that is left out for a step that waits counts under the first reason that applies."""

from collections import Counter

from savoryshelf.dispatch.agent_fleet import AGENT_TIMEOUT_SECONDS, AgentFleet
from savoryshelf.dispatch.health import FAILURES_BEFORE_QUARANTINE, FleetHealth
from savoryshelf.dispatch.interference import InterferenceModel
from savoryshelf.dispatch.placement import Placement
from savoryshelf.dispatch.reservations import Room, Rooms
from savoryshelf.dispatch.waiting_reasons import (
    ACCEPTS,
    LEAVES_OUT_BY_REASON,
    FreeRoom,
    count_by_reason,
    free_room,
    situations_by_service,
)
from savoryshelf.registry import registry_decorator
from savoryshelf.tasks.worker import ResourceUsage
from savoryshelf.wire.generated.ttypes import AgentReport, WorkerLife, WorkerState

from ..tasks.builders import JOB, accept, ledger, record_intent, step, worker

AGENT = "c1.disk/1"
OTHER_JOB, THIRD_JOB, FOURTH_JOB = "00000000000000b2", "00000000000000c3", "00000000000000d4"
LEFT_OUT, SOUND = ("w1", 1), ("w2", 1)


class Site:
    """Two workers of one agent, and a best-effort step that either may run; ``now`` stands."""

    def __init__(self):
        self.ledger = ledger(worker("w1"), worker("w2"))
        self.placement, self.health = Placement(InterferenceModel()), FleetHealth()
        self.fleet, self.now, self.reports = AgentFleet(), 100.0, 0
        for tracked in self.ledger.worker_by_incarnation.values():
            tracked.record.agent_id, tracked.record.fencing_token = AGENT, 1
        self.report("w1")
        self.report("w2")
        needs = {"required_label": "a", "max_per_worker": 1, "memory_mb": 10}
        accept(self.ledger, step(3, filling=True, image="batch", **needs))

    def report(self, worker_id, responsive=True, exclusion_ms=None):
        """Report the state of a worker, as its agent does."""
        self.reports += 1
        state = WorkerState(WorkerLife(worker_id, 1), 1, responsive, {}, exclusion_ms or {}, False)
        self.fleet.record_report(
            AgentReport(
                agent_id=AGENT, number=self.reports, is_full=False, leaving=False,
                applied_index=0, timer_lag_seconds=0.0, states=[state], settlements=[],
                ended_lives=[], rejections=[], weights=[], region="",
            ),
            self.now,
        )  # fmt: skip

    def record_of(self, key):
        return self.ledger.worker_by_incarnation[key].record

    def situations(self):
        """Return the situations of the workers."""
        workers = self.ledger.worker_by_incarnation.values()
        return situations_by_service(workers, self.fleet, self.placement, self.health, self.now)[
            "dispatch"
        ]

    def reason_of(self, key):
        """Return the one reason under which a worker counts."""
        group = self.ledger.job_by_id[JOB].groups[0, 0]
        (situation,) = [s for s in self.situations() if s.worker.key == key]
        ((reason, count),) = count_by_reason(group, [situation]).items()
        assert count == 1
        return reason


PREPARE_BY_REASON = {}
prepares = registry_decorator(PREPARE_BY_REASON)
"""Registers what gives the first worker of a site that reason to be left out."""


@prepares("other_incarnation")
def _restart(site):
    site.ledger.upsert_worker(worker("w1", born_ms=2))
    site.report("w1", responsive=False)


@prepares("state_not_reported")
def _give_to_another_agent(site):
    site.record_of(LEFT_OUT).fencing_token = 2


@prepares("agent_not_live")
def _give_to_an_agent_that_is_gone(site):
    site.record_of(LEFT_OUT).agent_id = "c2.disk/1"


@prepares("not_answering")
def _fall_silent(site):
    site.report("w1", responsive=False)


@prepares("leaving")
def _announce_the_exit(site):
    site.record_of(LEFT_OUT).draining = site.record_of(LEFT_OUT).leaving = True


@prepares("draining")
def _drain(site):
    site.record_of(LEFT_OUT).draining = True


@prepares("label")
def _take_the_label_away(site):
    site.record_of(LEFT_OUT).labels = []


@prepares("no_room")
def _fill_the_memory(site):
    accept(site.ledger, step(memory_mb=995, millicores=1), job_id=OTHER_JOB)
    assert record_intent(site.ledger, f"{OTHER_JOB}.0.0.0")


@prepares("limit_per_worker")
def _place_a_run_of_the_step(site):
    assert record_intent(site.ledger, f"{JOB}.0.0.2")


@prepares("kept_for_suspect")
def _keep_for_a_suspect(site):
    site.placement._isolation._kept_until_by_worker[LEFT_OUT] = site.now + 1.0


@prepares("reserved")
def _reserve_for_another_step(site):
    accept(site.ledger, step(1, millicores=100), step(millicores=4000), job_id=FOURTH_JOB)
    record_intent(site.ledger, f"{FOURTH_JOB}.0.0.0", incarnation=LEFT_OUT)
    group = site.ledger.job_by_id[FOURTH_JOB].groups[0, 1]
    rooms = Rooms({LEFT_OUT: Room(site.ledger.worker_by_incarnation[LEFT_OUT], ResourceUsage())})
    site.placement._reservations.reserve(group, rooms, Counter(), 1, site.now)


@prepares("quarantined")
def _fail_runs(site):
    for _ in range(FAILURES_BEFORE_QUARANTINE):
        site.health.record_outcome("w1", False, site.now)


@prepares("backed_off")
def _reject_a_start(site):
    site.health.record_rejection("w1", site.now)


@prepares("interference")
def _fill_with_best_effort_runs(site):
    filling = step(image="other", filling=True, millicores=4000, memory_mb=0)
    accept(site.ledger, filling, job_id=THIRD_JOB)
    assert record_intent(site.ledger, f"{THIRD_JOB}.0.0.0")


@prepares("excluded_image")
def _evict_the_image(site):
    site.report("w1", exclusion_ms={"batch": 1000})


def test_each_reason_is_tested_in_its_order():
    assert list(PREPARE_BY_REASON) == list(LEAVES_OUT_BY_REASON)


# Guards against work that waits while no line tells which workers were left out, and why.
def test_a_worker_counts_under_the_reason_it_is_left_out_for():
    for reason, prepare in PREPARE_BY_REASON.items():
        site = Site()
        assert site.reason_of(LEFT_OUT) == ACCEPTS
        prepare(site)
        assert site.reason_of(LEFT_OUT) == reason
        assert site.reason_of(SOUND) == ACCEPTS


def test_of_several_reasons_the_first_one_counts():
    site = Site()
    for reason, prepare in reversed(PREPARE_BY_REASON.items()):
        prepare(site)
        assert site.reason_of(LEFT_OUT) == reason


def test_a_worker_whose_agent_has_fallen_silent_counts_so():
    site = Site()
    site.now += AGENT_TIMEOUT_SECONDS + 0.1
    assert site.reason_of(SOUND) == "agent_not_live"


def test_an_earlier_incarnation_that_answers_is_not_left_out():
    site = Site()
    site.ledger.upsert_worker(worker("w1", born_ms=2))
    assert site.reason_of(LEFT_OUT) == ACCEPTS
    assert site.reason_of(("w1", 2)) == "state_not_reported"


def test_free_room_tells_fragments_from_room_that_finite_runs_take():
    site = Site()
    long_running = step(2, millicores=2500, memory_mb=100, lasting=True)
    accept(site.ledger, long_running, job_id=OTHER_JOB)
    accept(site.ledger, step(millicores=1000, memory_mb=300), job_id=THIRD_JOB)
    record_intent(site.ledger, f"{OTHER_JOB}.0.0.0", incarnation=LEFT_OUT)
    record_intent(site.ledger, f"{THIRD_JOB}.0.0.0", incarnation=SOUND)
    situations = site.situations()
    # 1,500 and 3,000 of 4,000 are free; without the finite run the second one has all of it.
    assert free_room(step(millicores=4000), situations) == FreeRoom(4500, 3000, 900, 1, 1)
    assert free_room(step(millicores=1500), situations).fits_without_finite_runs == 2


def test_a_worker_that_drains_or_does_not_answer_has_no_free_room():
    site = Site()
    site.record_of(LEFT_OUT).draining = True
    site.report("w2", responsive=False)
    situations = site.situations()
    assert free_room(step(), situations) == FreeRoom(0, 0, 0, 0, 0)
