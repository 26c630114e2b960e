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

IDLE_STRAIN = 0.2
"""Strain of a serving run without any load: targets are usually set at five times that tail."""

HIGHEST_OCCUPANCY = 0.97
"""Occupancies are cut off here: far beyond any decision, and readings are rough up there."""

FIRST_WEIGHT = 0.018
"""Occupancy per core assumed of a pair that was never seen: low enough to be tried out."""

FIRST_WEIGHT_COUNTS = 2.0
"""In squared cores, how much the assumption counts against readings: one step of 1.4 cores."""

KEPT_BY_READING = 0.998
"""Share of the earlier readings' say that is left after another: some 25 s at 20 a second."""

TOLD_DIFFERENCE = 0.02
"""A weight is committed for the next leader when it has changed by more than this."""

BEARABLE_OCCUPANCY = 0.76
"""Occupancy up to which filling runs may bring a serving one: a strain of 0.83."""

HIGHEST_OWN_OCCUPANCY = 0.68
"""What a serving run takes by itself at its highest usual load: a strain of 0.62."""

OWN_RISE = 0.2
"""How far its own load may rise while a filling run beside it works: two to three seconds."""

STRAINED_OCCUPANCY = 0.7
"""Above this, a strain of 0.67, the filling runs beside a serving one give way."""

HARMLESS_EXCESS = 0.02
"""What an image adds below this is within the error of its weight and never held against it."""

MOST_IMAGES = 64
"""Images remembered on either side; callers name them, so their number has to be bounded."""

_RESCALE = 1e9
"""Sums are scaled back when the say of one reading has grown to this."""


def occupancy(strain: float) -> float:
    """Return the share of its capacity that a serving run of that strain has in use."""
    return min(HIGHEST_OCCUPANCY, max(0.0, 1.0 - IDLE_STRAIN / max(strain, IDLE_STRAIN)))


def room_beside(own: float) -> float:
    """Return what filling runs may add to a run that takes ``own`` by itself now."""
    expected = max(own, min(HIGHEST_OWN_OCCUPANCY, own + OWN_RISE))
    return max(0.0, BEARABLE_OCCUPANCY - expected)


@attrs.define
class _Fit:
    """Weighted sums over the readings of one serving image, and the weights that fit them.

    Earlier readings fade by letting the say of new ones grow.
    """

    weight_by_image: dict[str, float] = attrs.field(factory=dict)
    _say: float = 1.0
    _response_by_image: dict[str, float] = attrs.field(factory=dict)
    """Sum of deviations in cores times deviations in occupancy."""

    _product_by_images: dict[tuple[str, str], float] = attrs.field(factory=dict)
    """Sum of deviations in cores times deviations in cores."""

    def add(self, response: float, cores_by_image: dict[str, float]) -> None:
        """Take one reading in and fit the weights of the images present."""
        self._say /= KEPT_BY_READING
        responses, products = self._response_by_image, self._product_by_images
        for image, cores in cores_by_image.items():
            responses[image] = responses.get(image, 0.0) + self._say * cores * response
            for other, more in cores_by_image.items():
                key = image, other
                products[key] = products.get(key, 0.0) + self._say * cores * more
        for image in cores_by_image:
            self._fit(image)
        if self._say > _RESCALE:
            self._rescale()
        self._forget_beyond(MOST_IMAGES)

    def _fit(self, image: str) -> None:
        explained = sum(
            self._product_by_images.get((image, other), 0.0) * self.weight_by_image.get(other, 0.0)
            for other in self._response_by_image
            if other != image
        )
        assumed = FIRST_WEIGHT_COUNTS * self._say
        left = self._response_by_image[image] + assumed * FIRST_WEIGHT - explained
        self.weight_by_image[image] = max(
            0.0, left / (self._product_by_images[image, image] + assumed)
        )

    def _rescale(self) -> None:
        for sums in (self._response_by_image, self._product_by_images):
            for key in sums:
                sums[key] /= self._say
        self._say = 1.0

    def _forget_beyond(self, most: int) -> None:
        while len(self._response_by_image) > most:
            least = min(self._response_by_image, key=lambda i: self._product_by_images[i, i])
            del self._response_by_image[least]
            self.weight_by_image.pop(least, None)
            for pair in [pair for pair in self._product_by_images if least in pair]:
                del self._product_by_images[pair]


class Disturbance:
    """Occupancy per core of a filling image, by pairs of images (filling, serving)."""

    def __init__(self, weight_by_pair: dict[tuple[str, str], float] | None = None):
        self._fit_by_serving: dict[str, _Fit] = {}
        for (filling, serving), weight in (weight_by_pair or {}).items():
            self._fit(serving).weight_by_image[filling] = weight

    def learned_beyond(self, known_by_pair: dict[tuple[str, str], float]) -> list[PairWeight]:
        """Return the weights that differ from those known by enough to be told."""
        return [
            PairWeight(filling, serving, weight)
            for serving, fit in self._fit_by_serving.items()
            for filling, weight in fit.weight_by_image.items()
            if abs(weight - known_by_pair.get((filling, serving), FIRST_WEIGHT)) > TOLD_DIFFERENCE
        ]

    def weight(self, filling: str, serving: str) -> float:
        """Return the occupancy that one core of the one image adds to the other."""
        fit = self._fit_by_serving.get(serving)
        return fit.weight_by_image.get(filling, FIRST_WEIGHT) if fit else FIRST_WEIGHT

    def excess(self, serving: str, cores_by_image: dict[str, float]) -> float:
        """Return the occupancy that those filling images add to a serving run."""
        return sum(self.weight(image, serving) * cores for image, cores in cores_by_image.items())

    def learn(self, serving: str, response: float, cores_by_image: dict[str, float]) -> None:
        """Correct the weights by one reading of one run.

        ``response`` is by how much its occupancy differs from its average of late,
        ``cores_by_image`` the same of the processors on which each image works beside it.
        """
        if cores_by_image:
            self._fit(serving).add(response, cores_by_image)

    def blamed(
        self, serving: str, cores_by_image: dict[str, float], room: float
    ) -> dict[str, float]:
        """Return the images to slow down so that they add no more than ``room``, worst first.

        Each comes with the share of its cores, from 0 to 1, at which it may stay.
        """
        left, share_by_image = dict(cores_by_image), {}
        while left and (added := self.excess(serving, left)) > room:
            worst = max(left, key=lambda image: self.weight(image, serving) * left[image])
            excess = self.weight(worst, serving) * left.pop(worst)
            if excess < HARMLESS_EXCESS:
                break
            share_by_image[worst] = min(1.0, max(0.0, room - added + excess) / excess)
        return share_by_image

    def _fit(self, serving: str) -> _Fit:
        fit = self._fit_by_serving.get(serving)
        if fit is None:
            if len(self._fit_by_serving) >= MOST_IMAGES:
                del self._fit_by_serving[next(iter(self._fit_by_serving))]
            fit = self._fit_by_serving[serving] = _Fit()
        return fit
