import pytest

from savoryshelf.ledger.state import JobState, Ledger
from savoryshelf.outcomes import Accepted, Refusal
from savoryshelf.wire.generated.ttypes import (
    AttemptKey,
    AttemptOutcome,
    AttemptStart,
    OutcomeKind,
    SubmitJob,
)


def submission(digest="d", class_name="plans"):
    return SubmitJob("job", "team", "key", class_name, b"body", False, digest)


def outcome(kind, attempt=1, **details):
    return AttemptOutcome(AttemptKey("job", attempt, 0), kind, "reason", **details)


def ledger_with_job(repeatable=True, running=True, max_failures=3):
    ledger = Ledger()
    ledger.submit(submission(), repeatable, max_failures, 0)
    if running:
        assert ledger.start(AttemptStart("job", 1, "w0", "incarnation-1"), 1)
    return ledger, ledger.by_id["job"]


def test_a_resent_job_is_a_duplicate():
    ledger, _ = ledger_with_job()
    assert ledger.submit(submission(), True, 3, 5) == Accepted(duplicate=True)


@pytest.mark.parametrize("other", [{"digest": "e"}, {"class_name": "orders"}])
def test_a_key_used_for_another_request_is_refused(other):
    ledger, _ = ledger_with_job()
    refusal = ledger.submit(submission(**other), True, 3, 5)
    assert isinstance(refusal, Refusal)
    assert refusal.reason == "key_reused"


def test_a_running_job_cannot_be_started_again():
    ledger, job = ledger_with_job()
    assert not ledger.start(AttemptStart("job", 2, "w1", "incarnation-1"), 2)
    assert job.worker_id == "w0"


def test_a_start_that_skips_an_attempt_is_rejected():
    ledger, _ = ledger_with_job(running=False)
    assert not ledger.start(AttemptStart("job", 2, "w0", "incarnation-1"), 1)


def test_a_late_outcome_of_an_earlier_attempt_changes_nothing():
    ledger, job = ledger_with_job()
    ledger.settle(outcome(OutcomeKind.EVICTED, checkpoint_id="c1"), 2)
    ledger.start(AttemptStart("job", 2, "w1", "incarnation-1"), 3)
    assert not ledger.settle(outcome(OutcomeKind.FINISHED, result=b"old"), 4)
    assert job.state is JobState.RUNNING


# Guards against ends that one incarnation of a worker takes from another one.
@pytest.mark.parametrize("incarnation", [("w0", "incarnation-2"), ("w1", "incarnation-1")])
@pytest.mark.parametrize("kind", OutcomeKind)
def test_an_outcome_from_another_incarnation_than_that_of_the_attempt_changes_nothing(
    incarnation, kind
):
    ledger, job = ledger_with_job()
    other = outcome(kind, worker_id=incarnation[0], worker_incarnation=incarnation[1])
    assert not ledger.settle(other, 2)
    assert job.state is JobState.RUNNING
    own = outcome(kind, worker_id="w0", worker_incarnation="incarnation-1")
    assert ledger.settle(own, 3)


def test_an_evicted_job_is_queued_again_with_its_checkpoint():
    ledger, job = ledger_with_job()
    ledger.settle(outcome(OutcomeKind.EVICTED, checkpoint_id="c1"), 2)
    assert (job.state, job.checkpoint_id, job.evictions) == (JobState.QUEUED, "c1", 1)
    assert ledger.queued() == [job]


def test_a_repeatable_job_is_queued_again_when_its_attempt_is_lost():
    ledger, job = ledger_with_job()
    assert ledger.settle_lost_worker("w0", "incarnation-1", 2) == 1
    assert job.state is JobState.QUEUED


def test_an_unrepeatable_job_is_unknown_until_its_lost_attempt_reports_an_outcome():
    ledger, job = ledger_with_job(repeatable=False)
    ledger.settle_lost_worker("w0", "incarnation-1", 2)
    assert job.state is JobState.UNKNOWN
    assert not ledger.start(AttemptStart("job", 2, "w1", "incarnation-1"), 3)
    ledger.settle(outcome(OutcomeKind.FINISHED, result=b"r"), 4)
    assert (job.state, job.result) == (JobState.DONE, b"r")


def test_an_unknown_job_that_did_not_run_is_queued_again_with_its_body():
    ledger, job = ledger_with_job(repeatable=False)
    ledger.settle_lost_worker("w0", "incarnation-1", 2)
    ledger.settle(outcome(OutcomeKind.NOT_RUN), 3)
    assert (job.state, job.body) == (JobState.QUEUED, b"body")


def test_losing_another_incarnation_of_the_worker_settles_nothing():
    ledger, job = ledger_with_job()
    assert ledger.settle_lost_worker("w0", "incarnation-0", 2) == 0
    assert job.state is JobState.RUNNING


def test_a_job_fails_at_its_maximum_number_of_failures():
    ledger, job = ledger_with_job(max_failures=2)
    ledger.settle(outcome(OutcomeKind.FAILED), 2)
    assert job.state is JobState.QUEUED
    ledger.start(AttemptStart("job", 2, "w0", "incarnation-1"), 3)
    ledger.settle(outcome(OutcomeKind.FAILED, attempt=2), 4)
    assert job.state is JobState.FAILED


def test_an_unrepeatable_job_fails_with_its_first_failure():
    ledger, job = ledger_with_job(repeatable=False)
    ledger.settle(outcome(OutcomeKind.FAILED), 2)
    assert job.state is JobState.FAILED


def test_a_result_that_races_a_cancellation_counts():
    ledger, job = ledger_with_job()
    ledger.cancel("job", 2)
    ledger.settle(outcome(OutcomeKind.FINISHED, result=b"r"), 3)
    assert job.state is JobState.DONE


@pytest.mark.parametrize(
    "kind",
    [OutcomeKind.STOPPED, OutcomeKind.EVICTED, OutcomeKind.FAILED, OutcomeKind.NOT_RUN],
)
def test_a_cancelled_job_never_runs_again(kind):
    ledger, job = ledger_with_job()
    ledger.cancel("job", 2)
    ledger.settle(outcome(kind), 3)
    assert job.state is JobState.CANCELLED
    assert ledger.cancel("job", 4) == Accepted(duplicate=True)


def test_the_key_of_an_expired_record_can_be_used_again():
    ledger, _ = ledger_with_job()
    ledger.settle(outcome(OutcomeKind.FINISHED), 2)
    assert ledger.expire(3) == 1
    assert ledger.submit(submission(digest="e"), True, 3, 9) == Accepted()


def test_the_event_history_of_a_job_is_bounded():
    ledger, job = ledger_with_job(max_failures=20)
    for attempt in range(1, 200):
        ledger.settle(outcome(OutcomeKind.NOT_RUN, attempt=attempt), attempt)
        ledger.start(AttemptStart("job", attempt + 1, "w0", "incarnation-1"), attempt)
    assert len(job.story) <= 61
    assert job.story[0].event == "accepted"
