"""The parts of upkeep in one process, put together from its configuration."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from laurelstep.accord.parts import Accord
from laurelstep.accord.ports import Machine
from laurelstep.engine import Engine
from laurelstep.engine.ports import Clock, Log, MemberSource
from laurelstep.management.calls import Reply
from laurelstep.net.slices import Slices
from laurelstep.settings import Config
from laurelstep.upkeep.calls import reply_about
from laurelstep.upkeep.desk import UpkeepDesk
from laurelstep.upkeep.entries import KIND
from laurelstep.upkeep.keeper import Keeper
from laurelstep.upkeep.options import UpkeepSettings
from laurelstep.upkeep.roll import Roll
from laurelstep.upkeep.source import UpkeepSource


def carried() -> dict[int, Machine]:
    """The record's machine of upkeep for a copy that shares the record and has upkeep off. It may
    come to lead: a snapshot without what the others agreed would make them forget it."""
    return {KIND[0]: Roll()}


class Upkeep:
    """In the order of a start: `machines` into the record, `hold` into the engine, `begin`."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, config: Config, settings: UpkeepSettings, log: Log
    ) -> None:
        self.config = config
        self.settings = settings
        self.log = log
        self.roll = Roll()
        self.machines: Final[dict[int, Machine]] = {KIND[0]: self.roll}
        self.slices = Slices(loop)
        self.opened = asyncio.Event()  # this process may send
        self.source: UpkeepSource | None = None
        self.keeper: Keeper | None = None
        self.desk: UpkeepDesk | None = None

    def hold(self, inner: MemberSource, clock: Clock) -> UpkeepSource:
        """What stands between the source of members and the engine."""
        grace_us = self.config.drain_grace_us
        self.source = UpkeepSource(inner, self.roll, clock, grace_us, self.slices.run, self.log)
        return self.source

    def begin(self, accord: Accord, engine: Engine, may_confirm: Callable[[], bool]) -> None:
        """`may_confirm`: whether no earlier version of this process sends any more."""
        assert self.source is not None
        cold_share, cold_us = self.config.settings.cold_share, self.config.settings.cold_us
        self.source.out_at = engine.out_at
        self.keeper = Keeper(
            accord, self.roll, self.source, engine.clock, self.settings, cold_share, cold_us, self.log,
            self.opened.set,
        )  # fmt: skip
        self.keeper.may_confirm = may_confirm
        self.desk = UpkeepDesk(self.keeper)
        self.keeper.start()

    def reply(self, method: bytes, target: bytes) -> Reply | None:
        """To a call at the second address; None for what is none of upkeep's."""
        return None if self.desk is None else reply_about(method, target, self.desk)

    def close(self) -> None:
        self.slices.close()
        if self.keeper is not None:
            self.keeper.close()
