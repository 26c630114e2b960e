import socket

import pytest

from savoryshelf.clock import SystemClock
from savoryshelf.errors import PeerUnreachable
from savoryshelf.gateway import leader as module
from savoryshelf.gateway.leader import LeaderClient, LeaderUnavailable
from savoryshelf.wire import codec
from savoryshelf.wire.generated import ttypes
from savoryshelf.wire.generated.ttypes import JobAnswer, JobAnswerKind, JobCall, JobVerb

from ..loop_time import counting_process_time

CALL = JobCall(JobVerb.SUBMIT, "h.example", "/q/00000000000000a1", trace_id="t")
ACCEPTED = JobAnswer(JobAnswerKind.ACCEPTED)


class FakeClock:
    """A clock that advances only when a call is made."""

    def __init__(self):
        self.now = 0.0

    def monotonic(self):
        return self.now


@pytest.fixture
def suspended_address():
    """The address of a suspended process: the kernel accepts, and nothing answers."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        yield "{}:{}".format(*listener.getsockname())


@pytest.fixture
def client(monkeypatch):
    leader_client = LeaderClient(["a", "b"], "key", FakeClock())
    monkeypatch.setattr(module.eventlet, "sleep", lambda _: None)
    return leader_client


def script_answers(client, monkeypatch, outcome_by_address):
    """Answer calls with the outcome scripted for the address; a call attempt takes 0.1 s."""
    called_addresses = []

    def answer_call(address, method, *arguments):
        called_addresses.append(address)
        client._clock.now += 0.1
        outcome = outcome_by_address[address]()
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    monkeypatch.setattr(client, "_ask", answer_call)
    return called_addresses


def test_the_client_follows_the_leader_hint_and_reuses_the_address(client, monkeypatch):
    not_leader = lambda: ttypes.NotLeader("c", "c")  # noqa: E731
    outcome_by_address = {"a": not_leader, "b": not_leader, "c": lambda: ACCEPTED}
    called_addresses = script_answers(client, monkeypatch, outcome_by_address)
    assert client.call(CALL, 1.0) == ACCEPTED
    assert client.call(CALL, 1.0) == ACCEPTED
    assert called_addresses[-2:] == ["c", "c"]
    assert client.is_ready


def test_the_outcome_is_known_if_no_request_was_sent(client, monkeypatch):
    connection_refused = lambda: PeerUnreachable("a", "refused", sent=False)  # noqa: E731
    script_answers(client, monkeypatch, {"a": connection_refused, "b": connection_refused})
    with pytest.raises(LeaderUnavailable) as caught:
        client.call(CALL, 1.0)
    assert not caught.value.outcome_unknown


def test_one_call_attempt_that_was_sent_leaves_the_outcome_unknown(client, monkeypatch):
    outcomes = iter([PeerUnreachable("a", "reset", sent=True)])
    unavailable = ttypes.Unavailable("electing", False)
    outcome_by_address = dict.fromkeys("ab", lambda: next(outcomes, unavailable))
    script_answers(client, monkeypatch, outcome_by_address)
    with pytest.raises(LeaderUnavailable) as caught:
        client.call(CALL, 1.0)
    assert caught.value.outcome_unknown


def test_a_leader_change_during_a_call_still_returns_the_outcome(client, monkeypatch):
    outcomes = iter([PeerUnreachable("a", "reset", sent=True), ttypes.NotLeader("b", "b")])
    outcome_by_address = dict.fromkeys("ab", lambda: next(outcomes, ACCEPTED))
    script_answers(client, monkeypatch, outcome_by_address)
    assert client.call(CALL, 1.0) == ACCEPTED


# Guards against a "not run" that is not true: the first attempt may still arrive, and be accepted.
@pytest.mark.parametrize(("sent", "is_unknown"), [(True, True), (False, False)])
def test_a_refusal_after_an_attempt_that_may_arrive_is_no_certain_one(
    client, monkeypatch, sent, is_unknown
):
    refused = JobAnswer(JobAnswerKind.REFUSED, retry_after_ms=5000, reason="no room")
    outcomes = iter([PeerUnreachable("a", "reset", sent=sent)])
    script_answers(client, monkeypatch, dict.fromkeys("ab", lambda: next(outcomes, refused)))
    if not is_unknown:
        assert client.call(CALL, 1.0) == refused
        return
    with pytest.raises(LeaderUnavailable) as caught:
        client.call(CALL, 1.0)
    assert caught.value.outcome_unknown


# The group knows of the cancel, so no attempt before it was accepted, and none after it is.
def test_a_job_that_was_cancelled_before_it_came_has_not_run_whatever_attempts_were_lost(
    client, monkeypatch
):
    cancelled = JobAnswer(JobAnswerKind.CANCELLED, reason="not run: cancelled")
    outcomes = iter([PeerUnreachable("a", "reset", sent=True)])
    script_answers(client, monkeypatch, dict.fromkeys("ab", lambda: next(outcomes, cancelled)))
    assert client.call(CALL, 1.0) == cancelled


# Guards against a "no such queue" for work that runs: its first attempt was accepted before the
# queue was dropped.  Reads change nothing, so what they are told is certain.
@pytest.mark.parametrize(
    ("verb", "is_unknown"), [(JobVerb.SUBMIT, True), (JobVerb.COUNT, False), (JobVerb.READ, False)]
)
def test_no_queue_after_an_attempt_that_may_have_arrived_is_certain_only_of_reads(
    client, monkeypatch, verb, is_unknown
):
    # As it arrives: without the type of its kind.
    no_queue = codec.decode(JobAnswer, codec.encode(JobAnswer(JobAnswerKind.NO_QUEUE)))
    outcomes = iter([PeerUnreachable("a", "reset", sent=True)])
    script_answers(client, monkeypatch, dict.fromkeys("ab", lambda: next(outcomes, no_queue)))
    call = JobCall(verb, CALL.host, CALL.path, trace_id="t")
    if not is_unknown:
        assert client.call(call, 1.0) == no_queue
        return
    with pytest.raises(LeaderUnavailable) as caught:
        client.call(call, 1.0)
    assert caught.value.outcome_unknown


# Guards against a process that is killed while it still waits for the leader.
def test_a_call_in_progress_ends_at_the_stop_with_an_unknown_outcome(client, monkeypatch):
    timed_out = lambda: PeerUnreachable("a", "timed out", sent=True)  # noqa: E731
    called_addresses = script_answers(client, monkeypatch, {"a": timed_out, "b": timed_out})
    client.stop_after(0.35)
    with pytest.raises(LeaderUnavailable) as caught:
        client.call(CALL, 60.0)
    assert caught.value.outcome_unknown
    assert len(called_addresses) == 4


@pytest.mark.parametrize(("stop_seconds", "call_seconds"), [(60.0, 0.3), (0.3, 60.0), (1.2, 60.0)])
def test_a_call_to_a_suspended_control_host_ends_in_time(
    suspended_address, stop_seconds, call_seconds
):
    client = LeaderClient([suspended_address], "key", SystemClock())
    client.stop_after(stop_seconds)
    with counting_process_time() as counted, pytest.raises(LeaderUnavailable) as caught:
        client.call(CALL, call_seconds)
    assert not caught.value.outcome_unknown
    assert counted.seconds > 0.2 * min(stop_seconds, call_seconds)
    assert counted.seconds < min(stop_seconds, call_seconds) + 0.2
