"""Compaction: copies the live records of the sealed segments to new segments, and deletes the old ones.

The index is updated at the end: until then records are read from the old segments. The event loop is never
blocked for longer than a time slice.
"""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import time
from array import array
from collections.abc import Callable
from typing import Final

from laurelstep.store.availability import Log, WriteAvailability
from laurelstep.store.clock import StoreClock
from laurelstep.store.disk import Disk
from laurelstep.store.index import KeyIndex, SegmentUsage, pack_location
from laurelstep.store.log_format import (
    SEGMENT_HEADER_BYTES,
    LogError,
    LogFrame,
    RecordHeader,
    RecordKind,
    encode_frame,
    read_frame,
    record_headers,
)
from laurelstep.store.manifest import SegmentEntry, segment_name
from laurelstep.store.options import StoreOptions
from laurelstep.store.recovery import UnsureManifestError, create_segment
from laurelstep.store.segment_log import SegmentLog

# Records are copied in frames of this size.
COPY_FRAME_BYTES: Final = 256 * 1024
# Other tasks run after each slice of this time.
SLICE_S: Final = 0.001
# The clock is read once per this many records.
RECORDS_PER_CHECK: Final = 32


class TimeSlices:
    """Yields to the event loop when a time slice is used up."""

    def __init__(self) -> None:
        self._end = time.perf_counter() + SLICE_S

    async def yield_if_due(self) -> None:
        """Let other tasks run if the slice is used up."""
        if time.perf_counter() >= self._end:
            await asyncio.sleep(0)
            self._end = time.perf_counter() + SLICE_S


class CompactionRun:
    """A compaction run: copies the records to keep into new segments."""

    def __init__(
        self, segments: SegmentLog, index: KeyIndex, expiry_clock: StoreClock, segment_bytes: int
    ) -> None:
        self.new_segments: list[SegmentEntry] = []
        self._segments = segments
        self._index = index
        self._expiry_clock = expiry_clock
        self._segment_bytes = segment_bytes
        self._slices = TimeSlices()
        self._origins: list[array[int]] = []  # for each new segment, the old locations of its records
        self._expired: list[tuple[bytes, int]] = []  # keys and locations of dropped records
        self._new_number = 0  # of the new segment that is being written; 0 if none
        self._new_size = 0  # bytes written to it
        self._records: list[bytes] = []  # encoded, of its next frame
        self._record_bytes = 0
        self._highest_sequence = 0

    async def copy_segment(self, segment: SegmentEntry) -> None:
        """Copy the records to keep from a sealed segment. Raises LogError if it is damaged, or OSError."""
        assert segment.sealed_bytes is not None
        number, salt = segment.number, self._segments.salts[segment.number]
        data = await self._read(segment)
        offset, now_ms = SEGMENT_HEADER_BYTES, self._expiry_clock.now_ms()
        while offset < len(data):
            frame = read_frame(data, offset, salt)
            if frame is None:
                raise LogError(f"segment {number}: damaged at byte {offset}")
            offset = frame.end
            await self._slices.yield_if_due()
            await self._copy_frame(number, data, frame, now_ms)

    async def _copy_frame(self, number: int, data: bytes, frame: LogFrame, now_ms: int) -> None:
        """Copy the records to keep from a frame. A record ends where the next one begins."""
        previous: RecordHeader | None = None
        for count, record in enumerate(record_headers(data, frame)):
            if previous is not None:
                await self._copy_record(number, previous, data[previous.offset : record.offset], now_ms)
            previous = record
            if not count % RECORDS_PER_CHECK:
                await self._slices.yield_if_due()
        if previous is not None:
            await self._copy_record(number, previous, data[previous.offset : frame.end], now_ms)

    async def _copy_record(self, segment: int, record: RecordHeader, data: bytes, now_ms: int) -> None:
        location = pack_location(segment, record.offset)
        if not self._index.must_copy(location, record, now_ms):
            is_current = self._index.locations.get(record.key) == location
            if record.kind == RecordKind.PUT and record.expires_ms and is_current:
                self._expired.append((record.key, location))
            return
        if not self._new_number or self._new_size + self._record_bytes + len(data) > self._segment_bytes:
            await self.finish_segment()
            await self._begin_segment()
        self._origins[-1].append(location)
        self._records.append(data)
        self._record_bytes += len(data)
        self._highest_sequence = record.sequence
        if self._record_bytes >= COPY_FRAME_BYTES:
            await self._flush()

    async def _begin_segment(self) -> None:
        self._new_number = self._segments.allocate_number()
        salt = self._segments.salts[self._new_number] = secrets.randbits(32)
        self._new_size = SEGMENT_HEADER_BYTES
        await self._segments.io.run(create_segment, self._disk, self._new_number, salt)
        self._origins.append(array("Q"))

    async def _flush(self) -> None:
        frame = encode_frame(self._segments.salts[self._new_number], self._records, self._highest_sequence)
        await self._segments.io.run(self._disk.write, segment_name(self._new_number), self._new_size, frame)
        self._new_size += len(frame)
        self._records.clear()
        self._record_bytes = 0

    async def finish_segment(self) -> None:
        """Complete the new segment that is being written, if any, and make it durable."""
        if not self._new_number:
            return
        if self._records:
            await self._flush()
        await self._segments.io.run(self._disk.sync, segment_name(self._new_number))
        self.new_segments.append(SegmentEntry(self._new_number, self._new_size))
        self._new_number = 0

    async def apply(self) -> None:
        """Point the index to the new segments, which the manifest already lists."""
        for segment, origins in zip(self.new_segments, self._origins, strict=True):
            assert segment.sealed_bytes is not None
            self._index.usage[segment.number] = SegmentUsage()
            self._segments.sizes[segment.number] = segment.sealed_bytes
            await self._move_keys(segment, origins)
        for key, location in self._expired:
            self._index.on_expired(key, location)

    async def _move_keys(self, segment: SegmentEntry, origins: array[int]) -> None:
        number = segment.number
        data = await self._read(segment)
        offset, count = SEGMENT_HEADER_BYTES, 0
        while offset < len(data):
            frame = read_frame(data, offset, self._segments.salts[number])
            assert frame is not None
            for record in record_headers(data, frame):
                self._index.on_copied(number, record, origins[count])
                count += 1
                if not count % RECORDS_PER_CHECK:
                    await self._slices.yield_if_due()
            offset = frame.end

    def delete_files(self) -> None:
        """Delete the new segments of a failed run, which no manifest lists. Blocks."""
        for number in self._new_numbers():
            self._segments.salts.pop(number, None)
            self._disk.delete(segment_name(number))

    def keep_files(self) -> None:
        """Keep the new segments until a later manifest is durable: the one on the disk may list them."""
        for number in self._new_numbers():
            self._segments.mark_unsure(number)

    def _new_numbers(self) -> list[int]:
        numbers = [segment.number for segment in self.new_segments]
        return [*numbers, self._new_number] if self._new_number else numbers

    @property
    def _disk(self) -> Disk:
        return self._segments.disk

    async def _read(self, segment: SegmentEntry) -> bytes:
        name = segment_name(segment.number)
        return await self._segments.io.run(self._disk.read, name, 0, segment.sealed_bytes)


