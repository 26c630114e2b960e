"""The Raft protocol of one replica, as a deterministic core without I/O.

Methods take an event and the current time; ``Replica.take_ready`` returns the
resulting work as a ``Ready``.  The core reads no clock, socket or disk, and
its only source of randomness is the generator passed to it.  The driver must
process each ``Ready`` in the order of its fields and then call ``advance``, so
that a reply which acknowledges a write is sent only after that write is synced.
"""

import random
from collections import Counter

from ..errors import InvariantBroken
from ..wire import codec
from ..wire.generated.ttypes import (
    AppendReply,
    AppendRequest,
    DiskLost,
    EntryKind,
    LogEntry,
    Membership,
    RaftMessage,
    RaftPayload,
    SnapshotChunk,
    SnapshotFile,
    SnapshotReply,
    VoteReply,
    VoteRequest,
    WalRecord,
)
from .leader_state import ConfirmedRead, LeaderState, PendingRead, Progress
from .log import RaftLog
from .membership import (
    MembershipChangeRefused,
    QuorumRule,
    find_member,
    host_name,
    is_single_step,
    voter_ids,
    with_learner,
    with_lower_min_copies,
    with_promoted_learner,
    without_lost_member,
    without_member,
)
from .reception import Reception
from .send_window import MIN_WINDOW_BYTES, log_position
from .snapshot_transfer import (
    IncomingSnapshot,
    begin_transfer,
    chunk_at,
    end_transfer,
    go_back,
    record_rejection_behind,
    record_reply,
)
from .types import Election, EndedLeadership, NotLeading, Ready, RecoveredState, Role, Timing

FIRST_RETRY_FACTOR = 0.3
"""A first campaign that fails is repeated after this share of the usual time.

Votes take a round trip and a disk sync.  The time doubles with each failure, up to the usual.
"""

MAX_RETRY_DOUBLINGS = 8
"""Of the time until a campaign is repeated; enough to reach the usual time."""

MAX_APPEND_BYTES = 256 * 1024
"""Limit on the payload bytes of one append request; a single larger entry is sent alone."""

MAX_IN_FLIGHT_ENTRIES = 512
"""Limit on unacknowledged entries per member; it grows with the member's window.

A busy leader takes several heartbeat intervals to append this many, so a member
that replies to each heartbeat stays below the limit.
"""

MAX_KEPT_ENTRIES = 20_000
"""Limit on the entries kept before a snapshot for members that are catching up.

With snapshots every 5,000 entries a member may take four times that long to load one.
"""

MAX_READY_ENTRIES = 64
MAX_READY_BYTES = 64 * 1024
"""Limits on the committed entries of one ``Ready`` and their payload; a larger one comes alone.

After a restart thousands of entries are committed at once.  To apply this many takes a small part
of a heartbeat interval, and messages and ticks go before the others.
"""

NO_ROUND = 0
"""Round of an append request that needs no reply; heartbeat rounds count from 1."""

MAX_MISSED_HEARTBEATS = 3
"""A member that has not replied for this many heartbeat intervals gets no entries until it does.

A leader that stood still waits as long for replies to what it sends then.
"""

FIRST_CAMPAIGN_SPREAD_FACTOR = 0.3
"""Voters that start together campaign within this share of an election timeout.

Several round trips between regions, so that the first to ask mostly finds the others waiting.
"""

LONGEST_CAMPAIGN_DELAY_FACTOR = 2.0
"""A voter that hears of no leader campaigns within this many election timeouts."""

MAX_ANSWERED_REQUESTS = 2
"""A candidate that asks a voter more often than this in one campaign hears none of its answers.

One that hears an answer does not ask that voter again; a single answer may be lost, or late.
"""

COUNTED_CAMPAIGNS = 2
"""Campaigns of a candidate of which the requests are counted: this one and the one before."""

MAX_LOST_IDS = 64
"""Bound on the replica ids that are remembered as lost; those of members are told again."""

REQUESTS = ("vote_request", "append_request", "snapshot_chunk")
"""Messages that a replica sends to a member whose disk may be lost."""

MAX_UNSERVED_FACTOR = LONGEST_CAMPAIGN_DELAY_FACTOR
"""A leader that may answer no caller stays in office for this many election timeouts at most.

That is what the next one would take to come; its host or links may be better.
"""


