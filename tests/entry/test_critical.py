import eventlet
import pytest
from eventlet.event import Event

from savoryshelf.entry.critical import PEER_POLL_SECONDS
from savoryshelf.entry.targets import ResourceDemand
from savoryshelf.entry.worker_client import WorkerRefused, WorkerUnreachable, WorkerUnresponsive
from savoryshelf.errors import Certainty, RequestRefused
from savoryshelf.scheduling.quarantine import (
    EARLY_PROBE_INTERVAL_SECONDS,
    FAILURES_BEFORE_QUARANTINE,
    MAX_QUARANTINE_SECONDS,
)
from savoryshelf.wire.generated import ttypes
from savoryshelf.wire.generated.ttypes import EntryPeer, WorkerStanding
from tests.promises.fakes import let_green_threads_run

from .fakes import call_of, critical_path, owned

TWO_WORKERS = (owned("w0"), owned("w1"))


def expect_refusal(path, reason):
    """Serve a call, assert that it is refused for that reason, and return the refusal."""
    with pytest.raises(RequestRefused) as caught:
        path.serve(call_of(path))
    assert caught.value.reason == reason
    return caught.value


def test_an_answer_is_returned_unchanged():
    path, *_ = critical_path()
    answer = path.serve(call_of(path, b"\x00\xff"))
    assert (answer.status, answer.body, answer.attempts) == (200, b"answer to \x00\xff", 1)


def test_a_host_without_a_lease_refuses_as_not_run():
    path, clock, state, client = critical_path()
    clock.now += 7.0
    with pytest.raises(RequestRefused) as caught:
        call_of(path)
    assert (caught.value.reason, caught.value.certainty) == ("isolated", Certainty.NOT_RUN)


def test_a_request_that_waited_past_the_lease_is_not_dispatched():
    path, clock, state, client = critical_path()
    call = call_of(path)
    state.lease.release()
    with pytest.raises(RequestRefused, match="isolated"):
        path.serve(call)
    assert client.worker_ids == []


def test_a_retry_avoids_the_worker_that_refused():
    path, _, _, client = critical_path(WorkerRefused("w0", "guard"), workers=TWO_WORKERS)
    assert path.serve(call_of(path)).attempts == 2
    assert len(set(client.worker_ids)) == 2


def test_a_request_that_did_not_run_is_retried_without_budget():
    path, *_ = critical_path(WorkerUnreachable("w0"), workers=TWO_WORKERS)
    assert path.serve(call_of(path)).attempts == 2


def test_a_request_that_may_have_run_is_retried_only_within_the_budget():
    steps = [WorkerUnresponsive("w0")] * 30
    path, *_ = critical_path(*steps, workers=TWO_WORKERS, retry_budget=0.0)
    assert expect_refusal(path, "retry_budget_spent").certainty is Certainty.UNKNOWN


def test_a_refusal_after_an_attempt_that_may_have_run_says_unknown():
    def refuse_too_late():
        clock.now += 5.0
        state.lease.renew(clock.now, 6.0)
        raise WorkerRefused("w1", "guard")

    path, clock, state, _ = critical_path(
        WorkerUnresponsive("w0"), refuse_too_late, workers=TWO_WORKERS, retry_budget=1.0
    )
    assert expect_refusal(path, "too_late").certainty is Certainty.UNKNOWN


def test_a_server_error_of_a_worker_is_not_returned_as_an_answer():
    path, *_ = critical_path(500, 500, 500, workers=TWO_WORKERS, retry_budget=1.0)
    assert expect_refusal(path, "worker_failed").certainty is Certainty.UNKNOWN


def test_a_request_never_exceeds_the_slots_of_its_worker():
    path, clock, state, client = critical_path(workers=(owned("w0", slots=1),), max_waiting=0)
    target = state.targets.by_id["w0"]
    target.reserve("other", ResourceDemand(1, 1))
    assert expect_refusal(path, "overloaded").certainty is Certainty.NOT_RUN
    assert client.worker_ids == []


def test_a_request_never_exceeds_the_cores_of_its_worker():
    path, *_ = critical_path(workers=(owned("w0", cores=0.5),), max_waiting=0)
    expect_refusal(path, "overloaded")


