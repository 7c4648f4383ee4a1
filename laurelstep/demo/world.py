"""The demo's world: its parts, its course of events, and what it counts."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import sys
import tempfile
import time
from collections import Counter, deque
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from laurelstep.testing import (
    Caller,
    Effects,
    Endpoint,
    Message,
    Registry,
    Writer,
    answer,
    free_port,
    push,
    request,
    whole_list,
)

# Mean work in seconds of the three speeds, and how many endpoints have each.
SPEEDS = {"fast": (0.006, 3), "std": (0.010, 3), "slow": (0.018, 2)}
CORES = 2
STALLED, DRAINED = "s-1", "s-4"
GRACE_S = 0.5
CALLERS_MOST = 200
# Class, its share of the requests, and its form.
MIX = (("view", 0.67), ("upload", 0.18), ("print-order", 0.15))
CLASSES: list[dict[str, Any]] = [
    {"name": "view", "aim-us": 500_000, "deadline-us": 2_000_000, "repeat": "retryable", "points": 1.0},
    {
        "name": "upload", "aim-us": 500_000, "deadline-us": 2_000_000, "repeat": "dedup", "points": 8.0,
        "dedup-scope": "all", "repeat-window-us": 10_000_000,
    },
    {"name": "print-order", "aim-us": 500_000, "deadline-us": 2_000_000, "repeat": "fragile", "points": 3.0},
]  # fmt: skip
SETTINGS: dict[str, Any] = {
    "classes": CLASSES,
    "ceilings": {
        "cancel": True, "second-copies": True, "max-attempts": 3, "max-streams": 1, "retry-after": True,
        "conn-idle-us": 10_000_000, "connect-timeout-us": 250_000, "max-retry-after-us": 1_000_000,
    },
    "invariants": {"drain-grace-us": int(GRACE_S * 1e6)},
    "load-report": {"fields": ["waiting", "rps"], "how": "piggyback"},
    "zones": ["here"], "kinds": list(SPEEDS), "discovery": "push", "stage": 0,
}  # fmt: skip


@dataclass(eq=False)
class Worker(Endpoint):
    """An endpoint with a few cores, a queue, and a mean time of work."""

    name: str = ""
    speed: str = "std"
    state: str = "ready"
    held: int = 0
    served: int = 0
    last: float = 0.0  # when a request last came

    def work_with(self, draw: random.Random, cores: asyncio.Semaphore, unstalled: asyncio.Event) -> None:
        mean_s = SPEEDS[self.speed][0]

        async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            self.held += 1
            self.last = time.monotonic()
            try:
                async with cores:
                    await asyncio.sleep(draw.expovariate(1.0 / mean_s))
                    await unstalled.wait()
                self.effects.execute(message)
                self.served += 1
                load = f"X-Load: queue={max(0, self.held - CORES)},qps=0\r\n"
                writer.write(answer(headers=load))
            finally:
                self.held -= 1

        self.handler = handler


@dataclass
class Summary:
    """What the clients and the endpoints counted. Times in milliseconds."""

    seconds: float
    asked: int
    served: int
    refused: int
    failed: int
    unanswered: int
    p50_ms: float
    p99_ms: float
    orders_run_twice: int
    sends_past_the_grace: int
    by_endpoint: dict[str, int] = field(default_factory=dict)

    @property
    def kept(self) -> bool:
        """Whether each request got its answer, no order ran twice, and the drain held."""
        return not (self.unanswered or self.orders_run_twice or self.sends_past_the_grace)

    def as_dict(self) -> dict[str, Any]:
        return {**asdict(self), "kept": self.kept}


class World:
    """Parts and counts; `play` runs it."""

    def __init__(self, seconds: float, rate: float, seed: int) -> None:
        self.seconds = seconds
        self.rate = rate
        self.draw = random.Random(seed)
        self.effects = Effects()
        self.workers: list[Worker] = []
        self.totals: Counter[str] = Counter()
        self.times: list[float] = []
        self.recent: deque[tuple[float, str, float]] = deque()  # end, outcome, seconds
        self.began = 0.0
        self.event = "all is well"
        self.drained_at = 0.0
        self.idle: list[Caller] = []

    def elapsed(self) -> float:
        return time.monotonic() - self.began if self.began else 0.0

    def last_second(self) -> tuple[int, list[float]]:
        """Answers of the last second, and the times of those that were served."""
        limit = time.monotonic() - 1.0
        while self.recent and self.recent[0][0] < limit:
            self.recent.popleft()
        return len(self.recent), [took for _, outcome, took in self.recent if outcome == "served"]

    def note(self, outcome: str, took: float) -> None:
        self.totals[outcome] += 1
        self.recent.append((time.monotonic(), outcome, took))
        if outcome == "served":
            self.times.append(took)

    def summary(self) -> Summary:
        drained = next(one for one in self.workers if one.name == DRAINED)
        late = self.drained_at and drained.last > self.drained_at + GRACE_S + 0.25
        return Summary(
            seconds=round(self.elapsed(), 1),
            asked=self.totals["asked"],
            served=self.totals["served"],
            refused=self.totals["refused"],
            failed=self.totals["failed"],
            unanswered=self.totals["unanswered"],
            p50_ms=round(1000 * part(self.times, 0.5), 1),
            p99_ms=round(1000 * part(self.times, 0.99), 1),
            orders_run_twice=len(self.effects.twice()),
            sends_past_the_grace=int(bool(late)),
            by_endpoint={one.name: one.served for one in self.workers},
        )


def part(values: list[float], share: float) -> float:
    """The value under which this share of them lies; 0 for none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


