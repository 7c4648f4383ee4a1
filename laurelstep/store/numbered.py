"""Locations of keys that end with a number given out one by one. No I/O.

Where neighbours are there together, a dictionary of keys is mostly names: here those that differ in the last
six bits only have one page, and each key costs its 8 bytes in that: some 12 in all, instead of 130. A key
alone in its page costs 800."""

from __future__ import annotations

from array import array
from collections.abc import Iterator, MutableMapping
from typing import Final

BITS: Final = 6
PLACES: Final = 1 << BITS
_LOW: Final = PLACES - 1
_ENDS: Final = [bytes((high,)) for high in range(256 >> BITS)]
# No record is at the beginning of a segment.
_NOWHERE: Final = 0


class Numbered(MutableMapping[bytes, int]):
    """A dictionary of locations. Keys that begin with one of `first` have pages, all others do not."""

    def __init__(self, first: bytes) -> None:
        self._first = frozenset(first)
        self._others: dict[bytes, int] = {}
        # By all of a key but its last bits: the locations, and how many there are.
        self._pages: dict[bytes, array[int]] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size + len(self._others)

    def __iter__(self) -> Iterator[bytes]:
        yield from self._others
        for page, places in self._pages.items():
            high = page[-1] << BITS
            for low in range(PLACES):
                if places[low] != _NOWHERE:
                    yield page[:-1] + bytes((high | low,))

    def __contains__(self, key: object) -> bool:
        return isinstance(key, bytes) and self._find(key) != _NOWHERE

    def _find(self, key: bytes) -> int:
        if key[0] not in self._first:
            return self._others.get(key, _NOWHERE)
        places = self._pages.get(key[:-1] + _ENDS[key[-1] >> BITS])
        return _NOWHERE if places is None else places[key[-1] & _LOW]

    def __getitem__(self, key: bytes) -> int:
        where = self._find(key)
        if where == _NOWHERE:
            raise KeyError(key)
        return where

    def __setitem__(self, key: bytes, where: int) -> None:
        if key[0] not in self._first:
            self._others[key] = where
            return
        page = key[:-1] + _ENDS[key[-1] >> BITS]
        places = self._pages.get(page)
        if places is None:
            places = self._pages[page] = array("Q", bytes(8 * (PLACES + 1)))
        low = key[-1] & _LOW
        if places[low] == _NOWHERE:
            places[PLACES] += 1
            self._size += 1
        places[low] = where

    def __delitem__(self, key: bytes) -> None:
        if key[0] not in self._first:
            del self._others[key]
            return
        if self._find(key) == _NOWHERE:
            raise KeyError(key)
        page = key[:-1] + _ENDS[key[-1] >> BITS]
        places = self._pages[page]
        places[key[-1] & _LOW] = _NOWHERE
        places[PLACES] -= 1
        self._size -= 1
        if not places[PLACES]:
            del self._pages[page]
