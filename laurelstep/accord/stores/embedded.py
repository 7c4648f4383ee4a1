"""The record in the embedded store.

The rules:

1. The changes of one call are one batch of the store's, which is durable as a whole or not at all.
2. One batch is under way at a time. Calls that come meanwhile are joined, in their order, to one
   batch that follows: what waits is never more than all the keys.
3. After a failed batch nothing more is written until the store is opened anew: a later batch
   would leave a gap.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Final

from laurelstep.accord.errors import StoreFaultError
from laurelstep.store import Disk, FolderDisk, Options, Store, StoreError
from laurelstep.store.log import KEY_MOST, VALUE_MOST

# A batch is never split: 16 MiB is the most that one of the store's frames may have.
BATCH_BYTES: Final = 8 << 20
OPTIONS: Final = Options(
    batch_records=1 << 16,
    batch_bytes=2 * BATCH_BYTES,
    segment_bytes=4 << 20,
    max_bytes=64 << 20,
    ahead_bytes=64 << 10,
)


def size_of(changes: Mapping[bytes, bytes | None]) -> int:
    return sum(len(key) + len(value or b"") for key, value in changes.items())


class StateFaultError(StoreError, StoreFaultError):
    """The disk fails, or is full: nothing more is written until the store is opened anew."""

    cause = "what this process promised the others could not be kept: the disk fails, or is full"
    remedy = "free or mend the disk; the folder is opened again by itself, at most 8 s later"


class EmbeddedStore:
    """A `Store` on a folder, or on any `Disk`. Made by `open`."""

    lasting = True

    def __init__(self, store: Store) -> None:
        self.store = store
        self.loop = asyncio.get_running_loop()
        self.failed: StoreError | None = None
        self._changes: dict[bytes, bytes | None] = {}  # the batch that follows
        self._size = 0  # of it, at most
        self._waiting: list[asyncio.Future[None]] = []  # who hears of it
        self._task: asyncio.Task[None] | None = None

    @classmethod
    async def open(cls, place: str | Disk, log: Callable[[str], None] = lambda line: None) -> EmbeddedStore:
        """`StoreError` if it is in use, damaged or can't be read; `StateFaultError` if the disk fails."""
        disk: Disk = FolderDisk(Path(place)) if isinstance(place, str) else place
        try:
            return cls(await Store.open(disk, OPTIONS, log))
        except StoreError as error:
            if isinstance(error.__cause__, OSError):
                raise StateFaultError(str(error)) from error
            raise

    async def load(self) -> dict[bytes, bytes]:
        found = {}
        for key in list(self.store.index.where):
            value = await self.store.get(key)
            if value is not None:
                found[key] = value
        return found

    def write(self, changes: Mapping[bytes, bytes | None]) -> asyncio.Future[None]:
        done: asyncio.Future[None] = self.loop.create_future()
        if self.failed is None and (problem := self._problem(changes)) is not None:
            self.failed = StoreError(problem)
        if self.failed is not None:
            done.set_exception(self.failed)
        elif not changes and self._task is None:
            done.set_result(None)
        else:
            self._changes.update(changes)
            self._size += size_of(changes)
            self._waiting.append(done)
            if self._task is None:
                self._task = self.loop.create_task(self._write_on())
        return done

    def _problem(self, changes: Mapping[bytes, bytes | None]) -> str | None:
        """Why they can't be written."""
        if self._size + size_of(changes) > BATCH_BYTES:
            return f"over {BATCH_BYTES} bytes wait to be written"
        if any(
            not 0 < len(key) <= KEY_MOST or len(value or b"") > VALUE_MOST for key, value in changes.items()
        ):
            return f"a key of over {KEY_MOST} bytes or a value of over {VALUE_MOST}"
        return None

    async def _write_on(self) -> None:
        """Batch after batch until nobody waits."""
        try:
            while self._waiting:
                changes, waiting = self._changes, self._waiting
                self._changes, self._waiting, self._size = {}, [], 0
                await self._write_one(changes, waiting)
        finally:
            self._task = None

    async def _write_one(
        self, changes: Mapping[bytes, bytes | None], waiting: list[asyncio.Future[None]]
    ) -> None:
        store = self.store
        # All are put before the store's own task runs: it takes them as one batch.
        puts = [
            store.delete(key) if value is None else store.put(key, value) for key, value in changes.items()
        ]
        results = await asyncio.gather(*puts, return_exceptions=True)
        error = next((one for one in results if isinstance(one, BaseException)), None)
        if error is not None:
            self.failed = (
                StateFaultError(str(error)) if isinstance(error, StoreError) else StoreError(str(error))
            )
            waiting += self._waiting
            self._changes, self._waiting, self._size = {}, [], 0
        for done in waiting:
            if done.done():
                continue  # cancelled
            if self.failed is None:
                done.set_result(None)
            else:
                done.set_exception(self.failed)

    async def close(self) -> None:
        """What waits is written first. May be called again."""
        if self._task is not None:
            await asyncio.wait((self._task,))
        if self.failed is None:
            self.failed = StoreError("the store is closed")
        await self.store.close()
