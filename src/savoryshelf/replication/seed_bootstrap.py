"""Bootstraps a control group where the hosts know only a few seeds, not every member.

At the first start of the group every host gets the same seeds and a flag that
marks this start as the first one.  The seeds are the initial members.  Their
replica ids follow from their addresses, so each seed can derive the ids of the
others without communicating.  Any other disk, including the replacement of a
lost one, joins as a learner.
"""

from ..wire.generated.ttypes import DiskIdentity, Member, Membership
from .storage import ReplicaStorage

INITIAL_DISK_SUFFIX = "first"
"""Suffix of the replica id of a seed's disk that was set up at the group's first start."""


def bootstrap_identity(
    storage: ReplicaStorage, own_ip: str, seed_ips: list[str], peer_port: int, is_first_start: bool
) -> DiskIdentity:
    """Return the identity of this disk, with the initial membership of the group.

    The membership is empty if this disk is not one of the initial members.
    """
    is_first_member = is_first_start and own_ip in seed_ips
    initial_membership = (
        _seed_membership(seed_ips, peer_port) if is_first_member else Membership([])
    )
    identity = storage.load_or_create_identity(
        own_ip, INITIAL_DISK_SUFFIX if is_first_member else "", initial_membership
    )
    if identity.genesis is None:
        storage.save_initial_membership(identity, initial_membership)
    return identity


def _seed_membership(seed_ips: list[str], peer_port: int) -> Membership:
    return Membership(
        [
            Member(f"{ip}.{INITIAL_DISK_SUFFIX}", f"{ip}:{peer_port}", "", True)
            for ip in sorted(seed_ips)
        ]
    )
