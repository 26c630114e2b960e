"""Bounds how long preferences keep startable work without a run at work.

Placement passes over workers that are quarantined, kept for suspects of a crash, or where
a run would disturb others.  Each of these preferences may delay a start, but none may
prevent it: work that has gone without a run for ``MAX_DEFERRAL_SECONDS`` is overdue, and may be
started on any worker that accepts runs and has the room.

Callers see the time in which nothing is at work, whatever was planned meanwhile.  So that time is
summed up, through starts that are refused or in doubt and runs that are evicted or paused; only
work that placement starts by its preferences makes up for it.

They look from time to time, so they may miss runs that are shorter than the time between two looks.
Work of which only such runs were at work is therefore overdue as well.
"""

import math
from collections.abc import Callable

import attrs

from ..tasks.job import IncarnationKey, StepGroup, Task
from ..tasks.ledger import TaskLedger
from ..wire.generated.ttypes import RunIntent

MAX_DEFERRAL_SECONDS = 1.5
"""How long preferences may keep startable work without a run.

The users require a run at work within 3 s where there is room.  The rest is for one start call that
goes unanswered for a second, and for passes and commits.
"""

MIN_VISIBLE_SECONDS = 1.1
"""How long something has to be at work without a pause so that callers see it for certain.

They look each second; the rest is for the time from a planned start to the run.
"""

RETRY_SECONDS = 0.25
"""Shortest time between two overdue starts of the same work, unless the first one is done."""

RETRY_AFTER_FAILURE_SECONDS = 2.0
"""The same after a run that failed: the attempts of a task are limited."""

LEADER_GRACE_SECONDS = 0.5
"""How long work without a run is not overdue for a new leader, which lacks reports of workers."""

RunKey = tuple[str, int]
"""The task name and the number of a run."""

WorkKey = str | tuple
"""What waits as a whole: the name of a long-running task, or the key of a finite step."""


@attrs.frozen
class RunsAtWork:
    """Which runs are at work, as far as agents have reported the state of their workers."""

    answering: frozenset[IncarnationKey] = frozenset()
    """The workers that answer."""

    idle_seconds_by_run: dict[RunKey, float] = attrs.field(factory=dict)
    """The runs that are not at work, and for how long; infinite for a start in doubt."""

    def runs(self, task: Task) -> list[RunKey]:
        """Return the task's runs that are at work."""
        return [
            (task.name, run)
            for run, incarnation in task.incarnation_by_run.items()
            if incarnation in self.answering and (task.name, run) not in self.idle_seconds_by_run
        ]


@attrs.define
class _LastResort:
    """The newest overdue start of some work, of one task or of a whole gang."""

    planned_at: float
    runs: dict[str, int]
    """The run numbers by task name, with those of earlier ones that are still at work."""

    failures: int
    """How many runs of the work had failed by then."""


