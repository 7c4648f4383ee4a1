"""Stores of consensus: batches are atomic and ordered, and nothing is written after a failure."""

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


def test_the_embedded_store_applies_writes_in_the_order_of_the_calls(tmp_path: Path) -> None:
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
        assert first.done() and store.store.stats().batches == 2, (
            "calls made during a write are merged into one batch"
        )
        await store.write({})
        await store.close()
        await store.close()
        reopened = await EmbeddedStore.open(folder)
        assert await reopened.load() == {b"b": b"3", b"c": b"2", b"d": b""}
        with pytest.raises(StoreError, match="another process has this store open"):
            await EmbeddedStore.open(folder)
        await reopened.close()

    run(main())


def test_the_changes_of_a_call_are_atomic_wherever_power_is_lost() -> None:
    async def main() -> None:
        disk = SimulatedDisk()
        store = await EmbeddedStore.open(disk)
        for n in range(12):
            await store.write({b"%d" % key: n.to_bytes(64) for key in range(20)})
            disk.mark("written", n)
        await store.close()
        rng = random.Random(5)
        for event_count in range(0, len(disk.journal), 2):
            journal = disk.journal[:event_count]
            last_completed = max((event[2] for event in journal if event[0] == "mark"), default=-1)
            recovered_disk = SimulatedDisk.replay(journal).lose_power(rng)
            try:
                recovered = await EmbeddedStore.open(recovered_disk)
            except StoreError:
                # Power was lost before the first manifest was written: there is no store yet.
                assert last_completed == -1
                continue
            records = await recovered.load()
            await recovered.close()
            values = set(records.values())
            assert len(values) <= 1 and len(records) in (0, 20), "the changes of one call must be atomic"
            assert (int.from_bytes(values.pop()) if values else -1) >= last_completed, (
                "a completed write was lost"
            )

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
        for write in (second, third):
            with pytest.raises(StoreError, match="No space left"):
                await write
        await store.close()
        reopened = await EmbeddedStore.open(disk.lose_power(keeps_all=True))
        assert await reopened.load() == {b"a": b"1"}
        await reopened.close()
        with pytest.raises(StoreError, match="closed"):
            await reopened.write({b"a": b"3"})

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
def test_changes_that_exceed_the_limits_fail_the_call(changes: dict[bytes, bytes | None]) -> None:
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
