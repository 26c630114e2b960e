"""How long a group of which a bare quorum is left is without a leader."""

import itertools
import random

import pytest

from savoryshelf.replication.core import FIRST_CAMPAIGN_SPREAD_FACTOR, FIRST_RETRY_FACTOR
from savoryshelf.wire.generated.ttypes import WalRecord

from .group import FAR_DELAY_SECONDS, TIMING, Group

SYNC_SECONDS = 0.006
SLOW_DISK_FACTOR = 30
COMMANDS_PER_S = 200.0
MAX_LEADERLESS_SECONDS = 3 * TIMING.election_timeout
"""A host campaigns after at most two timeouts; a first campaign that fails costs at most one more.

A replacement of which the leader is lost may take 4 s, and the replacement itself takes 1 s.
"""

SEEDS = range(40)
ELECTION_SECONDS = 4 * FAR_DELAY_SECONDS + 3 * SYNC_SECONDS + 2 * FAR_DELAY_SECONDS + 0.02
"""Two rounds of votes and the commit of the first entry, with syncs and ticks."""


def busy_group(seed=0):
    """Return five voters, all far from each other, under steady commits."""
    group = Group(5, seed, tick_seconds=0.002)
    group.run_for(2.5)
    group.far_names = set(group.host_by_name)
    for host in group.host_by_name.values():
        host.sync_seconds = SYNC_SECONDS
    group.commands_per_s = COMMANDS_PER_S
    group.run_for(0.3)
    return group


def lose_leader_and_another(group, rng):
    """Leave three of the five voters."""
    followers = [host.name for host in group.host_by_name.values() if not host.is_leader]
    for name in (group.leader().name, rng.choice(followers)):
        group.lose(name)


def slow_one_disk(group, rng):
    slow = group.host_by_name[rng.choice(sorted(group.host_by_name))]
    slow.sync_seconds = SYNC_SECONDS * SLOW_DISK_FACTOR


def is_led(group):
    leader = group.leader()
    return leader is not None and leader.core.has_committed_in_term


def seconds_until_led(group):
    """Return the time until a leader has committed an entry of its own term."""
    began_at = group.now
    while not is_led(group) and group.now - began_at < 2 * MAX_LEADERLESS_SECONDS:
        group.run_for(0.004)
    return group.now - began_at


# Guards against votes that are split between two candidates, each of which the other needs: the
# group stayed without a leader for 4 s, as both had won their pre-votes.
@pytest.mark.parametrize("offset_ms", [0, 2, 6, 10, 18, 20, 24, 30, 38, 44, 60])
@pytest.mark.parametrize("first, second", list(itertools.permutations(range(3), 2)))
def test_two_of_the_last_three_voters_that_campaign_at_once_elect_one(first, second, offset_ms):
    group = busy_group()
    lose_leader_and_another(group, random.Random(0))
    group.commands_per_s = 0.0
    hosts = sorted(group.host_by_name.values(), key=lambda host: host.name)
    group.run_for(TIMING.election_timeout - 0.05)
    began_at = group.now + 0.2
    for host in hosts:
        host.core._deadline = began_at + 10.0
    hosts[first].core._deadline = began_at
    hosts[second].core._deadline = began_at + offset_ms / 1000
    group.run_for(0.2)
    assert seconds_until_led(group) < offset_ms / 1000 + ELECTION_SECONDS


# Guards against a precedence without a limit: a host that wins no votes refuses its own for ever.
@pytest.mark.parametrize("seed", range(10))
def test_a_voter_that_reaches_only_some_of_the_others_does_not_keep_them_without_a_leader(seed):
    group = busy_group(seed)
    lose_leader_and_another(group, random.Random(seed))
    last, other, _ = sorted(group.host_by_name, reverse=True)
    group.blocked_links.add((last, other))
    assert seconds_until_led(group) < 2 * MAX_LEADERLESS_SECONDS


@pytest.mark.parametrize("disks", ["alike", "one slow"])
def test_three_of_five_voters_have_a_leader_in_time(disks):
    for seed in SEEDS:
        group, rng = busy_group(seed), random.Random(seed)
        lose_leader_and_another(group, rng)
        if disks == "one slow":
            slow_one_disk(group, rng)
        seconds = seconds_until_led(group)
        assert seconds < MAX_LEADERLESS_SECONDS, f"seed {seed}"


@pytest.mark.parametrize("disks", ["alike", "one slow"])
def test_three_of_five_voters_have_a_leader_in_time_after_a_power_loss(disks):
    for seed in SEEDS:
        group, rng = busy_group(seed), random.Random(seed)
        group.run_for(0.1 * rng.random())
        group.lose_power()
        for host in rng.sample(list(group.host_by_name.values()), 2):
            host.disk.content_by_name.clear()
        if disks == "one slow":
            slow_one_disk(group, rng)
        for host in rng.sample(list(group.host_by_name.values()), 5):
            host.start()
            group.run_for(0.06)
        seconds = seconds_until_led(group)
        assert seconds < MAX_LEADERLESS_SECONDS, f"seed {seed}"


