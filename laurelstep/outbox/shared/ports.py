"""The record and its sharer, as the gate and a copy's own frontier need them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from laurelstep.outbox.shared.entries import Entry, Hold, Said
from laurelstep.outbox.shared.terms import Claim, Frontiers, Told

__all__ = ["Ledger", "Sharing"]


class Ledger(Frontiers, Protocol):
    """The agreed record (`shared.record.Record`), with what would have to be agreed next."""

    def undone(self, ask: int) -> bool: ...

    def claim_entry(self, claim: Claim) -> Hold | None: ...

    def said_entry(self, told: Told) -> Said | None: ...

    def status(self) -> dict[str, int]: ...


class Sharing(Protocol):
    """Brings entries to agreement: `shared.sharer.Sharer`."""

    @property
    def ready(self) -> bool: ...

    def agree(self, entry: Entry, done: Callable[[], bool], until: int) -> asyncio.Future[bool]: ...
