"""Which writes grow too old first, class by class. Pure.

Each class has one span for all of its writes, so those that began first end first: a list of rows for each,
linked through two columns, 8 bytes a row. What begins now goes to its end; what comes back from a restart
comes in the order in which it began. To find what is over costs by that, not by what is kept.
"""

from __future__ import annotations

from array import array
from typing import Final

__all__ = ["ExpiryQueue"]

NONE: Final = -1
# Not in a list.
OUT: Final = -2


class ExpiryQueue:
    """See the head. Rows are small integers."""

    def __init__(self, classes: int) -> None:
        self._first = [NONE] * classes
        self._last = [NONE] * classes
        self._before = array("i")
        self._after = array("i")

    def add(self, cls: int, row: int) -> None:
        """It begins no sooner than those that are there."""
        while len(self._before) <= row:
            self._before.append(OUT)
            self._after.append(OUT)
        last = self._last[cls]
        self._before[row], self._after[row], self._last[cls] = last, NONE, row
        if last == NONE:
            self._first[cls] = row
        else:
            self._after[last] = row

    def first(self, cls: int) -> int:
        """The oldest, or -1."""
        return self._first[cls]

    def drop(self, cls: int, row: int) -> None:
        """It may have gone already."""
        if row >= len(self._before) or self._before[row] == OUT:
            return
        before, after = self._before[row], self._after[row]
        if before == NONE:
            self._first[cls] = after
        else:
            self._after[before] = after
        if after == NONE:
            self._last[cls] = before
        else:
            self._before[after] = before
        self._before[row] = self._after[row] = OUT
