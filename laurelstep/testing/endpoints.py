"""Endpoints that follow a script, and a count of the effects that they have executed."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from types import TracebackType
from typing import Any, Self

from laurelstep.testing.messages import Message, Reader, Writer, answer, read_message

Handler = Callable[["Endpoint", Message, Writer], Awaitable[None]]


@dataclass
class Effects:
    """Counts what was executed by all endpoints that share this object.

    A request with an idempotency key is executed once for its key and a repeat is dropped, as the
    endpoints of one cell do. Other requests are executed as often as they come.
    """

    by_id: Counter[str] = field(default_factory=Counter)
    by_key: Counter[str] = field(default_factory=Counter)
    dropped_count: int = 0

    def execute(self, message: Message) -> None:
        """Execute a request, or drop it as a repeat of its key."""
        key = message.headers.get("idempotency-key")
        if key is not None:
            if self.by_key[key]:
                self.dropped_count += 1
                return
            self.by_key[key] += 1
        self.by_id[message.headers.get("x-request-id", "")] += 1

    def executed_twice(self) -> list[str]:
        """The ids of requests that took effect more than once."""
        return [name for name, times in self.by_id.items() if times > 1]


# --- Scripts ----------------------------------------------------------------------------


def serve(body: bytes = b"ok", headers: str = "") -> Handler:
    """Execute, then answer 200. `headers` are complete lines, such as a load report's."""

    async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        endpoint.effects.execute(message)
        writer.write(answer(200, body, headers))

    return handler


def stall(executes: bool = True) -> Handler:
    """Give no answer until the connection closes; `executes` says whether the request has run."""

    async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        if executes:
            endpoint.effects.execute(message)

    return handler


def status(code: int, headers: str = "", executes: bool = False) -> Handler:
    """Answer with this status."""

    async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        if executes:
            endpoint.effects.execute(message)
        writer.write(answer(code, headers=headers))

    return handler


def refuse(code: int = 503) -> Handler:
    """Reject the request: `X-Not-Run` says that it was not executed."""
    return status(code, "X-Not-Run: 1\r\n")


def raw(data: bytes) -> Handler:
    """Write these bytes and nothing else."""

    async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(data)

    return handler


def malformed(data: bytes = b"what?\r\n\r\n") -> Handler:
    """Execute, then answer with bytes that are no valid response."""

    async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        endpoint.effects.execute(message)
        writer.write(data)

    return handler


def close(executes: bool = True, partial: bytes = b"") -> Handler:
    """End the connection, after `partial`, the first bytes of an answer."""

    async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        if executes:
            endpoint.effects.execute(message)
        writer.write(partial)
        writer.close()

    return handler


def reset(executes: bool = True) -> Handler:
    """Reset the connection, as a process that crashes does."""

    async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        if executes:
            endpoint.effects.execute(message)
        reset_connection(writer)

    return handler


def after(event: asyncio.Event, then: Handler) -> Handler:
    """Wait for the event, then follow the other script."""

    async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        await event.wait()
        await then(endpoint, message, writer)

    return handler


def delayed(seconds: Callable[[], float], then: Handler | None = None) -> Handler:
    """Sleep for a time that is drawn anew for each request, then follow the script (`serve`).

    For programs that run in real time; a test waits for events instead.
    """
    script = then or serve()

    async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        await asyncio.sleep(seconds())
        await script(endpoint, message, writer)

    return handler


def sequence(*scripts: Handler) -> Handler:
    """Follow the first script for the first request, and so on; the last one holds from then on."""
    left = list(scripts)

    async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        script = left.pop(0) if len(left) > 1 else left[0]
        await script(endpoint, message, writer)

    return handler


def reset_connection(writer: Writer) -> None:
    """Close a connection with a reset."""
    found: socket.socket | None = writer.get_extra_info("socket")
    if found is not None and found.fileno() >= 0:
        found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


# --- Servers ----------------------------------------------------------------------------


class Listener:
    """Serves connections on a port that the system picks, which is then in `port`."""

    port: int = 0

    async def start(self, port: int = 0) -> asyncio.Server:
        """Listen at this port, or at one that the system picks. OSError if it is taken."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", port, backlog=1024)
        self.port = server.sockets[0].getsockname()[1]
        return server

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        raise NotImplementedError


@dataclass(eq=False)
class Endpoint(Listener):
    """Answers each request by its script, and records the requests in `requests`.

    `arrived` and `closed` are released for each request and each ended connection, for tests that wait.
    `handler` may be set at any time and holds from the next request on. With `records_requests=False`, for
    long runs, requests are only counted.
    """

    handler: Handler = field(default_factory=serve)
    requests: list[Message] = field(default_factory=list)
    connection_count: int = 0
    closed: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(0))
    arrived: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(0))
    effects: Effects = field(default_factory=Effects)
    started_ms: int = 0
    records_requests: bool = True  # whether requests are recorded in `requests`
    request_count: int = 0
    open_connections: set[Writer] = field(default_factory=set)
    server: asyncio.Server | None = None

    async def __aenter__(self) -> Self:
        self.server = await self.start()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.stop()

    def stop(self) -> None:
        """Stop as a crash does: the port refuses, and open connections are reset."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.open_connections):
            reset_connection(writer)

    async def restart(self, started_ms: int) -> None:
        """Start anew at the same address, as a new process."""
        self.stop()
        self.started_ms = started_ms
        self.server = await self.start(self.port)

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        self.connection_count += 1
        self.open_connections.add(writer)
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while True:
                    message = await read_message(reader)
                    self.request_count += 1
                    if self.records_requests:
                        self.requests.append(message)
                    self.arrived.release()
                    await self.handler(self, message, writer)
        except asyncio.CancelledError:
            # Guards against asyncio's own callback, which fails on a cancelled task.
            return
        finally:
            self.open_connections.discard(writer)
            writer.close()
            self.closed.release()

    def entry(self, name: str = "s-1", **changes: Any) -> dict[str, Any]:
        """The endpoint's entry of a list in discovery's form, with `changes` such as
        `lifecycle="draining"`.
        """
        return {
            "instanceId": name, "hostPort": f"127.0.0.1:{self.port}", "zone": "here", "machineType": "small",
            "cell": 1, "lifecycle": "ready", "weight": 1.0, "startedAtMs": self.started_ms, **changes,
        }  # fmt: skip
