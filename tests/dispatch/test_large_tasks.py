"""Large tasks get their turn beside small, long-running and best-effort ones.

A leader plans each pass on virtual time, without network; finite runs end after their estimate.
"""

import itertools
import math
import random

import attrs
import pytest

from savoryshelf.dispatch.health import (
    FAILURES_BEFORE_QUARANTINE,
    QUARANTINE_SECONDS,
    FleetHealth,
)
from savoryshelf.dispatch.interference import InterferenceModel
from savoryshelf.dispatch.lateness import YIELD_FACTOR
from savoryshelf.dispatch.placement import Placement, WorkerView
from savoryshelf.dispatch.reservations import Room
from savoryshelf.dispatch.waiting import MAX_DEFERRAL_SECONDS
from savoryshelf.wire.generated.ttypes import Manifest, RunOutcome, ServiceSpec

from ..tasks.builders import accept, ledger, manifest, queue, settle_run, step, worker
from .protocol_worker import CALL_TIMEOUT_SECONDS
from .startable_group import MAX_WAIT_SECONDS

PASS_SECONDS = 0.05
WORKER_MILLICORES = 16_000
WORKER_MEMORY_MB = 64_000
LARGE, SMALL = {"millicores": 16_000}, {"millicores": 2_000}
PATIENT = LARGE | {"estimated_ms": 30_000}
"""Of a job that is worth something for longer than a minute."""


class Fleet:
    """Workers of one service, a leader, and the finite runs that are at work."""

    def __init__(self, *sizes):
        records = [
            worker(f"w{n}", millicores=size, memory_mb=WORKER_MEMORY_MB)
            for n, size in enumerate(sizes)
        ]
        self.ledger = ledger(*records)
        queues = [queue(), queue("long", "/long/"), queue("batch", "/batch/", priority=2)]
        queues.append(queue("urgent", "/urgent/", priority=-1))
        self.ledger.put_manifest(manifest(2, queues))
        self.placement, self.health = Placement(InterferenceModel()), FleetHealth()
        self.now = 100.0
        self.ends_at_by_run = {}
        self.started_at_by_task = {}
        self.done_at_by_job = {}
        self.accepted_count = 0
        self.excluded_images = frozenset()

    def accept(self, *steps, prefix="/quotes/"):
        """Accept a job; return its id."""
        self.accepted_count += 1
        job_id = f"{self.accepted_count:016x}"
        self.ledger.at_ms = int(1000 * self.now)
        accept(self.ledger, *steps, job_id=job_id, prefix=prefix)
        return job_id

    def plan(self):
        """Plan one pass, and end the runs whose time is over."""
        self.ledger.at_ms = int(1000 * self.now)
        workers = self.ledger.worker_by_incarnation.values()
        for key, ends_at in list(self.ends_at_by_run.items()):
            if ends_at <= self.now:
                self._end(*key)
        excluded = {"excluded_images": self.excluded_images}
        views = [WorkerView(each, True, {}, **excluded) for each in workers]
        intents = self.placement.plan(self.ledger, views, self.ledger.at_ms, self.health, self.now)
        self.ledger.record_intents(intents)
        for intent in intents:
            self.started_at_by_task.setdefault(intent.task, self.now)
            spec = self.ledger.find_task(intent.task).step.spec
            if not spec.lasting:
                incarnation = intent.life.worker_id, intent.life.born_ms
                ends_at = self.now + spec.estimated_ms / 1000
                self.ends_at_by_run[intent.task, intent.run, incarnation] = ends_at
        return intents

    def refuse(self, intent, is_backed_off):
        """Let a worker refuse a planned start, for lack of room or for another reason."""
        incarnation = intent.life.worker_id, intent.life.born_ms
        del self.ends_at_by_run[intent.task, intent.run, incarnation]
        settle_run(self.ledger, intent.task, RunOutcome.NEVER_RAN, intent.run, incarnation)
        self.placement.record_refusal(intent.task, intent.run)
        if is_backed_off:
            self.health.record_rejection(intent.life.worker_id, self.now)

    def _end(self, task, run, incarnation):
        del self.ends_at_by_run[task, run, incarnation]
        job = self.ledger.find_task(task).step.job
        settle_run(self.ledger, task, RunOutcome.DONE, run, incarnation)
        if not job.unfinished:
            self.done_at_by_job[job.job_id] = self.now

    def run(self, seconds, each_pass=lambda: None):
        """Plan passes for so long; ``each_pass`` is called before each of them."""
        end = self.now + seconds
        while self.now < end:
            each_pass()
            self.plan()
            self.now += PASS_SECONDS

    def small_stream(self, steps_per_pass=2, count=8, durations_ms=(1000,), **fields):
        """Return what accepts more small steps than the workers can run."""
        durations = itertools.cycle(durations_ms)

        def each_pass():
            for _ in range(steps_per_pass):
                self.accept(step(count, estimated_ms=next(durations), **(SMALL | fields)))

        return each_pass

    def runs_on(self, worker_id):
        """Return the runs that a worker has, by task name and run number."""
        return list(self.ledger.worker_by_incarnation[worker_id, 1].task_by_run)

    def start_of(self, job_id, index=0):
        """Return when a task of a job was first started, infinity for never."""
        return self.started_at_by_task.get(f"{job_id}.0.0.{index}", math.inf)


