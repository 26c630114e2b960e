"""Placement decisions for typical workloads, without network or clock."""

from savoryshelf.dispatch.health import FleetHealth
from savoryshelf.dispatch.interference import InterferenceModel
from savoryshelf.dispatch.placement import MAX_LONG_RUNNING_SHARE, Placement, WorkerView
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


def plan(task_ledger, interference=None, health=None, unresponsive=()):
    views = [
        WorkerView(w, key[0] not in unresponsive, {})
        for key, w in task_ledger.worker_by_incarnation.items()
    ]
    placement = Placement(interference or InterferenceModel())
    return placement.plan(task_ledger, views, 0, health or FleetHealth(), 0.0)


def plan_at(task_ledger, placement, now):
    views = [WorkerView(w, True, {}) for w in task_ledger.worker_by_incarnation.values()]
    return placement.plan(task_ledger, views, 0, FleetHealth(), now)


class CountingInterferenceModel(InterferenceModel):
    """Counts the look-ups of weights, the largest part of scoring a worker."""

    def __init__(self):
        super().__init__()
        self.look_ups = 0

    def weight(self, best_effort_image, serving_image):
        self.look_ups += 1
        return super().weight(best_effort_image, serving_image)


def worker_ids(intents):
    return [intent.life.worker_id for intent in intents]


def test_runs_are_placed_up_to_the_capacity_of_a_worker():
    task_ledger = ledger(worker(millicores=2000), worker("w2", millicores=1000))
    accept(task_ledger, step(5))
    assert sorted(worker_ids(plan(task_ledger))) == ["w1", "w1", "w2"]


def test_urgent_work_is_placed_before_a_burst_of_batch_work():
    task_ledger = ledger(worker(millicores=1000))
    batch, urgent = queue("batch", "/batch/", priority=2), queue()
    task_ledger.put_manifest(manifest(2, [batch, urgent]))
    accept(task_ledger, step(30), job_id=SECOND, prefix="/batch/")
    accept(task_ledger, step())
    assert [intent.task for intent in plan(task_ledger)] == [f"{JOB}.0.0.0"]


def test_in_a_backlog_jobs_that_can_be_on_time_precede_late_jobs():
    task_ledger = ledger(worker(millicores=1000))
    accept(task_ledger, step(estimated_ms=100))
    task_ledger.at_ms = 60_000
    accept(task_ledger, step(estimated_ms=100), job_id=SECOND)
    views = [WorkerView(w, True, {}) for w in task_ledger.worker_by_incarnation.values()]
    intents = Placement(InterferenceModel()).plan(task_ledger, views, 60_100, FleetHealth(), 0.0)
    assert [intent.task for intent in intents] == [f"{SECOND}.0.0.0"]


def test_a_job_that_fits_on_no_worker_does_not_block_others():
    task_ledger = ledger()
    accept(task_ledger, step(millicores=99_000))
    accept(task_ledger, step(), job_id=SECOND)
    assert [intent.task for intent in plan(task_ledger)] == [f"{SECOND}.0.0.0"]


def test_unresponsive_and_quarantined_workers_get_no_runs():
    task_ledger = ledger(worker(), worker("w2"), worker("w3"))
    health = FleetHealth()
    for _ in range(2):
        health.record_outcome("w2", False, 0.0)
    accept(task_ledger, step(3))
    assert set(worker_ids(plan(task_ledger, health=health, unresponsive={"w1"}))) == {"w3"}


def test_a_failed_task_is_placed_on_another_worker():
    task_ledger = ledger(worker(millicores=9000), worker("w2", millicores=2000))
    accept(task_ledger, step())
    record_intent(task_ledger, f"{JOB}.0.0.0")
    settle_run(task_ledger, f"{JOB}.0.0.0", RunOutcome.FAILED)
    assert worker_ids(plan(task_ledger)) == ["w2"]


