"""Large bodies: memory compared with the documented bound, first byte and throughput with a bare relay.

The relay and the daemon take turns in each round: an answer of 24 MB at full speed, and the first
byte of answers of 1 MB. Then the daemon alone, with a limit of 80 MB: the memory of a silent
connection and of one with half a head; then uploads of 8 MB that arrive in pieces and answers of
32 MB that are read slowly, all at once, while its memory is sampled. The package runs as
`deploy/build` installs it; `--plain` measures the uncompiled files.
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

from benchmarks.common import ROOT, Child, compiled_environ, median, percentile, pin, progress
from benchmarks.hotpath import wait_for_port

MB = 1 << 20
ROUNDS, LARGE_BYTES, FIRST_BYTE_SAMPLES = 5, 24 * MB, 40
MEMORY_MB, UPLOADS, READERS = 80, 40, 40
SLOW_CLIENTS_S = 6.0
IDLE_CONNECTIONS = 400
SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "view", "aim-us": 500_000, "deadline-us": 5_000_000, "repeat": "retryable"},
        {"name": "pay", "aim-us": 500_000, "deadline-us": 5_000_000, "repeat": "fragile"},
    ],
    "ceilings": {"cancel": True, "max-attempts": 3, "max-streams": 1, "conn-idle-us": 10_000_000},
    "invariants": {"drain-grace-us": 500_000},
    "discovery": "push", "stage": 1,
}  # fmt: skip


def target_request(size: int, rid: str) -> bytes:
    return request("view", rid=rid).replace(b"/view?", b"/view/%d?" % size)


async def download(port: int, size: int, rid: str) -> tuple[float, float]:
    """The times until the first and the last byte of the body, s."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
    began = time.perf_counter()
    writer.write(target_request(size, rid))
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200"), head
    received = len(await reader.read(1 << 20))
    first_byte_s = time.perf_counter() - began
    while received < size:
        data = await reader.read(1 << 20)
        assert data, "the answer is incomplete"
        received += len(data)
    total_s = time.perf_counter() - began
    writer.close()
    return first_byte_s, total_s


async def median_first_byte_s(port: int) -> float:
    times = [(await download(port, MB, f"f{n}"))[0] for n in range(FIRST_BYTE_SAMPLES)]
    return percentile(times, 0.5)


async def slow_upload(port: int, number: int, end: float) -> None:
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    raw = request("pay", rid=f"u{number}").replace(b"Content-Length: 0", b"Content-Length: %d" % (8 * MB))
    writer.write(raw + b"x" * MB)
    while time.monotonic() < end:
        writer.write(b"x" * 32_768)
        await asyncio.sleep(0.25)
    writer.transport.abort()


async def slow_reader(port: int, number: int, end: float) -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=16_384)
    writer.write(target_request(32 * MB, f"d{number}"))
    while time.monotonic() < end:
        await reader.read(16_384)
        await asyncio.sleep(0.25)
    writer.transport.abort()


async def peak_memory_kb(port: int, child: Child) -> int:
    """The largest memory of the process while many slow clients are connected."""
    end = time.monotonic() + SLOW_CLIENTS_S
    tasks = [asyncio.create_task(slow_upload(port, n, end)) for n in range(UPLOADS)]
    tasks += [asyncio.create_task(slow_reader(port, n, end)) for n in range(READERS)]
    peak_kb = 0
    while not all(task.done() for task in tasks):
        peak_kb = max(peak_kb, child.memory_kb())
        await asyncio.sleep(0.02)
    await asyncio.gather(*tasks)
    return peak_kb


async def kb_per_connection(port: int, child: Child, sent: bytes) -> float:
    """The memory of each connection on which only `sent` has arrived."""
    before_kb = child.memory_kb()
    opened = [await asyncio.open_connection("127.0.0.1", port) for _ in range(IDLE_CONNECTIONS)]
    for _, writer in opened:
        writer.write(sent)
    await asyncio.sleep(0.3)
    used_kb = (child.memory_kb() - before_kb) / IDLE_CONNECTIONS
    for _, writer in opened:
        writer.transport.abort()
    await asyncio.sleep(0.3)
    return round(used_kb, 1)


