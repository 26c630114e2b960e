"""Entry hosts that look for the leader among addresses of which most never answer."""

import eventlet
import pytest

from savoryshelf.clock import SystemClock
from savoryshelf.errors import PeerUnreachable
from savoryshelf.gateway.leader import (
    MAX_LEADER_CONTACT_AGE_SECONDS,
    MIN_SEARCH_INTERVAL_SECONDS,
    LeaderClient,
    LeaderUnavailable,
)
from savoryshelf.observability import unforeseen
from savoryshelf.wire.generated import ttypes
from savoryshelf.wire.generated.ttypes import JobAnswer, JobAnswerKind, JobCall, JobVerb

pytestmark = pytest.mark.parametrize("on_virtual_time", range(4), indirect=True)
CLOCK = SystemClock()
CALL = JobCall(JobVerb.SUBMIT, "h.example", "/q/00000000000000a1", trace_id="t")
ACCEPTED = JobAnswer(JobAnswerKind.ACCEPTED)
GONE = ["gone1", "gone2", "gone3", "gone4"]
MEMBERS = ["c1", "c2", "c3"]
ENTRY_HOSTS = 20
CONNECT_SECONDS = 1.0
CALL_SECONDS = 0.9
ROUND_TRIP_SECONDS = 0.04
CALLERS = 20
WITHOUT_LEADER_SECONDS = 2.0


class FakeGroup:
    """Control hosts by address: those of ``GONE`` and the silent ones drop each packet."""

    def __init__(self):
        self.leader = "c1"
        self.hint_by_follower = {}
        """The leader that a follower names, where it is another than the leader."""

        self.view_by_address = {}
        """The views of hosts that are not in contact with the group."""

        self.silent_addresses = set(GONE)
        self.asked_addresses = []

    def ask(self, address, method, *arguments):
        self.asked_addresses.append(address)
        if address in self.silent_addresses:
            eventlet.sleep(min(CONNECT_SECONDS, arguments[-1]))
            raise PeerUnreachable(address, "timed out", sent=False)
        eventlet.sleep(ROUND_TRIP_SECONDS)
        leader = self.hint_by_follower.get(address, self.leader)
        if method == "group":
            return self.view_by_address.get(address) or ttypes.GroupView(list(MEMBERS), leader)
        if leader != address:
            raise ttypes.NotLeader(leader, leader)
        return ACCEPTED


class FakePool:
    group = None

    def __init__(self, service, address, cluster_key):
        self._address = address

    def call(self, method, *arguments, timeout, total_timeout):
        return self.group.ask(self._address, method, *arguments, total_timeout)


@pytest.fixture
def group(on_virtual_time, monkeypatch):
    FakePool.group = FakeGroup()
    monkeypatch.setattr("savoryshelf.gateway.leader.PeerPool", FakePool)
    return FakePool.group


@pytest.fixture
def clients(group):
    """Entry hosts that know the members and as many hosts that are gone."""
    made = [LeaderClient([*GONE, *MEMBERS], "key", SystemClock()) for _ in range(ENTRY_HOSTS)]
    for client in made:
        client.start()
    return made


def seconds_until_answered(client, limit_seconds):
    """Return how long one request took; infinite if it was refused."""
    began_at = CLOCK.monotonic()
    try:
        assert client.call(CALL, limit_seconds) == ACCEPTED
    except LeaderUnavailable:
        return float("inf")
    return CLOCK.monotonic() - began_at


def all_seconds(clients, limit_seconds=2.8):
    pile = eventlet.GreenPool(len(clients))
    return sorted(pile.imap(lambda client: seconds_until_answered(client, limit_seconds), clients))


# Guards against requests that are refused while a leader is there, for as long as an entry host
# picks addresses of hosts that are gone.
def test_entry_hosts_that_start_among_hosts_that_are_gone_serve_the_first_request(clients):
    assert all_seconds(clients)[-1] < 1.3
    assert all_seconds(clients)[-1] < 0.2


def test_entry_hosts_are_ready_at_once_among_hosts_that_are_gone(clients):
    eventlet.sleep(0.3)
    assert all(client.is_ready for client in clients)


# Guards against a hint that names the lost leader: each request would wait for it in turn.
def test_a_hint_that_names_a_lost_leader_is_followed_once(group):
    group.leader = GONE[0]
    client = LeaderClient(["c2"], "key", SystemClock())
    assert seconds_until_answered(client, 2.5) == float("inf")
    assert group.asked_addresses.count(GONE[0]) == 1


def test_entry_hosts_find_the_new_leader_while_members_name_the_lost_one(group, clients):
    eventlet.sleep(0.3)
    group.leader = GONE[0]
    all_seconds(clients)
    group.leader, group.hint_by_follower = "c1", {"c2": GONE[0], "c3": GONE[0]}
    assert all_seconds(clients)[-1] < 0.5


