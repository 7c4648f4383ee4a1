"""The endpoint of `outbox`, and a process that only keeps.

`endpoint`: answers after 2 ms. A POST's body says `chain number`: it counts what takes effect twice, and what
comes before its cause. Each line that it is told is answered with these figures.
`tight PLACES`: serves so many at a time, lets as many wait, and answers the rest with 503.
`held FOLDER COUNT`: keeps so many writes while cut off, and tells what memory and time they took.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections import Counter, deque
from typing import Any, ClassVar, cast

import httptools
import uvloop
from laurelstep.outbox.messages import WriteOffer

from benchmarks.outbox import CHAINS, Edge, resident_kb

SERVICE_S, TIGHT_S = 0.002, 0.02
WARM, ASKED = 2_000, 10_000
TOGETHER = 256
HEADERS = ((b"x-request-id", b"bench-0"), (b"x-class", b"put"), (b"idempotency-key", b"bench-0"))
BODY = b"0-0 0"


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
        self.serve(body)

    def serve(self, body: bytes) -> None:
        self.count(body)
        asyncio.get_running_loop().call_later(SERVICE_S, self.answer)

    def answer(self, status: bytes = b"200 OK") -> None:
        self.transport.write(b"HTTP/1.1 %s\r\nContent-Length: 2\r\n\r\nok" % status)

    def count(self, body: bytes) -> None:
        if body:
            Endpoint.take(body)

    @classmethod
    def take(cls, body: bytes) -> None:
        chain, _, number = body.partition(b" ")
        cls.effects[body] += 1
        cls.out_of_order += int(number) != cls.last[chain] + 1
        cls.last[chain] = int(number)


class Tight(Endpoint):
    """Has places for so many."""

    places: ClassVar[int] = 0
    busy: ClassVar[int] = 0
    refused: ClassVar[int] = 0
    waiting: ClassVar[deque[tuple[Tight, bytes]]] = deque()

    def serve(self, body: bytes) -> None:
        if Tight.busy < Tight.places:
            self.begin(body)
        elif len(Tight.waiting) < Tight.places:
            Tight.waiting.append((self, body))
        else:
            Tight.refused += 1
            self.answer(b"503 Service Unavailable")

    def begin(self, body: bytes) -> None:
        Tight.busy += 1
        self.count(body)
        asyncio.get_running_loop().call_later(TIGHT_S, self.end)

    def end(self) -> None:
        Tight.busy -= 1
        self.answer()
        if Tight.waiting:
            following, body = Tight.waiting.popleft()
            following.begin(body)


async def endpoint(kind: type[Endpoint]) -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(kind, "127.0.0.1", 0, backlog=1024)
    print(server.sockets[0].getsockname()[1], flush=True)
    while await loop.run_in_executor(None, sys.stdin.readline):
        doubles = sum(count > 1 for count in Endpoint.effects.values())
        told = {"ran": len(Endpoint.effects), "doubles": doubles, "out_of_order": Endpoint.out_of_order}
        if kind is Tight:
            told["refused"] = Tight.refused
        print(json.dumps(told), flush=True)


async def fill(edge: Edge, first: int, count: int) -> None:
    """As the driver keeps them, without requests: so many would take too long."""
    driver = edge.driver
    now, wall = driver.now(), time.time_ns() // 1000

    async def one(number: int) -> None:
        offer = WriteOffer(
            "put", b"POST /put", HEADERS, len(BODY), b"d" * 16, b"f%d" % number, b"s%d" % (number % TOGETHER)
        )
        ticket = driver.outbox.offer(offer, now, wall)
        assert ticket.write is not None
        await driver.store.put_write(ticket.write, BODY)
        driver.outbox.on_stored(ticket.write_id, now)

    for at in range(first, first + count, TOGETHER):
        await asyncio.gather(*(one(number) for number in range(at, min(at + TOGETHER, first + count))))


async def held(folder: str, count: int) -> None:
    edge = await Edge.open(folder, most=count)
    await edge.cut_off()
    await edge.keep(WARM, CHAINS)
    before, began = resident_kb(), time.perf_counter()
    asked = min(ASKED, count - WARM)
    await edge.keep(asked, CHAINS, first=WARM)
    took = time.perf_counter() - began
    await fill(edge, WARM + asked, count - WARM - asked)
    grown = (resident_kb() - before) * 1024
    await edge.close()
    del edge
    began = time.perf_counter()
    edge = await Edge.open(folder, most=count)
    recovered = time.perf_counter() - began
    assert edge.driver.outbox.count == count
    await edge.close()
    told = {
        "held": count,
        "bytes_per_held": round(grown / (count - WARM)),
        "held_per_s": round(asked / took),
        "recover_s": round(recovered, 2),
        "recover_peak_mb": resident_kb("VmHWM") // 1024,
    }
    print(json.dumps(told), flush=True)


if __name__ == "__main__":
    if sys.argv[1] == "held":
        uvloop.run(held(sys.argv[2], int(sys.argv[3])))
    else:
        Tight.places = int(sys.argv[2]) if sys.argv[1] == "tight" else 0
        uvloop.run(endpoint(Tight if Tight.places else Endpoint))
