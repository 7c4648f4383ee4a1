"""The side of the process that comes: takes over, before it has a loop, from one that serves."""

from __future__ import annotations

import array
import contextlib
import socket
import time
from dataclasses import dataclass
from typing import Any, Final

from laurelstep.handover.messages import (
    HEAD_MAX,
    HELLO,
    READY,
    HandoverError,
    size_in,
    unpack,
)
from laurelstep.handover.place import Place

# All of it: a start is due within 6 s, and the other process may hang.
TAKE_S: Final = 2.0


@dataclass
class Taken:
    """What was handed over. `channel` stays open: its end is that of the other process."""

    channel: socket.socket
    listener: socket.socket
    state: dict[str, Any]

    def say_ready(self) -> None:
        with contextlib.suppress(OSError):  # the other is gone: there is nobody to tell
            self.channel.send(READY)


def take(place: Place, listen: tuple[str, int]) -> Taken:
    """From the process that listens at the place; `HandoverError` if that can't be."""
    until = time.monotonic() + TAKE_S
    try:
        channel = place.connect(TAKE_S)
    except OSError as error:
        raise HandoverError(f"{type(error).__name__}: {error}") from None
    fds: list[int] = []
    try:
        channel.sendall(HELLO)
        size = size_in(_head(channel, fds, until))
        state = unpack(_read(channel, size, until))
        listener = _listener(fds, listen)
    except (OSError, HandoverError) as error:
        channel.close()
        for fd in fds:
            socket.close(fd)
        raise HandoverError(f"{type(error).__name__}: {error}") from None
    return Taken(channel, listener, state)


def _left(channel: socket.socket, until: float) -> None:
    left = until - time.monotonic()
    if left <= 0.0:
        raise HandoverError("it took too long")
    channel.settimeout(left)


def _head(channel: socket.socket, fds: list[int], until: float) -> bytes:
    """The first line, byte by byte: what follows is the state. Descriptors go into `fds`."""
    line = b""
    while not line.endswith(b"\n"):
        _left(channel, until)
        part, ancillary, _, _ = channel.recvmsg(1, socket.CMSG_SPACE(4 * array.array("i").itemsize))
        for level, kind, data in ancillary:
            if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
                found = array.array("i")
                found.frombytes(data[: len(data) - len(data) % found.itemsize])
                fds.extend(found)
        if not part:
            raise HandoverError("the other process ended")
        line += part
        if len(line) > HEAD_MAX:
            raise HandoverError("the head is too long")
    return line


def _read(channel: socket.socket, size: int, until: float) -> bytes:
    data = bytearray()
    while len(data) < size:
        _left(channel, until)
        part = channel.recv(size - len(data))
        if not part:
            raise HandoverError("the other process ended")
        data += part
    return bytes(data)


def _listener(fds: list[int], listen: tuple[str, int]) -> socket.socket:
    """The one descriptor as the callers' listener; `HandoverError` if it is anything else."""
    if len(fds) != 1:
        raise HandoverError(f"{len(fds)} descriptors, expected one")
    one = socket.socket(fileno=fds[0])
    is_listening = one.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    if one.family not in (socket.AF_INET, socket.AF_INET6) or not is_listening:
        one.detach()
        raise HandoverError("the descriptor is no listener")
    if one.getsockname()[:2] != listen:
        address = one.getsockname()[:2]
        one.detach()
        raise HandoverError(f"the listener of another address: {address}")
    one.setblocking(False)
    return one