@contextlib.contextmanager
def config_file(port: int, registry: Registry, known: dict[str, Any]) -> Iterator[dict[str, str]]:
    """The environment of a daemon, with its configuration in a file."""
    with tempfile.TemporaryDirectory(prefix="laurelstep-") as folder:
        raw = {
            "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{registry.port}", "seed": "1",
            "limits": {"sockets": 1024}, "settings": SETTINGS, "known": known,
        }  # fmt: skip
        path = Path(folder, "config.json")
        path.write_text(json.dumps(raw))
        environ = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        yield {**environ, "LB_CONFIG": str(path)}


Tick = Callable[[], None]


async def play(world: World, tick: Tick | None = None) -> Summary:
    """Run the world to its end; `tick` is called ten times a second."""
    async with contextlib.AsyncExitStack() as stack:
        unstalled = asyncio.Event()
        unstalled.set()
        never = asyncio.Event()
        never.set()
        for speed, (_, size) in SPEEDS.items():
            for _ in range(size):
                name = f"s-{len(world.workers)}"
                worker = Worker(name=name, speed=speed, effects=world.effects, keep=False)
                gate = unstalled if name == STALLED else never
                worker.work_with(world.draw, asyncio.Semaphore(CORES), gate)
                world.workers.append(await stack.enter_async_context(worker))
        registry = Registry()
        listener = await registry.start()
        stack.callback(listener.close)
        entries = [one.entry(one.name, machineType=one.speed) for one in world.workers]
        port = free_port()
        environ = stack.enter_context(config_file(port, registry, whole_list(*entries)))
        daemon = await asyncio.create_subprocess_exec(sys.executable, "-m", "laurelstep", env=environ)
        try:
            _, watch = await registry.asked.get()
            await ready(port, daemon)
            world.began = time.monotonic()
            await asyncio.gather(arrivals(world, port), course(world, watch, unstalled), ticks(world, tick))
        finally:
            unstalled.set()
            for caller in world.idle:
                caller.close()
            if daemon.returncode is None:
                daemon.terminate()
            await daemon.wait()
        return world.summary()


async def ready(port: int, daemon: asyncio.subprocess.Process) -> None:
    """Until the daemon answers; RuntimeError if it ended instead."""
    while daemon.returncode is None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            async with Caller("127.0.0.1", port) as caller:
                back = await caller.ask(b"GET /health/ready HTTP/1.1\r\nHost: demo\r\n\r\n")
                if back.status == 200:
                    return
        await asyncio.sleep(0.02)
    raise RuntimeError(f"the daemon ended with status {daemon.returncode}")


async def course(world: World, watch: Writer, unstalled: asyncio.Event) -> None:
    """One endpoint stalls from a third to a half of the time, one drains at two thirds."""
    steps: list[tuple[float, Callable[[], Awaitable[None]]]] = []
    stalled = next(one for one in world.workers if one.name == STALLED)
    drained = next(one for one in world.workers if one.name == DRAINED)

    async def stall() -> None:
        unstalled.clear()
        stalled.state, world.event = "stalled", f"{STALLED} accepts and answers nothing"

    async def recover() -> None:
        unstalled.set()
        stalled.state, world.event = "ready", f"{STALLED} answers again"

    async def drain() -> None:
        push(watch, 2, False, drained.entry(DRAINED, machineType=drained.speed, lifecycle="draining"))
        await watch.drain()
        world.drained_at = time.monotonic()
        drained.state, world.event = "draining", f"discovery says that {DRAINED} drains"

    steps = [(world.seconds / 3, stall), (world.seconds / 2, recover), (world.seconds * 2 / 3, drain)]
    for at, step in steps:
        await asyncio.sleep(max(0.0, at - world.elapsed()))
        await step()


async def ticks(world: World, tick: Tick | None) -> None:
    while tick is not None and world.elapsed() < world.seconds:
        tick()
        await asyncio.sleep(0.1)


async def arrivals(world: World, port: int) -> None:
    """Requests at the world's rate, whether or not earlier ones are answered."""
    tasks: set[asyncio.Task[None]] = set()
    due = 0.0
    while True:
        due += world.draw.expovariate(world.rate)
        if due >= world.seconds:
            break
        if (wait := due - world.elapsed()) > 0.0:
            await asyncio.sleep(wait)
        if len(tasks) < CALLERS_MOST:
            task = asyncio.create_task(ask(world, port))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
    if tasks:
        await asyncio.wait(tasks)


async def ask(world: World, port: int) -> None:
    """One request of a client that does not try again."""
    world.totals["asked"] += 1
    number = world.totals["asked"]
    cls = world.draw.choices([name for name, _ in MIX], [share for _, share in MIX])[0]
    key = f"k{number}" if cls == "upload" else None
    body = b"" if cls == "view" else b"album"
    raw = request(cls, body, rid=f"demo-{number}", key=key, deadline_ms=2000)
    caller = world.idle.pop() if world.idle else Caller("127.0.0.1", port)
    began = time.monotonic()
    try:
        back = await caller.ask(raw)
    except (OSError, asyncio.IncompleteReadError):
        world.totals["unanswered"] += 1
        return
    world.idle.append(caller)
    outcome = {200: "served", 429: "refused", 503: "refused"}.get(back.status, "failed")
    world.note(outcome, time.monotonic() - began)
