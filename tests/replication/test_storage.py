import pytest

from savoryshelf.errors import CorruptLog
from savoryshelf.replication.storage import ReplicaStorage, encode_frame
from savoryshelf.wire import codec
from savoryshelf.wire.generated.ttypes import (
    EntryKind,
    LogEntry,
    Membership,
    SnapshotFile,
    WalRecord,
)

from .group import MemoryDisk

SEGMENT = "segment-000000000000"


def entry(index, term=1, payload=b"x"):
    return LogEntry(index, term, EntryKind.COMMAND, payload)


def disk_with_records(*records):
    disk = MemoryDisk()
    storage = ReplicaStorage(disk)
    for record in records:
        storage.write(record)
    return disk


def test_written_records_are_recovered():
    disk = disk_with_records(WalRecord(3, "c0.a", [entry(1), entry(2)]))
    recovered = ReplicaStorage(disk).recover()
    assert (recovered.term, recovered.voted_for) == (3, "c0.a")
    assert [e.index for e in recovered.entries] == [1, 2]


def test_a_torn_last_write_is_truncated():
    disk = disk_with_records(WalRecord(1, "", [entry(1)]), WalRecord(1, "", [entry(2)]))
    disk.truncate(SEGMENT, len(disk.read(SEGMENT)) - 3)
    assert [e.index for e in ReplicaStorage(disk).recover().entries] == [1]
    storage = ReplicaStorage(disk)
    storage.recover()
    storage.write(WalRecord(1, "", [entry(2)]))
    assert [e.index for e in ReplicaStorage(disk).recover().entries] == [1, 2]


def test_corruption_before_the_last_record_raises_corrupt_log():
    disk = disk_with_records(WalRecord(1, "", [entry(1)]), WalRecord(1, "", [entry(2)]))
    data = bytearray(disk.read(SEGMENT))
    # A byte in the payload of the first record, whose frame header takes 12 bytes.
    data[14] ^= 0xFF
    disk.replace(SEGMENT, bytes(data))
    with pytest.raises(CorruptLog, match=SEGMENT):
        ReplicaStorage(disk).recover()


def test_a_corrupt_snapshot_raises_corrupt_log():
    disk = MemoryDisk()
    storage = ReplicaStorage(disk)
    storage.write_snapshot(SnapshotFile(1, 1, Membership([]), b"state"), 1, "", [])
    disk.replace("snapshot", disk.read("snapshot")[:-1])
    with pytest.raises(CorruptLog, match="snapshot"):
        ReplicaStorage(disk).recover()


def test_an_overwritten_entry_also_removes_the_entries_after_it():
    disk = disk_with_records(
        WalRecord(1, "", [entry(1), entry(2), entry(3)]), WalRecord(2, "", [entry(2, term=2)])
    )
    recovered = ReplicaStorage(disk).recover()
    assert [(e.index, e.term) for e in recovered.entries] == [(1, 1), (2, 2)]


def test_each_empty_disk_gets_its_own_replica_id():
    first = ReplicaStorage(MemoryDisk()).load_or_create_identity("c0").replica_id
    second = ReplicaStorage(MemoryDisk()).load_or_create_identity("c0").replica_id
    assert first != second
    assert first.startswith("c0.")


def test_old_segments_are_removed_after_a_snapshot_is_written():
    disk = disk_with_records(WalRecord(1, "", [entry(1), entry(2)]))
    storage = ReplicaStorage(disk)
    storage.recover()
    storage.write_snapshot(SnapshotFile(1, 1, Membership([]), b"s"), 1, "c0.a", [entry(2)])
    assert SEGMENT not in disk.list_files()
    recovered = ReplicaStorage(disk).recover()
    assert recovered.voted_for == "c0.a"
    assert [e.index for e in recovered.entries] == [2]


class UnsyncedDisk(MemoryDisk):
    """A data folder of a process that is killed, and whose host loses power later.

    The next process finds what the killed one wrote; a power loss keeps what was synced.
    """

    def __init__(self):
        super().__init__()
        self._synced_content_by_name = {}
        self._synced_names = set()

    def append(self, name, data):
        is_new = name not in self.content_by_name
        super().append(name, data)
        self._synced_content_by_name[name] = self.read(name)
        if is_new:
            self._synced_names = set(self.content_by_name)

    def replace(self, name, data):
        super().replace(name, data)
        self._synced_content_by_name[name] = data
        self._synced_names = set(self.content_by_name)

    def sync(self, names):
        for name in names:
            self._synced_content_by_name[name] = self.read(name)
        self._synced_names = set(self.content_by_name)

    def append_unsynced(self, name, data):
        super().append(name, data)

    def replace_without_folder(self, name, data):
        super().replace(name, data)
        self._synced_content_by_name[name] = data

    def lose_power(self):
        self.content_by_name = {n: self._synced_content_by_name[n] for n in self._synced_names}


# Guards against a process that acknowledges what a killed one had written but not synced: a power
# loss took it back, or left it torn before later records, and the host could not start again.
def test_what_a_process_recovered_is_still_there_after_a_power_loss():
    disk = UnsyncedDisk()
    ReplicaStorage(disk).write(WalRecord(1, "", [entry(1)]))
    disk.append_unsynced(SEGMENT, encode_frame(codec.encode(WalRecord(1, "", [entry(2)]))))
    assert [e.index for e in ReplicaStorage(disk).recover().entries] == [1, 2]
    disk.lose_power()
    assert [e.index for e in ReplicaStorage(disk).recover().entries] == [1, 2]


# Guards against records that are synced in a file whose name is not.
def test_records_in_a_segment_that_a_killed_process_had_just_named_survive_a_power_loss():
    disk = UnsyncedDisk()
    ReplicaStorage(disk).write(WalRecord(1, "", [entry(1)]))
    later = encode_frame(codec.encode(WalRecord(1, "", [entry(1)])))
    disk.replace_without_folder("segment-000000000001", later)
    storage = ReplicaStorage(disk)
    storage.recover()
    storage.write(WalRecord(1, "", [entry(2)]))
    disk.lose_power()
    assert [e.index for e in ReplicaStorage(disk).recover().entries] == [1, 2]
