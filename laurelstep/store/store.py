"""The store on an event loop: group commit, reading, rolling on, compaction, failing disks.

All file work is on one thread of the store's own; decisions and the index stay on the loop.
The rules:

1. `put` and `delete` return only when their batch is durable; until then, and if that fails,
   nothing of them is read.
2. One batch is under way at a time; what comes meanwhile is the next one.
3. After a failed write or sync nothing more goes into that file. A new one is begun no sooner
   than a backoff, when somebody wants to write; until then writers hear so at once.
4. The loop is never held for longer than a slice.
5. Where a manifest may or may not be in its place, no file that either names is deleted, and nothing
   goes into a segment that either seals, until a later manifest is durable.
"""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import time
from array import array
from collections import deque
from collections.abc import AsyncIterator, Callable, Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, replace
from types import TracebackType
from typing import Any, Self, TypeVar

from laurelstep.store.clock import SYSTEM_CLOCKS, ClockNote, StoreClock
from laurelstep.store.disk import Disk, StoreError
from laurelstep.store.index import Usage, location, place_of
from laurelstep.store.log import (
    CLOCK,
    DELETE,
    KEY_MOST,
    PUT,
    SEGMENT_SIZE,
    VALUE_MOST,
    LogError,
    encode_frame,
    encode_record,
    read_frame,
    records_of,
)
from laurelstep.store.manifest import Manifest, Segment, segment_name
from laurelstep.store.recovery import (
    Opened,
    Progress,
    UnsureManifestError,
    create_segment,
    record_at,
    records_at,
    recover,
    write_manifest,
)

T = TypeVar("T")
Log = Callable[[str], None]

# Compaction copies into frames of this size, and gives the loop its turn after this time.
COPY_FRAME = 256 * 1024
SLICE_S = 0.001
# Read at once of many records.
READ_RECORDS, READ_BYTES = 64, 128 * 1024
BACKOFF_S, BACKOFF_MOST_S = 1.0, 8.0


class StoreUnavailableError(StoreError):
    """It was not written: the disk fails, or the store is full or closed."""

    cause = "a record was not written: the disk fails, or the store is full or closed"
    remedy = "free the disk, or raise orders.max_mb or shorten keep_s; writing is tried again by itself"


@dataclass(frozen=True)
class Options:
    """Bounds. A writer waits for the batch under way and for its own: no timer adds to that.

    `ahead_bytes` of zeros are written ahead of the log's end at a time: a sync that need not
    lengthen the file as well takes half the time. `numbered`: the first bytes of keys that end with
    a number given out one by one: they take little memory.
    """

    batch_records: int = 1024
    batch_bytes: int = 1 << 20
    segment_bytes: int = 64 << 20
    max_bytes: int = 4 << 30
    ahead_bytes: int = 1 << 20
    numbered: bytes = b""


# One write that waits for its batch: kind, key, value, expiry, and who waits.
Waiting = tuple[int, bytes, bytes, int, "asyncio.Future[None]"]


@dataclass(frozen=True, slots=True)
class Stats:
    """What an operator may want to know."""

    keys: int
    bytes: int
    segments: int
    batches: int
    writes: int
    failures: int
    compactions: int
    available: bool


