"""How the ledger counts crashes of workers for the tasks that may have caused them."""

import pytest

from savoryshelf.tasks import snapshot
from savoryshelf.tasks.crashes import ACQUITTAL_MS, SURVIVAL_MS
from savoryshelf.wire.generated.ttypes import RunAge, RunOutcome, WorkerLife

from .builders import JOB, accept, ledger, record_intent, settle_run, step, worker

DEADLY, OTHER = f"{JOB}.0.0.0", f"{JOB}.0.0.1"
OTHER_JOB = "00000000000000b2"
IN_DOUBT = None


@pytest.fixture
def task_ledger():
    started = ledger(*(worker(f"w{number}") for number in range(8)))
    accept(started, step(2))
    return started


def start(task_ledger, task, worker_id, born_ms=1):
    run = task_ledger.find_task(task).runs + 1
    assert record_intent(task_ledger, task, run, (worker_id, born_ms))


def crash(task_ledger, worker_id, worked_ms=0, born_ms=1):
    """End an incarnation under its runs, which it has outlived by ``worked_ms``."""
    runs = task_ledger.worker_by_incarnation[worker_id, born_ms].task_by_run
    worked = [RunAge(*run, worked_ms) for run in runs if worked_ms is not IN_DOUBT]
    incarnation = WorkerLife(worker_id, born_ms)
    (end,) = task_ledger.end_incarnations([incarnation], [], None, True, worked)
    return end.crash_notes


def state(task_ledger, job_id=JOB):
    return task_ledger.job_by_id[job_id].state.value


def start_and_crash(task_ledger, worker_id, *tasks, worked_ms=0):
    for task in tasks:
        start(task_ledger, task, worker_id)
    return crash(task_ledger, worker_id, worked_ms)


def test_a_task_that_alone_crashed_two_workers_is_given_up(task_ledger):
    """Guards against BUDGET: a run that ended with its worker counted for nothing."""
    start_and_crash(task_ledger, "w0", DEADLY)
    assert state(task_ledger) != "failed"
    (note,) = start_and_crash(task_ledger, "w1", DEADLY)
    assert state(task_ledger) == "failed"
    assert note.gave_up and note.workers == 2
    assert not task_ledger.startable_group_by_key


def test_a_task_that_crashed_workers_beside_other_suspects_is_given_up_after_three(task_ledger):
    accept(task_ledger, step(3), job_id=OTHER_JOB)
    for number in range(3):
        assert state(task_ledger) != "failed"
        start_and_crash(task_ledger, f"w{number}", DEADLY, f"{OTHER_JOB}.0.0.{number}")
    assert state(task_ledger) == "failed"
    assert state(task_ledger, OTHER_JOB) == "running"


def test_several_crashes_of_one_worker_count_as_one(task_ledger):
    for born_ms in range(1, 8):
        task_ledger.upsert_worker(worker("w0", born_ms))
        start(task_ledger, DEADLY, "w0", born_ms)
        crash(task_ledger, "w0", born_ms=born_ms)
    assert state(task_ledger) != "failed"


def test_a_run_that_the_worker_outlived_is_no_suspect(task_ledger):
    start_and_crash(task_ledger, "w0", DEADLY)
    start_and_crash(task_ledger, "w1", DEADLY, worked_ms=SURVIVAL_MS)
    assert state(task_ledger) != "failed"


def test_a_task_under_which_worker_after_worker_crashes_late_is_given_up(task_ledger):
    """Guards against BUDGET, by a task whose start the workers outlive: two starts after three."""
    for number in range(5):
        assert state(task_ledger) != "failed"
        start_and_crash(task_ledger, f"w{number}", DEADLY, worked_ms=SURVIVAL_MS)
    assert state(task_ledger) == "failed"


def test_a_task_that_has_worked_for_long_starts_over(task_ledger):
    for number in range(8):
        worked_ms = 0 if number % 2 else ACQUITTAL_MS
        start_and_crash(task_ledger, f"w{number}", DEADLY, worked_ms=worked_ms)
    assert state(task_ledger) != "failed"


