"""Hypothesis settings of the whole suite; the same examples run every time."""

import os

from hypothesis import HealthCheck, Phase, settings

# Runs that need only pass or fail skip the shrinking of failing examples.
PHASES = [Phase.explicit, Phase.generate]
if os.environ.get("SHRINK_FAILURES", "1") == "1":
    PHASES.append(Phase.shrink)

settings.register_profile(
    "suite",
    derandomize=True,
    deadline=None,
    max_examples=60,
    phases=PHASES,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
settings.load_profile("suite")
