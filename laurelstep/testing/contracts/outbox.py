"""The store of kept writes: what was told as kept must survive, and nothing else come about."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from contextlib import AbstractAsyncContextManager
from typing import Final, Protocol

from msgspec.structs import replace

from laurelstep.outbox.options import CHUNK
from laurelstep.outbox.queue_store import LoadedWrites
from laurelstep.outbox.records import QueuedWrite, StateChange, WriteState
from laurelstep.outbox.write_ids import EdgeLog, WriteId
from laurelstep.store.disk import StoreError
from laurelstep.testing.contracts.base import Contract, raises, turns

LINE: Final = EdgeLog("studio-1", 7)
# Of bodies: none, one part, its bound, and several parts.
SIZES: Final = (0, 1, 65_536, 65_537, 400_000)
# Turns of the loop after which the crash comes.
CRASHES: Final = (0, 1, 2, 3, 5, 8, 13, 30)


class WriteStore(Protocol):
    """What the outbox's driver asks of it."""

    async def load(self) -> LoadedWrites: ...
    async def put_write(self, write: QueuedWrite, body: bytes) -> None: ...
    async def put_parts(self, write_id: WriteId, at: int, parts: Sequence[bytes]) -> None: ...
    async def put_head(self, write: QueuedWrite, first: bytes) -> None: ...
    async def put_state(self, moved: StateChange) -> None: ...
    async def read(self, write_id: WriteId) -> tuple[QueuedWrite, bytes] | None: ...
    async def head(self, write_id: WriteId) -> tuple[QueuedWrite, bytes] | None: ...
    async def part(self, write_id: WriteId, at: int) -> bytes: ...
    async def state_change(self, write_id: WriteId) -> StateChange | None: ...
    async def delete_write(self, write_id: WriteId, size: int) -> bool: ...
    async def put_logs(self, lines: Mapping[EdgeLog, int]) -> None: ...


class Lives(Protocol):
    """One process after another on what is kept."""

    @property
    def store(self) -> WriteStore: ...

    async def restart(self) -> None: ...

    async def crash(self) -> None:
        """Without power: what is not durable may be lost."""

    def break_(self) -> None:
        """From now on, until the next process, nothing can be written."""


def dot_of(number: int) -> WriteId:
    return WriteId(*LINE, number)


def write_of(number: int, size: int) -> QueuedWrite:
    return QueuedWrite(
        write_id=dot_of(number),
        cls="upload",
        start=b"POST /upload",
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
        life=0,
    )


