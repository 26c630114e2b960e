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

DISTURBED_ABOVE = 1.0
CALM_BELOW = 0.7
LOWER_EVERY_SECONDS = 1.0
RAISE_EVERY_SECONDS = 4.0
"""Slower up than down: a critical answer that is late costs more than a slot that is idle."""

EVICT_AFTER_SECONDS = 10.0
"""How long pressure must have lasted before something must yield."""

WORKER_PAUSE_SECONDS = 20.0
"""Between two evictions on one worker: long enough for the pressure to show the first."""

SITE_PAUSE_SECONDS = 3.0
"""Between two evictions anywhere."""


POLICIES: dict[str, type] = {}
policy = registry_decorator(POLICIES)
"""Registers a class with the methods of InterferenceWatch."""


@attrs.frozen
class Observation:
    """What is seen of one worker now."""

    pressure: float
    batch_running: int
    batch_slots: int
    """How many batch tasks it could hold."""


@attrs.define
class WorkerPressure:
    """What is known of one worker."""

    limit: int
    adjusted_at: float
    disturbed_since: float | None = None
    evicted_at: float = float("-inf")


@policy("limit_then_evict")
class InterferenceWatch:
    """Turns observations into two decisions: how many batch tasks, and where one must yield."""

    def __init__(self):
        self._by_id: dict[str, WorkerPressure] = {}
        self._evicted_at = float("-inf")

    def observe(self, seen_by_worker: dict[str, Observation], now: float) -> None:
        """Take in what is seen now; workers not named are forgotten."""
        self._by_id = {
            worker_id: self._by_id.get(worker_id) or WorkerPressure(seen.batch_slots, now)
            for worker_id, seen in seen_by_worker.items()
        }
        for worker_id, seen in seen_by_worker.items():
            self._adjust(self._by_id[worker_id], seen, now)

    @staticmethod
    def _adjust(worker: WorkerPressure, seen: Observation, now: float) -> None:
        is_disturbed = seen.pressure > DISTURBED_ABOVE
        if not is_disturbed:
            worker.disturbed_since = None
        elif worker.disturbed_since is None:
            worker.disturbed_since = now
        age = now - worker.adjusted_at
        if is_disturbed and age >= LOWER_EVERY_SECONDS:
            # From what runs, not from a limit which was never reached.
            worker.limit = max(0, min(worker.limit, seen.batch_running) - 1)
            worker.adjusted_at = now
        elif seen.pressure < CALM_BELOW and age >= RAISE_EVERY_SECONDS:
            worker.limit = min(seen.batch_slots, worker.limit + 1)
            worker.adjusted_at = now

    def batch_limit(self, worker_id: str) -> int | None:
        """Return how many batch tasks that worker should hold; None if nothing is known."""
        worker = self._by_id.get(worker_id)
        return None if worker is None else worker.limit

    def must_yield(self, eviction_weight: float, now: float) -> str | None:
        """Return the worker on which one attempt must yield now, the longest disturbed first.

        ``eviction_weight`` is the operator's weight of evictions over that of
        tail latency: with a higher one, a disturbed worker is given more time.
        """
        if now - self._evicted_at < SITE_PAUSE_SECONDS:
            return None
        patience = EVICT_AFTER_SECONDS * max(1.0, eviction_weight)
        due = [
            (worker.disturbed_since, worker_id)
            for worker_id, worker in self._by_id.items()
            if worker.disturbed_since is not None
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

    def observe(self, seen_by_worker: dict[str, Observation], now: float) -> None:
        """Take no notice."""
