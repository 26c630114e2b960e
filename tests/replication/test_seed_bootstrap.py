from savoryshelf.replication.seed_bootstrap import bootstrap_identity
from savoryshelf.replication.storage import ReplicaStorage

from .group import MemoryDisk

SEEDS = ["10.0.0.1", "10.0.0.2", "10.0.0.3"]


def adopt(disk, ip, first=True):
    return bootstrap_identity(ReplicaStorage(disk), ip, SEEDS, 7720, first)


def members(identity):
    return {member.replica_id for member in identity.genesis.members}


def test_seeds_agree_on_the_first_members_without_asking():
    identities = [adopt(MemoryDisk(), ip) for ip in SEEDS]
    assert {identity.replica_id for identity in identities} == members(identities[0])
    assert all(members(identity) == members(identities[0]) for identity in identities)


def test_a_host_that_is_no_seed_joins_later():
    assert members(adopt(MemoryDisk(), "10.0.0.9")) == set()


def test_a_seed_that_lost_its_disk_is_somebody_new():
    first = adopt(MemoryDisk(), SEEDS[0])
    again = adopt(MemoryDisk(), SEEDS[0], first=False)
    assert again.replica_id != first.replica_id
    assert members(again) == set()


def test_a_disk_stays_who_it_is_whatever_the_settings_say_later():
    disk = MemoryDisk()
    first = adopt(disk, SEEDS[0])
    for is_first in (True, False):
        again = bootstrap_identity(ReplicaStorage(disk), SEEDS[0], ["10.0.0.8"], 7720, is_first)
        assert again.replica_id == first.replica_id
        assert members(again) == members(first)
