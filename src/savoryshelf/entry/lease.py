"""The lease under which an entry host may act on the state it got from control."""

from ..leases import holder_deadline


class ControlLease:
    """The lease that each successful sync renews.

    While it is valid, the configuration here is at most one lease old and no
    other host owns this host's workers.  Without it the host serves nothing.
    """

    def __init__(self):
        self._deadline = float("-inf")

    def renew(self, requested_at: float, lease_seconds: float) -> None:
        """Extend the lease after a reply to a sync sent at ``requested_at``."""
        self._deadline = max(self._deadline, holder_deadline(requested_at, lease_seconds))

    def is_valid(self, now: float) -> bool:
        """Return whether the lease is valid at ``now``."""
        return now < self._deadline

    def release(self) -> None:
        """End the lease at once."""
        self._deadline = float("-inf")
