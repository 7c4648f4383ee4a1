"""Thirty machines taken out for work under load: by wishes, by discovery's drains, and all at once.

Three copies run as processes, with upkeep and a record over UDP; the machines are stand-in endpoints
that count what comes. Work on a machine is the same each time: its connections are reset, and for a
while whatever comes is counted and reset, unexecuted. By `wishes`: `OUT` at once, each begun when a
copy says clear, and said done when it is. By `drains`: a list of discovery drains `OUT` at once, in a
fixed order, with fixed waits, as staff does by hand. `at once`: drains all.

`lost`: no answer, or a failure; `late`: after its class's aim. `doubles`: executed twice.
`sent_after_clear`: requests that came to a machine after a copy had said clear, or after the wait.
`over_limit`: looks that found more out than allowed. The first keys are those of the wishes.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import tempfile
import time
from collections import Counter
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
)
from laurelstep.testing.endpoints import reset_connection

from benchmarks.common import ROOT, Child, compiled, pin, progress

MACHINES, OUT, COPIES, CALLERS = 30, 5, 3, 24
SERVICE_S, WORK_S, THINK_S = 0.004, 0.3, 0.01
GRACE_MS, COLD_MS = 500, 1000
# What staff allows for by hand, after a list went out: its way, the grace, and requests under way.
DRAIN_S = 1.0
AIM_S = 0.25
SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "page", "aim-us": 250_000, "deadline-us": 2_000_000, "repeat": "retryable"},
        {
            "name": "put", "aim-us": 250_000, "deadline-us": 2_000_000, "repeat": "dedup",
            "dedup-scope": "all", "repeat-window-us": 10_000_000,
        },
        {"name": "pay", "aim-us": 250_000, "deadline-us": 2_000_000, "repeat": "fragile"},
    ],
    "ceilings": {"cancel": True, "max-attempts": 3, "max-streams": 1, "conn-idle-us": 10_000_000},
    "invariants": {
        "drain-grace-us": GRACE_MS * 1000, "cold-us": COLD_MS * 1000, "cold-share": 0.5, "tip-multiple": 3.0,
    },
    "zones": ["a", "b", "c"], "kinds": ["small"], "discovery": "push", "stage": 1, "instances": COPIES,
}  # fmt: skip


class Machine:
    """One endpoint, and the work on it."""

    def __init__(self, number: int, effects: Effects) -> None:
        self.id = f"m-{number:02}"
        self.zone = "abc"[number % 3]
        self.endpoint = Endpoint(self.serve, effects=effects, records_requests=False)
        self.at_work = False
        self.cleared = False  # said to be: nothing may come
        self.after_clear = 0

    async def serve(self, endpoint: Endpoint, message: Message, writer: Writer) -> None:
        self.after_clear += self.cleared
        if self.at_work:
            reset_connection(writer)
            return
        await asyncio.sleep(SERVICE_S)
        endpoint.effects.execute(message)
        writer.write(answer(200, b"ok"))

    async def work(self) -> None:
        self.at_work = True
        for writer in list(self.endpoint.open_connections):
            reset_connection(writer)
        await asyncio.sleep(WORK_S)
        self.endpoint.started_ms = time.time_ns() // 1_000_000
        self.at_work = False

    def entry(self, phase: str) -> dict[str, Any]:
        return self.endpoint.entry(self.id, lifecycle=phase, zone=self.zone)


class Load:
    """Callers that ask until they are told to stop, each at a copy of its own, and what they met."""

    def __init__(self, ports: list[int], name: str) -> None:
        self.name = name
        self.met: Counter[str] = Counter()
        self.late = 0
        self.asked = 0
        self.stopped = False
        self.tasks = [asyncio.create_task(self._call(ports[n % len(ports)])) for n in range(CALLERS)]

    async def _call(self, port: int) -> None:
        caller = Caller("127.0.0.1", port)
        while not self.stopped:
            self.asked += 1
            cls = ("page", "put", "pay")[self.asked % 3]
            key = f"{self.name}-k{self.asked}" if cls == "put" else None
            began = time.monotonic()
            await self._ask(
                caller, request(cls, b"" if cls == "page" else b"b", rid=f"{self.name}-{self.asked}", key=key)
            )
            self.late += time.monotonic() - began > AIM_S
            await asyncio.sleep(THINK_S)
        caller.close()

    async def _ask(self, caller: Caller, raw: bytes) -> None:
        try:
            async with asyncio.timeout(5.0):
                self.met[str((await caller.send(raw)).status)] += 1
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.met["lost"] += 1
            caller.close()

    async def stop(self) -> dict[str, int]:
        self.stopped = True
        await asyncio.gather(*self.tasks)
        known = self.met["200"] + self.met["503"]
        return {
            "requests": self.asked, "served": self.met["200"], "refused": self.met["503"],
            "lost": sum(self.met.values()) - known, "late": self.late,
        }  # fmt: skip


class Site:
    """Copies, machines and discovery."""

    def __init__(self, folder: Path, environ: dict[str, str]) -> None:
        self.folder = folder
        self.effects = Effects()
        self.machines = [Machine(n, self.effects) for n in range(MACHINES)]
        self.registry = Registry()
        self.watches: list[Writer] = []
        self.generation = 1
        plain = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        self.environ = {**plain, **environ, "TMPDIR": str(folder)}
        self.ports = [free_port() for _ in range(COPIES)]
        self.desks = [free_port() for _ in range(COPIES)]
        self.peers = [f"127.0.0.1:{free_port()}" for _ in range(COPIES)]
        self.children: list[Child] = []

    async def watch(self) -> None:
        """Every watch that opens hears the list as it is."""
        while True:
            _, writer = await self.registry.watches.get()
            self.watches.append(writer)
            push(writer, self.generation, True, *(one.entry("ready") for one in self.machines))

    def tell(self, phase: str, machines: list[Machine]) -> None:
        self.generation += 1
        for writer in self.watches:
            push(writer, self.generation, False, *(one.entry(phase) for one in machines))

    async def start(self) -> float:
        operator = self.folder / "operator.toml"
        operator.write_text("[accord]\nseats = 3\n[upkeep]\n")
        for n in range(COPIES):
            raw = {
                "listen": f"127.0.0.1:{self.ports[n]}", "discovery": f"127.0.0.1:{self.registry.port}",
                "management": f"127.0.0.1:{self.desks[n]}", "seed": str(n + 1),
                "limits": {"sockets": 1024, "memory_mb": 80}, "settings": {**SETTINGS, "me": n},
                "peers": self.peers, "peer_listen": self.peers[n],
            }  # fmt: skip
            path = self.folder / f"config-{n}.json"
            path.write_text(json.dumps(raw))
            environ = {**self.environ, "LB_CONFIG": str(path), "LB_OPERATOR": str(operator)}
            self.children.append(Child(["-m", "laurelstep"], 1 + n, environ, ROOT))
        began = time.monotonic()
        for n in range(COPIES):
            while await self.call(n, "GET /api/ready") != 200:
                if time.monotonic() > began + 30.0:
                    raise RuntimeError("a copy did not come up")
                await asyncio.sleep(0.02)
        return time.monotonic() - began

    async def call(self, copy: int, words: str) -> int:
        status, _ = await self.ask(copy, words)
        return status

    async def ask(self, copy: int, words: str) -> tuple[int, Any]:
        try:
            async with asyncio.timeout(2.0), Caller("127.0.0.1", self.desks[copy]) as staff:
                back = await staff.send(f"{words} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0, None
        is_json = "json" in back.headers.get("content-type", "")
        return back.status, json.loads(back.body) if is_json else None

    def end(self) -> None:
        for child in self.children:
            child.end()


class Wishes:
    """Staff that asks a copy now and then, and works on what is clear."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.machines = {one.id: one for one in site.machines}
        self.over = 0
        self.begun: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        target = f"POST /api/upkeep/wish?name=roll&kind=small&out={OUT}&per=tier&share=0.7"
        if await self.site.call(0, target) not in (200, 202):
            raise RuntimeError("the wish was not taken")
        while True:
            # Staff asks at any copy: they say the same.
            _, told = await self.site.ask(len(self.begun) % COPIES, "GET /api/upkeep")
            if told is not None:
                if any(past["name"] == "roll" for past in told["past"]):
                    break
                self.look(told["machines"])
            await asyncio.sleep(0.05)
        await asyncio.gather(*self.begun.values())

    def look(self, machines: list[dict[str, Any]]) -> None:
        self.over += len(machines) > OUT or sum(one.at_work for one in self.site.machines) > OUT
        for told in machines:
            one = self.machines[told["id"]]
            if told["state"] == "clear" and one.id not in self.begun:
                one.cleared = True
                self.begun[one.id] = asyncio.create_task(self.work(one))

    async def work(self, one: Machine) -> None:
        """Begin, work once the record has it, and say done."""
        await self.until(one, "begin", "at work")
        await one.work()
        one.cleared = False  # from here on it may come back at any time
        self.site.tell("ready", [one])
        await self.until(one, "done", "returning")

    async def until(self, one: Machine, verb: str, state: str) -> None:
        while True:
            status, told = await self.site.ask(1, f"POST /api/upkeep/{verb}?machine={one.id}")
            if status in (200, 202):
                break
            await asyncio.sleep(0.02)
        while status == 202:
            await asyncio.sleep(0.02)
            _, told = await self.site.ask(1, "GET /api/upkeep")
            if told is not None and any((m["id"], m["state"]) == (one.id, state) for m in told["machines"]):
                break


