"""Queued writes in the embedded store.

The rules:

1. A write is one record: its head, followed by the first part of its body. Further parts of at most
   `BODY_PART_BYTES` bytes have records of their own, written before it, so a write that is acknowledged as
   queued has all of its parts.
2. A later state of a write is a second record, of which the newest counts. Soon after a final state the body
   is deleted; the head stays until the write is forgotten.
3. What is written is durable when the call returns. A later incarnation may still find a write that failed,
   unless `FailedToKeepError.is_known_absent`.
4. When the store is opened, the remains of writes that a crash interrupted before they were acknowledged are
   deleted.
5. Each opening of the store draws an incarnation, which is never that of an earlier opening.
"""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from collections import deque
from collections.abc import Callable, Coroutine, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Final

from msgspec.structs import replace

from laurelstep.outbox.errors import KeptRecordError
from laurelstep.outbox.options import BODY_PART_BYTES
from laurelstep.outbox.records import (
    FINAL,
    QueuedWrite,
    StateChange,
    decode_state_change,
    decode_write,
    encode,
)
from laurelstep.outbox.write_ids import EdgeLog, WriteId
from laurelstep.store import SYSTEM_CLOCKS, Disk, FolderDisk, Store, StoreClocks, StoreError, StoreOptions

KEPT, MOVED, PART, LINE, HOLDERS = b"k", b"m", b"p", b"l", b"h"
SECRET: Final = b"secret"
SECRET_BYTES: Final = 32
# The store may have this beside twice what is kept: states and deletions must find room when no more
# writes are let in, and what is of no more use waits there for compaction.
SPARE_BYTES: Final = 64 << 20
# The bodies of what is final go after so long, so many at a time.
BODY_DELETION_DELAY_S: Final = 1.0
BODY_DELETION_BATCH: Final = 8
# A segment is read whole as the store is opened, and as it is compacted.
SEGMENT_LEAST, SEGMENT_MOST = 2 << 20, 4 << 20


class FailedToKeepError(StoreError):
    """A write could not be kept. `is_known_absent`: no later life will find it."""

    cause = "a write could not be kept: the outbox's store is full, or its disk fails"
    remedy = "free the disk or raise outbox.max_mb; until then writes get the answer they would have had"

    def __init__(self, text: str, is_known_absent: bool) -> None:
        super().__init__(text)
        self.is_known_absent = is_known_absent


@dataclass
class LoadedWrites:
    """What earlier lives left: the writes with their newest states, and the highest number of each log. So
    many take memory: what only a replay or a receipt needs is left out (start, headers, digest; an answer's
    headers and body).
    """

    writes: list[tuple[QueuedWrite, StateChange | None]] = field(default_factory=list)
    edge_logs: dict[EdgeLog, int] = field(default_factory=dict)
    holders: dict[EdgeLog, tuple[int, ...]] = field(default_factory=dict)


def key_of(kind: bytes, write_id: WriteId) -> bytes:
    """The store's key of one kind of record of a write."""
    return kind + write_id.incarnation.to_bytes(8, "big") + write_id.number.to_bytes(8, "big")


def _log_key(edge_log: EdgeLog, kind: bytes = LINE) -> bytes:
    return kind + edge_log.incarnation.to_bytes(8, "big") + edge_log.edge.encode()


def _log_of(key: bytes) -> EdgeLog:
    return EdgeLog(key[9:].decode(), int.from_bytes(key[1:9], "big"))


def part_key(write_id: WriteId, at: int) -> bytes:
    """The store's key of one part of a body, counted from 1."""
    return key_of(PART, write_id) + at.to_bytes(4, "big")


