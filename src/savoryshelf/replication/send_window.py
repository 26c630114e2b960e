"""How much of the log and of snapshots may be on the way to a member without an answer."""

import sys
from collections import deque

import attrs

MIN_WINDOW_BYTES = 128 * 1024
"""One chunk of a snapshot: what a member gets at first, and one that is slow or does not answer.

It doubles with each round trip for as long as the link carries it: a state of 1 MB takes four.
"""

MIN_ROOM_BYTES = 16 * 1024
"""With less room nothing is sent: each small message would leave room for one as small."""

MAX_WINDOW_BYTES = 4 * 1024 * 1024
"""What a link of 200 Mbit/s carries in a round trip of 0.16 s.

Two members that catch up at once take twice this memory in the queues of their leader.
"""

MAX_QUEUEING_SECONDS = 0.1
"""Heartbeats and votes wait behind what is on the way: half a heartbeat interval is allowed."""

FIRST_PATIENCE_SECONDS = 0.7
"""Time until something is sent again while no round trip is known.

A chunk on a link of 2 Mbit/s and a round trip between regions.
"""

MIN_PATIENCE_SECONDS = 0.4
"""The same at least once one is known: more than a round trip, a wait and the write of a disk."""

MAX_PATIENCE_SECONDS = 4.0
"""It doubles with each time that nothing was answered, up to this."""

MAX_GROWING_SECONDS = 0.5
"""A round trip that takes longer is one on a slow link, or to a host that has no time.

Votes would wait behind a larger window for an election timeout.
"""

Position = tuple[int, int]
"""A last log index, and for a part of the snapshot that ends there the offset of its end."""


def log_position(index: int) -> Position:
    """Return the position of a log entry: after each part of a snapshot that ends with it."""
    return index, sys.maxsize


@attrs.frozen
class _Sent:
    end: Position
    size: int
    sent_at: float


@attrs.define
class SendWindow:
    """What is on the way to one member; times are those of the core.

    It grows while answers come as soon as those to what found nothing before it on its way, and
    shrinks when they come later: then what is sent waits in front of a link, disk or processor.
    """

    size: int = MIN_WINDOW_BYTES
    in_flight: int = 0
    """Bytes that are sent and not answered."""

    progressed_at: float = float("-inf")
    """When something was answered, or sent with nothing before it on its way."""

    patience: float = FIRST_PATIENCE_SECONDS
    """Time without an answer after which what is on the way counts as lost, in seconds."""

    _sent: deque[_Sent] = attrs.field(factory=deque)
    _shortest: float = float("inf")
    _has_shrunk: bool = False
    _shrunk_at: float = float("-inf")

    @property
    def room(self) -> int:
        """Return how many more bytes may be sent, if that is worth a message."""
        room = self.size - self.in_flight
        return room if room >= MIN_ROOM_BYTES else 0

    def record_sent(self, end: Position, size: int, now: float) -> None:
        """Record that what ends at a position was sent for the first time."""
        if not self._sent:
            self.progressed_at, self._shortest = now, float("inf")
        self._sent.append(_Sent(end, size, now))
        self.in_flight += size

    def record_answer(self, end: Position, now: float) -> None:
        """Record that the member holds everything up to a position."""
        in_flight, newest = self.in_flight, None
        while self._sent and self._sent[0].end <= end:
            newest = self._sent.popleft()
            self.in_flight -= newest.size
        if newest is None:
            return
        round_trip = now - newest.sent_at
        self.progressed_at = now
        self.patience = min(MAX_PATIENCE_SECONDS, max(MIN_PATIENCE_SECONDS, 2 * round_trip))
        self._shortest = min(self._shortest, round_trip)
        if round_trip - self._shortest > MAX_QUEUEING_SECONDS:
            if newest.sent_at >= self._shrunk_at:
                self.shrink(now)
        elif in_flight > self.size // 2 and round_trip <= MAX_GROWING_SECONDS:
            answered = in_flight - self.in_flight
            grown = self.size + (answered // 4 if self._has_shrunk else answered)
            self.size = min(MAX_WINDOW_BYTES, grown)

    def shrink(self, now: float) -> None:
        """Send less from now on: answers come late, or something was lost."""
        self.size = max(MIN_WINDOW_BYTES, self.size // 2)
        self._has_shrunk, self._shrunk_at = True, now

    def forget(self, after: Position = (0, 0)) -> None:
        """Take what is on the way for lost, if it ends after a position."""
        while self._sent and self._sent[-1].end > after:
            self.in_flight -= self._sent.pop().size

    def restart(self) -> None:
        """Take what is on the way for lost, and begin with little: the member did not answer."""
        self.forget()
        self.size, self._has_shrunk = MIN_WINDOW_BYTES, False
        self.patience = min(MAX_PATIENCE_SECONDS, 2 * self.patience)

    def has_stalled(self, now: float) -> bool:
        """Return whether what is on the way has not been answered for too long."""
        return bool(self._sent) and now - self.progressed_at > self.patience
