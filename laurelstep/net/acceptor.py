"""Accepts connections at listening sockets, also while the system can give no descriptor for them.

The loop's own server is not used: with a descriptor that it keeps in reserve, libuv accepts and closes
whatever waits when `accept` fails with EMFILE or ENFILE. Each of those clients would have lost the
request that it had sent already. Here a connection that can't be accepted waits in the backlog.

It stays plain Python where the rest is compiled: see `net.connect`.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from typing import Any, Final

# What the process, or the machine, has too few of: asked again after a pause, as the listener
# stays readable meanwhile and the loop would turn for nothing.
SHORTAGE_ERRNOS: Final = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
SHORTAGE_PAUSE_S: Final = 0.02

ProtocolFactory = Callable[[], Any]


class Acceptor:
    """Listens until `close`; each connection gets a protocol of its own from `factory`."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, sockets: list[socket.socket], factory: ProtocolFactory
    ) -> None:
        """`sockets` listen and do not block; they are this object's from now on."""
        self.loop = loop
        self.sockets = sockets
        self.factory = factory
        self.connecting: set[asyncio.Task[None]] = set()  # accepted, and their protocols not told yet
        self.resuming: dict[socket.socket, asyncio.TimerHandle] = {}
        for one in sockets:
            loop.add_reader(one.fileno(), self._accept, one)

    @property
    def port(self) -> int:
        """Of the first socket."""
        return int(self.sockets[0].getsockname()[1])

    @property
    def is_short(self) -> bool:
        """Whether a pause runs because nothing more can be accepted just now."""
        return bool(self.resuming)

    def _accept(self, listener: socket.socket) -> None:
        """One connection in a turn of the loop: what else is ready has its turn between them."""
        try:
            accepted, _ = listener.accept()
        except OSError as error:
            # Of others the connection itself has gone (accept(2)), or nothing waits.
            if error.errno in SHORTAGE_ERRNOS:
                self._pause(listener)
            return
        accepted.setblocking(False)
        task = self.loop.create_task(self._connect(accepted))
        self.connecting.add(task)
        task.add_done_callback(self.connecting.discard)

    async def _connect(self, accepted: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(self.factory, accepted)
        except OSError:
            accepted.close()

    def _pause(self, listener: socket.socket) -> None:
        self.loop.remove_reader(listener.fileno())
        self.resuming[listener] = self.loop.call_later(SHORTAGE_PAUSE_S, self._resume, listener)

    def _resume(self, listener: socket.socket) -> None:
        del self.resuming[listener]
        self.loop.add_reader(listener.fileno(), self._accept, listener)

    def close(self) -> None:
        """Accept nothing more; what was accepted still comes up. May be called again."""
        for handle in self.resuming.values():
            handle.cancel()
        self.resuming.clear()
        listeners, self.sockets = self.sockets, []
        for one in listeners:
            self.loop.remove_reader(one.fileno())
            one.close()


async def listen(
    loop: asyncio.AbstractEventLoop,
    factory: ProtocolFactory,
    host: str,
    port: int,
    backlog: int,
    reuse_port: bool = False,
) -> Acceptor:
    """Listen at all addresses of the host. OSError if one can't be had."""
    flags = socket.AI_PASSIVE
    found = await loop.getaddrinfo(host or None, port, type=socket.SOCK_STREAM, flags=flags)
    sockets: list[socket.socket] = []
    try:
        for family, kind, protocol, _, address in dict.fromkeys(found):
            one = socket.socket(family, kind, protocol)
            sockets.append(one)
            _bind(one, address, reuse_port)
            one.listen(backlog)
            one.setblocking(False)
    except OSError:
        for one in sockets:
            one.close()
        raise
    return Acceptor(loop, sockets, factory)


def _bind(one: socket.socket, address: Any, reuse_port: bool) -> None:
    one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if reuse_port:
        one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    if one.family == socket.AF_INET6:
        one.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
    try:
        one.bind(address)
    except OSError as error:
        reason = (error.strerror or str(error)).lower()
        text = f"error while attempting to bind on address {address!r}: {reason}"
        raise OSError(error.errno, text) from None
