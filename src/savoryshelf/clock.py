"""Interface to the monotonic and the wall clock, which tests replace by fakes.

Leases are measured on a clock that never steps and that includes the time for
which the host was suspended: on resuming, the host must find its leases expired.
The wall clock is used for the times in records and for the expiry of records.
"""

import time
from typing import Protocol

import eventlet

CLOCK_DRIFT_ALLOWANCE = 0.02
"""Largest error of the rate of a host's monotonic clock, either way, as a ratio to real time."""


class Clock(Protocol):
    """Clocks for code that does I/O; deterministic code receives the time as an argument."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never steps."""

    def wall_ms(self) -> int:
        """Return milliseconds since the epoch; may step."""

    def sleep(self, seconds: float) -> None:
        """Suspend this green thread for that long, so that others can run."""


class SystemClock:
    """The clocks of the operating system."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never steps, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_ms(self) -> int:
        """Return milliseconds since the epoch; may step."""
        return int(time.time() * 1000)

    def sleep(self, seconds: float) -> None:
        """Suspend this green thread for that long, so that others can run."""
        eventlet.sleep(seconds)
