"""Throttles best-effort runs that slow serving runs down, and evicts them as a last resort.

Speeds are adjusted after each poll of a worker: lowered to what the affected
serving runs tolerate, and raised again where latencies are low.  A run that
would fall below the minimum speed is stopped instead and resumes on another
worker, from its checkpoint if it writes any.  One that is nearly done and writes none
is paused, for as long as the work takes that an eviction would throw away.
"""

import math

import attrs

from ..tasks.job import IncarnationKey
from ..wire.generated.ttypes import StepSpec
from .interference import (
    PEAK_BASELINE_UTILISATION,
    THROTTLING_THRESHOLD,
    UTILISATION_LIMIT,
    InterferenceModel,
    interference_headroom,
    utilisation_at,
)

THROTTLE_FACTOR = 0.5
RECOVERY_FACTOR = 1.4
"""Factors applied to a speed in one adjustment; a worker is polled several times a second."""

MIN_SPEED_PERCENT = 25
"""Lowest speed of a run that works: one that would be slower is faster on another worker."""

PAUSED = 0
"""Speed of a run that is paused: it keeps its memory and disturbs nobody."""

KEPT_PROGRESS_PERCENT = 50
"""Progress above which a run without checkpoints is paused rather than evicted at once."""

MAX_PAUSE_SECONDS = 1.5
"""Longest pause: a paused run is none for callers, who allow 3 s without one.

The rest is for polls, the stop, and the start on another worker.
"""

FULL_SPEED_PERCENT = 100

MAX_SLOW_SECONDS = 2.0
"""Time over the latency target after which all best-effort runs of the worker are throttled.

Their weights are ignored then.  The platform tolerates 4 s.
"""

PAUSE_SLOW_SECONDS = 2.5
"""Time over the latency target after which all best-effort runs of the worker are paused.

Two more polls and the reports' window of half a second fit into the rest of the 4 s.
"""

REPORT_WINDOW_SECONDS = 0.5
"""Approximate period that a value reported by a worker covers."""

AVERAGING_SECONDS = 2.0
"""Time constant of moving averages.

Longer than the change in processor use when a run starts or ends, shorter than load variations.
"""

NEGLIGIBLE_CORES = 0.05
"""Average use, in cores, below which an image that no longer runs leaves the averages.

A deviation of this size teaches far less than the prior.
"""

MIN_SAMPLE_INTERVAL_SECONDS = 0.1
"""Shortest time between two samples: an earlier poll would return the same values."""


@attrs.frozen
class SpeedChange:
    """A new speed for one best-effort run, in percent of full speed; None evicts the run.

    ``latency_ratio`` (tail latency over latency target) is the highest of the
    serving runs on its worker.
    """

    incarnation: IncarnationKey
    task: str
    run: int
    image: str
    speed_percent: int | None
    latency_ratio: float


@attrs.define
class _BestEffortSample:
    """Cores in use by one best-effort run, as last reported."""

    image: str
    cores: float
    reported_at: float


@attrs.define
class _MovingAverages:
    """Moving averages of a serving run's utilisation and of the best-effort cores beside it."""

    sampled_at: float
    mean_utilisation: float
    cores_by_image: dict[str, float]

    def update(
        self, utilisation: float, cores_by_image: dict[str, float], now: float
    ) -> tuple[float, dict[str, float]]:
        """Return the deviations of a sample from the averages, and add it to them."""
        smoothing = 1.0 - math.exp((self.sampled_at - now) / AVERAGING_SECONDS)
        utilisation_deviation = utilisation - self.mean_utilisation
        cores_deviation_by_image = {
            image: cores_by_image.get(image, 0.0) - self.cores_by_image.get(image, 0.0)
            for image in cores_by_image.keys() | self.cores_by_image.keys()
        }
        self.sampled_at = now
        self.mean_utilisation += smoothing * utilisation_deviation
        for image, deviation in cores_deviation_by_image.items():
            average = self.cores_by_image.get(image, 0.0) + smoothing * deviation
            if image in cores_by_image or average >= NEGLIGIBLE_CORES:
                self.cores_by_image[image] = average
            else:
                self.cores_by_image.pop(image, None)
        return utilisation_deviation, cores_deviation_by_image


