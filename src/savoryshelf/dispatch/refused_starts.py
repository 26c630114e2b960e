"""Planned starts that did not become a run, by task.

A worker may refuse a start for a reason that neither its state nor its room shows, and refuse it
again as long as the reason lasts.  So a task that was refused is tried elsewhere first, and its
wait goes on as if nothing had been planned for it.
"""

from collections import Counter, deque

import attrs

from ..tasks.job import Task

REMEMBERED_SECONDS = 10.0
"""How long a start is remembered, in seconds: a start in doubt is settled within five."""


_NO_REFUSALS: Counter = Counter()


@attrs.define
class _Start:
    task: str
    run: int
    worker_id: str
    planned_at: float
    waiting_since: float
    is_refused: bool = False
    refused_at: float | None = None
    """When the first pass after its refusal began."""


@attrs.define
class RefusedStarts:
    """What became of the newest starts, in one leader's term; times are monotonic seconds."""

    _starts: deque[_Start] = attrs.field(factory=deque)
    """The starts that are remembered, oldest first."""

    _start_by_run: dict[tuple[str, int], _Start] = attrs.field(factory=dict)
    """The same by task name and run number."""

    _newest_by_task: dict[str, _Start] = attrs.field(factory=dict)
    _refused_by_task: dict[str, list[_Start]] = attrs.field(factory=dict)
    _newly_refused: list[_Start] = attrs.field(factory=list)
    """Those that were refused since the last pass began."""

    def note_time_of_refusals(self, now: float) -> None:
        """Take note at the begin of a pass when the newest refusals were heard of."""
        for start in self._newly_refused:
            start.refused_at = now
        self._newly_refused = []

    def forget_old(self, now: float) -> None:
        """Drop the starts of long ago."""
        while self._starts and now - self._starts[0].planned_at > REMEMBERED_SECONDS:
            start = self._starts.popleft()
            # An invalid start uses up no run number, so a later one may have the same.
            if self._start_by_run.get((start.task, start.run)) is start:
                del self._start_by_run[start.task, start.run]
            if self._newest_by_task[start.task] is start:
                del self._newest_by_task[start.task]
            if start.is_refused:
                refused = self._refused_by_task[start.task]
                refused.remove(start)
                if not refused:
                    del self._refused_by_task[start.task]

    def record_start(
        self, task: str, run: int, worker_id: str, now: float, waiting_since: float
    ) -> None:
        """Take note of a planned start, and since when the task had been waiting for it."""
        start = _Start(task, run, worker_id, now, waiting_since)
        self._starts.append(start)
        self._start_by_run[task, run] = self._newest_by_task[task] = start

    def record_refusal(self, task: str, run: int) -> None:
        """Take note that a start did not become a run; agents may report the same twice."""
        start = self._start_by_run.get((task, run))
        if start is not None and not start.is_refused:
            start.is_refused = True
            self._refused_by_task.setdefault(task, []).append(start)
            self._newly_refused.append(start)

    def tasks_refused_since(self, since: float) -> list[str]:
        """Return the tasks of which the newest start was heard to be refused after that time."""
        newest = (self._newest_by_task.get(task) for task in self._refused_by_task)
        return [s.task for s in newest if s and s.refused_at is not None and s.refused_at > since]

    def has_refusals(self, task: str) -> bool:
        """Return whether a start of the task has been refused of late."""
        return task in self._refused_by_task

    def count(self, task: Task) -> int:
        """Return how many starts of the task have been refused of late."""
        return len(self._refused_by_task.get(task.name, ()))

    def count_by_worker(self, task: str) -> Counter:
        """Return how many starts of a task each worker has refused of late, by worker id."""
        refused = self._refused_by_task.get(task)
        return Counter(start.worker_id for start in refused) if refused else _NO_REFUSALS

    def waiting_since_by_task(self) -> dict[str, float]:
        """Return since when the tasks wait of which the newest start was refused."""
        newest = (self._newest_by_task.get(task) for task in self._refused_by_task)
        return {start.task: start.waiting_since for start in newest if start and start.is_refused}
