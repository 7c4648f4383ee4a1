"""Group commit: one batch is made durable at a time, and writes that arrive meanwhile form the next one."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from laurelstep.store.availability import StoreUnavailableError, WriteAvailability
from laurelstep.store.clock import ClockCheckpoint, StoreClock
from laurelstep.store.index import KeyIndex
from laurelstep.store.log_format import RecordHeader, RecordKind, encode_frame, encode_record
from laurelstep.store.options import StoreOptions
from laurelstep.store.segment_log import SegmentLog


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """A write that waits for its batch. `done` completes once it is durable or has failed."""

    kind: RecordKind
    key: bytes
    value: bytes
    expires_ms: int  # the store's time, 0 for never
    done: asyncio.Future[None]


@dataclass(slots=True)
class Batch:
    """Writes that become durable together, and their encoded records in the same order."""

    highest_sequence: int
    writes: list[PendingWrite] = field(default_factory=list)
    records: list[bytes] = field(default_factory=list)
    checkpoint: ClockCheckpoint | None = None  # its record is the first

    def add(self, write: PendingWrite) -> int:
        """Append a write. Returns the length of its record in bytes."""
        self.highest_sequence += 1
        record = encode_record(self.highest_sequence, write.key, write.value, write.kind, write.expires_ms)
        self.writes.append(write)
        self.records.append(record)
        return len(record)

    def add_checkpoint(self, checkpoint: ClockCheckpoint) -> None:
        """Add a clock checkpoint to an empty batch."""
        self.checkpoint = checkpoint
        self.highest_sequence += 1
        self.records.append(
            encode_record(self.highest_sequence, checkpoint.encode(), kind=RecordKind.CLOCK_CHECKPOINT)
        )

    def frame(self, salt: int) -> bytes:
        """Encode the batch as a frame for a segment with this salt."""
        return encode_frame(salt, self.records, self.highest_sequence)

    def settle(self, error: Exception | None) -> None:
        """Complete the futures of all writes; `error` is None if they are durable."""
        for write in self.writes:
            settle_write(write, error)


def settle_write(write: PendingWrite, error: Exception | None) -> None:
    """Complete the future of a write, unless it was cancelled."""
    if write.done.done():
        return
    if error is None:
        write.done.set_result(None)
    else:
        write.done.set_exception(error)


class GroupCommitWriter:
    """Queues writes and makes them durable batch by batch. `on_full` is called when a batch would exceed the
    store's size limit, `on_committed` after each durable batch.
    """

    def __init__(
        self,
        segments: SegmentLog,
        index: KeyIndex,
        availability: WriteAvailability,
        expiry_clock: StoreClock,
        options: StoreOptions,
        on_full: Callable[[], None],
        on_committed: Callable[[], None],
    ) -> None:
        self.segments = segments
        self.index = index
        self.availability = availability
        self.expiry_clock = expiry_clock
        self.options = options
        self.on_full = on_full
        self.on_committed = on_committed
        self.queue: deque[PendingWrite] = deque()
        self.task: asyncio.Task[None] | None = None
        self.batches = self.writes = 0
        self._loop = asyncio.get_running_loop()

    def submit(self, kind: RecordKind, key: bytes, value: bytes, expires_ms: int) -> asyncio.Future[None]:
        """Queue a write. It fails at once while the backoff after a disk fault lasts."""
        done: asyncio.Future[None] = self._loop.create_future()
        if self.availability.fault is not None and not self.availability.may_retry():
            done.set_exception(self.availability.unavailable_error())
            return done
        self.queue.append(PendingWrite(kind, key, value, expires_ms, done))
        if self.task is None:
            self.task = self._loop.create_task(self._commit_all())
        return done

    async def _commit_all(self) -> None:
        """Commit batch after batch until the queue is empty."""
        try:
            while self.queue:
                async with self.segments.appending:
                    await self._commit_batch()
        finally:
            self.task = None

    async def _commit_batch(self) -> None:
        if self.availability.fault is not None and not await self._resume():
            self._fail_queue()
            return
        batch = self._take_batch()
        frame = batch.frame(self.segments.active_salt)
        if not self._has_room(len(frame)):
            batch.settle(StoreUnavailableError("the store is full"))
            return
        try:
            if self._needs_new_segment(len(frame)):
                await self.segments.roll()
                frame = batch.frame(self.segments.active_salt)
            commit_error = await self.segments.append(
                frame, batch.highest_sequence, self.options.segment_bytes
            )
        except OSError as error:
            self.availability.on_fault(error)
            batch.settle(self.availability.unavailable_error())
            return
        self._apply(batch, self.segments.tail)
        batch.settle(None)
        if commit_error is not None:
            self.availability.on_fault(commit_error)
        self.on_committed()

    def _take_batch(self) -> Batch:
        """Take writes from the queue up to a batch's limits, after a clock checkpoint if one is due."""
        batch = Batch(self.index.highest_sequence)
        if self.expiry_clock.needs_checkpoint():
            batch.add_checkpoint(self.expiry_clock.checkpoint())
        size, options = 0, self.options
        while self.queue and len(batch.writes) < options.batch_records and size < options.batch_bytes:
            size += batch.add(self.queue.popleft())
        return batch

    def _apply(self, batch: Batch, end: int) -> None:
        """Add a durable batch, which ends at this offset of the active segment, to the index."""
        segment = self.segments.active
        offset = end - sum(map(len, batch.records))
        sequence = batch.highest_sequence - len(batch.records)
        changes = [(write.kind, write.expires_ms, write.key) for write in batch.writes]
        if batch.checkpoint is not None:
            changes.insert(0, (RecordKind.CLOCK_CHECKPOINT, 0, batch.checkpoint.encode()))
            self.expiry_clock.on_checkpoint_durable(batch.checkpoint)
        for (kind, expires_ms, key), record in zip(changes, batch.records, strict=True):
            sequence += 1
            self.index.apply(segment, RecordHeader(offset, kind, expires_ms, sequence, key))
            offset += len(record)
        self.index.highest_sequence = batch.highest_sequence
        self.batches += 1
        self.writes += len(batch.writes)

    # --- Space and faults -------------------------------------------------------------

    def _needs_new_segment(self, frame_bytes: int) -> bool:
        return self.segments.has_frames and self.segments.tail + frame_bytes > self.options.segment_bytes

    def _has_room(self, frame_bytes: int) -> bool:
        max_bytes = self.options.max_bytes
        has_room = self.segments.total_bytes + frame_bytes <= max_bytes
        self.availability.set_full(not has_room, max_bytes)
        if not has_room:
            self.on_full()
        return has_room

    async def _resume(self) -> bool:
        """Start a new segment after a fault, once the backoff has elapsed. Returns whether that succeeded."""
        if not self.availability.may_retry():
            return False
        try:
            await self.segments.roll()
        except OSError as error:
            self.availability.on_fault(error)
            return False
        self.availability.on_recovered()
        return True

    def _fail_queue(self) -> None:
        error = self.availability.unavailable_error()
        while self.queue:
            settle_write(self.queue.popleft(), error)
