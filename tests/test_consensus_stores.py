"""Stores of consensus: what a batch must be, and what a failure leaves."""

from __future__ import annotations

import asyncio
import errno
import random
from pathlib import Path

import pytest
from laurelstep.consensus.stores.embedded import MAX_BATCH_BYTES, EmbeddedStore
from laurelstep.consensus.stores.none import NoStore
from laurelstep.store import StoreError
from laurelstep.store.manifest import segment_name
from laurelstep.testing.disk import SimulatedDisk

from tests.sockets import run


def test_without_a_store_nothing_is_durable() -> None:
    async def main() -> None:
        store = NoStore()
        assert not store.is_durable
        assert store.write({b"a": b"1"}).done()
        assert await store.load() == {}
        await store.close()

    run(main())


def test_the_embedded_store_has_what_was_written_in_the_order_of_calls(tmp_path: Path) -> None:
    async def main() -> None:
        folder = str(tmp_path / "accord")
        store = await EmbeddedStore.open(folder)
        assert store.is_durable and await store.load() == {}
        first = store.write({b"a": b"1", b"b": b"1"})
        await asyncio.sleep(0)
        second = store.write({b"a": None, b"c": b"2"})
        third = store.write({b"b": b"3", b"d": b""})
        empty = store.write({})
        assert not first.done()
        await asyncio.gather(second, third, empty)
        assert first.done() and store.store.stats().batches == 2, "calls that wait are one batch"
        await store.write({})
        await store.close()
        await store.close()
        again = await EmbeddedStore.open(folder)
        assert await again.load() == {b"b": b"3", b"c": b"2", b"d": b""}
        with pytest.raises(StoreError, match="another process has this store open"):
            await EmbeddedStore.open(folder)
        await again.close()

    run(main())


def test_a_call_s_changes_are_found_complete_or_not_at_all_wherever_power_is_lost() -> None:
    async def main() -> None:
        disk = SimulatedDisk()
        store = await EmbeddedStore.open(disk)
        for n in range(12):
            await store.write({b"%d" % key: n.to_bytes(64) for key in range(20)})
            disk.mark("written", n)
        await store.close()
        draw = random.Random(5)
        for end in range(0, len(disk.journal), 2):
            journal = disk.journal[:end]
            least = max((one[2] for one in journal if one[0] == "mark"), default=-1)
            after = SimulatedDisk.replay(journal).lose_power(draw)
            try:
                found = await EmbeddedStore.open(after)
            except StoreError:
                # Not even the first manifest: the store was never there.
                assert least == -1
                continue
            kept = await found.load()
            await found.close()
            told = set(kept.values())
            assert len(told) <= 1 and len(kept) in (0, 20), "torn"
            assert (int.from_bytes(told.pop()) if told else -1) >= least, "lost"

    run(main())


def test_after_a_failed_write_nothing_more_is_written() -> None:
    async def main() -> None:
        disk = SimulatedDisk()
        store = await EmbeddedStore.open(disk)
        await store.write({b"a": b"1"})
        disk.fail("write", OSError(errno.ENOSPC, "No space left on device"))
        first = store.write({b"a": b"2"})
        second = store.write({b"b": b"2"})
        with pytest.raises(StoreError, match="No space left"):
            await first
        third = store.write({b"c": b"3"})
        for one in (second, third):
            with pytest.raises(StoreError, match="No space left"):
                await one
        await store.close()
        again = await EmbeddedStore.open(disk.lose_power(all_=True))
        assert await again.load() == {b"a": b"1"}
        await again.close()
        with pytest.raises(StoreError, match="closed"):
            await again.write({b"a": b"3"})

    run(main())


@pytest.mark.parametrize(
    "changes",
    [
        {b"": b"1"},
        {b"k" * 2000: b"1"},
        {b"k": b"x" * (2 << 20)},
        {b"%d" % n: b"x" * (1 << 20) for n in range(9)},
    ],
)
def test_changes_that_can_not_be_stored_fail_the_call(changes: dict[bytes, bytes | None]) -> None:
    async def main() -> None:
        store = await EmbeddedStore.open(SimulatedDisk())
        with pytest.raises(StoreError):
            await store.write(changes)
        assert await store.load() == {}
        await store.close()

    run(main())
    assert MAX_BATCH_BYTES < 9 << 20


def test_a_damaged_store_is_an_error(tmp_path: Path) -> None:
    async def main() -> None:
        store = await EmbeddedStore.open(str(tmp_path))
        await store.write({b"a": b"1" * 100})
        await store.write({b"a": b"2" * 100})
        await store.close()
        path = tmp_path / segment_name(1)
        data = bytearray(path.read_bytes())
        data[40] ^= 1
        path.write_bytes(data)
        with pytest.raises(StoreError):
            await EmbeddedStore.open(str(tmp_path))

    run(main())
