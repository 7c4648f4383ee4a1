"""The writes kept at one edge: what is taken, what goes out next, what is told. Pure.

The interface; a driver does the rest:

    ticket = outbox.offer(offer, now, wall)     # FullError, CauseError, KeepError: not kept
    # body, then journal.encode(ticket.write), made durable; then
    outbox.stored(dot, now)                     # and only now the 202; or outbox.unstored(dot, now)
    for change in outbox.due(now): ...          # what goes out, expires, or is orphaned
    change = outbox.ended(dot, end, ...)        # of a write that was sent
    change = outbox.judge(dot, parking, verdict)
    # each change: journal.encode(change.moved) made durable in place of the last one; then
    outbox.apply(change, now)                   # only now the step that it announces; or outbox.undo(change)

1. Between a change and its `apply` or `undo` its write takes no other.
2. All times are µs: `now` monotonic, `wall` unix time as this machine has it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import Literal

from woadyard.outbox.causes import Causes, Frontier, Tokens
from woadyard.outbox.dots import Dot, Line
from woadyard.outbox.journal import Event, KeptWrite, Moved, Verdict
from woadyard.outbox.receipts import Receipt

__all__ = ["Bounds", "Change", "End", "KeptClass", "Offer", "Outbox", "Ticket"]


@dataclass(frozen=True, slots=True)
class KeptClass:
    """How writes of one class are kept. `keyed`: upstream tells repeats apart by their key for `window_us`
    after the first; otherwise unsafe: sent once, ever."""

    name: str
    keyed: bool
    window_us: int = 0


@dataclass(frozen=True, slots=True)
class Bounds:
    """What is kept at most, and for how long."""

    bytes_most: int = 1 << 30
    count_most: int = 100_000
    # Of bytes and count, that one tenant may use: 0 to 1.
    tenant_share: float = 0.5
    age_us: int = 7 * 86_400_000_000
    # How long a receipt is kept after its write was done or given up, and how many at most.
    receipt_us: int = 86_400_000_000
    receipts_most: int = 100_000
    replay_most: int = 8
    # The longest time between a send and its run upstream: the deadline of one try.
    send_us: int = 30_000_000
    # After a refusal, live or of a kept write, nothing is replayed for so long.
    hold_us: int = 1_000_000
    # What becomes of those that follow a write that is given up or lost with its edge.
    orphans: Literal["park", "release"] = "park"


@dataclass(frozen=True, slots=True)
class Offer:
    """A write that could be kept. `named`: the header's tokens; `key`: its idempotency key, b"" if none."""

    cls: str
    start: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    size: int
    digest: bytes
    key: bytes = b""
    session: bytes = b""
    obj: bytes = b""
    tenant: str = ""
    named: str = ""


@dataclass(frozen=True, slots=True)
class Ticket:
    """A number for an offer. `known`: it has this key already, and nothing is to be kept: compare its
    record's key and digest with the offer's, and give its receipt once it is `durable`."""

    dot: Dot
    write: KeptWrite | None
    known: bool = False


class End(IntEnum):
    """How a write that was sent ended."""

    ANSWERED = 1  # a final answer that says that it ran
    DENIED = 2  # a final answer that says no
    NOT_RUN = 3  # no attempt of it can have run
    MAY_HAVE_RUN = 4


@dataclass(frozen=True, slots=True)
class Change:
    """One step of one write. `moved` is what becomes durable before `apply`."""

    dot: Dot
    event: Event
    moved: Moved


class Outbox:
    """See the head. `line`: this life's name; `classes`: those that may be kept, by name."""

    def __init__(
        self, line: Line, classes: Mapping[str, KeptClass], bounds: Bounds, tokens: Tokens, frontier: Frontier
    ) -> None: ...

    # Keeping

    def offer(self, offer: Offer, now: int, wall: int) -> Ticket:
        """A number for it, its causes found and its bytes counted; see the errors in the head."""
        raise NotImplementedError

    def join(self, causes: Causes, now: int, wall: int) -> Ticket:
        """A name for a set that no token tells (causes.py, rule 3): kept as any write, without a body."""
        raise NotImplementedError

    def must_keep(self, named: str) -> bool:
        """A write that names these tokens follows one that may not be in yet: it is kept although the link
        is well. `CauseError`."""
        raise NotImplementedError

    def stored(self, dot: Dot, now: int) -> None:
        """Its record is durable: it counts, and may be told."""
        raise NotImplementedError

    def unstored(self, dot: Dot, now: int) -> None:
        """Its record could not be made durable: as if it had not been offered."""
        raise NotImplementedError

    # Replay

    def due(self, now: int) -> list[Change]:
        """What is to be done next, `SEND` among it: apply, then send. Asked after events and each second."""
        raise NotImplementedError

    def live_refused(self, now: int) -> None:
        """The module refused a live request: kept ones stand back."""
        raise NotImplementedError

    def ended(
        self,
        dot: Dot,
        end: End,
        now: int,
        wall: int,
        status: int = 0,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        body: bytes = b"",
    ) -> Change:
        """What its end means, by its class."""
        raise NotImplementedError

    def apply(self, change: Change, now: int) -> None:
        """The change is durable."""
        raise NotImplementedError

    def undo(self, change: Change, now: int) -> None:
        """The change could not be made durable: it is found again by `due`, but for a verdict or an end,
        which the driver tries again."""
        raise NotImplementedError

    # Others and operators

    def heard(self, now: int) -> None:
        """The frontier has learned something."""
        raise NotImplementedError

    def judge(self, dot: Dot, parking: int, verdict: Verdict, wall: int) -> Change | None:
        """An operator's verdict on a parking; None if this one was given already. `VerdictError`,
        `UnknownWriteError`."""
        raise NotImplementedError

    # Telling

    def receipt(self, dot: Dot) -> Receipt:
        """Its state; `status` and body are in its record. `UnknownWriteError`."""
        raise NotImplementedError

    def durable(self, dot: Dot) -> bool:
        """`stored` was called for it. `UnknownWriteError`."""
        raise NotImplementedError

    def forgettable(self, now: int) -> list[Dot]:
        """Those whose receipt's time is over: delete their records, then `forget` them."""
        raise NotImplementedError

    def forget(self, dot: Dot) -> None: ...

    # After a restart

    def restore(
        self, kept: Iterable[tuple[KeptWrite, Moved | None]], lines: Mapping[Line, int], now: int, wall: int
    ) -> list[Change]:
        """All records of the store, once, before anything else. `lines`: the highest number found of each
        former life. What comes back is to be made durable and applied."""
        raise NotImplementedError

    def lines(self) -> dict[Line, int]:
        """The highest number known of each own line: durable before a life begins."""
        raise NotImplementedError
