"""HTTP/1.1 messages as the stand-ins read and write them: small and by hand, so that
they can also be wrong on purpose."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import functools
import os
import random
import socket
import tempfile
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
_given: set[int] = set()


def free_port() -> int:
    """A port that nobody listens at, for a process that must be told one; none twice, and none that another
    process of this user was given here: it may be down just now."""
    for port in random.SystemRandom().sample(PORTS, len(PORTS)):
        if port in _given or not reserve(port):
            continue
        with socket.socket() as found, contextlib.suppress(OSError):
            found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            found.bind(("127.0.0.1", port))
            _given.add(port)
            return port
    raise OSError("no port is free")


def reserve(port: int) -> bool:
    """Whether this process has it now: a lock on one byte of a common file, until the process ends."""
    try:
        fcntl.lockf(_common_file(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    return True


@functools.cache
def _common_file() -> int:
    """Open to the end: to close it would give up all locks."""
    path = os.path.join(tempfile.gettempdir(), f"laurelstep-ports-{os.getuid()}")
    return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
