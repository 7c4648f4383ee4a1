"""Contract of the engine's `MemberSource`, which gives it the endpoint list."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Iterator, Sequence
from contextlib import AbstractAsyncContextManager
from typing import Any, Protocol

from laurelstep.engine.ports import MemberSource
from laurelstep.testing.contracts.base import Contract, run_ready_callbacks

Entries = list[dict[str, Any]]
# So many entries that a source may pass them in steps.
LONG_LIST = 400
START_VERSION = 5


def entry(name: str, **changes: Any) -> dict[str, Any]:
    """One endpoint, in discovery's form."""
    return {
        "instanceId": name, "hostPort": "127.0.0.1:9", "zone": "here", "machineType": "small", "cell": 1,
        "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0, **changes,
    }  # fmt: skip


class SourceEnvironment(Protocol):
    """A source on the running loop, and the origin of its list."""

    source: MemberSource

    async def set_list(self, version: int, entries: Entries) -> None:
        """Replace the list, and notify watchers. Versions only rise.

        Earlier questions are answered first, so that no older list comes after this one.
        """

    async def change_entries(self, version: int, entries: Entries) -> None:
        """Change these entries only, and notify watchers."""


class FaultySourceEnvironment(SourceEnvironment, Protocol):
    """The same with an origin that can fail."""

    def stop_answering(self) -> None:
        """Answer no question until `resume_answering`."""

    def resume_answering(self) -> None:
        """Answer questions again."""


class RecordingSink:
    """Applies lists as the engine does, and records them; refuses the next `refusals_left` lists."""

    def __init__(self) -> None:
        self.has_started = False  # set once the source's `start` has returned
        self.entries_by_id: dict[str, dict[str, Any]] = {}
        self.versions: list[int] = []
        self.whole_list_count = self.failure_count = self.refused_count = self.refusals_left = 0
        self.is_applying = False  # while a list is applied in steps
        self.changed = asyncio.Event()

    def _on_update(self) -> None:
        assert self.has_started, "an update before `start` has returned"
        assert not self.is_applying, "an update while a list was applied in steps"
        self.changed.set()

    def _apply(self, is_whole: bool, entries: Sequence[Any]) -> None:
        if self.refusals_left:
            self.refusals_left -= 1
            self.refused_count += 1
            raise ValueError("no list, for once")
        if is_whole:
            self.entries_by_id.clear()
            self.whole_list_count += 1
        for one in entries:
            self.entries_by_id[one["instanceId"]] = one

    def on_list(self, version: int, whole: bool, entries: Sequence[Any]) -> None:
        """Apply a list or changes."""
        self._on_update()
        self._apply(whole, entries)
        self.versions.append(version)

    def now(self) -> int:
        """A fixed time, µs."""
        return 1_000_000

    def apply_list_in_steps(self, whole: bool, entries: list[Any], told_at: int) -> Iterator[None]:
        """Apply a long list, with other work in between."""
        self._on_update()
        assert type(told_at) is int
        self.is_applying = True
        try:
            for at in range(0, len(entries), 64):
                yield
                assert all("instanceId" in one for one in entries[at : at + 64])
            self._apply(whole, entries)
        finally:
            self.is_applying = False
            self.changed.set()

    def on_list_failed(self) -> None:
        """Count a question that got no answer."""
        self._on_update()
        self.failure_count += 1


