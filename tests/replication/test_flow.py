"""How much a leader sends to members that are silent or behind."""

from .group import Group


def sent_entries(group, name):
    """Count the entries on their way to a host."""
    total = 0
    for message in group.messages:
        if message.recipient.startswith(name + ".") and message.payload.append_request:
            total += len(message.payload.append_request.entries)
    return total


def entries_sent_while(group, name, seconds):
    total, end = 0, group.now + seconds
    while group.now < end:
        group.now += 0.1
        for host in group.host_by_name.values():
            host.core.tick(group.now)
            host.carry_out()
        while group.messages:
            total += sent_entries(group, name)
            message, group.messages = group.messages[0], group.messages[1:]
            total -= sent_entries(group, name)
            group.deliver(message)
    return total


def follower_of(group):
    return next(host for host in group.host_by_name.values() if not host.leads)


def test_a_silent_member_gets_no_entries_again_and_again():
    group = Group(3)
    group.settle()
    silent = follower_of(group)
    group.isolate(silent.name)
    for number in range(50):
        group.propose(str(number))
        group.settle(0.1)
    assert entries_sent_while(group, silent.name, 5.0) == 0


def test_a_member_that_returns_gets_each_entry_about_once():
    group = Group(3)
    group.settle()
    away = follower_of(group)
    group.isolate(away.name)
    for number in range(100):
        group.propose(str(number))
        group.settle(0.1)
    group.heal()
    sent = entries_sent_while(group, away.name, 3.0)
    assert away.applied == [str(number) for number in range(100)]
    assert sent <= 2 * 100
