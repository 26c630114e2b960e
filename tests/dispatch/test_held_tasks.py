"""When tasks that are held back after crashes are given up, and what is logged of them."""

import pytest

from savoryshelf.dispatch import held_tasks
from savoryshelf.dispatch.held_tasks import (
    GIVE_UP_DELAY_SECONDS,
    MAX_GIVE_UP_DELAY_SECONDS,
    HeldTasks,
)
from savoryshelf.wire.generated.ttypes import ContactLoss, EndEvidence, RunAge, WorkerLife

from ..tasks.builders import JOB, accept, ledger, record_intent, step, worker

TASK = f"{JOB}.0.0.0"
NOW = 100.0


@pytest.fixture
def lines(monkeypatch):
    written = []
    monkeypatch.setattr(held_tasks, "log_event", lambda event, **f: written.append((event, f)))
    return written


@pytest.fixture
def crashed_ledger():
    """A ledger with a task that two workers have crashed under."""
    started = ledger(*(worker(f"w{number}") for number in range(8)))
    accept(started, step())
    for number in range(2):
        assert record_intent(started, TASK, number + 1, (f"w{number}", 1))
        end(started, f"w{number}", 10_000)
    return started


def end(task_ledger, worker_id, after_ms):
    task_ledger.at_ms += after_ms
    runs = task_ledger.worker_by_incarnation[worker_id, 1].task_by_run
    task_ledger.end_incarnations(
        [WorkerLife(worker_id, 1)], [], None, True, [RunAge(*run, 0) for run in runs],
        EndEvidence.REPLACED, [ContactLoss(5, 0)],
    )  # fmt: skip


# Guards against LOST: others that were lost at the same moment are found out one after the other.
def test_a_task_is_given_up_a_while_after_its_crash_was_known(crashed_ledger, lines):
    assert TASK in crashed_ledger.held_task_by_name
    held = HeldTasks()
    assert held.look(crashed_ledger, lambda: 0, NOW) == []
    assert held.look(crashed_ledger, lambda: 0, NOW + GIVE_UP_DELAY_SECONDS - 0.1) == []
    assert held.look(crashed_ledger, lambda: 2, NOW + GIVE_UP_DELAY_SECONDS) == []
    assert held.look(crashed_ledger, lambda: 1, NOW + GIVE_UP_DELAY_SECONDS) == [TASK]
    assert held.look(crashed_ledger, lambda: 8, NOW + MAX_GIVE_UP_DELAY_SECONDS) == [TASK]


def test_what_is_held_and_released_is_logged_once(crashed_ledger, lines):
    held = HeldTasks()
    for _ in range(3):
        held.look(crashed_ledger, lambda: 0, NOW)
    crashed_ledger.held_task_by_name.clear()
    for _ in range(3):
        held.look(crashed_ledger, lambda: 0, NOW)
    assert [event for event, _ in lines] == ["task:held", "task:released"]
    crashes = lines[0][1]["crashes"]
    assert [each["worker"] for each in crashes] == ["w0", "w1"]
    assert all(each["proven"] and each["lost_with"] == 0 for each in crashes)


def test_the_log_line_of_a_job_that_has_ended_is_no_release(crashed_ledger, lines):
    held = HeldTasks()
    held.look(crashed_ledger, lambda: 0, NOW)
    crashed_ledger.cancel(JOB)
    held.look(crashed_ledger, lambda: 0, NOW)
    assert [event for event, _ in lines] == ["task:held"]
