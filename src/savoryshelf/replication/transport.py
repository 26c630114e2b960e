"""Sends a replica's messages to the other members, with one green thread per address."""

import random
from collections import deque

import attrs
import eventlet
from eventlet.queue import Queue

from ..clock import SystemClock
from ..errors import PeerUnreachable
from ..observability.logs import log_event
from ..wire.generated import ControlService
from ..wire.generated.ttypes import RaftMessage
from ..wire.peers import PeerClient

MAX_QUEUED_MESSAGES = 1024
MAX_MESSAGES_PER_CALL = 64
RETRY_DELAY_SECONDS = 0.2

CONNECT_TIMEOUT_SECONDS = 0.25
"""An attempt that began while a host was gone is answered late, if at all; the next is at once.

Several times the round trip between regions.  The kernel repeats a lost attempt after 1 s only.
"""

MAX_RETRIED_AGE_SECONDS = 0.6
"""Age up to which a message is sent once more after an attempt to connect has failed.

It covers that attempt and the delay before the next one, and is below an election timeout, so
that a vote request reaches a host that has just come back.
"""


MAX_SILENCE_SECONDS = 2.0
"""Two election timeouts: a connection on which a host leaves a question unanswered is given up.

It may have gone silent for good while new ones work.  A host on a busy processor answers sooner.
"""


@attrs.frozen
class _QueuedMessage:
    queued_at: float
    message: RaftMessage


class PeerTransport:
    """Outgoing message queues by peer address.

    Raft tolerates lost messages.  A queue whose peer is unreachable, or that is full, therefore
    drops its oldest messages instead of blocking the replica.
    """

    def __init__(self, cluster_key: str):
        self._cluster_key = cluster_key
        self._clock = SystemClock()
        self._queue_by_address: dict[str, Queue] = {}
        self._senders: list = []

    def send(self, address: str, message: RaftMessage) -> None:
        """Queue a message for best-effort delivery."""
        queue = self._queue_by_address.get(address)
        if queue is None:
            queue = self._queue_by_address[address] = Queue()
            self._senders.append(eventlet.spawn(self._send_loop, address, queue))
        if queue.qsize() >= MAX_QUEUED_MESSAGES:
            queue.get_nowait()
        queue.put_nowait(_QueuedMessage(self._clock.monotonic(), message))

    def close(self) -> None:
        """Stop all sender threads; messages that are still queued are not sent."""
        for sender in self._senders:
            sender.kill()

    def _send_loop(self, address: str, queue: Queue) -> None:
        client = PeerClient(
            ControlService,
            address,
            self._cluster_key,
            "replication",
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
        )
        unsent: deque[_QueuedMessage] = deque()
        lost_at: float | None = None
        while True:
            if not unsent:
                unsent.append(queue.get())
            while len(unsent) < MAX_MESSAGES_PER_CALL and not queue.empty():
                unsent.append(queue.get_nowait())
            try:
                messages = [queued.message for queued in unsent]
                client.send("deliver", messages, max_silence=MAX_SILENCE_SECONDS)
                unsent.clear()
                if lost_at is not None:
                    seconds = round(self._clock.monotonic() - lost_at, 2)
                    log_event("peer:regained", address=address, seconds=seconds)
                    lost_at = None
            except Exception as error:
                if not isinstance(error, PeerUnreachable):
                    # Without this thread no message would reach the peer again.
                    log_event("peer:send_failed", address=address, why=repr(error))
                    unsent.clear()
                else:
                    if lost_at is None:
                        lost_at = self._clock.monotonic()
                        log_event(
                            "peer:lost", address=address, had_connection=error.sent, why=str(error)
                        )
                    if error.sent:
                        unsent.clear()
                eventlet.sleep(RETRY_DELAY_SECONDS * random.uniform(0.5, 1.5))
                self._drop_old(unsent, queue)

    def _drop_old(self, unsent: deque, queue: Queue) -> None:
        """Take all queued messages, and drop those that are too old or too many."""
        while not queue.empty():
            unsent.append(queue.get_nowait())
        oldest = self._clock.monotonic() - MAX_RETRIED_AGE_SECONDS
        while unsent and unsent[0].queued_at < oldest:
            unsent.popleft()
        while len(unsent) > MAX_MESSAGES_PER_CALL:
            unsent.popleft()
