"""The store compared with bare syncs and SQLite, alternately on the same disk.

Durable writes a second of 1 and 64 writers: the store, an fsync for each write of the same
bytes, and SQLite (WAL, synchronous=FULL). SQLite has one writer: with 64, all pending writes form
one transaction, as in a program that groups its commits. Recovery and memory are those of a store
of `--keys` keys; stalls are the longest iterations of the loop during a compaction.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import os
import resource
import sqlite3
import tempfile
import time
from collections import deque
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import uvloop
from laurelstep.library import Client, Member, Request
from laurelstep.request_journal import JournalClass, JournalSettings
from laurelstep.settings import config_from
from laurelstep.store import FolderDisk, Store, StoreOptions
from laurelstep.testing import Endpoint

from benchmarks.common import median, percentile, progress

VALUE = b"v" * 100
ROUNDS, ROUND_S = 5, 0.7
MANY = 64  # writers at once; the alternative is one
ORDERS = 1_000
SETTINGS = {
    "classes": [{"name": "pay", "aim-us": 500_000, "deadline-us": 2_000_000, "repeat": "fragile"}],
    "ceilings": {"cancel": True, "max-attempts": 3, "max-streams": 1, "conn-idle-us": 10_000_000},
    "invariants": {"drain-grace-us": 500_000},
    "stage": 1,
}


def key_of(number: int) -> bytes:
    return b"%016d" % number


async def write_rate(count: int, seconds: float, write: Any) -> float:
    """The writes a second of `count` concurrent writers, each with one write at a time."""
    end = time.perf_counter() + seconds
    done = 0

    async def run_writer(writer: int) -> None:
        nonlocal done
        number = writer
        while time.perf_counter() < end:
            await write(key_of(number), VALUE)
            number += count
            done += 1

    began = time.perf_counter()
    await asyncio.gather(*(run_writer(writer) for writer in range(count)))
    return done / (time.perf_counter() - began)


class FsyncWriter:
    """Appends and syncs each write separately, on a thread."""

    def __init__(self, folder: Path) -> None:
        self.fd = os.open(folder / "bare", os.O_RDWR | os.O_CREAT)
        self.thread = ThreadPoolExecutor(1)

    def append_and_sync(self, data: bytes) -> None:
        os.write(self.fd, data)
        os.fdatasync(self.fd)

    async def write(self, key: bytes, value: bytes) -> None:
        await asyncio.get_running_loop().run_in_executor(self.thread, self.append_and_sync, key + value)


class SqliteWriter:
    """One connection on a thread; all pending writes form one transaction."""

    def __init__(self, folder: Path) -> None:
        self.thread = ThreadPoolExecutor(1)
        self.pending: deque[tuple[bytes, bytes, asyncio.Future[None]]] = deque()
        self.task: asyncio.Task[None] | None = None
        self.db = self.thread.submit(self.connect, folder).result()

    def connect(self, folder: Path) -> sqlite3.Connection:
        db = sqlite3.connect(folder / "sqlite.db", isolation_level=None)
        db.execute("pragma journal_mode=wal")
        db.execute("pragma synchronous=full")
        db.execute("create table kv (k blob primary key, v blob) without rowid")
        return db

    def write_batch(self, batch: list[tuple[bytes, bytes]]) -> None:
        self.db.execute("begin")
        self.db.executemany("insert or replace into kv values (?, ?)", batch)
        self.db.execute("commit")

    async def write(self, key: bytes, value: bytes) -> None:
        done = asyncio.get_running_loop().create_future()
        self.pending.append((key, value, done))
        if self.task is None:
            self.task = asyncio.get_running_loop().create_task(self.commit_pending())
        await done

    async def commit_pending(self) -> None:
        while self.pending:
            batch = list(self.pending)
            self.pending.clear()
            pairs = [(key, value) for key, value, _ in batch]
            await asyncio.get_running_loop().run_in_executor(self.thread, self.write_batch, pairs)
            for _, _, done in batch:
                done.set_result(None)
        self.task = None


async def measure_write_rates(folder: Path) -> dict[str, Any]:
    store = await Store.open(FolderDisk(folder / "store"), StoreOptions(max_bytes=1 << 34))
    writers = {"store": store.put, "fsync": FsyncWriter(folder).write, "sqlite": SqliteWriter(folder).write}
    results: dict[tuple[str, int], list[float]] = {(name, n): [] for name in writers for n in (1, MANY)}
    plan = [(name, n) for _ in range(ROUNDS) for n in (1, MANY) for name in writers]
    names = [f"{name}, {n} writers" for name, n in plan]
    for (name, n), _ in zip(plan, progress(names), strict=True):
        results[name, n].append(await write_rate(n, ROUND_S, writers[name]))
    await store.close()

    def ratio(n: int, reference: str) -> float:
        pairs = zip(results["store", n], results[reference, n], strict=True)
        return round(median([a / b for a, b in pairs]), 2)

    return {
        "writes1_per_s": round(median(results["store", 1])),
        "writes64_per_s": round(median(results["store", MANY])),
        "writes1_over_fsync": ratio(1, "fsync"),
        "writes64_over_fsync": ratio(MANY, "fsync"),
        "writes1_over_sqlite": ratio(1, "sqlite"),
        "writes64_over_sqlite": ratio(MANY, "sqlite"),
    }


def resident_kb() -> int:
    text = Path("/proc/self/status").read_text()
    return int(next(line.split()[1] for line in text.splitlines() if line.startswith("VmRSS")))


async def fill_store(folder: Path, keys: int) -> None:
    async with await Store.open(FolderDisk(folder), StoreOptions(max_bytes=1 << 34)) as store:
        for start in range(0, keys, 4096):
            batch_numbers = range(start, min(keys, start + 4096))
            await asyncio.gather(*(store.put(key_of(n), VALUE) for n in batch_numbers))


async def measure_large_store(folder: Path, keys: int) -> dict[str, Any]:
    await fill_store(folder, keys)
    gc.collect()
    before, began = resident_kb(), time.perf_counter()
    store = await Store.open(FolderDisk(folder), StoreOptions(max_bytes=1 << 34))
    recovery_s = time.perf_counter() - began
    gc.collect()
    grown = (resident_kb() - before) * 1024
    for start in range(0, keys // 2, 4096):  # half of the keys are written again, which leaves garbage
        await asyncio.gather(*(store.put(key_of(n), VALUE) for n in range(start, start + 4096)))
    iteration_times: list[float] = []
    is_done = False

    async def probe() -> None:
        last = time.perf_counter()
        while not is_done:
            await asyncio.sleep(0)
            now = time.perf_counter()
            iteration_times.append(now - last)
            last = now

    if store.compactor.task is not None:
        await asyncio.wait((store.compactor.task,))
    probe_task = asyncio.create_task(probe())
    began = time.perf_counter()
    await store.compact()
    compaction_s = time.perf_counter() - began
    is_done = True
    await probe_task
    await store.close()
    return {
        "keys": keys,
        "recover_s_per_million": round(recovery_s * 1e6 / keys, 2),
        "index_bytes_per_key": round(grown / keys),
        "compaction_s": round(compaction_s, 2),
        "compaction_stall_ms": round(1000 * max(iteration_times), 2),
        "compaction_stall_p999_ms": round(1000 * percentile(iteration_times, 0.999), 2),
    }


async def measure_journal_cost(folder: Path) -> dict[str, Any]:
    """The time that the request journal adds to a request, alternating with a bare sync of as many bytes."""
    async with Endpoint(records_requests=False) as endpoint:
        members = [Member("s-1", f"127.0.0.1:{endpoint.port}")]
        recorded = JournalSettings(str(folder / "orders"), {"pay": JournalClass(header=b"x-order-id")})
        raw = {"seed": "1", "settings": SETTINGS}
        fd = os.open(folder / "sync", os.O_RDWR | os.O_CREAT)
        os.write(fd, bytes(1 << 20))
        os.fsync(fd)
        results: dict[str, list[float]] = {"plain": [], "recorded": [], "fsync": []}
        async with (
            Client.open(config_from(raw, "plain"), members) as plain,
            Client.open(config_from(raw, "recorded", recorded), members) as client,
        ):
            for n in range(ORDERS):
                request = Request("pay", "/pay", "POST", body=VALUE, headers={"X-Order-Id": str(n)})
                for name, sender in (("plain", plain), ("recorded", client)):
                    began = time.perf_counter()
                    reply = await sender.send(request)
                    results[name].append(time.perf_counter() - began)
                    assert reply.outcome == "served"
                began = time.perf_counter()
                os.pwrite(fd, VALUE, n * len(VALUE))
                os.fdatasync(fd)
                results["fsync"].append(time.perf_counter() - began)
    sync = percentile(results["fsync"], 0.5)
    p50 = percentile(results["recorded"], 0.5) - percentile(results["plain"], 0.5)
    p99 = percentile(results["recorded"], 0.99) - percentile(results["plain"], 0.99)
    return {
        "fsync_p50_us": round(sync * 1e6),
        "orders_added_p50_us": round(p50 * 1e6),
        "orders_added_p99_us": round(p99 * 1e6),
        "orders_added_p50_over_fsync": round(p50 / sync, 2),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keys", type=int, default=300_000, help="keys of the large store (300,000)")
    keys = parser.parse_args().keys
    with tempfile.TemporaryDirectory(prefix="laurelstep-", dir=os.getcwd()) as name:
        folder = Path(name)
        figures = uvloop.run(measure_write_rates(folder))
        figures |= uvloop.run(measure_journal_cost(folder))
        figures |= uvloop.run(measure_large_store(folder / "large", keys))
    figures["peak_mb"] = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
