import gc
import weakref

import pytest

from savoryshelf.outcomes import Accepted, Refusal
from savoryshelf.tasks import snapshot
from savoryshelf.tasks.job import JobState
from savoryshelf.wire import codec
from savoryshelf.wire.generated.ttypes import (
    AgentAssignment,
    RunEnd,
    RunIntent,
    RunOutcome,
    WorkerLife,
    WorkerRecord,
)

from .builders import JOB, accept, ledger, manifest, queue, record_intent, settle_run, step, worker


def startable_tasks(task_ledger):
    return {
        group.tasks[index].name
        for group in task_ledger.startable_group_by_key.values()
        for index in group.startable_indexes
    }


def test_a_resent_job_is_a_duplicate():
    task_ledger = ledger()
    assert accept(task_ledger, step(2)) == Accepted()
    assert accept(task_ledger, step(5)) == Accepted(duplicate=True)
    assert len(list(task_ledger.job_by_id[JOB].tasks())) == 2


def test_a_job_for_a_queue_that_the_manifest_lacks_is_refused():
    task_ledger = ledger()
    task_ledger.put_manifest(manifest(2, [queue("other", "/other/")]))
    assert isinstance(accept(task_ledger, step()), Refusal)
    assert task_ledger.job_by_id == {}


def test_the_queue_with_the_longest_prefix_is_chosen():
    task_ledger = ledger()
    task_ledger.put_manifest(manifest(2, [queue(), queue("inner", "/quotes/inner/")]))
    accept(task_ledger, step(), prefix="/quotes/inner/")
    assert task_ledger.job_by_id[JOB].queue.name == "inner"


def test_a_manifest_that_is_not_newer_changes_nothing():
    task_ledger = ledger()
    assert task_ledger.put_manifest(manifest(1, [queue("other")])) == Accepted(duplicate=True)
    assert task_ledger.manifest.queues[0].name == "quotes"


def test_a_step_is_unblocked_when_all_tasks_it_depends_on_are_done():
    task_ledger = ledger()
    accept(task_ledger, step(2), step(1, after=[0]))
    first, second, third = f"{JOB}.0.0.0", f"{JOB}.0.0.1", f"{JOB}.0.1.0"
    assert startable_tasks(task_ledger) == {first, second}
    for task in (first, second):
        assert record_intent(task_ledger, task)
    assert record_intent(task_ledger, third) == []
    settle_run(task_ledger, first, RunOutcome.DONE)
    assert startable_tasks(task_ledger) == set()
    settle_run(task_ledger, second, RunOutcome.DONE)
    assert startable_tasks(task_ledger) == {third}


def test_a_task_has_one_run_at_a_time():
    task_ledger = ledger(worker(), worker("w2"))
    accept(task_ledger, step())
    task = f"{JOB}.0.0.0"
    assert record_intent(task_ledger, task)
    assert record_intent(task_ledger, task, run=2, incarnation=("w2", 1)) == []
    settle_run(task_ledger, task, RunOutcome.NEVER_RAN)
    assert record_intent(task_ledger, task, run=1, incarnation=("w2", 1)) == []
    assert record_intent(task_ledger, task, run=2, incarnation=("w2", 1))


def test_duplicates_run_concurrently_and_the_first_result_counts():
    task_ledger = ledger(worker(), worker("w2"))
    accept(task_ledger, step(allow_duplicates=True))
    task = f"{JOB}.0.0.0"
    assert record_intent(task_ledger, task)
    assert record_intent(task_ledger, task, run=2, incarnation=("w2", 1))
    settle_run(task_ledger, task, RunOutcome.DONE, run=2, incarnation=("w2", 1))
    assert task_ledger.job_by_id[JOB].state is JobState.COMPLETED
    assert task_ledger.runs_to_stop == {(task, 1): ("w1", 1)}


def test_only_failures_count_as_attempts():
    task_ledger = ledger()
    accept(task_ledger, step())
    task = f"{JOB}.0.0.0"
    others = [RunOutcome.STOPPED, RunOutcome.LAPSED, RunOutcome.LOST, RunOutcome.NEVER_RAN]
    for run, outcome in enumerate([*others, RunOutcome.FAILED], start=1):
        assert record_intent(task_ledger, task, run)
        settle_run(task_ledger, task, outcome, run)
    assert task_ledger.job_by_id[JOB].state is JobState.RUNNING
    assert record_intent(task_ledger, task, 6)
    settle_run(task_ledger, task, RunOutcome.FAILED, 6)
    assert task_ledger.job_by_id[JOB].state is JobState.FAILED
    assert startable_tasks(task_ledger) == set()


