"""No preference of placement keeps work that fits waiting for longer than the users allow."""

import math
from collections import Counter

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from savoryshelf.dispatch.health import FleetHealth
from savoryshelf.dispatch.interference import InterferenceModel
from savoryshelf.dispatch.placement import Placement, WorkerView, _Candidate
from savoryshelf.registry import registry_decorator
from savoryshelf.tasks import snapshot
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

MAX_START_SECONDS = 3.0
"""RULES.md, LOST: work that could start must not have nothing running for 3 s."""

PASS_SECONDS = 0.25
"""The longest time between two passes of a leader."""

LAST_RESORT_SECONDS = 2.0
"""A finite job is tried on a quarantined worker at most once in so long: its attempts are few."""

RUN_SECONDS = 0.5
SECOND, THIRD = "00000000000000b2", "00000000000000c3"
BATCH = {"filling": True, "image": "batch", "memory_mb": 20}
SERVING = {"lasting": True, "target_ms": 50, "image": "shop"}

WORKS, FAILS, REJECTED, UNHEALTHY, LAPSES = "works", "fails", "rejected", "unhealthy", "lapses"
MALFORMED, IN_DOUBT, EVICTED = "malformed", "in doubt", "evicted"
PAUSED = "paused and evicted"

END_BY_FATE = {
    WORKS: (RunOutcome.DONE, RUN_SECONDS),
    FAILS: (RunOutcome.FAILED, 0.0),
    REJECTED: (RunOutcome.NEVER_RAN, 0.0),
    UNHEALTHY: (RunOutcome.NEVER_RAN, 0.0),
    MALFORMED: (RunOutcome.NEVER_RAN, 0.0),
    IN_DOUBT: (RunOutcome.NEVER_RAN, 2 * PASS_SECONDS),
    LAPSES: (RunOutcome.LAPSED, RUN_SECONDS),
    EVICTED: (RunOutcome.STOPPED, 2 * PASS_SECONDS),
    PAUSED: (RunOutcome.STOPPED, RUN_SECONDS + 5 * PASS_SECONDS),
}
"""How a start ends, and after how many seconds; lasting runs that work go on."""

FIELDS_BY_KIND = {
    "finite": {"count": 2},
    "lasting": {"count": 6, "lasting": True},
    "filling finite": {"count": 2, **BATCH},
    "filling lasting": {"count": 8, "lasting": True, **BATCH},
    "serving": {"count": 2, **SERVING},
    "gang": {"count": 3, "gang": True},
    "lasting gang": {"count": 3, "gang": True, "lasting": True},
    "filling gang": {"count": 3, "gang": True, **BATCH},
    "labelled": {"count": 2, "required_label": "a"},
    "spread": {"count": 3, "lasting": True, "max_per_worker": 1},
    "with data": {"count": 1, "data_rack": "r1"},
}


def work(kind, **fields):
    """Return a step of a kind of work."""
    return step(**(FIELDS_BY_KIND[kind] | fields))


