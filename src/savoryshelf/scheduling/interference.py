"""When batch work disturbs critical requests: first no more of it, then one eviction at a time.

The sign is pressure: how long a worker's critical answers lately took over
their target.  It lags, so it is acted on with hysteresis: a worker is
disturbed only after the pressure has held for a while, and calm again only
well below the mark.  Evictions are spaced for each worker and for the site, so
that a wave of noisy tasks which raises the pressure everywhere at once does
not turn into a wave of evictions.
"""

import attrs

from ..registry import registering

DISTURBED_ABOVE = 1.0
CALM_BELOW = 0.7
HOLD_SECONDS = 4.0
"""How long pressure must hold before it counts."""

EVICT_AFTER_SECONDS = 10.0
"""How long a disturbed worker is spared new batch work before something must yield."""

WORKER_PAUSE_SECONDS = 20.0
"""Between two evictions on one worker: long enough for the pressure to show the first."""

SITE_PAUSE_SECONDS = 3.0
"""Between two evictions anywhere."""


POLICIES: dict[str, type] = {}
policy = registering(POLICIES)
"""Registers a class with the methods of InterferenceWatch."""


@attrs.define
class WorkerPressure:
    """What is known of one worker."""

    above_since: float | None = None
    is_disturbed: bool = False
    disturbed_since: float = 0.0
    evicted_at: float = float("-inf")


@policy("spare_then_evict")
class InterferenceWatch:
    """Turns pressures into two decisions: where no batch work goes, and where one must yield.

    ``eviction_weight`` is the operator's weight of evictions over that of tail
    latency: with a higher one, a disturbed worker is given more time.
    """

    def __init__(self):
        self._by_id: dict[str, WorkerPressure] = {}
        self._evicted_at = float("-inf")

    def observe(self, pressure_by_worker: dict[str, float], now: float) -> None:
        """Take in the newest pressures; workers not named are forgotten."""
        self._by_id = {
            worker_id: self._by_id.get(worker_id, WorkerPressure())
            for worker_id in pressure_by_worker
        }
        for worker_id, pressure in pressure_by_worker.items():
            self._update(self._by_id[worker_id], pressure, now)

    @staticmethod
    def _update(worker: WorkerPressure, pressure: float, now: float) -> None:
        if pressure < CALM_BELOW:
            worker.is_disturbed = False
        if pressure <= DISTURBED_ABOVE:
            worker.above_since = None
            return
        if worker.above_since is None:
            worker.above_since = now
        if not worker.is_disturbed and now - worker.above_since >= HOLD_SECONDS:
            worker.is_disturbed, worker.disturbed_since = True, now

    def takes_batch(self, worker_id: str) -> bool:
        """Return whether more batch work may be placed on that worker."""
        worker = self._by_id.get(worker_id)
        return worker is None or not worker.is_disturbed

    def must_yield(self, eviction_weight: float, now: float) -> str | None:
        """Return the worker on which one attempt must yield now, the longest disturbed first."""
        if now - self._evicted_at < SITE_PAUSE_SECONDS:
            return None
        patience = EVICT_AFTER_SECONDS * max(1.0, eviction_weight)
        due = [
            (worker.disturbed_since, worker_id)
            for worker_id, worker in self._by_id.items()
            if worker.is_disturbed
            and worker.above_since is not None
            and now - worker.disturbed_since >= patience
            and now - worker.evicted_at >= WORKER_PAUSE_SECONDS
        ]
        return min(due)[1] if due else None

    def yielded(self, worker_id: str, now: float) -> None:
        """Note that an attempt on that worker was told to yield."""
        self._by_id[worker_id].evicted_at = now
        self._evicted_at = now


@policy("none")
class NoInterference(InterferenceWatch):
    """Leaves batch work alone whatever it does to its neighbours: the baseline."""

    def observe(self, pressure_by_worker: dict[str, float], now: float) -> None:
        """Take no notice."""