def test_an_end_that_is_listed_twice_counts_once():
    task_ledger = ledger()
    accept(task_ledger, step())
    task = f"{JOB}.0.0.0"
    record_intent(task_ledger, task)
    settle_run(task_ledger, task, RunOutcome.FAILED, number=1)
    settle_run(task_ledger, task, RunOutcome.FAILED, number=1)
    assert task_ledger.find_task(task).failures == 1


def test_a_long_running_task_is_startable_again_after_any_outcome():
    task_ledger = ledger()
    accept(task_ledger, step(lasting=True))
    task = f"{JOB}.0.0.0"
    ends = [RunOutcome.DONE, RunOutcome.FAILED, RunOutcome.FAILED, RunOutcome.LAPSED]
    for run, outcome in enumerate(ends, start=1):
        assert record_intent(task_ledger, task, run)
        settle_run(task_ledger, task, outcome, run)
        assert startable_tasks(task_ledger) == {task}
    assert task_ledger.job_by_id[JOB].state is JobState.RUNNING


def test_one_member_that_is_done_completes_its_gang():
    task_ledger = ledger()
    accept(task_ledger, step(3, gang=True))
    for index in range(3):
        record_intent(task_ledger, f"{JOB}.0.0.{index}")
    settle_run(task_ledger, f"{JOB}.0.0.1", RunOutcome.DONE)
    assert task_ledger.job_by_id[JOB].state is JobState.COMPLETED
    assert task_ledger.worker_by_incarnation["w1", 1].used.millicores == 0


def gang_whose_runs_exist(members=3):
    """Return a ledger with a gang: its first member runs on w1, the others on w2."""
    task_ledger = ledger(worker(), worker("w2"))
    accept(task_ledger, step(members, gang=True, checkpointing=True))
    tasks = [f"{JOB}.0.0.{index}" for index in range(members)]
    intents = [
        RunIntent(task, 1, WorkerLife("w2" if index else "w1", 1))
        for index, task in enumerate(tasks)
    ]
    assert len(task_ledger.record_intents(intents)) == members
    return task_ledger, tasks


# Guards against members that wait for others until they end alone: a worker may leave between the
# plan of a gang and its commit.
def test_a_gang_is_started_whole_or_not_at_all():
    task_ledger = ledger(worker(), worker("w2"))
    accept(task_ledger, step(3, gang=True), step())
    tasks = [f"{JOB}.0.0.{index}" for index in range(3)]
    intents = [
        RunIntent(task, 1, WorkerLife("w2" if index else "w1", 1))
        for index, task in enumerate([*tasks, f"{JOB}.0.1.0"])
    ]
    leaving = worker()
    leaving.draining = True
    task_ledger.upsert_worker(leaving)
    assert [i.task for i in task_ledger.record_intents(intents)] == [f"{JOB}.0.1.0"]
    assert startable_tasks(task_ledger) == set(tasks)


def checkpoints(task_ledger, tasks):
    return {task_ledger.find_task(task).checkpoint for task in tasks}


# Guards against gangs that never work again after a crash: the lost members resumed from another
# checkpoint than those that ended broken, or from none, and so never found each other.
@pytest.mark.parametrize("seen_before_the_crash", ["", "older"])
@pytest.mark.parametrize("loss_comes_first", [True, False])
def test_all_members_of_a_gang_resume_from_the_newest_checkpoint(
    seen_before_the_crash, loss_comes_first
):
    task_ledger, tasks = gang_whose_runs_exist()

    def lose_first_member():
        seen = [RunEnd(tasks[0], 1, RunOutcome.LOST, seen_before_the_crash, 0)]
        task_ledger.end_incarnations([WorkerLife("w1", 1)], seen)

    if loss_comes_first:
        lose_first_member()
    for number, task in enumerate(tasks[1:], 1):
        settle_run(task_ledger, task, RunOutcome.BROKEN, 1, ("w2", 1), "newest", number)
    if not loss_comes_first:
        lose_first_member()
    assert startable_tasks(task_ledger) == set(tasks)
    assert checkpoints(task_ledger, tasks) == {"newest"}


