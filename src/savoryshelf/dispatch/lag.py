"""Measures how late the timers of this process are, which shows whether its processor is busy."""

from collections.abc import Iterator

from ..clock import Clock
from ..scheduling.start_rate import MEASURE_INTERVAL_SECONDS


def measure_lag(clock: Clock) -> Iterator[float]:
    """Yield the lag in seconds of one timer after the other, without end."""
    while True:
        began_at = clock.monotonic()
        clock.sleep(MEASURE_INTERVAL_SECONDS)
        yield clock.monotonic() - began_at - MEASURE_INTERVAL_SECONDS
