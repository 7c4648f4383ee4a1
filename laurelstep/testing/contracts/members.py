"""Contract of the engine's `MemberSource`, the source of endpoint lists."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Iterator, Sequence
from contextlib import AbstractAsyncContextManager
from typing import Any, Protocol

from laurelstep.engine.ports import MemberSource
from laurelstep.testing.contracts.base import Contract, run_ready_callbacks

Entries = list[dict[str, Any]]
# Enough entries that a source may apply them in steps.
LONG_LIST_ENTRIES = 400
START_GENERATION = 5


def make_entry(name: str, **changes: Any) -> dict[str, Any]:
    """Create an entry of an endpoint list, in the format of discovery."""
    return {
        "instanceId": name, "hostPort": "127.0.0.1:9", "zone": "here", "machineType": "small", "cell": 1,
        "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0, **changes,
    }  # fmt: skip


class SourceEnvironment(Protocol):
    """A source on the running loop, and control of the origin of its list."""

    source: MemberSource

    async def set_list(self, generation: int, entries: Entries) -> None:
        """Replace the list, and notify watchers. The generation is higher than all before.

        Earlier requests are answered first, so that no older list arrives after this one.
        """

    async def change_entries(self, generation: int, entries: Entries) -> None:
        """Replace or add these entries, and notify watchers of them only."""


class FaultySourceEnvironment(SourceEnvironment, Protocol):
    """A source environment whose origin can fail."""

    def stop_answering(self) -> None:
        """Answer no requests until `resume_answering`."""

    def resume_answering(self) -> None:
        """Answer requests again."""


class RecordingSink:
    """Applies and records lists as the engine does. Refuses the next `refusals_left` lists."""

    def __init__(self) -> None:
        self.has_started = False  # set once the source's `start` has returned
        self.entries_by_id: dict[str, dict[str, Any]] = {}
        self.generations: list[int] = []
        self.full_list_count = self.failure_count = self.refused_count = self.refusals_left = 0
        self.is_applying = False  # whether a list is being applied in steps
        self.changed = asyncio.Event()

    def _on_update(self) -> None:
        assert self.has_started, "an update before `start` has returned"
        assert not self.is_applying, "an update while a list is being applied in steps"
        self.changed.set()

    def _apply(self, is_full: bool, entries: Sequence[Any]) -> None:
        if self.refusals_left:
            self.refusals_left -= 1
            self.refused_count += 1
            raise ValueError("list refused by the test")
        if is_full:
            self.entries_by_id.clear()
            self.full_list_count += 1
        for entry in entries:
            self.entries_by_id[entry["instanceId"]] = entry

    def on_list(self, generation: int, is_full: bool, entries: Sequence[Any]) -> None:
        """Apply a full list, or one of changes."""
        self._on_update()
        self._apply(is_full, entries)
        self.generations.append(generation)

    def now(self) -> int:
        """Return a fixed time, µs."""
        return 1_000_000

    def apply_list_in_steps(self, is_full: bool, entries: list[Any], received_at: int) -> Iterator[None]:
        """Apply a long list, in steps of 64 entries."""
        self._on_update()
        assert type(received_at) is int
        self.is_applying = True
        try:
            for start in range(0, len(entries), 64):
                yield
                assert all("instanceId" in entry for entry in entries[start : start + 64])
            self._apply(is_full, entries)
        finally:
            self.is_applying = False
            self.changed.set()

    def on_list_failed(self) -> None:
        """Count a request for a list that failed."""
        self._on_update()
        self.failure_count += 1


class MemberSourceContract(Contract, ABC):
    """The rules:

    1. The sink is not called before `start` has returned.
    2. After `watch(True)` or `fetch` the full list arrives; while the source is watched, changes arrive too.
    3. All entries arrive unchanged and in the order of the lists. Nothing arrives while a list is being
       applied in steps.
    4. Generations never decrease, and none is lower than that passed to `start`.
    5. A list that the sink refuses is lost; others are not affected.
    """

    @abstractmethod
    def environment(self) -> AbstractAsyncContextManager[SourceEnvironment]:
        """Create a source on the running loop, not started yet, with an empty list."""

    async def wait_for_list(self, sink: RecordingSink, entries: Entries) -> None:
        """Wait until the sink holds exactly these entries."""
        expected = {entry["instanceId"]: entry for entry in entries}

        async def wait() -> None:
            while sink.is_applying or sink.entries_by_id != expected:
                sink.changed.clear()
                await sink.changed.wait()

        await self.wait_for(wait(), f"a list of {len(entries)} entries")
        assert sink.generations == sorted(sink.generations), sink.generations
        assert all(generation >= START_GENERATION for generation in sink.generations), sink.generations

    async def start_source(self, environment: SourceEnvironment, entries: Entries) -> RecordingSink:
        """Start and watch the source, wait for this list, and return the sink."""
        sink = RecordingSink()
        await environment.set_list(START_GENERATION + 1, entries)
        environment.source.start(sink, START_GENERATION)
        sink.has_started = True
        environment.source.fetch()
        await self.wait_for_list(sink, entries)
        assert sink.full_list_count >= 1
        environment.source.watch(True)
        return sink

    def test_the_current_list_arrives_complete(self) -> None:
        """The sink receives all entries with all their fields."""

        async def main() -> None:
            async with self.environment() as environment:
                await self.start_source(
                    environment, [make_entry("s-1"), make_entry("s-2", lifecycle="draining", weight=2.5)]
                )

        self.run(main())

    def test_changes_arrive_while_the_source_is_watched(self) -> None:
        """A watched source delivers changed entries and replaced lists."""

        async def main() -> None:
            async with self.environment() as environment:
                sink = await self.start_source(environment, [make_entry("s-1"), make_entry("s-2")])
                await environment.change_entries(
                    START_GENERATION + 2, [make_entry("s-2", lifecycle="draining")]
                )
                await self.wait_for_list(sink, [make_entry("s-1"), make_entry("s-2", lifecycle="draining")])
                await environment.set_list(START_GENERATION + 3, [make_entry("s-3")])
                await self.wait_for_list(sink, [make_entry("s-3")])

        self.run(main())

    def test_each_fetch_delivers_the_current_list(self) -> None:
        """Each `fetch` delivers the current full list again."""

        async def main() -> None:
            async with self.environment() as environment:
                sink = await self.start_source(environment, [make_entry("s-1")])
                before = sink.full_list_count
                environment.source.fetch()

                async def fetched() -> None:
                    while sink.full_list_count == before:
                        sink.changed.clear()
                        await sink.changed.wait()

                await self.wait_for(fetched(), "the fetched list")
                await self.wait_for_list(sink, [make_entry("s-1")])

        self.run(main())

    def test_a_long_list_arrives_complete_and_before_later_changes(self) -> None:
        """A list that is applied in steps arrives completely, and before a later change."""

        async def main() -> None:
            async with self.environment() as environment:
                sink = await self.start_source(environment, [make_entry("s-1")])
                long_list = [make_entry(f"long-{n:04}") for n in range(LONG_LIST_ENTRIES)]
                await environment.set_list(START_GENERATION + 2, long_list)
                await environment.change_entries(START_GENERATION + 3, [make_entry("long-0001", weight=3.0)])
                long_list[1] = make_entry("long-0001", weight=3.0)
                await self.wait_for_list(sink, long_list)

        self.run(main())

    def test_a_refused_list_does_not_affect_later_lists(self) -> None:
        """After a refused list, the sink keeps its entries, and the next list arrives."""

        async def main() -> None:
            async with self.environment() as environment:
                sink = await self.start_source(environment, [make_entry("s-1")])
                sink.refusals_left = 1
                await environment.change_entries(START_GENERATION + 2, [make_entry("s-2")])

                async def refused() -> None:
                    while not sink.refused_count:
                        sink.changed.clear()
                        await sink.changed.wait()

                await self.wait_for(refused(), "the change that the sink refuses")
                assert set(sink.entries_by_id) == {"s-1"}
                await environment.set_list(START_GENERATION + 3, [make_entry("s-3")])
                environment.source.fetch()
                await self.wait_for_list(sink, [make_entry("s-3")])

        self.run(main())

    def test_watch_may_be_repeated_and_fetch_works_without_it(self) -> None:
        """`watch` may be repeated, and `fetch` delivers lists also while the source is not watched."""

        async def main() -> None:
            async with self.environment() as environment:
                sink = await self.start_source(environment, [make_entry("s-1")])
                environment.source.watch(True)
                environment.source.watch(False)
                environment.source.watch(False)
                await environment.set_list(START_GENERATION + 2, [make_entry("s-2")])
                environment.source.fetch()
                await self.wait_for_list(sink, [make_entry("s-2")])
                environment.source.watch(True)
                await environment.change_entries(START_GENERATION + 3, [make_entry("s-4")])
                await self.wait_for_list(sink, [make_entry("s-2"), make_entry("s-4")])

        self.run(main())


class PolledSourceContract(MemberSourceContract):
    """Further, for a source that requests lists on `fetch`: each failed request calls `on_list_failed` once,
    and the next `fetch` sends a request again.
    """

    @abstractmethod
    def environment(self) -> AbstractAsyncContextManager[FaultySourceEnvironment]:
        """Create a source on the running loop, not started yet, with an empty list; its origin can fail."""

    def test_each_failed_fetch_is_reported_once(self) -> None:
        """Each failed fetch calls `on_list_failed` exactly once, and the next fetch succeeds."""

        async def main() -> None:
            async with self.environment() as environment:
                sink = RecordingSink()
                await environment.set_list(START_GENERATION + 1, [make_entry("s-1")])
                environment.source.start(sink, START_GENERATION)
                sink.has_started = True
                for count in (1, 2):
                    environment.stop_answering()
                    environment.source.fetch()

                    async def failed(count: int = count) -> None:
                        while sink.failure_count < count:
                            sink.changed.clear()
                            await sink.changed.wait()

                    await self.wait_for(failed(), "the report of a failed fetch")
                    await run_ready_callbacks()
                    assert sink.failure_count == count
                    environment.resume_answering()
                    environment.source.fetch()
                    await self.wait_for_list(sink, [make_entry("s-1")])
                    assert sink.failure_count == count

        self.run(main())
