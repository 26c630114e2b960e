"""The volatile state of a leader: replication progress of the members and pending reads."""

import attrs

from ..wire.generated.ttypes import Membership, SnapshotFile
from .membership import QuorumRule, voter_ids
from .types import EndedLeadership

MAX_KEPT_ROUNDS = 4096
"""Heartbeat rounds whose send time is kept: those of several seconds on a busy leader."""


@attrs.define
class Progress:
    """The replication progress of one other member, as known to the leader.

    ``acked_round`` and ``acked_at`` are the latest heartbeat round that the
    member has replied to and the time of its last reply.  Before the first
    reply ``acked_at`` is the time at which the leader began to track the member.
    ``contact_at`` is when that round was sent: a reply may have waited unread for long.

    ``snapshot`` is the snapshot that is being sent to the member, if any, and
    ``snapshot_offset`` the offset in bytes of its next chunk.
    """

    match_index: int = 0
    next_index: int = 1
    acked_round: int = 0
    acked_at: float = float("-inf")
    contact_at: float = float("-inf")
    min_rejection_round: int = 0
    """Rejections of requests sent before this round are stale and ignored."""

    probed_index: int = -1
    """The index before the entries that were sent after the latest rejection."""

    caught_up_at: float = float("-inf")
    """When the latest round was sent that the member has replied to while it held all entries
    that were committed at that time."""

    snapshot: SnapshotFile | None = None
    snapshot_offset: int = 0
    sent_offset: int = -1
    """Offset of the chunk that was sent last, and when; -1 before the first one."""

    chunk_sent_at: float = float("-inf")

    def record_rejection(self, hint: int) -> None:
        """Move ``next_index`` back to the member's hint, but never to or below its match index."""
        self.next_index = max(self.match_index + 1, min(self.next_index - 1, hint + 1))
        self.probed_index = self.next_index - 1

    def record_match(self, match_index: int) -> None:
        """Record that the member has synced its log up to ``match_index``."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)


@attrs.define
class PendingRead:
    """A read that waits until a quorum acknowledges a heartbeat round after ``after_round``."""

    read_id: int
    after_round: int


@attrs.frozen
class ConfirmedRead:
    """A read that waits until the entries are applied that were committed when it was confirmed."""

    read_id: int
    commit_index: int


@attrs.frozen
class _Round:
    """A heartbeat round: when it was sent, and the last index that was committed by then."""

    sent_at: float
    commit_index: int


@attrs.define
class LeaderState:
    """The state that a leader keeps for one term."""

    elected_at: float
    term_start_index: int
    """Index of the no-op entry of this term; no read is confirmed before it is committed."""

    progress_by_id: dict[str, Progress] = attrs.field(factory=dict)
    round: int = 0
    """Number of the latest heartbeat round: requests carry it and replies return it."""

    serving_at: float = attrs.field(init=False)
    """When a majority was last found to be in contact, so that callers may be answered."""

    known_from_by_lost_id: dict[str, int] = attrs.field(factory=dict)
    """The first entry after this leader learned that a disk is lost, unless it knew before."""

    pending_reads: list[PendingRead] = attrs.field(factory=list)
    _sent_by_round: dict[int, _Round] = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self.serving_at = self.elected_at

    def start_round(self, now: float, commit_index: int) -> None:
        """Begin the next heartbeat round."""
        self.round += 1
        # A new leader does not know the commit index until an entry of its term is committed;
        # everything committed before its term lies before that entry.
        committed = max(commit_index, self.term_start_index)
        self._sent_by_round[self.round] = _Round(now, committed)
        if len(self._sent_by_round) > MAX_KEPT_ROUNDS:
            del self._sent_by_round[next(iter(self._sent_by_round))]

    def record_reply(self, progress: Progress, acked_round: int, now: float) -> None:
        """Record that a member has replied to a message of a round."""
        progress.acked_at = now
        if acked_round > progress.acked_round:
            progress.acked_round = acked_round
            sent = self._sent_by_round.get(acked_round)
            progress.contact_at = sent.sent_at if sent else progress.contact_at

    def record_match(self, progress: Progress, match_index: int) -> None:
        """Record that the member has synced its log up to ``match_index``."""
        progress.record_match(match_index)
        sent = self._sent_by_round.get(progress.acked_round)
        if sent and progress.match_index >= sent.commit_index:
            progress.caught_up_at = max(progress.caught_up_at, sent.sent_at)

    def quorum_match_index(self, replica_id: str, own_synced_index: int, rule: QuorumRule) -> int:
        """Return the highest log index that a quorum has synced."""
        match_by_id = {key: p.match_index for key, p in self.progress_by_id.items()}
        match_by_id[replica_id] = own_synced_index
        return rule.value(match_by_id)

    def quorum_acked_round(self, replica_id: str, rule: QuorumRule) -> int:
        """Return the latest heartbeat round that a quorum has acknowledged."""
        round_by_id = {key: p.acked_round for key, p in self.progress_by_id.items()}
        round_by_id[replica_id] = self.round
        return rule.value(round_by_id)

    def quorum_contact_at(self, replica_id: str, now: float, rule: QuorumRule) -> float:
        """Return the latest time at which the leader sent what a quorum has replied to.

        A leader that was paused may find replies that arrived long ago; they prove nothing
        about the time of the pause.
        """
        contact_at_by_id = {
            key: max(p.contact_at, self.elected_at) for key, p in self.progress_by_id.items()
        }
        contact_at_by_id[replica_id] = now
        return rule.value(contact_at_by_id)

    def quorum_reply_at(self, replica_id: str, now: float, rule: QuorumRule) -> float:
        """Return the latest time by which a quorum has replied, to whatever was sent."""
        reply_at_by_id = {key: p.acked_at for key, p in self.progress_by_id.items()}
        reply_at_by_id[replica_id] = now
        return rule.value(reply_at_by_id)

    def ended(
        self, term: int, why: str, heard: str, now: float, membership: Membership
    ) -> EndedLeadership:
        """Return the record of this leadership, which ends now."""
        progress_by_id = {
            voter: self.progress_by_id[voter]
            for voter in voter_ids(membership)
            if voter in self.progress_by_id
        }
        return EndedLeadership(
            term,
            why,
            {key: now - max(p.contact_at, self.elected_at) for key, p in progress_by_id.items()},
            {key: now - p.acked_at for key, p in progress_by_id.items()},
            heard,
        )

    def take_confirmed_reads(self, replica_id: str, rule: QuorumRule) -> list[int]:
        """Remove and return the ids of the reads confirmed by a round that began after them."""
        confirmed = self.quorum_acked_round(replica_id, rule)
        read_ids = [read.read_id for read in self.pending_reads if confirmed > read.after_round]
        self.pending_reads = [read for read in self.pending_reads if confirmed <= read.after_round]
        return read_ids
