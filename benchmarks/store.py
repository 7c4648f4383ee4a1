"""The store against bare syncs and SQLite, on the same disk and turn about.

Durable writes a second of 1 and 64 writers: the store, an fsync for each write of the same
bytes, and SQLite (WAL, synchronous=FULL). SQLite has one writer: with 64, what waits is put
into one transaction, as a program that groups its commits would. Recovery and memory are
those of a store of `--keys` keys; stalls are the loop's longest turn while it is compacted.
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
ROUNDS, SLICE_S = 5, 0.7
MANY = 64
ORDERS = 1_000
SETTINGS = {
    "classes": [{"name": "pay", "aim-us": 500_000, "deadline-us": 2_000_000, "repeat": "fragile"}],
    "ceilings": {"cancel": True, "max-attempts": 3, "max-streams": 1, "conn-idle-us": 10_000_000},
    "invariants": {"drain-grace-us": 500_000},
    "stage": 1,
}


def key_of(number: int) -> bytes:
    return b"%016d" % number


async def writers(count: int, seconds: float, write: Any) -> float:
    """Writes a second of so many writers, each waiting for its own."""
    end = time.perf_counter() + seconds
    done = 0

    async def one(place: int) -> None:
        nonlocal done
        number = place
        while time.perf_counter() < end:
            await write(key_of(number), VALUE)
            number += count
            done += 1

    began = time.perf_counter()
    await asyncio.gather(*(one(place) for place in range(count)))
    return done / (time.perf_counter() - began)


class Fsyncs:
    """Each write appended and synced by itself, on a thread."""

    def __init__(self, folder: Path) -> None:
        self.fd = os.open(folder / "bare", os.O_RDWR | os.O_CREAT)
        self.thread = ThreadPoolExecutor(1)

    def work(self, data: bytes) -> None:
        os.write(self.fd, data)
        os.fdatasync(self.fd)

    async def write(self, key: bytes, value: bytes) -> None:
        await asyncio.get_running_loop().run_in_executor(self.thread, self.work, key + value)


class Sqlite:
    """One connection on a thread; what waits is one transaction."""

    def __init__(self, folder: Path) -> None:
        self.thread = ThreadPoolExecutor(1)
        self.waiting: deque[tuple[bytes, bytes, asyncio.Future[None]]] = deque()
        self.task: asyncio.Task[None] | None = None
        self.db = self.thread.submit(self.connect, folder).result()

    def connect(self, folder: Path) -> sqlite3.Connection:
        db = sqlite3.connect(folder / "sqlite.db", isolation_level=None)
        db.execute("pragma journal_mode=wal")
        db.execute("pragma synchronous=full")
        db.execute("create table kv (k blob primary key, v blob) without rowid")
        return db

    def work(self, batch: list[tuple[bytes, bytes]]) -> None:
        self.db.execute("begin")
        self.db.executemany("insert or replace into kv values (?, ?)", batch)
        self.db.execute("commit")

    async def write(self, key: bytes, value: bytes) -> None:
        done = asyncio.get_running_loop().create_future()
        self.waiting.append((key, value, done))
        if self.task is None:
            self.task = asyncio.get_running_loop().create_task(self.commit())
        await done

    async def commit(self) -> None:
        while self.waiting:
            batch = list(self.waiting)
            self.waiting.clear()
            pairs = [(key, value) for key, value, _ in batch]
            await asyncio.get_running_loop().run_in_executor(self.thread, self.work, pairs)
            for _, _, done in batch:
                done.set_result(None)
        self.task = None


async def speeds(folder: Path) -> dict[str, Any]:
    store = await Store.open(FolderDisk(folder / "store"), StoreOptions(max_bytes=1 << 34))
    contenders = {"store": store.put, "fsync": Fsyncs(folder).write, "sqlite": Sqlite(folder).write}
    seen: dict[tuple[str, int], list[float]] = {(name, n): [] for name in contenders for n in (1, MANY)}
    plan = [(name, n) for _ in range(ROUNDS) for n in (1, MANY) for name in contenders]
    names = [f"{name}, {n} writers" for name, n in plan]
    for (name, n), _ in zip(plan, progress(names), strict=True):
        seen[name, n].append(await writers(n, SLICE_S, contenders[name]))
    await store.close()

    def over(n: int, other: str) -> float:
        pairs = zip(seen["store", n], seen[other, n], strict=True)
        return round(median([a / b for a, b in pairs]), 2)

    return {
        "writes1_per_s": round(median(seen["store", 1])),
        "writes64_per_s": round(median(seen["store", MANY])),
        "writes1_over_fsync": over(1, "fsync"),
        "writes64_over_fsync": over(MANY, "fsync"),
        "writes1_over_sqlite": over(1, "sqlite"),
        "writes64_over_sqlite": over(MANY, "sqlite"),
    }


def resident_kb() -> int:
    text = Path("/proc/self/status").read_text()
    return int(next(line.split()[1] for line in text.splitlines() if line.startswith("VmRSS")))


async def filled(folder: Path, keys: int) -> None:
    async with await Store.open(FolderDisk(folder), StoreOptions(max_bytes=1 << 34)) as store:
        for start in range(0, keys, 4096):
            part = range(start, min(keys, start + 4096))
            await asyncio.gather(*(store.put(key_of(n), VALUE) for n in part))


async def large(folder: Path, keys: int) -> dict[str, Any]:
    await filled(folder, keys)
    gc.collect()
    before, began = resident_kb(), time.perf_counter()
    store = await Store.open(FolderDisk(folder), StoreOptions(max_bytes=1 << 34))
    took = time.perf_counter() - began
    gc.collect()
    grown = (resident_kb() - before) * 1024
    for start in range(0, keys // 2, 4096):  # half of it is written anew: garbage
        await asyncio.gather(*(store.put(key_of(n), VALUE) for n in range(start, start + 4096)))
    turns: list[float] = []
    over = False

    async def probe() -> None:
        last = time.perf_counter()
        while not over:
            await asyncio.sleep(0)
            now = time.perf_counter()
            turns.append(now - last)
            last = now

    if store.compactor.task is not None:
        await asyncio.wait((store.compactor.task,))
    probing = asyncio.create_task(probe())
    began = time.perf_counter()
    await store.compact()
    compacted = time.perf_counter() - began
    over = True
    await probing
    await store.close()
    return {
        "keys": keys,
        "recover_s_per_million": round(took * 1e6 / keys, 2),
        "index_bytes_per_key": round(grown / keys),
        "compaction_s": round(compacted, 2),
        "compaction_stall_ms": round(1000 * max(turns), 2),
        "compaction_stall_p999_ms": round(1000 * percentile(turns, 0.999), 2),
    }


async def added(folder: Path) -> dict[str, Any]:
    """What the record adds to an order, and one bare sync of as many bytes, turn about."""
    async with Endpoint(records_requests=False) as endpoint:
        members = [Member("s-1", f"127.0.0.1:{endpoint.port}")]
        recorded = JournalSettings(str(folder / "orders"), {"pay": JournalClass(header=b"x-order-id")})
        raw = {"seed": "1", "settings": SETTINGS}
        fd = os.open(folder / "sync", os.O_RDWR | os.O_CREAT)
        os.write(fd, bytes(1 << 20))
        os.fsync(fd)
        seen: dict[str, list[float]] = {"plain": [], "recorded": [], "fsync": []}
        async with (
            Client.open(config_from(raw, "plain"), members) as plain,
            Client.open(config_from(raw, "recorded", recorded), members) as client,
        ):
            for n in range(ORDERS):
                request = Request("pay", "/pay", "POST", body=VALUE, headers={"X-Order-Id": str(n)})
                for name, one in (("plain", plain), ("recorded", client)):
                    began = time.perf_counter()
                    reply = await one.send(request)
                    seen[name].append(time.perf_counter() - began)
                    assert reply.outcome == "served"
                began = time.perf_counter()
                os.pwrite(fd, VALUE, n * len(VALUE))
                os.fdatasync(fd)
                seen["fsync"].append(time.perf_counter() - began)
    sync = percentile(seen["fsync"], 0.5)
    p50 = percentile(seen["recorded"], 0.5) - percentile(seen["plain"], 0.5)
    p99 = percentile(seen["recorded"], 0.99) - percentile(seen["plain"], 0.99)
    return {
        "fsync_p50_us": round(sync * 1e6),
        "orders_added_p50_us": round(p50 * 1e6),
        "orders_added_p99_us": round(p99 * 1e6),
        "orders_added_p50_over_fsync": round(p50 / sync, 2),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keys", type=int, default=300_000, help="of the large store (300,000)")
    keys = parser.parse_args().keys
    with tempfile.TemporaryDirectory(prefix="laurelstep-", dir=os.getcwd()) as name:
        folder = Path(name)
        found = uvloop.run(speeds(folder))
        found |= uvloop.run(added(folder))
        found |= uvloop.run(large(folder / "large", keys))
    found["peak_mb"] = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024
    print(json.dumps(found))


if __name__ == "__main__":
    main()
