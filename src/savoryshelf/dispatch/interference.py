"""Learns how much best-effort runs slow down the serving runs on the same worker.

The tail latency of a serving run grows like that of a queue, in inverse
proportion to its free capacity.  Its latency ratio (tail latency over latency
target) is therefore converted into a utilisation, in which its own load and the
share taken by co-located best-effort runs add up linearly.

The load of each serving run varies independently over seconds, so a utilisation
is compared with its own moving average.  The remaining deviations are sudden
changes that coincide with starts and ends of best-effort runs.  A least-squares fit of these
deviations gives one weight, never negative, for each pair of a best-effort and a
serving image.
"""

import math

import attrs

from ..wire.generated.ttypes import PairWeight

IDLE_LATENCY_RATIO = 0.2
"""Latency ratio of an idle serving run: targets are usually five times the idle tail latency."""

MAX_UTILISATION = 0.97
"""Cap on estimates, well above all thresholds: samples beyond it are imprecise."""

PRIOR_WEIGHT = 0.018
"""Utilisation per core assumed for an unknown pair: low enough for placement to co-locate it."""

PRIOR_STRENGTH = 2.0
"""Weight of the prior, in squared cores: equal to one sample with a deviation of 1.4 cores."""

FORGETTING_SECONDS = 25.0
"""Time constant of the decay of earlier samples.

By time and not by number: a host with many workers gets many samples a second.
"""

MAX_DECAY_SECONDS = 10 * FORGETTING_SECONDS
"""Longest time that is counted between two samples, so that the sums never overflow."""

MIN_COMMITTED_CHANGE = 0.02
"""Change in a weight, in utilisation per core, above which it is committed for all hosts."""

UTILISATION_LIMIT = 0.76
"""Utilisation up to which best-effort runs may load a serving run: a latency ratio of 0.83."""

PEAK_BASELINE_UTILISATION = 0.68
"""Baseline utilisation of a serving run at its usual peak load: a latency ratio of 0.62."""

BASELINE_RISE = 0.2
"""Expected rise of the baseline while a best-effort run executes: usually two to three seconds."""

THROTTLING_THRESHOLD = 0.7
"""Utilisation of a serving run above which best-effort runs are throttled.

It corresponds to a latency ratio of 0.67.
"""

NEGLIGIBLE_UTILISATION = 0.02
"""Added utilisation below this is within the error of a weight and is ignored."""

MAX_IMAGES = 64
"""Bound on the serving images, and on the best-effort images of each.

Callers choose the names of images, so their number is otherwise unbounded.
"""

_MAX_SAMPLE_WEIGHT = 1e9
"""Weight of a new sample above which all sums are rescaled, so that they never overflow."""


def utilisation_at(latency_ratio: float) -> float:
    """Return the utilisation, from 0 to ``MAX_UTILISATION``, that causes this latency ratio."""
    return min(
        MAX_UTILISATION, max(0.0, 1.0 - IDLE_LATENCY_RATIO / max(latency_ratio, IDLE_LATENCY_RATIO))
    )


def interference_headroom(baseline: float) -> float:
    """Return the utilisation that best-effort runs may add to a serving run.

    ``baseline`` is its current utilisation without them.
    """
    expected_baseline = max(baseline, min(PEAK_BASELINE_UTILISATION, baseline + BASELINE_RISE))
    return max(0.0, UTILISATION_LIMIT - expected_baseline)