# Guards against work that is done again: an earlier run's end may be listed after a later one's.
def test_an_end_of_an_earlier_run_replaces_no_newer_checkpoint():
    task_ledger = ledger(worker(), worker("w2"))
    accept(task_ledger, step(checkpointing=True))
    task = f"{JOB}.0.0.0"
    record_intent(task_ledger, task)
    task_ledger.end_incarnations([WorkerLife("w1", 1)], [])
    record_intent(task_ledger, task, 2, ("w2", 1))
    settle_run(task_ledger, task, RunOutcome.STOPPED, 2, ("w2", 1), "of run 2", 1)
    task_ledger.upsert_worker(worker())
    settle_run(task_ledger, task, RunOutcome.LAPSED, 1, ("w1", 1), "of run 1", 1)
    assert task_ledger.find_task(task).checkpoint == "of run 2"


# Guards against replicas that differ after a snapshot: hosts that start the members of one gang
# would send different checkpoints.
def test_a_snapshot_keeps_which_run_a_checkpoint_came_from():
    task_ledger, tasks = gang_whose_runs_exist()
    settle_run(task_ledger, tasks[1], RunOutcome.BROKEN, 1, ("w2", 1), "newest", 1)
    restored = snapshot.load(snapshot.save(task_ledger))
    for each in (task_ledger, restored):
        seen = [RunEnd(tasks[0], 1, RunOutcome.LOST, "older", 0)]
        each.end_incarnations([WorkerLife("w1", 1)], seen)
        assert checkpoints(each, tasks) == {"newest"}


# Guards against gangs that stay apart after an upgrade: earlier versions kept a checkpoint for
# each member.
def test_a_gang_of_a_snapshot_with_different_checkpoints_resumes_from_one():
    task_ledger, tasks = gang_whose_runs_exist()
    for task, checkpoint in zip(tasks[1:], ("one", "another"), strict=True):
        task_ledger.find_task(task).checkpoint = checkpoint
    assert len(checkpoints(snapshot.load(snapshot.save(task_ledger)), tasks)) == 1
    assert checkpoints(snapshot.load(snapshot.save(task_ledger)), tasks) != {""}


def test_cancelling_a_job_starts_nothing_more_and_stops_its_runs():
    task_ledger = ledger()
    accept(task_ledger, step(2))
    record_intent(task_ledger, f"{JOB}.0.0.0")
    assert task_ledger.cancel(JOB) == Accepted()
    assert startable_tasks(task_ledger) == set()
    assert set(task_ledger.runs_to_stop) == {(f"{JOB}.0.0.0", 1)}
    settle_run(task_ledger, f"{JOB}.0.0.0", RunOutcome.STOPPED)
    assert task_ledger.runs_to_stop == {}
    assert task_ledger.job_by_id[JOB].state is JobState.CANCELLED


def test_tasks_of_an_ended_incarnation_are_startable_with_their_checkpoints():
    task_ledger = ledger(worker(), worker("w2"))
    accept(task_ledger, step())
    task = f"{JOB}.0.0.0"
    record_intent(task_ledger, task)
    saved = RunEnd(task, 1, RunOutcome.LOST, "c1", 0)
    task_ledger.end_incarnations([WorkerLife("w1", 1)], [saved])
    assert startable_tasks(task_ledger) == {task}
    assert task_ledger.find_task(task).checkpoint == "c1"
    assert record_intent(task_ledger, task, 2, ("w1", 1)) == []
    assert record_intent(task_ledger, task, 2, ("w2", 1))


def test_a_result_from_an_incarnation_recorded_as_ended_still_counts():
    task_ledger = ledger(worker(), worker("w2"))
    accept(task_ledger, step())
    task = f"{JOB}.0.0.0"
    record_intent(task_ledger, task)
    task_ledger.end_incarnations([WorkerLife("w1", 1)], [])
    record_intent(task_ledger, task, 2, ("w2", 1))
    task_ledger.upsert_worker(worker())
    settle_run(task_ledger, task, RunOutcome.DONE, number=1)
    assert task_ledger.job_by_id[JOB].state is JobState.COMPLETED
    assert task_ledger.runs_to_stop == {(task, 2): ("w2", 1)}


