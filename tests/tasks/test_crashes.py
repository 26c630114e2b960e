"""How the ledger counts crashes of workers for the tasks that may have caused them."""

import weakref

import pytest

from savoryshelf.tasks import snapshot
from savoryshelf.tasks.crashes import ACQUITTAL_MS, SURVIVAL_MS
from savoryshelf.tasks.state_machine import TaskStateMachine
from savoryshelf.wire import codec
from savoryshelf.wire.generated.ttypes import (
    ContactLoss,
    EndEvidence,
    EndLives,
    NoteWorkers,
    RunAge,
    RunOutcome,
    TaskCommand,
    TaskCommandBody,
    WorkerLife,
)

from .builders import JOB, accept, ledger, record_intent, settle_run, step, worker

DEADLY, OTHER = f"{JOB}.0.0.0", f"{JOB}.0.0.1"
OTHER_JOB = "00000000000000b2"
IN_DOUBT = None
REPLACED, SILENT = EndEvidence.REPLACED, EndEvidence.SILENT
NOT_RECORDED = None
"""The evidence of an end in the log of an earlier version."""

EVIDENCE_BY_LEDGER = weakref.WeakKeyDictionary()
"""What the ends of incarnations rest on that a test records in a ledger."""

BETWEEN_CRASHES_MS = 10_000


@pytest.fixture(params=[REPLACED, NOT_RECORDED], ids=["replaced", "earlier-version"])
def evidence(request):
    return request.param


@pytest.fixture
def task_ledger(evidence):
    return make_ledger(evidence)


def make_ledger(evidence=REPLACED):
    started = ledger(*(worker(f"w{number}") for number in range(8)))
    EVIDENCE_BY_LEDGER[started] = evidence
    accept(started, step(2))
    return started


def start(task_ledger, task, worker_id, born_ms=1):
    run = task_ledger.find_task(task).runs + 1
    assert record_intent(task_ledger, task, run, (worker_id, born_ms))


def crash(task_ledger, worker_id, worked_ms=0, born_ms=1, evidence=None, after_ms=None):
    """End an incarnation under its runs, which it has outlived by ``worked_ms``.

    ``after_ms`` is the time since the last crash; far apart by default.
    """
    task_ledger.at_ms += BETWEEN_CRASHES_MS if after_ms is None else after_ms
    runs = task_ledger.worker_by_incarnation[worker_id, born_ms].task_by_run
    worked = [RunAge(*run, worked_ms) for run in runs if worked_ms is not IN_DOUBT]
    incarnation = WorkerLife(worker_id, born_ms)
    evidence = evidence or EVIDENCE_BY_LEDGER[task_ledger]
    losses = [ContactLoss(20, 0)] if evidence else None
    (end,) = task_ledger.end_incarnations([incarnation], [], None, True, worked, evidence, losses)
    return end.crash_notes


def give_up(task_ledger):
    """Fail the jobs of all tasks to be given up."""
    return task_ledger.give_up(list(task_ledger.held_task_by_name))


def state(task_ledger, job_id=JOB):
    """Return the state of a job once what is to be given up has been given up."""
    give_up(task_ledger)
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
    assert not record_intent(task_ledger, DEADLY, 3, ("w2", 1))
    assert state(task_ledger) == "failed"
    assert note.workers == 2
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
    losses = [ContactLoss(20, 0)]
    task_ledger.end_incarnations(
        [WorkerLife("w1", 1)], [], None, True, worked, EVIDENCE_BY_LEDGER[task_ledger], losses
    )
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


@pytest.mark.parametrize("first", [SILENT, NOT_RECORDED], ids=["silent", "earlier-version"])
def test_a_worker_that_was_only_cut_off_has_not_crashed(first):
    task_ledger = make_ledger()
    start(task_ledger, DEADLY, "w0")
    EVIDENCE_BY_LEDGER[task_ledger] = first
    crash(task_ledger, "w0")
    EVIDENCE_BY_LEDGER[task_ledger] = REPLACED
    task_ledger.upsert_worker(worker("w0"))
    task_ledger.withdraw_crashes([WorkerLife("w0", 1)])
    assert not task_ledger.find_task(DEADLY).crashes
    start_and_crash(task_ledger, "w1", DEADLY)
    assert state(task_ledger) != "failed"


