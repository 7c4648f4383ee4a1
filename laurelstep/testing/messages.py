"""HTTP/1.1 messages as the stand-ins read and write them: small and by hand, so that
they can also be wrong on purpose."""

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
    """A whole request or answer: its first line, its headers by lower-case name, its body."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Of an answer; ValueError for a request."""
        return int(self.start.split()[1])


async def read_message(reader: Reader) -> Message:
    """The next message; `asyncio.IncompleteReadError` if the connection ends before it does.
    Framing by Content-Length or by chunks."""
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
    """An answer's bytes; `headers` are whole lines."""
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
    return head.encode() + body


# Below what systems give to outgoing connections: one of those would take a port while the
# process that listens there is down, or be connected to itself.
PORTS = range(20_000, 32_000)
BLOCK = 50


class Ports:
    """Ports for processes that must be told one; none twice.

    Guards against a second test process that finds a port free before the first one's process
    listens there: each takes whole blocks, under names that only one socket of the system can have
    and that end with it. A program that claims nothing may still come in between.
    """

    def __init__(self, ports: range = PORTS, name: str = "laurelstep-ports") -> None:
        self.name = name
        self.starts = list(ports[::BLOCK])
        random.SystemRandom().shuffle(self.starts)
        self.left: list[int] = []
        self.claims: list[socket.socket] = []

    def take(self, kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
        while True:
            if not self.left:
                self.left = self._claim()
            port = self.left.pop()
            with socket.socket(type=kind) as found, contextlib.suppress(OSError):
                if kind == socket.SOCK_STREAM:
                    found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                found.bind(("127.0.0.1", port))
                return port

    def _claim(self) -> list[int]:
        while self.starts:
            start = self.starts.pop()
            claim = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
            try:
                claim.bind(f"\0{self.name}-{start}")
            except OSError:
                claim.close()
                continue
            self.claims.append(claim)
            return list(range(start, start + BLOCK))
        raise OSError("no port is free")

    def close(self) -> None:
        for claim in self.claims:
            claim.close()


_ports = Ports()


def free_port() -> int:
    """A port that nobody listens at, for a process that must be told one; none twice."""
    return _ports.take()


def free_udp_port() -> int:
    """The same for datagrams."""
    return _ports.take(socket.SOCK_DGRAM)
