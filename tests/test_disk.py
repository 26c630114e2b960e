import os

from savoryshelf.disk import LocalDisk


def test_sync_reaches_the_files_and_the_folder(tmp_path, monkeypatch):
    (tmp_path / "a").write_bytes(b"1")
    (tmp_path / "b").write_bytes(b"2")
    synced, fsync = [], os.fsync

    def record(descriptor):
        synced.append(os.path.basename(os.readlink(f"/proc/self/fd/{descriptor}")))
        fsync(descriptor)

    monkeypatch.setattr(os, "fsync", record)
    LocalDisk(str(tmp_path)).sync(["a"])
    assert synced == ["a", tmp_path.name]
