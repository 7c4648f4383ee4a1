"""Write ids, which identify queued writes. Pure.

1. A write id consists of the edge's name, an incarnation and a number. An edge name belongs to one
   installation.
2. An incarnation is 64 random bits, drawn each time a process opens the store for writing. So two processes
   on copies of one disk never give the same id to two writes, even while both are cut off from all others.
3. Numbers count from 1 within an incarnation, without gaps. A number whose write could not be stored has no
   receipt, and counts as finished.
4. A log is the set of all write ids of one edge and incarnation.
"""

from __future__ import annotations

import re
from typing import Final, NamedTuple

from laurelstep.outbox.errors import TokenError

__all__ = ["MAX_EDGE_NAME_CHARS", "EdgeLog", "WriteId", "check_edge", "parse_write_id"]

# Characters of an edge's name; bounds the length of a token.
MAX_EDGE_NAME_CHARS: Final = 32
_EDGE_NAME: Final = re.compile(rf"[a-z0-9][a-z0-9.-]{{0,{MAX_EDGE_NAME_CHARS - 1}}}\Z")
_WRITE_ID: Final = re.compile(r"([a-z0-9.-]+)/([0-9a-f]{16})/([1-9][0-9]{0,17})\Z")


class EdgeLog(NamedTuple):
    """All writes of one edge in one incarnation of its store."""

    edge: str
    incarnation: int


class WriteId(NamedTuple):
    """Identifies one queued write. As text: `edge/incarnation in 16 hex digits/number`."""

    edge: str
    incarnation: int
    number: int

    @property
    def edge_log(self) -> EdgeLog:
        """The log that the write belongs to."""
        return EdgeLog(self.edge, self.incarnation)

    def __str__(self) -> str:
        return f"{self.edge}/{self.incarnation:016x}/{self.number}"


def check_edge(name: str) -> str:
    """Return the name if it is valid. ValueError otherwise, in one line."""
    if not _EDGE_NAME.match(name):
        raise ValueError(
            f"an edge's name is 1 to {MAX_EDGE_NAME_CHARS} of a-z 0-9 . - and starts with a letter or digit"
        )
    return name


def parse_write_id(text: str) -> WriteId:
    """Parse the text form of a write id. `TokenError` if it is malformed."""
    match = _WRITE_ID.match(text)
    if match is None or not _EDGE_NAME.match(match[1]):
        raise TokenError("not the name of a kept write")
    return WriteId(match[1], int(match[2], 16), int(match[3]))
