"""Control hosts that lose two of five: whether the others have a leader again, and how soon."""

import random

import eventlet
import pytest

from savoryshelf.replication.membership import find_member

from .control_days import RECOVERY_SECONDS, play
from .control_hosts import propose, simulated_network

MAX_LEADERLESS_SECONDS = 6.0
"""Entry hosts hold requests for this long while there is no leader."""

SLOW_LINK_SECONDS = 0.08
LEARNER_SYNC_SECONDS = 0.4


# Guards against a state of membership, logs and votes in which three hosts elect nobody.
@pytest.mark.parametrize("seed", range(12))
def test_after_a_day_of_losses_the_last_three_elect_and_the_other_two_join_again(seed):
    outcome = play(seed)
    assert not outcome.findings, outcome
    assert outcome.complete_after < RECOVERY_SECONDS


def five_voters(network, rng):
    """Start five first voters, each in a region of its own; return their addresses."""
    ips = [f"10.0.0.{number}" for number in range(5)]
    for ip in ips:
        eventlet.spawn_after(rng.uniform(0.0, 0.3), network.add(ip, ip).run, ips, True)
    with eventlet.Timeout(RECOVERY_SECONDS):
        while not network.is_complete():
            eventlet.sleep(0.1)
    return ips


def propose_steadily(network):
    number = 0
    while True:
        eventlet.sleep(1 / 30)
        number += 1
        propose(network, str(number).encode(), lambda payload: None)


def seconds_until_led(network, ips):
    began_at = network.now
    while network.leader() is None or network.leader().machine.ip not in ips:
        eventlet.sleep(0.02)
        if network.now - began_at > 2 * MAX_LEADERLESS_SECONDS:
            break
    return network.now - began_at


def keep_last_entries_from_all_but_one(network, rng, leader, survivors):
    """Let the entries of the leader's last tenths of a second reach one survivor only."""
    kept = rng.choice(survivors)
    links = {(leader, ip) for ip in survivors if ip != kept}
    network.cut_links |= links
    eventlet.sleep(rng.uniform(0.1, 0.3))
    return kept, links


# Guards against elections that fail again and again on slow links: two hosts are off and silent,
# packets are lost, and one host alone holds the latest entries.  All three votes are needed, so
# that host is the only one that can lead, and not before all others hear it.
@pytest.mark.parametrize("mute_seconds", [0.0, 3.0])
@pytest.mark.parametrize("seed", range(8))
def test_three_hosts_on_slow_and_lossy_links_have_a_leader_in_time(seed, mute_seconds):
    rng = random.Random(seed)
    with simulated_network(seed) as network:
        network.far_seconds = SLOW_LINK_SECONDS
        ips = five_voters(network, rng)
        eventlet.spawn(propose_steadily, network)
        eventlet.sleep(1.0)
        leader = network.leader().machine.ip
        lost = [leader, rng.choice([ip for ip in ips if ip != leader])]
        survivors = [ip for ip in ips if ip not in lost]
        network.loss = rng.choice([0.02, 0.05, 0.1])
        kept, links = keep_last_entries_from_all_but_one(network, rng, leader, survivors)
        for ip in lost:
            network.machine_by_ip[ip].lose_power()
        network.cut_links -= links
        if mute_seconds:
            network.cut_links.add((kept, rng.choice([ip for ip in survivors if ip != kept])))
            eventlet.sleep(mute_seconds)
            network.cut_links.clear()
        assert seconds_until_led(network, survivors) < MAX_LEADERLESS_SECONDS


# Guards against the vote of a host that was stopped for good beside a learner: the learner became
# a sixth voter, and with two more hosts lost three of six votes were left.
@pytest.mark.parametrize("stops", ["leader", "follower"])
def test_a_host_that_stops_while_another_one_joins_leaves_the_group(stops):
    with simulated_network(0) as network:
        ips = five_voters(network, random.Random(0))
        eventlet.spawn(propose_steadily, network)
        eventlet.sleep(1.0)
        leader = network.leader().machine
        new = network.add("10.0.0.5", "10.0.0.5")
        new.disk.sync_seconds = LEARNER_SYNC_SECONDS
        new.run(ips)
        new_id = new.process.identity.replica_id
        follower = next(m for m in network.machine_by_ip.values() if m not in (leader, new))
        stopping = leader if stops == "leader" else follower
        while find_member(stopping.process.replica.core.log.membership, new_id) is None:
            eventlet.sleep(0.02)
        stopping.process.leave()
        stopping.lose_power(loses_disk=True)
        eventlet.sleep(0.5)
        remaining = [ip for ip in ips if ip != stopping.ip]
        remaining.sort(key=lambda ip: ip != leader.ip)
        for ip in remaining[:2]:
            network.machine_by_ip[ip].lose_power(loses_disk=True)
        survivors = [*remaining[2:], new.ip]
        assert seconds_until_led(network, survivors) < MAX_LEADERLESS_SECONDS


def test_a_host_that_stops_beside_the_new_disk_of_another_one_does_not_wait():
    with simulated_network(0) as network:
        ips = five_voters(network, random.Random(0))
        leader = network.leader().machine
        wiped, stopping, *_ = (m for m in network.machine_by_ip.values() if m is not leader)
        wiped.lose_power(loses_disk=True)
        wiped.has_power = True
        wiped.disk.sync_seconds = LEARNER_SYNC_SECONDS
        wiped.run(ips)
        while len(stopping.process.replica.core.log.membership.members) < 6:
            eventlet.sleep(0.02)
        began_at = network.now
        stopping.process.leave()
        assert network.now - began_at < 0.01
