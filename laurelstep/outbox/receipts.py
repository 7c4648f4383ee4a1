"""What is told of a kept write. Pure: asking changes nothing."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

import msgspec

from laurelstep.outbox.dots import Dot
from laurelstep.outbox.journal import Reason, State

__all__ = ["REASONS", "Receipt", "show"]

REASONS: Final[dict[Reason, str]] = {
    Reason.WINDOW: "the time for which its key is remembered upstream has passed",
    Reason.MAY_HAVE_RUN: "it was sent, its answer was lost, and it can't be sent twice",
    Reason.DENIED: "upstream said a final no",
    Reason.AGE: "it was kept for longer than outbox.age_s",
    Reason.ORPHANED: "a write that it follows was given up, or lost with its edge",
    Reason.FENCED: "another process with a copy of this disk replays it",
    Reason.FOLLOWS: "a write that it follows is parked",
}
# What an operator can say of it.
_OPEN: Final = ("ran", "never_ran", "give_up")


@dataclass(frozen=True, slots=True)
class Receipt:
    """`behind`: for a write that waits, one that holds it up. `status`: of the final answer, or 0."""

    dot: Dot
    state: State
    reason: Reason = Reason.NONE
    parking: int = 0
    behind: Dot | None = None
    status: int = 0
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""

    @property
    def verdicts(self) -> tuple[str, ...]:
        """What an operator can say now."""
        if self.state is not State.PARKED:
            return ()
        return ("give_up",) if self.reason is Reason.FOLLOWS else _OPEN


def show(receipt: Receipt) -> bytes:
    """As JSON, for the client that asks and for an operator."""
    told: dict[str, Any] = {"write": str(receipt.dot), "state": receipt.state.name.lower()}
    if receipt.state is State.PARKED:
        told["reason"] = REASONS[receipt.reason]
        told["parking"] = receipt.parking
        told["verdicts"] = receipt.verdicts
    if receipt.behind is not None:
        told["behind"] = str(receipt.behind)
    if receipt.status:
        told["status"] = receipt.status
        told["headers"] = [
            [name.decode("latin-1"), value.decode("latin-1")] for name, value in receipt.headers
        ]
        told["body"] = receipt.body.decode("utf-8", "replace")
    return msgspec.json.encode(told) + b"\n"
