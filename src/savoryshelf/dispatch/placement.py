"""Decides which tasks to start next and on which workers.

This module does no I/O and reads no clock.  Placed runs never exceed a worker's
memory, accelerators or reservable processor time; best-effort runs reserve no
processor time and use what the others leave.

The worker with the lowest score is chosen: its load, as a share of its processors,
plus penalties in the same unit.
"""

import heapq
import math
from collections import Counter
from collections.abc import Iterable

import attrs

from ..tasks.job import IncarnationKey, StepGroup, Task
from ..tasks.ledger import TaskLedger
from ..tasks.worker import ResourceUsage, Worker, incarnation_key
from ..wire.generated.ttypes import RunIntent, StepSpec, WorkerLife
from .finite_demand import FiniteDemand
from .health import FleetHealth
from .interference import (
    NEGLIGIBLE_UTILISATION,
    PEAK_BASELINE_UTILISATION,
    InterferenceModel,
    interference_headroom,
)
from .isolation import MAX_CHOICES_PER_PASS, MAX_ISOLATED_SHARE, Isolation
from .lateness import VERY_LATE, has_yielded_long, lateness_of
from .refused_starts import RefusedStarts
from .reservations import LARGE_SHARE, Rank, Reservations, Room, Rooms, is_large_on, needs_no_less
from .waiting import MAX_DEFERRAL_SECONDS, RunsAtWork, WaitingWork

REMOTE_DATA_PENALTY = 100.0
"""A task in another rack than its data runs several times longer, so this is the last resort."""

BESIDE_BEST_EFFORT_PENALTY = 50.0
"""Applied to serving runs where best-effort runs would slow them down.

Such a worker is used only if no other has free capacity.
"""

OTHER_IMAGE_PENALTY = 10.0
"""For each other serving image on the worker.

The fewer serving images a worker has, the more best-effort runs can share it.
"""

SAME_IMAGE_BONUS = 5.0
"""For a worker that already runs the same serving image."""

SERVING_RESERVATION_USE = 0.6
"""Share of its reservation that a serving run usually uses; best-effort runs may use the rest."""

MAX_BEST_EFFORT_LOAD = 1.0
"""Share of a worker's processors up to which best-effort runs are placed.

Above it they would only slow each other down; if some wait instead, the others end sooner.
"""

MAX_LONG_RUNNING_SHARE = 0.92
"""Share of a service's processors up to which new long-running work is started at once.

Finite runs go first in the rest, since callers wait for those and long-running
ones never release capacity.  Long-running tasks that lost their worker may also
use it.
"""

BUSY_SHARE = 0.5
"""Share of a service's processors reserved from which finite best-effort steps keep waiting.

Below it, an overdue one is placed where it interferes least, even if the run exceeds the
interference headroom there: the users require a start while under half of the capacity is in use,
and best-effort runs count for nothing in that.  Long-running tasks have to run however busy the
service is.
"""

ROOM_FOR_FINITE_PENALTY = 45.0
"""Applied to long-running runs on workers kept whole for finite ones.

It outweighs four other serving images on a worker, not best-effort runs that would be disturbing.
"""

ROOM_FOR_LARGE_PENALTY = 2.0
"""Applied to smaller finite runs there, if large ones came of late and other workers are not whole.

It outweighs any load, and the other region.
"""

INTERFERENCE_WEIGHT = 3.0
"""Weight of predicted interference relative to load when a best-effort run is placed.

Images known not to interfere are co-located before unknown pairs are tried.
"""

FAILED_HERE_PENALTY = 200.0
"""For the worker on which the task last failed.

Its attempts are limited, so it is placed there only as a last resort.
"""

REFUSED_HERE_PENALTY = 1000.0
"""For each start of the task that the worker has refused of late: all others are tried first."""

RECENT_FAILURE_PENALTY = 5.0
"""For each failure on the worker since its last success."""

OTHER_REGION_PENALTY = 0.2
"""A start call to another region takes one inter-region network delay longer."""

MIN_SAMPLE_SIZE = 48
SAMPLE_PER_TASK = 2
"""A finite step is placed on the best of so many workers that may run it, out of a large fleet.

Scoring all of them for each step would cost time in proportion to the fleet.
"""

SAME_STEP_PENALTY = 0.5
"""For each long-running task of the same step on the worker.

The loss of one worker should not end several of them.
"""


@attrs.frozen
class WorkerView:
    """Snapshot of what the leader knows of one worker."""

    worker: Worker
    is_responsive: bool
    status_by_run: dict
    """Runs as listed by the last poll, by task name and run number."""

    baseline_by_image: dict[str, float] = attrs.field(factory=dict)
    """Highest baseline utilisation among the serving runs of each image."""

    excluded_images: frozenset[str] = frozenset()
    """Best-effort images recently evicted from this worker."""

    idle_seconds_by_run: dict[tuple[str, int], float] = attrs.field(factory=dict)
    """Runs that are not at work, such as paused ones, and for how long."""

    excluded_seconds_by_image: dict[str, float] = attrs.field(factory=dict)
    """For how much longer each of them is kept off: longest where it was evicted last."""

    unreported_seconds: float = 0.0
    """For how long the worker's agent has not reported, unless it is live."""

    incarnation: IncarnationKey = attrs.field(init=False)
    """Key of the worker's incarnation."""

    @incarnation.default
    def _incarnation(self) -> IncarnationKey:
        return self.worker.key


