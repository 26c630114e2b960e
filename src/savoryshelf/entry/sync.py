"""Syncs with control: renews the lease, applies configuration and orders, reports outcomes."""

import random

from eventlet.event import Event

from ..clock import Clock
from ..errors import ControlUnavailable
from ..observability import metrics
from ..observability.logs import log_event
from ..wire.generated import ttypes
from ..wire.generated.ttypes import SyncReply, SyncRequest
from .batch import BatchDispatch
from .control_client import ControlClient
from .state import EntryState
from .sync_delta import SyncDelta

LONG_POLL_SECONDS = 1.0
"""How long control may hold a sync open while nothing changes (long poll)."""

SYNC_TIMEOUT_SECONDS = 3.0
SYNC_RETRY_SECONDS = 1.0
MIN_SYNC_INTERVAL_SECONDS = 0.1
OUTCOME_BATCH_SECONDS = 0.03


class SyncLoop:
    """Syncs this entry host with control periodically."""

    def __init__(
        self,
        state: EntryState,
        batch: BatchDispatch,
        control: ControlClient,
        clock: Clock,
        addresses: tuple[str, str],
        failure_domain: str,
    ):
        self._state = state
        self._batch = batch
        self._control = control
        self._clock = clock
        self._address, self._http_url = addresses
        self._failure_domain = failure_domain
        self._assignment_version = -1
        self._delta = SyncDelta()

    def run(self) -> None:
        """Sync until the process ends."""
        while not self._state.has_left:
            try:
                self._sync(LONG_POLL_SECONDS)
            except (ControlUnavailable, ttypes.Unauthenticated) as error:
                log_event("entry:no_control", error=str(error))
            self._clock.sleep(MIN_SYNC_INTERVAL_SECONDS * random.uniform(0.5, 1.5))

    def leave(self) -> None:
        """Release every worker; control reassigns them at once."""
        self._state.has_left = True
        self._state.lease.release()
        request = self._request(0.0)
        request.leaving = True
        try:
            self._control.call("sync", request, retry_seconds=SYNC_RETRY_SECONDS)
        except ControlUnavailable as error:
            # Control reassigns the workers once the lease has expired.
            log_event("entry:leave_unacknowledged", error=str(error))

    def _sync(self, wait_seconds: float) -> None:
        request = self._request(wait_seconds)
        requested_at = self._clock.monotonic()
        reply = self._control.call(
            "sync", request, retry_seconds=SYNC_RETRY_SECONDS, timeout=SYNC_TIMEOUT_SECONDS
        )
        self._apply_reply(reply, request, requested_at)

    def _request(self, wait_seconds: float) -> SyncRequest:
        state, attempts, delta = self._state, self._batch.attempts, self._delta
        return SyncRequest(
            entry_id=state.entry_id,
            incarnation=state.incarnation,
            address=self._address,
            http_url=self._http_url,
            failure_domain=self._failure_domain,
            configuration_version=state.configuration_version,
            assignment_version=self._assignment_version,
            leaving=False,
            announcements=list(state.announcement_by_id.values()),
            notes=delta.new_notes(self._batch.notes()),
            acknowledged_starts=delta.new_starts(attempts.attempt_keys()),
            acknowledged_stops=delta.new_stops(attempts.stopping_keys()),
            free_slots=state.targets.free_slots(self._clock.monotonic(), state.report_interval_s),
            shard=0,
            wait_seconds=wait_seconds,
            is_full=delta.is_empty,
        )

    def _apply_reply(self, reply: SyncReply, request: SyncRequest, requested_at: float) -> None:
        state = self._state
        if state.has_left:
            return
        self._delta.record_reply(request, reply)
        if reply.configuration is not None:
            state.update_configuration(reply.configuration_version, reply.configuration)
            metrics.CONFIGURATION_VERSION.set(state.configuration_version)
        if reply.configuration_version == state.configuration_version:
            state.lease.renew(requested_at, reply.lease_ms / 1000)
        for announcement in request.announcements:
            if state.announcement_by_id.get(announcement.worker_id) is announcement:
                del state.announcement_by_id[announcement.worker_id]
        if reply.owned is not None:
            self._assignment_version = reply.assignment_version
            self._batch.update_ownership(reply.owned)
        state.peers = reply.peers
        self._batch.handle_start_orders(reply.starts)
        self._batch.handle_stop_orders(reply.stops)


class OutcomeLoop:
    """Reports outcomes of attempts to control without waiting for the next sync.

    Outcomes within ``OUTCOME_BATCH_SECONDS`` share one call, and so one log write.
    """

    def __init__(self, batch: BatchDispatch, control: ControlClient, clock: Clock):
        self._batch = batch
        self._control = control
        self._clock = clock
        self._wake_event = Event()
        self._is_wake_pending = False
        batch.wake_outcomes = self.wake

    def wake(self) -> None:
        """Make ``run`` send the outcomes after ``OUTCOME_BATCH_SECONDS``."""
        if not self._is_wake_pending:
            self._is_wake_pending = True
            self._wake_event.send(None)

    def run(self) -> None:
        """Send outcomes until the process ends."""
        while True:
            self._wake_event.wait()
            self._clock.sleep(OUTCOME_BATCH_SECONDS)
            self._wake_event, self._is_wake_pending = Event(), False
            try:
                self._send(self._batch.attempts.outcomes())
            except (ControlUnavailable, ttypes.Unauthenticated) as error:
                log_event("entry:outcomes_unacknowledged", error=str(error))
                self.wake()

    def _send(self, outcomes: list[ttypes.AttemptOutcome]) -> None:
        if not outcomes:
            return
        self._control.call("settle", outcomes)
        for outcome in outcomes:
            self._batch.attempts.settle(outcome.key)
