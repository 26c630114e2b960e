"""Filling runs slow down, and at last leave, where they slow a serving run down.

Their pace follows each look: lowered to what a strained serving run beside them
bears, raised where all are calm.  A run that would have to crawl is stopped
instead and resumes elsewhere, from its checkpoint if it makes any.
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
"""Factors of one change of pace; a look comes several times a second."""

MIN_SPEED_PERCENT = 25
"""A run that would have to go slower than this is better off elsewhere."""

KEPT_PROGRESS_PERCENT = 50
"""A run without checkpoints that has done more than this is kept, as slow as it must be."""

FULL_SPEED_PERCENT = 100

MAX_SLOW_SECONDS = 2.0
"""After so long all filling runs yield, whatever is known of them: the platform bears 4 s."""

REPORT_WINDOW_SECONDS = 0.5
"""A worker's figure for a run covers about this time."""

AVERAGING_SECONDS = 2.0
"""Time constant of a run's average: long against a step, short against a swing of its load."""

MIN_SAMPLE_INTERVAL_SECONDS = 0.1
"""A look that follows another sooner than this lists the same figures."""


@attrs.frozen
class SpeedChange:
    """What one filling run should do: work at ``percent`` of its speed, or leave at 0."""

    incarnation: IncarnationKey
    task: str
    run: int
    image: str
    speed_percent: int
    latency_ratio: float


@attrs.define
class _BestEffortSample:
    image: str
    cores: float
    reported_at: float


@attrs.define
class _MovingAverages:
    """Averages of late of one serving run: its occupancy and the cores beside it."""

    sampled_at: float
    mean_utilisation: float
    cores_by_image: dict[str, float]

    def update(
        self, utilisation: float, cores_by_image: dict[str, float], now: float
    ) -> tuple[float, dict[str, float]]:
        """Return how a reading deviates from the averages, and take it in."""
        smoothing = 1.0 - math.exp((self.sampled_at - now) / AVERAGING_SECONDS)
        utilisation_deviation = utilisation - self.mean_utilisation
        cores_deviation_by_image = {
            image: cores_by_image.get(image, 0.0) - self.cores_by_image.get(image, 0.0)
            for image in cores_by_image.keys() | self.cores_by_image.keys()
        }
        self.sampled_at = now
        self.mean_utilisation += smoothing * utilisation_deviation
        for image, deviation in cores_deviation_by_image.items():
            self.cores_by_image[image] = self.cores_by_image.get(image, 0.0) + smoothing * deviation
        return utilisation_deviation, cores_deviation_by_image


@attrs.define
class ColocationHistory:
    """What one worker listed lately of its filling and serving runs."""

    _best_effort_sample_by_run: dict[tuple[str, int], _BestEffortSample] = attrs.field(factory=dict)
    _slow_since_by_run: dict[tuple[str, int], float] = attrs.field(factory=dict)
    _averages_by_run: dict[tuple[str, int], _MovingAverages] = attrs.field(factory=dict)

    def add_report(self, view, now: float) -> None:
        """Take in one look."""
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
        """Return the cores on which each filling image worked in the last window."""
        used_cores: dict[str, float] = {}
        for sample in self._best_effort_sample_by_run.values():
            weight = 1.0 - (now - sample.reported_at) / REPORT_WINDOW_SECONDS
            used_cores[sample.image] = used_cores.get(sample.image, 0.0) + sample.cores * weight
        return used_cores

    def deviations(self, view, now: float) -> list[tuple[str, float, dict[str, float]]]:
        """Return how each serving run's figures deviate from their averages of late.

        Each comes as the run's image, the deviation of its occupancy and those of the
        cores on which each image fills beside it.
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

    def slow_seconds(self, now: float) -> float:
        """Return for how long some serving run has been over its target."""
        return max((now - since for since in self._slow_since_by_run.values()), default=0.0)


def learn_interference(
    interference: InterferenceModel, view, history: ColocationHistory, now: float
) -> None:
    """Take one look's figures in."""
    history.add_report(view, now)
    for image, utilisation_deviation, cores_deviation_by_image in history.deviations(view, now):
        interference.add_sample(image, utilisation_deviation, cores_deviation_by_image)


def baseline_utilisations(interference: InterferenceModel, view) -> dict[str, float]:
    """Return by serving image what its most occupied run takes by itself, as last listed."""
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
    """Return the pace at which a filling run may begin on a worker."""
    speed_percent = FULL_SPEED_PERCENT
    requested_cores = _cores_requested(view)
    # The run itself is counted there already, as its intent is committed.
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
    interference: InterferenceModel, view, speed_percent_by_run: dict, slow_seconds: float
) -> list[SpeedChange]:
    """Return the changes of pace that a worker's last look asks for."""
    latency_ratios = _serving_latency_ratios(view)
    if not latency_ratios:
        return []
    changes = []
    speed_limit_by_image = _speed_limits(interference, view, latency_ratios)
    latency_ratio = max(latency_ratio for _, latency_ratio in latency_ratios)
    # Above the target occupancy saturates, and with it the estimate of what is bearable.
    misses_target = latency_ratio > 1.0
    for key, step, status in _reported_runs(view):
        if not step.filling:
            continue
        current_speed_percent = speed_percent_by_run.get(key, FULL_SPEED_PERCENT)
        speed_limit = speed_limit_by_image.get(step.image, FULL_SPEED_PERCENT)
        speed_percent = round(
            min(FULL_SPEED_PERCENT, current_speed_percent * RECOVERY_FACTOR, speed_limit)
        )
        is_interfering = misses_target and step.image in speed_limit_by_image
        if is_interfering or slow_seconds >= MAX_SLOW_SECONDS:
            speed_percent = min(speed_percent, round(current_speed_percent * THROTTLE_FACTOR))
        if speed_percent < MIN_SPEED_PERCENT:
            is_kept = not step.checkpointing and status.percent > KEPT_PROGRESS_PERCENT
            speed_percent = MIN_SPEED_PERCENT // 2 if is_kept else 0
        if speed_percent != current_speed_percent:
            changes.append(
                SpeedChange(view.incarnation, *key, step.image, speed_percent, latency_ratio)
            )
    return changes


def _speed_limits(interference, view, latency_ratios) -> dict[str, float]:
    """Return the highest pace in percent of each image that should not go on as it does."""
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
    """Return the cores on which each image was working, as the worker listed them."""
    cores_by_image: dict[str, float] = {}
    for _, step, status in _reported_runs(view):
        if step.filling:
            cores_by_image[step.image] = cores_by_image.get(step.image, 0.0) + status.gauge / 1000
    return cores_by_image


def _cores_requested(view) -> dict[str, float]:
    """Return the cores which the filling runs of a worker would use at full speed, by image."""
    cores_by_image: dict[str, float] = {}
    for task in view.worker.task_by_run.values():
        step = task.step.spec
        if step.filling:
            cores_by_image[step.image] = (
                cores_by_image.get(step.image, 0.0) + step.millicores / 1000
            )
    return cores_by_image


def _reported_runs(view):
    """Yield key, step and row of each run which the worker listed and the log knows."""
    for key, task in view.worker.task_by_run.items():
        status = view.status_by_run.get(key)
        if status is not None:
            yield key, task.step.spec, status


def _serving_latency_ratios(view) -> list[tuple[StepSpec, float]]:
    """Return the serving runs listed, with their tails over their targets."""
    return [
        (step, status.gauge / step.target_ms)
        for _, step, status in _reported_runs(view)
        if step.target_ms
    ]