def test_required_labels_and_max_per_worker_are_respected():
    task_ledger = ledger(
        worker(labels=("gpu", "r1")), worker("w2"), worker("w3", labels=("gpu", "r2"))
    )
    accept(task_ledger, step(3, required_label="gpu", max_per_worker=1))
    assert sorted(worker_ids(plan(task_ledger))) == ["w1", "w3"]


def test_tasks_are_placed_in_the_rack_of_their_data():
    task_ledger = ledger(worker(millicores=9000), worker("w2", rack="r2", millicores=2000))
    accept(task_ledger, step(1, data_rack="r2"))
    assert worker_ids(plan(task_ledger)) == ["w2"]


def test_a_gang_is_placed_whole_or_not_at_all():
    task_ledger = ledger(worker(millicores=2000))
    accept(task_ledger, step(3, gang=True))
    assert plan(task_ledger) == []
    task_ledger.upsert_worker(worker("w2"))
    intents = plan(task_ledger)
    assert len(intents) == 3
    assert {intent.run for intent in intents} == {1}


def test_serving_runs_of_one_image_are_packed_together():
    task_ledger = ledger(*[worker(f"w{n}", millicores=9000) for n in range(4)])
    accept(task_ledger, step(2, lasting=True, target_ms=50, image="a"))
    accept(task_ledger, step(2, lasting=True, target_ms=50, image="b"), job_id=SECOND)
    intents = plan(task_ledger)
    worker_ids_by_job = {}
    for intent in intents:
        worker_ids_by_job.setdefault(intent.task[:16], set()).add(intent.life.worker_id)
    assert not worker_ids_by_job[JOB] & worker_ids_by_job[SECOND]


def test_best_effort_runs_avoid_serving_images_they_interfere_with():
    task_ledger = ledger(worker(), worker("w2"))
    for job_id, incarnation_key, image in (
        (JOB, ("w1", 1), "sensitive"),
        (SECOND, ("w2", 1), "tolerant"),
    ):
        accept(task_ledger, step(lasting=True, target_ms=50, image=image), job_id=job_id)
        record_intent(task_ledger, f"{job_id}.0.0.0", incarnation=incarnation_key)
    interference = InterferenceModel()
    interference.add_sample("sensitive", 0.5, {"noisy": 2.0}, 0.0)
    accept(task_ledger, step(2, filling=True, image="noisy", millicores=1500), job_id=THIRD)
    assert worker_ids(plan(task_ledger, interference)) == ["w2", "w2"]


def test_an_excluded_image_is_not_placed_on_that_worker():
    task_ledger = ledger(worker(), worker("w2"))
    accept(task_ledger, step(2, filling=True, image="noisy"))
    excluded = frozenset({"noisy"})
    views = [
        WorkerView(w, True, {}, excluded_images=excluded if key[0] == "w1" else frozenset())
        for key, w in task_ledger.worker_by_incarnation.items()
    ]
    intents = Placement(InterferenceModel()).plan(task_ledger, views, 0, FleetHealth(), 0.0)
    assert worker_ids(intents) == ["w2", "w2"]


def test_best_effort_runs_do_not_oversubscribe_a_worker():
    task_ledger = ledger(worker(millicores=3000))
    accept(task_ledger, step(9, filling=True))
    assert len(plan(task_ledger)) == 3


def ledger_with_long_running_work_up_to_the_share():
    """Return a ledger with 9 of 10 cores in use, and one more long-running task to start."""
    task_ledger = ledger(worker(millicores=10_000, memory_mb=9000))
    accept(task_ledger, step(9, lasting=True))
    for intent in plan(task_ledger):
        record_intent(task_ledger, intent.task)
    accept(task_ledger, step(1, lasting=True), job_id=SECOND)
    return task_ledger


