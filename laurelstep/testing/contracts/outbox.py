"""Contract of the store of queued writes: acknowledged writes survive, and no partial ones appear."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from contextlib import AbstractAsyncContextManager
from typing import Final, Protocol

from msgspec.structs import replace

from laurelstep.outbox.options import BODY_PART_BYTES
from laurelstep.outbox.queue_store import LoadedWrites
from laurelstep.outbox.records import QueuedWrite, StateChange, WriteState
from laurelstep.outbox.write_ids import EdgeLog, WriteId
from laurelstep.store.disk import StoreError
from laurelstep.testing.contracts.base import Contract, raises, run_ready_callbacks

EDGE_LOG: Final = EdgeLog("studio-1", 7)
# Body sizes in bytes: empty, one part, around the size of a part, several parts.
BODY_SIZES: Final = (0, 1, 65_536, 65_537, 400_000)
# Iterations of the event loop before a crash.
CRASH_ITERATIONS: Final = (0, 1, 2, 3, 5, 8, 13, 30)


class WriteStore(Protocol):
    """The methods of the store that the outbox's driver uses."""

    async def load(self) -> LoadedWrites:
        """Return all writes, without bodies, and the edge logs."""

    async def put_write(self, write: QueuedWrite, body: bytes) -> None:
        """Store a write with its complete body."""

    async def put_parts(self, write_id: WriteId, first_number: int, parts: Sequence[bytes]) -> None:
        """Store parts of a body that is still being received; `at` is the number of the first of them."""

    async def put_head(self, write: QueuedWrite, first_part: bytes) -> None:
        """Complete a write whose other parts are stored."""

    async def put_state(self, change: StateChange) -> None:
        """Store the new state of a write."""

    async def read(self, write_id: WriteId) -> tuple[QueuedWrite, bytes] | None:
        """Return a write and its complete body; None if it does not exist."""

    async def head(self, write_id: WriteId) -> tuple[QueuedWrite, bytes] | None:
        """Return a write and the first part of its body; None if it does not exist."""

    async def part(self, write_id: WriteId, part_number: int) -> bytes:
        """Return one part of a body. StoreError if it does not exist."""

    async def state_change(self, write_id: WriteId) -> StateChange | None:
        """Return the last stored state of a write; None if there is none."""

    async def delete_write(self, write_id: WriteId, size: int) -> bool:
        """Delete a write whose body has this size, bytes. False if the deletion can't be written."""

    async def put_logs(self, edge_logs: Mapping[EdgeLog, int]) -> None:
        """Store the highest number of each edge log."""


class WriteStoreIncarnations(Protocol):
    """Successive processes on one durable store."""

    @property
    def store(self) -> WriteStore:
        """The store of the current process."""

    async def restart(self) -> None:
        """Close the store cleanly, and open it in the next process."""

    async def crash(self) -> None:
        """Lose power, and open the store in the next process. Data that is not durable may be lost."""

    def fail_writes(self) -> None:
        """Let all writes fail until the next process starts."""


def id_of(number: int) -> WriteId:
    """Return the id of the write with this number."""
    return WriteId(*EDGE_LOG, number)


def write_of(number: int, size: int) -> QueuedWrite:
    """Create a queued write with a body of `size` bytes."""
    return QueuedWrite(
        write_id=id_of(number),
        cls="upload",
        method_and_target=b"POST /upload",
        headers=((b"x-request-id", b"%d" % number),),
        size=size,
        digest=b"d" * 16,
        keyed=True,
        key=b"k%d" % number,
        session=b"",
        obj=b"",
        tenant="",
        dependencies=(),
        wall=1,
        window_us=2,
        earlier_incarnations=0,
    )