class MemberSourceContract(Contract, ABC):
    """The rules:

    1. The sink gets nothing before `start` has returned.
    2. Once the source is watched or polled the complete list comes; while it is watched, changes come.
    3. Entries pass unchanged, all of them and in the order of the lists; nothing overtakes a list in steps.
    4. Versions never fall, and none is before that of `start`.
    5. A list that the sink refuses is lost, and no other.
    """

    @abstractmethod
    def environment(self) -> AbstractAsyncContextManager[SourceEnvironment]:
        """A source on the running loop, not started yet, with an empty list."""

    async def wait_for_list(self, sink: RecordingSink, entries: Entries) -> None:
        """Wait until the sink holds exactly these."""
        held = {one["instanceId"]: one for one in entries}

        async def wait() -> None:
            while sink.is_applying or sink.entries_by_id != held:
                sink.changed.clear()
                await sink.changed.wait()

        await self.wait_for(wait(), f"a list of {len(entries)}")
        assert sink.versions == sorted(sink.versions), sink.versions
        assert all(version >= START_VERSION for version in sink.versions), sink.versions

    async def start_source(self, environment: SourceEnvironment, entries: Entries) -> RecordingSink:
        """Start and watch the source, and wait for this list; its sink."""
        sink = RecordingSink()
        await environment.set_list(START_VERSION + 1, entries)
        environment.source.start(sink, START_VERSION)
        sink.has_started = True
        environment.source.fetch()
        await self.wait_for_list(sink, entries)
        assert sink.whole_list_count >= 1
        environment.source.watch(True)
        return sink

    def test_the_present_list_comes_whole(self) -> None:
        """The sink receives the complete list with all its fields."""

        async def main() -> None:
            async with self.environment() as environment:
                await self.start_source(
                    environment, [entry("s-1"), entry("s-2", lifecycle="draining", weight=2.5)]
                )

        self.run(main())

    def test_changes_come_while_it_is_watched(self) -> None:
        """A watched source delivers changed entries and replaced lists."""

        async def main() -> None:
            async with self.environment() as environment:
                sink = await self.start_source(environment, [entry("s-1"), entry("s-2")])
                await environment.change_entries(START_VERSION + 2, [entry("s-2", lifecycle="draining")])
                await self.wait_for_list(sink, [entry("s-1"), entry("s-2", lifecycle="draining")])
                await environment.set_list(START_VERSION + 3, [entry("s-3")])
                await self.wait_for_list(sink, [entry("s-3")])

        self.run(main())

    def test_asked_again_it_tells_the_list_of_then(self) -> None:
        """Each `fetch` delivers the current complete list again."""

        async def main() -> None:
            async with self.environment() as environment:
                sink = await self.start_source(environment, [entry("s-1")])
                before = sink.whole_list_count
                environment.source.fetch()

                async def again() -> None:
                    while sink.whole_list_count == before:
                        sink.changed.clear()
                        await sink.changed.wait()

                await self.wait_for(again(), "a list that was asked for")
                await self.wait_for_list(sink, [entry("s-1")])

        self.run(main())

    def test_a_long_list_is_whole_and_not_overtaken(self) -> None:
        """A list long enough to be applied in steps arrives complete, and before the change after it."""

        async def main() -> None:
            async with self.environment() as environment:
                sink = await self.start_source(environment, [entry("s-1")])
                long = [entry(f"long-{n:04}") for n in range(LONG_LIST)]
                await environment.set_list(START_VERSION + 2, long)
                await environment.change_entries(START_VERSION + 3, [entry("long-0001", weight=3.0)])
                long[1] = entry("long-0001", weight=3.0)
                await self.wait_for_list(sink, long)

        self.run(main())

    def test_a_list_that_is_refused_costs_that_list_alone(self) -> None:
        """After a list that the sink refuses, the next list still arrives."""

        async def main() -> None:
            async with self.environment() as environment:
                sink = await self.start_source(environment, [entry("s-1")])
                sink.refusals_left = 1
                await environment.change_entries(START_VERSION + 2, [entry("s-2")])

                async def refused() -> None:
                    while not sink.refused_count:
                        sink.changed.clear()
                        await sink.changed.wait()

                await self.wait_for(refused(), "the change that the sink refuses")
                assert set(sink.entries_by_id) == {"s-1"}
                await environment.set_list(START_VERSION + 3, [entry("s-3")])
                environment.source.fetch()
                await self.wait_for_list(sink, [entry("s-3")])

        self.run(main())

    def test_watched_twice_and_not_at_all_it_still_answers(self) -> None:
        """`watch` may be repeated, and `fetch` delivers lists also while the source isn't watched."""

        async def main() -> None:
            async with self.environment() as environment:
                sink = await self.start_source(environment, [entry("s-1")])
                environment.source.watch(True)
                environment.source.watch(False)
                environment.source.watch(False)
                await environment.set_list(START_VERSION + 2, [entry("s-2")])
                environment.source.fetch()
                await self.wait_for_list(sink, [entry("s-2")])
                environment.source.watch(True)
                await environment.change_entries(START_VERSION + 3, [entry("s-4")])
                await self.wait_for_list(sink, [entry("s-2"), entry("s-4")])

        self.run(main())


class PolledSourceContract(MemberSourceContract):
    """Further, for a source that asks somebody when the engine says so: a question that gets no answer
    is told as `on_list_failed`, once, and the next one is asked all the same.
    """

    @abstractmethod
    def environment(self) -> AbstractAsyncContextManager[FaultySourceEnvironment]:
        """A source on the running loop, not started yet, with an empty list and an origin that can fail."""

    def test_a_question_without_an_answer_is_told_once(self) -> None:
        """Each failed fetch calls `on_list_failed` exactly once, and the next fetch succeeds."""

        async def main() -> None:
            async with self.environment() as environment:
                sink = RecordingSink()
                await environment.set_list(START_VERSION + 1, [entry("s-1")])
                environment.source.start(sink, START_VERSION)
                sink.has_started = True
                for times in (1, 2):
                    environment.stop_answering()
                    environment.source.fetch()

                    async def failed(times: int = times) -> None:
                        while sink.failure_count < times:
                            sink.changed.clear()
                            await sink.changed.wait()

                    await self.wait_for(failed(), "that a list did not come")
                    await run_ready_callbacks()
                    assert sink.failure_count == times
                    environment.resume_answering()
                    environment.source.fetch()
                    await self.wait_for_list(sink, [entry("s-1")])
                    assert sink.failure_count == times

        self.run(main())