# Guards against a task that needs a whole worker waiting without end: whatever is smaller
# takes each share of a worker that comes free.
@pytest.mark.parametrize("count", [1, 3])
def test_tasks_of_a_whole_worker_get_their_turn_beside_a_stream_of_small_ones(count):
    fleet = Fleet(*[WORKER_MILLICORES] * 8)
    stream = fleet.small_stream()
    fleet.run(2.0, stream)
    large = fleet.accept(step(count, estimated_ms=1000, **LARGE))
    accepted_at = fleet.now
    fleet.run(6.0, stream)
    # Runs take 1 s, and one worker may be kept free at a time.
    waits = [fleet.start_of(large, index) - accepted_at for index in range(count)]
    assert max(waits) <= count * (1.0 + 2 * PASS_SECONDS)


# Guards against a large task that waits for a worker on which no run ever ends.
def test_a_large_task_gets_its_turn_though_nothing_ends_on_one_worker():
    fleet = Fleet(*[WORKER_MILLICORES] * 8)
    hanging = fleet.accept(step(estimated_ms=200, **SMALL))
    fleet.plan()
    (key,) = fleet.ends_at_by_run
    fleet.ends_at_by_run[key] = math.inf
    stream = fleet.small_stream()
    fleet.run(2.0, stream)
    large = fleet.accept(step(estimated_ms=1000, **LARGE))
    accepted_at = fleet.now
    fleet.run(3.0, stream)
    assert fleet.start_of(large) - accepted_at <= 1.0 + 2 * PASS_SECONDS
    assert hanging not in fleet.done_at_by_job


# Guards against a large task that keeps the worker it once chose, though its run hangs there.
def test_a_large_task_gets_another_worker_if_room_comes_later_than_expected():
    fleet = Fleet(*[WORKER_MILLICORES] * 2)
    fleet.accept(step(estimated_ms=300, millicores=16_000))
    fleet.plan()
    (hanging,) = fleet.ends_at_by_run
    fleet.ends_at_by_run[hanging] = math.inf
    stream = fleet.small_stream()
    fleet.run(0.2, stream)
    large = fleet.accept(step(estimated_ms=1000, **LARGE))
    accepted_at = fleet.now
    fleet.run(4.0, stream)
    # It is worth something for three times its objective.
    assert fleet.start_of(large) + 1.0 - accepted_at <= 3 * (0.5 + 1.5 * 1.0)


# Guards against tasks of a quarter to half of a worker that wait without end, since several of the
# smaller runs never end at the same time.
@pytest.mark.parametrize("millicores", [4_000, 6_000, 8_000])
@pytest.mark.parametrize("load", [0.875, 1.125])
def test_a_task_of_up_to_half_a_worker_is_in_time_beside_small_ones(millicores, load):
    fleet = Fleet(*[WORKER_MILLICORES] * 20)
    random_ = random.Random(1)
    small_per_pass = load * 20 * PASS_SECONDS * WORKER_MILLICORES / 1_000

    def stream():
        for _ in range(int(small_per_pass / 4 + random_.random())):
            duration_ms = random_.randint(500, 1_500)
            fleet.accept(step(4, estimated_ms=duration_ms, millicores=1_000))

    fleet.run(3.0, stream)
    task = fleet.accept(step(estimated_ms=1000, millicores=millicores))
    accepted_at = fleet.now
    fleet.run(6.0, stream)
    # It is worth something for three times its objective.
    assert fleet.start_of(task) + 1.0 - accepted_at <= 3 * (0.5 + 1.5 * 1.0)


def test_a_task_of_a_whole_workers_memory_gets_its_turn_beside_best_effort_runs():
    fleet = Fleet(*[WORKER_MILLICORES] * 8)
    needs = {"millicores": 100, "memory_mb": 8_000, "filling": True, "image": "batch"}

    def stream():
        fleet.accept(step(16, estimated_ms=1000, **needs), prefix="/batch/")

    fleet.run(2.0, stream)
    large = fleet.accept(step(millicores=1000, memory_mb=WORKER_MEMORY_MB))
    accepted_at = fleet.now
    fleet.run(3.0, stream)
    assert fleet.start_of(large) - accepted_at <= 1.0 + 2 * PASS_SECONDS


