"""Bytes that were written to a connection and that the kernel has not taken yet: they count in a budget."""

from __future__ import annotations

import asyncio

from laurelstep.flow_control.buffer_budget import BufferBudget


class UnsentBytes:
    """The reservation of one connection for what its transport buffers."""

    def __init__(self, budget: BufferBudget) -> None:
        self.budget = budget
        self.reserved_bytes = 0

    def update(self, transport: asyncio.WriteTransport) -> None:
        """Reserve what the transport buffers now, in place of what it buffered before."""
        self.reserved_bytes = self.budget.reserve_unconditionally(
            transport.get_write_buffer_size(), self.reserved_bytes
        )

    def release(self) -> None:
        """The transport buffers nothing any more."""
        reserved, self.reserved_bytes = self.reserved_bytes, 0
        self.budget.release(reserved)
