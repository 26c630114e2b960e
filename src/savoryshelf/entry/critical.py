"""The critical path: admission, routing, dispatch, retry, and the whole answer back.

This path needs no consensus.  The host uses the capacity of the workers it
owns under its lease.  When none is free, it forwards the request once to an
entry host with free slots; when there is none, the request waits in a bounded
admission queue until its deadline.
"""

import random
import secrets
import time
import traceback

import attrs
import eventlet
from eventlet.queue import Empty, Queue

from ..clock import Clock
from ..configuration.declarations import Service
from ..errors import Certainty, PeerUnreachable, RequestRefused
from ..observability import metrics
from ..observability.logs import log_event, request_action
from ..scheduling.quarantine import may_quarantine
from ..wire.generated import EntryService, ttypes
from ..wire.peers import PeerPool
from .admission_queue import AdmissionQueue
from .budget import RetryBudget
from .routing import POLICIES
from .state import EntryState
from .targets import OwnedTarget, ResourceDemand
from .worker_client import (
    WorkerClient,
    WorkerRefused,
    WorkerResponse,
    WorkerUnreachable,
    WorkerUnresponsive,
)

SERVER_ERROR_STATUS = 500
MIN_REMAINING_SECONDS = 0.005
"""Minimum time to the deadline for a dispatch; with less, no answer could return in time."""

ATTEMPT_GRACE_SECONDS = 0.5
"""How long past the deadline to wait for an attempt's own timeout to fire."""

PEER_POLL_SECONDS = 0.25
"""How often a queued request checks whether another entry host has free slots."""


@attrs.define
class CriticalCall:
    """One critical request, with its deadline and its attempts so far."""

    service_name: str
    service: Service
    team: str
    content_type: str
    body: bytes
    deadline: float
    trace_id: str
    may_spill: bool = True
    was_spilled: bool = False
    """Whether another entry host forwarded it here."""

    request_id: str = attrs.field(factory=lambda: secrets.token_hex(8))
    attempts: int = 0
    attempted_worker_ids: set[str] = attrs.field(factory=set)
    failed_worker_ids: set[str] = attrs.field(factory=set)
    outcome_is_unknown: bool = False
    last_failure: "_Failure | None" = None
    waiting_since: float | None = None
    """When it first had to wait for capacity on this host, in monotonic seconds."""

    @property
    def demand(self) -> ResourceDemand:
        """Return the resources it needs on a worker."""
        return ResourceDemand(self.service.cores, self.service.memory_mb)

    def remaining_seconds(self, now: float) -> float:
        """Return the seconds until its deadline."""
        return self.deadline - now


@attrs.frozen
class Answer:
    """A complete answer and the worker that gave it."""

    status: int
    content_type: str
    body: bytes
    worker_id: str
    attempts: int


@attrs.frozen
class _Failure:
    """How one attempt ended without an answer."""

    worker_id: str
    reason: str
    detail: str
    outcome_is_unknown: bool


