"""Requests a second, latency and CPU of the daemon and the library on one core.

Subjects take turns in each round: a bare relay (the reference), the daemon, the library
as middleware on uvicorn, and the library's client alone. One client process drives the
first three over sockets, each connection with one request out at a time; the endpoint
answers at once. The tier is not the entry, where admission would refuse a part of what a
closed loop presses on it, and a refusal costs less than a request that is served.
The package runs as `deploy/build` installs it, compiled; `--plain` measures its files as they
stand, and `--other FOLDER` adds the daemon of another checkout, installed in the same way.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import socket
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, cast

import uvloop
from laurelstep.testing import free_port, request

from benchmarks.common import ROOT, Child, compiled, median, package, percentile, pin, progress

MANY = 32
ROUNDS, LOAD_S, ALONE_S = 7, 1.0, 0.4
ENDPOINTS = 4
CLASSES = [{"name": "view", "aim-us": 500_000, "deadline-us": 2_000_000, "repeat": "retryable"}]
SETTINGS: dict[str, Any] = {
    "classes": CLASSES,
    "ceilings": {"cancel": True, "max-attempts": 3, "max-streams": 1, "conn-idle-us": 10_000_000},
    "invariants": {"drain-grace-us": 500_000},
    "discovery": "push", "stage": 1,
}  # fmt: skip


class Asker(asyncio.Protocol):
    """One connection: the next request goes out when the last is answered."""

    def __init__(self, number: int, end: float, times: list[float], others: list[float]) -> None:
        self.raw = request("view", rid=f"r{number}", deadline_ms=2000)
        self.end = end
        self.times = times  # of what was served
        self.others = others
        self.buffer = b""
        self.done = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.send()

    def send(self) -> None:
        self.began = time.perf_counter()
        self.transport.write(self.raw)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        head, found, body = self.buffer.partition(b"\r\n\r\n")
        if not found or len(body) < int(head.lower().partition(b"content-length: ")[2].split(b"\r")[0]):
            return
        now = time.perf_counter()
        served = head.startswith(b"HTTP/1.1 200")
        (self.times if served else self.others).append(now - self.began)
        self.buffer = b""
        if now < self.end:
            self.send()
        else:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.done.done():
            self.done.set_result(None)


async def drive(port: int, connections: int, seconds: float) -> tuple[list[float], int]:
    """The times of what was served, in seconds, and how many were not."""
    loop = asyncio.get_running_loop()
    times: list[float] = []
    others: list[float] = []
    askers = [Asker(n, time.perf_counter() + seconds, times, others) for n in range(connections)]
    for asker in askers:
        await loop.create_connection(lambda one=asker: one, "127.0.0.1", port)  # type: ignore[misc]
    await asyncio.gather(*(asker.done for asker in askers))
    return times, len(others)


@dataclass
class Subject:
    """One contender and what was seen of it, by number of connections."""

    name: str
    child: Child
    port: int
    rates: dict[int, list[float]] = field(default_factory=lambda: {1: [], MANY: []})
    p50: dict[int, list[float]] = field(default_factory=lambda: {1: [], MANY: []})
    p99: dict[int, list[float]] = field(default_factory=lambda: {1: [], MANY: []})
    cpu: list[float] = field(default_factory=list)
    unserved: int = 0  # refused or failed, at many connections

    def play(self, connections: int, seconds: float) -> None:
        if self.port:
            before = self.child.cpu_us()
            times, others = uvloop.run(drive(self.port, connections, seconds))
            cpu_us = self.child.cpu_us() - before
        else:
            self.child.tell(f"{connections} {seconds}")
            told = json.loads(self.child.line())
            times, others, cpu_us = told["times"], told["others"], told["cpu_us"]
        self.rates[connections].append(len(times) / seconds)
        self.p50[connections].append(percentile(times, 0.5))
        self.p99[connections].append(percentile(times, 0.99))
        if connections == MANY:
            self.cpu.append(cpu_us / (len(times) + others))
            self.unserved += others


def over(one: list[float], reference: list[float]) -> float:
    """The median of the ratios, round by round."""
    return round(median([a / b for a, b in zip(one, reference, strict=True)]), 3)


def await_port(port: int) -> None:
    end = time.monotonic() + 20.0
    while time.monotonic() < end:
        with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port), 1.0):
            return
        time.sleep(0.02)
    raise RuntimeError("the daemon does not listen")


def configured(folder: str, ports: list[int], listen: int) -> str:
    entries = [
        {
            "instanceId": f"s-{n}", "hostPort": f"127.0.0.1:{port}", "zone": "", "machineType": "", "cell": n,
            "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0,
        }
        for n, port in enumerate(ports)
    ]  # fmt: skip
    raw = {
        "listen": f"127.0.0.1:{listen}", "seed": "1", "limits": {"sockets": 1024}, "settings": SETTINGS,
        "known": {"generation": 1, "reset": True, "instances": entries},
    }  # fmt: skip
    path = Path(folder, f"config-{listen}.json")
    path.write_text(json.dumps({**raw, "discovery": f"127.0.0.1:{free_port()}"} if listen else raw))
    return str(path)


def daemon(
    name: str, folder: str, ports: list[int], root: Path, extra: dict[str, str] | None = None
) -> Subject:
    listen = free_port()
    path = configured(folder, ports, listen)
    environ = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
    child = Child(["-m", package(root)], 2, {**environ, **(extra or {}), "LB_CONFIG": path}, root)
    await_port(listen)
    return Subject(name, child, listen)


def measure(other: Path | None, plain: bool) -> dict[str, Any]:
    environ = {} if plain else compiled()
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="laurelstep-"))
        pin(0, 0)

        def child(*words: str, place: int) -> Child:
            made = Child(["-m", "benchmarks.children", *words], place, environ)
            stack.callback(made.end)
            return made

        endpoints = [child("endpoint", place=1) for _ in range(ENDPOINTS)]
        ports = [int(one.line()) for one in endpoints]
        library = configured(folder, ports, 0)
        subjects = []
        for name, words in (
            ("relay", ("relay", str(ports[0]))),
            ("library", ("host", library)),
            ("direct", ("direct", library)),
        ):
            made = child(*words, place=2)
            subjects.append(Subject(name, made, int(made.line())))
        subjects.insert(1, daemon("daemon", folder, ports, ROOT, environ))
        if other is not None:
            subjects.append(daemon("other", folder, ports, other, {} if plain else compiled(other)))
        for one in subjects:
            if one.name in ("daemon", "other"):
                stack.callback(one.child.end)
            one.play(MANY, 0.5)  # warm
            for seen in (one.rates[MANY], one.p50[MANY], one.p99[MANY], one.cpu):
                seen.clear()
            one.unserved = 0
        plan = [one for _ in range(ROUNDS) for one in subjects]
        names = [f"round {at // len(subjects) + 1}: {one.name}" for at, one in enumerate(plan)]
        for one, _ in zip(plan, progress(names), strict=True):
            one.play(MANY, LOAD_S)
            one.play(1, ALONE_S)
        return {"compiled": bool(environ), **figures(subjects)}


def figures(subjects: list[Subject]) -> dict[str, Any]:
    relay = subjects[0]
    found: dict[str, Any] = {
        "relay_per_s": round(median(relay.rates[MANY])),
        "relay_p50_us": round(1e6 * median(relay.p50[1])),
    }
    for one in subjects[1:]:
        found[f"{one.name}_over_relay"] = over(one.rates[MANY], relay.rates[MANY])
        found[f"{one.name}_alone_over_relay"] = over(one.rates[1], relay.rates[1])
        found[f"{one.name}_cpu_us"] = round(median(one.cpu), 1)
        found[f"{one.name}_unserved"] = one.unserved
        for connections, suffix in ((1, ""), (MANY, f"_{MANY}")):
            found[f"{one.name}_p50{suffix}_over_relay"] = over(one.p50[connections], relay.p50[connections])
            found[f"{one.name}_p99{suffix}_over_relay"] = over(one.p99[connections], relay.p99[connections])
    by_name = {one.name: one for one in subjects}
    if "other" in by_name:
        found["daemon_over_other"] = over(by_name["daemon"].rates[MANY], by_name["other"].rates[MANY])
    return found


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--other", type=Path, help="the root of another checkout, whose daemon runs too")
    parser.add_argument("--plain", action="store_true", help="not the compiled modules")
    told = parser.parse_args()
    print(json.dumps(measure(told.other, told.plain)))


if __name__ == "__main__":
    main()
