"""Members that are given and changed in code, as the engine's source of members."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from laurelstep.engine.ports import MemberSink


class GivenMembers:
    """Holds the whole list, in discovery's form, and tells it when it changes."""

    def __init__(self, entries: Sequence[Any] = ()) -> None:
        self.entries = list(entries)
        self.generation = 0
        self.sink: MemberSink | None = None

    def start(self, sink: MemberSink, generation: int) -> None:
        self.sink = sink
        self.generation = generation

    def give(self, entries: Sequence[Any]) -> None:
        """A new whole list; ValueError, with the old one kept, if it can't be read."""
        if self.sink is not None:
            self.sink.listed(self.generation + 1, True, entries)
        self.generation += 1
        self.entries = list(entries)

    def watch(self, on: bool) -> None:
        """Changes are told as they are given."""

    def fetch(self) -> None:
        if self.sink is not None:
            self.sink.listed(self.generation, True, self.entries)

    def close(self) -> None:
        self.sink = None

    async def wait_closed(self) -> None:
        """There is nothing to wait for."""