def start_daemon(folder: str, port: int, environ: dict[str, str]) -> tuple[Child, int]:
    listen = free_port()
    first = {"instanceId": "s-0", "hostPort": f"127.0.0.1:{port}", "lifecycle": "ready"}
    second = {"instanceId": "s-1", "hostPort": f"127.0.0.1:{port}", "lifecycle": "ready"}
    raw = {
        "listen": f"127.0.0.1:{listen}", "discovery": f"127.0.0.1:{free_port()}", "seed": "1",
        "limits": {"sockets": 1024, "memory_mb": MEMORY_MB}, "settings": SETTINGS,
        "known": {"generation": 1, "reset": True, "instances": [first, second]},
    }  # fmt: skip
    path = Path(folder, "config.json")
    path.write_text(json.dumps(raw))
    inherited = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
    child = Child(["-m", "laurelstep"], 2, {**inherited, **environ, "LB_CONFIG": str(path)}, ROOT)
    wait_for_port(listen)
    return child, listen


def measure(is_plain: bool) -> dict[str, Any]:
    environ = {} if is_plain else compiled_environ()
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="laurelstep-"))
        pin(0, 0)
        endpoint = Child(["-m", "benchmarks.stream_child"], 1)
        stack.callback(endpoint.stop)
        endpoint_port = int(endpoint.read_line())
        relay = Child(["-m", "benchmarks.children", "relay", str(endpoint_port)], 2)
        stack.callback(relay.stop)
        subjects = {"relay": int(relay.read_line())}
        child, subjects["daemon"] = start_daemon(folder, endpoint_port, environ)
        stack.callback(child.stop)
        rates: dict[str, list[float]] = {name: [] for name in subjects}
        first_byte_s: dict[str, list[float]] = {name: [] for name in subjects}
        for port in subjects.values():
            uvloop.run(median_first_byte_s(port))  # warm-up
        for _ in progress([f"round {n + 1}" for n in range(ROUNDS)]):
            for name, port in subjects.items():
                rates[name].append(LARGE_BYTES / uvloop.run(download(port, LARGE_BYTES, "large"))[1] / MB)
                first_byte_s[name].append(uvloop.run(median_first_byte_s(port)))
        silent_kb = uvloop.run(kb_per_connection(subjects["daemon"], child, b""))
        half_kb = uvloop.run(kb_per_connection(subjects["daemon"], child, target_request(1, "half")[:-4]))
        before_kb = child.memory_kb()
        peak_kb = uvloop.run(peak_memory_kb(subjects["daemon"], child))
        used_bytes = (peak_kb - before_kb) * 1024
        bound_bytes = max_total_bytes(MEMORY_MB, UPLOADS + READERS)
        pairs = list(zip(rates["daemon"], rates["relay"], strict=True))
        return {
            "compiled": bool(environ),
            "relay_mb_per_s": round(median(rates["relay"])),
            "relay_first_us": round(1e6 * median(first_byte_s["relay"])),
            "throughput_over_relay": round(median([a / b for a, b in pairs]), 3),
            "first_byte_over_relay": round(
                median([a / b for a, b in zip(first_byte_s["daemon"], first_byte_s["relay"], strict=True)]), 3
            ),
            "silent_connection_kb": silent_kb,
            "half_head_kb": half_kb,
            "peak_mb": round(peak_kb / 1024, 1),
            "idle_mb": round(before_kb / 1024, 1),
            "bound_mb": round(bound_bytes / MB, 1),
            "peak_over_bound": round(used_bytes / bound_bytes, 3),
        }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plain", action="store_true", help="measure the uncompiled files")
    print(json.dumps(measure(parser.parse_args().plain)))


if __name__ == "__main__":
    main()
