"""Loads that the placement answers, by pattern; no network, no clock."""

from savoryshelf.dispatch.health import FleetHealth
from savoryshelf.dispatch.interference import Disturbance
from savoryshelf.dispatch.placement import LASTING_SHARE, Placement, WorkerView
from savoryshelf.wire.generated.ttypes import RunOutcome, WorkerLife

from ..tasks.builders import (
    JOB,
    accept,
    ledger,
    manifest,
    queue,
    record_intent,
    settle_run,
    step,
    worker,
)

SECOND, THIRD = "00000000000000b2", "00000000000000c3"


def plan(held, disturbance=None, health=None, silent=()):
    views = [
        WorkerView(w, key[0] not in silent, {}) for key, w in held.worker_by_incarnation.items()
    ]
    placement = Placement(disturbance or Disturbance())
    return placement.plan(held, views, 0, health or FleetHealth(), 0.0)


def workers_of(intents):
    return [intent.life.worker_id for intent in intents]


def test_a_worker_is_filled_up_to_its_room_and_no_further():
    held = ledger(worker(millicores=2000), worker("w2", millicores=1000))
    accept(held, step(5))
    assert sorted(workers_of(plan(held))) == ["w1", "w1", "w2"]


def test_a_burst_of_batch_work_leaves_urgent_work_first():
    held = ledger(worker(millicores=1000))
    batch, urgent = queue("batch", "/batch/", priority=2), queue()
    held.put_manifest(manifest(2, [batch, urgent]))
    accept(held, step(30), job_id=SECOND, prefix="/batch/")
    accept(held, step())
    assert [intent.task for intent in plan(held)] == [f"{JOB}.0.0.0"]


def test_in_a_backlog_work_that_can_be_on_time_goes_before_work_that_is_late():
    held = ledger(worker(millicores=1000))
    accept(held, step(estimated_ms=100))
    held.at_ms = 60_000
    accept(held, step(estimated_ms=100), job_id=SECOND)
    views = [WorkerView(w, True, {}) for w in held.worker_by_incarnation.values()]
    intents = Placement(Disturbance()).plan(held, views, 60_100, FleetHealth(), 0.0)
    assert [intent.task for intent in intents] == [f"{SECOND}.0.0.0"]


def test_a_job_that_fits_nowhere_holds_up_nobody():
    held = ledger()
    accept(held, step(millicores=99_000))
    accept(held, step(), job_id=SECOND)
    assert [intent.task for intent in plan(held)] == [f"{SECOND}.0.0.0"]


def test_silent_and_failing_workers_get_nothing():
    held = ledger(worker(), worker("w2"), worker("w3"))
    health = FleetHealth()
    for _ in range(2):
        health.ended("w2", False, 0.0)
    accept(held, step(3))
    assert set(workers_of(plan(held, health=health, silent={"w1"}))) == {"w3"}


def test_a_task_goes_elsewhere_after_it_failed():
    held = ledger(worker(millicores=9000), worker("w2", millicores=2000))
    accept(held, step())
    record_intent(held, f"{JOB}.0.0.0")
    settle_run(held, f"{JOB}.0.0.0", RunOutcome.FAILED)
    assert workers_of(plan(held)) == ["w2"]


def test_labels_and_the_limit_for_one_worker_are_kept():
    held = ledger(worker(labels=("gpu", "r1")), worker("w2"), worker("w3", labels=("gpu", "r2")))
    accept(held, step(3, required_label="gpu", max_per_worker=1))
    assert sorted(workers_of(plan(held))) == ["w1", "w3"]


def test_tasks_go_where_their_data_is():
    held = ledger(worker(millicores=9000), worker("w2", rack="r2", millicores=2000))
    accept(held, step(1, data_rack="r2"))
    assert workers_of(plan(held)) == ["w2"]


def test_a_gang_is_placed_whole_or_not_at_all():
    held = ledger(worker(millicores=2000))
    accept(held, step(3, gang=True))
    assert plan(held) == []
    held.upsert_worker(worker("w2"))
    intents = plan(held)
    assert len(intents) == 3
    assert {intent.run for intent in intents} == {1}


