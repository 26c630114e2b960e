"""Replica replacement: admits replicas with new disks, promotes them and removes lost ones.

Membership changes one voter at a time, each after the previous one is committed: the new
replica is added as a learner; once it keeps pace with the leader, the replica that it
replaces is removed and, in the same step, the learner becomes a voter.

Which further losses a group of A, B, C, D bears that lost X for good, with learner L:

| voters | quorum | A to D | L too |
|---|---|---|---|
| A B C D X (before) | 3 | one | yes |
| A B C D (X removed first) | 3 | one | yes |
| A B C D X L (L promoted first) | 4 | one | no: L is that one |
| A B C D L (after) | 3 | two, L among them | |

A voter whose disk is known to be lost, since its host is back with another one, is removed at
once: nothing is gained by its vote, and the group bears the loss of two more disks from then on
(``QuorumRule``), however long its successor takes.  The table is of hosts that say nothing.

Either order bears one loss at any moment, also of the leader and with a change that only the
lost leader had: the next leader continues from the voters in its log.  Only the removal first
bears the loss of L besides, a host that has just started.  It needs a learner that will be
promoted: no voter is removed for one that does not keep pace.

A learner that comes before X is taken for lost becomes a sixth voter.  That bears two losses
like five voters, X and L among them; waiting instead would save only the loss of L besides.
A voter that is stopped meanwhile leaves the group itself: if it was stopped for good, its
successor is there already, and two other hosts may be lost at once.
"""

from ..observability.logs import log_event
from ..replication.core import Replica
from ..replication.membership import MembershipChangeRefused, find_member, host_name, voter_ids
from ..replication.service import OutcomeUnknown, ReplicaService
from ..replication.types import NotLeading
from ..wire.generated.ttypes import Member
from .waiting_learners import WaitingLearners

UNRESPONSIVE_VOTER_SECONDS = 2.0
"""A voter without contact for this long may be replaced by a learner that has caught up.

Two election timeouts, since elections and slow disks cause shorter interruptions.
"""

SILENT_SINCE_ELECTION_SECONDS = 1.0
"""The same for a voter that has never answered this leader.

It was silent during the election too.  One that is there answers within a round trip, or after
an attempt to connect that began while it was off: 0.25 s and the pause that follows.
A full wait with each leader would make a replacement late when the leader is lost in the middle.
"""

MAX_JOIN_WAIT_SECONDS = 1.0
"""How long a host that joins waits for a change in progress: as long as it waits for an answer."""

UNRESPONSIVE_LEARNER_SECONDS = 10.0
"""A learner without contact for this long is removed; it joins again when it returns."""

TARGET_VOTERS = 5
"""Above this many voters an unresponsive one is removed even without a replacement.

Below it, a learner on another host becomes a voter without replacing one.
Five voters tolerate the loss of two; an unresponsive sixth only raises the quorum.
"""


