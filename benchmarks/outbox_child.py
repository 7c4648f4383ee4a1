"""The endpoint of `outbox`, and a process that only keeps.

`endpoint`: answers after 2 ms. A POST's body says `chain number`: it counts what takes effect twice, and what
comes before its cause. Each line that it is told is answered with these figures.
`held FOLDER COUNT`: keeps so many writes while cut off, and tells what memory and time they took."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections import Counter
from typing import Any, ClassVar, cast

import httptools
import uvloop

from benchmarks.outbox import Edge, resident_kb

SERVICE_S = 0.002
WARM = 2_000
TOGETHER = 64


class Endpoint(asyncio.Protocol):
    effects: ClassVar[Counter[bytes]] = Counter()
    last: ClassVar[Counter[bytes]] = Counter()
    out_of_order: ClassVar[int] = 0

    def __init__(self) -> None:
        self.parser: Any = httptools.HttpRequestParser(self)
        self.body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        body, self.body = self.body, b""
        if body:
            Endpoint.take(body)
        asyncio.get_running_loop().call_later(SERVICE_S, self.answer)

    def answer(self) -> None:
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    @classmethod
    def take(cls, body: bytes) -> None:
        chain, _, number = body.partition(b" ")
        cls.effects[body] += 1
        cls.out_of_order += int(number) != cls.last[chain] + 1
        cls.last[chain] = int(number)


async def endpoint() -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(Endpoint, "127.0.0.1", 0, backlog=1024)
    print(server.sockets[0].getsockname()[1], flush=True)
    while await loop.run_in_executor(None, sys.stdin.readline):
        doubles = sum(count > 1 for count in Endpoint.effects.values())
        told = {"ran": len(Endpoint.effects), "doubles": doubles, "out_of_order": Endpoint.out_of_order}
        print(json.dumps(told), flush=True)


async def held(folder: str, count: int) -> None:
    edge = await Edge.open(folder, most=count)
    await edge.cut_off()
    await edge.keep(WARM, TOGETHER)
    before, began = resident_kb(), time.perf_counter()
    await edge.keep(count - WARM, TOGETHER, first=WARM)
    took, grown = time.perf_counter() - began, (resident_kb() - before) * 1024
    await edge.close()
    began = time.perf_counter()
    edge = await Edge.open(folder, most=count)
    recovered = time.perf_counter() - began
    assert edge.driver.outbox.count == count
    await edge.close()
    told = {
        "held": count,
        "bytes_per_held": round(grown / (count - WARM)),
        "held_per_s": round((count - WARM) / took),
        "recover_s": round(recovered, 2),
    }
    print(json.dumps(told), flush=True)


if __name__ == "__main__":
    uvloop.run(endpoint() if sys.argv[1] == "endpoint" else held(sys.argv[2], int(sys.argv[3])))
