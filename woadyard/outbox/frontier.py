"""What one edge knows of the others by itself: what it was told. Pure.

1. An edge that was declared lost is gone with all its lines, or one line alone: a life of an edge whose
   disk was lost. It is never taken back: followers may have gone on without it.
2. Nothing else is known of other lines, but what was told; `IN` and `GONE` stay.
3. There is one process for each disk: the lines are its own. Where copies share, accord says so instead.
"""

from __future__ import annotations

from typing import Protocol, runtime_checkable

from woadyard.outbox.causes import Cause, Fate
from woadyard.outbox.dots import Dot, Line

__all__ = ["LocalFrontier", "Teller"]


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


class LocalFrontier:
    """A `Frontier` without others. Its driver keeps what is declared, and calls `Outbox.heard` after it."""

    def __init__(self) -> None:
        self.lost_edges: set[str] = set()
        self.lost_lines: set[Line] = set()
        self._told: dict[Dot, Fate] = {}

    def declare_lost(self, edge: str, incarnation: int | None = None) -> bool:
        """False if that was said before."""
        if incarnation is None:
            known = edge in self.lost_edges
            self.lost_edges.add(edge)
        else:
            known = Line(edge, incarnation) in self.lost_lines
            self.lost_lines.add(Line(edge, incarnation))
        return not known

    def tell(self, dot: Dot, fate: Fate) -> None:
        if self._told.get(dot) not in (Fate.IN, Fate.GONE):
            self._told[dot] = fate

    def fate(self, cause: Cause) -> Fate:
        told = Fate.UNKNOWN if cause.before else self._told.get(cause.dot, Fate.UNKNOWN)
        if told is Fate.IN:
            return told
        gone = cause.edge in self.lost_edges or cause.line in self.lost_lines
        return Fate.GONE if gone else told

    def holds(self, line: Line) -> bool:
        return True
