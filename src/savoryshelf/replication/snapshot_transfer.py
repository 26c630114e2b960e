"""Transfer of a snapshot to a member, one acknowledged chunk at a time."""

from ..wire.generated.ttypes import SnapshotChunk, SnapshotFile
from .leader_state import Progress

SNAPSHOT_CHUNK_BYTES = 128 * 1024


def next_chunk(progress: Progress, latest: SnapshotFile, sent_round: int) -> SnapshotChunk:
    """Return the next chunk to send to the member.

    A transfer continues with the snapshot that it started with, even if the
    leader has taken a newer one since.
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
    """Assembles a snapshot from the chunks received so far."""

    def __init__(self):
        self._data = bytearray()
        self._last_index = 0

    @property
    def next_offset(self) -> int:
        """Return the offset in bytes at which the next chunk must start."""
        return len(self._data)

    def add(self, chunk: SnapshotChunk) -> SnapshotFile | None:
        """Add a chunk; return the snapshot if it is now complete, else None.

        A chunk of another snapshot, or a repeated first chunk, restarts the
        assembly.  Any other chunk that leaves a gap or repeats is ignored.
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
