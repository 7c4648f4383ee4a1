"""The names of queued writes. Pure.

1. A write id is the edge's name, an incarnation and a number. One edge name has one installation.
2. An incarnation is 64 random bits, drawn each time a process opens the store for writing. So two processes
   on copies of one disk never give one name to two writes, also while both are cut off from everybody.
3. Numbers count from 1 within an incarnation, without gaps: a number whose write could not be kept is told
   as given up.
4. A log is all write ids of one edge and incarnation.
"""

from __future__ import annotations

import re
from typing import Final, NamedTuple

from laurelstep.outbox.errors import TokenError

__all__ = ["MAX_EDGE_NAME_CHARS", "EdgeLog", "WriteId", "check_edge", "parse_write_id"]

# Characters of an edge's name; guards a token's bound.
MAX_EDGE_NAME_CHARS: Final = 32
_EDGE: Final = re.compile(rf"[a-z0-9][a-z0-9.-]{{0,{MAX_EDGE_NAME_CHARS - 1}}}\Z")
_DOT: Final = re.compile(r"([a-z0-9.-]+)/([0-9a-f]{16})/([1-9][0-9]{0,17})\Z")


class EdgeLog(NamedTuple):
    """All writes of one edge in one life of its store."""

    edge: str
    incarnation: int


class WriteId(NamedTuple):
    """One queued write. As text: `edge/incarnation in 16 hex digits/number`."""

    edge: str
    incarnation: int
    number: int

    @property
    def edge_log(self) -> EdgeLog:
        """The log that it is of."""
        return EdgeLog(self.edge, self.incarnation)

    def __str__(self) -> str:
        return f"{self.edge}/{self.incarnation:016x}/{self.number}"


def check_edge(name: str) -> str:
    """The name, or ValueError in one line."""
    if not _EDGE.match(name):
        raise ValueError(
            f"an edge's name is 1 to {MAX_EDGE_NAME_CHARS} of a-z 0-9 . - and starts with a letter or digit"
        )
    return name


def parse_write_id(text: str) -> WriteId:
    """A write id from its text; `TokenError`."""
    found = _DOT.match(text)
    if found is None or not _EDGE.match(found[1]):
        raise TokenError("not the name of a kept write")
    return WriteId(found[1], int(found[2], 16), int(found[3]))
