"""The management address as a subsystem: readiness, metrics, drains, and the calls of other subsystems."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from laurelstep.management.calls import Reply, reply_to
from laurelstep.management.server import ManagementServer
from laurelstep.management.telemetry import render_metrics
from laurelstep.subsystems.base import ProcessContext, Subsystem

if TYPE_CHECKING:
    from laurelstep.engine import Engine
    from laurelstep.lifecycle import Lifecycle
    from laurelstep.net.server import Server


class ManagementSubsystem(Subsystem):
    """Started before clients are accepted, so that a start can be observed."""

    def __init__(
        self,
        context: ProcessContext,
        address: tuple[str, int],
        lifecycle: Lifecycle,
        subsystems: Sequence[Subsystem],
    ) -> None:
        """`subsystems`: those that answer calls, in the order in which they are tried."""
        self.context = context
        self.address = address
        self.lifecycle = lifecycle
        self.subsystems = subsystems
        self.engine: Engine | None = None
        self.server = ManagementServer(context.loop, self._reply_to)

    async def start(self, engine: Engine, server: Server) -> None:
        """Listen at the management address."""
        self.engine = engine
        await self.server.listen(*self.address)

    async def stop(self) -> None:
        """Close the listener and its connections."""
        self.server.close()

    def _reply_to(self, method: bytes, target: bytes) -> Reply:
        now = self.context.loop.time()
        return reply_to(method, target, self.lifecycle, now, self._render_metrics, self._subsystem_reply)

    def _render_metrics(self) -> str:
        assert self.engine is not None
        return render_metrics(self.engine)

    def _subsystem_reply(self, method: bytes, target: bytes) -> Reply | None:
        replies = (subsystem.reply(method, target) for subsystem in self.subsystems)
        return next((reply for reply in replies if reply is not None), None)