class GroupRepair:
    """Replaces lost replicas of the group while this replica leads it.

    A learner always replaces an older replica of its own host.  With
    ``replaces_unresponsive`` a learner on another host may also replace an
    unresponsive voter, and unresponsive members are removed.
    """

    def __init__(self, replica: ReplicaService, replaces_unresponsive: bool = False):
        self._replica = replica
        self._replaces_unresponsive = replaces_unresponsive
        self._waiting = WaitingLearners()

    def request_join(self, member: Member) -> None:
        """Add a replica as a learner unless it is a member; return once that is committed.

        Waits for a change in progress: a host that joins has little time, and another one may
        have lost its disk with it.  Raises NotLeading, MembershipChangeRefused or OutcomeUnknown.
        """
        core = self._replica.core
        began_at = core.now
        while True:
            if not self._replica.is_leader:
                raise NotLeading(core.leader_id)
            if not core.must_commit_before_change and _is_member(core, member):
                return
            left = MAX_JOIN_WAIT_SECONDS - (core.now - began_at)
            if core.must_commit_before_change and left > 0:
                self._replica.await_membership_change(left)
                continue
            try:
                self._commit("add", member.replica_id, lambda core: core.add_learner(member))
            except MembershipChangeRefused:
                if left <= 0 or not core.must_commit_before_change:
                    raise

    def remove(self, name: str) -> None:
        """Remove the replica with this host name or replica id; raises MembershipChangeRefused."""
        members = self._replica.core.log.membership.members
        matching_ids = [
            m.replica_id for m in members if name in (m.replica_id, host_name(m.replica_id))
        ]
        if len(matching_ids) != 1:
            raise MembershipChangeRefused(
                f"{name!r} matches {len(matching_ids)} members; it must match exactly one"
            )
        self._replica.change_membership(
            lambda core: core.remove(matching_ids[0], shrinks_group=True)
        )

    def request_leave(self, replica_id: str) -> None:
        """Remove a voter whose process stops if the group has more voters than its target.

        The process may come back, and joins again then; if it does not, its vote would be missing
        until it counts as unresponsive.  Raises NotLeading, MembershipChangeRefused or
        OutcomeUnknown.
        """

        def remove_surplus(core: Replica) -> int:
            voters = voter_ids(core.log.membership)
            if replica_id not in voters or len(voters) <= TARGET_VOTERS:
                raise MembershipChangeRefused(f"{replica_id} is not a voter above the target")
            return core.remove(replica_id)

        self._replica.change_membership(remove_surplus)
        log_event("group:changed", change="leave", replica=replica_id)

    def step(self) -> None:
        """Commit the next membership change, if one is due."""
        core = self._replica.core
        if not self._replica.is_leader or not core.has_committed_in_term:
            return
        self._waiting.keep_current(core)
        if lost_ids := core.removable_lost_ids:
            self._change("remove_lost", ", ".join(lost_ids), lambda core: core.remove_lost())
            # The members, and who leads, may have changed by now.
            return
        for learner in core.log.membership.members:
            if learner.voter:
                continue
            learner_id = learner.replica_id
            if not core.is_caught_up(learner_id):
                self._waiting.log_reason(core, learner_id, "it has not caught up")
                continue
            self._replace_and_promote(core, learner)
            return
        if self._replaces_unresponsive:
            self._remove_unresponsive(core)

    def _replace_and_promote(self, core: Replica, learner: Member) -> None:
        """Remove what the learner replaces and promote it at once: a vote is missing between."""
        learner_id = learner.replica_id
        while self._replica.is_leader and core.is_caught_up(learner_id):
            replaced = self._member_replaced_by(core, learner)
            if not replaced:
                self._promote(learner_id)
                return
            if not self._remove(replaced, learner_id):
                return

    def _member_replaced_by(self, core: Replica, learner: Member) -> str:
        """Return the id of the replica that the learner replaces, or an empty string."""
        for member in core.log.membership.members:
            same_host = host_name(member.replica_id) == host_name(learner.replica_id)
            if same_host and member.replica_id != learner.replica_id:
                return member.replica_id
        if not self._replaces_unresponsive or len(voter_ids(core.log.membership)) < TARGET_VOTERS:
            return ""
        unresponsive = _unresponsive_members(core, UNRESPONSIVE_VOTER_SECONDS, voting=True)
        return unresponsive[0] if unresponsive else ""

    def _remove_unresponsive(self, core: Replica) -> None:
        unresponsive = _unresponsive_members(core, UNRESPONSIVE_LEARNER_SECONDS, voting=False)
        if not unresponsive and len(voter_ids(core.log.membership)) > TARGET_VOTERS:
            unresponsive = _unresponsive_members(core, UNRESPONSIVE_VOTER_SECONDS, voting=True)
        if unresponsive:
            self._remove(unresponsive[0])

    def _promote(self, learner_id: str) -> None:
        self._change("promote", learner_id, lambda core: core.promote(learner_id), learner_id)

    def _remove(self, replica_id: str, learner_id: str = "") -> bool:
        return self._change("remove", replica_id, lambda core: core.remove(replica_id), learner_id)

    def _change(self, kind: str, replica_id: str, change, learner_id: str = "") -> bool:
        """Commit a change that ``learner_id``, if any, has waited for; return whether it did."""
        try:
            self._commit(kind, replica_id, change, learner_id)
        except (MembershipChangeRefused, OutcomeUnknown, NotLeading):
            # Not retried here: the next step starts from the membership at that time.
            return False
        return True

    def _commit(self, kind: str, replica_id: str, change, learner_id: str = "") -> None:
        core = self._replica.core
        learner_state = self._waiting.state(core, learner_id)
        lost_ids = core.lost_member_ids
        began_at = core.now
        try:
            self._replica.change_membership(change)
        except (MembershipChangeRefused, OutcomeUnknown, NotLeading) as error:
            log_event("group:change_refused", change=kind, replica=replica_id, why=str(error))
            raise
        gone = [each for each in lost_ids if not find_member(core.log.membership, each)]
        log_event(
            "group:changed",
            change=kind,
            replica=replica_id,
            took_s=round(core.now - began_at, 3),
            **({"without_lost": gone} if gone else {}),
            **learner_state,
        )


def _is_member(core: Replica, member: Member) -> bool:
    return find_member(core.log.membership, member.replica_id) is not None


def _unresponsive_members(core: Replica, seconds: float, voting: bool) -> list[str]:
    """Return the members without contact for ``seconds``, the longest unresponsive first."""
    leader_state = core.leader_state
    unresponsive = []
    for member in core.log.membership.members:
        progress = leader_state.progress_by_id.get(member.replica_id)
        if member.voter != voting or progress is None:
            continue
        last_contact_at = max(progress.acked_at, leader_state.elected_at)
        never_answered = progress.acked_round == 0
        limit = SILENT_SINCE_ELECTION_SECONDS if voting and never_answered else seconds
        if core.now - last_contact_at > limit:
            unresponsive.append((last_contact_at, member.replica_id))
    return [replica_id for _, replica_id in sorted(unresponsive)]
