"""EndpointTable that are given and changed in code, as the engine's source of members."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from laurelstep.engine.ports import MemberSink


class StaticMembers:
    """Holds the whole list, in discovery's form, and tells it when it changes."""

    def __init__(self, entries: Sequence[Any] = ()) -> None:
        self.entries = list(entries)
        self.generation = 0
        self.sink: MemberSink | None = None

    def start(self, sink: MemberSink, generation: int) -> None:
        """See `MemberSource.start`."""
        self.sink = sink
        self.generation = generation

    def replace_list(self, entries: Sequence[Any]) -> None:
        """A new whole list; ValueError, with the old one kept, if it can't be read."""
        if self.sink is not None:
            self.sink.on_list(self.generation + 1, True, entries)
        self.generation += 1
        self.entries = list(entries)

    def watch(self, on: bool) -> None:
        """Changes are told as they are given."""

    def fetch(self) -> None:
        """The whole list once more."""
        if self.sink is not None:
            self.sink.on_list(self.generation, True, self.entries)

    def close(self) -> None:
        """Tell nothing more."""
        self.sink = None

    async def wait_closed(self) -> None:
        """There is nothing to wait for."""
