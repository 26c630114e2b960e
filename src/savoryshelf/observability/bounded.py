"""Log lines of events that may come many times a second: at most one line per kind and interval."""

import attrs

from ..clock import Clock
from .logs import log_event

LOG_INTERVAL_SECONDS = 5.0
"""Shortest time between two lines of one kind."""

MAX_KINDS = 64
"""Bound on the kinds that are remembered; above it some are logged once more."""


@attrs.define
class _Kind:
    logged_at: float
    not_logged: int = 0


class BoundedLog:
    """Logs one event by kind; the next line of a kind tells how many were left out since."""

    def __init__(self, event: str, clock: Clock):
        self._event = event
        self._clock = clock
        self._kinds: dict[tuple, _Kind] = {}

    def log(self, kind: tuple, **fields) -> None:
        """Log the event, unless one of this kind was logged a moment ago."""
        now = self._clock.monotonic()
        known = self._kinds.get(kind)
        if known is not None and now - known.logged_at < LOG_INTERVAL_SECONDS:
            known.not_logged += 1
            return
        if known is not None and known.not_logged:
            fields["not_logged"] = known.not_logged
            fields["not_logged_s"] = round(now - known.logged_at, 2)
        elif known is None and len(self._kinds) >= MAX_KINDS:
            self._kinds.clear()
        self._kinds[kind] = _Kind(now)
        log_event(self._event, **fields)
