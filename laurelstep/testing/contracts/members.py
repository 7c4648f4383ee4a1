"""The engine's `MemberSource`: where lists of endpoints come from."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Iterator, Sequence
from contextlib import AbstractAsyncContextManager
from typing import Any, Protocol

from laurelstep.engine.ports import MemberSource
from laurelstep.testing.contracts.base import Contract, turns

Entries = list[dict[str, Any]]
# So many entries that a source may tell them in steps.
LONG = 400
START_VERSION = 5


def entry(name: str, **changes: Any) -> dict[str, Any]:
    """One endpoint, in discovery's form."""
    return {
        "instanceId": name, "hostPort": "127.0.0.1:9", "zone": "here", "machineType": "small", "cell": 1,
        "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0, **changes,
    }  # fmt: skip


class Beyond(Protocol):
    """A source on the running loop, and whoever holds the list that it tells of."""

    source: MemberSource

    async def set(self, version: int, entries: Entries) -> None:
        """The list is this from now on, and whoever watches is told. Versions only rise. What was asked
        before has been answered first, so that no older list comes after this one."""

    async def change(self, version: int, entries: Entries) -> None:
        """The same where only these changed."""


class BreakableBeyond(Beyond, Protocol):
    def break_(self) -> None:
        """From now on a question gets no answer."""

    def mend(self) -> None: ...


class Sink:
    """Keeps the list as the source tells it, as the engine does; refuses what it is told to."""

    def __init__(self) -> None:
        self.listens = False  # the source's start has returned
        self.names: dict[str, dict[str, Any]] = {}
        self.versions: list[int] = []
        self.wholes = self.failed = self.refused = self.refuse = 0
        self.inside = False  # a list in steps is under way
        self.news = asyncio.Event()

    def _told(self) -> None:
        assert self.listens, "told before its start has returned"
        assert not self.inside, "told while a list in steps was under way"
        self.news.set()

    def _apply(self, whole: bool, entries: Sequence[Any]) -> None:
        if self.refuse:
            self.refuse -= 1
            self.refused += 1
            raise ValueError("no list, for once")
        if whole:
            self.names.clear()
            self.wholes += 1
        for one in entries:
            self.names[one["instanceId"]] = one

    def listed(self, version: int, whole: bool, entries: Sequence[Any]) -> None:
        self._told()
        self._apply(whole, entries)
        self.versions.append(version)

    def now(self) -> int:
        return 1_000_000

    def list_in_steps(self, whole: bool, entries: list[Any], told_at: int) -> Iterator[None]:
        self._told()
        assert type(told_at) is int
        self.inside = True
        try:
            for at in range(0, len(entries), 64):
                yield
                assert all("instanceId" in one for one in entries[at : at + 64])
            self._apply(whole, entries)
        finally:
            self.inside = False
            self.news.set()

    def list_failed(self) -> None:
        self._told()
        self.failed += 1


