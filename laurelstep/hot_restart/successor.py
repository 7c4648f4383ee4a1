"""The successor's side of a hot restart: takes over, before its event loop starts, from a serving process."""

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

# For the whole takeover: a start must be done within 6 s, and the predecessor may hang.
TAKEOVER_TIMEOUT_S: Final = 2.0
# More than the one that is expected, so that surplus ones are received and closed.
_MAX_DESCRIPTORS: Final = 4


@dataclass
class PredecessorHandle:
    """What a predecessor passed on. `channel` stays open: its end means that the predecessor has exited."""

    channel: socket.socket
    listener: socket.socket
    state: dict[str, Any]

    def report_ready(self) -> None:
        """Tell the predecessor that this process accepts clients."""
        with contextlib.suppress(OSError):  # the predecessor has exited
            self.channel.sendall(READY)


def take_over(rendezvous: RendezvousPoint, listen: tuple[str, int]) -> PredecessorHandle:
    """Take over from the process that waits at the rendezvous. Raises `HotRestartError` if that fails."""
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
        raise HotRestartError("the takeover took too long")
    channel.settimeout(remaining_s)


def _read_header(channel: socket.socket, descriptors: list[int], deadline: float) -> bytes:
    """Read the first line byte by byte, as the state follows it. Appends the received descriptors to
    `descriptors`.
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
            raise HotRestartError("the predecessor closed the connection")
        line += part
        if len(line) > MAX_HEADER_BYTES:
            raise HotRestartError("the header is too long")
    return line


def _read_exactly(channel: socket.socket, size: int, deadline: float) -> bytes:
    data = bytearray()
    while len(data) < size:
        _set_timeout(channel, deadline)
        part = channel.recv(size - len(data))
        if not part:
            raise HotRestartError("the predecessor closed the connection")
        data += part
    return bytes(data)


def _adopt_listener(descriptors: list[int], listen: tuple[str, int]) -> socket.socket:
    """Return the one descriptor as the clients' listener; `HotRestartError` if it is anything else."""
    if len(descriptors) != 1:
        raise HotRestartError(f"{len(descriptors)} descriptors, expected one")
    listener = socket.socket(fileno=descriptors[0])
    is_listening = listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    if listener.family not in (socket.AF_INET, socket.AF_INET6) or not is_listening:
        listener.detach()
        raise HotRestartError("the descriptor is not a listening socket")
    address = listener.getsockname()[:2]
    if address != listen:
        listener.detach()
        raise HotRestartError(f"the listener has another address: {address}")
    listener.setblocking(False)
    return listener
