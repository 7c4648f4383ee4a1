"""Kept writes: what keeping adds, what a replay costs live requests, memory, and what ran, in which order.

The edge's engine, outbox and store are in this process, the endpoint is another one. Live requests come at a
fixed rate, without and with a replay turn about; the time of a kept write, beside that of a bare sync of as
many bytes, turn about. `request_cost_on_over_off`: CPU of a live request with an outbox that keeps nothing,
over one without.

`thirty`: so many edges come back at once to a stand-in upstream that serves `PLACES` requests at a time,
lets as many wait and refuses the rest, while live requests come to it past them; with the replay's pace, and
with all sent at once, turn about.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import tempfile
import time
from pathlib import Path
from typing import Any

import uvloop
from laurelstep.engine.call import Answer, Call, Ending
from laurelstep.net.assembly import Assembly
from laurelstep.net.message import encode_headers
from laurelstep.outbox.driver import OutboxDriver
from laurelstep.outbox.options import OutboxSettings, QueuedClass
from laurelstep.outbox.replay_queue import ReplayPacer
from laurelstep.settings import config_from

from benchmarks.common import Child, median, percentile, progress

SETTINGS = {
    "classes": [
        {"name": "page", "aim-us": 500_000, "deadline-us": 2_000_000, "repeat": "retryable"},
        {
            "name": "put", "aim-us": 500_000, "deadline-us": 2_000_000, "repeat": "dedup",
            "dedup-scope": "all", "repeat-window-us": 5_000_000,
        },
    ],
    "ceilings": {"cancel": True, "max-attempts": 3, "max-streams": 1, "conn-idle-us": 10_000_000},
    "invariants": {"drain-grace-us": 500_000},
    "stage": 1,
}  # fmt: skip
CHAINS = 16
RATE, LIVE_S, ROUNDS = 300, 1.0, 4
REPLAYED = 1_500
SINGLE = 400
COST_REQUESTS, COST_TASKS = 1_500, 16
EDGES, EDGE_KEPT, EDGE_ROUNDS = 30, 20, 2
PLACES = 16
THIRTY_RATE = 150


def resident_kb(line: str = "VmRSS") -> int:
    text = Path("/proc/self/status").read_text()
    return int(next(one.split()[1] for one in text.splitlines() if one.startswith(line)))


class Frontend:
    """Waits for one answer."""

    def __init__(self) -> None:
        self.answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()

    def on_answer(self, call: Call, answer: Answer) -> None:
        self.answer.set_result(answer)


class Edge:
    """An engine, with an outbox unless it is told otherwise."""

    def __init__(self, parts: Assembly, driver: OutboxDriver | None, name: str) -> None:
        self.name = name
        self.parts = parts
        self.found = driver
        self.chains: list[bytes] = [b""] * CHAINS  # the last receipt of each
        self.number = 0
        self.sent: dict[tuple[int, int], int] = {}  # by round and chain

    @property
    def driver(self) -> OutboxDriver:
        assert self.found is not None
        return self.found

    @classmethod
    async def open(cls, folder: str, most: int = 100_000, name: str = "bench") -> Edge:
        """`folder`: of its store; empty for none."""
        config = config_from({"seed": "1", "settings": SETTINGS}, "benchmark")
        parts = Assembly(asyncio.get_running_loop(), config, lambda line: None)
        parts.start()
        if not folder:
            return cls(parts, None, name)
        settings = OutboxSettings(
            store_path=folder, edge=name, classes={"put": QueuedClass("keyed", 86_400_000_000)},
            max_writes=most, tenant_share=1.0, cut_us=10_000, back_us=10_000, max_deadline_us=2_000_000,
        )  # fmt: skip
        config.names.queueable_classes = frozenset((1,))
        driver = await OutboxDriver.open(settings, config.names.classes, {}, lambda line: None)
        driver.begin(parts.engine)
        return cls(parts, driver, name)

    def members(self, *ports: int) -> None:
        entries = [
            {
                "instanceId": f"s-{port}", "hostPort": f"127.0.0.1:{port}", "zone": "", "machineType": "",
                "cell": 0, "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0,
            }
            for port in ports
        ]  # fmt: skip
        self.parts.engine.on_list(1, True, entries)

    async def cut_off(self) -> None:
        """The list is empty, until it is known to be."""
        self.members()
        while not self.driver.cutoff.is_cut_off:
            await asyncio.sleep(0.01)
            self.driver.cutoff.tick(self.parts.engine.now())

    async def ask(self, cls: int, start: bytes, body: bytes = b"", token: bytes = b"") -> Answer:
        self.number += 1
        name = b"%s-%d" % (self.name.encode(), self.number)
        headers = [(b"x-request-id", name), (b"x-class", start[1:].partition(b" /")[2])]
        if cls:
            headers.append((b"idempotency-key", name))
        front, engine = Frontend(), self.parts.engine
        call = Call(cls, engine.now() + 2_000_000, start, encode_headers(headers), body, front, name)
        call.causal_dependencies = (token, b"", b"") if cls else ()
        engine.take(call)
        return await front.answer

    async def keep(self, count: int, together: int, first: int = 0, round_: int = 0) -> list[float]:
        """So many writes in chains, each after the one before it; the times of each, in s."""
        times: list[float] = []
        numbers = iter(range(first, first + count))

        async def one(place: int) -> None:
            chain = place % CHAINS
            for _ in numbers:
                self.sent[round_, chain] = self.sent.get((round_, chain), 0) + 1
                body = b"%s-%d-%d %d" % (self.name.encode(), round_, chain, self.sent[round_, chain])
                began = time.perf_counter()
                answer = await self.ask(1, b"POST /put", body, self.chains[chain])
                times.append(time.perf_counter() - began)
                assert answer.status == 202, answer.status
                self.chains[chain] = dict(answer.headers)[b"x-causal-token"]

        await asyncio.gather(*(one(place) for place in range(min(together, CHAINS))))
        return times

    async def replayed(self) -> None:
        while self.driver.outbox.count:
            await asyncio.sleep(0.005)

    async def close(self) -> None:
        if self.found is not None:
            await self.found.close()
        self.parts.close()


async def live(edge: Edge, seconds: float, replaying: bool) -> list[float]:
    """Times of requests at a fixed rate, in s; with a replay those that came while it went on."""
    times: list[float] = []

    async def one() -> None:
        began = time.perf_counter()
        answer = await edge.ask(0, b"GET /page")
        assert answer.ending is Ending.SERVED
        times.append(time.perf_counter() - began)

    tasks, began, end = [], time.perf_counter(), time.perf_counter() + seconds
    while time.perf_counter() < end and (not replaying or edge.driver.outbox.count):
        tasks.append(asyncio.create_task(one()))
        await asyncio.sleep(max(0.0, began + len(tasks) / RATE - time.perf_counter()))
    await asyncio.gather(*tasks)
    return times


async def adding(edge: Edge, folder: Path) -> dict[str, Any]:
    """A kept write, and a bare sync of as many bytes, turn about."""
    fd = os.open(folder / "sync", os.O_RDWR | os.O_CREAT)
    os.write(fd, bytes(1 << 20))
    os.fsync(fd)
    kept, bare = [], []
    for n in range(SINGLE):
        kept += await edge.keep(1, 1, first=n)
        began = time.perf_counter()
        os.pwrite(fd, bytes(256), n * 256)
        os.fdatasync(fd)
        bare.append(time.perf_counter() - began)
    os.close(fd)
    p50, sync = percentile(kept, 0.5), percentile(bare, 0.5)
    return {
        "held_added_p50_us": round(p50 * 1e6),
        "fsync_p50_us": round(sync * 1e6),
        "held_added_p50_over_fsync": round(p50 / sync, 2),
    }


async def replaying(edge: Edge, port: int) -> dict[str, Any]:
    without: list[float] = []
    beside: list[float] = []
    rates = []
    for n, _ in enumerate(progress([f"replay {n + 1}" for n in range(ROUNDS)]), start=1):
        await edge.cut_off()
        await edge.keep(REPLAYED, CHAINS, round_=n)
        edge.members(port)
        await asyncio.sleep(0)
        began = time.perf_counter()
        beside += await live(edge, 30.0, True)
        await edge.replayed()
        rates.append(REPLAYED / (time.perf_counter() - began))
        without += await live(edge, LIVE_S, False)
    p99, p99_without = percentile(beside, 0.99), percentile(without, 0.99)
    return {
        "replayed_per_s": round(median(rates)),
        "live_p99_without_ms": round(p99_without * 1000, 2),
        "live_p99_replay_ms": round(p99 * 1000, 2),
        "live_p99_replay_over_without": round(p99 / p99_without, 2),
        "live_requests": [len(without), len(beside)],
    }


async def cost(edges: dict[str, Edge]) -> float:
    """CPU of a live request with an outbox over one without, turn about."""
    seen: dict[str, list[float]] = {name: [] for name in edges}

    async def some(edge: Edge) -> None:
        for _ in range(COST_REQUESTS // COST_TASKS):
            await edge.ask(0, b"GET /page")

    for _ in range(2 * ROUNDS + 1):
        for name, edge in edges.items():
            began = time.thread_time()
            await asyncio.gather(*(some(edge) for _ in range(COST_TASKS)))
            seen[name].append(time.thread_time() - began)
    return round(median([a / b for a, b in zip(seen["on"], seen["off"], strict=True)]), 3)


class AllAtOnce(ReplayPacer):
    """No pace: what is ready goes."""

    def __init__(self) -> None:
        super().__init__(0, 0)

    def may_send(self, now: int) -> bool:
        return True


async def straight(port: int, times: list[float], refused: list[int]) -> None:
    """One live request to the stand-in, past all edges."""
    began = time.perf_counter()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET /page HTTP/1.1\r\nHost: a\r\n\r\n")
    status = (await reader.readuntil(b"ok"))[9:12]
    writer.close()
    if status == b"200":
        times.append(time.perf_counter() - began)
    else:
        refused.append(1)


async def returned(edges: list[Edge], port: int, paced: bool) -> dict[str, float]:
    """All edges keep their writes, then come back together; until all is replayed."""
    await asyncio.gather(*(edge.cut_off() for edge in edges))
    await asyncio.gather(*(edge.keep(EDGE_KEPT, CHAINS) for edge in edges))
    for edge in edges:
        edge.driver.outbox.pace = ReplayPacer(8, 1_000_000) if paced else AllAtOnce()
    times: list[float] = []
    refused: list[int] = []
    tasks, began = [], time.perf_counter()
    for edge in edges:
        edge.members(port)
    while any(edge.driver.outbox.count for edge in edges):
        tasks.append(asyncio.create_task(straight(port, times, refused)))
        await asyncio.sleep(max(0.0, began + len(tasks) / THIRTY_RATE - time.perf_counter()))
    took = time.perf_counter() - began
    await asyncio.gather(*tasks)
    return {"p99": percentile(times, 0.99), "refused": len(refused) / len(tasks), "took": took}


async def thirty(folder: Path, child: Child) -> dict[str, Any]:
    port = int(child.line())
    opening = [Edge.open(str(folder / f"edge{n}"), name=f"edge{n}") for n in range(EDGES)]
    edges = list(await asyncio.gather(*opening))
    found: dict[str, list[dict[str, float]]] = {"paced": [], "at_once": []}
    for _ in progress([f"thirty edges {n + 1}" for n in range(EDGE_ROUNDS)]):
        for name, seen in found.items():
            seen.append(await returned(edges, port, name == "paced"))
    await asyncio.gather(*(edge.close() for edge in edges))
    child.tell("tell")
    told = json.loads(child.line())
    return {
        **{
            f"thirty_{name}_{key}": round(scale * median([one[what] for one in seen]), 3)
            for name, seen in found.items()
            for key, what, scale in (
                ("live_p99_ms", "p99", 1000.0), ("live_refused", "refused", 1.0), ("s", "took", 1.0),
            )
        },
        "thirty_kept": 2 * EDGE_ROUNDS * EDGES * EDGE_KEPT,
        "thirty_ran": told["ran"],
        "thirty_refused_at_upstream": told["refused"],
    }  # fmt: skip


async def measured(folder: Path, child: Child) -> dict[str, Any]:
    port = int(child.line())
    edge, plain = await Edge.open(str(folder / "store")), await Edge.open("")
    await edge.cut_off()
    found = await adding(edge, folder)
    edge.members(port)
    await edge.replayed()
    found |= await replaying(edge, port)
    plain.members(port)
    found["request_cost_on_over_off"] = await cost({"on": edge, "off": plain})
    await edge.close()
    await plain.close()
    child.tell("tell")
    told = json.loads(child.line())
    kept = SINGLE + ROUNDS * REPLAYED
    return {**found, "kept": kept, **told, "lost": kept - told["ran"]}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--held", type=int, default=100_000, help="kept at once, for memory (100,000)")
    count = parser.parse_args().held
    with tempfile.TemporaryDirectory(prefix="laurelstep-", dir=os.getcwd()) as name:
        folder = Path(name)
        child = Child(["-m", "benchmarks.outbox_child", "endpoint"], 1)
        try:
            found = uvloop.run(measured(folder, child))
        finally:
            child.end()
        child = Child(["-m", "benchmarks.outbox_child", "tight", str(PLACES)], 1)
        try:
            found |= uvloop.run(thirty(folder, child))
        finally:
            child.end()
        holder = Child(["-m", "benchmarks.outbox_child", "held", str(folder / "held"), str(count)], 2)
        try:
            found |= json.loads(holder.line())
        finally:
            holder.end()
    print(json.dumps(found))


if __name__ == "__main__":
    main()
