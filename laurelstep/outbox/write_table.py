"""The table of open writes. Pure.

It is stored in columns, because an object for each write would be five times as large.

1. A row has the number of its node in the dependency graph.
2. `IntegerMap` is a hash table with open addressing and linear probing (Knuth, TAOCP 3, 6.4, algorithms L
   and R): 12 or 16 bytes a slot, at most three quarters of the slots used and, while it grows, at least three
   fifths. It consists of parts that are resized one at a time, so that no call takes long.
3. `PagedIntegerMap` is for keys that are assigned consecutively: 4 bytes a key, and a page for each 64
   neighbouring keys.
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
BUSY: Final = 16  # a state change of the write is being stored
SENT: Final = 32  # may have run
ORPHAN: Final = 64  # to be parked, because a write that it depends on was given up
CLOSED: Final = 128  # final, but its followers still wait for its dependencies

# The same look-up as by the enum's constructor, in a tenth of the time.
_STATES: Final = {int(state): state for state in WriteState}
_REASONS: Final = {int(reason): reason for reason in ParkingReason}
_EMPTY: Final = 0
_MIN_SLOTS: Final = 8
PARTS: Final = 61  # prime, so that the keys need not be evenly spread
PAGE_BITS: Final = 6
PAGE_MASK: Final = (1 << PAGE_BITS) - 1
_HASH_MULTIPLIER: Final = 0x9E3779B97F4A7C15
_MASK_64_BITS: Final = (1 << 64) - 1


def short_hash(*parts: bytes) -> int:
    """Hash a name to 63 bits, never 0; 0 if the last part is empty.

    Two names with the same hash are treated as one. A write then depends on one write more than it must; for
    idempotency keys the caller compares the key with the record.
    """
    if not parts[-1]:
        return 0
    digest = blake2b(b"\0".join(parts), digest_size=8).digest()
    return int.from_bytes(digest, "little") >> 1 or 1


class _MapPart:
    """One of the hash tables that an `IntegerMap` consists of."""

    def __init__(self, kind: str) -> None:
        self._used = 0
        self._kind = kind
        self._keys = array("q", [_EMPTY]) * _MIN_SLOTS
        self._values = array(self._kind, [0]) * _MIN_SLOTS

    def __len__(self) -> int:
        return self._used

    def _slot(self, key: int) -> int:
        """The slot of the key, or the free slot where it would be inserted."""
        keys, size = self._keys, len(self._keys)
        slot = ((key * _HASH_MULTIPLIER & _MASK_64_BITS) >> 32) * size >> 32
        while keys[slot] != _EMPTY and keys[slot] != key:
            slot = slot + 1 if slot + 1 < size else 0
        return slot

    def get(self, key: int, default: int = -1) -> int:
        """The value of a key, or `default`."""
        slot = self._slot(key)
        return self._values[slot] if self._keys[slot] == key != _EMPTY else default

    def put(self, key: int, value: int) -> None:
        """Set the value of a key."""
        slot = self._slot(key)
        if self._keys[slot] == _EMPTY:
            self._used += 1
        self._keys[slot], self._values[slot] = key, value
        if 4 * self._used > 3 * len(self._keys):
            self._resize(len(self._keys) * 5 // 4)

    def drop(self, key: int) -> None:
        """Remove a key, if it is there."""
        slot = self._slot(key)
        if self._keys[slot] != key:
            return
        keys, size = self._keys, len(self._keys)
        keys[slot] = _EMPTY
        self._used -= 1
        # Reinsert the keys that follow: they may have been placed there because this slot was taken.
        following = (slot + 1) % size
        while keys[following] != _EMPTY:
            moved_key, value = keys[following], self._values[following]
            keys[following] = _EMPTY
            new_slot = self._slot(moved_key)
            keys[new_slot], self._values[new_slot] = moved_key, value
            following = (following + 1) % size
        if 4 * self._used < size > _MIN_SLOTS:
            self._resize(max(_MIN_SLOTS, size // 2))

    def _resize(self, size: int) -> None:
        keys, values = self._keys, self._values
        self._keys = array("q", [_EMPTY]) * size
        self._values = array(self._kind, [0]) * size
        for key, value in zip(keys, values, strict=True):
            if key != _EMPTY:
                slot = self._slot(key)
                self._keys[slot], self._values[slot] = key, value


class IntegerMap:
    """Maps positive integers to 32-bit integers, or with `wide` to 64-bit ones. 0 marks an empty slot."""

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
        """Remove a key, if it is there."""
        part = self._parts.get(key % PARTS)
        if part is not None:
            part.drop(key)


class PagedIntegerMap:
    """Maps integers that are assigned consecutively to integers that are not negative."""

    def __init__(self) -> None:
        # By a key without its last `PAGE_BITS` bits: the values (-1 for none), then their count.
        self._pages: dict[int, array[int]] = {}

    def get(self, key: int) -> int:
        """The value of a key, or -1."""
        page = self._pages.get(key >> PAGE_BITS)
        return -1 if page is None else page[key & PAGE_MASK]

    def put(self, key: int, value: int) -> None:
        """Set the value of a key."""
        page = self._pages.get(key >> PAGE_BITS)
        if page is None:
            page = self._pages[key >> PAGE_BITS] = array("i", [-1]) * (PAGE_MASK + 2)
            page[-1] = 0
        place = key & PAGE_MASK
        page[-1] += page[place] < 0
        page[place] = value

    def drop(self, key: int) -> None:
        """Remove a key, if it is there."""
        page = self._pages.get(key >> PAGE_BITS)
        if page is None or page[key & PAGE_MASK] < 0:
            return
        page[key & PAGE_MASK] = -1
        page[-1] -= 1
        if not page[-1]:
            del self._pages[key >> PAGE_BITS]


class WriteTable:
    """The columns. `since`: when the write's age and window began, monotonic µs. `edge_log`: the index of its
    log in the outbox's list of logs.
    """

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
        """Initialize a row that is new or reused."""
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
        """The reason why a row is parked."""
        return _REASONS[self.reason[row]]
