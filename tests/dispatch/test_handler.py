"""Calls of peers to a control host that knows no leader."""

import types

import pytest

from savoryshelf.dispatch.handler import TaskControlHandler
from savoryshelf.observability import bounded, metrics
from savoryshelf.observability.bounded import BoundedLog
from savoryshelf.replication.membership import MembershipChangeRefused
from savoryshelf.replication.service import OutcomeUnknown
from savoryshelf.replication.types import NotLeading
from savoryshelf.wire.generated import ttypes


def refuse(*arguments):
    raise NotLeading(None)


def not_leader(address):
    def answer(*arguments):
        raise ttypes.NotLeader(address, "")

    return answer


def make_handler(leader_address):
    host = types.SimpleNamespace(
        replica=types.SimpleNamespace(leader_address=leader_address, leader_name=""),
        repair=types.SimpleNamespace(request_join=refuse, request_leave=refuse),
        task_service=types.SimpleNamespace(job_call=not_leader(leader_address)),
        receive_report=not_leader(leader_address),
    )
    clock = types.SimpleNamespace(monotonic=lambda: 0.0)
    handler = TaskControlHandler("key", host, BoundedLog("call:leader_unknown", clock))
    handler.authenticated = True
    return handler


def call_each(handler, times):
    for name in ("join", "remove_replica", "job_call", "report"):
        for _ in range(times):
            with pytest.raises(ttypes.NotLeader):
                getattr(handler, name)(None)


@pytest.fixture(name="lines")
def logged_lines(monkeypatch):
    lines = []
    monkeypatch.setattr(bounded, "log_event", lambda name, **fields: lines.append((name, fields)))
    return lines


# Guards against an outage without a line at the hosts that could not name a leader.
def test_answers_that_name_no_leader_leave_one_line_for_each_call(lines):
    answers = metrics.LEADER_UNKNOWN_ANSWERS.labels("job_call")._value
    before = answers.get()
    call_each(make_handler(""), 5)
    assert [(name, fields["call"]) for name, fields in lines] == [
        ("call:leader_unknown", each) for each in ("join", "remove_replica", "job_call", "report")
    ]
    assert answers.get() - before == 5


def test_answers_that_name_the_leader_leave_none(lines):
    call_each(make_handler("10.0.0.8:7720"), 2)
    assert lines == []


# Guards against a host with a new disk that is told that it was added, and was not.
@pytest.mark.parametrize(
    ("error", "is_unknown"),
    [(MembershipChangeRefused("a change is in progress"), False), (OutcomeUnknown(), True)],
)
def test_a_join_that_was_not_committed_is_not_accepted(error, is_unknown):
    def fail(member):
        raise error

    handler = make_handler("10.0.0.1:7700")
    handler._host.repair.request_join = fail
    with pytest.raises(ttypes.Unavailable) as raised:
        handler.join(None)
    assert raised.value.outcome_unknown is is_unknown
    assert raised.value.reason == str(error)


def handler_with_members(member_ids):
    recorded = []
    replica = types.SimpleNamespace(
        member_ids=lambda: list(member_ids),
        record_successor=lambda *successor: recorded.append(successor),
    )
    repair = types.SimpleNamespace(request_join=lambda member: None)
    handler = TaskControlHandler("key", types.SimpleNamespace(replica=replica, repair=repair))
    handler.authenticated = True
    return handler, recorded


# Guards against a leader that hears of a lost disk only once a connection that has gone silent is
# given up, while the host has long asked to join.
def test_a_host_that_asks_to_join_tells_that_its_earlier_disks_are_lost():
    handler, recorded = handler_with_members(["x.1", "y.1"])
    handler.hello()
    handler.join(ttypes.Member("x.2", "x:1", "", False))
    assert recorded == [("x.2", ["x.1", "y.1"])]


# Guards against a request that waited unread while its host lost another disk.
def test_a_request_to_join_tells_nothing_of_members_that_came_after_its_connection():
    member_ids = ["y.1"]
    handler, recorded = handler_with_members(member_ids)
    handler.hello()
    member_ids.append("x.3")
    handler.join(ttypes.Member("x.2", "x:1", "", False))
    assert recorded == [("x.2", ["y.1"])]