@attrs.define
class ColocationHistory:
    """Recent reports of one worker on its best-effort and serving runs."""

    _best_effort_sample_by_run: dict[tuple[str, int], _BestEffortSample] = attrs.field(factory=dict)
    _slow_since_by_run: dict[tuple[str, int], float] = attrs.field(factory=dict)
    _averages_by_run: dict[tuple[str, int], _MovingAverages] = attrs.field(factory=dict)
    _paused_since_by_run: dict[tuple[str, int], float] = attrs.field(factory=dict)

    def add_report(self, view, now: float) -> None:
        """Record the result of one poll."""
        for key, step, status in _reported_runs(view):
            if step.filling:
                self._best_effort_sample_by_run[key] = _BestEffortSample(
                    step.image, status.gauge / 1000, now
                )
            elif step.target_ms and status.gauge > step.target_ms:
                self._slow_since_by_run.setdefault(key, now)
            else:
                self._slow_since_by_run.pop(key, None)
        for key in self._slow_since_by_run.keys() - view.status_by_run.keys():
            del self._slow_since_by_run[key]
        oldest = now - REPORT_WINDOW_SECONDS
        self._best_effort_sample_by_run = {
            key: sample
            for key, sample in self._best_effort_sample_by_run.items()
            if sample.reported_at > oldest
        }

    def cores_by_image(self, now: float) -> dict[str, float]:
        """Return the cores that each best-effort image used in the last report window.

        Runs reported earlier in the window count in proportion to their overlap.
        """
        used_cores: dict[str, float] = {}
        for sample in self._best_effort_sample_by_run.values():
            weight = 1.0 - (now - sample.reported_at) / REPORT_WINDOW_SECONDS
            used_cores[sample.image] = used_cores.get(sample.image, 0.0) + sample.cores * weight
        return used_cores

    def deviations(self, view, now: float) -> list[tuple[str, float, dict[str, float]]]:
        """Return the deviations of each serving run from its moving averages.

        Each item is the run's image, the deviation of its utilisation and the
        deviation of the cores in use by each co-located best-effort image.
        """
        used_cores = self.cores_by_image(now)
        deviations = []
        for key, step, status in _reported_runs(view):
            if not step.target_ms:
                continue
            utilisation = utilisation_at(status.gauge / step.target_ms)
            averages = self._averages_by_run.get(key)
            if averages is None:
                self._averages_by_run[key] = _MovingAverages(now, utilisation, dict(used_cores))
            elif now - averages.sampled_at >= MIN_SAMPLE_INTERVAL_SECONDS:
                deviations.append((step.image, *averages.update(utilisation, used_cores, now)))
        for key in self._averages_by_run.keys() - view.status_by_run.keys():
            del self._averages_by_run[key]
        return deviations

    def record_pauses(self, maybe_paused_runs: set[tuple[str, int]], now: float) -> None:
        """Record which best-effort runs may be paused now."""
        self._paused_since_by_run = {
            key: self._paused_since_by_run.get(key, now) for key in maybe_paused_runs
        }

    def paused_seconds(self, key: tuple[str, int], now: float) -> float:
        """Return for how long a run may have been paused; 0 if it is not."""
        return now - self._paused_since_by_run.get(key, now)

    def slow_seconds(self, now: float) -> float:
        """Return the longest time, in seconds, that a serving run has been over its target."""
        return max((now - since for since in self._slow_since_by_run.values()), default=0.0)


def learn_interference(
    interference: InterferenceModel, view, history: ColocationHistory, now: float
) -> None:
    """Update the model with the result of one poll."""
    history.add_report(view, now)
    for image, utilisation_deviation, cores_deviation_by_image in history.deviations(view, now):
        interference.add_sample(image, utilisation_deviation, cores_deviation_by_image, now)


def baseline_utilisations(interference: InterferenceModel, view) -> dict[str, float]:
    """Return the baseline utilisation of each serving image: the highest among its runs."""
    used_cores = _cores_in_use(view)
    baseline_by_image: dict[str, float] = {}
    for step, latency_ratio in _serving_latency_ratios(view):
        baseline = max(
            0.0,
            utilisation_at(latency_ratio) - interference.added_utilisation(step.image, used_cores),
        )
        baseline_by_image[step.image] = max(baseline, baseline_by_image.get(step.image, 0.0))
    return baseline_by_image


def initial_speed_percent(interference: InterferenceModel, view, step: StepSpec) -> int:
    """Return the speed, in percent, at which a best-effort run may start on a worker."""
    speed_percent = FULL_SPEED_PERCENT
    requested_cores = _cores_requested(view)
    # The start intent is already committed, so the run itself is included and is subtracted.
    run_cores = step.millicores / 1000
    requested_cores[step.image] = max(0.0, requested_cores.get(step.image, 0.0) - run_cores)
    for serving_step, _ in _serving_latency_ratios(view):
        run_utilisation = interference.weight(step.image, serving_step.image) * run_cores
        headroom = interference_headroom(
            view.baseline_by_image.get(serving_step.image, PEAK_BASELINE_UTILISATION)
        )
        remaining = max(
            0.0, headroom - interference.added_utilisation(serving_step.image, requested_cores)
        )
        if run_utilisation > remaining:
            speed_percent = min(
                speed_percent, int(FULL_SPEED_PERCENT * remaining / run_utilisation)
            )
    return max(MIN_SPEED_PERCENT, speed_percent)


