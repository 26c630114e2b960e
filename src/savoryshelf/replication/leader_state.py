"""What only a leader keeps: how far each member is, and which reads are confirmed."""

import attrs

from ..wire.generated.ttypes import Membership, SnapshotFile
from .membership import quorum_value


@attrs.define
class Progress:
    """How far one other member is, as its leader knows."""

    match_index: int = 0
    next_index: int = 1
    acked_round: int = 0
    acked_at: float = float("-inf")
    min_rejection_round: int = 0
    """Rejections of messages sent before this round are out of date."""

    snapshot: SnapshotFile | None = None
    snapshot_offset: int = 0

    def record_rejection(self, hint: int) -> None:
        """Go back to where the member says its log agrees, never below what it holds."""
        self.next_index = max(self.match_index + 1, min(self.next_index - 1, hint + 1))

    def record_match(self, match_index: int) -> None:
        """Note what the member has synced."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)


@attrs.define
class PendingRead:
    """A read that waits until a quorum has confirmed its leader after it came."""

    read_id: int
    after_round: int


@attrs.define
class LeaderState:
    """One term of leadership."""

    elected_at: float
    term_start_index: int
    """Index of the no-op entry of this term: nothing is confirmed before it commits."""

    progress_by_id: dict[str, Progress] = attrs.field(factory=dict)
    round: int = 0
    pending_reads: list[PendingRead] = attrs.field(factory=list)

    def quorum_match_index(
        self, replica_id: str, own_synced_index: int, membership: Membership
    ) -> int:
        """Return the highest index that a majority has synced."""
        match_by_id = {key: p.match_index for key, p in self.progress_by_id.items()}
        match_by_id[replica_id] = own_synced_index
        return quorum_value(membership, match_by_id)

    def quorum_acked_round(self, replica_id: str, membership: Membership) -> int:
        """Return the newest heartbeat round which a majority has answered."""
        round_by_id = {key: p.acked_round for key, p in self.progress_by_id.items()}
        round_by_id[replica_id] = self.round
        return quorum_value(membership, round_by_id)

    def quorum_contact_at(self, replica_id: str, now: float, membership: Membership) -> float:
        """Return the latest time by which a majority had been heard from."""
        contact_at_by_id = {
            key: max(p.acked_at, self.elected_at) for key, p in self.progress_by_id.items()
        }
        contact_at_by_id[replica_id] = now
        return quorum_value(membership, contact_at_by_id)

    def take_confirmed_reads(self, replica_id: str, membership: Membership) -> list[int]:
        """Remove and return the reads whose leader was confirmed after they came."""
        confirmed = self.quorum_acked_round(replica_id, membership)
        read_ids = [read.read_id for read in self.pending_reads if confirmed > read.after_round]
        self.pending_reads = [read for read in self.pending_reads if confirmed <= read.after_round]
        return read_ids
