"""The budget of buffered messages: how many of their bytes a process holds in memory. Does no I/O.

Rules of this module:

1. A request is buffered until it is complete, so that it can be sent again, up to `MAX_BUFFERED_BYTES` and
   as long as all buffered requests fit into the budget. Beyond that its body is streamed as it is received,
   and a request whose head is not complete, or that can't be streamed, is refused. The same applies to
   answers, which have their own budget.
2. Bytes are reserved from when they are read until the kernel has taken them, whether their message is
   buffered or streamed, and whichever connection holds them meanwhile. They are released once.
3. What counts is what is held, not what was on the wire: a header field that is kept counts with its objects
   (`held_head_bytes`), and a body is held in one piece, however it was split.
4. The next read of a message brings no more than the budget has room for, but `UNCOUNTED_BYTES` at least, so
   that every message makes progress.
"""

from __future__ import annotations

from typing import Final

# Limit of one buffered message. The first `UNCOUNTED_BYTES` of it are not charged to the budget: each
# connection may hold them, which is no more than its own buffers take.
MAX_BUFFERED_BYTES: Final = 1 << 20
UNCOUNTED_BYTES: Final = 8 * 1024
# Bytes of one read while the budget has room for them.
MAX_READ_BYTES: Final = 64 * 1024
# Memory of a header field beside its bytes: a pair and its place in a list, and the headers of two bytes
# objects, rounded up.
FIELD_OVERHEAD_BYTES: Final = 192
# Fields of one head that may be kept. Fields that the program does not use are not kept.
MAX_KEPT_FIELDS: Final = 100
# MiB that a process needs without any bodies, and the shares of the remaining memory for buffered requests
# and answers. The shares are small because two processes share the memory during a hot restart.
BASE_MB: Final = 20
REQUESTS_SHARE: Final = 0.25
ANSWERS_SHARE: Final = 0.125
MIN_BUDGET_BYTES: Final = 1 << 20
# The share of the budget for bodies of any size that wait for an attempt: the rest is left to other requests.
WAITING_SHARE: Final = 0.5
# MiB that are assumed if no memory limit is set.
DEFAULT_MEMORY_MB: Final = 128


def budget_bytes(memory_mb: int, share: float = REQUESTS_SHARE) -> int:
    """Bytes that may be buffered of requests, or of answers, by their `share`. `memory_mb`: the memory limit
    of the process in MiB; 0 = none is set.
    """
    remaining_mb = (memory_mb or DEFAULT_MEMORY_MB) - BASE_MB
    return max(MIN_BUDGET_BYTES, int(remaining_mb * share) << 20)


def max_total_bytes(memory_mb: int, messages: int) -> int:
    """Bytes that all bodies together hold at most. `messages`: how many are transferred, in either direction.

    Beyond the budgets a message holds `UNCOUNTED_BYTES` and one read of that size.
    """
    return budget_bytes(memory_mb) + budget_bytes(memory_mb, ANSWERS_SHARE) + messages * 2 * UNCOUNTED_BYTES


def held_head_bytes(received: int, kept_fields: int) -> int:
    """The memory that an incomplete head holds at most, in bytes: of it `received` bytes have arrived, with
    `kept_fields` fields that are kept.
    """
    return received + kept_fields * FIELD_OVERHEAD_BYTES


class BufferBudget:
    """Counts the buffered bytes of all messages, without the first `UNCOUNTED_BYTES` of each."""

    __slots__ = ("limit", "used")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0

    def read_bytes(self) -> int:
        """How many bytes the next read of a message may bring."""
        return MAX_READ_BYTES if self.used + MAX_READ_BYTES <= self.limit else UNCOUNTED_BYTES

    def reserve(self, size: int, reserved: int) -> int:
        """Reserve budget for a message of which `size` bytes are buffered and `reserved` bytes were reserved
        before. Returns the bytes that are now reserved for it; -1 if it may not be buffered any longer.
        """
        wanted = max(0, size - UNCOUNTED_BYTES)
        if size > MAX_BUFFERED_BYTES or self.used + wanted - reserved > self.limit:
            return -1
        self.used += wanted - reserved
        return wanted

    def reserve_complete(self, size: int, reserved: int) -> int:
        """As `reserve`, for a complete request of any size: its target, its header lines and its body are
        held until its final answer.
        """
        wanted = max(0, size - UNCOUNTED_BYTES)
        if wanted > reserved and self.used + wanted - reserved > self.limit:
            return -1
        self.used += wanted - reserved
        return wanted

    def reserve_unconditionally(self, size: int, reserved: int) -> int:
        """As `reserve`, for a message that was received at once or can't be streamed: it is buffered even
        beyond the limit, which leaves less for others.
        """
        wanted = max(0, size - UNCOUNTED_BYTES)
        self.used += wanted - reserved
        return wanted

    def reserve_waiting(self, size: int, reserved: int) -> int:
        """As `reserve`, for a large body of which nothing can be forwarded yet: it may be larger than a
        buffered message, and leaves a part of the budget to others.
        """
        wanted = max(0, size - UNCOUNTED_BYTES)
        if self.used + wanted - reserved > self.limit * WAITING_SHARE:
            return -1
        self.used += wanted - reserved
        return wanted

    def release(self, reserved: int) -> None:
        """Return to the budget what `reserve` or `reserve_unconditionally` returned last for a message."""
        self.used -= reserved


class BodyBudgets:
    """The two budgets of a process. The connections of clients and of endpoints share them, as a body passes
    from one to the other.
    """

    __slots__ = ("answers", "requests")

    def __init__(self, memory_mb: int = 0) -> None:
        """`memory_mb`: the memory limit of the process in MiB; 0 = none is set."""
        self.requests = BufferBudget(budget_bytes(memory_mb))
        self.answers = BufferBudget(budget_bytes(memory_mb, ANSWERS_SHARE))
