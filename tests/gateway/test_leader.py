import pytest

from savoryshelf.errors import PeerUnreachable
from savoryshelf.gateway import leader as module
from savoryshelf.gateway.leader import LeaderClient, NoAnswer
from savoryshelf.wire.generated import ttypes
from savoryshelf.wire.generated.ttypes import JobAnswer, JobAnswerKind, JobCall, JobVerb

CALL = JobCall(JobVerb.SUBMIT, "h.example", "/q/00000000000000a1", trace_id="t")
ACCEPTED = JobAnswer(JobAnswerKind.ACCEPTED)


class Clock:
    """Time that passes only in calls."""

    def __init__(self):
        self.now = 0.0

    def monotonic(self):
        return self.now


@pytest.fixture
def client(monkeypatch):
    made = LeaderClient(["a", "b"], "key", Clock())
    monkeypatch.setattr(module.eventlet, "sleep", lambda _: None)
    return made


def answer_by(client, monkeypatch, script):
    """Let each address answer as its function says; a try takes a tenth of a second."""
    asked = []

    def ask(address, method, *arguments):
        asked.append(address)
        client._clock.now += 0.1
        outcome = script[address]()
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    monkeypatch.setattr(client, "_ask", ask)
    return asked


def test_the_leader_is_followed_and_remembered(client, monkeypatch):
    not_leader = lambda: ttypes.NotLeader("c", "c")  # noqa: E731
    script = {"a": not_leader, "b": not_leader, "c": lambda: ACCEPTED}
    asked = answer_by(client, monkeypatch, script)
    assert client.call(CALL, 1.0) == ACCEPTED
    assert client.call(CALL, 1.0) == ACCEPTED
    assert asked[-2:] == ["c", "c"]
    assert client.is_ready


def test_not_run_is_said_only_if_no_try_can_have_arrived(client, monkeypatch):
    refused = lambda: PeerUnreachable("a", "refused", sent=False)  # noqa: E731
    answer_by(client, monkeypatch, {"a": refused, "b": refused})
    with pytest.raises(NoAnswer) as caught:
        client.call(CALL, 1.0)
    assert not caught.value.may_have_run


def test_one_try_that_may_have_arrived_leaves_the_outcome_unknown(client, monkeypatch):
    outcomes = iter([PeerUnreachable("a", "reset", sent=True)])
    later = ttypes.Unavailable("electing", False)
    script = dict.fromkeys("ab", lambda: next(outcomes, later))
    answer_by(client, monkeypatch, script)
    with pytest.raises(NoAnswer) as caught:
        client.call(CALL, 1.0)
    assert caught.value.may_have_run


def test_a_takeover_in_the_midst_of_a_request_gives_its_outcome(client, monkeypatch):
    outcomes = iter([PeerUnreachable("a", "reset", sent=True), ttypes.NotLeader("b", "b")])
    script = dict.fromkeys("ab", lambda: next(outcomes, ACCEPTED))
    answer_by(client, monkeypatch, script)
    assert client.call(CALL, 1.0) == ACCEPTED
