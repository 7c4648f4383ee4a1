"""Successive upgrades under load: the results of requests, and the memory of two processes at once.

Clients send requests of three classes without a pause, a third of them on a new connection for
each request. Meanwhile one version after another is started beside the running one, which gets
SIGTERM once the new one is ready. `lost`: requests without an answer; `refused`: those whose new
connection was refused or reset, or closed before it was read; `doubles`: requests that an endpoint
executed twice. The package runs as `deploy/build` installs it; `--plain` measures the uncompiled files.
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

from benchmarks.common import ROOT, Child, compiled_environ, pin, progress

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
    """Clients that send requests until they are stopped, and the number of each result."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.results: Counter[str] = Counter()
        self.sent_count = 0
        self.is_stopped = False
        self.tasks = [asyncio.create_task(self._run_client(n)) for n in range(CALLERS)]

    async def _run_client(self, number: int) -> None:
        caller = Caller("127.0.0.1", self.port)
        while not self.is_stopped:
            self.sent_count += 1
            cls = ("page", "put", "pay")[self.sent_count % 3]
            key = f"k{self.sent_count}" if cls == "put" else None
            raw = request(cls, b"" if cls == "page" else b"body", rid=f"r{self.sent_count}", key=key)
            await self._send(caller, raw)
            if number % 3 == 0:
                caller.close()
        caller.close()

    async def _send(self, caller: Caller, raw: bytes) -> None:
        """Send a request, and repeat it on a new connection if a reused one was closed, as clients do."""
        is_new_connection = caller.streams is None
        try:
            async with asyncio.timeout(5.0):
                self.results[str((await caller.send(raw)).status)] += 1
        except TimeoutError:
            self.results["lost"] += 1
            caller.close()
        except (OSError, asyncio.IncompleteReadError):
            if is_new_connection:
                self.results["refused"] += 1
            else:
                self.results["crossed"] += 1
                await self._send(caller, raw)

    async def stop(self) -> None:
        self.is_stopped = True
        await asyncio.gather(*self.tasks)


class Deployment:
    """The configuration and the ports that all versions share."""

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
        inherited = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        self.environ = {**inherited, **environ, "LB_CONFIG": str(path), "TMPDIR": str(folder)}

    async def start_version(self) -> tuple[Child, float]:
        """Start a process. Returns it with the time until it was ready, s."""
        management = free_port()
        began = time.monotonic()
        child = Child(
            ["-m", "laurelstep"], 2, {**self.environ, "LB_MANAGEMENT": f"127.0.0.1:{management}"}, ROOT
        )
        while time.monotonic() < began + 20.0:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                async with Caller("127.0.0.1", management) as caller:
                    answer: Message = await caller.send(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    if answer.status == 200:
                        return child, time.monotonic() - began
            await asyncio.sleep(0.005)
        raise RuntimeError("a new version did not become ready")


async def measure(environ: dict[str, str]) -> dict[str, Any]:
    effects = Effects()
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="laurelstep-"))
        endpoints = [Endpoint(effects=effects, records_requests=False) for _ in range(4)]
        for endpoint in endpoints:
            await stack.enter_async_context(endpoint)
        deployment = Deployment(Path(folder), [endpoint.port for endpoint in endpoints], environ)
        running, alone_s = await deployment.start_version()
        alone_mb = running.memory_kb() / 1024
        load = Load(deployment.port)
        ready_times, both_mb = [], []
        try:
            for _ in progress([f"upgrade {n + 1}" for n in range(UPGRADES)]):
                await asyncio.sleep(0.2)
                new, ready_s = await deployment.start_version()
                ready_times.append(ready_s)
                both_mb.append((running.memory_kb() + new.memory_kb()) / 1024)
                await asyncio.to_thread(running.stop)
                running = new
            await asyncio.sleep(0.2)
            await load.stop()
        finally:
            await asyncio.to_thread(running.stop)
        results = load.results
        return {
            "compiled": bool(environ),
            "upgrades": UPGRADES,
            "requests": load.sent_count,
            "served": results["200"],
            "lost": results["lost"],
            "refused": results["refused"],
            "crossed": results["crossed"],
            "other_answers": sum(n for name, n in results.items() if name.isdigit() and name != "200"),
            "doubles": len(effects.executed_twice()),
            "ready_s": round(max(ready_times), 3),
            "ready_alone_s": round(alone_s, 3),
            "both_mb": round(max(both_mb), 1),
            "alone_mb": round(alone_mb, 1),
        }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plain", action="store_true", help="measure the uncompiled files")
    arguments = parser.parse_args()
    environ = {} if arguments.plain else compiled_environ()
    pin(0, 0)
    print(json.dumps(asyncio.run(measure(environ))))


if __name__ == "__main__":
    main()
