"""The store on an event loop. The rules:

1. The futures of `put` and `delete` are done only when their batch is durable; until then, and if it fails,
   reads return the value before.
2. One batch is in progress at a time; writes that arrive meanwhile form the next one (`writer`).
3. After a failed write or sync nothing more is written to that file. A new one is started by the first write
   after a backoff; until then writes fail at once (`availability`).
4. All file operations run on one thread per store (`io_thread`); decisions and the index stay on the event
   loop, which is never blocked for longer than a time slice (`compaction`).
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
from laurelstep.store.reader import group_nearby, read_record_at, read_records_at
from laurelstep.store.recovery import Progress, RecoveredStore, recover_store
from laurelstep.store.segment_log import SegmentLog
from laurelstep.store.writer import GroupCommitWriter


def _no_log(line: str) -> None:
    """Discard a log line."""


class Store:
    """A durable map from keys to values. Created by `open`; belongs to the event loop that opened it."""

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
        """Open the store as it was last reported. `log` takes lines for the operator, `progress` how many
        segments have been read. Raises StoreError if it is in use, damaged, of another format or unreadable.
        """
        options = options or StoreOptions()
        io = IoThread()
        try:
            recovered, expiry_clock = await io.run(_lock_and_recover, disk, options, clocks, progress)
        except BaseException as error:
            closing = io.run(disk.close)
            io.shutdown()
            if isinstance(error, Exception):
                await closing  # so that the folder is unlocked when the caller sees the error
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
        """Finish the queued writes, then unlock the folder. May be called more than once."""
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

        The future raises StoreUnavailableError if the value is not written; after a disk fault a later
        process may find it nevertheless. Raises ValueError at once if the key or the value is too long.
        """
        expires_ms = self.expiry_clock.now_ms() + ttl_ms if ttl_ms else 0
        return self._write(RecordKind.PUT, key, value, expires_ms)

    def delete(self, key: bytes) -> asyncio.Future[None]:
        """Delete a key, which need not exist. See `put`."""
        return self._write(RecordKind.DELETE, key, b"", 0)

    def _write(self, kind: RecordKind, key: bytes, value: bytes, expires_ms: int) -> asyncio.Future[None]:
        check_record_size(key, value)
        if not self._is_closed:
            return self.writer.submit(kind, key, value, expires_ms)
        rejected: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        rejected.set_exception(StoreUnavailableError("the store is closed"))
        return rejected

    async def compact(self) -> None:
        """Remove deleted, replaced and expired records. Raises OSError if the disk fails; all stay then."""
        await self.compactor.compact()

    # --- Reading ------------------------------------------------------------------

    def __len__(self) -> int:
        """The number of keys, including those that expired and are not yet compacted."""
        return len(self.index)

    def __contains__(self, key: bytes) -> bool:
        """Whether the index has a key, which may have expired."""
        return key in self.index.locations

    async def get(self, key: bytes) -> bytes | None:
        """Return the value last reported as written, or None if there is none or it has expired. Raises
        StoreError if it can't be read or is damaged.
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
                    continue  # compaction has moved the record meanwhile
                raise StoreError(f"{segment_name(segment)} is missing") from None
            except (LogError, OSError) as error:
                raise StoreError(f"can't be read: {error}") from None
            if record.key != key:
                raise StoreError(f"segment {segment}: another key at byte {offset}")
            return None if self._has_expired(record) else record.value

    def scan(self, prefixes: bytes) -> AsyncIterator[tuple[bytes, bytes]]:
        """Yield every key that begins with one of these bytes, and its value. See `get_many`."""
        return self.get_many(key for key in self.index.locations if key[0] in prefixes)

    async def get_many(self, keys: Iterable[bytes]) -> AsyncIterator[tuple[bytes, bytes]]:
        """Yield those of the keys that exist, and their values, in the log's order. Several are read at once;
        a key that changes before it is read may be missing. Raises StoreError as `get` does, and if
        compaction moved a record.
        """
        locations = self.index.locations
        existing = array("Q", sorted(it for key in keys if (it := locations.get(key)) is not None))
        for group in group_nearby(existing):
            try:
                records = await self._io.run(read_records_at, self.disk, group)
            except (LogError, OSError) as error:
                raise StoreError(f"can't be read: {error}") from None
            for location, record in zip(group, records, strict=True):
                if locations.get(record.key) == location and not self._has_expired(record):
                    yield record.key, record.value

    def _has_expired(self, record: LogRecord) -> bool:
        return 0 < record.expires_ms <= self.expiry_clock.now_ms()

    # --- Statistics ---------------------------------------------------------------

    @property
    def size(self) -> int:
        """The size of all segments in bytes."""
        return self.segments.total_bytes

    @property
    def is_failing(self) -> bool:
        """Whether the disk fails; a later process may then find a write that was rejected."""
        return self.availability.fault is not None

    def stats(self) -> StoreStats:
        """Return the store's statistics."""
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
    """Runs on the thread."""
    disk.lock()
    recovered = recover_store(disk, secrets.randbits(32), progress, options.numbered_prefixes)
    return recovered, _resume_clock(recovered.index, clocks)


def _resume_clock(index: KeyIndex, clocks: StoreClocks) -> StoreClock:
    """Continue the store's time from the newest checkpoint in the log. Raises LogError if it is invalid."""
    try:
        checkpoint = ClockCheckpoint.decode(index.clock_checkpoint) if index.clock_checkpoint else None
    except ValueError as error:
        raise LogError(str(error)) from None
    return StoreClock(checkpoint, index.highest_sequence == 0, clocks)
