"""Requests a second, latency and CPU of the daemon and the library on one core.

Subjects take turns in each round: a bare relay (the reference), the daemon, the library
as middleware in uvicorn, and the library's client alone. One client process drives the
first three over sockets, each connection with one request in flight at a time; the endpoint
answers at once. The tier is not the entry tier, whose admission control would refuse some of
the requests of a closed loop: a refusal costs less than a request that is served.
The package runs as `deploy/build` installs it, compiled; `--plain` measures the uncompiled
files, and `--other FOLDER` adds the daemon of another checkout, installed in the same way.
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

from benchmarks.common import ROOT, Child, compiled_environ, median, package_name, percentile, pin, progress

MANY = 32  # connections at once; the alternative is one
ROUNDS, LOAD_S, SINGLE_S = 7, 1.0, 0.4
ENDPOINTS = 4
CLASSES = [{"name": "view", "aim-us": 500_000, "deadline-us": 2_000_000, "repeat": "retryable"}]
SETTINGS: dict[str, Any] = {
    "classes": CLASSES,
    "ceilings": {"cancel": True, "max-attempts": 3, "max-streams": 1, "conn-idle-us": 10_000_000},
    "invariants": {"drain-grace-us": 500_000},
    "discovery": "push", "stage": 1,
}  # fmt: skip


class LoadConnection(asyncio.Protocol):
    """One client connection, which sends the next request when the last is answered."""

    def __init__(self, number: int, end: float, times: list[float], unserved_times: list[float]) -> None:
        self.raw = request("view", rid=f"r{number}", deadline_ms=2000)
        self.end = end
        self.times = times  # of served requests, s
        self.unserved_times = unserved_times
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
        head, separator, body = self.buffer.partition(b"\r\n\r\n")
        if not separator or len(body) < int(head.lower().partition(b"content-length: ")[2].split(b"\r")[0]):
            return
        now = time.perf_counter()
        served = head.startswith(b"HTTP/1.1 200")
        (self.times if served else self.unserved_times).append(now - self.began)
        self.buffer = b""
        if now < self.end:
            self.send()
        else:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.done.done():
            self.done.set_result(None)


async def run_load(port: int, connections: int, seconds: float) -> tuple[list[float], int]:
    """Send requests for `seconds`. Returns the times of those served, s, and the number of others."""
    loop = asyncio.get_running_loop()
    times: list[float] = []
    unserved_times: list[float] = []
    load_connections = [
        LoadConnection(n, time.perf_counter() + seconds, times, unserved_times) for n in range(connections)
    ]
    for connection in load_connections:
        await loop.create_connection(lambda protocol=connection: protocol, "127.0.0.1", port)  # type: ignore[misc]
    await asyncio.gather(*(connection.done for connection in load_connections))
    return times, len(unserved_times)


@dataclass
class Subject:
    """A measured process and its results, by number of connections: requests a second, and times in s."""

    name: str
    child: Child
    port: int
    rates: dict[int, list[float]] = field(default_factory=lambda: {1: [], MANY: []})
    p50: dict[int, list[float]] = field(default_factory=lambda: {1: [], MANY: []})
    p99: dict[int, list[float]] = field(default_factory=lambda: {1: [], MANY: []})
    cpu: list[float] = field(default_factory=list)  # µs a request, at many connections
    unserved: int = 0  # refused or failed, at many connections

    def run_round(self, connections: int, seconds: float) -> None:
        if self.port:
            before = self.child.cpu_us()
            times, unserved = uvloop.run(run_load(self.port, connections, seconds))
            cpu_us = self.child.cpu_us() - before
        else:
            self.child.write_line(f"{connections} {seconds}")
            result = json.loads(self.child.read_line())
            times, unserved, cpu_us = result["times"], result["unserved"], result["cpu_us"]
        self.rates[connections].append(len(times) / seconds)
        self.p50[connections].append(percentile(times, 0.5))
        self.p99[connections].append(percentile(times, 0.99))
        if connections == MANY:
            self.cpu.append(cpu_us / (len(times) + unserved))
            self.unserved += unserved


def ratio(values: list[float], reference: list[float]) -> float:
    """The median of the ratios of each round."""
    return round(median([a / b for a, b in zip(values, reference, strict=True)]), 3)


def wait_for_port(port: int) -> None:
    end = time.monotonic() + 20.0
    while time.monotonic() < end:
        with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port), 1.0):
            return
        time.sleep(0.02)
    raise RuntimeError("the daemon does not accept connections")


def write_config(folder: str, ports: list[int], listen: int) -> str:
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


def start_daemon(
    name: str, folder: str, ports: list[int], root: Path, added: dict[str, str] | None = None
) -> Subject:
    listen = free_port()
    path = write_config(folder, ports, listen)
    inherited = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
    child = Child(["-m", package_name(root)], 2, {**inherited, **(added or {}), "LB_CONFIG": path}, root)
    wait_for_port(listen)
    return Subject(name, child, listen)


def measure(other: Path | None, is_plain: bool) -> dict[str, Any]:
    environ = {} if is_plain else compiled_environ()
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="laurelstep-"))
        pin(0, 0)

        def child(*arguments: str, core: int) -> Child:
            process = Child(["-m", "benchmarks.children", *arguments], core, environ)
            stack.callback(process.stop)
            return process

        endpoints = [child("endpoint", core=1) for _ in range(ENDPOINTS)]
        ports = [int(endpoint.read_line()) for endpoint in endpoints]
        library = write_config(folder, ports, 0)
        subjects = []
        for name, arguments in (
            ("relay", ("relay", str(ports[0]))),
            ("library", ("host", library)),
            ("direct", ("direct", library)),
        ):
            process = child(*arguments, core=2)
            subjects.append(Subject(name, process, int(process.read_line())))
        subjects.insert(1, start_daemon("daemon", folder, ports, ROOT, environ))
        if other is not None:
            subjects.append(
                start_daemon("other", folder, ports, other, {} if is_plain else compiled_environ(other))
            )
        for subject in subjects:
            if subject.name in ("daemon", "other"):
                stack.callback(subject.child.stop)
            subject.run_round(MANY, 0.5)  # warm-up
            for values in (subject.rates[MANY], subject.p50[MANY], subject.p99[MANY], subject.cpu):
                values.clear()
            subject.unserved = 0
        plan = [subject for _ in range(ROUNDS) for subject in subjects]
        names = [f"round {turn // len(subjects) + 1}: {subject.name}" for turn, subject in enumerate(plan)]
        for subject, _ in zip(plan, progress(names), strict=True):
            subject.run_round(MANY, LOAD_S)
            subject.run_round(1, SINGLE_S)
        return {"compiled": bool(environ), **summarize(subjects)}


def summarize(subjects: list[Subject]) -> dict[str, Any]:
    relay = subjects[0]
    figures: dict[str, Any] = {
        "relay_per_s": round(median(relay.rates[MANY])),
        "relay_p50_us": round(1e6 * median(relay.p50[1])),
    }
    for subject in subjects[1:]:
        figures[f"{subject.name}_over_relay"] = ratio(subject.rates[MANY], relay.rates[MANY])
        figures[f"{subject.name}_alone_over_relay"] = ratio(subject.rates[1], relay.rates[1])
        figures[f"{subject.name}_cpu_us"] = round(median(subject.cpu), 1)
        figures[f"{subject.name}_unserved"] = subject.unserved
        for count, suffix in ((1, ""), (MANY, f"_{MANY}")):
            figures[f"{subject.name}_p50{suffix}_over_relay"] = ratio(subject.p50[count], relay.p50[count])
            figures[f"{subject.name}_p99{suffix}_over_relay"] = ratio(subject.p99[count], relay.p99[count])
    by_name = {subject.name: subject for subject in subjects}
    if "other" in by_name:
        figures["daemon_over_other"] = ratio(by_name["daemon"].rates[MANY], by_name["other"].rates[MANY])
    return figures


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--other", type=Path, help="root of another checkout, whose daemon is measured too")
    parser.add_argument("--plain", action="store_true", help="measure the uncompiled files")
    arguments = parser.parse_args()
    print(json.dumps(measure(arguments.other, arguments.plain)))


if __name__ == "__main__":
    main()
