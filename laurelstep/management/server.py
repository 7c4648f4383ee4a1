"""The HTTP server at the management address. A connection carries one call and is closed after the reply."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Final, cast

import httptools

from laurelstep.management.calls import Reply
from laurelstep.net.acceptor import Acceptor, listen
from laurelstep.net.deadline_sweeper import DeadlineSweeper

# Limit for one call, its head and body together.
MAX_CALL_BYTES: Final = 16 * 1024
# A call must be complete by then. Callers wait for 1 s, so a later reply would not be read.
CALL_TIMEOUT_S: Final = 2.0
# Above this number of open connections, the oldest is aborted, those without a complete call first.
MAX_CONNECTIONS: Final = 12
BACKLOG: Final = 128

# Returns the reply to a call, from its method and target.
CallHandler = Callable[[bytes, bytes], Reply]


class ManagementConnection(asyncio.Protocol):
    """One connection, which carries one call."""

    def __init__(self, server: ManagementServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser: Any = httptools.HttpRequestParser(self)
        self.target = b""
        self.received_bytes = 0
        self.is_finished = False  # answered, timed out or aborted

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection against the limit of the server."""
        self.transport = cast(asyncio.Transport, transport)
        self.server.on_connect(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the server."""
        self.is_finished = True
        self.parser = None  # breaks the reference cycle: the parser holds methods of this object
        self.server.on_disconnect(self)

    def data_received(self, data: bytes) -> None:
        """Parse more of the call. It is answered once it is complete."""
        if self.is_finished:
            return
        self.received_bytes += len(data)
        if self.received_bytes > MAX_CALL_BYTES:
            self.answer(Reply(431, "the call is too large\n"), is_complete=False)
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.answer(Reply(400, "malformed\n"), is_complete=False)

    def on_url(self, url: bytes) -> None:
        """Append a part of the target. Called by the parser."""
        self.target += url

    def on_message_complete(self) -> None:
        """Answer the complete call. Called by the parser."""
        if not self.is_finished:
            self.answer(self.server.handler(self.parser.get_method(), self.target))

    def answer(self, reply: Reply, is_complete: bool = True) -> None:
        """Write the reply and close the connection. `is_complete`: the whole call has been read."""
        if self.is_finished or self.transport is None:
            return
        self.is_finished = True
        self.server.incomplete.discard(self)
        self.transport.write(reply.encode())
        if is_complete:
            self.transport.close()
        else:
            # Closing with unread bytes would reset the connection and could lose the reply. The rest is read
            # and discarded until the caller closes its side or the time-out expires.
            self.transport.write_eof()

    def on_timeout(self) -> None:
        """Close the connection: no complete call arrived in time."""
        self.is_finished = True
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Reset the connection."""
        self.is_finished = True
        if self.transport is not None:
            self.transport.abort()


class ManagementServer:
    """Accepts a bounded number of connections at the management address; `handler` answers the calls."""

    def __init__(self, loop: asyncio.AbstractEventLoop, handler: CallHandler) -> None:
        self.loop = loop
        self.handler = handler
        # Bounds the time that a connection, even one that does not read its reply, holds a descriptor.
        self.connections: DeadlineSweeper[ManagementConnection] = DeadlineSweeper(
            loop, 2 * CALL_TIMEOUT_S, ManagementConnection.abort
        )
        self.incomplete: DeadlineSweeper[ManagementConnection] = DeadlineSweeper(
            loop, CALL_TIMEOUT_S, ManagementConnection.on_timeout
        )  # connections without a complete call
        self.listener: Acceptor | None = None

    async def listen(self, host: str, port: int) -> int:
        """Listen at the address, and return the port; 0 picks a free one."""
        self.listener = await listen(self.loop, lambda: ManagementConnection(self), host, port, BACKLOG)
        return self.listener.port

    def on_connect(self, connection: ManagementConnection) -> None:
        """Add a connection. Above the limit, abort the oldest, if possible one without a complete call."""
        self.connections.add(connection)
        self.incomplete.add(connection)
        if len(self.connections.waiting_since) > MAX_CONNECTIONS:
            oldest = self.incomplete.oldest() or self.connections.oldest()
            assert oldest is not None
            self.on_disconnect(oldest)  # its descriptor is freed within this iteration of the event loop
            oldest.abort()

    def on_disconnect(self, connection: ManagementConnection) -> None:
        """Remove a connection."""
        self.connections.discard(connection)
        self.incomplete.discard(connection)

    def close(self) -> None:
        """Close the listener and reset all open connections."""
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections.waiting_since):
            connection.abort()
        self.connections.close()
        self.incomplete.close()
