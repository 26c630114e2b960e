"""The leader's duty towards its group, on real cores in memory."""

from savoryshelf.control.repair import SILENT_VOTER_SECONDS, GroupRepair
from savoryshelf.replication.membership import find_member, voter_ids
from savoryshelf.replication.seed_bootstrap import INITIAL_DISK_SUFFIX
from savoryshelf.replication.types import Role
from savoryshelf.wire.generated.ttypes import Member

from ..replication.group import Group, Host


class ReplicaOf:
    """What ``GroupRepair`` needs of a replica service, around a core in memory."""

    def __init__(self, host):
        self._host = host

    @property
    def core(self):
        return self._host.core

    @property
    def is_leader(self):
        return self.core.role is Role.LEADER

    def change_membership(self, change):
        change(self.core)
        self._host.process_ready()


def add_empty_host(group, name):
    host = group.host_by_name[name] = Host(group, name)
    host.start()
    return host


def repair(group, seconds=4.0):
    """Take steps of the repair for that long; return the most votes there were."""
    end, most = group.now + seconds, 0
    while group.now < end:
        leader = group.leader()
        if leader.core.has_committed_in_term:
            GroupRepair(ReplicaOf(leader), replaces_silent=True).step()
        group.run_for(0.2)
        most = max(most, len(voter_ids(membership(group))))
    return most


def join(group, host):
    leader = group.leader()
    member = Member(host.core.replica_id, host.name, "", False)
    GroupRepair(ReplicaOf(leader), replaces_silent=True).request_join(member)
    group.run_for(0.5)


def membership(group):
    return group.leader().core.log.membership


def lose(group, name):
    group.isolate(name)
    group.run_for(SILENT_VOTER_SECONDS + 1.0)


def other_than_leader(group):
    return next(name for name, host in group.host_by_name.items() if not host.is_leader)


def test_a_host_at_another_address_takes_the_place_of_one_that_is_gone():
    group = Group(5)
    group.run_for()
    gone = group.host_by_name[other_than_leader(group)]
    gone_id = gone.replica_id
    lose(group, gone.name)
    host = add_empty_host(group, "d0")
    join(group, host)
    assert repair(group) == 5
    assert find_member(membership(group), gone_id) is None
    assert host.core.replica_id in voter_ids(membership(group))
    assert len(voter_ids(membership(group))) == 5


def test_two_disks_lost_one_after_the_other_are_both_replaced_and_nothing_is_lost():
    group = Group(5)
    group.run_for()
    group.propose("kept")
    for number in range(2):
        gone = other_than_leader(group)
        lose(group, gone)
        del group.host_by_name[gone]
        host = add_empty_host(group, f"d{number}")
        join(group, host)
        repair(group)
        assert host.applied == ["kept"]
    assert len(voter_ids(membership(group))) == 5


def test_a_silent_voter_keeps_its_vote_while_nobody_can_take_its_place():
    group = Group(5)
    group.run_for()
    silent = other_than_leader(group)
    replica_id = group.host_by_name[silent].replica_id
    lose(group, silent)
    repair(group)
    assert replica_id in voter_ids(membership(group))


def test_a_sixth_voter_that_falls_silent_is_removed():
    group = Group(5)
    group.run_for()
    join(group, add_empty_host(group, "d0"))
    repair(group)
    assert len(voter_ids(membership(group))) == 6
    silent = next(n for n, h in group.host_by_name.items() if not h.is_leader and n != "d0")
    replica_id = group.host_by_name[silent].replica_id
    lose(group, silent)
    repair(group)
    assert replica_id not in voter_ids(membership(group))


def test_a_replica_that_asks_again_is_left_as_it_is():
    group = Group(3)
    group.run_for()
    name = other_than_leader(group)
    before = membership(group)
    join(group, group.host_by_name[name])
    assert membership(group) == before
    assert INITIAL_DISK_SUFFIX not in name
