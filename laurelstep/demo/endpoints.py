"""The demo's endpoints: a few cores, a queue, and work that takes time."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, field
from typing import Any

from laurelstep.demo.settings import CORES, SPEEDS
from laurelstep.testing import Effects, Endpoint, Message, Writer, answer


@dataclass(eq=False)
class DemoEndpoint(Endpoint):
    """Works on `CORES` requests at a time, each for a random time with the mean of its speed.

    While `unstalled` is cleared it accepts requests and answers none.
    """

    name: str = ""
    speed: str = "std"
    state: str = "ready"
    in_flight: int = 0
    served: int = 0
    last_request_s: float = 0.0  # monotonic time of the last arrival
    unstalled: asyncio.Event = field(default_factory=asyncio.Event)

    def install_handler(self, draw: random.Random) -> None:
        """Answer requests, with work times from `draw`; the endpoint is not stalled at first."""
        self.unstalled.set()
        mean_work_s = SPEEDS[self.speed].mean_work_s
        cores = asyncio.Semaphore(CORES)

        async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            self.in_flight += 1
            self.last_request_s = time.monotonic()
            try:
                async with cores:
                    await asyncio.sleep(draw.expovariate(1.0 / mean_work_s))
                    await self.unstalled.wait()
                self.effects.execute(message)
                self.served += 1
                queue_length = max(0, self.in_flight - CORES)
                writer.write(answer(headers=f"X-Load: queue={queue_length},qps=0\r\n"))
            finally:
                self.in_flight -= 1

        self.handler = handler

    def discovery_entry(self, **changes: Any) -> dict[str, Any]:
        """Return the endpoint's entry of discovery's list."""
        return self.entry(self.name, machineType=self.speed, **changes)


def make_endpoints(draw: random.Random, effects: Effects) -> list[DemoEndpoint]:
    """Return all endpoints of the demo, named in order; they share `draw` and `effects`."""
    endpoints: list[DemoEndpoint] = []
    for speed, (_, endpoint_count) in SPEEDS.items():
        for _ in range(endpoint_count):
            name = f"s-{len(endpoints)}"
            endpoint = DemoEndpoint(name=name, speed=speed, effects=effects, records_requests=False)
            endpoint.install_handler(draw)
            endpoints.append(endpoint)
    return endpoints
