"""Settings of the whole suite: the same verdict in every run."""

import os

from hypothesis import HealthCheck, Phase, settings

# Where only the verdict counts, a failure need not be made small first.
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
