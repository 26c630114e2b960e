"""What goes into the core and comes out of it."""

import enum

import attrs

from ..errors import SavoryshelfError
from ..wire.generated.ttypes import LogEntry, RaftMessage, SnapshotFile, WalRecord


class Role(enum.Enum):
    """What a replica is in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class NotLeading(SavoryshelfError):
    """Only the leader may do this; ``leader_id`` is whom this replica follows, if any."""

    def __init__(self, leader_id: str | None):
        super().__init__(f"not the leader; it is {leader_id or 'unknown'}")
        self.leader_id = leader_id


@attrs.frozen
class Timing:
    """Intervals of the protocol, in seconds."""

    heartbeat_interval: float = 0.2
    election_timeout: float = 1.0
    """A follower waits between one and two of these before it campaigns."""


@attrs.define
class RecoveredState:
    """What a replica reads back from its disk before it starts."""

    term: int = 0
    voted_for: str = ""
    snapshot: SnapshotFile | None = None
    entries: list[LogEntry] = attrs.field(factory=list)


@attrs.define
class Ready:
    """What the shell must do, in this order."""

    messages_before_sync: list[RaftMessage]
    """Promise nothing about this disk: they may leave before the write."""

    snapshot_to_install: SnapshotFile | None
    record: WalRecord | None
    messages: list[RaftMessage]
    committed: list[LogEntry]
    confirmed_reads: list[int]

    def is_empty(self) -> bool:
        """Return whether there is nothing to do."""
        return not (
            self.messages_before_sync
            or self.snapshot_to_install
            or self.record
            or self.messages
            or self.committed
            or self.confirmed_reads
        )