class Replica:
    """One Raft replica: a member of a control group, or a host that is waiting to be added.

    ``shard`` is the number of the control group.  ``began_at`` is when the program that runs this
    replica began: whatever ran it before had ended by then.
    """

    def __init__(
        self,
        replica_id: str,
        initial_membership: Membership,
        recovered: RecoveredState,
        timing: Timing,
        rng: random.Random,
        now: float,
        shard: int = 0,
        began_at: float | None = None,
    ):
        self.replica_id = replica_id
        self.shard = shard
        self.timing = timing
        self.role = Role.FOLLOWER
        self.leader_id: str | None = None
        self.term = recovered.term
        self.voted_for = recovered.voted_for
        self.snapshot = recovered.snapshot
        self.log = self._recovered_log(initial_membership, recovered)
        self.commit_index = self.log.base_index
        self._known_commit_index = min(
            max(recovered.commit_index, self.log.base_index), self.log.last_index
        )
        """What was known to be committed before a restart too; entries are applied anew."""

        self._lost_ids: dict[str, None] = {}
        """The replicas of which a message of their host told that the disk is gone."""

        self.leader_state: LeaderState | None = None
        self.ended_leadership: EndedLeadership | None = None
        """The latest leadership of this replica that has ended."""

        self.failed_election: Election | None = None
        """The latest election that this replica lost, if it has heard of no leader since."""

        self._rng = rng
        self._now = now
        self._ticked_at = float("inf")
        """The time of the latest tick; a replica that has not run yet has not stood still."""

        self._resumed_at = float("-inf")
        """When this replica went on after it had stood still for over a heartbeat interval."""

        self._last_leader_contact_at = float("-inf")
        self._votes_from = float("-inf")
        """When a leader that this replica heard of before it was started has no contact any more.

        A replica without a term on its disk has answered none.
        """

        if recovered.term:
            self._votes_from = (now if began_at is None else began_at) + timing.election_timeout
        self._election: Election | None = None
        """The latest election in which this replica stood, if it has heard of no leader since."""

        self._campaigns = 0
        """Campaigns since the last contact with a leader."""

        self._campaign_began_at = float("-inf")
        self._requests_by_candidate: dict[str, Counter[int]] = {}
        """The pre-votes that each candidate has asked for, in each of its latest campaigns."""

        self._last_yielded_to = ""
        """The candidate to which this replica yielded in its campaign before this one."""

        self._ask_again_at = float("inf")
        self.previous_leader_id: str | None = None
        """The leader that this replica heard of last, other than itself."""

        self._deadline = now
        self._postponed_deadline: float | None = None
        self._next_read_id = 1
        self._broadcast_pending = False
        self._unannounced_commit = False
        self._incoming_snapshot = IncomingSnapshot()
        self.reception = Reception()
        """What the latest leader has sent of its log."""

        self._synced_index = self.log.last_index
        self._returned_index = self.log.base_index
        """The last committed entry that was returned by ``take_ready``."""

        self._applied_index = self.log.base_index
        """Behind the former while the driver syncs: others run meanwhile."""

        self._snapshot_to_install: SnapshotFile | None = None
        self._messages_before_sync: list[RaftMessage] = []
        self._messages: list[RaftMessage] = []
        self._unsynced: list[LogEntry] = []
        self._hard_state_changed = False
        self._confirmed_reads: list[ConfirmedRead] = []
        self._deferred_pre_vote_by_sender: dict[str, RaftMessage] = {}
        """Requests that came before this replica might vote; they are answered once it may."""

        self._set_first_deadline()

    @staticmethod
    def _recovered_log(initial_membership: Membership, recovered: RecoveredState) -> RaftLog:
        snapshot = recovered.snapshot
        if snapshot is None:
            log = RaftLog(initial_membership)
        else:
            log = RaftLog(snapshot.membership, snapshot.last_index, snapshot.last_term)
        for entry in recovered.entries:
            log.append(entry)
        return log

    # ------------------------------------------------------------------ inputs

    def tick(self, now: float) -> None:
        """Advance the time; send a heartbeat, check the quorum or start an election if due."""
        self._now = now
        if now - self._ticked_at > self.timing.heartbeat_interval:
            self._resume()
        self._ticked_at = now
        if self._deferred_pre_vote_by_sender and now >= self._votes_from:
            self._answer_deferred_pre_votes()
        if self.role is Role.LEADER:
            self._check_quorum()
        if self.role in (Role.PRE_CANDIDATE, Role.CANDIDATE) and now >= self._ask_again_at:
            self._ask_for_votes()
        if now < self._deadline:
            return
        if self.role is Role.LEADER:
            self._broadcast_pending = True
        elif self._is_voter():
            self._campaign(pre_vote=True)
        else:
            # Others ask this replica who leads, also after it was removed or cut off.
            self.leader_id = None
            self._reset_election_deadline()

    def _resume(self) -> None:
        """Go on after a standstill: the time in which nothing was read is nobody's silence."""
        self._resumed_at = self._now
        postponed = self._now + self.timing.heartbeat_interval
        if self.role is Role.LEADER or self._deadline == self._postponed_deadline:
            # No deadline is postponed twice: some processes stand still again and again.
            return
        if self._deadline < postponed:
            # What a leader has sent meanwhile is unread, and one that stood still sends soon.
            self._deadline = self._postponed_deadline = postponed

    def receive(self, message: RaftMessage, now: float) -> None:
        """Handle one message from another replica."""
        if message.shard != self.shard:
            return
        if not codec.has_field(message.payload):
            # Of a kind that a later version has added.
            return
        kind, payload = codec.sole_field(message.payload)
        if message.recipient != self.replica_id:
            self._tell_of_lost_disk(message, kind)
            return
        self._now = now
        if kind == "vote_request":
            self._on_vote_request(message, payload)
            return
        if kind == "disk_lost":
            # A fact of whatever term its sender is in.
            self._on_disk_lost(message, payload)
            return
        # A granted pre-vote carries the term of the proposed election, which
        # this replica has not entered; ``_on_vote_reply`` handles a rejected one.
        if kind == "vote_reply" and not payload.granted:
            self._record_refusal(message.sender, payload)
        if message.term > self.term and not (kind == "vote_reply" and payload.pre_vote):
            self._become_follower(message.term, None, heard=f"{kind} of {message.sender}")
        if message.term < self.term:
            self._reject_stale(message, kind)
            return
        getattr(self, "_on_" + kind)(message, payload)

    def propose(self, payloads: list[bytes]) -> list[int]:
        """Append commands and return their indexes; raises NotLeading if not the leader."""
        self._require_leader()
        return [self._append(EntryKind.COMMAND, payload) for payload in payloads]

    def add_learner(self, learner) -> int:
        """Propose to add a non-voting member; return the index of the log entry.

        The same entry removes lost members, which must not wait for a commit of its own.
        """
        self._require_leader()
        return self._change_membership(with_learner(self._without_lost_members(), learner))

    def promote(self, replica_id: str) -> int:
        """Propose to make a learner a voter; return the index of the log entry.

        Raises MembershipChangeRefused until the learner has caught up.
        """
        self._require_leader()
        # Committed entries are on a majority of the voters whatever the learner
        # holds.  But a new voter that lags raises the quorum, and the next loss
        # of a host would stop commits until it has caught up.
        if not self.is_caught_up(replica_id):
            raise MembershipChangeRefused(f"{replica_id} has not caught up yet")
        return self._change_membership(with_promoted_learner(self.log.membership, replica_id))

    def remove(self, replica_id: str, shrinks_group: bool = False) -> int:
        """Propose to remove a member; return the index of the log entry.

        With ``shrinks_group`` nothing will replace it, so that entries need fewer copies.
        """
        membership = without_member(self.log.membership, replica_id)
        if shrinks_group:
            membership = with_lower_min_copies(membership)
        return self._change_membership(membership)

    def remove_lost(self) -> int:
        """Propose to remove all ``removable_lost_ids`` at once; return the index of the log entry.

        Raises MembershipChangeRefused if there are none.
        """
        self._require_leader()
        if not self.removable_lost_ids:
            raise MembershipChangeRefused("no member is known to be lost since the latest commit")
        return self._change_membership(self._without_lost_members())

    def _without_lost_members(self) -> Membership:
        membership = self.log.membership
        for replica_id in self.removable_lost_ids:
            membership = without_lost_member(membership, replica_id)
        return membership

    def request_read(self) -> int:
        """Start a linearizable read; its id is returned later in ``Ready.confirmed_reads``.

        By then the applied state includes every entry that any replica had
        committed before this call.
        """
        self._require_leader()
        read_id = self._next_read_id
        self._next_read_id += 1
        self.leader_state.pending_reads.append(PendingRead(read_id, self.leader_state.round))
        self._broadcast_pending = True
        return read_id

    def take_ready(self) -> Ready:
        """Return the pending work; the driver processes it and then calls ``advance``."""
        if self._broadcast_pending and self.role is Role.LEADER:
            self._broadcast()
        self._broadcast_pending = False
        if self._hard_state_changed:
            # A crash can lose a term that is not synced yet, and the replica
            # could then lead the same term again with a different log.  So no
            # message of the new term is sent before the sync.
            self._messages = self._messages_before_sync + self._messages
            self._messages_before_sync = []
        ready = Ready(
            messages_before_sync=self._messages_before_sync,
            snapshot_to_install=self._snapshot_to_install,
            record=self._take_record(),
            messages=self._messages,
            committed=self._take_committed(),
            confirmed_reads=self._take_confirmed_reads(),
        )
        self._messages_before_sync, self._messages = [], []
        self._snapshot_to_install = None
        return ready

    def advance(self, ready: Ready) -> None:
        """Record that ``ready`` was processed, so its entries are synced.

        Until all of ``ready.committed`` is applied, the driver lets nothing else run.
        """
        self._applied_index = self._returned_index
        if ready.record and ready.record.entries:
            self._synced_index = max(self._synced_index, ready.record.entries[-1].index)
            self._synced_index = min(self._synced_index, self.log.last_index)
        if self.role is Role.LEADER:
            self._advance_commit()

    def compact(self, snapshot: SnapshotFile, trailing_entries: int) -> None:
        """Record a synced snapshot and remove the log entries that it covers.

        The last ``trailing_entries`` of them are kept for slow followers, and on the
        leader those that a member in contact needs next, up to ``MAX_KEPT_ENTRIES``: it
        would otherwise need this snapshot as soon as it has loaded the previous one.
        """
        self.snapshot = snapshot
        compacted = snapshot.last_index - trailing_entries
        for held in self._indexes_held_by_members_in_contact():
            compacted = min(compacted, max(held, snapshot.last_index - MAX_KEPT_ENTRIES))
        self.log.compact(compacted)

    def _indexes_held_by_members_in_contact(self) -> list[int]:
        """Return what each member holds of the log, or will hold with the snapshot it loads."""
        if self.leader_state is None:
            return []
        held_indexes = [
            progress.snapshot.last_index if progress.snapshot else progress.match_index
            for progress in self.leader_state.progress_by_id.values()
            if self._now - progress.acked_at <= self.timing.election_timeout
        ]
        return [index for index in held_indexes if index > 0]

    def announce_commit(self) -> None:
        """Tell the members the commit index, unless a broadcast has done so since it advanced.

        Otherwise they learn of it with the next entries or the next heartbeat.
        """
        if self.role is not Role.LEADER or not self._unannounced_commit:
            return
        if not self._announces_commits:
            return
        self._unannounced_commit = False
        for replica_id, progress in self.leader_state.progress_by_id.items():
            previous = progress.next_index - 1
            if progress.snapshot or previous < self.log.base_index:
                continue
            request = AppendRequest(
                previous, self.log.term_at(previous), [], self._announced_commit_index, NO_ROUND
            )
            self._send_before_sync(replica_id, append_request=request)

    def is_caught_up(self, replica_id: str) -> bool:
        """Return whether a member keeps pace with this leader; raises NotLeading.

        It does if it has replied to a round that was sent no longer ago than an
        election timeout, and holds all entries that were committed by then.  It
        may lack entries committed since: its replies are always a round trip old.
        """
        self._require_leader()
        progress = self.leader_state.progress_by_id.get(replica_id)
        return (
            progress is not None
            and self._now - progress.caught_up_at <= self.timing.election_timeout
        )

    @property
    def has_committed_in_term(self) -> bool:
        """Return whether this leader has committed an entry of its term and may serve reads."""
        return self.role is Role.LEADER and self.commit_index >= self.leader_state.term_start_index

    @property
    def must_commit_before_change(self) -> bool:
        """Return whether this replica may change the membership only after a commit."""
        return not self.has_committed_in_term or self.log.membership_index > self.commit_index

    @property
    def now(self) -> float:
        """Return the time of the latest event, in seconds of the driver's clock."""
        return self._now

    def seconds_since_leader_contact(self, now: float) -> float:
        """Return the seconds since the last message from a leader; 0 on the leader itself."""
        return 0.0 if self.role is Role.LEADER else now - self._last_leader_contact_at

    def seconds_since_quorum_contact(self, now: float) -> float:
        """Return the seconds since a quorum last answered this leader.

        Infinite unless this replica is a leader that has applied an entry of
        its own term.  If the value is finite, the applied state is stale by at
        most this value plus one message delay, since no other replica can have
        been leader for longer.
        """
        if (
            not self.has_committed_in_term
            or self._applied_index < self.leader_state.term_start_index
        ):
            return float("inf")
        return now - self.leader_state.quorum_contact_at(self.replica_id, now, self._quorum_rule())

    @property
    def known_commit_index(self) -> int:
        """Return what is known to be committed, also if it is not applied again yet."""
        return self._known_commit_index

    @property
    def lost_member_ids(self) -> list[str]:
        """Return the members whose disks are known to be lost, in the order of the members."""
        members = self.log.membership.members
        return [each.replica_id for each in members if each.replica_id in self._lost_ids]

    @property
    def removable_lost_ids(self) -> list[str]:
        """Return those of them that this leader may remove; raises NotLeading.

        It has committed an entry since it learned that their disks are lost.
        """
        self._require_leader()
        lost_ids = self.lost_member_ids
        if not lost_ids:
            return []
        # The lost disk may have voted for a candidate whose other votes are still to come.  Whoever
        # holds an entry from after the loss refuses that candidate, which cannot hold it.
        state = self.leader_state
        return [
            each
            for each in lost_ids
            if self.commit_index >= state.known_from_by_lost_id.get(each, state.term_start_index)
        ]

    @property
    def is_first_campaign(self) -> bool:
        """Return whether this replica campaigns for the first time since a leader's message."""
        return self.role is Role.PRE_CANDIDATE and self._campaigns == 1

    @property
    def campaigns(self) -> int:
        """Return the number of campaigns since the last contact with a leader."""
        return self._campaigns

    @property
    def election(self) -> Election | None:
        """Return the latest election in which this replica stood since it heard a leader."""
        return self._election

    @property
    def campaign_due_at(self) -> float:
        """Return when a voter that hears nothing campaigns next."""
        return self._deadline

    @property
    def votes_from(self) -> float:
        """Return when this replica may vote, for what it heard before its start."""
        return self._votes_from

    @property
    def applied_index(self) -> int:
        """Return the index of the last entry that is applied."""
        return self._applied_index

    @property
    def has_more_committed(self) -> bool:
        """Return whether committed entries have not been returned yet."""
        return self._returned_index < self._last_appliable_index

    @property
    def _last_appliable_index(self) -> int:
        # Only entries synced on this disk are returned, so that the applied
        # state is never ahead of what a restart would recover.
        return min(self.commit_index, self._synced_index)

    @property
    def _announces_commits(self) -> bool:
        """Return whether this leader tells the members what is committed.

        A new one first applies what it needs to serve: after a restart of all hosts the others
        have as much to apply, perhaps on the same processors.
        """
        return self._applied_index >= self.leader_state.term_start_index

    @property
    def _announced_commit_index(self) -> int:
        return self.commit_index if self._announces_commits else 0

    # -------------------------------------------------------------- lost disks

    def _tell_of_lost_disk(self, message: RaftMessage, kind: str) -> None:
        """Answer a message for another replica of this host: its disk is gone.

        A host has one disk at a time.  Whoever sent the message knew that replica, so its disk
        was there before this one.
        """
        own_host = host_name(self.replica_id)
        if kind in REQUESTS and own_host and host_name(message.recipient) == own_host:
            self._send(message.sender, self.term, disk_lost=DiskLost(message.recipient))

    def _on_disk_lost(self, message: RaftMessage, payload: DiskLost) -> None:
        lost_id = payload.replica_id
        is_of_its_host = host_name(lost_id) == host_name(message.sender)
        if not is_of_its_host or lost_id == message.sender or lost_id in self._lost_ids:
            return
        self._lost_ids[lost_id] = None
        if len(self._lost_ids) > MAX_LOST_IDS:
            del self._lost_ids[next(iter(self._lost_ids))]
        if self.role is Role.LEADER:
            if lost_id in self.lost_member_ids:
                self.leader_state.known_from_by_lost_id[lost_id] = self._append(EntryKind.NOOP, b"")
            self._advance_commit()
            self._confirm_reads()
        elif self._election is not None:
            self._election.lost.add(lost_id)
            self._check_election()

    def _quorum_rule(self) -> QuorumRule:
        """Return what a quorum is, for votes, commits and contact.

        That lost disks are removed needs no quorum of before: they have been in none since.
        """
        log, before = self.log, None
        if log.membership_index > self._known_commit_index and not log.membership.removes_lost:
            before = log.membership_at(log.membership_index - 1)
        has_voters = before is not None and bool(voter_ids(before))
        return QuorumRule(log.membership, before if has_voters else None, frozenset(self._lost_ids))

    # --------------------------------------------------------------- elections

    def _is_voter(self) -> bool:
        member = find_member(self.log.membership, self.replica_id)
        return member is not None and member.voter

    def _campaign(self, pre_vote: bool) -> None:
        if pre_vote:
            self._last_yielded_to = self._election.yielded_to if self._election else ""
            self.failed_election = self._election
            self.role = Role.PRE_CANDIDATE
            self._campaign_began_at = self._now
            term = self.term + 1
        else:
            self.role = Role.CANDIDATE
            self._set_hard_state(self.term + 1, self.replica_id)
            term = self.term
        self.leader_id = None
        voters = {each for m in self._quorum_rule().memberships for each in voter_ids(m)}
        others = voters - {self.replica_id}
        lost = others & self._lost_ids.keys()
        self._election = Election(term, pre_vote, {self.replica_id}, others, lost)
        doublings = min(self._campaigns, MAX_RETRY_DOUBLINGS)
        self._reset_election_deadline(min(1.0, FIRST_RETRY_FACTOR * 2**doublings))
        self._campaigns += pre_vote
        if not self._check_election():
            self._ask_for_votes()

    def _check_election(self) -> bool:
        """Go on if a quorum has granted its votes; return whether it has."""
        if self.role not in (Role.PRE_CANDIDATE, Role.CANDIDATE):
            return False
        has_won = self._quorum_rule().is_met_by(self._election.granted)
        if has_won:
            self._handle_won_vote()
        return has_won

    def _ask_for_votes(self) -> None:
        """Ask the voters that have not answered; a request or its answer may have been lost."""
        self._ask_again_at = self._now + self.timing.heartbeat_interval
        election = self._election
        campaign = int(1000 * self._campaign_began_at)
        request = VoteRequest(self.log.last_index, self.log.last_term, election.pre_vote, campaign)
        for voter in sorted(election.unanswered):
            self._send(voter, election.term, vote_request=request)

    def _handle_won_vote(self) -> None:
        if self.role is Role.PRE_CANDIDATE:
            self._campaign(pre_vote=False)
        else:
            self._become_leader()

    def _set_first_deadline(self) -> None:
        """Campaign soon: pre-votes depose no leader, and one that is there sends meanwhile."""
        may_vote_at = max(self._votes_from, self._now + self.timing.heartbeat_interval)
        spread = FIRST_CAMPAIGN_SPREAD_FACTOR * self.timing.election_timeout
        self._deadline = may_vote_at + self._rng.uniform(0.0, spread)

    def _answer_deferred_pre_votes(self) -> None:
        deferred, self._deferred_pre_vote_by_sender = self._deferred_pre_vote_by_sender, {}
        for message in deferred.values():
            self._on_vote_request(message, message.payload.vote_request)

    def _on_vote_request(self, message: RaftMessage, request: VoteRequest) -> None:
        if request.pre_vote and self._now < self._votes_from:
            self._deferred_pre_vote_by_sender[message.sender] = message
        else:
            self._count_request(message.sender, request)
        why = self._reason_to_ignore(message, request)
        if not why and message.term > self.term and not request.pre_vote:
            self._become_follower(message.term, None, heard=f"vote_request of {message.sender}")
        why = why or self._reason_to_refuse(message, request)
        if not why and request.pre_vote and self.role is Role.PRE_CANDIDATE:
            if self._has_precedence_over(message, request):
                why = "campaigns itself"
            elif message.sender == self._last_yielded_to and self._hears_no_answer(message.sender):
                why = "campaigns itself again"
            else:
                # Keeps its deadline, so it campaigns again soon if the other one fails.
                self.role = Role.FOLLOWER
                self._election.yielded_to = message.sender
        granted = not why
        if granted and not request.pre_vote:
            self._set_hard_state(self.term, message.sender)
            self._reset_election_deadline()
        term = message.term if granted else self.term
        reply = VoteReply(granted, request.pre_vote, why or None)
        self._send(message.sender, term, vote_reply=reply)

    def _reason_to_ignore(self, message: RaftMessage, request: VoteRequest) -> str:
        """Return why a vote request changes nothing here, not even the term; empty if it may."""
        # A replica in contact with its leader ignores vote requests, so that a
        # replica which returns from a network partition cannot depose a leader
        # that serves a majority.
        if self.role is Role.LEADER:
            return "leads"
        if self._now - self._last_leader_contact_at < self.timing.election_timeout:
            return f"in contact with the leader {self.previous_leader_id}"
        if self._now < self._votes_from:
            # It may have heard a leader just before it was started.
            return "has just started"
        return ""

    def _reason_to_refuse(self, message: RaftMessage, request: VoteRequest) -> str:
        """Return why this replica does not vote for the sender; empty if it does."""
        if not self.log.membership.members:
            # This disk has not received a log yet.  Its vote could elect a
            # leader that lacks entries which the lost disk had acknowledged.
            return "has not received the log"
        candidate_log = (request.last_term, request.last_index)
        if candidate_log < (self.log.last_term, self.log.last_index):
            return "holds a later log"
        if request.pre_vote:
            return "" if message.term > self.term else "is in a later term"
        if message.term != self.term:
            return "is in a later term"
        if self.voted_for in ("", message.sender):
            return ""
        return f"has voted for {self.voted_for}"

    def _has_precedence_over(self, message: RaftMessage, request: VoteRequest) -> bool:
        """Return whether this pre-candidate goes on, and the sender of a pre-vote request yields.

        If both won their pre-votes, they would split the votes, and no one would win where
        each needs the other's.  A campaign that has lasted long is not going to win.
        """
        lasted = self._now - self._campaign_began_at
        return (
            message.term == self.term + 1
            and (request.last_term, request.last_index) == (self.log.last_term, self.log.last_index)
            and self.replica_id > message.sender
            and lasted < FIRST_RETRY_FACTOR * self.timing.election_timeout
        )

    def _count_request(self, candidate: str, request: VoteRequest) -> None:
        if request.campaign is None or not request.pre_vote:
            return
        requests = self._requests_by_candidate.setdefault(candidate, Counter())
        requests[request.campaign] += 1
        while len(requests) > COUNTED_CAMPAIGNS:
            del requests[next(iter(requests))]

    def _hears_no_answer(self, candidate: str) -> bool:
        """Return whether a candidate went on to ask this replica, which had answered it."""
        requests = self._requests_by_candidate.get(candidate, Counter())
        return max(requests.values(), default=0) > MAX_ANSWERED_REQUESTS

    def _record_refusal(self, voter: str, reply: VoteReply) -> None:
        election = self._election
        if election is not None and election.pre_vote == reply.pre_vote and voter in election.asked:
            election.why_by_refuser[voter] = reply.why or "no reason given"

    def _on_vote_reply(self, message: RaftMessage, reply: VoteReply) -> None:
        if reply.pre_vote and not reply.granted:
            if message.term > self.term:
                # Keeps its deadline: the next campaign, in the later term, is due soon.
                deadline = self._deadline
                self._become_follower(message.term, None, heard=f"vote_reply of {message.sender}")
                self._deadline = deadline
            return
        expected_role = Role.PRE_CANDIDATE if reply.pre_vote else Role.CANDIDATE
        is_expected_term = message.term == self.term + (1 if reply.pre_vote else 0)
        if self.role is not expected_role or not is_expected_term or not reply.granted:
            return
        self._election.granted.add(message.sender)
        self._check_election()

    def _become_follower(
        self, term: int, leader_id: str | None, why: str = "", heard: str = ""
    ) -> None:
        """Follow the leader, if one is known; ``heard`` is the message that told of the term."""
        if self.leader_state is not None:
            self.ended_leadership = self.leader_state.ended(
                self.term, why or f"term {term} has begun", heard, self._now, self.log.membership
            )
        if term > self.term:
            self._set_hard_state(term, "")
        if self.role is not Role.FOLLOWER:
            self._reset_election_deadline()
        self.role = Role.FOLLOWER
        self.leader_id = leader_id
        self.leader_state = None
        self._confirmed_reads = []

    def _become_leader(self) -> None:
        self.role = Role.LEADER
        self.leader_id = self.replica_id
        self._election = self.failed_election = None
        self.leader_state = LeaderState(self._now, self.log.last_index + 1)
        self._update_progress()
        self._append(EntryKind.NOOP, b"")

    def _check_quorum(self) -> None:
        """Step down if a majority may be following another leader, or none."""
        rule, timeout = self._quorum_rule(), self.timing.election_timeout
        contact_at = self.leader_state.quorum_contact_at(self.replica_id, self._now, rule)
        silence = self._now - contact_at
        if silence <= timeout:
            self.leader_state.serving_at = self._now
            return
        unserved = self._now - self.leader_state.serving_at
        if max(silence, unserved) <= MAX_UNSERVED_FACTOR * timeout:
            reply_seconds = MAX_MISSED_HEARTBEATS * self.timing.heartbeat_interval
            if self._now - self._resumed_at <= reply_seconds:
                # The voters may have heard nothing either, and elected nobody.
                return
            reply_at = self.leader_state.quorum_reply_at(self.replica_id, self._now, rule)
            if self._now - reply_at <= timeout:
                # A majority follows this leader, but its hosts or links are slow.
                return
        # This leader may be partitioned and another one already elected.
        self._become_follower(self.term, None, "no majority has replied in time")

    # ------------------------------------------------------------- replication

    def _append(self, kind: EntryKind, payload: bytes) -> int:
        entry = LogEntry(self.log.last_index + 1, self.term, kind, payload)
        self.log.append(entry)
        self._unsynced.append(entry)
        self._broadcast_pending = True
        return entry.index

    def _change_membership(self, membership: Membership) -> int:
        self._require_leader()
        if not self.has_committed_in_term:
            # Without a commit in this term, a membership entry of an earlier
            # leader may still be committed.  Two changes would then be in
            # progress at once, and their majorities need not overlap.
            raise MembershipChangeRefused(f"no entry of term {self.term} is committed yet")
        if self.log.membership_index > self.commit_index:
            raise MembershipChangeRefused(
                f"the membership change at index {self.log.membership_index} is not committed yet"
            )
        if not is_single_step(self.log.membership, membership, self._lost_ids.keys()):
            raise MembershipChangeRefused("a membership change may affect at most one voter")
        index = self._append(EntryKind.MEMBERSHIP, codec.encode(membership))
        self._update_progress()
        return index

    def _update_progress(self) -> None:
        existing = self.leader_state.progress_by_id
        member_ids = dict.fromkeys(
            member.replica_id
            for membership in self._quorum_rule().memberships
            for member in membership.members
        )
        self.leader_state.progress_by_id = {
            replica_id: existing.get(replica_id)
            or Progress(next_index=self.log.last_index + 1, acked_at=self._now)
            for replica_id in member_ids
            if replica_id != self.replica_id
        }

    def _broadcast(self) -> None:
        self._deadline = self._now + self.timing.heartbeat_interval
        self.leader_state.start_round(self._now, self.commit_index)
        self._unannounced_commit = not self._announces_commits
        for replica_id, progress in self.leader_state.progress_by_id.items():
            self._replicate_to(replica_id, progress)
        if not self.leader_state.progress_by_id:
            self._confirm_reads()

    def _replicate_to(self, replica_id: str, progress: Progress) -> None:
        """Send what the member lacks, as far as its window allows, or an empty request."""
        if self._send_missing(replica_id, progress):
            return
        if progress.snapshot is None or self._can_follow_snapshot(progress):
            self._send_append(replica_id, progress, [])

    def _send_missing(self, replica_id: str, progress: Progress) -> bool:
        """Send what the member lacks, as far as its window allows; return whether any was sent."""
        if progress.snapshot is None and progress.next_index > self.log.base_index:
            return self._send_entries(replica_id, progress)
        has_sent = self._send_snapshot(replica_id, progress)
        if self._can_follow_snapshot(progress):
            has_sent |= self._send_entries(replica_id, progress)
        return has_sent

    def _can_follow_snapshot(self, progress: Progress) -> bool:
        """Return whether entries may be sent behind the last chunk of a snapshot."""
        return (
            progress.has_sent_last
            and progress.streams_entries
            and progress.next_index > self.log.base_index
        )

    def _send_entries(self, replica_id: str, progress: Progress) -> bool:
        has_sent = False
        if progress.snapshot is None and progress.window.has_stalled(self._now):
            progress.window.restart()
        while progress.next_index <= self.log.last_index and self._can_send_entries(progress):
            entries = self._batch_from(progress.next_index, progress.window.room)
            self._send_append(replica_id, progress, entries)
            # Pipelining: if this message is lost, the member rejects the next
            # one because of the gap, and next_index moves back.
            progress.next_index = entries[-1].index + 1
            size = sum(len(entry.payload) for entry in entries)
            progress.window.record_sent(log_position(entries[-1].index), size, self._now)
            has_sent = True
        return has_sent

    def _send_append(self, replica_id: str, progress: Progress, entries: list[LogEntry]) -> None:
        previous = progress.next_index - 1
        request = AppendRequest(
            previous,
            self.log.term_at(previous),
            entries,
            self._announced_commit_index,
            self.leader_state.round,
        )
        self._send_before_sync(replica_id, append_request=request)

    def _can_send_entries(self, progress: Progress) -> bool:
        """Return whether to send entries rather than an empty request as a probe.

        Without these limits, each heartbeat would send the same entries again
        to a member that is unresponsive or has too many entries in flight.
        """
        is_unresponsive = (
            self._now - progress.acked_at > MAX_MISSED_HEARTBEATS * self.timing.heartbeat_interval
        )
        held = progress.snapshot.last_index if progress.snapshot else progress.match_index
        growth = progress.window.size / MIN_WINDOW_BYTES
        return (
            not is_unresponsive
            and progress.window.room > 0
            and progress.next_index - held <= MAX_IN_FLIGHT_ENTRIES * growth
        )

    def _batch_from(self, first: int, room: int) -> list[LogEntry]:
        entries = self.log.entries(first, self.log.last_index)
        return _leading_entries(entries, min(MAX_APPEND_BYTES, room))

    def _send_snapshot(self, replica_id: str, progress: Progress) -> bool:
        """Send the chunks that the window allows; return whether any was sent."""
        if progress.snapshot is None:
            begin_transfer(progress, self.snapshot)
        window = progress.window
        if window.has_stalled(self._now):
            go_back(progress)
        has_sent = False
        while not progress.has_sent_last and window.room > 0:
            chunk = self._send_chunk(replica_id, progress, progress.sent_offset)
            progress.sent_offset += len(chunk.data)
            progress.has_sent_last = chunk.done
            window.record_sent((chunk.last_index, progress.sent_offset), len(chunk.data), self._now)
            has_sent = True
        return has_sent

    def _send_chunk(self, replica_id: str, progress: Progress, offset: int) -> SnapshotChunk:
        chunk = chunk_at(progress.snapshot, offset, self.leader_state.round)
        self._send_before_sync(replica_id, snapshot_chunk=chunk)
        return chunk

    def _on_append_request(self, message: RaftMessage, request: AppendRequest) -> None:
        self._record_leader_contact(message)
        reception = self._reception_of(message)
        reception.leader_commit_index = max(reception.leader_commit_index, request.commit_index)
        local_term = self.log.term_at(request.previous_index)
        if request.previous_index > self.commit_index and local_term != request.previous_term:
            reception.rejected += 1
            self._reply_append(message, request, False, self._possible_match(request))
            return
        last_new, missing = request.previous_index, 0
        for entry in request.entries:
            last_new = entry.index
            missing += self._append_from_leader(entry)
        reception.record_progress(self._now, entries=missing)
        self._commit_up_to(min(request.commit_index, last_new))
        self._reply_append(message, request, True, last_new)

    def _possible_match(self, request: AppendRequest) -> int:
        """Return the hint of a rejection: the last index up to which the logs may agree.

        Up to the rejected index the leader holds no entry of a later term than there, so none of
        later terms here can match.  If one of those is at the rejected index, the hint is two
        below that at most: one below would tell the leader to skip its own term.
        """
        rejected, term = request.previous_index, request.previous_term
        hint = min(rejected - 1, self.log.last_index_of_terms_up_to(term))
        hint = max(hint, self.commit_index)
        if (self.log.term_at(rejected) or 0) > term:
            hint = max(0, min(hint, rejected - 2))
        return hint

    def _append_from_leader(self, entry: LogEntry) -> bool:
        """Append an entry, in place of conflicting ones; return whether it was missing."""
        if entry.index <= self.commit_index or self.log.term_at(entry.index) == entry.term:
            return False
        if entry.index <= self.log.last_index:
            self.log.truncate_from(entry.index)
            self._synced_index = min(self._synced_index, entry.index - 1)
            self._unsynced = [pending for pending in self._unsynced if pending.index < entry.index]
        self.log.append(entry)
        self._unsynced.append(entry)
        return True

    def _reply_append(self, message, request, success: bool, match_index: int) -> None:
        if request.round == NO_ROUND:
            return
        reply = AppendReply(success, match_index, request.round)
        self._send(message.sender, self.term, append_reply=reply)

    def _on_append_reply(self, message: RaftMessage, reply: AppendReply) -> None:
        progress = self._progress_of(message, reply.round)
        if progress is None:
            return
        if reply.success:
            self._record_match(progress, reply.match_index)
            self._advance_commit()
            if self.role is not Role.LEADER:
                # That has committed the removal of this leader.
                return
        elif reply.round < progress.min_rejection_round:
            # Rejects a request sent before next_index last moved back; a newer
            # request is already in flight.
            return
        elif progress.snapshot is not None:
            # A chunk before these entries is missing.
            progress.min_rejection_round = self.leader_state.round + 1
            if record_rejection_behind(progress, self._now):
                self._send_chunk(message.sender, progress, progress.snapshot_offset)
            return
        else:
            if progress.window.in_flight:
                progress.window.shrink(self._now)
                progress.window.forget()
            progress.record_rejection(self._index_to_resend_after(progress, reply.match_index))
            progress.min_rejection_round = self.leader_state.round + 1
            self._broadcast_pending = True
            return
        self._send_missing(message.sender, progress)

    def _record_match(self, progress: Progress, match_index: int) -> None:
        self.leader_state.record_match(progress, match_index)
        progress.window.record_answer(log_position(match_index), self._now)
        if progress.snapshot is not None and match_index >= progress.snapshot.last_index:
            end_transfer(progress)

    def _index_to_resend_after(self, progress: Progress, hint: int) -> int:
        """Return the index after which to go on with a member that rejected a request.

        It may hold entries beyond that, which are then sent again.
        """
        rejected = hint + 1
        if hint == self.log.base_index - 1 and progress.probed_index != self.log.base_index:
            # The hint may be one too low, and the member needs no snapshot then.
            return self.log.base_index
        if rejected != progress.probed_index or rejected <= self.log.base_index:
            return hint
        # It holds an entry of another term there.  To try this term entry by entry would take a
        # round trip for each, and would send all later entries each time.
        return self.log.first_index_of_term_at(rejected) - 1

    def _on_snapshot_chunk(self, message: RaftMessage, chunk: SnapshotChunk) -> None:
        self._record_leader_contact(message)
        reception = self._reception_of(message)
        if chunk.last_index <= self.commit_index:
            self._reply_snapshot(message, chunk, 0, installed=True)
            return
        held_before = self._incoming_snapshot.next_offset
        snapshot = self._incoming_snapshot.add(chunk, message.sender, message.term)
        held = len(snapshot.state) if snapshot else self._incoming_snapshot.next_offset
        reception.record_progress(self._now, snapshot_bytes=max(0, held - held_before))
        if snapshot is not None:
            reception.snapshots += 1
            self._install(snapshot)
            self._reply_snapshot(message, chunk, 0, installed=True)
            return
        self._reply_snapshot(message, chunk, self._incoming_snapshot.next_offset, installed=False)

    def _reception_of(self, message: RaftMessage) -> Reception:
        """Return what the leader that sent this message has sent in its term."""
        if (self.reception.sender, self.reception.term) != (message.sender, message.term):
            self.reception = Reception(message.sender, message.term, self._now)
        self.reception.heard_at = self._now
        return self.reception

    def _install(self, snapshot: SnapshotFile) -> None:
        self.snapshot = self._snapshot_to_install = snapshot
        self.log.reset(snapshot.last_index, snapshot.last_term, snapshot.membership)
        self._unsynced = []
        self._synced_index = self.commit_index = self._returned_index = snapshot.last_index
        self._known_commit_index = max(self._known_commit_index, snapshot.last_index)

    def _reply_snapshot(self, message, chunk, next_offset: int, installed: bool) -> None:
        reply = SnapshotReply(chunk.last_index, next_offset, installed, chunk.round)
        self._send(message.sender, self.term, snapshot_reply=reply)

    def _on_snapshot_reply(self, message: RaftMessage, reply: SnapshotReply) -> None:
        progress = self._progress_of(message, reply.round)
        if progress is None or progress.snapshot is None:
            return
        if reply.last_index != progress.snapshot.last_index:
            return
        if reply.installed:
            self._record_match(progress, reply.last_index)
        elif record_reply(progress, reply, self._now):
            self._send_chunk(message.sender, progress, progress.snapshot_offset)
        self._send_missing(message.sender, progress)

    def _progress_of(self, message: RaftMessage, acked_round: int) -> Progress | None:
        if self.role is not Role.LEADER:
            return None
        progress = self.leader_state.progress_by_id.get(message.sender)
        if progress is None:
            return None
        self.leader_state.record_reply(progress, acked_round, self._now)
        self._confirm_reads()
        return progress

    def _confirm_reads(self) -> None:
        if self.has_committed_in_term:
            self._confirmed_reads += [
                ConfirmedRead(read_id, self.commit_index)
                for read_id in self.leader_state.take_confirmed_reads(
                    self.replica_id, self._quorum_rule()
                )
            ]

    def _advance_commit(self) -> None:
        index = self.leader_state.quorum_match_index(
            self.replica_id, self._synced_index, self._quorum_rule()
        )
        # A later leader may overwrite an entry of an earlier term even if a
        # majority holds it.  Committing an entry of this term commits all
        # entries before it.
        if index > self.commit_index and self.log.term_at(index) == self.term:
            ends_change = self.commit_index < self.log.membership_index <= index
            self._commit_up_to(index)
            self._unannounced_commit = True
            if ends_change:
                self._update_progress()
                # Fewer replicas may be needed from now on.
                self._advance_commit()
            self._confirm_reads()
            if find_member(self.log.membership_at(index), self.replica_id) is None:
                self._become_follower(self.term, None, "removed from the group")

    def _commit_up_to(self, index: int) -> None:
        if index > self.log.last_index:
            raise InvariantBroken(
                f"commit index {index} is beyond the last log index {self.log.last_index}"
            )
        if self._known_commit_index < self.log.membership_index <= index:
            # A restart must not forget which voters a quorum is of.
            self._hard_state_changed = True
        self.commit_index = max(self.commit_index, index)
        self._known_commit_index = max(self._known_commit_index, index)

    # ------------------------------------------------------------------ helpers

    def _record_leader_contact(self, message: RaftMessage) -> None:
        if self.role is Role.LEADER:
            raise InvariantBroken(
                f"two leaders in term {self.term}: {message.sender} and {self.replica_id}"
            )
        self._become_follower(message.term, message.sender)
        self.previous_leader_id = message.sender
        self._campaigns = 0
        self._requests_by_candidate.clear()
        self._election = self.failed_election = None
        self._last_leader_contact_at = self._now
        self._reset_election_deadline()

    def _reject_stale(self, message: RaftMessage, kind: str) -> None:
        # The sender leads an earlier term; a reply with the current term makes it step down.
        if kind == "append_request":
            reply = AppendReply(False, self.log.last_index, 0)
            self._send(message.sender, self.term, append_reply=reply)

    def _require_leader(self) -> None:
        if self.role is not Role.LEADER:
            raise NotLeading(self.leader_id)

    def _set_hard_state(self, term: int, voted_for: str) -> None:
        if (term, voted_for) != (self.term, self.voted_for):
            self.term, self.voted_for = term, voted_for
            self._hard_state_changed = True

    def _reset_election_deadline(self, factor: float = 1.0) -> None:
        jitter = self._rng.uniform(1.0, LONGEST_CAMPAIGN_DELAY_FACTOR)
        self._deadline = self._now + self.timing.election_timeout * jitter * factor

    def _take_record(self) -> WalRecord | None:
        if not self._unsynced and not self._hard_state_changed:
            return None
        record = WalRecord(self.term, self.voted_for, self._unsynced, self._known_commit_index)
        self._unsynced, self._hard_state_changed = [], False
        return record

    def _take_committed(self) -> list[LogEntry]:
        first = self._returned_index + 1
        last = min(self._last_appliable_index, first + MAX_READY_ENTRIES - 1)
        committed = _leading_entries(self.log.entries(first, last), MAX_READY_BYTES)
        self._returned_index += len(committed)
        return committed

    def _take_confirmed_reads(self) -> list[int]:
        """Return the reads that may be served once what was committed for them is applied."""
        reads = self._confirmed_reads
        self._confirmed_reads = [read for read in reads if read.commit_index > self._returned_index]
        return [read.read_id for read in reads if read.commit_index <= self._returned_index]

    def _message(self, recipient: str, term: int, payload: dict) -> RaftMessage:
        return RaftMessage(self.replica_id, recipient, term, RaftPayload(**payload), self.shard)

    def _send(self, recipient: str, term: int, **payload) -> None:
        self._messages.append(self._message(recipient, term, payload))

    def _send_before_sync(self, recipient: str, **payload) -> None:
        self._messages_before_sync.append(self._message(recipient, self.term, payload))


def _leading_entries(entries: list[LogEntry], max_bytes: int) -> list[LogEntry]:
    """Return the first entries with no more payload than that, or the first one alone."""
    leading, size = [], 0
    for entry in entries:
        size += len(entry.payload)
        if leading and size > max_bytes:
            break
        leading.append(entry)
    return leading
