"""How a group is formed where hosts know only a few seeds, and nobody lists the others.

At the very first start every host is given the same seeds, and the start says
that it is the first.  The seeds then are the first members, under identities
that each can tell of the others; nothing has to be asked.  Every other disk,
and every disk that was lost later, joins as a learner.
"""

from ..wire.generated.ttypes import DiskIdentity, Member, Membership
from .storage import ReplicaStorage

INITIAL_DISK_SUFFIX = "first"
"""Suffix of the identity that a seed's disk has from the first start of the group."""


def bootstrap_identity(
    storage: ReplicaStorage, own_ip: str, seed_ips: list[str], peer_port: int, is_first_start: bool
) -> DiskIdentity:
    """Return who this disk is, with the group's first membership.

    The membership is empty where this disk is not one of the first.
    """
    is_first_member = is_first_start and own_ip in seed_ips
    identity = storage.load_or_create_identity(
        own_ip, INITIAL_DISK_SUFFIX if is_first_member else ""
    )
    if identity.genesis is None:
        initial_membership = (
            _seed_membership(seed_ips, peer_port) if is_first_member else Membership([])
        )
        storage.save_initial_membership(identity, initial_membership)
    return identity


def _seed_membership(seed_ips: list[str], peer_port: int) -> Membership:
    return Membership(
        [
            Member(f"{ip}.{INITIAL_DISK_SUFFIX}", f"{ip}:{peer_port}", "", True)
            for ip in sorted(seed_ips)
        ]
    )