# Guards against a candidate that learns of a later term and then waits as long as a follower: the
# power had gone during an election, and the group had no leader for 4 s.
def test_a_later_term_on_one_disk_does_not_delay_the_leader_after_a_power_loss():
    for seed in SEEDS:
        group, rng = busy_group(seed), random.Random(seed)
        group.lose_power()
        hosts = rng.sample(list(group.host_by_name.values()), 5)
        for host in hosts[:2]:
            host.disk.content_by_name.clear()
        candidate = hosts[2]
        term = candidate.storage.recover().term + 1
        candidate.storage.write(WalRecord(term, candidate.replica_id, []))
        for host in hosts:
            host.start()
        seconds = seconds_until_led(group)
        assert seconds < MAX_LEADERLESS_SECONDS, f"seed {seed}"


def is_answering_by_contact(host, now):
    """Return whether a leader still answers callers without asking a quorum."""
    return host.is_leader and host.core.seconds_since_quorum_contact(now) < TIMING.election_timeout


# Guards against a voter that forgets at its start whom it has just heard, and elects another leader
# while the former one still answers callers.
@pytest.mark.parametrize("start_seconds", [0.0, 0.2, 0.7, 0.95])
def test_a_voter_that_restarts_elects_no_other_leader_while_the_former_one_answers(start_seconds):
    for seed in SEEDS:
        group = Group(3, seed, tick_seconds=0.01)
        group.run_for(4.0)
        former = group.leader()
        restarted, other = (host for host in group.host_by_name.values() if host is not former)
        group.blocked_links |= {(former.name, other.name), (other.name, former.name)}
        group.run_for(3.0 + 0.5 * group.rng.random())
        assert is_answering_by_contact(former, group.now)
        restarted.core = None
        group.isolate(former.name)
        group.run_for(start_seconds)
        restarted.start()
        while is_answering_by_contact(former, group.now):
            assert not other.is_leader, f"seed {seed}"
            assert not restarted.is_leader, f"seed {seed}"
            group.run_for(0.01)
        assert seconds_until_led(group) < MAX_LEADERLESS_SECONDS, f"seed {seed}"


