"""A recorder of the datagrams that a link receives, and free UDP ports."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from laurelstep.testing import free_udp_port

from tests.sockets import TEST_TIMEOUT_S


class ReceivedDatagrams:
    """A receive callback that records the datagrams of a link, and lets a test wait for them."""

    def __init__(self) -> None:
        self.all: list[tuple[int, bytes]] = []
        self.arrived = asyncio.Event()

    def __call__(self, peer: int, data: bytes) -> None:
        self.all.append((peer, data))
        self.arrived.set()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not condition():
                self.arrived.clear()
                await self.arrived.wait()


def free_udp_ports(count: int) -> list[int]:
    """Return UDP ports that are not in use."""
    return [free_udp_port() for _ in range(count)]
