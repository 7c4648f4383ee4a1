"""What is known of each open write, in columns: an object for each would be five times as large. Pure.

1. A row has the number of its node in the graph.
2. `IntegerMap` is a hash table with open addressing and linear probing (Knuth, TAOCP 3, 6.4, algorithms L
   and R): 12 or 16 bytes a place, at most three quarters of them used, and in growth no fewer than three
   fifths. It grows part by part, so that no call takes long.
3. `PagedIntegerMap` is for names given out one by one: 4 bytes a name, and a page for each 64 neighbours.
"""

from __future__ import annotations

from array import array
from hashlib import blake2b
from typing import Final

from laurelstep.outbox.records import ParkingReason, WriteState

__all__ = [
    "BARRIER",
    "BUSY",
    "CLOSED",
    "DURABLE",
    "FOREIGN",
    "JOIN",
    "ORPHAN",
    "SENT",
    "IntegerMap",
    "PagedIntegerMap",
    "WriteTable",
    "short_hash",
]

FOREIGN: Final = 1  # a write of another log
BARRIER: Final = 2
JOIN: Final = 4
DURABLE: Final = 8
BUSY: Final = 16  # a change of it is on its way to the store
SENT: Final = 32  # may have run
ORPHAN: Final = 64  # to be parked: what it follows is given up
CLOSED: Final = 128  # final, but its followers still wait for its causes

# As enums look them up, at a tenth of the time.
_STATES: Final = {int(state): state for state in WriteState}
_REASONS: Final = {int(reason): reason for reason in ParkingReason}
_EMPTY: Final = 0
_SMALLEST: Final = 8
PARTS: Final = 61  # prime: the names need not be spread
PAGE_BITS: Final = 6
PAGE_MASK: Final = (1 << PAGE_BITS) - 1
_MIX: Final = 0x9E3779B97F4A7C15
_WORD: Final = (1 << 64) - 1


def short_hash(*parts: bytes) -> int:
    """63 bits that stand for a name, never 0; 0 if the last part is empty. Two names that share them are
    taken for one: a write then follows one more than it must; a key's owner is compared with the record.
    """
    if not parts[-1]:
        return 0
    digest = blake2b(b"\0".join(parts), digest_size=8).digest()
    return int.from_bytes(digest, "little") >> 1 or 1


