"""The buffer that all connections of one side read into, and how much one read may bring."""

from __future__ import annotations

from typing import Final

from laurelstep.flow_control.buffer_budget import MAX_READ_BYTES, UNCOUNTED_BYTES, BufferBudget

# A read is fragmented if its fields and chunks are shorter than this in the mean.
MIN_MEAN_PART_BYTES: Final = 64


def is_fragmented(byte_count: int, part_count: int) -> bool:
    """Whether a read of so many bytes had so many header fields and chunks that parsing them takes long. The
    next read of its connection is short, so that other connections are served in between.
    """
    return part_count * MIN_MEAN_PART_BYTES > byte_count


class ReadBuffer:
    """Memory for one read at a time. Each read is limited by the budget of the messages that are read.

    The event loop asks for a view, fills it and reports its size at once, before any other connection reads.
    """

    def __init__(self, budget: BufferBudget) -> None:
        self.budget = budget
        self.full_view = memoryview(bytearray(MAX_READ_BYTES))
        self.short_view = self.full_view[:UNCOUNTED_BYTES]

    def view(self, may_be_fragmented: bool) -> memoryview:
        """The memory for the next read. `may_be_fragmented`: it may bring many short fields or chunks."""
        if may_be_fragmented or self.budget.read_bytes() < MAX_READ_BYTES:
            return self.short_view
        return self.full_view

    def take(self, byte_count: int) -> bytes:
        """A copy of the first `byte_count` bytes that were read."""
        return bytes(self.full_view[:byte_count])
