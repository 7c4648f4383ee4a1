"""A body that is passed on while it comes: a request's to an endpoint, an answer's to a caller.

Rules that everything here serves:

1. A flow is over once: whole, broken at its source, or left by those who took it. After that
   nothing of it is passed on.
2. What comes before it has a taker is kept, in order, and given to the first taker. There is
   no second: what has been passed on is not here any more.
3. A taker that has no room pauses the source; nothing between the two grows without bound.
"""

from __future__ import annotations

from typing import Protocol


class Source(Protocol):
    """Where the body comes from."""

    def hold(self) -> None:
        """Read no more until `go_on`."""

    def go_on(self) -> None: ...

    def unwanted(self) -> None:
        """The rest is not wanted."""


class Taker(Protocol):
    """Where it goes."""

    def flow(self, data: bytes) -> None: ...

    def flowed(self, whole: bool) -> None:
        """The end: nothing follows. Called once."""


class Watcher(Protocol):
    def passed(self, flow: Flow) -> None:
        """It is over: whole, left, or neither where it broke."""


class Flow:
    __slots__ = ("begun", "left", "length", "over", "parts", "source", "taker", "watcher", "whole")

    def __init__(self, source: Source, length: int) -> None:
        self.source: Source | None = source
        self.length = length  # in all; -1 where that is not known ahead
        self.taker: Taker | None = None
        self.watcher: Watcher | None = None
        self.parts: list[bytes] = []
        self.begun = False  # a taker had what came first
        self.over = False
        self.whole = False
        self.left = False

    # --- The source's side ------------------------------------------------------------

    def feed(self, data: bytes) -> None:
        if self.over:
            return
        if self.taker is None:
            self.parts.append(data)
        else:
            self.taker.flow(data)

    def end(self, whole: bool) -> None:
        if self.over:
            return
        self.over, self.whole = True, whole
        self.source = None
        taker, self.taker = self.taker, None
        if taker is not None:
            taker.flowed(whole)
        self._tell()

    # --- The taker's side -------------------------------------------------------------

    def attach(self, taker: Taker) -> None:
        """Give it all that has come; what follows is given as it comes."""
        self.begun = True
        parts, self.parts = self.parts, []
        self.taker = taker
        for part in parts:
            taker.flow(part)
        if self.over:
            self.taker = None
            taker.flowed(self.whole)

    def pause(self) -> None:
        if self.source is not None:
            self.source.hold()

    def resume(self) -> None:
        if self.source is not None:
            self.source.go_on()

    def leave(self) -> None:
        """Nobody takes the rest."""
        if self.over:
            return
        self.over = self.left = True
        source, self.source, self.taker = self.source, None, None
        self.parts = []
        if source is not None:
            source.unwanted()
        self._tell()

    def _tell(self) -> None:
        watcher, self.watcher = self.watcher, None
        if watcher is not None:
            watcher.passed(self)