# Guards against a gang that waits without end where few workers may be reserved.
@pytest.mark.parametrize("worker_count", [20, 8, 3])
def test_a_gang_of_large_tasks_gets_its_turn_whole(worker_count):
    fleet = Fleet(*[WORKER_MILLICORES] * worker_count)
    stream = fleet.small_stream(steps_per_pass=4)
    fleet.run(2.0, stream)
    large = fleet.accept(step(2, gang=True, **LARGE))
    accepted_at = fleet.now
    fleet.run(3.0, stream)
    starts = {fleet.start_of(large, index) for index in range(2)}
    assert len(starts) == 1
    assert starts.pop() - accepted_at <= 1.0 + 2 * PASS_SECONDS


# Guards against a gang of small tasks that waits without end: each of them has room, and not all
# at the same time.
def test_a_gang_of_small_tasks_gets_its_turn_whole():
    fleet = Fleet(*[WORKER_MILLICORES] * 20)
    stream = fleet.small_stream(7, count=4, durations_ms=[700, 1300, 1000, 1600, 850])
    fleet.run(3.0, stream)
    gang = fleet.accept(step(10, gang=True, **SMALL))
    accepted_at = fleet.now
    fleet.run(4.0, stream)
    starts = {fleet.start_of(gang, index) for index in range(10)}
    assert len(starts) == 1
    assert starts.pop() - accepted_at <= 1.6 + 2 * PASS_SECONDS


# Guards against a large task that runs several times longer, since the worker that is kept for it
# is far from its data.
def test_a_worker_in_the_rack_of_the_data_is_reserved_first():
    fleet = Fleet(WORKER_MILLICORES, WORKER_MILLICORES)
    records = [each.record for each in fleet.ledger.worker_by_incarnation.values()]
    records[1].rack = "r2"
    fleet.accept(step(8, data_rack="r2", estimated_ms=1_300, **SMALL))
    for number in range(8):
        near = {"data_rack": "r1", "estimated_ms": 300 + 100 * number}
        fleet.accept(step(1, **near, **SMALL))
    fleet.plan()
    large = fleet.accept(step(data_rack="r2", estimated_ms=5_000, **LARGE))
    fleet.accept(step(32, data_rack="r1", estimated_ms=2_000, **SMALL))
    fleet.run(1.5)
    (run,) = (run for run in fleet.ends_at_by_run if run[0].startswith(large))
    assert run[2][0] == records[1].life.worker_id


# Guards against workers that are idle for a step of which nothing can be in time there.
def test_no_worker_is_reserved_where_there_is_room_only_when_the_job_is_worth_nothing():
    fleet = Fleet(WORKER_MILLICORES)
    fleet.accept(step(estimated_ms=60_000, **SMALL))
    fleet.accept(step(7, estimated_ms=1_000, **SMALL))
    fleet.plan()
    # It has to start within 5 s to be worth anything.
    fleet.accept(step(estimated_ms=1_000, **LARGE))
    fleet.run(1.1)
    small = fleet.accept(step(7, **SMALL))
    fleet.plan()
    assert all(fleet.start_of(small, index) < math.inf for index in range(7))


# Guards against SHORT: a large task waits for the only worker near its data, though there is room
# only when its job is worth nothing.
def test_a_large_task_whose_data_is_on_a_full_worker_gets_another_one_in_time():
    fleet = Fleet(*[WORKER_MILLICORES] * 8)
    next(iter(fleet.ledger.worker_by_incarnation.values())).record.rack = "r2"
    fleet.accept(step(data_rack="r2", estimated_ms=60_000, **SMALL))
    stream = fleet.small_stream(5, count=1, durations_ms=[700, 1300, 1000, 1600, 850])
    fleet.run(2.0, stream)
    large = fleet.accept(step(data_rack="r2", estimated_ms=1_000, **LARGE))
    accepted_at = fleet.now
    fleet.run(3.0, stream)
    assert fleet.start_of(large) - accepted_at <= 1.6 + 2 * PASS_SECONDS


# Guards against a large task for which the worker that refuses it is kept again and again.
@pytest.mark.parametrize("is_backed_off", [True, False])
def test_another_worker_is_reserved_after_one_has_refused_the_task(is_backed_off):
    fleet = Fleet(*[WORKER_MILLICORES] * 8)
    stream = fleet.small_stream(4, count=1, durations_ms=[700, 1300, 1000, 1600, 850])
    fleet.run(2.0, stream)
    large = fleet.accept(step(estimated_ms=8_000, **LARGE))
    accepted_at, refusing, done = fleet.now, "", False
    while not done and fleet.now - accepted_at < 6.0:
        stream()
        for intent in fleet.plan():
            if intent.task.startswith(large):
                refusing = refusing or intent.life.worker_id
                done = intent.life.worker_id != refusing
                if not done:
                    fleet.refuse(intent, is_backed_off)
        fleet.now += PASS_SECONDS
    assert done
    # Two workers have to become free.
    assert fleet.now - accepted_at <= 2 * (1.6 + 2 * PASS_SECONDS)


