"""Executes start and stop orders on owned workers and collects the outcomes of attempts."""

import random

import eventlet

from ..clock import Clock
from ..leases import ENTRY_LEASE_SECONDS
from ..observability import metrics
from ..observability.logs import log_event, request_action
from ..wire.generated.ttypes import (
    OutcomeKind,
    OwnedWorker,
    StartOrder,
    StopOrder,
    WorkerNote,
)
from .attempts import Attempt, AttemptState, AttemptTable, demand_of_task
from .state import EntryState
from .targets import AbandonedRequest, OwnedTarget, ResourceDemand
from .worker_client import WorkerClient, WorkerRefused, WorkerUnreachable, WorkerUnresponsive

RETRY_SECONDS = 0.5


class BatchDispatch:
    """Executes batch orders on owned workers, adopts workers and applies their reports."""

    def __init__(
        self, state: EntryState, workers: WorkerClient, clock: Clock, own_url: str, wake_queued
    ):
        self._state = state
        self._workers = workers
        self._clock = clock
        self._own_url = own_url
        self._wake_queued = wake_queued
        self.attempts = AttemptTable()
        self.wake_outcomes = lambda: None
        """Wakes the loop that reports outcomes to control; set by OutcomeLoop."""

    # ---------------------------------------------------------------- ownership

    def update_ownership(self, owned: list[OwnedWorker]) -> None:
        """Replace the set of owned workers; adopt the new ones."""
        previous_ids = set(self._state.targets.by_id)
        lease_s = self._task_lease_s
        to_adopt = self._state.targets.replace(owned, self._clock.monotonic(), lease_s)
        for worker_id in previous_ids - set(self._state.targets.by_id):
            self.attempts.drop_worker(worker_id)
        for target in to_adopt:
            self.attempts.drop_worker(target.worker_id)
            eventlet.spawn_n(self._adopt_until_done, target)
        self._workers.close_unused({t.worker.url for t in self._state.targets.by_id.values()})

    @property
    def _task_lease_s(self) -> float:
        declarations = self._state.declarations
        return declarations.limits.task_lease_s if declarations else 10.0

    def _adopt_until_done(self, target: OwnedTarget) -> None:
        while self._is_owned(target) and not target.adopted:
            if self._state.lease.is_valid(self._clock.monotonic()):
                try:
                    self._adopt(target)
                    return
                except (WorkerRefused, WorkerUnresponsive, WorkerUnreachable) as error:
                    metrics.RETRIES.labels("adoption").inc()
                    log_event("entry:adoption_failed", worker=target.worker_id, error=str(error))
            self._clock.sleep(RETRY_SECONDS * random.uniform(0.5, 1.5))

    def _adopt(self, target: OwnedTarget) -> None:
        interval = self._state.report_interval_s
        adoption = self._workers.adopt(target, self._own_url, self._task_lease_s, interval)
        if adoption["incarnation"] != target.worker.incarnation:
            # The worker has restarted and control does not know yet.  This epoch
            # belongs to the old incarnation; the next list of owned workers replaces it.
            raise WorkerRefused(target.worker_id, "incarnation")
        now = self._clock.monotonic()
        for running in adoption["critical"]:
            abandoned = AbandonedRequest(demand_of_task(running), now)
            target.abandoned_by_id[running["request_id"]] = abandoned
        self.attempts.handle_report(target, adoption["tasks"])
        target.last_report_at = now
        target.adopted = True
        self.wake_outcomes()
        self._wake_queued()

    def _is_owned(self, target: OwnedTarget) -> bool:
        return self._state.targets.current(target.worker_id, target.epoch) is target

    # ------------------------------------------------------------------ reports

    def handle_report(self, worker_id: str, epoch: int, report: dict) -> dict | None:
        """Apply an owned worker's report; None if this host may no longer own the worker."""
        target = self._state.targets.current(worker_id, epoch)
        now = self._clock.monotonic()
        if target is None or not target.adopted or not self._state.lease.is_valid(now):
            return None
        if report["incarnation"] != target.worker.incarnation:
            return None
        lease_s = self._task_lease_s
        target.record_report(now, {str(each) for each in report["critical"]})
        target.renew_lease(now, lease_s)
        target.leaving = target.leaving or bool(report.get("leaving"))
        target.slowdown = float(report.get("slowdown", 1.0))
        acknowledged = self.attempts.handle_report(target, report["tasks"])
        self.wake_outcomes()
        self._wake_queued()
        return {
            "acknowledged": acknowledged,
            "lease_s": lease_s,
            "report_interval_s": self._state.report_interval_s,
        }

    def notes(self) -> list[WorkerNote]:
        """Return this host's view of each of its workers, for control."""
        now = self._clock.monotonic()
        declarations = self._state.declarations
        services = declarations.services if declarations else {}
        target_s_by_service = {name: each.target_ms / 1000 for name, each in services.items()}
        return [
            WorkerNote(
                worker_id=target.worker_id,
                epoch=target.epoch,
                adopted=target.adopted,
                leaving=target.leaving,
                critical_in_flight=len(target.critical_by_id),
                batch_running=len(target.batch_by_id),
                slowdown=target.slowdown,
                quarantined=target.quarantine.is_quarantined(now),
                lease_lapsed=target.lease_has_expired(now, ENTRY_LEASE_SECONDS),
                incarnation=target.worker.incarnation,
                pressure_tenths=round(target.latency_ratio(target_s_by_service, now) * 10),
            )
            for target in self._state.targets.by_id.values()
        ]

    # ------------------------------------------------------------------- orders

    def handle_start_orders(self, orders: list[StartOrder]) -> None:
        """Start the ordered attempts; an attempt that is known already is not started again."""
        for order in orders:
            target = self._state.targets.by_id.get(order.worker_id)
            if target is None or not target.adopted or not target.has_renewed:
                continue  # Not acknowledged, so control orders it again.
            if order.worker_incarnation != target.worker.incarnation:
                continue
            demand = ResourceDemand(order.cores, order.memory_mb, order.accelerators)
            attempt = self.attempts.add(order.key, target, demand)
            if attempt is not None:
                eventlet.spawn_n(self._start, order, attempt, target)

    def _start(self, order: StartOrder, attempt: Attempt, target: OwnedTarget) -> None:
        with request_action(
            "entry:start_attempt",
            order.trace_id,
            job_id=attempt.job_id,
            attempt=attempt.attempt,
            worker=target.worker_id,
        ) as action:
            if not self._reserve(attempt, target):
                attempt.end(OutcomeKind.NOT_RUN, "no room on the worker")
            else:
                self._send(order, attempt, target)
            action.add_success_fields(state=attempt.state.value)
        if attempt.state is AttemptState.ENDED:
            target.batch_by_id.pop(attempt.attempt_id, None)
            self._wake_queued()
            self.wake_outcomes()

    def _reserve(self, attempt: Attempt, target: OwnedTarget) -> bool:
        """Reserve capacity for the attempt if it fits and this host still owns the worker.

        No green thread switch happens between the check of the lease and the
        reservation, and the request is sent right after.  A process pause in
        between is covered by the lease's safety margin and by the worker, which
        refuses a stale epoch.
        """
        declarations = self._state.declarations
        now = self._clock.monotonic()
        if declarations is None or not self._state.lease.is_valid(now):
            return False
        if not self._is_owned(target):
            return False
        if not target.is_schedulable(now, self._state.report_interval_s):
            return False
        if not target.fits_batch(attempt.demand, declarations.limits.critical_reserve_slots):
            return False
        target.batch_by_id[attempt.attempt_id] = attempt.demand
        return True

    def _send(self, order: StartOrder, attempt: Attempt, target: OwnedTarget) -> None:
        attempt.state = AttemptState.UNCERTAIN
        try:
            self._workers.start_attempt(target, order)
            self._mark_running(attempt)
        except WorkerRefused as error:
            metrics.RETRIES.labels(error.reason).inc()
            attempt.end(OutcomeKind.NOT_RUN, error.reason)
        except WorkerUnreachable:
            metrics.RETRIES.labels("unreachable").inc()
            attempt.end(OutcomeKind.NOT_RUN, "worker unreachable")
        except WorkerUnresponsive:
            self._settle_uncertain(attempt, target)

    @staticmethod
    def _mark_running(attempt: Attempt) -> None:
        if attempt.state is AttemptState.UNCERTAIN:
            attempt.state = AttemptState.RUNNING

    def _settle_uncertain(self, attempt: Attempt, target: OwnedTarget) -> None:
        """Ask the worker until it says whether it has the attempt; never resend the start.

        A worker that does not know the attempt refuses it from then on, so a
        delayed start request cannot start it later.
        """
        while attempt.state is AttemptState.UNCERTAIN and self._is_owned(target):
            metrics.RETRIES.labels("uncertain_start").inc()
            try:
                if self._workers.settle_attempt(target, attempt.job_id, attempt.attempt):
                    self._mark_running(attempt)
                else:
                    attempt.end(OutcomeKind.NOT_RUN, "never reached the worker")
            except (WorkerRefused, WorkerUnresponsive, WorkerUnreachable):
                self._clock.sleep(RETRY_SECONDS * random.uniform(0.5, 1.5))

    def handle_stop_orders(self, orders: list[StopOrder]) -> None:
        """Stop the ordered attempts; their outcomes arrive with the worker's reports."""
        for order in orders:
            attempt = self.attempts.by_id.get((order.key.job_id, order.key.attempt))
            if attempt is not None and not attempt.stop_requested:
                attempt.stop_requested = True
                eventlet.spawn_n(self._stop, order, attempt)

    def _stop(self, order: StopOrder, attempt: Attempt) -> None:
        while attempt.state is not AttemptState.ENDED:
            target = self._state.targets.by_id.get(order.worker_id)
            if target is None:
                return
            if attempt.state is AttemptState.RUNNING:
                try:
                    self._workers.stop_attempt(target, order)
                    return
                except (WorkerRefused, WorkerUnresponsive, WorkerUnreachable) as error:
                    metrics.RETRIES.labels("stop").inc()
                    log_event("entry:stop_failed", worker=order.worker_id, error=str(error))
            self._clock.sleep(RETRY_SECONDS * random.uniform(0.5, 1.5))
