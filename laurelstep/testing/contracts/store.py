"""accord's `Store`: what must survive a crash, if anything does."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from laurelstep.accord.ports import Store
from laurelstep.store.disk import StoreError
from laurelstep.testing.contracts.base import Contract, raises, turns

# Turns of the loop after which the crash comes: from before the write began until it may be over.
CRASHES = (0, 1, 2, 3, 5, 8, 13, 30)


def left(write: asyncio.Future[None]) -> asyncio.Future[None]:
    """A write whose end nobody may live to hear."""
    write.add_done_callback(lambda one: None if one.cancelled() else one.exception())
    return write


class Lives(Protocol):
    """One process after another on what is kept, each with a store on the running loop."""

    store: Store  # that of the process of now

    async def restart(self) -> None:
        """The process closes its store; the next one opens it."""

    async def crash(self) -> None:
        """The process dies, with its machine if the class can play that: what is not durable may be lost."""


class BreakableLives(Lives, Protocol):
    def break_(self) -> None:
        """From now on, until the next process, nothing can be written."""


class StoreContract(Contract, ABC):
    """The rules:

    1. `lasting` is the same in every life. At first there is nothing.
    2. Where it is False every life begins with nothing, and a write is done when `write` returns.
    3. Where it is True the next life finds what was written and reported, less what was deleted;
       the last of several writes holds, in the order of the calls.
    4. A write needs no answer to the one before it, and its changes may name what is not there.
    """

    @abstractmethod
    def lives(self) -> AbstractAsyncContextManager[Lives]:
        """A first process, with nothing kept."""

    async def found(self, lives: Lives, expected: dict[bytes, bytes]) -> None:
        """In the next life, and the one after."""
        lasting = lives.store.lasting
        for _ in range(2):
            await lives.restart()
            assert lives.store.lasting == lasting
            assert await lives.store.load() == (expected if lasting else {})

    def test_at_first_there_is_nothing(self) -> None:
        async def main() -> None:
            async with self.lives() as lives:
                assert type(lives.store.lasting) is bool
                assert await lives.store.load() == {}
                await self.found(lives, {})

        self.run(main())

    def test_what_was_written_is_found_and_what_was_deleted_is_not(self) -> None:
        async def main() -> None:
            async with self.lives() as lives:
                await self.soon(lives.store.write({b"a": b"1", b"b": b"", b"c": bytes(5_000)}), "a write")
                await self.soon(lives.store.write({b"a": None, b"none": None, b"d": b"4"}), "a write")
                await self.found(lives, {b"b": b"", b"c": bytes(5_000), b"d": b"4"})
                await self.soon(lives.store.write({b"b": None, b"d": b"5"}), "a write of the next life")
                expected = {b"c": bytes(5_000), b"d": b"5"}
                if not lives.store.lasting:
                    expected = {}
                await self.found(lives, expected)

        self.run(main())

    def test_no_change_is_written_too(self) -> None:
        async def main() -> None:
            async with self.lives() as lives:
                await self.soon(lives.store.write({}), "an empty write")
                first = lives.store.write({b"a": b"1"})
                await self.soon(lives.store.write({}), "an empty write behind another")
                await self.soon(first, "a write before an empty one")
                await self.found(lives, {b"a": b"1"})

        self.run(main())

    def test_the_last_write_holds(self) -> None:
        async def main() -> None:
            async with self.lives() as lives:
                waiting = [
                    lives.store.write({b"last": b"%d" % n, b"n-%d" % n: b"x", b"n-%d" % (n - 3): None})
                    for n in range(50)
                ]
                for one in waiting:
                    await self.soon(one, "one of many writes")
                await self.found(lives, {b"last": b"49", **{b"n-%d" % n: b"x" for n in (47, 48, 49)}})

        self.run(main())

    def test_one_that_does_not_last_is_done_at_once(self) -> None:
        async def main() -> None:
            async with self.lives() as lives:
                done = lives.store.write({b"a": b"1"})
                assert lives.store.lasting or done.done()
                await self.soon(done, "a write")

        self.run(main())


class LastingStoreContract(StoreContract, ABC):
    """Further, for a store that lasts:

    5. What was reported survives a crash. The changes of a call are found whole or not at all, and none
       without those of the calls before it.
    6. What can't be written ends with StoreError, and takes nothing away that was reported.
    """

    @abstractmethod
    def lives(self) -> AbstractAsyncContextManager[BreakableLives]: ...

    def test_it_lasts(self) -> None:
        async def main() -> None:
            async with self.lives() as lives:
                assert lives.store.lasting

        self.run(main())

    def test_what_was_reported_survives_a_crash(self) -> None:
        async def main() -> None:
            async with self.lives() as lives:
                for n in range(5):
                    await self.soon(lives.store.write({b"n": b"%d" % n, b"%d" % n: b"x"}), "a write")
                    await lives.crash()
                    expected = {b"n": b"%d" % n, **{b"%d" % one: b"x" for one in range(n + 1)}}
                    assert await lives.store.load() == expected

        self.run(main())

    def test_a_call_is_found_whole_or_not_at_all(self) -> None:
        async def main() -> None:
            for count in CRASHES:
                async with self.lives() as lives:
                    keys = [b"%d" % n for n in range(20)]
                    await self.soon(lives.store.write(dict.fromkeys(keys, b"old")), "a write")
                    left(lives.store.write(dict.fromkeys(keys, b"new")))
                    await turns(count)
                    await lives.crash()
                    found = await lives.store.load()
                    assert found in (dict.fromkeys(keys, b"old"), dict.fromkeys(keys, b"new")), count

        self.run(main())

    def test_no_call_is_found_without_those_before_it(self) -> None:
        async def main() -> None:
            for count in CRASHES:
                async with self.lives() as lives:
                    await self.soon(lives.store.write({b"0": b"x"}), "a write")
                    waiting = [left(lives.store.write({b"%d" % n: b"x"})) for n in range(1, 10)]
                    await turns(count)
                    reported = sum(one.done() for one in waiting)
                    await lives.crash()
                    found = await lives.store.load()
                    assert set(found) == {b"%d" % n for n in range(len(found))}, (count, found)
                    assert len(found) > reported, (count, found)

        self.run(main())

    def test_what_can_not_be_written_is_told_and_takes_nothing_away(self) -> None:
        async def main() -> None:
            async with self.lives() as lives:
                await self.soon(lives.store.write({b"a": b"1"}), "a write")
                lives.break_()
                for _ in range(2):
                    with raises(StoreError, "a write that can't be"):
                        await self.soon(lives.store.write({b"b": b"2"}), "the error of a write")
                await lives.crash()
                found = await lives.store.load()
                assert found in ({b"a": b"1"}, {b"a": b"1", b"b": b"2"})
                await self.soon(lives.store.write({b"c": b"3"}), "a write of the next life")

        self.run(main())
