"""Deadlines of a lease, as its holder and its granter compute them.

Each side uses its own monotonic clock, whose rate may be off by
``CLOCK_DRIFT_ALLOWANCE``.  The holder counts from before it sent the request,
the granter from after it received it, so the holder always stops first.
"""

from .clock import CLOCK_DRIFT_ALLOWANCE

ENTRY_LEASE_SECONDS = 6.0
"""How long an entry host may serve without a reply from the control leader."""

SAFETY_MARGIN_SECONDS = 0.25
"""Covers the time between a holder's last check of its lease and the action that follows.

The holder stops this much earlier, and the granter waits this much longer.
"""


def holder_deadline(requested_at: float, lease_seconds: float) -> float:
    """Return when the holder must stop relying on the lease, on the holder's clock."""
    return requested_at + lease_seconds * (1 - CLOCK_DRIFT_ALLOWANCE) - SAFETY_MARGIN_SECONDS


def granter_deadline(received_at: float, lease_seconds: float) -> float:
    """Return when the holder is certain to have stopped, on the granter's clock."""
    return received_at + lease_seconds * (1 + CLOCK_DRIFT_ALLOWANCE) + SAFETY_MARGIN_SECONDS