def test_more_urgent_work_goes_before_a_reservation():
    fleet = Fleet(WORKER_MILLICORES)
    fleet.accept(step(8, estimated_ms=1000, **SMALL))
    fleet.plan()
    fleet.accept(step(**LARGE))
    fleet.run(1.0)
    urgent = fleet.accept(step(8, **SMALL), prefix="/urgent/")
    fleet.run(0.1)
    assert all(fleet.start_of(urgent, index) < math.inf for index in range(8))


def test_a_reservation_leaves_the_other_workers_to_smaller_tasks():
    fleet = Fleet(*[WORKER_MILLICORES] * 20)
    fleet.accept(step(160, estimated_ms=1000, **SMALL))
    fleet.plan()
    fleet.accept(step(20, **LARGE))
    fleet.run(0.5)
    small = fleet.accept(step(160, **SMALL))
    fleet.run(0.6)
    # Two of the twenty workers are reserved at most.
    started = [fleet.start_of(small, index) < math.inf for index in range(160)]
    assert sum(started) >= 18 * 8


def test_no_worker_is_reserved_for_a_job_that_is_worth_nothing_any_more():
    fleet = Fleet(WORKER_MILLICORES)
    fleet.accept(step(8, estimated_ms=3_000, **SMALL))
    fleet.plan()
    fleet.ends_at_by_run = dict.fromkeys(fleet.ends_at_by_run, math.inf)
    # 0.5 s and 1.5 times its estimate; three times that is very late.
    large = fleet.accept(step(estimated_ms=1000, **LARGE))
    fleet.plan()
    assert fleet.placement._reservations.workers_of((large, 0, 0))
    fleet.run(6.0)
    fleet.ends_at_by_run = dict.fromkeys(fleet.ends_at_by_run, fleet.now)
    small = fleet.accept(step(8, **SMALL))
    fleet.run(0.1)
    assert all(fleet.start_of(small, index) < math.inf for index in range(8))


# Guards against a large task that waits without end once its job is worth nothing any more, since
# it yields to a stream of jobs that can still be in time.
@pytest.mark.parametrize(
    "spec",
    [step(estimated_ms=1000, **LARGE), step(2, estimated_ms=1000, gang=True, **LARGE)],
    ids=["a task", "a gang"],
)
def test_a_job_that_is_worth_nothing_any_more_gets_its_turn_at_last(spec):
    fleet = Fleet(*[WORKER_MILLICORES] * 8)
    fleet.accept(step(64, estimated_ms=10_000, **SMALL))
    fleet.plan()
    stream = fleet.small_stream(4)
    large = fleet.accept(spec)
    accepted_at = fleet.now
    fleet.run(14.0, stream)
    # Its objective is 2 s, and the runs on a worker take 1 s.
    assert fleet.start_of(large) - accepted_at <= YIELD_FACTOR * 2.0 + 1.0 + 2 * PASS_SECONDS


# Guards against a service that is idle for jobs that are worth nothing any more.
def test_jobs_that_are_worth_nothing_any_more_have_one_worker_at_a_time():
    fleet = Fleet(*[WORKER_MILLICORES] * 20)
    fleet.accept(step(160, estimated_ms=14_000, **SMALL))
    fleet.plan()
    for _ in range(4):
        fleet.accept(step(5, estimated_ms=1000, **LARGE))
    fleet.run(13.8)
    small = fleet.accept(step(160, estimated_ms=8000, **SMALL))
    fleet.run(0.3)
    assert sum(fleet.start_of(small, index) < math.inf for index in range(160)) == 19 * 8


# Guards against large tasks that wait without end, since others have reserved workers which
# can't run them.
@pytest.mark.parametrize("requirement", ["service", "label"])
def test_reservations_elsewhere_do_not_count_against_a_service_or_label(requirement):
    fleet = Fleet(*[WORKER_MILLICORES] * 20)
    fields, prefix = {"required_label": "b"}, "/quotes/"
    if requirement == "service":
        fields, prefix = {}, "/other/"
        queues = [queue(), queue("other", "/other/")]
        queues[1].service_name = "other"
        services = [ServiceSpec(each.service_name, True, False) for each in queues]
        fleet.ledger.put_manifest(Manifest(3, queues, services, "{}"))
    for n in range(4):
        record = worker(f"b{n}", millicores=WORKER_MILLICORES, labels=("b",))
        if requirement == "service":
            record.service_name = "other"
        fleet.ledger.upsert_worker(record)

    def stream():
        fleet.accept(step(8, estimated_ms=1000, **SMALL, **fields), prefix=prefix)

    fleet.run(2.0, stream)
    fleet.accept(step(8 * 20, estimated_ms=60_000, **SMALL))
    fleet.run(0.1, stream)
    fleet.accept(step(4, **PATIENT))
    fleet.run(0.1, stream)
    large = fleet.accept(step(estimated_ms=1000, **LARGE, **fields), prefix=prefix)
    accepted_at = fleet.now
    fleet.run(3.0, stream)
    assert fleet.start_of(large) - accepted_at <= 1.0 + 2 * PASS_SECONDS


