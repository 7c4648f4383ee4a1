"""Contract of the store of queued writes: what was acknowledged survives, and nothing else appears."""

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

LINE: Final = EdgeLog("studio-1", 7)
# Body lengths: empty, one part, the limits of a part, several parts.
BODY_SIZES: Final = (0, 1, 65_536, 65_537, 400_000)
# Turns of the loop after which the crash comes.
CRASH_TURNS: Final = (0, 1, 2, 3, 5, 8, 13, 30)


class WriteStore(Protocol):
    """What the outbox's driver needs of its store."""

    async def load(self) -> LoadedWrites:
        """All writes, without bodies, and the known logs."""

    async def put_write(self, write: QueuedWrite, body: bytes) -> None:
        """Store a write with its complete body."""

    async def put_parts(self, write_id: WriteId, first_number: int, parts: Sequence[bytes]) -> None:
        """Store parts of a body that is still arriving, from part `at` on."""

    async def put_head(self, write: QueuedWrite, first: bytes) -> None:
        """Complete a write whose further parts are stored."""

    async def put_state(self, moved: StateChange) -> None:
        """Store a new state of a write."""

    async def read(self, write_id: WriteId) -> tuple[QueuedWrite, bytes] | None:
        """A write and its complete body; None if it is not there."""

    async def head(self, write_id: WriteId) -> tuple[QueuedWrite, bytes] | None:
        """A write and the first part of its body; None if it is not there."""

    async def part(self, write_id: WriteId, at: int) -> bytes:
        """Part `at` of a body."""

    async def state_change(self, write_id: WriteId) -> StateChange | None:
        """The last state that was stored of a write; None if there is none."""

    async def delete_write(self, write_id: WriteId, size: int) -> bool:
        """Delete a write whose body has this size. False if the deletion can't be written."""

    async def put_logs(self, lines: Mapping[EdgeLog, int]) -> None:
        """Store how far each log has come."""


class WriteStoreIncarnations(Protocol):
    """One process after another on one durable store."""

    @property
    def store(self) -> WriteStore:
        """The current process's store."""

    async def restart(self) -> None:
        """Close the store in order; the next process opens it."""

    async def crash(self) -> None:
        """Lose power: what is not durable may be lost; the next process opens the store."""

    def fail_writes(self) -> None:
        """Let all writes fail until the next process."""


def dot_of(number: int) -> WriteId:
    """The id of the write with this number."""
    return WriteId(*LINE, number)


