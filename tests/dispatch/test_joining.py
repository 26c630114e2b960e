"""A control host that looks for its group, among addresses of which some never answer."""

import types

import eventlet
import pytest

from savoryshelf.disk import LocalDisk
from savoryshelf.dispatch import host as host_module
from savoryshelf.dispatch import joining
from savoryshelf.dispatch.handler import TaskControlHandler
from savoryshelf.dispatch.host import TaskControlHost, TaskControlSettings
from savoryshelf.dispatch.joining import MAX_SENDERS, KnownAddresses
from savoryshelf.dispatch.leader_term import DispatchSettings
from savoryshelf.errors import PeerUnreachable
from savoryshelf.replication.log import RaftLog
from savoryshelf.replication.storage import ReplicaStorage
from savoryshelf.wire.generated import ttypes
from savoryshelf.wire.generated.ttypes import (
    Member,
    Membership,
    RaftMessage,
    RaftPayload,
    VoteRequest,
    WalRecord,
)

from ..replication.group import MemoryDisk

OWN_IP, LEADER_IP, FOLLOWER_IP = "127.0.0.9", "127.0.0.1", "127.0.0.2"
GONE_IPS = [f"127.0.1.{number}" for number in range(1, 7)]
PORT = 7720
ROUND_TRIP_SECONDS = 0.04
"""Between two regions; a call takes one for the connection, two to authenticate, one for itself."""


class FakePeers:
    """Peers by IP: ``GONE_IPS`` drop each packet, the others know the leader."""

    def __init__(self):
        self.asked_ips = []
        self.leader_address = f"{LEADER_IP}:{PORT}"
        self.is_accepted = False

    def client(self, service, address, cluster_key, kind="control"):
        def call(method, member, timeout, total_timeout=10.0):
            ip = address.rpartition(":")[0]
            self.asked_ips.append(ip)
            if ip in GONE_IPS:
                eventlet.sleep(min(1.0, total_timeout))
                raise PeerUnreachable(address, "timed out", sent=False)
            eventlet.sleep(4 * ROUND_TRIP_SECONDS)
            if address != self.leader_address:
                raise ttypes.NotLeader(self.leader_address, "")
            self.is_accepted = True

        return types.SimpleNamespace(address=address, call=call, close=lambda: None)


@pytest.fixture
def peers(on_virtual_time, monkeypatch):
    """Yield the peers of a host on virtual time, whose disk is in memory.

    Attempts that are in progress at the end of a test end with its hub.
    """
    fake = FakePeers()
    monkeypatch.setattr(joining, "PeerClient", fake.client)
    monkeypatch.setattr(host_module, "LocalDisk", lambda folder: MemoryDisk())
    return fake


@pytest.fixture
def make_host(tmp_path):
    def make(seed_ips, **options):
        settings = TaskControlSettings(
            ip=OWN_IP, peer_port=PORT, failure_domain="north-a", seed_ips=seed_ips,
            is_first_start=False, data_folder=str(tmp_path), cluster_key="key",
            dispatch=DispatchSettings(lease_ms=6000),
        )  # fmt: skip
        return TaskControlHost(settings, worker_api=None, **options)

    return make


# Guards against a voter that waits out its own imports once more before it may vote.
def test_a_host_counts_the_time_without_a_vote_from_the_beginning_of_its_program(
    make_host, tmp_path
):
    storage = ReplicaStorage(LocalDisk(str(tmp_path)))
    storage.load_or_create_identity(OWN_IP)
    storage.write(WalRecord(3, "", []))
    host = make_host(["10.0.0.8"], program_age_seconds=0.9)
    assert host.replica.core._votes_from - host._started_at == pytest.approx(0.1)


def seconds_until_accepted(host, peers, limit_seconds):
    began_at = host._clock.monotonic()
    thread = eventlet.spawn(host._maintain_membership)
    while not peers.is_accepted and host._clock.monotonic() < began_at + limit_seconds:
        eventlet.sleep(0.01)
    thread.kill()
    assert peers.is_accepted, f"not added; asked {peers.asked_ips}"
    return host._clock.monotonic() - began_at


# Guards against a replacement that waits for one host that is gone after another.
@pytest.mark.parametrize("gone_count", [0, 1, 2, 6])
def test_a_new_host_is_added_at_once_however_many_of_its_addresses_are_gone(
    make_host, peers, gone_count
):
    host = make_host([*GONE_IPS[:gone_count], FOLLOWER_IP])
    assert seconds_until_accepted(host, peers, 8.0) < 0.6


def test_a_hint_that_names_a_host_that_is_gone_does_not_delay_the_next_one(make_host, peers):
    host = make_host([FOLLOWER_IP])
    leader_address, peers.leader_address = peers.leader_address, f"{GONE_IPS[0]}:{PORT}"
    eventlet.spawn_after(0.3, setattr, peers, "leader_address", leader_address)
    assert seconds_until_accepted(host, peers, 8.0) < 1.2


# Guards against a host that looks for its group among those of settings that no longer hold.
def test_new_settings_are_asked_while_earlier_seeds_are_all_gone(make_host, peers):
    host = make_host(GONE_IPS[:3])
    eventlet.spawn_after(0.5, host.update_seeds, [FOLLOWER_IP])
    assert seconds_until_accepted(host, peers, 8.0) < 1.6


def test_members_that_were_replaced_are_not_asked_any_more(make_host, peers):
    host = make_host(GONE_IPS[:3])
    host.update_seeds([FOLLOWER_IP])
    members = [Member(f"{LEADER_IP}.disk", f"{LEADER_IP}:{PORT}", "", True)]
    host.replica.core.log = RaftLog(Membership(members))
    seconds_until_accepted(host, peers, 8.0)
    assert not set(peers.asked_ips) & set(GONE_IPS)


