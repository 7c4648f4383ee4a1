"""Machines under maintenance, as a subsystem: endpoints that the copies of a tier keep out of the list."""

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
    """Rests on consensus: `join` comes before `start`."""

    def __init__(self, assembly: MaintenanceAssembly) -> None:
        self.assembly = assembly
        self.multiplexer: ConsensusMultiplexer | None = None
        self.is_only_version: Callable[[], bool] = lambda: True

    @classmethod
    def create(cls, context: ProcessContext) -> MaintenanceSubsystem | None:
        """None where it is off, or has no consensus to rest on."""
        settings, accord = context.config.maintenance, context.config.accord
        if settings is None or accord is None or not accord.has_peers:
            return None

        from laurelstep.maintenance.assembly import MaintenanceAssembly

        return cls(MaintenanceAssembly(context.loop, context.config, settings, log))

    def join(self, multiplexer: ConsensusMultiplexer, is_only_version: Callable[[], bool]) -> None:
        """`is_only_version`: whether no earlier version of this process sends to endpoints any more."""
        self.multiplexer, self.is_only_version = multiplexer, is_only_version

    @property
    def may_send(self) -> asyncio.Event:
        """Set once it is known what is out of service."""
        return self.assembly.may_serve

    async def start(self, engine: Engine, server: Server) -> None:
        """Follow what the copies agree on."""
        from laurelstep.maintenance.entries import SUBSYSTEM_TAG

        assert self.multiplexer is not None
        self.assembly.start(self.multiplexer.channel(SUBSYSTEM_TAG), engine, self.is_only_version)

    async def stop(self) -> None:
        """Follow it no longer."""
        self.assembly.close()

    def reply(self, method: bytes, target: bytes) -> Reply | None:
        """To an operator who takes machines out of service, or asks."""
        return self.assembly.reply(method, target)
