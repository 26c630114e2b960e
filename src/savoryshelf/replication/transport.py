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
from ..wire.generated.ttypes import RaftMessage, RaftPayload
from ..wire.peers import PeerClient

MAX_QUEUED_MESSAGES = 1024
MAX_MESSAGES_PER_CALL = 64
MAX_BULK_BYTES_PER_CALL = 256 * 1024
"""Limit on the payload bytes of one call; a single larger message is sent alone.

The other host reads a call as a whole, and nothing else is sent until it is written.
"""

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

MAX_BULK_AGE_SECONDS = 0.25
"""Age up to which entries and parts of snapshots are sent that waited behind a slow call.

A leader repeats them with its heartbeats, so what is older has mostly been queued again.
"""

MAX_SILENCE_SECONDS = 2.0
"""Two election timeouts: a connection that carries nothing for so long is given up.

It may have gone silent for good while new ones work.  A host on a busy processor answers sooner.
A slow connection is kept: see ``PeerClient.send``.
"""


@attrs.frozen
class _QueuedMessage:
    queued_at: float
    message: RaftMessage


@attrs.define(eq=False)
class _Sender:
    """The queue of one address, and what its green thread is at; times are monotonic."""

    client: PeerClient
    queue: Queue = attrs.field(factory=Queue)
    unsent: deque[_QueuedMessage] = attrs.field(factory=deque)
    call_began_at: float | None = None
    sent_at: float | None = None
    lost_at: float | None = None

    def describe(self, now: float) -> dict:
        """Return the state for a log line; ages are in seconds."""
        ages = {
            "calling_s": self.call_began_at,
            "sent_s": self.sent_at,
            "lost_s": self.lost_at,
        }
        state = {key: round(now - at, 2) for key, at in ages.items() if at is not None}
        queued = self.queue.qsize() + len(self.unsent)
        return {"connected": self.client.is_open, "queued": queued, **state}


def _is_bulk(payload: RaftPayload | None) -> bool:
    if payload is None:
        return False
    request = payload.append_request
    return payload.snapshot_chunk is not None or bool(request and request.entries)


def _bulk_bytes(payload: RaftPayload | None) -> int:
    if not _is_bulk(payload):
        return 0
    if payload.snapshot_chunk is not None:
        return len(payload.snapshot_chunk.data)
    return sum(len(entry.payload) for entry in payload.append_request.entries)


def _leading_messages(unsent: deque[_QueuedMessage]) -> list[RaftMessage]:
    """Return the first messages with no more payload than one call may have, or the first alone."""
    leading, size = [], 0
    for queued in unsent:
        size += _bulk_bytes(queued.message.payload)
        if leading and size > MAX_BULK_BYTES_PER_CALL:
            break
        leading.append(queued.message)
    return leading


class PeerTransport:
    """Outgoing message queues by peer address.

    Raft tolerates lost messages.  A queue whose peer is unreachable, or that is full, therefore
    drops its oldest messages instead of blocking the replica.
    """

    def __init__(self, cluster_key: str):
        self._cluster_key = cluster_key
        self._clock = SystemClock()
        self._sender_by_address: dict[str, _Sender] = {}
        self._threads: list = []

    def send(self, address: str, message: RaftMessage) -> None:
        """Queue a message for best-effort delivery."""
        sender = self._sender_by_address.get(address)
        if sender is None:
            sender = self._sender_by_address[address] = _Sender(self._make_client(address))
            self._threads.append(eventlet.spawn(self._send_loop, address, sender))
        queue = sender.queue
        if queue.qsize() >= MAX_QUEUED_MESSAGES:
            queue.get_nowait()
        queue.put_nowait(_QueuedMessage(self._clock.monotonic(), message))

    def close(self) -> None:
        """Stop all sender threads; messages that are still queued are not sent."""
        for thread in self._threads:
            thread.kill()

    def sender_state(self, address: str) -> dict:
        """Return what the sender to an address is at, for a log line.

        ``calling_s`` is how long its present call, with the connection, has been in progress,
        ``sent_s`` the time since the last one that was sent, which is not answered, and
        ``lost_s`` the time since the first one that failed after it.
        """
        sender = self._sender_by_address.get(address)
        return {} if sender is None else sender.describe(self._clock.monotonic())

    def _make_client(self, address: str) -> PeerClient:
        return PeerClient(
            ControlService,
            address,
            self._cluster_key,
            "replication",
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
        )

    def _send_loop(self, address: str, sender: _Sender) -> None:
        client, queue, unsent = sender.client, sender.queue, sender.unsent
        while True:
            if not unsent:
                unsent.append(queue.get())
            sender.call_began_at = self._clock.monotonic()
            try:
                if sender.call_began_at - unsent[0].queued_at > MAX_RETRIED_AGE_SECONDS:
                    # It waited behind a slow call, or several shorter ones.
                    self._drop_old_bulk(unsent, queue)
                while len(unsent) < MAX_MESSAGES_PER_CALL and not queue.empty():
                    unsent.append(queue.get_nowait())
                messages = _leading_messages(unsent)
                client.send("deliver", messages, max_silence=MAX_SILENCE_SECONDS)
                for _ in messages:
                    unsent.popleft()
                sender.call_began_at, sender.sent_at = None, self._clock.monotonic()
                if sender.lost_at is not None:
                    seconds = round(sender.sent_at - sender.lost_at, 2)
                    log_event("peer:regained", address=address, seconds=seconds)
                    sender.lost_at = None
            except Exception as error:
                sender.call_began_at = None
                if not isinstance(error, PeerUnreachable):
                    # Without this thread no message would reach the peer again.
                    log_event("peer:send_failed", address=address, why=repr(error))
                    unsent.clear()
                else:
                    if sender.lost_at is None:
                        sender.lost_at = self._clock.monotonic()
                        log_event(
                            "peer:lost", address=address, had_connection=error.sent, why=str(error)
                        )
                    if error.sent:
                        for _ in messages:
                            unsent.popleft()
                eventlet.sleep(RETRY_DELAY_SECONDS * random.uniform(0.5, 1.5))
                self._drop_old(unsent, queue)

    def _drop_old_bulk(self, unsent: deque, queue: Queue) -> None:
        """Drop entries and parts of snapshots that became old behind slow calls, but the first.

        The leader repeats what is still missing; votes and heartbeats would wait behind it.
        """
        oldest = self._clock.monotonic() - MAX_BULK_AGE_SECONDS
        first, *others = unsent
        unsent.clear()
        unsent.append(first)
        others += [queue.get_nowait() for _ in range(queue.qsize())]
        for queued in others:
            if queued.queued_at >= oldest or not _is_bulk(queued.message.payload):
                queue.put_nowait(queued)

    def _drop_old(self, unsent: deque, queue: Queue) -> None:
        """Take all queued messages, and drop those that are too old or too many."""
        while not queue.empty():
            unsent.append(queue.get_nowait())
        oldest = self._clock.monotonic() - MAX_RETRIED_AGE_SECONDS
        while unsent and unsent[0].queued_at < oldest:
            unsent.popleft()
        while len(unsent) > MAX_MESSAGES_PER_CALL:
            unsent.popleft()