def test_a_draining_worker_gets_no_runs():
    task_ledger = ledger()
    accept(task_ledger, step())
    draining_worker = worker()
    draining_worker.draining = True
    task_ledger.upsert_worker(draining_worker)
    assert record_intent(task_ledger, f"{JOB}.0.0.0") == []


def test_ended_jobs_are_deleted_once_none_of_their_runs_can_exist():
    task_ledger = ledger()
    accept(task_ledger, step())
    record_intent(task_ledger, f"{JOB}.0.0.0")
    task_ledger.at_ms = 1000
    task_ledger.cancel(JOB)
    assert task_ledger.delete_ended_jobs(2000) == 0
    settle_run(task_ledger, f"{JOB}.0.0.0", RunOutcome.STOPPED)
    assert task_ledger.delete_ended_jobs(1000) == 0
    assert task_ledger.delete_ended_jobs(1001) == 1


def test_a_snapshot_restores_jobs_runs_and_workers():
    task_ledger = ledger(worker(), worker("w2"))
    accept(task_ledger, step(2), step(1, after=[0]))
    record_intent(task_ledger, f"{JOB}.0.0.0")
    settle_run(task_ledger, f"{JOB}.0.0.0", RunOutcome.DONE, number=1)
    record_intent(task_ledger, f"{JOB}.0.0.1", incarnation=("w2", 1))
    accept(task_ledger, step(), job_id="00000000000000b2")
    task_ledger.cancel("00000000000000b2")
    saved = snapshot.save(task_ledger)
    restored = snapshot.load(saved)
    assert snapshot.save(restored) == saved
    assert startable_tasks(restored) == startable_tasks(task_ledger)
    assert (
        restored.worker_by_incarnation["w2", 1].used
        == task_ledger.worker_by_incarnation["w2", 1].used
    )
    settle_run(restored, f"{JOB}.0.0.1", RunOutcome.DONE, incarnation=("w2", 1))
    assert startable_tasks(restored) == {f"{JOB}.0.1.0"}


def assign(task_ledger, agent_id="c1.disk/1", min_token=0):
    task_ledger.assign_agents([AgentAssignment(WorkerLife("w1", 1), agent_id)], min_token)
    return task_ledger.worker_by_incarnation["w1", 1].record.fencing_token


def test_each_assignment_has_a_higher_token_also_after_a_snapshot():
    task_ledger = ledger()
    first = assign(task_ledger, min_token=41)
    assert first == 42
    assert assign(task_ledger) == 43
    restored = snapshot.load(snapshot.save(task_ledger))
    record = restored.worker_by_incarnation["w1", 1].record
    assert (record.agent_id, record.fencing_token) == ("c1.disk/1", 43)
    assert assign(restored) == 44


def test_what_an_earlier_agent_settles_is_ignored():
    task_ledger = ledger()
    accept(task_ledger, step())
    record_intent(task_ledger, f"{JOB}.0.0.0")
    earlier, current = assign(task_ledger), assign(task_ledger, "c2.disk/1")
    ends = [RunEnd(f"{JOB}.0.0.0", 1, RunOutcome.NEVER_RAN, "", 0)]
    task_ledger.settle(WorkerLife("w1", 1), 0, ends, earlier)
    assert startable_tasks(task_ledger) == set()
    task_ledger.settle(WorkerLife("w1", 1), 0, ends, current)
    assert startable_tasks(task_ledger) == {f"{JOB}.0.0.0"}


def test_an_incarnation_is_not_ended_by_an_earlier_agent():
    task_ledger = ledger()
    earlier, current = assign(task_ledger), assign(task_ledger, "c2.disk/1")
    worker_entry = task_ledger.worker_by_incarnation["w1", 1]
    task_ledger.end_incarnations([WorkerLife("w1", 1)], [], [earlier])
    assert not worker_entry.has_ended
    task_ledger.end_incarnations([WorkerLife("w1", 1)], [], [current])
    assert worker_entry.has_ended
    assert worker_entry.record.agent_id is None, "another agent needs another token"


