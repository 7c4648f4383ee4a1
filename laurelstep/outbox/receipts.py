"""Receipts of queued writes. Pure: reading a receipt changes nothing."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

import msgspec

from laurelstep.outbox.records import ParkingReason, WriteState
from laurelstep.outbox.write_ids import WriteId

__all__ = ["REASON_TEXTS", "WriteReceipt", "encode_receipt"]

REASON_TEXTS: Final[dict[ParkingReason, str]] = {
    ParkingReason.WINDOW: "the time for which its key is remembered upstream has passed",
    ParkingReason.MAY_HAVE_RUN: "it was sent, its answer was lost, and it can't be sent twice",
    ParkingReason.DENIED: "upstream said a final no",
    ParkingReason.AGE: "it was kept for longer than outbox.age_s",
    ParkingReason.ORPHANED: "a write that it follows was given up, or lost with its edge",
    ParkingReason.FENCED: "another process with a copy of this disk replays it",
    ParkingReason.FOLLOWS: "a write that it follows is parked",
}
# The resolutions that an operator may give on a write that is parked itself.
_ALL_RESOLUTIONS: Final = ("ran", "never_ran", "give_up")


@dataclass(frozen=True, slots=True)
class WriteReceipt:
    """The state of a write. `behind`: for a write that waits, a write that blocks it. `parking`: the
    number of the parking, which a resolution has to name. `status`: of the final answer, 0 if there is none.
    """

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
        """The resolutions that an operator may give now, in lower case."""
        if self.state is not WriteState.PARKED:
            return ()
        return ("give_up",) if self.reason is ParkingReason.FOLLOWS else _ALL_RESOLUTIONS


def encode_receipt(receipt: WriteReceipt) -> bytes:
    """Encode a receipt as a line of JSON, for clients and operators."""
    document: dict[str, Any] = {"write": str(receipt.write_id), "state": receipt.state.name.lower()}
    if receipt.state is WriteState.PARKED:
        document["reason"] = REASON_TEXTS[receipt.reason]
        document["parking"] = receipt.parking
        document["verdicts"] = receipt.resolutions
    if receipt.behind is not None:
        document["behind"] = str(receipt.behind)
    if receipt.status:
        document["status"] = receipt.status
        document["headers"] = [
            [name.decode("latin-1"), value.decode("latin-1")] for name, value in receipt.headers
        ]
        document["body"] = receipt.body.decode("utf-8", "replace")
    return msgspec.json.encode(document) + b"\n"
