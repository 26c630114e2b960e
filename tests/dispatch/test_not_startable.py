"""Lines on accepted work that may not start for long: blocked, or not due."""

import pytest

from savoryshelf.dispatch import not_startable
from savoryshelf.dispatch.not_startable import (
    LOOK_SECONDS,
    MAX_LINES,
    MAX_UNNAMED_SECONDS,
    NotStartable,
)

from ..tasks.builders import JOB, accept, ledger, record_intent, step

WALL_MS = 1_000_000


@pytest.fixture
def lines(monkeypatch):
    logged = []
    monkeypatch.setattr(
        not_startable, "log_event", lambda event, **fields: logged.append((event, fields))
    )
    return logged


def look_for(task_ledger, seconds, log=None, first=0.0):
    """Look each second; the wall clock goes on as well."""
    log = log or NotStartable()
    for number in range(int(seconds) + 1):
        log.look(task_ledger, WALL_MS + 1000 * number, first + number)
    return log


# Guards against a blocked step of which no line tells what it waits for.
def test_a_step_that_stays_blocked_is_named_once_with_what_it_waits_for(lines):
    task_ledger = ledger()
    accept(task_ledger, step(3), step(2, after=[0]), step(after=[1]))
    assert record_intent(task_ledger, f"{JOB}.0.0.1")
    log = look_for(task_ledger, MAX_UNNAMED_SECONDS - 1)
    assert lines == []
    look_for(task_ledger, 4 * MAX_UNNAMED_SECONDS, log, first=MAX_UNNAMED_SECONDS)
    assert [(event, fields["task"]) for event, fields in lines] == [
        ("task:blocked", f"{JOB}.0.1.0"),
        ("task:blocked", f"{JOB}.0.2.0"),
    ]
    assert lines[0][1]["after"] == [{"step": 0, "unfinished": 3, "startable": 2, "with_run": 1}]
    assert lines[0][1]["job"] == JOB
    assert lines[0][1]["tasks"] == 2
    assert lines[0][1]["seconds"] >= MAX_UNNAMED_SECONDS


# Guards against an occurrence that is never due by a clock that is behind, without a line.
def test_a_time_that_is_not_due_is_named_once_with_the_clock_it_is_compared_to(lines):
    task_ledger = ledger()
    due_ms = WALL_MS + 500_000
    accept(task_ledger, step(), step(after=[0]), repetitions=3, first_run_ms=due_ms)
    look_for(task_ledger, 4 * MAX_UNNAMED_SECONDS)
    ((event, fields),) = lines
    assert (event, fields["task"], fields["due_ms"]) == ("job:not_due", f"{JOB}.0.0.0", due_ms)
    assert fields["due_in_seconds"] == (due_ms - fields["wall_ms"]) / 1000
    assert WALL_MS < fields["wall_ms"] <= WALL_MS + 1000 * (MAX_UNNAMED_SECONDS + LOOK_SECONDS)


def test_startable_running_and_ended_work_has_no_line(lines):
    task_ledger = ledger()
    accept(task_ledger, step(2))
    assert record_intent(task_ledger, f"{JOB}.0.0.0")
    accept(task_ledger, step(), step(after=[0]), job_id="00000000000000b2")
    task_ledger.cancel("00000000000000b2")
    look_for(task_ledger, 3 * MAX_UNNAMED_SECONDS)
    assert lines == []


# Guards against lines whose number grows with the work that may not start.
def test_few_steps_are_named_at_one_look_and_each_only_once(lines):
    task_ledger = ledger()
    jobs = [f"00000000000000{number:02x}" for number in range(2 * MAX_LINES + 1)]
    for job_id in jobs:
        accept(task_ledger, step(), step(after=[0]), job_id=job_id)
    log = look_for(task_ledger, MAX_UNNAMED_SECONDS)
    assert len(lines) == MAX_LINES
    assert lines[0][1]["further"] == MAX_LINES + 1
    look_for(task_ledger, MAX_UNNAMED_SECONDS, log, first=MAX_UNNAMED_SECONDS + 1)
    look_for(task_ledger, MAX_UNNAMED_SECONDS, log, first=2 * MAX_UNNAMED_SECONDS + 2)
    assert sorted(fields["job"] for _, fields in lines) == jobs