class MemberSourceContract(Contract, ABC):
    """The rules:

    1. Nothing is told before `start` has returned.
    2. Once it is watched or asked the present list comes, whole; while it is watched, changes come.
    3. Entries pass as they are, all of them and in lists' order; a list in steps is not overtaken.
    4. Versions that are told never fall, and none is before that of `start`.
    5. A list that the sink refuses costs that list alone.
    """

    @abstractmethod
    def beyond(self) -> AbstractAsyncContextManager[Beyond]:
        """A source on the loop that runs, not yet started, and an empty list behind it."""

    async def until(self, sink: Sink, names: Entries) -> None:
        """Until the sink holds exactly these."""
        held = {one["instanceId"]: one for one in names}

        async def wait() -> None:
            while sink.inside or sink.names != held:
                sink.news.clear()
                await sink.news.wait()

        await self.soon(wait(), f"a list of {len(names)}")
        assert sink.versions == sorted(sink.versions), sink.versions
        assert all(version >= START_VERSION for version in sink.versions), sink.versions

    async def begin(self, beyond: Beyond, names: Entries) -> Sink:
        """Started and watched, with this list told."""
        sink = Sink()
        await beyond.set(START_VERSION + 1, names)
        beyond.source.start(sink, START_VERSION)
        sink.listens = True
        beyond.source.fetch()
        await self.until(sink, names)
        assert sink.wholes >= 1
        beyond.source.watch(True)
        return sink

    def test_the_present_list_comes_whole(self) -> None:
        async def main() -> None:
            async with self.beyond() as beyond:
                await self.begin(beyond, [entry("s-1"), entry("s-2", lifecycle="draining", weight=2.5)])

        self.run(main())

    def test_changes_come_while_it_is_watched(self) -> None:
        async def main() -> None:
            async with self.beyond() as beyond:
                sink = await self.begin(beyond, [entry("s-1"), entry("s-2")])
                await beyond.change(START_VERSION + 2, [entry("s-2", lifecycle="draining")])
                await self.until(sink, [entry("s-1"), entry("s-2", lifecycle="draining")])
                await beyond.set(START_VERSION + 3, [entry("s-3")])
                await self.until(sink, [entry("s-3")])

        self.run(main())

    def test_asked_again_it_tells_the_list_of_then(self) -> None:
        async def main() -> None:
            async with self.beyond() as beyond:
                sink = await self.begin(beyond, [entry("s-1")])
                before = sink.wholes
                beyond.source.fetch()

                async def again() -> None:
                    while sink.wholes == before:
                        sink.news.clear()
                        await sink.news.wait()

                await self.soon(again(), "a list that was asked for")
                await self.until(sink, [entry("s-1")])

        self.run(main())

    def test_a_long_list_is_whole_and_not_overtaken(self) -> None:
        async def main() -> None:
            async with self.beyond() as beyond:
                sink = await self.begin(beyond, [entry("s-1")])
                long = [entry(f"long-{n:04}") for n in range(LONG)]
                await beyond.set(START_VERSION + 2, long)
                await beyond.change(START_VERSION + 3, [entry("long-0001", weight=3.0)])
                long[1] = entry("long-0001", weight=3.0)
                await self.until(sink, long)

        self.run(main())

    def test_a_list_that_is_refused_costs_that_list_alone(self) -> None:
        async def main() -> None:
            async with self.beyond() as beyond:
                sink = await self.begin(beyond, [entry("s-1")])
                sink.refuse = 1
                await beyond.change(START_VERSION + 2, [entry("s-2")])

                async def refused() -> None:
                    while not sink.refused:
                        sink.news.clear()
                        await sink.news.wait()

                await self.soon(refused(), "the change that the sink refuses")
                assert set(sink.names) == {"s-1"}
                await beyond.set(START_VERSION + 3, [entry("s-3")])
                beyond.source.fetch()
                await self.until(sink, [entry("s-3")])

        self.run(main())

    def test_watched_twice_and_not_at_all_it_still_answers(self) -> None:
        async def main() -> None:
            async with self.beyond() as beyond:
                sink = await self.begin(beyond, [entry("s-1")])
                beyond.source.watch(True)
                beyond.source.watch(False)
                beyond.source.watch(False)
                await beyond.set(START_VERSION + 2, [entry("s-2")])
                beyond.source.fetch()
                await self.until(sink, [entry("s-2")])
                beyond.source.watch(True)
                await beyond.change(START_VERSION + 3, [entry("s-4")])
                await self.until(sink, [entry("s-2"), entry("s-4")])

        self.run(main())


class AskedSourceContract(MemberSourceContract):
    """Further, for a source that asks somebody when the engine says so: a question that gets no answer
    is told as `list_failed`, once, and the next one is asked all the same."""

    @abstractmethod
    def beyond(self) -> AbstractAsyncContextManager[BreakableBeyond]: ...

    def test_a_question_without_an_answer_is_told_once(self) -> None:
        async def main() -> None:
            async with self.beyond() as beyond:
                sink = Sink()
                await beyond.set(START_VERSION + 1, [entry("s-1")])
                beyond.source.start(sink, START_VERSION)
                sink.listens = True
                for times in (1, 2):
                    beyond.break_()
                    beyond.source.fetch()

                    async def failed(times: int = times) -> None:
                        while sink.failed < times:
                            sink.news.clear()
                            await sink.news.wait()

                    await self.soon(failed(), "that a list did not come")
                    await turns()
                    assert sink.failed == times
                    beyond.mend()
                    beyond.source.fetch()
                    await self.until(sink, [entry("s-1")])
                    assert sink.failed == times

        self.run(main())