@attrs.define
class _Account:
    """The time that some work has gone without a run at work; times are monotonic seconds."""

    changed_at: float
    """When it changed last whether anything is at work, or makes up."""

    worked_until: float
    """Until when a run is known to have been at work, of those that are no longer."""

    seen_until: float
    """Until when something was last at work for long enough to be seen, or since when it waits."""

    runs: set[RunKey] = attrs.field(factory=set)
    """The runs that count as at work."""

    at_work_since: float = 0.0
    seconds: float = 0.0
    """Time without a run at work up to ``changed_at``, less what was made up for."""

    makes_up: bool = False
    """Whether the present time at work counts against the time without."""

    last_resort: _LastResort | None = None

    @property
    def is_idle(self) -> bool:
        """Return whether nothing is at work."""
        return not self.runs

    def seconds_at(self, now: float) -> float:
        """Return the time without a run at work, less what was made up for."""
        elapsed = now - self.changed_at
        if self.is_idle:
            return self.seconds + elapsed
        if not self.makes_up:
            return self.seconds
        return max(0.0, min(self.seconds, MAX_DEFERRAL_SECONDS) - elapsed)

    def note_at_work(self, runs: set[RunKey], makes_up: bool, now: float) -> None:
        """Take note of the runs that are at work, at least one."""
        if self.is_idle or self.makes_up != makes_up:
            self.seconds, self.changed_at, self.makes_up = self.seconds_at(now), now, makes_up
        if self.is_idle:
            self.at_work_since = now
        self.runs = runs

    def note_idle(self, has_progressed: bool) -> None:
        """Take note that nothing is at work, since ``worked_until`` as is known now.

        Work that came to nothing, such as that of an evicted run, makes up for nothing.
        """
        if not self.is_idle:
            self.makes_up = self.makes_up and has_progressed
            changed_at = max(self.worked_until, self.changed_at)
            if changed_at - self.at_work_since >= MIN_VISIBLE_SECONDS:
                self.seen_until = changed_at
            self.seconds, self.changed_at = self.seconds_at(changed_at), changed_at
            self.runs = set()

    def is_overdue(self, now: float) -> bool:
        """Return whether nothing is at work, and that has to change whatever preferences say."""
        waited = max(self.seconds_at(now), now - self.seen_until)
        return self.is_idle and waited >= MAX_DEFERRAL_SECONDS

    def needs_overlap(self, estimated_seconds: float, now: float) -> bool:
        """Return whether a further overdue run has to follow the present one without a pause.

        That is if overdue runs alone are at work, none has been seen yet, and they end too soon.
        """
        last = self.last_resort
        if self.is_idle or self.makes_up or last is None:
            return False
        if now - self.at_work_since >= MIN_VISIBLE_SECONDS:
            return False
        return now - last.planned_at >= max(RETRY_SECONDS, estimated_seconds / 2)

    def record_last_resort(self, runs: dict[str, int], failures: int, now: float) -> None:
        """Take note of overdue starts, beside earlier ones that are still at work."""
        earlier = self.last_resort.runs.items() if self.last_resort else ()
        at_work = {task: run for task, run in earlier if (task, run) in self.runs}
        self.last_resort = _LastResort(now, at_work | runs, failures)

    def is_owed_work(self, now: float) -> bool:
        """Return whether its time is not made up for, or its newest start may yet be refused."""
        return self.seconds_at(now) > 0.0 or now - self.at_work_since < MAX_DEFERRAL_SECONDS

    def is_held(self, tasks: list[Task], now: float) -> bool:
        """Return whether the newest overdue start is too recent for another one."""
        last = self.last_resort
        if last is None:
            return False
        started = [task for task in tasks if task.name in last.runs]
        if started and all(task.done for task in started):
            return False
        has_failed = _failures(tasks) > last.failures
        pause = RETRY_AFTER_FAILURE_SECONDS if has_failed else RETRY_SECONDS
        return now - last.planned_at < pause


