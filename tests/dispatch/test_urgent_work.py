"""Urgent work that fits has something at work within the time that the users allow.

What counts here is what workers run, not what was planned: a start that was refused, that is in
doubt, or that went to a worker which is gone is none.
"""

import math
import random

import attrs
import pytest

from savoryshelf.dispatch.health import FAILURES_BEFORE_QUARANTINE, FleetHealth
from savoryshelf.dispatch.interference import InterferenceModel
from savoryshelf.dispatch.placement import Placement, WorkerView
from savoryshelf.dispatch.waiting import MAX_DEFERRAL_SECONDS
from savoryshelf.wire.generated.ttypes import RunAge, RunOutcome, WorkerLife

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

MAX_IDLE_SECONDS = 3.0
"""RULES.md, LOST: for how long a submission with work that could run may have nothing running."""

LONG_RUNNING_GRACE_SECONDS = 6.0
"""RULES.md, LOST: a long-running task is owed nothing for so long after its last run."""

PASS_SECONDS = 0.25
"""The longest time between two passes of a leader."""

OTHER_JOB = "00000000000000b2"
NEED = {"millicores": 4150, "memory_mb": 5680}
SIZE = {"millicores": 16_000, "memory_mb": 64_000}


@attrs.frozen
class Fate:
    """What becomes of a start; seconds count from when it was planned."""

    outcome: int
    settled_after: float = 0.0
    works_for: float = 0.0
    """For how long the run is at work; long-running ones that end as done go on."""

    backs_off_after: float = math.inf
    """When the leader hears that other workers are to be preferred for a moment."""


FATE_BY_NAME = {
    "works": Fate(RunOutcome.DONE, 0.5, 0.5),
    "fails": Fate(RunOutcome.FAILED, 0.03, 0.03),
    "no room": Fate(RunOutcome.NEVER_RAN, backs_off_after=0.0),
    "invalid": Fate(RunOutcome.NEVER_RAN),
    "unhealthy": Fate(RunOutcome.NEVER_RAN),
    # A call times out, its stops go unanswered for two seconds, and a new token settles it.
    "unanswered": Fate(RunOutcome.NEVER_RAN, 4.0, backs_off_after=1.0),
    # The worker is gone; its lease and some tries of a poll are the bound.
    "lost": Fate(RunOutcome.LOST, 7.1),
} | {f"works for {s}": Fate(RunOutcome.DONE, s, s) for s in (0.3, 1.0, 6.0)}
"""By name, so that tests name what happens."""

REFUSALS = ["no room", "invalid", "unhealthy"]


@attrs.define
class Run:
    """A planned run, and what becomes of it."""

    key: tuple
    fate: str
    planned_at: float
    is_reported: bool = False

    def is_at_work(self, task, now):
        """Return whether its worker runs it."""
        fate = FATE_BY_NAME[self.fate]
        goes_on = task.step.spec.lasting and fate.outcome == RunOutcome.DONE
        return goes_on or now < self.planned_at + fate.works_for


