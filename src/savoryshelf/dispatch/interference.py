"""How much filling runs slow down the serving runs beside them, learned by pairs of images.

A serving run's tail of response times grows as that of a queue does: with the
inverse of what is left of its capacity.  So its strain, the tail over the
target, is turned into an occupancy, in which its own load and what the filling
runs beside it take simply add up.  Own loads swing over seconds, each run by
itself, so occupancies are compared with their own average of late: what is left
are steps that come with the starts and ends of filling runs.  A least-squares
fit of those steps gives a weight to each pair of images, none below zero.
"""

import attrs

from ..wire.generated.ttypes import PairWeight

IDLE_LATENCY_RATIO = 0.2
"""Strain of a serving run without any load: targets are usually set at five times that tail."""

MAX_UTILISATION = 0.97
"""Occupancies are cut off here: far beyond any decision, and readings are rough up there."""

PRIOR_WEIGHT = 0.018
"""Occupancy per core assumed of a pair that was never seen: low enough to be tried out."""

PRIOR_STRENGTH = 2.0
"""In squared cores, how much the assumption counts against readings: one step of 1.4 cores."""

FORGETTING_FACTOR = 0.998
"""Share of the earlier readings' say that is left after another: some 25 s at 20 a second."""

MIN_COMMITTED_CHANGE = 0.02
"""A weight is committed for the next leader when it has changed by more than this."""

UTILISATION_LIMIT = 0.76
"""Occupancy up to which filling runs may bring a serving one: a strain of 0.83."""

PEAK_BASELINE_UTILISATION = 0.68
"""What a serving run takes by itself at its highest usual load: a strain of 0.62."""

BASELINE_RISE = 0.2
"""How far its own load may rise while a filling run beside it works: two to three seconds."""

THROTTLING_THRESHOLD = 0.7
"""Above this, a strain of 0.67, the filling runs beside a serving one give way."""

NEGLIGIBLE_UTILISATION = 0.02
"""What an image adds below this is within the error of its weight and never held against it."""

MAX_IMAGES = 64
"""Images remembered on either side; callers name them, so their number has to be bounded."""

_MAX_SAMPLE_WEIGHT = 1e9
"""Sums are scaled back when the say of one reading has grown to this."""


def utilisation_at(latency_ratio: float) -> float:
    """Return the share of its capacity that a serving run of that strain has in use."""
    return min(
        MAX_UTILISATION, max(0.0, 1.0 - IDLE_LATENCY_RATIO / max(latency_ratio, IDLE_LATENCY_RATIO))
    )


def interference_headroom(baseline: float) -> float:
    """Return what filling runs may add to a run that takes ``own`` by itself now."""
    expected_baseline = max(baseline, min(PEAK_BASELINE_UTILISATION, baseline + BASELINE_RISE))
    return max(0.0, UTILISATION_LIMIT - expected_baseline)


