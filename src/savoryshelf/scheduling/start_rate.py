"""Limits the starts of best-effort runs to what the leader has processor time for.

Each run costs the leader several calls.  A leader without processor time to spare is late
with all of them: other work starts late, and capacity stays reserved after a run has
ended.  The lag of a timer shows that before anything else does, whatever the reason, and
a slow disk or network does not cause it.
"""

import attrs

MAX_LAG_SECONDS = 0.03
"""Mean lag of the leader's timers above which it has no processor time to spare."""

MEASURE_INTERVAL_SECONDS = 0.05
"""Length of the timers whose lag is measured."""

ADJUST_INTERVAL_SECONDS = 0.25
"""Time between two adjustments of the rate; the effect of one shows within it."""

AVERAGING_FACTOR = 0.3
"""Weight of the newest lag in the mean."""

MAX_RATE = 1000.0
MIN_RATE = 10.0
RATE_STEP = 15.0
"""Starts per second: the bounds of the rate, and by how much it rises at an adjustment."""

DECREASE_FACTOR = 0.7
"""By which the rate falls at an adjustment."""


@attrs.define
class StartRate:
    """Additive increase, multiplicative decrease of the rate of best-effort starts.

    Times are seconds on the monotonic clock.
    """

    rate: float = MAX_RATE
    mean_lag: float = 0.0
    _allowance: float = 0.0
    _refilled_at: float | None = None
    _adjusted_at: float | None = None

    def record_lag(self, lag: float, now: float) -> None:
        """Take a measured lag of a timer, in seconds, into account."""
        self.mean_lag += AVERAGING_FACTOR * (lag - self.mean_lag)
        if self._adjusted_at is None:
            self._adjusted_at = now
        if now - self._adjusted_at < ADJUST_INTERVAL_SECONDS:
            return
        self._adjusted_at = now
        if self.mean_lag > MAX_LAG_SECONDS:
            self.rate = max(MIN_RATE, DECREASE_FACTOR * self.rate)
        else:
            self.rate = min(MAX_RATE, self.rate + RATE_STEP)

    def allowed_starts(self, now: float) -> int:
        """Return how many starts the rate allows now."""
        burst = self.rate * ADJUST_INTERVAL_SECONDS
        elapsed = ADJUST_INTERVAL_SECONDS if self._refilled_at is None else now - self._refilled_at
        self._refilled_at = now
        self._allowance = min(burst, self._allowance + self.rate * elapsed)
        return max(0, int(self._allowance))

    def record_starts(self, count: int) -> None:
        """Count starts that were made; those beyond the allowance delay later ones."""
        self._allowance -= count
