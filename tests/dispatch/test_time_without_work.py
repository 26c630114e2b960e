"""How long nothing of a step is at work, whatever becomes of the starts that were planned for it.

The users see what the workers run.  A run that was evicted, refused, never sent, in doubt, or
paused at 0 percent is not at work.
"""

import contextlib
import itertools
import math
import random

import attrs
import eventlet
import pytest

from savoryshelf.dispatch.worker_api import StartResult
from savoryshelf.wire.generated.ttypes import RunOutcome

from ..tasks.builders import JOB, accept, record_intent, step
from ..virtual_time import virtual_time
from .protocol_worker import BUSY, SILENT, USUAL_LOAD
from .startable_group import LASTING_WAIT_SECONDS, MAX_WAIT_SECONDS, StartableGroup
from .test_bounded_waits import (
    BATCH,
    END_BY_FATE,
    EVICTED,
    IN_DOUBT,
    MALFORMED,
    MAX_START_SECONDS,
    PAUSED,
    REJECTED,
    RUN_SECONDS,
    WORKS,
    Site,
    disturbing,
    serve_everywhere,
)

WINDOW_SECONDS = 10.0
"""Longer than several waits: the time without work in it is bounded by one."""

WORKING_FATES = {WORKS, EVICTED}
"""What becomes of starts whose runs are at work until they end."""


# ------------------------------------------------------------------- placement alone


class WorkedSite(Site):
    """A site that notes when a run of ``JOB`` is at work."""

    def __init__(self, *fates, **fields):
        super().__init__(**fields)
        # Starts that fail are no fault of placement; what it does after them is judged here.
        self.is_sound = False
        self.spans = []
        """When each run of the job was at work: from, until."""

        self._fates = itertools.cycle(fates)
        self.fate = self._next_fate

    def _next_fate(self, task, worker_id):
        fate = next(self._fates)
        if fate in WORKING_FATES:
            is_endless = fate == WORKS and task.step.spec.lasting
            seconds = math.inf if is_endless else END_BY_FATE[fate][1]
            self.spans.append((self.now, self.now + seconds))
        return fate

    def rests(self, since):
        """Return the spans from ``since`` until now in which nothing was at work."""
        rests = []
        for began_at, ended_at in [*sorted(self.spans), (self.now, self.now)]:
            if began_at > since:
                rests.append((since, began_at))
            since = max(since, ended_at)
        return rests


def seconds_in(spans, began_at, ended_at):
    return sum(max(0.0, min(until, ended_at) - max(since, began_at)) for since, until in spans)


KINDS = {"finite": {"count": 200}, "lasting": {"lasting": True}}
EVICTED_KINDS = KINDS | {"one finite": {"count": 1}}
"""With a step of which no task is startable while its run exists: it is again after the end."""


def run_held_back(site, hold, kind, seconds, before=lambda site: None):
    """Let best-effort work wait for the last resort all the time; return the rests in it."""
    accept(site.ledger, step(**(BATCH | EVICTED_KINDS[kind])))
    before(site)
    if hold == "interference":
        serve_everywhere(site, millicores=1500)
    began_at = site.now
    while site.now < began_at + seconds:
        if hold == "quarantine":
            site.quarantine("w0", "w1", "w2", "w3")
        site.run_pass()
    assert not site.ledger.job_by_id[JOB].is_ended
    return site.rests(began_at)


def require_no_long_rest(rests, kind):
    """Require that no rest is as long as the users forbid: more after a run of a lasting task."""
    seconds = [round(until - since, 2) for since, until in rests]
    later_limit = LASTING_WAIT_SECONDS if kind == "lasting" else MAX_START_SECONDS
    limits = [MAX_START_SECONDS] + [later_limit] * (len(rests) - 1)
    long = [each for each, limit in zip(seconds, limits, strict=True) if each >= limit]
    assert not long, f"nothing at work for {max(long)} s: {seconds}"


each_hold = pytest.mark.parametrize("hold", ["quarantine", "interference"])
each_kind = pytest.mark.parametrize("kind", KINDS)
each_evicted_kind = pytest.mark.parametrize("kind", EVICTED_KINDS)
each_refusal = pytest.mark.parametrize("refusal", [REJECTED, MALFORMED, IN_DOUBT])


# Guards against a step that gets a moment of work and a whole wait in turn: a run that is evicted
# starts the wait anew.
@each_hold
@pytest.mark.parametrize("kind", ["finite", "one finite"])
def test_evicted_runs_do_not_each_begin_a_whole_wait(hold, kind):
    site = WorkedSite(EVICTED, interference=disturbing())
    rests = run_held_back(site, hold, kind, 3 * WINDOW_SECONDS)
    require_no_long_rest(rests, kind)
    worst = max(
        seconds_in(rests, since, since + WINDOW_SECONDS)
        for since, _ in rests
        if since + WINDOW_SECONDS <= site.now
    )
    # A wait may be as long as the users allow, and evicted runs are no reason for another one.
    assert worst <= MAX_START_SECONDS, f"{worst:.2f} s without work in {WINDOW_SECONDS} s"