def test_long_running_work_leaves_capacity_for_finite_runs():
    task_ledger = ledger_with_long_running_work_up_to_the_share()
    assert MAX_LONG_RUNNING_SHARE < 1.0
    assert plan(task_ledger) == []
    accept(task_ledger, step(), job_id=THIRD)
    assert len(plan(task_ledger)) == 1


# Guards against long-running work that is accepted and never starts: the capacity kept for
# finite runs was kept for good, even with nothing waiting for it.
def test_long_running_work_waits_only_for_a_while_for_capacity_kept_for_finite_runs():
    task_ledger = ledger_with_long_running_work_up_to_the_share()
    placement = Placement(InterferenceModel())
    assert [len(plan_at(task_ledger, placement, now)) for now in (0.0, 1.0, 2.5)] == [0, 0, 1]


# Guards against long-running work that takes the capacity that finite runs are waiting for.
def test_finite_runs_are_placed_before_long_running_work_that_has_waited():
    task_ledger = ledger_with_long_running_work_up_to_the_share()
    placement = Placement(InterferenceModel())
    plan_at(task_ledger, placement, 0.0)
    accept(task_ledger, step(1), job_id=THIRD)
    assert [i.task for i in plan_at(task_ledger, placement, 2.5)] == [f"{THIRD}.0.0.0"]


# Guards against a wide step of which nothing starts, since all its tasks together exceed the share.
def test_as_many_long_running_tasks_start_as_fit_after_the_wait():
    task_ledger = ledger(worker(millicores=10_000, memory_mb=9000))
    accept(task_ledger, step(20, lasting=True))
    placement = Placement(InterferenceModel())
    assert [len(plan_at(task_ledger, placement, now)) for now in (0.0, 2.5)] == [0, 10]


def test_a_long_running_task_that_lost_its_worker_may_use_the_reserved_capacity():
    task_ledger = ledger(worker(millicores=9000, memory_mb=9000), worker("w2", millicores=1000))
    accept(task_ledger, step(9, lasting=True))
    for index in range(9):
        record_intent(task_ledger, f"{JOB}.0.0.{index}")
    accept(task_ledger, step(1, lasting=True), job_id=SECOND)
    record_intent(task_ledger, f"{SECOND}.0.0.0", incarnation=("w2", 1))
    task_ledger.end_incarnations([WorkerLife("w2", 1)], [])
    task_ledger.upsert_worker(worker("w3", millicores=1000))
    assert worker_ids(plan(task_ledger)) == ["w3"]


def test_a_starving_best_effort_step_is_placed_where_it_interferes_least():
    task_ledger = ledger(worker(millicores=9000), worker("w2", millicores=9000))
    interference = InterferenceModel()
    for job_id, incarnation_key, image, utilisation_deviation in (
        (JOB, ("w1", 1), "sensitive", 0.6),
        (SECOND, ("w2", 1), "less-sensitive", 0.3),
    ):
        accept(task_ledger, step(lasting=True, target_ms=50, image=image), job_id=job_id)
        record_intent(task_ledger, f"{job_id}.0.0.0", incarnation=incarnation_key)
        interference.add_sample(image, utilisation_deviation, {"noisy": 3.0}, 0.0)
    accept(task_ledger, step(2, filling=True, image="noisy", millicores=4000), job_id=THIRD)
    views = [WorkerView(w, True, {}) for w in task_ledger.worker_by_incarnation.values()]
    placement = Placement(interference)
    plans = [placement.plan(task_ledger, views, 0, FleetHealth(), now) for now in (0.0, 1.0, 2.5)]
    assert [worker_ids(intents) for intents in plans] == [[], [], ["w2"]]


