"""A store that stores nothing: after a crash, a process restarts with an empty state."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

__all__ = ["NoStore"]


class NoStore:
    """A `Store` that stores nothing."""

    is_durable = False

    async def load(self) -> dict[bytes, bytes]:
        """Return no records."""
        return {}

    def write(self, changes: Mapping[bytes, bytes | None]) -> asyncio.Future[None]:
        """Discard the changes. The returned future is already complete."""
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        done.set_result(None)
        return done

    async def close(self) -> None:
        """Do nothing, as there is nothing to release."""
