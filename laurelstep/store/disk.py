"""The store's files behind one narrow protocol, so that tests can play faults."""

from __future__ import annotations

import contextlib
import fcntl
import os
from collections import OrderedDict
from pathlib import Path
from typing import Protocol

from laurelstep.errors import LaurelstepError
from laurelstep.store.manifest import LOCK

# Descriptors kept open; a segment read again later is opened again.
OPEN_MOST = 16


class StoreError(LaurelstepError):
    """The store can't be used; the text says why, on one line."""

    cause = "a store can't be opened or read: another process has it, or its disk or files fail"
    remedy = "one folder for each copy; else see to the disk, then run `laurelstep store verify PATH`"


class Disk(Protocol):
    """A folder's files. All calls may block; each raises OSError as the system does."""

    def lock(self) -> None:
        """Own the folder until `close`; `StoreError` if another owner lives."""

    def files(self) -> dict[str, int]:
        """The files that are there, with their sizes."""

    def read(self, name: str, offset: int = 0, size: int | None = None) -> bytes: ...

    def create(self, name: str, data: bytes) -> None:
        """A new file (or one in the place of an old), written and synced. Its name is
        durable only after `sync_folder`."""

    def write(self, name: str, offset: int, data: bytes) -> None:
        """All of it, at that place; not yet durable."""

    def sync(self, name: str) -> None: ...

    def cut(self, name: str, size: int) -> None:
        """Shorten a file, and sync it."""

    def rename(self, old: str, new: str) -> None: ...

    def sync_folder(self) -> None: ...

    def delete(self, name: str) -> None: ...

    def close(self) -> None: ...


class FolderDisk:
    """Real files. The folder is made if it is not there."""

    def __init__(self, folder: str | os.PathLike[str], write: bool = True) -> None:
        self.folder = Path(folder)
        self.may_write = write
        self.open: OrderedDict[str, int] = OrderedDict()
        self.lock_fd = -1

    def lock(self) -> None:
        if self.may_write:
            self.folder.mkdir(parents=True, exist_ok=True)
        flags = os.O_RDWR | os.O_CREAT if self.may_write else os.O_RDONLY
        fd = os.open(self.folder / LOCK, flags | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(fd)
            raise StoreError(f"{self.folder}: another process has this store open") from None
        self.lock_fd = fd

    def files(self) -> dict[str, int]:
        with os.scandir(self.folder) as entries:
            return {one.name: one.stat().st_size for one in entries if one.is_file() and one.name != LOCK}

    def _fd(self, name: str) -> int:
        fd = self.open.pop(name, None)
        if fd is None:
            flags = os.O_RDWR if self.may_write else os.O_RDONLY
            fd = os.open(self.folder / name, flags | os.O_CLOEXEC)
        self._keep(name, fd)
        return fd

    def _keep(self, name: str, fd: int) -> None:
        """The one used last; the longest unused makes room."""
        while len(self.open) >= OPEN_MOST:
            os.close(self.open.popitem(last=False)[1])
        self.open[name] = fd

    def read(self, name: str, offset: int = 0, size: int | None = None) -> bytes:
        fd = self._fd(name)
        left = os.fstat(fd).st_size - offset if size is None else size
        parts = []
        while left > 0 and (part := os.pread(fd, left, offset)):
            parts.append(part)
            offset += len(part)
            left -= len(part)
        return b"".join(parts)

    def create(self, name: str, data: bytes) -> None:
        self._forget(name)
        fd = os.open(self.folder / name, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        self._keep(name, fd)
        self.write(name, 0, data)
        os.fsync(fd)

    def write(self, name: str, offset: int, data: bytes) -> None:
        fd = self._fd(name)
        view = memoryview(data)
        while view:
            written = os.pwrite(fd, view, offset)
            offset += written
            view = view[written:]

    def sync(self, name: str) -> None:
        os.fdatasync(self._fd(name))

    def cut(self, name: str, size: int) -> None:
        fd = self._fd(name)
        os.ftruncate(fd, size)
        os.fsync(fd)

    def rename(self, old: str, new: str) -> None:
        self._forget(old)
        self._forget(new)
        os.rename(self.folder / old, self.folder / new)

    def sync_folder(self) -> None:
        fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def delete(self, name: str) -> None:
        self._forget(name)
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self.folder / name)

    def _forget(self, name: str) -> None:
        if (fd := self.open.pop(name, None)) is not None:
            os.close(fd)

    def close(self) -> None:
        for name in list(self.open):
            self._forget(name)
        if self.lock_fd >= 0:
            os.close(self.lock_fd)  # and with it the lock
            self.lock_fd = -1
