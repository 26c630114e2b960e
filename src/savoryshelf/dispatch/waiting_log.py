"""Logs which startable work has waited too long, and why: for each worker of its service.

This changes nothing of what is placed.  The bounds of volume are ``LOOK_SECONDS`` and
``MAX_LINES``.
"""

import attrs

from ..observability import metrics
from ..observability.logs import log_event
from ..tasks.job import IncarnationKey, StepGroup, Task
from ..tasks.ledger import TaskLedger
from .agent_fleet import AgentFleet
from .health import FleetHealth
from .placement import Placement
from .waiting import MAX_DEFERRAL_SECONDS
from .waiting_reasons import (
    ACCEPTS,
    WorkerSituation,
    count_by_reason,
    free_room,
    situations_by_service,
)

LOOK_SECONDS = 1.0
"""Time between two looks: a step is named at most once in it."""

MAX_LINES = 6
"""Steps that one look names at most; those that nothing runs of go first."""

KEPT_SECONDS = 10.0
"""How long the start of a wait is remembered after a run was planned, in seconds.

Whether the run came to be is known by then: a lease is shorter.
"""

SETTLED = "settled"
"""Its agent reported that the run never ran: it was refused, not sent, or not listed."""

INVALID = "invalid"
"""It was not valid any more when it was committed."""


@attrs.define
class _NeverRan:
    """The planned starts of a task in this term of which it is known that no run came."""

    count: int = 0
    newest_settled_run: int = 0
    newest_how: str = ""
    newest_worker: str = ""
    newest_at: float = float("-inf")


@attrs.define
class _Wait:
    """Since when a task, or a finite step, waits for its first run that comes to be."""

    since: float
    seen_at: float


@attrs.frozen
class _OverdueStep:
    group: StepGroup
    task: Task
    """The one that has waited longest."""

    seconds: float
    is_at_work: bool
    """Whether another task of a finite step may be running, so that it makes progress."""


def _key(task: Task) -> tuple | str:
    """Return the key of what waits as a whole: a task that lasts, or a finite step."""
    return task.name if task.step.spec.lasting else task.step.key


def _is_at_work(group: StepGroup) -> bool:
    return not group.spec.lasting and any(task.incarnation_by_run for task in group.tasks)


