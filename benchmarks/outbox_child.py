"""The endpoints of `outbox`, and a process that only queues writes.

`endpoint`: answers after 2 ms. A POST's body is `chain number`; writes that take effect twice and writes that
arrive before the one they depend on are counted. Each input line is answered with these figures.
`tight SLOTS`: serves so many requests at a time, queues as many, and answers the rest with 503.
`held FOLDER COUNT`: queues so many writes while cut off, and prints the memory and time that they took.
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

SERVICE_S, LIMITED_SERVICE_S = 0.002, 0.02
WARM_UP_WRITES, MEASURED_WRITES = 2_000, 10_000
BATCH = 256
HEADERS = ((b"x-request-id", b"bench-0"), (b"x-class", b"put"), (b"idempotency-key", b"bench-0"))
BODY = b"0-0 0"


class Endpoint(asyncio.Protocol):
    effects: ClassVar[Counter[bytes]] = Counter()
    last_numbers: ClassVar[Counter[bytes]] = Counter()
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
            Endpoint.record_effect(body)

    @classmethod
    def record_effect(cls, body: bytes) -> None:
        chain, _, number = body.partition(b" ")
        cls.effects[body] += 1
        cls.out_of_order += int(number) != cls.last_numbers[chain] + 1
        cls.last_numbers[chain] = int(number)


class LimitedEndpoint(Endpoint):
    """Serves a limited number of requests at a time, queues as many, and refuses the rest."""

    max_in_flight: ClassVar[int] = 0
    in_flight: ClassVar[int] = 0
    refused: ClassVar[int] = 0
    queue: ClassVar[deque[tuple[LimitedEndpoint, bytes]]] = deque()

    def serve(self, body: bytes) -> None:
        if LimitedEndpoint.in_flight < LimitedEndpoint.max_in_flight:
            self.start(body)
        elif len(LimitedEndpoint.queue) < LimitedEndpoint.max_in_flight:
            LimitedEndpoint.queue.append((self, body))
        else:
            LimitedEndpoint.refused += 1
            self.answer(b"503 Service Unavailable")

    def start(self, body: bytes) -> None:
        LimitedEndpoint.in_flight += 1
        self.count(body)
        asyncio.get_running_loop().call_later(LIMITED_SERVICE_S, self.end)

    def end(self) -> None:
        LimitedEndpoint.in_flight -= 1
        self.answer()
        if LimitedEndpoint.queue:
            following, body = LimitedEndpoint.queue.popleft()
            following.start(body)


async def serve_endpoint(endpoint_class: type[Endpoint]) -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(endpoint_class, "127.0.0.1", 0, backlog=1024)
    print(server.sockets[0].getsockname()[1], flush=True)
    while await loop.run_in_executor(None, sys.stdin.readline):
        doubles = sum(count > 1 for count in Endpoint.effects.values())
        report = {"ran": len(Endpoint.effects), "doubles": doubles, "out_of_order": Endpoint.out_of_order}
        if endpoint_class is LimitedEndpoint:
            report["refused"] = LimitedEndpoint.refused
        print(json.dumps(report), flush=True)


async def fill(edge: Edge, first: int, count: int) -> None:
    """Queue writes as the driver does, but without requests, which would take too long."""
    driver = edge.driver
    now, wall = driver.now(), time.time_ns() // 1000

    async def queue_one(number: int) -> None:
        offer = WriteOffer(
            "put", b"POST /put", HEADERS, len(BODY), b"d" * 16, b"f%d" % number, b"s%d" % (number % BATCH)
        )
        ticket = driver.outbox.offer(offer, now, wall)
        assert ticket.write is not None
        await driver.store.put_write(ticket.write, BODY)
        driver.outbox.on_stored(ticket.write_id, now)

    for start in range(first, first + count, BATCH):
        await asyncio.gather(
            *(queue_one(number) for number in range(start, min(start + BATCH, first + count)))
        )


async def measure_queued(folder: str, count: int) -> None:
    edge = await Edge.open(folder, max_writes=count)
    await edge.cut_off()
    await edge.queue_writes(WARM_UP_WRITES, CHAINS)
    before, began = resident_kb(), time.perf_counter()
    measured_count = min(MEASURED_WRITES, count - WARM_UP_WRITES)
    await edge.queue_writes(measured_count, CHAINS, first=WARM_UP_WRITES)
    duration_s = time.perf_counter() - began
    await fill(edge, WARM_UP_WRITES + measured_count, count - WARM_UP_WRITES - measured_count)
    grown_bytes = (resident_kb() - before) * 1024
    await edge.close()
    del edge
    began = time.perf_counter()
    edge = await Edge.open(folder, max_writes=count)
    recovery_s = time.perf_counter() - began
    assert edge.driver.outbox.count == count
    await edge.close()
    report = {
        "held": count,
        "bytes_per_held": round(grown_bytes / (count - WARM_UP_WRITES)),
        "held_per_s": round(measured_count / duration_s),
        "recover_s": round(recovery_s, 2),
        "recover_peak_mb": resident_kb("VmHWM") // 1024,
    }
    print(json.dumps(report), flush=True)


if __name__ == "__main__":
    if sys.argv[1] == "held":
        uvloop.run(measure_queued(sys.argv[2], int(sys.argv[3])))
    else:
        LimitedEndpoint.max_in_flight = int(sys.argv[2]) if sys.argv[1] == "tight" else 0
        uvloop.run(serve_endpoint(LimitedEndpoint if LimitedEndpoint.max_in_flight else Endpoint))
