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

    def is_withdrawn(self, ask: int) -> bool:
        """The query's intent was withdrawn: none of it is granted any more."""

    def lease_entry(self, claim: LeaseRequest) -> LogLease | None:
        """The entry by which the request would hold now; None if it is not open."""

    def status_entry(self, told: StatusUpdate) -> StatusRecord | None:
        """The entry by which the record would say so; None if it does."""

    def status(self) -> dict[str, int]:
        """For an operator, in JSON's types."""


class Agreement(Protocol):
    """Brings entries to agreement: `shared.sharer.AgreementDriver`."""

    @property
    def is_ready(self) -> bool:
        """The record is known here, and a leader is heard."""

    def agree(self, entry: LedgerEntry, done: Callable[[], bool], until: int) -> asyncio.Future[bool]:
        """Bring an entry to agreement: True once `done` says so, False if that is not by `until`,
        monotonic µs.
        """