def deliver(host, sender_ip, recipient_id):
    """Hand over a message of a member of the group, as its process does."""
    handler = TaskControlHandler("key", host)
    handler.authenticated = True
    payload = RaftPayload(vote_request=VoteRequest(9, 3, True))
    handler.deliver([RaftMessage(f"{sender_ip}.disk", recipient_id, 4, payload, 0)])


# Guards against a host with a new disk whose settings name only hosts that are gone, or new as
# well: the group goes on to send to the disk that is lost, and the host never asked its members.
@pytest.mark.parametrize("seed_ips", [GONE_IPS[:3], [OWN_IP], []])
def test_a_host_with_a_new_disk_asks_those_that_send_to_the_lost_one(make_host, peers, seed_ips):
    host = make_host(seed_ips)
    eventlet.spawn_after(0.3, deliver, host, FOLLOWER_IP, f"{OWN_IP}.lost")
    assert seconds_until_accepted(host, peers, 8.0) < 1.2


# Guards against a host that looks for its group among members that have all been replaced.
def test_a_host_whose_members_are_all_gone_asks_those_that_send_to_it(make_host, peers):
    host = make_host(GONE_IPS[:3])
    members = [Member(f"{ip}.disk", f"{ip}:{PORT}", "", True) for ip in GONE_IPS[3:]]
    host.replica.core.log = RaftLog(Membership(members))
    eventlet.spawn_after(0.3, deliver, host, FOLLOWER_IP, host.identity.replica_id)
    assert seconds_until_accepted(host, peers, 8.0) < 1.2


# Guards against lines without news for as long as a group has no leader.
def test_an_outcome_is_logged_once_until_it_changes(make_host, peers, monkeypatch):
    lines = []
    monkeypatch.setattr(joining, "log_event", lambda name, **fields: lines.append(fields))
    host = make_host([FOLLOWER_IP])
    leader_address, peers.leader_address = peers.leader_address, ""
    eventlet.spawn_after(1.5, setattr, peers, "leader_address", leader_address)
    seconds_until_accepted(host, peers, 8.0)
    outcomes = [fields["outcome"] for fields in lines if fields["address"].startswith(FOLLOWER_IP)]
    assert len(outcomes) == 2
    assert peers.asked_ips.count(FOLLOWER_IP) >= 3


def all_lines(monkeypatch):
    lines = []
    for module in (joining, host_module):
        monkeypatch.setattr(
            module, "log_event", lambda name, **fields: lines.append((name, fields))
        )
    return lines


def named(lines, event):
    return [fields for name, fields in lines if name == event]


# Guards against a host of which no line tells whether it is still a member, and why it asks.
@pytest.mark.parametrize("kind", ["voter", "learner", "none"])
def test_a_host_logs_once_why_it_asks_and_what_it_is(make_host, peers, monkeypatch, kind):
    lines = all_lines(monkeypatch)
    host = make_host([FOLLOWER_IP])
    peers.leader_address = ""
    members = [Member(f"{FOLLOWER_IP}.disk", f"{FOLLOWER_IP}:{PORT}", "", True)]
    if kind != "none":
        members.append(Member(host.identity.replica_id, host.own_address, "", kind == "voter"))
    host.replica.core.log = RaftLog(Membership(members))
    host.replica.core._last_leader_contact_at = host._clock.monotonic() - 3.0
    thread = eventlet.spawn(host._maintain_membership)
    eventlet.sleep(1.5)
    thread.kill()
    logged_why = (
        "not in the membership of its log" if kind == "none" else "no message from a leader"
    )
    (begun,) = named(lines, "group:join_begins")
    assert (begun["why"], begun["membership"]) == (logged_why, kind)
    assert begun["contact_s"] == pytest.approx(3.0, abs=0.5)
    assert begun["replica"] == host.identity.replica_id
    (outcome,) = named(lines, "group:join_asked")
    assert (outcome["membership"], outcome["replica"]) == (kind, host.identity.replica_id)


def test_the_end_of_asking_is_logged_once(make_host, peers, monkeypatch):
    lines = all_lines(monkeypatch)
    host = make_host([FOLLOWER_IP])
    members = [Member(host.identity.replica_id, host.own_address, "", True)]
    thread = eventlet.spawn(host._maintain_membership)
    eventlet.sleep(0.7)
    assert named(lines, "group:join_over") == []
    host.replica.core.log = RaftLog(Membership(members))
    host.replica.core._last_leader_contact_at = host._clock.monotonic()
    eventlet.sleep(1.3)
    thread.kill()
    (line,) = named(lines, "group:join_over")
    assert line["membership"] == "voter"
    assert 0.5 < line["seconds"] < 2.0


# Guards against an empty disk that never finds the group again: nobody sends to the lost one once
# that is removed, and the only attempt was refused.
def test_senders_are_asked_again_until_the_membership_is_known():
    known = KnownAddresses()
    known.record_sender("10.0.0.1:1")
    for _ in range(3):
        assert known.take_to_ask(Membership([])) == ["10.0.0.1:1"]
    membership = Membership([Member("10.0.0.2.a", "10.0.0.2:1", "", True)])
    assert known.take_to_ask(membership) == ["10.0.0.2:1", "10.0.0.1:1"]
    assert known.take_to_ask(membership) == ["10.0.0.2:1"]


def test_of_many_senders_the_latest_ones_are_asked():
    known = KnownAddresses()
    for number in [*range(MAX_SENDERS + 1), 1]:
        known.record_sender(str(number))
    asked = known.take_to_ask(Membership([]))
    assert len(asked) == MAX_SENDERS
    assert asked[-1] == "1"
    assert "0" not in asked
