"""Keeps tasks that may crash their workers apart from other starts.

A suspect is started on a worker that has had no start for a while and gets none for a while
after, so that a crash tells which task caused it.  This only delays starts: a suspect that has
waited long is placed like any other task.

Callers see the sum of all waits.  So a suspect has waited for as long as nothing of its work has
been at work, through pauses, evictions, refused starts and earlier leaders.  What came before its
newest crash was known does not count: after the lease of a lost worker no suspect would be apart.
"""

from collections.abc import Callable

import attrs

from ..tasks.crashes import is_suspect
from ..tasks.job import IncarnationKey, Task
from ..tasks.ledger import TaskLedger
from ..tasks.worker import Worker, incarnation_key
from ..wire.generated.ttypes import RunIntent

QUIET_SECONDS = 0.3
"""Time without a start on a worker before a suspect is started there.

Longer than a crash on starting takes to be noticed, start call and report included.
"""

ISOLATION_SECONDS = 0.5
"""Time after the start of a suspect in which nothing else is started on its worker."""

MAX_ISOLATED_SHARE = 0.25
"""Share of the workers of a service that may be kept for suspects at one time."""

MAX_SHARED_WAIT_SECONDS = 0.7
"""Time after which a suspect may be kept a worker beyond ``MAX_ISOLATED_SHARE``."""

MAX_WAIT_SECONDS = 1.5
"""Time after which a suspect is placed like other tasks."""

MAX_CHOICES_PER_PASS = 48
"""Suspects for which a worker is chosen in one pass: each scores all workers that may run it.

The others wait for the next pass.  About 1 ms each with 450 workers, in which the leader does
nothing else; a crash that leaves no evidence makes suspects of all runs of the worker.
"""

RECENT_CRASH_MS = 10_000
"""Time for which a worker that has crashed is the last choice for a suspect, in ms."""


@attrs.frozen
class _KnownCrash:
    """The newest crash under a suspect, and since when it is known."""

    run: int
    since: float


