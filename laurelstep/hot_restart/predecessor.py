"""The predecessor's side of a hot restart: a serving process that waits for a successor."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any, Final, Protocol, cast

from laurelstep.engine.ports import Log
from laurelstep.hot_restart.messages import MAX_HEADER_BYTES, READY, encode_header, encode_state, is_hello
from laurelstep.hot_restart.rendezvous import RendezvousPoint, require_same_user
from laurelstep.hot_restart.stages import HotRestartEvent, HotRestartProgress
from laurelstep.net.acceptor import SHORTAGE_ERRNOS, SHORTAGE_PAUSE_S

# Limits from connecting to the successor's first line, and from there until it accepts clients: a start on a
# starved core must be done within 6 s.
HELLO_TIMEOUT_S: Final = 2.0
READY_TIMEOUT_S: Final = 20.0

# Collects the state, its values in JSON, and passes it to the given callback, now or later.
CollectState = Callable[[Callable[[dict[str, bytes]], None]], None]


class DescriptorOwner(Protocol):
    """A listening socket whose descriptor is sent to the successor."""

    def fileno(self) -> int:
        """Return its descriptor."""


class SuccessorConnection(asyncio.Protocol):
    """The connection of one successor, or of a process that claims to be one."""

    def __init__(self, server: HotRestartServer, connection: socket.socket) -> None:
        self.server = server
        self.connection = connection  # for sending the descriptor, which the transport can't
        self.buffer = bytearray()
        self.is_offered = False
        self.is_rejected = False
        self.transport: asyncio.Transport | None = None
        self.timer = server.loop.call_later(HELLO_TIMEOUT_S, self.reject)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        self.transport = cast(asyncio.Transport, transport)
        if self.is_rejected:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Handle the lines that are complete; end the connection at one that is not allowed."""
        self.buffer += data
        while (end := self.buffer.find(b"\n")) >= 0:
            line = bytes(self.buffer[: end + 1])
            del self.buffer[: end + 1]
            if not self._handle_line(line):
                self.reject()
                return
        if len(self.buffer) > MAX_HEADER_BYTES:
            self.reject()

    def _handle_line(self, line: bytes) -> bool:
        """Return False if the line is not allowed at this stage."""
        if not self.is_offered and is_hello(line):
            self.is_offered = self.server.handle(HotRestartEvent.HELLO)
            if self.is_offered:
                self.timer.cancel()
                self.timer = self.server.loop.call_later(READY_TIMEOUT_S, self.reject)
                self.server.collect_state(self._send_offer)
            return self.is_offered
        if self.is_offered and line == READY and self.server.handle(HotRestartEvent.READY):
            self.timer.cancel()
            return True
        return False

    def _send_offer(self, state: dict[str, bytes]) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        raw = encode_state(state)
        header = encode_header(len(raw))
        try:
            sent = socket.send_fds(self.connection, [header], [self.server.listener.fileno()])
        except OSError as error:
            self.server.log(f"no hot restart: {error}")
            self.reject()
        else:
            self.transport.write(header[sent:] + raw)

    def reject(self) -> None:
        """End the connection."""
        self.is_rejected = True
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """The successor has exited, or was rejected."""
        self.timer.cancel()
        self.connection.close()
        self.server.connections.discard(self)
        if self.is_offered:
            self.server.handle(HotRestartEvent.DISCONNECTED)


class HotRestartServer:
    """Waits for a successor at the rendezvous until `close`. `on_stage_changed` is called after each
    change of the stage.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        rendezvous: RendezvousPoint,
        listener: DescriptorOwner,
        collect_state: CollectState,
        on_stage_changed: Callable[[], None],
        log: Log,
    ) -> None:
        """`listener` is the clients', and is not closed here. OSError if the rendezvous can't be used."""
        self.loop = loop
        self.rendezvous = rendezvous
        self.listener = listener
        self.collect_state = collect_state
        self.on_stage_changed = on_stage_changed
        self.log = log
        self.progress = HotRestartProgress()
        self.connections: set[SuccessorConnection] = set()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.accept_pause: asyncio.TimerHandle | None = None  # while descriptors or memory are short
        self.rendezvous_socket: socket.socket | None = rendezvous.listen()
        loop.add_reader(self.rendezvous_socket.fileno(), self._accept)

    def _accept(self) -> None:
        assert self.rendezvous_socket is not None
        try:
            accepted, _ = self.rendezvous_socket.accept()
        except OSError as error:
            if error.errno in SHORTAGE_ERRNOS:
                self._pause_accepting(self.rendezvous_socket)
            return
        try:
            require_same_user(accepted)
            connection = SuccessorConnection(self, accepted.dup())
        except OSError as error:
            self.log(f"no hot restart: {error}")
            accepted.close()
            return
        self.connections.add(connection)
        accepted.setblocking(False)
        task = self.loop.create_task(self._connect(connection, accepted))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _pause_accepting(self, rendezvous_socket: socket.socket) -> None:
        """Guards the event loop against spinning while a connection can't be accepted."""
        self.loop.remove_reader(rendezvous_socket.fileno())
        self.accept_pause = self.loop.call_later(SHORTAGE_PAUSE_S, self._resume_accepting, rendezvous_socket)

    def _resume_accepting(self, rendezvous_socket: socket.socket) -> None:
        self.accept_pause = None
        self.loop.add_reader(rendezvous_socket.fileno(), self._accept)

    async def _connect(self, connection: SuccessorConnection, accepted: socket.socket) -> None:
        await self.loop.create_unix_connection(lambda: connection, sock=accepted)

    def handle(self, event: HotRestartEvent) -> bool:
        """Handle an event at a connection; return whether it changed the stage."""
        has_changed = self.progress.handle(event)
        if has_changed:
            self.on_stage_changed()
        return has_changed

    def close(self) -> None:
        """Stop accepting, and end all connections, which tells a successor that this process exits."""
        if self.accept_pause is not None:
            self.accept_pause.cancel()
            self.accept_pause = None
        if self.rendezvous_socket is not None:
            self.loop.remove_reader(self.rendezvous_socket.fileno())
            self.rendezvous_socket.close()
            self.rendezvous_socket = None
            self.rendezvous.leave()
        for connection in list(self.connections):
            connection.reject()
