"""Workers that follow the platform's PROTOCOL.md, on virtual time, and a judge of what they see."""

import contextlib
import math

import attrs
import eventlet
from eventlet.event import Event

from savoryshelf.dispatch.worker_api import (
    CallRejected,
    EndedRun,
    Fenced,
    IncarnationReplaced,
    NotDelivered,
    PollResult,
    RunStatus,
    StartResult,
    WorkerUnresponsive,
)
from savoryshelf.wire.generated.ttypes import RunOutcome, WorkerLife, WorkerRecord

CALL_TIMEOUT_SECONDS = 1.0
"""Of a call to a worker, as in ``platform/savoryshelf_platform/workers.py``."""

LINK_SECONDS = 0.002
STOP_SECONDS = 0.1
HEARTBEAT_SECONDS = 1.0
MAX_LISTED_ENDS = 500

PACE_SECONDS = 0.05
"""How long after it arrives a new speed takes effect."""

GAUGE_SECONDS = 0.5
"""The time over which the gauges of a list of runs are taken."""

HARM_SECONDS = 4.0
"""RULES.md, HARM: how long best-effort runs may keep a serving run over its target."""

USUAL_LOAD = 0.5
"""Share of its capacity that a serving run uses by itself."""

MAX_LOAD = 0.97
IDLE_TAIL_SHARE = 0.2
"""Tail response time of an idle serving run, as a share of its target."""

SILENT, BUSY, REFUSES = "silent", "answers polls alone", "refuses"
"""What a worker may be impaired by for a while; any other is a way to answer starts."""


@attrs.define(eq=False)
class Judge:
    """Judges by RULES.md what the workers do: TWICE and LIMIT, and what lost its runs."""

    spec_by_task: dict = attrs.field(factory=dict)
    workers: list = attrs.field(factory=list)
    """All processes of workers that ever were."""

    violations: list = attrs.field(factory=list)
    seen_at_by_step: dict = attrs.field(factory=dict)
    """When a run of each step was last at work, if none is now."""

    seen_at_by_task: dict = attrs.field(factory=dict)
    """The same of each task."""

    weight_by_pair: dict = attrs.field(factory=dict)
    """What each core of a best-effort image adds to the load of a serving image."""

    _done: list = attrs.field(factory=list)
    _after_done: list = attrs.field(factory=list)
    """Pairs of an end ``done`` and what was started after it."""

    def note_start(self, worker, task, run):
        """Judge a start that a worker is about to carry out."""
        for other in self.workers:
            if other.is_up and any(name == task for name, _ in other.running):
                self.violations.append(f"TWICE: {task}:{run} on {worker}, and on {other}")
        for end in self._done:
            if end.task == task:
                self._after_done.append((end, f"{task}:{run} on {worker}"))
        spec = self.spec_by_task[task]
        if spec.required_label and spec.required_label not in worker.labels:
            self.violations.append(f"ROUTE: {task}:{run} on {worker}")
        if worker.free_slots(spec) < 1:
            self.violations.append(f"LIMIT: {task}:{run} does not fit on {worker}")
        elif worker.allowed_slots(task.rpartition(".")[0]) < 1:
            self.violations.append(f"ROUTE: {task}:{run} is one too many on {worker}")
        self._judge_starts_after_done()

    def note_rest(self, task, now):
        """Take note that a run of a task is at work no more."""
        self.seen_at_by_task[task] = self.seen_at_by_step[task.rpartition(".")[0]] = now

    def tasks_at_work(self):
        """Return the names of the tasks of which a run is at work."""
        return {run[0] for worker in self.workers if worker.is_up for run in worker.runs_at_work()}

    def note_end(self, worker, end):
        """Take note of an end that a worker lists from now on."""
        if end.outcome is RunOutcome.DONE:
            self._done.append(_DoneEnd(worker, end.number, end.task))

    def note_acknowledgement(self, worker):
        """Take note that a worker has forgotten ends."""
        for end in self._done:
            if end.worker is worker and end.number <= worker.acknowledged and not end.has_lapsed:
                end.is_acknowledged = True
        self._judge_starts_after_done()

    def note_lapse(self, worker):
        """Take note that a worker's lease has lapsed."""
        for end in self._done:
            if end.worker is worker and not end.is_acknowledged:
                end.has_lapsed = True

    def _judge_starts_after_done(self):
        for end, start in self._after_done:
            if end.is_acknowledged:
                self.violations.append(f"TWICE: {start} after it was done on {end.worker}")
        self._after_done = [each for each in self._after_done if not each[0].is_acknowledged]


