"""The listener at the second address: one call to a connection, the end behind its answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Final, cast

import httptools

from laurelstep.management.calls import Reply
from laurelstep.net.acceptor import Acceptor, listen
from laurelstep.net.deadline_sweeper import DeadlineSweeper

# All of one call.
CALL_MAX: Final = 16 * 1024
# Callers wait 1 s: one that is not whole after twice that is of no use to anybody.
CALL_S: Final = 2.0
# Calls that are not whole, at most; of more, the oldest is ended.
CALLS_MOST: Final = 12
BACKLOG: Final = 128

# Method and target of a call, to what is answered.
CallHandler = Callable[[bytes, bytes], Reply]


class ManagementConnection(asyncio.Protocol):
    """One connection, which carries one call."""

    def __init__(self, owner: ManagementServer) -> None:
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.parser: Any = httptools.HttpRequestParser(self)
        self.target = b""
        self.size = 0
        self.is_over = False  # answered, or cut

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It counts against the descriptors of this address."""
        self.transport = cast(asyncio.Transport, transport)
        self.owner.on_connect(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """It counts no longer."""
        self.is_over = True
        self.parser = None  # it holds this object's methods: the cycle ends here
        self.owner.on_disconnect(self)

    def data_received(self, data: bytes) -> None:
        """More of the call; it is answered once it is whole."""
        if self.is_over:
            return
        self.size += len(data)
        if self.size > CALL_MAX:
            self.answer(Reply(431, "the call is too large\n"), whole=False)
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.answer(Reply(400, "malformed\n"), whole=False)

    def on_url(self, url: bytes) -> None:
        """A part of the target."""
        self.target += url

    def on_message_complete(self) -> None:
        """The call is whole."""
        if not self.is_over:
            self.answer(self.owner.handler(self.parser.get_method(), self.target))

    def answer(self, reply: Reply, whole: bool = True) -> None:
        """Write the reply and end the connection; `whole`: nothing of the call is left to read."""
        if self.is_over or self.transport is None:
            return
        self.is_over = True
        self.owner.waiting.discard(self)
        self.transport.write(reply.raw())
        if whole:
            self.transport.close()
        else:
            # Closed with bytes unread, it would be reset and the answer lost: the rest is
            # read, and dropped, until the caller has ended its side or is cut.
            self.transport.write_eof()

    def on_timeout(self) -> None:
        """No whole call came in time."""
        self.is_over = True
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Reset it."""
        self.is_over = True
        if self.transport is not None:
            self.transport.abort()


class ManagementServer:
    """Accepts calls at the second address, a few at a time, and answers each by `handler`."""

    def __init__(self, loop: asyncio.AbstractEventLoop, handler: CallHandler) -> None:
        self.loop = loop
        self.handler = handler
        # Guards the descriptors kept for this address: from connecting until gone.
        self.open: DeadlineSweeper[ManagementConnection] = DeadlineSweeper(
            loop, 2 * CALL_S, ManagementConnection.abort
        )
        self.waiting: DeadlineSweeper[ManagementConnection] = DeadlineSweeper(
            loop, CALL_S, ManagementConnection.on_timeout
        )  # for a whole call
        self.listener: Acceptor | None = None

    async def listen(self, host: str, port: int) -> int:
        """The port it listens at."""
        self.listener = await listen(self.loop, lambda: ManagementConnection(self), host, port, BACKLOG)
        return self.listener.port

    def on_connect(self, connection: ManagementConnection) -> None:
        """Take it in; above the bound the oldest without a whole call gives way."""
        self.open.add(connection)
        self.waiting.add(connection)
        if len(self.open.waiting_since) > CALLS_MOST:
            oldest = self.waiting.oldest() or self.open.oldest()
            assert oldest is not None
            self.on_disconnect(oldest)  # its descriptor is freed in this turn of the loop
            oldest.abort()

    def on_disconnect(self, connection: ManagementConnection) -> None:
        """Forget it."""
        self.open.discard(connection)
        self.waiting.discard(connection)

    def close(self) -> None:
        """Close the listener and reset what is open."""
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.open.waiting_since):
            connection.abort()
        self.open.close()
        self.waiting.close()
