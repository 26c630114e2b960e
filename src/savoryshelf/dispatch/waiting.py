"""Bounds how long preferences keep startable work waiting.

Placement passes over workers that are quarantined, kept for suspects of a crash, or where
a run would disturb others.  Each of these preferences may delay a start, but none may
prevent it: work that has waited ``MAX_DEFERRAL_SECONDS`` is overdue, and may be started on
any worker that accepts runs and has the room.
"""

import attrs

from ..tasks.job import StepGroup, Task
from ..tasks.names import parse_task_name
from ..wire.generated.ttypes import RunIntent

MAX_DEFERRAL_SECONDS = 2.0
"""How long preferences may keep startable work without a run.

The users require a start within 3 s where there is room; the rest is for passes and commits.
"""


@attrs.define
class WaitingWork:
    """Since when startable work has had no run, in one leader's term; in monotonic seconds.

    Each long-running task has to run, so each is counted by itself.  A finite step counts
    as a whole, from its newest start on: it makes progress as long as one of its tasks runs.
    """

    _since_by_task: dict[str, float] = attrs.field(factory=dict)
    _since_by_group_key: dict[tuple, float] = attrs.field(factory=dict)

    def begin_pass(
        self, groups: list[StepGroup], now: float, refused_since_by_task: dict[str, float]
    ) -> None:
        """Take note of the steps that have startable tasks and are due, at the start of a pass.

        ``refused_since_by_task`` holds since when the tasks wait of which the newest start did
        not become a run: what was planned for them does not count.
        """
        since = self._since_by_group_key
        self._since_by_group_key = {group.key: since.get(group.key, now) for group in groups}
        since = self._since_by_task
        self._since_by_task = {
            task.name: since.get(task.name, now)
            for group in groups
            if group.spec.lasting
            for task in (group.tasks[index] for index in group.startable_indexes)
        }
        if refused_since_by_task:
            self._resume_waits(groups, refused_since_by_task)

    def _resume_waits(
        self, groups: list[StepGroup], refused_since_by_task: dict[str, float]
    ) -> None:
        since_by_group_key: dict[tuple, float] = {}
        for task, refused_since in refused_since_by_task.items():
            if task in self._since_by_task:
                self._since_by_task[task] = min(refused_since, self._since_by_task[task])
            key = _step_key(task)
            since = since_by_group_key.get(key, refused_since)
            since_by_group_key[key] = min(refused_since, since)
        for group in groups:
            since = since_by_group_key.get(group.key)
            if since is not None and not any(each.incarnation_by_run for each in group.tasks):
                since = min(since, self._since_by_group_key[group.key])
                self._since_by_group_key[group.key] = since

    def seconds(self, group: StepGroup, now: float) -> float:
        """Return how long the step has been waiting; the longest wait of its tasks counts."""
        if group.spec.lasting:
            tasks = (group.tasks[index] for index in group.startable_indexes)
            since = min((self._since_by_task.get(task.name, now) for task in tasks), default=now)
        else:
            since = self._since_by_group_key.get(group.key, now)
        return now - since

    def seconds_of_task(self, task: Task, now: float) -> float:
        """Return how long a startable task, or its step if that is finite, has been waiting."""
        if task.step.spec.lasting:
            return now - self._since_by_task.get(task.name, now)
        return self.seconds(task.step, now)

    def overdue_tasks(self, group: StepGroup, tasks: list[Task], now: float) -> list[Task]:
        """Return those of the startable tasks of a step that are to be started on any worker.

        Of a finite step this is one task, or the whole gang, and none while the step has a run.
        """
        if self.seconds(group, now) < MAX_DEFERRAL_SECONDS:
            return []
        if group.spec.gang:
            return tasks if len(tasks) == len(group.tasks) else []
        if group.spec.lasting:
            since = self._since_by_task
            return [t for t in tasks if now - since.get(t.name, now) >= MAX_DEFERRAL_SECONDS]
        if not tasks or any(task.incarnation_by_run for task in group.tasks):
            return []
        # The attempts of a finite task are limited, so its step uses them up evenly.
        return [min(tasks, key=lambda task: (task.failures, task.index))]

    def record_starts(self, intents: list[RunIntent], now: float) -> None:
        """Count the waits anew of what is started; it may be startable again in the next pass."""
        for intent in intents:
            if intent.task in self._since_by_task:
                self._since_by_task[intent.task] = now
            key = _step_key(intent.task)
            if key in self._since_by_group_key:
                self._since_by_group_key[key] = now


def _step_key(task: str) -> tuple[str, int, int]:
    """Return the key of a task's step from its name."""
    name = parse_task_name(task)
    return name.job_id, name.occurrence, name.step
