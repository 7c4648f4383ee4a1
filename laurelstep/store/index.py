"""What is where: the index in memory, and what compaction should do and keep. No I/O.

A key costs its dictionary slot, its bytes and one integer: some 110 bytes and the key's own
length beyond 16; far less where its user says that it is numbered (`numbered`). A location is a segment's
number and an offset in it."""

from __future__ import annotations

from collections.abc import MutableMapping
from dataclasses import dataclass

from laurelstep.store.log import CLOCK, DELETE, PUT
from laurelstep.store.numbered import Numbered

_OFFSET_BITS = 32
_OFFSET_MASK = (1 << _OFFSET_BITS) - 1
# Compaction pays when this share of the sealed records is of no more use, and
# there are so many of them at least: a small log is read quickly as it is.
GARBAGE_SHARE, GARBAGE_LEAST = 0.5, 1_000


def location(segment: int, offset: int) -> int:
    return segment << _OFFSET_BITS | offset


def place_of(where: int) -> tuple[int, int]:
    """Segment and offset."""
    return where >> _OFFSET_BITS, where & _OFFSET_MASK


@dataclass(slots=True)
class Usage:
    """One segment: its records, those that the index points at, and when the last expires."""

    records: int = 0
    live: int = 0
    last_expiry: int = 0  # the store's time in ms
    forever: bool = False


class Index:
    """Keys to locations, with the use that each segment still is. `numbered`: the first bytes of keys that
    end with a number given out one by one."""

    def __init__(self, numbered: bytes = b"") -> None:
        self.where: MutableMapping[bytes, int] = Numbered(numbered) if numbered else {}
        self.usage: dict[int, Usage] = {}
        self.highest = 0  # sequence number
        self.clock_note = b""  # the newest note of the clocks: the key of its record
        self.clock_note_at = 0  # its location

    def __len__(self) -> int:
        return len(self.where)

    def apply(self, segment: int, offset: int, kind: int, expires: int, key: bytes) -> None:
        """A record of the log, in the log's order. Notes of the clocks count for no segment's use."""
        if kind == CLOCK:
            self.clock_note, self.clock_note_at = key, location(segment, offset)
            return
        usage = self.usage.get(segment)
        if usage is None:
            usage = self.usage[segment] = Usage()
        usage.records += 1
        if kind == DELETE:
            old = self.where.pop(key, None)
        else:
            old = self.where.get(key)
            self.where[key] = segment << _OFFSET_BITS | offset
            usage.live += 1
            if not expires:
                usage.forever = True
            elif expires > usage.last_expiry:
                usage.last_expiry = expires
        if old is not None:
            self.usage[old >> _OFFSET_BITS].live -= 1

    def keeps(self, where: int, key: bytes, kind: int, expires: int, now_ms: int) -> bool:
        """Whether compaction keeps the record at a location of the log's beginning: only what
        the index points at, and only until it expires. Deletions hide nothing any more."""
        if kind == CLOCK:
            return where == self.clock_note_at
        return kind != DELETE and self.where.get(key) == where and not (expires and expires <= now_ms)

    def moved(self, key: bytes, old: int, new: int, expires: int, kind: int = PUT) -> None:
        """Compaction wrote a record anew; nothing moves if the key has changed since."""
        if kind == CLOCK:
            if self.clock_note_at == old:
                self.clock_note_at = new
            return
        usage = self.usage[new >> _OFFSET_BITS]
        usage.records += 1
        usage.forever |= not expires
        usage.last_expiry = max(usage.last_expiry, expires)
        if self.where.get(key) == old:
            self.where[key] = new
            self.usage[old >> _OFFSET_BITS].live -= 1
            usage.live += 1

    def expired(self, key: bytes, old: int) -> None:
        """Compaction did not keep it."""
        if self.where.get(key) == old:
            del self.where[key]
            self.usage[old >> _OFFSET_BITS].live -= 1

    def worth_compacting(self, sealed: list[int], now_ms: int) -> bool:
        records = garbage = 0
        for number in sealed:
            usage = self.usage.get(number) or Usage()
            records += usage.records
            over = not usage.forever and usage.last_expiry <= now_ms
            garbage += usage.records if over else usage.records - usage.live
        return records >= GARBAGE_LEAST and garbage >= GARBAGE_SHARE * records
