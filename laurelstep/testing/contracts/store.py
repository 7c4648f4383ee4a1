"""Contract of consensus' `Store`, which may be durable or not."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from laurelstep.consensus.ports import Store
from laurelstep.store.disk import StoreError
from laurelstep.testing.contracts.base import Contract, raises, run_ready_callbacks

# Iterations of the event loop before a crash: from before a write starts until it may have completed.
CRASH_ITERATIONS = (0, 1, 2, 3, 5, 8, 13, 30)


def ignore_result(write: asyncio.Future[None]) -> asyncio.Future[None]:
    """Retrieve the result of a write, so that asyncio does not log an error that no test reads."""
    write.add_done_callback(lambda done: None if done.cancelled() else done.exception())
    return write


class StoreIncarnations(Protocol):
    """Successive processes on one durable state, each with a store on the running loop."""

    store: Store  # of the current process

    async def restart(self) -> None:
        """Close the store, and open it in the next process."""

    async def crash(self) -> None:
        """Crash the process, or its machine if possible, and start the next. Data not durable may be lost."""


class FaultyStoreIncarnations(StoreIncarnations, Protocol):
    """Incarnations with a store whose writes can fail."""

    def fail_writes(self) -> None:
        """Let all writes fail until the next process starts."""


class StoreContract(Contract, ABC):
    """The rules:

    1. `is_durable` is the same in every process. A new store is empty.
    2. If it is False, every process starts with an empty store, and a write is done when `write` returns.
    3. If it is True, the next process finds all records of writes reported as done, without deleted ones. Of
       several writes to a key the last one counts, in the order of the calls.
    4. A write need not wait for the one before it, and may delete a missing key.
    """

    @abstractmethod
    def incarnations(self) -> AbstractAsyncContextManager[StoreIncarnations]:
        """Create the first process, on an empty store."""

    async def assert_found_after_restarts(
        self, harness: StoreIncarnations, expected: dict[bytes, bytes]
    ) -> None:
        """Check that the next two processes load `expected`, or nothing if the store is not durable."""
        is_durable = harness.store.is_durable
        for _ in range(2):
            await harness.restart()
            assert harness.store.is_durable == is_durable
            assert await harness.store.load() == (expected if is_durable else {})

    def test_a_new_store_is_empty(self) -> None:
        """A new store is empty, also after restarts."""

        async def main() -> None:
            async with self.incarnations() as harness:
                assert type(harness.store.is_durable) is bool
                assert await harness.store.load() == {}
                await self.assert_found_after_restarts(harness, {})

        self.run(main())

    def test_written_keys_are_found_and_deleted_ones_are_not(self) -> None:
        """After a restart a durable store holds written keys and no deleted ones; another store is empty."""

        async def main() -> None:
            async with self.incarnations() as harness:
                await self.wait_for(
                    harness.store.write({b"a": b"1", b"b": b"", b"c": bytes(5_000)}), "a write"
                )
                await self.wait_for(harness.store.write({b"a": None, b"none": None, b"d": b"4"}), "a write")
                await self.assert_found_after_restarts(harness, {b"b": b"", b"c": bytes(5_000), b"d": b"4"})
                await self.wait_for(harness.store.write({b"b": None, b"d": b"5"}), "a write after a restart")
                expected = {b"c": bytes(5_000), b"d": b"5"}
                if not harness.store.is_durable:
                    expected = {}
                await self.assert_found_after_restarts(harness, expected)

        self.run(main())

    def test_an_empty_write_completes(self) -> None:
        """An empty write completes, and does not affect the write before it."""

        async def main() -> None:
            async with self.incarnations() as harness:
                await self.wait_for(harness.store.write({}), "an empty write")
                first = harness.store.write({b"a": b"1"})
                await self.wait_for(harness.store.write({}), "an empty write after another")
                await self.wait_for(first, "a write before an empty one")
                await self.assert_found_after_restarts(harness, {b"a": b"1"})

        self.run(main())

    def test_the_last_write_wins(self) -> None:
        """Of many concurrent writes, the last value of each key is stored."""

        async def main() -> None:
            async with self.incarnations() as harness:
                writes = [
                    harness.store.write({b"last": b"%d" % n, b"n-%d" % n: b"x", b"n-%d" % (n - 3): None})
                    for n in range(50)
                ]
                for write in writes:
                    await self.wait_for(write, "one of many writes")
                await self.assert_found_after_restarts(
                    harness, {b"last": b"49", **{b"n-%d" % n: b"x" for n in (47, 48, 49)}}
                )

        self.run(main())

    def test_a_non_durable_write_is_done_when_write_returns(self) -> None:
        """A write to a store that is not durable is done when `write` returns."""

        async def main() -> None:
            async with self.incarnations() as harness:
                done = harness.store.write({b"a": b"1"})
                assert harness.store.is_durable or done.done()
                await self.wait_for(done, "a write")

        self.run(main())


class DurableStoreContract(StoreContract, ABC):
    """Further, for a durable store:

    5. Writes reported as done survive a crash. The changes of a write are found completely or not at all, and
       never without those of the writes before it.
    6. A write that fails raises StoreError, and loses nothing that was reported as done.
    """

    @abstractmethod
    def incarnations(self) -> AbstractAsyncContextManager[FaultyStoreIncarnations]:
        """Create the first process, on an empty store. It can crash, and its writes can be made to fail."""

    def test_the_store_is_durable(self) -> None:
        """The store reports that it is durable."""

        async def main() -> None:
            async with self.incarnations() as harness:
                assert harness.store.is_durable

        self.run(main())

    def test_reported_writes_survive_a_crash(self) -> None:
        """Every write that was reported as done survives a crash."""

        async def main() -> None:
            async with self.incarnations() as harness:
                for n in range(5):
                    await self.wait_for(harness.store.write({b"n": b"%d" % n, b"%d" % n: b"x"}), "a write")
                    await harness.crash()
                    expected = {b"n": b"%d" % n, **{b"%d" % key: b"x" for key in range(n + 1)}}
                    assert await harness.store.load() == expected

        self.run(main())

    def test_changes_of_a_write_are_found_all_or_none(self) -> None:
        """After a crash at any point, the changes of one `write` are found completely or not at all."""

        async def main() -> None:
            for count in CRASH_ITERATIONS:
                async with self.incarnations() as harness:
                    keys = [b"%d" % n for n in range(20)]
                    await self.wait_for(harness.store.write(dict.fromkeys(keys, b"old")), "a write")
                    ignore_result(harness.store.write(dict.fromkeys(keys, b"new")))
                    await run_ready_callbacks(count)
                    await harness.crash()
                    found = await harness.store.load()
                    assert found in (dict.fromkeys(keys, b"old"), dict.fromkeys(keys, b"new")), count

        self.run(main())

    def test_no_write_is_found_without_earlier_ones(self) -> None:
        """After a crash at any point, the writes found are a prefix of all, and include all reported ones."""

        async def main() -> None:
            for count in CRASH_ITERATIONS:
                async with self.incarnations() as harness:
                    await self.wait_for(harness.store.write({b"0": b"x"}), "a write")
                    writes = [ignore_result(harness.store.write({b"%d" % n: b"x"})) for n in range(1, 10)]
                    await run_ready_callbacks(count)
                    reported = sum(write.done() for write in writes)
                    await harness.crash()
                    found = await harness.store.load()
                    assert set(found) == {b"%d" % n for n in range(len(found))}, (count, found)
                    assert len(found) > reported, (count, found)

        self.run(main())

    def test_a_failing_write_raises_and_loses_nothing_reported(self) -> None:
        """A write that fails raises StoreError, and loses nothing that was reported before."""

        async def main() -> None:
            async with self.incarnations() as harness:
                await self.wait_for(harness.store.write({b"a": b"1"}), "a write")
                harness.fail_writes()
                for _ in range(2):
                    with raises(StoreError, "a failing write"):
                        await self.wait_for(harness.store.write({b"b": b"2"}), "the error of a write")
                await harness.crash()
                found = await harness.store.load()
                assert found in ({b"a": b"1"}, {b"a": b"1", b"b": b"2"})
                await self.wait_for(harness.store.write({b"c": b"3"}), "a write after a restart")

        self.run(main())
