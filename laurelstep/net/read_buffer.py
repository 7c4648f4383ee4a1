"""The buffer that all connections of one side read into, and how much one read may bring."""

from __future__ import annotations

from laurelstep.flow_control.buffer_budget import MAX_READ_BYTES, UNCOUNTED_BYTES, BufferBudget


class ReadBuffer:
    """Memory for one read at a time. Each read is limited by the budget of the messages that are read.

    The event loop asks for a view, fills it and reports its size at once, before any other connection reads.
    """

    def __init__(self, budget: BufferBudget) -> None:
        self.budget = budget
        self.full_view = memoryview(bytearray(MAX_READ_BYTES))
        self.short_view = self.full_view[:UNCOUNTED_BYTES]

    def view(self) -> memoryview:
        """The memory for the next read."""
        return self.full_view if self.budget.read_bytes() == MAX_READ_BYTES else self.short_view

    def take(self, byte_count: int) -> bytes:
        """A copy of the first `byte_count` bytes that were read."""
        return bytes(self.full_view[:byte_count])