def test_an_abandoned_request_is_counted_until_the_worker_reports_it_gone():
    path, clock, state, _ = critical_path(WorkerUnresponsive("w0"), workers=(owned("w0", slots=1),))
    expect_refusal(path, "retry_budget_spent")
    target = state.targets.by_id["w0"]
    assert target.outstanding == 1
    target.record_report(clock.now + 1.0, set())
    assert target.outstanding == 1, "it may still arrive at the worker"
    request_id = next(iter(target.abandoned_by_id))
    target.record_report(clock.now + 6.0, {request_id})
    assert target.outstanding == 1, "the worker reports that it is running"
    target.record_report(clock.now + 7.0, set())
    assert target.outstanding == 0


@pytest.mark.parametrize("standing", [WorkerStanding.DRAINED, WorkerStanding.LEAVING])
def test_a_drained_or_leaving_worker_gets_no_request(standing):
    path, *_ = critical_path(workers=(owned("w0", standing=standing),), max_waiting=0)
    expect_refusal(path, "overloaded")


def test_a_worker_that_reports_that_it_is_leaving_gets_no_request():
    path, _, state, _ = critical_path(max_waiting=0)
    state.targets.by_id["w0"].leaving = True
    expect_refusal(path, "overloaded")


def test_a_worker_that_stopped_reporting_gets_no_request():
    path, clock, state, _ = critical_path(max_waiting=0, report_interval_s=0.5)
    clock.now += 2.0
    expect_refusal(path, "overloaded")


def test_an_unknown_service_is_refused():
    path, *_ = critical_path()
    with pytest.raises(RequestRefused, match="no_such_service"):
        path.make_call("nothing", "team", "text/plain", b"", 0, "")


def test_a_caller_cannot_ask_for_more_time_than_the_service_has():
    path, clock, *_ = critical_path()
    call = path.make_call("quotes", "team", "text/plain", b"", 60_000, "")
    assert call.remaining_seconds(clock.now) == 1.0


def hanging(*events):
    """Return a step that waits for an event, like a hung worker."""
    return lambda: events[0].wait()


def test_a_hedged_attempt_starts_when_the_first_worker_hangs():
    hung = Event()
    steps = [hanging(hung)]
    path, *_, client = critical_path(*steps, workers=TWO_WORKERS, retry_budget=1.0)
    path._attempt_wait_seconds = lambda call, may_hedge: 0.01 if may_hedge else 5.0
    answer = path.serve(call_of(path))
    assert answer.body == b"answer to body"
    assert len(set(client.worker_ids)) == 2
    hung.send(None)


def test_a_slow_worker_may_still_answer_after_a_hedged_attempt():
    slow, fails = Event(), WorkerRefused("w1", "guard")
    path, *_, client = critical_path(hanging(slow), fails, workers=TWO_WORKERS, retry_budget=1.0)
    path._attempt_wait_seconds = lambda call, may_hedge: 0.01 if may_hedge else 5.0
    eventlet.spawn_after(0.05, slow.send, None)
    assert path.serve(call_of(path)).status == 200
    assert len(client.worker_ids) == 2


def test_no_hedged_attempt_starts_beyond_the_budget():
    slow = Event()
    path, *_, client = critical_path(hanging(slow), workers=TWO_WORKERS, retry_budget=0.0)
    path._attempt_wait_seconds = lambda call, may_hedge: 0.01 if may_hedge else 5.0
    eventlet.spawn_after(0.05, slow.send, None)
    assert path.serve(call_of(path)).attempts == 1
    assert len(client.worker_ids) == 1


def test_waiting_for_an_attempt_leaves_time_for_the_next():
    path, clock, *_ = critical_path()
    call = call_of(path)
    assert path._attempt_wait_seconds(call, may_hedge=True) < call.remaining_seconds(clock.now)
    assert path._attempt_wait_seconds(call, may_hedge=False) > call.remaining_seconds(clock.now)


def test_a_worker_whose_probe_was_refused_is_not_quarantined_forever():
    path, clock, state, _ = critical_path(WorkerRefused("w0", "guard"), max_waiting=0)
    quarantine_state = state.targets.by_id["w0"].quarantine
    for _ in range(FAILURES_BEFORE_QUARANTINE):
        quarantine_state.record_failure(clock.now - 60.0)
    assert path.serve(call_of(path)).attempts == 2
    assert not quarantine_state.is_probing
    assert not quarantine_state.is_quarantined(clock.now)


