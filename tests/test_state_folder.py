"""The folders that last, on a disk that fails for a while and processes that are killed.

The matrix of docs/design/state-folder.md: the store, the record of orders, the outbox and the consensus
state, each against ENOSPC and EIO at writes and syncs, a failed sync that a good one follows, and a kill
at every byte of a write."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import itertools
import random
from collections.abc import Iterator
from typing import Any

import pytest

from laurelstep.store import Options, Store, StoreError, StoreUnavailableError
from laurelstep.store.manifest import MANIFEST, segment_name
from laurelstep.store.store import BACKOFF_MOST_S
from laurelstep.testing.disk import Op, SimulatedDisk
from tests.once import once
from tests.test_store import SMALL, State, Times, opened, state_of

pytestmark = once

NO_SPACE = OSError(errno.ENOSPC, "No space left on device")
IO_ERROR = OSError(errno.EIO, "Input/output error")
FAULTS = [NO_SPACE, IO_ERROR]
WRITING = ("write", "create", "cut", "rename")
SYNCING = ("sync", "sync_folder")
# Beyond the longest backoff.
LONG_S = 60.0


def run(test: Any) -> None:
    async def limited() -> None:
        async with asyncio.timeout(60):
            await test

    asyncio.run(limited())


def deaths(disk: SimulatedDisk, seed: int) -> Iterator[SimulatedDisk]:
    """What the next life may find: after a kill, after a loss of power, and after one upon the other."""
    draw = random.Random(seed)
    yield disk.kill()
    yield disk.lose_power()
    yield disk.lose_power(all_=True)
    yield disk.lose_power(draw)


def cuts(journal: list[Op]) -> Iterator[tuple[list[Op], SimulatedDisk]]:
    """Each write and each new file of a journal, broken off at every byte by a kill: what was called
    before it, and the disk that is left. Of zeros written ahead the ends stand for all."""
    disk = SimulatedDisk()
    for at, (name, *args) in enumerate(journal):
        if name in ("write", "create"):
            data = args[-1]
            sizes = range(len(data) + 1) if any(data) else (0, 1, len(data))
            for size in sizes:
                broken = disk.kill()
                if name == "write":
                    broken.write(args[0], args[1], data[:size])
                else:
                    broken.create(args[0], data[:size])
                yield journal[:at], broken
        if name != "mark":
            getattr(disk, name)(*args)
    yield journal, disk.kill()


def marks(journal: list[Op], word: str) -> list[Any]:
    return [op[2] for op in journal if op[:2] == ("mark", word)]


# --- The store -----------------------------------------------------------------------------


@pytest.mark.parametrize("error", FAULTS, ids=["ENOSPC", "EIO"])
def test_a_batch_whose_sync_failed_is_not_taken_for_durable_by_the_next_life(error: OSError) -> None:
    """Its bytes are read from the page cache, and a sync that succeeds says nothing of them."""

    async def main() -> None:
        disk = SimulatedDisk()
        async with opened(disk, Options()) as store:
            await store.put(b"told", b"1")
            disk.fail("sync", error)
            with pytest.raises(StoreUnavailableError):
                await store.put(b"untold", b"2")
            killed = disk.kill()
        assert state_of(killed.kill()) in ({b"told": b"1"}, {b"told": b"1", b"untold": b"2"})
        async with opened(killed, Options()) as store:
            found = {key: await store.get(key) for key in (b"told", b"untold")}
            await store.put(b"later", b"3")
        for after in deaths(killed, 1):
            state = state_of(after)
            assert state == {**{k: v for k, v in found.items() if v is not None}, b"later": b"3"}

    run(main())


@pytest.mark.parametrize("failing", [1, 2], ids=["segment's name", "manifest's name"])
def test_a_folder_whose_sync_failed_as_the_log_rolled_on_loses_nothing(failing: int) -> None:
    async def main() -> None:
        disk, times = SimulatedDisk(), Times()
        async with opened(disk, Options(segment_bytes=300), times) as store:
            for n in range(4):
                await store.put(b"k%d" % n, b"x" * 40)
            fail_nth_folder_sync(disk, failing)
            with pytest.raises(StoreUnavailableError):
                await store.put(b"untold", b"x" * 200)
            killed = disk.kill()
            times.seconds += LONG_S
            await store.put(b"later", b"3")
            named = {MANIFEST, *(segment_name(one.number) for one in store.manifest.segments)}
            assert set(disk.files()) == named, "what is not in use is deleted"
        for after in deaths(disk, 2):
            state = state_of(after)
            assert state[b"later"] == b"3" and len(state) == 5, "the one that failed is not there"
        async with opened(killed, Options(segment_bytes=300)) as store:
            await store.put(b"next life", b"4")
        for after in deaths(killed, 3):
            assert {b"k0", b"k1", b"k2", b"k3", b"next life"} <= set(state_of(after))

    run(main())


def fail_nth_folder_sync(disk: SimulatedDisk, nth: int) -> None:
    """The n-th from now fails, once."""
    real, count = disk.sync_folder, itertools.count(1)

    def sync_folder() -> None:
        if next(count) == nth:
            disk.fail("sync_folder", IO_ERROR)
        real()

    vars(disk)["sync_folder"] = sync_folder


@pytest.mark.parametrize("operation", ["rename", "sync_folder"])
def test_a_compaction_whose_manifest_is_unsure_deletes_nothing_that_it_may_name(operation: str) -> None:
    async def main() -> None:
        disk, times = SimulatedDisk(), Times()
        async with opened(disk, times=times) as store:
            for n in range(20):
                await store.put(b"k%d" % (n % 5), b"v%d" % n)
            await store._roll()
            folder_syncs = sum(op[0] == "sync_folder" for op in await compaction_calls(disk))
            if operation == "rename":
                disk.fail("rename", IO_ERROR)
            else:
                fail_nth_folder_sync(disk, folder_syncs)
            with pytest.raises(OSError, match="Input/output error"):
                await store._compact()
            await store.put(b"k0", b"after")
            expected = {b"k0": b"after", **{b"k%d" % n: b"v%d" % (15 + n) for n in range(1, 5)}}
            for after in deaths(disk, 4):
                assert state_of(after) == expected
            await store._compact()
            await store.put(b"k1", b"again")
            expected[b"k1"] = b"again"
            for after in deaths(disk, 5):
                assert state_of(after) == expected
            named = {MANIFEST, *(segment_name(one.number) for one in store.manifest.segments)}
            assert set(disk.files()) == named, "what is not in use is deleted"

    run(main())


async def compaction_calls(disk: SimulatedDisk) -> list[Op]:
    """What a compaction of this disk's store does to it."""
    copy = disk.kill()
    async with opened(copy) as store:
        copy.journal.clear()
        await store._compact()
        return [*copy.journal]


