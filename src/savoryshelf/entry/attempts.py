"""The batch attempts of this entry host's workers; does no I/O.

An attempt is known here from the start order, or from the worker's own list
when the worker is adopted, until control has settled its outcome and the
worker has forgotten it.
"""

import base64
import enum

import attrs

from ..wire.generated.ttypes import AttemptKey, AttemptOutcome, OutcomeKind
from .targets import OwnedTarget, ResourceDemand

MAX_RESULT_BYTES = 256 * 1024
"""The ledger keeps results on every control replica, so they must be small."""


class AttemptState(enum.Enum):
    """The state of an attempt as far as this entry host knows."""

    ORDERED = "ordered"
    """Control ordered it; nothing was sent yet."""

    UNCERTAIN = "uncertain"
    """The start was sent, and the worker has not confirmed or refused it."""

    RUNNING = "running"
    ENDED = "ended"


@attrs.define
class Attempt:
    """One attempt on one worker, as its owner under one epoch knows it."""

    job_id: str
    attempt: int
    worker_id: str
    incarnation: str
    epoch: int
    demand: ResourceDemand
    state: AttemptState = AttemptState.ORDERED
    outcome: AttemptOutcome | None = None
    settled: bool = False
    stop_requested: bool = False

    @property
    def attempt_id(self) -> tuple[str, int]:
        """Return job and attempt number as a hashable key."""
        return self.job_id, self.attempt

    @property
    def key(self) -> AttemptKey:
        """Return the key that identifies the attempt to control."""
        return AttemptKey(self.job_id, self.attempt, 0)

    def end(self, kind: OutcomeKind, reason: str, **details) -> None:
        """Record the outcome; later outcomes are ignored."""
        if self.outcome is None:
            self.outcome = AttemptOutcome(
                key=self.key,
                kind=kind,
                reason=reason,
                worker_id=self.worker_id,
                worker_incarnation=self.incarnation,
                epoch=self.epoch,
                **details,
            )
        self.state = AttemptState.ENDED


_KIND_BY_WORKER_STATE = {
    "finished": OutcomeKind.FINISHED,
    "failed": OutcomeKind.FAILED,
    "evicted": OutcomeKind.EVICTED,
    "stopped": OutcomeKind.STOPPED,
    "never_started": OutcomeKind.NOT_RUN,
}


class AttemptTable:
    """All attempts on the workers owned here."""

    def __init__(self):
        self.by_id: dict[tuple[str, int], Attempt] = {}

    def add(self, key: AttemptKey, target: OwnedTarget, demand: ResourceDemand) -> Attempt | None:
        """Add an attempt for a start order; return None if the attempt exists already."""
        attempt_id = (key.job_id, key.attempt)
        existing = self.by_id.get(attempt_id)
        if existing is not None and existing.worker_id == target.worker_id:
            return None
        return self._add(attempt_id, target, demand)

    def _add(
        self, attempt_id: tuple[str, int], target: OwnedTarget, demand: ResourceDemand
    ) -> Attempt:
        incarnation = target.worker.incarnation
        attempt = Attempt(*attempt_id, target.worker_id, incarnation, target.epoch, demand)
        self.by_id[attempt_id] = attempt
        return attempt

    def handle_report(self, target: OwnedTarget, tasks: list[dict]) -> list[dict]:
        """Apply a worker's list of tasks; return the settled ones, which it may forget.

        Also updates the resources that batch attempts use on the target: those
        it runs, and those that were ordered or may be in flight.
        """
        listed = set()
        for task in tasks:
            attempt = self._update_attempt(target, task)
            if attempt is not None:
                listed.add(attempt.attempt_id)
        self._forget_settled(target, listed)
        self._update_batch_demand(target)
        return [
            {"job_id": attempt.job_id, "attempt": attempt.attempt}
            for attempt in self.by_id.values()
            if attempt.settled and attempt.worker_id == target.worker_id
        ]

    def _update_attempt(self, target: OwnedTarget, task: dict) -> Attempt | None:
        """Apply one entry of a worker's list; return None if the attempt is another worker's."""
        attempt_id = (str(task["job_id"]), int(task["attempt"]))
        attempt = self.by_id.get(attempt_id)
        if attempt is None:
            attempt = self._add(attempt_id, target, demand_of_task(task))
        elif attempt.worker_id != target.worker_id:
            return None
        kind = _KIND_BY_WORKER_STATE.get(task["state"])
        if kind is None:
            if attempt.state is not AttemptState.ENDED:
                attempt.state = AttemptState.RUNNING
            return attempt
        result = base64.b64decode(task["result"]) if task.get("result") else None
        if result is not None and len(result) > MAX_RESULT_BYTES:
            attempt.end(
                OutcomeKind.FAILED,
                f"its result has {len(result)} bytes; the maximum is {MAX_RESULT_BYTES}",
            )
            return attempt
        attempt.end(
            kind,
            task.get("reason", ""),
            result=result,
            checkpoint_id=task.get("checkpoint_id"),
            run_ms=int(task.get("run_ms", 0)),
        )
        return attempt

    def _forget_settled(self, target: OwnedTarget, listed: set[tuple[str, int]]) -> None:
        forgotten_ids = [
            attempt.attempt_id
            for attempt in self.by_id.values()
            if attempt.settled
            and attempt.worker_id == target.worker_id
            and attempt.attempt_id not in listed
        ]
        for attempt_id in forgotten_ids:
            del self.by_id[attempt_id]

    def _update_batch_demand(self, target: OwnedTarget) -> None:
        target.batch_by_id = {
            attempt.attempt_id: attempt.demand
            for attempt in self.by_id.values()
            if attempt.worker_id == target.worker_id and attempt.state is not AttemptState.ENDED
        }

    def drop_worker(self, worker_id: str) -> None:
        """Forget the attempts of a worker that is not owned here any more."""
        kept = {k: a for k, a in self.by_id.items() if a.worker_id != worker_id}
        self.by_id = kept

    def outcomes(self) -> list[AttemptOutcome]:
        """Return the outcomes which control has not settled yet."""
        return [
            attempt.outcome
            for attempt in self.by_id.values()
            if attempt.outcome is not None and not attempt.settled
        ]

    def settle(self, key: AttemptKey) -> None:
        """Note that control has settled an attempt."""
        attempt = self.by_id.get((key.job_id, key.attempt))
        if attempt is not None:
            attempt.settled = True

    def attempt_keys(self) -> list[AttemptKey]:
        """Return the keys of all attempts known: control need not order them again."""
        return [attempt.key for attempt in self.by_id.values()]

    def stopping_keys(self) -> list[AttemptKey]:
        """Return the keys of the attempts for which this host has received a stop order."""
        return [attempt.key for attempt in self.by_id.values() if attempt.stop_requested]


def demand_of_task(task: dict) -> ResourceDemand:
    """Return the resources that a worker reports for one of its tasks."""
    return ResourceDemand(
        float(task.get("cores", 0)),
        float(task.get("memory_mb", 0)),
        int(task.get("accelerators", 0)),
    )
