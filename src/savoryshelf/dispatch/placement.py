"""Which task is started next, and where: decisions only, no network and no clock."""

from collections import Counter

import attrs

from ..tasks.job import LifeKey, StepGroup, Task
from ..tasks.ledger import TaskLedger
from ..tasks.worker import Room, Worker
from ..wire.generated.ttypes import RunIntent, StepSpec, WorkerLife
from .health import FleetHealth

FAR_DATA_PENALTY = 100.0
"""A task far from its data takes a multiple of its time: only if no other worker has room."""

BESIDE_FILLING_PENALTY = 50.0
"""A filling run disturbs serving ones: these go beside it only if no other worker has room."""

SHARES_WITH_SERVING = 20.0
"""Serving runs are packed onto few workers, so that filling ones have the others."""

FULLEST_FILLING = 1.0
"""Share of a worker's processors up to which filling runs are placed.

Beyond it they would only slow each other down; waiting lets the first end sooner.
"""

FAILED_HERE_PENALTY = 200.0
"""A task that failed on a worker goes back there last: attempts are few."""

RECENT_FAILURE_PENALTY = 5.0
"""For each failure since the last success there."""

OTHER_REGION_PENALTY = 0.2
"""In shares of a worker's load: an order to the other region arrives a crossing later."""

SAME_STEP_PENALTY = 0.5
"""For each lasting task of the same step there: one lost worker should not end several."""


@attrs.frozen
class WorkerView:
    """A worker as the leader sees it now."""

    worker: Worker
    is_answering: bool
    row_by_run: dict

    @property
    def life(self) -> LifeKey:
        """Return which life of the worker this is."""
        return self.worker.key


@attrs.define
class _Candidate:
    """A worker with what this pass has placed on it already."""

    view: WorkerView
    added: Room = attrs.field(factory=Room)
    added_filling: int = 0
    serves: bool = False
    fills: bool = False
    penalty: float = 0.0

    def fits(self, step: StepSpec) -> bool:
        record, used, added = self.view.worker.record, self.view.worker.used, self.added
        needed = 0 if step.filling else step.millicores
        return (
            used.millicores + added.millicores + needed <= record.millicores
            and used.memory_mb + added.memory_mb + step.memory_mb <= record.memory_mb
            and used.accelerators + added.accelerators + step.accelerators <= record.accelerators
        )

    def load_with(self, step: StepSpec) -> float:
        """Return the share of the processors asked for once one more run is here."""
        worker = self.view.worker
        asked = worker.used.millicores + self.added.millicores
        asked += worker.filling_millicores + self.added_filling + step.millicores
        return asked / max(1, worker.record.millicores)

    def bears_filling(self, step: StepSpec) -> bool:
        """Return whether one more filling run would work here and disturb nobody who serves."""
        return not self.serves and self.load_with(step) <= FULLEST_FILLING

    def add(self, step: StepSpec) -> None:
        self.added.add(step, 1)
        if step.filling:
            self.added_filling += step.millicores
            self.fills = True
        if step.target_ms:
            self.serves = True


