"""Lines on elections that fail: who granted, who refused and why, who did not answer."""

import random

import pytest

from savoryshelf.replication import service
from savoryshelf.replication.core import Replica
from savoryshelf.replication.types import RecoveredState
from savoryshelf.wire.generated.ttypes import (
    DiskLost,
    EntryKind,
    LogEntry,
    Member,
    Membership,
    RaftMessage,
    RaftPayload,
    VoteReply,
    VoteRequest,
)

from .group import TIMING
from .service_group import running_services

MEMBERSHIP = Membership([Member(f"{name}.disk", name, "", True) for name in "abc"])


@pytest.fixture(name="lines")
def logged_lines(monkeypatch):
    lines = []
    monkeypatch.setattr(service, "log_event", lambda event, **fields: lines.append((event, fields)))
    return lines


def failed_elections(lines):
    return [fields for name, fields in lines if name == "replica:election_failed"]


def follower_and_leader(group):
    leader = group.leader_name()
    first, second = sorted(set(group.service_by_name) - {leader})
    return first, second, leader


# Guards against an election that fails without a line: lost requests looked like refusals.
def test_a_candidate_that_reaches_nobody_logs_once_who_did_not_answer(lines):
    with running_services() as group:
        first, second, leader = follower_and_leader(group)
        lines.clear()
        group.cut_off.add(first)
        group.clock.sleep(20.0)
    (failed,) = failed_elections(lines)
    assert failed["vote"] == "pre-vote"
    assert failed["granted"] == [first]
    assert failed["refused"] == {}
    assert failed["unanswered"] == sorted([second, leader])


def test_a_candidate_logs_who_refused_and_why(lines):
    with running_services() as group:
        first, second, leader = follower_and_leader(group)
        leader_id = group.service_by_name[leader].core.replica_id
        lines.clear()
        group.cut_links.add((leader, first))
        group.clock.sleep(5.0)
        group.cut_links.clear()
        group.clock.sleep(2.0)
        group.cut_links.add((leader, first))
        group.clock.sleep(5.0)
    failed = failed_elections(lines)
    assert len(failed) == 2, "once each time that the leader was missed"
    for each in failed:
        assert each["refused"] == {second: f"in contact with the leader {leader_id}"}
        assert each["unanswered"] == [leader]


def test_another_reason_is_logged(lines):
    with running_services() as group:
        first, second, leader = follower_and_leader(group)
        lines.clear()
        group.cut_links.add((leader, first))
        group.clock.sleep(5.0)
        group.cut_off.add(second)
        group.clock.sleep(5.0)
    unanswered = [e["unanswered"] for e in failed_elections(lines) if first in e["granted"]]
    assert unanswered == [[leader], sorted([second, leader])]


def voter(term=2, voted_for="", entries=1):
    """Return the replica of host a, long after it was started."""
    recovered = RecoveredState(
        term=term,
        voted_for=voted_for,
        entries=[LogEntry(n + 1, 1, EntryKind.COMMAND, b"") for n in range(entries)],
    )
    core = Replica("a.disk", MEMBERSHIP, recovered, TIMING, random.Random(0), 0.0)
    core._now = 10.0
    return core


def reply_to(core, term, index, pre_vote):
    request = VoteRequest(index, 1 if index else 0, pre_vote)
    payload = RaftPayload(vote_request=request)
    core.receive(RaftMessage("b.disk", "a.disk", term, payload, 0), 10.0)
    (message,) = core.take_ready().messages
    return message.payload.vote_reply


def test_a_voter_tells_why_it_refuses():
    assert reply_to(voter(), 3, 0, True).why == "holds a later log"
    assert reply_to(voter(term=3), 3, 1, True).why == "is in a later term"
    assert reply_to(voter(term=4), 3, 1, False).why == "is in a later term"
    assert reply_to(voter(term=3, voted_for="c.disk"), 3, 1, False).why == "has voted for c.disk"
    granted = reply_to(voter(), 3, 1, True)
    assert granted.granted
    assert granted.why is None


def test_a_voter_that_leads_says_so():
    core = voter(term=2)
    core.tick(10.0)
    core.take_ready()
    for member in "bc":
        payload = RaftPayload(vote_reply=VoteReply(True, True))
        core.receive(RaftMessage(f"{member}.disk", "a.disk", 3, payload, 0), 10.0)
    core.take_ready()
    payload = RaftPayload(vote_reply=VoteReply(True, False))
    core.receive(RaftMessage("b.disk", "a.disk", 3, payload, 0), 10.0)
    core.advance(core.take_ready())
    assert reply_to(core, 4, 5, True).why == "leads"


def test_a_voter_that_campaigns_itself_says_so():
    membership = Membership([Member(f"{name}.disk", name, "", True) for name in "abcd"])
    core = Replica("c.disk", membership, RecoveredState(), TIMING, random.Random(0), 0.0)
    core.tick(10.0)
    core.take_ready()
    payload = RaftPayload(vote_request=VoteRequest(0, 0, True))
    core.receive(RaftMessage("b.disk", "c.disk", 1, payload, 0), 10.0)
    (message,) = core.take_ready().messages
    assert message.payload.vote_reply.why == "campaigns itself"


def test_a_refusal_without_a_reason_of_an_earlier_version_is_recorded():
    core = voter()
    core.tick(10.0)
    payload = RaftPayload(vote_reply=VoteReply(False, True))
    core.receive(RaftMessage("b.disk", "a.disk", 2, payload, 0), 10.0)
    for now in (20.0, 20.2, 20.4):
        core.tick(now)
    assert core.failed_election.refusals == {"b.disk": "no reason given"}
    assert core.failed_election.unanswered == {"c.disk"}


def test_a_refusal_of_a_voter_in_an_earlier_term_is_recorded():
    core = voter(term=5)
    core.tick(10.0)
    payload = RaftPayload(vote_reply=VoteReply(False, True, "in contact with the leader c.disk"))
    core.receive(RaftMessage("b.disk", "a.disk", 3, payload, 0), 10.0)
    for now in (20.0, 20.2, 20.4):
        core.tick(now)
    assert core.failed_election.refusals == {"b.disk": "in contact with the leader c.disk"}
    assert core.term == 5


def test_a_candidate_logs_whose_disk_is_lost_and_that_it_heard_so_once(lines):
    with running_services() as group:
        first, second, leader = follower_and_leader(group)
        leader_id = group.service_by_name[leader].core.replica_id
        lines.clear()
        group.cut_off |= {second, leader}
        group.clock.sleep(3.0)
        told = RaftMessage(
            f"{leader}.new",
            group.service_by_name[first].core.replica_id,
            0,
            RaftPayload(disk_lost=DiskLost(leader_id)),
            0,
        )
        for _ in range(2):
            group.deliver(first, told)
        group.clock.sleep(6.0)
    heard = [fields for name, fields in lines if name == "replica:disk_lost"]
    assert [each["replica"] for each in heard] == [leader_id]
    failed = [each for each in failed_elections(lines) if first in each["granted"]][-1]
    assert failed["lost"] == [leader_id]
    assert failed["unanswered"] == [second]
