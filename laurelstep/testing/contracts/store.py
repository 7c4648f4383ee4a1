"""The `Store` of consensus: what must survive a crash, if anything does."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from laurelstep.consensus.ports import Store
from laurelstep.store.disk import StoreError
from laurelstep.testing.contracts.base import Contract, raises, run_ready_callbacks

# Turns of the loop before a crash: from before a write begins until it may be over.
CRASH_TURNS = (0, 1, 2, 3, 5, 8, 13, 30)


def abandoned(write: asyncio.Future[None]) -> asyncio.Future[None]:
    """A write whose result nobody may be there to read."""
    write.add_done_callback(lambda one: None if one.cancelled() else one.exception())
    return write


class StoreIncarnations(Protocol):
    """One process after another on one durable state, each with a store on the running loop."""

    store: Store  # the current process's

    async def restart(self) -> None:
        """Close the store; the next process opens it."""

    async def crash(self) -> None:
        """End the process, with its machine if the class can: what is not durable may be lost."""


class FaultyStoreIncarnations(StoreIncarnations, Protocol):
    """The same with a store whose writes can fail."""

    def fail_writes(self) -> None:
        """Let all writes fail until the next process."""


class StoreContract(Contract, ABC):
    """The rules:

    1. `is_durable` is the same in every process. At first the store is empty.
    2. Where it is False every process begins with an empty store, and a write is done when `write` returns.
    3. Where it is True the next process finds what was written and reported, less what was deleted;
       the last of several writes holds, in the order of the calls.
    4. A write need not wait for the one before it, and may delete what is not there.
    """

    @abstractmethod
    def incarnations(self) -> AbstractAsyncContextManager[StoreIncarnations]:
        """A first process on an empty store."""

    async def assert_found_after_restarts(
        self, lives: StoreIncarnations, expected: dict[bytes, bytes]
    ) -> None:
        """Check what the next two processes find."""
        is_durable = lives.store.is_durable
        for _ in range(2):
            await lives.restart()
            assert lives.store.is_durable == is_durable
            assert await lives.store.load() == (expected if is_durable else {})

    def test_at_first_there_is_nothing(self) -> None:
        """A new store is empty, also after restarts."""

        async def main() -> None:
            async with self.incarnations() as lives:
                assert type(lives.store.is_durable) is bool
                assert await lives.store.load() == {}
                await self.assert_found_after_restarts(lives, {})

        self.run(main())

    def test_what_was_written_is_found_and_what_was_deleted_is_not(self) -> None:
        """A durable store finds written keys, and no deleted ones, after restarts; another starts empty."""

        async def main() -> None:
            async with self.incarnations() as lives:
                await self.wait_for(lives.store.write({b"a": b"1", b"b": b"", b"c": bytes(5_000)}), "a write")
                await self.wait_for(lives.store.write({b"a": None, b"none": None, b"d": b"4"}), "a write")
                await self.assert_found_after_restarts(lives, {b"b": b"", b"c": bytes(5_000), b"d": b"4"})
                await self.wait_for(lives.store.write({b"b": None, b"d": b"5"}), "a write of the next life")
                expected = {b"c": bytes(5_000), b"d": b"5"}
                if not lives.store.is_durable:
                    expected = {}
                await self.assert_found_after_restarts(lives, expected)

        self.run(main())

    def test_no_change_is_written_too(self) -> None:
        """An empty write completes, and doesn't disturb the write before it."""

        async def main() -> None:
            async with self.incarnations() as lives:
                await self.wait_for(lives.store.write({}), "an empty write")
                first = lives.store.write({b"a": b"1"})
                await self.wait_for(lives.store.write({}), "an empty write behind another")
                await self.wait_for(first, "a write before an empty one")
                await self.assert_found_after_restarts(lives, {b"a": b"1"})

        self.run(main())

    def test_the_last_write_holds(self) -> None:
        """Of many writes that don't wait for each other, the last value of each key holds."""

        async def main() -> None:
            async with self.incarnations() as lives:
                waiting = [
                    lives.store.write({b"last": b"%d" % n, b"n-%d" % n: b"x", b"n-%d" % (n - 3): None})
                    for n in range(50)
                ]
                for one in waiting:
                    await self.wait_for(one, "one of many writes")
                await self.assert_found_after_restarts(
                    lives, {b"last": b"49", **{b"n-%d" % n: b"x" for n in (47, 48, 49)}}
                )

        self.run(main())

    def test_one_that_does_not_last_is_done_at_once(self) -> None:
        """A write to a store that isn't durable is done when `write` returns."""

        async def main() -> None:
            async with self.incarnations() as lives:
                done = lives.store.write({b"a": b"1"})
                assert lives.store.is_durable or done.done()
                await self.wait_for(done, "a write")

        self.run(main())


