"""Endpoints that follow a script and count the requests that they execute."""

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
    """Counts the requests executed by all endpoints that share this object.

    A request with an idempotency key is executed once per key and its repeats are dropped, as by the
    endpoints of one cell. Other requests are executed each time they arrive.
    """

    by_id: Counter[str] = field(default_factory=Counter)
    by_key: Counter[str] = field(default_factory=Counter)
    dropped_count: int = 0

    def execute(self, message: Message) -> None:
        """Count a request as executed, or as dropped if its key was executed before."""
        key = message.headers.get("idempotency-key")
        if key is not None:
            if self.by_key[key]:
                self.dropped_count += 1
                return
            self.by_key[key] += 1
        self.by_id[message.headers.get("x-request-id", "")] += 1

    def executed_twice(self) -> list[str]:
        """Return the ids of requests that were executed more than once."""
        return [request_id for request_id, count in self.by_id.items() if count > 1]


# --- Scripts ----------------------------------------------------------------------------


def serve(body: bytes = b"ok", headers: str = "") -> Handler:
    """Execute the request, then answer 200. `headers` are complete lines, such as a load report."""

    async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        endpoint.effects.execute(message)
        writer.write(answer(200, body, headers))

    return handler


def stall(executes: bool = True) -> Handler:
    """Never answer; `executes` says whether the request is executed."""

    async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        if executes:
            endpoint.effects.execute(message)

    return handler


def status(code: int, headers: str = "", executes: bool = False) -> Handler:
    """Answer with this status code; `headers` are complete lines."""

    async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        if executes:
            endpoint.effects.execute(message)
        writer.write(answer(code, headers=headers))

    return handler


def refuse(code: int = 503) -> Handler:
    """Reject the request; the header `X-Not-Run` says that it was not executed."""
    return status(code, "X-Not-Run: 1\r\n")


def raw(data: bytes) -> Handler:
    """Write these bytes and nothing else."""

    async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(data)

    return handler


def malformed(data: bytes = b"what?\r\n\r\n") -> Handler:
    """Execute the request, then answer with bytes that are not a valid response."""

    async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        endpoint.effects.execute(message)
        writer.write(data)

    return handler


def close(executes: bool = True, partial: bytes = b"") -> Handler:
    """Close the connection after writing `partial`, the first bytes of an answer."""

    async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        if executes:
            endpoint.effects.execute(message)
        writer.write(partial)
        writer.close()

    return handler


def reset(executes: bool = True) -> Handler:
    """Reset the connection, as a process does that crashes."""

    async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        if executes:
            endpoint.effects.execute(message)
        reset_connection(writer)

    return handler


def after(event: asyncio.Event, then: Handler) -> Handler:
    """Wait for the event, then run the handler `then`."""

    async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        await event.wait()
        await then(endpoint, message, writer)

    return handler


def delayed(seconds: Callable[[], float], then: Handler | None = None) -> Handler:
    """Sleep for `seconds()`, called for each request, then run the handler `then` (`serve()` if None).

    For programs that run in real time; tests should wait for events instead.
    """
    delayed_handler = then or serve()

    async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        await asyncio.sleep(seconds())
        await delayed_handler(endpoint, message, writer)

    return handler


def sequence(*handlers: Handler) -> Handler:
    """Run the first handler for the first request and so on; the last one also for all later requests."""
    remaining = list(handlers)

    async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        next_handler = remaining.pop(0) if len(remaining) > 1 else remaining[0]
        await next_handler(endpoint, message, writer)

    return handler


def reset_connection(writer: Writer) -> None:
    """Close a connection with a TCP reset."""
    tcp_socket: socket.socket | None = writer.get_extra_info("socket")
    if tcp_socket is not None and tcp_socket.fileno() >= 0:
        tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


# --- Servers ----------------------------------------------------------------------------


class Listener:
    """A server on loopback; `port` is set by `start`."""

    port: int = 0

    async def start(self, port: int = 0) -> asyncio.Server:
        """Listen on this port, or for 0 on one that the system picks. OSError if it is in use."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", port, backlog=1024)
        self.port = server.sockets[0].getsockname()[1]
        return server

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        raise NotImplementedError


@dataclass(eq=False)
class Endpoint(Listener):
    """Answers each request with its handler, and records the requests in `requests`.

    `arrived` and `closed` are released once per request and per ended connection, for tests to wait on.
    `handler` may be replaced at any time, from the next request on. With `records_requests=False`, for
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
        """Stop as in a crash: new connections are refused, and open ones are reset."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.open_connections):
            reset_connection(writer)

    async def restart(self, started_ms: int) -> None:
        """Start again at the same address, as a new process that started at `started_ms`."""
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
            # Not raised again: the callback that asyncio adds to this task fails for a cancelled one.
            return
        finally:
            self.open_connections.discard(writer)
            writer.close()
            self.closed.release()

    def entry(self, name: str = "s-1", **changes: Any) -> dict[str, Any]:
        """Return the endpoint's entry of a discovery list, with `changes` such as `lifecycle="draining"`."""
        return {
            "instanceId": name, "hostPort": f"127.0.0.1:{self.port}", "zone": "here", "machineType": "small",
            "cell": 1, "lifecycle": "ready", "weight": 1.0, "startedAtMs": self.started_ms, **changes,
        }  # fmt: skip
