"""What a host that asks to join tells of the disks that its host had before."""

from ..wire.generated.ttypes import Member
from ..wire.peers import PeerHandler


class JoinHandler(PeerHandler):
    """Base of the handlers of control hosts; ``host`` has the ``replica`` of this process.

    Messages to a lost disk may wait behind a connection that carries nothing any more, until that
    is given up.  A request to join comes on a new one.
    """

    def __init__(self, cluster_key: str, host):
        super().__init__(cluster_key)
        self._host = host
        self._known_ids: list[str] = []
        """The members when the connection's nonce was sent: whoever returns its proof is later."""

    def hello(self) -> bytes:
        """Return the nonce of this connection."""
        if self._host.replica is not None:
            self._known_ids = self._host.replica.member_ids()
        return super().hello()

    def record_lost_disks(self, successor: Member) -> None:
        """Take note that the earlier disks of the host that asks to join are lost."""
        if self._known_ids:
            self._host.replica.record_successor(successor.replica_id, self._known_ids)
