"""When ended jobs are deleted, measured on the leader's monotonic clock.

The ledger's time is the wall clock of past leaders and may have jumped ahead by
hours, so it cannot measure how long ago a job ended.  It never goes back, so it
can order events.  A leader therefore samples the ledger's time against its own
monotonic clock, and deletes the jobs that had ended by a sample which is older
than the retention time.
"""

from collections import deque

import attrs

SAMPLE_INTERVAL_SECONDS = 10.0
"""Time between samples, in seconds; a job is kept at most this much too long."""


@attrs.define
class Retention:
    """Samples of the ledger's time, taken during one term.

    A new leader starts without samples, so jobs are kept longer after a takeover.
    """

    retention_seconds: float
    _samples: deque[tuple[float, int]] = attrs.field(factory=deque)

    def expiry_cutoff_ms(self, ledger_ms: int, now: float) -> int | None:
        """Return the ledger's time before which ended jobs may be deleted, in ms.

        Takes a sample if one is due.  Returns None if the cutoff has not moved.
        """
        if not self._samples or now - self._samples[-1][0] >= SAMPLE_INTERVAL_SECONDS:
            self._samples.append((now, ledger_ms))
        cutoff = None
        while self._samples and now - self._samples[0][0] >= self.retention_seconds:
            cutoff = self._samples.popleft()[1]
        return cutoff
