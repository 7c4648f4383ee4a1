"""No store: a process that dies comes again from nothing."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping


class NoStore:
    lasting = False

    async def load(self) -> dict[bytes, bytes]:
        return {}

    def write(self, changes: Mapping[bytes, bytes | None]) -> asyncio.Future[None]:
        """Done at once."""
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        done.set_result(None)
        return done

    async def close(self) -> None: ...
