"""Stand-ins and helpers that the cases share: one sidecar process, endpoints, clients and the record."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
# What review/build.sh has put there for the programs' stores.
LIBRARY = ROOT / "review" / "lib" / "google_crc32c"
HELD, BROKEN, NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 115.0


def has_trouble() -> bool:
    """Whether the case includes its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count: int) -> list[int]:
    """Ports of the loopback address that were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [int(one.getsockname()[1]) for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Record:
    """What was sent, answered and run, one JSON line for each event, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.began = time.monotonic()

    def add(self, event: str, **fields: Any) -> None:
        """Write one event."""
        self.file.write(json.dumps({"s": round(time.monotonic() - self.began, 4), "event": event, **fields}))
        self.file.write("\n")
        self.file.flush()


@dataclass
class Reply:
    """An answer; status 0 if the connection ended without one."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Read one HTTP message: its first line, its headers and its body. None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head[:-4].split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        body = b""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int(await reader.readline(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return None
    return first, headers, body


async def call(
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    first_bytes: int = 1 << 30,
    piece_bytes: int = 1 << 30,
    pause_s: float = 0.0,
    timeout_s: float = 15.0,
) -> Reply:
    """Send one request on a new connection: the head with the first bytes of the body, then its other pieces,
    each after a pause.
    """
    lines = [f"{method} {target} HTTP/1.1", "Host: laurelstep"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body[:first_bytes])
            for start in range(first_bytes, len(body), piece_bytes):
                await asyncio.sleep(pause_s)
                writer.write(body[start : start + piece_bytes])
                await writer.drain()
            message = await read_message(reader)
    except (OSError, TimeoutError):
        return Reply(0)
    finally:
        if writer is not None:
            writer.close()
    return Reply(0) if message is None else Reply(int(message[0].split()[1]), message[1], message[2])


@dataclass
class Arrived:
    """A request whose last byte an endpoint has received."""

    endpoint: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


# Gives the status and the body of the answer.
Handler = Callable[[Arrived], Awaitable[tuple[int, bytes]]]


class Endpoint:
    """An HTTP/1.1 server on loopback. After `line_down` it refuses connections, until `line_up`."""

    def __init__(self, name: str, port: int, handler: Handler) -> None:
        self.name, self.port, self.handler = name, port, handler
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[Any]] = set()

    async def line_up(self) -> None:
        """Accept connections."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=1 << 20)

    def line_down(self) -> None:
        """Reset the open connections and refuse new ones."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message[0].split(" ", 2)
                status, body = await self.handler(Arrived(self.name, method, target, message[1], message[2]))
                if writer.is_closing():
                    return
                reason = {200: "OK", 500: "Internal Server Error"}.get(status, "Answer")
                writer.write(f"HTTP/1.1 {status} {reason}\r\nContent-Length: {len(body)}\r\n\r\n".encode())
                writer.write(body)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Discovery:
    """Discovery on loopback: one list that does not change, and an empty line every 2 s."""

    def __init__(self, port: int, endpoints: list[Endpoint]) -> None:
        self.port = port
        instances = [
            {"instanceId": one.name, "hostPort": f"127.0.0.1:{one.port}", "lifecycle": "ready"}
            for one in endpoints
        ]
        self.line = json.dumps({"generation": 1, "reset": True, "instances": instances}).encode() + b"\n"
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Accept watches."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def stop(self) -> None:
        """Accept no more."""
        if self.server is not None:
            self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            if await read_message(reader) is None:
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = self.line
            while True:
                writer.write(b"%x\r\n%b\r\n" % (len(line), line))
                await writer.drain()
                line = b"\n"
                await asyncio.sleep(2.0)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Sidecar:
    """One daemon, started by the deploy file's `run` from the repository's root."""

    def __init__(self, folder: Path, port: int, environ: dict[str, str], record: Record) -> None:
        self.folder, self.port, self.environ, self.record = folder, port, environ, record
        self.process: asyncio.subprocess.Process | None = None
        self.log: list[str] = []
        self.log_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the process and wait until it is ready. RuntimeError if it is not within 30 s."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        inherited = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        inherited["PYTHONPATH"] = str(ROOT / "review" / ("lib" if LIBRARY.is_dir() else "fallback"))
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=ROOT,
            env={**inherited, "TMPDIR": str(self.folder), **self.environ},
            stderr=asyncio.subprocess.PIPE,
        )
        self.log_task = asyncio.create_task(self._read_log())
        self.record.add("sidecar started")
        for _ in range(300):
            if self.process.returncode is not None:
                break
            if (await call(self.port, "GET", "/health/ready", {}, timeout_s=1.0)).status == 200:
                self.record.add("sidecar ready")
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"the sidecar is not ready: {self.log[-1:]}")

    async def _read_log(self) -> None:
        assert self.process is not None and self.process.stderr is not None
        while line := await self.process.stderr.readline():
            self.log.append(line.decode(errors="replace").rstrip())
            self.record.add("sidecar's log", line=self.log[-1])

    async def signal(self, number: signal.Signals) -> None:
        """Send a signal; wait for the end after SIGKILL."""
        assert self.process is not None
        if self.process.returncode is None:
            self.record.add("signal", number=number.name)
            self.process.send_signal(number)
            if number is signal.SIGKILL:
                await self.process.wait()

    async def stop(self) -> None:
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


async def wait_until(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Wait until a condition holds; False if it does not in time."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() >= deadline:
            return False
        await asyncio.sleep(0.01)
    return True


async def view_for_ever(port: int, record: Record) -> None:
    """A family that looks at photos all day: 20 views a second, each on a connection of its own."""
    number = 0
    answered: dict[int, int] = {}
    try:
        while True:
            number += 1
            headers = {"X-Request-Id": f"view-{number}", "X-Class": "view", "X-Deadline-Ms": "2000"}
            reply = await call(port, "GET", "/view", headers, timeout_s=3.0)
            answered[reply.status] = answered.get(reply.status, 0) + 1
            await asyncio.sleep(0.05)
    finally:
        record.add("views answered", statuses=answered)


# Plays a case in a temporary folder and returns the exit status.
Play = Callable[[Path, Record], Awaitable[int]]


def run_case(folder: Path, play: Play) -> None:
    """Run a case and exit with its status: 0 the rule held, 1 it was broken, 2 the case could not run."""
    record = Record(folder)
    temporary = Path(tempfile.mkdtemp(prefix="laurelstep-review-"))
    status = NOT_RUN

    async def limited() -> int:
        async with asyncio.timeout(TIME_LIMIT_S):
            return await play(temporary, record)

    try:
        status = asyncio.run(limited())
    except (OSError, RuntimeError, TimeoutError) as error:
        record.add("could not run", error=f"{type(error).__name__}: {error}")
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken"}.get(status, "the case could not run")
    record.add("verdict", text=verdict)
    print(verdict)
    sys.exit(status)