# Guards against two waits of which each is bounded, and that follow each other without work.
@each_hold
@each_evicted_kind
@each_refusal
def test_an_evicted_run_and_a_refused_start_in_turn_leave_no_long_rest(hold, kind, refusal):
    site = WorkedSite(EVICTED, refusal, interference=disturbing())
    require_no_long_rest(run_held_back(site, hold, kind, 3 * WINDOW_SECONDS), kind)


# Guards against a last resort that is refused and begins the wait anew.
@each_hold
@each_kind
@each_refusal
def test_a_refused_last_resort_leaves_no_long_rest(hold, kind, refusal):
    site = WorkedSite(refusal, WORKS, interference=disturbing())
    require_no_long_rest(run_held_back(site, hold, kind, 2 * WINDOW_SECONDS), kind)


# Guards against the same twice in a row.  Two starts in doubt take longer than the time left.
@each_hold
@each_kind
@pytest.mark.parametrize("refusal", [REJECTED, MALFORMED])
def test_two_refused_last_resorts_leave_no_long_rest(hold, kind, refusal):
    site = WorkedSite(refusal, refusal, WORKS, interference=disturbing())
    require_no_long_rest(run_held_back(site, hold, kind, 2 * WINDOW_SECONDS), kind)


def become_suspect(site):
    """Let a worker have crashed under the first run of ``JOB``, and be gone."""
    record_intent(site.ledger, f"{JOB}.0.0.0", 1, ("w0", 1))
    site.ledger.at_ms = site.wall_ms
    site.crash("w0", returns=False)


# Guards against a whole wait for a worker of its own after each run of a suspect of a crash, and
# after each start that was refused.
@each_hold
@pytest.mark.parametrize("kind", ["lasting", "one finite"])
@pytest.mark.parametrize(
    "fates",
    [[EVICTED], [EVICTED, REJECTED], [EVICTED, MALFORMED], [EVICTED, IN_DOUBT]],
    ids=["evicted", "rejected", "malformed", "in doubt"],
)
def test_runs_of_a_suspect_do_not_each_begin_a_whole_wait(hold, kind, fates):
    site = WorkedSite(*fates, interference=disturbing())
    rests = run_held_back(site, hold, kind, 3 * WINDOW_SECONDS, before=become_suspect)
    require_no_long_rest(rests, "finite")
    # The work of long-running tasks makes up for their waits, whether they are suspects or not.
    if fates == [EVICTED] and kind == "one finite":
        worst = max(
            seconds_in(rests, since, since + WINDOW_SECONDS)
            for since, _ in rests
            if since + WINDOW_SECONDS <= site.now
        )
        assert worst <= MAX_START_SECONDS, f"{worst:.2f} s without work in {WINDOW_SECONDS} s"


REFUSALS = {REJECTED, MALFORMED, IN_DOUBT}
FATES_OF_SUSPECTS = [
    [EVICTED, *sorted(REFUSALS)],
    [PAUSED, *sorted(REFUSALS)],
    [EVICTED, PAUSED],
    [EVICTED, PAUSED, *sorted(REFUSALS)],
]


