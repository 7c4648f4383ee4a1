"""The measured process of `benchmarks.fleet`: the daemon's parts watching a played discovery."""

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
from benchmarks.fleet import STORM_CHANGES, entry

CHANGES, REQUESTS, ROUNDS = 1_000, 1_000, 15
CLASSES = [{"name": "view", "aim-us": 500_000, "deadline-us": 2_000_000, "repeat": "retryable"}]


class LoopProbe:
    """Measures the longest time between two iterations of the loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.longest = 0.0
        self.last = time.perf_counter()
        self.loop.call_soon(self._on_iteration)

    def _on_iteration(self) -> None:
        now = time.perf_counter()
        self.longest = max(self.longest, now - self.last)
        self.last = now
        self.loop.call_soon(self._on_iteration)

    def take_longest_ms(self) -> float:
        """The longest time since the last call."""
        longest, self.longest = self.longest, 0.0
        return round(1000 * longest, 3)


class InstantUpstream:
    """An upstream that answers each request at once."""

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


async def wait_for_generation(source: Discovery, generation: int) -> float:
    """Ask discovery for its next step. Returns the time until `generation` is applied, ms."""
    print("next", flush=True)
    began = time.perf_counter()
    while source.generation < generation:
        await asyncio.sleep(0)
    return round(1000 * (time.perf_counter() - began), 3)


def time_changes(engine: Engine) -> list[float]:
    """The times to apply changes in which an endpoint leaves and returns, ms each."""
    times = []
    for number in range(CHANGES):
        phase = ("draining", "ready")[number % 2]
        listed = [entry(number // 2 % 30, lifecycle=phase)]
        began = time.perf_counter()
        engine.on_list(engine.last_call_id, False, listed)
        times.append(1000 * (time.perf_counter() - began))
    return times


def time_requests(engine: Engine) -> float:
    """The time per request, µs."""
    frontend = Frontend()
    began = time.perf_counter()
    for _ in range(REQUESTS):
        engine.take(Call(0, engine.now() + 2_000_000, b"GET /view", b"", b"", frontend))
    seconds = time.perf_counter() - began
    assert frontend.answered_count == REQUESTS
    return 1e6 * seconds / REQUESTS


async def measure(port: int, copies: int) -> dict[str, Any]:
    settings = {
        "me": copies // 2, "instances": copies, "classes": CLASSES, "stage": 1, "discovery": "push",
        "zones": ["a"], "ceilings": {"max-attempts": 3}, "invariants": {"drain-grace-us": 500_000},
    }  # fmt: skip
    raw = {"seed": "1", "discovery": f"127.0.0.1:{port}", "settings": settings}
    gc.collect()
    before = rss_kb()
    loop = asyncio.get_running_loop()
    assembly = Assembly(loop, config_from(raw, "fleet"), print, collector=Collector())
    source = assembly.source
    assert isinstance(source, Discovery)
    probe = LoopProbe(loop)
    assembly.start()
    figures: dict[str, Any] = {"full_ms": await wait_for_generation(source, 1)}
    figures["full_hold_ms"] = probe.take_longest_ms()
    gc.collect()
    figures["memory_kb"] = rss_kb() - before
    probe.last = time.perf_counter()
    probe.take_longest_ms()
    figures["again_ms"] = await wait_for_generation(source, 2)
    figures["again_hold_ms"] = probe.take_longest_ms()
    await wait_for_generation(source, STORM_CHANGES + 2)
    figures["storm_hold_ms"] = probe.take_longest_ms()
    assembly.engine.upstream = InstantUpstream()
    change_times = time_changes(assembly.engine)
    figures["delta_ms"] = round(median(change_times), 4)
    figures["delta_p99_ms"] = round(percentile(change_times, 0.99), 4)
    small = Assembly(loop, config_from(raw, "fleet"), print, members=[entry(name) for name in range(30)])
    small.start()
    small.engine.upstream = InstantUpstream()
    # Alternates with a copy for a fleet of 30 in the same process: its speed changes from one
    # second to the next.
    pairs = [(time_requests(small.engine), time_requests(assembly.engine)) for _ in range(ROUNDS)]
    figures["request_us"] = round(median([large_us for _, large_us in pairs]), 2)
    figures["request_over_30"] = round(median([large_us / small_us for small_us, large_us in pairs]), 3)
    figures["listed"] = len(assembly.engine.endpoints.by_number)
    assembly.close()
    return figures


def main() -> None:
    gc.set_threshold(5_000, 10, 10)
    gc.freeze()
    print(json.dumps(uvloop.run(measure(int(sys.argv[1]), int(sys.argv[2])))), flush=True)


if __name__ == "__main__":
    main()
