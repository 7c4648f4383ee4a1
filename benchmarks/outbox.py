"""Queued writes: the time to queue one, the cost of a replay to live requests, memory and order of execution.

The edge's engine, outbox and store are in this process, the endpoint is in another one. Live requests are
sent at a fixed rate, alternately without and with a replay. Queued writes alternate with bare syncs of as
many bytes. `request_cost_on_over_off`: CPU of a live request with an outbox that queues nothing, over one
without an outbox.

`thirty`: thirty edges reconnect at once to a stand-in upstream that serves `UPSTREAM_SLOTS` requests at a
time, queues as many and refuses the rest, while it receives live requests directly. Paced replays alternate
with replays that send everything at once.
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
REPLAYED_WRITES = 1_500
SINGLE_WRITES = 400
COST_REQUESTS, COST_TASKS = 1_500, 16
EDGES, WRITES_PER_EDGE, EDGE_ROUNDS = 30, 20, 2
UPSTREAM_SLOTS = 16
DIRECT_RATE = 150


def resident_kb(field: str = "VmRSS") -> int:
    text = Path("/proc/self/status").read_text()
    return int(next(line.split()[1] for line in text.splitlines() if line.startswith(field)))


class Frontend:
    """Receives the answer to one call."""

    def __init__(self) -> None:
        self.answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()

    def on_answer(self, call: Call, answer: Answer) -> None:
        self.answer.set_result(answer)


class Edge:
    """An engine, with an outbox if it has a driver."""

    def __init__(self, assembly: Assembly, driver: OutboxDriver | None, name: str) -> None:
        self.name = name
        self.assembly = assembly
        self.optional_driver = driver
        self.last_receipts: list[bytes] = [b""] * CHAINS  # by chain, whose next write depends on it
        self.request_count = 0
        self.write_counts: dict[tuple[int, int], int] = {}  # by round and chain

    @property
    def driver(self) -> OutboxDriver:
        assert self.optional_driver is not None
        return self.optional_driver

    @classmethod
    async def open(cls, folder: str, max_writes: int = 100_000, name: str = "bench") -> Edge:
        """Open an edge with its store in `folder`, or without an outbox if that is empty."""
        config = config_from({"seed": "1", "settings": SETTINGS}, "benchmark")
        assembly = Assembly(asyncio.get_running_loop(), config, lambda line: None)
        assembly.start()
        if not folder:
            return cls(assembly, None, name)
        settings = OutboxSettings(
            store_path=folder, edge=name, classes={"put": QueuedClass("keyed", 86_400_000_000)},
            max_writes=max_writes, tenant_share=1.0, cut_us=10_000, back_us=10_000, max_deadline_us=2_000_000,
        )  # fmt: skip
        config.names.queueable_classes = frozenset((1,))
        driver = await OutboxDriver.open(settings, config.names.classes, {}, lambda line: None)
        driver.begin(assembly.engine)
        return cls(assembly, driver, name)

    def set_endpoints(self, *ports: int) -> None:
        entries = [
            {
                "instanceId": f"s-{port}", "hostPort": f"127.0.0.1:{port}", "zone": "", "machineType": "",
                "cell": 0, "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0,
            }
            for port in ports
        ]  # fmt: skip
        self.assembly.engine.on_list(1, True, entries)

    async def cut_off(self) -> None:
        """Withdraw all endpoints, and wait until the edge counts as cut off."""
        self.set_endpoints()
        while not self.driver.cutoff.is_cut_off:
            await asyncio.sleep(0.01)
            self.driver.cutoff.tick(self.assembly.engine.now())

    async def send(self, cls: int, start_line: bytes, body: bytes = b"", receipt: bytes = b"") -> Answer:
        self.request_count += 1
        name = b"%s-%d" % (self.name.encode(), self.request_count)
        headers = [(b"x-request-id", name), (b"x-class", start_line[1:].partition(b" /")[2])]
        if cls:
            headers.append((b"idempotency-key", name))
        frontend, engine = Frontend(), self.assembly.engine
        call = Call(cls, engine.now() + 2_000_000, start_line, encode_headers(headers), body, frontend, name)
        call.causal_dependencies = (receipt, b"", b"") if cls else ()
        engine.take(call)
        return await frontend.answer

    async def queue_writes(self, count: int, tasks: int, first: int = 0, round_: int = 0) -> list[float]:
        """Queue `count` writes in chains, each write after the one before it. Returns the time of each, s."""
        times: list[float] = []
        numbers = iter(range(first, first + count))

        async def run_chain(place: int) -> None:
            chain = place % CHAINS
            for _ in numbers:
                self.write_counts[round_, chain] = self.write_counts.get((round_, chain), 0) + 1
                body = b"%s-%d-%d %d" % (self.name.encode(), round_, chain, self.write_counts[round_, chain])
                began = time.perf_counter()
                answer = await self.send(1, b"POST /put", body, self.last_receipts[chain])
                times.append(time.perf_counter() - began)
                assert answer.status == 202, answer.status
                self.last_receipts[chain] = dict(answer.headers)[b"x-causal-token"]

        await asyncio.gather(*(run_chain(place) for place in range(min(tasks, CHAINS))))
        return times

    async def wait_until_replayed(self) -> None:
        while self.driver.outbox.count:
            await asyncio.sleep(0.005)

    async def close(self) -> None:
        if self.optional_driver is not None:
            await self.optional_driver.close()
        self.assembly.close()


async def send_live_requests(edge: Edge, seconds: float, is_replaying: bool) -> list[float]:
    """Send requests at a fixed rate, for `seconds` or while a replay goes on. Returns their times, s."""
    times: list[float] = []

    async def send_one() -> None:
        began = time.perf_counter()
        answer = await edge.send(0, b"GET /page")
        assert answer.ending is Ending.SERVED
        times.append(time.perf_counter() - began)

    tasks, began, end = [], time.perf_counter(), time.perf_counter() + seconds
    while time.perf_counter() < end and (not is_replaying or edge.driver.outbox.count):
        tasks.append(asyncio.create_task(send_one()))
        await asyncio.sleep(max(0.0, began + len(tasks) / RATE - time.perf_counter()))
    await asyncio.gather(*tasks)
    return times


async def measure_queueing(edge: Edge, folder: Path) -> dict[str, Any]:
    """Alternate queued writes with bare syncs of as many bytes."""
    fd = os.open(folder / "sync", os.O_RDWR | os.O_CREAT)
    os.write(fd, bytes(1 << 20))
    os.fsync(fd)
    queued, bare = [], []
    for n in range(SINGLE_WRITES):
        queued += await edge.queue_writes(1, 1, first=n)
        began = time.perf_counter()
        os.pwrite(fd, bytes(256), n * 256)
        os.fdatasync(fd)
        bare.append(time.perf_counter() - began)
    os.close(fd)
    p50, sync = percentile(queued, 0.5), percentile(bare, 0.5)
    return {
        "held_added_p50_us": round(p50 * 1e6),
        "fsync_p50_us": round(sync * 1e6),
        "held_added_p50_over_fsync": round(p50 / sync, 2),
    }


async def measure_replay(edge: Edge, port: int) -> dict[str, Any]:
    without: list[float] = []
    during_replay: list[float] = []
    rates = []
    for n, _ in enumerate(progress([f"replay {n + 1}" for n in range(ROUNDS)]), start=1):
        await edge.cut_off()
        await edge.queue_writes(REPLAYED_WRITES, CHAINS, round_=n)
        edge.set_endpoints(port)
        await asyncio.sleep(0)
        began = time.perf_counter()
        during_replay += await send_live_requests(edge, 30.0, True)
        await edge.wait_until_replayed()
        rates.append(REPLAYED_WRITES / (time.perf_counter() - began))
        without += await send_live_requests(edge, LIVE_S, False)
    p99, p99_without = percentile(during_replay, 0.99), percentile(without, 0.99)
    return {
        "replayed_per_s": round(median(rates)),
        "live_p99_without_ms": round(p99_without * 1000, 2),
        "live_p99_replay_ms": round(p99 * 1000, 2),
        "live_p99_replay_over_without": round(p99 / p99_without, 2),
        "live_requests": [len(without), len(during_replay)],
    }


async def measure_request_cost(edges: dict[str, Edge]) -> float:
    """The CPU of a live request with an outbox over one without, measured alternately."""
    values: dict[str, list[float]] = {name: [] for name in edges}

    async def send_share(edge: Edge) -> None:
        for _ in range(COST_REQUESTS // COST_TASKS):
            await edge.send(0, b"GET /page")

    for _ in range(2 * ROUNDS + 1):
        for name, edge in edges.items():
            began = time.thread_time()
            await asyncio.gather(*(send_share(edge) for _ in range(COST_TASKS)))
            values[name].append(time.thread_time() - began)
    return round(median([a / b for a, b in zip(values["on"], values["off"], strict=True)]), 3)


class UnpacedReplay(ReplayPacer):
    """Replays each write as soon as it is ready."""

    def __init__(self) -> None:
        super().__init__(0, 0)

    def may_send(self, now: int) -> bool:
        return True


async def send_directly(port: int, times: list[float], refused: list[int]) -> None:
    """Send one live request to the stand-in, bypassing the edges."""
    began = time.perf_counter()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET /page HTTP/1.1\r\nHost: a\r\n\r\n")
    status = (await reader.readuntil(b"ok"))[9:12]
    writer.close()
    if status == b"200":
        times.append(time.perf_counter() - began)
    else:
        refused.append(1)


async def measure_reconnect(edges: list[Edge], port: int, is_paced: bool) -> dict[str, float]:
    """All edges queue their writes, then reconnect together. Ends when all writes are replayed."""
    await asyncio.gather(*(edge.cut_off() for edge in edges))
    await asyncio.gather(*(edge.queue_writes(WRITES_PER_EDGE, CHAINS) for edge in edges))
    for edge in edges:
        edge.driver.outbox.pace = ReplayPacer(8, 1_000_000) if is_paced else UnpacedReplay()
    times: list[float] = []
    refused: list[int] = []
    tasks, began = [], time.perf_counter()
    for edge in edges:
        edge.set_endpoints(port)
    while any(edge.driver.outbox.count for edge in edges):
        tasks.append(asyncio.create_task(send_directly(port, times, refused)))
        await asyncio.sleep(max(0.0, began + len(tasks) / DIRECT_RATE - time.perf_counter()))
    duration_s = time.perf_counter() - began
    await asyncio.gather(*tasks)
    return {"p99": percentile(times, 0.99), "refused": len(refused) / len(tasks), "took": duration_s}


async def measure_thirty_edges(folder: Path, child: Child) -> dict[str, Any]:
    port = int(child.read_line())
    opening = [Edge.open(str(folder / f"edge{n}"), name=f"edge{n}") for n in range(EDGES)]
    edges = list(await asyncio.gather(*opening))
    results: dict[str, list[dict[str, float]]] = {"paced": [], "at_once": []}
    for _ in progress([f"thirty edges {n + 1}" for n in range(EDGE_ROUNDS)]):
        for name, values in results.items():
            values.append(await measure_reconnect(edges, port, name == "paced"))
    await asyncio.gather(*(edge.close() for edge in edges))
    child.write_line("report")
    report = json.loads(child.read_line())
    return {
        **{
            f"thirty_{name}_{key}": round(scale * median([result[field] for result in values]), 3)
            for name, values in results.items()
            for key, field, scale in (
                ("live_p99_ms", "p99", 1000.0), ("live_refused", "refused", 1.0), ("s", "took", 1.0),
            )
        },
        "thirty_kept": 2 * EDGE_ROUNDS * EDGES * WRITES_PER_EDGE,
        "thirty_ran": report["ran"],
        "thirty_refused_at_upstream": report["refused"],
    }  # fmt: skip


async def measure(folder: Path, child: Child) -> dict[str, Any]:
    port = int(child.read_line())
    edge, edge_without_outbox = await Edge.open(str(folder / "store")), await Edge.open("")
    await edge.cut_off()
    results = await measure_queueing(edge, folder)
    edge.set_endpoints(port)
    await edge.wait_until_replayed()
    results |= await measure_replay(edge, port)
    edge_without_outbox.set_endpoints(port)
    results["request_cost_on_over_off"] = await measure_request_cost({"on": edge, "off": edge_without_outbox})
    await edge.close()
    await edge_without_outbox.close()
    child.write_line("report")
    report = json.loads(child.read_line())
    queued = SINGLE_WRITES + ROUNDS * REPLAYED_WRITES
    return {**results, "kept": queued, **report, "lost": queued - report["ran"]}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--held", type=int, default=100_000, help="writes queued to measure memory (100,000)")
    count = parser.parse_args().held
    with tempfile.TemporaryDirectory(prefix="laurelstep-", dir=os.getcwd()) as name:
        folder = Path(name)
        child = Child(["-m", "benchmarks.outbox_child", "endpoint"], 1)
        try:
            results = uvloop.run(measure(folder, child))
        finally:
            child.stop()
        child = Child(["-m", "benchmarks.outbox_child", "tight", str(UPSTREAM_SLOTS)], 1)
        try:
            results |= uvloop.run(measure_thirty_edges(folder, child))
        finally:
            child.stop()
        holder = Child(["-m", "benchmarks.outbox_child", "held", str(folder / "held"), str(count)], 2)
        try:
            results |= json.loads(holder.read_line())
        finally:
            holder.stop()
    print(json.dumps(results))


if __name__ == "__main__":
    main()
