"""Quorums of a control group and the single-step changes of its membership."""

from ..errors import SavoryshelfError
from ..wire.generated.ttypes import Member, Membership


class MembershipChangeRefused(SavoryshelfError):
    """The membership change is invalid or not allowed in the current state."""


def voter_ids(membership: Membership) -> list[str]:
    """Return the replica ids of the voters, in the order of the members."""
    return [member.replica_id for member in membership.members if member.voter]


def quorum_size(membership: Membership) -> int:
    """Return the number of voters in a majority."""
    return len(voter_ids(membership)) // 2 + 1


def find_member(membership: Membership, replica_id: str) -> Member | None:
    """Return the member with the given replica id, or None."""
    return next((m for m in membership.members if m.replica_id == replica_id), None)


def membership_kind(membership: Membership, replica_id: str) -> str:
    """Return what a replica is in a membership: ``voter``, ``learner`` or ``none``."""
    member = find_member(membership, replica_id)
    if member is None:
        return "none"
    return "voter" if member.voter else "learner"


def quorum_value(membership: Membership, value_by_id: dict) -> int | float:
    """Return the highest value that a majority of the voters has reached.

    A voter without a value counts as 0.
    """
    reached = sorted((value_by_id.get(voter, 0) for voter in voter_ids(membership)), reverse=True)
    return reached[quorum_size(membership) - 1]


def is_quorum(membership: Membership, replica_ids) -> bool:
    """Return whether the given replicas include a majority of the voters."""
    return len(set(voter_ids(membership)) & set(replica_ids)) >= quorum_size(membership)


def with_learner(membership: Membership, learner: Member) -> Membership:
    """Return the membership with a learner added; its ``voter`` flag is ignored."""
    if find_member(membership, learner.replica_id):
        raise MembershipChangeRefused(f"{learner.replica_id} is already a member")
    new_member = Member(learner.replica_id, learner.address, learner.failure_domain, False)
    return Membership([*membership.members, new_member])


def with_promoted_learner(membership: Membership, replica_id: str) -> Membership:
    """Return the membership with a learner promoted to voter."""
    member = find_member(membership, replica_id)
    if member is None or member.voter:
        raise MembershipChangeRefused(f"{replica_id} is not a learner")
    promoted = Member(member.replica_id, member.address, member.failure_domain, True)
    return Membership([promoted if m is member else m for m in membership.members])


def without_member(membership: Membership, replica_id: str) -> Membership:
    """Return the membership without the given replica; the last voter cannot be removed."""
    if find_member(membership, replica_id) is None:
        raise MembershipChangeRefused(f"{replica_id} is not a member")
    remaining = Membership([m for m in membership.members if m.replica_id != replica_id])
    if not voter_ids(remaining):
        raise MembershipChangeRefused(f"{replica_id} is the last voter")
    return remaining


def is_single_step(before: Membership, after: Membership) -> bool:
    """Return whether at most one voter differs, so that majorities of both overlap."""
    return len(set(voter_ids(before)) ^ set(voter_ids(after))) <= 1
