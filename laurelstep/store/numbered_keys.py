"""A map from keys that end with a sequence number to their locations. No I/O.

In a dictionary the keys take most of the memory. Here keys that differ only in their last six bits share a
page, in which each takes 8 bytes: about 12 bytes in all, instead of 130. A key alone in its page takes 800.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator, MutableMapping
from typing import Final

PAGE_BITS: Final = 6
PAGE_KEYS: Final = 1 << PAGE_BITS
_LOW_MASK: Final = PAGE_KEYS - 1
_LAST_BYTES: Final = [bytes((high,)) for high in range(256 >> PAGE_BITS)]
# Never a location: no record is at the beginning of a segment.
_ABSENT: Final = 0


class NumberedKeyMap(MutableMapping[bytes, int]):
    """Maps keys to locations. Keys that begin with one of the bytes in `prefixes` share pages; all others
    are kept in a dictionary.
    """

    def __init__(self, prefixes: bytes) -> None:
        self._prefixes = frozenset(prefixes)
        self._others: dict[bytes, int] = {}
        # By a key without its last bits: the locations, followed by their number.
        self._pages: dict[bytes, array[int]] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size + len(self._others)

    def __iter__(self) -> Iterator[bytes]:
        yield from self._others
        for page_key, page in self._pages.items():
            high = page_key[-1] << PAGE_BITS
            for low in range(PAGE_KEYS):
                if page[low] != _ABSENT:
                    yield page_key[:-1] + bytes((high | low,))

    def __contains__(self, key: object) -> bool:
        return isinstance(key, bytes) and self._find(key) != _ABSENT

    def _find(self, key: bytes) -> int:
        if key[0] not in self._prefixes:
            return self._others.get(key, _ABSENT)
        page = self._pages.get(key[:-1] + _LAST_BYTES[key[-1] >> PAGE_BITS])
        return _ABSENT if page is None else page[key[-1] & _LOW_MASK]

    def __getitem__(self, key: bytes) -> int:
        location = self._find(key)
        if location == _ABSENT:
            raise KeyError(key)
        return location

    def __setitem__(self, key: bytes, location: int) -> None:
        if key[0] not in self._prefixes:
            self._others[key] = location
            return
        page_key = key[:-1] + _LAST_BYTES[key[-1] >> PAGE_BITS]
        page = self._pages.get(page_key)
        if page is None:
            page = self._pages[page_key] = array("Q", bytes(8 * (PAGE_KEYS + 1)))
        low = key[-1] & _LOW_MASK
        if page[low] == _ABSENT:
            page[PAGE_KEYS] += 1
            self._size += 1
        page[low] = location

    def __delitem__(self, key: bytes) -> None:
        if key[0] not in self._prefixes:
            del self._others[key]
            return
        if self._find(key) == _ABSENT:
            raise KeyError(key)
        page_key = key[:-1] + _LAST_BYTES[key[-1] >> PAGE_BITS]
        page = self._pages[page_key]
        page[key[-1] & _LOW_MASK] = _ABSENT
        page[PAGE_KEYS] -= 1
        self._size -= 1
        if not page[PAGE_KEYS]:
            del self._pages[page_key]
