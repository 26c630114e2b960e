import sys

from savoryshelf.observability.stacks import (
    MAX_FRAMES,
    MAX_NAME_LENGTH,
    error_frame_names,
    frame_names,
)


def deep(depth):
    return frame_names(sys._getframe()) if depth == 0 else deep(depth - 1)


def test_a_stack_is_bounded_and_names_no_path():
    names = deep(100)
    assert len(names) == MAX_FRAMES
    for each in names:
        name, _, line = each.rpartition(":")
        assert name == f"{__name__}.deep"
        assert line.isdigit()
        assert "/" not in each
        assert len(name) <= MAX_NAME_LENGTH


def test_no_stack_has_no_names():
    assert frame_names(None) == []


def fail_deep(depth):
    if depth == 0:
        raise ValueError("deep")
    fail_deep(depth - 1)


def test_the_place_of_an_error_is_bounded_and_begins_innermost():
    try:
        fail_deep(100)
    except ValueError as caught:
        names, again = error_frame_names(caught), caught
    assert len(names) == MAX_FRAMES
    assert {each.rpartition(":")[0] for each in names} == {f"{__name__}.fail_deep"}
    assert names[0] != names[1], "the line that raised, then those that called"
    assert names[1] == names[2]
    assert error_frame_names(again.with_traceback(None)) == []
