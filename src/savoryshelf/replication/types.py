"""The inputs and outputs of the Raft core."""

import enum

import attrs

from ..errors import SavoryshelfError
from ..wire.generated.ttypes import LogEntry, RaftMessage, SnapshotFile, WalRecord


class Role(enum.Enum):
    """The role of a replica in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class NotLeading(SavoryshelfError):
    """The operation needs the leader; ``leader_id`` is the leader that is known, or None."""

    def __init__(self, leader_id: str | None):
        super().__init__(f"this replica is not the leader; the leader is {leader_id or 'unknown'}")
        self.leader_id = leader_id


@attrs.frozen
class Timing:
    """Time constants of the Raft protocol, in seconds."""

    heartbeat_interval: float = 0.2
    election_timeout: float = 1.0
    """An election starts after a random time of one to two timeouts without leader contact."""


@attrs.frozen
class EndedLeadership:
    """A leadership that has ended; ages are in seconds, by the replica id of the other voters."""

    term: int
    why: str
    contact_ages: dict[str, float]
    """Since the leader sent what the voter has replied to last."""

    reply_ages: dict[str, float]
    """Since the leader read that reply."""

    heard: str = ""
    """Kind and sender of the message that told of a later term, if one did."""


@attrs.define
class Election:
    """An election in which this replica stands, as far as voters have answered."""

    term: int
    pre_vote: bool
    granted: set[str]
    asked: set[str]
    lost: set[str] = attrs.field(factory=set)
    """Those of them whose disks are known to be lost."""

    why_by_refuser: dict[str, str] = attrs.field(factory=dict)
    yielded_to: str = ""
    """The other candidate that this replica has granted a pre-vote meanwhile."""

    @property
    def refusals(self) -> dict[str, str]:
        """Return why voters refused that have not granted their vote since."""
        return {k: why for k, why in self.why_by_refuser.items() if k not in self.granted}

    @property
    def unanswered(self) -> set[str]:
        """Return the voters that have not answered."""
        return self.asked - self.granted - self.why_by_refuser.keys() - self.lost


@attrs.define
class RecoveredState:
    """The persistent state of a replica, as recovered from its disk at start."""

    term: int = 0
    voted_for: str = ""
    snapshot: SnapshotFile | None = None
    commit_index: int = 0
    """What was known to be committed, as of the last write."""

    entries: list[LogEntry] = attrs.field(factory=list)


@attrs.define
class Ready:
    """The work that the driver must process, in the order of the fields."""

    messages_before_sync: list[RaftMessage]
    """Messages that acknowledge no write of this replica, so they may be sent before the sync."""

    snapshot_to_install: SnapshotFile | None
    """A snapshot from the leader, which replaces the stored one and the applied state."""

    record: WalRecord | None
    """Hard state and entries to sync."""

    messages: list[RaftMessage]
    """Messages to send after the sync."""

    committed: list[LogEntry]
    """Entries to apply: the first of those that are committed, others come with the next one."""

    confirmed_reads: list[int]
    """Ids of the reads that may be served once ``committed`` is applied."""

    def is_empty(self) -> bool:
        """Return whether there is no work to process."""
        return not (
            self.messages_before_sync
            or self.snapshot_to_install
            or self.record
            or self.messages
            or self.committed
            or self.confirmed_reads
        )