class CriticalPath:
    """Serves critical requests of this entry host."""

    def __init__(
        self, state: EntryState, workers: WorkerClient, clock: Clock, policy: str, cluster_key: str
    ):
        self._state = state
        self._workers = workers
        self._clock = clock
        self._choose = POLICIES[policy]
        self._cluster_key = cluster_key
        self._rng = random.Random()
        self._admission_queue = AdmissionQueue()
        self._budget = RetryBudget(0.1)
        self._dispatch_number = 0
        self._pool_by_address: dict[str, PeerPool] = {}

    def make_call(
        self,
        service_name: str,
        team: str,
        content_type: str,
        body: bytes,
        timeout_ms: int,
        trace: str,
    ) -> CriticalCall:
        """Return the call for a caller's request; ``timeout_ms`` 0 means the service's own."""
        declarations = self._state.require_declarations(self._clock.monotonic())
        service = declarations.services.get(service_name)
        if service is None:
            raise RequestRefused("no_such_service", f"no service {service_name!r} is declared", 404)
        self._budget.ratio = declarations.limits.retry_budget
        timeout_s = min(timeout_ms or service.timeout_ms, service.timeout_ms) / 1000
        deadline = self._clock.monotonic() + timeout_s
        return CriticalCall(service_name, service, team, content_type, body, deadline, trace)

    def serve(self, call: CriticalCall) -> Answer:
        """Serve a call and return the complete answer; raises RequestRefused."""
        started = time.perf_counter()
        self._budget.record_first_attempt()
        while True:
            target = self._admit(call)
            answer = self._spill(call) if target is None else self._dispatch(call, target)
            if answer is not None:
                metrics.REQUESTS.labels(call.service_name).inc()
                metrics.LATENCIES.record(call.service_name, time.perf_counter() - started)
                return answer

    def wake_queued(self) -> None:
        """Wake a queued request after capacity was freed by something other than an answer."""
        self._admission_queue.wake_one()

    # ---------------------------------------------------------------- admission

    def _admit(self, call: CriticalCall) -> OwnedTarget | None:
        """Return a worker with capacity, or None to spill; raises RequestRefused."""
        while True:
            now = self._clock.monotonic()
            declarations = self._state.require_declarations(now)
            if call.remaining_seconds(now) < MIN_REMAINING_SECONDS:
                raise self._refusal(
                    call, "too_late", "the deadline passed before a worker had capacity"
                )
            candidates = self._find_candidates(call, now)
            if candidates:
                return self._choose(call.service_name, candidates, self._rng, now)
            if call.may_spill and self._state.peer_with_free_slots() is not None:
                return None
            early_probes = self._find_early_probes(call, now)
            if early_probes:
                target = self._choose(call.service_name, early_probes, self._rng, now)
                target.quarantine.begin_probe(now)
                return target
            if call.was_spilled and not self._find_sound(call, now):
                # The host that it came from may have another worker for it.
                detail = f"no worker of {self._state.entry_id} is in use that could run it"
                raise self._refusal(call, "no_suitable_worker", detail)
            if len(self._admission_queue) >= declarations.limits.max_waiting:
                raise self._refusal(
                    call,
                    "overloaded",
                    f"{len(self._admission_queue)} requests wait for capacity; "
                    f"the maximum is {declarations.limits.max_waiting}",
                )
            if call.waiting_since is None:
                call.waiting_since = now
            self._admission_queue.wait(
                call.request_id, min(call.remaining_seconds(now), PEER_POLL_SECONDS)
            )

    def _find_candidates(self, call: CriticalCall, now: float) -> list[OwnedTarget]:
        suitable = self._find_suitable(call, now)
        usable = [t for t in suitable if t.fits(call.demand)]
        quarantined = [t for t in suitable if t.quarantine.is_quarantined(now)]
        if may_quarantine(len(quarantined) - 1, len(suitable)):
            usable = [t for t in usable if not t.quarantine.is_quarantined(now)]
        untried = [t for t in usable if t.worker_id not in call.failed_worker_ids]
        return untried or usable

    def _find_early_probes(self, call: CriticalCall, now: float) -> list[OwnedTarget]:
        """Return the quarantined workers that the request may probe, since no other has room.

        Workers that are merely busy may have room soon, so the request first waits for them.
        """
        suitable = self._find_suitable(call, now)
        may_wait = bool(self._find_sound(call, now))
        has_waited = (
            call.waiting_since is not None and now - call.waiting_since >= PEER_POLL_SECONDS
        )
        if may_wait and not has_waited:
            return []
        probes = [
            target
            for target in suitable
            if target.fits(call.demand)
            and target.quarantine.is_quarantined(now)
            and target.quarantine.may_probe_early(now)
        ]
        untried = [t for t in probes if t.worker_id not in call.failed_worker_ids]
        # A worker that failed the request gets it again only if no other could run it.
        return untried if may_wait else untried or probes

    def _find_suitable(self, call: CriticalCall, now: float) -> list[OwnedTarget]:
        """Return the workers that can run the request, now or once they have room."""
        interval = self._state.report_interval_s
        return [
            target
            for target in self._state.targets.by_id.values()
            if target.is_schedulable(now, interval) and target.could_ever_fit(call.demand)
        ]

    def _find_sound(self, call: CriticalCall, now: float) -> list[OwnedTarget]:
        """Return those of the suitable workers that are not quarantined."""
        suitable = self._find_suitable(call, now)
        return [target for target in suitable if not target.quarantine.is_quarantined(now)]

    def _refusal(self, call: CriticalCall, reason: str, detail: str) -> RequestRefused:
        certainty = Certainty.UNKNOWN if call.outcome_is_unknown else Certainty.NOT_RUN
        return RequestRefused(reason, detail, 503, certainty)

    # ----------------------------------------------------------------- dispatch

    def _dispatch(self, call: CriticalCall, target: OwnedTarget) -> Answer | None:
        """Return the first answer, or None to retry; raises RequestRefused.

        A hung worker must not use up the deadline, and a slow one should not be
        abandoned.  So after a while a hedged attempt goes to a second worker,
        within the retry budget, and the first answer wins.
        """
        results: Queue = Queue()
        self._start_attempt(call, target, results)
        in_flight, may_hedge = 1, call.service.max_attempts > 1
        while in_flight:
            try:
                result = results.get(timeout=self._attempt_wait_seconds(call, may_hedge))
            except Empty:
                if not may_hedge:
                    break
                may_hedge = False
                in_flight += self._hedge(call, results)
                continue
            in_flight -= 1
            if isinstance(result, Answer):
                return result
            self._record_failure(call, result)
        return self._retry_or_refuse(call)

    def _attempt_wait_seconds(self, call: CriticalCall, may_hedge: bool) -> float:
        """Return the seconds to wait for an attempt before hedging or giving up."""
        remaining = call.remaining_seconds(self._clock.monotonic())
        if not may_hedge:
            return max(0.0, remaining) + ATTEMPT_GRACE_SECONDS
        return min(max(0.0, remaining), max(2 * call.service.target_ms / 1000, remaining / 3))

    def _hedge(self, call: CriticalCall, results: Queue) -> int:
        """Start a hedged attempt if capacity and budget allow; return the attempts started."""
        attempted = call.attempted_worker_ids
        candidates = [
            target
            for target in self._find_candidates(call, self._clock.monotonic())
            if target.worker_id not in attempted
        ]
        if not candidates or not self._budget.try_take():
            return 0
        metrics.RETRIES.labels("hedged").inc()
        now = self._clock.monotonic()
        target = self._choose(call.service_name, candidates, self._rng, now)
        self._start_attempt(call, target, results)
        return 1

    def _start_attempt(self, call: CriticalCall, target: OwnedTarget, results: Queue) -> None:
        """Reserve capacity for one attempt, then run it in a green thread."""
        call.attempts += 1
        call.attempted_worker_ids.add(target.worker_id)
        self._dispatch_number += 1
        target.last_dispatch_number = self._dispatch_number
        attempt_id = f"{call.request_id}-{call.attempts}"
        target.reserve(attempt_id, call.demand)
        target.quarantine.begin_probe_if_due(self._clock.monotonic())
        eventlet.spawn_n(self._run_attempt, call, target, attempt_id, results)

    def _run_attempt(
        self, call: CriticalCall, target: OwnedTarget, attempt_id: str, results: Queue
    ) -> None:
        sent_at = self._clock.monotonic()
        try:
            with target.reservation(attempt_id):
                answer = self._send(call, target, attempt_id, sent_at)
            results.put(self._classify_response(call, target, answer, sent_at))
        except WorkerRefused as error:
            target.quarantine.record_rejection()
            results.put(
                _Failure(target.worker_id, error.reason, str(error), outcome_is_unknown=False)
            )
        except WorkerUnreachable as error:
            target.quarantine.record_failure(self._clock.monotonic())
            results.put(
                _Failure(target.worker_id, "unreachable", str(error), outcome_is_unknown=False)
            )
        except WorkerUnresponsive as error:
            target.quarantine.record_failure(self._clock.monotonic())
            results.put(
                _Failure(target.worker_id, "no_answer", str(error), outcome_is_unknown=True)
            )
        except Exception as error:
            # Says nothing about the worker, but a probe without an outcome would never end.
            log_event("entry:attempt_fault", error=repr(error), traceback=traceback.format_exc())
            target.quarantine.record_rejection()
            results.put(
                _Failure(target.worker_id, "no_answer", repr(error), outcome_is_unknown=True)
            )
        finally:
            self._admission_queue.wake_one()

    def _send(
        self, call: CriticalCall, target: OwnedTarget, attempt_id: str, sent_at: float
    ) -> WorkerResponse:
        try:
            return self._workers.run_critical(
                target,
                call.service_name,
                call.demand,
                attempt_id,
                call.content_type,
                call.body,
                max(call.remaining_seconds(sent_at), MIN_REMAINING_SECONDS),
                call.trace_id,
            )
        except (WorkerRefused, WorkerUnreachable):
            raise
        except Exception:
            target.abandon(attempt_id, self._clock.monotonic())
            raise

    def _classify_response(
        self, call: CriticalCall, target: OwnedTarget, answer: WorkerResponse, sent_at: float
    ) -> "Answer | _Failure":
        now = self._clock.monotonic()
        if answer.status >= SERVER_ERROR_STATUS:
            target.quarantine.record_failure(now)
            detail = f"{target.worker_id} answered {answer.status}"
            return _Failure(target.worker_id, "worker_failed", detail, outcome_is_unknown=True)
        target.record_response(call.service_name, now - sent_at, now)
        return Answer(
            answer.status, answer.content_type, answer.body, target.worker_id, call.attempts
        )

    @staticmethod
    def _record_failure(call: CriticalCall, failure: "_Failure") -> None:
        call.failed_worker_ids.add(failure.worker_id)
        call.outcome_is_unknown = call.outcome_is_unknown or failure.outcome_is_unknown
        call.last_failure = failure

    def _retry_or_refuse(self, call: CriticalCall) -> None:
        """Return if the request may be retried; raises RequestRefused otherwise.

        A request that did not run is retried up to its number of attempts.  One
        that may have run is safe to repeat, but only within the retry budget.
        """
        failure = call.last_failure
        if failure is None:
            raise RequestRefused("no_answer", "no attempt ended in time", 502, Certainty.UNKNOWN)
        if not failure.outcome_is_unknown:
            if call.attempts >= call.service.max_attempts + 1:
                detail = f"the last attempt failed: {failure.reason}"
                raise self._refusal(call, "workers_refused", detail)
        elif call.attempts >= call.service.max_attempts:
            raise RequestRefused(failure.reason, failure.detail, 502, Certainty.UNKNOWN)
        elif not self._budget.try_take():
            raise RequestRefused("retry_budget_spent", failure.detail, 502, Certainty.UNKNOWN)
        metrics.RETRIES.labels(failure.reason).inc()

    # -------------------------------------------------------------------- spill

    def _spill(self, call: CriticalCall) -> Answer | None:
        """Forward the request to an entry host with free slots; None to continue here."""
        call.may_spill = False
        peer = self._state.peer_with_free_slots()
        if peer is None:
            return None
        peer.free_slots -= 1
        remaining = call.remaining_seconds(self._clock.monotonic())
        request = ttypes.CriticalRequest(
            call.service_name,
            call.team,
            call.content_type,
            call.body,
            int(remaining * 1000),
            call.request_id,
            call.trace_id,
        )
        pool = self._pool_by_address.get(peer.address)
        if pool is None:
            pool = PeerPool(EntryService, peer.address, self._cluster_key, "critical")
            self._pool_by_address[peer.address] = pool
        metrics.RETRIES.labels("spilled").inc()
        timeout = max(remaining, MIN_REMAINING_SECONDS)
        try:
            answer = pool.call("serve", request, timeout=timeout, total_timeout=timeout)
        except ttypes.Refused:
            return None
        except ttypes.Unavailable as error:
            call.outcome_is_unknown = call.outcome_is_unknown or error.outcome_unknown
            return None
        except PeerUnreachable as error:
            call.outcome_is_unknown = call.outcome_is_unknown or error.sent
            return None
        return Answer(
            answer.status, answer.content_type, answer.body, answer.worker_id, answer.attempts
        )

    def serve_spilled(self, request: ttypes.CriticalRequest) -> ttypes.CriticalAnswer:
        """Serve a request that another entry host forwarded; it is not forwarded again."""
        try:
            call = self.make_call(
                request.service_name,
                request.team,
                request.content_type,
                request.body,
                request.timeout_ms,
                request.trace_id,
            )
            call.may_spill = False
            call.was_spilled = True
            with request_action("entry:spilled", request.trace_id, service=call.service_name):
                answer = self.serve(call)
        except RequestRefused as error:
            if error.certainty is Certainty.UNKNOWN:
                raise ttypes.Unavailable(str(error), True) from None
            raise ttypes.Refused(error.reason, error.detail) from None
        return ttypes.CriticalAnswer(
            answer.status, answer.content_type, answer.body, answer.worker_id, answer.attempts
        )
