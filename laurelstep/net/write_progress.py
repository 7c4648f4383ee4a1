"""Whether the peer of a connection goes on taking what is written to it.

The event loop does not tell: a full socket counts as writable only once a third of its send buffer is free,
which may take a slow peer longer than any time-out. Acknowledgements show each step of the peer's window.
"""

from __future__ import annotations

import asyncio
import socket
import struct

from laurelstep.flow_control.throughput import has_min_throughput

# The field `tcpi_bytes_acked` of Linux's `struct tcp_info`, and the length of the struct up to its end.
BYTES_ACKED = struct.Struct("=120xQ")


def acknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """How many bytes the peer has acknowledged since the connection was opened; 0 if that is not known."""
    try:
        info = transport.get_extra_info("socket").getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, BYTES_ACKED.size
        )
    except OSError:
        return 0
    return int(BYTES_ACKED.unpack(info)[0]) if len(info) == BYTES_ACKED.size else 0


class WriteProgress:
    """What the peer had acknowledged at the last check."""

    def __init__(self) -> None:
        self.acknowledged_bytes = 0

    def start(self, transport: asyncio.BaseTransport) -> None:
        """Writing has to wait for the peer from now on."""
        self.acknowledged_bytes = acknowledged_bytes(transport)

    def is_sufficient(self, transport: asyncio.BaseTransport, elapsed_s: float) -> bool:
        """Whether the peer took enough in the `elapsed_s` since the last check. Begins the next interval."""
        before = self.acknowledged_bytes
        self.acknowledged_bytes = acknowledged_bytes(transport)
        return has_min_throughput(self.acknowledged_bytes - before, elapsed_s)
