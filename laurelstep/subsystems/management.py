"""The second address as a subsystem: readiness, figures, a drain by call, and the subsystems' own calls."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from laurelstep.management.calls import Reply, reply_to
from laurelstep.management.server import ManagementServer
from laurelstep.management.telemetry import figures
from laurelstep.subsystems.base import ProcessContext, Subsystem

if TYPE_CHECKING:
    from laurelstep.engine import Engine
    from laurelstep.lifecycle import Lifecycle
    from laurelstep.net.server import Server


class ManagementSubsystem(Subsystem):
    """Answers before clients are taken: a start can be watched."""

    def __init__(
        self,
        context: ProcessContext,
        address: tuple[str, int],
        lifecycle: Lifecycle,
        others: Sequence[Subsystem],
    ) -> None:
        """`others`: the subsystems that have calls of their own, the first one asked first."""
        self.context = context
        self.address = address
        self.lifecycle = lifecycle
        self.others = others
        self.engine: Engine | None = None
        self.listener = ManagementServer(context.loop, self._reply_to)

    async def start(self, engine: Engine, server: Server) -> None:
        """Listen at the second address."""
        self.engine = engine
        await self.listener.listen(*self.address)

    async def stop(self) -> None:
        """Close the address and what is open there."""
        self.listener.close()

    def _reply_to(self, method: bytes, target: bytes) -> Reply:
        now = self.context.loop.time()
        return reply_to(method, target, self.lifecycle, now, self._figures, self._reply_of_others)

    def _figures(self) -> str:
        assert self.engine is not None
        return figures(self.engine)

    def _reply_of_others(self, method: bytes, target: bytes) -> Reply | None:
        replies = (one.reply(method, target) for one in self.others)
        return next((reply for reply in replies if reply is not None), None)
