"""The sides of what is shared, each as narrow as the core and its driver need it.

The clock is the engine's (`laurelstep.engine.ports.Clock`); of it `now()` and `at()` alone are used.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Final, Protocol

__all__ = ["DATAGRAM_MOST", "Link", "Machine", "Store"]

# The protocol page's limit between sidecars, in bytes.
DATAGRAM_MOST: Final = 256


class Link(Protocol):
    """Datagrams to peers by their number in the list. They may be lost, doubled, late and out of order."""

    def open(self, receive: Callable[[int, bytes], None]) -> None:
        """Once: from now on `receive(peer, datagram)` is called, for listed peers only."""

    def send(self, peer: int, data: bytes) -> None:
        """Send, or lose. Never blocks, and never raises for what the network does.

        Raises LinkError over DATAGRAM_MOST bytes, or for a number that is no peer's.
        """

    def close(self) -> None:
        """Nothing is received after."""


class Store(Protocol):
    """What must survive a crash, if anything does."""

    # False: `load` is empty at every start, and `write` is done at once.
    lasting: bool

    async def load(self) -> dict[bytes, bytes]:
        """All that is kept. Raises StoreError."""

    def write(self, changes: Mapping[bytes, bytes | None]) -> asyncio.Future[None]:
        """Durable together or not at all, in the order of the calls; None deletes. The future: StoreError,
        or StoreFaultError where the disk fails."""

    async def close(self) -> None: ...


class Machine(Protocol):
    """What agreed entries act on: deterministic, the same in every process, without a clock."""

    def apply(self, index: int, data: bytes) -> None:
        """Act on the agreed entry. Never raises for any bytes: what it can't read it ignores and counts."""

    def dump(self) -> bytes:
        """All there is, as bytes: equal states give equal bytes."""

    def load(self, raw: bytes) -> None:
        """Become what `dump` gave. Empty bytes: as new."""