async def by_drains(site: Site, at_once: int) -> None:
    """A fixed order and fixed waits."""
    for at in range(0, MACHINES, at_once):
        batch = site.machines[at : at + at_once]
        site.tell("draining", batch)
        await asyncio.sleep(DRAIN_S)
        for one in batch:
            one.cleared = True
        await asyncio.gather(*(one.work() for one in batch))
        for one in batch:
            one.cleared = False
        site.tell("ready", batch)
        await asyncio.sleep(COLD_MS / 1000)


async def measure_one(site: Site, way: str) -> dict[str, Any]:
    load = Load(site.ports, way.replace(" ", "-"))
    await asyncio.sleep(0.5)
    doubles = len(site.effects.executed_twice())
    for one in site.machines:
        one.after_clear = 0
    began, over = time.monotonic(), 0
    if way == "wishes":
        wishes = Wishes(site)
        await wishes.run()
        over = wishes.over
    else:
        await by_drains(site, OUT if way == "drains" else MACHINES)
    took = time.monotonic() - began
    await asyncio.sleep(0.3)
    found = await load.stop()
    return {
        "took_s": round(took, 2),
        **found,
        "doubles": len(site.effects.executed_twice()) - doubles,
        "sent_after_clear": sum(one.after_clear for one in site.machines),
        "over_limit": over,
    }


