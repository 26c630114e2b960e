"""How a control group is formed, and how a replica with an empty disk finds it.

An empty disk is either new or lost, and nothing on the host tells which.  So
a group is formed only when every replica named in the settings answers and
none knows of a group already; whoever finds one formed without itself joins
it as a learner.
"""

import random

import attrs
import eventlet

from ..errors import PeerUnreachable
from ..wire.generated import ControlService
from ..wire.generated.ttypes import DiskIdentity, Member, Membership, ProbeReply
from ..wire.peers import PeerClient
from .storage import ReplicaStorage

PROBE_INTERVAL_SECONDS = 0.3
PROBE_TIMEOUT_SECONDS = 1.0


@attrs.frozen
class ControlHost:
    """A control host as the settings name it."""

    name: str
    address: str
    failure_domain: str = ""


def host_name(replica_id: str) -> str:
    """Return the host's name in a replica id, which is host name and disk identity."""
    return replica_id.rpartition(".")[0]


def bootstrap_membership(
    identity: DiskIdentity, hosts: list[ControlHost], storage: ReplicaStorage, cluster_key: str
) -> Membership:
    """Return the first membership of the group, or an empty one to join as a learner."""
    if identity.genesis is not None:
        return identity.genesis
    while True:
        replies = _probe_all(identity, hosts, cluster_key)
        existing = next((r.genesis for r in replies.values() if r.genesis is not None), None)
        if existing is not None:
            return _join_existing_group(existing, identity, storage)
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


def _join_existing_group(
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
