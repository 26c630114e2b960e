"""How a stand-in worker's serving runs are slowed down: by their load, and by best-effort runs.

All of it follows from names and times, so that a seed that draws the names draws this too.
"""

import functools
import random

IDLE_SHARE = 0.2
"""Tail latency of an idle serving run, as a share of its target."""

MAX_UTILISATION = 0.97
WINDOW_SECONDS = 0.5
"""Period that a figure of a run covers."""

LOAD_SECONDS = 2.0
"""How long the load of a serving run stays as it is."""

USUAL_LOAD = (0.3, 0.68)
PEAK_LOAD = (0.82, 0.95)
"""Loads at which a serving run is over its target by itself."""

PEAK_SHARE = 0.2
"""Share of the time at a peak."""

ADDED_PER_CORE = (0.02, 0.3)
"""What one core of a best-effort image adds to the utilisation of a serving image."""


@functools.cache
def added_per_core(image: str, serving_image: str) -> float:
    """Return what a core of a best-effort image adds to the utilisation of a serving image."""
    return random.Random(f"{image} beside {serving_image}").uniform(*ADDED_PER_CORE)


def load(task: str, seconds: float) -> float:
    """Return the utilisation of a serving task by its own load, so many seconds into a day."""
    rng = random.Random(f"load of {task}, {int(seconds / LOAD_SECONDS)}")
    return rng.uniform(*(PEAK_LOAD if rng.random() < PEAK_SHARE else USUAL_LOAD))


def tail_ms(target_ms: int, utilisation: float) -> int:
    """Return the tail latency of a serving run; it is over its target from 0.8 on."""
    return int(target_ms * IDLE_SHARE / (1.0 - min(MAX_UTILISATION, utilisation)))