# Guards against long-running best-effort tasks that never start beside sensitive serving runs:
# only the first task of a step was placed, and none while the service was busy.
def test_every_long_running_best_effort_task_starts_after_a_while():
    task_ledger = ledger(worker(millicores=9000), worker("w2", millicores=9000))
    interference = InterferenceModel()
    for job_id, worker_id in ((JOB, "w1"), (SECOND, "w2")):
        serving = step(lasting=True, target_ms=50, image="sensitive", millicores=9000)
        accept(task_ledger, serving, job_id=job_id)
        record_intent(task_ledger, f"{job_id}.0.0.0", incarnation=(worker_id, 1))
    interference.add_sample("sensitive", 0.6, {"noisy": 3.0}, 0.0)
    noisy = step(4, filling=True, lasting=True, image="noisy", millicores=4000, max_per_worker=1)
    accept(task_ledger, noisy, job_id=THIRD)
    placement = Placement(interference)
    started = []
    for now in (0.0, 1.0, 2.5, 2.6, 2.7):
        intents = plan_at(task_ledger, placement, now)
        for intent in intents:
            record_intent(task_ledger, intent.task, incarnation=(intent.life.worker_id, 1))
        started.append(sorted(worker_ids(intents)))
    # Two workers, and at most one task of the step on each.
    assert started == [[], [], ["w1", "w2"], [], []]


# A pass that takes long holds up all other work of the leader.
def test_a_burst_of_wide_best_effort_steps_scores_each_worker_once_a_step():
    look_ups_by_width = {}
    for width in (1, 20):
        task_ledger = ledger(*[worker(f"w{n}", memory_mb=9000) for n in range(50)])
        for n in range(50):
            job_id = f"{0xC000 + n:016x}"
            accept(task_ledger, step(lasting=True, target_ms=50, image="serving"), job_id=job_id)
            record_intent(task_ledger, f"{job_id}.0.0.0", incarnation=(f"w{n}", 1))
        for n in range(10):
            job_id = f"{0xD000 + n:016x}"
            batch = step(width, filling=True, image="batch", millicores=500)
            accept(task_ledger, batch, job_id=job_id)
        interference = CountingInterferenceModel()
        assert len(plan(task_ledger, interference)) == 10 * width
        look_ups_by_width[width] = interference.look_ups
    # Each run planned changes the score of one worker of the 50.
    assert look_ups_by_width[20] < 2 * look_ups_by_width[1]


# The leader plans again after each run that ends, so a backlog must cost little.
def test_a_backlog_of_best_effort_jobs_on_a_full_fleet_is_scored_once_a_pass():
    look_ups_by_backlog = {}
    for backlog in (1, 20):
        task_ledger = ledger(*[worker(f"w{n}", memory_mb=9000) for n in range(50)])
        for n in range(50):
            job_id = f"{0xC000 + n:016x}"
            accept(task_ledger, step(lasting=True, target_ms=50, image="serving"), job_id=job_id)
            record_intent(task_ledger, f"{job_id}.0.0.0", incarnation=(f"w{n}", 1))
        for n in range(backlog):
            job_id = f"{0xD000 + n:016x}"
            batch = step(4, filling=True, image="batch", millicores=3000)
            accept(task_ledger, batch, job_id=job_id)
        interference = CountingInterferenceModel()
        interference.add_sample("serving", 0.9, {"batch": 3.0}, 0.0)
        assert plan(task_ledger, interference) == []
        look_ups_by_backlog[backlog] = interference.look_ups
    assert look_ups_by_backlog[20] < 2 * look_ups_by_backlog[1]


def test_a_smaller_step_is_placed_behind_a_larger_one_that_fits_nowhere():
    task_ledger = ledger(worker(millicores=2000))
    accept(task_ledger, step(millicores=3000))
    accept(task_ledger, step(millicores=3000, memory_mb=50), job_id=SECOND)
    accept(task_ledger, step(), job_id=THIRD)
    assert [intent.task for intent in plan(task_ledger)] == [f"{THIRD}.0.0.0"]


