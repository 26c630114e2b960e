"""Whether this entry host may still act on what control told it."""

from ..leases import holder_deadline


class ControlLease:
    """The lease that each answered sync renews.

    While it holds, the configuration here is at most one lease old and nobody
    else owns this host's workers.  Without it the host claims nothing.
    """

    def __init__(self):
        self._deadline = float("-inf")

    def renew(self, requested_at: float, lease_seconds: float) -> None:
        """Note an answer to a sync sent at ``asked_at``."""
        self._deadline = max(self._deadline, holder_deadline(requested_at, lease_seconds))

    def is_valid(self, now: float) -> bool:
        """Return whether the lease holds."""
        return now < self._deadline

    def release(self) -> None:
        """Stop relying on the lease."""
        self._deadline = float("-inf")
