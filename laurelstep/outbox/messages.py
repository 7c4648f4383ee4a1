"""What an outbox is given and what it gives: classes, bounds, offers, tickets, ends, changes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Literal

from laurelstep.outbox.records import QueuedWrite, StateChange, WriteEvent
from laurelstep.outbox.write_ids import WriteId

__all__ = ["OutboxBounds", "QueuedClass", "ReplayResult", "Transition", "WriteOffer", "WriteTicket"]


@dataclass(frozen=True, slots=True)
class QueuedClass:
    """How writes of one class are kept. `keyed`: upstream tells repeats apart by their key for `window_us`
    after the first; otherwise unsafe: sent once, ever.
    """

    name: str
    keyed: bool
    window_us: int = 0


@dataclass(frozen=True, slots=True)
class OutboxBounds:
    """What is kept at most, and for how long."""

    max_bytes: int = 1 << 30
    max_writes: int = 100_000
    # Of bytes and count, that one tenant may use: 0 to 1.
    tenant_share: float = 0.5
    age_us: int = 7 * 86_400_000_000
    # How long a receipt is kept after its write was done or given up, and how many at most.
    receipt_us: int = 86_400_000_000
    max_receipts: int = 100_000
    replay_most: int = 8
    # The longest time between a send and its run upstream: the deadline of one try.
    send_us: int = 30_000_000
    # After a refusal, live or of a queued write, nothing is replayed for so long.
    hold_us: int = 1_000_000
    # What becomes of those that follow a write that is given up or lost with its edge.
    orphans: Literal["park", "release"] = "park"


@dataclass(frozen=True, slots=True)
class WriteOffer:
    """A write that could be kept. `tokens`: the header's tokens; `key`: its idempotency key, b"" if none."""

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
    """A number for an offer. `is_known`: it has this key already, and nothing is to be kept: compare its
    record's key and digest with the offer's, and give its receipt once it is `durable`.
    """

    write_id: WriteId
    write: QueuedWrite | None
    is_known: bool = False


class ReplayResult(IntEnum):
    """How a write that was sent ended."""

    ANSWERED = 1  # a final answer that says that it ran
    DENIED = 2  # a final answer that says no
    NOT_RUN = 3  # no attempt of it can have run
    MAY_HAVE_RUN = 4
    FENCED = 5  # not run: its log is another process's


@dataclass(frozen=True, slots=True)
class Transition:
    """One step of one write. `state_change` is what becomes durable before `apply`."""

    write_id: WriteId
    event: WriteEvent
    state_change: StateChange