class _MapPart:
    """One of the tables that a `IntegerMap` is made of."""

    def __init__(self, kind: str) -> None:
        self._used = 0
        self._kind = kind
        self._keys = array("q", [_EMPTY]) * _SMALLEST
        self._values = array(self._kind, [0]) * _SMALLEST

    def __len__(self) -> int:
        return self._used

    def _place(self, key: int) -> int:
        """Of the key, or where it would stand."""
        keys, size = self._keys, len(self._keys)
        at = ((key * _MIX & _WORD) >> 32) * size >> 32
        while keys[at] != _EMPTY and keys[at] != key:
            at = at + 1 if at + 1 < size else 0
        return at

    def get(self, key: int, default: int = -1) -> int:
        """The value of a key, or `default`."""
        at = self._place(key)
        return self._values[at] if self._keys[at] == key != _EMPTY else default

    def put(self, key: int, value: int) -> None:
        """Set the value of a key."""
        at = self._place(key)
        if self._keys[at] == _EMPTY:
            self._used += 1
        self._keys[at], self._values[at] = key, value
        if 4 * self._used > 3 * len(self._keys):
            self._resize(len(self._keys) * 5 // 4)

    def drop(self, key: int) -> None:
        """Forget a key, if it is there."""
        at = self._place(key)
        if self._keys[at] != key:
            return
        keys, size = self._keys, len(self._keys)
        keys[at] = _EMPTY
        self._used -= 1
        # What stood behind it may have been put there because this place was taken.
        following = (at + 1) % size
        while keys[following] != _EMPTY:
            moved, value = keys[following], self._values[following]
            keys[following] = _EMPTY
            place = self._place(moved)
            keys[place], self._values[place] = moved, value
            following = (following + 1) % size
        if 4 * self._used < size > _SMALLEST:
            self._resize(max(_SMALLEST, size // 2))

    def _resize(self, size: int) -> None:
        keys, values = self._keys, self._values
        self._keys = array("q", [_EMPTY]) * size
        self._values = array(self._kind, [0]) * size
        for key, value in zip(keys, values, strict=True):
            if key != _EMPTY:
                at = self._place(key)
                self._keys[at], self._values[at] = key, value


class IntegerMap:
    """From positive integers to integers; with `wide`, to those of 64 bits. No place has 0."""

    def __init__(self, wide: bool = False) -> None:
        self._kind = "q" if wide else "i"
        self._parts: dict[int, _MapPart] = {}

    def __len__(self) -> int:
        return sum(map(len, self._parts.values()))

    def get(self, key: int, default: int = -1) -> int:
        """The value of a key, or `default`."""
        part = self._parts.get(key % PARTS)
        return default if part is None else part.get(key, default)

    def put(self, key: int, value: int) -> None:
        """Set the value of a key."""
        part = self._parts.get(key % PARTS)
        if part is None:
            part = self._parts[key % PARTS] = _MapPart(self._kind)
        part.put(key, value)

    def drop(self, key: int) -> None:
        """Forget a key, if it is there."""
        part = self._parts.get(key % PARTS)
        if part is not None:
            part.drop(key)


class PagedIntegerMap:
    """From integers that are given out one by one to integers that are not negative."""

    def __init__(self) -> None:
        # By all of a name but its last bits: the values (-1 for none), and how many there are.
        self._pages: dict[int, array[int]] = {}

    def get(self, name: int) -> int:
        """-1 if there is none."""
        page = self._pages.get(name >> PAGE_BITS)
        return -1 if page is None else page[name & PAGE_MASK]

    def put(self, name: int, value: int) -> None:
        """Set the value of a key."""
        page = self._pages.get(name >> PAGE_BITS)
        if page is None:
            page = self._pages[name >> PAGE_BITS] = array("i", [-1]) * (PAGE_MASK + 2)
            page[-1] = 0
        place = name & PAGE_MASK
        page[-1] += page[place] < 0
        page[place] = value

    def drop(self, name: int) -> None:
        """It may have gone already."""
        page = self._pages.get(name >> PAGE_BITS)
        if page is None or page[name & PAGE_MASK] < 0:
            return
        page[name & PAGE_MASK] = -1
        page[-1] -= 1
        if not page[-1]:
            del self._pages[name >> PAGE_BITS]


class WriteTable:
    """The columns. `since`: when its age and window began; `edge_log`: its place in the outbox's list."""

    def __init__(self) -> None:
        self.state = array("b")
        self.flags = array("B")
        self.reason = array("b")
        self.parking = array("H")
        self.cls = array("h")
        self.edge_log = array("h")
        self.tenant = array("i")
        self.size = array("I")
        self.number = array("q")
        self.since = array("q")
        self.key = array("q")
        self.session = array("q")
        self.obj = array("q")

    def __len__(self) -> int:
        return len(self.state)

    def clear(self, row: int, flags: int) -> None:
        """A row that is new, or used again."""
        columns = (
            self.reason,
            self.parking,
            self.cls,
            self.edge_log,
            self.tenant,
            self.size,
            self.number,
            self.since,
            self.key,
            self.session,
            self.obj,
        )
        if row == len(self.state):
            for column in (self.state, self.flags, *columns):
                column.append(0)
        else:
            for column in columns:
                column[row] = 0
        self.state[row], self.flags[row] = WriteState.KEPT, flags

    def has(self, row: int, flag: int) -> bool:
        """Whether a row has one of these flags."""
        return bool(self.flags[row] & flag)

    def set(self, row: int, flag: int, on: bool = True) -> None:
        """Set or clear flags of a row."""
        self.flags[row] = self.flags[row] | flag if on else self.flags[row] & ~flag

    def state_of(self, row: int) -> WriteState:
        """The state of a row."""
        return _STATES[self.state[row]]

    def reason_of(self, row: int) -> ParkingReason:
        """Why a row is parked."""
        return _REASONS[self.reason[row]]
