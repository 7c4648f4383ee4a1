"""The store on an event loop. The rules:

1. `put` and `delete` return only when their batch is durable; until then, and if that fails,
   nothing of them is read.
2. One batch is in progress at a time; what comes meanwhile is the next one (`writer`).
3. After a failed write or sync nothing more goes into that file. A new one is begun no sooner
   than a backoff, when somebody wants to write; until then writers fail at once (`availability`).
4. All file work is on one thread of the store's own (`io_thread`); decisions and the index stay
   on the loop, which is never held for longer than a slice (`compaction`).
"""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from array import array
from collections.abc import AsyncIterator, Callable, Iterable
from types import TracebackType
from typing import Self

from laurelstep.store.availability import Log, StoreUnavailableError, WriteAvailability
from laurelstep.store.clock import SYSTEM_CLOCKS, ClockCheckpoint, StoreClock, StoreClocks
from laurelstep.store.compaction import Compactor
from laurelstep.store.disk import Disk, StoreError
from laurelstep.store.index import KeyIndex, unpack_location
from laurelstep.store.io_thread import IoThread
from laurelstep.store.log_format import LogError, LogRecord, RecordKind, check_record_size
from laurelstep.store.manifest import segment_name
from laurelstep.store.options import StoreOptions, StoreStats
from laurelstep.store.reader import group_neighbours, read_record_at, read_records_at
from laurelstep.store.recovery import Progress, RecoveredStore, recover_store
from laurelstep.store.segment_log import SegmentLog
from laurelstep.store.writer import GroupCommitWriter


def _no_log(line: str) -> None:
    """For a store whose user takes no log lines."""


