from savoryshelf.outcomes import Accepted, Refusal
from savoryshelf.tasks import snapshot
from savoryshelf.tasks.job import JobState
from savoryshelf.wire.generated.ttypes import RunEnd, RunOutcome, WorkerLife

from .builders import JOB, accept, end, intend, ledger, manifest, queue, step, worker


def startable(held):
    return {
        group.tasks[index].name
        for group in held.startable_by_key.values()
        for index in group.startable
    }


def test_a_resent_job_is_the_first_one():
    held = ledger()
    assert accept(held, step(2)) == Accepted()
    assert accept(held, step(5)) == Accepted(duplicate=True)
    assert len(list(held.job_by_id[JOB].tasks())) == 2


def test_a_job_for_a_queue_that_was_dropped_is_refused():
    held = ledger()
    held.put_manifest(manifest(2, [queue("other", "/other/")]))
    assert isinstance(accept(held, step()), Refusal)
    assert held.job_by_id == {}


def test_the_longest_prefix_names_the_queue():
    held = ledger()
    held.put_manifest(manifest(2, [queue(), queue("inner", "/quotes/inner/")]))
    accept(held, step(), prefix="/quotes/inner/")
    assert held.job_by_id[JOB].queue.name == "inner"


def test_a_manifest_that_is_not_newer_changes_nothing():
    held = ledger()
    assert held.put_manifest(manifest(1, [queue("other")])) == Accepted(duplicate=True)
    assert held.manifest.queues[0].name == "quotes"


def test_a_step_opens_when_all_tasks_before_it_are_done():
    held = ledger()
    accept(held, step(2), step(1, after=[0]))
    first, second, third = f"{JOB}.0.0.0", f"{JOB}.0.0.1", f"{JOB}.0.1.0"
    assert startable(held) == {first, second}
    for task in (first, second):
        assert intend(held, task)
    assert intend(held, third) == []
    end(held, first, RunOutcome.DONE)
    assert startable(held) == set()
    end(held, second, RunOutcome.DONE)
    assert startable(held) == {third}


def test_a_task_has_one_run_at_a_time():
    held = ledger(worker(), worker("w2"))
    accept(held, step())
    task = f"{JOB}.0.0.0"
    assert intend(held, task)
    assert intend(held, task, run=2, life=("w2", 1)) == []
    end(held, task, RunOutcome.NEVER_RAN)
    assert intend(held, task, run=1, life=("w2", 1)) == []
    assert intend(held, task, run=2, life=("w2", 1))


def test_copies_run_side_by_side_and_the_first_to_finish_counts():
    held = ledger(worker(), worker("w2"))
    accept(held, step(allow_duplicates=True))
    task = f"{JOB}.0.0.0"
    assert intend(held, task)
    assert intend(held, task, run=2, life=("w2", 1))
    end(held, task, RunOutcome.DONE, run=2, life=("w2", 1))
    assert held.job_by_id[JOB].state is JobState.COMPLETED
    assert held.unwanted == {(task, 1): ("w1", 1)}


def test_only_failures_count_as_attempts():
    held = ledger()
    accept(held, step())
    task = f"{JOB}.0.0.0"
    others = [RunOutcome.STOPPED, RunOutcome.LAPSED, RunOutcome.LOST, RunOutcome.NEVER_RAN]
    for run, outcome in enumerate([*others, RunOutcome.FAILED], start=1):
        assert intend(held, task, run)
        end(held, task, outcome, run)
    assert held.job_by_id[JOB].state is JobState.RUNNING
    assert intend(held, task, 6)
    end(held, task, RunOutcome.FAILED, 6)
    assert held.job_by_id[JOB].state is JobState.FAILED
    assert startable(held) == set()


def test_an_end_that_is_listed_twice_counts_once():
    held = ledger()
    accept(held, step())
    task = f"{JOB}.0.0.0"
    intend(held, task)
    end(held, task, RunOutcome.FAILED, number=1)
    end(held, task, RunOutcome.FAILED, number=1)
    assert held.find_task(task).failures == 1


