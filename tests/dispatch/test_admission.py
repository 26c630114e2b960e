"""Whether there is room for one more long-running job beside finite work."""

import math
import random

import pytest

from savoryshelf.dispatch.admission import MAX_FINITE_SHARE, occupancy_without_room
from savoryshelf.dispatch.finite_demand import RECENT_HALF_LIFE_SECONDS, FiniteDemand
from savoryshelf.wire.generated.ttypes import (
    ContactLoss,
    EndEvidence,
    JobSpec,
    RunAge,
    RunOutcome,
    WorkerLife,
)

from ..tasks.builders import (
    accept,
    ledger,
    manifest,
    queue,
    record_intent,
    settle_run,
    step,
    worker,
)
from .test_large_tasks import PASS_SECONDS, LargeSite

LONG_RUNNING = {"lasting": True, "target_ms": 50, "millicores": 4_000}
LARGE = {"millicores": 12_000}
QUOTES, LONG = queue(), queue("long", "/long/")
MIN_SERVED_SHARE = 0.4
"""The users' floor for each kind of request on days with trouble."""


class Service:
    """Ten workers of 16 processors, and what finite work has needed of late."""

    def __init__(self, labels_by_worker=None):
        labels_by_worker = labels_by_worker or {}
        records = [
            worker(
                f"w{n}", millicores=16_000, memory_mb=64_000, labels=labels_by_worker.get(n, ("a",))
            )
            for n in range(10)
        ]
        self.ledger = ledger(*records)
        self.ledger.put_manifest(manifest(2, [QUOTES, LONG]))
        self.demand = FiniteDemand()
        self.accepted_count = 0

    def accept(self, *steps, prefix="/quotes/"):
        """Accept a job whatever there is room for."""
        self.accepted_count += 1
        job_id = f"{self.accepted_count:016x}"
        accept(self.ledger, *steps, job_id=job_id, prefix=prefix)
        self.record(1.0)

    def record(self, now):
        """Take note of what finite work needs."""
        groups = self.ledger.startable_group_by_key.values()
        self.demand.record(groups, self.ledger.worker_by_incarnation.values(), now)

    def has_room_for(self, *steps, to=LONG, now=1.0):
        """Return whether a job would be accepted."""
        spec = JobSpec("work", list(steps), 0, 0, 1000)
        return occupancy_without_room(self.ledger, self.demand, to, spec, now) is None


@pytest.fixture
def service():
    return Service()


# Guards against SHORT: long-running jobs take the room that large tasks need, and never release it.
def test_a_long_running_job_leaves_the_room_that_large_tasks_have_needed(service):
    service.accept(step(4, **LARGE))
    assert service.has_room_for(step(28, **LONG_RUNNING))
    assert not service.has_room_for(step(29, **LONG_RUNNING))


def test_accepted_long_running_work_counts_though_it_has_not_started(service):
    service.accept(step(4, **LARGE))
    service.accept(step(20, **LONG_RUNNING), prefix="/long/")
    assert service.has_room_for(step(8, **LONG_RUNNING))
    assert not service.has_room_for(step(9, **LONG_RUNNING))


# Guards against LOST: a task that is held after crashes finds its room taken for good when a silent
# worker answers again.
def test_long_running_work_counts_while_it_is_held_after_crashes(service):
    service.accept(step(4, **LARGE))
    service.accept(step(20, **LONG_RUNNING), prefix="/long/")
    task = f"{service.accepted_count:016x}.0.0.0"
    for number in range(5):
        assert record_intent(service.ledger, task, number + 1, (f"w{number}", 1))
        service.ledger.at_ms += 10_000
        service.ledger.end_incarnations(
            [WorkerLife(f"w{number}", 1)], [], None, True, [RunAge(task, number + 1, 0)],
            EndEvidence.SILENT, [ContactLoss(5, 0)],
        )  # fmt: skip
        service.ledger.upsert_worker(worker(f"w{number}", 2, millicores=16_000, memory_mb=64_000))
    assert task in service.ledger.held_task_by_name
    assert service.has_room_for(step(8, **LONG_RUNNING))
    assert not service.has_room_for(step(9, **LONG_RUNNING))


def test_no_room_is_kept_before_there_was_finite_work(service):
    assert service.has_room_for(step(40, **LONG_RUNNING))


def test_no_room_is_kept_for_small_tasks(service):
    service.accept(step(40, millicores=2_000))
    assert service.has_room_for(step(40, **LONG_RUNNING))


def test_no_room_is_kept_for_less_urgent_work(service):
    service.accept(step(4, **LARGE))
    urgent = queue("urgent", "/urgent/", priority=-1)
    assert service.has_room_for(step(40, **LONG_RUNNING), to=urgent)


def test_long_running_work_has_its_share_beside_any_backlog(service):
    service.accept(step(500, **LARGE))
    share = int((1.0 - MAX_FINITE_SHARE) * 40)
    assert service.has_room_for(step(share, **LONG_RUNNING))
    assert not service.has_room_for(step(share + 1, **LONG_RUNNING))


@pytest.mark.parametrize("fields", [{"filling": True, **LONG_RUNNING}, {"millicores": 16_000}])
def test_work_that_releases_what_it_has_or_reserves_nothing_is_accepted(service, fields):
    service.accept(step(500, **LARGE))
    assert service.has_room_for(step(100, **fields))


