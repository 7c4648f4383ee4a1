"""The records of a replica in the embedded store.

1. The changes of one call belong to one batch of the embedded store, which becomes durable atomically.
2. One batch is in flight at a time. The changes of calls in the meantime are merged, in order, into the next
   batch, so it never holds more than one change per key.
3. After a failed batch nothing more is written until the store is reopened: a later batch would leave a gap.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import ClassVar, Final

from laurelstep.consensus.errors import StoreFaultError
from laurelstep.store import Disk, FolderDisk, Store, StoreError, StoreOptions
from laurelstep.store.log_format import MAX_KEY_BYTES, MAX_VALUE_BYTES

__all__ = ["MAX_BATCH_BYTES", "EmbeddedStore", "StateFaultError"]

# A batch is never split across frames of the embedded store, which hold at most 16 MiB.
MAX_BATCH_BYTES: Final = 8 << 20
OPTIONS: Final = StoreOptions(
    batch_records=1 << 16,
    batch_bytes=2 * MAX_BATCH_BYTES,
    segment_bytes=4 << 20,
    max_bytes=64 << 20,
    preallocated_bytes=64 << 10,
)


def _ignore_line(line: str) -> None:
    """Drop a log line: the default for `log`."""


def _size_bytes(changes: Mapping[bytes, bytes | None]) -> int:
    return sum(len(key) + len(value or b"") for key, value in changes.items())


class StateFaultError(StoreError, StoreFaultError):
    """The disk fails or is full. Nothing more is written until the store is reopened."""

    cause: ClassVar[str] = "the replicated state could not be written: the disk fails or is full"
    remedy: ClassVar[str] = (
        "free space on the disk or repair it; the folder is reopened automatically, at most 8 s later"
    )


class EmbeddedStore:
    """A `Store` in a folder or on a `Disk`. Created by `open`."""

    is_durable = True

    def __init__(self, store: Store) -> None:
        self.store = store
        self.loop = asyncio.get_running_loop()
        self.failure: StoreError | None = None
        # The next batch: its changes, an upper bound of its size, and the futures of the calls in it.
        self._pending: dict[bytes, bytes | None] = {}
        self._pending_bytes = 0
        self._pending_writes: list[asyncio.Future[None]] = []
        self._writer: asyncio.Task[None] | None = None

    @classmethod
    async def open(cls, location: str | Disk, log: Callable[[str], None] = _ignore_line) -> EmbeddedStore:
        """Open the store in a folder, given by its path, or on a disk.

        Raises StoreError if it is in use, damaged or can't be read, or StateFaultError if the disk fails.
        """
        disk: Disk = FolderDisk(Path(location)) if isinstance(location, str) else location
        try:
            return cls(await Store.open(disk, OPTIONS, log))
        except StoreError as error:
            if isinstance(error.__cause__, OSError):
                raise StateFaultError(str(error)) from error
            raise

    async def load(self) -> dict[bytes, bytes]:
        """Return all records by key. Raises StoreError."""
        records = {}
        for key in list(self.store.index.locations):
            value = await self.store.get(key)
            if value is not None:
                records[key] = value
        return records

    def write(self, changes: Mapping[bytes, bytes | None]) -> asyncio.Future[None]:
        """Write the changes in one batch.

        The future raises StoreError, or StateFaultError if the disk fails.
        """
        done: asyncio.Future[None] = self.loop.create_future()
        if self.failure is None and (problem := self._find_problem(changes)) is not None:
            self.failure = StoreError(problem)
        if self.failure is not None:
            done.set_exception(self.failure)
        elif not changes and self._writer is None:
            done.set_result(None)
        else:
            self._pending.update(changes)
            self._pending_bytes += _size_bytes(changes)
            self._pending_writes.append(done)
            if self._writer is None:
                self._writer = self.loop.create_task(self._write_pending())
        return done

    def _find_problem(self, changes: Mapping[bytes, bytes | None]) -> str | None:
        """Return why the changes can't be written, None if they can."""
        if self._pending_bytes + _size_bytes(changes) > MAX_BATCH_BYTES:
            return f"more than {MAX_BATCH_BYTES} bytes would wait to be written"
        if any(
            not 0 < len(key) <= MAX_KEY_BYTES or len(value or b"") > MAX_VALUE_BYTES
            for key, value in changes.items()
        ):
            return f"a key is empty or over {MAX_KEY_BYTES} bytes, or a value is over {MAX_VALUE_BYTES} bytes"
        return None

    async def _write_pending(self) -> None:
        """Write batches until no call is pending."""
        try:
            while self._pending_writes:
                changes, writes = self._pending, self._pending_writes
                self._clear_pending()
                await self._write_batch(changes, writes)
        finally:
            self._writer = None

    def _clear_pending(self) -> None:
        self._pending, self._pending_writes, self._pending_bytes = {}, [], 0

    async def _write_batch(
        self, changes: Mapping[bytes, bytes | None], writes: list[asyncio.Future[None]]
    ) -> None:
        store = self.store
        # All puts are made before the writer task of the embedded store runs, so it writes them as one batch.
        puts = [
            store.delete(key) if value is None else store.put(key, value) for key, value in changes.items()
        ]
        results = await asyncio.gather(*puts, return_exceptions=True)
        error = next((result for result in results if isinstance(result, BaseException)), None)
        if error is not None:
            self.failure = (
                StateFaultError(str(error)) if isinstance(error, StoreError) else StoreError(str(error))
            )
            writes += self._pending_writes
            self._clear_pending()
        for write in writes:
            if write.done():
                continue  # cancelled by its caller
            if self.failure is None:
                write.set_result(None)
            else:
                write.set_exception(self.failure)

    async def close(self) -> None:
        """Write the pending changes, and close the store. May be called more than once."""
        if self._writer is not None:
            await asyncio.wait((self._writer,))
        if self.failure is None:
            self.failure = StoreError("the store is closed")
        await self.store.close()
