"""A simulated disk that can lose power: synced data is kept, and the test says what is kept of the rest."""

from __future__ import annotations

import copy
import errno
import os
import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any


@dataclass
class Inode:
    """A file's durable bytes, the writes since the last sync, and the writes dropped by a failed sync.

    As on Linux, a process still reads its writes after a failed sync, but a later successful sync makes
    durable only what was written after the failure.
    """

    durable: bytearray = field(default_factory=bytearray)
    pending: list[tuple[int, bytes]] = field(default_factory=list)
    dropped: list[tuple[int, bytes]] = field(default_factory=list)  # all older than the pending writes

    def contents(self) -> bytearray:
        """Return the bytes that a process reads."""
        data = bytearray(self.durable)
        for offset, part in (*self.dropped, *self.pending):
            overwrite(data, offset, part)
        return data

    def sync(self) -> None:
        """Make pending writes durable; dropped writes stay readable where no newer write covers them."""
        for offset, part in self.pending:
            overwrite(self.durable, offset, part)
            self.dropped = [
                piece for write in self.dropped for piece in parts_outside(write, offset, len(part))
            ]
        self.pending = []

    def fail_sync(self) -> None:
        """Drop pending writes: they are still read, and become durable only if written again."""
        self.dropped += self.pending
        self.pending = []

    def truncate(self, size: int) -> None:
        """Truncate the file to `size` bytes, durably."""
        self.sync()
        del self.durable[size:]
        self.dropped = [(offset, part[: size - offset]) for offset, part in self.dropped if offset < size]


def overwrite(data: bytearray, offset: int, part: bytes) -> None:
    """Write `part` at an offset into `data`; a gap before it is filled with zeros."""
    if len(data) < offset:
        data.extend(bytes(offset - len(data)))
    data[offset : offset + len(part)] = part


def parts_outside(write: tuple[int, bytes], begin: int, size: int) -> Iterator[tuple[int, bytes]]:
    """Yield the parts of a write that lie before and after a range."""
    offset, part = write
    if before := part[: max(0, begin - offset)]:
        yield offset, before
    if after := part[max(0, begin + size - offset) :]:
        yield offset + len(part) - len(after), after


Op = tuple[Any, ...]


