"""Protocols of the ledger and its agreement driver, as the replay gate and a copy's own version vector use
them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from laurelstep.outbox.shared.entries import LedgerEntry, LogLease, StatusRecord
from laurelstep.outbox.shared.messages import LeaseRequest, StatusUpdate, VersionVectors

__all__ = ["AgreedLedger", "Agreement"]


class AgreedLedger(VersionVectors, Protocol):
    """The agreed ledger, and the entries to propose next. Implemented by `ReplicatedLedger`."""

    def is_withdrawn(self, intent_id: int) -> bool:
        """Whether the intent was withdrawn: none is granted under this id any more."""

    def lease_entry(self, request: LeaseRequest) -> LogLease | None:
        """The entry that would grant the request now; None if the request is not open."""

    def status_entry(self, update: StatusUpdate) -> StatusRecord | None:
        """The entry that would make the ledger agree with the update; None if it agrees already."""

    def status(self) -> dict[str, int]:
        """Sizes and counters for the operator's status report, as JSON types."""


class Agreement(Protocol):
    """Gets ledger entries agreed. Implemented by `AgreementDriver`."""

    @property
    def is_ready(self) -> bool:
        """Whether the ledger is up to date on this copy and this copy is in contact with a leader."""

    def agree(self, entry: LedgerEntry, is_agreed: Callable[[], bool], deadline: int) -> asyncio.Future[bool]:
        """Submit an entry. The future is True once `is_agreed` holds, False if it does not by `deadline`, in
        monotonic µs.
        """