class SuspectSite(WorkedSite):
    """A site of which starts end in random ways, without two refusals in a row."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        fates, drawn = self.random.choice(FATES_OF_SUSPECTS), [EVICTED]
        while len(drawn) < 300:
            fate = self.random.choice(fates)
            if not {fate, drawn[-1]} <= REFUSALS:
                drawn.append(fate)
        self._paused_at_by_run = {}
        super().__init__(*drawn, interference=disturbing())
        plan = self.placement.plan
        self.placement.plan = lambda ledger, views, *arguments: plan(
            ledger, [self._with_pauses(view) for view in views], *arguments
        )

    def _next_fate(self, task, worker_id):
        fate = super()._next_fate(task, worker_id)
        if fate == PAUSED:
            paused_at = self.now + RUN_SECONDS
            self.spans.append((self.now, paused_at))
            self._paused_at_by_run[task.name, task.runs] = paused_at
        return fate

    def _with_pauses(self, view):
        paused = {run: self.now - at for run, at in self._paused_at_by_run.items()}
        idle = {run: seconds for run, seconds in paused.items() if seconds >= 0.0}
        return attrs.evolve(view, idle_seconds_by_run=idle)


# Guards against waits of a suspect that add up in any order.
@each_hold
@pytest.mark.parametrize("kind", ["lasting", "one finite"])
@pytest.mark.parametrize("seed", range(12))
def test_random_ends_of_a_suspects_runs_leave_no_long_rest(hold, kind, seed):
    site = SuspectSite(seed)
    rests = run_held_back(site, hold, kind, 3 * WINDOW_SECONDS, before=become_suspect)
    require_no_long_rest(rests, "finite")


# ------------------------------------------- hosts and workers, by what the workers run

SERVING_JOB, BATCH_JOB = "00000000000000d1", "00000000000000e1"
LATER_JOB = "00000000000000e2"
SERVING = {"lasting": True, "target_ms": 50, "image": "shop", "millicores": 500, "memory_mb": 50}
BUSY_LOAD = 0.78
"""Of serving runs that are within their target, and beside which any best-effort run is evicted."""

WORKERS = ["w1", "w2", "w3", "w4"]
LONG_MS = 4000
SAMPLE_SECONDS = 0.02


class WatchedGroup(StartableGroup):
    """A group of which chosen starts are refused, and that waits for what the workers do."""

    def __init__(self, clock):
        super().__init__(clock)
        self.answers = itertools.repeat(None)
        """How each start of a best-effort run is answered; None lets the worker answer."""

    def start(self, incarnation, request):
        answer = None
        if request.task.startswith(BATCH_JOB):
            answer = next(self.answers)
        if answer is None:
            return super().start(incarnation, request)
        return answer, self.worker_by_id[incarnation.worker_id].clock_ms()

    def progress(self):
        """Return the best-effort runs at work: their progress in percent."""
        return {
            run: worker._status(run).progress_percent
            for worker in self.worker_by_id.values()
            for run in worker.runs_at_work()
            if run[0].startswith(BATCH_JOB)
        }

    def speeds(self):
        """Return the speeds of the best-effort runs at work, in percent."""
        return {
            run: worker._work_by_run[run].speed_percent
            for worker in self.worker_by_id.values()
            for run in worker.runs_at_work()
            if run[0].startswith(BATCH_JOB)
        }

    def wait_for(self, condition, seconds=20.0):
        until = self.clock.monotonic() + seconds
        while not condition():
            assert self.clock.monotonic() < until, "it does not come to that"
            eventlet.sleep(0.02)

    def ended(self, outcome):
        """Return how many best-effort runs have ended so."""
        return sum(
            end.outcome == outcome and end.task.startswith(BATCH_JOB)
            for worker in self.worker_by_id.values()
            for end in worker.ends
        )


@contextlib.contextmanager
def serving_group(weight=0.8, load=BUSY_LOAD, served=WORKERS):
    """Yield a group of four workers, some of them with a serving run that is so busy."""
    with virtual_time() as clock:
        group = WatchedGroup(clock)
        group.judge.weight_by_pair["batch", "shop"] = weight
        for worker_id in WORKERS:
            labels = ["serves"] if worker_id in served else []
            group.start_worker(worker_id, labels=labels)
        eventlet.sleep(1.0)
        serving = step(len(served), max_per_worker=1, required_label="serves", **SERVING)
        group.submit(serving, job_id=SERVING_JOB)
        eventlet.sleep(2.0)
        set_loads(group, load)
        eventlet.sleep(1.0)
        try:
            yield group
            assert not group.judge.violations and not group.failures
        finally:
            group.close()


def set_loads(group, load):
    for worker in group.worker_by_id.values():
        worker.set_load(load)


def submit_batch(group, estimated_ms=LONG_MS, job_id=BATCH_JOB):
    spec = step(40, estimated_ms=estimated_ms, **(BATCH | {"millicores": 2000}))
    group.submit(spec, job_id=job_id)


def seconds_at_rest(group, seconds):
    """Let time pass; return for how much of it no best-effort run was at work."""
    until, rest = group.clock.monotonic() + seconds, 0.0
    while group.clock.monotonic() < until:
        eventlet.sleep(SAMPLE_SECONDS)
        assert not group.harmed_runs(group.clock.monotonic())
        rest += 0.0 if group.progress() else SAMPLE_SECONDS
    return rest


def require_work(group, seconds):
    lines = group.work_at_rest(seconds)
    assert not lines, "\n".join(lines)


# Guards against a judge that sees a rest where nothing holds work back.
def test_work_beside_idle_serving_runs_is_never_at_rest_for_long():
    with serving_group(weight=0.05, load=USUAL_LOAD) as group:
        submit_batch(group)
        require_work(group, 20.0)
        assert group.ended(RunOutcome.DONE)


# Guards against runs that are evicted and begin the wait anew each time.
def test_runs_that_agents_evict_leave_no_long_rest():
    with serving_group() as group:
        submit_batch(group)
        require_work(group, 30.0)
        assert group.ended(RunOutcome.STOPPED) > 5


# Guards against a whole wait after each run that agents evict: little work in most of the time.
def test_runs_that_agents_evict_do_not_each_begin_a_whole_wait():
    with serving_group() as group:
        submit_batch(group)
        group.wait_for(lambda: group.ended(RunOutcome.STOPPED) >= 8)
        rest = seconds_at_rest(group, WINDOW_SECONDS)
        assert rest <= MAX_WAIT_SECONDS, f"{rest:.2f} s without work in {WINDOW_SECONDS} s"


# Guards against a wait for each evicted run and one for each refused start, in turn.
@pytest.mark.parametrize("refusal", [StartResult.NO_CAPACITY, StartResult.UNHEALTHY])
def test_evicted_runs_and_refused_starts_in_turn_leave_no_long_rest(refusal):
    with serving_group() as group:
        submit_batch(group)
        group.wait_for(lambda: group.ended(RunOutcome.STOPPED))
        group.answers = itertools.cycle([refusal, None])
        require_work(group, 30.0)


# Guards against last resorts that are refused, each of which begins the wait anew.
@pytest.mark.parametrize("refusal", [StartResult.NO_CAPACITY, StartResult.UNHEALTHY])
def test_two_starts_refused_in_a_row_leave_no_long_rest(refusal):
    with serving_group() as group:
        submit_batch(group)
        group.wait_for(lambda: group.ended(RunOutcome.STOPPED))
        group.answers = itertools.cycle([refusal, refusal, None])
        require_work(group, 30.0)


# Guards against a run at 0 percent that counts as a run while other tasks of its step could start.
def test_a_paused_run_leaves_no_long_rest():
    with serving_group(weight=0.2, load=USUAL_LOAD) as group:
        submit_batch(group)
        group.wait_for(lambda: max(group.progress().values(), default=0) >= 85)
        set_loads(group, BUSY_LOAD)
        require_work(group, 10.0)


# Guards against the only run of a step that is paused for long, and against a whole wait after it.
def test_a_paused_run_without_others_leaves_no_long_rest():
    with serving_group(weight=0.2, load=USUAL_LOAD) as group:
        group.submit(
            step(1, estimated_ms=LONG_MS, **(BATCH | {"millicores": 2000})), job_id=BATCH_JOB
        )
        group.wait_for(lambda: max(group.progress().values(), default=0) >= 85)
        set_loads(group, BUSY_LOAD)
        require_work(group, 10.0)


# Guards against a start in doubt, or on a silent worker, that keeps the other tasks waiting.
@pytest.mark.parametrize("impairment", [BUSY, SILENT])
def test_starts_that_get_no_answer_leave_no_long_rest(impairment):
    with serving_group(served=WORKERS[1:]) as group:
        submit_batch(group, estimated_ms=1000)
        # From then on it is known that they disturb the serving runs: new runs start on w1 alone.
        group.wait_for(lambda: group.ended(RunOutcome.STOPPED) >= 3)
        eventlet.sleep(2.0)
        group.worker_by_id["w1"].impairment = impairment
        require_work(group, 10.0)


# Guards against a new leader that counts the wait for a first run from its own first pass.
def test_a_new_leader_leaves_no_long_rest_before_the_first_run():
    with serving_group() as group:
        # From this on it is known that such runs disturb the serving ones.
        submit_batch(group)
        group.wait_for(lambda: group.ended(RunOutcome.STOPPED) >= 8)
        submit_batch(group, job_id=LATER_JOB)
        # Half of what the users allow.
        eventlet.spawn_after(MAX_WAIT_SECONDS / 2, group.change_leader, "c1")
        require_work(group, 2 * MAX_WAIT_SECONDS)


# Guards against the same after a run that was evicted.
def test_a_new_leader_leaves_no_long_rest_after_an_evicted_run():
    with serving_group() as group:
        submit_batch(group)
        # Before the next start is planned.
        group.wait_for(lambda: group.ended(RunOutcome.STOPPED) >= 8 and not group.progress())
        eventlet.spawn_after(MAX_WAIT_SECONDS / 6, group.change_leader, "c1")
        require_work(group, 2 * MAX_WAIT_SECONDS)


# Guards against HARM: a poll that is held open for 2 s since nothing shared the worker reports too
# late what a best-effort run that starts meanwhile does to the serving ones.
@pytest.mark.parametrize("delay", [0.0, 0.4, 0.8, 1.2, 1.6])
def test_a_best_effort_run_that_starts_during_a_long_poll_is_throttled_within_a_second(delay):
    with serving_group(load=USUAL_LOAD) as group:
        eventlet.sleep(delay)
        group.submit(step(1, estimated_ms=LONG_MS, **BATCH), job_id=BATCH_JOB)
        group.wait_for(group.progress)
        began_at, speeds = group.clock.monotonic(), group.speeds()
        group.wait_for(lambda: group.speeds() != speeds)
        assert group.clock.monotonic() - began_at < 1.0