def test_a_task_that_failed_avoids_that_worker_whatever_the_order_of_its_step():
    task_ledger = ledger(worker(millicores=9000), worker("w2", millicores=8000))
    accept(task_ledger, step(3))
    record_intent(task_ledger, f"{JOB}.0.0.1")
    settle_run(task_ledger, f"{JOB}.0.0.1", RunOutcome.FAILED)
    worker_id_by_task = {intent.task: intent.life.worker_id for intent in plan(task_ledger)}
    assert worker_id_by_task[f"{JOB}.0.0.1"] == "w2"
    assert "w1" in worker_id_by_task.values()


# Guards against a leader whose processor is used up by best-effort starts, so that all else waits.
def test_best_effort_starts_are_limited_and_other_starts_are_not():
    task_ledger = ledger(worker(millicores=9000, memory_mb=9000))
    accept(task_ledger, step(6, filling=True, image="batch"))
    accept(task_ledger, step(3), job_id=SECOND)
    views = [WorkerView(w, True, {}) for w in task_ledger.worker_by_incarnation.values()]
    intents = Placement(InterferenceModel()).plan(task_ledger, views, 0, FleetHealth(), 0.0, 2)
    jobs = [intent.task.partition(".")[0] for intent in intents]
    assert (jobs.count(JOB), jobs.count(SECOND)) == (2, 3)


def test_a_best_effort_step_without_a_run_gets_one_whatever_the_limit():
    task_ledger = ledger(worker(millicores=9000, memory_mb=9000))
    accept(task_ledger, step(6, filling=True, image="batch"))
    accept(task_ledger, step(6, filling=True, image="batch"), job_id=SECOND)
    record_intent(task_ledger, f"{SECOND}.0.0.0")
    views = [WorkerView(w, True, {}) for w in task_ledger.worker_by_incarnation.values()]
    intents = Placement(InterferenceModel()).plan(task_ledger, views, 0, FleetHealth(), 0.0, 0)
    assert [intent.task for intent in intents] == [f"{JOB}.0.0.0"]


def test_long_running_best_effort_tasks_are_not_limited():
    task_ledger = ledger(worker(millicores=9000, memory_mb=9000))
    accept(task_ledger, step(3, filling=True, lasting=True, image="batch"))
    views = [WorkerView(w, True, {}) for w in task_ledger.worker_by_incarnation.values()]
    intents = Placement(InterferenceModel()).plan(task_ledger, views, 0, FleetHealth(), 0.0, 0)
    assert len(intents) == 3


# Hundreds of workers: scoring all of them for each waiting step took 2 ms a step.
def test_a_finite_step_is_scored_on_a_sample_of_a_large_fleet():
    records = [worker(f"w{n}", memory_mb=100_000) for n in range(1000)]
    task_ledger = ledger(*records)
    accept(task_ledger, step(1000, lasting=True, target_ms=50, image="shop"))
    for number in range(1000):
        record_intent(task_ledger, f"{JOB}.0.0.{number}", incarnation=(f"w{number}", 1))
    accept(task_ledger, step(20, filling=True, image="batch"), job_id=SECOND)
    interference = CountingInterferenceModel()
    intents = plan(task_ledger, interference)
    assert len(intents) == 20
    assert interference.look_ups < 400


def test_the_sample_is_as_large_as_it_takes_to_find_the_workers_that_may_run_a_step():
    full = [worker(f"w{n}", memory_mb=50) for n in range(300)]
    task_ledger = ledger(*full, worker("roomy", millicores=9000, memory_mb=1000))
    accept(task_ledger, step(5))
    assert worker_ids(plan(task_ledger)) == ["roomy"] * 5


def test_steps_placed_one_after_the_other_go_to_different_parts_of_a_large_fleet():
    task_ledger = ledger(*[worker(f"w{n}", millicores=1000) for n in range(400)])
    for number in range(4):
        accept(task_ledger, step(40), job_id=f"{0xE000 + number:016x}")
    intents = plan(task_ledger)
    assert len(intents) == len(set(worker_ids(intents))) == 160


