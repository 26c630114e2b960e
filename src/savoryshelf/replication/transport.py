"""Sends a replica's messages to the other members, with one green thread per address."""

import random

import eventlet
from eventlet.queue import Full, Queue

from ..errors import PeerUnreachable
from ..wire.generated import ControlService
from ..wire.generated.ttypes import RaftMessage
from ..wire.peers import PeerClient

MAX_QUEUED_MESSAGES = 1024
MAX_MESSAGES_PER_CALL = 64
RETRY_DELAY_SECONDS = 0.2


class PeerTransport:
    """Outgoing message queues by peer address.

    Raft tolerates lost messages.  A queue whose peer is unreachable, or that
    is full, therefore drops messages instead of blocking the replica.
    """

    def __init__(self, cluster_key: str):
        self._cluster_key = cluster_key
        self._queue_by_address: dict[str, Queue] = {}
        self._senders: list = []

    def send(self, address: str, message: RaftMessage) -> None:
        """Queue a message for best-effort delivery."""
        queue = self._queue_by_address.get(address)
        if queue is None:
            queue = self._queue_by_address[address] = Queue(MAX_QUEUED_MESSAGES)
            self._senders.append(eventlet.spawn(self._send_loop, address, queue))
        try:
            queue.put_nowait(message)
        except Full:
            return

    def close(self) -> None:
        """Stop all sender threads; messages that are still queued are not sent."""
        for sender in self._senders:
            sender.kill()

    def _send_loop(self, address: str, queue: Queue) -> None:
        client = PeerClient(ControlService, address, self._cluster_key, "replication")
        while True:
            batch = [queue.get()]
            while len(batch) < MAX_MESSAGES_PER_CALL and not queue.empty():
                batch.append(queue.get_nowait())
            try:
                client.call("deliver", batch)
            except PeerUnreachable:
                self._drop_all(queue)
                eventlet.sleep(RETRY_DELAY_SECONDS * random.uniform(0.5, 1.5))

    @staticmethod
    def _drop_all(queue: Queue) -> None:
        while not queue.empty():
            queue.get_nowait()