def body_of(number: int, size: int) -> bytes:
    return bytes((number + at) % 251 for at in range(251)) * (size // 251 + 1) if size else b""


def made(number: int, size: int) -> tuple[QueuedWrite, bytes]:
    return write_of(number, size), body_of(number, size)[:size]


def parts_of(body: bytes) -> list[bytes]:
    """All of a body, its first part too."""
    return [body[at : at + CHUNK] for at in range(0, len(body), CHUNK)]


async def keep_in_parts(store: WriteStore, write: QueuedWrite, body: bytes) -> None:
    """As a body that is still coming is kept: two parts at a time, the head last."""
    parts = parts_of(body)
    for at in range(1, len(parts), 2):
        await store.put_parts(write.write_id, at, parts[at : at + 2])
    await store.put_head(write, parts[0])


def as_loaded(write: QueuedWrite) -> QueuedWrite:
    """Without what only a replay needs."""
    return replace(write, start=b"", headers=(), digest=b"")


class WriteStoreContract(Contract, ABC):
    """The rules:

    1. A write that was kept is found by each next life, with its body, whatever befell the one before. What
       only a replay needs is not loaded with it.
    2. Of one that was not told as kept, a later life finds all or nothing.
    3. The last state that was written holds, and is loaded without its answer's headers and body. A final one
       ends the write's body; the head and the state stay.
    4. What was forgotten is gone.
    5. Nothing is kept on a disk that fails, and what was kept before can still be read.
    6. A body may be kept part by part: with its head the write is as any; without it no life finds it, and
       what there is of it can be forgotten.
    """

    @abstractmethod
    def lives(self) -> AbstractAsyncContextManager[Lives]:
        """A first process, with nothing kept."""

    def test_a_kept_write_is_found_with_its_body(self) -> None:
        async def main() -> None:
            async with self.lives() as lives:
                assert (await lives.store.load()).writes == []
                for number, size in enumerate(SIZES, start=1):
                    await lives.store.put_write(*made(number, size))
                for restart in (lives.restart, lives.crash):
                    await restart()
                    found = await lives.store.load()
                    assert [one for one, _ in found.writes] == [
                        as_loaded(write_of(number, size)) for number, size in enumerate(SIZES, start=1)
                    ]
                    assert found.edge_logs == {LINE: len(SIZES)}
                    for number, size in enumerate(SIZES, start=1):
                        assert await lives.store.read(dot_of(number)) == made(number, size)

        self.run(main())

    def test_a_crash_leaves_all_of_a_write_or_nothing(self) -> None:
        async def main() -> None:
            for crash in CRASHES:
                async with self.lives() as lives:
                    await lives.store.load()
                    await lives.store.put_write(*made(1, 10))
                    keeping = asyncio.create_task(lives.store.put_write(*made(2, 200_000)))
                    await turns(crash)
                    told = keeping.done() and keeping.exception() is None
                    await lives.crash()
                    keeping.cancel()
                    await asyncio.gather(keeping, return_exceptions=True)
                    found = [one.write_id.number for one, _ in (await lives.store.load()).writes]
                    assert found in ([1], [1, 2]) and (not told or 2 in found), f"{found} after {crash}"
                    for number, size in zip(found, (10, 200_000), strict=False):
                        assert await lives.store.read(dot_of(number)) == made(number, size)

        self.run(main())

    def test_the_last_state_holds_and_a_final_one_ends_the_body(self) -> None:
        async def main() -> None:
            async with self.lives() as lives:
                await lives.store.load()
                for number in (1, 2):
                    await lives.store.put_write(*made(number, 100_000))
                out = StateChange(dot_of(1), WriteState.OUT)
                done = StateChange(dot_of(1), WriteState.DONE, status=200, body=b"ok")
                await lives.store.put_state(out)
                await lives.store.put_state(StateChange(dot_of(2), WriteState.OUT))
                await lives.store.put_state(done)
                for restart in (lives.restart, lives.crash):
                    await restart()
                    found = {one.write_id.number: moved for one, moved in (await lives.store.load()).writes}
                    assert found == {1: replace(done, body=b""), 2: StateChange(dot_of(2), WriteState.OUT)}
                    assert await lives.store.state_change(dot_of(1)) == done
                    assert await lives.store.read(dot_of(2)) == made(2, 100_000)

        self.run(main())

    def test_what_was_forgotten_is_gone_and_its_number_is_known(self) -> None:
        async def main() -> None:
            async with self.lives() as lives:
                await lives.store.load()
                await lives.store.put_write(*made(1, 200_000))
                await lives.store.put_state(StateChange(dot_of(1), WriteState.PARKED))
                await lives.store.put_logs({LINE: 9})
                assert await lives.store.delete_write(dot_of(1), 200_000)
                assert await lives.store.read(dot_of(1)) is None
                await lives.restart()
                found = await lives.store.load()
                assert found.writes == [] and found.edge_logs == {LINE: 9}
                assert await lives.store.state_change(dot_of(1)) is None

        self.run(main())

    def test_nothing_is_kept_on_a_disk_that_fails(self) -> None:
        async def main() -> None:
            async with self.lives() as lives:
                await lives.store.load()
                await lives.store.put_write(*made(1, 100_000))
                lives.break_()
                with raises(StoreError, "a write on a disk that fails"):
                    await lives.store.put_write(*made(2, 200_000))
                with raises(StoreError, "a state on a disk that fails"):
                    await lives.store.put_state(StateChange(dot_of(1), WriteState.OUT))
                assert await lives.store.read(dot_of(1)) == made(1, 100_000)
                assert await lives.store.read(dot_of(2)) is None
                await lives.restart()
                found = [one.write_id.number for one, _ in (await lives.store.load()).writes]
                assert found in ([1], [1, 2])

        self.run(main())

    def test_a_body_kept_part_by_part_is_found_with_its_head(self) -> None:
        async def main() -> None:
            async with self.lives() as lives:
                await lives.store.load()
                write, body = made(1, 400_000)
                parts = parts_of(body)
                for at in range(1, len(parts), 2):
                    await lives.store.put_parts(write.write_id, at, parts[at : at + 2])
                    assert await lives.store.read(write.write_id) is None
                await lives.store.put_head(write, parts[0])
                for restart in (lives.restart, lives.crash):
                    assert await lives.store.head(write.write_id) == (write, parts[0])
                    found = [await lives.store.part(write.write_id, at) for at in range(1, len(parts))]
                    assert found == parts[1:]
                    assert await lives.store.read(write.write_id) == (write, body)
                    await restart()
                    assert [one for one, _ in (await lives.store.load()).writes] == [as_loaded(write)]

        self.run(main())

    def test_parts_without_a_head_are_nothing(self) -> None:
        async def main() -> None:
            async with self.lives() as lives:
                await lives.store.load()
                write, body = made(1, 400_000)
                await lives.store.put_parts(write.write_id, 1, parts_of(body)[1:])
                assert await lives.store.head(write.write_id) is None
                await lives.crash()
                assert (await lives.store.load()).writes == []
                with raises(StoreError, "a part of a write that was never kept"):
                    await lives.store.part(write.write_id, 1)
                await lives.store.put_parts(write.write_id, 1, parts_of(body)[1:3])
                assert await lives.store.delete_write(write.write_id, len(body))
                with raises(StoreError, "a part that was forgotten"):
                    await lives.store.part(write.write_id, 1)

        self.run(main())

    def test_a_crash_in_a_body_kept_part_by_part_leaves_all_or_nothing(self) -> None:
        async def main() -> None:
            for crash in CRASHES:
                async with self.lives() as lives:
                    await lives.store.load()
                    write, body = made(1, 400_000)
                    keeping = asyncio.create_task(keep_in_parts(lives.store, write, body))
                    await turns(crash)
                    told = keeping.done() and keeping.exception() is None
                    await lives.crash()
                    keeping.cancel()
                    await asyncio.gather(keeping, return_exceptions=True)
                    found = [one for one, _ in (await lives.store.load()).writes]
                    assert found in ([], [as_loaded(write)]) and (not told or found), f"{found} after {crash}"
                    assert await lives.store.read(write.write_id) == ((write, body) if found else None)

        self.run(main())

    def test_no_part_and_no_head_is_kept_on_a_disk_that_fails(self) -> None:
        async def main() -> None:
            async with self.lives() as lives:
                await lives.store.load()
                write, body = made(1, 100_000)
                parts = parts_of(body)
                await lives.store.put_parts(write.write_id, 1, parts[1:])
                lives.break_()
                with raises(StoreError, "a part on a disk that fails"):
                    await lives.store.put_parts(write.write_id, 2, [b"x"])
                with raises(StoreError, "a head on a disk that fails"):
                    await lives.store.put_head(write, parts[0])
                assert await lives.store.read(write.write_id) is None
                await lives.restart()
                found = [one for one, _ in (await lives.store.load()).writes]
                assert found in ([], [as_loaded(write)])

        self.run(main())
