"""Calls that a control host can't answer: each is counted, and lines are bounded."""

import io
import types

import pytest
from savoryshelf_platform.core import INSTANCES_PATH, NAMED_AS_LEADER, NO_LEADER_KNOWN, Core

from savoryshelf.observability import bounded, metrics
from savoryshelf.observability.bounded import LOG_INTERVAL_SECONDS
from savoryshelf.wire.generated import ttypes

OWN_ADDRESS = "10.0.0.9:7000"


@pytest.fixture(name="lines")
def logged_lines(monkeypatch):
    lines = []
    monkeypatch.setattr(bounded, "log_event", lambda name, **fields: lines.append((name, fields)))
    return lines


class TaskService:
    """Raises ``error`` from each call."""

    def __init__(self, error):
        self.error = error

    def leave(self, worker_id):
        raise self.error

    def manifest(self):
        raise self.error


def make_core(error):
    clock = types.SimpleNamespace(now=100.0, monotonic=lambda: clock.now)
    host = types.SimpleNamespace(task_service=TaskService(error))
    return Core(host, OWN_ADDRESS, 7000, clock), clock


def call(core, method, path):
    environ = {"REQUEST_METHOD": method, "PATH_INFO": path, "wsgi.input": io.BytesIO()}
    return core.answer({**environ, "CONTENT_LENGTH": "0"})


def counted(why):
    return metrics.UNAVAILABLE_CALLS.labels(why)._value.get()


# Guards against refused calls of workers that push rarer lines out of a record.
def test_refusals_of_many_workers_leave_a_line_for_each_reason_and_route(lines):
    why = "no message from a leader within 1.0 s"
    core, clock = make_core(ttypes.Unavailable(why, False))
    before = counted(why)
    for number in range(40):
        reply = call(core, "POST", f"{INSTANCES_PATH}i-{number}/leave")
        assert reply.status == 503
    call(core, "GET", "/savoryshelf/config/get")
    clock.now += LOG_INTERVAL_SECONDS
    call(core, "POST", f"{INSTANCES_PATH}i-40/leave")
    assert [name for name, _ in lines] == ["call:unavailable"] * 3
    assert [fields["path"] for _, fields in lines] == [
        f"{INSTANCES_PATH}i-0/leave",
        "/savoryshelf/config/get",
        f"{INSTANCES_PATH}i-40/leave",
    ]
    assert {fields["why"] for _, fields in lines} == {why}
    assert lines[2][1]["not_logged"] == 39
    assert counted(why) - before == 42


# Guards against an outage without a line: calls met by a host that knew no leader left none.
@pytest.mark.parametrize(
    "leader_address, why", [("", NO_LEADER_KNOWN), ("10.0.0.9:7720", NAMED_AS_LEADER)]
)
def test_a_call_that_cannot_be_redirected_leaves_a_line(lines, leader_address, why):
    core, _ = make_core(ttypes.NotLeader(leader_address, ""))
    before = counted(why)
    for _ in range(5):
        reply = call(core, "GET", "/savoryshelf/config/get")
        assert reply.status == 503
        assert NO_LEADER_KNOWN.encode() in reply.body
    assert lines == [("call:unavailable", {"path": "/savoryshelf/config/get", "why": why})]
    assert counted(why) - before == 5


def test_a_redirect_leaves_no_line(lines):
    core, _ = make_core(ttypes.NotLeader("10.0.0.8:7720", ""))
    assert call(core, "GET", "/savoryshelf/config/get").status == 307
    assert lines == []
