"""Keeps workers free for large tasks that have room on none, until they have started there.

A large task fits only once several smaller runs have ended on the same worker.  Unless that worker
is reserved, smaller tasks take each share that comes free, and a steady stream of them keeps the
large task waiting without end.  Schedulers of parallel jobs reserve for the same reason (EASY
backfilling; Lifka, "The ANL/IBM SP Scheduling System", 1995).
"""

import heapq
import math
from collections import Counter
from collections.abc import Iterable

import attrs

from ..tasks.job import IncarnationKey, StepGroup
from ..tasks.ledger import TaskLedger
from ..tasks.worker import ResourceUsage, Worker
from ..wire.generated.ttypes import RunIntent, StepSpec, WorkerRecord
from .waiting import MAX_DEFERRAL_SECONDS

LARGE_SHARE = 0.5
"""Share of a worker's resources above which a task is large: no two fit beside each other.

Below it the end of one run, or of a few, makes room for it on some worker.
"""

MAX_RESERVED_SHARE = 0.1
"""Share of a service's workers that may be reserved at one time, but one worker always may.

A reserved worker is partly idle until its runs have ended.
"""

FORGET_SECONDS = 5.0
"""Time between two looks for runs that are gone."""

RunKey = tuple[str, int]
"""The task name and the number of a run."""

GroupKey = tuple[str, int, int]
"""The key of a step: job id, occurrence and number."""


@attrs.frozen
class _Reservation:
    group: GroupKey
    priority: int


@attrs.define
class Reservations:
    """The workers reserved in one leader's term, each for one step; times are monotonic seconds."""

    _reservation_by_worker: dict[IncarnationKey, _Reservation] = attrs.field(factory=dict)
    _workers_by_group: dict[GroupKey, list[IncarnationKey]] = attrs.field(factory=dict)
    _closed_since_by_worker: dict[IncarnationKey, float] = attrs.field(factory=dict)
    """Since when a worker was avoided or reserved, with no pass in which it was neither."""

    _closed: set[IncarnationKey] = attrs.field(factory=set)
    """The workers that were avoided or reserved at any time in the newest pass."""

    _planned_at_by_run: dict[RunKey, float] = attrs.field(factory=dict)
    """When the finite runs were planned, as far as this leader did it."""

    _forgot_at: float = -math.inf

    def begin_pass(
        self,
        ledger: TaskLedger,
        placeable: set[IncarnationKey],
        avoided: set[IncarnationKey],
        now: float,
    ) -> None:
        """Release what steps that wait no longer had, and workers that get no runs any more.

        ``avoided`` are those on which only overdue work is placed now.
        """
        self._closed_since_by_worker = dict.fromkeys(avoided, now) | {
            incarnation: since
            for incarnation, since in self._closed_since_by_worker.items()
            if incarnation in self._closed
        }
        self._closed = self._reservation_by_worker.keys() | avoided
        for key in self._workers_by_group.keys() - ledger.startable_group_by_key.keys():
            self.release(key)
        for incarnation in self._reservation_by_worker.keys() - placeable:
            key = self._reservation_by_worker.pop(incarnation).group
            self._workers_by_group[key].remove(incarnation)
        if now - self._forgot_at >= FORGET_SECONDS:
            self._forgot_at = now
            self._planned_at_by_run = {
                (name, run): planned_at
                for (name, run), planned_at in self._planned_at_by_run.items()
                if (task := ledger.find_task(name)) and run in task.incarnation_by_run
            }

    def release(self, key: GroupKey) -> None:
        """Release the workers of a step."""
        for incarnation in self._workers_by_group.pop(key, []):
            del self._reservation_by_worker[incarnation]

    def workers_of(self, key: GroupKey) -> list[IncarnationKey]:
        """Return the workers that are reserved for a step."""
        return self._workers_by_group.get(key, [])

    def is_reserved(self, incarnation: IncarnationKey) -> bool:
        """Return whether a worker is reserved for some step."""
        return incarnation in self._reservation_by_worker

    def is_open_to(self, group: StepGroup, incarnation: IncarnationKey) -> bool:
        """Return whether reservations of others leave a worker to a step.

        More urgent work goes before any reservation.
        """
        reservation = self._reservation_by_worker.get(incarnation)
        return (
            reservation is None
            or reservation.group == group.key
            or group.job.queue.priority < reservation.priority
        )

    def is_recent(self, incarnation: IncarnationKey, now: float) -> bool:
        """Return whether a worker has been reserved for less than preferences may delay a start.

        What counts is the whole time: for one step or several in a row, and avoided before that.
        """
        since = self._closed_since_by_worker.get(incarnation, now)
        return self.is_reserved(incarnation) and now - since < MAX_DEFERRAL_SECONDS

    def reserve(
        self,
        group: StepGroup,
        rooms: list["Room"],
        run_counts: Counter[IncarnationKey],
        count: int,
        now: float,
    ) -> bool:
        """Keep workers free until ``count`` more tasks of a step have room.

        Those that the step has come first, then those where there is room soonest.
        ``run_counts`` tells how many runs of the step each worker has.  Return whether any of the
        ``rooms``, reserved or not, can ever hold one of the tasks beside its long-running runs.
        """
        step = group.spec
        kept = set(self.workers_of(group.key))
        self.release(group.key)
        choices, is_possible = [], False
        limit = max(1, int(MAX_RESERVED_SHARE * len(rooms))) - len(self._reservation_by_worker)
        for position, room in enumerate(rooms):
            slots = room.slots_without_finite_runs(step, run_counts[room.worker.key])
            if not slots:
                continue
            is_possible = True
            if limit <= 0 or self.is_reserved(room.worker.key):
                continue
            seconds = self._seconds_until_room(room, step, now)
            if seconds < math.inf:
                is_new = room.worker.key not in kept
                choices.append((is_new, seconds, position, slots))
        chosen = []
        for _, _, position, slots in heapq.nsmallest(limit, choices):
            if count <= 0:
                break
            chosen.append(rooms[position].worker.key)
            count -= slots
        # The members of a gang start together, so less room than for all is of no use.
        if chosen and not (step.gang and count > 0):
            for incarnation in chosen:
                self._reservation_by_worker[incarnation] = _Reservation(
                    group.key, group.job.queue.priority
                )
                # Others must not wait anew.
                self._closed_since_by_worker.setdefault(incarnation, now)
                self._closed.add(incarnation)
            self._workers_by_group[group.key] = chosen
        return is_possible

    def _seconds_until_room(self, room: "Room", step: StepSpec, now: float) -> float:
        """Return in how many seconds one task has room, by the estimates of the runs there.

        Infinite if what this pass has planned leaves no room.
        """
        worker, used = room.worker, room.used_and_planned()
        if used.leaves_room(worker.record, step):
            return 0.0
        ends = sorted(
            (self._remaining_seconds(run, task.step.spec, now), run)
            for run, task in worker.task_by_run.items()
            if not task.step.spec.lasting
        )
        for seconds, run in ends:
            used.add(worker.task_by_run[run].step.spec, -1)
            if used.leaves_room(worker.record, step):
                return seconds
        return math.inf

    def _remaining_seconds(self, run: RunKey, step: StepSpec, now: float) -> float:
        age = now - self._planned_at_by_run.get(run, now)
        return max(0.0, step.estimated_ms / 1000 - age)

    def record_starts(self, ledger: TaskLedger, intents: Iterable[RunIntent], now: float) -> None:
        """Take note of when runs were planned."""
        for intent in intents:
            if not ledger.find_task(intent.task).step.spec.lasting:
                self._planned_at_by_run[intent.task, intent.run] = now


