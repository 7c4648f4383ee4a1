"""The ledger of queued writes on each copy that takes part in consensus, also where the shared outbox is off.

Any such copy may come to lead. Without the state machine, the snapshots that it sends would lack the ledger
and make the other copies forget it. Without the agreement driver, it would not propose the entries that the
other copies send to it.
"""

from __future__ import annotations

from typing import Final

from laurelstep.consensus.multiplexer import ConsensusChannel
from laurelstep.consensus.ports import StateMachine
from laurelstep.engine.ports import Clock
from laurelstep.outbox.shared.agreement import AgreementDriver
from laurelstep.outbox.shared.entries import KIND
from laurelstep.outbox.shared.ledger import ReplicatedLedger

__all__ = ["CarriedLedger"]


class CarriedLedger:
    """The ledger of one process, and the driver that gets entries agreed once the process has joined."""

    def __init__(self) -> None:
        self.ledger: Final = ReplicatedLedger()
        self.state_machines: Final[dict[int, StateMachine]] = {KIND[0]: self.ledger}
        self.agreement: AgreementDriver | None = None

    def join(self, channel: ConsensusChannel, clock: Clock) -> AgreementDriver:
        """Start to get entries agreed through the consensus channel of `KIND`."""
        self.agreement = AgreementDriver(channel, self.ledger, clock)
        return self.agreement

    def close(self) -> None:
        """Stop getting entries agreed. Does nothing if `join` was never called."""
        if self.agreement is not None:
            self.agreement.close()