class Store:
    """Keys to values, durable. Made by `open`; belongs to the loop that opened it."""

    def __init__(
        self,
        disk: Disk,
        io: IoThread,
        recovered: RecoveredStore,
        options: StoreOptions,
        log: Log,
        expiry_clock: StoreClock,
        clock: Callable[[], float],
    ) -> None:
        self.disk = disk
        self.index = recovered.index
        self.expiry_clock = expiry_clock
        self.segments = SegmentLog(disk, io, recovered, options.preallocated_bytes)
        self.availability = WriteAvailability(clock, log)
        self.compactor = Compactor(
            self.segments,
            self.index,
            self.availability,
            expiry_clock,
            options,
            log,
            is_writing=lambda: self.writer.task is not None,
        )
        self.writer = GroupCommitWriter(
            self.segments,
            self.index,
            self.availability,
            expiry_clock,
            options,
            on_full=self.compactor.on_full,
            on_committed=self.compactor.on_committed,
        )
        self._io = io
        self._is_closed = False
        self._is_released = False

    @classmethod
    async def open(
        cls,
        disk: Disk,
        options: StoreOptions | None = None,
        log: Log = _no_log,
        clocks: StoreClocks = SYSTEM_CLOCKS,
        progress: Progress | None = None,
    ) -> Store:
        """The store as it was last reported. `log` takes lines for the operator, `progress` how many segments
        of how many have been read. `StoreError` if it is in use, damaged, of another format or unreadable.
        """
        options = options or StoreOptions()
        io = IoThread()
        try:
            recovered, expiry_clock = await io.run(_lock_and_recover, disk, options, clocks, progress)
        except BaseException as error:
            closing = io.run(disk.close)
            io.shutdown()
            if isinstance(error, Exception):
                await closing  # whoever learns of it finds the folder free
            if isinstance(error, LogError | OSError):
                raise StoreError(f"the store can't be opened: {error}") from error
            raise
        if recovered.torn_bytes:
            log(f"store: cut off {recovered.torn_bytes} bytes of a batch that was never reported as written")
        return cls(disk, io, recovered, options, log, expiry_clock, clocks.monotonic)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Write what waits, then let go of the folder. May be called again."""
        self._is_closed = self.compactor.is_closed = True
        for task in (self.writer.task, self.compactor.task):
            if task is not None:
                await asyncio.wait((task,))
        if self._is_released:
            return
        self._is_released = True
        if self.availability.fault is None:
            with contextlib.suppress(OSError):
                await self._io.run(self.disk.sync, segment_name(self.segments.active))
        await self._io.run(self.disk.close)
        self._io.shutdown()

    # --- Writing ------------------------------------------------------------------

    def put(self, key: bytes, value: bytes, ttl_ms: int = 0) -> asyncio.Future[None]:
        """Store a value; durable when the future is done. It expires after `ttl_ms` of real time, 0: never.

        The future ends with `StoreUnavailableError` if it is not written; after a failure of the disk a
        later process may find it there all the same. ValueError, at once, if key or value is too long.
        """
        expires_ms = self.expiry_clock.now_ms() + ttl_ms if ttl_ms else 0
        return self._write(RecordKind.PUT, key, value, expires_ms)

    def delete(self, key: bytes) -> asyncio.Future[None]:
        """Delete a key, which need not be there. See `put`."""
        return self._write(RecordKind.DELETE, key, b"", 0)

    def _write(self, kind: RecordKind, key: bytes, value: bytes, expires_ms: int) -> asyncio.Future[None]:
        check_record_size(key, value)
        if not self._is_closed:
            return self.writer.submit(kind, key, value, expires_ms)
        refused: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        refused.set_exception(StoreUnavailableError("the store is closed"))
        return refused

    async def compact(self) -> None:
        """Drop what is deleted, replaced or expired. OSError as the disk fails; nothing is changed then."""
        await self.compactor.compact()

    # --- Reading ------------------------------------------------------------------

    def __len__(self) -> int:
        """Keys, with those that have expired and are not yet compacted."""
        return len(self.index)

    def __contains__(self, key: bytes) -> bool:
        """Whether a key is there, as far as memory tells: it may have expired."""
        return key in self.index.locations

    async def get(self, key: bytes) -> bytes | None:
        """The value last reported as written, or None if there is none or it has expired.
        `StoreError` if it can't be read or is damaged.
        """
        while True:
            location = self.index.locations.get(key)
            if location is None:
                return None
            segment, offset = unpack_location(location)
            try:
                record = await self._io.run(read_record_at, self.disk, location)
            except FileNotFoundError:
                if self.index.locations.get(key) != location:
                    continue  # compaction has moved it meanwhile
                raise StoreError(f"{segment_name(segment)} is missing") from None
            except (LogError, OSError) as error:
                raise StoreError(f"can't be read: {error}") from None
            if record.key != key:
                raise StoreError(f"segment {segment}: another key at byte {offset}")
            return None if self._has_expired(record) else record.value

    def scan(self, prefixes: bytes) -> AsyncIterator[tuple[bytes, bytes]]:
        """Every key that begins with one of these bytes, with its value. See `get_many`."""
        return self.get_many(key for key in self.index.locations if key[0] in prefixes)

    async def get_many(self, keys: Iterable[bytes]) -> AsyncIterator[tuple[bytes, bytes]]:
        """Those of the keys that are there, with their values, in the log's order. Many are read at once;
        what changes before its turn may be missing. `StoreError` as from `get`, and if compaction moved
        them.
        """
        locations = self.index.locations
        found = array("Q", sorted(place for key in keys if (place := locations.get(key)) is not None))
        for group in group_neighbours(found):
            try:
                records = await self._io.run(read_records_at, self.disk, group)
            except (LogError, OSError) as error:
                raise StoreError(f"can't be read: {error}") from None
            for location, record in zip(group, records, strict=True):
                if locations.get(record.key) == location and not self._has_expired(record):
                    yield record.key, record.value

    def _has_expired(self, record: LogRecord) -> bool:
        return 0 < record.expires_ms <= self.expiry_clock.now_ms()

    # --- Figures ------------------------------------------------------------------

    @property
    def size(self) -> int:
        """Bytes of all segments."""
        return self.segments.total_bytes

    @property
    def is_failing(self) -> bool:
        """Whether the disk fails, so that a write that is refused may be found by a later process."""
        return self.availability.fault is not None

    def stats(self) -> StoreStats:
        """The store's figures."""
        is_available = not (self.is_failing or self.availability.is_full or self._is_closed)
        return StoreStats(
            keys=len(self.index),
            bytes=self.size,
            segments=len(self.segments.manifest.segments),
            batches=self.writer.batches,
            writes=self.writer.writes,
            failures=self.availability.failures,
            compactions=self.compactor.compactions,
            available=is_available,
        )


def _lock_and_recover(
    disk: Disk, options: StoreOptions, clocks: StoreClocks, progress: Progress | None
) -> tuple[RecoveredStore, StoreClock]:
    """On the thread."""
    disk.lock()
    recovered = recover_store(disk, secrets.randbits(32), progress, options.numbered_prefixes)
    return recovered, _resume_clock(recovered.index, clocks)


def _resume_clock(index: KeyIndex, clocks: StoreClocks) -> StoreClock:
    """The store's time, from the newest note in the log; `LogError` if that can't be read."""
    try:
        checkpoint = ClockCheckpoint.decode(index.clock_checkpoint) if index.clock_checkpoint else None
    except ValueError as error:
        raise LogError(str(error)) from None
    return StoreClock(checkpoint, index.highest_sequence == 0, clocks)
