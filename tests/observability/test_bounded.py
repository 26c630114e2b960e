"""Lines of refusals that come many times a second."""

import types

import pytest

from savoryshelf.observability import bounded
from savoryshelf.observability.bounded import LOG_INTERVAL_SECONDS, MAX_KINDS, BoundedLog


@pytest.fixture(name="lines")
def logged_lines(monkeypatch):
    lines = []
    monkeypatch.setattr(bounded, "log_event", lambda name, **fields: lines.append((name, fields)))
    return lines


# Guards against refusals, 13 a second, that push rarer lines out of a record.
def test_a_kind_is_logged_once_an_interval_and_the_rest_is_counted(lines):
    clock = types.SimpleNamespace(now=0.0, monotonic=lambda: clock.now)
    log = BoundedLog("call:refused", clock)
    for number in range(130):
        clock.now = number / 13
        log.log(("no leader", "heartbeat"), why="no leader", number=number)
    assert [(name, fields["number"]) for name, fields in lines] == [
        ("call:refused", 0),
        ("call:refused", 65),
    ]
    assert "not_logged" not in lines[0][1]
    assert lines[1][1]["not_logged"] == 64
    assert lines[1][1]["not_logged_s"] == LOG_INTERVAL_SECONDS


def test_kinds_do_not_hide_each_other(lines):
    clock = types.SimpleNamespace(monotonic=lambda: 0.0)
    log = BoundedLog("call:refused", clock)
    for why in ("no leader", "no majority", "no leader"):
        log.log((why, "heartbeat"), why=why)
    assert [fields["why"] for _, fields in lines] == ["no leader", "no majority"]


def test_the_kinds_that_are_kept_are_bounded(lines):
    log = BoundedLog("call:refused", types.SimpleNamespace(monotonic=lambda: 0.0))
    for number in range(10 * MAX_KINDS):
        log.log((number,))
        assert len(log._kinds) <= MAX_KINDS
