"""The inputs and outputs of an outbox: classes, bounds, offers, tickets, replay results, transitions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Literal

from laurelstep.outbox.records import QueuedWrite, StateChange, WriteEvent
from laurelstep.outbox.write_ids import WriteId

__all__ = ["OutboxBounds", "QueuedClass", "ReplayResult", "Transition", "WriteOffer", "WriteTicket"]


@dataclass(frozen=True, slots=True)
class QueuedClass:
    """How writes of one class are queued. `keyed`: upstream recognizes repeats by their key for `window_us`
    after the first. Without it the writes are unsafe, so each is sent at most once.
    """

    name: str
    keyed: bool
    window_us: int = 0


@dataclass(frozen=True, slots=True)
class OutboxBounds:
    """How much an outbox keeps, and for how long."""

    max_bytes: int = 1 << 30
    max_writes: int = 100_000
    # The share of `max_bytes` and of `max_writes` that one tenant may use: 0 to 1.
    tenant_share: float = 0.5
    age_us: int = 7 * 86_400_000_000
    # How long a receipt is kept after its write became final, and how many receipts.
    receipt_us: int = 86_400_000_000
    max_receipts: int = 100_000
    # Writes sent and unanswered at a time.
    replay_most: int = 8
    # The longest time from sending a write until it runs upstream: the deadline of one try.
    send_us: int = 30_000_000
    # Replay pauses for this long after a live request or a queued write was refused.
    hold_us: int = 1_000_000
    # What happens to the followers of a write that is given up or lost with its edge.
    orphans: Literal["park", "release"] = "park"


@dataclass(frozen=True, slots=True)
class WriteOffer:
    """A write offered for queueing. `tokens`: the causality tokens of its header; `key`: its idempotency
    key, b"" if it has none.
    """

    cls: str
    method_and_target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    size: int
    digest: bytes
    key: bytes = b""
    session: bytes = b""
    obj: bytes = b""
    tenant: str = ""
    tokens: str = ""


@dataclass(frozen=True, slots=True)
class WriteTicket:
    """The write id given to an offer. `is_known`: an earlier write has the same key, so `write` is None and
    nothing is stored. The caller compares the earlier record's key and digest with the offer's, and sends
    its receipt once `is_durable`.
    """

    write_id: WriteId
    write: QueuedWrite | None
    is_known: bool = False


class ReplayResult(IntEnum):
    """The result of a write that was sent."""

    ANSWERED = 1  # a final answer shows that it ran
    DENIED = 2  # a final answer rejects it
    NOT_RUN = 3  # no attempt can have run
    MAY_HAVE_RUN = 4  # no final answer came, and an attempt may have run
    FENCED = 5  # not run: another process holds the lease on its log


@dataclass(frozen=True, slots=True)
class Transition:
    """A state transition of one write. `state_change` has to be durable before `apply` is called."""

    write_id: WriteId
    event: WriteEvent
    state_change: StateChange
