"""An endpoint list that is set in code, as the engine's `MemberSource`."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from laurelstep.engine.ports import MemberSink


class StaticMembers:
    """Holds a full endpoint list in the format of discovery, and passes it to the sink when it changes."""

    def __init__(self, entries: Sequence[Any] = ()) -> None:
        self.entries = list(entries)
        self.generation = 0
        self.sink: MemberSink | None = None

    def start(self, sink: MemberSink, generation: int) -> None:
        """See `MemberSource.start`."""
        self.sink = sink
        self.generation = generation

    def replace_list(self, entries: Sequence[Any]) -> None:
        """Replace the list. ValueError, with the old list kept, if an entry is malformed."""
        if self.sink is not None:
            self.sink.on_list(self.generation + 1, True, entries)
        self.generation += 1
        self.entries = list(entries)

    def watch(self, is_on: bool) -> None:
        """See `MemberSource.watch`. Does nothing: `replace_list` always notifies the sink."""

    def fetch(self) -> None:
        """See `MemberSource.fetch`."""
        if self.sink is not None:
            self.sink.on_list(self.generation, True, self.entries)

    def close(self) -> None:
        """Disconnect the sink."""
        self.sink = None

    async def wait_closed(self) -> None:
        """Return at once, because there are no tasks or connections."""