# Guards against LOST: a worker that was cut off right after a start counted as crashed by it, and
# the job was given up for good.
def test_silence_gives_up_no_job_whenever_it_ends():
    task_ledger = make_ledger()
    start_and_crash(task_ledger, "w0", DEADLY)
    start(task_ledger, DEADLY, "w1")
    crash(task_ledger, "w1", evidence=SILENT)
    assert state(task_ledger) != "failed"
    task_ledger.upsert_worker(worker("w1"))
    task_ledger.withdraw_crashes([WorkerLife("w1", 1)])
    assert [each.incarnation[0] for each in task_ledger.find_task(DEADLY).crashes] == ["w0"]
    assert record_intent(task_ledger, DEADLY, 3, ("w2", 1))


# Guards against BUDGET by workers that are lost for good: no later incarnation ever proves a crash.
def test_a_task_is_held_after_two_starts_more_than_three_silent_workers():
    task_ledger = make_ledger()
    for number in range(5):
        start(task_ledger, DEADLY, f"w{number}")
        crash(task_ledger, f"w{number}", evidence=SILENT)
    assert not record_intent(task_ledger, DEADLY, 6, ("w5", 1))
    assert state(task_ledger) != "failed"
    assert DEADLY in task_ledger.held_task_by_name
    restored = snapshot.load(snapshot.save(task_ledger))
    assert restored.held_task_by_name.keys() == task_ledger.held_task_by_name.keys()
    for replica in (task_ledger, restored):
        replica.withdraw_crashes([WorkerLife("w2", 1)])
        assert not replica.held_task_by_name
        assert record_intent(replica, DEADLY, 6, ("w5", 1))


# Guards against jobs given up for restarts of all workers of a rack or a failure domain at once.
@pytest.mark.parametrize("worked_ms, restarts", [(0, 4), (SURVIVAL_MS, 8)])
def test_workers_lost_together_are_no_doing_of_their_tasks(worked_ms, restarts):
    task_ledger = make_ledger()
    for born_ms in range(1, restarts + 1):
        for number in range(8):
            task_ledger.upsert_worker(worker(f"w{number}", born_ms))
        start(task_ledger, DEADLY, f"w{born_ms % 8}", born_ms)
        for number in range(8):
            worked = 0 if born_ms == 1 else worked_ms
            crash(task_ledger, f"w{number}", worked, born_ms, after_ms=1)
        task_ledger.at_ms += BETWEEN_CRASHES_MS
    assert state(task_ledger) != "failed"


# Guards against a job given up for one of several crashes at once, since it became known first.
def test_a_held_task_is_released_once_others_are_found_to_have_been_lost_with_its_worker():
    task_ledger = make_ledger()
    start_and_crash(task_ledger, "w0", DEADLY)
    start_and_crash(task_ledger, "w1", DEADLY)
    assert DEADLY in task_ledger.held_task_by_name
    for number in (2, 3):
        crash(task_ledger, f"w{number}", after_ms=5)
    assert not task_ledger.held_task_by_name
    assert state(task_ledger) != "failed"
    assert record_intent(task_ledger, DEADLY, 3, ("w4", 1))


# Guards against BUDGET: once a clock had been ahead, the time of the ledger stood still, so that
# all workers seemed to be lost at the same moment, and no task had caused a crash.
def test_losses_are_told_apart_after_a_clock_was_ahead():
    state_machine = TaskStateMachine()

    def apply(at_ms, **body):
        state_machine.apply(codec.encode(TaskCommand(at_ms, TaskCommandBody(**body))))

    records = [worker(f"w{number}") for number in range(3)]
    apply(100 * BETWEEN_CRASHES_MS, note_workers=NoteWorkers(records))
    for number, record in enumerate(records):
        ending = EndLives(
            [record.life], [], None, True, [], REPLACED, [ContactLoss(BETWEEN_CRASHES_MS, 0)]
        )
        apply(number * BETWEEN_CRASHES_MS, end_lives=ending)
    workers = state_machine.ledger.worker_by_incarnation.values()
    assert [each.record.lost_with for each in workers] == [0, 0, 0]


