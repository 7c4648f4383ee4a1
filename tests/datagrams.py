"""Datagrams that a link received, and free ports to receive at."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from laurelstep.testing import free_udp_port

from tests.sockets import TEST_TIMEOUT_S


class ReceivedDatagrams:
    """What a link received, and an end of waiting for it."""

    def __init__(self) -> None:
        self.all: list[tuple[int, bytes]] = []
        self.came = asyncio.Event()

    def __call__(self, peer: int, data: bytes) -> None:
        self.all.append((peer, data))
        self.came.set()

    async def until(self, done: Callable[[], bool]) -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not done():
                self.came.clear()
                await self.came.wait()


def free_udp_ports(count: int) -> list[int]:
    """UDP ports that nobody has now."""
    return [free_udp_port() for _ in range(count)]
