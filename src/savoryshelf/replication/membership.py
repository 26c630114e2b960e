"""Quorums of a control group and the single-step changes of its membership."""

from collections.abc import Iterable, Mapping, Set

import attrs

from ..errors import SavoryshelfError
from ..wire.generated.ttypes import Member, Membership


class MembershipChangeRefused(SavoryshelfError):
    """The membership change is invalid or not allowed in the current state."""


def host_name(replica_id: str) -> str:
    """Return the host name of a replica id, which has the form ``<host name>.<disk id>``."""
    return replica_id.rpartition(".")[0]


def voter_ids(membership: Membership) -> list[str]:
    """Return the replica ids of the voters, in the order of the members."""
    return [member.replica_id for member in membership.members if member.voter]


def quorum_size(membership: Membership) -> int:
    """Return the number of voters in a quorum: a majority, or more to have enough copies."""
    count = len(voter_ids(membership))
    return max(count // 2 + 1, min(count, membership.min_copies or 0))


def find_member(membership: Membership, replica_id: str) -> Member | None:
    """Return the member with the given replica id, or None."""
    return next((m for m in membership.members if m.replica_id == replica_id), None)


def membership_kind(membership: Membership, replica_id: str) -> str:
    """Return what a replica is in a membership: ``voter``, ``learner`` or ``none``."""
    member = find_member(membership, replica_id)
    if member is None:
        return "none"
    return "voter" if member.voter else "learner"


def copies(membership: Membership) -> int:
    """Return how many voters hold what is committed at least, by the loss of how many it is lost.

    Half of the voters, or ``min_copies``.  A quorum is no smaller.
    """
    count = len(voter_ids(membership))
    return min(count, max(count - count // 2, membership.min_copies or 0))


def fewest_survivors(membership: Membership) -> int:
    """Return how many voters must be left to go on once the disks of all others are lost."""
    return len(voter_ids(membership)) - copies(membership) + 1


def surviving_quorum(membership: Membership, lost_ids: Set[str]) -> set[str]:
    """Return the voters whose disks are not lost if they are enough, else an empty set.

    A voter with a lost disk never votes or acknowledges anything again.  All others together meet
    every quorum then, and no later quorum can do without one of them.
    """
    survivors = set(voter_ids(membership)) - lost_ids
    return survivors if len(survivors) >= fewest_survivors(membership) else set()


def meets_survivors(after: Membership, before: Membership) -> bool:
    """Return whether each quorum by size of ``after`` meets all survivors of ``before``."""
    added = set(voter_ids(after)) - set(voter_ids(before))
    common = quorum_size(after) - len(added)
    return common + fewest_survivors(before) > len(voter_ids(before))


@attrs.frozen
class QuorumRule:
    """Which replicas are a quorum of ``membership``, given the lost disks.

    ``before`` is the membership before that one, while the change may not be committed.
    """

    membership: Membership
    before: Membership | None = None
    lost_ids: frozenset[str] = frozenset()

    @property
    def memberships(self) -> list[Membership]:
        """Return the memberships whose voters are asked, the present one first."""
        return [self.membership] if self.before is None else [self.membership, self.before]

    def is_met_by(self, replica_ids: Iterable[str]) -> bool:
        """Return whether the given replicas include a quorum."""
        return self.value(dict.fromkeys(replica_ids, 1)) > 0

    def value(self, value_by_id: Mapping[str, float]) -> float:
        """Return the highest value that a quorum has reached; a missing value counts as 0."""
        value = self._value_in(self.membership, value_by_id)
        if self.before is None:
            return value
        # Survivors may be few, so those of one membership need not meet a quorum of the other.
        of_both = min(value, self._value_in(self.before, value_by_id))
        if not meets_survivors(self.membership, self.before):
            return of_both
        return max(of_both, _value_by_size(self.membership, value_by_id))

    def _value_in(self, membership: Membership, value_by_id: Mapping[str, float]) -> float:
        by_size = _value_by_size(membership, value_by_id)
        survivors = surviving_quorum(membership, self.lost_ids) if self.lost_ids else set()
        if not survivors:
            return by_size
        return max(by_size, min(value_by_id.get(each, 0) for each in survivors))


def _value_by_size(membership: Membership, value_by_id: Mapping[str, float]) -> float:
    voters = voter_ids(membership)
    reached = sorted((value_by_id.get(voter, 0) for voter in voters), reverse=True)
    return reached[quorum_size(membership) - 1]


def with_learner(membership: Membership, learner: Member) -> Membership:
    """Return the membership with a learner added; its ``voter`` flag is ignored."""
    if find_member(membership, learner.replica_id):
        raise MembershipChangeRefused(f"{learner.replica_id} is already a member")
    new_member = Member(learner.replica_id, learner.address, learner.failure_domain, False)
    members = [*membership.members, new_member]
    return Membership(members, membership.min_copies, membership.removes_lost)


def with_promoted_learner(membership: Membership, replica_id: str) -> Membership:
    """Return the membership with a learner promoted to voter."""
    member = find_member(membership, replica_id)
    if member is None or member.voter:
        raise MembershipChangeRefused(f"{replica_id} is not a learner")
    promoted = Member(member.replica_id, member.address, member.failure_domain, True)
    members = [promoted if m is member else m for m in membership.members]
    return Membership(members, membership.min_copies)


def without_member(membership: Membership, replica_id: str) -> Membership:
    """Return the membership without the given replica; the last voter cannot be removed.

    The group goes on to bear the loss of as many disks: what is committed is held by more than
    that, although fewer voters are left.
    """
    if find_member(membership, replica_id) is None:
        raise MembershipChangeRefused(f"{replica_id} is not a member")
    remaining = Membership(
        [m for m in membership.members if m.replica_id != replica_id],
        max(copies(membership), membership.min_copies or 0),
    )
    if not voter_ids(remaining):
        raise MembershipChangeRefused(f"{replica_id} is the last voter")
    return remaining


def without_lost_member(membership: Membership, replica_id: str) -> Membership:
    """Return the membership without a replica whose disk is lost."""
    remaining = without_member(membership, replica_id)
    remaining.removes_lost = True
    return remaining


def with_lower_min_copies(membership: Membership) -> Membership:
    """Return the membership with no more copies than this number of voters ordinarily keeps."""
    count = len(voter_ids(membership))
    ordinary = count - count // 2
    return Membership(membership.members, min(membership.min_copies or 0, ordinary) or None)


def is_single_step(before: Membership, after: Membership, lost_ids: Set[str] = frozenset()) -> bool:
    """Return whether at most one voter differs, so that majorities of both overlap.

    Any number of lost voters may be removed instead: they are in no majority any more.
    """
    voters_before, voters_after = set(voter_ids(before)), set(voter_ids(after))
    if voters_after <= voters_before and voters_before - voters_after <= lost_ids:
        return True
    return len(voters_before ^ voters_after) <= 1
