"""A minimal HTTP/1.1 reader and writer for the stand-ins, which also writes invalid messages; free ports."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from dataclasses import dataclass

Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter


@dataclass
class Message:
    """A complete request or answer; header names are in lower case."""

    start_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status code of an answer. ValueError for a request."""
        return int(self.start_line.split()[1])


async def read_message(reader: Reader) -> Message:
    """Read the next message, framed by Content-Length or chunked.

    `asyncio.IncompleteReadError` if the connection ends before the message is complete.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:] if line)}
    if headers.get("transfer-encoding") == "chunked":
        return Message(head[0], headers, await _read_chunks(reader))
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(head[0], headers, body)


async def _read_chunks(reader: Reader) -> bytes:
    parts = []
    while size := int(await reader.readuntil(b"\r\n"), 16):
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    return b"".join(parts)


def answer(status: int = 200, body: bytes = b"ok", headers: str = "") -> bytes:
    """Return the bytes of an answer; `headers` are complete lines."""
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
    return head.encode() + body


def limit_receive_buffer(server: asyncio.Server, size: int) -> None:
    """Limit what the kernel may hold unread of each connection that a server accepts, in bytes."""
    for listener in server.sockets:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


# Below the system's ephemeral ports: an outgoing connection could take one of those while the process that
# listens there is down, or connect to itself.
PORT_RANGE = range(20_000, 32_000)
BLOCK_SIZE = 50


class PortAllocator:
    """Allocates ports for processes that must be configured with one; each port only once.

    Two test processes could both find a port free before either's program listens on it. So each allocator
    reserves blocks of ports by binding abstract Unix sockets, whose names are unique on the system and are
    released when the process ends. A program that reserves nothing may still take a port.
    """

    def __init__(self, ports: range = PORT_RANGE, name: str = "laurelstep-ports") -> None:
        self.name = name
        self.block_starts = list(ports[::BLOCK_SIZE])
        random.SystemRandom().shuffle(self.block_starts)
        self.unallocated: list[int] = []
        self.reservations: list[socket.socket] = []

    def allocate(self, kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
        """Return a free port for this kind of socket. OSError if none is left."""
        while True:
            if not self.unallocated:
                self.unallocated = self._reserve_block()
            port = self.unallocated.pop()
            with socket.socket(type=kind) as candidate, contextlib.suppress(OSError):
                if kind == socket.SOCK_STREAM:
                    candidate.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                candidate.bind(("127.0.0.1", port))
                return port

    def _reserve_block(self) -> list[int]:
        while self.block_starts:
            start = self.block_starts.pop()
            reservation = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
            try:
                reservation.bind(f"\0{self.name}-{start}")
            except OSError:
                reservation.close()
                continue
            self.reservations.append(reservation)
            return list(range(start, start + BLOCK_SIZE))
        raise OSError("no port is free in the allocator's range")

    def close(self) -> None:
        """Release all reserved blocks."""
        for reservation in self.reservations:
            reservation.close()


_allocator = PortAllocator()


def free_port() -> int:
    """Return a free TCP port for a process that must be configured with one; each port only once."""
    return _allocator.allocate()


def free_udp_port() -> int:
    """Return a free UDP port; each port only once."""
    return _allocator.allocate(socket.SOCK_DGRAM)