# Guards against BUDGET: of two workers lost at once, one whose end was reported twice in a command
# counted as two others, and the crash as one that a task had not caused.
def test_a_loss_that_one_command_reports_twice_counts_once():
    task_ledger = make_ledger()
    start_and_crash(task_ledger, "w0", DEADLY)
    start(task_ledger, DEADLY, "w1")
    crash(task_ledger, "w1")
    other = WorkerLife("w2", 1)
    task_ledger.at_ms += 5
    ends = task_ledger.end_incarnations(
        [other, other], [], None, True, [], REPLACED, [ContactLoss(20, 0)] * 2
    )
    assert len(ends) == 1
    assert task_ledger.worker_by_incarnation["w1", 1].record.lost_with == 1
    assert state(task_ledger) == "failed"


# Guards against BUDGET by tasks that crash their workers at the same moment.
def test_a_task_whose_crashes_all_coincide_with_others_is_given_up_after_five():
    task_ledger = make_ledger()
    for born_ms in range(1, 6):
        assert state(task_ledger) != "failed"
        for number in range(8):
            task_ledger.upsert_worker(worker(f"w{number}", born_ms))
        start(task_ledger, DEADLY, f"w{born_ms}", born_ms)
        for number in range(8):
            crash(task_ledger, f"w{number}", 0, born_ms, after_ms=1)
        task_ledger.at_ms += BETWEEN_CRASHES_MS
    assert state(task_ledger) == "failed"


# Guards against BUDGET: a heartbeat that was delayed until after the crash withdrew it.
def test_a_late_heartbeat_withdraws_no_crash():
    task_ledger = make_ledger()
    for number, each in enumerate([REPLACED, SILENT]):
        start(task_ledger, DEADLY, f"w{number}")
        crash(task_ledger, f"w{number}", evidence=each)
        late = worker(f"w{number}")
        late.sequence = 7
        task_ledger.upsert_worker(late)
    assert len(task_ledger.find_task(DEADLY).crashes) == 2


def test_an_answer_withdraws_no_crash_that_is_proven():
    task_ledger = make_ledger()
    start_and_crash(task_ledger, "w0", DEADLY)
    task_ledger.withdraw_crashes([WorkerLife("w0", 1)])
    assert len(task_ledger.find_task(DEADLY).crashes) == 1


# Guards against replicas that differ, and against a job that is shown as failed and goes on again.
def test_what_an_earlier_version_gave_up_stays_given_up(evidence):
    task_ledger = make_ledger(NOT_RECORDED)
    start_and_crash(task_ledger, "w0", DEADLY)
    restored = snapshot.load(snapshot.save(task_ledger))
    for replica in (task_ledger, restored):
        EVIDENCE_BY_LEDGER[replica] = evidence
        start_and_crash(replica, "w1", DEADLY)
    assert snapshot.save(task_ledger) == snapshot.save(restored)
    # What an earlier version recorded is proven by nothing, so no more is given up for it.
    assert state(task_ledger) == ("failed" if evidence is NOT_RECORDED else "running")


# Guards against LOST: a host that replayed the log of an earlier version, which a heartbeat made
# withdraw a crash, kept the crash and failed a job that had gone on.
@pytest.mark.parametrize("is_restored", [False, True], ids=["log", "snapshot"])
def test_a_heartbeat_in_the_log_of_an_earlier_version_withdraws_a_crash(is_restored):
    task_ledger = make_ledger(NOT_RECORDED)
    start_and_crash(task_ledger, "w0", DEADLY)
    if is_restored:
        task_ledger = snapshot.load(snapshot.save(task_ledger))
        EVIDENCE_BY_LEDGER[task_ledger] = NOT_RECORDED
    task_ledger.upsert_worker(worker("w0"))
    start_and_crash(task_ledger, "w1", DEADLY)
    assert state(task_ledger) != "failed"
    assert record_intent(task_ledger, DEADLY, 3, ("w2", 1))


def test_a_snapshot_keeps_what_a_crash_rests_on():
    task_ledger = make_ledger()
    start_and_crash(task_ledger, "w0", DEADLY)
    start(task_ledger, DEADLY, "w1")
    crash(task_ledger, "w1")
    restored = snapshot.load(snapshot.save(task_ledger))
    EVIDENCE_BY_LEDGER[restored] = REPLACED
    assert DEADLY in restored.held_task_by_name
    assert state(restored) == "failed"


