"""What the kernel has received and nobody has read yet, and what may be hidden behind it.

The end of a connection stands behind its data, and so does the last byte of a message. While the receive
buffer is full, the peer's kernel holds the rest of the data, and the end with it.
"""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios
from typing import Final

C_INT: Final = struct.Struct("=i")
# Linux's SO_MEMINFO, which the socket module does not name, and the first two fields of its result: the
# memory that received data takes, and the size of the receive buffer.
SO_MEMINFO: Final = 55
RECEIVE_MEMORY: Final = struct.Struct("=2I")
# What a peer's kernel may hold of a connection at most: the usual third value of Linux's `tcp_wmem`.
MAX_SEND_BUFFER_BYTES: Final = 4 << 20


def unread_bytes(transport: asyncio.BaseTransport) -> int:
    """How many bytes have arrived that are not read yet; 0 if that is not known."""
    descriptor = transport.get_extra_info("socket").fileno()
    try:
        return int(C_INT.unpack(fcntl.ioctl(descriptor, termios.FIONREAD, bytes(C_INT.size)))[0])
    except OSError:
        return 0


def has_open_window(transport: asyncio.BaseTransport) -> bool:
    """Whether the peer's kernel may send all that it holds, as half of the receive buffer is free; False if
    that is not known.
    """
    try:
        memory = transport.get_extra_info("socket").getsockopt(
            socket.SOL_SOCKET, SO_MEMINFO, RECEIVE_MEMORY.size
        )
    except OSError:
        return False
    if len(memory) != RECEIVE_MEMORY.size:
        return False
    used, size = RECEIVE_MEMORY.unpack(memory)
    return int(used) <= int(size) // 2


def may_hide_close(transport: asyncio.BaseTransport, awaited_bytes: int) -> bool:
    """Whether the peer may have closed the connection although its end has not arrived. `awaited_bytes`: what
    is not read yet of its last message; -1 if that is not known.
    """
    if has_open_window(transport):
        return False
    return awaited_bytes < 0 or unread_bytes(transport) < awaited_bytes


def exceeds_buffers(transport: asyncio.BaseTransport, awaited_bytes: int) -> bool:
    """Whether more is missing of a message than the kernels of both sides can hold, so that its peer has not
    written the last byte. `awaited_bytes`: what is not read yet of the message; -1 if that is not known.
    """
    return awaited_bytes - unread_bytes(transport) > MAX_SEND_BUFFER_BYTES
