"""The clients' side: the listener, and a connection for each that it accepts."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from laurelstep.net.acceptor import Acceptor, listen
from laurelstep.net.client_connection import ClientConnection
from laurelstep.net.server_state import ServerState
from laurelstep.net.shutdown import BACKLOG


class Server(ServerState[ClientConnection]):
    """The listener and its connections."""

    async def listen(
        self, host: str, port: int, reuse_port: bool = False, inherited_listener: socket.socket | None = None
    ) -> int:
        """The port it listens at; `reuse_port` with other processes that say so too, or at a
        listener that another process handed over.
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
        """Graceful shutdown: `on_end` is called when all that was taken is answered and all have gone."""
        self.shutdown.stop(on_end)
