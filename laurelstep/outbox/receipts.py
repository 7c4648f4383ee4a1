"""What is told of a queued write. Pure: asking changes nothing."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

import msgspec

from laurelstep.outbox.records import ParkingReason, WriteState
from laurelstep.outbox.write_ids import WriteId

__all__ = ["REASONS", "WriteReceipt", "encode_receipt"]

REASONS: Final[dict[ParkingReason, str]] = {
    ParkingReason.WINDOW: "the time for which its key is remembered upstream has passed",
    ParkingReason.MAY_HAVE_RUN: "it was sent, its answer was lost, and it can't be sent twice",
    ParkingReason.DENIED: "upstream said a final no",
    ParkingReason.AGE: "it was kept for longer than outbox.age_s",
    ParkingReason.ORPHANED: "a write that it follows was given up, or lost with its edge",
    ParkingReason.FENCED: "another process with a copy of this disk replays it",
    ParkingReason.FOLLOWS: "a write that it follows is parked",
}
# What an operator can say of it.
_OPEN: Final = ("ran", "never_ran", "give_up")


@dataclass(frozen=True, slots=True)
class WriteReceipt:
    """`behind`: for a write that waits, one that holds it up. `status`: of the final answer, or 0."""

    write_id: WriteId
    state: WriteState
    reason: ParkingReason = ParkingReason.NONE
    parking: int = 0
    behind: WriteId | None = None
    status: int = 0
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""

    @property
    def resolutions(self) -> tuple[str, ...]:
        """What an operator can say now."""
        if self.state is not WriteState.PARKED:
            return ()
        return ("give_up",) if self.reason is ParkingReason.FOLLOWS else _OPEN


def encode_receipt(receipt: WriteReceipt) -> bytes:
    """As JSON, for the client that asks and for an operator."""
    told: dict[str, Any] = {"write": str(receipt.write_id), "state": receipt.state.name.lower()}
    if receipt.state is WriteState.PARKED:
        told["reason"] = REASONS[receipt.reason]
        told["parking"] = receipt.parking
        told["verdicts"] = receipt.resolutions
    if receipt.behind is not None:
        told["behind"] = str(receipt.behind)
    if receipt.status:
        told["status"] = receipt.status
        told["headers"] = [
            [name.decode("latin-1"), value.decode("latin-1")] for name, value in receipt.headers
        ]
        told["body"] = receipt.body.decode("utf-8", "replace")
    return msgspec.json.encode(told) + b"\n"
