"""The record and its sharer, as the gate and a copy's own version vector need them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from laurelstep.outbox.shared.entries import LedgerEntry, LogLease, StatusRecord
from laurelstep.outbox.shared.messages import LeaseRequest, StatusUpdate, VersionVectors

__all__ = ["AgreedLedger", "Agreement"]


class AgreedLedger(VersionVectors, Protocol):
    """The agreed record (`shared.record.ReplicatedLedger`), with what would have to be agreed next."""

    def is_withdrawn(self, ask: int) -> bool: ...

    def lease_entry(self, claim: LeaseRequest) -> LogLease | None: ...

    def status_entry(self, told: StatusUpdate) -> StatusRecord | None: ...

    def status(self) -> dict[str, int]: ...


class Agreement(Protocol):
    """Brings entries to agreement: `shared.sharer.AgreementDriver`."""

    @property
    def ready(self) -> bool: ...

    def agree(self, entry: LedgerEntry, done: Callable[[], bool], until: int) -> asyncio.Future[bool]: ...
