"""The listener at the second address: one call to a connection, the end behind its answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Final, cast

import httptools

from laurelstep.management.calls import Reply
from laurelstep.net.message import Sweep

# All of one call.
CALL_MAX: Final = 16 * 1024
# Callers wait 1 s: one that is not whole after twice that is of no use to anybody.
CALL_S: Final = 2.0
# Calls that are not whole, at most; of more, the oldest is ended.
CALLS_MOST: Final = 12

# Method and target of a call, to what is answered.
Asked = Callable[[bytes, bytes], Reply]


class Visitor(asyncio.Protocol):
    """One connection."""

    def __init__(self, owner: Management) -> None:
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.parser: Any = httptools.HttpRequestParser(self)
        self.target = b""
        self.size = 0
        self.over = False  # answered, or cut

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.owner.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.over = True
        self.parser = None  # it holds this object's methods: the cycle ends here
        self.owner.left(self)

    def data_received(self, data: bytes) -> None:
        if self.over:
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
        self.target += url

    def on_message_complete(self) -> None:
        if not self.over:
            self.answer(self.owner.asked(self.parser.get_method(), self.target))

    def answer(self, reply: Reply, whole: bool = True) -> None:
        if self.over or self.transport is None:
            return
        self.over = True
        self.owner.waiting.discard(self)
        self.transport.write(reply.raw())
        if whole:
            self.transport.close()
        else:
            # Closed with bytes unread, it would be reset and the answer lost: the rest is
            # read, and dropped, until the caller has ended its side or is cut.
            self.transport.write_eof()

    def time_out(self) -> None:
        """It never asked."""
        self.over = True
        if self.transport is not None:
            self.transport.close()

    def cut(self) -> None:
        self.over = True
        if self.transport is not None:
            self.transport.abort()


class Management:
    def __init__(self, loop: asyncio.AbstractEventLoop, asked: Asked) -> None:
        self.loop = loop
        self.asked = asked
        # Guards the descriptors kept for this address: from connecting until gone.
        self.open: Sweep[Visitor] = Sweep(loop, 2 * CALL_S, Visitor.cut)
        self.waiting: Sweep[Visitor] = Sweep(loop, CALL_S, Visitor.time_out)  # for a whole call
        self.listener: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> int:
        """The port it listens at."""
        listener: Any = await self.loop.create_server(lambda: Visitor(self), host, port, backlog=128)
        self.listener = listener
        return int(listener.sockets[0].getsockname()[1])

    def joined(self, visitor: Visitor) -> None:
        self.open.add(visitor)
        self.waiting.add(visitor)
        if len(self.open.since) > CALLS_MOST:
            oldest = self.waiting.oldest() or self.open.oldest()
            assert oldest is not None
            self.left(oldest)  # its descriptor is freed in this turn of the loop
            oldest.cut()

    def left(self, visitor: Visitor) -> None:
        self.open.discard(visitor)
        self.waiting.discard(visitor)

    def close(self) -> None:
        if self.listener is not None:
            self.listener.close()
        for visitor in list(self.open.since):
            visitor.cut()
        self.open.close()
        self.waiting.close()