class LastingStoreContract(StoreContract, ABC):
    """Further, for a store that lasts:

    5. What was reported survives a crash. The changes of a call are found completely or not at all, and none
       without those of the calls before it.
    6. A write that fails ends with StoreError, and loses nothing that was reported.
    """

    @abstractmethod
    def incarnations(self) -> AbstractAsyncContextManager[FaultyStoreIncarnations]:
        """A first process on an empty store whose writes can be made to fail, and which can crash."""

    def test_it_lasts(self) -> None:
        """The store reports that it is durable."""

        async def main() -> None:
            async with self.incarnations() as lives:
                assert lives.store.is_durable

        self.run(main())

    def test_what_was_reported_survives_a_crash(self) -> None:
        """Every write that was reported as done survives a crash."""

        async def main() -> None:
            async with self.incarnations() as lives:
                for n in range(5):
                    await self.wait_for(lives.store.write({b"n": b"%d" % n, b"%d" % n: b"x"}), "a write")
                    await lives.crash()
                    expected = {b"n": b"%d" % n, **{b"%d" % one: b"x" for one in range(n + 1)}}
                    assert await lives.store.load() == expected

        self.run(main())

    def test_a_call_is_found_whole_or_not_at_all(self) -> None:
        """After a crash at any point, the changes of one `write` are found completely or not at all."""

        async def main() -> None:
            for count in CRASH_TURNS:
                async with self.incarnations() as lives:
                    keys = [b"%d" % n for n in range(20)]
                    await self.wait_for(lives.store.write(dict.fromkeys(keys, b"old")), "a write")
                    abandoned(lives.store.write(dict.fromkeys(keys, b"new")))
                    await run_ready_callbacks(count)
                    await lives.crash()
                    found = await lives.store.load()
                    assert found in (dict.fromkeys(keys, b"old"), dict.fromkeys(keys, b"new")), count

        self.run(main())

    def test_no_call_is_found_without_those_before_it(self) -> None:
        """After a crash at any point, the writes found are a prefix of those made, with all reported ones."""

        async def main() -> None:
            for count in CRASH_TURNS:
                async with self.incarnations() as lives:
                    await self.wait_for(lives.store.write({b"0": b"x"}), "a write")
                    waiting = [abandoned(lives.store.write({b"%d" % n: b"x"})) for n in range(1, 10)]
                    await run_ready_callbacks(count)
                    reported = sum(one.done() for one in waiting)
                    await lives.crash()
                    found = await lives.store.load()
                    assert set(found) == {b"%d" % n for n in range(len(found))}, (count, found)
                    assert len(found) > reported, (count, found)

        self.run(main())

    def test_what_can_not_be_written_is_told_and_takes_nothing_away(self) -> None:
        """A write that fails raises StoreError, and loses nothing that was reported before."""

        async def main() -> None:
            async with self.incarnations() as lives:
                await self.wait_for(lives.store.write({b"a": b"1"}), "a write")
                lives.fail_writes()
                for _ in range(2):
                    with raises(StoreError, "a write that can't be"):
                        await self.wait_for(lives.store.write({b"b": b"2"}), "the error of a write")
                await lives.crash()
                found = await lives.store.load()
                assert found in ({b"a": b"1"}, {b"a": b"1", b"b": b"2"})
                await self.wait_for(lives.store.write({b"c": b"3"}), "a write of the next life")

        self.run(main())
