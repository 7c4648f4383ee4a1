"""The parts of what copies share of kept writes, in one process, put together from its configuration."""

from __future__ import annotations

import asyncio
from typing import Any, Final

from laurelstep.accord.parts import Part
from laurelstep.accord.ports import Machine
from laurelstep.engine.clock import LoopClock
from laurelstep.engine.ports import Log, Recorder
from laurelstep.interface import SAFE, UNSAFE
from laurelstep.outbox.dots import Line
from laurelstep.outbox.driver import OutboxDriver
from laurelstep.outbox.errors import UnknownWriteError
from laurelstep.outbox.shared.carried import Carried
from laurelstep.outbox.shared.gate import Gate
from laurelstep.outbox.shared.own import OwnFrontier
from laurelstep.outbox.shared.seal import Seal
from laurelstep.settings import Config

__all__ = ["Shared"]


class Shared:
    """In the order of a start: `frontier` into the outbox, `carried` into the record, `join` for the engine's
    recorder, `begin`."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config, log: Log) -> None:
        self.config = config
        self.log = log
        self.clock = LoopClock(loop)
        self.carried: Final = Carried()
        self.frontier = OwnFrontier(self.carried.record, self.clock, log)
        self.gate: Gate | None = None
        self.driver: OutboxDriver | None = None

    @property
    def machines(self) -> dict[int, Machine]:
        return self.carried.machines

    def join(self, part: Part, driver: OutboxDriver, inner: Recorder | None) -> Gate:
        """`inner`: that of `[orders]`; what it records no edge may keep."""
        assert self.config.outbox is not None
        with open(self.config.outbox.secret_file, "rb") as file:  # the driver could read it, as it is open
            secret = file.read(4096).strip()
        sharer = self.carried.join(part, self.clock)
        sharer.on_change = self.frontier.heard
        recorded = {} if self.config.orders is None else self.config.orders.classes
        rules = self.config.settings.classes
        classes = {
            cls: rules[cls].effect == UNSAFE
            for name, cls in self.config.names.classes.items()
            if rules[cls].effect != SAFE and name not in recorded
        }
        self.driver = driver
        self.gate = Gate(self.carried.record, sharer, Seal(secret), classes, self.clock, self.log, inner)
        return self.gate

    def begin(self) -> None:
        """The outbox has begun with the engine."""
        driver, sharer = self.driver, self.carried.sharer
        assert driver is not None and sharer is not None
        line = Line(driver.settings.edge, driver.store.incarnation)
        self.frontier.begin(sharer, line, driver.outbox.lines(), self._changed)

    def _changed(self) -> None:
        assert self.driver is not None
        self.driver.outbox.heard(self.clock.now())
        self.driver._wake()

    # --- An operator's words ----------------------------------------------------------------

    def lose(self, edge: str, incarnation: int) -> bool:
        assert self.gate is not None
        return self.gate.lose(edge, incarnation)

    def claim(self, line: Line) -> bool:
        try:
            return self.frontier.force(line)
        except KeyError:
            told = f"{line.edge}/{line.incarnation:016x}"
            raise UnknownWriteError(f"no line {told} of a former life of this disk") from None

    def status(self) -> dict[str, Any]:
        return {} if self.gate is None else self.gate.status()

    async def close(self) -> None:
        self.frontier.close()
        if self.gate is not None:
            await self.gate.close()
        self.carried.close()