def test_a_lasting_task_is_offered_again_however_it_ends():
    held = ledger()
    accept(held, step(lasting=True))
    task = f"{JOB}.0.0.0"
    ends = [RunOutcome.DONE, RunOutcome.FAILED, RunOutcome.FAILED, RunOutcome.LAPSED]
    for run, outcome in enumerate(ends, start=1):
        assert intend(held, task, run)
        end(held, task, outcome, run)
        assert startable(held) == {task}
    assert held.job_by_id[JOB].state is JobState.RUNNING


def test_one_end_of_a_gang_stands_for_all_its_members():
    held = ledger()
    accept(held, step(3, gang=True))
    for index in range(3):
        intend(held, f"{JOB}.0.0.{index}")
    end(held, f"{JOB}.0.0.1", RunOutcome.DONE)
    assert held.job_by_id[JOB].state is JobState.COMPLETED
    assert held.worker_by_life["w1", 1].used.millicores == 0


def test_a_cancelled_job_starts_nothing_and_its_runs_are_unwanted():
    held = ledger()
    accept(held, step(2))
    intend(held, f"{JOB}.0.0.0")
    assert held.cancel(JOB) == Accepted()
    assert startable(held) == set()
    assert set(held.unwanted) == {(f"{JOB}.0.0.0", 1)}
    end(held, f"{JOB}.0.0.0", RunOutcome.STOPPED)
    assert held.unwanted == {}
    assert held.job_by_id[JOB].state is JobState.CANCELLED


def test_a_life_that_is_over_gives_its_runs_back_with_their_checkpoints():
    held = ledger(worker(), worker("w2"))
    accept(held, step())
    task = f"{JOB}.0.0.0"
    intend(held, task)
    saved = RunEnd(task, 1, RunOutcome.LOST, "c1", 0)
    held.end_lives([WorkerLife("w1", 1)], [saved])
    assert startable(held) == {task}
    assert held.find_task(task).checkpoint == "c1"
    assert intend(held, task, 2, ("w1", 1)) == []
    assert intend(held, task, 2, ("w2", 1))


def test_a_result_of_a_life_that_was_given_up_still_counts():
    held = ledger(worker(), worker("w2"))
    accept(held, step())
    task = f"{JOB}.0.0.0"
    intend(held, task)
    held.end_lives([WorkerLife("w1", 1)], [])
    intend(held, task, 2, ("w2", 1))
    held.note_worker(worker())
    end(held, task, RunOutcome.DONE, number=1)
    assert held.job_by_id[JOB].state is JobState.COMPLETED
    assert held.unwanted == {(task, 2): ("w2", 1)}


def test_a_draining_worker_gets_no_intent():
    held = ledger()
    accept(held, step())
    leaving = worker()
    leaving.draining = True
    held.note_worker(leaving)
    assert intend(held, f"{JOB}.0.0.0") == []


def test_ended_jobs_are_forgotten_once_nothing_of_them_can_run():
    held = ledger()
    accept(held, step())
    intend(held, f"{JOB}.0.0.0")
    held.at_ms = 1000
    held.cancel(JOB)
    assert held.forget(2000) == 0
    end(held, f"{JOB}.0.0.0", RunOutcome.STOPPED)
    assert held.forget(1000) == 0
    assert held.forget(1001) == 1


def test_a_snapshot_holds_everything():
    held = ledger(worker(), worker("w2"))
    accept(held, step(2), step(1, after=[0]))
    intend(held, f"{JOB}.0.0.0")
    end(held, f"{JOB}.0.0.0", RunOutcome.DONE, number=1)
    intend(held, f"{JOB}.0.0.1", life=("w2", 1))
    accept(held, step(), job_id="00000000000000b2")
    held.cancel("00000000000000b2")
    saved = snapshot.save(held)
    read = snapshot.load(saved)
    assert snapshot.save(read) == saved
    assert startable(read) == startable(held)
    assert read.worker_by_life["w2", 1].used == held.worker_by_life["w2", 1].used
    end(read, f"{JOB}.0.0.1", RunOutcome.DONE, life=("w2", 1))
    assert startable(read) == {f"{JOB}.0.1.0"}
