"""The side of the successor: takes over, before it has an event loop, from a process that serves."""

from __future__ import annotations

import array
import contextlib
import socket
import time
from dataclasses import dataclass
from typing import Any, Final

from laurelstep.hot_restart.messages import (
    HELLO,
    MAX_HEADER_BYTES,
    READY,
    HotRestartError,
    decode_header,
    decode_state,
)
from laurelstep.hot_restart.rendezvous import RendezvousPoint

# For all of it: a start is due within 6 s, and the predecessor may hang.
TAKEOVER_TIMEOUT_S: Final = 2.0
# Room for more descriptors than the one that is expected, so that no other one is lost open.
_MAX_DESCRIPTORS: Final = 4


@dataclass
class PredecessorHandle:
    """What a predecessor handed over. `channel` stays open: its end is that of the predecessor."""

    channel: socket.socket
    listener: socket.socket
    state: dict[str, Any]

    def report_ready(self) -> None:
        """Tell the predecessor that this process accepts clients."""
        with contextlib.suppress(OSError):  # it is gone: there is nobody to tell
            self.channel.sendall(READY)


def take_over(rendezvous: RendezvousPoint, listen: tuple[str, int]) -> PredecessorHandle:
    """Take over from the process that waits at the rendezvous. Raises `HotRestartError` if that can't be."""
    deadline = time.monotonic() + TAKEOVER_TIMEOUT_S
    try:
        channel = rendezvous.connect(TAKEOVER_TIMEOUT_S)
    except OSError as error:
        raise HotRestartError(f"{type(error).__name__}: {error}") from None
    descriptors: list[int] = []
    try:
        channel.sendall(HELLO)
        size = decode_header(_read_header(channel, descriptors, deadline))
        state = decode_state(_read_exactly(channel, size, deadline))
        listener = _adopt_listener(descriptors, listen)
    except (OSError, HotRestartError) as error:
        channel.close()
        for descriptor in descriptors:
            socket.close(descriptor)
        raise HotRestartError(f"{type(error).__name__}: {error}") from None
    return PredecessorHandle(channel, listener, state)


def _set_timeout(channel: socket.socket, deadline: float) -> None:
    remaining_s = deadline - time.monotonic()
    if remaining_s <= 0.0:
        raise HotRestartError("it took too long")
    channel.settimeout(remaining_s)


def _read_header(channel: socket.socket, descriptors: list[int], deadline: float) -> bytes:
    """The first line, byte by byte: what follows is the state. Adds to `descriptors` those that come with
    it.
    """
    line = b""
    while not line.endswith(b"\n"):
        _set_timeout(channel, deadline)
        space = socket.CMSG_SPACE(_MAX_DESCRIPTORS * array.array("i").itemsize)
        part, ancillary, _, _ = channel.recvmsg(1, space)
        for level, kind, data in ancillary:
            if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
                received = array.array("i")
                received.frombytes(data[: len(data) - len(data) % received.itemsize])
                descriptors.extend(received)
        if not part:
            raise HotRestartError("the other process ended")
        line += part
        if len(line) > MAX_HEADER_BYTES:
            raise HotRestartError("the head is too long")
    return line


def _read_exactly(channel: socket.socket, size: int, deadline: float) -> bytes:
    data = bytearray()
    while len(data) < size:
        _set_timeout(channel, deadline)
        part = channel.recv(size - len(data))
        if not part:
            raise HotRestartError("the other process ended")
        data += part
    return bytes(data)


def _adopt_listener(descriptors: list[int], listen: tuple[str, int]) -> socket.socket:
    """The one descriptor as the clients' listener; `HotRestartError` if it is anything else."""
    if len(descriptors) != 1:
        raise HotRestartError(f"{len(descriptors)} descriptors, expected one")
    listener = socket.socket(fileno=descriptors[0])
    is_listening = listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    if listener.family not in (socket.AF_INET, socket.AF_INET6) or not is_listening:
        listener.detach()
        raise HotRestartError("the descriptor is no listener")
    address = listener.getsockname()[:2]
    if address != listen:
        listener.detach()
        raise HotRestartError(f"the listener of another address: {address}")
    listener.setblocking(False)
    return listener