# Guards against large tasks that wait without end, since work that counts for less has reserved
# all workers that may be.
@pytest.mark.parametrize("holder", ["less urgent", "very late", "very late for long"])
def test_a_large_task_takes_what_is_reserved_for_less_important_ones(holder):
    fleet = Fleet(*[WORKER_MILLICORES] * 8)
    # So many of them that their ends are spread over the time.
    stream = fleet.small_stream(4, count=1, durations_ms=[700, 1300, 1000, 1600, 850])
    fleet.run(2.0, stream)
    if holder == "less urgent":
        fleet.accept(step(**LARGE), prefix="/batch/")
        fleet.run(0.2, stream)
    else:
        # Its objective is 2 s, and it is worth nothing after three times that.
        fleet.accept(step(40, estimated_ms=1000, **LARGE))
        fleet.run(6.0 if holder == "very late" else 13.0, stream)
    large = fleet.accept(step(estimated_ms=1000, **LARGE))
    accepted_at = fleet.now
    fleet.run(3.0, stream)
    assert fleet.start_of(large) - accepted_at <= 1.6 + 2 * PASS_SECONDS


def test_what_can_still_be_in_time_goes_before_a_reservation_of_what_cannot():
    fleet = Fleet(WORKER_MILLICORES)
    fleet.accept(step(8, estimated_ms=4_500, **SMALL))
    fleet.plan()
    fleet.ends_at_by_run = dict.fromkeys(fleet.ends_at_by_run, fleet.now + 8.0)
    # It has to start within 5 s to be worth anything.
    large = fleet.accept(step(estimated_ms=1000, **LARGE))
    fleet.run(1.0)
    assert fleet.placement._reservations.workers_of((large, 0, 0))
    fleet.run(6.9)
    small = fleet.accept(step(8, estimated_ms=8_000, **SMALL))
    fleet.run(0.3)
    assert all(fleet.start_of(small, index) < math.inf for index in range(8))


# Guards against a leader without time to spare: passes that look at all workers for each of many
# steps.
@pytest.mark.parametrize("taken", [0, 38])
def test_a_backlog_of_large_steps_is_planned_without_a_look_at_all_workers_for_each(
    monkeypatch, taken
):
    fleet = Fleet(*[WORKER_MILLICORES] * 40)
    if taken:
        fleet.accept(step(taken, lasting=True, max_per_worker=1, **LARGE), prefix="/long/")
    fleet.run(2.0)
    fleet.accept(step(8 * (40 - taken), estimated_ms=60_000, **SMALL))
    fleet.plan()
    for number in range(100):
        fleet.accept(step(2, estimated_ms=30_000, millicores=9_000 + 37 * number % 1_000))
    looks = []
    look = Room.slots_without_finite_runs

    def counted(room, step, run_count):
        looks.append(room)
        return look(room, step, run_count)

    monkeypatch.setattr(Room, "slots_without_finite_runs", counted)
    fleet.plan()
    assert 0 < len(looks) <= 10 * 40


@pytest.mark.parametrize("cause", ["ends", "drains", "has room elsewhere"])
def test_a_worker_is_reserved_no_longer_than_needed(cause):
    fleet = Fleet(WORKER_MILLICORES, WORKER_MILLICORES)
    first = fleet.accept(step(16, estimated_ms=1000, **SMALL))
    fleet.plan()
    large = fleet.accept(step(**LARGE))
    fleet.plan()
    if cause == "ends":
        fleet.ledger.cancel(large)
    elif cause == "drains":
        for each in fleet.ledger.worker_by_incarnation.values():
            each.record.draining = True
        fleet.plan()
        for each in fleet.ledger.worker_by_incarnation.values():
            each.record.draining = False
        fleet.ledger.cancel(large)
    else:
        fleet.ledger.upsert_worker(worker("w9", millicores=16_000, memory_mb=WORKER_MEMORY_MB))
    fleet.run(1.1)
    assert first in fleet.done_at_by_job
    small = fleet.accept(step(16, **SMALL))
    fleet.plan()
    assert all(fleet.start_of(small, index) < math.inf for index in range(16))


# Guards against LOST: with under half of the service in use, work that could run has to.
def test_work_that_has_waited_too_long_may_use_a_reserved_worker_of_an_idle_service():
    fleet = Fleet(WORKER_MILLICORES, WORKER_MILLICORES, WORKER_MILLICORES)
    for each in list(fleet.ledger.worker_by_incarnation.values())[1:]:
        each.record.memory_mb = 50
    fleet.accept(step(millicores=2_000, estimated_ms=60_000))
    fleet.plan()
    large = fleet.accept(step(**PATIENT))
    fleet.plan()
    small = fleet.accept(step(**SMALL))
    fleet.run(3.0)
    assert fleet.start_of(small) < math.inf
    assert fleet.start_of(large) == math.inf


