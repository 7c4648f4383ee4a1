"""Machines under maintenance, as a subsystem: endpoints that the copies of a tier keep out of the list."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from laurelstep.net.message import log
from laurelstep.subsystems.base import ProcessContext, Subsystem

if TYPE_CHECKING:
    from laurelstep.accord.parts import Parts
    from laurelstep.engine import Engine
    from laurelstep.management.calls import Reply
    from laurelstep.net.server import Server
    from laurelstep.upkeep.assembly import Upkeep


class MaintenanceSubsystem(Subsystem):
    """Rests on consensus: `join` comes before `start`."""

    def __init__(self, upkeep: Upkeep) -> None:
        self.upkeep = upkeep
        self.parts: Parts | None = None
        self.is_only_version: Callable[[], bool] = lambda: True

    @classmethod
    def create(cls, context: ProcessContext) -> MaintenanceSubsystem | None:
        """None where it is off, or has no consensus to rest on."""
        settings, accord = context.config.upkeep, context.config.accord
        if settings is None or accord is None or not accord.is_linked:
            return None
        from laurelstep.upkeep.assembly import Upkeep

        return cls(Upkeep(context.loop, context.config, settings, log))

    def join(self, parts: Parts, is_only_version: Callable[[], bool]) -> None:
        """`is_only_version`: whether no earlier version of this process sends to endpoints any more."""
        self.parts, self.is_only_version = parts, is_only_version

    @property
    def may_send(self) -> asyncio.Event:
        """Set once it is known what is out of service."""
        return self.upkeep.opened

    async def start(self, engine: Engine, server: Server) -> None:
        """Follow what the copies agree on."""
        from laurelstep.upkeep.entries import KIND

        assert self.parts is not None
        self.upkeep.begin(self.parts.part(KIND), engine, self.is_only_version)

    async def stop(self) -> None:
        """Follow it no longer."""
        self.upkeep.close()

    def reply(self, method: bytes, target: bytes) -> Reply | None:
        """To an operator who takes machines out of service, or asks."""
        return self.upkeep.reply(method, target)