def part_keys(write_id: WriteId, size: int) -> list[bytes]:
    """Of the parts behind the first."""
    return [part_key(write_id, at) for at in range(1, -(-size // BODY_PART_BYTES))]


class QueueStore:
    """On a folder, or on any `Disk`. Made by `open`; belongs to the loop that opened it."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.incarnation = secrets.randbits(64)
        self._ended: deque[WriteId] = deque()  # final, and their bodies are still there
        self._ending: asyncio.Task[None] | None = None
        self._forgetting: set[WriteId] = set()

    @classmethod
    async def open(
        cls,
        place: str | Disk,
        max_bytes: int,
        log: Callable[[str], None] = lambda edge_log: None,
        clocks: StoreClocks = SYSTEM_CLOCKS,
    ) -> QueueStore:
        """`max_bytes`: what its user keeps at most, which is for the user to see to. `StoreError` if it is
        in use, damaged or can't be read.
        """
        disk: Disk = FolderDisk(place) if isinstance(place, str) else place
        segment = min(SEGMENT_MOST, max(SEGMENT_LEAST, max_bytes // 8))
        options = StoreOptions(
            max_bytes=2 * max_bytes + SPARE_BYTES, segment_bytes=segment, numbered_prefixes=KEPT + MOVED
        )
        return cls(await Store.open(disk, options, log, clocks))

    def time_us(self) -> int:
        """By which the ages of writes are told, across lives too: it never stays behind the time that has
        truly passed. Unix time where no clock was stepped and the machine runs on.
        """
        return self.store.expiry_clock.most_ms() * 1000

    @property
    def opening_doubt_us(self) -> int:
        """By how much `time_us` may have gone ahead of the true time between the lives."""
        return self.store.expiry_clock.opening_doubt_ms * 1000

    @property
    def is_elapsed_known(self) -> bool:
        """False where nothing tells how long ago the life before this one ended."""
        return self.store.expiry_clock.is_elapsed_known

    async def secret(self) -> bytes:
        """Of this edge alone, the same in every life."""
        found = await self.store.get(SECRET)
        if found is None:
            found = secrets.token_bytes(SECRET_BYTES)
            await self.store.put(SECRET, found)
        return found

    # --- A life's beginning -----------------------------------------------------------

    async def load(self) -> LoadedWrites:
        """What is kept; `KeptRecordError` if a record can't be read. Called once, before anything else."""
        found = LoadedWrites()
        kept: dict[bytes, QueuedWrite] = {}
        moved: dict[bytes, StateChange] = {}
        whole = set[bytes]()
        async for key, value in self.store.each(KEPT + MOVED + LINE + HOLDERS):
            if key[:1] == KEPT:
                write, first = _split(value)
                kept[key[1:]] = replace(write, method_and_target=b"", headers=(), digest=b"")
                if first:
                    whole.add(key[1:])
            elif key[:1] == MOVED:
                moved[key[1:]] = replace(decode_state_change(value), headers=(), body=b"")
            elif key[:1] == HOLDERS:
                found.holders[_log_of(key)] = _lives_of(value)
            else:
                found.edge_logs[_log_of(key)] = int.from_bytes(value, "big")
        stale = self._orphans(kept, moved)
        found.writes = [(one, moved.get(at)) for at, one in sorted(kept.items()) if KEPT + at not in stale]
        for write, _ in found.writes:
            found.edge_logs[write.write_id.edge_log] = max(
                found.edge_logs.get(write.write_id.edge_log, 0), write.write_id.number
            )
        for write, state in found.writes:
            if state is not None and state.state in FINAL and key_of(KEPT, write.write_id)[1:] in whole:
                self._end(write.write_id)
        if stale:
            await asyncio.gather(*(self.store.delete(key) for key in stale))
        return found

    def _orphans(self, kept: dict[bytes, QueuedWrite], moved: dict[bytes, StateChange]) -> set[bytes]:
        """Records of writes never told as kept, or forgotten, and the bodies of what is over."""
        stale, parts = set[bytes](), set[bytes]()
        for at, write in kept.items():
            if at in moved and moved[at].state in FINAL:
                continue
            mine = part_keys(write.write_id, write.size)
            if all(key in self.store for key in mine):
                parts.update(mine)
            else:
                stale.add(KEPT + at)
        stale.update(MOVED + at for at in moved if at not in kept or KEPT + at in stale)
        stale.update(key for key in self.store.index.locations if key[:1] == PART and key not in parts)
        return stale

    # --- Writing ----------------------------------------------------------------------

    def put_write(self, write: QueuedWrite, body: bytes) -> Coroutine[Any, Any, None]:
        """Begun by the call itself. `FailedToKeepError`, with nothing of it left where that is certain."""
        record = encode(write)
        first = len(record).to_bytes(4, "big") + record + body[:BODY_PART_BYTES]
        keys = part_keys(write.write_id, len(body))
        # All are put before the store's own task runs: as one batch where it is not too large.
        puts = [
            self.store.put(key, body[at * BODY_PART_BYTES : (at + 1) * BODY_PART_BYTES])
            for at, key in enumerate(keys, start=1)
        ]
        puts.append(self.store.put(key_of(KEPT, write.write_id), first))
        return self._kept(write, len(body), puts)

    async def _kept(self, write: QueuedWrite, size: int, puts: list[asyncio.Future[None]]) -> None:
        results = await asyncio.gather(*puts, return_exceptions=True)
        error = next((one for one in results if isinstance(one, BaseException)), None)
        if error is None:
            return
        # Told by a store that refuses before it writes: it is full, or was failing already.
        is_known_absent = await self._take_back(write.write_id, size) and not self.store.is_failing
        raise FailedToKeepError(str(error), is_known_absent) from None

    async def _take_back(self, write_id: WriteId, size: int) -> bool:
        """Delete what there is of a write; False if that failed."""
        results = await asyncio.gather(*self._begin_take_back(write_id, size), return_exceptions=True)
        return not any(isinstance(one, BaseException) for one in results)

    def _begin_take_back(self, write_id: WriteId, size: int) -> list[asyncio.Future[None]]:
        """The record goes before the parts: none is ever found without them."""
        keys = [key for key in (key_of(KEPT, write_id), *part_keys(write_id, size)) if key in self.store]
        return [self.store.delete(key) for key in keys]

    async def put_parts(self, write_id: WriteId, at: int, parts: Sequence[bytes]) -> None:
        """Store parts of a body that is still arriving, from part number `at` on (the first is 0).

        Each has `BODY_PART_BYTES` bytes, except the last of the body. `FailedToKeepError` if one could not be
        written. No incarnation finds a write whose head is missing.
        """
        puts = [
            self.store.put(part_key(write_id, number), part) for number, part in enumerate(parts, start=at)
        ]
        results = await asyncio.gather(*puts, return_exceptions=True)
        error = next((one for one in results if isinstance(one, BaseException)), None)
        if error is not None:
            raise FailedToKeepError(str(error), True) from None

    async def put_head(self, write: QueuedWrite, first: bytes) -> None:
        """The head, with the first part of the body, of a write whose other parts are durable: it is kept.
        `FailedToKeepError`; its parts are for the caller to `delete_write`.
        """
        record = encode(write)
        try:
            await self.store.put(
                key_of(KEPT, write.write_id), len(record).to_bytes(4, "big") + record + first
            )
        except StoreError as error:
            raise FailedToKeepError(str(error), not self.store.is_failing) from None

    async def delete_write(self, write_id: WriteId, size: int) -> bool:
        """All of a write. False if that can't be written. Its state is deleted after its record: a record
        without a state, if only one batch of two is durable, would be sent again.
        """
        moved = key_of(MOVED, write_id)
        self._forgetting.add(write_id)
        try:
            taking_back = self._begin_take_back(write_id, size)
            if moved in self.store:
                taking_back.append(self.store.delete(moved))
            results = await asyncio.gather(*taking_back, return_exceptions=True)
            return not any(isinstance(one, BaseException) for one in results)
        finally:
            self._forgetting.discard(write_id)

    async def put_state(self, moved: StateChange) -> None:
        """Its state from now on. `StoreError` if it is not written."""
        await self.store.put(key_of(MOVED, moved.write_id), encode(moved))
        if moved.state in FINAL:
            self._end(moved.write_id)

    def _end(self, write_id: WriteId) -> None:
        self._ended.append(write_id)
        if self._ending is None:
            self._ending = asyncio.get_running_loop().create_task(self._end_bodies())

    async def _end_bodies(self) -> None:
        """Nothing more is sent of these. Nobody waits for it: many are read and written at once."""
        try:
            while self._ended:
                await asyncio.sleep(BODY_DELETION_DELAY_S)
                for _ in range(-(-len(self._ended) // BODY_DELETION_BATCH)):
                    some = [self._ended.popleft() for _ in range(min(BODY_DELETION_BATCH, len(self._ended)))]
                    await self._end_some({key_of(KEPT, write_id): write_id for write_id in some})
        finally:
            self._ending = None

    async def _end_some(self, left: dict[bytes, WriteId]) -> None:
        """What could not be read, or moved meanwhile, has its turn again."""
        with contextlib.suppress(StoreError):
            async for key, value in self.store.some(list(left)):
                del left[key]
                with contextlib.suppress(KeptRecordError):
                    self._end_body(key, value)
        self._ended.extend(
            write_id
            for key, write_id in left.items()
            if key in self.store and write_id not in self._forgetting
        )

    def _end_body(self, key: bytes, value: bytes) -> None:
        """What this fails to write is done as the store is opened."""
        write, first = _split(value)
        if write.write_id in self._forgetting:
            return  # a record of it must not come back
        begun = [self.store.delete(key) for key in part_keys(write.write_id, write.size) if key in self.store]
        if first:
            begun.append(self.store.put(key, value[: len(value) - len(first)]))
        for one in begun:
            one.add_done_callback(lambda done: done.cancelled() or done.exception())

    async def put_logs(self, edge_logs: Mapping[EdgeLog, int]) -> None:
        """The highest number that each own log gave out. `StoreError` if it is not written."""
        await asyncio.gather(
            *(
                self.store.put(_log_key(edge_log), number.to_bytes(8, "big"))
                for edge_log, number in edge_logs.items()
            )
        )

    async def put_holders(self, edge_log: EdgeLog, lives: tuple[int, ...]) -> None:
        """The lives that this disk knows to have had a log, or to have asked for it. `StoreError`."""
        told = b"".join(life.to_bytes(8, "big") for life in lives)
        await self.store.put(_log_key(edge_log, HOLDERS), told)

    # --- Reading ----------------------------------------------------------------------

    async def read(self, write_id: WriteId) -> tuple[QueuedWrite, bytes] | None:
        """A write with its body; None if there is none. `StoreError` if it can't be read."""
        value = await self.store.get(key_of(KEPT, write_id))
        if value is None:
            return None
        write, first = _split(value)
        parts = [first]
        for key in part_keys(write_id, write.size):
            part = await self.store.get(key)
            if part is None:
                raise StoreError(f"a part of the body of {write_id} is missing")
            parts.append(part)
        return write, b"".join(parts)

    async def head(self, write_id: WriteId) -> tuple[QueuedWrite, bytes] | None:
        """A write with the first part of its body; None if there is none. `StoreError`, `KeptRecordError`."""
        value = await self.store.get(key_of(KEPT, write_id))
        return None if value is None else _split(value)

    async def part(self, write_id: WriteId, at: int) -> bytes:
        """One behind the first. `StoreError` if it can't be read."""
        part = await self.store.get(part_key(write_id, at))
        if part is None:
            raise StoreError(f"a part of the body of {write_id} is missing")
        return part

    async def state_change(self, write_id: WriteId) -> StateChange | None:
        """The newest record of its state, with the answer; None if there is none. `StoreError`,
        `KeptRecordError`.
        """
        value = await self.store.get(key_of(MOVED, write_id))
        return None if value is None else decode_state_change(value)

    @property
    def size(self) -> int:
        """Bytes on the disk."""
        return self.store.size

    async def close(self) -> None:
        """What waits is written first."""
        if self._ending is not None:
            self._ending.cancel()
        await self.store.close()


def _lives_of(value: bytes) -> tuple[int, ...]:
    return tuple(int.from_bytes(value[at : at + 8], "big") for at in range(0, len(value), 8))


def _split(value: bytes) -> tuple[QueuedWrite, bytes]:
    """The head, and the first part of the body; `KeptRecordError`."""
    size = int.from_bytes(value[:4], "big")
    if len(value) < 4 + size:
        raise KeptRecordError("kept write: cut short")
    return decode_write(value[4 : 4 + size]), value[4 + size :]
