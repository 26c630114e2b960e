"""Keeps work away from workers that fail what they start, without losing the fleet.

A worker which fails everything is fast, so by outstanding work it looks idle
and would draw ever more.  Outcomes decide instead: a few failures in a row
quarantine the worker for a time that doubles, then one request probes it.
"""

import attrs

FAILURES_BEFORE_QUARANTINE = 4
QUARANTINE_SECONDS = 2.0
MAX_QUARANTINE_SECONDS = 60.0
MAX_QUARANTINED_SHARE = 0.5


@attrs.define
class OutcomeRecord:
    """The recent outcomes of one worker."""

    consecutive_failures: int = 0
    quarantined_until: float = float("-inf")
    next_quarantine_seconds: float = QUARANTINE_SECONDS
    is_probing: bool = False

    def record_success(self) -> None:
        """Count an answer; the worker is trusted again."""
        self.consecutive_failures = 0
        self.is_probing = False
        self.next_quarantine_seconds = QUARANTINE_SECONDS
        self.quarantined_until = float("-inf")

    def record_failure(self, now: float) -> None:
        """Count a failure; enough of them in a row start or prolong a quarantine."""
        self.consecutive_failures += 1
        if self.is_probing or self.consecutive_failures == FAILURES_BEFORE_QUARANTINE:
            self.is_probing = False
            self.quarantined_until = now + self.next_quarantine_seconds
            doubled = self.next_quarantine_seconds * 2
            self.next_quarantine_seconds = min(doubled, MAX_QUARANTINE_SECONDS)

    def record_rejection(self) -> None:
        """Note that a dispatch was not run: it tells nothing, and a probe may be repeated."""
        self.is_probing = False

    def is_quarantined(self, now: float) -> bool:
        """Return whether work is kept away; one probe may pass when the time is over."""
        return now < self.quarantined_until or self.is_probing

    def begin_probe_if_due(self, now: float) -> None:
        """Note that the next dispatch is a probe, if a quarantine has just ended."""
        if (
            self.consecutive_failures >= FAILURES_BEFORE_QUARANTINE
            and now >= self.quarantined_until
        ):
            self.is_probing = True


def may_quarantine(quarantined: int, total: int) -> bool:
    """Return whether one more worker may be kept away.

    When most of a fleet fails, the cause is the requests or something common
    to all, and keeping the workers away would only lose what still succeeds.
    """
    return quarantined < max(1, int(total * MAX_QUARANTINED_SHARE))
