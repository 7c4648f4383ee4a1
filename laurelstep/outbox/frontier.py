"""What is known of other edges' writes where nothing is shared, and how others hear of ours. Pure."""

from __future__ import annotations

from typing import Protocol, runtime_checkable

from laurelstep.outbox.causes import Cause, Fate
from laurelstep.outbox.dots import Dot, Line

__all__ = ["Alone", "Teller"]


@runtime_checkable
class Teller(Protocol):
    """A `Frontier` through which others hear of this process's writes. It may hear the same again."""

    def tell(self, dot: Dot, fate: Fate) -> bool:
        """What became of an own write. `IN`, `GONE`: over, with all that it follows. `UNKNOWN`: parked no
        more. False if there is no room: it is told again later."""

    def low(self, line: Line, number: int) -> bool:
        """All of an own line up to a number are over. Those given up were told before."""

    def telling(self, dot: Dot) -> bool:
        """What was told of an own write is not known to the others yet."""


class Alone:
    """The frontier of an edge that hears of no other: it replays its own lines."""

    def __init__(self, edge: str) -> None:
        self.edge = edge

    def fate(self, cause: Cause) -> Fate:
        return Fate.UNKNOWN

    def holds(self, line: Line) -> bool:
        return line.edge == self.edge