class Site:
    """A leader that plans in passes, workers that start what it plans, and a judge of the waits.

    ``fate`` says what becomes of a start, from its task and worker id.
    """

    def __init__(self, *records, interference=None, max_attempts=100):
        self.ledger = ledger(*records or [worker(f"w{number}") for number in range(4)])
        queues = [
            queue(max_attempts=max_attempts),
            queue("urgent", "/urgent/", priority=-1, max_attempts=max_attempts),
        ]
        self.ledger.put_manifest(manifest(2, queues))
        self.interference = interference or InterferenceModel()
        self.now = 100.0
        self.excluded_images = frozenset()
        self.best_effort_starts = math.inf
        self.pass_seconds = PASS_SECONDS
        self.unresponsive = set()
        """The ids of workers that do not answer."""

        self.fate = lambda task, worker_id: WORKS
        self.is_sound = True
        """Whether waits are judged: starts that fail are no fault of placement."""

        self.unjudged_jobs = set()
        """Jobs whose starts never work: they are owed none."""

        self.counts_failing_starts = False
        """Whether what does not fit beside a start that fails is owed none in that pass."""

        self.starts = []
        """When, which task and on which worker, of each start that was planned."""

        self._waiting_since = {}
        self._fate_by_run = {}
        self.change_leader()

    @property
    def wall_ms(self):
        """Return the time of the wall clock, in ms."""
        return int(1000 * self.now)

    def change_leader(self):
        """Start a term of another leader, which knows the ledger alone."""
        self.placement, self.health = Placement(self.interference), FleetHealth()
        self._waiting_since.clear()

    def restore_snapshot(self):
        """Replace the ledger by what a snapshot of it holds."""
        self.ledger = snapshot.load(snapshot.save(self.ledger))

    def quarantine(self, *worker_ids):
        """Let runs fail on workers until now, up to the longest quarantine."""
        for worker_id in worker_ids:
            for seconds_ago in (14.0, 14.0, 12.0, 8.0, 0.0):
                self.health.record_outcome(worker_id, False, self.now - seconds_ago)

    def become_sound(self):
        """Judge the waits from now on, since starts work from now on."""
        self.is_sound = True
        self._waiting_since.clear()
        self._note_waits(set())

    def run(self, seconds):
        """Plan passes for some seconds; raises AssertionError if anything waits too long."""
        until = self.now + seconds
        while self.now < until:
            self.run_pass()

    def run_pass(self):
        """Plan once, start what was planned, and return the planned starts of this pass."""
        self._note_waits(set())
        views = [
            WorkerView(w, self._is_responsive(w), {}, excluded_images=self.excluded_images)
            for w in self.ledger.worker_by_incarnation.values()
            if not w.has_ended
        ]
        intents = self.placement.plan(
            self.ledger, views, self.wall_ms, self.health, self.now, self.best_effort_starts,
        )  # fmt: skip
        self._check_gangs(intents)
        assert self.ledger.record_intents(intents) == intents, "a planned start is invalid"
        started = [(intent.task, intent.life.worker_id) for intent in intents]
        self.starts += [(self.now, *start) for start in started]
        for intent in intents:
            fate = self.fate(self.ledger.find_task(intent.task), intent.life.worker_id)
            key = intent.life.worker_id, intent.life.born_ms
            self._fate_by_run[intent.task, intent.run] = fate, self.now, key
        if self.counts_failing_starts:
            self._note_waits({task for task, _ in started})
        self._end_runs()
        self._note_waits({task for task, _ in started})
        late = [key for key, since in self._waiting_since.items() if self._is_late(since)]
        assert not late, f"wait for over {MAX_START_SECONDS} s at {self.now}: {late}"
        self.now += self.pass_seconds
        self._end_runs()
        return started

    def _check_gangs(self, intents):
        """Check that gangs are planned whole, all members with the same run."""
        planned = [(self.ledger.find_task(intent.task), intent.run) for intent in intents]
        for group in {task.step.key: task.step for task, _ in planned}.values():
            runs = [run for task, run in planned if task.step is group]
            if group.spec.gang:
                assert len(runs) == len(group.tasks), "part of a gang is planned"
                assert len(set(runs)) == 1, "members of a gang are planned with several runs"

    def _is_late(self, since):
        # What is not planned in this pass is planned later than now.
        return self.is_sound and self.now - since >= MAX_START_SECONDS

    def _end_runs(self):
        """Settle the runs that end now, and tell of their ends as agents do."""
        for (name, run), (fate, started_at, key) in list(self._fate_by_run.items()):
            task = self.ledger.find_task(name)
            outcome, seconds = END_BY_FATE[fate]
            if self.now < started_at + seconds or (fate == WORKS and task.step.spec.lasting):
                continue
            del self._fate_by_run[name, run]
            if task.incarnation_by_run.get(run) != key:
                continue
            settle_run(self.ledger, name, outcome, run, key)
            if outcome == RunOutcome.NEVER_RAN:
                self.placement.record_refusal(name, run)
            if fate == REJECTED:
                self.health.record_rejection(key[0], self.now)
            elif fate not in (LAPSES, MALFORMED, IN_DOUBT, EVICTED):
                self.health.record_outcome(key[0], fate == WORKS, self.now)
            if task.step.spec.gang:
                self._end_gang(task.step)

    def _end_gang(self, group):
        """Settle the runs of the members that are left alone."""
        for member in group.tasks:
            for run, key in list(member.incarnation_by_run.items()):
                settle_run(self.ledger, member.name, RunOutcome.ALONE, run, key)

    def crash(self, worker_id, returns=True):
        """Crash a worker on the starts of all that runs there."""
        incarnation = self.incarnation_of(worker_id)
        tracked = self.ledger.worker_by_incarnation[worker_id, incarnation.born_ms]
        tasks = list(tracked.task_by_run.values())
        worked = [RunAge(task, run, 0) for task, run in tracked.task_by_run]
        self.ledger.end_incarnations([incarnation], [], None, True, worked)
        for task in tasks:
            if task.step.spec.gang:
                self._end_gang(task.step)
        if returns:
            record = worker(worker_id, incarnation.born_ms + 1)
            for name in ("millicores", "memory_mb", "accelerators", "labels"):
                setattr(record, name, getattr(tracked.record, name))
            self.ledger.upsert_worker(record)

    def incarnation_of(self, worker_id):
        """Return the newest incarnation of a worker."""
        return WorkerLife(*max(k for k in self.ledger.worker_by_incarnation if k[0] == worker_id))

    # ---------------------------------------------------------------- judgement

    def _note_waits(self, started):
        """Update since when what is owed a start waits for it."""
        jobs = {name.partition(".")[0] for name in started}
        self._waiting_since = {
            key: self._waiting_since.get(key, self.now)
            if key[0] not in started and key[0] not in jobs
            else self.now
            for key in self._owed()
        }

    def _owed(self):
        """Return what is owed a start: a task that lasts, or a step of a job that has no run."""
        owed = []
        for group in self.ledger.startable_group_by_key.values():
            spec, job = group.spec, group.job
            if job.job_id in self.unjudged_jobs or job.due_ms(group.occurrence) > self.wall_ms:
                continue
            if spec.gang and len(group.startable_indexes) < len(group.tasks):
                continue
            need = len(group.tasks) if spec.gang else 1
            if not self._has_room(group, need, 1 if spec.lasting else 2):
                continue
            if spec.lasting:
                owed += [(group.tasks[index].name,) for index in group.startable_indexes]
            elif not self._is_half_used() and not any(t.incarnation_by_run for t in job.tasks()):
                owed.append((job.job_id, group.occurrence, group.number))
        return owed

    def _has_room(self, group, need, times):
        """Return whether so many tasks of a step fit, each of them so many times over."""
        run_counts = Counter(
            key for task in group.tasks for key in task.incarnation_by_run.values()
        )
        room = allowed = 0
        for tracked in self._workers():
            label = group.spec.required_label
            if label and label not in tracked.record.labels:
                continue
            slots = self._slots(tracked, group.spec)
            room += slots
            if group.spec.max_per_worker:
                slots = min(slots, group.spec.max_per_worker - run_counts[tracked.key])
            allowed += max(0, slots)
        return allowed >= need and room >= need * times

    @staticmethod
    def _slots(tracked, spec):
        """Return how many tasks of a step fit on a worker beside its runs."""
        record, used = tracked.record, tracked.used
        slots = [(record.memory_mb - used.memory_mb) // spec.memory_mb]
        if not spec.filling:
            slots.append((record.millicores - used.millicores) // spec.millicores)
        if spec.accelerators:
            slots.append((record.accelerators - used.accelerators) // spec.accelerators)
        return max(0, min(slots))

    def _is_responsive(self, tracked):
        return tracked.key[0] not in self.unresponsive

    def _workers(self):
        """Return the workers on which work can be started."""
        return [
            w
            for w in self.ledger.worker_by_incarnation.values()
            if w.is_schedulable and self._is_responsive(w)
        ]

    def _is_half_used(self):
        workers = [w for w in self.ledger.worker_by_incarnation.values() if not w.has_ended]
        # Best-effort runs take what others leave, so they are not counted against a capacity.
        in_use = sum(w.used.millicores for w in workers)
        return 2 * in_use >= sum(w.record.millicores for w in workers)


def accelerated(worker_id, count=4):
    record = worker(worker_id, labels=("gpu",))
    record.accelerators = count
    return record


def serve_everywhere(site, image="sensitive", millicores=2000):
    """Let a serving run that best-effort work disturbs run on each worker."""
    for number, tracked in enumerate(site._workers()):
        serving = step(lasting=True, target_ms=50, image=image, millicores=millicores)
        accept(site.ledger, serving, job_id=f"{0xD000 + number:016x}")
        record_intent(site.ledger, f"{0xD000 + number:016x}.0.0.0", incarnation=tracked.key)


def disturbing(image="sensitive"):
    """Return a model in which the image "batch" slows a serving image."""
    interference = InterferenceModel()
    interference.add_sample(image, 0.9, {"batch": 3.0}, 0.0)
    return interference


def started_jobs(site):
    return {task.partition(".")[0] for _, task, _ in site.starts}


each_kind = pytest.mark.parametrize("kind", FIELDS_BY_KIND)


# Guards against a judge that sees a late start where nothing holds work back.
@each_kind
def test_work_of_each_kind_starts_on_a_sound_fleet(kind):
    site = Site()
    accept(site.ledger, work(kind))
    site.run(2 * MAX_START_SECONDS)
    assert site.starts


# ------------------------------------------------------------------- quarantine


# Guards against a last resort that is taken only where a worker is not sound, and not where the
# sound ones are full.
@each_kind
def test_work_of_each_kind_starts_though_the_sound_workers_are_full(kind):
    site = Site(*[worker(f"w{number}", millicores=9000) for number in range(4)])
    accept(site.ledger, step(lasting=True, millicores=9000, memory_mb=1000), job_id=SECOND)
    record_intent(site.ledger, f"{SECOND}.0.0.0", incarnation=("w0", 1))
    site.quarantine("w1", "w2", "w3")
    accept(site.ledger, work(kind))
    site.run(20.0)
    assert JOB in started_jobs(site)


# Guards against work that waits for the end of the longest quarantine on a sound fleet.
@each_kind
def test_work_of_each_kind_starts_though_all_workers_are_quarantined(kind):
    site = Site()
    site.quarantine("w0", "w1", "w2", "w3")
    accept(site.ledger, work(kind))
    site.run(20.0)
    assert site.starts


# Guards against a quarantine that is not tied to what else could run the work.
@pytest.mark.parametrize(
    "need",
    [
        {"required_label": "gpu"},
        {"accelerators": 1},
        {"millicores": 4000},
        {"memory_mb": 500},
    ],
    ids=["label", "accelerator", "processors", "memory"],
)
@pytest.mark.parametrize(
    "kind", [{}, {"lasting": True}, SERVING], ids=["finite", "lasting", "serving"]
)
def test_work_starts_though_the_only_worker_that_fits_is_quarantined(kind, need):
    able = accelerated("able")
    able.millicores, able.memory_mb = 12_000, 2000
    others = [worker(f"w{n}", millicores=3000, memory_mb=400) for n in range(4)]
    site = Site(able, *others)
    site.quarantine("able")
    accept(site.ledger, step(**(kind | need)))
    site.run(20.0)
    assert {worker_id for _, _, worker_id in site.starts} == {"able"}


# Guards against quarantines that are renewed while everything fails and outlast its cause.
@each_kind
@pytest.mark.parametrize("fate", [FAILS, UNHEALTHY])
def test_work_of_each_kind_starts_after_all_its_starts_have_failed_for_a_while(kind, fate):
    site = Site()
    accept(site.ledger, work(kind))
    site.is_sound, site.fate = False, lambda task, worker_id: fate
    site.run(18.0)
    site.fate = lambda task, worker_id: WORKS
    site.become_sound()
    site.run(20.0)


# Guards against starts that are refused and repeated on the worker that scores best.
@each_kind
def test_work_of_each_kind_is_tried_elsewhere_after_a_worker_has_refused_it(kind):
    site = Site(*[worker(f"w{number}", millicores=12_000, memory_mb=4000) for number in range(4)])
    site.fate = lambda task, worker_id: WORKS if worker_id == "w3" else MALFORMED
    accept(site.ledger, work(kind))
    site.run(MAX_START_SECONDS)
    assert "w3" in {worker_id for _, _, worker_id in site.starts}


# Guards against a wait that counts from the newest planned start though that became no run.
@each_kind
@pytest.mark.parametrize("fate", [REJECTED, MALFORMED, IN_DOUBT])
def test_work_of_each_kind_is_overdue_though_its_starts_are_refused_in_turn(kind, fate):
    site = Site(*[worker(f"w{number}", millicores=12_000, memory_mb=4000) for number in range(2)])
    site.quarantine("w1")
    site.fate = lambda task, worker_id: WORKS if worker_id == "w1" else fate
    accept(site.ledger, work(kind))
    site.run(MAX_START_SECONDS)
    assert "w1" in {worker_id for _, _, worker_id in site.starts}


# Guards against a suspect of a crash that waits anew for a worker of its own after each refusal.
def test_a_suspect_is_tried_on_a_quarantined_worker_after_the_others_have_refused_it():
    site = Site(*[worker(f"w{number}") for number in range(3)])
    accept(site.ledger, step(1, lasting=True))
    site.run(PASS_SECONDS)
    ((_, _, crashed),) = site.starts
    site.crash(crashed, returns=False)
    refusing, able = sorted({"w0", "w1", "w2"} - {crashed})
    site.quarantine(able)
    site.fate = lambda task, worker_id: WORKS if worker_id == able else IN_DOUBT
    site.run(MAX_START_SECONDS)
    assert able in {worker_id for _, _, worker_id in site.starts}


# Guards against tasks that last and wait for a worker that quarantine alone keeps from them.
def test_each_task_of_a_spread_step_starts_though_one_worker_is_quarantined():
    site = Site(worker("w0"), worker("w1"), worker("w2"))
    site.quarantine("w1")
    accept(site.ledger, step(3, lasting=True, max_per_worker=1))
    site.run(20.0)
    assert sorted(worker_id for _, _, worker_id in site.starts) == ["w0", "w1", "w2"]


# Guards against a gang that waits for the quarantined workers without which it is not whole.
@pytest.mark.parametrize(
    "kind", [{}, {"lasting": True}, BATCH], ids=["finite", "lasting", "filling"]
)
@pytest.mark.parametrize("quarantined", [1, 2, 4])
def test_a_gang_that_needs_quarantined_workers_starts_whole(kind, quarantined):
    site = Site()
    site.quarantine(*[f"w{number}" for number in range(quarantined)])
    accept(site.ledger, step(4, gang=True, max_per_worker=1, **kind))
    site.run(20.0)
    assert len({worker_id for _, _, worker_id in site.starts}) == 4


# Guards against one job, or the first of a step, that is started where all of them wait.
def test_each_of_several_jobs_starts_though_all_workers_are_quarantined():
    site = Site(*[worker(f"w{n}", millicores=9000, memory_mb=9000) for n in range(4)])
    site.quarantine("w0", "w1", "w2", "w3")
    jobs = [f"{0xE000 + number:016x}" for number in range(8)]
    for number, job_id in enumerate(jobs):
        accept(site.ledger, work(list(FIELDS_BY_KIND)[number]), job_id=job_id)
    site.run(20.0)
    assert started_jobs(site) == set(jobs)


# --------------------------------------------------------------------- back-off


# Guards against a worker that is kept off for good by rejections that have ended.
@each_kind
def test_work_of_each_kind_starts_after_a_series_of_rejections(kind):
    site = Site()
    accept(site.ledger, work(kind))
    site.is_sound, site.fate = False, lambda task, worker_id: REJECTED
    site.run(5.0)
    site.fate = lambda task, worker_id: WORKS
    site.become_sound()
    site.run(5.0)


# Guards against a small task behind a larger one that is rejected again and again: it finds the
# room taken in each pass with a start, and the worker backed off in all others.
@pytest.mark.parametrize("kind", ["finite", "lasting", "filling finite", "filling lasting"])
@pytest.mark.parametrize("needs", ["processors", "memory"])
@pytest.mark.parametrize("lasting", [False, True], ids=["finite large", "lasting large"])
def test_a_small_task_starts_behind_a_larger_one_that_is_rejected_each_time(kind, needs, lasting):
    site = Site(worker("w0", millicores=4000, memory_mb=1000))
    large = {"processors": {"millicores": 4000}, "memory": {"memory_mb": 1000}}[needs]
    accept(site.ledger, step(lasting=lasting, **large), job_id=SECOND, prefix="/urgent/")
    site.fate = lambda task, worker_id: REJECTED if task.name.startswith(SECOND) else WORKS
    accept(site.ledger, work(kind))
    site.unjudged_jobs = {SECOND}
    site.run(10.0)
    assert JOB in started_jobs(site)


# Guards against a back-off that rejections of many tasks renew for each other.
def test_a_task_starts_on_a_worker_that_rejects_others_each_time():
    site = Site(worker("w0", millicores=9000, memory_mb=9000))
    accept(site.ledger, step(40, lasting=True, millicores=100), job_id=SECOND, prefix="/urgent/")
    site.fate = lambda task, worker_id: REJECTED if task.name.startswith(SECOND) else WORKS
    accept(site.ledger, step())
    site.unjudged_jobs = {SECOND}
    site.run(10.0)
    assert JOB in started_jobs(site)


# -------------------------------------------------------------------- isolation


def labelled_worker(worker_id, memory_mb=9000):
    return worker(worker_id, millicores=9000, memory_mb=memory_mb, labels=("gpu",))


# Guards against more tasks of a step on one worker than it may have: a pass that places a suspect
# of a crash places an overdue task of the same step on the same worker.
def test_a_suspect_and_an_overdue_task_of_its_step_keep_its_limit_for_each_worker():
    site = Site(worker("w0"), worker("w1"))
    accept(site.ledger, work("spread", count=2))
    site.unresponsive = {"w1"}
    site.run(MAX_START_SECONDS)
    site.crash("w0", returns=False)
    site.unresponsive = set()
    assert [worker_id for _, worker_id in site.run_pass()] == ["w1"]


# Guards against suspects of a crash, or other work, that wait for each other on one worker.
@pytest.mark.parametrize("suspects", [1, 3, 12])
@pytest.mark.parametrize("lasting", [False, True], ids=["finite", "lasting"])
def test_suspects_and_other_work_start_on_the_only_worker_with_a_label(suspects, lasting):
    site = Site(labelled_worker("w0"), *[worker(f"w{n}") for n in range(1, 8)])
    spec = step(suspects, millicores=100, required_label="gpu", lasting=lasting)
    accept(site.ledger, spec, job_id=SECOND)
    site.run_pass()
    site.crash("w0")
    accept(site.ledger, step(3, millicores=100, required_label="gpu", lasting=lasting))
    site.run(10.0)
    assert JOB in started_jobs(site)


# Guards against a worker that is kept for one suspect after the other, and so for nothing else.
@pytest.mark.parametrize("kind", ["finite", "lasting", "filling finite", "filling lasting"])
def test_a_series_of_suspects_does_not_keep_other_work_off_the_only_worker_with_a_label(kind):
    crashing = [labelled_worker(f"x{number}", memory_mb=100) for number in range(20)]
    site = Site(labelled_worker("w0"), *crashing)
    spec = step(20, millicores=100, memory_mb=100, required_label="gpu", lasting=True)
    accept(site.ledger, spec, job_id=SECOND)
    for number in range(20):
        record_intent(site.ledger, f"{SECOND}.0.0.{number}", 1, (f"x{number}", 1))
    for number in range(20):
        site.crash(f"x{number}", returns=False)
        site.run_pass()
        if number == 0:
            accept(site.ledger, work(kind, required_label="gpu"))
        site.run_pass()
    site.run(4.0)
    assert JOB in started_jobs(site)


# Guards against a worker that is kept for one suspect which starts and ends again and again.
def test_a_suspect_that_ends_again_and_again_does_not_keep_other_work_off():
    site = Site(labelled_worker("w0"), *[worker(f"w{n}") for n in range(1, 8)])
    accept(site.ledger, step(lasting=True, required_label="gpu"), job_id=SECOND)
    site.run_pass()
    site.crash("w0")
    site.fate = lambda task, worker_id: LAPSES if task.name.startswith(SECOND) else WORKS
    accept(site.ledger, step(3, lasting=True, required_label="gpu"))
    site.run(10.0)
    assert JOB in started_jobs(site)


# ------------------------------------------------- best-effort work, kept capacity


# Guards against best-effort work that waits for an exclusion to end on all workers.
@pytest.mark.parametrize("kind", ["filling finite", "filling lasting", "filling gang"])
def test_best_effort_work_starts_though_its_image_is_excluded_everywhere(kind):
    site = Site()
    site.excluded_images = frozenset({"batch"})
    accept(site.ledger, work(kind))
    site.run(6.0)
    assert site.starts


# Guards against wide best-effort steps that start one task a pass after most of the time allowed,
# and against a gang of which one member is planned: it would start alone.
@pytest.mark.parametrize("kind", ["filling finite", "filling lasting", "filling gang"])
def test_best_effort_work_starts_beside_serving_runs_that_it_disturbs(kind):
    site = Site(interference=disturbing())
    serve_everywhere(site, millicores=1500)
    accept(site.ledger, work(kind))
    site.run(8.0)
    assert site.starts


# Guards against the same with several steps and jobs that wait: each of them is owed a start.
def test_each_of_several_best_effort_jobs_starts_beside_serving_runs_that_it_disturbs():
    records = [worker(f"w{number}", millicores=9000) for number in range(4)]
    site = Site(*records, interference=disturbing())
    serve_everywhere(site, millicores=1000)
    accept(site.ledger, step(3, **BATCH))
    accept(site.ledger, step(3, gang=True, **BATCH), job_id=SECOND)
    accept(site.ledger, step(7, lasting=True, **BATCH), job_id=THIRD)
    site.run(8.0)
    assert started_jobs(site) == {JOB, SECOND, THIRD}


# Guards against tasks that last and wait for a full service to empty, which it never does.
def test_each_best_effort_task_that_lasts_starts_however_full_the_service_is():
    site = Site(interference=disturbing())
    serve_everywhere(site, millicores=4000)
    accept(site.ledger, work("filling lasting"))
    site.run(8.0)
    assert len(site.starts) == FIELDS_BY_KIND["filling lasting"]["count"]


# Guards against a share in use that is taken over the workers with the label, or without those that
# are quarantined or silent, in place of the service: a step beside them never counts as starving.
@pytest.mark.parametrize("held_by", ["label", "quarantine", "silence"])
@pytest.mark.parametrize("gang", [False, True], ids=["single", "gang"])
def test_best_effort_work_starts_on_busy_workers_of_a_service_under_half_in_use(held_by, gang):
    idle = [worker(f"w{n}", millicores=9000, memory_mb=500) for n in range(4)]
    site = Site(labelled_worker("busy"), *idle, interference=disturbing())
    serving = step(3, lasting=True, target_ms=50, image="sensitive", millicores=3000)
    accept(site.ledger, serving, job_id=SECOND)
    for index in range(3):
        record_intent(site.ledger, f"{SECOND}.0.0.{index}", incarnation=("busy", 1))
    spec = step(2, required_label="gpu", gang=gang, **(BATCH | {"millicores": 500}))
    if held_by != "label":
        spec.required_label = ""
    if held_by == "quarantine":
        site.quarantine(*[f"w{n}" for n in range(4)])
    if held_by == "silence":
        site.unresponsive = {f"w{n}" for n in range(4)}
    accept(site.ledger, spec)
    site.run(8.0)
    assert JOB in started_jobs(site)


# Guards against LOST at the end of a day: best-effort steps that wait for good for each other's
# runs, which count as use of a service of which under half is reserved.
@pytest.mark.parametrize("gang", [False, True], ids=["single", "gang"])
def test_best_effort_work_starts_beside_other_best_effort_runs_on_a_service_under_half_reserved(
    gang,
):
    site = Site(*[worker(f"w{n}", millicores=9000) for n in range(4)], interference=disturbing())
    serve_everywhere(site, millicores=4400)
    accept(site.ledger, step(12, filling=True, image="batch", millicores=1500), job_id=THIRD)
    for index in range(12):
        record_intent(site.ledger, f"{THIRD}.0.0.{index}", incarnation=(f"w{index % 4}", 1))
    accept(site.ledger, step(2, gang=gang, **BATCH))
    site.run(MAX_START_SECONDS)
    assert JOB in started_jobs(site)


# Guards against a task that lasts and is taken to fit nowhere, since a finite one of the same size
# keeps waiting while the service is busy.
def test_a_best_effort_task_that_lasts_starts_while_a_finite_one_keeps_waiting():
    site = Site(worker(), interference=disturbing())
    serve_everywhere(site, millicores=4000)
    accept(site.ledger, step(**BATCH), prefix="/urgent/")
    accept(site.ledger, step(lasting=True, **BATCH), job_id=SECOND)
    site.run(8.0)
    assert started_jobs(site) == {SECOND}


# Guards against a task that is taken to fit nowhere, since a gang of tasks like it does not.
@pytest.mark.parametrize("kind", ["finite", "lasting", "filling finite", "filling lasting"])
@pytest.mark.parametrize("is_quarantined", [False, True], ids=["sound", "quarantined"])
def test_work_starts_beside_a_gang_that_never_fits(kind, is_quarantined):
    site = Site(interference=disturbing())
    serve_everywhere(site, millicores=500)
    if is_quarantined:
        site.quarantine("w0", "w1", "w2", "w3")
    like = FIELDS_BY_KIND[kind] | {"count": 400, "gang": True}
    accept(site.ledger, step(**like), job_id=SECOND, prefix="/urgent/")
    accept(site.ledger, work(kind))
    site.run(8.0)
    assert started_jobs(site) == {JOB}


# Guards against work that lasts and waits for good for capacity kept for finite runs.
@pytest.mark.parametrize("kind", [{}, SERVING, {"gang": True}], ids=["lasting", "serving", "gang"])
def test_work_that_lasts_starts_in_capacity_kept_for_finite_runs(kind):
    site = Site(worker(millicores=10_000, memory_mb=9000))
    accept(site.ledger, step(7, lasting=True))
    site.run_pass()
    accept(site.ledger, step(3, **({"lasting": True} | kind)), job_id=SECOND)
    site.run(6.0)
    assert len(site.starts) == 10


# Guards against jobs without a run while the leader has no time to spare.
@pytest.mark.parametrize("kind", ["filling finite", "filling lasting", "filling gang"])
def test_each_best_effort_job_starts_though_no_starts_are_allowed(kind):
    site = Site()
    site.best_effort_starts = 0
    jobs = (JOB, SECOND, THIRD)
    for job_id in jobs:
        accept(site.ledger, work(kind), job_id=job_id)
    site.run(6.0)
    assert started_jobs(site) == set(jobs)


# ----------------------------------------------------- new leaders and snapshots


def hold_by_quarantine(site):
    site.quarantine("w0", "w1", "w2", "w3")


def hold_by_exclusion(site):
    site.excluded_images = frozenset({"batch"})


def hold_by_interference(site):
    site.interference.add_sample("sensitive", 0.9, {"batch": 3.0}, 0.0)
    serve_everywhere(site, millicores=500)


each_hold = pytest.mark.parametrize(
    "hold", [hold_by_quarantine, hold_by_exclusion, hold_by_interference]
)


# Guards against a wait that starts anew with a snapshot.
@each_hold
@pytest.mark.parametrize("kind", ["finite", "filling lasting", "filling gang", "gang"])
def test_a_wait_is_bounded_through_snapshots(kind, hold):
    site = Site()
    hold(site)
    accept(site.ledger, work(kind))
    for _ in range(20):
        site.run_pass()
        site.restore_snapshot()
    assert site.starts


# Guards against a new leader that takes longer than one that knows how long work has waited.
@each_hold
@pytest.mark.parametrize("kind", ["finite", "filling lasting", "filling gang", "gang"])
def test_a_wait_is_bounded_from_the_first_pass_of_a_new_leader(kind, hold):
    site = Site()
    hold(site)
    accept(site.ledger, work(kind))
    site.run(1.5)
    site.change_leader()
    hold(site)
    site.restore_snapshot()
    site.run(8.0)
    assert site.starts


# Guards against an occurrence that waits longer after it is due than the users allow.
@each_hold
@pytest.mark.parametrize("kind", FIELDS_BY_KIND)
def test_a_wait_is_bounded_from_the_time_at_which_an_occurrence_is_due(kind, hold):
    site = Site(*[worker(f"w{number}", millicores=9000) for number in range(4)])
    due_at = site.now + 5.0
    accept(site.ledger, work(kind), repetitions=3, first_run_ms=int(1000 * due_at))
    for _ in range(2):
        site.run(4.0)
        hold(site)
    assert min(at for at, _, _ in site.starts) >= due_at


# ------------------------------------------------ what quarantine is still good for


# Guards against a quarantine that keeps nothing off: a sound worker may run all of it.
@each_kind
def test_quarantined_workers_get_no_start_while_another_may_run_the_work(kind):
    site = Site(*[worker(f"w{n}", millicores=9000, memory_mb=9000) for n in range(6)])
    site.quarantine("w0", "w1")
    accept(site.ledger, work(kind))
    site.run(8.0)
    assert site.starts
    assert not {worker_id for _, _, worker_id in site.starts} & {"w0", "w1"}


# Guards against a last resort that tries one broken worker with all finite work, or all of a job.
def test_finite_jobs_are_spread_over_quarantined_workers_with_one_task_each():
    names = ["w0", "w1", "w2"]
    site = Site(*[worker(name, millicores=9000, memory_mb=9000) for name in names])
    site.quarantine(*names)
    site.is_sound, site.fate = False, lambda task, worker_id: FAILS
    for number in range(6):
        accept(site.ledger, step(5), job_id=f"{0xE000 + number:016x}")
    site.run(10.0)
    starts_by_pass = {}
    for at, task, worker_id in site.starts:
        starts_by_pass.setdefault(at, []).append((task.partition(".")[0], worker_id))
    assert starts_by_pass
    for starts in starts_by_pass.values():
        assert len({job_id for job_id, _ in starts}) == len(starts) == 6
        assert Counter(worker_id for _, worker_id in starts) == dict.fromkeys(names, 2)


# Guards against preferences that are ignored for scheduled work: the time until it was due counted
# as a wait.
@each_hold
@pytest.mark.parametrize("kind", ["filling finite", "filling lasting", "filling gang"])
def test_the_time_before_an_occurrence_is_due_is_no_wait(kind, hold):
    site = Site(*[worker(f"w{number}", millicores=9000) for number in range(4)])
    hold(site)
    due_at = site.now + 6.0
    accept(site.ledger, work(kind), repetitions=1, first_run_ms=int(1000 * due_at))
    site.run(10.0)
    first_start = min(at for at, _, _ in site.starts)
    assert due_at < first_start < due_at + MAX_START_SECONDS


# Guards against the attempts of a finite job that are all spent on a fleet that is broken.
# A task that lasts has no limit of attempts, but starting it again and again at once helps nobody.
@pytest.mark.parametrize(
    "steps",
    [[step(1)], [step(4)], [step(1), step(1)], [step(1, lasting=True)]],
    ids=["one task", "wide step", "two steps", "lasting"],
)
@pytest.mark.parametrize("passes_a_second", [4, 32])
def test_a_step_is_tried_on_quarantined_workers_at_most_each_two_seconds(steps, passes_a_second):
    site = Site()
    site.pass_seconds = 1 / passes_a_second
    site.quarantine("w0", "w1", "w2", "w3")
    site.is_sound, site.fate = False, lambda task, worker_id: FAILS
    accept(site.ledger, *steps)
    site.run(15.0)
    # Steps that wait for each other in nothing are tried side by side: attempts count by task.
    for number in range(len(steps)):
        tries = [at for at, task, _ in site.starts if task.split(".")[2] == str(number)]
        # Not from the end of the quarantine on, when its probes fail.
        assert len(tries) >= 15.0 / MAX_START_SECONDS - 1
        gaps = [later - earlier for earlier, later in zip(tries, tries[1:], strict=False)]
        assert min(gaps) >= LAST_RESORT_SECONDS
        assert max(gaps) <= MAX_START_SECONDS


# Guards against attempts of a finite job that follow each other at once, on workers that fail: an
# earlier refused start of another of its tasks kept the step overdue.
@pytest.mark.parametrize("passes_a_second", [4, 32])
def test_a_step_is_tried_as_a_last_resort_each_two_seconds_after_its_tasks_were_refused(
    passes_a_second,
):
    site = Site(worker("w0"), worker("w1"))
    site.pass_seconds = 1 / passes_a_second
    site.is_sound, site.fate = False, lambda task, worker_id: REJECTED
    accept(site.ledger, step(4))
    site.run(PASS_SECONDS)
    site.quarantine("w0", "w1")
    site.fate, began_at = lambda task, worker_id: FAILS, site.now
    site.run(8.0)
    tries = [at for at, _, _ in site.starts if at >= began_at]
    gaps = [later - earlier for earlier, later in zip(tries, tries[1:], strict=False)]
    assert gaps and min(gaps) >= LAST_RESORT_SECONDS


class CountedTasks(list):
    """The tasks of a step; counts how often all of them are looked at."""

    looks = 0

    def __iter__(self):
        self.looks += 1
        return super().__iter__()


# Guards against a pass of half a second: all tasks of a wide step were looked at for each of them
# that had been refused.
def test_a_pass_looks_at_a_wide_step_as_often_however_many_of_its_starts_were_refused():
    looks = {}
    for width in (5, 50):
        site = Site(worker("w0", millicores=9000, memory_mb=9000))
        site.fate = lambda task, worker_id: MALFORMED
        accept(site.ledger, step(width, millicores=10, memory_mb=10))
        site.run_pass()
        (group,) = site.ledger.startable_group_by_key.values()
        group.tasks = CountedTasks(group.tasks)
        views = [WorkerView(w, True, {}) for w in site._workers()]
        site.placement.plan(site.ledger, views, site.wall_ms, site.health, site.now)
        looks[width] = group.tasks.looks
    assert looks[5] == looks[50]


# Guards against one task of a step whose attempts are spent first, which fails the whole job.
def test_the_task_with_the_fewest_failures_is_tried_as_a_last_resort():
    site = Site()
    site.quarantine("w0", "w1", "w2", "w3")
    site.is_sound, site.fate = False, lambda task, worker_id: FAILS
    accept(site.ledger, step(3))
    site.run(15.0)
    failures = [task.failures for task in site.ledger.job_by_id[JOB].tasks()]
    assert sum(failures) >= 3
    assert max(failures) - min(failures) <= 1


def looks_at_workers(width, kind, monkeypatch):
    """Return how often a worker is looked at until a step on 50 quarantined ones has started."""
    names = [f"w{number}" for number in range(50)]
    site = Site(*[worker(name, memory_mb=9000) for name in names], interference=disturbing())
    serve_everywhere(site, millicores=500)
    site.quarantine(*names)
    accept(site.ledger, work(kind, count=width, memory_mb=20))
    calls, fits = [], _Candidate.fits
    with monkeypatch.context() as patch:
        patch.setattr(_Candidate, "fits", lambda *args: calls.append(1) or fits(*args))
        site.run(MAX_START_SECONDS)
    assert len(site.starts) == width
    return len(calls)


# Guards against a leader that is busy for a second with one pass: a wide step that is overdue was
# compared with all workers for each of its tasks.
@pytest.mark.parametrize("kind", ["lasting", "filling lasting", "gang", "filling gang"])
def test_a_wide_step_that_is_overdue_is_compared_with_each_worker_once(kind, monkeypatch):
    # Each run planned changes what one worker of the 50 can take.
    assert looks_at_workers(40, kind, monkeypatch) < 2 * looks_at_workers(1, kind, monkeypatch)


# ------------------------------------------------------------------- combinations

SETTLE_SECONDS = 5.0
"""How long waits are judged in each example, after all that is impaired is sound again."""

SEGMENT_PASSES = 4

kinds_of_work = st.builds(
    lambda kind, count, **fields: work(kind, count=count, **fields),
    st.sampled_from(sorted(FIELDS_BY_KIND)),
    st.sampled_from([1, 2, 7]),
    required_label=st.sampled_from(["", "", "gpu"]),
    millicores=st.sampled_from([500, 1000, 4000]),
    memory_mb=st.sampled_from([20, 100, 400]),
)


@attrs.frozen
class Arrival:
    """A job and the pass before which it is accepted."""

    pass_number: int
    steps: list
    is_urgent: bool
    repetitions: int
    fate: str
    """What becomes of its starts where others would work: most jobs work."""


arrivals = st.builds(
    Arrival,
    st.integers(0, 20),
    st.lists(kinds_of_work, min_size=1, max_size=2),
    st.booleans(),
    st.sampled_from([0, 0, 2]),
    st.sampled_from([WORKS, WORKS, WORKS, FAILS, REJECTED, LAPSES]),
)

worker_records = st.builds(
    lambda millicores, labels: (millicores, labels),
    st.sampled_from([4000, 9000]),
    st.sampled_from([("a",), ("a", "gpu")]),
)

# What becomes of all starts on each of four workers in one second.
segments = st.lists(
    st.lists(st.sampled_from([WORKS, FAILS, REJECTED, UNHEALTHY, LAPSES]), min_size=4, max_size=4),
    max_size=8,
)

EVENT_BY_NAME = {}
_event = registry_decorator(EVENT_BY_NAME)
"""Registers what may happen to a site before a pass, with the number of a worker."""


@_event("crash")
def _crash(site, worker_id):
    site.crash(worker_id)


@_event("silence")
def _silence(site, worker_id):
    site.unresponsive ^= {worker_id}


@_event("quarantine")
def _quarantine(site, worker_id):
    site.quarantine(worker_id)


@_event("quarantine of all")
def _quarantine_all(site, worker_id):
    site.quarantine(*{key[0] for key in site.ledger.worker_by_incarnation})


@_event("exclusion")
def _exclude(site, worker_id):
    site.excluded_images = frozenset({"batch"}) - site.excluded_images


@_event("busy leader")
def _limit_starts(site, worker_id):
    site.best_effort_starts = 0 if site.best_effort_starts else math.inf


@_event("snapshot")
def _restore(site, worker_id):
    site.restore_snapshot()


@_event("new leader")
def _change_leader(site, worker_id):
    site.change_leader()


IMPAIRING_EVENTS = {"crash", "silence", "quarantine", "quarantine of all"}

events = st.lists(
    st.tuples(st.integers(0, 40), st.sampled_from(sorted(EVENT_BY_NAME)), st.integers(0, 3)),
    max_size=8,
)


@settings(max_examples=250)
@given(
    st.lists(worker_records, min_size=1, max_size=4),
    st.lists(arrivals, min_size=1, max_size=5),
    segments,
    events,
    st.booleans(),
    st.sampled_from([PASS_SECONDS, PASS_SECONDS / 4]),
)
def test_whatever_held_work_back_it_starts_in_time(
    fleet, jobs, fates, events, is_disturbing, pass_seconds
):
    """Guards against preferences that together hold work back for longer than each of them."""
    records = [
        worker(f"w{n}", millicores=millicores, labels=labels)
        for n, (millicores, labels) in enumerate(fleet)
    ]
    site = Site(*records, interference=disturbing("shop") if is_disturbing else None)
    site.pass_seconds = pass_seconds
    site.counts_failing_starts = True
    job_by_id = {f"{0xE000 + position:016x}": job for position, job in enumerate(jobs)}
    site.unjudged_jobs = {job_id for job_id, job in job_by_id.items() if job.fate != WORKS}
    fates = fates + [[WORKS] * 4]
    site.fate = lambda task, worker_id: fate_of(job_by_id[task.step.job.job_id], worker_id)
    impaired_passes = SEGMENT_PASSES * (len(fates) - 1)
    site.is_sound = not impaired_passes

    def fate_of(job, worker_id):
        """Return what becomes of a start: a worker that works leaves it to the job."""
        segment = min(number // SEGMENT_PASSES, len(fates) - 1)
        fate = fates[segment][int(worker_id[1:])]
        return job.fate if fate == WORKS else fate

    for number in range(impaired_passes + round(SETTLE_SECONDS / pass_seconds)):
        for job_id, job in job_by_id.items():
            if job.pass_number == number:
                accept(
                    site.ledger,
                    *job.steps,
                    job_id=job_id,
                    prefix="/urgent/" if job.is_urgent else "/quotes/",
                    repetitions=job.repetitions,
                    first_run_ms=site.wall_ms + 2000,
                )
        if number and number == impaired_passes:
            site.become_sound()
        for pass_number, name, worker_number in events:
            if name in IMPAIRING_EVENTS:
                pass_number %= impaired_passes + 1
            if pass_number == number:
                EVENT_BY_NAME[name](site, f"w{worker_number % len(fleet)}")
        site.run_pass()


# Guards against passes that take long on a busy service: each overdue best-effort step looked
# at every worker, though a like step had just been found to slow others down on all of them.
def test_like_overdue_steps_of_a_busy_service_look_at_the_workers_once(monkeypatch):
    model = InterferenceModel({("batch", "shop"): 5.0})
    site = Site(*[worker(f"w{number}") for number in range(20)], interference=model)
    site.is_sound = False
    accept(site.ledger, step(78, **(SERVING | {"millicores": 1000})))
    site.run(3.0)
    for number in range(30):
        accept(site.ledger, work("filling finite"), job_id=f"{number:016x}")
    site.run(3.0)
    looks = []
    may_add = _Candidate.may_add_best_effort
    monkeypatch.setattr(
        _Candidate,
        "may_add_best_effort",
        lambda candidate, step: looks.append(step) or may_add(candidate, step),
    )
    assert not site.run_pass()
    assert len(looks) <= 2 * 20
