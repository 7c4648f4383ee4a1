"""Sets of numbers as sorted ranges that neither touch nor overlap, so that each set has one form. Pure."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterator
from typing import Final

__all__ = ["EMPTY", "Ranges", "add", "contains", "gaps", "is_canonical", "remove"]

# Each range is (first, last), both inclusive.
Ranges = tuple[tuple[int, int], ...]
EMPTY: Final[Ranges] = ()


def contains(ranges: Ranges, number: int) -> bool:
    """Whether the number is in one of the ranges."""
    place = bisect_right(ranges, number, key=lambda span: span[0])
    return place > 0 and ranges[place - 1][1] >= number


def add(ranges: Ranges, first: int, last: int) -> Ranges:
    """Return the ranges with all of first..last added."""
    low = bisect_left(ranges, first - 1, key=lambda span: span[1])
    high = bisect_right(ranges, last + 1, key=lambda span: span[0])
    if low < high:
        first, last = min(first, ranges[low][0]), max(last, ranges[high - 1][1])
    return (*ranges[:low], (first, last), *ranges[high:])


def remove(ranges: Ranges, first: int, last: int) -> Ranges:
    """Return the ranges with all of first..last removed."""
    low = bisect_left(ranges, first, key=lambda span: span[1])
    high = bisect_right(ranges, last, key=lambda span: span[0])
    if low >= high:
        return ranges
    before, after = ranges[low], ranges[high - 1]
    left = ((before[0], first - 1),) if before[0] < first else ()
    right = ((last + 1, after[1]),) if after[1] > last else ()
    return (*ranges[:low], *left, *right, *ranges[high:])


def gaps(ranges: Ranges, first: int, last: int) -> Iterator[tuple[int, int]]:
    """Yield the ranges of first..last that are not in `ranges`."""
    low = bisect_left(ranges, first, key=lambda span: span[1])
    while first <= last:
        if low >= len(ranges) or ranges[low][0] > last:
            yield first, last
            return
        if ranges[low][0] > first:
            yield first, ranges[low][0] - 1
        first = ranges[low][1] + 1
        low += 1


def is_canonical(ranges: Ranges, end: int) -> bool:
    """Whether the ranges are sorted and neither touch nor overlap, with numbers from 1 to below `end`."""
    previous_last = -1
    for first, last in ranges:
        if not max(1, previous_last + 2) <= first <= last < end:
            return False
        previous_last = last
    return True