@attrs.define
class _LeastSquaresFit:
    """Least-squares fit of the weights of best-effort images on one serving image.

    Earlier samples are discounted exponentially, by increasing the weight of
    each new sample.
    """

    weight_by_image: dict[str, float] = attrs.field(factory=dict)
    _sample_weight: float = 1.0
    _sampled_at: float | None = None
    _covariance_by_image: dict[str, float] = attrs.field(factory=dict)
    """Weighted sum of deviations in cores times deviations in utilisation."""

    _covariances_by_image: dict[str, dict[str, float]] = attrs.field(factory=dict)
    """Weighted sums of deviations in cores of one image times those of each other."""

    def add(
        self, utilisation_deviation: float, cores_deviation_by_image: dict[str, float], now: float
    ) -> None:
        """Add one sample and update the weights of the images in it."""
        elapsed = max(0.0, now - self._sampled_at) if self._sampled_at is not None else 0.0
        self._sampled_at = now
        self._sample_weight *= math.exp(min(elapsed, MAX_DECAY_SECONDS) / FORGETTING_SECONDS)
        covariances = self._covariance_by_image
        for image, deviation in cores_deviation_by_image.items():
            weighted_deviation = self._sample_weight * deviation
            covariances[image] = (
                covariances.get(image, 0.0) + weighted_deviation * utilisation_deviation
            )
            row = self._covariances_by_image.setdefault(image, {})
            for other, other_deviation in cores_deviation_by_image.items():
                row[other] = row.get(other, 0.0) + weighted_deviation * other_deviation
        for image in cores_deviation_by_image:
            self._update_weight(image)
        if self._sample_weight > _MAX_SAMPLE_WEIGHT:
            self._rescale()
        self._drop_images_beyond(MAX_IMAGES)

    def information(self, image: str) -> float:
        """Return how much the samples of an image tell, in squared cores; 0 without samples."""
        row = self._covariances_by_image.get(image)
        return row[image] / self._sample_weight if row else 0.0

    def _update_weight(self, image: str) -> None:
        """Solve for one weight with the others fixed: a step of coordinate descent."""
        row, weights = self._covariances_by_image[image], self.weight_by_image
        own = row[image]
        explained = sum(
            covariance * weights.get(other, 0.0) for other, covariance in row.items()
        ) - own * weights.get(image, 0.0)
        strength = PRIOR_STRENGTH * self._sample_weight
        residual = self._covariance_by_image[image] + strength * PRIOR_WEIGHT - explained
        weights[image] = max(0.0, residual / (own + strength))

    def _rescale(self) -> None:
        for sums in (self._covariance_by_image, *self._covariances_by_image.values()):
            for key in sums:
                sums[key] /= self._sample_weight
        self._sample_weight = 1.0

    def _drop_images_beyond(self, max_images: int) -> None:
        while len(self._covariance_by_image) > max_images:
            least_sampled = min(
                self._covariance_by_image, key=lambda i: self._covariances_by_image[i][i]
            )
            del self._covariance_by_image[least_sampled]
            del self._covariances_by_image[least_sampled]
            self.weight_by_image.pop(least_sampled, None)
            for row in self._covariances_by_image.values():
                row.pop(least_sampled, None)