@attrs.define
class _Candidate:
    """A worker and the runs planned for it in this pass."""

    view: WorkerView
    interference: InterferenceModel
    penalty: float = 0.0
    is_avoided: bool = False
    """Whether placement prefers any other worker for now; only overdue work is placed here."""

    last_failure_at: float = -math.inf
    is_kept_whole: bool = False
    """Whether long-running runs leave it to finite ones as long as others have room."""

    is_kept_for_large: bool = False
    """Whether smaller finite runs leave it to large ones as well."""

    fills_up: bool = False
    """Whether long-running runs go to it the sooner, the less is free."""

    planned: ResourceUsage = attrs.field(factory=ResourceUsage)
    planned_count: int = 0
    long_running_millicores: int = 0
    expected_millicores: float = 0.0
    """Expected use by its runs, based on reservations or, for best-effort runs, on requests."""

    serving_run_count_by_image: dict[str, int] = attrs.field(init=False)
    best_effort_millicores_by_image: dict[str, int] = attrs.field(init=False)
    """Both are the worker's own until a run is planned here."""

    _rejected_millicores_by_image: dict[str, int] = attrs.field(factory=dict)
    """The smallest best-effort step of each image that was rejected in this pass."""

    _has_own_counts: bool = False
    _added_utilisation_by_image: dict[str, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        worker = self.view.worker
        self.serving_run_count_by_image = worker.serving_run_count_by_image
        self.best_effort_millicores_by_image = worker.best_effort_millicores_by_image
        self.long_running_millicores += worker.long_running_millicores
        self.expected_millicores += _expected_use(worker)

    def copy(self) -> "_Candidate":
        """Return an independent copy, for placing several runs all together or not at all."""
        copy = _Candidate(
            self.view, self.interference, self.penalty, self.is_avoided, self.last_failure_at,
            self.is_kept_whole, self.is_kept_for_large, self.fills_up,
        )  # fmt: skip
        copy.planned = attrs.evolve(self.planned)
        copy.planned_count = self.planned_count
        copy.expected_millicores = self.expected_millicores
        copy.long_running_millicores = self.long_running_millicores
        copy.serving_run_count_by_image = dict(self.serving_run_count_by_image)
        copy.best_effort_millicores_by_image = dict(self.best_effort_millicores_by_image)
        copy._has_own_counts = True
        return copy

    def fits(self, step: StepSpec) -> bool:
        record, used, planned = self.view.worker.record, self.view.worker.used, self.planned
        needed = 0 if step.filling else step.millicores
        return (
            used.millicores + planned.millicores + needed <= record.millicores
            and used.memory_mb + planned.memory_mb + step.memory_mb <= record.memory_mb
            and used.accelerators + planned.accelerators + step.accelerators <= record.accelerators
        )

    def load_with(self, step: StepSpec) -> float:
        """Return the share of the processors in use if one more run is placed here."""
        record = self.view.worker.record
        return (self.expected_millicores + _expected_millicores(step)) / max(1, record.millicores)

    def free_share(self) -> float:
        """Return the share of the processors that no run reserves."""
        record = self.view.worker.record
        reserved = self.view.worker.used.millicores + self.planned.millicores
        return 1.0 - reserved / max(1, record.millicores)

    def may_add_best_effort(self, step: StepSpec) -> bool:
        """Return whether one more best-effort run may be placed here without slowing others down.

        Load and interference only rise during a pass, so a rejection holds for larger steps of
        the image until its end.
        """
        if self._rejected_millicores_by_image.get(step.image, math.inf) <= step.millicores:
            return False
        if step.image in self.view.excluded_images:
            return False
        if self.load_with(step) > MAX_BEST_EFFORT_LOAD or self.interference_with(step) > 1.0:
            self._rejected_millicores_by_image[step.image] = step.millicores
            return False
        return True

    def interference_with(self, step: StepSpec) -> float:
        """Return the interference that one more best-effort run causes.

        It is the added utilisation divided by the headroom, for the serving image
        affected most: 0 for none, above 1 if the headroom is exceeded.
        """
        worst = 0.0
        for image in self.serving_run_count_by_image:
            run_utilisation = self.interference.weight(step.image, image) * step.millicores / 1000
            if run_utilisation < NEGLIGIBLE_UTILISATION:
                worst = max(worst, run_utilisation)
                continue
            baseline = self.view.baseline_by_image.get(image, PEAK_BASELINE_UTILISATION)
            worst = max(
                worst,
                (self.added_utilisation(image) + run_utilisation)
                / max(interference_headroom(baseline), NEGLIGIBLE_UTILISATION),
            )
        return worst

    def added_utilisation(self, serving_image: str) -> float:
        """Return what the best-effort runs here add to the utilisation of a serving image."""
        added = self._added_utilisation_by_image.get(serving_image)
        if added is None:
            cores_by_image = {
                image: millicores / 1000
                for image, millicores in self.best_effort_millicores_by_image.items()
            }
            added = self.interference.added_utilisation(serving_image, cores_by_image)
            self._added_utilisation_by_image[serving_image] = added
        return added

    def add(self, step: StepSpec) -> None:
        """Count one more run of this step as placed here."""
        if not self._has_own_counts:
            self.serving_run_count_by_image = dict(self.serving_run_count_by_image)
            self.best_effort_millicores_by_image = dict(self.best_effort_millicores_by_image)
            self._has_own_counts = True
        self.planned.add(step, 1)
        self.planned_count += 1
        self.expected_millicores += _expected_millicores(step)
        if step.lasting:
            self.long_running_millicores += step.millicores
        if step.target_ms:
            counts = self.serving_run_count_by_image
            counts[step.image] = counts.get(step.image, 0) + 1
        if step.filling:
            millicores = self.best_effort_millicores_by_image
            millicores[step.image] = millicores.get(step.image, 0) + step.millicores
            self._added_utilisation_by_image.clear()


@attrs.define
class _Pool:
    """The candidates of one service and label in one pass."""

    candidates: list[_Candidate]
    _rejected_steps: list[tuple[StepSpec, Rank]] = attrs.field(factory=list)
    """Steps of which no candidate may run one more task, and their ranks."""

    _disturbing_steps: list[StepSpec] = attrs.field(factory=list)
    """Steps of which each candidate that has the room would slow others down with one more task."""

    _avoided: list[_Candidate] | None = None
    _rooms: Rooms | None = None

    def rooms(self) -> Rooms:
        """Return the workers of the candidates, and what this pass has planned there so far."""
        if self._rooms is None:
            self._rooms = Rooms(
                {c.view.incarnation: Room(c.view.worker, c.planned) for c in self.candidates}
            )
        return self._rooms

    def avoided_candidates(self) -> list[_Candidate]:
        """Return the candidates on which only overdue work is placed."""
        if self._avoided is None:
            self._avoided = [c for c in self.candidates if c.is_avoided]
        return self._avoided

    def is_exhausted_for(self, step: StepSpec, rank: Rank) -> bool:
        """Return whether a step that needs no more than this one has been rejected.

        Free capacity only shrinks during a pass, so the candidates reject this one too, unless
        it may use workers that are reserved for others and that one may not.
        """
        return any(
            needs_no_less(step, rejected)
            and rejected_rank <= rank
            and (rejected.lasting or not step.lasting)
            for rejected, rejected_rank in self._rejected_steps
        )

    def record_rejected(self, step: StepSpec, rank: Rank) -> None:
        """Record that no candidate may run one more task of the step."""
        if not step.max_per_worker:
            self._rejected_steps.append((step, rank))

    def is_disturbed_by(self, step: StepSpec) -> bool:
        """Return whether a step that needs no more than this one slows others down everywhere.

        Interference only rises during a pass.
        """
        return any(needs_no_less(step, other) for other in self._disturbing_steps)

    def record_disturbing(self, step: StepSpec) -> None:
        """Record that no candidate may run one more task of the step without slowing others."""
        if not step.max_per_worker:
            self._disturbing_steps.append(step)


class _Pools:
    """The candidates of one pass, by service and required label."""

    def __init__(self, candidates: list[_Candidate]):
        self._candidates = candidates
        self._pool_by_requirement: dict[tuple[str, str], _Pool] = {}

    def pool_of(self, group: StepGroup) -> _Pool:
        """Return the pool of the candidates that may run the group."""
        requirement = group.job.queue.service_name, group.spec.required_label
        pool = self._pool_by_requirement.get(requirement)
        if pool is None:
            service_name, label = requirement
            records = ((c, c.view.worker.record) for c in self._candidates)
            pool = self._pool_by_requirement[requirement] = _Pool(
                [
                    candidate
                    for candidate, record in records
                    if record.service_name == service_name and (not label or label in record.labels)
                ]
            )
        return pool


class _ServiceUsage:
    """How much of each service is reserved in one pass."""

    def __init__(self, candidates: list[_Candidate], views: list[WorkerView]):
        self._candidates = candidates
        self._busy_services: set[str] = set()
        placeable = {candidate.view.incarnation for candidate in candidates}
        self._others = [view.worker for view in views if view.incarnation not in placeable]

    def is_busy(self, service_name: str) -> bool:
        """Return whether ``BUSY_SHARE`` of the service is reserved, with what this pass planned.

        It has to be so with and without the workers that do not answer: whether those, and the
        runs that may exist on them, count for callers is not known.
        """
        if service_name in self._busy_services:
            # What is reserved only rises during a pass.
            return True
        total_millicores = reserved_millicores = 0
        for candidate in self._candidates:
            worker = candidate.view.worker
            if worker.record.service_name == service_name:
                total_millicores += worker.record.millicores
                reserved_millicores += worker.used.millicores + candidate.planned.millicores
        is_busy = reserved_millicores >= BUSY_SHARE * total_millicores
        for worker in self._others:
            if worker.record.service_name == service_name:
                total_millicores += worker.record.millicores
                reserved_millicores += worker.used.millicores
        is_busy = is_busy and reserved_millicores >= BUSY_SHARE * total_millicores
        if is_busy:
            self._busy_services.add(service_name)
        return is_busy


class _Ranking:
    """The candidates for the tasks of one step, by score.

    Each candidate is scored once, and again after a run has been planned on it:
    the score of no other candidate changes.  Only ``sample_size`` candidates that may run
    the step are scored, from position ``first`` on, and as many again once none is left.
    """

    def __init__(
        self,
        placement: "Placement",
        group: StepGroup,
        candidates: list[_Candidate],
        run_counts: Counter,
        first: int = 0,
        sample_size: float = math.inf,
    ):
        self._placement = placement
        self._group = group
        self._step = group.spec
        self._run_counts = run_counts
        self._candidates = candidates
        self._first = first
        self._sample_size = sample_size
        self.scanned = 0
        """Number of candidates that were looked at."""

        self._entries: list[tuple[float, int]] = []
        self._position_by_incarnation: dict[IncarnationKey, int] = {}
        self._scan()

    def _scan(self) -> None:
        """Score candidates until there are enough that may run the step."""
        count = len(self._candidates)
        while self.scanned < count and len(self._entries) < self._sample_size:
            position = (self._first + self.scanned) % count
            self.scanned += 1
            entry = self._entry(position)
            if entry:
                self._entries.append(entry)
                key = self._candidates[position].view.incarnation
                self._position_by_incarnation[key] = position
        heapq.heapify(self._entries)

    def best(self, task: Task) -> _Candidate | None:
        """Return the candidate with the lowest score for the task, or None if none may run it."""
        if not self._entries:
            self._scan()
        entries = self._entries
        if not entries:
            return None
        refusals = self._placement.refusals_by_worker(task)
        if not task.failed_on and not refusals:
            return self._candidates[entries[0][1]]
        _, position = min(
            (score + self._penalty(task, refusals, position), position)
            for score, position in entries
        )
        return self._candidates[position]

    def update(self, candidate: _Candidate) -> None:
        """Score a candidate again on which a run has been planned."""
        position = self._position_by_incarnation[candidate.view.incarnation]
        index = next(i for i, entry in enumerate(self._entries) if entry[1] == position)
        entry = self._entry(position)
        if index == 0:
            if entry:
                heapq.heapreplace(self._entries, entry)
            else:
                heapq.heappop(self._entries)
            return
        # The candidate chosen for a task that failed elsewhere need not be the first.
        del self._entries[index]
        if entry:
            self._entries.append(entry)
        heapq.heapify(self._entries)

    def _entry(self, position: int) -> tuple[float, int] | None:
        """Return the score and position of a candidate; None if it may not run the step."""
        candidate = self._candidates[position]
        run_count = self._run_counts.get(candidate.view.incarnation, 0)
        if not self._placement.is_open_to(self._group, candidate):
            return None
        if not self._placement.may_run(self._step, candidate, run_count):
            return None
        return self._placement.score(self._step, candidate, run_count), position

    def _penalty(self, task: Task, refusals: Counter, position: int) -> float:
        """Return what is added to a candidate's score for this task alone."""
        worker_id = self._candidates[position].view.worker.record.life.worker_id
        penalty = FAILED_HERE_PENALTY if task.failed_on == worker_id else 0.0
        return penalty + REFUSED_HERE_PENALTY * refusals[worker_id]


def _expected_use(worker: Worker) -> float:
    """Return the millicores that the runs on a worker usually use."""
    return (
        worker.used.millicores
        + worker.best_effort_millicores
        - (1.0 - SERVING_RESERVATION_USE) * worker.serving_millicores
    )


def _expected_millicores(step: StepSpec) -> float:
    return step.millicores * (SERVING_RESERVATION_USE if step.target_ms else 1.0)


class Placement:
    """Plans the runs to start during one leader's term.

    Its only state is how long startable work has had no run at work, the starts that were refused
    of late, the worker from which on the next step is placed, and the workers kept for
    tasks that may crash them or reserved for large ones.
    """

    def __init__(
        self,
        interference: InterferenceModel,
        home_region: str = "",
        region_by_domain: dict[str, str] | None = None,
    ):
        self._interference = interference
        self.waiting = WaitingWork()
        self._refused_starts = RefusedStarts()
        self._next_position = 0
        self._isolation = Isolation()
        self._reservations = Reservations()
        self.finite_demand = FiniteDemand()
        self._home_region = home_region
        self._region_by_domain = region_by_domain or {}

    def plan(
        self,
        ledger: TaskLedger,
        views: list[WorkerView],
        wall_ms: int,
        health: FleetHealth,
        now: float,
        best_effort_starts: float = math.inf,
    ) -> list[RunIntent]:
        """Return the runs to start now, in scheduling order.

        ``wall_ms`` is wall-clock time in ms, ``now`` monotonic time in seconds.  At most
        ``best_effort_starts`` finite best-effort tasks are started, but always the first of a
        step that has no run: no job may wait without one for long.
        """
        groups = [
            group
            for group in ledger.startable_group_by_key.values()
            if group.job.due_ms(group.occurrence) <= wall_ms
        ]
        self._refused_starts.forget_old(now)
        self._refused_starts.note_time_of_refusals(now)
        refused_since_by_task = self._refused_starts.waiting_since_by_task()
        runs_at_work = _runs_at_work(views)
        self.waiting.begin_pass(ledger, groups, runs_at_work, refused_since_by_task, wall_ms, now)
        candidates = [
            self.candidate(view, health, now)
            for view in views
            if view.is_responsive and view.worker.is_schedulable
        ]
        preferred = [c for c in candidates if not c.is_avoided]
        placeable = {c.view.incarnation for c in preferred}
        self._reservations.begin_pass(ledger, placeable, wall_ms, now)
        suspects = self._isolation.begin_pass(
            ledger, now, refused_since_by_task, lambda t: self.waiting.without_work_since(t, now)
        )
        intents = self._plan_suspects(suspects, ledger, _Pools(preferred), now)
        suspects_by_step = _by_step(ledger, intents)
        for candidate in preferred:
            candidate.is_avoided = self._isolation.is_kept(candidate.view.incarnation)
        self.finite_demand.record(groups, ledger.worker_by_incarnation.values(), now)
        _keep_whole_workers(preferred, self.finite_demand)
        all_pools, pools = _Pools(candidates), _Pools([c for c in preferred if not c.is_avoided])
        usage = _ServiceUsage(candidates, views)
        last_resorts: list[RunIntent] = []
        groups.sort(key=lambda group: _scheduling_order(group, wall_ms))
        self._give_turns(groups, pools, wall_ms, now)
        for group in self._with_overdue_before_refused(groups, ledger, now):
            pool = pools.pool_of(group)
            if self._must_leave_capacity(group, pool.candidates, wall_ms, now):
                continue
            limit = math.inf
            if is_limited(group.spec):
                limit = max(best_effort_starts, 0 if self.waiting.is_at_work(group) else 1)
            suspect_starts = suspects_by_step.get(group.key, [])
            planned = self._plan_group(group, pool, limit, suspect_starts, now) if limit else []
            if group.spec.lasting or not planned:
                overdue = self._plan_overdue(
                    group, all_pools.pool_of(group), suspect_starts + planned, usage, now
                )
                last_resorts += overdue
                planned += overdue
            if is_limited(group.spec):
                best_effort_starts -= len(planned)
            self._reserve_workers(group, pool, suspect_starts + planned, wall_ms, now)
            intents += planned
        self._isolation.record_starts(ledger, intents, now)
        self._reservations.record_starts(ledger, intents, now)
        self._record_starts(ledger, intents, now)
        self.waiting.record_starts(ledger, intents, last_resorts, now)
        return intents

    def _give_turns(self, groups: list[StepGroup], pools: _Pools, wall_ms: int, now: float) -> None:
        """Reserve a worker of each service for the large step that has yielded for longest.

        Otherwise it would wait without end beside a stream of jobs that can still be in time.
        """
        services: set[str] = set()
        for group in groups:
            step, service_name = group.spec, group.job.queue.service_name
            if step.lasting or step.filling or service_name in services:
                continue
            if not self._reservations.yields(group) or not has_yielded_long(group, wall_ms):
                continue
            rooms = pools.pool_of(group).rooms()
            run_counts = run_count_by_incarnation(group) if step.max_per_worker else Counter()
            if rooms.is_large(step) and self._reservations.give_turn(group, rooms, run_counts, now):
                services.add(service_name)

    def _reserve_workers(
        self,
        group: StepGroup,
        pool: "_Pool",
        planned: list[RunIntent],
        wall_ms: int,
        now: float,
    ) -> None:
        """Reserve workers for the tasks of a large finite step that have room on none.

        A job that is worth nothing to its caller any more gets none, unless it is its turn.
        ``planned`` holds the runs of the step that were planned in this pass.
        """
        step = group.spec
        if step.lasting or step.filling:
            return
        count = len(group.startable_indexes) - len(planned)
        has_turn = self._reservations.has_turn(group)
        is_of_use = count and (has_turn or lateness_of(group, wall_ms) != VERY_LATE)
        rooms = pool.rooms()
        if not is_of_use or not rooms.is_large(step):
            self._reservations.release(group.key)
            return
        run_counts = run_count_by_incarnation(group, planned) if step.max_per_worker else Counter()
        self._reservations.reserve(group, rooms, run_counts, count, now)

    def is_open_to(self, group: StepGroup, candidate: _Candidate) -> bool:
        """Return whether no worker is reserved for others, as far as a step has to mind it."""
        return self._reservations.is_open_to(group, candidate.view.incarnation)

    def _with_overdue_before_refused(
        self, groups: list[StepGroup], ledger: TaskLedger, now: float
    ) -> list[StepGroup]:
        """Return steps in scheduling order, overdue ones before those that are being refused.

        What is refused again and again takes the room in each pass and uses it in none.
        """
        names = self._refused_starts.tasks_refused_since(now - MAX_DEFERRAL_SECONDS)
        refused = {task.step.key for task in map(ledger.find_task, names) if task is not None}
        first = next((i for i, group in enumerate(groups) if group.key in refused), len(groups))
        moved = [
            group
            for group in groups[first:]
            if group.key not in refused and self.waiting.is_overdue(group, now)
        ]
        if not moved:
            return groups
        keys = {group.key for group in moved}
        return groups[:first] + moved + [g for g in groups[first:] if g.key not in keys]

    def _record_starts(self, ledger: TaskLedger, intents: list[RunIntent], now: float) -> None:
        """Take note of planned starts, and of how long each has been waited for."""
        for intent in intents:
            seconds = self.waiting.idle_seconds_of_task(ledger.find_task(intent.task), now)
            self._refused_starts.record_start(
                intent.task, intent.run, intent.life.worker_id, now, waiting_since=now - seconds
            )

    def record_refusal(self, task: str, run: int) -> None:
        """Take note that a planned start did not become a run."""
        self._refused_starts.record_refusal(task, run)

    def refusals_by_worker(self, task: Task) -> Counter:
        """Return how many starts of a task each worker has refused of late, by worker id."""
        return self._refused_starts.count_by_worker(task.name)

    def _overdue_tasks(self, group: StepGroup, tasks: list[Task], now: float) -> list[Task]:
        return self.waiting.overdue_tasks(group, tasks, self._refused_starts.count, now)

    def _plan_suspects(
        self, suspects: list[Task], ledger: TaskLedger, pools: "_Pools", now: float
    ) -> list[RunIntent]:
        """Place tasks that may crash their workers, each where nothing else is started."""
        intents, choices, isolation = [], 0, self._isolation
        run_counts_by_step: dict[tuple, Counter] = {}
        for task in suspects:
            pool, step = pools.pool_of(task.step), task.step.spec
            limit = max(1, int(MAX_ISOLATED_SHARE * len(pool.candidates)))
            kept = isolation.worker_kept_for(task)
            if kept is not None:
                if not isolation.is_quiet(kept):
                    continue
                candidates = [c for c in pool.candidates if c.view.incarnation == kept]
            elif choices < MAX_CHOICES_PER_PASS and isolation.may_keep_another(task, limit, now):
                choices += 1
                candidates = pool.candidates
            else:
                continue
            run_counts = run_counts_by_step.get(task.step.key)
            if run_counts is None:
                run_counts = run_count_by_incarnation(task.step)
                run_counts_by_step[task.step.key] = run_counts
            candidate_by_incarnation = {
                c.view.incarnation: c
                for c in candidates
                if self.is_open_to(task.step, c)
                and self.may_run(step, c, run_counts.get(c.view.incarnation, 0))
            }
            score_by_worker = {
                key: (c.view.worker, self.score(step, c, run_counts.get(key, 0)))
                for key, c in candidate_by_incarnation.items()
            }
            key = isolation.choose(task, score_by_worker, limit, now)
            if key is not None:
                chosen = candidate_by_incarnation[key]
                intents.append(self._assign(task, task.runs + 1, chosen, run_counts))
                isolation.record_starts(ledger, intents[-1:], now)
        return intents

    def _startable_tasks(self, group: StepGroup) -> list[Task]:
        """Return the startable tasks that wait for no worker of their own."""
        tasks = (group.tasks[index] for index in sorted(group.startable_indexes))
        return [task for task in tasks if not self._isolation.is_isolated(task)]

    def is_kept(self, incarnation: IncarnationKey) -> bool:
        """Return whether a worker is kept for a suspect of a crash."""
        return self._isolation.is_kept(incarnation)

    def is_isolated(self, task: Task) -> bool:
        """Return whether a task waits for a worker of its own."""
        return self._isolation.is_isolated(task)

    def candidate(self, view: WorkerView, health: FleetHealth, now: float) -> _Candidate:
        """Return a worker as a candidate of a new pass: nothing is planned on it yet."""
        record = view.worker.record
        worker_id = record.life.worker_id
        penalty = RECENT_FAILURE_PENALTY * health.consecutive_failures(worker_id)
        region = self._region_by_domain.get(record.failure_domain, "")
        if region != self._home_region:
            penalty += OTHER_REGION_PENALTY
        return _Candidate(
            view,
            self._interference,
            penalty,
            is_avoided=not health.is_schedulable(worker_id, now),
            last_failure_at=health.last_failure_at(worker_id),
        )

    def _plan_group(
        self,
        group: StepGroup,
        pool: "_Pool",
        limit: float,
        suspect_starts: list[RunIntent],
        now: float,
    ) -> list[RunIntent]:
        """Place tasks of a step; ``suspect_starts`` were planned for it before in this pass."""
        step, candidates = group.spec, pool.candidates
        rank = self._reservations.rank(group)
        if pool.is_exhausted_for(step, rank):
            # Except for what is reserved for it.
            reserved = set(self._reservations.workers_of(group.key))
            candidates = (
                [c for c in candidates if c.view.incarnation in reserved] if reserved else []
            )
            if not candidates:
                return []
        tasks = self._startable_tasks(group)
        overdue = self._overdue_tasks(group, tasks, now)
        refused = [task for task in overdue if self._refused_starts.has_refusals(task.name)]
        run_counts = run_count_by_incarnation(group, suspect_starts)
        if step.gang:
            return [] if refused else self._plan_gang(group, candidates, run_counts)
        # The best worker for a long-running task, or for data in a rack, may be any.
        sample_size = math.inf
        if not step.lasting and not step.data_rack:
            task_count = min(limit, len(group.startable_indexes))
            sample_size = max(MIN_SAMPLE_SIZE, SAMPLE_PER_TASK * task_count)
        ranking = _Ranking(self, group, candidates, run_counts, self._next_position, sample_size)
        # What all these candidates have refused is left to those that are avoided otherwise.
        refused = [task for task in refused if self._is_refused_by_all(task, ranking)]
        if refused and not step.lasting:
            return []
        intents = []
        for task in tasks:
            if len(intents) >= limit:
                break
            if task in refused:
                continue
            chosen = ranking.best(task)
            if chosen is None:
                pool.record_rejected(step, rank)
                break
            intents.append(self._assign(task, task.runs + 1, chosen, run_counts))
            ranking.update(chosen)
        self._next_position += ranking.scanned
        return intents

    def _is_refused_by_all(self, task: Task, ranking: _Ranking) -> bool:
        best = ranking.best(task)
        return best is not None and bool(self.refusals_by_worker(task)[best.view.incarnation[0]])

    def _must_leave_capacity(
        self, group: StepGroup, eligible: list[_Candidate], wall_ms: int, now: float
    ) -> bool:
        """Return whether long-running work is held back for the benefit of finite runs."""
        return (
            _is_new_long_running(group)
            and not self.waiting.is_overdue(group, now)
            and _seconds_since_acceptance(group, wall_ms) < MAX_DEFERRAL_SECONDS
            and _long_running_share(group, eligible) > MAX_LONG_RUNNING_SHARE
        )

    def _plan_overdue(
        self,
        group: StepGroup,
        pool: _Pool,
        planned: list[RunIntent],
        usage: "_ServiceUsage",
        now: float,
    ) -> list[RunIntent]:
        """Place overdue tasks on any worker that has the room, a gang whole or not at all.

        ``planned`` holds the runs of the step that were placed already in this pass.
        """
        planned_names = {intent.task for intent in planned}
        tasks = [task for task in self._startable_tasks(group) if task.name not in planned_names]
        tasks = self._overdue_tasks(group, tasks, now)
        step, rank = group.spec, self._reservations.rank(group)
        has_refusals = any(self._refused_starts.has_refusals(task.name) for task in tasks)
        if not tasks or (pool.is_exhausted_for(step, rank) and not has_refusals):
            return []
        may_interfere = step.lasting or not usage.is_busy(group.job.queue.service_name)
        if step.filling and not may_interfere and pool.is_disturbed_by(step):
            return []
        run_counts = run_count_by_incarnation(group, planned)
        if step.gang:
            eligible = [candidate.copy() for candidate in pool.candidates]
        elif step.filling or has_refusals:
            eligible = pool.candidates
        else:
            # The others have no room, or the task would have been placed there.
            eligible = pool.avoided_candidates() + [
                candidate
                for candidate in pool.candidates
                if not candidate.is_avoided and not self.is_open_to(group, candidate)
            ]
        # With so much free, work has to run soon whatever is reserved.
        is_idle = not usage.is_busy(group.job.queue.service_name)

        def is_feasible(candidate: _Candidate) -> bool:
            if not candidate.fits(step):
                return False
            if not step.lasting and not self.is_open_to(group, candidate):
                worker = candidate.view.worker
                if not is_idle or self._reservations.is_recent(worker, step, now):
                    return False
            if is_at_limit(step, run_counts.get(candidate.view.incarnation, 0)):
                return False
            return may_interfere or not step.filling or candidate.may_add_best_effort(step)

        # Only the order of the worker that was chosen changes with each task.
        order_by_position = {
            position: self._overdue_order(candidate, group)
            for position, candidate in enumerate(eligible)
            if is_feasible(candidate)
        }
        run = 1 + max(task.runs for task in group.tasks)
        intents = []
        for task in tasks:
            if not order_by_position:
                break
            refusals = self.refusals_by_worker(task)
            position = _first_for(task, eligible, order_by_position, refusals)
            chosen = eligible[position]
            task_run = run if step.gang else task.runs + 1
            intents.append(self._assign(task, task_run, chosen, run_counts))
            if is_feasible(chosen):
                order_by_position[position] = self._overdue_order(chosen, group)
            else:
                del order_by_position[position]
        if step.gang:
            return self._assign_gang(group, pool.candidates, intents)
        if len(intents) < len(tasks):
            if may_interfere or not step.filling:
                pool.record_rejected(step, rank)
            else:
                pool.record_disturbing(step)
        return intents

    def _overdue_order(self, candidate: _Candidate, group: StepGroup) -> tuple:
        """Return the sort key of the workers on which overdue tasks of a step may be placed.

        Avoided and reserved ones come last.  Of the former, each is tried before one is tried twice
        in a pass, the one that has not failed for longest first.  An image would be evicted again
        at once where it just was, so the worker where that is longest ago comes first.
        """
        step = group.spec
        return (
            candidate.is_avoided,
            candidate.planned_count if candidate.is_avoided else 0,
            not self.is_open_to(group, candidate),
            step.filling and step.image in candidate.view.excluded_images,
            candidate.view.excluded_seconds_by_image.get(step.image, 0.0) if step.filling else 0.0,
            candidate.interference_with(step) if step.filling else 0.0,
            candidate.last_failure_at,
            candidate.load_with(step),
        )

    def _plan_gang(self, group, allowed, run_counts) -> list[RunIntent]:
        """Place all members or none: one that waits for others holds capacity and does no work."""
        if len(group.startable_indexes) < len(group.tasks):
            return []
        run = 1 + max(task.runs for task in group.tasks)
        trial = [candidate.copy() for candidate in allowed]
        ranking = _Ranking(self, group, trial, run_counts)
        intents = []
        for task in group.tasks:
            chosen = ranking.best(task)
            if chosen is None:
                break
            intents.append(self._assign(task, run, chosen, run_counts))
            ranking.update(chosen)
        return self._assign_gang(group, allowed, intents)

    @staticmethod
    def _assign_gang(
        group: StepGroup, candidates: list[_Candidate], intents: list[RunIntent]
    ) -> list[RunIntent]:
        """Count the runs that were planned on copies of the candidates, unless some are missing."""
        if len(intents) < len(group.tasks):
            return []
        candidate_by_incarnation = {c.view.incarnation: c for c in candidates}
        for intent in intents:
            candidate_by_incarnation[intent.life.worker_id, intent.life.born_ms].add(group.spec)
        return intents

    def may_run(self, step: StepSpec, candidate: _Candidate, run_count: int) -> bool:
        """Return whether one more run of the step may be planned on the candidate."""
        if not candidate.fits(step):
            return False
        if step.filling and not candidate.may_add_best_effort(step):
            return False
        return not is_at_limit(step, run_count)

    def score(self, step: StepSpec, candidate: _Candidate, run_count: int) -> float:
        """Return the score of the candidate for the step; the lowest one is chosen."""
        record = candidate.view.worker.record
        score = candidate.penalty
        # What long-running runs leave over on many workers holds no large task.
        is_packed = step.lasting and not step.filling
        if is_packed and candidate.fills_up:
            score += candidate.free_share()
        else:
            score += candidate.load_with(step)
        if step.data_rack and step.data_rack != record.rack:
            score += REMOTE_DATA_PENALTY
        if step.filling:
            score += INTERFERENCE_WEIGHT * candidate.interference_with(step)
        if step.target_ms:
            score += self._serving_score(step, candidate)
        if step.lasting:
            score += SAME_STEP_PENALTY * run_count
        if is_packed:
            score += ROOM_FOR_FINITE_PENALTY * candidate.is_kept_whole
        elif candidate.is_kept_for_large and not step.filling:
            score += ROOM_FOR_LARGE_PENALTY * (not is_large_on(step, record))
        return score

    def _serving_score(self, step: StepSpec, candidate: _Candidate) -> float:
        images = candidate.serving_run_count_by_image
        is_same = step.image in images
        score = OTHER_IMAGE_PENALTY * (len(images) - is_same) - SAME_IMAGE_BONUS * is_same
        if candidate.added_utilisation(step.image) > interference_headroom(
            PEAK_BASELINE_UTILISATION
        ):
            score += BESIDE_BEST_EFFORT_PENALTY
        return score

    @staticmethod
    def _assign(task: Task, run: int, chosen: _Candidate, run_counts: Counter) -> RunIntent:
        chosen.add(task.step.spec)
        run_counts[chosen.view.incarnation] += 1
        return RunIntent(task.name, run, WorkerLife(*chosen.view.incarnation))


def _first_for(
    task: Task,
    candidates: list[_Candidate],
    order_by_position: dict[int, tuple],
    refusals: Counter,
) -> int:
    """Return the position of the first worker by that order.

    Those that have refused the task least come first, and one where it failed last comes last.
    """
    if not task.failed_on and not refusals:
        return min(order_by_position, key=order_by_position.get)

    def order(position: int) -> tuple:
        worker_id = candidates[position].view.worker.record.life.worker_id
        is_avoided, *others = order_by_position[position]
        return refusals[worker_id], is_avoided, worker_id == task.failed_on, others

    return min(order_by_position, key=order)


def _scheduling_order(group: StepGroup, wall_ms: int) -> tuple:
    """Return the sort key of a group: priority, lateness, finite work first, then age."""
    job = group.job
    return (
        job.queue.priority,
        lateness_of(group, wall_ms),
        _is_new_long_running(group),
        job.accepted_ms,
        job.job_id,
        group.occurrence,
        group.number,
    )


def _keep_whole_workers(candidates: list[_Candidate], demand: FiniteDemand) -> None:
    """Keep workers without long-running runs for finite ones: as many as those use, largest first.

    Only if some finite tasks need a large part of a worker, since a sum of what is free on each
    would hold none of them; before there is any finite work, it may be large.
    """
    candidates_by_service: dict[str, list[_Candidate]] = {}
    for candidate in candidates:
        service_name = candidate.view.worker.record.service_name
        candidates_by_service.setdefault(service_name, []).append(candidate)
    for service_name, members in candidates_by_service.items():
        total = sum(candidate.view.worker.record.millicores for candidate in members)
        kept = max((1.0 - MAX_LONG_RUNNING_SHARE) * total, demand.peak_millicores(service_name))
        largest = demand.largest_millicores(service_name)
        least = min(candidate.view.worker.record.millicores for candidate in members)
        has_large = largest > LARGE_SHARE * least
        for candidate in members:
            candidate.fills_up = has_large
        whole = [c for c in members if not c.view.worker.long_running.millicores]
        whole.sort(key=lambda candidate: -candidate.view.worker.record.millicores)
        for candidate in whole:
            if kept <= 0:
                break
            candidate.is_kept_whole = has_large or not largest
            candidate.is_kept_for_large = has_large and len(whole) < len(members)
            kept -= candidate.view.worker.record.millicores


def is_limited(step: StepSpec) -> bool:
    """Return whether starts of the step are limited while the leader has no time to spare."""
    return step.filling and not step.lasting


def is_at_limit(step: StepSpec, run_count: int) -> bool:
    """Return whether a worker has as many runs of the step as it may have."""
    return bool(step.max_per_worker) and run_count >= step.max_per_worker


def _runs_at_work(views: list[WorkerView]) -> RunsAtWork:
    idle_seconds_by_run: dict[tuple[str, int], float] = {}
    for view in views:
        # An agent that is gone may not have sent its newest starts.
        if view.unreported_seconds:
            unreported = dict.fromkeys(view.worker.task_by_run, view.unreported_seconds)
            idle_seconds_by_run.update(unreported)
        idle_seconds_by_run.update(view.idle_seconds_by_run)
    answering = frozenset(view.incarnation for view in views if view.is_responsive)
    return RunsAtWork(answering, idle_seconds_by_run)


def _is_new_long_running(group: StepGroup) -> bool:
    return group.spec.lasting and not any(
        group.tasks[index].runs for index in group.startable_indexes
    )


def _seconds_since_acceptance(group: StepGroup, wall_ms: int) -> float:
    """Return for how long a step has been startable at least, whoever led; 0 if that is not known.

    Only for steps that have not started.
    """
    if group.spec.after:
        return 0.0
    job = group.job
    return (wall_ms - max(job.accepted_ms, job.due_ms(group.occurrence))) / 1000


def _long_running_share(group: StepGroup, eligible: list[_Candidate]) -> float:
    """Return the share of the service's processors reserved by long-running runs and this group."""
    total_millicores = sum(c.view.worker.record.millicores for c in eligible)
    requested_millicores = group.spec.millicores * len(group.startable_indexes)
    return (sum(c.long_running_millicores for c in eligible) + requested_millicores) / max(
        1, total_millicores
    )


def run_count_by_incarnation(group: StepGroup, planned: Iterable[RunIntent] = ()) -> Counter:
    """Return how many runs of a step each worker has, with those planned in this pass."""
    run_counts = Counter(
        incarnation for task in group.tasks for incarnation in task.incarnation_by_run.values()
    )
    run_counts.update(incarnation_key(intent.life) for intent in planned)
    return run_counts


def _by_step(ledger: TaskLedger, intents: list[RunIntent]) -> dict[tuple, list[RunIntent]]:
    """Return planned runs by the key of their step."""
    intents_by_step: dict[tuple, list[RunIntent]] = {}
    for intent in intents:
        intents_by_step.setdefault(ledger.find_task(intent.task).step.key, []).append(intent)
    return intents_by_step
