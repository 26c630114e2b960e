"""The interface to a data folder; written data is synced before the call returns."""

import contextlib
import errno
import os
import time
from typing import Protocol

import eventlet

from .errors import DiskFailed
from .native_thread import NativeThread
from .observability import metrics
from .observability.logs import log_event

REFUSED_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT})
"""Errors of a disk that takes no bytes for now, and has lost none that it took."""

REFUSAL_RETRY_SECONDS = 0.1
"""Pause between attempts to write to a disk that refuses bytes."""


class Disk(Protocol):
    """A flat folder of files."""

    def list_files(self) -> list[str]:
        """Return the names of the files in the folder."""

    def read(self, name: str) -> bytes:
        """Return the whole content of a file."""

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, creating it if needed; sync the file, and the folder if it is new."""

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file's content atomically, so a crash leaves the old or the new content."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes and sync it."""

    def sync(self, names: list[str]) -> None:
        """Sync these files and the folder, after a process that was killed in a write."""


class LocalDisk:
    """A folder in a local file system.

    Writes run in a native thread, since a slow disk would otherwise block
    every green thread, including the one that sends heartbeats.  A write that
    is refused for lack of space is repeated until the disk takes it, as if the
    disk were slow; any other failure raises DiskFailed.
    """

    def __init__(self, folder: str):
        self._folder = folder
        os.makedirs(folder, exist_ok=True)
        self._open_name: str | None = None
        self._open_fd = -1
        self._thread = NativeThread("disk")
        self._refused_since: float | None = None
        self._is_pausing = False
        """Whether the next attempt at a write that was refused is waited for."""

        self.seconds = 0.0
        """Time that writes and syncs took in the native thread."""

    def write_in_progress_seconds(self) -> float:
        """Return for how long the disk has been at a write, or refuses it; 0 if it is at none."""
        if self._is_pausing:
            return time.monotonic() - self._refused_since
        return self._thread.running_seconds()

    def list_files(self) -> list[str]:
        """Return the names of the files in the folder."""
        return sorted(os.listdir(self._folder))

    def read(self, name: str) -> bytes:
        """Return the whole content of a file."""
        with open(self._path(name), "rb") as file:
            return file.read()

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, creating it if needed; sync the file, and the folder if it is new."""
        self._run_in_native_thread("append", self._append, name, data)

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file's content atomically, so a crash leaves the old or the new content."""
        self._run_in_native_thread("replace", self._replace, name, data)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._run_in_native_thread("remove", self._remove, name)

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes and sync it."""
        self._run_in_native_thread("truncate", self._truncate, name, size)

    def sync(self, names: list[str]) -> None:
        """Sync these files and the folder, after a process that was killed in a write."""
        self._run_in_native_thread("sync", self._sync, names)

    def _run_in_native_thread(self, operation: str, function, *arguments) -> None:
        try:
            while True:
                try:
                    self._thread.run(self._timed, function, *arguments)
                    break
                except _Refused as error:
                    if self._refused_since is None:
                        self._refused_since = time.monotonic()
                        log_event("disk:refuses", operation=operation, why=str(error))
                except OSError as error:
                    raise DiskFailed(operation, error) from error
                metrics.DISK_REFUSALS.inc()
                self._is_pausing = True
                eventlet.sleep(REFUSAL_RETRY_SECONDS)
                self._is_pausing = False
            if self._refused_since is not None:
                seconds = round(time.monotonic() - self._refused_since, 2)
                log_event("disk:accepts", operation=operation, seconds=seconds)
        finally:
            self._refused_since, self._is_pausing = None, False

    def _timed(self, function, *arguments) -> None:
        began_at = time.monotonic()
        try:
            function(*arguments)
        finally:
            self.seconds += time.monotonic() - began_at

    def _path(self, name: str) -> str:
        return os.path.join(self._folder, name)

    def _append(self, name: str, data: bytes) -> None:
        if name != self._open_name:
            self._close()
            is_new = not os.path.exists(self._path(name))
            self._open_fd = _open(self._path(name), os.O_APPEND)
            self._open_name = name
            if is_new:
                self._sync_folder()
        size = os.fstat(self._open_fd).st_size
        try:
            _write(self._open_fd, data)
        except _Refused:
            # What was taken of this record would come twice.
            os.ftruncate(self._open_fd, size)
            raise
        # What a failed sync has left on the disk is not known, so that is not repeated.
        os.fdatasync(self._open_fd)

    def _replace(self, name: str, data: bytes) -> None:
        if name == self._open_name:
            self._close()
        temporary = self._path(name + ".tmp")
        descriptor = _open(temporary, os.O_TRUNC)
        try:
            _write(descriptor, data)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        with _refusable():
            os.replace(temporary, self._path(name))
        self._sync_folder()

    def _remove(self, name: str) -> None:
        if name == self._open_name:
            self._close()
        os.remove(self._path(name))

    def _truncate(self, name: str, size: int) -> None:
        with open(self._path(name), "r+b") as file:
            file.truncate(size)
            os.fsync(file.fileno())

    def _sync(self, names: list[str]) -> None:
        for name in names:
            with open(self._path(name), "rb") as file:
                os.fsync(file.fileno())
        self._sync_folder()

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def _close(self) -> None:
        if self._open_fd >= 0:
            os.close(self._open_fd)
        self._open_fd, self._open_name = -1, None


class _Refused(Exception):
    """The disk takes no bytes for now; nothing was changed."""


@contextlib.contextmanager
def _refusable():
    """Turn the errors of a disk that takes no bytes into _Refused."""
    try:
        yield
    except OSError as error:
        if error.errno in REFUSED_ERRNOS:
            raise _Refused(str(error)) from error
        raise


def _open(path: str, flags: int) -> int:
    with _refusable():
        return os.open(path, os.O_WRONLY | os.O_CREAT | flags)


def _write(descriptor: int, data: bytes) -> None:
    with _refusable():
        while data:
            data = data[os.write(descriptor, data) :]
