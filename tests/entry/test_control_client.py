import pytest

from savoryshelf.entry.control_client import ControlClient
from savoryshelf.errors import ControlUnavailable, PeerUnreachable, RefusedByControl
from savoryshelf.observability.logs import request_action
from savoryshelf.wire.generated import ttypes


def client_answering(*steps, retry_seconds=0.0):
    """Return a client of three control hosts; each call returns or raises the next step."""
    client = ControlClient({"c0": "a0", "c1": "a1", "c2": "a2"}, "a-cluster-key-of-tests")
    remaining = list(steps)
    client.asked = []

    class Pool:
        def __init__(self, address):
            self.address = address

        def call(self, method, *arguments, timeout):
            client.asked.append(self.address)
            step = remaining.pop(0)
            if isinstance(step, Exception):
                raise step
            return step

    client._pool = Pool
    return client


# The settings have an address for c2, but none for c9.
@pytest.mark.parametrize(
    ("hint", "asked"),
    [(ttypes.NotLeader("b2", "c2"), "a2"), (ttypes.NotLeader("b9", "c9"), "b9")],
)
def test_the_leader_named_by_a_follower_is_called_at_its_address_in_the_settings(hint, asked):
    client = client_answering(hint, "answer")
    assert client.call("view", retry_seconds=5.0) == "answer"
    assert client.asked[1] == asked


def test_a_refusal_passes_through_a_logged_action():
    # A thrift exception would fail here: it is immutable, so a context manager cannot set its
    # traceback.
    client = client_answering(ttypes.Refused("key_reused", "detail"))
    with pytest.raises(RefusedByControl, match="key_reused"), request_action("test"):
        client.call("submit")


def test_a_call_that_may_have_arrived_is_not_sent_again_unless_idempotent():
    lost = PeerUnreachable("c0", "reset", sent=True)
    client = client_answering(lost, "answer")
    with pytest.raises(ControlUnavailable) as caught:
        client.call("remove_replica", idempotent=False, retry_seconds=5.0)
    assert caught.value.outcome_unknown
    assert len(client.asked) == 1


def test_an_idempotent_call_is_sent_again():
    client = client_answering(PeerUnreachable("c0", "reset", sent=True), "answer")
    assert client.call("submit", retry_seconds=5.0) == "answer"


def test_a_call_that_was_not_sent_has_a_known_outcome():
    client = client_answering(PeerUnreachable("c0", "refused", sent=False))
    with pytest.raises(ControlUnavailable) as caught:
        client.call("submit", retry_seconds=-1.0)
    assert not caught.value.outcome_unknown
