"""Replay's share of the loop: its sends go one at a time, apart from each other while live requests come.

What a batch of the store lets go would else go all at once, and a live request that comes then waits for all
of it. A send that took some time is followed by `REST` times as much for others, if any have come.
"""

from __future__ import annotations

import asyncio
import time
from types import TracebackType
from typing import Final

__all__ = ["BackgroundReplay"]

REST: Final = 3.0


class BackgroundReplay:
    """`async with` it for one send. `live`: set whenever a live request comes."""

    def __init__(self) -> None:
        self.live = False
        self._lock = asyncio.Lock()
        self._began = 0.0

    async def __aenter__(self) -> None:
        await self._lock.acquire()
        self._began = time.perf_counter()

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        loop = asyncio.get_running_loop()
        if self.live:
            self.live = False
            loop.call_later(REST * (time.perf_counter() - self._began), self._lock.release)
        else:
            loop.call_soon(self._lock.release)  # the loop looks at its sockets first
