"""Disks lost before the successors of others have caught up, with the real Raft core."""

import itertools

import pytest

from savoryshelf.control.repair import GroupRepair
from savoryshelf.replication.membership import find_member
from savoryshelf.wire.generated.ttypes import Member

from ..replication.group import Group
from .test_repair import ReplicaServiceAdapter, add_host_with_empty_disk

CATCH_UP_SECONDS = 4.0
"""A host whose disk was lost counts as available again this long after it is back (catchUpS)."""

RECOVERY_SECONDS = 12.0
"""The group serves again this long after all hosts are back (recoveryS)."""

STEP_SECONDS = 0.1
JOIN_INTERVAL_SECONDS = 0.4
DOWN_SECONDS = 1.4
SLOW_ENTRIES_PER_SECOND = 100.0
"""At this rate a learner needs longer than ``CATCH_UP_SECONDS`` for the log."""


class Site:
    """Five hosts whose leader repairs the group, and whose hosts with new disks ask to join."""

    def __init__(self, seed=0):
        self.group = Group(5, seed=seed)
        self.group.run_for(3.0)
        self._asked_at = 0.0

    def run_for(self, seconds, is_done=lambda: False):
        """Run until ``is_done``, at most for ``seconds``; return whether it was done."""
        end = self.group.now + seconds
        while self.group.now < end and not is_done():
            self._join_and_repair()
            self.group.run_for(STEP_SECONDS)
        return is_done()

    def _join_and_repair(self):
        leader = self.group.leader()
        if leader is None or not leader.core.has_committed_in_term:
            return
        repair = GroupRepair(ReplicaServiceAdapter(leader), replaces_unresponsive=True)
        if self.group.now - self._asked_at >= JOIN_INTERVAL_SECONDS:
            self._asked_at = self.group.now
            for host in list(self.group.host_by_name.values()):
                if host.core and not host.core.log.membership.members and leader.is_leader:
                    repair.request_join(Member(host.replica_id, host.name, "", False))
        if leader.is_leader:
            repair.step()

    def commit(self, count):
        for number in range(count):
            self.group.propose(f"kept {number}")
        self.run_for(0.5)

    def replace_disks(self, names):
        """Lose the disks of these hosts, which come back with empty ones."""
        for name in names:
            self.group.lose(name)
        self.run_for(DOWN_SECONDS)
        for name in names:
            add_host_with_empty_disk(self.group, name)

    def serves_all(self):
        leader = self.group.leader()
        return (
            leader is not None
            and leader.core.has_committed_in_term
            and leader.applied[:COMMANDS] == [f"kept {number}" for number in range(COMMANDS)]
        )


COMMANDS = 600
PAIRS = list(itertools.combinations(range(5), 2))


def lose_twice(first, second, seed=0):
    """Lose the disks of the hosts ``first``; their successors catch up slowly; then ``second``.

    Hosts are numbered from the leader on.  Return the site right after the second loss is over.
    """
    site = Site(seed)
    leader_name = site.group.leader().name
    others = [name for name in site.group.host_by_name if name != leader_name]
    names = [leader_name, *others]
    site.commit(COMMANDS)
    for number in first:
        site.group.entry_rate_by_name[names[number]] = SLOW_ENTRIES_PER_SECOND
    site.replace_disks([names[number] for number in first])
    site.run_for(CATCH_UP_SECONDS)
    site.replace_disks([names[number] for number in second])
    return site


# Guards against disks that are known to be gone and still count as voters: with those of a second
# loss they were a majority, and the group never had a leader again.
@pytest.mark.parametrize("first", [(1,), (0,), (1, 2), (0, 1)])
def test_two_more_disks_may_be_lost_though_successors_have_not_caught_up(first):
    for second in PAIRS:
        if not set(first) & set(second):
            site = lose_twice(first, second)
            assert site.run_for(RECOVERY_SECONDS, site.serves_all), second


class ServiceBusyMeanwhile(ReplicaServiceAdapter):
    """Does something else right after a change is committed, before its caller goes on."""

    def __init__(self, host, act):
        super().__init__(host)
        self._act = act

    def change_membership(self, change):
        super().change_membership(change)
        act, self._act = self._act, lambda: None
        act()


def lose_a_disk_known_to_the_leader():
    """Return a site, its leader, and a host with a new disk of which the leader has heard."""
    site = Site()
    leader = site.group.leader()
    lost = next(name for name in site.group.host_by_name if name != leader.name)
    site.group.lose(lost)
    host = add_host_with_empty_disk(site.group, lost)
    site.group.run_for(1.0)
    assert leader.core.removable_lost_ids
    return site, leader, host


# Guards against a leader whose process ends: a host had joined while a lost disk was removed.
def test_a_host_may_join_while_a_lost_disk_is_removed():
    site, leader, host = lose_a_disk_known_to_the_leader()
    learner = Member(host.replica_id, host.name, "", False)
    service = ServiceBusyMeanwhile(leader, lambda: leader.core.add_learner(learner))
    GroupRepair(service, replaces_unresponsive=True).step()
    assert not leader.core.lost_member_ids
    assert find_member(leader.core.log.membership, host.replica_id)


# Guards against a process that ends: it had lost its office while a lost disk was removed.
def test_a_leader_may_lose_its_office_while_a_lost_disk_is_removed():
    site, leader, _ = lose_a_disk_known_to_the_leader()

    def lose_office():
        site.group.isolate(leader.name)
        site.group.run_for(10.0)
        assert not leader.is_leader

    GroupRepair(ServiceBusyMeanwhile(leader, lose_office), replaces_unresponsive=True).step()