def test_a_probe_that_ends_with_an_unexpected_error_does_not_quarantine_a_worker_forever():
    """Guards against a probe without an outcome, which keeps its worker quarantined for good."""
    path, clock, state, _ = critical_path(ValueError("odd header"), max_waiting=0)
    target = state.targets.by_id["w0"]
    for _ in range(FAILURES_BEFORE_QUARANTINE):
        target.quarantine.record_failure(clock.now - 60.0)
    with eventlet.Timeout(5.0):
        refusal = expect_refusal(path, "retry_budget_spent")
    assert refusal.certainty is Certainty.UNKNOWN
    assert not target.quarantine.is_probing
    assert target.outstanding == 1, "the request may still arrive at the worker"
    clock.now += MAX_QUARANTINE_SECONDS
    assert not target.quarantine.is_quarantined(clock.now)


def test_requests_that_arrive_together_send_one_probe():
    """Guards against several probes of a worker that fails, since each of them may fail."""
    hung = Event()
    path, clock, state, client = critical_path(hanging(hung))
    for _ in range(FAILURES_BEFORE_QUARANTINE):
        state.targets.by_id["w0"].quarantine.record_failure(clock.now - 60.0)
    requests = [eventlet.spawn(path.serve, call_of(path)) for _ in range(2)]
    let_green_threads_run()
    assert len(client.worker_ids) == 1
    hung.send(None)
    assert [request.wait().status for request in requests] == [200, 200]


def quarantine(state, clock, *worker_ids):
    for worker_id in worker_ids:
        for _ in range(FAILURES_BEFORE_QUARANTINE):
            state.targets.by_id[worker_id].quarantine.record_failure(clock.now)


def test_a_quarantine_of_most_workers_that_can_run_a_request_is_ignored():
    """Guards against a share that counts workers which cannot run the request at all."""
    small = [owned(f"small{number}", cores=0.5) for number in range(6)]
    path, clock, state, client = critical_path(workers=(*TWO_WORKERS, *small), max_waiting=0)
    quarantine(state, clock, "w0", "w1")
    candidates = path._find_candidates(call_of(path), clock.now)
    assert sorted(target.worker_id for target in candidates) == ["w0", "w1"]
    assert path.serve(call_of(path)).status == 200


def test_a_quarantine_of_most_workers_that_get_work_is_ignored():
    """Guards against a share that counts workers which are drained or leaving."""
    drained = [owned(f"d{number}", standing=WorkerStanding.DRAINED) for number in range(6)]
    path, clock, state, client = critical_path(workers=(*TWO_WORKERS, *drained), max_waiting=0)
    quarantine(state, clock, "w0", "w1")
    assert path.serve(call_of(path)).status == 200


def test_workers_without_room_count_for_the_quarantined_share():
    """Guards against a quarantine that is ignored because the sound workers are busy."""
    busy = [owned(f"busy{number}", slots=1) for number in range(2)]
    path, clock, state, client = critical_path(workers=(*TWO_WORKERS, *busy), max_waiting=0)
    quarantine(state, clock, "w0", "w1")
    for number in range(2):
        state.targets.by_id[f"busy{number}"].reserve("other", ResourceDemand(1, 1))
    assert path._find_candidates(call_of(path), clock.now) == []


def test_the_only_worker_is_tried_although_it_is_quarantined():
    """Guards against refusals for up to a minute while the only worker is sound again."""
    path, clock, state, _ = critical_path(max_waiting=0)
    quarantine(state, clock, "w0")
    assert path.serve(call_of(path)).status == 200
    assert not state.targets.by_id["w0"].quarantine.is_quarantined(clock.now)


def test_the_only_worker_that_can_run_a_request_is_tried_although_it_is_quarantined():
    """Guards against refusals while workers that cannot run the request are sound."""
    small = [owned(f"small{number}", cores=0.5) for number in range(6)]
    path, clock, state, client = critical_path(workers=(owned("w0"), *small), max_waiting=0)
    quarantine(state, clock, "w0")
    assert path.serve(call_of(path)).status == 200
    assert client.worker_ids == ["w0"]


def test_a_quarantined_worker_gets_no_request_that_another_worker_can_run():
    workers = [owned(f"w{number}", slots=4) for number in range(3)]
    path, clock, state, client = critical_path(workers=workers, max_waiting=0)
    quarantine(state, clock, "w0")
    for _ in range(10):
        path.serve(call_of(path))
        clock.now += 0.1
    assert "w0" not in client.worker_ids


