"""Real sockets on loopback for the tests: endpoints, discovery and a caller."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import uvloop

from woadyard.interface import Action, Outcome
from woadyard.net.discovery import Discovery
from woadyard.net.driver import Driver, Names
from woadyard.net.server import Server
from woadyard.net.upstream import Upstream
from woadyard.wire import read_settings

SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "page", "aim-us": 2_000_000, "deadline-us": 5_000_000, "repeat": "retryable"},
        {
            "name": "put", "aim-us": 2_000_000, "deadline-us": 5_000_000, "repeat": "dedup",
            "dedup-scope": "cell", "repeat-window-us": 5_000_000,
        },
        {"name": "pay", "aim-us": 2_000_000, "deadline-us": 5_000_000, "repeat": "fragile"},
    ],
    "ceilings": {
        "cancel": True, "second-copies": True, "max-attempts": 3, "max-streams": 1,
        "conn-idle-us": 30_000_000, "connect-timeout-us": 1_000_000, "retry-after": True,
    },
    "invariants": {"drain-grace-us": 500_000},
    "load-report": {"fields": ["waiting", "rps"], "how": "piggyback"},
    "zones": ["here"], "kinds": ["small"], "discovery": "push", "stage": 1,
}  # fmt: skip

Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter
TIMEOUT_S = 20.0  # for a test that hangs; nothing is measured by it


@dataclass
class Message:
    start: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: Reader) -> Message:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:] if line)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(head[0], headers, body)


def answer(status: int = 200, body: bytes = b"ok", headers: str = "") -> bytes:
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
    return head.encode() + body


def run(test: Coroutine[Any, Any, None]) -> None:
    """On the loop that the sidecar runs on."""
    uvloop.run(test)


Handler = Callable[["Endpoint", Message, Writer], Awaitable[None]]


async def serve_ok(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    writer.write(answer())


class Listener:
    """Serves connections on a port that the system picks."""

    port: int = 0

    async def start(self) -> asyncio.Server:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return server

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        raise NotImplementedError


@dataclass
class Endpoint(Listener):
    """Answers each request by its handler and keeps what it was sent."""

    handler: Handler = serve_ok
    got: list[Message] = field(default_factory=list)
    opened: int = 0
    closed: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(0))
    arrived: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(0))

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        self.opened += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                message = await read_message(reader)
                self.got.append(message)
                self.arrived.release()
                await self.handler(self, message, writer)
        writer.close()
        self.closed.release()

    def entry(self, name: str = "s-1", **changes: Any) -> dict[str, Any]:
        return {
            "instanceId": name, "hostPort": f"127.0.0.1:{self.port}", "zone": "here", "machineType": "small",
            "cell": 1, "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0, **changes,
        }  # fmt: skip


@dataclass
class Registry(Listener):
    """Discovery: one watch at a time, fed by the test."""

    asked: asyncio.Queue[tuple[str, Writer]] = field(default_factory=asyncio.Queue)

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        message = await read_message(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        await self.asked.put((message.start, writer))
        await reader.read()
        writer.close()


def push(writer: Writer, generation: int, whole: bool, *entries: dict[str, Any]) -> None:
    line = json.dumps({"generation": generation, "reset": whole, "instances": entries}) + "\n"
    push_raw(writer, line.encode())


def push_raw(writer: Writer, line: bytes) -> None:
    writer.write(b"%x\r\n%b\r\n" % (len(line), line))


@dataclass
class Sidecar:
    driver: Driver
    upstream: Upstream
    server: Server
    port: int

    def told(self, *entries: dict[str, Any], whole: bool = True) -> None:
        self.driver.listed(1, whole, list(entries))

    async def connect(self) -> tuple[Reader, Writer]:
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def ask(self, raw: bytes) -> Message:
        reader, writer = await self.connect()
        writer.write(raw)
        message = await read_message(reader)
        writer.close()
        return message


def request(
    cls: str = "page", body: bytes = b"", headers: str = "", deadline_ms: int = 4000, rid: str = "r1"
) -> bytes:
    method = "GET" if cls == "page" else "POST"
    length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
    key = "Idempotency-Key: k1\r\n" if cls == "put" else ""
    return (
        f"{method} /{cls}?obj=7f3a HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: {rid}\r\n"
        f"X-Class: {cls}\r\n"
        f"X-Deadline-Ms: {deadline_ms}\r\n{length}{key}{headers}\r\n"
    ).encode() + body


@contextlib.asynccontextmanager
async def sidecar(
    *endpoints: Endpoint,
    known: bool = True,
    registry: Registry | None = None,
    ceilings: dict[str, Any] | None = None,
    stage: int = 1,
) -> AsyncIterator[Sidecar]:
    """A sidecar whose list holds the endpoints, all on ports that the system picks."""
    raw = {**SETTINGS, "ceilings": {**SETTINGS["ceilings"], **(ceilings or {})}, "stage": stage}
    settings = read_settings(json.dumps(raw).encode())
    loop = asyncio.get_running_loop()
    async with contextlib.AsyncExitStack() as stack, asyncio.timeout(TIMEOUT_S):
        for endpoint in endpoints:
            listener = await endpoint.start()
            stack.callback(listener.close)
        upstream = Upstream(loop, Driver.now, settings.idle_us, settings.connect_timeout_us, 64)
        driver = Driver(loop, 1, settings, Names(raw, settings), upstream, 500_000)
        if registry is not None:
            listener = await registry.start()
            stack.callback(listener.close)
            address = f"127.0.0.1:{registry.port}"
            driver.discovery = Discovery(loop, address, "/registry/instances", True, driver.listed)
            stack.callback(driver.discovery.close)
        entries = [one.entry(f"s-{n}") for n, one in enumerate(endpoints)]
        driver.start({"generation": 41, "reset": True, "instances": entries} if known else None)
        server = Server(driver)
        port = await server.listen("127.0.0.1", 0)
        stack.callback(upstream.close)
        yield Sidecar(driver, upstream, server, port)
        if server.listener is not None:
            server.listener.close()


def outcomes(one: Sidecar) -> list[Outcome]:
    """All that the module is told of attempts from now on."""
    told: list[Outcome] = []
    real = one.driver.balancer.outcome

    def outcome(now: int, event: Outcome) -> list[Action]:
        told.append(event)
        return real(now, event)

    vars(one.driver.balancer)["outcome"] = outcome
    return told


async def hold(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    """No answer, until the connection closes."""


def config(tmp_path: Path, registry: Registry, *endpoints: Endpoint, **changes: Any) -> dict[str, str]:
    raw = {
        "name": "n1", "listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{registry.port}", "seed": "8c1f",
        "limits": {"sockets": 1024}, "settings": SETTINGS,
        "known": {"generation": 1, "reset": True, "instances": [one.entry() for one in endpoints]},
        **changes,
    }  # fmt: skip
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw))
    return {**os.environ, "LB_CONFIG": str(path)}


async def start(environ: dict[str, str], errors: int = asyncio.subprocess.PIPE) -> asyncio.subprocess.Process:
    pipe = asyncio.subprocess.PIPE
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "woadyard", env=environ, stdout=pipe, stderr=errors
    )


def free_port() -> int:
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        port: int = found.getsockname()[1]
        return port


async def connect_until_up(port: int) -> tuple[Reader, Writer]:
    while True:
        try:
            return await asyncio.open_connection("127.0.0.1", port)
        except ConnectionError:
            await asyncio.sleep(0)
