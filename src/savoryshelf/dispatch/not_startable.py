"""Logs once what is accepted and may not start for long: blocked steps, and times not due.

This changes nothing of what is placed.  The bounds of volume are ``LOOK_SECONDS`` and
``MAX_LINES``, and each step or time is named once in a leader's term.
"""

from collections.abc import Callable, Iterator

import attrs

from ..observability.logs import log_event
from ..registry import registry_decorator
from ..tasks.job import Job, StepGroup
from ..tasks.ledger import TaskLedger

LOOK_SECONDS = 5.0
"""Time between two looks, in seconds: each goes through all jobs that have not ended."""

MAX_UNNAMED_SECONDS = 10.0
"""Time after which a step that is blocked, or a time that is not due, is named."""

MAX_LINES = 6
"""Lines of one look; what is left out is named by later ones."""

_FIND_BY_EVENT: dict[str, Callable[[Job, int], Iterator[tuple[StepGroup, dict]]]] = {}
_finds = registry_decorator(_FIND_BY_EVENT)
"""Registers what yields the steps of a job that may not start, with the fields of their log line.

Takes the job and wall-clock time in ms.
"""


@_finds("task:blocked")
def _blocked_steps(job: Job, wall_ms: int) -> Iterator[tuple[StepGroup, dict]]:
    for group in job.groups.values():
        if group.is_unblocked or not group.unfinished or job.due_ms(group.occurrence) > wall_ms:
            continue
        required = [job.groups[group.occurrence, number] for number in group.spec.after or []]
        unfinished = [
            {
                "step": each.number, "unfinished": each.unfinished,
                "startable": len(each.startable_indexes),
                "with_run": sum(bool(task.incarnation_by_run) for task in each.tasks),
            }
            for each in required
            if each.unfinished
        ]  # fmt: skip
        yield group, {"after": unfinished}


@_finds("job:not_due")
def _time_not_due(job: Job, wall_ms: int) -> Iterator[tuple[StepGroup, dict]]:
    """Yield the first step of the next time, which is the one that is due first."""
    if not job.spec.repetitions:
        return
    for group in job.groups.values():
        due_ms = job.due_ms(group.occurrence)
        if due_ms > wall_ms and group.unfinished:
            yield (
                group,
                {
                    "due_ms": due_ms,
                    "due_in_seconds": (due_ms - wall_ms) / 1000,
                    "wall_ms": wall_ms,
                },
            )
            return


@attrs.define
class NotStartable:
    """Since when steps may not start in one leader's term; times are monotonic seconds."""

    _looked_at: float = float("-inf")
    _since_by_key: dict[tuple, float] = attrs.field(factory=dict)
    _logged_keys: set[tuple] = attrs.field(factory=set)

    def look(self, ledger: TaskLedger, wall_ms: int, now: float) -> None:
        """Log what has not been startable for long, the longest first, if a look is due."""
        if now - self._looked_at < LOOK_SECONDS:
            return
        self._looked_at = now
        found_by_key = {
            (event, *group.key): (group, fields)
            for job in ledger.job_by_id.values()
            if not job.is_ended
            for event, find in _FIND_BY_EVENT.items()
            for group, fields in find(job, wall_ms)
        }
        self._since_by_key = {key: self._since_by_key.get(key, now) for key in found_by_key}
        self._logged_keys &= found_by_key.keys()
        due = [
            key
            for key, since in self._since_by_key.items()
            if now - since >= MAX_UNNAMED_SECONDS and key not in self._logged_keys
        ]
        due.sort(key=self._since_by_key.get)
        for key in due[:MAX_LINES]:
            group, fields = found_by_key[key]
            self._logged_keys.add(key)
            log_event(
                key[0], job=group.job.job_id, task=group.tasks[0].name, tasks=group.unfinished,
                seconds=round(now - self._since_by_key[key], 2),
                further=max(0, len(due) - MAX_LINES), **fields,
            )  # fmt: skip