@attrs.define
class _LeastSquaresFit:
    """Weighted sums over the readings of one serving image, and the weights that fit them.

    Earlier readings fade by letting the say of new ones grow.
    """

    weight_by_image: dict[str, float] = attrs.field(factory=dict)
    _sample_weight: float = 1.0
    _covariance_by_image: dict[str, float] = attrs.field(factory=dict)
    """Sum of deviations in cores times deviations in occupancy."""

    _covariance_by_pair: dict[tuple[str, str], float] = attrs.field(factory=dict)
    """Sum of deviations in cores times deviations in cores."""

    def add(self, utilisation_deviation: float, cores_deviation_by_image: dict[str, float]) -> None:
        """Take one reading in and fit the weights of the images present."""
        self._sample_weight /= FORGETTING_FACTOR
        covariances, pair_covariances = self._covariance_by_image, self._covariance_by_pair
        for image, deviation in cores_deviation_by_image.items():
            covariances[image] = (
                covariances.get(image, 0.0)
                + self._sample_weight * deviation * utilisation_deviation
            )
            for other, other_deviation in cores_deviation_by_image.items():
                key = image, other
                pair_covariances[key] = (
                    pair_covariances.get(key, 0.0)
                    + self._sample_weight * deviation * other_deviation
                )
        for image in cores_deviation_by_image:
            self._update_weight(image)
        if self._sample_weight > _MAX_SAMPLE_WEIGHT:
            self._rescale()
        self._drop_images_beyond(MAX_IMAGES)

    def _update_weight(self, image: str) -> None:
        explained = sum(
            self._covariance_by_pair.get((image, other), 0.0) * self.weight_by_image.get(other, 0.0)
            for other in self._covariance_by_image
            if other != image
        )
        strength = PRIOR_STRENGTH * self._sample_weight
        residual = self._covariance_by_image[image] + strength * PRIOR_WEIGHT - explained
        self.weight_by_image[image] = max(
            0.0, residual / (self._covariance_by_pair[image, image] + strength)
        )

    def _rescale(self) -> None:
        for sums in (self._covariance_by_image, self._covariance_by_pair):
            for key in sums:
                sums[key] /= self._sample_weight
        self._sample_weight = 1.0

    def _drop_images_beyond(self, max_images: int) -> None:
        while len(self._covariance_by_image) > max_images:
            least_sampled = min(
                self._covariance_by_image, key=lambda i: self._covariance_by_pair[i, i]
            )
            del self._covariance_by_image[least_sampled]
            self.weight_by_image.pop(least_sampled, None)
            for pair in [pair for pair in self._covariance_by_pair if least_sampled in pair]:
                del self._covariance_by_pair[pair]


class InterferenceModel:
    """Occupancy per core of a filling image, by pairs of images (filling, serving)."""

    def __init__(self, weight_by_pair: dict[tuple[str, str], float] | None = None):
        self._fit_by_serving_image: dict[str, _LeastSquaresFit] = {}
        for (best_effort_image, serving_image), weight in (weight_by_pair or {}).items():
            self._fit_for(serving_image).weight_by_image[best_effort_image] = weight

    def changed_weights(self, committed_by_pair: dict[tuple[str, str], float]) -> list[PairWeight]:
        """Return the weights that differ from those known by enough to be told."""
        return [
            PairWeight(best_effort_image, serving_image, weight)
            for serving_image, fit in self._fit_by_serving_image.items()
            for best_effort_image, weight in fit.weight_by_image.items()
            if abs(weight - committed_by_pair.get((best_effort_image, serving_image), PRIOR_WEIGHT))
            > MIN_COMMITTED_CHANGE
        ]

    def weight(self, best_effort_image: str, serving_image: str) -> float:
        """Return the occupancy that one core of the one image adds to the other."""
        fit = self._fit_by_serving_image.get(serving_image)
        return fit.weight_by_image.get(best_effort_image, PRIOR_WEIGHT) if fit else PRIOR_WEIGHT

    def added_utilisation(self, serving_image: str, cores_by_image: dict[str, float]) -> float:
        """Return the occupancy that those filling images add to a serving run."""
        return sum(
            self.weight(image, serving_image) * cores for image, cores in cores_by_image.items()
        )

    def add_sample(
        self,
        serving_image: str,
        utilisation_deviation: float,
        cores_deviation_by_image: dict[str, float],
    ) -> None:
        """Correct the weights by one reading of one run.

        ``response`` is by how much its occupancy differs from its average of late,
        ``cores_by_image`` the same of the processors on which each image works beside it.
        """
        if cores_deviation_by_image:
            self._fit_for(serving_image).add(utilisation_deviation, cores_deviation_by_image)

    def throttle_shares(
        self, serving_image: str, cores_by_image: dict[str, float], headroom: float
    ) -> dict[str, float]:
        """Return the images to slow down so that they add no more than ``room``, worst first.

        Each comes with the share of its cores, from 0 to 1, at which it may stay.
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