# A heartbeat that was delayed, or that a new leader hears after a later one, must not bring a
# worker back into use that drains or has left.
def test_an_older_record_of_a_worker_is_ignored():
    task_ledger = ledger()
    draining, ready = worker(), worker()
    draining.draining, draining.sequence = True, 5
    ready.sequence = 4
    task_ledger.upsert_worker(draining)
    task_ledger.upsert_worker(ready)
    assert not task_ledger.worker_by_incarnation["w1", 1].is_schedulable
    ready.sequence = 6
    task_ledger.upsert_worker(ready)
    assert task_ledger.worker_by_incarnation["w1", 1].is_schedulable


def test_a_worker_that_has_announced_its_exit_is_not_used_again():
    task_ledger = ledger()
    leaving, ready = worker(), worker()
    leaving.leaving, leaving.draining, leaving.sequence = True, True, 5
    ready.sequence = 6
    task_ledger.upsert_worker(leaving)
    task_ledger.upsert_worker(ready)
    assert not task_ledger.worker_by_incarnation["w1", 1].is_schedulable


OTHER_WRITER = {
    "address": "10.0.0.9:80",
    "service_name": "other",
    "failure_domain": "zone-b",
    "rack": "r9",
    "labels": ["b", "r1"],
}
"""What cannot change within one incarnation, each with the value of another writer."""


def changed(record, sequence=None, **values):
    """Return a copy of a record with other values."""
    copied = codec.decode(WorkerRecord, codec.encode(record))
    copied.sequence = (record.sequence or 0) + 1 if sequence is None else sequence
    for name, value in values.items():
        setattr(copied, name, value)
    return copied


def ledger_with_a_run():
    task_ledger = ledger()
    accept(task_ledger, step(lasting=True))
    assign(task_ledger)
    assert record_intent(task_ledger, f"{JOB}.0.0.0")
    return task_ledger, task_ledger.worker_by_incarnation["w1", 1]


# Guards against calls that reach another worker, and runs that are taken for ended then: another
# writer's heartbeat gave a live worker an address, or a service, of its own.
@pytest.mark.parametrize("field", OTHER_WRITER)
@pytest.mark.parametrize("is_restored", [False, True])
def test_what_an_incarnation_is_does_not_change_before_its_end(field, is_restored):
    task_ledger, entry = ledger_with_a_run()
    if is_restored:
        task_ledger = snapshot.load(snapshot.save(task_ledger))
        entry = task_ledger.worker_by_incarnation["w1", 1]
    before = codec.encode(entry.record)
    other = changed(
        entry.record, 10, draining=True, fencing_token=0, **{field: OTHER_WRITER[field]}
    )
    task_ledger.upsert_worker(other)
    assert codec.encode(entry.record) == before
    assert entry.task_by_run and not entry.has_ended
    # What may change changes, and the sequence of the other writer holds nothing up.
    task_ledger.upsert_worker(changed(entry.record, 1, millicores=500, draining=True))
    assert (entry.record.millicores, entry.record.draining) == (500, True)
    task_ledger.end_incarnations([WorkerLife("w1", 1)], [])
    task_ledger.upsert_worker(changed(entry.record, 2, **{field: OTHER_WRITER[field]}))
    assert getattr(entry.record, field) == OTHER_WRITER[field] and not entry.has_ended


# A worker whose first record was another writer's would stay under a wrong service for good.
@pytest.mark.parametrize("field", OTHER_WRITER)
def test_a_record_checked_by_the_leader_corrects_an_incarnation_at_its_address(field):
    task_ledger, entry = ledger_with_a_run()
    token = entry.record.fencing_token
    assert token
    right = changed(entry.record, 5, **{field: OTHER_WRITER[field]})
    for other_token in (0, token - 1, token + 1):
        task_ledger.upsert_worker(changed(right, 5, fencing_token=other_token))
        assert getattr(entry.record, field) != OTHER_WRITER[field]
    task_ledger.upsert_worker(changed(right, 5))
    # What runs there was sent to the recorded address, and only calls there tell of it.
    assert (getattr(entry.record, field) == OTHER_WRITER[field]) == (field != "address")
    assert entry.record.fencing_token == token
    assert entry.task_by_run.keys() == {(f"{JOB}.0.0.0", 1)} and not entry.has_ended
    assert task_ledger.find_task(f"{JOB}.0.0.0").incarnation_by_run == {1: ("w1", 1)}