class Placement:
    """Plans starts for one leader."""

    def __init__(self, home_region: str = "", region_by_domain: dict[str, str] | None = None):
        self._home_region = home_region
        self._region_by_domain = region_by_domain or {}

    def plan(
        self,
        ledger: TaskLedger,
        views: list[WorkerView],
        wall_ms: int,
        health: FleetHealth,
        now: float,
    ) -> list[RunIntent]:
        """Return the runs to intend now, in the order of their claim."""
        candidates = [self._candidate(view, health) for view in views if view.is_answering]
        candidates = [
            c
            for c in candidates
            if c.view.worker.takes_work
            and health.takes_work(c.view.worker.record.life.worker_id, now)
        ]
        intents: list[RunIntent] = []
        for group in sorted(ledger.startable_by_key.values(), key=_claim):
            if group.job.due_ms(group.occurrence) > wall_ms:
                continue
            intents += self._plan_group(group, candidates)
        return intents

    def _candidate(self, view: WorkerView, health: FleetHealth) -> _Candidate:
        record = view.worker.record
        penalty = RECENT_FAILURE_PENALTY * health.failures_in_row(record.life.worker_id)
        region = self._region_by_domain.get(record.failure_domain, "")
        if region != self._home_region:
            penalty += OTHER_REGION_PENALTY
        steps = [task.step.spec for task in view.worker.task_by_run.values()]
        return _Candidate(
            view,
            serves=any(step.target_ms for step in steps),
            fills=any(step.filling for step in steps),
            penalty=penalty,
        )

    def _plan_group(self, group: StepGroup, candidates: list[_Candidate]) -> list[RunIntent]:
        step = group.spec
        allowed = [c for c in candidates if _is_allowed(c, group)]
        runs_here = _runs_by_life(group)
        if step.gang:
            return self._plan_gang(group, allowed, runs_here)
        intents = []
        for index in sorted(group.startable):
            task = group.tasks[index]
            chosen = self._choose(task, allowed, runs_here)
            if chosen is None:
                break
            intents.append(self._take(task, task.runs + 1, chosen, runs_here))
        return intents

    def _plan_gang(self, group, allowed, runs_here) -> list[RunIntent]:
        """Place all members or none: they work only together, and wait at a cost."""
        if len(group.startable) < len(group.tasks):
            return []
        run = 1 + max(task.runs for task in group.tasks)
        saved = [(c, attrs.evolve(c.added), c.added_filling) for c in allowed]
        intents = []
        for task in group.tasks:
            chosen = self._choose(task, allowed, runs_here)
            if chosen is None:
                for candidate, added, filling in saved:
                    candidate.added, candidate.added_filling = added, filling
                return []
            intents.append(self._take(task, run, chosen, runs_here))
        return intents

    def _choose(self, task: Task, allowed, runs_here) -> _Candidate | None:
        step = task.step.spec
        best, best_score = None, 0.0
        for candidate in allowed:
            if not candidate.fits(step) or (step.filling and not candidate.bears_filling(step)):
                continue
            here = runs_here[candidate.view.life]
            if step.max_per_worker and here >= step.max_per_worker:
                continue
            score = self._score(task, candidate, here)
            if best is None or score < best_score:
                best, best_score = candidate, score
        return best

    def _score(self, task: Task, candidate: _Candidate, here: int) -> float:
        step, record = task.step.spec, candidate.view.worker.record
        score = candidate.penalty + candidate.load_with(step)
        if step.data_rack and step.data_rack != record.rack:
            score += FAR_DATA_PENALTY
        if task.failed_on == record.life.worker_id:
            score += FAILED_HERE_PENALTY
        if step.target_ms:
            score += BESIDE_FILLING_PENALTY * candidate.fills
            score -= SHARES_WITH_SERVING * candidate.serves + 2 * candidate.load_with(step)
        if step.lasting:
            score += SAME_STEP_PENALTY * here
        return score

    @staticmethod
    def _take(task: Task, run: int, chosen: _Candidate, runs_here: Counter) -> RunIntent:
        chosen.add(task.step.spec)
        runs_here[chosen.view.life] += 1
        return RunIntent(task.name, run, WorkerLife(*chosen.view.life))


def _claim(group: StepGroup) -> tuple:
    """Return the order of groups: priority, then who came first."""
    job = group.job
    return job.queue.priority, job.accepted_ms, job.job_id, group.occurrence, group.number


def _is_allowed(candidate: _Candidate, group: StepGroup) -> bool:
    record, step = candidate.view.worker.record, group.spec
    if record.service_name != group.job.queue.service_name:
        return False
    return not step.required_label or step.required_label in record.labels


def _runs_by_life(group: StepGroup) -> Counter:
    return Counter(life for task in group.tasks for life in task.life_by_run.values())
