from savoryshelf.replication.seed_bootstrap import bootstrap_identity
from savoryshelf.replication.storage import ReplicaStorage

from .group import MemoryDisk

SEEDS = ["10.0.0.1", "10.0.0.2", "10.0.0.3"]


def adopt(disk, ip, first=True):
    return bootstrap_identity(ReplicaStorage(disk), ip, SEEDS, 7720, first)


def members(identity):
    return {member.replica_id for member in identity.genesis.members}


def test_seeds_derive_the_same_initial_members_without_communicating():
    identities = [adopt(MemoryDisk(), ip) for ip in SEEDS]
    assert {identity.replica_id for identity in identities} == members(identities[0])
    assert all(members(identity) == members(identities[0]) for identity in identities)


def test_a_host_that_is_not_a_seed_has_no_initial_members():
    assert members(adopt(MemoryDisk(), "10.0.0.9")) == set()


def test_a_seed_that_lost_its_disk_gets_a_new_replica_id():
    first = adopt(MemoryDisk(), SEEDS[0])
    replacement = adopt(MemoryDisk(), SEEDS[0], first=False)
    assert replacement.replica_id != first.replica_id
    assert members(replacement) == set()


def test_a_disk_keeps_its_replica_id_when_the_settings_change():
    disk = MemoryDisk()
    first = adopt(disk, SEEDS[0])
    for is_first in (True, False):
        restarted = bootstrap_identity(ReplicaStorage(disk), SEEDS[0], ["10.0.0.8"], 7720, is_first)
        assert restarted.replica_id == first.replica_id
        assert members(restarted) == members(first)
