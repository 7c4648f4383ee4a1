"""Sets of numbers as sorted ranges that neither meet nor overlap: one set, one form. Pure."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterator
from typing import Final

__all__ = ["NONE", "Ranges", "add", "cut", "has", "missing", "well_formed"]

# (first, last), both in it.
Ranges = tuple[tuple[int, int], ...]
NONE: Final[Ranges] = ()


def has(spans: Ranges, number: int) -> bool:
    """Whether the number is in one of the ranges."""
    place = bisect_right(spans, number, key=lambda span: span[0])
    return place > 0 and spans[place - 1][1] >= number


def add(spans: Ranges, first: int, last: int) -> Ranges:
    """With all of first..last."""
    low = bisect_left(spans, first - 1, key=lambda span: span[1])
    high = bisect_right(spans, last + 1, key=lambda span: span[0])
    if low < high:
        first, last = min(first, spans[low][0]), max(last, spans[high - 1][1])
    return (*spans[:low], (first, last), *spans[high:])


def cut(spans: Ranges, first: int, last: int) -> Ranges:
    """Without any of first..last."""
    low = bisect_left(spans, first, key=lambda span: span[1])
    high = bisect_right(spans, last, key=lambda span: span[0])
    if low >= high:
        return spans
    before, after = spans[low], spans[high - 1]
    left = ((before[0], first - 1),) if before[0] < first else ()
    right = ((last + 1, after[1]),) if after[1] > last else ()
    return (*spans[:low], *left, *right, *spans[high:])


def missing(spans: Ranges, first: int, last: int) -> Iterator[tuple[int, int]]:
    """The ranges of first..last that are not in it."""
    low = bisect_left(spans, first, key=lambda span: span[1])
    while first <= last:
        if low >= len(spans) or spans[low][0] > last:
            yield first, last
            return
        if spans[low][0] > first:
            yield first, spans[low][0] - 1
        first = spans[low][1] + 1
        low += 1


def well_formed(spans: Ranges, end: int) -> bool:
    """Whether it is in the one form, of numbers from 1 to below `end`."""
    before = -1
    for first, last in spans:
        if not max(1, before + 2) <= first <= last < end:
            return False
        before = last
    return True
