"""Keeps workers free for large tasks that have room on none, until they have started there.

A large task fits only once several smaller runs have ended on the same worker.  Unless that worker
is reserved, smaller tasks take each share that comes free, and a steady stream of them keeps the
large task waiting without end.  Schedulers of parallel jobs reserve for the same reason (EASY
backfilling; Lifka, "The ANL/IBM SP Scheduling System", 1995).
"""

import heapq
import itertools
import math
from collections import Counter
from collections.abc import Iterable, Set

import attrs

from ..tasks.job import IncarnationKey, StepGroup
from ..tasks.ledger import TaskLedger
from ..tasks.worker import ResourceUsage, Worker
from ..wire.generated.ttypes import RunIntent, StepSpec, WorkerRecord
from .lateness import VERY_LATE, lateness_of, seconds_of_worth
from .waiting import MAX_DEFERRAL_SECONDS

LARGE_SHARE = 0.5
"""Share of a worker's resources above which a task is large: no two fit beside each other.

Below it the ends of a few runs make room for it on some worker, as long as those are not small.
"""

LARGE_MULTIPLE = 2.0
"""Multiple of what finite runs have in the mean above which a task is large as well.

So many of them, or more, have to end on one worker at a time.  Best-effort runs don't count: most
of what callers wait for may have more memory than those.
"""

MAX_RESERVED_SHARE = 0.1
"""Share of the workers that can ever hold a large task which may be reserved at one time.

One worker, or one gang's, always may: a gang that is wider than the share would wait without end.
A reserved worker is partly idle until its runs have ended.
"""

MIN_REMAINING_SECONDS = 0.05
"""Shortest time that a run is expected to take still: its end has to be reported and committed."""

ROOM_GRACE_SECONDS = 0.25
"""How much later than expected a reserved worker may have room before another one is chosen."""

FORGET_SECONDS = 5.0
"""Time between two looks for runs that are gone."""

RunKey = tuple[str, int]
"""The task name and the number of a run."""

GroupKey = tuple[str, int, int]
"""The key of a step: job id, occurrence and number."""

Rank = tuple[int, bool]
"""The priority of a step, and whether it yields to others of that priority; less goes first."""


@attrs.frozen
class _Reservation:
    group: GroupKey
    rank: Rank
    since: float
    """Since when the worker has been reserved, for this step or others in turn."""

    used: ResourceUsage
    """What its runs reserved then."""

    room_at: float
    """When the worker was expected to have room, as the step reserved it."""