# Guards against refusals while there is room: nothing is recorded while no step waits.
def test_the_room_that_is_kept_fades_when_nothing_waits_any_more(service):
    service.accept(step(4, **LARGE))
    assert not service.has_room_for(step(38, **LONG_RUNNING))
    assert service.has_room_for(step(38, **LONG_RUNNING), now=1.0 + 3 * RECENT_HALF_LIFE_SECONDS)


def test_workers_that_drain_have_no_room(service):
    for n in range(5):
        record = worker(f"w{n}", millicores=16_000, memory_mb=64_000)
        record.draining = True
        service.ledger.upsert_worker(record)
    service.accept(step(4, **LARGE))
    assert service.has_room_for(step(10, **LONG_RUNNING))
    assert not service.has_room_for(step(11, **LONG_RUNNING))


def test_workers_with_the_label_keep_their_part_of_the_room():
    service = Service(labels_by_worker=dict.fromkeys(range(5), ("b",)))
    service.accept(step(4, **LARGE))
    long_running = {"required_label": "b"} | LONG_RUNNING
    assert service.has_room_for(step(14, **long_running))
    assert not service.has_room_for(step(15, **long_running))


class CrowdedSite(LargeSite):
    """The large site while long-running jobs come and go, after some workers are lost for good.

    Those jobs stay for 70 s in the mean, and the leader refuses new ones without room.
    """

    MEAN_STAY_SECONDS = 70.0
    LOSS_AFTER_SECONDS = 3.0

    def __init__(self, seed, long_running_share, lost_share):
        self.lost_share = lost_share
        self.long_running_ids = []
        self.refused_count = 0
        self.has_traffic = False
        super().__init__(seed, long_running_share)
        self.stays = random.Random(seed + 1)

    def accept(self, *steps, prefix="/quotes/"):
        if prefix != "/long/":
            return super().accept(*steps, prefix=prefix)
        spec, demand = JobSpec("work", list(steps), 0, 0, 1000), self.placement.finite_demand
        if self.has_traffic and occupancy_without_room(self.ledger, demand, LONG, spec, self.now):
            self.refused_count += 1
            return ""
        job_id = super().accept(*steps, prefix=prefix)
        self.long_running_ids.append(job_id)
        return job_id

    def plan(self):
        if self.has_traffic:
            # A second: 0.48 long-running jobs on 446 workers.
            share = len(self.ledger.worker_by_incarnation) / 446 * PASS_SECONDS
            self.accept_some(self.accept_long_running, 0.48 * share)
            self.cancel_some(len(self.long_running_ids) / self.MEAN_STAY_SECONDS * PASS_SECONDS)
        return super().plan()

    def cancel_some(self, mean):
        """Let long-running jobs end, so many in the mean."""
        while self.long_running_ids and self.stays.random() < mean / (1 + mean):
            job_id = self.long_running_ids.pop(self.stays.randrange(len(self.long_running_ids)))
            self.ledger.cancel(job_id)
            for group in self.ledger.job_by_id[job_id].groups.values():
                for task in group.tasks:
                    for run, incarnation in list(task.incarnation_by_run.items()):
                        settle_run(self.ledger, task.name, RunOutcome.STOPPED, run, incarnation)

    def lose_workers(self):
        """End some of the workers, spread over all."""
        workers = list(self.ledger.worker_by_incarnation.values())
        for lost in workers[:: int(1 / self.lost_share)]:
            for run in [run for run in self.ends_at_by_run if run[2] == lost.key]:
                del self.ends_at_by_run[run]
            self.ledger.end_incarnations([lost.record.life], [])

    def play(self, seconds):
        self.has_traffic = True
        loss_at = self.now + self.LOSS_AFTER_SECONDS

        def traffic():
            nonlocal loss_at
            if self.now >= loss_at:
                self.lose_workers()
                loss_at = math.inf
            share = len(self.ledger.worker_by_incarnation) / 446 * PASS_SECONDS
            self.accept_some(self.accept_quote, 5.2 * share)
            self.accept_some(self.accept_batch, 9.2 * share)

        self.run(seconds, traffic)
        self.run(3 * max(each.objective_seconds for each in self.submissions))


# Guards against SHORT: long-running jobs that go on being accepted take all the room that is left
# for large tasks, so most of the largest jobs are worth nothing.
@pytest.mark.parametrize(
    ("seed", "long_running_share", "lost_share"),
    [(seed, 0.88, 0.05) for seed in range(1, 5)] + [(seed, 0.85, 0.09) for seed in range(1, 9)],
)
def test_large_jobs_are_served_while_long_running_ones_go_on_coming(
    seed, long_running_share, lost_share
):
    site = CrowdedSite(seed, long_running_share, lost_share)
    site.play(30.0)
    by_work = sorted(site.submissions, key=lambda each: each.work)
    tenth = len(by_work) // 10
    all_of_them = site.served_share(by_work)
    assert all_of_them >= MIN_SERVED_SHARE
    assert site.served_share(by_work[-tenth:]) >= 0.5 * all_of_them
    assert site.served_share(by_work[-3 * tenth : -tenth]) >= 0.5 * all_of_them


# Guards against refusals of long-running jobs that have room beside the large ones.
def test_no_long_running_job_is_refused_while_there_is_room_for_large_ones():
    site = CrowdedSite(1, 0.6, 0.01)
    site.play(20.0)
    assert not site.refused_count
    assert site.served_share(site.submissions) == 1.0