class Store:
    """Keys to values, durable. Made by `open`; belongs to the loop that opened it."""

    def __init__(
        self,
        disk: Disk,
        opened: Opened,
        thread: ThreadPoolExecutor,
        options: Options,
        log: Log,
        clock: Callable[[], float],
        expiry_clock: StoreClock,
    ) -> None:
        self.disk = disk
        self.manifest = opened.manifest
        self.index = opened.index
        self.tail = opened.tail  # of the last segment: all before it is durable
        self.allocated = opened.allocated  # its length on the disk
        self.salts = opened.salts
        self.sizes = opened.sizes
        self.next_number = opened.manifest.next_number
        self.thread = thread
        self.options = options
        self.log = log
        self.clock = clock  # seconds, never back
        self.expiry_clock = expiry_clock  # by which records expire
        self.loop = asyncio.get_running_loop()
        self.waiting: deque[Waiting] = deque()
        self.committing: asyncio.Task[None] | None = None
        self.compacting: asyncio.Task[None] | None = None
        self.switching = asyncio.Lock()  # one change of the manifest at a time
        self.appending = asyncio.Lock()  # no batch while the active segment changes
        self.unsure: list[str] = []  # files that an unsure manifest may name, and the one in use does not
        self.closed = False
        self.released = False
        self.failed: str | None = None  # why nothing is written now
        self.retry_at = 0.0
        self.backoff_s = BACKOFF_S
        self.full = False
        self.batches = self.writes = self.failures = self.compactions = 0

    @classmethod
    async def open(
        cls,
        disk: Disk,
        options: Options | None = None,
        log: Log = lambda line: None,
        clock: Callable[[], float] = SYSTEM_CLOCKS.monotonic,
        wall: Callable[[], int] = SYSTEM_CLOCKS.wall_ms,
        progress: Progress | None = None,
        boot: Callable[[], bytes] = SYSTEM_CLOCKS.boot_identity,
    ) -> Store:
        """The store as it was last reported. `clock` gives seconds that never go back, `wall` Unix time in
        ms, and `boot` names this start of the machine, in which `clock` runs on from process to process.
        `StoreError` if it is in use, damaged, of another format or can't be read."""
        thread = ThreadPoolExecutor(1, "laurelstep-store")
        options = options or Options()
        loop = asyncio.get_running_loop()

        def work() -> tuple[Opened, StoreClock]:
            disk.lock()
            opened = recover(disk, secrets.randbits(32), progress, options.numbered)
            return opened, _clock_of(opened, clock, wall, boot())

        try:
            opened, expiry_clock = await loop.run_in_executor(thread, work)
        except BaseException as error:
            closing = thread.submit(disk.close)
            thread.shutdown(wait=False)
            if isinstance(error, Exception):
                await asyncio.wrap_future(closing)  # whoever hears of it finds the folder free
            if isinstance(error, LogError | OSError):
                raise StoreError(f"the store can't be opened: {error}") from error
            raise
        if opened.torn:
            log(f"store: cut off {opened.torn} bytes of a batch that was never reported as written")
        return cls(disk, opened, thread, options, log, clock, expiry_clock)

    async def _on_thread(self, work: Callable[..., T], *args: Any) -> T:
        """As `run_in_executor`, at half of what that costs the loop."""
        done: asyncio.Future[T] = self.loop.create_future()
        self.thread.submit(self._work, done, work, args)
        return await done

    def _work(self, done: asyncio.Future[T], work: Callable[..., T], args: tuple[Any, ...]) -> None:
        """On the thread."""
        error: BaseException | None = None
        try:
            result = work(*args)
        except BaseException as raised:
            error = raised
        with contextlib.suppress(RuntimeError):  # the loop is closed: nobody waits
            if error is None:
                self.loop.call_soon_threadsafe(_set_result, done, result)
            else:
                self.loop.call_soon_threadsafe(_set_error, done, error)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.close()

    # --- Use ----------------------------------------------------------------------

    def __len__(self) -> int:
        """Keys, with those that have expired and are not yet forgotten."""
        return len(self.index)

    def __contains__(self, key: bytes) -> bool:
        """Whether a key is there, as far as memory tells: it may have expired."""
        return key in self.index.where

    def put(self, key: bytes, value: bytes, keep_ms: int = 0) -> asyncio.Future[None]:
        """Durable when what this returns is done. `keep_ms`: the record expires so long after, 0 for never.

        It ends with `StoreUnavailableError` if it is not written; after a failure of the disk
        it may be found there by a later life all the same. ValueError, at once, if key or value
        is too long.
        """
        return self._write(PUT, key, value, self.expiry_clock.now_ms() + keep_ms if keep_ms else 0)

    def delete(self, key: bytes) -> asyncio.Future[None]:
        """As `put`; a key that is not there may be deleted."""
        return self._write(DELETE, key, b"", 0)

    async def get(self, key: bytes) -> bytes | None:
        """The value last reported as written, or None if there is none or it has expired.
        `StoreError` if it can't be read or is damaged."""
        while True:
            where = self.index.where.get(key)
            if where is None:
                return None
            segment, offset = place_of(where)
            try:
                record = await self._on_thread(record_at, self.disk, where)
            except FileNotFoundError:
                if self.index.where.get(key) != where:
                    continue  # compaction has moved it meanwhile
                raise StoreError(f"{segment_name(segment)} is missing") from None
            except (LogError, OSError) as error:
                raise StoreError(f"can't be read: {error}") from None
            if record.key != key:
                raise StoreError(f"segment {segment}: another key at byte {offset}")
            return None if record.expires and record.expires <= self.expiry_clock.now_ms() else record.value

    def each(self, first: bytes) -> AsyncIterator[tuple[bytes, bytes]]:
        """As `some`, of every key that begins with one of these bytes."""
        return self.some(key for key in self.index.where if key[0] in first)

    async def some(self, keys: Iterable[bytes]) -> AsyncIterator[tuple[bytes, bytes]]:
        """Keys that are there, and their values, in the log's order. Many are read at once; what is
        changed before its turn may be missing. `StoreError` as from `get`, and if compaction moved them."""
        where = self.index.where
        wheres = array("Q", sorted(at for key in keys if (at := where.get(key)) is not None))
        for some in _neighbours(wheres):
            try:
                records = await self._on_thread(records_at, self.disk, some)
            except (LogError, OSError) as error:
                raise StoreError(f"can't be read: {error}") from None
            now_ms = self.expiry_clock.now_ms()
            for at, record in zip(some, records, strict=True):
                if where.get(record.key) == at and not 0 < record.expires <= now_ms:
                    yield record.key, record.value

    def stats(self) -> Stats:
        return Stats(
            keys=len(self.index),
            bytes=self.size,
            segments=len(self.manifest.segments),
            batches=self.batches,
            writes=self.writes,
            failures=self.failures,
            compactions=self.compactions,
            available=self.failed is None and not self.full and not self.closed,
        )

    @property
    def size(self) -> int:
        """Bytes of all segments."""
        return sum(self.sizes.values())

    async def close(self) -> None:
        """What waits is written first. May be called again."""
        self.closed = True
        for task in (self.committing, self.compacting):
            if task is not None:
                await asyncio.wait((task,))
        if self.released:
            return
        self.released = True
        if self.failed is None:
            with contextlib.suppress(OSError):
                await self._on_thread(self.disk.sync, segment_name(self.active))
        await self._on_thread(self.disk.close)
        self.thread.shutdown(wait=False)

    # --- Group commit ---------------------------------------------------------------

    @property
    def active(self) -> int:
        return self.manifest.segments[-1].number

    def _write(self, kind: int, key: bytes, value: bytes, expires: int) -> asyncio.Future[None]:
        if not 0 < len(key) <= KEY_MOST or len(value) > VALUE_MOST:
            raise ValueError(f"no record: a key of {len(key)} and a value of {len(value)} bytes")
        done: asyncio.Future[None] = self.loop.create_future()
        if self.closed:
            done.set_exception(StoreUnavailableError("the store is closed"))
        elif self.failed is not None and self.clock() < self.retry_at:
            done.set_exception(StoreUnavailableError(self.failed))
        else:
            self.waiting.append((kind, key, value, expires, done))
            if self.committing is None:
                self.committing = self.loop.create_task(self._commit())
        return done

    async def _commit(self) -> None:
        """Batch after batch until nobody waits."""
        try:
            while self.waiting:
                async with self.appending:
                    await self._commit_one()
        finally:
            self.committing = None

    async def _commit_one(self) -> None:
        if self.failed is not None and not await self._begin_again():
            self._tell_all(StoreUnavailableError(self.failed or "the disk fails"))
            return
        batch, encoded, frame = self._take_batch()
        if not self._has_room(len(frame)):
            self._tell(batch, StoreUnavailableError("the store is full"))
            return
        if self.tail + len(frame) > self.options.segment_bytes and self.tail > SEGMENT_SIZE:
            try:
                await self._roll()
            except OSError as error:
                self._fault(error)
                self._tell(batch, StoreUnavailableError(str(self.failed)))
                return
            # The frame is salted with its segment.
            frame = encode_frame(self.salts[self.active], encoded, self.index.highest + len(batch))
        await self._store_batch(batch, encoded, frame)
        self._maybe_compact()

    def _take_batch(self) -> tuple[list[Waiting], list[bytes], bytes]:
        batch: list[Waiting] = []
        encoded: list[bytes] = []
        size = 0
        seq = self.index.highest
        if self.expiry_clock.needs_note():
            seq += 1
            note = self.expiry_clock.note().encode()
            encoded.append(encode_record(seq, note, kind=CLOCK))
            batch.append((CLOCK, note, b"", 0, self._no_waiter()))
        most = len(batch) + self.options.batch_records
        while self.waiting and len(batch) < most and size < self.options.batch_bytes:
            one = self.waiting.popleft()
            kind, key, value, expires, _ = one
            seq += 1
            raw = encode_record(seq, key, value, kind, expires)
            size += len(raw)
            encoded.append(raw)
            batch.append(one)
        return batch, encoded, encode_frame(self.salts[self.active], encoded, seq)

    def _no_waiter(self) -> asyncio.Future[None]:
        """Of a record for which nobody waits."""
        done: asyncio.Future[None] = self.loop.create_future()
        done.cancel()
        return done

    async def _store_batch(self, batch: list[Waiting], encoded: list[bytes], frame: bytes) -> None:
        segment, tail = self.active, self.tail
        highest = self.index.highest + len(batch)
        mark = encode_frame(self.salts[segment], (), highest)
        end = tail + len(frame) + len(mark)
        zeros_to = max(end, min(end + self.options.ahead_bytes, self.options.segment_bytes))
        zeros = (self.allocated, zeros_to) if end > self.allocated else (0, 0)
        try:
            mark_error = await self._on_thread(self._append, segment_name(segment), tail, frame, mark, zeros)
        except OSError as error:
            self._fault(error)
            self._tell(batch, StoreUnavailableError(str(self.failed)))
            return
        self.allocated = max(self.allocated, zeros[1])
        self.index.highest = highest
        offset = tail + len(frame) - sum(map(len, encoded))
        apply = self.index.apply
        for (kind, key, _, expires, _), raw in zip(batch, encoded, strict=True):
            apply(segment, offset, kind, expires, key)
            offset += len(raw)
        self.tail = self.sizes[segment] = tail + len(frame)
        self.batches += 1
        self.writes += len(batch)
        if batch[0][0] == CLOCK:
            self.writes -= 1
            self.expiry_clock.noted(ClockNote.decode(batch[0][1]))
        self._tell(batch, None)
        if mark_error is not None:
            self._fault(mark_error)

    def _append(
        self, name: str, offset: int, frame: bytes, mark: bytes, zeros: tuple[int, int]
    ) -> OSError | None:
        """The batch, durable; then the mark that says so. The mark needs no sync, and the next
        batch, which says the same, takes its place: behind it, a lost mark would look like
        damage. What became of the mark does not change what became of the batch."""
        if zeros[1]:
            self.disk.write(name, zeros[0], bytes(zeros[1] - zeros[0]))
        self.disk.write(name, offset, frame)
        self.disk.sync(name)
        try:
            self.disk.write(name, offset + len(frame), mark)
        except OSError as error:
            return error
        return None

    def _tell(self, batch: list[Waiting], error: Exception | None) -> None:
        for *_, done in batch:
            if done.done():
                continue  # its writer was cancelled
            if error is None:
                done.set_result(None)
            else:
                done.set_exception(error)

    def _tell_all(self, error: Exception) -> None:
        batch = list(self.waiting)
        self.waiting.clear()
        self._tell(batch, error)

    # --- Rolling on, and failing ------------------------------------------------------

    async def _roll(self) -> None:
        """Seal the last segment at its durable length and begin a new one."""
        async with self.switching:
            number, salt = self._take_number(), secrets.randbits(32)
            manifest = self.manifest.with_new(self.tail, number)
            sealed = segment_name(self.active)
            await self._on_thread(self._switch, manifest, number, salt)
            self.manifest = manifest
            self.salts[number] = salt
            with contextlib.suppress(OSError):  # the manifest says where it ends: this saves room
                await self._on_thread(self.disk.cut, sealed, self.tail)
            self.tail = self.allocated = self.sizes[number] = SEGMENT_SIZE
            await self._delete_unsure()

    def _switch(self, manifest: Manifest, number: int, salt: int) -> None:
        """On the thread. What fails leaves no new file behind that no manifest can name."""
        name = segment_name(number)
        try:
            create_segment(self.disk, number, salt)
            write_manifest(self.disk, manifest)
        except UnsureManifestError:
            self.unsure.append(name)
            raise
        except OSError:
            with contextlib.suppress(OSError):
                self.disk.delete(name)
            raise

    async def _roll_beside_writers(self) -> None:
        """As `_roll`, for compaction. If the manifest is unsure, the active segment may be sealed: writing
        ends until a later one is durable."""
        async with self.appending:
            try:
                await self._roll()
            except UnsureManifestError as error:
                self._fault(error)
                raise

    async def _delete_unsure(self) -> None:
        """The manifest in use is durable, and names none of these."""
        names, self.unsure = self.unsure, []
        for name in names:
            with contextlib.suppress(OSError):
                await self._on_thread(self.disk.delete, name)

    async def _settle_manifest(self) -> None:
        """After one that is unsure, before more is begun that it would have to be settled for."""
        async with self.switching:
            manifest = replace(self.manifest, generation=self.manifest.generation + 1)
            await self._on_thread(write_manifest, self.disk, manifest)
            self.manifest = manifest
            await self._delete_unsure()

    def _take_number(self) -> int:
        self.next_number += 1
        return self.next_number - 1

    def _fault(self, error: OSError) -> None:
        """Nothing that is in the file past its durable length is trusted from now on."""
        self.failures += 1
        if self.failed is None:
            self.log(f"store: nothing is written any more: {error.strerror or error}")
        self.failed = f"the disk fails: {error.strerror or error}"
        self.retry_at = self.clock() + self.backoff_s
        self.backoff_s = min(BACKOFF_MOST_S, 2.0 * self.backoff_s)

    async def _begin_again(self) -> bool:
        """A new segment after a fault, once its backoff is over."""
        if self.clock() < self.retry_at:
            return False
        try:
            await self._roll()
        except OSError as error:
            self._fault(error)
            return False
        self.failed = None
        self.backoff_s = BACKOFF_S
        self.log("store: writes again, in a new segment")
        return True

    def _has_room(self, size: int) -> bool:
        room = self.size + size <= self.options.max_bytes
        if not room and not self.full:
            self.log(f"store: full at {self.options.max_bytes} bytes: nothing is written any more")
        self.full = not room
        if not room and self.compacting is None and self._garbage():
            self._start_compaction()
        return room

    def _garbage(self) -> bool:
        """Whether compaction could free anything at all."""
        usage = self.index.usage.values()
        return any(one.live < one.records or not one.forever for one in usage)

    # --- Compaction -----------------------------------------------------------------

    def _maybe_compact(self) -> None:
        sealed = [one.number for one in self.manifest.segments[:-1]]
        if self.compacting is None and self.index.worth_compacting(sealed, self.expiry_clock.now_ms()):
            self._start_compaction()

    def _start_compaction(self) -> None:
        if not self.closed:
            self.compacting = self.loop.create_task(self._compact_and_tell())

    async def compact(self) -> None:
        """Write what is still of use anew, and forget the rest. OSError as the disk tells;
        the store is then as it was."""
        if self.compacting is not None:
            await asyncio.wait((self.compacting,))
        if self.tail > SEGMENT_SIZE and self.failed is None:
            await self._roll_beside_writers()
        self.compacting = self.loop.create_task(self._compact())
        try:
            await asyncio.shield(self.compacting)
        finally:
            self.compacting = None

    async def _compact_and_tell(self) -> None:
        try:
            if len(self.manifest.segments) == 1 and self.committing is None:
                await self._roll_beside_writers()
            await self._compact()
        except (LogError, OSError) as error:
            self.log(f"store: compaction failed, nothing was changed: {error}")
        finally:
            self.compacting = None

    async def _compact(self) -> None:
        old = self.manifest.segments[:-1]
        if not old:
            return
        if self.unsure:
            await self._settle_manifest()
        copy = Compaction(self)
        try:
            for segment in old:
                await copy.read(segment)
            await copy.finish()
            async with self.switching:
                manifest = self.manifest.compacted(old, copy.segments, self.next_number)
                await self._on_thread(write_manifest, self.disk, manifest)
                self.manifest = manifest
        except UnsureManifestError:
            copy.leave()
            raise
        except BaseException:
            with contextlib.suppress(OSError):
                await self._on_thread(copy.drop)
            raise
        await copy.apply()
        for segment in old:
            self.index.usage.pop(segment.number, None)
            self.sizes.pop(segment.number, None)
            self.salts.pop(segment.number, None)
            with contextlib.suppress(OSError):
                await self._on_thread(self.disk.delete, segment_name(segment.number))
        self.compactions += 1


