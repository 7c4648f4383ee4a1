"""A disk that loses power: what was synced is kept, and of the rest whatever the test says."""

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
    """A file's bytes: those that are durable, the writes since, and those that a failed sync gave up.

    As on Linux: after a failed sync a process still reads what it wrote, and a later sync that succeeds
    makes durable only what was written since.
    """

    durable: bytearray = field(default_factory=bytearray)
    pending: list[tuple[int, bytes]] = field(default_factory=list)
    dropped: list[tuple[int, bytes]] = field(default_factory=list)  # all older than the pending ones

    def contents(self) -> bytearray:
        """As a process sees it."""
        data = bytearray(self.durable)
        for offset, part in (*self.dropped, *self.pending):
            overwrite(data, offset, part)
        return data

    def sync(self) -> None:
        """What is pending becomes durable; what was dropped stays readable where nothing newer is."""
        for offset, part in self.pending:
            overwrite(self.durable, offset, part)
            self.dropped = [piece for one in self.dropped for piece in parts_outside(one, offset, len(part))]
        self.pending = []

    def fail_sync(self) -> None:
        """What is pending is still read, and reaches the disk only if it is written again."""
        self.dropped += self.pending
        self.pending = []

    def truncate(self, size: int) -> None:
        """Shorten it, durably."""
        self.sync()
        del self.durable[size:]
        self.dropped = [(offset, part[: size - offset]) for offset, part in self.dropped if offset < size]


def overwrite(data: bytearray, offset: int, part: bytes) -> None:
    """Write, with zeros in a gap."""
    if len(data) < offset:
        data.extend(bytes(offset - len(data)))
    data[offset : offset + len(part)] = part


def parts_outside(write: tuple[int, bytes], begin: int, size: int) -> Iterator[tuple[int, bytes]]:
    """The parts of a write that lie before and behind a range."""
    offset, part = write
    if before := part[: max(0, begin - offset)]:
        yield offset, before
    if behind := part[max(0, begin + size - offset) :]:
        yield offset + len(part) - len(behind), behind


Op = tuple[Any, ...]


class SimulatedDisk:
    """The store's `Disk` in memory. `journal` keeps every call, with the marks that a test
    adds, so that `replay` can stop at any of them. `open_again` opens the same disk once more.
    """

    def __init__(self) -> None:
        self.names: dict[str, Inode] = {}
        self.durable_names: dict[str, Inode] = {}
        self.pending_names: list[Op] = []
        self.journal: list[Op] = []
        self.next_errors: dict[str, list[OSError]] = {}  # by operation: raised in their turn
        self.lasting_errors: dict[str, OSError] = {}  # by operation: raised until it is mended
        self.owners: list[SimulatedDisk] = []  # shared with the others: one at most

    def open_again(self) -> SimulatedDisk:
        """As another process opens it."""
        return copy.copy(self)

    def mark(self, *words: Any) -> None:
        """The test's own word in the journal."""
        self.journal.append(("mark", *words))

    def fail(self, operation: str, *errors: OSError) -> None:
        """The next calls of an operation raise these."""
        self.next_errors.setdefault(operation, []).extend(errors)

    def fail_always(self, error: OSError, *operations: str) -> None:
        """All calls of these operations raise this, until `clear_errors`."""
        self.lasting_errors.update(dict.fromkeys(operations, error))

    def clear_errors(self) -> None:
        """All calls succeed again."""
        self.next_errors.clear()
        self.lasting_errors.clear()

    def _begin(self, *op: Any) -> None:
        if waiting := self.next_errors.get(op[0]):
            raise _copy_error(waiting.pop(0))
        if (error := self.lasting_errors.get(op[0])) is not None:
            raise _copy_error(error)
        self.journal.append(op)

    # --- The protocol -------------------------------------------------------------

    def lock(self) -> None:
        """Take the folder; StoreError if another owner has it."""
        # Imported when called: the store needs a library that this module does not.
        from laurelstep.store.disk import StoreError

        if self.owners:
            raise StoreError("another process has this store open")
        self.owners.append(self)

    def close(self) -> None:
        """Give up the folder, if this disk owns it."""
        if self.owners and self.owners[0] is self:
            self.owners.clear()

    def _check_exists(self, name: str) -> None:
        if name not in self.names:
            raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT), name)

    def files(self) -> dict[str, int]:
        """The size of each file by name, bytes."""
        return {name: len(inode.contents()) for name, inode in self.names.items()}

    def read(self, name: str, offset: int = 0, size: int | None = None) -> bytes:
        """Bytes of a file from an offset on, at most `size`; FileNotFoundError if it is missing."""
        self._check_exists(name)
        data = self.names[name].contents()
        return bytes(data[offset:] if size is None else data[offset : offset + size])

    def create(self, name: str, data: bytes) -> None:
        """Create or replace a file with synced content, whose name is durable after `sync_folder`."""
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
        """A sync that failed, when a journal is replayed."""
        self.names[name].fail_sync()
        self.journal.append(("fail_sync", name))

    def truncate(self, name: str, size: int) -> None:
        """Cut a file durably to a size in bytes; FileNotFoundError if missing, or an injected OSError."""
        self._check_exists(name)
        self._begin("truncate", name, size)
        self.names[name].truncate(size)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing that of the new name; FileNotFoundError if missing, or an injected
        OSError.
        """
        self._check_exists(old)
        self._begin("rename", old, new)
        self.names[new] = self.names.pop(old)
        self.pending_names.append(("rename", old, new))

    def sync_folder(self) -> None:
        """Make the changes of names durable, or raise an injected OSError."""
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
        """A sync that failed, also when a journal is replayed: these changes are seen, and not durable."""
        self.pending_names.clear()
        self.journal.append(("fail_sync_folder",))

    def delete(self, name: str) -> None:
        """Delete a file, if it is there; durable after `sync_folder`."""
        self._begin("delete", name)
        self.names.pop(name, None)
        self.pending_names.append(("unlink", name))

    # --- A kill, and losing power ----------------------------------------------------

    def kill(self) -> SimulatedDisk:
        """The disk as the next process of a machine that runs on finds it, whatever was synced."""
        after = SimulatedDisk()
        after.names, after.durable_names, after.pending_names = copy.deepcopy(
            (self.names, self.durable_names, self.pending_names)
        )
        after.lasting_errors = dict(self.lasting_errors)
        return after

    @classmethod
    def replay(cls, journal: list[Op]) -> SimulatedDisk:
        """The disk after these calls."""
        disk = cls()
        for name, *args in journal:
            if name != "mark":
                getattr(disk, name)(*args)
        return disk

    def lose_power(self, rng: random.Random | None = None, keeps_all: bool = False) -> SimulatedDisk:
        """The disk as the next start finds it: names as far as the folder was synced, and a
        part of the changes since, in their order; bytes as far as a file was synced, and any
        of the blocks written since. Without `rng` all that was not synced is lost, or with
        `keeps_all` none of it.
        """
        changes = (
            len(self.pending_names) if keeps_all else rng.randint(0, len(self.pending_names)) if rng else 0
        )
        names = changed_names(self.durable_names, self.pending_names[:changes])
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
    """A folder's names after these changes."""
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
    """Writes in the pieces that a disk may keep or lose by themselves; small, so that a short
    log has many.
    """
    for offset, part in writes:
        for at in range(0, len(part), size):
            yield offset + at, part[at : at + size]


def _copy_error(error: OSError) -> OSError:
    """The same error anew: one that is raised again and again would keep the frames of each time alive."""
    return type(error)(*error.args)
