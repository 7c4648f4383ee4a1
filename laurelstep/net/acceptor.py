"""Accepts connections on listening sockets, and tolerates a shortage of file descriptors.

The event loop's own server is not used: when `accept` fails with EMFILE or ENFILE, libuv uses a reserved
descriptor to accept and close every waiting connection, and each of those clients loses the request that
it has already sent. Here, a connection that cannot be accepted stays in the listen backlog.

This module is not compiled with mypyc: see `net.connect`.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from typing import Any, Final

# Errors of `accept` that mean the process or the machine lacks a resource. The listener stays readable
# meanwhile, so accepting is retried after a pause instead of in a busy loop.
SHORTAGE_ERRNOS: Final = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
SHORTAGE_PAUSE_S: Final = 0.02

ProtocolFactory = Callable[[], Any]


class Acceptor:
    """Accepts connections until `close` and gives each a new protocol object from `protocol_factory`."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, sockets: list[socket.socket], protocol_factory: ProtocolFactory
    ) -> None:
        """`sockets` are listening and non-blocking; this object closes them."""
        self.loop = loop
        self.sockets = sockets
        self.protocol_factory = protocol_factory
        self.setup_tasks: set[asyncio.Task[None]] = set()  # accepted; `connection_made` not called yet
        self.resume_timers: dict[socket.socket, asyncio.TimerHandle] = {}
        for listener in sockets:
            loop.add_reader(listener.fileno(), self._accept, listener)

    @property
    def port(self) -> int:
        """The local port of the first socket."""
        return int(self.sockets[0].getsockname()[1])

    @property
    def is_short(self) -> bool:
        """Whether accepting is paused on some socket for lack of a resource."""
        return bool(self.resume_timers)

    def _accept(self, listener: socket.socket) -> None:
        """Accept one connection per event loop iteration, so that other ready callbacks run in between."""
        try:
            accepted, _ = listener.accept()
        except OSError as error:
            # After any other error the connection itself has failed (accept(2)), or none is waiting.
            if error.errno in SHORTAGE_ERRNOS:
                self._pause(listener)
            return
        accepted.setblocking(False)
        task = self.loop.create_task(self._connect(accepted))
        self.setup_tasks.add(task)
        task.add_done_callback(self.setup_tasks.discard)

    async def _connect(self, accepted: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(self.protocol_factory, accepted)
        except OSError:
            accepted.close()

    def _pause(self, listener: socket.socket) -> None:
        self.loop.remove_reader(listener.fileno())
        self.resume_timers[listener] = self.loop.call_later(SHORTAGE_PAUSE_S, self._resume, listener)

    def _resume(self, listener: socket.socket) -> None:
        del self.resume_timers[listener]
        self.loop.add_reader(listener.fileno(), self._accept, listener)

    def close(self) -> None:
        """Stop accepting. Connections already accepted are still set up. May be called again."""
        for handle in self.resume_timers.values():
            handle.cancel()
        self.resume_timers.clear()
        listeners, self.sockets = self.sockets, []
        for listener in listeners:
            self.loop.remove_reader(listener.fileno())
            listener.close()


async def listen(
    loop: asyncio.AbstractEventLoop,
    protocol_factory: ProtocolFactory,
    host: str,
    port: int,
    backlog: int,
    reuse_port: bool = False,
) -> Acceptor:
    """Listen on all addresses of the host. OSError if one cannot be bound."""
    flags = socket.AI_PASSIVE
    address_infos = await loop.getaddrinfo(host or None, port, type=socket.SOCK_STREAM, flags=flags)
    sockets: list[socket.socket] = []
    try:
        for family, kind, protocol, _, address in dict.fromkeys(address_infos):
            listener = socket.socket(family, kind, protocol)
            sockets.append(listener)
            _bind(listener, address, reuse_port)
            listener.listen(backlog)
            listener.setblocking(False)
    except OSError:
        for listener in sockets:
            listener.close()
        raise
    return Acceptor(loop, sockets, protocol_factory)


def _bind(listener: socket.socket, address: Any, reuse_port: bool) -> None:
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if reuse_port:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    if listener.family == socket.AF_INET6:
        listener.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
    try:
        listener.bind(address)
    except OSError as error:
        reason = (error.strerror or str(error)).lower()
        text = f"error while attempting to bind on address {address!r}: {reason}"
        raise OSError(error.errno, text) from None
