"""Limits the event-loop time that replays take: one send at a time, spaced while live requests arrive.

The writes of one store batch become ready together. If they were all sent at once, a live request that
arrives then would wait for all of them. If a live request has arrived since the last send, the next one waits
`PAUSE_FACTOR` times as long as that send took.
"""

from __future__ import annotations

import asyncio
import time
from types import TracebackType
from typing import Final

__all__ = ["BackgroundReplay"]

PAUSE_FACTOR: Final = 3.0


class BackgroundReplay:
    """A lock to hold during each send (`async with`). `had_live_request`: set when a live request arrives."""

    def __init__(self) -> None:
        self.had_live_request = False
        self._lock = asyncio.Lock()
        self._began_s = 0.0

    async def __aenter__(self) -> None:
        await self._lock.acquire()
        self._began_s = time.perf_counter()

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        loop = asyncio.get_running_loop()
        if self.had_live_request:
            self.had_live_request = False
            loop.call_later(PAUSE_FACTOR * (time.perf_counter() - self._began_s), self._lock.release)
        else:
            loop.call_soon(self._lock.release)  # lets the loop poll its sockets before the next send
