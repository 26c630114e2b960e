"""How a snapshot crosses to a member, in chunks that each wait for an answer."""

from ..wire.generated.ttypes import SnapshotChunk, SnapshotFile
from .leader_state import Progress

SNAPSHOT_CHUNK_BYTES = 128 * 1024


def next_chunk(progress: Progress, latest: SnapshotFile, sent_round: int) -> SnapshotChunk:
    """Return the chunk that the member needs next.

    A transfer goes on with the snapshot it began with, though the leader may
    have made a newer one meanwhile.
    """
    if progress.snapshot is None:
        progress.snapshot, progress.snapshot_offset = latest, 0
    snapshot, offset = progress.snapshot, progress.snapshot_offset
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


class IncomingSnapshot:
    """The chunks which have come so far."""

    def __init__(self):
        self._data = bytearray()
        self._last_index = 0

    @property
    def next_offset(self) -> int:
        """Return where the next chunk must begin."""
        return len(self._data)

    def add(self, chunk: SnapshotChunk) -> SnapshotFile | None:
        """Take a chunk; return the snapshot if it is whole now.

        A chunk of another snapshot, or the first one again, starts over; one
        that leaves a gap or repeats is passed over.
        """
        if chunk.last_index != self._last_index or chunk.offset == 0:
            self._data, self._last_index = bytearray(), chunk.last_index
        if chunk.offset != len(self._data):
            return None
        self._data += chunk.data
        if not chunk.done:
            return None
        state, self._data, self._last_index = bytes(self._data), bytearray(), 0
        return SnapshotFile(chunk.last_index, chunk.last_term, chunk.membership, state)
