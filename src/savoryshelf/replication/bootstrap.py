"""Bootstraps a control group from the hosts in the settings, or finds an existing group.

A host cannot tell whether its empty disk is new or replaces a lost one.  A
group is therefore bootstrapped only if every host in the settings replies and
none of them belongs to a group yet.  A replica that finds an existing group
without itself joins it as a learner.
"""

import random

import attrs
import eventlet

from ..errors import PeerUnreachable
from ..wire.generated import ControlService
from ..wire.generated.ttypes import DiskIdentity, Member, Membership, ProbeReply
from ..wire.peers import PeerClient
from .membership import host_name
from .storage import ReplicaStorage

PROBE_INTERVAL_SECONDS = 0.3
PROBE_TIMEOUT_SECONDS = 1.0


@attrs.frozen
class ControlHost:
    """A control host as listed in the settings."""

    name: str
    address: str
    failure_domain: str = ""


def bootstrap_membership(
    identity: DiskIdentity, hosts: list[ControlHost], storage: ReplicaStorage, cluster_key: str
) -> Membership:
    """Return the initial membership of the group, or an empty one to join as a learner.

    ``DiskIdentity.genesis`` is the initial membership as stored on a disk.
    Blocks and probes the other hosts repeatedly until all of them reply or one
    of them belongs to a group.
    """
    if identity.genesis is not None:
        return identity.genesis
    while True:
        replies = _probe_all(identity, hosts, cluster_key)
        existing = next((r.genesis for r in replies.values() if r.genesis is not None), None)
        if existing is not None:
            return _membership_in_existing_group(existing, identity, storage)
        if len(replies) == len(hosts):
            initial_membership = _initial_membership(hosts, replies)
            storage.save_initial_membership(identity, initial_membership)
            return initial_membership
        eventlet.sleep(PROBE_INTERVAL_SECONDS * random.uniform(0.5, 1.5))


def _probe_all(identity, hosts, cluster_key: str) -> dict[str, ProbeReply]:
    replies: dict[str, ProbeReply] = {}
    for host in hosts:
        if host.name == host_name(identity.replica_id):
            replies[host.name] = ProbeReply(identity.replica_id, identity.genesis)
            continue
        client = PeerClient(ControlService, host.address, cluster_key)
        try:
            replies[host.name] = client.call("probe", timeout=PROBE_TIMEOUT_SECONDS)
        except PeerUnreachable:
            continue
        finally:
            client.close()
    return replies


def _membership_in_existing_group(
    existing: Membership, identity: DiskIdentity, storage: ReplicaStorage
) -> Membership:
    if any(member.replica_id == identity.replica_id for member in existing.members):
        storage.save_initial_membership(identity, existing)
        return existing
    return Membership([])


def _initial_membership(hosts: list[ControlHost], replies: dict[str, ProbeReply]) -> Membership:
    members = [
        Member(replies[host.name].replica_id, host.address, host.failure_domain, True)
        for host in sorted(hosts, key=lambda host: host.name)
    ]
    return Membership(members)
