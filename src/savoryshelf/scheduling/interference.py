"""When batch work disturbs critical requests: less of it at a time, then an eviction.

The sign is pressure: how long a worker's slow critical answers lately took
over their target.  It lags and it depends on which tasks meet, so nobody can
say beforehand how many batch tasks a worker bears.  Each worker's limit is
found by trying: one less for every second above the mark, one more for every
few seconds well below it, and in between it stays.  Only where that is not
enough must an attempt yield.  Evictions are spaced for each worker and for
the site, so that a wave of noisy tasks which raises the pressure everywhere
at once does not turn into a wave of evictions.
"""

import attrs

from ..registry import registry_decorator

LOWER_LIMIT_ABOVE_RATIO = 1.0
RAISE_LIMIT_BELOW_RATIO = 0.7
LOWER_LIMIT_INTERVAL_SECONDS = 1.0
RAISE_LIMIT_INTERVAL_SECONDS = 4.0
"""Slower up than down: a critical answer that is late costs more than a slot that is idle."""

EVICT_AFTER_SECONDS = 10.0
"""How long pressure must have lasted before something must yield."""

WORKER_EVICTION_INTERVAL_SECONDS = 20.0
"""Between two evictions on one worker: long enough for the pressure to show the first."""

SITE_EVICTION_INTERVAL_SECONDS = 3.0
"""Between two evictions anywhere."""


POLICIES: dict[str, type] = {}
policy = registry_decorator(POLICIES)
"""Registers a class with the methods of InterferenceWatch."""


@attrs.frozen
class WorkerObservation:
    """What is seen of one worker now."""

    latency_ratio: float
    batch_running: int
    batch_slots: int
    """How many batch tasks it could hold."""


@attrs.define
class WorkerState:
    """What is known of one worker."""

    limit: int
    adjusted_at: float
    over_target_since: float | None = None
    last_eviction_at: float = float("-inf")


@policy("limit_then_evict")
class InterferenceController:
    """Turns observations into two decisions: how many batch tasks, and where one must yield."""

    def __init__(self):
        self._state_by_worker: dict[str, WorkerState] = {}
        self._last_eviction_at = float("-inf")

    def observe(self, observation_by_worker: dict[str, WorkerObservation], now: float) -> None:
        """Take in what is seen now; workers not named are forgotten."""
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
            # From what runs, not from a limit which was never reached.
            state.limit = max(0, min(state.limit, observation.batch_running) - 1)
            state.adjusted_at = now
        elif (
            observation.latency_ratio < RAISE_LIMIT_BELOW_RATIO
            and seconds_since_adjustment >= RAISE_LIMIT_INTERVAL_SECONDS
        ):
            state.limit = min(observation.batch_slots, state.limit + 1)
            state.adjusted_at = now

    def batch_limit(self, worker_id: str) -> int | None:
        """Return how many batch tasks that worker should hold; None if nothing is known."""
        state = self._state_by_worker.get(worker_id)
        return None if state is None else state.limit

    def worker_to_evict_from(self, eviction_weight: float, now: float) -> str | None:
        """Return the worker on which one attempt must yield now, the longest disturbed first.

        ``eviction_weight`` is the operator's weight of evictions over that of
        tail latency: with a higher one, a disturbed worker is given more time.
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
        """Note that an attempt on that worker was told to yield."""
        self._state_by_worker[worker_id].last_eviction_at = now
        self._last_eviction_at = now


@policy("none")
class NoInterference(InterferenceController):
    """Leaves batch work alone whatever it does to its neighbours: the baseline."""

    def observe(self, observation_by_worker: dict[str, WorkerObservation], now: float) -> None:
        """Take no notice."""
