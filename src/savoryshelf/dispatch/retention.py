"""When jobs that ended are forgotten, counted on a clock that never steps.

The ledger's time is the wall clock of whoever led, and may have jumped ahead by
hours; it only ever rises, so it can tell what was before what.  A leader
therefore remembers what the ledger's time was at moments of its own clock, and
forgets what had ended by a moment that is long enough ago.
"""

from collections import deque

import attrs

MARK_SECONDS = 10.0
"""Between two remembered moments; a job is kept at most this much longer."""


@attrs.define
class Retention:
    """One leader's moments; a new leader starts anew, and keeps jobs longer."""

    keep_seconds: float
    _marks: deque[tuple[float, int]] = attrs.field(factory=deque)

    def forget_before(self, ledger_ms: int, now: float) -> int | None:
        """Return the ledger's time before which ended jobs may go, if there is a new one."""
        if not self._marks or now - self._marks[-1][0] >= MARK_SECONDS:
            self._marks.append((now, ledger_ms))
        passed = None
        while self._marks and now - self._marks[0][0] >= self.keep_seconds:
            passed = self._marks.popleft()[1]
        return passed
