"""Versions that follow each other under load: what callers meet, and what two processes take.

Callers of three classes, a third of them on a new connection for each request, ask without a
pause while one version after another is started beside the running one, which gets SIGTERM at
the new one's yes. `lost`: requests that had no answer; `refused`: those whose new connection
was refused or reset, or that was closed unread; `doubles`: effects that an endpoint counted
twice. The package runs as `deploy/build` installs it; `--plain` measures its files as they stand.
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

from laurelstep.testing import Caller, Effects, Endpoint, Message, free_port, request

from benchmarks.common import ROOT, Child, compiled, pin, progress

UPGRADES = 12
CALLERS = 24
SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "page", "aim-us": 500_000, "deadline-us": 2_000_000, "repeat": "retryable"},
        {
            "name": "put", "aim-us": 500_000, "deadline-us": 2_000_000, "repeat": "dedup",
            "dedup-scope": "all", "repeat-window-us": 10_000_000,
        },
        {"name": "pay", "aim-us": 500_000, "deadline-us": 2_000_000, "repeat": "fragile"},
    ],
    "ceilings": {"cancel": True, "max-attempts": 3, "max-streams": 1, "conn-idle-us": 10_000_000},
    "invariants": {"drain-grace-us": 500_000},
    "discovery": "push", "stage": 1,
}  # fmt: skip


class Load:
    """Callers that ask until they are told to stop, and what they met."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.met: Counter[str] = Counter()
        self.asked = 0
        self.stopped = False
        self.tasks = [asyncio.create_task(self._call(n)) for n in range(CALLERS)]

    async def _call(self, number: int) -> None:
        caller = Caller("127.0.0.1", self.port)
        while not self.stopped:
            self.asked += 1
            cls = ("page", "put", "pay")[self.asked % 3]
            key = f"k{self.asked}" if cls == "put" else None
            raw = request(cls, b"" if cls == "page" else b"body", rid=f"r{self.asked}", key=key)
            await self._ask(caller, raw)
            if number % 3 == 0:
                caller.close()
        caller.close()

    async def _ask(self, caller: Caller, raw: bytes) -> None:
        """Once, and once more on a new connection if a kept one ended across it, as clients do."""
        fresh = caller.streams is None
        try:
            async with asyncio.timeout(5.0):
                self.met[str((await caller.send(raw)).status)] += 1
        except TimeoutError:
            self.met["lost"] += 1
            caller.close()
        except (OSError, asyncio.IncompleteReadError):
            if fresh:
                self.met["refused"] += 1
            else:
                self.met["crossed"] += 1
                await self._ask(caller, raw)

    async def stop(self) -> None:
        self.stopped = True
        await asyncio.gather(*self.tasks)


class Site:
    """What all versions share."""

    def __init__(self, folder: Path, ports: list[int], environ: dict[str, str]) -> None:
        self.port = free_port()
        entries = [
            {"instanceId": f"s-{n}", "hostPort": f"127.0.0.1:{port}", "lifecycle": "ready"}
            for n, port in enumerate(ports)
        ]
        raw = {
            "listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{free_port()}", "seed": "1",
            "limits": {"sockets": 1024, "memory_mb": 80}, "settings": SETTINGS,
            "known": {"generation": 1, "reset": True, "instances": entries},
        }  # fmt: skip
        path = folder / "config.json"
        path.write_text(json.dumps(raw))
        plain = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        self.environ = {**plain, **environ, "LB_CONFIG": str(path), "TMPDIR": str(folder)}

    async def version(self) -> tuple[Child, float]:
        """A new process that takes callers, and how long that took from its start, s."""
        management = free_port()
        began = time.monotonic()
        child = Child(
            ["-m", "laurelstep"], 2, {**self.environ, "LB_MANAGEMENT": f"127.0.0.1:{management}"}, ROOT
        )
        while time.monotonic() < began + 20.0:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                async with Caller("127.0.0.1", management) as staff:
                    back: Message = await staff.send(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    if back.status == 200:
                        return child, time.monotonic() - began
            await asyncio.sleep(0.005)
        raise RuntimeError("a version did not come up")


async def measure(environ: dict[str, str]) -> dict[str, Any]:
    effects = Effects()
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="laurelstep-"))
        endpoints = [Endpoint(effects=effects, records_requests=False) for _ in range(4)]
        for one in endpoints:
            await stack.enter_async_context(one)
        site = Site(Path(folder), [one.port for one in endpoints], environ)
        running, first_s = await site.version()
        alone_mb = running.memory_kb() / 1024
        load = Load(site.port)
        ready, both = [], []
        try:
            for _ in progress([f"upgrade {n + 1}" for n in range(UPGRADES)]):
                await asyncio.sleep(0.2)
                new, took = await site.version()
                ready.append(took)
                both.append((running.memory_kb() + new.memory_kb()) / 1024)
                await asyncio.to_thread(running.end)
                running = new
            await asyncio.sleep(0.2)
            await load.stop()
        finally:
            await asyncio.to_thread(running.end)
        met = load.met
        return {
            "compiled": bool(environ),
            "upgrades": UPGRADES,
            "requests": load.asked,
            "served": met["200"],
            "lost": met["lost"],
            "refused": met["refused"],
            "crossed": met["crossed"],
            "other_answers": sum(n for name, n in met.items() if name.isdigit() and name != "200"),
            "doubles": len(effects.executed_twice()),
            "ready_s": round(max(ready), 3),
            "ready_alone_s": round(first_s, 3),
            "both_mb": round(max(both), 1),
            "alone_mb": round(alone_mb, 1),
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
