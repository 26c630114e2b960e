"""Persists a replica's state in a data folder and recovers it at start.

The folder holds ``identity``, with the replica id and the initial membership;
``snapshot``, which is replaced as a whole; and ``segment-N`` files, which form
the write-ahead log.  A frame is a magic number, a length, a checksum and a
payload.  ``identity`` and ``snapshot`` are one frame each; a segment is a
sequence of frames, each with one ``WalRecord``.

Each record is synced before the next one is written.  An invalid frame at the
very end is therefore a torn write that was never acknowledged, and is
truncated.  An invalid frame with a valid one after it belongs to an
acknowledged write, so recovery raises CorruptLog.
"""

import secrets
import struct
import zlib

from ..disk import Disk
from ..errors import CorruptLog
from ..wire import codec
from ..wire.generated.ttypes import (
    DiskIdentity,
    LogEntry,
    Membership,
    SnapshotFile,
    WalRecord,
)
from .types import RecoveredState

_HEADER = struct.Struct("<4sII")
_MAGIC = b"SSW1"
_IDENTITY_FILE = "identity"
_SNAPSHOT_FILE = "snapshot"
_SEGMENT_PREFIX = "segment-"
_IDENTITY_SUFFIX_BYTES = 4


def encode_frame(payload: bytes) -> bytes:
    """Return the payload with the header of a frame: magic number, length and checksum."""
    return _HEADER.pack(_MAGIC, len(payload), zlib.crc32(payload)) + payload


def _decode_frame(data: bytes, offset: int) -> bytes | None:
    """Return the payload of the frame at ``offset``, or None if the frame is not valid."""
    if len(data) - offset < _HEADER.size:
        return None
    magic, length, checksum = _HEADER.unpack_from(data, offset)
    payload = data[offset + _HEADER.size : offset + _HEADER.size + length]
    is_valid = magic == _MAGIC and len(payload) == length and zlib.crc32(payload) == checksum
    return payload if is_valid else None


def _has_valid_frame_after(data: bytes, offset: int) -> bool:
    """Return whether any valid frame starts after ``offset``."""
    position = data.find(_MAGIC, offset + 1)
    while position >= 0:
        if _decode_frame(data, position) is not None:
            return True
        position = data.find(_MAGIC, position + 1)
    return False


