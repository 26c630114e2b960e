"""A replica that has much to apply goes on with its heartbeats and replies meanwhile."""

import itertools

import eventlet
import pytest

from savoryshelf.replication import service

from .group import TIMING
from .service_group import running_services

COMMANDS = 4000
APPLY_SECONDS = 0.0002
"""All of them take longer than a leader may go without a majority."""

APPLIED_IN = 3 * 5 * COMMANDS * APPLY_SECONDS
"""Five hosts on one processor, and as long again for an election and for what else they do."""


@pytest.fixture(name="events")
def logged_events(monkeypatch):
    events = []
    monkeypatch.setattr(service, "log_event", lambda event, **fields: events.append(event))
    return events


def longest_pause(times):
    """Return the longest time between two of these."""
    return max(later - earlier for earlier, later in itertools.pairwise(times))


def watched_ticks(monkeypatch, group):
    """Return the times of the ticks of each replica from now on, by host name."""
    times_by_name = {name: [] for name in group.service_by_name}
    for name, each in group.service_by_name.items():

        def tick(now, name=name, original=each.core.tick):
            times_by_name[name].append(now)
            original(now)

        monkeypatch.setattr(each.core, "tick", tick)
    return times_by_name


def committed_group(group):
    """Commit the commands, so that all disks hold them."""
    leader = group.leader_name()
    for _ in range(COMMANDS):
        group.propose(leader)
    group.clock.sleep(5.0)


# Guards against CONFIG and RECOVER by leaders that apply a log at one go, and lose their office.
@pytest.mark.parametrize("seed", range(8))
def test_the_first_leader_after_a_restart_stays(monkeypatch, events, seed):
    with running_services(count=5, seed=seed) as group:
        committed_group(group)
        group.restart()
        group.apply_seconds = APPLY_SECONDS
        times_by_name = watched_ticks(monkeypatch, group)
        began_at = group.clock.monotonic()
        events.clear()
        while group.clock.monotonic() < began_at + APPLIED_IN:
            group.clock.sleep(0.01)
        assert "replica:leadership_ended" not in events
        assert [each.state_machine.count for each in group.service_by_name.values()] == (
            [COMMANDS] * 5
        )
        assert max(map(longest_pause, times_by_name.values())) < TIMING.heartbeat_interval


# Guards against a leader that serves late, since the others apply the same beside it on the
# processors that they share.
@pytest.mark.parametrize("seed", range(4))
def test_a_new_leader_applies_first_and_the_others_follow(seed):
    with running_services(count=5, seed=seed) as group:
        committed_group(group)
        group.restart()
        group.apply_seconds = APPLY_SECONDS
        services = group.service_by_name.values()
        while not any(each.is_leader for each in services):
            group.clock.sleep(0.01)
        began_at = group.clock.monotonic()
        while all(each.state_machine.count < COMMANDS for each in services):
            group.clock.sleep(0.01)
        assert group.clock.monotonic() - began_at < 1.5 * COMMANDS * APPLY_SECONDS
        group.clock.sleep(2 * TIMING.heartbeat_interval + 5 * COMMANDS * APPLY_SECONDS)
        assert all(each.state_machine.count == COMMANDS for each in services)


# Guards against a read that is answered from a state which lacks what was committed before it.
def test_a_read_waits_until_all_that_was_committed_before_is_applied():
    with running_services(count=3) as group:
        committed_group(group)
        group.restart()
        group.apply_seconds = APPLY_SECONDS
        while not (leaders := [each for each in group.service_by_name.values() if each.is_leader]):
            group.clock.sleep(0.01)
        leader, counts = leaders[0], []

        def read():
            leader.confirm_leadership()
            counts.append(leader.state_machine.count)

        eventlet.spawn(read)
        group.clock.sleep(10.0)
        assert counts == [COMMANDS]


SYNC_SECONDS = 0.05
"""A new leader takes proposals at once, and syncs them while its last entries wait."""


# Guards against answers by contact, and terms that begin, from a state that lacks what another
# leader had committed: entries counted as applied while the disk was synced before they were.
@pytest.mark.parametrize("seed", range(4))
def test_a_new_leader_does_not_answer_by_contact_before_it_has_applied(seed):
    with running_services(count=3, seed=seed) as group:
        leader = group.leader_name()
        for _ in range(10):
            group.propose(leader)
        group.clock.sleep(2.0)
        group.restart()
        for disk in group.disk_by_name.values():
            disk.sync_seconds = SYNC_SECONDS
        counts = []
        while not counts:
            for name, each in group.service_by_name.items():
                if each.is_leader:
                    group.propose(name)
                if each.core.seconds_since_quorum_contact(group.clock.monotonic()) < float("inf"):
                    counts.append(each.state_machine.count)
            group.clock.sleep(0.002)
        assert min(counts) >= 10


# Guards against an agent that is said to have applied entries which are not applied yet.
def test_an_entry_does_not_count_as_applied_before_it_is():
    with running_services(count=3) as group:
        leader = group.leader_name()
        for disk in group.disk_by_name.values():
            disk.sync_seconds = SYNC_SECONDS
        first = group.service_by_name[leader].core.applied_index
        for _ in range(500):
            group.propose(leader)
            group.clock.sleep(0.002)
            for each in group.service_by_name.values():
                assert each.core.applied_index - first <= each.state_machine.count


# Guards against a new leader that serves late: it let all other green threads run, which callers
# and workers keep busy, after every few entries that it applied.
@pytest.mark.parametrize("seed", range(4))
def test_a_new_leader_lets_others_run_seldom_while_it_has_entries_to_apply(monkeypatch, seed):
    with running_services(count=3, seed=seed) as group:
        committed_group(group)
        group.restart()
        group.apply_seconds = APPLY_SECONDS
        pauses = []
        for each in group.service_by_name.values():

            def take(each=each, original=each._take_mailbox_batch):
                if each.is_leader and each.core.has_more_committed:
                    pauses.append(each.core.applied_index)
                return original()

            monkeypatch.setattr(each, "_take_mailbox_batch", take)
        leader = group.service_by_name[group.wait_for_leader()]
        while leader.state_machine.count < COMMANDS:
            group.clock.sleep(0.01)
        assert 1 < len(pauses) <= COMMANDS * APPLY_SECONDS / service.MAX_APPLY_SECONDS + 3