@attrs.define
class Isolation:
    """The workers kept for suspects, and since when each suspect waits, in one leader's term."""

    _waiting_since_by_task: dict[str, float] = attrs.field(factory=dict)
    _known_crash_by_task: dict[str, _KnownCrash] = attrs.field(factory=dict)
    _isolated_tasks: set[str] = attrs.field(factory=set)
    """The waiting suspects that have not waited too long."""

    _worker_by_task: dict[str, IncarnationKey] = attrs.field(factory=dict)
    """The worker kept for each of them."""

    _kept_until_by_worker: dict[IncarnationKey, float] = attrs.field(factory=dict)
    """Until when nothing else is started where a suspect was started."""

    _started_at_by_worker: dict[IncarnationKey, float] = attrs.field(factory=dict)
    """When the newest start on each worker was planned, unless it was long ago."""

    _crashed_worker_ids: set[str] = attrs.field(factory=set)
    """The workers that have crashed of late."""

    def begin_pass(
        self,
        ledger: TaskLedger,
        now: float,
        refused_since_by_task: dict[str, float],
        without_work_since: Callable[[Task], float],
    ) -> list[Task]:
        """Return the suspects to isolate in this pass, the longest waiting first.

        ``refused_since_by_task`` holds since when the tasks wait of which the newest start did
        not become a run; ``without_work_since`` returns since when nothing of a task is at work.
        """
        self._kept_until_by_worker = {
            key: until for key, until in self._kept_until_by_worker.items() if now < until
        }
        self._started_at_by_worker = {
            key: at for key, at in self._started_at_by_worker.items() if now - at < QUIET_SECONDS
        }
        waiting = [
            task
            for task in ledger.crashed_task_by_name.values()
            if task.index in task.step.startable_indexes
            and not task.step.spec.gang
            and is_suspect(task)
        ]
        self._known_crash_by_task = {
            name: crash
            for name, crash in self._known_crash_by_task.items()
            if name in ledger.crashed_task_by_name
        }
        since = refused_since_by_task | self._waiting_since_by_task
        self._waiting_since_by_task = {
            task.name: min(
                since.get(task.name, now),
                max(without_work_since(task), self._crash_known_since(ledger, task, now)),
            )
            for task in waiting
        }
        since = self._waiting_since_by_task
        suspects = [task for task in waiting if now - since[task.name] < MAX_WAIT_SECONDS]
        self._isolated_tasks = {task.name for task in suspects}
        self._worker_by_task = {
            name: key for name, key in self._worker_by_task.items() if name in self._isolated_tasks
        }
        if suspects:
            self._crashed_worker_ids = {
                key[0]
                for key, worker in ledger.worker_by_incarnation.items()
                if worker.crashed_ms and ledger.at_ms - worker.crashed_ms < RECENT_CRASH_MS
            }
        return sorted(suspects, key=lambda task: (since[task.name], task.name))

    def _crash_known_since(self, ledger: TaskLedger, task: Task, now: float) -> float:
        """Return since when the newest crash under a suspect is known, to whoever led then."""
        crash = task.crashes[-1]
        known = self._known_crash_by_task.get(task.name)
        if known is None or known.run != crash.run:
            # A worker that is not known any more has crashed long ago.
            worker = ledger.worker_by_incarnation.get(crash.incarnation)
            seconds = (ledger.at_ms - (worker.crashed_ms if worker else 0)) / 1000
            known = self._known_crash_by_task[task.name] = _KnownCrash(crash.run, now - seconds)
        return known.since

    def is_isolated(self, task: Task) -> bool:
        """Return whether a task waits for a worker of its own, and is to be placed on no other."""
        return task.name in self._isolated_tasks

    def is_kept(self, incarnation: IncarnationKey) -> bool:
        """Return whether a worker is kept for a suspect."""
        return (
            incarnation in self._kept_until_by_worker
            or incarnation in self._worker_by_task.values()
        )

    def worker_kept_for(self, task: Task) -> IncarnationKey | None:
        """Return the worker kept for a suspect, if any."""
        return self._worker_by_task.get(task.name)

    def is_quiet(self, incarnation: IncarnationKey) -> bool:
        """Return whether a worker has had no start for a while."""
        return incarnation not in self._started_at_by_worker

    def may_keep_another(self, task: Task, limit: int, now: float) -> bool:
        """Return whether a worker may be chosen for a suspect now, as far as others have theirs."""
        kept_count = len(self._worker_by_task) + len(self._kept_until_by_worker)
        has_waited = now - self._waiting_since_by_task[task.name] >= MAX_SHARED_WAIT_SECONDS
        return kept_count < limit or has_waited

    def choose(
        self,
        task: Task,
        score_by_worker: dict[IncarnationKey, tuple[Worker, float]],
        limit: int,
        now: float,
    ) -> IncarnationKey | None:
        """Return the worker on which a suspect is to be started now, if any.

        ``score_by_worker`` holds the workers that may run it.  At most ``limit`` workers are
        kept for suspects that have not waited long.
        """
        key = self._worker_by_task.get(task.name)
        if key not in score_by_worker or key in self._kept_until_by_worker:
            self._worker_by_task.pop(task.name, None)
            free = [key for key in score_by_worker if not self.is_kept(key)]
            if not free or not self.may_keep_another(task, limit, now):
                return None
            key = min(free, key=lambda key: (*self._rank(task, key, score_by_worker), key))
            self._worker_by_task[task.name] = key
        return key if self.is_quiet(key) else None

    def _rank(self, task: Task, key: IncarnationKey, score_by_worker: dict) -> tuple:
        """Return the order in which a worker is chosen: first by its crashes, then by its runs."""
        worker, score = score_by_worker[key]
        has_crashed = any(crash.incarnation[0] == key[0] for crash in task.crashes)
        return (
            has_crashed,
            key[0] in self._crashed_worker_ids,
            key in self._started_at_by_worker,
            len(worker.task_by_run),
            score,
        )

    def record_starts(self, ledger: TaskLedger, intents: list[RunIntent], now: float) -> None:
        """Take note of planned starts; the workers of suspects are kept for a while."""
        for intent in intents:
            key = incarnation_key(intent.life)
            self._started_at_by_worker[key] = now
            task = ledger.find_task(intent.task)
            if is_suspect(task):
                self._worker_by_task.pop(task.name, None)
                self._kept_until_by_worker[key] = now + ISOLATION_SECONDS
