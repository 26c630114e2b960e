import pytest

from savoryshelf.replication.seed_bootstrap import bootstrap_identity
from savoryshelf.replication.storage import ReplicaStorage

from .group import MemoryDisk

SEEDS = ["10.0.0.1", "10.0.0.2", "10.0.0.3"]


def bootstrap(disk, ip, is_first_start=True):
    return bootstrap_identity(ReplicaStorage(disk), ip, SEEDS, 7720, is_first_start)


def member_ids(identity):
    return {member.replica_id for member in identity.genesis.members}


def test_seeds_derive_the_same_initial_members_without_communicating():
    identities = [bootstrap(MemoryDisk(), ip) for ip in SEEDS]
    assert {identity.replica_id for identity in identities} == member_ids(identities[0])
    assert all(member_ids(identity) == member_ids(identities[0]) for identity in identities)


def test_a_host_that_is_not_a_seed_has_no_initial_members():
    assert member_ids(bootstrap(MemoryDisk(), "10.0.0.9")) == set()


def test_a_seed_that_lost_its_disk_gets_a_new_replica_id():
    first = bootstrap(MemoryDisk(), SEEDS[0])
    replacement = bootstrap(MemoryDisk(), SEEDS[0], is_first_start=False)
    assert replacement.replica_id != first.replica_id
    assert member_ids(replacement) == set()


# Guards against a start that syncs its disk more often than it has to: each sync of a slow disk,
# or on a busy processor, delays the vote of this host.
@pytest.mark.parametrize("is_first_start", [True, False], ids=["first start", "empty disk"])
def test_a_new_disk_gets_its_identity_by_one_write(monkeypatch, is_first_start):
    disk, written, replace = MemoryDisk(), [], MemoryDisk.replace

    def record(disk, name, data):
        written.append(name)
        replace(disk, name, data)

    monkeypatch.setattr(MemoryDisk, "replace", record)
    first = bootstrap(disk, SEEDS[0], is_first_start)
    assert written == ["identity"]
    assert bootstrap(disk, SEEDS[0], is_first_start=False) == first
    assert written == ["identity"]


def test_a_disk_without_an_initial_membership_gets_one():
    disk = MemoryDisk()
    replica_id = ReplicaStorage(disk).load_or_create_identity(SEEDS[0], "first").replica_id
    identity = bootstrap(disk, SEEDS[0])
    assert identity.replica_id == replica_id
    assert member_ids(identity) == member_ids(bootstrap(MemoryDisk(), SEEDS[1]))


def test_a_disk_keeps_its_replica_id_when_the_settings_change():
    disk = MemoryDisk()
    first = bootstrap(disk, SEEDS[0])
    for is_first in (True, False):
        restarted = bootstrap_identity(ReplicaStorage(disk), SEEDS[0], ["10.0.0.8"], 7720, is_first)
        assert restarted.replica_id == first.replica_id
        assert member_ids(restarted) == member_ids(first)
