"""Transfer of a snapshot to a member, in chunks of which several are on the way at once."""

from ..wire.generated.ttypes import SnapshotChunk, SnapshotFile, SnapshotReply
from .leader_state import Progress
from .send_window import MAX_WINDOW_BYTES, log_position

SNAPSHOT_CHUNK_BYTES = 128 * 1024


def begin_transfer(progress: Progress, snapshot: SnapshotFile) -> None:
    """Begin to send a snapshot to a member, and the entries after it behind its last chunk.

    A transfer goes on with the snapshot that it began with, even if the leader has taken a newer
    one since.
    """
    progress.snapshot, progress.snapshot_offset, progress.sent_offset = snapshot, 0, 0
    progress.has_sent_last, progress.recovers_until, progress.offset_round = False, 0, 0
    progress.next_index = snapshot.last_index + 1
    progress.streams_entries = True
    progress.window.forget()


def end_transfer(progress: Progress) -> None:
    """Record that the member holds the snapshot."""
    progress.snapshot = None


def chunk_at(snapshot: SnapshotFile, offset: int, sent_round: int) -> SnapshotChunk:
    """Return the chunk of a snapshot that begins at an offset."""
    data = snapshot.state[offset : offset + SNAPSHOT_CHUNK_BYTES]
    is_last = offset + len(data) >= len(snapshot.state)
    return SnapshotChunk(
        snapshot.last_index,
        snapshot.last_term,
        snapshot.membership,
        offset,
        data,
        is_last,
        sent_round,
    )


def go_back(progress: Progress) -> None:
    """Send again from the first chunk on that the member has not acknowledged."""
    progress.sent_offset, progress.has_sent_last = progress.snapshot_offset, False
    progress.recovers_until = 0
    progress.window.restart()


def record_reply(progress: Progress, reply: SnapshotReply, now: float) -> bool:
    """Record what the member holds; return whether the chunk that follows was lost.

    Chunks arrive in the order in which they were sent.  So a reply that acknowledges no more than
    the one before it is to a chunk behind one that was lost.
    """
    held = progress.snapshot_offset
    if reply.next_offset < held:
        if reply.round > progress.offset_round:
            # The member was restarted, and what it had received is lost.
            progress.snapshot_offset, progress.offset_round = reply.next_offset, reply.round
            go_back(progress)
        return False
    if reply.next_offset > held:
        progress.snapshot_offset, progress.offset_round = reply.next_offset, reply.round
        if reply.next_offset > progress.sent_offset:
            # It holds chunks that were to be sent again.
            progress.sent_offset = reply.next_offset
        progress.window.record_answer((reply.last_index, reply.next_offset), now)
        return reply.next_offset < progress.recovers_until
    return _begin_recovery(progress, now)


def record_rejection_behind(progress: Progress, now: float) -> bool:
    """Record that entries behind the snapshot were rejected; return as ``record_reply`` does."""
    last_index = progress.snapshot.last_index
    progress.streams_entries, progress.next_index = False, last_index + 1
    progress.window.forget(after=log_position(last_index))
    return _begin_recovery(progress, now)


def _begin_recovery(progress: Progress, now: float) -> bool:
    held = progress.snapshot_offset
    if held < progress.recovers_until or held >= progress.sent_offset:
        return False
    progress.recovers_until = progress.sent_offset
    progress.window.shrink(now)
    return True


class IncomingSnapshot:
    """Assembles a snapshot from chunks that may be lost, repeated and out of order."""

    def __init__(self):
        self._begin(("", 0), 0)

    def _begin(self, source: tuple[str, int], last_index: int) -> None:
        self._source, self._last_index = source, last_index
        self._data = bytearray()
        self._data_by_offset: dict[int, bytes] = {}
        """Chunks behind a gap."""

        self._size: int | None = None

    @property
    def next_offset(self) -> int:
        """Return the offset in bytes up to which no chunk is missing."""
        return len(self._data)

    def add(self, chunk: SnapshotChunk, sender: str, term: int) -> SnapshotFile | None:
        """Add a chunk from the leader of a term; return the snapshot if it is complete, else None.

        A chunk of a later snapshot or of another leader restarts the assembly: the same state
        need not be the same bytes there.
        """
        if (sender, term) != self._source or chunk.last_index > self._last_index:
            self._begin((sender, term), chunk.last_index)
        if chunk.last_index < self._last_index:
            return None
        if chunk.done:
            self._size = chunk.offset + len(chunk.data)
        if self.next_offset < chunk.offset <= self.next_offset + MAX_WINDOW_BYTES:
            self._data_by_offset[chunk.offset] = chunk.data
        elif chunk.offset == self.next_offset:
            self._data += chunk.data
            while (data := self._data_by_offset.pop(self.next_offset, None)) is not None:
                self._data += data
        if self.next_offset != self._size:
            return None
        state = bytes(self._data)
        self._begin(("", 0), 0)
        return SnapshotFile(chunk.last_index, chunk.last_term, chunk.membership, state)
