"""The budget of buffered bodies: how much of them a process holds in memory. Pure.

Rules that everything here serves:

1. A request is buffered until it is complete, so that it can be sent again, up to `MAX_BUFFERED_BYTES` and
   while all that are buffered fit into the budget. Past that its body is streamed while it comes; one
   whose head is not complete is refused. The same holds for answers, which have a budget of their own.
2. What was reserved is released once, when its request, or answer, is over.
"""

from __future__ import annotations

from typing import Final

# Of one body, in bytes, at most; up to `UNCOUNTED_BYTES` it does not count: each connection may hold that,
# which is no more than its own buffers take.
MAX_BUFFERED_BYTES: Final = 1 << 20
UNCOUNTED_BYTES: Final = 8 * 1024
# What a process needs beside bodies, and the part of the rest that bodies may have: two
# processes share the memory during an upgrade.
BASE_MB: Final = 20
REQUESTS_SHARE: Final = 0.25
ANSWERS_SHARE: Final = 0.125
MIN_BUDGET_BYTES: Final = 1 << 20
# What one body that is streamed holds: a write buffer up to its mark, and the read, of 256 KiB
# at most, that went over that.
STREAMED_BODY_BYTES: Final = (64 + 256) * 1024
# Where no limit of memory is set.
DEFAULT_MEMORY_MB: Final = 128


def budget_bytes(memory_mb: int, part: float = REQUESTS_SHARE) -> int:
    """Bytes of bodies that may be buffered with that limit of memory, in MiB; 0 = none is set."""
    left = (memory_mb or DEFAULT_MEMORY_MB) - BASE_MB
    return max(MIN_BUDGET_BYTES, int(left * part) << 20)


def max_total_bytes(memory_mb: int, streamed: int) -> int:
    """Bytes that all bodies together hold at most, with so many streamed in either direction."""
    return budget_bytes(memory_mb) + budget_bytes(memory_mb, ANSWERS_SHARE) + streamed * STREAMED_BODY_BYTES


class BufferBudget:
    """Bytes that are buffered, past what each connection has anyway."""

    __slots__ = ("limit", "used")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0

    def reserve(self, size: int, reserved: int) -> int:
        """What so much of a message takes of the budget in all, `reserved` of it so far; -1 if it
        may be buffered no longer. In bytes.
        """
        want = max(0, size - UNCOUNTED_BYTES)
        if size > MAX_BUFFERED_BYTES or self.used + want - reserved > self.limit:
            return -1
        self.used += want - reserved
        return want

    def reserve_unconditionally(self, size: int, reserved: int) -> int:
        """The same for what has come complete at once, or can't be streamed: it is buffered all the
        same, and others find less.
        """
        want = max(0, size - UNCOUNTED_BYTES)
        self.used += want - reserved
        return want

    def release(self, reserved: int) -> None:
        """Give back what `reserve` or `reserve_unconditionally` gave last."""
        self.used -= reserved
