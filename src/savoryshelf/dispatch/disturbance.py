"""How much filling runs slow down the serving runs beside them, learned by pairs of images.

The strain of a serving run is its tail of response times over its target.  It
is taken to be a resting strain and, for each image that fills beside it, a
weight times the processors which that image works on.  The weights are found
by normalised least mean squares: one reading corrects all the pairs present,
each by its share, so that pairs which are never alone are told apart too.
"""

import attrs

from ..wire.generated.ttypes import PairWeight

REST_STRAIN = 0.45
"""Strain of a serving run that nothing disturbs, at a middling load of its own."""

FIRST_WEIGHT = 0.03
"""Strain per core assumed of a pair that was never seen: low enough to be tried out."""

RISING_RATE = 0.5
"""Share of an error corrected where a reading is worse than predicted: one or two suffice."""

FALLING_RATE = 0.03
"""The same where it is better; slow, since readings lag and a disturbed pair is dear."""

NOISE = 0.25
"""A reading this much above its prediction teaches nothing: the run's own load swings so far."""

TOLD_DIFFERENCE = 0.05
"""A weight is committed for the next leader when it has changed by more than this."""

HIGHEST_STRAIN = 4.0
"""Readings above are taken for this: far beyond any decision, and they would swing the weights."""

BEARABLE_STRAIN = 0.75
"""Predicted strain up to which one more filling run is placed."""

SLOW_STRAIN = 0.9
"""Measured strain at which filling runs beside the serving one are slowed down."""

CALM_STRAIN = 0.65
"""Measured strain below which they may go faster again: a resting run at its highest load."""

LONGEST_SLOW_SECONDS = 1.5
"""A serving run over its target for so long has all filling runs yield, explained or not."""

WINDOW_SECONDS = 0.5
"""A worker's figure for a run covers about this time."""


@attrs.define
class Disturbance:
    """Strain per core of a filling image, by pairs of images."""

    _weight_by_pair: dict[tuple[str, str], float] = attrs.field(factory=dict)

    def learned_beyond(self, known_by_pair: dict[tuple[str, str], float]) -> list[PairWeight]:
        """Return the weights that differ from those known by enough to be told."""
        return [
            PairWeight(*pair, weight)
            for pair, weight in self._weight_by_pair.items()
            if abs(weight - known_by_pair.get(pair, FIRST_WEIGHT)) > TOLD_DIFFERENCE
        ]

    def weight(self, filling: str, serving: str) -> float:
        """Return the strain that one core of the one image puts on the other."""
        return self._weight_by_pair.get((filling, serving), FIRST_WEIGHT)

    def predict(self, serving: str, cores_by_image: dict[str, float]) -> float:
        """Return the strain to be expected of a serving run beside those filling ones."""
        return REST_STRAIN + sum(
            self.weight(image, serving) * cores for image, cores in cores_by_image.items()
        )

    def learn(self, serving: str, strain: float, cores_by_image: dict[str, float]) -> None:
        """Correct the weights by one reading."""
        power = sum(cores * cores for cores in cores_by_image.values())
        error = min(strain, HIGHEST_STRAIN) - self.predict(serving, cores_by_image)
        if power <= 0.0 or 0.0 <= error <= NOISE:
            return
        correction = RISING_RATE * (error - NOISE) if error > 0.0 else FALLING_RATE * error
        for image, cores in cores_by_image.items():
            weight = self.weight(image, serving) + correction * cores / max(1.0, power)
            self._weight_by_pair[image, serving] = max(0.0, weight)

    def blamed(self, serving: str, cores_by_image: dict[str, float]) -> list[str]:
        """Return the images whose leaving makes a serving run bearable, the worst first."""
        left, leaving = dict(cores_by_image), []
        while left and self.predict(serving, left) > BEARABLE_STRAIN:
            worst = max(left, key=lambda image: self.weight(image, serving) * left[image])
            leaving.append(worst)
            del left[worst]
        return leaving
