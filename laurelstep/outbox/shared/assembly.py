"""Assembles the shared outbox of one copy from its configuration."""

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
    """The shared outbox of one copy.

    A starting process opens the outbox with `version_vector`, gives `state_machines` to consensus, takes the
    engine's recorder from `join`, and calls `begin`, in this order.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config, log: Log) -> None:
        self.config = config
        self.log = log
        self.clock = LoopClock(loop)
        self.carried_ledger: Final = CarriedLedger()
        self.version_vector = ReplicatedVersionVector(self.carried_ledger.ledger, self.clock, log)
        self.replay_gate: ReplayGate | None = None
        self.driver: OutboxDriver | None = None

    @property
    def state_machines(self) -> dict[int, StateMachine]:
        """The state machines that consensus applies entries to, by the entries' first byte."""
        return self.carried_ledger.state_machines

    def join(self, channel: ConsensusChannel, driver: OutboxDriver, inner: Recorder | None) -> ReplayGate:
        """Connect the ledger to its consensus channel and create the replay gate. `inner`: the request
        journal's recorder, if there is one; edges may not queue writes of the classes that it records.
        """
        assert self.config.outbox is not None
        with open(self.config.outbox.secret_file, "rb") as file:  # readable: the open driver has read it
            secret = file.read(4096).strip()
        agreement = self.carried_ledger.join(channel, self.clock)
        agreement.on_change = self.version_vector.on_ledger_change
        recorded = {} if self.config.orders is None else self.config.orders.classes
        request_classes = self.config.settings.classes
        classes = {
            cls: request_classes[cls].effect == UNSAFE
            for name, cls in self.config.names.classes.items()
            if request_classes[cls].effect != SAFE and name not in recorded
        }
        self.driver = driver
        self.replay_gate = ReplayGate(
            self.carried_ledger.ledger, agreement, MessageSeal(secret), classes, self.clock, self.log, inner
        )
        return self.replay_gate

    def begin(self) -> None:
        """Start the version vector, once the outbox has begun with the engine."""
        driver, agreement = self.driver, self.carried_ledger.agreement
        assert driver is not None and agreement is not None
        edge_log = EdgeLog(driver.settings.edge, driver.store.incarnation)
        self.version_vector.begin(agreement, edge_log, driver.outbox.edge_logs(), self._on_change)

    def _on_change(self) -> None:
        assert self.driver is not None
        self.driver.outbox.on_remote_change(self.clock.now())
        self.driver.wake()

    # --- Operator's commands ----------------------------------------------------------------

    def lose(self, edge: str, incarnation: int) -> bool:
        """Declare an edge lost, or only its log of `incarnation` if that is not 0. False if it is lost
        already.
        """
        assert self.replay_gate is not None
        return self.replay_gate.declare_lost(edge, incarnation)

    def claim(self, edge_log: EdgeLog) -> bool:
        """Let this process replay a log of an earlier incarnation. False if it holds the log already.
        `UnknownWriteError` if its disk never had the log.
        """
        try:
            return self.version_vector.force_lease(edge_log)
        except KeyError:
            log_name = f"{edge_log.edge}/{edge_log.incarnation:016x}"
            raise UnknownWriteError(f"this disk has no log {log_name} of an earlier incarnation") from None

    def status(self) -> dict[str, Any]:
        """The operator's status report as JSON types; empty before `join`."""
        return {} if self.replay_gate is None else self.replay_gate.status()

    async def close(self) -> None:
        """Stop the version vector, the replay gate and the agreement on entries, in this order."""
        self.version_vector.close()
        if self.replay_gate is not None:
            await self.replay_gate.close()
        self.carried_ledger.close()
