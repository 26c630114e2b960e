"""Hypothesis settings of the whole suite, with the same examples every time, and virtual time."""

import os

import pytest
from hypothesis import HealthCheck, Phase, settings

from savoryshelf.clock import SystemClock

from .virtual_time import virtual_time

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


@pytest.fixture
def on_virtual_time(request, monkeypatch):
    """Run a test, and the fixtures that it names, on virtual time; yield its clock.

    A pause of the test process then takes no time: on real time, one that is longer than the
    short leases of the fakes lets them lapse.  The green threads that a test starts end with it.
    An indirect parameter is the seed of ``random``.
    """
    with virtual_time(getattr(request, "param", 0)) as clock:
        monkeypatch.setattr(SystemClock, "monotonic", lambda self: clock.monotonic())
        monkeypatch.setattr(SystemClock, "wall_ms", lambda self: clock.wall_ms())
        yield clock