class Compactor:
    """Compacts on request, and when enough records are garbage. `is_writing`: whether a batch is written."""

    def __init__(
        self,
        segments: SegmentLog,
        index: KeyIndex,
        availability: WriteAvailability,
        expiry_clock: StoreClock,
        options: StoreOptions,
        log: Log,
        is_writing: Callable[[], bool],
    ) -> None:
        self.segments = segments
        self.index = index
        self.availability = availability
        self.expiry_clock = expiry_clock
        self.options = options
        self.log = log
        self.is_writing = is_writing
        self.task: asyncio.Task[None] | None = None
        self.is_closed = False
        self.compactions = 0

    def on_committed(self) -> None:
        """Start compacting if enough records are garbage. Called after each batch."""
        sealed = [segment.number for segment in self.segments.sealed]
        if self.task is None and self.index.should_compact(sealed, self.expiry_clock.now_ms()):
            self._start()

    def on_full(self) -> None:
        """Start compacting if that can free space. Called when the store has reached its size limit."""
        if self.task is None and self.index.can_free_anything():
            self._start()

    def _start(self) -> None:
        if not self.is_closed:
            self.task = asyncio.get_running_loop().create_task(self._compact_in_background())

    async def _compact_in_background(self) -> None:
        try:
            if not self.segments.sealed and not self.is_writing():
                await self._roll()
            await self.compact_sealed()
        except (LogError, OSError) as error:
            self.log(f"store: compaction failed, nothing was changed: {error}")
        finally:
            self.task = None

    async def compact(self) -> None:
        """Compact all written records, after any run in progress. Raises OSError if the disk fails; the
        store's content is then unchanged.
        """
        if self.task is not None:
            await asyncio.wait((self.task,))
        if self.segments.has_frames and self.availability.fault is None:
            await self._roll()
        self.task = asyncio.get_running_loop().create_task(self.compact_sealed())
        try:
            await asyncio.shield(self.task)
        finally:
            self.task = None

    async def _roll(self) -> None:
        """Seal the active segment. If it is unknown whether the new manifest is in place, the segment may be
        sealed, so writing stops until a later manifest is durable.
        """
        async with self.segments.appending:
            try:
                await self.segments.roll()
            except UnsureManifestError as error:
                self.availability.on_fault(error)
                raise

    async def compact_sealed(self) -> None:
        """Compact the sealed segments. Raises LogError or OSError; the store's content is then unchanged."""
        old = self.segments.sealed
        if not old:
            return
        if self.segments.is_manifest_unsure:
            await self.segments.rewrite_manifest()
        run = CompactionRun(self.segments, self.index, self.expiry_clock, self.options.segment_bytes)
        try:
            for segment in old:
                await run.copy_segment(segment)
            await run.finish_segment()
            await self.segments.replace(old, run.new_segments)
        except UnsureManifestError:
            run.keep_files()
            raise
        except BaseException:
            with contextlib.suppress(OSError):
                await self.segments.io.run(run.delete_files)
            raise
        await run.apply()
        for segment in old:
            self.index.usage.pop(segment.number, None)
            await self.segments.delete(segment)
        self.compactions += 1
