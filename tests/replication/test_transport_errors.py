"""The sender of a replica's messages, with a client that fails in ways that no peer causes."""

import eventlet
import pytest

from savoryshelf.errors import PeerUnreachable
from savoryshelf.replication import transport
from savoryshelf.replication.transport import PeerTransport
from savoryshelf.wire.generated.ttypes import RaftMessage, Unauthenticated


class FailingOnceClient:
    error = None
    delivered = []

    def __init__(self, service, address, cluster_key, kind, connect_timeout):
        pass

    def send(self, method, batch, max_silence):
        error, FailingOnceClient.error = FailingOnceClient.error, None
        if error is not None:
            raise error
        self.delivered += batch


# Guards against a replica that never hears from this one again, though both processes go on: an
# error that is no PeerUnreachable ended the thread that sends to its address.
@pytest.mark.parametrize(
    "error",
    [
        PeerUnreachable("a:1", "timed out", sent=True),
        Unauthenticated(reason="wrong cluster key"),
        ValueError("invalid reply"),
    ],
)
def test_messages_are_sent_again_after_any_error(monkeypatch, error):
    monkeypatch.setattr(transport, "PeerClient", FailingOnceClient)
    monkeypatch.setattr(transport, "RETRY_DELAY_SECONDS", 0.01)
    monkeypatch.setattr(FailingOnceClient, "error", error)
    monkeypatch.setattr(FailingOnceClient, "delivered", [])
    sender = PeerTransport("key")
    sender.send("a:1", RaftMessage("a", "b", 1))
    eventlet.sleep(0.05)
    sender.send("a:1", RaftMessage("a", "b", 2))
    eventlet.sleep(0.05)
    sender.close()
    assert [message.term for message in FailingOnceClient.delivered] == [2]
