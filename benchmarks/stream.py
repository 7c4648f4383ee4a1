"""Large bodies: memory held beside the stated bound, first byte and throughput beside a bare relay.

The relay and the daemon take turns in each round: an answer of 24 MB as fast as it goes, and
the first byte of answers of 1 MB. Then the daemon alone, with 80 MB allowed: what a silent
connection takes, and one with half a head; then uploads of 8 MB that come in pieces and answers
of 32 MB read slowly, all open at once, with its memory looked at all the while. The package runs
as `deploy/build` installs it; `--plain` measures the files as they stand.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import tempfile
import time
from pathlib import Path
from typing import Any

import uvloop
from laurelstep.flow_control.buffer_budget import max_total_bytes
from laurelstep.testing import free_port, request

from benchmarks.common import ROOT, Child, compiled, median, percentile, pin, progress
from benchmarks.hotpath import await_port

MB = 1 << 20
ROUNDS, LARGE, FIRSTS = 5, 24 * MB, 40
MEMORY_MB, UPLOADS, READERS = 80, 40, 40
SLOW_S = 6.0
IDLE = 400
SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "view", "aim-us": 500_000, "deadline-us": 5_000_000, "repeat": "retryable"},
        {"name": "pay", "aim-us": 500_000, "deadline-us": 5_000_000, "repeat": "fragile"},
    ],
    "ceilings": {"cancel": True, "max-attempts": 3, "max-streams": 1, "conn-idle-us": 10_000_000},
    "invariants": {"drain-grace-us": 500_000},
    "discovery": "push", "stage": 1,
}  # fmt: skip


def asked(size: int, rid: str) -> bytes:
    return request("view", rid=rid).replace(b"/view?", b"/view/%d?" % size)


async def download(port: int, size: int, rid: str) -> tuple[float, float]:
    """Until the first byte of the body, and until the last, s."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
    began = time.perf_counter()
    writer.write(asked(size, rid))
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200"), head
    got = len(await reader.read(1 << 20))
    first = time.perf_counter() - began
    while got < size:
        part = await reader.read(1 << 20)
        assert part, "the answer is not whole"
        got += len(part)
    whole = time.perf_counter() - began
    writer.close()
    return first, whole


async def firsts(port: int) -> float:
    found = [(await download(port, MB, f"f{n}"))[0] for n in range(FIRSTS)]
    return percentile(found, 0.5)


async def slow_upload(port: int, number: int, until: float) -> None:
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    raw = request("pay", rid=f"u{number}").replace(b"Content-Length: 0", b"Content-Length: %d" % (8 * MB))
    writer.write(raw + b"x" * MB)
    while time.monotonic() < until:
        writer.write(b"x" * 32_768)
        await asyncio.sleep(0.25)
    writer.transport.abort()


async def slow_reader(port: int, number: int, until: float) -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=16_384)
    writer.write(asked(32 * MB, f"d{number}"))
    while time.monotonic() < until:
        await reader.read(16_384)
        await asyncio.sleep(0.25)
    writer.transport.abort()


async def crowd(port: int, child: Child) -> int:
    """The most memory that the process had meanwhile, KB."""
    until = time.monotonic() + SLOW_S
    slow = [asyncio.create_task(slow_upload(port, n, until)) for n in range(UPLOADS)]
    slow += [asyncio.create_task(slow_reader(port, n, until)) for n in range(READERS)]
    most = 0
    while not all(task.done() for task in slow):
        most = max(most, child.memory_kb())
        await asyncio.sleep(0.02)
    await asyncio.gather(*slow)
    return most


async def connections(port: int, child: Child, sent: bytes) -> float:
    """What one more connection costs that has sent so much of a head, KB."""
    before = child.memory_kb()
    held = [await asyncio.open_connection("127.0.0.1", port) for _ in range(IDLE)]
    for _, writer in held:
        writer.write(sent)
    await asyncio.sleep(0.3)
    found = (child.memory_kb() - before) / IDLE
    for _, writer in held:
        writer.transport.abort()
    await asyncio.sleep(0.3)
    return round(found, 1)


def daemon(folder: str, port: int, environ: dict[str, str]) -> tuple[Child, int]:
    listen = free_port()
    entry = {"instanceId": "s-0", "hostPort": f"127.0.0.1:{port}", "lifecycle": "ready"}
    other = {"instanceId": "s-1", "hostPort": f"127.0.0.1:{port}", "lifecycle": "ready"}
    raw = {
        "listen": f"127.0.0.1:{listen}", "discovery": f"127.0.0.1:{free_port()}", "seed": "1",
        "limits": {"sockets": 1024, "memory_mb": MEMORY_MB}, "settings": SETTINGS,
        "known": {"generation": 1, "reset": True, "instances": [entry, other]},
    }  # fmt: skip
    path = Path(folder, "config.json")
    path.write_text(json.dumps(raw))
    plain = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
    child = Child(["-m", "laurelstep"], 2, {**plain, **environ, "LB_CONFIG": str(path)}, ROOT)
    await_port(listen)
    return child, listen


def measure(plain: bool) -> dict[str, Any]:
    environ = {} if plain else compiled()
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="laurelstep-"))
        pin(0, 0)
        endpoint = Child(["-m", "benchmarks.stream_child"], 1)
        stack.callback(endpoint.end)
        far = int(endpoint.line())
        relay = Child(["-m", "benchmarks.children", "relay", str(far)], 2)
        stack.callback(relay.end)
        subjects = {"relay": int(relay.line())}
        child, subjects["daemon"] = daemon(folder, far, environ)
        stack.callback(child.end)
        rates: dict[str, list[float]] = {name: [] for name in subjects}
        first: dict[str, list[float]] = {name: [] for name in subjects}
        for port in subjects.values():
            uvloop.run(firsts(port))  # warm
        for _ in progress([f"round {n + 1}" for n in range(ROUNDS)]):
            for name, port in subjects.items():
                rates[name].append(LARGE / uvloop.run(download(port, LARGE, "large"))[1] / MB)
                first[name].append(uvloop.run(firsts(port)))
        silent_kb = uvloop.run(connections(subjects["daemon"], child, b""))
        half_kb = uvloop.run(connections(subjects["daemon"], child, asked(1, "half")[:-4]))
        before = child.memory_kb()
        most = uvloop.run(crowd(subjects["daemon"], child))
        held = (most - before) * 1024
        allowed = max_total_bytes(MEMORY_MB, UPLOADS + READERS)
        pairs = list(zip(rates["daemon"], rates["relay"], strict=True))
        return {
            "compiled": bool(environ),
            "relay_mb_per_s": round(median(rates["relay"])),
            "relay_first_us": round(1e6 * median(first["relay"])),
            "throughput_over_relay": round(median([a / b for a, b in pairs]), 3),
            "first_byte_over_relay": round(
                median([a / b for a, b in zip(first["daemon"], first["relay"], strict=True)]), 3
            ),
            "silent_connection_kb": silent_kb,
            "half_head_kb": half_kb,
            "peak_mb": round(most / 1024, 1),
            "idle_mb": round(before / 1024, 1),
            "bound_mb": round(allowed / MB, 1),
            "peak_over_bound": round(held / allowed, 3),
        }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plain", action="store_true", help="not the compiled modules")
    print(json.dumps(measure(parser.parse_args().plain)))


if __name__ == "__main__":
    main()