def test_a_store_on_a_full_disk_opens_and_reads_and_deletes_nothing() -> None:
    async def main() -> None:
        disk = SimulatedDisk()
        async with opened(disk) as store:
            await store.put(b"told", b"1")
        disk.create(segment_name(99), b"left over")
        disk.break_down(NO_SPACE, "create", "write")
        async with opened(disk) as store:
            assert await store.get(b"told") == b"1" and segment_name(99) in disk.files()
            with pytest.raises(StoreUnavailableError):
                await store.put(b"untold", b"2")
        disk.mend()
        async with opened(disk):
            assert segment_name(99) not in disk.files()

    run(main())


@pytest.mark.parametrize("operation", ["sync", "create", "rename", "sync_folder"])
def test_a_store_whose_disk_fails_as_it_is_opened_is_refused_and_may_be_opened_later(operation: str) -> None:
    async def main() -> None:
        disk = SimulatedDisk()
        async with opened(disk) as store:
            await store.put(b"told", b"1")
        disk.break_down(IO_ERROR, operation)
        with pytest.raises(StoreError, match="Input/output error"):
            await Store.open(disk)
        disk.mend()
        async with opened(disk) as store:
            assert await store.get(b"told") == b"1"

    run(main())


def test_writing_ends_where_compaction_left_the_active_segment_perhaps_sealed() -> None:
    async def main() -> None:
        disk, times = SimulatedDisk(), Times()
        async with opened(disk, Options(), times) as store:
            await store.put(b"k0", b"1")
            fail_nth_folder_sync(disk, 2)
            with pytest.raises(OSError, match="Input/output error"):
                await store.compact()
            with pytest.raises(StoreUnavailableError):
                await store.put(b"k1", b"untold")
            assert state_of(disk.kill()) == {b"k0": b"1"}
            times.seconds += LONG_S
            await store.put(b"k2", b"3")
            for after in deaths(disk, 6):
                assert state_of(after) == {b"k0": b"1", b"k2": b"3"}

    run(main())


