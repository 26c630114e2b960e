"""Virtual time for tests whose fakes and product read the clock of the system."""

import pytest

from savoryshelf.clock import SystemClock

from ..virtual_time import virtual_time


@pytest.fixture
def on_virtual_time(monkeypatch):
    """Run a test, and the fixtures that it names, on virtual time; yield its clock.

    A pause of the test process then takes no time: on real time, one that is longer than the
    short leases of the fakes lets them lapse.
    """
    with virtual_time() as clock:
        monkeypatch.setattr(SystemClock, "monotonic", lambda self: clock.monotonic())
        monkeypatch.setattr(SystemClock, "wall_ms", lambda self: clock.wall_ms())
        yield clock