class Site:
    """A leader that plans in passes, and workers of which some are not sound.

    ``fate`` names what becomes of a start, from its task and worker id.
    """

    def __init__(self, count=8, **fields):
        records = [worker(f"w{n}", **(SIZE | fields)) for n in range(count)]
        self.ledger = ledger(*records)
        urgent = queue("urgent", "/urgent/", priority=-1, max_attempts=100)
        self.ledger.put_manifest(manifest(2, [queue(max_attempts=100), urgent]))
        self.now = 100.0
        self.fate = lambda task, worker_id: "works"
        self.silent = set()
        """The ids of workers that do not answer."""

        self.run_by_key = {}
        self.starts = []
        """When, which task and on which worker, of each start that was planned."""

        self.idle_seconds = {}
        """The longest time without anything at work of each job, or long-running task."""

        self._idle_since = {}
        self.change_leader()

    def change_leader(self):
        """Start a term of another leader, which knows the ledger alone."""
        self.placement, self.health = Placement(InterferenceModel()), FleetHealth()

    def submit(self, count=7, job_id=JOB, **fields):
        """Accept an urgent job of one step."""
        self.ledger.at_ms = int(1000 * self.now)
        accept(self.ledger, step(count, **(NEED | fields)), job_id=job_id, prefix="/urgent/")

    def occupy(self, *worker_ids, **fields):
        """Let a best-effort run that goes on take all memory of workers, or what is given."""
        taken = {"filling": True, "image": "batch", "memory_mb": SIZE["memory_mb"]} | fields
        for number, worker_id in enumerate(worker_ids):
            job_id = f"{0xD000 + len(self.ledger.job_by_id) + number:016x}"
            accept(self.ledger, step(lasting=True, **taken), job_id=job_id)
            record_intent(self.ledger, f"{job_id}.0.0.0", 1, (worker_id, 1))
            run = Run((worker_id, 1), "works", self.now)
            self.run_by_key[f"{job_id}.0.0.0", 1] = run

    def quarantine(self, *worker_ids):
        """Let runs fail on workers until now, up to the longest quarantine."""
        for worker_id in worker_ids:
            for seconds_ago in (14.0, 14.0, 12.0, 8.0, 0.0):
                self.health.record_outcome(worker_id, False, self.now - seconds_ago)

    def run(self, seconds):
        """Plan passes for some seconds, and return the longest time without anything at work."""
        until = self.now + seconds
        while self.now < until:
            self.run_pass()
        return max(self.idle_seconds.values(), default=0.0)

    def run_pass(self):
        """Plan once, and let what was planned take its course until the next pass."""
        workers = [w for w in self.ledger.worker_by_incarnation.values() if not w.has_ended]
        idle = self._idle_seconds_by_run()
        views = [
            WorkerView(w, w.key[0] not in self.silent, {}, idle_seconds_by_run=idle)
            for w in workers
        ]
        wall_ms = int(1000 * self.now)
        intents = self.placement.plan(self.ledger, views, wall_ms, self.health, self.now)
        assert self.ledger.record_intents(intents) == intents, "a planned start is invalid"
        for intent in intents:
            key = intent.life.worker_id, intent.life.born_ms
            fate = self.fate(self.ledger.find_task(intent.task), key[0])
            self.run_by_key[intent.task, intent.run] = Run(key, fate, self.now)
            self.starts.append((self.now, intent.task, key[0]))
        self._settle()
        self._judge()
        self.now += PASS_SECONDS
        self._settle()
        self._judge()

    def _idle_seconds_by_run(self):
        """Return the runs of which agents report that their starts are in doubt."""
        return {
            key: math.inf
            for key, run in self.run_by_key.items()
            if run.fate == "unanswered"
            and self.now >= run.planned_at + FATE_BY_NAME[run.fate].backs_off_after
        }

    def _settle(self):
        for (name, number), run in list(self.run_by_key.items()):
            fate, task = FATE_BY_NAME[run.fate], self.ledger.find_task(name)
            worker_id = run.key[0]
            if self.now >= run.planned_at + fate.backs_off_after and not run.is_reported:
                run.is_reported = True
                self.health.record_rejection(worker_id, self.now)
            if run.fate == "lost":
                self.silent.add(worker_id)
            if self.now < run.planned_at + fate.settled_after or run.is_at_work(task, self.now):
                continue
            del self.run_by_key[name, number]
            if fate.outcome == RunOutcome.LOST:
                self.ledger.end_incarnations([WorkerLife(*run.key)], [])
                continue
            settle_run(self.ledger, name, fate.outcome, number, run.key)
            if fate.outcome == RunOutcome.NEVER_RAN:
                self.placement.record_refusal(name, number)
            if run.fate == "unhealthy" or fate.outcome != RunOutcome.NEVER_RAN:
                self.health.record_outcome(worker_id, run.fate.startswith("works"), self.now)

    def crash(self, worker_id):
        """Crash a worker on the starts of all that runs there; it comes back at once."""
        key = max(each for each in self.ledger.worker_by_incarnation if each[0] == worker_id)
        worked = [RunAge(*run, 0) for run in self.ledger.worker_by_incarnation[key].task_by_run]
        self.run_by_key = {k: run for k, run in self.run_by_key.items() if run.key != key}
        self.ledger.end_incarnations([WorkerLife(*key)], [], None, True, worked)
        self.ledger.upsert_worker(worker(worker_id, key[1] + 1, **SIZE))

    def lose(self, worker_id):
        """Let a worker and what runs there be gone; the leader knows once its lease has ended."""
        self.silent.add(worker_id)
        for run in self.run_by_key.values():
            if run.key[0] == worker_id:
                run.fate, run.planned_at = "lost", self.now

    # ---------------------------------------------------------------- judgement

    def _judge(self):
        """Update since when what could run has had nothing at work."""
        working = [
            (self.ledger.find_task(name), run)
            for (name, _), run in self.run_by_key.items()
            if run.is_at_work(self.ledger.find_task(name), self.now)
        ]
        busy = {
            task.name if task.step.spec.lasting else task.step.job.job_id for task, _ in working
        }
        # A short run may have begun and ended since the last look.
        begun = [
            self.ledger.find_task(task)
            for at, task, worker_id in self.starts
            if at >= self.now - PASS_SECONDS
            and FATE_BY_NAME[self.fate(self.ledger.find_task(task), worker_id)].works_for
        ]
        busy |= {task.name if task.step.spec.lasting else task.step.job.job_id for task in begun}
        idle = {}
        for job in self.ledger.job_by_id.values():
            for group in job.groups.values():
                if not group.is_unblocked or not self._has_room_twice(group, working):
                    continue
                is_lasting = group.spec.lasting
                if not is_lasting and not group.startable_indexes:
                    # Its tasks wait for the end of runs that may exist, or they would run twice.
                    continue
                names = [t.name for t in group.tasks if not t.done]
                for key in names if is_lasting else [job.job_id] * bool(names):
                    if key not in busy:
                        idle[key] = self._idle_since.get(key, self.now)
                        seconds = self.now - idle[key]
                        self.idle_seconds[key] = max(self.idle_seconds.get(key, 0.0), seconds)
        self._idle_since = idle

    def _has_room_twice(self, group, working):
        """Return whether workers that would run the step have room for two of its tasks."""
        spec, rooms, total, used = group.spec, 0, 0, 0
        for tracked in self.ledger.worker_by_incarnation.values():
            here = [t.step.spec for t, run in working if run.key == tracked.key]
            reserved = sum(s.millicores for s in here if not s.filling)
            total, used = total + tracked.record.millicores, used + reserved
            worker_id = tracked.key[0]
            if not tracked.is_schedulable or worker_id in self.silent:
                continue
            unfinished = [task for task in group.tasks if not task.done]
            if all(self.fate(task, worker_id) != "works" for task in unfinished):
                continue
            if spec.max_per_worker and here.count(spec) >= spec.max_per_worker:
                continue
            free_mb = tracked.record.memory_mb - sum(s.memory_mb for s in here)
            slots = min(
                free_mb // spec.memory_mb,
                (tracked.record.millicores - reserved) // spec.millicores,
            )
            rooms += max(0, slots)
        return rooms >= 2 and (spec.lasting or 2 * used < total)