@attrs.define
class Reservations:
    """The workers reserved in one leader's term, each for one step; times are monotonic seconds."""

    _reservation_by_worker: dict[IncarnationKey, _Reservation] = attrs.field(factory=dict)
    _workers_by_group: dict[GroupKey, list[IncarnationKey]] = attrs.field(factory=dict)
    _planned_at_by_run: dict[RunKey, float] = attrs.field(factory=dict)
    """When the finite runs were planned, as far as this leader did it."""

    _earlier_by_worker: dict[IncarnationKey, _Reservation] = attrs.field(factory=dict)
    """The reservations that there were when this pass began."""

    _forgot_at: float = -math.inf
    _wall_ms: int = 0
    _rank_by_group: dict[GroupKey, Rank] = attrs.field(factory=dict)
    """Ranks in this pass."""

    _turns: set[GroupKey] = attrs.field(factory=set)
    """The steps that get a turn in this pass though their jobs are worth nothing any more."""

    _worth_seconds_by_group: dict[GroupKey, float] = attrs.field(factory=dict)
    """Within how many seconds of this pass a step has to start to be worth anything."""

    def begin_pass(
        self, ledger: TaskLedger, placeable: set[IncarnationKey], wall_ms: int, now: float
    ) -> None:
        """Release what steps that wait no longer had, and workers that get no runs any more."""
        self._wall_ms, self._rank_by_group, self._turns = wall_ms, {}, set()
        self._worth_seconds_by_group = {}
        self._earlier_by_worker = dict(self._reservation_by_worker)
        for key in self._workers_by_group.keys() - ledger.startable_group_by_key.keys():
            self.release(key)
        for incarnation in self._reservation_by_worker.keys() - placeable:
            self._release_worker(incarnation)
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

    def _release_worker(self, incarnation: IncarnationKey) -> None:
        reservation = self._reservation_by_worker.pop(incarnation, None)
        if reservation is not None:
            self._workers_by_group[reservation.group].remove(incarnation)

    def workers_of(self, key: GroupKey) -> list[IncarnationKey]:
        """Return the workers that are reserved for a step."""
        return self._workers_by_group.get(key, [])

    def is_open_to(self, group: StepGroup, incarnation: IncarnationKey) -> bool:
        """Return whether reservations of others leave a worker to a step.

        More urgent work goes before any reservation, and what can still be worth something before
        one of a job that can't.
        """
        reservation = self._reservation_by_worker.get(incarnation)
        return (
            reservation is None
            or reservation.group == group.key
            or self.rank(group) < reservation.rank
        )

    def rank(self, group: StepGroup) -> Rank:
        """Return the rank of a step in this pass."""
        rank = self._rank_by_group.get(group.key)
        if rank is None:
            yields = not self.has_turn(group) and lateness_of(group, self._wall_ms) == VERY_LATE
            rank = self._rank_by_group[group.key] = group.job.queue.priority, yields
        return rank

    def yields(self, group: StepGroup) -> bool:
        """Return whether a step yields to those of its priority that can still be in time."""
        return self.rank(group)[1]

    def has_turn(self, group: StepGroup) -> bool:
        """Return whether a worker is reserved in this pass for a step that has yielded for long."""
        return group.key in self._turns

    def give_turn(
        self, group: StepGroup, rooms: "Rooms", run_counts: Counter[IncarnationKey], now: float
    ) -> bool:
        """Reserve a worker for one task, or one gang, of a step that has yielded for long.

        This goes before the reservations of this pass, and counts against no limit of theirs.
        Returns whether there is a worker to reserve.
        """
        self._turns.add(group.key)
        self._rank_by_group.pop(group.key, None)
        self.reserve(group, rooms, run_counts, len(group.startable_indexes), now)
        if self.workers_of(group.key):
            return True
        self._turns.discard(group.key)
        self._rank_by_group.pop(group.key, None)
        return False

    def is_recent(self, worker: Worker, step: StepSpec, now: float) -> bool:
        """Return whether a worker has been reserved for less than preferences may delay a start.

        Not for a step for which it had room before: other preferences have delayed that already.
        """
        reservation = self._reservation_by_worker.get(worker.key)
        return (
            reservation is not None
            and now - reservation.since < MAX_DEFERRAL_SECONDS
            and not reservation.used.leaves_room(worker.record, step)
        )

    def reserve(
        self,
        group: StepGroup,
        rooms: "Rooms",
        run_counts: Counter[IncarnationKey],
        count: int,
        now: float,
    ) -> None:
        """Keep workers free until ``count`` more tasks of a step have room.

        Those that the step has come first, then those near its data where there is room soonest.
        What is reserved for steps of a lower rank may be taken, and does not count against the
        limit: those come later in the pass, and give up what is too much then.
        ``run_counts`` tells how many runs of the step each worker has.
        """
        step = group.spec
        if self.has_turn(group) and not step.gang:
            count = min(count, 1)
        reservation_by_kept = {
            incarnation: self._reservation_by_worker[incarnation]
            for incarnation in self.workers_of(group.key)
        }
        self.release(group.key)
        if rooms.is_hopeless(step):
            return
        chosen = self._keep(group, rooms, reservation_by_kept, run_counts, count, now)
        count -= sum(slots for slots, _ in chosen.values())
        chosen |= self._choose(group, rooms, chosen.keys(), run_counts, count, now)
        if not chosen or (step.gang and not self._suffices_for_gang(group, rooms, chosen)):
            return
        for incarnation, (_, room_at) in chosen.items():
            self._release_worker(incarnation)
            earlier = self._earlier_by_worker.get(incarnation)
            since, used = now, rooms.room_by_incarnation[incarnation].used_and_planned()
            if earlier is not None:
                since, used = earlier.since, earlier.used
            self._reservation_by_worker[incarnation] = _Reservation(
                group.key, self.rank(group), since, used, room_at
            )
        self._workers_by_group[group.key] = list(chosen)

    def _keep(
        self,
        group: StepGroup,
        rooms: "Rooms",
        reservation_by_kept: dict[IncarnationKey, _Reservation],
        run_counts: Counter[IncarnationKey],
        count: int,
        now: float,
    ) -> dict[IncarnationKey, tuple[int, float]]:
        """Return the slots, and the time when there is room, where a step keeps its reservations.

        Those that are late, since runs there take longer than estimated, are not among them.
        """
        kept = {}
        for incarnation, reservation in reservation_by_kept.items():
            room = rooms.room_by_incarnation.get(incarnation)
            if room is None or count <= 0 or now > reservation.room_at + ROOM_GRACE_SECONDS:
                continue
            slots = room.slots_without_finite_runs(group.spec, run_counts[incarnation])
            # A turn comes before this pass has planned anything, so there may be room by now.
            if slots and (self.has_turn(group) or self._is_of_use(group, room, now)):
                kept[incarnation] = slots, reservation.room_at
                count -= slots
        return kept

    def _choose(
        self,
        group: StepGroup,
        rooms: "Rooms",
        kept: Set[IncarnationKey],
        run_counts: Counter[IncarnationKey],
        count: int,
        now: float,
    ) -> dict[IncarnationKey, tuple[int, float]]:
        """Return the same of further workers: those that have room soonest, as the limit allows."""
        step, rank = group.spec, self.rank(group)
        reserved = self._reserved_before(group, rooms) | kept
        most = self._most(group, rooms, kept)
        if count <= 0 or len(reserved) >= most or rooms.is_taken_for(step, rank):
            return {}
        slots_by_incarnation = {
            room.worker.key: slots
            for room in rooms.without_finite_runs(step)
            if (slots := room.slots_without_finite_runs(step, run_counts[room.worker.key]))
        }
        if not slots_by_incarnation:
            rooms.record_hopeless(step)
            return {}
        limit = max(1, int(MAX_RESERVED_SHARE * len(slots_by_incarnation)))
        if step.gang and not reserved - kept:
            limit = max(limit, group.spec.count)
        limit -= len(reserved & slots_by_incarnation.keys())
        if limit <= 0:
            return {}
        choices = []
        for position, incarnation in enumerate(slots_by_incarnation):
            room = rooms.room_by_incarnation[incarnation]
            if incarnation in kept or not self.is_open_to(group, incarnation):
                continue
            if self._is_of_use(group, room, now):
                is_far = bool(step.data_rack) and step.data_rack != room.worker.record.rack
                seconds = self._seconds_until_room(room, step, now)
                choices.append((is_far, seconds, position, incarnation))
        if not choices:
            rooms.record_taken(step, rank)
        chosen = {}
        for _, seconds, _, incarnation in heapq.nsmallest(limit, choices):
            if count <= 0:
                break
            chosen[incarnation] = slots_by_incarnation[incarnation], now + seconds
            count -= slots_by_incarnation[incarnation]
        return chosen

    def _reserved_before(self, group: StepGroup, rooms: "Rooms") -> set[IncarnationKey]:
        """Return the workers reserved for other steps of no lower rank, as far as they count."""
        if self.has_turn(group):
            return set()
        rank = self.rank(group)
        return {
            incarnation
            for incarnation, reservation in self._reservation_by_worker.items()
            if reservation.rank <= rank
            and reservation.group not in self._turns
            and incarnation in rooms.room_by_incarnation
        }

    def _most(self, group: StepGroup, rooms: "Rooms", own: Set[IncarnationKey]) -> int:
        """Return how many workers may be reserved at one time, with those of a step's own."""
        most = max(1, int(MAX_RESERVED_SHARE * len(rooms.room_by_incarnation)))
        is_alone = not self._reserved_before(group, rooms) - own
        return max(most, group.spec.count) if group.spec.gang and is_alone else most

    def _suffices_for_gang(
        self, group: StepGroup, rooms: "Rooms", chosen: dict[IncarnationKey, tuple[int, float]]
    ) -> bool:
        """Return whether all members, which start together, have room on workers they may have."""
        has_room = sum(slots for slots, _ in chosen.values()) >= group.spec.count
        return has_room and len(chosen) <= self._most(group, rooms, chosen.keys())

    def _is_of_use(self, group: StepGroup, room: "Room", now: float) -> bool:
        """Return whether a step has to wait for room there, and there will be some in time.

        Where there is room already, something else holds the step back; but the members of a gang
        wait for each other's.
        """
        seconds = self._seconds_until_room(room, group.spec, now)
        if math.isinf(seconds) or (seconds <= 0.0 and not group.spec.gang):
            return False
        return self.has_turn(group) or seconds <= self._worth_seconds(group)

    def _worth_seconds(self, group: StepGroup) -> float:
        seconds = self._worth_seconds_by_group.get(group.key)
        if seconds is None:
            seconds = seconds_of_worth(group, self._wall_ms)
            self._worth_seconds_by_group[group.key] = seconds
        return seconds

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
        """Return for how much longer a run takes; one beyond its estimate, as long again as beyond.

        It may be on a slow worker, or on one where nothing ever ends.
        """
        age = now - self._planned_at_by_run.get(run, now)
        return max(abs(step.estimated_ms / 1000 - age), MIN_REMAINING_SECONDS)

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

    def millicores_without_finite_runs(self) -> int:
        """Return the processors that long-running runs leave."""
        return self.worker.record.millicores - self.worker.long_running.millicores

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


