"""The side of the process that serves and will leave: it waits for one that comes."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any, Final, Protocol, cast

from laurelstep.engine.ports import Log
from laurelstep.handover.messages import HEAD_MAX, READY, head, is_hello, pack
from laurelstep.handover.place import Place, check_user
from laurelstep.handover.stages import Handover, Stage

# From connecting until it has said what it speaks, and until it takes callers: a start on a
# starved core is due within 6 s.
HELLO_S: Final = 2.0
READY_S: Final = 20.0

# Makes the state, values in JSON, and hands it to its argument, now or later.
Collect = Callable[[Callable[[dict[str, bytes]], None]], None]


class Listener(Protocol):
    def fileno(self) -> int: ...


class Successor(asyncio.Protocol):
    """The connection of one that came."""

    def __init__(self, owner: Giver, raw: socket.socket) -> None:
        self.owner = owner
        self.raw = raw  # sends the descriptor; the transport's are not for that
        self.heard = bytearray()
        self.asked = False
        self.over = False
        self.transport: asyncio.Transport | None = None
        self.timer = owner.loop.call_later(HELLO_S, self.cut)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.over:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        self.heard += data
        while (end := self.heard.find(b"\n")) >= 0:
            line = bytes(self.heard[: end + 1])
            del self.heard[: end + 1]
            if not self._hear(line):
                self.cut()
                return
        if len(self.heard) > HEAD_MAX:
            self.cut()

    def _hear(self, line: bytes) -> bool:
        """False if it is none that may be said now."""
        if not self.asked and is_hello(line):
            self.asked = self.owner.tell("ask")
            if self.asked:
                self.timer.cancel()
                self.timer = self.owner.loop.call_later(READY_S, self.cut)
                self.owner.collect(self._offer)
            return self.asked
        if self.asked and line == READY and self.owner.tell("ready"):
            self.timer.cancel()
            return True
        return False

    def _offer(self, state: dict[str, bytes]) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        raw = pack(state)
        try:
            socket.send_fds(self.raw, [head(len(raw))], [self.owner.listener.fileno()])
        except OSError as error:
            self.owner.log(f"no handover: {error}")
            self.cut()
        else:
            self.transport.write(raw)

    def cut(self) -> None:
        self.over = True
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.timer.cancel()
        self.raw.close()
        self.owner.gone(self)
        if self.asked:
            self.owner.tell("lost")


class Giver:
    """Listens at the place until `close`. `on_change` hears of each change of the stage."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        place: Place,
        listener: Listener,
        collect: Collect,
        on_change: Callable[[], None],
        log: Log,
    ) -> None:
        """`listener` is the callers', and stays its owner's. OSError if there can be no place."""
        self.loop = loop
        self.place = place
        self.listener = listener
        self.collect = collect
        self.on_change = on_change
        self.log = log
        self.handover = Handover()
        self.successors: set[Successor] = set()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.door: socket.socket | None = place.listen()
        loop.add_reader(self.door.fileno(), self._come)

    def _come(self) -> None:
        assert self.door is not None
        try:
            one, _ = self.door.accept()
        except OSError:
            return
        try:
            check_user(one)
            successor = Successor(self, one.dup())
        except OSError as error:
            self.log(f"no handover: {error}")
            one.close()
            return
        self.successors.add(successor)
        one.setblocking(False)
        task = self.loop.create_task(self._connect(successor, one))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _connect(self, successor: Successor, one: socket.socket) -> None:
        await self.loop.create_unix_connection(lambda: successor, sock=one)

    @property
    def is_alone(self) -> bool:
        return self.handover.stage == Stage.ALONE

    def tell(self, event: str) -> bool:
        changed = self.handover.tell(event)
        if changed:
            self.on_change()
        return changed

    def gone(self, successor: Successor) -> None:
        self.successors.discard(successor)

    def close(self) -> None:
        """The end of this process is told by the end of its connections."""
        if self.door is not None:
            self.loop.remove_reader(self.door.fileno())
            self.door.close()
            self.door = None
            self.place.leave()
        for successor in list(self.successors):
            successor.cut()