def _clock_of(opened: Opened, clock: Callable[[], float], wall: Callable[[], int], boot: bytes) -> StoreClock:
    """Going on from the newest note in the log; `LogError` if that can't be read."""
    found = opened.index.clock_note
    try:
        note = ClockNote.decode(found) if found else None
    except ValueError as error:
        raise LogError(str(error)) from None
    return StoreClock(note, opened.index.highest == 0, clock, wall, boot)


def _set_result(done: asyncio.Future[T], result: T) -> None:
    if not done.done():  # its waiter was cancelled
        done.set_result(result)


def _set_error(done: asyncio.Future[Any], error: BaseException) -> None:
    if not done.done():
        done.set_exception(error)


def _neighbours(wheres: array[int]) -> Iterator[array[int]]:
    """So many of these sorted locations at a time as one read may bring."""
    begin = 0
    for at in range(1, len(wheres) + 1):
        if at == len(wheres) or at - begin == READ_RECORDS or wheres[at] - wheres[begin] > READ_BYTES:
            yield wheres[begin:at]
            begin = at


class Slices:
    """Gives the loop its turn when a slice is used up."""

    def __init__(self) -> None:
        self.end = time.perf_counter() + SLICE_S

    async def turn(self) -> None:
        if time.perf_counter() >= self.end:
            await asyncio.sleep(0)
            self.end = time.perf_counter() + SLICE_S