@attrs.define
class Rooms:
    """The workers of one service and label in one pass, and which steps look for room in vain."""

    room_by_incarnation: dict[IncarnationKey, Room]
    _least: tuple[int, int, int] = attrs.field(init=False)
    """The least millicores, memory and accelerators of any of the workers."""

    _mean: tuple[float, float, float] | None = None
    _by_millicores: list[Room] | None = None
    _hopeless_steps: list[StepSpec] = attrs.field(factory=list)
    """Steps for which no worker has room beside its long-running runs alone."""

    _steps_without_choice: list[tuple[StepSpec, Rank]] = attrs.field(factory=list)
    """Steps for which all workers with such room are reserved, and their ranks."""

    @_least.default
    def _least_of_each(self) -> tuple[int, int, int]:
        records = [room.worker.record for room in self.room_by_incarnation.values()]
        return (
            min((record.millicores for record in records), default=0),
            min((record.memory_mb for record in records), default=0),
            min((record.accelerators for record in records), default=0),
        )

    def without_finite_runs(self, step: StepSpec) -> Iterable[Room]:
        """Yield those with the processors for a step, but for finite runs."""
        if self._by_millicores is None:
            self._by_millicores = sorted(
                self.room_by_incarnation.values(), key=Room.millicores_without_finite_runs,
                reverse=True,
            )  # fmt: skip
        return itertools.takewhile(
            lambda room: room.millicores_without_finite_runs() >= step.millicores,
            self._by_millicores,
        )

    def is_large(self, step: StepSpec) -> bool:
        """Return whether a task needs a large part of any of the workers, or far more than most.

        A gang does as a whole: all its members need room at the same time.
        """
        if not self.room_by_incarnation:
            return False
        return (
            step.gang
            or _exceeds(step, LARGE_SHARE, self._least)
            or _exceeds(step, LARGE_MULTIPLE, self._mean_of_finite_runs())
        )

    def _mean_of_finite_runs(self) -> tuple[float, float, float]:
        """Return the mean millicores, memory and accelerators of the finite runs.

        Best-effort runs are left out; infinite where no run has any.
        """
        if self._mean is None:
            steps = [
                task.step.spec
                for room in self.room_by_incarnation.values()
                for task in room.worker.task_by_run.values()
                if not task.step.spec.lasting and not task.step.spec.filling
            ]
            self._mean = (
                _mean(step.millicores for step in steps),
                _mean(step.memory_mb for step in steps),
                _mean(step.accelerators for step in steps),
            )
        return self._mean

    def is_hopeless(self, step: StepSpec) -> bool:
        """Return whether a step that needs no more than this one has no room to wait for."""
        return any(needs_no_less(step, other) for other in self._hopeless_steps)

    def record_hopeless(self, step: StepSpec) -> None:
        """Record that no worker has room for the step beside its long-running runs alone."""
        if not step.max_per_worker:
            self._hopeless_steps.append(step)

    def is_taken_for(self, step: StepSpec, rank: Rank) -> bool:
        """Return whether a step that needs and may use no more than this one found no worker.

        What a step gives up later in a pass is found in the next one.
        """
        return any(
            needs_no_less(step, other) and other_rank <= rank
            for other, other_rank in self._steps_without_choice
        )

    def record_taken(self, step: StepSpec, rank: Rank) -> None:
        """Record that there is no worker left to reserve for the step."""
        if not step.max_per_worker:
            self._steps_without_choice.append((step, rank))


def _exceeds(step: StepSpec, factor: float, amounts: tuple[float, float, float]) -> bool:
    """Return whether a task needs more than a multiple of any of the amounts."""
    millicores, memory_mb, accelerators = amounts
    return (
        step.millicores > factor * millicores
        or step.memory_mb > factor * memory_mb
        or step.accelerators > factor * accelerators
    )


def _mean(amounts: Iterable[int]) -> float:
    """Return the mean of the amounts that are not 0; infinity if all are."""
    counted = [amount for amount in amounts if amount]
    return sum(counted) / len(counted) if counted else math.inf


def needs_no_less(step: StepSpec, other: StepSpec) -> bool:
    """Return whether a worker that has no room for the other step has none for this one."""
    if step.filling != other.filling or (step.filling and step.image != other.image):
        return False
    return (
        step.millicores >= other.millicores
        and step.memory_mb >= other.memory_mb
        and step.accelerators >= other.accelerators
    )


def is_large_on(step: StepSpec, record: WorkerRecord) -> bool:
    """Return whether a task needs a large part of a worker."""
    return _exceeds(step, LARGE_SHARE, (record.millicores, record.memory_mb, record.accelerators))