def start_after_power_loss(group, rng, lost_disks, spread_seconds, age_seconds):
    """Start all hosts, in a random order; return once the last one of a majority has started."""
    hosts = rng.sample(list(group.host_by_name.values()), len(group.host_by_name))
    for host in hosts[:lost_disks]:
        host.disk.content_by_name.clear()
    began_at = group.now
    delay_by_host = {host: rng.uniform(0.0, spread_seconds) for host in hosts}
    needed = sorted(delay_by_host[host] for host in hosts[lost_disks:])[len(hosts) // 2]
    for host, delay in sorted(delay_by_host.items(), key=lambda item: item[1]):
        if delay > needed:
            break
        group.run_for(began_at + delay - group.now)
        host.start(program_age_seconds=age_seconds)


# Guards against voters that have just started and wait as if a leader were there to protect: after
# a restart of all, a leader came one to two seconds after the processes were up.
@pytest.mark.parametrize("age_seconds", [0.0, 0.4, 0.8, 3.0])
@pytest.mark.parametrize("spread_seconds", [0.3, 2.0])
@pytest.mark.parametrize("count, lost_disks", [(3, 0), (3, 1), (5, 0), (5, 2)])
def test_a_leader_comes_soon_after_the_last_needed_voter_may_vote(
    count, lost_disks, spread_seconds, age_seconds
):
    may_vote_seconds = max(TIMING.election_timeout - age_seconds, TIMING.heartbeat_interval)
    campaign_seconds = FIRST_CAMPAIGN_SPREAD_FACTOR * TIMING.election_timeout
    retry_seconds = 2 * FIRST_RETRY_FACTOR * TIMING.election_timeout
    limit = may_vote_seconds + campaign_seconds + retry_seconds + ELECTION_SECONDS
    for seed in SEEDS:
        group, rng = Group(count, seed, tick_seconds=0.004), random.Random(seed)
        group.run_for(2.5)
        group.far_names = set(group.host_by_name)
        for host in group.host_by_name.values():
            host.sync_seconds = SYNC_SECONDS
        group.run_for(1.0)
        group.lose_power()
        start_after_power_loss(group, rng, lost_disks, spread_seconds, age_seconds)
        assert seconds_until_led(group) < limit, f"seed {seed}"


# Guards against hosts that campaign soon after their start and depose a leader that does not reach
# them yet.
@pytest.mark.parametrize("unreached_seconds", [0.0, 0.5, 1.5, 4.0])
@pytest.mark.parametrize("count, restarted", [(3, 1), (5, 1), (5, 2)])
def test_hosts_that_restart_beside_a_leader_never_depose_it(count, restarted, unreached_seconds):
    for seed in SEEDS:
        group, rng = Group(count, seed, tick_seconds=0.004), random.Random(seed)
        group.far_names = set(group.host_by_name)
        group.run_for(2.5)
        group.commands_per_s = COMMANDS_PER_S / 10
        leader = group.leader()
        term = leader.core.term
        followers = [host for host in group.host_by_name.values() if host is not leader]
        for host in rng.sample(followers, restarted):
            host.core = None
            group.blocked_links.add((leader.name, host.name))
            group.run_for(rng.uniform(0.0, 0.5))
            host.start(program_age_seconds=rng.choice([0.0, 0.8, 3.0]))
        group.run_for(unreached_seconds)
        group.heal_partitions()
        group.run_for(2.0)
        assert leader.is_leader, f"seed {seed}"
        assert {host.core.term for host in group.host_by_name.values()} == {term}, f"seed {seed}"


# Guards against a candidate that asks a voter which has just started, and asks again seconds later.
def test_a_pre_vote_request_that_came_too_early_is_answered_once_the_voter_may_vote():
    group = Group(3, tick_seconds=0.01)
    group.run_for(2.5)
    group.lose_power()
    first, second, _ = group.host_by_name.values()
    first.start(program_age_seconds=5.0)
    group.run_for(0.1)
    second.start()
    second.core._deadline = group.now + 10.0
    first.core._deadline = group.now
    group.run_for(0.1)
    first.core._deadline = group.now + 10.0
    assert seconds_until_led(group) == pytest.approx(TIMING.election_timeout - 0.1, abs=0.05)
    assert first.is_leader


LONGEST_REPEATS_SECONDS = 4 * TIMING.heartbeat_interval
"""The request and the answer of either round of votes are lost once."""


# Guards against a candidate that asks once for each campaign: with each request or answer that was
# lost, on a connection that was cut, the group had no leader for up to two election timeouts more.
def test_three_of_five_voters_have_a_leader_in_time_though_first_requests_and_answers_are_lost():
    for seed in SEEDS:
        group, rng = busy_group(seed), random.Random(seed)
        lose_leader_and_another(group, rng)
        group.loses_first_votes = True
        seconds = seconds_until_led(group)
        assert seconds < MAX_LEADERLESS_SECONDS + LONGEST_REPEATS_SECONDS, f"seed {seed}"


def test_a_candidate_asks_only_those_again_that_have_not_answered():
    group = Group(5, tick_seconds=0.01)
    group.run_for(2.5)
    leader = group.leader()
    candidate, silent, *_ = (h for h in group.host_by_name.values() if h is not leader)
    group.isolate(silent.name)
    group.blocked_links.add((leader.name, candidate.name))
    asked = []
    deliver = group.deliver

    def record(message):
        if message.payload.vote_request and message.sender == candidate.replica_id:
            asked.append(message.recipient)
        deliver(message)

    group.deliver = record
    candidate.core._deadline = group.now
    group.run_for(TIMING.heartbeat_interval + 0.05)
    candidate.core._deadline = group.now + 10.0
    others = {host.replica_id for host in group.host_by_name.values()} - {candidate.replica_id}
    assert set(asked[:4]) == others
    assert sorted(asked[4:]) == sorted([silent.replica_id, leader.replica_id])


HELD_SECONDS = 0.1
"""A process gets no processor for this long, after as long a time with one."""

HELD_ELECTION_SECONDS = 7 * HELD_SECONDS
"""The end of the last wait, two rounds of votes and a commit, each message read late, at worst."""


# Guards against seconds without a leader while three of five run on: the leader and one more end,
# on processors that are held for half of the time.
@pytest.mark.parametrize("lost", ["none", "first"])
def test_three_of_five_voters_on_busy_processors_have_a_leader_in_time(lost):
    limit = MAX_LEADERLESS_SECONDS + HELD_ELECTION_SECONDS
    for seed in SEEDS:
        group, rng = busy_group(seed), random.Random(seed)
        for host in group.host_by_name.values():
            host.held_seconds, host.held_phase = HELD_SECONDS, rng.random()
        group.run_for(0.5)
        lose_leader_and_another(group, rng)
        group.loses_first_votes = lost == "first"
        seconds = seconds_until_led(group)
        repeats = LONGEST_REPEATS_SECONDS if lost == "first" else 0.0
        assert seconds < limit + repeats, f"seed {seed}"


LONG_HELD_SECONDS = 2 * HELD_SECONDS
"""A round of votes then takes longer than a candidate waits before it asks again."""


# Guards against a candidate that no answer reaches and that asks again and again: each voter that
# campaigned meanwhile yielded to it each time, and three that could elect a leader had none.
def test_a_candidate_that_no_answer_reaches_does_not_keep_the_others_without_a_leader():
    for seed in SEEDS:
        group, rng = busy_group(seed), random.Random(seed)
        for host in group.host_by_name.values():
            host.held_seconds, host.held_phase = LONG_HELD_SECONDS, rng.random()
        group.run_for(0.5)
        group.lose(group.leader().name)
        deaf = max(group.host_by_name)
        group.blocked_links |= {(other, deaf) for other in group.host_by_name}
        seconds = seconds_until_led(group)
        assert seconds < MAX_LEADERLESS_SECONDS + 7 * LONG_HELD_SECONDS, f"seed {seed}"
