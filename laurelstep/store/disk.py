"""A store's file operations, behind a narrow protocol so that tests can inject faults."""

from __future__ import annotations

import contextlib
import fcntl
import os
from collections import OrderedDict
from pathlib import Path
from typing import Final, Protocol

from laurelstep.errors import LaurelstepError
from laurelstep.store.manifest import LOCK

# Maximum number of open files; others are reopened when they are used.
MAX_OPEN_FILES: Final = 16


class StoreError(LaurelstepError):
    """The store can't be used; the message gives the reason on one line."""

    cause = "a store can't be opened or read: another process has it, or its disk or files fail"
    remedy = "use one folder for each copy; else check the disk, then run `laurelstep store verify PATH`"


class Disk(Protocol):
    """The files of one folder. All methods may block and raise the system's OSError. Offsets and sizes are in
    bytes.
    """

    def lock(self) -> None:
        """Lock the folder until `close`. Raises StoreError if another process has locked it."""

    def files(self) -> dict[str, int]:
        """Return the size of each file by its name."""

    def read(self, name: str, offset: int = 0, size: int | None = None) -> bytes:
        """Read at most `size` bytes from `offset` on, or up to the file's end if `size` is None."""

    def create(self, name: str, data: bytes) -> None:
        """Create or replace a file and sync its content. Its name is durable only after `sync_folder`."""

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Write all of `data` at `offset`. It is durable only after `sync`."""

    def sync(self, name: str) -> None:
        """Make all data written to a file durable."""

    def truncate(self, name: str, size: int) -> None:
        """Shorten a file and sync it."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file of the new name. Durable only after `sync_folder`."""

    def sync_folder(self) -> None:
        """Make the file names in the folder durable."""

    def delete(self, name: str) -> None:
        """Delete a file if it exists."""

    def close(self) -> None:
        """Close all files and unlock the folder."""


class FolderDisk:
    """A `Disk` on real files. `lock` creates a missing folder; without `write` nothing is changed."""

    def __init__(self, folder: str | os.PathLike[str], write: bool = True) -> None:
        self.folder = Path(folder)
        self._may_write = write
        self._open_files: OrderedDict[str, int] = OrderedDict()  # by name, the most recently used last
        self._lock_fd = -1

    def lock(self) -> None:
        """See `Disk`."""
        if self._may_write:
            self.folder.mkdir(parents=True, exist_ok=True)
        flags = os.O_RDWR | os.O_CREAT if self._may_write else os.O_RDONLY
        fd = os.open(self.folder / LOCK, flags | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(fd)
            raise StoreError(f"{self.folder}: another process has this store open") from None
        self._lock_fd = fd

    def files(self) -> dict[str, int]:
        """See `Disk`."""
        with os.scandir(self.folder) as entries:
            return {
                entry.name: entry.stat().st_size
                for entry in entries
                if entry.is_file() and entry.name != LOCK
            }

    def read(self, name: str, offset: int = 0, size: int | None = None) -> bytes:
        """See `Disk`."""
        fd = self._descriptor(name)
        remaining = os.fstat(fd).st_size - offset if size is None else size
        parts = []
        while remaining > 0 and (part := os.pread(fd, remaining, offset)):
            parts.append(part)
            offset += len(part)
            remaining -= len(part)
        return b"".join(parts)

    def create(self, name: str, data: bytes) -> None:
        """See `Disk`."""
        self._close_file(name)
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        fd = os.open(self.folder / name, flags, 0o600)
        self._keep_open(name, fd)
        self.write(name, 0, data)
        os.fsync(fd)

    def write(self, name: str, offset: int, data: bytes) -> None:
        """See `Disk`."""
        fd = self._descriptor(name)
        view = memoryview(data)
        while view:
            written = os.pwrite(fd, view, offset)
            offset += written
            view = view[written:]

    def sync(self, name: str) -> None:
        """See `Disk`."""
        os.fdatasync(self._descriptor(name))

    def truncate(self, name: str, size: int) -> None:
        """See `Disk`."""
        fd = self._descriptor(name)
        os.ftruncate(fd, size)
        os.fsync(fd)

    def rename(self, old: str, new: str) -> None:
        """See `Disk`."""
        self._close_file(old)
        self._close_file(new)
        os.rename(self.folder / old, self.folder / new)

    def sync_folder(self) -> None:
        """See `Disk`."""
        fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def delete(self, name: str) -> None:
        """See `Disk`."""
        self._close_file(name)
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self.folder / name)

    def close(self) -> None:
        """See `Disk`."""
        for name in list(self._open_files):
            self._close_file(name)
        if self._lock_fd >= 0:
            os.close(self._lock_fd)  # releases the lock
            self._lock_fd = -1

    def _descriptor(self, name: str) -> int:
        fd = self._open_files.pop(name, None)
        if fd is None:
            flags = os.O_RDWR if self._may_write else os.O_RDONLY
            fd = os.open(self.folder / name, flags | os.O_CLOEXEC)
        self._keep_open(name, fd)
        return fd

    def _keep_open(self, name: str, fd: int) -> None:
        """Add a file as the most recently used, closing the least recently used if too many are open."""
        while len(self._open_files) >= MAX_OPEN_FILES:
            os.close(self._open_files.popitem(last=False)[1])
        self._open_files[name] = fd

    def _close_file(self, name: str) -> None:
        if (fd := self._open_files.pop(name, None)) is not None:
            os.close(fd)
