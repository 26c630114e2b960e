"""Unforeseen errors of an activity that goes on: few lines, each with where it was raised."""

import pytest

from savoryshelf.observability import unforeseen
from savoryshelf.observability.unforeseen import MAX_LOGGED, UnforeseenErrors


@pytest.fixture(name="lines")
def logged_lines(monkeypatch):
    lines = []
    monkeypatch.setattr(
        unforeseen, "log_event", lambda event, **fields: lines.append((event, fields))
    )
    return lines


def error_of(kind):
    try:
        raise kind("odd")
    except Exception as error:
        return error


# Guards against an activity that fails in each round and pushes all other lines out of a record.
def test_an_error_is_logged_once_with_its_place(lines):
    errors = UnforeseenErrors("accept", address="a")
    for _ in range(100):
        errors.log(error_of(ValueError))
    errors.log(error_of(KeyError))
    (event, first), (_, second) = lines
    assert event == "activity:round_failed"
    assert (first["activity"], first["address"]) == ("accept", "a")
    assert first["error"] == "ValueError('odd')"
    assert first["stack"][0].startswith(f"{__name__}.error_of:")
    assert second["error"] == "KeyError('odd')"


def test_the_lines_of_one_activity_are_bounded(lines):
    errors = UnforeseenErrors("accept")
    for number in range(100):
        errors.log(error_of(type(f"Odd{number}", (Exception,), {})))
    assert len(lines) == MAX_LOGGED