def test_a_crash_that_a_suspect_explains_does_not_count_for_runs_that_worked(task_ledger):
    start_and_crash(task_ledger, "w0", DEADLY)
    start(task_ledger, OTHER, "w1")
    start(task_ledger, DEADLY, "w1")
    worked = [RunAge(OTHER, 1, SURVIVAL_MS), RunAge(DEADLY, 2, 0)]
    task_ledger.end_incarnations([WorkerLife("w1", 1)], [], None, True, worked)
    assert not task_ledger.find_task(OTHER).crashes


def test_a_start_that_did_not_reach_the_worker_counts_for_nothing(task_ledger):
    """Guards against LOST: a start that came after the crash of the worker counted as its cause."""
    for number in range(8):
        start_and_crash(task_ledger, f"w{number}", DEADLY, worked_ms=-1)
    assert not task_ledger.find_task(DEADLY).crashes


def test_a_task_is_not_given_up_while_only_one_worker_has_crashed_under_it_for_certain(
    task_ledger,
):
    """Guards against LOST: the first start may have come after the crash of the worker."""
    start_and_crash(task_ledger, "w0", DEADLY, worked_ms=IN_DOUBT)
    start_and_crash(task_ledger, "w1", DEADLY)
    assert state(task_ledger) != "failed"
    start_and_crash(task_ledger, "w2", DEADLY)
    assert state(task_ledger) == "failed"


def test_starts_in_doubt_are_bounded_too(task_ledger):
    for number in range(4):
        assert state(task_ledger) != "failed"
        start_and_crash(task_ledger, f"w{number}", DEADLY, worked_ms=IN_DOUBT)
    assert state(task_ledger) == "failed"


@pytest.mark.parametrize("announcement", ["draining", "leaving"])
def test_an_announced_end_is_no_crash(task_ledger, announcement):
    for number in range(8):
        start(task_ledger, DEADLY, f"w{number}")
        record = worker(f"w{number}")
        record.draining, record.leaving = True, announcement == "leaving"
        task_ledger.upsert_worker(record)
        crash(task_ledger, f"w{number}")
    assert not task_ledger.find_task(DEADLY).crashes


def test_a_worker_that_was_only_cut_off_has_not_crashed(task_ledger):
    start_and_crash(task_ledger, "w0", DEADLY)
    task_ledger.upsert_worker(worker("w0"))
    assert not task_ledger.find_task(DEADLY).crashes
    start_and_crash(task_ledger, "w1", DEADLY)
    assert state(task_ledger) != "failed"


def test_an_end_that_is_reported_twice_counts_once(task_ledger):
    """The agent reports it, and so does the heartbeat of the next incarnation."""
    start_and_crash(task_ledger, "w0", DEADLY)
    assert crash(task_ledger, "w0") == []
    assert len(task_ledger.find_task(DEADLY).crashes) == 1


def test_the_report_of_an_earlier_agent_counts_for_nothing(task_ledger):
    start(task_ledger, DEADLY, "w0")
    task_ledger.worker_by_incarnation["w0", 1].record.fencing_token = 7
    task_ledger.end_incarnations([WorkerLife("w0", 1)], [], [6], True, [])
    assert not task_ledger.find_task(DEADLY).crashes


def test_counts_survive_a_snapshot(task_ledger):
    start_and_crash(task_ledger, "w0", DEADLY)
    restored = snapshot.load(snapshot.save(task_ledger))
    assert restored.find_task(DEADLY).crashes == task_ledger.find_task(DEADLY).crashes
    assert list(restored.crashed_task_by_name) == [DEADLY]
    start_and_crash(restored, "w1", DEADLY)
    assert state(restored) == "failed"


