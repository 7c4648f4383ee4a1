"""Child processes of `hotpath`: the endpoint, the bare relay, the library in uvicorn, and its client alone.

`python -m benchmarks.children ROLE [ARGUMENT...]`; each prints its port as its first line.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from typing import cast

import uvicorn
import uvloop
from laurelstep.library import BalancerMiddleware, Client, Ending, Request
from laurelstep.library.asgi import Receive, Scope, Send

BODY = b"x" * 256
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nContent-Type: text/plain\r\n\r\n%b" % (len(BODY), BODY)


class Endpoint(asyncio.Protocol):
    """Answers each request at once; requests have no body and are not pipelined."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.received = b""

    def data_received(self, data: bytes) -> None:
        self.received += data
        if self.received.endswith(b"\r\n\r\n"):
            self.received = b""
            self.transport.write(ANSWER)


class RelayConnection(asyncio.Protocol):
    """One side of a relay: data received here is written to the peer."""

    def __init__(self) -> None:
        self.peer: RelayConnection | None = None
        self.transport: asyncio.Transport | None = None
        self.pending: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if self.peer is None or self.peer.transport is None:
            self.pending.append(data)
        else:
            self.peer.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.close()


class RelayClientConnection(RelayConnection):
    """The client's side: opens a connection to the endpoint."""

    def __init__(self, port: int) -> None:
        super().__init__()
        self.port = port
        self.task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.task = asyncio.get_running_loop().create_task(self.connect_upstream())

    async def connect_upstream(self) -> None:
        upstream = RelayConnection()
        upstream.peer = self
        await asyncio.get_running_loop().create_connection(lambda: upstream, "127.0.0.1", self.port)
        self.peer = upstream
        assert upstream.transport is not None
        for data in self.pending:
            upstream.transport.write(data)


async def listen(protocol: type[Endpoint] | None, port: int = 0) -> None:
    loop = asyncio.get_running_loop()
    factory = protocol or (lambda: RelayClientConnection(port))
    server = await loop.create_server(factory, "127.0.0.1", 0, backlog=1024)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.Event().wait()


async def unexpected_request(scope: Scope, receive: Receive, send: Send) -> None:
    raise RuntimeError("the middleware must balance every request")


async def serve_middleware(path: str) -> None:
    """Serve the middleware with uvicorn."""
    app = BalancerMiddleware(unexpected_request, Client.open(path))
    config = uvicorn.Config(app, "127.0.0.1", 0, http="httptools", log_config=None, access_log=False)
    config.load()
    server = uvicorn.Server(config)
    server.lifespan = config.lifespan_class(config)
    await server.startup()
    print(server.servers[0].sockets[0].getsockname()[1], flush=True)
    await asyncio.Event().wait()


async def run_client(path: str) -> None:
    """Send requests with the library's client alone. Each input line is `TASKS SECONDS`, each output line the
    result of that run.
    """
    loop = asyncio.get_running_loop()
    async with Client.open(path) as client:
        print(0, flush=True)
        while line := await loop.run_in_executor(None, sys.stdin.readline):
            tasks, seconds = line.split()
            end = time.perf_counter() + float(seconds)
            began = time.thread_time()
            results = await asyncio.gather(*(send_until(client, n, end) for n in range(int(tasks))))
            cpu_s = time.thread_time() - began
            times = [seconds_taken for task_times, _ in results for seconds_taken in task_times]
            unserved_count = sum(task_unserved for _, task_unserved in results)
            print(json.dumps({"times": times, "unserved": unserved_count, "cpu_us": cpu_s * 1e6}), flush=True)


async def send_until(client: Client, number: int, end: float) -> tuple[list[float], int]:
    request = Request("view", "/view?obj=7f3a", deadline_s=2.0, id=f"r{number}")
    times = []
    unserved_count = 0
    while (began := time.perf_counter()) < end:
        reply = await client.send(request)
        if reply.outcome is Ending.SERVED:
            times.append(time.perf_counter() - began)
        else:
            unserved_count += 1
    return times, unserved_count


ROLES = {
    "endpoint": lambda: listen(Endpoint),
    "relay": lambda: listen(None, int(sys.argv[2])),
    "host": lambda: serve_middleware(sys.argv[2]),
    "direct": lambda: run_client(sys.argv[2]),
}

if __name__ == "__main__":
    uvloop.run(ROLES[sys.argv[1]]())
