"""Snapshots of ledgers with many jobs."""

import contextlib
import gc

import pytest

from savoryshelf.tasks import snapshot

from .builders import JOB, accept, ledger, step

JOBS = 2000


@pytest.fixture(name="large_ledger", scope="module")
def ledger_with_many_jobs():
    large = ledger()
    for number in range(JOBS):
        accept(large, step(2), job_id=f"{number:016x}")
    return large


@contextlib.contextmanager
def counted_collections():
    """Yield a list that gets the generation of each collection in the block."""
    generations = []

    def record(phase, info):
        if phase == "start":
            generations.append(info["generation"])

    gc.callbacks.append(record)
    try:
        yield generations
    finally:
        gc.callbacks.remove(record)


# Guards against a leader that sends no heartbeat for seconds: the garbage collector went through
# the whole ledger again and again while a snapshot of it was written or read.
def test_no_garbage_is_collected_while_a_snapshot_is_written_or_read(large_ledger):
    with counted_collections() as generations:
        data = snapshot.save(large_ledger)
        restored = snapshot.load(data)
    # One that was due may follow each of them.
    assert len(generations) <= 2
    assert len(restored.job_by_id) == JOBS
    assert gc.isenabled()


def test_garbage_is_collected_again_after_a_snapshot_that_cannot_be_read():
    with pytest.raises(Exception):  # noqa: B017 - whatever the decoder raises
        snapshot.load(b"no snapshot")
    assert gc.isenabled()


# Guards against control hosts that cannot start any more: an accepted gang without tasks is in each
# snapshot from then on.
def test_a_snapshot_with_a_gang_without_tasks_can_be_read():
    task_ledger = ledger()
    accept(task_ledger, step(1), step(0, gang=True))
    assert snapshot.load(snapshot.save(task_ledger)).job_by_id.keys() == {JOB}
