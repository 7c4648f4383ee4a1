"""The records of a replica in the embedded store.

1. The changes of one call are one batch of the store's, which is durable as a whole or not at all.
2. One batch is in flight at a time. Calls that come meanwhile are joined, in their order, to one batch that
   follows: what waits is never more than all the keys.
3. After a failed batch nothing more is written until the store is opened anew: a later batch would leave a
   gap.
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

# A batch is never split: 16 MiB is the most that one of the store's frames may have.
MAX_BATCH_BYTES: Final = 8 << 20
OPTIONS: Final = StoreOptions(
    batch_records=1 << 16,
    batch_bytes=2 * MAX_BATCH_BYTES,
    segment_bytes=4 << 20,
    max_bytes=64 << 20,
    preallocated_bytes=64 << 10,
)


def _ignore_line(line: str) -> None:
    """Drop a log line."""


def _size_bytes(changes: Mapping[bytes, bytes | None]) -> int:
    return sum(len(key) + len(value or b"") for key, value in changes.items())


class StateFaultError(StoreError, StoreFaultError):
    """The disk fails, or is full: nothing more is written until the store is opened anew."""

    cause: ClassVar[str] = (
        "what this process promised the others could not be kept: the disk fails, or is full"
    )
    remedy: ClassVar[str] = "free or mend the disk; the folder is opened again by itself, at most 8 s later"


class EmbeddedStore:
    """A `Store` on a folder, or on any `Disk`. Made by `open`."""

    is_durable = True

    def __init__(self, store: Store) -> None:
        self.store = store
        self.loop = asyncio.get_running_loop()
        self.failure: StoreError | None = None
        # The batch that follows: its changes, an upper bound of its size, and the futures of its calls.
        self._pending: dict[bytes, bytes | None] = {}
        self._pending_bytes = 0
        self._pending_writes: list[asyncio.Future[None]] = []
        self._writer: asyncio.Task[None] | None = None

    @classmethod
    async def open(cls, place: str | Disk, log: Callable[[str], None] = _ignore_line) -> EmbeddedStore:
        """Open a store.

        Raises StoreError if it is in use, damaged or can't be read; StateFaultError if the disk fails.
        """
        disk: Disk = FolderDisk(Path(place)) if isinstance(place, str) else place
        try:
            return cls(await Store.open(disk, OPTIONS, log))
        except StoreError as error:
            if isinstance(error.__cause__, OSError):
                raise StateFaultError(str(error)) from error
            raise

    async def load(self) -> dict[bytes, bytes]:
        """Return all records. Raises StoreError."""
        records = {}
        for key in list(self.store.index.locations):
            value = await self.store.get(key)
            if value is not None:
                records[key] = value
        return records

    def write(self, changes: Mapping[bytes, bytes | None]) -> asyncio.Future[None]:
        """Write the changes as one batch. The future raises StoreError; StateFaultError if the disk fails."""
        done: asyncio.Future[None] = self.loop.create_future()
        if self.failure is None and (problem := self._problem(changes)) is not None:
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

    def _problem(self, changes: Mapping[bytes, bytes | None]) -> str | None:
        """Return why the changes can't be written."""
        if self._pending_bytes + _size_bytes(changes) > MAX_BATCH_BYTES:
            return f"over {MAX_BATCH_BYTES} bytes wait to be written"
        if any(
            not 0 < len(key) <= MAX_KEY_BYTES or len(value or b"") > MAX_VALUE_BYTES
            for key, value in changes.items()
        ):
            return f"a key of over {MAX_KEY_BYTES} bytes or a value of over {MAX_VALUE_BYTES}"
        return None

    async def _write_pending(self) -> None:
        """Write batch after batch until no call waits."""
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
        # All are put before the store's own task runs: it takes them as one batch.
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
                continue  # cancelled
            if self.failure is None:
                write.set_result(None)
            else:
                write.set_exception(self.failure)

    async def close(self) -> None:
        """Write what waits, and close the store. May be called again."""
        if self._writer is not None:
            await asyncio.wait((self._writer,))
        if self.failure is None:
            self.failure = StoreError("the store is closed")
        await self.store.close()
