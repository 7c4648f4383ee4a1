"""The interfaces of a replica to the network, the store and the state machine.

The clock is the engine's (`laurelstep.engine.ports.Clock`); only its `now()` and `at()` are used.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Final, Protocol

__all__ = ["MAX_DATAGRAM_BYTES", "Link", "StateMachine", "Store"]

# The limit between sidecars, by the protocol page.
MAX_DATAGRAM_BYTES: Final = 256


class Link(Protocol):
    """Sends datagrams to peers by their number in the list. They may be lost, doubled, late and reordered."""

    def open(self, receive: Callable[[int, bytes], None]) -> None:
        """Start to call `receive(peer, datagram)`, for listed peers only. Called once."""

    def send(self, peer: int, data: bytes) -> None:
        """Send, or lose. Never blocks, and never raises for what the network does.

        Raises LinkError over MAX_DATAGRAM_BYTES, or for a number that is no peer's.
        """

    def close(self) -> None:
        """Stop receiving."""


class Store(Protocol):
    """Keeps the records that must survive a crash, if any do."""

    # False: `load` is empty at every start, and `write` completes at once.
    is_durable: bool

    async def load(self) -> dict[bytes, bytes]:
        """Return all records. Raises StoreError."""

    def write(self, changes: Mapping[bytes, bytes | None]) -> asyncio.Future[None]:
        """Make the changes durable, all or none, in the order of the calls; None deletes.

        The future raises StoreError; StoreFaultError where the disk fails.
        """

    async def close(self) -> None:
        """Finish pending writes and release the store."""


class StateMachine(Protocol):
    """Applies committed entries: deterministic, the same in every replica, without a clock."""

    def apply(self, index: int, data: bytes) -> None:
        """Apply a committed entry. Never raises: data that can't be read is ignored and counted."""

    def dump(self) -> bytes:
        """Return the whole state as bytes: equal states give equal bytes."""

    def load(self, raw: bytes) -> None:
        """Replace the state by what `dump` gave; by the initial state if empty."""
