"""What each copy that takes part in consensus has of queued writes, also one that shares none itself.

It may come to lead. Without the machine its snapshot would make the others forget; without the sharer their
words would come to nothing.
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
    """The ledger of one process, and what brings entries to agreement once it takes part."""

    def __init__(self) -> None:
        self.record: Final = ReplicatedLedger()
        self.state_machines: Final[dict[int, StateMachine]] = {KIND[0]: self.record}
        self.sharer: AgreementDriver | None = None

    def join(self, part: ConsensusChannel, clock: Clock) -> AgreementDriver:
        """`part`: that of `KIND`."""
        self.sharer = AgreementDriver(part, self.record, clock)
        return self.sharer

    def close(self) -> None:
        """Agree on nothing any more."""
        if self.sharer is not None:
            self.sharer.close()
