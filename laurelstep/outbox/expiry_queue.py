"""Finds the queued writes that expire first, for each class. Pure.

All writes of a class have the same lifetime, so they expire in the order in which they began. Each class has
a list of rows, linked through two columns, 8 bytes a row. A new write is appended, and after a restart writes
are appended in the order in which they began. The cost of finding expired writes depends on their number,
not on the number of queued writes.
"""

from __future__ import annotations

from array import array
from typing import Final

__all__ = ["ExpiryQueue"]

NONE: Final = -1
# The row is in no list.
UNLISTED: Final = -2


class ExpiryQueue:
    """The lists of all classes. Rows and classes are small integers."""

    def __init__(self, class_count: int) -> None:
        self._first = [NONE] * class_count
        self._last = [NONE] * class_count
        self._previous = array("i")
        self._next = array("i")

    def add(self, cls: int, row: int) -> None:
        """Append a row, which must not have begun before those already in the list."""
        while len(self._previous) <= row:
            self._previous.append(UNLISTED)
            self._next.append(UNLISTED)
        last = self._last[cls]
        self._previous[row], self._next[row], self._last[cls] = last, NONE, row
        if last == NONE:
            self._first[cls] = row
        else:
            self._next[last] = row

    def first(self, cls: int) -> int:
        """The row that began first, or -1 if the list is empty."""
        return self._first[cls]

    def drop(self, cls: int, row: int) -> None:
        """Remove a row, if it is in the list."""
        if row >= len(self._previous) or self._previous[row] == UNLISTED:
            return
        previous, following = self._previous[row], self._next[row]
        if previous == NONE:
            self._first[cls] = following
        else:
            self._next[previous] = following
        if following == NONE:
            self._last[cls] = previous
        else:
            self._previous[following] = previous
        self._previous[row] = self._next[row] = UNLISTED
