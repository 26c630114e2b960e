"""Follows the tasks that the ledger holds back after crashes, and says when to give them up.

The ends of workers that were lost at the same moment become known one after the other, and tell
that a crash had a common cause.  So a task is given up only a while after the crash that is to
decide it; until then it is not started.
"""

from collections.abc import Callable

import attrs

from ..observability import metrics
from ..observability.logs import log_event
from ..tasks.crashes import MIN_LOST_TOGETHER, must_give_up
from ..tasks.ledger import TaskLedger
from .crash_log import describe_crashes

GIVE_UP_DELAY_SECONDS = 2.0
"""Time after a crash in which the others lost with it may become known.

The length of a long poll, which shows that a worker does not answer any more.
"""

MAX_GIVE_UP_DELAY_SECONDS = 12.0
"""Time after which workers that are silent do not delay giving up, longer than any lease."""


@attrs.define
class HeldTasks:
    """The tasks held back in one leader's term."""

    _known: set[str] = attrs.field(factory=set)
    _to_give_up_since: dict[str, float] = attrs.field(factory=dict)

    def look(
        self, ledger: TaskLedger, count_silent_workers: Callable[[], int], now: float
    ) -> list[str]:
        """Log what is newly held or released; return the tasks to be given up now.

        Silent workers are those that have not ended and do not answer: what else was lost with a
        crash may be among them.
        """
        held = ledger.held_task_by_name
        if not held and not self._known:
            return []
        for name in held.keys() - self._known:
            log_event("task:held", task=name, crashes=describe_crashes(held[name].crashes, ledger))
        for name in self._known - held.keys():
            task = ledger.find_task(name)
            if task is not None and not task.step.job.is_ended:
                log_event("task:released", task=name)
        self._known = set(held)
        metrics.HELD_TASKS.set(len(held))
        self._to_give_up_since = {
            name: self._to_give_up_since.get(name, now)
            for name, task in held.items()
            if must_give_up(task, ledger.worker_by_incarnation)
        }
        delay = GIVE_UP_DELAY_SECONDS
        if self._to_give_up_since and count_silent_workers() + 1 >= MIN_LOST_TOGETHER:
            delay = MAX_GIVE_UP_DELAY_SECONDS
        return sorted(n for n, since in self._to_give_up_since.items() if now - since >= delay)