class InterferenceModel:
    """Utilisation that each core of a best-effort image adds to a serving image.

    Weights are kept by pair (best-effort image, serving image); pairs without a
    sample have ``PRIOR_WEIGHT``, or the weight that other hosts have learned.
    """

    def __init__(self, weight_by_pair: dict[tuple[str, str], float] | None = None):
        self._fit_by_serving_image: dict[str, _LeastSquaresFit] = {}
        self._taken_weight_by_pair: dict[tuple[str, str], float] = {}
        for (best_effort_image, serving_image), weight in (weight_by_pair or {}).items():
            self.set_weight(best_effort_image, serving_image, weight)

    def set_weight(self, best_effort_image: str, serving_image: str, weight: float) -> None:
        """Use a weight that was learned elsewhere."""
        weights = self._fit_for(serving_image).weight_by_image
        if best_effort_image in weights or len(weights) < MAX_IMAGES:
            weights[best_effort_image] = weight

    def adopt_weights(self, weights: list[PairWeight]) -> None:
        """Use weights that were learned elsewhere for the pairs that have no samples here."""
        for pair in weights:
            fit = self._fit_by_serving_image.get(pair.serving_image)
            if fit is None or not fit.information(pair.filling_image):
                self.set_weight(pair.filling_image, pair.serving_image, pair.weight)

    def take_learned_weights(self) -> list[PairWeight]:
        """Return the weights with samples that have changed since they were last returned."""
        changed = []
        for serving_image, fit in self._fit_by_serving_image.items():
            for best_effort_image, weight in fit.weight_by_image.items():
                pair = best_effort_image, serving_image
                taken = self._taken_weight_by_pair.get(pair, PRIOR_WEIGHT)
                if abs(weight - taken) <= MIN_COMMITTED_CHANGE / 2:
                    continue
                information = fit.information(best_effort_image)
                if information:
                    self._taken_weight_by_pair[pair] = weight
                    changed.append(PairWeight(*pair, weight, information))
        return changed

    def changed_weights(self, committed_by_pair: dict[tuple[str, str], float]) -> list[PairWeight]:
        """Return the weights that differ enough from the committed ones to be committed."""
        return [
            PairWeight(best_effort_image, serving_image, weight)
            for serving_image, fit in self._fit_by_serving_image.items()
            for best_effort_image, weight in fit.weight_by_image.items()
            if abs(weight - committed_by_pair.get((best_effort_image, serving_image), PRIOR_WEIGHT))
            > MIN_COMMITTED_CHANGE
        ]

    def weight(self, best_effort_image: str, serving_image: str) -> float:
        """Return the utilisation that one core of the best-effort image adds."""
        fit = self._fit_by_serving_image.get(serving_image)
        return fit.weight_by_image.get(best_effort_image, PRIOR_WEIGHT) if fit else PRIOR_WEIGHT

    def added_utilisation(self, serving_image: str, cores_by_image: dict[str, float]) -> float:
        """Return the utilisation that these best-effort images add to a serving run."""
        return sum(
            self.weight(image, serving_image) * cores for image, cores in cores_by_image.items()
        )

    def add_sample(
        self,
        serving_image: str,
        utilisation_deviation: float,
        cores_deviation_by_image: dict[str, float],
        now: float,
    ) -> None:
        """Update the weights with one sample of a serving run, taken at ``now`` in seconds.

        ``utilisation_deviation`` is the difference of its utilisation from its
        moving average, and ``cores_deviation_by_image`` that of the cores in use
        by each best-effort image on the same worker.
        """
        if cores_deviation_by_image:
            self._fit_for(serving_image).add(utilisation_deviation, cores_deviation_by_image, now)

    def throttle_shares(
        self, serving_image: str, cores_by_image: dict[str, float], headroom: float
    ) -> dict[str, float]:
        """Return the images to throttle so that all together add at most ``headroom``.

        The image that adds most comes first.  Each value is the share of its
        cores, from 0 to 1, that the image may keep using.
        """
        remaining, share_by_image = dict(cores_by_image), {}
        while remaining and (added := self.added_utilisation(serving_image, remaining)) > headroom:
            worst_image = max(
                remaining, key=lambda image: self.weight(image, serving_image) * remaining[image]
            )
            worst_image_utilisation = self.weight(worst_image, serving_image) * remaining.pop(
                worst_image
            )
            if worst_image_utilisation < NEGLIGIBLE_UTILISATION:
                break
            share_by_image[worst_image] = min(
                1.0, max(0.0, headroom - added + worst_image_utilisation) / worst_image_utilisation
            )
        return share_by_image

    def _fit_for(self, serving_image: str) -> _LeastSquaresFit:
        fit = self._fit_by_serving_image.get(serving_image)
        if fit is None:
            if len(self._fit_by_serving_image) >= MAX_IMAGES:
                del self._fit_by_serving_image[next(iter(self._fit_by_serving_image))]
            fit = self._fit_by_serving_image[serving_image] = _LeastSquaresFit()
        return fit
