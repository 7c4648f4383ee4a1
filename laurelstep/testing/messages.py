"""HTTP/1.1 messages as the stand-ins read and write them, small enough to be wrong on purpose."""

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
    """A complete request or answer: its first line, its headers by lower-case name, its body."""

    start_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of an answer. ValueError for a request."""
        return int(self.start_line.split()[1])


async def read_message(reader: Reader) -> Message:
    """Read the next message, framed by Content-Length or by chunks.

    `asyncio.IncompleteReadError` if the connection ends before the message does.
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
    """An answer's bytes; `headers` are complete lines."""
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
    return head.encode() + body


# Below the ports that systems give to outgoing connections: one of those could take a port while
# the process that listens there is down, or be connected to itself.
PORT_RANGE = range(20_000, 32_000)
BLOCK_SIZE = 50


class PortAllocator:
    """Allocates ports for processes that must be configured with one; none twice.

    Guards against a second test process that finds a port free before the first one's process
    listens there: each reserves blocks, under socket names that are unique on the system and end with
    their process. A program that reserves nothing may still take a port in between.
    """

    def __init__(self, ports: range = PORT_RANGE, name: str = "laurelstep-ports") -> None:
        self.name = name
        self.block_starts = list(ports[::BLOCK_SIZE])
        random.SystemRandom().shuffle(self.block_starts)
        self.unallocated: list[int] = []
        self.reservations: list[socket.socket] = []

    def allocate(self, kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
        """A free port for this kind of socket. OSError if none is left."""
        while True:
            if not self.unallocated:
                self.unallocated = self._reserve_block()
            port = self.unallocated.pop()
            with socket.socket(type=kind) as found, contextlib.suppress(OSError):
                if kind == socket.SOCK_STREAM:
                    found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                found.bind(("127.0.0.1", port))
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
        raise OSError("no port is free")

    def close(self) -> None:
        """Give up all reserved blocks."""
        for reservation in self.reservations:
            reservation.close()


_allocator = PortAllocator()


def free_port() -> int:
    """A TCP port that nobody listens at, for a process that must be configured with one; none twice."""
    return _allocator.allocate()


def free_udp_port() -> int:
    """A UDP port that nobody listens at; none twice."""
    return _allocator.allocate(socket.SOCK_DGRAM)