def test_crashes_count_for_a_gang_as_a_whole():
    """Guards against BUDGET: each start may crash the worker of another member."""
    task_ledger = ledger(*(worker(f"w{number}") for number in range(8)))
    accept(task_ledger, step(2, gang=True))
    members = [f"{JOB}.0.0.{index}" for index in range(2)]
    for number in range(2):
        assert state(task_ledger) != "failed"
        for index, member in enumerate(members):
            record_intent(task_ledger, member, number + 1, (f"w{2 * number + index}", 1))
        crash(task_ledger, f"w{2 * number + number}")
        settle_run(
            task_ledger, members[1 - number], RunOutcome.ALONE, number + 1,
            (f"w{2 * number + 1 - number}", 1),
        )  # fmt: skip
    assert state(task_ledger) == "failed"


def test_a_power_loss_under_all_members_of_a_gang_counts_as_one_crash():
    task_ledger = ledger(*(worker(f"w{number}") for number in range(8)))
    accept(task_ledger, step(6, gang=True))
    for index in range(6):
        record_intent(task_ledger, f"{JOB}.0.0.{index}", 1, (f"w{index}", 1))
    for index in range(6):
        crash(task_ledger, f"w{index}")
    assert state(task_ledger) != "failed"


@pytest.mark.parametrize("worked_ms", [0, ACQUITTAL_MS])
def test_the_order_of_runs_on_a_worker_does_not_matter(worked_ms):
    """Guards against replicas that differ: after a snapshot, runs are in another order."""
    members = [f"{JOB}.0.0.{index}" for index in range(2)]
    original = ledger(worker("w0"), worker("w1"))
    accept(original, step(2, gang=True))
    for member in members:
        start(original, member, "w1")
    crash(original, "w1", worked_ms=SURVIVAL_MS)
    for member in reversed(members):
        start(original, member, "w0")
    restored = snapshot.load(snapshot.save(original))
    for replica in (original, restored):
        worked = [RunAge(members[1], 2, worked_ms)]
        replica.end_incarnations([WorkerLife("w0", 1)], [], None, True, worked)
    assert snapshot.save(restored) == snapshot.save(original)


def test_crashes_of_two_workers_in_turn_are_bounded(task_ledger):
    """Guards against BUDGET, by a task that only two workers may run, beside other suspects."""
    accept(task_ledger, step(8), job_id=OTHER_JOB)
    for number in range(5):
        assert state(task_ledger) != "failed"
        worker_id, born_ms = f"w{number % 2}", 1 + number // 2
        task_ledger.upsert_worker(worker(worker_id, born_ms))
        start(task_ledger, DEADLY, worker_id, born_ms)
        start(task_ledger, f"{OTHER_JOB}.0.0.{number}", worker_id, born_ms)
        crash(task_ledger, worker_id, born_ms=born_ms)
    assert state(task_ledger) == "failed"
    assert state(task_ledger, OTHER_JOB) == "running"


def test_two_starts_follow_three_crashed_workers_although_some_are_in_doubt(task_ledger):
    for number in range(5):
        assert state(task_ledger) != "failed"
        worker_id, born_ms = f"w{min(number, 2)}", max(1, number - 1)
        task_ledger.upsert_worker(worker(worker_id, born_ms))
        start(task_ledger, DEADLY, worker_id, born_ms)
        crash(task_ledger, worker_id, IN_DOUBT if number < 2 else SURVIVAL_MS, born_ms)
    assert state(task_ledger) == "failed"


def test_a_stale_heartbeat_withdraws_no_crash(task_ledger):
    """Guards against BUDGET: the worker stays ended, and its crash was counted no more."""
    record = worker("w0")
    record.sequence = 5
    task_ledger.upsert_worker(record)
    start_and_crash(task_ledger, "w0", DEADLY)
    stale = worker("w0")
    stale.sequence = 4
    task_ledger.upsert_worker(stale)
    assert task_ledger.worker_by_incarnation["w0", 1].has_ended
    assert len(task_ledger.find_task(DEADLY).crashes) == 1
