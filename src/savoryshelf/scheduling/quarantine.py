"""Quarantines workers that keep failing requests.

A worker that fails every request fails fast, so it has little outstanding
work and a load balancer would prefer it.  Therefore a few consecutive failures
quarantine the worker.  After the quarantine, one request probes it; each failed
probe doubles the next quarantine.  ``may_quarantine`` bounds the share of the
fleet that is quarantined.

A quarantine is a preference: work that no other worker can run may probe a
quarantined worker early, one request at a time and at a bounded pace.
"""

import attrs

FAILURES_BEFORE_QUARANTINE = 4
QUARANTINE_SECONDS = 2.0
MAX_QUARANTINE_SECONDS = 60.0
MAX_QUARANTINED_SHARE = 0.5

EARLY_PROBE_INTERVAL_SECONDS = 0.5
"""Minimum time between the starts of two early probes of one worker."""

MAX_PROBE_SECONDS = 2.0
"""Age of a probe without an outcome from which it does not prevent an early probe."""


@attrs.define
class QuarantineState:
    """The consecutive failures and the quarantine of one worker."""

    consecutive_failures: int = 0
    quarantined_until: float = float("-inf")
    next_quarantine_seconds: float = QUARANTINE_SECONDS
    is_probing: bool = False
    last_probe_at: float = float("-inf")

    def record_success(self) -> None:
        """Record a successful request: this ends the quarantine and resets its length."""
        self.consecutive_failures = 0
        self.is_probing = False
        self.next_quarantine_seconds = QUARANTINE_SECONDS
        self.quarantined_until = float("-inf")

    def record_failure(self, now: float) -> None:
        """Count a failure; enough consecutive ones, or a failed probe, start a quarantine."""
        self.consecutive_failures += 1
        # Further failures, such as those of requests already in flight or of early probes, do
        # not extend a quarantine.
        is_failed_probe = self.is_probing and now >= self.quarantined_until
        self.is_probing = False
        if is_failed_probe or self.consecutive_failures == FAILURES_BEFORE_QUARANTINE:
            self.quarantined_until = now + self.next_quarantine_seconds
            doubled = self.next_quarantine_seconds * 2
            self.next_quarantine_seconds = min(doubled, MAX_QUARANTINE_SECONDS)

    def record_rejection(self) -> None:
        """Record a request that the worker did not run: it says nothing about the worker's health.

        If it was a probe, the next request may be a probe again.
        """
        self.is_probing = False

    def is_quarantined(self, now: float) -> bool:
        """Return whether the worker is quarantined or a probe of it is in flight."""
        return now < self.quarantined_until or self.is_probing

    def begin_probe_if_due(self, now: float) -> None:
        """Mark the next request as a probe if a quarantine has ended and no success followed."""
        if (
            self.consecutive_failures >= FAILURES_BEFORE_QUARANTINE
            and now >= self.quarantined_until
        ):
            self.begin_probe(now)

    def begin_probe(self, now: float) -> None:
        """Mark the next request as a probe."""
        self.is_probing = True
        self.last_probe_at = now

    def may_probe_early(self, now: float) -> bool:
        """Return whether a request may probe the worker now if no other worker can run it."""
        interval = MAX_PROBE_SECONDS if self.is_probing else EARLY_PROBE_INTERVAL_SECONDS
        return now - self.last_probe_at >= interval


def may_quarantine(quarantined: int, total: int) -> bool:
    """Return whether one more worker may be quarantined.

    If most of a fleet fails, the cause is the requests or something that all
    workers share.  More quarantines would then only reduce the number of requests
    that still succeed.
    """
    return quarantined < max(1, int(total * MAX_QUARANTINED_SHARE))
