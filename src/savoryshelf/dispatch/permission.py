"""The permission of an agent to call its workers, granted by the leader's replies to its reports.

It is counted from before the report was sent, so an agent that was paused, or whose reply
came late, has less of it left.  A new leader is elected, and moves workers to other
agents, without the consent of an agent that it cannot reach; the next agent of a worker
therefore waits ``PERMISSION_SECONDS`` longer before it takes the worker's leases for expired.
"""

import attrs

from ..clock import CLOCK_DRIFT_ALLOWANCE

PERMISSION_SECONDS = 0.7
"""How long one reply permits calls: three report intervals, and less than an election timeout."""


@attrs.define
class Permission:
    """Times are seconds on this host's monotonic clock, suspensions included."""

    _valid_until: float = float("-inf")
    _newest_token: int = 0

    def renew(self, requested_at: float, newest_token: int) -> None:
        """Take a reply to the report that was sent at ``requested_at`` into account.

        ``newest_token`` is the newest fencing token that the leader had given out.
        """
        self._valid_until = max(
            self._valid_until, requested_at + PERMISSION_SECONDS * (1 - CLOCK_DRIFT_ALLOWANCE)
        )
        self._newest_token = max(self._newest_token, newest_token)

    def is_valid(self, now: float, applied_token: int) -> bool:
        """Return whether workers may be called now.

        ``applied_token`` is the newest fencing token in the ledger of this host.  Until it
        has caught up with the leader, this host may take itself for the agent of workers
        that have another one.
        """
        return now < self._valid_until and applied_token >= self._newest_token
