"""The seam for time.

Leases are measured on a clock that never steps and that counts the time for
which this host was suspended: a host that wakes must find its leases lapsed.
The wall clock is for records and expiry.
"""

import time
from typing import Protocol

import eventlet

CLOCK_DRIFT_ALLOWANCE = 0.02
"""How much faster or slower one host's monotonic clock may run (a ratio)."""


class Clock(Protocol):
    """Where a shell reads the time; cores are handed the time as a number."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never steps."""

    def wall_ms(self) -> int:
        """Return milliseconds since the epoch; may step."""

    def sleep(self, seconds: float) -> None:
        """Let other green threads run for that long."""


class SystemClock:
    """The clocks of this host."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never steps, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_ms(self) -> int:
        """Return milliseconds since the epoch; may step."""
        return int(time.time() * 1000)

    def sleep(self, seconds: float) -> None:
        """Let other green threads run for that long."""
        eventlet.sleep(seconds)