@attrs.frozen
class Room:
    """A worker that may run a step, and what one pass has planned there so far."""

    worker: Worker
    planned: ResourceUsage

    def used_and_planned(self) -> ResourceUsage:
        """Return what the runs on the worker and the planned ones reserve together."""
        used, planned = self.worker.used, self.planned
        return ResourceUsage(
            used.millicores + planned.millicores,
            used.memory_mb + planned.memory_mb,
            used.accelerators + planned.accelerators,
        )

    def slots_without_finite_runs(self, step: StepSpec, run_count: int) -> int:
        """Return how many tasks of a step fit beside the long-running runs alone.

        ``run_count`` is the number of runs of the step that the worker has, planned ones included.
        """
        record, taken = self.worker.record, self.worker.long_running
        slots = min(
            (
                max(0, total - used) // needed
                for total, used, needed in (
                    (record.millicores, taken.millicores, step.millicores),
                    (record.memory_mb, taken.memory_mb, step.memory_mb),
                    (record.accelerators, taken.accelerators, step.accelerators),
                )
                if needed
            ),
            default=0,
        )
        if step.max_per_worker:
            slots = min(slots, max(0, step.max_per_worker - run_count))
        return slots


def is_large(step: StepSpec, records: Iterable[WorkerRecord]) -> bool:
    """Return whether a task needs a large part of some of the workers."""
    return any(
        step.millicores > LARGE_SHARE * record.millicores
        or step.memory_mb > LARGE_SHARE * record.memory_mb
        or step.accelerators > LARGE_SHARE * record.accelerators
        for record in records
    )