class SimulatedDisk:
    """The store's `Disk` in memory. `journal` records every change and the marks of the test, and `replay`
    rebuilds the disk after any number of them.
    """

    def __init__(self) -> None:
        self.names: dict[str, Inode] = {}
        self.durable_names: dict[str, Inode] = {}
        self.pending_names: list[Op] = []
        self.journal: list[Op] = []
        self.next_errors: dict[str, list[OSError]] = {}  # by operation: each raised once, in order
        self.lasting_errors: dict[str, OSError] = {}  # by operation: raised until `clear_errors`
        self.owners: list[SimulatedDisk] = []  # one at most; shared by all that `open_again` returns

    def open_again(self) -> SimulatedDisk:
        """Return the same disk as opened by another process."""
        return copy.copy(self)

    def mark(self, *words: Any) -> None:
        """Add a mark of the test to the journal."""
        self.journal.append(("mark", *words))

    def fail(self, operation: str, *errors: OSError) -> None:
        """Let the next calls of an operation raise these errors, one each."""
        self.next_errors.setdefault(operation, []).extend(errors)

    def fail_always(self, error: OSError, *operations: str) -> None:
        """Let all calls of these operations raise an error until `clear_errors`."""
        self.lasting_errors.update(dict.fromkeys(operations, error))

    def clear_errors(self) -> None:
        """Let all calls succeed again."""
        self.next_errors.clear()
        self.lasting_errors.clear()

    def _begin(self, *op: Any) -> None:
        if errors := self.next_errors.get(op[0]):
            raise _copy_error(errors.pop(0))
        if (error := self.lasting_errors.get(op[0])) is not None:
            raise _copy_error(error)
        self.journal.append(op)

    # --- The protocol -------------------------------------------------------------

    def lock(self) -> None:
        """Take ownership of the folder; StoreError if another process has it."""
        # Imported here, as the store needs an optional library and this module does not.
        from laurelstep.store.disk import StoreError

        if self.owners:
            raise StoreError("another process has this store open")
        self.owners.append(self)

    def close(self) -> None:
        """Release the folder if this disk owns it."""
        if self.owners and self.owners[0] is self:
            self.owners.clear()

    def _check_exists(self, name: str) -> None:
        if name not in self.names:
            raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT), name)

    def files(self) -> dict[str, int]:
        """Return the size of each file in bytes, by name."""
        return {name: len(inode.contents()) for name, inode in self.names.items()}

    def read(self, name: str, offset: int = 0, size: int | None = None) -> bytes:
        """Return bytes of a file from an offset, at most `size`; FileNotFoundError if it is missing."""
        self._check_exists(name)
        data = self.names[name].contents()
        return bytes(data[offset:] if size is None else data[offset : offset + size])

    def create(self, name: str, data: bytes) -> None:
        """Create or replace a file with synced content; its name is durable after `sync_folder`."""
        self._begin("create", name, data)
        inode = Inode()
        self.names[name] = inode
        self.pending_names.append(("link", name, inode))
        inode.pending.append((0, data))
        inode.sync()

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Write at an offset, durable after `sync`; FileNotFoundError if missing, or an injected OSError."""
        self._check_exists(name)
        self._begin("write", name, offset, data)
        self.names[name].pending.append((offset, data))

    def sync(self, name: str) -> None:
        """Make a file's bytes durable; FileNotFoundError if missing, or an injected OSError."""
        self._check_exists(name)
        try:
            self._begin("sync", name)
        except OSError:
            self.names[name].fail_sync()
            self.journal.append(("fail_sync", name))
            raise
        self.names[name].sync()

    def fail_sync(self, name: str) -> None:
        """Repeat a failed sync from a journal."""
        self.names[name].fail_sync()
        self.journal.append(("fail_sync", name))

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file durably to `size` bytes; FileNotFoundError if missing, or an injected OSError."""
        self._check_exists(name)
        self._begin("truncate", name, size)
        self.names[name].truncate(size)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any other; FileNotFoundError if missing, or an injected OSError."""
        self._check_exists(old)
        self._begin("rename", old, new)
        self.names[new] = self.names.pop(old)
        self.pending_names.append(("rename", old, new))

    def sync_folder(self) -> None:
        """Make changes of file names durable, or raise an injected OSError."""
        try:
            self._begin("sync_folder")
        except OSError:
            self.fail_sync_folder()
            raise
        durable = changed_names(self.durable_names, self.pending_names)
        self.durable_names.clear()
        self.durable_names.update(durable)
        self.pending_names.clear()

    def fail_sync_folder(self) -> None:
        """Drop the pending changes of names, now or in a replay: they are visible but not durable."""
        self.pending_names.clear()
        self.journal.append(("fail_sync_folder",))

    def delete(self, name: str) -> None:
        """Delete a file if it exists; durable after `sync_folder`."""
        self._begin("delete", name)
        self.names.pop(name, None)
        self.pending_names.append(("unlink", name))

    # --- Kills and power loss ----------------------------------------------------------

    def kill(self) -> SimulatedDisk:
        """Return the disk as the next process sees it after a kill, which loses no write."""
        after = SimulatedDisk()
        after.names, after.durable_names, after.pending_names = copy.deepcopy(
            (self.names, self.durable_names, self.pending_names)
        )
        after.lasting_errors = dict(self.lasting_errors)
        return after

    @classmethod
    def replay(cls, journal: list[Op]) -> SimulatedDisk:
        """Return the disk after these journal entries."""
        disk = cls()
        for name, *args in journal:
            if name != "mark":
                getattr(disk, name)(*args)
        return disk

    def lose_power(self, rng: random.Random | None = None, keeps_all: bool = False) -> SimulatedDisk:
        """Return the disk as it is after a power loss.

        Synced changes are kept. Of the unsynced ones, `rng` picks how many changes of names are kept, in
        order, and which blocks of each file. Without `rng` all unsynced changes are lost, or kept if
        `keeps_all`.
        """
        change_count = (
            len(self.pending_names) if keeps_all else rng.randint(0, len(self.pending_names)) if rng else 0
        )
        names = changed_names(self.durable_names, self.pending_names[:change_count])
        after = SimulatedDisk()
        for name, inode in names.items():
            data = bytearray(inode.durable)
            if keeps_all:
                for offset, part in inode.pending:
                    overwrite(data, offset, part)
            if rng is not None and not keeps_all:
                for offset, part in blocks(inode.pending):
                    if rng.random() < 0.5:
                        overwrite(data, offset, part)
            after.names[name] = Inode(data)
        after.durable_names = dict(after.names)
        return after


def changed_names(names: dict[str, Inode], changes: list[Op]) -> dict[str, Inode]:
    """Return a folder's names after these changes."""
    names = dict(names)
    for op in changes:
        match op:
            case ("link", name, inode):
                names[name] = inode
            case ("rename", old, new) if old in names:
                names[new] = names.pop(old)
            case ("unlink", name):
                names.pop(name, None)
    return names


def blocks(writes: list[tuple[int, bytes]], size: int = 16) -> Iterator[tuple[int, bytes]]:
    """Split writes into blocks that a power loss keeps or loses one by one; `size` is small, so that a short
    log has many.
    """
    for offset, part in writes:
        for start in range(0, len(part), size):
            yield offset + start, part[start : start + size]


def _copy_error(error: OSError) -> OSError:
    """Copy an error: raising one object repeatedly would keep the frames of all its tracebacks alive."""
    return type(error)(*error.args)