def test_a_step_with_data_in_a_rack_finds_the_worker_there_in_a_large_fleet():
    near = worker("near", rack="r9")
    task_ledger = ledger(*[worker(f"w{n}") for n in range(300)], near)
    accept(task_ledger, step(data_rack="r9"))
    assert worker_ids(plan(task_ledger)) == ["near"]


# In an overload, work for jobs that will be late in any case made further jobs late.
def test_a_backlog_that_cannot_be_on_time_yields_to_jobs_that_still_can():
    task_ledger = ledger(worker(millicores=1000))
    accept(task_ledger, step(3, estimated_ms=1000), job_id=SECOND)
    task_ledger.at_ms = 1200
    accept(task_ledger, step(estimated_ms=1000), job_id=THIRD)
    # The objective is 2000 ms: at 1200 ms the first job could end at 2200 ms at the earliest.
    views = [WorkerView(w, True, {}) for w in task_ledger.worker_by_incarnation.values()]
    intents = Placement(InterferenceModel()).plan(task_ledger, views, 1200, FleetHealth(), 0.0)
    assert [intent.task for intent in intents] == [f"{THIRD}.0.0.0"]


def announce(task_ledger, sequence, **capacity):
    """Apply a heartbeat of w1 with another capacity."""
    record = worker(**capacity)
    record.sequence = sequence
    task_ledger.upsert_worker(record)


# A worker that does not guard its capacity starts whatever it is told to start.
def test_a_worker_whose_capacity_shrank_below_its_runs_gets_none_until_there_is_room():
    task_ledger = ledger(worker(millicores=4000))
    accept(task_ledger, step(8))
    for index in range(3):
        record_intent(task_ledger, f"{JOB}.0.0.{index}")
    announce(task_ledger, 1, millicores=2000)
    assert plan(task_ledger) == []
    announce(task_ledger, 2, millicores=0, memory_mb=0)
    assert plan(task_ledger) == []
    announce(task_ledger, 3, millicores=4000)
    assert len(plan(task_ledger)) == 1
    announce(task_ledger, 4, millicores=8000)
    assert len(plan(task_ledger)) == 5


# A run keeps its room until its end is settled, whatever is known of its stop.
def test_a_run_that_is_being_stopped_counts_against_a_shrunk_capacity():
    task_ledger = ledger(worker(millicores=4000))
    accept(task_ledger, step(4))
    for index in range(3):
        record_intent(task_ledger, f"{JOB}.0.0.{index}")
    task_ledger.cancel(JOB)
    accept(task_ledger, step(4), job_id=SECOND)
    announce(task_ledger, 1, millicores=3000)
    assert plan(task_ledger) == []
    settle_run(task_ledger, f"{JOB}.0.0.0", RunOutcome.STOPPED)
    assert len(plan(task_ledger)) == 1


def test_best_effort_runs_and_gangs_keep_to_the_memory_and_accelerators_that_are_left():
    task_ledger = ledger(worker(millicores=8000, memory_mb=1000))
    accept(task_ledger, step(4, filling=True, memory_mb=200))
    accept(task_ledger, step(4, gang=True, memory_mb=200), job_id=SECOND)
    accept(task_ledger, step(1, accelerators=1), job_id=THIRD)
    announce(task_ledger, 1, millicores=8000, memory_mb=500)
    planned = plan(task_ledger)
    assert len(planned) == 2
    assert {intent.task.partition(".")[0] for intent in planned} == {JOB}


def test_a_capacity_of_nothing_stops_no_placement_elsewhere():
    task_ledger = ledger(worker(millicores=4000), worker("w2", millicores=1000))
    accept(task_ledger, step(3), step(2, lasting=True), step(2, filling=True))
    announce(task_ledger, 1, millicores=0, memory_mb=0)
    planned = worker_ids(plan(task_ledger))
    assert planned and set(planned) == {"w2"}


