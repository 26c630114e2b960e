"""Keeps the control group whole: lets new disks join, promotes them, retires lost ones.

One step at a time, each after the one before is committed: add the new disk
as a learner; once it holds all that is committed, remove the replica whose
place it takes; then let it vote.  The old replica goes first so that the
group never has more votes than hosts.
"""

from ..observability.logs import log_event
from ..replication.bootstrap import host_name
from ..replication.core import Replica
from ..replication.membership import MembershipChangeRefused, find_member, voter_ids
from ..replication.service import OutcomeUnknown, ReplicaService
from ..replication.types import NotLeading
from ..wire.generated.ttypes import Member

UNRESPONSIVE_VOTER_SECONDS = 2.0
"""A voter not heard for this long may lose its place to a learner that holds the log.

Two election timeouts: shorter silences are elections and slow disks.
"""

UNRESPONSIVE_LEARNER_SECONDS = 10.0
"""A learner not heard for this long is dropped; it joins again when it returns."""

TARGET_VOTERS = 5
"""Above this many voters a silent one is removed even if nobody takes its place.

Five voters bear the loss of two; a silent sixth only makes the quorum larger.
"""


class GroupRepair:
    """The leader's duty towards its own group."""

    def __init__(self, replica: ReplicaService, replaces_unresponsive: bool = False):
        self._replica = replica
        self._replaces_unresponsive = replaces_unresponsive

    def request_join(self, member: Member) -> None:
        """Add a replica as a learner, unless it is a member already."""
        if not self._replica.is_leader:
            raise NotLeading(self._replica.core.leader_id)
        if find_member(self._replica.core.log.membership, member.replica_id) is None:
            self._change("add", member.replica_id, lambda core: core.add_learner(member))

    def remove(self, name: str) -> None:
        """Retire a replica named by host or by replica id; raises MembershipChangeRefused."""
        members = self._replica.core.log.membership.members
        matching_ids = [
            m.replica_id for m in members if name in (m.replica_id, host_name(m.replica_id))
        ]
        if len(matching_ids) != 1:
            raise MembershipChangeRefused(f"{name!r} names {len(matching_ids)} members; name one")
        self._replica.change_membership(lambda core: core.remove(matching_ids[0]))

    def step(self) -> None:
        """Take the next step of a repair, if one is due."""
        core = self._replica.core
        if not self._replica.is_leader or not core.has_committed_in_term:
            return
        for learner in core.log.membership.members:
            if learner.voter or not _is_caught_up(core, learner.replica_id):
                continue
            replaced = self._member_replaced_by(core, learner)
            if replaced:
                self._remove(replaced)
            else:
                learner_id = learner.replica_id
                self._change(
                    "promote",
                    learner_id,
                    lambda core, learner_id=learner_id: core.promote(learner_id),
                )
            return
        if self._replaces_unresponsive:
            self._remove_unresponsive(core)

    def _member_replaced_by(self, core: Replica, learner: Member) -> str:
        """Return the replica whose place the learner takes, or an empty string."""
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

    def _remove(self, replica_id: str) -> None:
        self._change("remove", replica_id, lambda core: core.remove(replica_id))

    def _change(self, kind: str, replica_id: str, change) -> None:
        try:
            self._replica.change_membership(change)
        except (MembershipChangeRefused, OutcomeUnknown, NotLeading) as error:
            # Not now: the next step looks at the membership anew.
            log_event("group:change_refused", change=kind, replica=replica_id, why=str(error))
            return
        log_event("group:changed", change=kind, replica=replica_id)


def _is_caught_up(core: Replica, replica_id: str) -> bool:
    progress = core.leader_state.progress_by_id.get(replica_id)
    return progress is not None and progress.match_index >= core.commit_index


def _unresponsive_members(core: Replica, seconds: float, voting: bool) -> list[str]:
    """Return the members not heard for that long, the longest silent first."""
    leader_state = core.leader_state
    unresponsive = []
    for member in core.log.membership.members:
        progress = leader_state.progress_by_id.get(member.replica_id)
        if member.voter != voting or progress is None:
            continue
        last_contact_at = max(progress.acked_at, leader_state.elected_at)
        if core.now - last_contact_at > seconds:
            unresponsive.append((last_contact_at, member.replica_id))
    return [replica_id for _, replica_id in sorted(unresponsive)]
