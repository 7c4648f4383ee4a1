"""Opening a connection: the one coroutine of a request's way, in a module of its own.

It stays plain Python where the rest is compiled: a compiled coroutine and its frame hold
each other, so that each connection would be left to the collector."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast


class Opened(Protocol):
    """A protocol of asyncio that is told when its connection does not come up."""

    def not_opened(self) -> None: ...

    def opening_ended(self) -> None: ...


async def open_connection(loop: asyncio.AbstractEventLoop, one: Opened, host: str, port: int) -> None:
    """It knows no time-out: who waits cancels it, and only before the connection is up. One that
    came due in the turn in which the connection was made closed that behind its protocol's back."""
    try:
        await loop.create_connection(lambda: cast(asyncio.Protocol, one), host, port)
    except (OSError, ValueError):  # ValueError: a host that no name can have
        one.not_opened()
    finally:
        one.opening_ended()