@attrs.define
class WaitingWork:
    """How long startable work has had no run at work, in one leader's term.

    Each long-running task has to run, so each is counted by itself.  A finite step counts
    as a whole: it makes progress as long as one of its tasks is at work.
    """

    _account_by_key: dict[WorkKey, _Account] = attrs.field(factory=dict)
    _runs_at_work: RunsAtWork = attrs.field(factory=RunsAtWork)
    _is_new: bool = True
    """Whether the leader has planned nothing yet."""

    def begin_pass(
        self,
        ledger: TaskLedger,
        groups: list[StepGroup],
        runs_at_work: RunsAtWork,
        refused_since_by_task: dict[str, float],
        wall_ms: int,
        now: float,
    ) -> None:
        """Count the time up to a pass, of the steps that have startable tasks and are due.

        ``refused_since_by_task`` holds since when the tasks wait of which the newest start did
        not become a run: what was planned for them does not count.
        """
        self._runs_at_work = runs_at_work
        is_new, self._is_new = self._is_new, False
        accounts, self._account_by_key = self._account_by_key, {}
        for group in groups:
            for key, tasks in _works(group):
                account = accounts.pop(key, None)
                if account is None:
                    account = _Account(now, worked_until=now, seen_until=now)
                    if is_new:
                        account.seconds = self._unseen_seconds(group, tasks, wall_ms)
                        account.seen_until -= account.seconds
                self._update(account, tasks, refused_since_by_task, now)
                self._account_by_key[key] = account
        # Work of which all tasks have runs may have to start again.
        for key, account in self._accounts_of_idle_runs(ledger, now).items():
            accounts.setdefault(key, account)
        for key, account in accounts.items():
            tasks = _find_tasks(ledger, key)
            if tasks:
                self._update(account, tasks, refused_since_by_task, now)
                if account.is_owed_work(now):
                    self._account_by_key[key] = account

    def _unseen_seconds(self, group: StepGroup, tasks: list[Task], wall_ms: int) -> float:
        """Return how long work may have waited under earlier leaders, less what reports take."""
        runs = [(task.name, run) for task in tasks for run in task.incarnation_by_run]
        if runs:
            idle_seconds_by_run = self._runs_at_work.idle_seconds_by_run
            seconds = min(idle_seconds_by_run.get(run, 0.0) for run in runs)
            return 0.0 if math.isinf(seconds) else seconds
        since_ms = max(group.job.accepted_ms, group.job.due_ms(group.occurrence))
        longest = MAX_DEFERRAL_SECONDS - LEADER_GRACE_SECONDS
        return min(longest, max(0.0, (wall_ms - since_ms) / 1000))

    def _accounts_of_idle_runs(self, ledger: TaskLedger, now: float) -> dict[WorkKey, _Account]:
        """Return new accounts of work without one that has a run which is not at work."""
        accounts = {}
        for (name, run), idle_seconds in self._runs_at_work.idle_seconds_by_run.items():
            task = ledger.find_task(name)
            if task is None or run not in task.incarnation_by_run:
                continue
            key = _key(task)
            if key not in self._account_by_key:
                seconds = 0.0 if math.isinf(idle_seconds) else idle_seconds
                worked_until = now - seconds
                accounts[key] = _Account(now, worked_until, worked_until, seconds=seconds)
        return accounts

    def _update(
        self, account: _Account, tasks: list[Task], refused_since_by_task: dict, now: float
    ) -> None:
        with_runs = (task for task in tasks if task.incarnation_by_run)
        at_work = {run for task in with_runs for run in self._runs_at_work.runs(task)}
        left = account.runs - at_work
        refused = {run for run in left if run[0] in refused_since_by_task}
        if refused and tasks[0].step.spec.gang:
            # The other members have waited for it.
            refused = left
        for run in left - refused:
            idle_seconds = self._runs_at_work.idle_seconds_by_run.get(run, 0.0)
            account.worked_until = max(account.worked_until, now - idle_seconds)
        if at_work:
            account.note_at_work(at_work, _makes_up(account, at_work, tasks[0]), now)
        else:
            ended = {name for name, _ in left}
            is_done = any(task.done for task in tasks if task.name in ended)
            account.note_idle(is_done or tasks[0].step.spec.lasting)

    def is_at_work(self, group: StepGroup) -> bool:
        """Return whether a run of the step is known to be at work."""
        return any(self._runs_at_work.runs(task) for task in group.tasks)

    def seconds_of_task(self, task: Task, now: float) -> float:
        """Return for how long something, or nothing, of a task or its finite step is at work."""
        account = self._account_by_key.get(_key(task))
        if account is None:
            return 0.0
        return now - (account.worked_until if account.is_idle else account.at_work_since)

    def idle_seconds_of_task(self, task: Task, now: float) -> float:
        """Return how long nothing of a task, or of its finite step, has been at work."""
        account = self._account_by_key.get(_key(task))
        return now - account.worked_until if account and account.is_idle else 0.0

    def seconds_without_work(self, task: Task, now: float) -> float:
        """Return for how long nothing of a task, or its finite step, was at work, summed up."""
        account = self._account_by_key.get(_key(task))
        return account.seconds_at(now) if account else 0.0

    def without_work_since(self, task: Task, now: float) -> float:
        """Return since when nothing of a task, or of its finite step, is at work.

        It is the earlier, the less was made up for of the time without work before.
        """
        account = self._account_by_key.get(_key(task))
        return now - account.seconds_at(now) if account and account.is_idle else now

    def is_last_resort(self, task: Task, run: int) -> bool:
        """Return whether a run is the newest overdue start of a task, or of its finite step."""
        account = self._account_by_key.get(_key(task))
        last = account.last_resort if account else None
        return last is not None and last.runs.get(task.name) == run

    def is_overdue(self, group: StepGroup, now: float) -> bool:
        """Return whether a startable task of the step has gone too long without a run at work."""
        return any(self._has_waited_too_long(key, now) for key, _ in _works(group))

    def _has_waited_too_long(self, key: WorkKey, now: float) -> bool:
        account = self._account_by_key.get(key)
        return account is not None and account.is_overdue(now)

    def overdue_tasks(
        self,
        group: StepGroup,
        tasks: list[Task],
        refusals: Callable[[Task], int],
        now: float,
    ) -> list[Task]:
        """Return those of the startable tasks of a step that are to be started on any worker.

        Of a finite step this is one task, or the whole gang, and none while a run is at work that
        callers see.  ``refusals`` returns how many starts of a task were refused of late.
        """
        if group.spec.lasting and not group.spec.gang:
            return [task for task in tasks if self._may_start_anywhere([(task.name, [task])], now)]
        if not tasks:
            return []
        account = self._account_by_key.get(group.key)
        overlaps = (
            account is not None
            and not group.spec.gang
            and account.needs_overlap(group.spec.estimated_ms / 1000, now)
        )
        if not overlaps and not self._may_start_anywhere(_works(group), now):
            return []
        if group.spec.gang:
            return tasks if len(tasks) == len(group.tasks) else []
        # The attempts of a finite task are limited, so its step uses them up evenly.
        return [min(tasks, key=lambda task: (task.failures + refusals(task), task.index))]

    def _may_start_anywhere(self, works: list[tuple[WorkKey, list[Task]]], now: float) -> bool:
        """Return whether any of the works is overdue, and no start of them is too recent."""
        if not any(self._has_waited_too_long(key, now) for key, _ in works):
            return False
        accounts = ((self._account_by_key.get(key), tasks) for key, tasks in works)
        return not any(account and account.is_held(tasks, now) for account, tasks in accounts)

    def record_starts(
        self,
        ledger: TaskLedger,
        intents: list[RunIntent],
        last_resorts: list[RunIntent],
        now: float,
    ) -> None:
        """Take note of planned starts, of which ``last_resorts`` are those of overdue tasks.

        Each counts as a run at work, until it is known that none came to be.
        """
        runs_by_key: dict[WorkKey, dict[str, int]] = {}
        for intent in last_resorts:
            key = _key(ledger.find_task(intent.task))
            runs_by_key.setdefault(key, {})[intent.task] = intent.run
        for key, runs in runs_by_key.items():
            account = self._account_by_key.get(key)
            if account is not None:
                account.record_last_resort(runs, _failures(_find_tasks(ledger, key)), now)
        for intent in intents:
            task = ledger.find_task(intent.task)
            account = self._account_by_key.get(_key(task))
            if account is not None:
                runs = account.runs | {(task.name, intent.run)}
                account.note_at_work(runs, _makes_up(account, runs, task), now)


