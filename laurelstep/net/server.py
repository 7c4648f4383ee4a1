"""The HTTP server for clients: its listener, and a `ClientConnection` for each accepted connection."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from laurelstep.net.acceptor import Acceptor, listen
from laurelstep.net.client_connection import ClientConnection
from laurelstep.net.server_state import ServerState
from laurelstep.net.shutdown import BACKLOG


class Server(ServerState[ClientConnection]):
    """Listens for clients and holds their connections."""

    async def listen(
        self, host: str, port: int, reuse_port: bool = False, inherited_listener: socket.socket | None = None
    ) -> int:
        """Listen at an address, or on a listener inherited from another process; returns the port.

        With `reuse_port`, other processes that set it may listen at the same address. OSError if the address
        cannot be bound.
        """
        if inherited_listener is not None:
            inherited_listener.setblocking(False)
            listener = Acceptor(self.loop, [inherited_listener], self._new_connection)
        else:
            listener = await listen(
                self.loop, self._new_connection, host, port, BACKLOG, reuse_port=reuse_port
            )
        self.listener = listener
        self.lifecycle.serve(self.loop.time())
        return listener.port

    def _new_connection(self) -> Any:
        return ClientConnection(self)

    def stop(self, on_end: Callable[[], None]) -> None:
        """Begin a graceful shutdown. `on_end` is called when all requests are answered and no client is
        connected.
        """
        self.shutdown.stop(on_end)
