"""Limits and evicts batch tasks that slow the critical requests of their worker.

The input is a worker's latency ratio: the recent tail latency of its critical
requests over their latency target.  The ratio lags, and it depends on which
tasks are co-located, so the number of batch tasks that a worker can run is
not known in advance.  A feedback loop adjusts the limit of each worker: it
falls by one per second above the upper threshold, rises by one every few
seconds below the lower threshold, and does not change between the two.  An
attempt is evicted only where this is not enough.  Evictions are spaced for
each worker and for the site: noisy tasks that raise the latency ratio of many
workers at once must not cause as many evictions at once.
"""

import attrs

from ..registry import registry_decorator

LOWER_LIMIT_ABOVE_RATIO = 1.0
"""Upper threshold of the latency ratio: the latency target itself."""

RAISE_LIMIT_BELOW_RATIO = 0.7
"""Lower threshold of the latency ratio."""

LOWER_LIMIT_INTERVAL_SECONDS = 1.0
RAISE_LIMIT_INTERVAL_SECONDS = 4.0
"""Longer than the interval for lowering: a late critical answer costs more than an idle slot."""

EVICT_AFTER_SECONDS = 10.0
"""How long the latency ratio must stay above the upper threshold before an eviction."""

WORKER_EVICTION_INTERVAL_SECONDS = 20.0
"""Between two evictions on one worker: long enough for the first to show in the latency ratio."""

SITE_EVICTION_INTERVAL_SECONDS = 3.0
"""Between two evictions on any workers of the site."""


POLICIES: dict[str, type] = {}
policy = registry_decorator(POLICIES)
"""Registers a class with the interface of ``InterferenceController``."""


@attrs.frozen
class WorkerObservation:
    """The current latency ratio and batch load of one worker."""

    latency_ratio: float
    batch_running: int
    batch_slots: int
    """How many batch tasks the worker has slots for."""


@attrs.define
class WorkerState:
    """The batch limit of one worker and the times of its last changes, in monotonic seconds."""

    limit: int
    adjusted_at: float
    over_target_since: float | None = None
    last_eviction_at: float = float("-inf")


@policy("limit_then_evict")
class InterferenceController:
    """Decides how many batch tasks each worker may run, and on which worker to evict one."""

    def __init__(self):
        self._state_by_worker: dict[str, WorkerState] = {}
        self._last_eviction_at = float("-inf")

    def observe(self, observation_by_worker: dict[str, WorkerObservation], now: float) -> None:
        """Update the limits from current observations, and drop workers that are not among them."""
        self._state_by_worker = {
            worker_id: self._state_by_worker.get(worker_id)
            or WorkerState(observation.batch_slots, now)
            for worker_id, observation in observation_by_worker.items()
        }
        for worker_id, observation in observation_by_worker.items():
            self._adjust(self._state_by_worker[worker_id], observation, now)

    @staticmethod
    def _adjust(state: WorkerState, observation: WorkerObservation, now: float) -> None:
        is_over_target = observation.latency_ratio > LOWER_LIMIT_ABOVE_RATIO
        if not is_over_target:
            state.over_target_since = None
        elif state.over_target_since is None:
            state.over_target_since = now
        seconds_since_adjustment = now - state.adjusted_at
        if is_over_target and seconds_since_adjustment >= LOWER_LIMIT_INTERVAL_SECONDS:
            # Start from what is running: lowering a limit that was never reached has no effect.
            state.limit = max(0, min(state.limit, observation.batch_running) - 1)
            state.adjusted_at = now
        elif (
            observation.latency_ratio < RAISE_LIMIT_BELOW_RATIO
            and seconds_since_adjustment >= RAISE_LIMIT_INTERVAL_SECONDS
        ):
            state.limit = min(observation.batch_slots, state.limit + 1)
            state.adjusted_at = now

    def batch_limit(self, worker_id: str) -> int | None:
        """Return how many batch tasks the worker may run; None if it has not been observed."""
        state = self._state_by_worker.get(worker_id)
        return None if state is None else state.limit

    def worker_to_evict_from(self, eviction_weight: float, now: float) -> str | None:
        """Return the worker on which to evict one attempt now, or None.

        Of several, it is the one whose latency ratio has been above the upper
        threshold longest.  ``eviction_weight`` is the operator's weight of
        evictions divided by that of tail latency; values above 1 delay evictions,
        lower ones have no effect.
        """
        if now - self._last_eviction_at < SITE_EVICTION_INTERVAL_SECONDS:
            return None
        eviction_delay = EVICT_AFTER_SECONDS * max(1.0, eviction_weight)
        overdue = [
            (state.over_target_since, worker_id)
            for worker_id, state in self._state_by_worker.items()
            if state.over_target_since is not None
            and now - state.over_target_since >= eviction_delay
            and now - state.last_eviction_at >= WORKER_EVICTION_INTERVAL_SECONDS
        ]
        return min(overdue)[1] if overdue else None

    def record_eviction(self, worker_id: str, now: float) -> None:
        """Record that the eviction of an attempt on that worker was requested."""
        self._state_by_worker[worker_id].last_eviction_at = now
        self._last_eviction_at = now


@policy("none")
class NoInterferenceControl(InterferenceController):
    """Never limits or evicts batch tasks: the baseline for comparisons."""

    def observe(self, observation_by_worker: dict[str, WorkerObservation], now: float) -> None:
        """Ignore the observations, so that no worker ever has a limit."""