LASTING = [False, True]
each_duration = pytest.mark.parametrize("lasting", LASTING, ids=["finite", "long-running"])
each_refusal = pytest.mark.parametrize("fate", REFUSALS)


def by_worker(site, **fate_by_worker):
    """Let starts on workers have the given fates, and work on the others."""
    site.fate = lambda task, worker_id: fate_by_worker.get(worker_id, "works")


# ------------------------------------------------------------------ one condition


# Guards against urgent work that waits for the end of a quarantine, of all workers or of all that
# are not full of best-effort runs.
@each_duration
@pytest.mark.parametrize("full", [0, 1, 6])
def test_urgent_work_starts_though_the_workers_with_room_are_quarantined(full, lasting):
    site = Site()
    site.occupy(*[f"w{n}" for n in range(full)])
    site.quarantine(*[f"w{n}" for n in range(full, 8)])
    site.submit(lasting=lasting)
    assert site.run(12.0) < MAX_IDLE_SECONDS


# Guards against work that is taken to fit nowhere, since a step that needs as much, or more, was
# rejected before it in the pass for a reason that does not apply to it.
@each_duration
@pytest.mark.parametrize(
    "before",
    [
        {"count": 40},
        {"count": 40, "lasting": True},
        {"count": 4, "millicores": 17_000},
        {"count": 20, "max_per_worker": 1},
        {"count": 20, "max_per_worker": 1, "lasting": True},
        {"count": 40, "gang": True},
    ],
    ids=["wide", "wide long-running", "large", "spread", "spread long-running", "gang"],
)
@pytest.mark.parametrize("fate", ["works", *REFUSALS, "unanswered"])
@pytest.mark.parametrize("quarantined", [0, 7, 8])
def test_urgent_work_starts_behind_a_step_that_is_rejected(quarantined, fate, before, lasting):
    site = Site()
    site.quarantine(*[f"w{n}" for n in range(8 - quarantined, 8)])
    site.submit(job_id=OTHER_JOB, **before)
    site.submit(lasting=lasting, memory_mb=5700)
    site.fate = lambda task, worker_id: (
        fate if task.name.startswith(OTHER_JOB) and worker_id == "w0" else "works"
    )
    site.run(12.0)
    idle = [s for key, s in site.idle_seconds.items() if key.startswith(JOB)]
    assert max(idle, default=0.0) < MAX_IDLE_SECONDS