class ReplicaStorage:
    """The persistent state of one replica."""

    def __init__(self, disk: Disk):
        self._disk = disk
        self._segment_number = 0
        self.bytes_written = 0

    def write_in_progress_seconds(self) -> float | None:
        """Return for how long the disk has been at a write, 0 if at none; None if it can't tell."""
        measure = getattr(self._disk, "write_in_progress_seconds", None)
        return None if measure is None else measure()

    def load_or_create_identity(
        self, host_name: str, suffix: str = "", initial_membership: Membership | None = None
    ) -> DiskIdentity:
        """Return the identity of this disk; an empty disk gets a new one.

        ``initial_membership`` is that of the group, if it is decided already; it is stored with
        a new identity.

        The replica id is the host name and a random suffix.  ``suffix``
        replaces the random one where other hosts must be able to derive the id.

        The id belongs to the disk, not to the host, because a host that lost
        its disk must not count as the replica that held the data.
        """
        if _IDENTITY_FILE in self._disk.list_files():
            return self._read_file(_IDENTITY_FILE, DiskIdentity)
        suffix = suffix or secrets.token_hex(_IDENTITY_SUFFIX_BYTES)
        identity = DiskIdentity(f"{host_name}.{suffix}", initial_membership)
        self._replace_file(_IDENTITY_FILE, identity)
        return identity

    def save_initial_membership(
        self, identity: DiskIdentity, initial_membership: Membership
    ) -> None:
        """Persist the initial membership of the group once it is decided."""
        identity.genesis = initial_membership
        self._replace_file(_IDENTITY_FILE, identity)

    def recover(self) -> RecoveredState:
        """Return the persisted state, synced, after truncating a torn last write.

        Raises CorruptLog if an acknowledged write cannot be read.
        """
        recovered = RecoveredState()
        names = self._disk.list_files()
        if _SNAPSHOT_FILE in names:
            recovered.snapshot = self._read_file(_SNAPSHOT_FILE, SnapshotFile)
        # Names with a dot are temporary files of a replacement that a crash interrupted.
        segments = sorted(n for n in names if n.startswith(_SEGMENT_PREFIX) and "." not in n)
        entry_by_index: dict[int, LogEntry] = {}
        for name in segments:
            self._replay_segment(name, name == segments[-1], recovered, entry_by_index)
        recovered.entries = self._contiguous_entries(recovered.snapshot, entry_by_index, segments)
        if segments:
            self._segment_number = int(segments[-1].removeprefix(_SEGMENT_PREFIX))
        # A process that was killed may not have synced its last record or rename; this replica
        # will acknowledge what was read.
        self._disk.sync(segments[-1:])
        return recovered

    def write(self, record: WalRecord) -> None:
        """Append one record, with the hard state and new entries, and sync it."""
        data = encode_frame(codec.encode(record))
        self._disk.append(self._segment_name(), data)
        self.bytes_written += len(data)

    def write_snapshot(
        self, snapshot: SnapshotFile, term: int, voted_for: str, later_entries: list[LogEntry],
        commit_index: int = 0,
    ) -> None:  # fmt: skip
        """Replace the snapshot, then the segments by one with ``later_entries``.

        The old segments are removed last: until the new segment is synced,
        they alone hold the hard state and the entries after the snapshot.
        """
        self._replace_file(_SNAPSHOT_FILE, snapshot)
        old_segments = [n for n in self._disk.list_files() if n.startswith(_SEGMENT_PREFIX)]
        self._segment_number += 1
        record = WalRecord(term, voted_for, later_entries, commit_index)
        self._disk.replace(self._segment_name(), encode_frame(codec.encode(record)))
        for name in old_segments:
            self._disk.remove(name)

    def _segment_name(self) -> str:
        return f"{_SEGMENT_PREFIX}{self._segment_number:012d}"

    def _replay_segment(
        self, name: str, is_last: bool, recovered: RecoveredState, entry_by_index: dict
    ) -> None:
        data = self._disk.read(name)
        offset = 0
        while offset < len(data):
            payload = _decode_frame(data, offset)
            if payload is None:
                if not is_last or _has_valid_frame_after(data, offset):
                    raise CorruptLog(name, offset)
                self._disk.truncate(name, offset)
                return
            self._replay_record(codec.decode(WalRecord, payload), recovered, entry_by_index)
            offset += _HEADER.size + len(payload)

    @staticmethod
    def _replay_record(record: WalRecord, recovered: RecoveredState, entry_by_index: dict) -> None:
        recovered.term, recovered.voted_for = record.term, record.voted_for
        recovered.commit_index = max(recovered.commit_index, record.commit_index or 0)
        for entry in record.entries:
            if entry.index in entry_by_index:
                # A later leader overwrote this entry and removed all entries after it.
                for index in [i for i in entry_by_index if i >= entry.index]:
                    del entry_by_index[index]
            entry_by_index[entry.index] = entry

    @staticmethod
    def _contiguous_entries(snapshot, entry_by_index: dict, segments: list[str]) -> list[LogEntry]:
        base = snapshot.last_index if snapshot else 0
        entries = [entry_by_index[index] for index in sorted(entry_by_index) if index > base]
        for expected, entry in enumerate(entries, start=base + 1):
            if entry.index != expected:
                raise CorruptLog(segments[-1], 0)
        return entries

    def _read_file(self, name: str, message_type):
        payload = _decode_frame(self._disk.read(name), 0)
        if payload is None:
            raise CorruptLog(name, 0)
        return codec.decode(message_type, payload)

    def _replace_file(self, name: str, message) -> None:
        data = encode_frame(codec.encode(message))
        self._disk.replace(name, data)
        self.bytes_written += len(data)