async def measure(environ: dict[str, str]) -> dict[str, Any]:
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="laurelstep-"))
        site = Site(Path(folder), environ)
        for one in site.machines:
            await stack.enter_async_context(one.endpoint)
        await stack.enter_async_context(await site.registry.start())
        watching = asyncio.create_task(site.watch())
        stack.callback(watching.cancel)
        stack.push_async_callback(asyncio.sleep, 0.1)  # the registry sees its watches end
        stack.callback(site.end)
        ready_s = await site.start()
        ways = {}
        for way in progress(["wishes", "drains", "at once"]):
            ways[way] = await measure_one(site, way)
        wishes, drains = ways["wishes"], ways["drains"]
        keys = ("lost", "doubles", "sent_after_clear", "over_limit")
        return {
            "compiled": bool(environ),
            "machines": MACHINES,
            "out": OUT,
            "copies": COPIES,
            "ready_s": round(ready_s, 2),
            **{key: wishes[key] for key in keys},
            "took_over_drains": round(wishes["took_s"] / drains["took_s"], 2),
            "ways": ways,
        }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plain", action="store_true", help="not the compiled modules")
    told = parser.parse_args()
    environ = {} if told.plain else compiled()
    pin(0, 0)
    print(json.dumps(asyncio.run(measure(environ))))


if __name__ == "__main__":
    main()