def test_serving_runs_of_one_image_are_packed_together():
    held = ledger(*[worker(f"w{n}", millicores=9000) for n in range(4)])
    accept(held, step(2, lasting=True, target_ms=50, image="a"))
    accept(held, step(2, lasting=True, target_ms=50, image="b"), job_id=SECOND)
    placed = plan(held)
    by_job = {}
    for intent in placed:
        by_job.setdefault(intent.task[:16], set()).add(intent.life.worker_id)
    assert not by_job[JOB] & by_job[SECOND]


def test_filling_runs_keep_away_from_the_serving_images_they_disturb():
    held = ledger(worker(), worker("w2"))
    for job_id, life, image in ((JOB, ("w1", 1), "shy"), (SECOND, ("w2", 1), "calm")):
        accept(held, step(lasting=True, target_ms=50, image=image), job_id=job_id)
        record_intent(held, f"{job_id}.0.0.0", incarnation=life)
    disturbance = Disturbance()
    disturbance.learn("shy", 0.5, {"noisy": 2.0})
    accept(held, step(2, filling=True, image="noisy", millicores=1500), job_id=THIRD)
    assert workers_of(plan(held, disturbance)) == ["w2", "w2"]


def test_an_image_that_had_to_yield_stays_away_from_that_worker():
    held = ledger(worker(), worker("w2"))
    accept(held, step(2, filling=True, image="noisy"))
    barred = frozenset({"noisy"})
    views = [
        WorkerView(w, True, {}, barred_images=barred if key[0] == "w1" else frozenset())
        for key, w in held.worker_by_incarnation.items()
    ]
    planned = Placement(Disturbance()).plan(held, views, 0, FleetHealth(), 0.0)
    assert workers_of(planned) == ["w2", "w2"]


def test_filling_runs_wait_rather_than_slow_each_other_down():
    held = ledger(worker(millicores=3000))
    accept(held, step(9, filling=True))
    assert len(plan(held)) == 3


def test_a_flood_of_lasting_work_leaves_room_for_runs_that_end():
    held = ledger(worker(millicores=10_000, memory_mb=9000))
    accept(held, step(9, lasting=True))
    for intent in plan(held):
        record_intent(held, intent.task)
    accept(held, step(1, lasting=True), job_id=SECOND)
    assert LASTING_SHARE < 1.0
    assert plan(held) == []
    accept(held, step(), job_id=THIRD)
    assert len(plan(held)) == 1


def test_a_lasting_task_that_lost_its_worker_starts_though_the_rest_is_nearly_full():
    held = ledger(worker(millicores=9000, memory_mb=9000), worker("w2", millicores=1000))
    accept(held, step(9, lasting=True))
    for index in range(9):
        record_intent(held, f"{JOB}.0.0.{index}")
    accept(held, step(1, lasting=True), job_id=SECOND)
    record_intent(held, f"{SECOND}.0.0.0", incarnation=("w2", 1))
    held.end_incarnations([WorkerLife("w2", 1)], [])
    held.upsert_worker(worker("w3", millicores=1000))
    assert workers_of(plan(held)) == ["w3"]


def test_filling_work_that_nobody_bears_still_runs_where_it_disturbs_least():
    held = ledger(worker(millicores=9000), worker("w2", millicores=9000))
    disturbance = Disturbance()
    for job_id, life, image, response in (
        (JOB, ("w1", 1), "shy", 0.6),
        (SECOND, ("w2", 1), "calmer", 0.3),
    ):
        accept(held, step(lasting=True, target_ms=50, image=image), job_id=job_id)
        record_intent(held, f"{job_id}.0.0.0", incarnation=life)
        disturbance.learn(image, response, {"noisy": 3.0})
    accept(held, step(2, filling=True, image="noisy", millicores=4000), job_id=THIRD)
    views = [WorkerView(w, True, {}) for w in held.worker_by_incarnation.values()]
    placement = Placement(disturbance)
    plans = [placement.plan(held, views, 0, FleetHealth(), now) for now in (0.0, 1.0, 2.5)]
    assert [workers_of(planned) for planned in plans] == [[], [], ["w2"]]
