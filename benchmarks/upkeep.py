"""Maintenance of thirty machines under load: by maintenance requests, by drains in discovery, all at once.

Three copies run as processes, with maintenance and consensus over UDP; the machines are stand-in
endpoints that count requests. Work on a machine is always the same: its connections are reset, and for a
while each request is counted and reset, unexecuted. `wishes`: a maintenance request with `MAX_OUT` machines
out at once; work begins when a copy reports a machine as clear, and its end is reported. `drains`: discovery
lists `MAX_OUT` machines at once as draining, in a fixed order and with fixed waits, as operators do by hand.
`at once`: all are drained together.

`lost`: requests without an answer, or failed; `late`: answered after the objective of their class; `doubles`:
executed twice; `sent_after_clear`: those that reached a machine after a copy had reported it as clear, or
after the wait; `over_limit`: polls with too many machines out. The top-level keys are those of `wishes`.
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

from benchmarks.common import ROOT, Child, compiled_environ, pin, progress

MACHINES, MAX_OUT, COPIES, CALLERS = 30, 5, 3, 24
SERVICE_S, WORK_S, THINK_S = 0.004, 0.3, 0.01
DRAIN_GRACE_MS, SLOW_START_MS = 500, 1000
# The wait of operators after a list was sent: its delivery, the drain grace and requests in flight.
DRAIN_WAIT_S = 1.0
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
        "drain-grace-us": DRAIN_GRACE_MS * 1000, "cold-us": SLOW_START_MS * 1000, "cold-share": 0.5,
        "tip-multiple": 3.0,
    },
    "zones": ["a", "b", "c"], "kinds": ["small"], "discovery": "push", "stage": 1, "instances": COPIES,
}  # fmt: skip


class Machine:
    """A machine with one endpoint, and the work on it."""

    def __init__(self, number: int, effects: Effects) -> None:
        self.id = f"m-{number:02}"
        self.zone = "abc"[number % 3]
        self.endpoint = Endpoint(self.serve, effects=effects, records_requests=False)
        self.is_under_work = False
        self.is_cleared = False  # reported as clear: no request may arrive
        self.requests_after_clear = 0

    async def serve(self, endpoint: Endpoint, message: Message, writer: Writer) -> None:
        self.requests_after_clear += self.is_cleared
        if self.is_under_work:
            reset_connection(writer)
            return
        await asyncio.sleep(SERVICE_S)
        endpoint.effects.execute(message)
        writer.write(answer(200, b"ok"))

    async def work(self) -> None:
        self.is_under_work = True
        for writer in list(self.endpoint.open_connections):
            reset_connection(writer)
        await asyncio.sleep(WORK_S)
        self.endpoint.started_ms = time.time_ns() // 1_000_000
        self.is_under_work = False

    def entry(self, phase: str) -> dict[str, Any]:
        return self.endpoint.entry(self.id, lifecycle=phase, zone=self.zone)


class Load:
    """Clients that send requests to one copy each until they are stopped, and the number of each result."""

    def __init__(self, ports: list[int], name: str) -> None:
        self.name = name
        self.results: Counter[str] = Counter()
        self.late = 0
        self.sent_count = 0
        self.is_stopped = False
        self.tasks = [asyncio.create_task(self._run_client(ports[n % len(ports)])) for n in range(CALLERS)]

    async def _run_client(self, port: int) -> None:
        caller = Caller("127.0.0.1", port)
        while not self.is_stopped:
            self.sent_count += 1
            cls = ("page", "put", "pay")[self.sent_count % 3]
            key = f"{self.name}-k{self.sent_count}" if cls == "put" else None
            began = time.monotonic()
            await self._send(
                caller,
                request(cls, b"" if cls == "page" else b"b", rid=f"{self.name}-{self.sent_count}", key=key),
            )
            self.late += time.monotonic() - began > AIM_S
            await asyncio.sleep(THINK_S)
        caller.close()

    async def _send(self, caller: Caller, raw: bytes) -> None:
        try:
            async with asyncio.timeout(5.0):
                self.results[str((await caller.send(raw)).status)] += 1
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.results["lost"] += 1
            caller.close()

    async def stop(self) -> dict[str, int]:
        self.is_stopped = True
        await asyncio.gather(*self.tasks)
        answered_count = self.results["200"] + self.results["503"]
        return {
            "requests": self.sent_count, "served": self.results["200"], "refused": self.results["503"],
            "lost": sum(self.results.values()) - answered_count, "late": self.late,
        }  # fmt: skip


class Testbed:
    """The copies, the machines and discovery."""

    def __init__(self, folder: Path, environ: dict[str, str]) -> None:
        self.folder = folder
        self.effects = Effects()
        self.machines = [Machine(n, self.effects) for n in range(MACHINES)]
        self.registry = Registry()
        self.watches: list[Writer] = []
        self.generation = 1
        inherited = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        self.environ = {**inherited, **environ, "TMPDIR": str(folder)}
        self.ports = [free_port() for _ in range(COPIES)]
        self.management_ports = [free_port() for _ in range(COPIES)]
        self.peers = [f"127.0.0.1:{free_port()}" for _ in range(COPIES)]
        self.children: list[Child] = []

    async def serve_watches(self) -> None:
        """Send the full list to each watch that opens."""
        while True:
            _, writer = await self.registry.watches.get()
            self.watches.append(writer)
            push(writer, self.generation, True, *(machine.entry("ready") for machine in self.machines))

    def publish(self, phase: str, machines: list[Machine]) -> None:
        self.generation += 1
        for writer in self.watches:
            push(writer, self.generation, False, *(machine.entry(phase) for machine in machines))

    async def start(self) -> float:
        """Start the copies. Returns the time until all were ready, s."""
        operator = self.folder / "operator.toml"
        operator.write_text("[accord]\nseats = 3\n[upkeep]\n")
        for n in range(COPIES):
            raw = {
                "listen": f"127.0.0.1:{self.ports[n]}", "discovery": f"127.0.0.1:{self.registry.port}",
                "management": f"127.0.0.1:{self.management_ports[n]}", "seed": str(n + 1),
                "limits": {"sockets": 1024, "memory_mb": 80}, "settings": {**SETTINGS, "me": n},
                "peers": self.peers, "peer_listen": self.peers[n],
            }  # fmt: skip
            path = self.folder / f"config-{n}.json"
            path.write_text(json.dumps(raw))
            environ = {**self.environ, "LB_CONFIG": str(path), "LB_OPERATOR": str(operator)}
            self.children.append(Child(["-m", "laurelstep"], 1 + n, environ, ROOT))
        began = time.monotonic()
        for n in range(COPIES):
            while await self.call_api_status(n, "GET /api/ready") != 200:
                if time.monotonic() > began + 30.0:
                    raise RuntimeError("a copy did not become ready")
                await asyncio.sleep(0.02)
        return time.monotonic() - began

    async def call_api_status(self, copy: int, request_line: str) -> int:
        status, _ = await self.call_api(copy, request_line)
        return status

    async def call_api(self, copy: int, request_line: str) -> tuple[int, Any]:
        try:
            async with asyncio.timeout(2.0), Caller("127.0.0.1", self.management_ports[copy]) as caller:
                reply = await caller.send(f"{request_line} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0, None
        is_json = "json" in reply.headers.get("content-type", "")
        return reply.status, json.loads(reply.body) if is_json else None

    def stop(self) -> None:
        for child in self.children:
            child.stop()


class MaintenanceStaff:
    """Operators that poll the copies and work on each machine that is clear."""

    def __init__(self, testbed: Testbed) -> None:
        self.testbed = testbed
        self.machines = {machine.id: machine for machine in testbed.machines}
        self.over_limit_count = 0
        self.work_tasks: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        target = f"POST /api/upkeep/wish?name=roll&kind=small&out={MAX_OUT}&per=tier&share=0.7"
        if await self.testbed.call_api_status(0, target) not in (200, 202):
            raise RuntimeError("the maintenance request was not accepted")
        while True:
            # Any copy may be polled: all report the same.
            _, reported = await self.testbed.call_api(len(self.work_tasks) % COPIES, "GET /api/upkeep")
            if reported is not None:
                if any(past["name"] == "roll" for past in reported["past"]):
                    break
                self.start_cleared(reported["machines"])
            await asyncio.sleep(0.05)
        await asyncio.gather(*self.work_tasks.values())

    def start_cleared(self, machines: list[dict[str, Any]]) -> None:
        self.over_limit_count += (
            len(machines) > MAX_OUT
            or sum(machine.is_under_work for machine in self.testbed.machines) > MAX_OUT
        )
        for reported in machines:
            machine = self.machines[reported["id"]]
            if reported["state"] == "clear" and machine.id not in self.work_tasks:
                machine.is_cleared = True
                self.work_tasks[machine.id] = asyncio.create_task(self.work(machine))

    async def work(self, machine: Machine) -> None:
        """Report the start of the work, work once the copies have recorded it, and report the end."""
        await self.request_until(machine, "begin", "at work")
        await machine.work()
        machine.is_cleared = False  # from here on it may receive requests at any time
        self.testbed.publish("ready", [machine])
        await self.request_until(machine, "done", "returning")

    async def request_until(self, machine: Machine, verb: str, state: str) -> None:
        """Report `verb` until a copy accepts it, and wait until the machine is recorded in `state`."""
        while True:
            status, reported = await self.testbed.call_api(1, f"POST /api/upkeep/{verb}?machine={machine.id}")
            if status in (200, 202):
                break
            await asyncio.sleep(0.02)
        while status == 202:
            await asyncio.sleep(0.02)
            _, reported = await self.testbed.call_api(1, "GET /api/upkeep")
            if reported is not None and any(
                (m["id"], m["state"]) == (machine.id, state) for m in reported["machines"]
            ):
                break


async def by_drains(testbed: Testbed, at_once: int) -> None:
    """Drain `at_once` machines at a time in discovery, in a fixed order and with fixed waits."""
    for first in range(0, MACHINES, at_once):
        batch = testbed.machines[first : first + at_once]
        testbed.publish("draining", batch)
        await asyncio.sleep(DRAIN_WAIT_S)
        for machine in batch:
            machine.is_cleared = True
        await asyncio.gather(*(machine.work() for machine in batch))
        for machine in batch:
            machine.is_cleared = False
        testbed.publish("ready", batch)
        await asyncio.sleep(SLOW_START_MS / 1000)


async def measure_one(testbed: Testbed, way: str) -> dict[str, Any]:
    load = Load(testbed.ports, way.replace(" ", "-"))
    await asyncio.sleep(0.5)
    doubles_before = len(testbed.effects.executed_twice())
    for machine in testbed.machines:
        machine.requests_after_clear = 0
    began, over_limit_count = time.monotonic(), 0
    if way == "wishes":
        staff = MaintenanceStaff(testbed)
        await staff.run()
        over_limit_count = staff.over_limit_count
    else:
        await by_drains(testbed, MAX_OUT if way == "drains" else MACHINES)
    duration_s = time.monotonic() - began
    await asyncio.sleep(0.3)
    load_results = await load.stop()
    return {
        "took_s": round(duration_s, 2),
        **load_results,
        "doubles": len(testbed.effects.executed_twice()) - doubles_before,
        "sent_after_clear": sum(machine.requests_after_clear for machine in testbed.machines),
        "over_limit": over_limit_count,
    }


async def measure(environ: dict[str, str]) -> dict[str, Any]:
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="laurelstep-"))
        testbed = Testbed(Path(folder), environ)
        for machine in testbed.machines:
            await stack.enter_async_context(machine.endpoint)
        await stack.enter_async_context(await testbed.registry.start())
        watch_task = asyncio.create_task(testbed.serve_watches())
        stack.callback(watch_task.cancel)
        stack.push_async_callback(asyncio.sleep, 0.1)  # lets the registry notice the end of its watches
        stack.callback(testbed.stop)
        ready_s = await testbed.start()
        results_by_way = {}
        for way in progress(["wishes", "drains", "at once"]):
            results_by_way[way] = await measure_one(testbed, way)
        by_requests, drains = results_by_way["wishes"], results_by_way["drains"]
        keys = ("lost", "doubles", "sent_after_clear", "over_limit")
        return {
            "compiled": bool(environ),
            "machines": MACHINES,
            "out": MAX_OUT,
            "copies": COPIES,
            "ready_s": round(ready_s, 2),
            **{key: by_requests[key] for key in keys},
            "took_over_drains": round(by_requests["took_s"] / drains["took_s"], 2),
            "ways": results_by_way,
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
