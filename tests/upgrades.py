"""Daemons that follow each other at one address, with callers that go on meanwhile."""

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
    """One process, with its own second address."""

    def __init__(self, process: Process, management_port: int) -> None:
        self.process = process
        self.management_port = management_port

    async def call(self, request_line: str) -> int:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.management_port)
        writer.write(f"{request_line} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        try:
            return (await read_message(reader)).status
        finally:
            writer.close()

    async def wait_ready(self) -> None:
        while self.process.returncode is None:
            try:
                if await self.call("GET /api/ready") == 200:
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0)
        raise AssertionError(f"it ended with {self.process.returncode}")

    async def stop(self) -> bytes:
        """SIGTERM, to the end; what it logged."""
        self.process.send_signal(signal.SIGTERM)
        _, errors = await self.process.communicate()
        assert self.process.returncode == 0, errors
        return errors


class Deployment:
    """What the versions share: addresses, discovery, endpoints, `$TMPDIR`. All of it is up
    while it is entered, and none of it outlives a test that failed."""

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
        for listener in (self.registry, *self.endpoints):
            await self.stack.enter_async_context(await listener.start())
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
        """A process that has only just been started."""
        management_port = free_port()
        told = {**self.environ, "LB_MANAGEMENT": f"127.0.0.1:{management_port}", **environ}
        version = Version(await start_daemon(told), management_port)
        self.versions.append(version)
        return version

    async def start_ready(self) -> Version:
        one = await self.start()
        await one.wait_ready()
        return one

    async def send(self, raw: bytes) -> Any:
        async with Caller("127.0.0.1", self.port) as caller:
            return await caller.send(raw)


class Load:
    """Callers of all kinds that ask until they are stopped, and what they met."""

    def __init__(self, port: int, callers: int = 12) -> None:
        self.port = port
        self.met: Counter[str] = Counter()
        self.asked = 0
        self.stopped = False
        self.tasks = [asyncio.create_task(self._call(n)) for n in range(callers)]

    async def _call(self, number: int) -> None:
        caller = Caller("127.0.0.1", self.port)
        while not self.stopped:
            fresh = caller.streams is None
            self.asked += 1
            cls = ("page", "put", "pay")[self.asked % 3]
            raw = request(cls, b"" if cls == "page" else b"body", rid=f"r{self.asked}", key=f"k{self.asked}")
            if cls != "put":
                raw = request(cls, b"" if cls == "page" else b"body", rid=f"r{self.asked}")
            try:
                self.met[str((await caller.send(raw)).status)] += 1
            except (OSError, asyncio.IncompleteReadError) as error:
                # On a kept connection its end may cross a request: it is asked once more.
                self.met[type(error).__name__ if fresh else "crossed"] += 1
            if number % 3 == 0:
                caller.close()
            await asyncio.sleep(0.001 * (number % 4))
        caller.close()

    async def stop(self) -> Counter[str]:
        self.stopped = True
        await asyncio.gather(*self.tasks)
        return self.met


def kill(version: Version) -> None:
    os.kill(version.process.pid, signal.SIGKILL)
