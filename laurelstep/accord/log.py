"""The log of one era, as one process has it. Pure.

1. Places are numbered from 1 and run on through all eras that grew from each other. The log holds the entries
   from `start` + 1 to `last`; what is before stands in a snapshot.
2. Entries of equal era, index and term are equal, and so are all before them (Raft, figure 3, Log Matching).
3. The voters are those of the newest config in the log, agreed or not (dissertation 4.1). A cut brings the
   one before back.
4. A config names for each seat that votes the incarnation that holds it.
5. Logs are compared by era, then term of the last entry, then its index: the greater holds all that a
   majority has agreed, if a majority is among the compared.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import Final

import msgspec

from laurelstep.accord.messages import ENTRIES_MOST, Entry, Seat, cost
from laurelstep.accord.terms import NOWHERE, Era

__all__ = ["CONFIG", "DATA", "NOTHING", "Config", "Entry", "Log", "members_from", "members_raw"]

# Kinds of entries.
NOTHING: Final = 0
DATA: Final = 1
CONFIG: Final = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """Who votes, and since which place."""

    index: int
    term: int
    members: Mapping[int, int]


_members: msgspec.msgpack.Decoder[list[tuple[int, int]]] = msgspec.msgpack.Decoder(list[tuple[Seat, int]])


def members_raw(members: Mapping[int, int]) -> bytes:
    return msgspec.msgpack.encode(sorted(members.items()))


def members_from(raw: bytes) -> dict[int, int] | None:
    """The voters, or None where the bytes are none."""
    try:
        return dict(_members.decode(raw))
    except msgspec.DecodeError:
        return None


class Log:
    """See the rules."""

    def __init__(
        self, era: Era = NOWHERE, start: int = 0, start_term: int = 0, config: Config | None = None
    ) -> None:
        self.era = era
        self.start = start
        self.start_term = start_term
        self.entries: list[Entry] = []
        self._configs = [config or Config(0, 0, {})]

    @property
    def last(self) -> int:
        return self.start + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.start_term

    @property
    def config(self) -> Config:
        return self._configs[-1]

    @property
    def floor(self) -> Config:
        """The oldest config that is still known: the one at `start`."""
        return self._configs[0]

    @property
    def position(self) -> tuple[Era, int, int]:
        return (self.era, self.last_term, self.last)

    def config_at(self, index: int) -> Config:
        """The voters as of that place, which is not before `start`."""
        found = self._configs[0]
        for config in self._configs:
            if config.index <= index:
                found = config
        return found

    def term_at(self, index: int) -> int | None:
        """The term of that place; None where the log does not hold it."""
        if index == self.start:
            return self.start_term
        if self.start < index <= self.last:
            return self.entries[index - self.start - 1].term
        return None

    def entry(self, index: int) -> Entry:
        return self.entries[index - self.start - 1]

    def append(self, entry: Entry) -> int:
        """Add; gives its place."""
        self.entries.append(entry)
        if entry.kind == CONFIG:
            members = members_from(entry.data)
            if members is not None:
                self._configs.append(Config(self.last, entry.term, members))
        return self.last

    def cut(self, last: int) -> None:
        """Drop all after `last`."""
        del self.entries[last - self.start :]
        while self._configs[-1].index > last:
            self._configs.pop()

    def compact(self, start: int) -> None:
        """Drop all up to `start`, which a snapshot has."""
        term = self.term_at(start)
        if term is None or start <= self.start:
            return
        floor = self.config_at(start)
        del self.entries[: start - self.start]
        self.start, self.start_term = start, term
        self._configs = [floor, *(config for config in self._configs if config.index > floor.index)]

    def batch(self, first: int, last: int) -> list[Entry]:
        """The entries from `first` that fit in one message."""
        room, found = ENTRIES_MOST, []
        for entry in self.entries[first - self.start - 1 : last - self.start]:
            room -= cost(entry)
            if room < 0:
                break
            found.append(entry)
        return found