def body_of(number: int, size: int) -> bytes:
    """Return at least `size` bytes that differ between writes."""
    return bytes((number + offset) % 251 for offset in range(251)) * (size // 251 + 1) if size else b""


def write_with_body(number: int, size: int) -> tuple[QueuedWrite, bytes]:
    """Create a queued write and its body of `size` bytes."""
    return write_of(number, size), body_of(number, size)[:size]


def parts_of(body: bytes) -> list[bytes]:
    """Split a body into parts, the first one included."""
    return [body[start : start + BODY_PART_BYTES] for start in range(0, len(body), BODY_PART_BYTES)]


async def store_in_parts(store: WriteStore, write: QueuedWrite, body: bytes) -> None:
    """Store a write like one whose body is still being received: two parts at a time, the head last."""
    parts = parts_of(body)
    for start in range(1, len(parts), 2):
        await store.put_parts(write.write_id, start, parts[start : start + 2])
    await store.put_head(write, parts[0])


def as_loaded(write: QueuedWrite) -> QueuedWrite:
    """Return the write as `load` does: without the fields that only a replay needs."""
    return replace(write, method_and_target=b"", headers=(), digest=b"")


class WriteStoreContract(Contract, ABC):
    """The rules:

    1. Each later process finds an acknowledged write with its body, however the earlier one ended. Fields
       that only a replay needs are not loaded.
    2. A later process finds a write that was not acknowledged completely or not at all.
    3. The last written state is kept, and loaded without its answer's headers and body. A final state deletes
       the write's body; the head and the state stay.
    4. A deleted write and its state are not found again.
    5. A write on a failing disk raises StoreError, and what was stored before stays readable.
    6. A body may be stored part by part. With its head the write is complete; without it no process finds the
       write, and its parts can be deleted.
    """

    @abstractmethod
    def incarnations(self) -> AbstractAsyncContextManager[WriteStoreIncarnations]:
        """Create the first process, on an empty store."""

    def test_a_stored_write_is_found_with_its_body(self) -> None:
        """Stored writes are found with their bodies, of every size, after a restart and after a crash."""

        async def main() -> None:
            async with self.incarnations() as incarnations:
                assert (await incarnations.store.load()).writes == []
                for number, size in enumerate(BODY_SIZES, start=1):
                    await incarnations.store.put_write(*write_with_body(number, size))
                for restart in (incarnations.restart, incarnations.crash):
                    await restart()
                    loaded = await incarnations.store.load()
                    assert [stored for stored, _ in loaded.writes] == [
                        as_loaded(write_of(number, size)) for number, size in enumerate(BODY_SIZES, start=1)
                    ]
                    assert loaded.edge_logs == {EDGE_LOG: len(BODY_SIZES)}
                    for number, size in enumerate(BODY_SIZES, start=1):
                        assert await incarnations.store.read(id_of(number)) == write_with_body(number, size)

        self.run(main())

    def test_a_crash_leaves_a_write_complete_or_missing(self) -> None:
        """After a crash during `put_write` the write is complete, or missing if it was not acknowledged."""

        async def main() -> None:
            for count in CRASH_ITERATIONS:
                async with self.incarnations() as incarnations:
                    await incarnations.store.load()
                    await incarnations.store.put_write(*write_with_body(1, 10))
                    storing = asyncio.create_task(incarnations.store.put_write(*write_with_body(2, 200_000)))
                    await run_ready_callbacks(count)
                    is_acked = storing.done() and storing.exception() is None
                    await incarnations.crash()
                    storing.cancel()
                    await asyncio.gather(storing, return_exceptions=True)
                    found = [stored.write_id.number for stored, _ in (await incarnations.store.load()).writes]
                    assert found in ([1], [1, 2]) and (not is_acked or 2 in found), f"{found} after {count}"
                    for number, size in zip(found, (10, 200_000), strict=False):
                        assert await incarnations.store.read(id_of(number)) == write_with_body(number, size)

        self.run(main())

    def test_the_last_state_survives_and_is_loaded_without_its_body(self) -> None:
        """The last state written survives restart and crash, and `load` leaves out its answer's body."""

        async def main() -> None:
            async with self.incarnations() as incarnations:
                await incarnations.store.load()
                for number in (1, 2):
                    await incarnations.store.put_write(*write_with_body(number, 100_000))
                out = StateChange(id_of(1), WriteState.OUT)
                done = StateChange(id_of(1), WriteState.DONE, status=200, body=b"ok")
                await incarnations.store.put_state(out)
                await incarnations.store.put_state(StateChange(id_of(2), WriteState.OUT))
                await incarnations.store.put_state(done)
                for restart in (incarnations.restart, incarnations.crash):
                    await restart()
                    found = {
                        stored.write_id.number: change
                        for stored, change in (await incarnations.store.load()).writes
                    }
                    assert found == {1: replace(done, body=b""), 2: StateChange(id_of(2), WriteState.OUT)}
                    assert await incarnations.store.state_change(id_of(1)) == done
                    assert await incarnations.store.read(id_of(2)) == write_with_body(2, 100_000)

        self.run(main())

    def test_a_deleted_write_is_gone_and_its_log_number_stays(self) -> None:
        """A deleted write and its state are gone after a restart, while the edge log's last number stays."""

        async def main() -> None:
            async with self.incarnations() as incarnations:
                await incarnations.store.load()
                await incarnations.store.put_write(*write_with_body(1, 200_000))
                await incarnations.store.put_state(StateChange(id_of(1), WriteState.PARKED))
                await incarnations.store.put_logs({EDGE_LOG: 9})
                assert await incarnations.store.delete_write(id_of(1), 200_000)
                assert await incarnations.store.read(id_of(1)) is None
                await incarnations.restart()
                loaded = await incarnations.store.load()
                assert loaded.writes == [] and loaded.edge_logs == {EDGE_LOG: 9}
                assert await incarnations.store.state_change(id_of(1)) is None

        self.run(main())

    def test_a_failing_disk_raises_and_stored_writes_stay_readable(self) -> None:
        """Writes to a failing disk raise StoreError, and earlier writes stay readable."""

        async def main() -> None:
            async with self.incarnations() as incarnations:
                await incarnations.store.load()
                await incarnations.store.put_write(*write_with_body(1, 100_000))
                incarnations.fail_writes()
                with raises(StoreError, "a write on a failing disk"):
                    await incarnations.store.put_write(*write_with_body(2, 200_000))
                with raises(StoreError, "a state on a failing disk"):
                    await incarnations.store.put_state(StateChange(id_of(1), WriteState.OUT))
                assert await incarnations.store.read(id_of(1)) == write_with_body(1, 100_000)
                assert await incarnations.store.read(id_of(2)) is None
                await incarnations.restart()
                found = [stored.write_id.number for stored, _ in (await incarnations.store.load()).writes]
                assert found in ([1], [1, 2])

        self.run(main())

    def test_a_body_stored_in_parts_is_readable_with_its_head(self) -> None:
        """A write stored in parts is not readable before its head is stored, and complete after it."""

        async def main() -> None:
            async with self.incarnations() as incarnations:
                await incarnations.store.load()
                write, body = write_with_body(1, 400_000)
                parts = parts_of(body)
                for start in range(1, len(parts), 2):
                    await incarnations.store.put_parts(write.write_id, start, parts[start : start + 2])
                    assert await incarnations.store.read(write.write_id) is None
                await incarnations.store.put_head(write, parts[0])
                for restart in (incarnations.restart, incarnations.crash):
                    assert await incarnations.store.head(write.write_id) == (write, parts[0])
                    found = [await incarnations.store.part(write.write_id, n) for n in range(1, len(parts))]
                    assert found == parts[1:]
                    assert await incarnations.store.read(write.write_id) == (write, body)
                    await restart()
                    assert [stored for stored, _ in (await incarnations.store.load()).writes] == [
                        as_loaded(write)
                    ]

        self.run(main())

    def test_parts_without_a_head_are_no_write(self) -> None:
        """Parts without a head are no write after a crash, and can be deleted; a missing part raises."""

        async def main() -> None:
            async with self.incarnations() as incarnations:
                await incarnations.store.load()
                write, body = write_with_body(1, 400_000)
                await incarnations.store.put_parts(write.write_id, 1, parts_of(body)[1:])
                assert await incarnations.store.head(write.write_id) is None
                await incarnations.crash()
                assert (await incarnations.store.load()).writes == []
                with raises(StoreError, "reading a part of a write without a head"):
                    await incarnations.store.part(write.write_id, 1)
                await incarnations.store.put_parts(write.write_id, 1, parts_of(body)[1:3])
                assert await incarnations.store.delete_write(write.write_id, len(body))
                with raises(StoreError, "reading a deleted part"):
                    await incarnations.store.part(write.write_id, 1)

        self.run(main())

    def test_a_crash_while_storing_parts_leaves_a_write_complete_or_missing(self) -> None:
        """After a crash while storing parts the write is complete, or missing if it was not acknowledged."""

        async def main() -> None:
            for count in CRASH_ITERATIONS:
                async with self.incarnations() as incarnations:
                    await incarnations.store.load()
                    write, body = write_with_body(1, 400_000)
                    storing = asyncio.create_task(store_in_parts(incarnations.store, write, body))
                    await run_ready_callbacks(count)
                    is_acked = storing.done() and storing.exception() is None
                    await incarnations.crash()
                    storing.cancel()
                    await asyncio.gather(storing, return_exceptions=True)
                    found = [stored for stored, _ in (await incarnations.store.load()).writes]
                    assert found in ([], [as_loaded(write)]) and (not is_acked or found), (
                        f"{found} after {count}"
                    )
                    assert await incarnations.store.read(write.write_id) == ((write, body) if found else None)

        self.run(main())

    def test_storing_a_part_or_head_on_a_failing_disk_raises(self) -> None:
        """Storing a part or a head on a failing disk raises StoreError, and the write is not readable."""

        async def main() -> None:
            async with self.incarnations() as incarnations:
                await incarnations.store.load()
                write, body = write_with_body(1, 100_000)
                parts = parts_of(body)
                await incarnations.store.put_parts(write.write_id, 1, parts[1:])
                incarnations.fail_writes()
                with raises(StoreError, "a part on a failing disk"):
                    await incarnations.store.put_parts(write.write_id, 2, [b"x"])
                with raises(StoreError, "a head on a failing disk"):
                    await incarnations.store.put_head(write, parts[0])
                assert await incarnations.store.read(write.write_id) is None
                await incarnations.restart()
                found = [stored for stored, _ in (await incarnations.store.load()).writes]
                assert found in ([], [as_loaded(write)])

        self.run(main())