# Guards against LOST: a preference that keeps work off a free worker, and then a reservation that
# does so as long again.
@pytest.mark.parametrize("seconds", [0.5, 1.0, 1.4])
def test_a_reservation_does_not_add_to_the_time_that_work_was_kept_off_a_free_worker(seconds):
    fleet = Fleet(WORKER_MILLICORES)
    fleet.excluded_images = frozenset(["batch"])
    fleet.accept(step(millicores=2_000, estimated_ms=60_000))
    fleet.plan()
    best_effort = step(millicores=500, filling=True, image="batch")
    job_id, accepted_at = fleet.accept(best_effort, prefix="/batch/"), fleet.now
    fleet.run(seconds)
    fleet.accept(step(**PATIENT))
    fleet.run(3.0)
    assert fleet.start_of(job_id) - accepted_at <= MAX_DEFERRAL_SECONDS + 2 * PASS_SECONDS


# Guards against LOST: reservations that follow one another, each of which delays work anew.
def test_reservations_in_turn_do_not_delay_work_of_an_idle_service_again_and_again():
    fleet = Fleet(WORKER_MILLICORES, WORKER_MILLICORES, WORKER_MILLICORES)
    for each in list(fleet.ledger.worker_by_incarnation.values())[1:]:
        each.record.memory_mb = 50
    fleet.accept(step(millicores=2_000, estimated_ms=60_000))
    fleet.plan()
    reserving = [fleet.accept(step(**PATIENT))]
    fleet.plan()
    small = fleet.accept(step(**SMALL))
    accepted_at = fleet.now

    def replace_reservation():
        if int(fleet.now - accepted_at) >= len(reserving):
            fleet.ledger.cancel(reserving[-1])
            reserving.append(fleet.accept(step(**PATIENT)))

    fleet.run(6.0, replace_reservation)
    assert fleet.start_of(small) - accepted_at <= MAX_DEFERRAL_SECONDS + 2 * PASS_SECONDS


def test_long_running_work_that_has_waited_too_long_ignores_reservations():
    fleet = Fleet(WORKER_MILLICORES)
    fleet.accept(step(7, estimated_ms=60_000, **SMALL))
    fleet.plan()
    fleet.accept(step(**PATIENT))
    fleet.plan()
    lasting = fleet.accept(step(lasting=True, **SMALL), prefix="/long/")
    fleet.run(3.0)
    assert fleet.start_of(lasting) < math.inf


# Guards against LOST: long-running work kept off a reserved worker, since finite work is.
def test_long_running_work_ignores_reservations_after_finite_work_was_kept_out():
    fleet = Fleet(WORKER_MILLICORES)
    fleet.accept(step(7, estimated_ms=60_000, **SMALL))
    fleet.plan()
    fleet.accept(step(**PATIENT))
    fleet.plan()
    small = fleet.accept(step(estimated_ms=60_000, **SMALL))
    lasting = fleet.accept(step(lasting=True, **SMALL), prefix="/batch/")
    accepted_at = fleet.now
    fleet.run(3.0)
    assert fleet.start_of(small) == math.inf
    assert fleet.start_of(lasting) - accepted_at <= MAX_DEFERRAL_SECONDS + 2 * PASS_SECONDS


# Guards against LOST: each step that reserved the only worker with room began the wait anew.
def test_work_that_has_waited_too_long_waits_for_one_of_several_reservations_in_a_row():
    fleet = Fleet(*[WORKER_MILLICORES] * 4)
    for each in list(fleet.ledger.worker_by_incarnation.values())[2:]:
        each.record.memory_mb = 50
    endless = fleet.accept(step(estimated_ms=1_000, **SMALL))
    fleet.accept(step(estimated_ms=1_100, **LARGE))
    fleet.plan()
    # Longer than estimated, so its worker is reserved and the large tasks start on the other.
    for key in fleet.ends_at_by_run:
        if key[0].startswith(endless):
            fleet.ends_at_by_run[key] = math.inf
    for _ in range(8):
        fleet.accept(step(estimated_ms=1_000, **LARGE))
    fleet.plan()
    small = fleet.accept(step(**SMALL))
    accepted_at = fleet.now
    fleet.run(6.0)
    assert fleet.start_of(small) - accepted_at < MAX_WAIT_SECONDS


# Guards against LOST: a quarantine and a reservation after it were two waits of 1.5 s in a row.
def test_work_that_has_waited_for_a_quarantine_does_not_wait_for_a_reservation_as_well():
    fleet = Fleet(*[WORKER_MILLICORES] * 3)
    for each in list(fleet.ledger.worker_by_incarnation.values())[1:]:
        each.record.memory_mb = 50
    fleet.accept(step(estimated_ms=60_000, **SMALL))
    fleet.plan()
    for _ in range(FAILURES_BEFORE_QUARANTINE):
        ends_at = fleet.now + MAX_DEFERRAL_SECONDS - PASS_SECONDS
        fleet.health.record_outcome("w0", False, ends_at - QUARANTINE_SECONDS)
    fleet.accept(step(**PATIENT))
    small = fleet.accept(step(**SMALL))
    accepted_at = fleet.now
    fleet.run(MAX_WAIT_SECONDS)
    assert fleet.start_of(small) - accepted_at <= MAX_WAIT_SECONDS - CALL_TIMEOUT_SECONDS


