"""Daemons that replace each other at one address by hot restart, and clients that send meanwhile."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
from collections import Counter
from pathlib import Path
from types import TracebackType
from typing import Any, Self

from laurelstep.testing import Caller

from tests.sockets import (
    TEST_TIMEOUT_S,
    Endpoint,
    Registry,
    free_port,
    read_message,
    request,
    start_daemon,
    write_config,
)

Process = asyncio.subprocess.Process


class Version:
    """A daemon process with its management address."""

    def __init__(self, process: Process, management_port: int) -> None:
        self.process = process
        self.management_port = management_port

    async def call(self, request_line: str) -> int:
        """Send a request to the management address; return the status."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.management_port)
        writer.write(f"{request_line} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        try:
            return (await read_message(reader)).status
        finally:
            writer.close()

    async def wait_ready(self) -> None:
        """Wait until readiness is reported. AssertionError if the process exits instead."""
        while self.process.returncode is None:
            try:
                if await self.call("GET /api/ready") == 200:
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0)
        raise AssertionError(f"the process exited with {self.process.returncode}")

    async def stop(self) -> bytes:
        """Send SIGTERM and wait for the exit, status 0; return what was logged."""
        self.process.send_signal(signal.SIGTERM)
        _, errors = await self.process.communicate()
        assert self.process.returncode == 0, errors
        return errors


class Deployment:
    """What the versions share: client address, discovery, endpoints and `$TMPDIR`.

    All of it, the processes included, ends with the block, also if the test fails.
    """

    def __init__(self, folder: Path, *endpoints: Endpoint, **changes: Any) -> None:
        self.folder = folder
        self.endpoints = endpoints
        self.changes = changes
        self.registry = Registry()
        self.port = free_port()
        self.versions: list[Version] = []
        self.stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        await self.stack.enter_async_context(asyncio.timeout(5 * TEST_TIMEOUT_S))
        for server in (self.registry, *self.endpoints):
            await self.stack.enter_async_context(await server.start())
        environ = write_config(self.folder, self.registry, *self.endpoints, **self.changes)
        self.environ = {**environ, "LB_LISTEN": f"127.0.0.1:{self.port}", "TMPDIR": str(self.folder)}
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for version in self.versions:
            if version.process.returncode is None:
                kill(version)
                await version.process.communicate()
        await self.stack.__aexit__(kind, error, trace)

    async def start(self, **environ: str) -> Version:
        """Start a process; it may not be ready yet."""
        management_port = free_port()
        environ = {**self.environ, "LB_MANAGEMENT": f"127.0.0.1:{management_port}", **environ}
        version = Version(await start_daemon(environ), management_port)
        self.versions.append(version)
        return version

    async def start_ready(self) -> Version:
        """Start a process and wait until it is ready."""
        version = await self.start()
        await version.wait_ready()
        return version

    async def send(self, raw: bytes) -> Any:
        """Send a request on a new connection; return the response."""
        async with Caller("127.0.0.1", self.port) as client:
            return await client.send(raw)


class Load:
    """Clients that send requests of all classes until `stop`, and the counts of their outcomes."""

    def __init__(self, port: int, client_count: int = 12) -> None:
        self.port = port
        self.outcomes: Counter[str] = Counter()
        self.sent = 0
        self.is_stopped = False
        self.tasks = [asyncio.create_task(self._send_requests(n)) for n in range(client_count)]

    async def _send_requests(self, number: int) -> None:
        client = Caller("127.0.0.1", self.port)
        while not self.is_stopped:
            is_new = client.streams is None
            self.sent += 1
            cls = ("page", "put", "pay")[self.sent % 3]
            raw = request(cls, b"" if cls == "page" else b"body", rid=f"r{self.sent}", key=f"k{self.sent}")
            if cls != "put":
                raw = request(cls, b"" if cls == "page" else b"body", rid=f"r{self.sent}")
            try:
                self.outcomes[str((await client.send(raw)).status)] += 1
            except (OSError, asyncio.IncompleteReadError) as error:
                # A kept connection may be closed as a request is sent on it.
                self.outcomes[type(error).__name__ if is_new else "closed while kept"] += 1
            if number % 3 == 0:
                client.close()
            await asyncio.sleep(0.001 * (number % 4))
        client.close()

    async def stop(self) -> Counter[str]:
        """Stop sending; return how often each status or error was met."""
        self.is_stopped = True
        await asyncio.gather(*self.tasks)
        return self.outcomes


def kill(version: Version) -> None:
    os.kill(version.process.pid, signal.SIGKILL)