def first_start_after(task_ledger, placement, health, soonest):
    """Return the time of the first pass, each 0.25 s from ``soonest`` on, that starts anything."""
    views = [WorkerView(w, True, {}) for w in task_ledger.worker_by_incarnation.values()]
    now = soonest
    while now < soonest + 30.0:
        if placement.plan(task_ledger, views, 0, health, now):
            return now
        now += 0.25
    return None


# Guards against a run that returns to the worker from which its image was just evicted.
def test_an_overdue_task_goes_to_a_worker_from_which_its_image_was_not_evicted():
    task_ledger = ledger(worker(millicores=9000), worker("w2", millicores=9000))
    interference = InterferenceModel()
    for job_id, worker_id, image in ((JOB, "w1", "less-sensitive"), (SECOND, "w2", "sensitive")):
        accept(task_ledger, step(lasting=True, target_ms=50, image=image), job_id=job_id)
        record_intent(task_ledger, f"{job_id}.0.0.0", incarnation=(worker_id, 1))
    interference.add_sample("less-sensitive", 0.3, {"noisy": 3.0}, 0.0)
    interference.add_sample("sensitive", 0.6, {"noisy": 3.0}, 0.0)
    noisy = step(filling=True, image="noisy", millicores=4000)
    accept(task_ledger, noisy, job_id=THIRD)
    views = [
        WorkerView(w, True, {}, excluded_images=frozenset({"noisy"} if key[0] == "w1" else ()))
        for key, w in task_ledger.worker_by_incarnation.items()
    ]
    placement = Placement(interference)
    plans = [placement.plan(task_ledger, views, 0, FleetHealth(), now) for now in (0.0, 2.5)]
    assert [worker_ids(intents) for intents in plans] == [[], ["w2"]]


# Guards against work that waits for the longest quarantine while no other worker may run it.
def test_work_that_only_quarantined_workers_may_run_starts_within_the_users_bound():
    labelled = worker(labels=("gpu",))
    for workers, needs in (
        ([worker(), worker("w2")], {}),
        ([labelled, worker("w2", labels=())], {"required_label": "gpu"}),
        ([worker(memory_mb=4000), worker("w2", memory_mb=100)], {"memory_mb": 2000}),
    ):
        for kind in ({}, {"lasting": True}, {"gang": True}, {"filling": True, "image": "a"}):
            task_ledger, health = ledger(*workers), FleetHealth()
            failing = workers if not needs else workers[:1]
            for at in (0.0, 0.1, 2.2, 6.3, 14.4):
                for record in failing:
                    health.record_outcome(record.life.worker_id, False, at)
            accept(task_ledger, step(2, **needs, **kind))
            placement = Placement(InterferenceModel())
            started_at = first_start_after(task_ledger, placement, health, 14.5)
            assert started_at is not None and started_at <= 14.5 + 3.0, (needs, kind, started_at)


# Guards against a gang of best-effort tasks that never starts beside runs that it disturbs: one
# member was planned, which is not valid without the others.
def test_a_starving_best_effort_gang_is_planned_whole():
    task_ledger = ledger(worker(millicores=9000), worker("w2", millicores=9000))
    interference = InterferenceModel()
    for job_id, worker_id in ((JOB, "w1"), (SECOND, "w2")):
        serving = step(lasting=True, target_ms=50, image="sensitive")
        accept(task_ledger, serving, job_id=job_id)
        record_intent(task_ledger, f"{job_id}.0.0.0", incarnation=(worker_id, 1))
    interference.add_sample("sensitive", 0.6, {"noisy": 3.0}, 0.0)
    gang = step(2, gang=True, filling=True, image="noisy", millicores=2000)
    accept(task_ledger, gang, job_id=THIRD)
    placement = Placement(interference)
    plans = [plan_at(task_ledger, placement, now) for now in (0.0, 1.0, 2.5)]
    assert [len(intents) for intents in plans] == [0, 0, 2]
    assert task_ledger.record_intents(plans[-1]) == plans[-1]