def test_a_power_loss_of_all_control_hosts_ends_for_entry_hosts_soon_after_they_are_back(
    group, clients
):
    eventlet.sleep(0.3)
    group.silent_addresses |= set(MEMBERS)
    assert all_seconds(clients, 1.4)[0] == float("inf")
    eventlet.sleep(0.5)
    group.leader = "c2"
    group.silent_addresses -= {"c2", "c3"}
    eventlet.sleep(1.8)
    assert all_seconds(clients)[-1] < 0.2


def test_a_leader_that_is_back_under_its_address_is_called_again(group, clients):
    eventlet.sleep(0.3)
    group.silent_addresses |= set(MEMBERS)
    all_seconds(clients, 1.4)
    group.silent_addresses -= set(MEMBERS)
    eventlet.sleep(1.8)
    assert all_seconds(clients)[-1] < 0.2


# Guards against a storm of requests at the control hosts while a leader is elected: each call that
# failed began another search, twenty a second on each entry host.
def test_calls_without_a_leader_do_not_make_the_search_more_frequent(group, monkeypatch):
    group.leader = ""
    asked = []
    original = FakePool.call

    def count_and_call(pool, method, *arguments, **timeouts):
        asked.append(method)
        return original(pool, method, *arguments, **timeouts)

    monkeypatch.setattr(FakePool, "call", count_and_call)
    client = LeaderClient(MEMBERS, "key", SystemClock())
    thread = eventlet.spawn(client._maintain_group)
    callers = [
        eventlet.spawn(seconds_until_answered, client, WITHOUT_LEADER_SECONDS)
        for _ in range(CALLERS)
    ]
    assert {caller.wait() for caller in callers} == {float("inf")}
    thread.kill()
    # Jitter evens out over that many searches; one more begins with the first call.
    most_searches = 2 + 1.5 * WITHOUT_LEADER_SECONDS / MIN_SEARCH_INTERVAL_SECONDS
    assert asked.count("group") <= most_searches * len(MEMBERS)


# Guards against an entry host that asks, for good, only a host that has left the group: its view
# came last, none of the others in it exists any more, and it goes on answering.
def test_the_group_is_found_again_after_the_view_of_a_host_that_has_left(group):
    client = LeaderClient(["c1"], "key", SystemClock())
    thread = eventlet.spawn(client._maintain_group)
    eventlet.sleep(0.3)
    assert seconds_until_answered(client, 1.0) < 0.2
    client.update_seeds(GONE)
    group.hint_by_follower["old"] = ""
    group.view_by_address["old"] = ttypes.GroupView(["old", *GONE], GONE[0])
    client._probe("old")
    group.view_by_address["old"].leader_address = ""
    client._update_leader_hint("c1", "")
    eventlet.sleep(MAX_LEADER_CONTACT_AGE_SECONDS + 1.0)
    assert seconds_until_answered(client, 1.0) < 0.2
    thread.kill()


# Guards against requests that end with an error, and a search that ends for good, when settings
# name no control host at all: the platform's list may be empty while all of them are off.
def test_an_entry_host_whose_settings_name_no_control_host_serves_once_they_do(group):
    client = LeaderClient([], "key", SystemClock())
    thread = eventlet.spawn(client._maintain_group)
    assert seconds_until_answered(client, 0.3) == float("inf")
    client.update_seeds(["c2"])
    assert seconds_until_answered(client, 1.0) < 0.9
    assert not thread.dead
    thread.kill()


def test_the_members_are_polled_when_settings_name_no_control_host_any_more(group):
    client = LeaderClient(["c1"], "key", SystemClock())
    assert seconds_until_answered(client, 1.0) < 0.2
    client.update_seeds([])
    thread = eventlet.spawn(client._maintain_group)
    eventlet.sleep(0.3)
    assert not thread.dead
    assert client._addresses.current() == MEMBERS
    thread.kill()


# Guards against an entry host that follows the group no more after one odd round or answer.
@pytest.mark.parametrize("place", ["to_search", "update_members"])
def test_the_group_is_polled_after_an_unforeseen_error(group, monkeypatch, place):
    lines, failures = [], [RuntimeError("unforeseen")]
    monkeypatch.setattr(unforeseen, "log_event", lambda event, **fields: lines.append(fields))
    client = LeaderClient(MEMBERS, "key", SystemClock())
    original = getattr(client._addresses, place)

    def fail_once(*arguments, **options):
        if failures:
            raise failures.pop()
        return original(*arguments, **options)

    monkeypatch.setattr(client._addresses, place, fail_once)
    thread = eventlet.spawn(client._maintain_group)
    eventlet.sleep(1.5)
    assert not failures
    assert client.is_ready
    assert client._leader == "c1"
    thread.kill()
    (line,) = lines
    assert line["activity"] == "poll the control group"
    assert "fail_once:" in line["stack"][0]
