"""The measured process of `benchmarks.fleet`: the daemon's parts, watching a played discovery."""

from __future__ import annotations

import asyncio
import gc
import json
import sys
import time
from pathlib import Path
from typing import Any

import uvloop
from laurelstep.balancing.events import OK
from laurelstep.engine import Answer, Attempt, Call, Ending
from laurelstep.engine.engine import Engine
from laurelstep.net.assembly import Assembly
from laurelstep.net.collector import Collector
from laurelstep.net.discovery import Discovery
from laurelstep.settings import config_from

from benchmarks.common import median, percentile
from benchmarks.fleet import STORM, entry

CHANGES, REQUESTS, ROUNDS = 1_000, 1_000, 15
CLASSES = [{"name": "view", "aim-us": 500_000, "deadline-us": 2_000_000, "repeat": "retryable"}]


class Probe:
    """The longest time between two turns of the loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.longest = 0.0
        self.last = time.perf_counter()
        self.loop.call_soon(self._turn)

    def _turn(self) -> None:
        now = time.perf_counter()
        self.longest = max(self.longest, now - self.last)
        self.last = now
        self.loop.call_soon(self._turn)

    def take(self) -> float:
        """In ms, since it was last taken."""
        longest, self.longest = self.longest, 0.0
        return round(1000 * longest, 3)


class Instant:
    """An upstream whose endpoints have answered when they are asked."""

    idle_us = 6_000_000

    def set_address(self, endpoint: int, address: str) -> None: ...

    def remove(self, endpoint: int) -> None: ...

    def close_idle(self, endpoint: int) -> None: ...

    def cancel(self, attempt: Attempt) -> None: ...

    def send(self, attempt: Attempt) -> None:
        attempt.end(OK, Answer(Ending.SERVED, 200, (), b"ok"))


class Frontend:
    answered_count = 0

    def on_answer(self, call: Call, answer: Answer) -> None:
        self.answered_count += answer.status == 200


def rss_kb() -> int:
    text = Path("/proc/self/status").read_text()
    return int(next(line.split()[1] for line in text.splitlines() if line.startswith("VmRSS")))


async def until(source: Discovery, generation: int) -> float:
    """The next of what discovery plays; ms until it is applied."""
    print("next", flush=True)
    began = time.perf_counter()
    while source.generation < generation:
        await asyncio.sleep(0)
    return round(1000 * (time.perf_counter() - began), 3)


def time_changes(engine: Engine) -> list[float]:
    """Each in ms: an endpoint leaves, and returns."""
    times = []
    for number in range(CHANGES):
        phase = ("draining", "ready")[number % 2]
        listed = [entry(number // 2 % 30, lifecycle=phase)]
        began = time.perf_counter()
        engine.on_list(engine.last_call_id, False, listed)
        times.append(1000 * (time.perf_counter() - began))
    return times


def time_requests(engine: Engine) -> float:
    """µs a request."""
    front = Frontend()
    began = time.perf_counter()
    for _ in range(REQUESTS):
        engine.take(Call(0, engine.now() + 2_000_000, b"GET /view", b"", b"", front))
    took = time.perf_counter() - began
    assert front.answered_count == REQUESTS
    return 1e6 * took / REQUESTS


async def measure(port: int, copies: int) -> dict[str, Any]:
    settings = {
        "me": copies // 2, "instances": copies, "classes": CLASSES, "stage": 1, "discovery": "push",
        "zones": ["a"], "ceilings": {"max-attempts": 3}, "invariants": {"drain-grace-us": 500_000},
    }  # fmt: skip
    raw = {"seed": "1", "discovery": f"127.0.0.1:{port}", "settings": settings}
    gc.collect()
    before = rss_kb()
    loop = asyncio.get_running_loop()
    parts = Assembly(loop, config_from(raw, "fleet"), print, collector=Collector())
    source = parts.source
    assert isinstance(source, Discovery)
    probe = Probe(loop)
    parts.start()
    found: dict[str, Any] = {"full_ms": await until(source, 1)}
    found["full_hold_ms"] = probe.take()
    gc.collect()
    found["memory_kb"] = rss_kb() - before
    probe.last = time.perf_counter()
    probe.take()
    found["again_ms"] = await until(source, 2)
    found["again_hold_ms"] = probe.take()
    await until(source, STORM + 2)
    found["storm_hold_ms"] = probe.take()
    parts.engine.upstream = Instant()
    changes = time_changes(parts.engine)
    found["delta_ms"] = round(median(changes), 4)
    found["delta_p99_ms"] = round(percentile(changes, 0.99), 4)
    small = Assembly(loop, config_from(raw, "fleet"), print, members=[entry(name) for name in range(30)])
    small.start()
    small.engine.upstream = Instant()
    # Turn about with a copy of a fleet of 30 in the same process: its speed changes from one
    # second to the next.
    pairs = [(time_requests(small.engine), time_requests(parts.engine)) for _ in range(ROUNDS)]
    found["request_us"] = round(median([big for _, big in pairs]), 2)
    found["request_over_30"] = round(median([big / least for least, big in pairs]), 3)
    found["listed"] = len(parts.engine.endpoints.by_number)
    parts.close()
    return found


def main() -> None:
    gc.set_threshold(5_000, 10, 10)
    gc.freeze()
    print(json.dumps(uvloop.run(measure(int(sys.argv[1]), int(sys.argv[2])))), flush=True)


if __name__ == "__main__":
    main()
