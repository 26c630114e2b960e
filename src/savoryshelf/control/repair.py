"""Keeps the control group whole: lets new disks join, promotes them, retires lost ones.

One step at a time, each after the one before is committed: add the new disk
as a learner; once it holds all that is committed, remove the replica whose
place it takes; then let it vote.  The old replica goes first so that the
group never has more votes than hosts.
"""

from ..replication.core import Replica
from ..replication.formation import host_name
from ..replication.membership import MembershipChangeRefused, find
from ..replication.service import OutcomeUnknown, ReplicaService
from ..replication.types import NotLeading
from ..wire.generated.ttypes import Member


class GroupRepair:
    """The leader's duty towards its own group."""

    def __init__(self, replica: ReplicaService):
        self._replica = replica

    def request_join(self, member: Member) -> None:
        """Add a replica as a learner, unless it is a member already."""
        if not self._replica.is_leader:
            raise NotLeading(self._replica.core.leader_id)
        if find(self._replica.core.log.membership, member.replica_id) is None:
            self._change(lambda core: core.add_learner(member))

    def remove(self, name: str) -> None:
        """Retire a replica named by host or by replica id; raises MembershipChangeRefused."""
        members = self._replica.core.log.membership.members
        named = [m.replica_id for m in members if name in (m.replica_id, host_name(m.replica_id))]
        if len(named) != 1:
            raise MembershipChangeRefused(f"{name!r} names {len(named)} members; name one")
        self._replica.change_membership(lambda core: core.remove(named[0]))

    def step(self) -> None:
        """Take the next step of a repair, if one is due."""
        core = self._replica.core
        if not self._replica.is_leader or not core.can_confirm:
            return
        for learner in core.log.membership.members:
            if learner.voter or not _holds_committed(core, learner.replica_id):
                continue
            replaced = _replaced_by(core, learner)
            if replaced:
                self._change(lambda core, old=replaced: core.remove(old))
            else:
                self._change(lambda core, new=learner.replica_id: core.promote(new))
            return

    def _change(self, change) -> None:
        try:
            self._replica.change_membership(change)
        except (MembershipChangeRefused, OutcomeUnknown):
            # Not now: the next step looks at the membership anew.
            return


def _holds_committed(core: Replica, replica_id: str) -> bool:
    progress = core.leadership.progress_by_id.get(replica_id)
    return progress is not None and progress.match_index >= core.commit_index


def _replaced_by(core: Replica, learner: Member) -> str:
    """Return the replica that stood on the learner's host before, or an empty string."""
    for member in core.log.membership.members:
        same_host = host_name(member.replica_id) == host_name(learner.replica_id)
        if same_host and member.replica_id != learner.replica_id:
            return member.replica_id
    return ""
