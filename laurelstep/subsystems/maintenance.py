"""Maintenance as a subsystem: the copies of a tier agree on which endpoints are out of service."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from laurelstep.net.log import log
from laurelstep.subsystems.base import ProcessContext, Subsystem

if TYPE_CHECKING:
    from laurelstep.consensus.multiplexer import ConsensusMultiplexer
    from laurelstep.engine import Engine
    from laurelstep.maintenance.assembly import MaintenanceAssembly
    from laurelstep.management.calls import Reply
    from laurelstep.net.server import Server


class MaintenanceSubsystem(Subsystem):
    """Depends on consensus: `attach` must be called before `start`."""

    def __init__(self, assembly: MaintenanceAssembly) -> None:
        self.assembly = assembly
        self.multiplexer: ConsensusMultiplexer | None = None
        self.is_only_version: Callable[[], bool] = lambda: True

    @classmethod
    def create(cls, context: ProcessContext) -> MaintenanceSubsystem | None:
        """Create the subsystem; None if maintenance or consensus is off, or the copies have no peers."""
        settings, accord = context.config.maintenance, context.config.accord
        if settings is None or accord is None or not accord.has_peers:
            return None

        from laurelstep.maintenance.assembly import MaintenanceAssembly

        return cls(MaintenanceAssembly(context.loop, context.config, settings, log))

    def attach(self, multiplexer: ConsensusMultiplexer, is_only_version: Callable[[], bool]) -> None:
        """Connect to consensus. `is_only_version`: whether no earlier version still sends to endpoints."""
        self.multiplexer, self.is_only_version = multiplexer, is_only_version

    @property
    def may_send(self) -> asyncio.Event:
        """Set once requests may be sent: the machines out of service are known, or the settings allow it."""
        return self.assembly.may_serve

    async def start(self, engine: Engine, server: Server) -> None:
        """Start applying the replicated state to the endpoint list."""
        from laurelstep.maintenance.entries import SUBSYSTEM_TAG

        assert self.multiplexer is not None
        self.assembly.start(self.multiplexer.channel(SUBSYSTEM_TAG), engine, self.is_only_version)

    async def stop(self) -> None:
        """Stop applying the replicated state."""
        self.assembly.close()

    def reply(self, method: bytes, target: bytes) -> Reply | None:
        """Answer an operator's call that takes machines out of service or queries their status."""
        return self.assembly.reply(method, target)