# Guards against work that never finds room: tasks whose starts are all refused took it in each
# pass.
@each_duration
@each_refusal
@pytest.mark.parametrize(
    "refused",
    [
        {"count": 40},
        {"count": 24, "lasting": True},
        {"count": 40, "lasting": True},
        {"count": 40, "lasting": True, "max_per_worker": 1, "millicores": 15_900},
        {"count": 24, "lasting": True, "gang": True},
    ],
    ids=["finite", "long-running", "wide long-running", "spread", "gang"],
)
@pytest.mark.parametrize("quarantined", [0, 4, 8])
def test_urgent_work_starts_beside_tasks_that_all_workers_refuse(
    quarantined, refused, fate, lasting
):
    site = Site()
    site.quarantine(*[f"w{n}" for n in range(quarantined)])
    site.fate = lambda task, worker_id: fate if task.name.startswith(OTHER_JOB) else "works"
    site.submit(job_id=OTHER_JOB, **({"millicores": 5300} | refused))
    site.run(MAX_IDLE_SECONDS)
    site.submit(lasting=lasting)
    site.run(12.0)
    idle = [s for key, s in site.idle_seconds.items() if key.startswith(JOB)]
    assert max(idle, default=0.0) < MAX_IDLE_SECONDS


# ------------------------------------------- several conditions one after the other


# Guards against two waits of a last resort in a row: the first one is refused.
@each_duration
@each_refusal
@pytest.mark.parametrize("refusing", [1, 2])
def test_urgent_work_starts_though_a_last_resort_is_refused(refusing, fate, lasting):
    site = Site()
    site.quarantine(*[f"w{n}" for n in range(8)])
    by_worker(site, **{f"w{n}": fate for n in range(refusing)})
    site.submit(count=1, lasting=lasting)
    assert site.run(12.0) < MAX_IDLE_SECONDS


# Guards against a step whose last resort is in doubt, or on a worker that is gone, and whose
# other tasks wait for the end of that.
@pytest.mark.parametrize("fate", ["unanswered", "lost"])
def test_an_urgent_step_is_tried_elsewhere_while_its_last_resort_is_no_run(fate):
    site = Site()
    site.quarantine(*[f"w{n}" for n in range(8)])
    by_worker(site, w0=fate)
    site.submit()
    assert site.run(12.0) < MAX_IDLE_SECONDS


# Guards against the same for starts that were no last resort.
@pytest.mark.parametrize("fate", ["unanswered", "lost"])
def test_an_urgent_step_is_tried_elsewhere_while_its_only_runs_are_none(fate):
    site = Site()
    site.quarantine(*[f"w{n}" for n in range(1, 8)])
    by_worker(site, w0=fate)
    site.submit()
    assert site.run(12.0) < MAX_IDLE_SECONDS


# Guards against a step of which one task alone is tried: what keeps it from all workers need not
# keep the others.
@each_refusal
def test_another_task_of_an_urgent_step_is_tried_after_its_first_was_refused(fate):
    site = Site()
    site.quarantine(*[f"w{n}" for n in range(8)])
    site.fate = lambda task, worker_id: "works" if task.index else fate
    site.submit()
    site.run(12.0)
    assert {task for _, task, _ in site.starts} > {f"{JOB}.0.0.0"}
    assert site.run(0.1) < MAX_IDLE_SECONDS


# -------------------------------------------------------------- a change of the leader


