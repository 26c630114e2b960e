import pytest

from savoryshelf.dispatch import crash_log
from savoryshelf.tasks.ledger import IncarnationEnd


# Guards against lines without bounds, and against runs beyond a bound that nobody counts.
@pytest.mark.parametrize("runs", [0, 1, 40, 41, 1000, 1003])
def test_the_lines_that_name_released_runs_are_bounded(runs, monkeypatch):
    lines = []
    monkeypatch.setattr(crash_log, "log_event", lambda event, **fields: lines.append(fields))
    released = [(f"task{number:04}", 1) for number in range(runs)]
    crash_log.log_incarnation_ends([IncarnationEnd(("w1", 1), None, False, released, [])])
    named = [name for fields in lines for name in fields["released"]]
    assert named == [f"{task}:{run}" for task, run in released[:1000]]
    assert 1 <= len(lines) <= 25 and all(len(fields["released"]) <= 40 for fields in lines)
    assert {fields["runs"] for fields in lines} == {runs}
    assert {fields["not_named"] for fields in lines} == {max(0, runs - 1000)}
