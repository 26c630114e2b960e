import errno
import os
import subprocess
import sys
import time

import eventlet
import pytest

from savoryshelf.disk import REFUSAL_RETRY_SECONDS, LocalDisk
from savoryshelf.errors import DiskFailed
from savoryshelf.observability import metrics


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


@pytest.fixture
def refusing(monkeypatch):
    """Let every write fail after its first three bytes; return a call that ends this."""
    write = os.write

    def refuse(descriptor, data):
        if not os.readlink(f"/proc/self/fd/{descriptor}").endswith(("/a", "/a.tmp")):
            return write(descriptor, data)
        if len(data) > 3:
            return write(descriptor, data[:3])
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(os, "write", refuse)
    return lambda: monkeypatch.setattr(os, "write", write)


# Guards against a control host that ends whenever its disk refuses writes for a moment.
def test_an_append_that_is_refused_is_repeated_whole(tmp_path, refusing):
    disk = LocalDisk(str(tmp_path))
    before = metrics.DISK_REFUSALS._value.get()
    eventlet.spawn_after(0.3, refusing)
    began_at = time.monotonic()
    disk.append("a", b"record")
    assert time.monotonic() - began_at >= 0.3
    disk.append("a", b"next")
    assert disk.read("a") == b"recordnext"
    assert metrics.DISK_REFUSALS._value.get() > before


def test_a_disk_that_refuses_a_write_is_at_it_until_it_accepts(tmp_path, refusing):
    disk = LocalDisk(str(tmp_path))
    refusals = metrics.DISK_REFUSALS._value.get()
    writing = eventlet.spawn(disk.append, "a", b"record")
    with eventlet.Timeout(5.0):
        while metrics.DISK_REFUSALS._value.get() == refusals:
            eventlet.sleep(0.01)
        refused_at = time.monotonic()
        # Each attempt in between tells only its own time.
        least = told = 0.0
        while told <= 2 * REFUSAL_RETRY_SECONDS or told < least:
            eventlet.sleep(0.01)
            least = time.monotonic() - refused_at
            told = disk.write_in_progress_seconds()
    refusing()
    writing.wait()
    assert disk.write_in_progress_seconds() == 0.0


# Guards against a stuck write that counts as a slow one for good, since it was refused before.
def test_a_call_whose_end_is_not_told_after_a_refusal_is_at_no_write(tmp_path):
    disk = LocalDisk(str(tmp_path))
    disk._refused_since = time.monotonic() - 1.0
    assert disk.write_in_progress_seconds() == 0.0


def test_a_record_that_was_torn_by_a_refusal_is_taken_back(tmp_path, refusing):
    disk = LocalDisk(str(tmp_path))
    with eventlet.Timeout(0.25, False):
        disk.append("a", b"record")
    assert disk.read("a") == b""


@pytest.mark.parametrize("function", ["open", "replace"])
def test_a_replacement_that_is_refused_is_repeated(tmp_path, monkeypatch, function):
    disk = LocalDisk(str(tmp_path))
    disk.append("a", b"old")
    original, refusals = getattr(os, function), []

    def refuse(path, *arguments):
        if len(refusals) < 2 and str(path).endswith("a.tmp"):
            refusals.append(path)
            raise OSError(errno.EDQUOT, "Disk quota exceeded")
        return original(path, *arguments)

    monkeypatch.setattr(os, function, refuse)
    disk.replace("a", b"new")
    assert len(refusals) == 2
    assert disk.read("a") == b"new"


# Guards against acknowledging what a sync has not written: a second one may succeed without it.
@pytest.mark.parametrize("number", [errno.EIO, errno.ENOSPC])
@pytest.mark.parametrize(("operation", "sync"), [("append", "fdatasync"), ("replace", "fsync")])
def test_a_failed_sync_is_not_repeated(tmp_path, monkeypatch, operation, sync, number):
    def fail(descriptor):
        raise OSError(number, os.strerror(number))

    monkeypatch.setattr(os, sync, fail)
    with pytest.raises(DiskFailed, match=operation):
        getattr(LocalDisk(str(tmp_path)), operation)("a", b"record")


def test_an_error_of_the_disk_is_not_a_refusal(tmp_path, monkeypatch):
    def fail(descriptor, data):
        raise OSError(errno.EIO, "Input/output error")

    monkeypatch.setattr(os, "write", fail)
    with pytest.raises(DiskFailed, match="append"):
        LocalDisk(str(tmp_path)).append("a", b"record")


# Guards against a control host that never votes again once its TCP connections were reset: its
# replica waited for good for a write that had ended.
def test_writes_return_after_all_connections_of_the_process_were_reset(tmp_path):
    program = (
        "import os, socket, sys\n"
        "import eventlet\n"
        "eventlet.monkey_patch()\n"
        "from savoryshelf.disk import LocalDisk\n"
        "disk = LocalDisk(sys.argv[1])\n"
        "disk.append('log', b'before')\n"
        "for descriptor in os.listdir('/proc/self/fd'):\n"
        "    try:\n"
        "        connection = socket.socket(fileno=os.dup(int(descriptor)))\n"
        "        if connection.family == socket.AF_INET:\n"
        "            connection.shutdown(socket.SHUT_RDWR)\n"
        "    except OSError:\n"
        "        continue\n"
        "with eventlet.Timeout(10.0):\n"
        "    disk.append('log', b' after')\n"
        "print(disk.read('log').decode())\n"
    )
    result = subprocess.run(
        [sys.executable, "-W", "ignore", "-c", program, str(tmp_path)],
        capture_output=True, text=True, timeout=30,
    )  # fmt: skip
    assert result.stdout.strip() == "before after", result.stderr