@attrs.define(eq=False)
class _DoneEnd:
    worker: object
    number: int
    task: str
    is_acknowledged: bool = False
    has_lapsed: bool = False


@attrs.define
class _Work:
    """What a run has done, and how fast it works."""

    since: float
    """Since when it works at this speed."""

    speed_percent: int = 100
    done_ms: float = 0.0
    finish: object = None
    """What ends a finite run once it is done."""

    def settle(self, now):
        """Count what was done until now."""
        self.done_ms += (now - self.since) * 10 * self.speed_percent
        self.since = now


@attrs.frozen
class _Load:
    """What a worker's runs use from a moment on."""

    since: float
    own: float
    cores_by_image: dict
    """The cores in use by each best-effort image."""


class ProtocolWorker:
    """One process of a worker: its runs, its lease, and what impairs it."""

    def __init__(self, judge, clock, worker_id, born_ms, *, address, labels=(), clock_rate=1.0,
                 clock_offset_ms=0, guards_capacity=True, max_hold_ms=6000):  # fmt: skip
        self.judge, self.clock = judge, clock
        self.worker_id, self.born_ms, self.address = worker_id, born_ms, address
        self.labels = list(labels)
        self.millicores, self.memory_mb = 4000, 1000
        self.is_up = True
        self.is_draining = False
        self.guards_capacity = guards_capacity
        self.impairment = None
        self.late_seconds = 0.0
        """How much later than they arrive starts and stops are carried out."""

        self.unreadable = None
        """What of its lists cannot be read: "runs", "ends", "numbers" too, or "foreign" rows."""

        self.fencing_token = 0
        self.running = {}
        """When each run is stopped, or None, by task and run."""

        self.load = USUAL_LOAD
        """How busy its serving runs are by themselves."""

        self.harmed_since_by_run = {}
        """Since when each serving run has been over its target by what fills beside it."""

        self._work_by_run = {}
        self._loads = [_Load(clock.monotonic(), self.load, {})]
        """What the runs used of late, oldest first."""

        self.ends = []
        self.acknowledged = 0
        self.pending_orders = []
        self._closed_run_by_task = {}
        self._lease_ms = 0
        self._max_hold_ms = max_hold_ms
        self._clock_rate, self._clock_offset_ms = clock_rate, clock_offset_ms
        self._began_at = clock.monotonic()
        self._changed = Event()
        self._sequence = 0
        self._is_lease_watched = False
        judge.workers.append(self)

    def __repr__(self):
        return f"{self.worker_id}/{self.born_ms}"

    # ------------------------------------------------------------------- its state

    def clock_ms(self):
        """Return the time on the worker's own clock, in ms."""
        seconds = self.clock.monotonic() - self._began_at
        return self._clock_offset_ms + int(1000 * seconds * self._clock_rate)

    def record(self):
        """Return what the next heartbeat says."""
        self._sequence += 1
        record = WorkerRecord(
            WorkerLife(self.worker_id, self.born_ms), "dispatch", self.address, "zone-a", "r1",
            list(self.labels), self.millicores, self.memory_mb, 0, self.is_draining, 0,
        )  # fmt: skip
        record.sequence = self._sequence
        return record

    def free_slots(self, spec):
        """Return how many runs of a step fit beside what runs here, its limit aside."""
        used = [self.judge.spec_by_task[task] for task, _ in self.running]
        free_memory_mb = self.memory_mb - sum(each.memory_mb for each in used)
        slots = free_memory_mb // spec.memory_mb
        if spec.filling:
            return slots
        return min(slots, (self.millicores - self.reserved_millicores()) // spec.millicores)

    def reserved_millicores(self):
        """Return what the runs here reserve of the processors: best-effort runs nothing."""
        used = [self.judge.spec_by_task[task] for task, _ in self.running]
        return sum(spec.millicores for spec in used if not spec.filling)

    def runs_at_work(self):
        """Return the runs that are neither paused nor being stopped."""
        return [run for run in self.running if self._is_at_work(run)]

    def _is_at_work(self, run):
        return self.running.get(run, self) is None and self._work_by_run[run].speed_percent > 0

    def allowed_slots(self, step_name):
        """Return how many more runs of a step fit and may be here."""
        spec = self.judge.spec_by_task[f"{step_name}.0"]
        if spec.required_label and spec.required_label not in self.labels:
            return 0
        slots = self.free_slots(spec)
        if spec.max_per_worker:
            slots = min(slots, spec.max_per_worker - self._count(step_name))
        return max(0, slots)

    def _count(self, step_name):
        return sum(task.rpartition(".")[0] == step_name for task, _ in self.running)

    def exit(self):
        """End the process, with all that runs there."""
        for run in self.runs_at_work():
            self.judge.note_rest(run[0], self.clock.monotonic())
        self.is_up = False
        self.running.clear()
        self.harmed_since_by_run.clear()
        self._note_change()

    def end(self, task, run, outcome):
        """End a run, if it is there, and list the end."""
        if (task, run) not in self.running:
            return
        if self._is_at_work((task, run)):
            self.judge.note_rest(task, self.clock.monotonic())
        del self.running[task, run]
        self._cancel_finish(self._work_by_run.pop((task, run)))
        self._note_load()
        self._close(task, run)
        self.ends.append(EndedRun(len(self.ends) + 1, task, run, outcome, ""))
        self.judge.note_end(self, self.ends[-1])
        self._note_change()

    def heal(self, carries_out=True):
        """End what impairs the worker; carry out the orders that it is late with, if need be."""
        self.impairment = self.unreadable = None
        self.late_seconds = 0.0
        self.is_draining = False
        orders = list(self.pending_orders) if carries_out else []
        for order in orders:
            order()
        self._note_change()

    def _note_change(self):
        event, self._changed = self._changed, Event()
        event.send(None)

    def _close(self, task, run):
        self._closed_run_by_task[task] = max(run, self._closed_run_by_task.get(task, 0))

    def _extend_lease(self, deadline_ms):
        deadline_ms = min(deadline_ms, self.clock_ms() + self._max_hold_ms)
        self._lease_ms = max(self._lease_ms, deadline_ms)
        if not self._is_lease_watched:
            self._is_lease_watched = True
            self._watch_lease()

    def _watch_lease(self):
        if not self.is_up:
            return
        remaining_ms = self._lease_ms - self.clock_ms()
        if remaining_ms > 0:
            eventlet.spawn_after(remaining_ms / 1000 / self._clock_rate + 0.001, self._watch_lease)
            return
        self._is_lease_watched = False
        self.judge.note_lapse(self)
        for task, run in list(self.running):
            self.end(task, run, RunOutcome.LAPSED)

    # ------------------------------------------------------------ orders carried out

    def _takes(self, token):
        if token < self.fencing_token:
            return False
        self.fencing_token = token
        return True

    def _start(self, request):
        if self.impairment in (StartResult.UNHEALTHY, StartResult.MALFORMED):
            return self.impairment
        if not self._takes(request.fencing_token):
            return StartResult.FENCED
        if self.impairment is StartResult.TOO_LATE or request.deadline_ms <= self.clock_ms():
            return StartResult.TOO_LATE
        self._extend_lease(request.deadline_ms)
        task, run = request.task, request.run
        if (task, run) in self.running:
            return StartResult.STARTED
        if run <= self._closed_run_by_task.get(task, 0):
            return StartResult.STALE_RUN
        if self.impairment is StartResult.NO_CAPACITY:
            return self.impairment
        spec = self.judge.spec_by_task[task]
        if self.guards_capacity and self.free_slots(spec) < 1:
            return StartResult.NO_CAPACITY
        self.judge.note_start(self, task, run)
        self.running[task, run] = None
        self._work_by_run[task, run] = _Work(self.clock.monotonic())
        self._set_speed(task, run, 100)
        return StartResult.STARTED

    def _finish(self, task, run):
        if self.running.get((task, run), self) is None:
            self.end(task, run, RunOutcome.DONE)

    def _pace(self, task, run, speed_percent, token):
        if not self._takes(token):
            raise Fenced("pace")
        eventlet.spawn_after(PACE_SECONDS, self._set_speed, task, run, speed_percent)

    def _set_speed(self, task, run, speed_percent):
        if self.running.get((task, run), self) is not None:
            return
        work, now = self._work_by_run[task, run], self.clock.monotonic()
        if not speed_percent and work.speed_percent:
            self.judge.note_rest(task, now)
        work.settle(now)
        work.speed_percent = speed_percent
        self._cancel_finish(work)
        spec = self.judge.spec_by_task[task]
        if speed_percent and not spec.lasting:
            seconds = max(0.0, spec.estimated_ms - work.done_ms) / 10 / speed_percent
            work.finish = eventlet.spawn_after(seconds, self._finish, task, run)
        self._note_load()

    @staticmethod
    def _cancel_finish(work):
        if work.finish is not None:
            work.finish.cancel()

    # ----------------------------------------------- what its runs do to each other

    def set_load(self, load):
        """Let the serving runs here be so busy by themselves."""
        self.load = load
        self._note_load()

    def _note_load(self):
        """Take note of what the runs use from now on."""
        now, cores_by_image = self.clock.monotonic(), {}
        for run in self.runs_at_work():
            spec = self.judge.spec_by_task[run[0]]
            if spec.filling:
                cores = spec.millicores * self._work_by_run[run].speed_percent / 100_000
                cores_by_image[spec.image] = cores_by_image.get(spec.image, 0.0) + cores
        self._loads.append(_Load(now, self.load, cores_by_image))
        while len(self._loads) > 1 and self._loads[1].since <= now - GAUGE_SECONDS:
            del self._loads[0]
        harmed = {run for run in self.running if self._is_harmed(run[0])}
        since = self.harmed_since_by_run
        self.harmed_since_by_run = {run: since.get(run, now) for run in harmed}

    def _is_harmed(self, task):
        spec, load = self.judge.spec_by_task[task], self._loads[-1]
        alone = attrs.evolve(load, cores_by_image={})
        return bool(spec.target_ms) and (
            self._tail_ms(spec, load) > spec.target_ms >= self._tail_ms(spec, alone)
        )

    def _tail_ms(self, spec, load):
        added = sum(
            cores * self.judge.weight_by_pair.get((image, spec.image), 0.0)
            for image, cores in load.cores_by_image.items()
        )
        return spec.target_ms * IDLE_TAIL_SHARE / (1.0 - min(MAX_LOAD, load.own + added))

    def _mean(self, value_of):
        """Return the mean of a value over the time of the gauges."""
        now = self.clock.monotonic()
        ends = [load.since for load in self._loads[1:]] + [now]
        total = sum(
            value_of(load) * max(0.0, end - max(load.since, now - GAUGE_SECONDS))
            for load, end in zip(self._loads, ends, strict=True)
        )
        return total / min(GAUGE_SECONDS, max(now - self._loads[0].since, 1e-6))

    def _status(self, run):
        """Return a row of the list of runs."""
        spec, work = self.judge.spec_by_task[run[0]], self._work_by_run[run]
        percent, gauge = 100, spec.millicores
        if not spec.lasting:
            work.settle(self.clock.monotonic())
            percent = min(100, int(100 * work.done_ms / spec.estimated_ms))
        if spec.target_ms:
            gauge = math.ceil(self._mean(lambda load: self._tail_ms(spec, load)))
        elif spec.filling:
            gauge = spec.millicores * work.speed_percent // 100
        return RunStatus(*run, "", percent, gauge)

    def _stop(self, task, run, token):
        if not self._takes(token):
            raise Fenced("stop")
        self._close(task, run)
        if self.running.get((task, run), self) is None:
            self._set_speed(task, run, 0)
            self.running[task, run] = self.clock.monotonic()
            eventlet.spawn_after(STOP_SECONDS, self.end, task, run, RunOutcome.STOPPED)

    def _hold(self, token, seen_end, deadline_ms, wait_ms):
        if not self._takes(token):
            raise Fenced("poll")
        if deadline_ms:
            self._extend_lease(deadline_ms)
        if seen_end > self.acknowledged:
            self.acknowledged = seen_end
            self.judge.note_acknowledgement(self)
        until = self.clock.monotonic() + wait_ms / 1000
        while self.is_up and not self.ends[self.acknowledged :]:
            remaining = until - self.clock.monotonic()
            if remaining <= 0:
                break
            with eventlet.Timeout(remaining, False):
                self._changed.wait()
        return self._lists()

    def _lists(self):
        ends = self.ends[self.acknowledged :]
        may_omit_ends, ends = len(ends) >= MAX_LISTED_ENDS, ends[:MAX_LISTED_ENDS]
        running = [self._status(run) for run in self.running]
        if self.unreadable == "runs":
            return PollResult(
                self.clock_ms(), running[1:], ends, max(1, len(running[:1])), 0, [], may_omit_ends
            )
        if self.unreadable == "foreign":
            return PollResult(self.clock_ms(), running, ends, 0, 1, [], may_omit_ends)
        if self.unreadable is None or not ends:
            return PollResult(self.clock_ms(), running, ends, 0, 0, [], may_omit_ends)
        numbers = [] if self.unreadable == "numbers" else [ends[0].number]
        return PollResult(self.clock_ms(), running, ends[1:], 0, 1, numbers, may_omit_ends)

    # ------------------------------------------------- calls, as an agent makes them

    def start(self, incarnation, request):
        """Answer ``run-start``."""
        result = self._call(incarnation, "start", lambda: self._start(request))
        return result, self.clock_ms()

    def stop(self, incarnation, task, run, fencing_token):
        """Answer ``run-stop``."""
        self._call(incarnation, "stop", lambda: self._stop(task, run, fencing_token))

    def set_speed(self, incarnation, task, run, speed_percent, fencing_token):
        """Answer ``pace``."""
        self._call(incarnation, "pace", lambda: self._pace(task, run, speed_percent, fencing_token))

    def poll(self, incarnation, fencing_token, seen_end, deadline_ms, wait_ms):
        """Answer ``hold``."""
        return self._call(
            incarnation,
            "poll",
            lambda: self._hold(fencing_token, seen_end, deadline_ms, wait_ms),
        )

    def _call(self, incarnation, name, order):
        eventlet.sleep(LINK_SECONDS)
        self._require_contact()
        if incarnation.born_ms != self.born_ms or incarnation.worker_id != self.worker_id:
            raise IncarnationReplaced("another incarnation answers")
        if self.impairment == BUSY and name != "poll":
            self._time_out()
        if self.impairment == REFUSES:
            if name == "start":
                return StartResult.UNHEALTHY
            raise CallRejected("unhealthy")
        if self.late_seconds and name != "poll":
            self._carry_out_late(order)
        result = order()
        eventlet.sleep(LINK_SECONDS)
        self._require_contact()
        return result

    def _require_contact(self):
        if not self.is_up:
            raise NotDelivered("connection refused")
        if self.impairment == SILENT:
            self._time_out()

    def _time_out(self):
        eventlet.sleep(CALL_TIMEOUT_SECONDS)
        raise WorkerUnresponsive("no answer")

    def _carry_out_late(self, order):
        def carry_out():
            if carry_out in self.pending_orders:
                self.pending_orders.remove(carry_out)
            if not is_done and self.is_up:
                is_done.append(True)
                with contextlib.suppress(Fenced):
                    order()

        is_done = []
        self.pending_orders.append(carry_out)
        eventlet.spawn_after(self.late_seconds, carry_out)
        self._time_out()
