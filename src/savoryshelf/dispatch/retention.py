"""When jobs that ended are forgotten, counted on a clock that never steps.

The ledger's time is the wall clock of whoever led, and may have jumped ahead by
hours; it only ever rises, so it can tell what was before what.  A leader
therefore remembers what the ledger's time was at moments of its own clock, and
forgets what had ended by a moment that is long enough ago.
"""

from collections import deque

import attrs

SAMPLE_INTERVAL_SECONDS = 10.0
"""Between two remembered moments; a job is kept at most this much longer."""


@attrs.define
class Retention:
    """One leader's moments; a new leader starts anew, and keeps jobs longer."""

    retention_seconds: float
    _samples: deque[tuple[float, int]] = attrs.field(factory=deque)

    def expiry_cutoff_ms(self, ledger_ms: int, now: float) -> int | None:
        """Return the ledger's time before which ended jobs may go, if there is a new one."""
        if not self._samples or now - self._samples[-1][0] >= SAMPLE_INTERVAL_SECONDS:
            self._samples.append((now, ledger_ms))
        cutoff = None
        while self._samples and now - self._samples[0][0] >= self.retention_seconds:
            cutoff = self._samples.popleft()[1]
        return cutoff