def write_of(number: int, size: int) -> QueuedWrite:
    """A queued write with a body of this many bytes."""
    return QueuedWrite(
        write_id=dot_of(number),
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
    """At least `size` bytes that differ from write to write."""
    return bytes((number + at) % 251 for at in range(251)) * (size // 251 + 1) if size else b""


def write_with_body(number: int, size: int) -> tuple[QueuedWrite, bytes]:
    """A queued write and its body."""
    return write_of(number, size), body_of(number, size)[:size]


def parts_of(body: bytes) -> list[bytes]:
    """A body in parts, the first among them."""
    return [body[at : at + BODY_PART_BYTES] for at in range(0, len(body), BODY_PART_BYTES)]


async def store_in_parts(store: WriteStore, write: QueuedWrite, body: bytes) -> None:
    """Store a write as one whose body is still arriving: two parts at a time, the head last."""
    parts = parts_of(body)
    for at in range(1, len(parts), 2):
        await store.put_parts(write.write_id, at, parts[at : at + 2])
    await store.put_head(write, parts[0])


def as_loaded(write: QueuedWrite) -> QueuedWrite:
    """The write as `load` gives it: without what only a replay needs."""
    return replace(write, method_and_target=b"", headers=(), digest=b"")


class WriteStoreContract(Contract, ABC):
    """The rules:

    1. Each later process finds an acknowledged write with its body, however the earlier one ended. What only
       a replay needs is not loaded with it.
    2. Of a write that was not acknowledged a later process finds all or nothing.
    3. The last state that was written holds, and is loaded without its answer's headers and body. A final
       state deletes the write's body; the head and the state stay.
    4. A forgotten write is gone.
    5. A write on a failing disk ends with an error, and what was stored before can still be read.
    6. A body may be stored part by part: with its head the write is complete; without it no process finds the
       write, and its parts can be forgotten.
    """

    @abstractmethod
    def incarnations(self) -> AbstractAsyncContextManager[WriteStoreIncarnations]:
        """A first process on an empty store."""

    def test_a_kept_write_is_found_with_its_body(self) -> None:
        """Stored writes are found with their bodies, of every size, after a restart and after a crash."""

        async def main() -> None:
            async with self.incarnations() as incarnations:
                assert (await incarnations.store.load()).writes == []
                for number, size in enumerate(BODY_SIZES, start=1):
                    await incarnations.store.put_write(*write_with_body(number, size))
                for restart in (incarnations.restart, incarnations.crash):
                    await restart()
                    found = await incarnations.store.load()
                    assert [one for one, _ in found.writes] == [
                        as_loaded(write_of(number, size)) for number, size in enumerate(BODY_SIZES, start=1)
                    ]
                    assert found.edge_logs == {LINE: len(BODY_SIZES)}
                    for number, size in enumerate(BODY_SIZES, start=1):
                        assert await incarnations.store.read(dot_of(number)) == write_with_body(number, size)

        self.run(main())

    def test_a_crash_leaves_all_of_a_write_or_nothing(self) -> None:
        """After a crash at any point of `put_write`, the write is complete or missing; an acknowledged one is
        complete.
        """

        async def main() -> None:
            for crash in CRASH_TURNS:
                async with self.incarnations() as incarnations:
                    await incarnations.store.load()
                    await incarnations.store.put_write(*write_with_body(1, 10))
                    keeping = asyncio.create_task(incarnations.store.put_write(*write_with_body(2, 200_000)))
                    await run_ready_callbacks(crash)
                    told = keeping.done() and keeping.exception() is None
                    await incarnations.crash()
                    keeping.cancel()
                    await asyncio.gather(keeping, return_exceptions=True)
                    found = [one.write_id.number for one, _ in (await incarnations.store.load()).writes]
                    assert found in ([1], [1, 2]) and (not told or 2 in found), f"{found} after {crash}"
                    for number, size in zip(found, (10, 200_000), strict=False):
                        assert await incarnations.store.read(dot_of(number)) == write_with_body(number, size)

        self.run(main())

    def test_the_last_state_holds_and_a_final_one_ends_the_body(self) -> None:
        """The last state written survives restart and crash, and `load` leaves out its answer's body."""

        async def main() -> None:
            async with self.incarnations() as incarnations:
                await incarnations.store.load()
                for number in (1, 2):
                    await incarnations.store.put_write(*write_with_body(number, 100_000))
                out = StateChange(dot_of(1), WriteState.OUT)
                done = StateChange(dot_of(1), WriteState.DONE, status=200, body=b"ok")
                await incarnations.store.put_state(out)
                await incarnations.store.put_state(StateChange(dot_of(2), WriteState.OUT))
                await incarnations.store.put_state(done)
                for restart in (incarnations.restart, incarnations.crash):
                    await restart()
                    found = {
                        one.write_id.number: moved for one, moved in (await incarnations.store.load()).writes
                    }
                    assert found == {1: replace(done, body=b""), 2: StateChange(dot_of(2), WriteState.OUT)}
                    assert await incarnations.store.state_change(dot_of(1)) == done
                    assert await incarnations.store.read(dot_of(2)) == write_with_body(2, 100_000)

        self.run(main())

    def test_what_was_forgotten_is_gone_and_its_number_is_known(self) -> None:
        """A deleted write and its state are gone after a restart, while the edge log's last number stays."""

        async def main() -> None:
            async with self.incarnations() as incarnations:
                await incarnations.store.load()
                await incarnations.store.put_write(*write_with_body(1, 200_000))
                await incarnations.store.put_state(StateChange(dot_of(1), WriteState.PARKED))
                await incarnations.store.put_logs({LINE: 9})
                assert await incarnations.store.delete_write(dot_of(1), 200_000)
                assert await incarnations.store.read(dot_of(1)) is None
                await incarnations.restart()
                found = await incarnations.store.load()
                assert found.writes == [] and found.edge_logs == {LINE: 9}
                assert await incarnations.store.state_change(dot_of(1)) is None

        self.run(main())

    def test_nothing_is_kept_on_a_disk_that_fails(self) -> None:
        """Writes to a failing disk raise StoreError, and what was stored before stays readable."""

        async def main() -> None:
            async with self.incarnations() as incarnations:
                await incarnations.store.load()
                await incarnations.store.put_write(*write_with_body(1, 100_000))
                incarnations.fail_writes()
                with raises(StoreError, "a write on a disk that fails"):
                    await incarnations.store.put_write(*write_with_body(2, 200_000))
                with raises(StoreError, "a state on a disk that fails"):
                    await incarnations.store.put_state(StateChange(dot_of(1), WriteState.OUT))
                assert await incarnations.store.read(dot_of(1)) == write_with_body(1, 100_000)
                assert await incarnations.store.read(dot_of(2)) is None
                await incarnations.restart()
                found = [one.write_id.number for one, _ in (await incarnations.store.load()).writes]
                assert found in ([1], [1, 2])

        self.run(main())

    def test_a_body_kept_part_by_part_is_found_with_its_head(self) -> None:
        """A body stored in parts isn't readable before its head is stored, and complete after it."""

        async def main() -> None:
            async with self.incarnations() as incarnations:
                await incarnations.store.load()
                write, body = write_with_body(1, 400_000)
                parts = parts_of(body)
                for at in range(1, len(parts), 2):
                    await incarnations.store.put_parts(write.write_id, at, parts[at : at + 2])
                    assert await incarnations.store.read(write.write_id) is None
                await incarnations.store.put_head(write, parts[0])
                for restart in (incarnations.restart, incarnations.crash):
                    assert await incarnations.store.head(write.write_id) == (write, parts[0])
                    found = [await incarnations.store.part(write.write_id, at) for at in range(1, len(parts))]
                    assert found == parts[1:]
                    assert await incarnations.store.read(write.write_id) == (write, body)
                    await restart()
                    assert [one for one, _ in (await incarnations.store.load()).writes] == [as_loaded(write)]

        self.run(main())

    def test_parts_without_a_head_are_nothing(self) -> None:
        """Parts without a head are no write after a crash, and can be deleted; a missing part raises
        StoreError.
        """

        async def main() -> None:
            async with self.incarnations() as incarnations:
                await incarnations.store.load()
                write, body = write_with_body(1, 400_000)
                await incarnations.store.put_parts(write.write_id, 1, parts_of(body)[1:])
                assert await incarnations.store.head(write.write_id) is None
                await incarnations.crash()
                assert (await incarnations.store.load()).writes == []
                with raises(StoreError, "a part of a write that was never kept"):
                    await incarnations.store.part(write.write_id, 1)
                await incarnations.store.put_parts(write.write_id, 1, parts_of(body)[1:3])
                assert await incarnations.store.delete_write(write.write_id, len(body))
                with raises(StoreError, "a part that was forgotten"):
                    await incarnations.store.part(write.write_id, 1)

        self.run(main())

    def test_a_crash_in_a_body_kept_part_by_part_leaves_all_or_nothing(self) -> None:
        """After a crash at any point of storing in parts, the write is complete or missing; an acknowledged
        one is complete.
        """

        async def main() -> None:
            for crash in CRASH_TURNS:
                async with self.incarnations() as incarnations:
                    await incarnations.store.load()
                    write, body = write_with_body(1, 400_000)
                    keeping = asyncio.create_task(store_in_parts(incarnations.store, write, body))
                    await run_ready_callbacks(crash)
                    told = keeping.done() and keeping.exception() is None
                    await incarnations.crash()
                    keeping.cancel()
                    await asyncio.gather(keeping, return_exceptions=True)
                    found = [one for one, _ in (await incarnations.store.load()).writes]
                    assert found in ([], [as_loaded(write)]) and (not told or found), f"{found} after {crash}"
                    assert await incarnations.store.read(write.write_id) == ((write, body) if found else None)

        self.run(main())

    def test_no_part_and_no_head_is_kept_on_a_disk_that_fails(self) -> None:
        """Storing a part or a head on a failing disk raises StoreError, and the write isn't readable."""

        async def main() -> None:
            async with self.incarnations() as incarnations:
                await incarnations.store.load()
                write, body = write_with_body(1, 100_000)
                parts = parts_of(body)
                await incarnations.store.put_parts(write.write_id, 1, parts[1:])
                incarnations.fail_writes()
                with raises(StoreError, "a part on a disk that fails"):
                    await incarnations.store.put_parts(write.write_id, 2, [b"x"])
                with raises(StoreError, "a head on a disk that fails"):
                    await incarnations.store.put_head(write, parts[0])
                assert await incarnations.store.read(write.write_id) is None
                await incarnations.restart()
                found = [one for one, _ in (await incarnations.store.load()).writes]
                assert found in ([], [as_loaded(write)])

        self.run(main())