# Without an agent there is no token that a record could have been checked against.
def test_nothing_corrects_an_incarnation_without_an_agent():
    task_ledger = ledger()
    entry = task_ledger.worker_by_incarnation["w1", 1]
    for token in (0, None):
        other = changed(entry.record, 5, service_name="other", fencing_token=token)
        task_ledger.upsert_worker(other)
    assert entry.record.service_name == "dispatch"


# Replicas would differ in who is schedulable, in the tokens given out, and in the ends settled.
@pytest.mark.parametrize(
    "late_fields",
    [{"sequence": 4}, {"sequence": 6}, {"sequence": 6, "address": "10.0.0.2:80"}],
)
@pytest.mark.parametrize("leaving", [False, True])
def test_a_replica_that_restarted_treats_an_ended_incarnation_like_the_others(late_fields, leaving):
    """Guards against replicas that differ after a delayed heartbeat of a worker that has ended."""
    original = ledger()
    known, late = worker(), worker()
    known.sequence, known.leaving, known.draining = 5, leaving, leaving
    for name, value in late_fields.items():
        setattr(late, name, value)
    original.upsert_worker(known)
    original.settle(WorkerLife("w1", 1), 7, [])
    original.end_incarnations([WorkerLife("w1", 1)], [])
    restored = snapshot.load(snapshot.save(original))
    for replica in (original, restored):
        replica.upsert_worker(codec.decode(WorkerRecord, codec.encode(late)))
        assign(replica)
    first, second = (replica.worker_by_incarnation["w1", 1] for replica in (original, restored))
    assert second.record == first.record
    assert second.has_ended == first.has_ended
    assert second.is_schedulable == first.is_schedulable
    assert restored.newest_token == original.newest_token


def test_a_worker_counts_its_runs_by_kind():
    task_ledger = ledger(worker(millicores=9000, memory_mb=9000))
    entry = task_ledger.worker_by_incarnation["w1", 1]
    accept(
        task_ledger,
        step(2, lasting=True, target_ms=50, image="shop"),
        step(filling=True, image="batch", millicores=2000),
    )
    for task in (f"{JOB}.0.0.0", f"{JOB}.0.0.1", f"{JOB}.0.1.0"):
        record_intent(task_ledger, task)
    assert entry.serving_run_count_by_image == {"shop": 2}
    assert entry.best_effort_millicores_by_image == {"batch": 2000}
    assert (entry.serving_millicores, entry.long_running_millicores) == (2000, 2000)
    assert entry.is_shared
    for task in (f"{JOB}.0.0.0", f"{JOB}.0.0.1", f"{JOB}.0.1.0"):
        settle_run(task_ledger, task, RunOutcome.STOPPED)
    assert entry.serving_run_count_by_image == entry.best_effort_millicores_by_image == {}
    assert entry.serving_millicores == entry.long_running_millicores == 0
    assert not entry.is_shared


# Guards against replicas that differ after a snapshot, one of which starts a task that is done.
def test_the_members_of_a_gang_that_is_done_stay_done_through_a_snapshot():
    task_ledger = ledger()
    accept(task_ledger, step(2, gang=True))
    record_intent(task_ledger, f"{JOB}.0.0.0")
    settle_run(task_ledger, f"{JOB}.0.0.0", RunOutcome.DONE)
    restored = snapshot.load(snapshot.save(task_ledger))
    assert all(task.done for task in restored.job_by_id[JOB].tasks())
    assert not restored.startable_group_by_key
    assert restored.job_by_id[JOB].state is task_ledger.job_by_id[JOB].state


# Guards against ends that count for another assignment of an incarnation: it was recorded as ended,
# answers again, and its ends go on with the numbers that they had.
def test_an_incarnation_that_reports_again_is_settled_under_its_new_token_from_where_it_was():
    task_ledger, incarnation, task = ledger(), WorkerLife("w1", 1), f"{JOB}.0.0.0"
    accept(task_ledger, step())
    record_intent(task_ledger, task)
    earlier = assign(task_ledger)
    task_ledger.settle(incarnation, 7, [], earlier)
    task_ledger.end_incarnations([incarnation], [], [earlier])
    done = RunEnd(task, 1, RunOutcome.DONE, "", 8)
    record = worker()
    record.sequence = 6
    task_ledger.settle(incarnation, 8, [done], earlier)
    task_ledger.upsert_worker(record)
    task_ledger.settle(incarnation, 8, [done], earlier)
    current = assign(task_ledger)
    task_ledger.settle(incarnation, 8, [done], earlier)
    entry = task_ledger.worker_by_incarnation["w1", 1]
    assert entry.record.seen_end == 7 and not task_ledger.find_task(task).done
    task_ledger.end_incarnations([incarnation], [], [earlier])
    assert not entry.has_ended
    task_ledger.settle(incarnation, 8, [done], current)
    assert entry.record.seen_end == 8 and task_ledger.find_task(task).done