def speed_changes(
    interference: InterferenceModel,
    view,
    speed_percent_by_run: dict[tuple[str, int], int | None],
    history: ColocationHistory,
    now: float,
) -> list[SpeedChange]:
    """Return the speeds to change after the last poll of a worker, which ``history`` holds.

    A run whose speed is not known is taken to have its full speed, and gets one in any case.
    """
    latency_ratios = _serving_latency_ratios(view)
    changes = []
    slow_seconds = history.slow_seconds(now)
    speed_limit_by_image = _speed_limits(interference, view, latency_ratios)
    latency_ratio = max((latency_ratio for _, latency_ratio in latency_ratios), default=0.0)
    # Above the target the utilisation saturates, so the estimated headroom is unreliable there.
    misses_target = latency_ratio > 1.0
    for key, step, status in _reported_runs(view):
        if not step.filling:
            continue
        known_speed_percent = speed_percent_by_run.get(key, FULL_SPEED_PERCENT)
        current_speed_percent = (
            FULL_SPEED_PERCENT if known_speed_percent is None else known_speed_percent
        )
        recovered = max(MIN_SPEED_PERCENT, round(current_speed_percent * RECOVERY_FACTOR))
        speed_percent = min(
            FULL_SPEED_PERCENT,
            recovered if latency_ratios else FULL_SPEED_PERCENT,
            round(speed_limit_by_image.get(step.image, FULL_SPEED_PERCENT)),
        )
        is_interfering = misses_target and step.image in speed_limit_by_image
        if is_interfering or slow_seconds >= MAX_SLOW_SECONDS:
            speed_percent = min(speed_percent, round(current_speed_percent * THROTTLE_FACTOR))
        if speed_percent < MIN_SPEED_PERCENT or slow_seconds >= PAUSE_SLOW_SECONDS:
            speed_percent = PAUSED
            if history.paused_seconds(key, now) >= _max_pause_seconds(step, status):
                speed_percent = None
        if speed_percent is None or speed_percent != known_speed_percent:
            changes.append(
                SpeedChange(view.incarnation, *key, step.image, speed_percent, latency_ratio)
            )
    return changes


def _max_pause_seconds(step: StepSpec, status) -> float:
    """Return for how long a run may be paused: the time of its work so far, if it is kept."""
    if step.checkpointing or status.progress_percent <= KEPT_PROGRESS_PERCENT:
        return 0.0
    worked_seconds = step.estimated_ms / 1000 * status.progress_percent / 100
    return min(worked_seconds, MAX_PAUSE_SECONDS)


def _speed_limits(interference, view, latency_ratios) -> dict[str, float]:
    """Return the highest speed, in percent, of each image that has to be throttled."""
    requested_cores = _cores_requested(view)
    used_cores = _cores_in_use(view)
    speed_limit_by_image: dict[str, float] = {}
    for serving_step, latency_ratio in latency_ratios:
        utilisation = utilisation_at(latency_ratio)
        if utilisation <= THROTTLING_THRESHOLD:
            continue
        baseline = utilisation - interference.added_utilisation(serving_step.image, used_cores)
        headroom = max(0.0, UTILISATION_LIMIT - baseline)
        for image, speed_share in interference.throttle_shares(
            serving_step.image, requested_cores, headroom
        ).items():
            speed_limit_by_image[image] = min(
                speed_limit_by_image.get(image, FULL_SPEED_PERCENT),
                FULL_SPEED_PERCENT * speed_share,
            )
    return speed_limit_by_image


def _cores_in_use(view) -> dict[str, float]:
    """Return the cores in use by each best-effort image, as last reported."""
    cores_by_image: dict[str, float] = {}
    for _, step, status in _reported_runs(view):
        if step.filling:
            cores_by_image[step.image] = cores_by_image.get(step.image, 0.0) + status.gauge / 1000
    return cores_by_image


def _cores_requested(view) -> dict[str, float]:
    """Return the cores that each best-effort image of a worker would use at full speed."""
    cores_by_image: dict[str, float] = {}
    for task in view.worker.task_by_run.values():
        step = task.step.spec
        if step.filling:
            cores_by_image[step.image] = (
                cores_by_image.get(step.image, 0.0) + step.millicores / 1000
            )
    return cores_by_image


def _reported_runs(view):
    """Yield the key, step and status of each run that is both reported and in the ledger."""
    for key, task in view.worker.task_by_run.items():
        status = view.status_by_run.get(key)
        if status is not None:
            yield key, task.step.spec, status


def _serving_latency_ratios(view) -> list[tuple[StepSpec, float]]:
    """Return the step and the latency ratio of each reported serving run."""
    return [
        (step, status.gauge / step.target_ms)
        for _, step, status in _reported_runs(view)
        if step.target_ms
    ]