# Guards against BUDGET: of the crashes under one run of a gang only those of a worker that restarts
# each time counted, while another member was started on one worker after the other.
@pytest.mark.parametrize("evidence_of_others", [REPLACED, SILENT])
def test_no_member_of_a_gang_is_started_three_times_after_three_crashes(evidence_of_others):
    task_ledger = make_ledger()
    accept(task_ledger, step(2, gang=True), job_id=OTHER_JOB)
    members = [f"{OTHER_JOB}.0.0.{index}" for index in range(2)]
    for run in range(1, 6):
        task_ledger.upsert_worker(worker("w0", run))
        intents = [(members[0], "w0", run), (members[1], f"w{run}", 1)]
        assert all(record_intent(task_ledger, m, run, (w, born)) for m, w, born in intents)
        crash(task_ledger, "w0", born_ms=run)
        crash(task_ledger, f"w{run}", evidence=evidence_of_others, after_ms=5)
    assert members[1] in task_ledger.held_task_by_name
    expected = "failed" if evidence_of_others is REPLACED else "running"
    assert state(task_ledger, OTHER_JOB) == expected


def test_startable_members_of_a_gang_are_held_with_the_others():
    task_ledger = ledger(*(worker(f"w{number}") for number in range(8)))
    EVIDENCE_BY_LEDGER[task_ledger] = REPLACED
    accept(task_ledger, step(2, gang=True))
    members = [f"{JOB}.0.0.{index}" for index in range(2)]
    for number in range(2):
        for index, member in enumerate(members):
            record_intent(task_ledger, member, number + 1, (f"w{2 * number + index}", 1))
        settle_run(
            task_ledger, members[1], RunOutcome.STOPPED, number + 1, (f"w{2 * number + 1}", 1)
        )
        crash(task_ledger, f"w{2 * number}")
    assert set(task_ledger.held_task_by_name) == set(members)
    assert not task_ledger.startable_group_by_key
    assert state(task_ledger) == "failed"
    assert not task_ledger.held_task_by_name


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
    EVIDENCE_BY_LEDGER[restored] = EVIDENCE_BY_LEDGER[task_ledger]
    assert restored.find_task(DEADLY).crashes == task_ledger.find_task(DEADLY).crashes
    assert list(restored.crashed_task_by_name) == [DEADLY]
    start_and_crash(restored, "w1", DEADLY)
    assert state(restored) == "failed"


def test_crashes_count_for_a_gang_as_a_whole(evidence):
    """Guards against BUDGET: each start may crash the worker of another member."""
    task_ledger = ledger(*(worker(f"w{number}") for number in range(8)))
    EVIDENCE_BY_LEDGER[task_ledger] = evidence
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


def test_a_power_loss_under_all_members_of_a_gang_counts_as_one_crash(evidence):
    task_ledger = ledger(*(worker(f"w{number}") for number in range(8)))
    EVIDENCE_BY_LEDGER[task_ledger] = evidence
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
    EVIDENCE_BY_LEDGER[original] = REPLACED
    accept(original, step(2, gang=True))
    for member in members:
        start(original, member, "w1")
    crash(original, "w1", worked_ms=SURVIVAL_MS)
    for member in reversed(members):
        start(original, member, "w0")
    restored = snapshot.load(snapshot.save(original))
    for replica in (original, restored):
        worked = [RunAge(members[1], 2, worked_ms)]
        replica.end_incarnations([WorkerLife("w0", 1)], [], None, True, worked, REPLACED)
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


# Guards against LOST: without a start nothing more is ever proven, so the task waited for good.
@pytest.mark.parametrize(
    "worked_ms", [0, IN_DOUBT, SURVIVAL_MS], ids=["started", "in-doubt", "worked"]
)
def test_a_held_task_with_proven_crashes_of_two_workers_is_given_up(worked_ms):
    task_ledger = make_ledger()
    accept(task_ledger, step(5), job_id=OTHER_JOB)
    for number in range(5):
        assert state(task_ledger) != "failed"
        start(task_ledger, DEADLY, f"w{number}")
        start(task_ledger, f"{OTHER_JOB}.0.0.{number}", f"w{number}")
        crash(task_ledger, f"w{number}", worked_ms, evidence=REPLACED if number % 2 else SILENT)
    assert DEADLY in task_ledger.held_task_by_name
    assert state(task_ledger) == "failed"