class Compaction:
    """One run: copies what is kept into new segments; the index hears of it at the end."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.slices = Slices()
        self.segments: list[Segment] = []
        self.from_: list[array[int]] = []  # for each new segment, where its records were
        self.dropped: list[tuple[bytes, int]] = []  # expired, and still in the index
        self.number = 0
        self.size = 0
        self.frame: list[bytes] = []
        self.frame_size = 0
        self.highest = 0

    async def read(self, segment: Segment) -> None:
        store, number = self.store, segment.number
        assert segment.sealed is not None
        data = await store._on_thread(store.disk.read, segment_name(number), 0, segment.sealed)
        at, now_ms = SEGMENT_SIZE, store.expiry_clock.now_ms()
        while at < len(data):
            frame = read_frame(data, at, store.salts[number])
            if frame is None:
                raise LogError(f"segment {number}: damaged at byte {at}")
            at = frame.end
            await self.slices.turn()
            last: tuple[int, int, int, int, bytes] | None = None
            for place, record in enumerate(records_of(data, frame)):
                if last is not None:
                    await self._one(number, last, data, record[0], now_ms)
                last = record
                if not place & 31:
                    await self.slices.turn()
            if last is not None:
                await self._one(number, last, data, frame.end, now_ms)

    async def _one(
        self, segment: int, record: tuple[int, int, int, int, bytes], data: bytes, end: int, now_ms: int
    ) -> None:
        offset, kind, expires, seq, key = record
        index, where = self.store.index, location(segment, offset)
        if index.keeps(where, key, kind, expires, now_ms):
            await self._copy(where, seq, data[offset:end])
        elif kind == PUT and expires and index.where.get(key) == where:
            self.dropped.append((key, where))

    async def _copy(self, where: int, seq: int, raw: bytes) -> None:
        if self.number == 0 or self.size + self.frame_size + len(raw) > self.store.options.segment_bytes:
            await self.finish()
            self.number = self.store._take_number()
            salt = secrets.randbits(32)
            self.store.salts[self.number] = salt
            self.size = SEGMENT_SIZE
            await self.store._on_thread(create_segment, self.store.disk, self.number, salt)
            self.from_.append(array("Q"))
        self.from_[-1].append(where)
        self.frame.append(raw)
        self.frame_size += len(raw)
        self.highest = seq
        if self.frame_size >= COPY_FRAME:
            await self._flush()

    async def _flush(self) -> None:
        frame = encode_frame(self.store.salts[self.number], self.frame, self.highest)
        await self.store._on_thread(self.store.disk.write, segment_name(self.number), self.size, frame)
        self.size += len(frame)
        self.frame.clear()
        self.frame_size = 0

    async def finish(self) -> None:
        """The present new segment, whole and durable."""
        if self.number == 0:
            return
        if self.frame:
            await self._flush()
        await self.store._on_thread(self.store.disk.sync, segment_name(self.number))
        self.segments.append(Segment(self.number, self.size))
        self.number = 0

    async def apply(self) -> None:
        """The index follows; until a key has, it is read where it was."""
        store = self.store
        for segment, origins in zip(self.segments, self.from_, strict=True):
            assert segment.sealed is not None
            store.index.usage[segment.number] = Usage()
            store.sizes[segment.number] = segment.sealed
            data = await store._on_thread(store.disk.read, segment_name(segment.number), 0, segment.sealed)
            at, place = SEGMENT_SIZE, 0
            while at < len(data):
                frame = read_frame(data, at, store.salts[segment.number])
                assert frame is not None
                for offset, kind, expires, _, key in records_of(data, frame):
                    new = location(segment.number, offset)
                    store.index.moved(key, origins[place], new, expires, kind)
                    place += 1
                    if not place & 63:
                        await self.slices.turn()
                at = frame.end
        for key, where in self.dropped:
            store.index.expired(key, where)

    def drop(self) -> None:
        for number in self._numbers():
            self.store.salts.pop(number, None)
            self.store.disk.delete(segment_name(number))

    def leave(self) -> None:
        """A manifest that names them may be in its place: they stay until a later one is durable."""
        for number in self._numbers():
            self.store.salts.pop(number, None)
            self.store.unsure.append(segment_name(number))

    def _numbers(self) -> list[int]:
        return [one.number for one in self.segments] + ([self.number] if self.number else [])
