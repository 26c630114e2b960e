import pytest

from savoryshelf.configuration.declarations import parse, to_document
from savoryshelf.control.state import SiteStateMachine
from savoryshelf.ledger.state import JobState
from savoryshelf.wire import codec
from savoryshelf.wire.generated import ttypes
from savoryshelf.wire.generated.ttypes import Command, CommandBody


def apply(state_machine, **body):
    return state_machine.apply(codec.encode(Command(1, CommandBody(**body))))


def state_machine_with_running_job():
    state_machine = SiteStateMachine()
    document = to_document(parse({"customer": "c", "batch_classes": {"plans": {}}}))
    apply(state_machine, apply_configuration=ttypes.ApplyConfiguration("op", 0, document, ""))
    apply(
        state_machine,
        register_entry=ttypes.RegisterEntry("e0", "incarnation-1", "a", "http://e", "fd"),
    )
    announcement = ttypes.WorkerAnnouncement(
        "w0", "incarnation-1", "http://w", "fd", "r", 8, 64, 8.0, 99, 0
    )
    apply(state_machine, register_workers=ttypes.RegisterWorkers([announcement]))
    owner = ttypes.Assignment("w0", "e0", "incarnation-1")
    apply(state_machine, assign_workers=ttypes.AssignWorkers([owner]))
    job = ttypes.SubmitJob("job", "team", "key", "plans", b"body", False, "digest", "")
    apply(state_machine, submit_job=job)
    start = ttypes.AttemptStart("job", 1, "w0", "incarnation-1")
    assert apply(state_machine, start_attempts=ttypes.StartAttempts([start])) == [start]
    return state_machine


def test_a_snapshot_restores_the_state_and_its_indexes():
    state_machine = state_machine_with_running_job()
    restored = SiteStateMachine()
    restored.restore(state_machine.snapshot())
    assert restored.state == state_machine.state
    assert [job.job_id for job in restored.state.ledger.placed_on("w0", "incarnation-1")] == ["job"]
    assert restored.declarations == state_machine.declarations


def test_a_start_on_an_earlier_incarnation_of_a_worker_is_dropped():
    state_machine = state_machine_with_running_job()
    job = ttypes.SubmitJob("other", "team", "key-2", "plans", b"", False, "digest", "")
    apply(state_machine, submit_job=job)
    stale = ttypes.AttemptStart("other", 1, "w0", "incarnation-0")
    assert apply(state_machine, start_attempts=ttypes.StartAttempts([stale])) == []


def test_losing_a_worker_requeues_its_job_and_clears_its_owner():
    state_machine = state_machine_with_running_job()
    lost = ttypes.ChangeStanding("", "w0", ttypes.WorkerStanding.LOST, "incarnation-1")
    apply(state_machine, change_standing=lost)
    assert state_machine.state.ledger.by_id["job"].state is JobState.QUEUED
    assert state_machine.state.fleet.workers_by_id["w0"].owner_id == ""


def test_a_loss_reported_for_an_earlier_incarnation_changes_nothing():
    state_machine = state_machine_with_running_job()
    lost = ttypes.ChangeStanding("", "w0", ttypes.WorkerStanding.LOST, "incarnation-0")
    apply(state_machine, change_standing=lost)
    assert state_machine.state.ledger.by_id["job"].state is JobState.RUNNING


def test_a_job_of_an_undeclared_class_is_refused():
    state_machine = state_machine_with_running_job()
    job = ttypes.SubmitJob("x", "team", "key-3", "nothing", b"", False, "digest", "")
    assert apply(state_machine, submit_job=job).reason == "no_such_class"


# Guards against an attempt that the next owner has started and an earlier one says never ran.
@pytest.mark.parametrize("epoch", [0, 1, 2])
def test_an_attempt_is_not_run_only_if_the_newest_owner_says_so(epoch):
    state_machine = state_machine_with_running_job()
    assert state_machine.state.fleet.workers_by_id["w0"].epoch == 1
    key = ttypes.AttemptKey("job", 1, 0)
    not_run = ttypes.AttemptOutcome(
        key,
        ttypes.OutcomeKind.NOT_RUN,
        "unreachable",
        worker_id="w0",
        worker_incarnation="incarnation-1",
        epoch=epoch,
    )
    assert apply(state_machine, settle_attempts=ttypes.SettleAttempts([not_run])) == [epoch == 1]


def test_an_end_that_a_worker_listed_counts_under_any_epoch():
    state_machine = state_machine_with_running_job()
    key = ttypes.AttemptKey("job", 1, 0)
    finished = ttypes.AttemptOutcome(
        key,
        ttypes.OutcomeKind.FINISHED,
        "",
        result=b"r",
        worker_id="w0",
        worker_incarnation="incarnation-1",
        epoch=0,
    )
    assert apply(state_machine, settle_attempts=ttypes.SettleAttempts([finished])) == [True]


# Guards against replicas that differ after an update: each replays the log from its own snapshot.
def test_an_older_entry_with_another_incarnation_ends_the_one_before():
    state_machine = state_machine_with_running_job()
    restarted = state_machine.state.fleet.workers_by_id["w0"].announcement()
    restarted.incarnation = "incarnation-2"
    apply(state_machine, register_workers=ttypes.RegisterWorkers([restarted]))
    worker = state_machine.state.fleet.workers_by_id["w0"]
    assert state_machine.state.ledger.by_id["job"].state is JobState.QUEUED
    assert (worker.incarnation, worker.epoch, worker.owner_id) == ("incarnation-2", 2, "e0")
    assert worker.earlier_lives == {}


def test_an_older_entry_counts_the_epochs_of_each_worker_by_itself():
    state_machine = state_machine_with_running_job()
    fleet = state_machine.state.fleet
    other = fleet.workers_by_id["w0"].announcement()
    other.worker_id = "w1"
    apply(state_machine, register_workers=ttypes.RegisterWorkers([other]))
    owner = ttypes.Assignment("w1", "e0", "incarnation-1")
    apply(state_machine, assign_workers=ttypes.AssignWorkers([owner]))
    assert (fleet.workers_by_id["w1"].epoch, fleet.newest_epoch) == (1, 0)


def test_another_incarnation_keeps_the_attempts_of_the_one_before():
    state_machine = state_machine_with_running_job()
    restarted = state_machine.state.fleet.workers_by_id["w0"].announcement()
    restarted.incarnation = "incarnation-2"
    apply(state_machine, register_workers=ttypes.RegisterWorkers([restarted], True))
    worker = state_machine.state.fleet.workers_by_id["w0"]
    assert state_machine.state.ledger.by_id["job"].state is JobState.RUNNING
    assert (worker.epoch, worker.owner_id) == (2, "")
    assert list(worker.earlier_lives) == ["incarnation-1"]
