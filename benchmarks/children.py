"""The processes of `hotpath`: endpoint, bare relay, host of the library, library alone.

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
    """Answers each head at once; requests have no body and come one at a time."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.tail = b""

    def data_received(self, data: bytes) -> None:
        self.tail += data
        if self.tail.endswith(b"\r\n\r\n"):
            self.tail = b""
            self.transport.write(ANSWER)


class Pipe(asyncio.Protocol):
    """One side of a relay: what comes here goes to the other."""

    def __init__(self) -> None:
        self.other: Pipe | None = None
        self.transport: asyncio.Transport | None = None
        self.waiting: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if self.other is None or self.other.transport is None:
            self.waiting.append(data)
        else:
            self.other.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


class Relay(Pipe):
    """The callers' side: opens its own connection to the endpoint."""

    def __init__(self, port: int) -> None:
        super().__init__()
        self.port = port
        self.task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.task = asyncio.get_running_loop().create_task(self.join())

    async def join(self) -> None:
        far = Pipe()
        far.other = self
        await asyncio.get_running_loop().create_connection(lambda: far, "127.0.0.1", self.port)
        self.other = far
        assert far.transport is not None
        for data in self.waiting:
            far.transport.write(data)


async def listen(protocol: type[Endpoint] | None, port: int = 0) -> None:
    loop = asyncio.get_running_loop()
    factory = protocol or (lambda: Relay(port))
    server = await loop.create_server(factory, "127.0.0.1", 0, backlog=1024)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.Event().wait()


async def nothing(scope: Scope, receive: Receive, send: Send) -> None:
    raise RuntimeError("only balanced requests come here")


async def host(path: str) -> None:
    """The middleware on uvicorn."""
    app = BalancerMiddleware(nothing, Client.open(path))
    config = uvicorn.Config(app, "127.0.0.1", 0, http="httptools", log_config=None, access_log=False)
    config.load()
    server = uvicorn.Server(config)
    server.lifespan = config.lifespan_class(config)
    await server.startup()
    print(server.servers[0].sockets[0].getsockname()[1], flush=True)
    await asyncio.Event().wait()


async def direct(path: str) -> None:
    """The client alone: each line that comes is `TASKS SECONDS`, each answer what was served."""
    loop = asyncio.get_running_loop()
    async with Client.open(path) as client:
        print(0, flush=True)
        while line := await loop.run_in_executor(None, sys.stdin.readline):
            tasks, seconds = line.split()
            end = time.perf_counter() + float(seconds)
            began = time.thread_time()
            found = await asyncio.gather(*(ask(client, n, end) for n in range(int(tasks))))
            took = time.thread_time() - began
            times = [one for each, _ in found for one in each]
            others = sum(unserved for _, unserved in found)
            print(json.dumps({"times": times, "others": others, "cpu_us": took * 1e6}), flush=True)


async def ask(client: Client, number: int, end: float) -> tuple[list[float], int]:
    request = Request("view", "/view?obj=7f3a", deadline_s=2.0, id=f"r{number}")
    times = []
    unserved = 0
    while (began := time.perf_counter()) < end:
        reply = await client.send(request)
        if reply.outcome is Ending.SERVED:
            times.append(time.perf_counter() - began)
        else:
            unserved += 1
    return times, unserved


ROLES = {
    "endpoint": lambda: listen(Endpoint),
    "relay": lambda: listen(None, int(sys.argv[2])),
    "host": lambda: host(sys.argv[2]),
    "direct": lambda: direct(sys.argv[2]),
}

if __name__ == "__main__":
    uvloop.run(ROLES[sys.argv[1]]())