# Guards against a wait that a new leader begins anew: long-running work is held back for finite
# work.
def test_urgent_work_starts_in_capacity_kept_for_finite_work_through_a_change_of_the_leader():
    site = Site()
    site.submit(count=32, job_id=OTHER_JOB, millicores=3200, lasting=True)
    site.run_pass()
    site.submit(millicores=3200, lasting=True)
    site.run(MAX_DEFERRAL_SECONDS - PASS_SECONDS)
    assert len(site.starts) == 32
    site.change_leader()
    assert site.run(8.0) < MAX_IDLE_SECONDS


# Guards against the same for suspects of a crash that wait for workers of their own.
@each_duration
@pytest.mark.parametrize("fate", ["works", *REFUSALS])
def test_suspects_start_through_a_change_of_the_leader(fate, lasting):
    site = Site()
    site.occupy(*[f"w{n}" for n in range(2, 8)])
    site.submit(count=2, lasting=lasting, max_per_worker=1)
    site.run_pass()
    for worker_id in ("w0", "w1"):
        site.crash(worker_id)
    by_worker(site, w0=fate)
    site.run(1.25)
    site.change_leader()
    assert site.run(8.0) < MAX_IDLE_SECONDS


# ---------------------------------------------------------------- the end of a lease


# Guards against a wait that begins after the end of a lost worker's lease has been waited for.
@pytest.mark.parametrize("count", [1, 7])
def test_a_long_running_task_starts_after_its_worker_was_lost_and_others_are_quarantined(count):
    site = Site()
    site.submit(count=count, lasting=True, max_per_worker=1)
    site.run_pass()
    lost = site.starts[0][2]
    site.lose(lost)
    site.run(6.5)
    site.quarantine(*[f"w{n}" for n in range(8)])
    assert site.run(8.0) < MAX_IDLE_SECONDS + LONG_RUNNING_GRACE_SECONDS


# ------------------------------------------------------------------- large and small


class MixedSite(Site):
    """A site of which few workers have memory, with runs that end after any time.

    So the service is idle by its processors, and a reserved worker may be the only one with room.
    """

    SECONDS = 25.0

    def __init__(self, seed):
        self.random = random.Random(seed)
        super().__init__(self.random.choice([2, 3, 4, 6]))
        workers = list(self.ledger.worker_by_incarnation.values())
        self.worker_ids = [each.key[0] for each in workers]
        for each in workers[self.random.choice([1, 2]) :]:
            each.record.memory_mb = 50
        self.submitted_count = 0
        self._fate_by_task = {}
        self.fate = self._draw_fate

    def _draw_fate(self, task, worker_id):
        if task.name not in self._fate_by_task:
            seconds = [0.3, 1.0] if task.step.spec.millicores > 8_000 else [0.3, 1.0, 6.0]
            self._fate_by_task[task.name] = f"works for {self.random.choice(seconds)}"
        return self._fate_by_task[task.name]

    def submit_some(self):
        """Submit a job of one or two tasks, and let runs fail on a worker at times."""
        self.submitted_count += 1
        needs = {"millicores": self.random.choice([500, 2_000, 10_000, 16_000, 16_000])}
        if needs["millicores"] == 500 and self.random.random() < 0.3:
            needs["lasting"] = True
        count, estimated_ms = self.random.randint(1, 2), self.random.choice([1_000, 3_000])
        job_id = f"{self.submitted_count:016x}"
        self.submit(count, job_id, memory_mb=100, estimated_ms=estimated_ms, **needs)
        if self.random.random() < 0.3:
            worker_id = self.random.choice(self.worker_ids[:2])
            for _ in range(FAILURES_BEFORE_QUARANTINE):
                self.health.record_outcome(worker_id, False, self.now)

    def _has_room_twice(self, group, working):
        # Runs may take any time, but each of them works.
        fate, self.fate = self.fate, lambda task, worker_id: "works"
        try:
            return super()._has_room_twice(group, working)
        finally:
            self.fate = fate


# Guards against small work that waits behind reservations for large tasks, whatever it has waited
# for before, though callers are owed a run.
@pytest.mark.parametrize("seed", [*range(30), 144, 153, 273, 419, 562, 614, 1135])
def test_random_large_tasks_keep_no_small_work_waiting(seed):
    site = MixedSite(seed)
    for _ in range(int(MixedSite.SECONDS / PASS_SECONDS)):
        if site.random.random() < 0.3:
            site.submit_some()
        site.run_pass()
    assert max(site.idle_seconds.values(), default=0.0) < MAX_IDLE_SECONDS