def test_no_worker_is_reserved_where_long_running_work_leaves_no_room():
    fleet = Fleet(*[WORKER_MILLICORES] * 4)
    fleet.accept(step(4, lasting=True, max_per_worker=1, **SMALL), prefix="/long/")
    fleet.run(3.0)
    fleet.accept(step(**LARGE))
    fleet.run(1.0)
    small = fleet.accept(step(28, **SMALL))
    fleet.plan()
    assert all(fleet.start_of(small, index) < math.inf for index in range(28))


# Guards against long-running work on each worker, though there is room for it on fewer.
def test_long_running_work_leaves_whole_workers_though_best_effort_runs_are_everywhere():
    fleet = Fleet(*[WORKER_MILLICORES] * 40)
    batch = {"millicores": 2_000, "memory_mb": 1_000, "filling": True, "image": "batch"}
    fleet.accept(step(320, estimated_ms=60_000, **batch), prefix="/batch/")
    fleet.plan()
    for number in range(16):
        serving = {"millicores": 1_500, "max_per_worker": 1, "image": f"s{number % 5}"}
        fleet.accept(step(20, lasting=True, target_ms=50, **serving), prefix="/long/")
    fleet.run(3.0)
    workers = fleet.ledger.worker_by_incarnation.values()
    assert sum(each.long_running_millicores for each in workers) == 480_000
    large = fleet.accept(step(3, **LARGE))
    fleet.plan()
    assert all(fleet.start_of(large, index) < math.inf for index in range(3))


def test_workers_with_best_effort_long_running_runs_are_kept_whole_as_well():
    fleet = Fleet(*[WORKER_MILLICORES] * 40)
    crawl = {"millicores": 2_000, "max_per_worker": 1, "lasting": True, "filling": True}
    fleet.accept(step(40, image="crawl", **crawl), prefix="/batch/")
    fleet.plan()
    for number in range(16):
        serving = {"millicores": 1_500, "max_per_worker": 1, "image": f"s{number % 5}"}
        fleet.accept(step(20, lasting=True, target_ms=50, **serving), prefix="/long/")
    fleet.run(3.0)
    large = fleet.accept(step(3, **LARGE))
    fleet.plan()
    assert all(fleet.start_of(large, index) < math.inf for index in range(3))


# Guards against whole workers that are given up since no task needs half of the largest ones.
def test_workers_of_all_sizes_are_kept_whole_if_a_task_needs_half_of_the_smallest():
    fleet = Fleet(*[24_000] * 4, *[WORKER_MILLICORES] * 36)
    fleet.accept(step(millicores=9_000, estimated_ms=100))
    fleet.run(0.5)
    for number in range(16):
        serving = {"millicores": 1_500, "max_per_worker": 1, "image": f"s{number % 5}"}
        fleet.accept(step(20, lasting=True, target_ms=50, **serving), prefix="/long/")
    fleet.run(3.0)
    workers = list(fleet.ledger.worker_by_incarnation.values())
    # A twelfth of the processors, at least.
    assert sum(not each.long_running_millicores for each in workers) >= 3


# Guards against a worker whose loss ends all tasks of a step, since the others are kept for what
# none of them can run.
@pytest.mark.parametrize("fields", [{"millicores": 32_000}, LARGE | {"required_label": "none"}])
def test_long_running_tasks_are_spread_beside_a_backlog_that_fits_nowhere(fields):
    fleet = Fleet(*[WORKER_MILLICORES] * 8)
    fleet.accept(step(lasting=True, millicores=1_000), prefix="/long/")
    fleet.run(2.0)
    fleet.accept(step(100, estimated_ms=60_000, **fields))
    fleet.run(1.0)
    lasting = fleet.accept(step(4, lasting=True, **SMALL), prefix="/long/")
    fleet.run(2.0)
    workers = [
        worker_id
        for worker_id, _ in fleet.ledger.worker_by_incarnation
        if any(task.startswith(lasting) for task, _ in fleet.runs_on(worker_id))
    ]
    assert len(workers) == 4


def test_long_running_work_uses_the_workers_kept_whole_if_no_other_has_room():
    fleet = Fleet(*[WORKER_MILLICORES] * 4)
    lasting = fleet.accept(step(4, lasting=True, millicores=14_000), prefix="/long/")
    fleet.run(3.0)
    assert all(fleet.start_of(lasting, index) < math.inf for index in range(4))