# Guards against TWICE: an incarnation that had left ended at an unanswered call and came back with
# its next heartbeat; its session then acknowledged the end of a run that had been started again
# elsewhere.
def test_an_incarnation_that_has_left_and_ended_does_not_come_back():
    task_ledger = ledger()
    accept(task_ledger, step())
    record_intent(task_ledger, f"{JOB}.0.0.0")
    left = worker()
    left.draining = left.leaving = True
    left.sequence = 1
    task_ledger.upsert_worker(left)
    task_ledger.end_incarnations([left.life], [])
    later = worker()
    later.sequence = 2
    task_ledger.upsert_worker(later)
    task_ledger.assign_agents([AgentAssignment(left.life, "c0.disk/1")], 6)
    known = task_ledger.worker_by_incarnation["w1", 1]
    assert known.has_ended and known.record.leaving and not known.record.fencing_token
    task_ledger = snapshot.load(snapshot.save(task_ledger))
    task_ledger.upsert_worker(worker())
    assert task_ledger.worker_by_incarnation["w1", 1].has_ended


# Guards against a process that grows without end: the collector spares the objects that were there
# when it started, and the parts of a job refer to each other.
def test_a_job_that_is_forgotten_is_freed_without_the_garbage_collector():
    task_ledger = ledger()
    accept(task_ledger, step(2), step(after=[0]))
    task = task_ledger.find_task(f"{JOB}.0.0.0")
    freed = [weakref.ref(each) for each in (task, task.step, task.step.job)]
    del task
    task_ledger.cancel(JOB)
    gc.disable()
    try:
        assert task_ledger.delete_ended_jobs(task_ledger.at_ms + 1) == 1
        assert [each() for each in freed] == [None, None, None]
    finally:
        gc.enable()


# Guards against MIXED: a job that waits was counted as begun once a start was planned, though every
# worker refused it.
@pytest.mark.parametrize("is_restored", [False, True])
def test_a_job_whose_starts_were_refused_has_not_begun(is_restored):
    task_ledger = ledger()
    accept(task_ledger, step(2))
    for run in (1, 2):
        for task in (f"{JOB}.0.0.0", f"{JOB}.0.0.1"):
            record_intent(task_ledger, task, run)
        assert task_ledger.queued_job_count("quotes") == 0
        if is_restored:
            task_ledger = snapshot.load(snapshot.save(task_ledger))
        settle_run(task_ledger, f"{JOB}.0.0.0", RunOutcome.NEVER_RAN, run)
        assert task_ledger.queued_job_count("quotes") == 0
        settle_run(task_ledger, f"{JOB}.0.0.1", RunOutcome.NEVER_RAN, run)
        if is_restored:
            task_ledger = snapshot.load(snapshot.save(task_ledger))
        assert task_ledger.queued_job_count("quotes") == 1
        assert task_ledger.job_by_id[JOB].state is JobState.QUEUED


@pytest.mark.parametrize("is_restored", [False, True])
@pytest.mark.parametrize("outcome", [o for o in RunOutcome if o is not RunOutcome.NEVER_RAN])
def test_a_job_of_which_a_run_has_ended_has_begun(outcome, is_restored):
    task_ledger = ledger()
    accept(task_ledger, step(2))
    record_intent(task_ledger, f"{JOB}.0.0.0")
    settle_run(task_ledger, f"{JOB}.0.0.0", outcome)
    record_intent(task_ledger, f"{JOB}.0.0.1")
    settle_run(task_ledger, f"{JOB}.0.0.1", RunOutcome.NEVER_RAN)
    if is_restored:
        task_ledger = snapshot.load(snapshot.save(task_ledger))
    assert task_ledger.queued_job_count("quotes") == 0