@attrs.define
class WaitingLog:
    """What has waited too long in one leader's term; times are monotonic seconds."""

    _placement: Placement
    _fleet: AgentFleet
    _health: FleetHealth
    _looked_at: float = float("-inf")
    _never_ran_by_task: dict[str, _NeverRan] = attrs.field(factory=dict)
    _wait_by_key: dict[tuple | str, _Wait] = attrs.field(factory=dict)

    def record_never_ran(
        self, task: Task, run: int, incarnation: IncarnationKey, how: str, now: float
    ) -> None:
        """Record that a planned start did not become a run.

        ``how`` is ``SETTLED``, which counts once for each run, or ``INVALID``.
        """
        starts = self._never_ran_by_task.setdefault(task.name, _NeverRan())
        if how == SETTLED:
            if run <= starts.newest_settled_run:
                return
            starts.newest_settled_run = run
        starts.count += 1
        starts.newest_how, starts.newest_worker, starts.newest_at = how, incarnation[0], now
        self._wait_by_key.setdefault(_key(task), _Wait(now, now)).seen_at = now

    def record_ended(self, task: Task) -> None:
        """Record that a run has ended that may have come to be: a wait begins anew."""
        self._wait_by_key.pop(_key(task), None)

    def look(self, ledger: TaskLedger, wall_ms: int, now: float) -> None:
        """Log the steps that have waited too long, if the last look was long enough ago."""
        if now - self._looked_at < LOOK_SECONDS:
            return
        last_look_at, self._looked_at = self._looked_at, now
        groups = [
            group
            for group in ledger.startable_group_by_key.values()
            if group.job.due_ms(group.occurrence) <= wall_ms
        ]
        overdue = [step for group in groups if (step := self._overdue_step(group, now))]
        overdue += self._refused_steps(ledger, {s.group.key for s in overdue}, last_look_at, now)
        for step in overdue:
            wait = _Wait(now - step.seconds, now)
            self._wait_by_key.setdefault(_key(step.task), wait).seen_at = now
        self._forget(ledger, now)
        metrics.OVERDUE_STEPS.set(len(overdue))
        if not overdue:
            return
        overdue.sort(key=lambda step: (step.is_at_work, -step.seconds, step.task.name))
        live_workers = (w for w in ledger.worker_by_incarnation.values() if not w.has_ended)
        situations = situations_by_service(
            live_workers, self._fleet, self._placement, self._health, now
        )
        for step in overdue[:MAX_LINES]:
            service_name = step.group.job.queue.service_name
            further = max(0, len(overdue) - MAX_LINES)
            self._log(step, situations.get(service_name, []), further, wall_ms, now)

    def _overdue_step(self, group: StepGroup, now: float) -> _OverdueStep | None:
        """Return the step, with its task that waits longest, if that has waited too long."""
        tasks = [group.tasks[index] for index in sorted(group.startable_indexes)]
        if group.spec.lasting:
            task = min(tasks, key=lambda task: self._since(task, now))
        else:
            task = max(tasks, key=lambda task: self._never_ran(task).count)
        seconds = now - self._since(task, now)
        if seconds < MAX_DEFERRAL_SECONDS:
            return None
        return _OverdueStep(group, task, seconds, _is_at_work(group))

    def _since(self, task: Task, now: float) -> float:
        """Return since when a task, or its step if that is finite, waits for a run."""
        group, waiting = task.step, self._placement.waiting
        since = now - waiting.seconds_of_task(task, now)
        wait = self._wait_by_key.get(_key(task))
        return since if wait is None or _is_at_work(group) else min(since, wait.since)

    def _refused_steps(
        self, ledger: TaskLedger, known: set[tuple], last_look_at: float, now: float
    ) -> list[_OverdueStep]:
        """Return the steps that have a planned run again after one that never came to be."""
        steps = {}
        for name, starts in self._never_ran_by_task.items():
            task = ledger.find_task(name) if starts.newest_at > last_look_at else None
            if task is None or task.done or task.step.job.is_ended or task.step.key in known:
                continue
            wait = self._wait_by_key.get(_key(task))
            if wait is None or now - wait.since < MAX_DEFERRAL_SECONDS:
                continue
            others = (each for each in task.step.tasks if each is not task)
            is_at_work = not task.step.spec.lasting and any(o.incarnation_by_run for o in others)
            step = _OverdueStep(task.step, task, now - wait.since, is_at_work)
            other = steps.get(task.step.key)
            if other is None or step.seconds > other.seconds:
                steps[task.step.key] = step
        return list(steps.values())

    def _never_ran(self, task: Task) -> _NeverRan:
        return self._never_ran_by_task.get(task.name) or _NeverRan()

    def _forget(self, ledger: TaskLedger, now: float) -> None:
        for name in list(self._never_ran_by_task):
            task = ledger.find_task(name)
            if task is None or task.done or task.step.job.is_ended:
                del self._never_ran_by_task[name]
        for key, wait in list(self._wait_by_key.items()):
            if now - wait.seen_at > KEPT_SECONDS:
                del self._wait_by_key[key]

    def _log(
        self,
        step: _OverdueStep,
        situations: list[WorkerSituation],
        further_steps: int,
        wall_ms: int,
        now: float,
    ) -> None:
        group, task, spec = step.group, step.task, step.group.spec
        left_out = count_by_reason(group, situations)
        accepting = left_out.pop(ACCEPTS, 0)
        for reason, count in left_out.items():
            metrics.LEFT_OUT_WORKERS.labels(reason).inc(count)
        starts = self._never_ran(task)
        log_event(
            "task:waits", job=group.job.job_id, task=task.name, queue=group.job.queue.name,
            seconds=round(step.seconds, 2), since_ms=wall_ms - int(1000 * step.seconds),
            waiting=len(group.startable_indexes), tasks=len(group.tasks),
            at_work=step.is_at_work, long_running=spec.lasting, best_effort=spec.filling,
            without_work=round(self._placement.waiting.seconds_without_work(task, now), 2),
            millicores=spec.millicores, memory_mb=spec.memory_mb, accelerators=spec.accelerators,
            label=spec.required_label, max_per_worker=spec.max_per_worker,
            service=group.job.queue.service_name, workers=len(situations),
            left_out=dict(left_out), accepts=accepting,
            free=attrs.asdict(free_room(spec, situations)),
            gang_waits_for_members=spec.gang and len(group.startable_indexes) < len(group.tasks),
            is_suspect_apart=self._placement.is_isolated(task),
            never_ran=starts.count,
            never_ran_in_step=sum(self._never_ran(each).count for each in group.tasks),
            newest_never_ran=starts.newest_how, newest_never_ran_on=starts.newest_worker,
            newest_never_ran_seconds_ago=round(now - starts.newest_at, 2) if starts.count else None,
            further_steps=further_steps,
        )  # fmt: skip
