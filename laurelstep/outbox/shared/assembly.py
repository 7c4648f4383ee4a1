"""The parts of what copies share of queued writes, in one process, put together from its configuration."""

from __future__ import annotations

import asyncio
from typing import Any, Final

from laurelstep.balancing.events import SAFE, UNSAFE
from laurelstep.consensus.multiplexer import ConsensusChannel
from laurelstep.consensus.ports import StateMachine
from laurelstep.engine.clock import LoopClock
from laurelstep.engine.ports import Log, Recorder
from laurelstep.outbox.driver import OutboxDriver
from laurelstep.outbox.errors import UnknownWriteError
from laurelstep.outbox.shared.carried_ledger import CarriedLedger
from laurelstep.outbox.shared.message_seal import MessageSeal
from laurelstep.outbox.shared.replay_gate import ReplayGate
from laurelstep.outbox.shared.replicated_version_vector import ReplicatedVersionVector
from laurelstep.outbox.write_ids import EdgeLog
from laurelstep.settings import Config

__all__ = ["SharedOutbox"]


class SharedOutbox:
    """In the order of a start: `version_vector` into the outbox, `carried` into the record, `join` for the
    engine's recorder, `begin`.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config, log: Log) -> None:
        self.config = config
        self.log = log
        self.clock = LoopClock(loop)
        self.carried: Final = CarriedLedger()
        self.version_vector = ReplicatedVersionVector(self.carried.record, self.clock, log)
        self.replay_gate: ReplayGate | None = None
        self.driver: OutboxDriver | None = None

    @property
    def state_machines(self) -> dict[int, StateMachine]:
        """What the agreed entries act on, by their first byte."""
        return self.carried.state_machines

    def join(self, part: ConsensusChannel, driver: OutboxDriver, inner: Recorder | None) -> ReplayGate:
        """`inner`: that of `[orders]`; what it records no edge may keep."""
        assert self.config.outbox is not None
        with open(self.config.outbox.secret_file, "rb") as file:  # the driver could read it, as it is open
            secret = file.read(4096).strip()
        sharer = self.carried.join(part, self.clock)
        sharer.on_change = self.version_vector.heard
        recorded = {} if self.config.orders is None else self.config.orders.classes
        rules = self.config.settings.classes
        classes = {
            cls: rules[cls].effect == UNSAFE
            for name, cls in self.config.names.classes.items()
            if rules[cls].effect != SAFE and name not in recorded
        }
        self.driver = driver
        self.replay_gate = ReplayGate(
            self.carried.record, sharer, MessageSeal(secret), classes, self.clock, self.log, inner
        )
        return self.replay_gate

    def begin(self) -> None:
        """The outbox has begun with the engine."""
        driver, sharer = self.driver, self.carried.sharer
        assert driver is not None and sharer is not None
        edge_log = EdgeLog(driver.settings.edge, driver.store.incarnation)
        self.version_vector.begin(sharer, edge_log, driver.outbox.edge_logs(), self._changed)

    def _changed(self) -> None:
        assert self.driver is not None
        self.driver.outbox.on_remote_change(self.clock.now())
        self.driver.wake()

    # --- An operator's words ----------------------------------------------------------------

    def lose(self, edge: str, incarnation: int) -> bool:
        """An operator declares an edge lost, or one life of it. False if that was said already."""
        assert self.replay_gate is not None
        return self.replay_gate.lose(edge, incarnation)

    def claim(self, edge_log: EdgeLog) -> bool:
        """An operator's word: this process replays that log. `UnknownWriteError`."""
        try:
            return self.version_vector.force(edge_log)
        except KeyError:
            told = f"{edge_log.edge}/{edge_log.incarnation:016x}"
            raise UnknownWriteError(f"no line {told} of a former life of this disk") from None

    def status(self) -> dict[str, Any]:
        """For an operator, in JSON's types."""
        return {} if self.replay_gate is None else self.replay_gate.status()

    async def close(self) -> None:
        """Agree on nothing any more."""
        self.version_vector.close()
        if self.replay_gate is not None:
            await self.replay_gate.close()
        self.carried.close()
