"""Heartbeats that are ignored, and when a worker is believed all the same.

A delayed heartbeat comes once, and late ones come together.  A worker that goes on to send
heartbeats is alive, whatever another writer has recorded in its name: the highest sequence, a
later start, or another service.
"""

from collections.abc import Hashable

import attrs

PERSISTENCE_SECONDS = 30.0
"""How long a worker has to send heartbeats that are ignored until one is accepted, in seconds.

Longer than delayed heartbeats keep arriving after a partition.
"""

MIN_IGNORED = 10
"""How many heartbeats in their order have to be ignored until one is accepted."""

MAX_GAP_SECONDS = 10.0
"""Pause between two heartbeats after which the count starts anew, in seconds."""


@attrs.define
class _Sender:
    """The ignored heartbeats of one sender."""

    first_at: float
    last_at: float
    last_sequence: int
    count: int = 1


class IgnoredHeartbeats:
    """The senders of heartbeats that this leader has ignored."""

    def __init__(self):
        self._sender_by_key: dict[Hashable, _Sender] = {}

    def is_persistent(self, key: Hashable, sequence: int, now: float) -> bool:
        """Record an ignored heartbeat; return whether its sender goes on for long.

        ``key`` tells the senders apart, also two that speak in the name of one incarnation.
        """
        sender = self._sender_by_key.get(key)
        if sender is None or now - sender.last_at > MAX_GAP_SECONDS:
            self._forget_old(now)
            self._sender_by_key[key] = _Sender(now, now, sequence)
            return False
        if sequence <= sender.last_sequence:
            return False
        sender.last_at, sender.last_sequence = now, sequence
        sender.count += 1
        if sender.count < MIN_IGNORED or now - sender.first_at < PERSISTENCE_SECONDS:
            return False
        del self._sender_by_key[key]
        return True

    def _forget_old(self, now: float) -> None:
        for key, sender in list(self._sender_by_key.items()):
            if now - sender.last_at > MAX_GAP_SECONDS:
                del self._sender_by_key[key]