def _key(task: Task) -> WorkKey:
    return task.name if task.step.spec.lasting else task.step.key


def _makes_up(account: _Account, runs: set[RunKey], task: Task) -> bool:
    """Return whether runs of some work make up for time without: overdue ones don't, if finite."""
    last = account.last_resort
    return task.step.spec.lasting or any(not last or last.runs.get(t) != r for t, r in runs)


def _works(group: StepGroup) -> list[tuple[WorkKey, list[Task]]]:
    """Return what of a step waits by itself, and the tasks of each."""
    if not group.spec.lasting:
        return [(group.key, group.tasks)]
    tasks = (group.tasks[index] for index in sorted(group.startable_indexes))
    return [(task.name, [task]) for task in tasks]


def _find_tasks(ledger: TaskLedger, key: WorkKey) -> list[Task]:
    """Return the tasks of some work; empty if it has ended."""
    if isinstance(key, str):
        task = ledger.find_task(key)
        tasks = [task] if task else []
    else:
        job_id, occurrence, number = key
        job = ledger.job_by_id.get(job_id)
        group = job.groups.get((occurrence, number)) if job else None
        tasks = group.tasks if group else []
    if not tasks or tasks[0].step.job.is_ended or not tasks[0].step.unfinished:
        return []
    return tasks


def _failures(tasks: list[Task]) -> int:
    return sum(task.failures for task in tasks)