def test_small_tasks_leave_whole_workers_to_large_ones():
    fleet = Fleet(*[WORKER_MILLICORES] * 8)
    lasting = {"lasting": True, "max_per_worker": 1, "millicores": 8_000}
    fleet.accept(step(6, **lasting), prefix="/long/")
    fleet.accept(step(**LARGE))
    fleet.run(2.0)
    fleet.accept(step(20, **SMALL))
    fleet.plan()
    large = fleet.accept(step(2, **LARGE))
    fleet.plan()
    assert all(fleet.start_of(large, index) < math.inf for index in range(2))


def draw(random_, mean, spread, largest):
    """Return a value of a log-normal distribution as the users' site files have them."""
    value = mean * math.exp(random_.gauss(0.0, spread) - spread**2 / 2)
    return max(1, int(min(largest, value)))


@attrs.define
class Submission:
    """A finite job of the day, and what its caller sees of it."""

    job_id: str
    accepted_at: float
    work: int
    objective_seconds: float


class LargeSite(Fleet):
    """A part of the large site: a day's sizes, rates and shares, without what makes days different.

    Best-effort and long-running jobs come before the traffic, the latter until they have
    ``long_running_share`` of the processors.
    """

    LEAD_SECONDS = 3.0

    def __init__(self, seed, long_running_share, count=223):
        super().__init__(*[24_000 if n % 3 == 2 else 16_000 for n in range(count)])
        self.random = random.Random(seed)
        self.submissions = []
        workers = self.ledger.worker_by_incarnation.values()
        self.millicores = sum(each.record.millicores for each in workers)
        for _ in range(6):
            self.accept_batch()
        taken = 0
        while taken < long_running_share * self.millicores:
            taken += self.accept_long_running()
        self.run(self.LEAD_SECONDS)

    def accept_batch(self):
        needs = {
            "millicores": draw(self.random, 1_800, 0.3, 3_500),
            "memory_mb": draw(self.random, 3_200, 0.3, 6_400),
            "estimated_ms": draw(self.random, 2_200, 0.5, 5_400),
            "image": f"batch-{self.random.randrange(30)}",
        }
        count = draw(self.random, 39, 0.6, 160)
        self.accept(step(count, filling=True, **needs), prefix="/batch/")

    def accept_long_running(self):
        needs = {
            "millicores": draw(self.random, 3_200, 0.25, 5_100),
            "memory_mb": draw(self.random, 6_400, 0.3, 13_000),
            "max_per_worker": self.random.randrange(2),
            "image": f"serving-{self.random.randrange(8)}",
        }
        count = draw(self.random, 24, 0.4, 48)
        self.accept(step(count, lasting=True, target_ms=50, **needs), prefix="/long/")
        return count * needs["millicores"]

    def accept_quote(self):
        count = draw(self.random, 9.4, 0.8, 56)
        needs = {
            "millicores": draw(self.random, 5_300, 0.45, 16_000),
            "memory_mb": draw(self.random, 11_000, 0.3, 21_000),
            "estimated_ms": draw(self.random, 1_000, 0.5, 2_500),
        }
        work = count * needs["millicores"] * needs["estimated_ms"]
        objective_seconds = 0.5 + 1.5 * needs["estimated_ms"] / 1000
        job_id = self.accept(step(count, **needs))
        self.submissions.append(Submission(job_id, self.now, work, objective_seconds))

    def play(self, seconds):
        """Play traffic, and wait until what has been accepted can be done."""

        def traffic():
            # A second: 5.2 quotes and 9.2 best-effort jobs on 446 workers.
            share = len(self.ledger.worker_by_incarnation) / 446 * PASS_SECONDS
            self.accept_some(self.accept_quote, 5.2 * share)
            self.accept_some(self.accept_batch, 9.2 * share)

        self.run(seconds, traffic)
        self.run(3 * max(each.objective_seconds for each in self.submissions))

    def accept_some(self, accept_one, mean):
        """Accept jobs, so many in the mean."""
        while self.random.random() < mean / (1 + mean):
            accept_one()

    def served_share(self, submissions):
        """Return the share that is worth something to its callers: up to three objectives late."""
        served = [
            each
            for each in submissions
            if self.done_at_by_job.get(each.job_id, math.inf) - each.accepted_at
            <= 3 * each.objective_seconds
        ]
        return len(served) / len(submissions)


# Guards against SHORT: large jobs that wait until they are worth nothing, beside small ones.
@pytest.mark.parametrize("long_running_share", [0.75, 0.8, 0.85])
@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_the_largest_jobs_are_served_at_least_half_as_often_as_all(seed, long_running_share):
    site = LargeSite(seed, long_running_share)
    site.play(15.0)
    by_work = sorted(site.submissions, key=lambda each: each.work)
    tenth = len(by_work) // 10
    all_of_them = site.served_share(by_work)
    assert site.served_share(by_work[-tenth:]) >= 0.5 * all_of_them
    assert site.served_share(by_work[-3 * tenth : -tenth]) >= 0.5 * all_of_them