def test_a_request_is_spilled_rather_than_sent_to_a_quarantined_worker():
    path, clock, state, _ = critical_path(max_waiting=0)
    quarantine(state, clock, "w0")
    state.peers = [EntryPeer("e1", "127.0.0.1:1", 5)]
    call = call_of(path)
    assert path._admit(call) is None
    call.may_spill = False
    assert path._admit(call).worker_id == "w0"


def test_a_quarantined_worker_that_fails_is_tried_at_a_bounded_pace():
    """Guards against a worker that fails getting every request that only it can run."""
    path, clock, state, client = critical_path(500, 500, max_waiting=0)
    quarantine(state, clock, "w0")
    expect_refusal(path, "retry_budget_spent")
    for _ in range(3):
        expect_refusal(path, "overloaded")
    clock.now += EARLY_PROBE_INTERVAL_SECONDS
    expect_refusal(path, "retry_budget_spent")
    assert client.worker_ids == ["w0", "w0"]
    clock.now += EARLY_PROBE_INTERVAL_SECONDS
    assert path.serve(call_of(path)).status == 200


def test_a_request_waits_for_busy_workers_before_it_probes_a_quarantined_one():
    """Guards against a request without an end of its wait, and against one wasted too soon."""
    path, clock, state, client = critical_path(
        workers=(*TWO_WORKERS, owned("w2", slots=2)), max_waiting=1
    )
    quarantine(state, clock, "w0")
    for name in ("w1", "w2"):
        state.targets.by_id[name].reserve("first", ResourceDemand(1, 1))
        state.targets.by_id[name].reserve("second", ResourceDemand(1, 1))
    request = eventlet.spawn(path.serve, call_of(path))
    let_green_threads_run()
    assert client.worker_ids == []
    clock.now += PEER_POLL_SECONDS
    path.wake_queued()
    with eventlet.Timeout(5.0):
        assert request.wait().worker_id == "w0"


def test_a_call_takes_no_busy_moment_of_an_earlier_wait_for_its_own():
    path, clock, state, _ = critical_path(workers=(*TWO_WORKERS, owned("w2")), max_waiting=0)
    quarantine(state, clock, "w0")
    for name in ("w1", "w2"):
        state.targets.by_id[name].reserve("first", ResourceDemand(1, 1))
        state.targets.by_id[name].reserve("second", ResourceDemand(1, 1))
    expect_refusal(path, "overloaded")
    clock.now += PEER_POLL_SECONDS
    expect_refusal(path, "overloaded")


@pytest.mark.parametrize("workers", [(owned("small", cores=0.5),), (owned("w0", slots=0),)])
def test_a_spilled_request_that_no_worker_could_ever_run_is_returned_at_once(workers):
    """Guards against a request that spends its time on a host which can never run it."""
    path, clock, *_ = critical_path(workers=workers)
    request = ttypes.CriticalRequest("quotes", "team", "text/plain", b"", 1000, "id", "task@/1")
    with eventlet.Timeout(1.0), pytest.raises(ttypes.Refused) as caught:
        path.serve_spilled(request)
    assert caught.value.reason == "no_suitable_worker"


def test_a_request_from_a_caller_waits_for_a_worker_that_could_run_it():
    path, clock, state, _ = critical_path(workers=(owned("w0", cores=0.5),))
    request = eventlet.spawn(path.serve, call_of(path))
    let_green_threads_run()
    state.targets.by_id["w0"].worker.cores = 16.0
    path.wake_queued()
    with eventlet.Timeout(5.0):
        assert request.wait().status == 200


def test_a_spilled_request_is_returned_rather_than_wait_for_a_quarantined_worker():
    """Guards against requests that wait on another host while their own has a worker again."""
    path, clock, state, client = critical_path(500)
    quarantine(state, clock, "w0")
    request = ttypes.CriticalRequest("quotes", "team", "text/plain", b"", 1000, "id", "task@/1")
    with pytest.raises(ttypes.Unavailable):
        path.serve_spilled(request)
    with eventlet.Timeout(1.0), pytest.raises(ttypes.Refused) as caught:
        path.serve_spilled(request)
    assert caught.value.reason == "no_suitable_worker"
    assert client.worker_ids == ["w0"]


def test_an_early_probe_never_exceeds_the_slots_of_its_worker():
    path, clock, state, client = critical_path(max_waiting=0)
    quarantine(state, clock, "w0")
    for name in ("first", "second"):
        state.targets.by_id["w0"].reserve(name, ResourceDemand(1, 1))
    expect_refusal(path, "overloaded")
    assert client.worker_ids == []