# Guards against BUDGET by workers that are lost at the same moment as others, and not back before
# their leases are over; and against LOST, where it was a cut that struck runs which had worked.
@pytest.mark.parametrize("worked_ms, is_held", [(0, True), (SURVIVAL_MS, False)])
def test_silence_of_several_workers_at_once_holds_tasks_that_they_did_not_outlive(
    worked_ms, is_held
):
    task_ledger = make_ledger()
    for born_ms in range(1, 6):
        assert not task_ledger.held_task_by_name
        for number in range(8):
            task_ledger.upsert_worker(worker(f"w{number}", born_ms))
        start(task_ledger, DEADLY, f"w{born_ms}", born_ms)
        for number in range(8):
            crash(task_ledger, f"w{number}", worked_ms, born_ms, evidence=SILENT, after_ms=1)
        task_ledger.at_ms += BETWEEN_CRASHES_MS
    assert bool(task_ledger.held_task_by_name) == is_held
    assert state(task_ledger) != "failed"
    task_ledger.withdraw_crashes([WorkerLife("w5", 5)])
    assert not task_ledger.held_task_by_name


def hold_silent_crashes(job_step=None, after_ms=None):
    """Return a ledger with a task held after crashes of five workers that were silent."""
    task_ledger = make_ledger(SILENT)
    accept(task_ledger, job_step or step(), job_id=OTHER_JOB)
    members = [task.name for task in task_ledger.job_by_id[OTHER_JOB].tasks()]
    for number in range(5):
        for member in members:
            start(task_ledger, member, f"w{number}")
        crash(task_ledger, f"w{number}")
        for other in () if after_ms is None else (5, 6, 7):
            task_ledger.upsert_worker(worker(f"w{other}", number + 1))
            crash(task_ledger, f"w{other}", born_ms=number + 1, after_ms=after_ms)
    assert set(task_ledger.held_task_by_name) == set(members)
    return task_ledger


def replaced(*numbers):
    return [WorkerLife(f"w{number}", 1) for number in numbers]


# Guards against LOST: a task was held for good, since none of the silent workers could answer any
# more once a later incarnation had, and none of their crashes was ever proven.
@pytest.mark.parametrize("is_restored", [False, True], ids=["log", "snapshot"])
@pytest.mark.parametrize("fields", [{}, {"lasting": True}, {"count": 2, "gang": True}], ids=str)
def test_a_held_task_is_given_up_once_all_its_silent_workers_were_replaced(fields, is_restored):
    task_ledger = hold_silent_crashes(step(**fields))
    for number in range(5):
        assert give_up(task_ledger) == []
        task_ledger.note_replaced(replaced(number))
        if is_restored:
            saved = snapshot.save(task_ledger)
            task_ledger = snapshot.load(saved)
            assert snapshot.save(task_ledger) == saved
    assert give_up(task_ledger)
    assert task_ledger.job_by_id[OTHER_JOB].state.value == "failed"


# Guards against LOST: of the crashes that are left after one was withdrawn too few count.
def test_a_held_task_is_released_if_one_of_its_silent_workers_answers():
    task_ledger = hold_silent_crashes()
    task_ledger.note_replaced(replaced(0, 1, 2, 3))
    task_ledger.withdraw_crashes(replaced(4))
    assert not task_ledger.held_task_by_name
    assert record_intent(task_ledger, f"{OTHER_JOB}.0.0.0", 6, ("w5", 1))


# Guards against LOST: workers that were cut off together fail no job, whatever follows them.
def test_silence_of_workers_that_were_lost_with_others_gives_up_no_task_once_they_are_replaced():
    task_ledger = hold_silent_crashes(after_ms=1)
    task_ledger.note_replaced(replaced(*range(5)))
    assert give_up(task_ledger) == []
    assert task_ledger.held_task_by_name


def test_a_job_that_is_cancelled_while_its_task_is_held_stays_cancelled():
    task_ledger = hold_silent_crashes()
    task_ledger.cancel(OTHER_JOB)
    task_ledger.note_replaced(replaced(*range(5)))
    assert task_ledger.give_up([f"{OTHER_JOB}.0.0.0"]) == []
    assert task_ledger.job_by_id[OTHER_JOB].state.value == "cancelled"


def test_replaced_workers_hold_no_task_that_too_few_crashes_count_for():
    task_ledger = make_ledger(SILENT)
    for number in range(4):
        start(task_ledger, DEADLY, f"w{number}")
        crash(task_ledger, f"w{number}")
    task_ledger.note_replaced(replaced(*range(4)))
    assert not task_ledger.held_task_by_name
    assert state(task_ledger) == "running"
