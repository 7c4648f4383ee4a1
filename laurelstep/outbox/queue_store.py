"""Queued writes in the embedded store.

The rules:

1. A write is one record: its head, followed by the first part of its body. Further parts of at most
   `BODY_PART_BYTES` bytes have records of their own, written before it, so a write that is acknowledged as
   queued has all of its parts.
2. The later state of a write is a second record, replaced at each change. Soon after a final state the body
   is deleted; the head stays until the write is forgotten.
3. What is written is durable when the call returns. A later incarnation may still find a write that failed,
   unless `FailedToKeepError.is_known_absent`.
4. `load` deletes the remains of writes that a crash interrupted before they were acknowledged.
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

# The first byte of a key: the kind of its record.
WRITE_KEY, STATE_KEY, PART_KEY, LOG_KEY, HOLDERS_KEY = b"k", b"m", b"p", b"l", b"h"
SECRET: Final = b"secret"
SECRET_BYTES: Final = 32
# The store's bound is twice that of the queued writes plus this: when the outbox is full, states and
# deletions still need room, and obsolete records stay until compaction.
RESERVED_BYTES: Final = 64 << 20
# Bodies of writes in a final state are deleted after this delay, this many writes at a time.
BODY_DELETION_DELAY_S: Final = 1.0
BODY_DELETION_BATCH: Final = 8
# Bounded, since a segment is read whole when the store is opened and when it is compacted.
MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES = 2 << 20, 4 << 20


class FailedToKeepError(StoreError):
    """A write could not be kept. `is_known_absent`: no later incarnation will find it."""

    cause = "a write could not be stored: the outbox's store is full, or its disk fails"
    remedy = "free the disk or raise outbox.max_mb; until then writes are answered as without an outbox"

    def __init__(self, text: str, is_known_absent: bool) -> None:
        super().__init__(text)
        self.is_known_absent = is_known_absent


@dataclass
class LoadedWrites:
    """What the store holds when it is opened.

    `writes`: all writes with their newest states. To save memory, fields that only a replay or a receipt
    needs are empty: method, target, headers and digest of a write, headers and body of an answer.
    `edge_logs`: the highest number of each log. `holders`: the incarnations known to have held or requested a
    log.
    """

    writes: list[tuple[QueuedWrite, StateChange | None]] = field(default_factory=list)
    edge_logs: dict[EdgeLog, int] = field(default_factory=dict)
    holders: dict[EdgeLog, tuple[int, ...]] = field(default_factory=dict)


def key_of(kind: bytes, write_id: WriteId) -> bytes:
    """The store's key of one kind of record of a write; `kind` is the key's first byte."""
    return kind + write_id.incarnation.to_bytes(8, "big") + write_id.number.to_bytes(8, "big")


def _log_key(edge_log: EdgeLog, kind: bytes = LOG_KEY) -> bytes:
    return kind + edge_log.incarnation.to_bytes(8, "big") + edge_log.edge.encode()


def _log_of(key: bytes) -> EdgeLog:
    return EdgeLog(key[9:].decode(), int.from_bytes(key[1:9], "big"))


def part_key(write_id: WriteId, part_number: int) -> bytes:
    """The store's key of one part of a body. Part 0, the first, is in the write's own record."""
    return key_of(PART_KEY, write_id) + part_number.to_bytes(4, "big")


def part_keys(write_id: WriteId, size: int) -> list[bytes]:
    """The keys of all parts of a body of `size` bytes but the first."""
    return [part_key(write_id, number) for number in range(1, -(-size // BODY_PART_BYTES))]


class QueueStore:
    """The queued writes on a disk. Made by `open`; used only on the event loop that opened it."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.incarnation = secrets.randbits(64)
        # Writes in a final state whose bodies are still stored.
        self._bodies_to_delete: deque[WriteId] = deque()
        self._body_deletion: asyncio.Task[None] | None = None
        self._being_deleted: set[WriteId] = set()

    @classmethod
    async def open(
        cls,
        disk_or_folder: str | Disk,
        max_bytes: int,
        log: Callable[[str], None] = lambda line: None,
        clocks: StoreClocks = SYSTEM_CLOCKS,
    ) -> QueueStore:
        """Open the store on a folder or a disk.

        `max_bytes`: the caller's bound for queued writes, which the caller enforces; sizes the store.
        `StoreError` if the store is in use, damaged or can't be read.
        """
        disk: Disk = FolderDisk(disk_or_folder) if isinstance(disk_or_folder, str) else disk_or_folder
        segment = min(MAX_SEGMENT_BYTES, max(MIN_SEGMENT_BYTES, max_bytes // 8))
        options = StoreOptions(
            max_bytes=2 * max_bytes + RESERVED_BYTES,
            segment_bytes=segment,
            numbered_prefixes=WRITE_KEY + STATE_KEY,
        )
        return cls(await Store.open(disk, options, log, clocks))

    def time_us(self) -> int:
        """The time in µs that measures the ages of writes, also across incarnations.

        It never runs behind the time that has really passed. It is Unix time as long as no clock was stepped
        and the machine was not stopped.
        """
        return self.store.expiry_clock.upper_ms() * 1000

    @property
    def opening_uncertainty_us(self) -> int:
        """How far `time_us` may have run ahead of real time before this opening, in µs."""
        return self.store.expiry_clock.opening_uncertainty_ms * 1000

    @property
    def is_elapsed_known(self) -> bool:
        """False if it is unknown how long ago the previous incarnation ended."""
        return self.store.expiry_clock.is_elapsed_known

    async def secret(self) -> bytes:
        """The secret of this edge, made once and the same in every incarnation."""
        secret = await self.store.get(SECRET)
        if secret is None:
            secret = secrets.token_bytes(SECRET_BYTES)
            await self.store.put(SECRET, secret)
        return secret

    # --- Loading ----------------------------------------------------------------------

    async def load(self) -> LoadedWrites:
        """Load all writes, and delete orphaned records. Called once, before anything else.

        `KeptRecordError` if a record can't be read.
        """
        loaded = LoadedWrites()
        writes: dict[bytes, QueuedWrite] = {}
        states: dict[bytes, StateChange] = {}
        has_body = set[bytes]()
        async for key, value in self.store.scan(WRITE_KEY + STATE_KEY + LOG_KEY + HOLDERS_KEY):
            if key[:1] == WRITE_KEY:
                write, first_part = _split_record(value)
                writes[key[1:]] = replace(write, method_and_target=b"", headers=(), digest=b"")
                if first_part:
                    has_body.add(key[1:])
            elif key[:1] == STATE_KEY:
                states[key[1:]] = replace(decode_state_change(value), headers=(), body=b"")
            elif key[:1] == HOLDERS_KEY:
                loaded.holders[_log_of(key)] = _incarnations_of(value)
            else:
                loaded.edge_logs[_log_of(key)] = int.from_bytes(value, "big")
        stale = self._unused_keys(writes, states)
        loaded.writes = [
            (write, states.get(id_bytes))
            for id_bytes, write in sorted(writes.items())
            if WRITE_KEY + id_bytes not in stale
        ]
        for write, _ in loaded.writes:
            loaded.edge_logs[write.write_id.edge_log] = max(
                loaded.edge_logs.get(write.write_id.edge_log, 0), write.write_id.number
            )
        for write, state in loaded.writes:
            if (
                state is not None
                and state.state in FINAL
                and key_of(WRITE_KEY, write.write_id)[1:] in has_body
            ):
                self._schedule_body_deletion(write.write_id)
        if stale:
            await asyncio.gather(*(self.store.delete(key) for key in stale))
        return loaded

    def _unused_keys(self, writes: dict[bytes, QueuedWrite], states: dict[bytes, StateChange]) -> set[bytes]:
        """The keys of records that are not needed any more.

        They belong to writes that were never acknowledged or are deleted, or are parts of bodies of writes in
        a final state.
        """
        stale, parts = set[bytes](), set[bytes]()
        for id_bytes, write in writes.items():
            if id_bytes in states and states[id_bytes].state in FINAL:
                continue
            write_parts = part_keys(write.write_id, write.size)
            if all(key in self.store for key in write_parts):
                parts.update(write_parts)
            else:
                stale.add(WRITE_KEY + id_bytes)
        stale.update(
            STATE_KEY + id_bytes
            for id_bytes in states
            if id_bytes not in writes or WRITE_KEY + id_bytes in stale
        )
        stale.update(key for key in self.store.index.locations if key[:1] == PART_KEY and key not in parts)
        return stale

    # --- Writing ----------------------------------------------------------------------

    def put_write(self, write: QueuedWrite, body: bytes) -> Coroutine[Any, Any, None]:
        """Store a write with its body. The records are submitted before the coroutine is awaited.

        `FailedToKeepError` if it is not stored; `is_known_absent` is then whether nothing of it is left.
        """
        record = encode(write)
        head_record = len(record).to_bytes(4, "big") + record + body[:BODY_PART_BYTES]
        keys = part_keys(write.write_id, len(body))
        # All are submitted before the store's own task runs: they form one batch, if that is not too large.
        puts = [
            self.store.put(key, body[number * BODY_PART_BYTES : (number + 1) * BODY_PART_BYTES])
            for number, key in enumerate(keys, start=1)
        ]
        puts.append(self.store.put(key_of(WRITE_KEY, write.write_id), head_record))
        return self._wait_stored(write, len(body), puts)

    async def _wait_stored(self, write: QueuedWrite, size: int, puts: list[asyncio.Future[None]]) -> None:
        results = await asyncio.gather(*puts, return_exceptions=True)
        error = next((result for result in results if isinstance(result, BaseException)), None)
        if error is None:
            return
        # A full store refuses before it writes. A failing disk may still show what it rejected.
        is_known_absent = await self._remove(write.write_id, size) and not self.store.is_failing
        raise FailedToKeepError(str(error), is_known_absent) from None

    async def _remove(self, write_id: WriteId, size: int) -> bool:
        """Delete the stored records of a write that could not be stored whole; False if that failed."""
        results = await asyncio.gather(*self._submit_removal(write_id, size), return_exceptions=True)
        return not any(isinstance(result, BaseException) for result in results)

    def _submit_removal(self, write_id: WriteId, size: int) -> list[asyncio.Future[None]]:
        """Submit the deletions: the record before the parts, so that it is never found without them."""
        keys = [key for key in (key_of(WRITE_KEY, write_id), *part_keys(write_id, size)) if key in self.store]
        return [self.store.delete(key) for key in keys]

    async def put_parts(self, write_id: WriteId, first_number: int, parts: Sequence[bytes]) -> None:
        """Store parts of a body that is still arriving, from part `first_number` on (the first part is 0).

        Each has `BODY_PART_BYTES` bytes, except the last of the body. `FailedToKeepError` if one could not be
        written. No incarnation finds a write whose head is missing.
        """
        puts = [
            self.store.put(part_key(write_id, number), part)
            for number, part in enumerate(parts, start=first_number)
        ]
        results = await asyncio.gather(*puts, return_exceptions=True)
        error = next((result for result in results if isinstance(result, BaseException)), None)
        if error is not None:
            raise FailedToKeepError(str(error), True) from None

    async def put_head(self, write: QueuedWrite, first_part: bytes) -> None:
        """Store the record of a write whose other parts are durable, with the first part of its body.

        The write is then queued. `FailedToKeepError` if it is not stored; the caller has to delete the parts
        by `delete_write`.
        """
        record = encode(write)
        try:
            await self.store.put(
                key_of(WRITE_KEY, write.write_id), len(record).to_bytes(4, "big") + record + first_part
            )
        except StoreError as error:
            raise FailedToKeepError(str(error), not self.store.is_failing) from None

    async def delete_write(self, write_id: WriteId, size: int) -> bool:
        """Delete all records of a write; False if a deletion could not be stored.

        The state is deleted after the write's record. If the deletions fall into two batches of which only
        the first becomes durable, a write without its state would be replayed again.
        """
        state_key = key_of(STATE_KEY, write_id)
        self._being_deleted.add(write_id)
        try:
            deletions = self._submit_removal(write_id, size)
            if state_key in self.store:
                deletions.append(self.store.delete(state_key))
            results = await asyncio.gather(*deletions, return_exceptions=True)
            return not any(isinstance(result, BaseException) for result in results)
        finally:
            self._being_deleted.discard(write_id)

    async def put_state(self, change: StateChange) -> None:
        """Store the new state of a write. `StoreError` if it is not stored."""
        await self.store.put(key_of(STATE_KEY, change.write_id), encode(change))
        if change.state in FINAL:
            self._schedule_body_deletion(change.write_id)

    def _schedule_body_deletion(self, write_id: WriteId) -> None:
        self._bodies_to_delete.append(write_id)
        if self._body_deletion is None:
            self._body_deletion = asyncio.get_running_loop().create_task(self._delete_bodies())

    async def _delete_bodies(self) -> None:
        """Delete the bodies of writes in a final state, a batch at a time: no caller waits for it."""
        try:
            while self._bodies_to_delete:
                await asyncio.sleep(BODY_DELETION_DELAY_S)
                for _ in range(-(-len(self._bodies_to_delete) // BODY_DELETION_BATCH)):
                    batch = [
                        self._bodies_to_delete.popleft()
                        for _ in range(min(BODY_DELETION_BATCH, len(self._bodies_to_delete)))
                    ]
                    await self._delete_body_batch(
                        {key_of(WRITE_KEY, write_id): write_id for write_id in batch}
                    )
        finally:
            self._body_deletion = None

    async def _delete_body_batch(self, pending: dict[bytes, WriteId]) -> None:
        """Delete some bodies; if a record could not be read or was moved meanwhile, queue it again."""
        with contextlib.suppress(StoreError):
            async for key, value in self.store.get_many(list(pending)):
                del pending[key]
                with contextlib.suppress(KeptRecordError):
                    self._delete_body(key, value)
        self._bodies_to_delete.extend(
            write_id
            for key, write_id in pending.items()
            if key in self.store and write_id not in self._being_deleted
        )

    def _delete_body(self, key: bytes, value: bytes) -> None:
        """Delete the body of a write. If a deletion fails, it is repeated when the store is next opened."""
        write, first_part = _split_record(value)
        if write.write_id in self._being_deleted:
            return  # storing its shortened record would recreate it
        changes = [
            self.store.delete(key) for key in part_keys(write.write_id, write.size) if key in self.store
        ]
        if first_part:
            changes.append(self.store.put(key, value[: len(value) - len(first_part)]))
        for change in changes:
            change.add_done_callback(lambda done: done.cancelled() or done.exception())

    async def put_logs(self, edge_logs: Mapping[EdgeLog, int]) -> None:
        """Store the highest number given out in each own log. `StoreError` if one is not stored."""
        await asyncio.gather(
            *(
                self.store.put(_log_key(edge_log), number.to_bytes(8, "big"))
                for edge_log, number in edge_logs.items()
            )
        )

    async def put_holders(self, edge_log: EdgeLog, incarnations: tuple[int, ...]) -> None:
        """Store the incarnations known to have held a log or requested it. `StoreError` if not stored."""
        value = b"".join(incarnation.to_bytes(8, "big") for incarnation in incarnations)
        await self.store.put(_log_key(edge_log, HOLDERS_KEY), value)

    # --- Reading ----------------------------------------------------------------------

    async def read(self, write_id: WriteId) -> tuple[QueuedWrite, bytes] | None:
        """A write with its body; None if there is none. `StoreError` if it can't be read."""
        value = await self.store.get(key_of(WRITE_KEY, write_id))
        if value is None:
            return None
        write, first_part = _split_record(value)
        parts = [first_part]
        for key in part_keys(write_id, write.size):
            part = await self.store.get(key)
            if part is None:
                raise StoreError(f"a part of the body of {write_id} is missing")
            parts.append(part)
        return write, b"".join(parts)

    async def head(self, write_id: WriteId) -> tuple[QueuedWrite, bytes] | None:
        """A write with the first part of its body; None if there is none.

        `StoreError` or `KeptRecordError` if it can't be read.
        """
        value = await self.store.get(key_of(WRITE_KEY, write_id))
        return None if value is None else _split_record(value)

    async def part(self, write_id: WriteId, part_number: int) -> bytes:
        """One part of a body, from part 1 on. `StoreError` if it is missing or can't be read."""
        part = await self.store.get(part_key(write_id, part_number))
        if part is None:
            raise StoreError(f"a part of the body of {write_id} is missing")
        return part

    async def state_change(self, write_id: WriteId) -> StateChange | None:
        """The newest state of a write, with the answer; None if none is stored.

        `StoreError` or `KeptRecordError` if it can't be read.
        """
        value = await self.store.get(key_of(STATE_KEY, write_id))
        return None if value is None else decode_state_change(value)

    @property
    def size(self) -> int:
        """Bytes that the store takes on the disk."""
        return self.store.size

    async def close(self) -> None:
        """Close the store after what was submitted to it is written."""
        if self._body_deletion is not None:
            self._body_deletion.cancel()
        await self.store.close()


def _incarnations_of(value: bytes) -> tuple[int, ...]:
    return tuple(int.from_bytes(value[at : at + 8], "big") for at in range(0, len(value), 8))


def _split_record(value: bytes) -> tuple[QueuedWrite, bytes]:
    """The write and the first part of its body, from its record; `KeptRecordError` if it can't be read."""
    size = int.from_bytes(value[:4], "big")
    if len(value) < 4 + size:
        raise KeptRecordError("record of a queued write: cut short")
    return decode_write(value[4 : 4 + size]), value[4 + size :]
