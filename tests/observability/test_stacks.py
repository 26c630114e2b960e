import sys

from savoryshelf.observability.stacks import MAX_FRAMES, MAX_NAME_LENGTH, frame_names


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
