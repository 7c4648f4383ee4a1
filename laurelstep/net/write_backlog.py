"""What was written to one connection and the kernel has not taken yet.

Rules of this module:

1. The backlog counts in the budget of the bodies that are written, until the kernel has taken all of it.
2. Its receiver is checked each time that the sweeper's time has passed. It makes progress if TCP has
   acknowledged enough bytes since the last check. The event loop does not tell: a full socket counts as
   writable only once a third of its send buffer is free, which may take a slow receiver long.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any, Final

from laurelstep.flow_control.buffer_budget import BufferBudget
from laurelstep.flow_control.throughput import has_min_throughput
from laurelstep.net.deadline_sweeper import DeadlineSweeper

# The field `tcpi_bytes_acked` of Linux's `struct tcp_info`, behind the fields before it.
BYTES_ACKED: Final = struct.Struct("=120xQ")


def acknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """How many bytes the peer has acknowledged since the connection was opened; 0 if that is not known."""
    try:
        info = transport.get_extra_info("socket").getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, BYTES_ACKED.size
        )
    except OSError:
        return 0
    return int(BYTES_ACKED.unpack(info)[0]) if len(info) == BYTES_ACKED.size else 0


class WriteBacklog:
    """The backlog of one connection. `stalled` holds the connections whose receivers are being checked."""

    def __init__(self, budget: BufferBudget, stalled: DeadlineSweeper[Any]) -> None:
        self.budget = budget
        self.stalled = stalled
        self.is_paused = False  # the transport buffers bytes that the kernel has not taken
        self.reserved_bytes = 0
        self.acknowledged_bytes = 0  # at the last check

    def pause(self, transport: asyncio.WriteTransport) -> None:
        """The kernel's send buffer is full."""
        self.is_paused = True
        self.count(transport)

    def resume(self) -> None:
        """The kernel has taken all bytes written so far, or the connection is closed."""
        self.is_paused = False
        reserved, self.reserved_bytes = self.reserved_bytes, 0
        self.budget.release(reserved)

    def count(self, transport: asyncio.WriteTransport) -> None:
        """Reserve what the transport buffers after a write, in place of what it buffered before."""
        if self.is_paused:
            self.reserved_bytes = self.budget.reserve_unconditionally(
                transport.get_write_buffer_size(), self.reserved_bytes
            )

    def await_progress(self, connection: object, transport: asyncio.WriteTransport) -> None:
        """Check the receiver from now on, if it is not checked already."""
        if connection not in self.stalled.waiting_since:
            self.acknowledged_bytes = acknowledged_bytes(transport)
            self.stalled.add(connection)

    def has_progress(self, transport: asyncio.WriteTransport) -> bool:
        """Whether the receiver took enough since the last check, of which the sweeper's time has passed.
        Begins the next interval.
        """
        before = self.acknowledged_bytes
        self.acknowledged_bytes = acknowledged_bytes(transport)
        return has_min_throughput(self.acknowledged_bytes - before, self.stalled.timeout_s)
