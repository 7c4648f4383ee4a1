"""The interfaces of a replica to the network, the store and the state machine.

The clock is `laurelstep.engine.ports.Clock`, of which only `now()` and `at()` are used.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Final, Protocol

__all__ = ["MAX_DATAGRAM_BYTES", "Link", "StateMachine", "Store"]

# The protocol's limit for datagrams between sidecars.
MAX_DATAGRAM_BYTES: Final = 256


class Link(Protocol):
    """Sends datagrams to peers by peer number. They may be lost, duplicated, delayed and reordered."""

    def open(self, receive: Callable[[int, bytes], None]) -> None:
        """Start calling `receive(peer, datagram)` for datagrams from configured peers. Called once."""

    def send(self, peer: int, data: bytes) -> None:
        """Send a datagram, or drop it. Never blocks, and raises nothing for errors of the network.

        Raises LinkError for more than MAX_DATAGRAM_BYTES, or for a number that is not another peer's.
        """

    def close(self) -> None:
        """Stop receiving, and free the address."""


class Store(Protocol):
    """Stores the records that must survive a crash, if the store is durable."""

    # If False, `load` returns nothing at every start and `write` completes immediately.
    is_durable: bool

    async def load(self) -> dict[bytes, bytes]:
        """Return all records by key. Raises StoreError."""

    def write(self, changes: Mapping[bytes, bytes | None]) -> asyncio.Future[None]:
        """Make the changes durable atomically, in the order of the calls; None deletes a record.

        The future raises StoreError, or StoreFaultError if the disk fails.
        """

    async def close(self) -> None:
        """Finish pending writes and release the store."""


class StateMachine(Protocol):
    """Applies committed entries: deterministically and without a clock, the same in all replicas."""

    def apply(self, index: int, data: bytes) -> None:
        """Apply a committed entry. Never raises: data that can't be decoded is ignored and counted."""

    def dump(self) -> bytes:
        """Return the complete state as bytes: equal states give equal bytes."""

    def load(self, raw: bytes) -> None:
        """Replace the state with that of a `dump`, or with the initial state if `raw` is empty."""
