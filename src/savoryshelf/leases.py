"""How long a lease lasts, for the one who holds it and the one who granted it.

Both sides measure on their own monotonic clocks, which may run apart by
``CLOCK_DRIFT_ALLOWANCE``.  The holder counts from before it asked, the granter
from after it heard the asking, so the holder always stops first.
"""

from .clock import CLOCK_DRIFT_ALLOWANCE

ENTRY_LEASE_SECONDS = 6.0
"""How long an entry host may serve without hearing from the control leader."""

SAFETY_MARGIN_SECONDS = 0.25
"""What a holder leaves unused for the time between its last look and the act."""


def holder_deadline(requested_at: float, lease_seconds: float) -> float:
    """Return when the holder must stop, on its own clock."""
    return requested_at + lease_seconds * (1 - CLOCK_DRIFT_ALLOWANCE) - SAFETY_MARGIN_SECONDS


def granter_deadline(received_at: float, lease_seconds: float) -> float:
    """Return when the granter may be sure that the holder has stopped, on its own clock."""
    return received_at + lease_seconds * (1 + CLOCK_DRIFT_ALLOWANCE) + SAFETY_MARGIN_SECONDS