def test_a_write_that_comes_as_compaction_seals_the_active_segment_is_not_lost() -> None:
    async def main() -> None:
        disk = SimulatedDisk()
        async with opened(disk, Options()) as store:
            await store.put(b"k0", b"1")
            compacting = asyncio.ensure_future(store.compact())
            for n in range(1, 6):
                await store.put(b"k%d" % n, b"told")
            await compacting
        assert state_of(disk.lose_power()) == {b"k0": b"1", **{b"k%d" % n: b"told" for n in range(1, 6)}}

    run(main())


class Course:
    """Writes over several lives, and which values of each key a life may find."""

    def __init__(self, seed: int) -> None:
        self.draw = random.Random(seed)
        self.allowed: dict[bytes, set[bytes | None]] = {}
        self.told = self.refused = 0

    async def write(self, store: Store) -> None:
        key = b"k%d" % self.draw.randrange(6)
        value = self.draw.randbytes(self.draw.randrange(60)) if self.draw.random() < 0.8 else None
        try:
            await (store.delete(key) if value is None else store.put(key, value))
        except StoreUnavailableError:
            self.refused += 1
            self.allowed.setdefault(key, {None}).add(value)
        else:
            self.told += 1
            self.allowed[key] = {value}

    def check(self, state: State) -> None:
        for key, values in self.allowed.items():
            assert state.get(key) in values, key

    def found(self, state: State) -> None:
        """By a life, which may tell it: it is so from now on."""
        self.check(state)
        self.allowed = {key: {state.get(key)} for key in self.allowed}


@pytest.mark.parametrize("operations", [WRITING, SYNCING], ids=["at writes", "at syncs"])
@pytest.mark.parametrize("error", FAULTS, ids=["ENOSPC", "EIO"])
@pytest.mark.parametrize("seed", range(8))
def test_a_store_on_a_disk_that_fails_for_a_while_loses_nothing_told(
    error: OSError, operations: tuple[str, ...], seed: int
) -> None:
    async def main() -> None:
        disk, times, course = SimulatedDisk(), Times(), Course(seed)
        for life in range(6):
            async with opened(disk, SMALL, times) as store:
                course.found({key: value async for key, value in store.each(b"k")})
                for phase in range(6):
                    if phase % 2:
                        disk.break_down(
                            error, *course.draw.sample(operations, course.draw.randint(1, len(operations)))
                        )
                    else:
                        disk.mend()
                        times.seconds += BACKOFF_MOST_S
                        before = course.told
                        await course.write(store)
                        assert course.told == before + 1, "it writes again once the disk does"
                    for _ in range(course.draw.randrange(8)):
                        await course.write(store)
                        times.seconds += course.draw.random() * 3
                        for after in deaths(disk, course.draw.randrange(1 << 30)):
                            after.mend()
                            course.check(state_of(after))
                    if phase == 3:
                        with contextlib.suppress(OSError):
                            await store.compact()
                after = course.draw.choice([*deaths(disk, seed * 100 + life)])
            after.mend()
            disk = after
        assert course.told > 20 and course.refused > 5

    run(main())
