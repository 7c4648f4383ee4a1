"""Discovery: keeps the watch open, or asks when told to, and hands lists on."""

from __future__ import annotations

import asyncio
import json
from typing import cast

import httptools

from woadyard.engine.ports import Log, MemberSink

# While nothing changes an empty line comes every 2 s: after two missed ones the
# watch is taken for dead, as a network that is cut off says nothing.
SILENT_S = 5.0
RETRY_S, RETRY_MOST_S = 0.1, 2.0
CONNECT_S = 2.0
LIST_PATH = "/registry/instances"
LINE_MAX = 16 * 1024 * 1024


class Stream(asyncio.Protocol):
    """One answer of discovery: a watch, or one whole list."""

    def __init__(self, owner: Discovery, target: str, watch: bool) -> None:
        self.owner, self.target, self.watch = owner, target, watch
        self.parser = httptools.HttpResponseParser(self)
        self.buffer = bytearray()
        self.transport: asyncio.Transport | None = None
        self.done = False  # whole, or given up: its end says nothing
        self.heard = owner.loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.done:
            self.transport.abort()
            return
        self.transport.write(f"GET {self.target} HTTP/1.1\r\nHost: {self.owner.address}\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        if self.done:
            return
        self.heard = self.owner.loop.time()
        try:
            self.parser.feed_data(data)
            self._read()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, ValueError) as error:
            self.owner.log(f"bad line from discovery: {error}")
            self.fail()

    def on_body(self, data: bytes) -> None:
        self.buffer += data

    def on_message_complete(self) -> None:
        if not self.watch and not self.done and self.parser.get_status_code() == 200:
            self.buffer += b"\n"

    def _read(self) -> None:
        if self.buffer and self.parser.get_status_code() != 200:
            self.fail()
            return
        while not self.done and (end := self.buffer.find(b"\n")) >= 0:
            line = bytes(self.buffer[:end])
            del self.buffer[: end + 1]
            if line.strip():
                self.owner.line(line)
                if not self.watch:
                    self.stop()
        if len(self.buffer) > LINE_MAX:
            raise ValueError("a line without an end")

    def stop(self) -> None:
        self.done = True
        if self.transport is not None:
            self.transport.abort()

    def fail(self) -> None:
        if not self.done:
            self.stop()
            self.owner.lost(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.fail()


class Discovery:
    """Lists over HTTP, as the engine's source of members.

    `pushed`: the watch is kept open from the start on, and opened anew when it ends.
    Otherwise it is opened, and lists are fetched, when the engine says so.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, address: str, path: str, pushed: bool, log: Log
    ) -> None:
        self.loop = loop
        self.address = address
        self.path = path
        self.pushed = pushed
        self.log = log
        self.sink: MemberSink | None = None
        self.generation = 0
        self.stream: Stream | None = None  # the watch
        self.checking: asyncio.TimerHandle | None = None
        self.retry_s = RETRY_S
        self.silent_s = SILENT_S
        self.tasks: set[asyncio.Task[None]] = set()
        self.closed = False

    def start(self, sink: MemberSink, generation: int) -> None:
        self.sink = sink
        self.generation = generation
        if self.pushed:
            self.watch(True)

    def watch(self, on: bool) -> None:
        if self.stream is not None:
            self.stream.stop()
            self.stream = None
        if self.checking is not None:
            self.checking.cancel()
            self.checking = None
        if on and not self.closed:
            target = f"{self.path}?watch=1&from={self.generation}"
            self.stream = self._ask(target, watch=True)
            self.checking = self.loop.call_later(self.silent_s, self._check, self.stream)

    def move(self, address: str) -> None:
        """Watch at another address, from now on and from the start: the versions
        of its lists may be others."""
        if not self.closed:
            self.address, self.generation, self.retry_s = address, 0, RETRY_S
            self.watch(True)

    def fetch(self) -> None:
        self._ask(self.path, watch=False)

    def _ask(self, target: str, watch: bool) -> Stream:
        stream = Stream(self, target, watch)
        task = self.loop.create_task(self._connect(stream))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return stream

    async def _connect(self, stream: Stream) -> None:
        host, _, port = self.address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_S):
                await self.loop.create_connection(lambda: stream, host, int(port))
        except (OSError, TimeoutError):
            stream.fail()

    def _check(self, stream: Stream) -> None:
        """Guards against a watch that died without a word."""
        if stream.done:
            return
        left = stream.heard + self.silent_s - self.loop.time()
        if left > 0.0:
            self.checking = self.loop.call_later(left, self._check, stream)
        else:
            stream.fail()

    def line(self, raw: bytes) -> None:
        """One list; ValueError on anything else, before any of it is used."""
        told = json.loads(raw)
        try:
            version, whole, entries = int(told["generation"]), bool(told["reset"]), told["instances"]
        except (KeyError, TypeError, OverflowError) as error:
            raise ValueError(f"no list: {error!r}") from None
        if not isinstance(entries, list):
            raise ValueError("instances is no list")
        if self.sink is not None and (whole or version >= self.generation):
            self.sink.listed(version, whole, entries)
            self.generation = version
        self.retry_s = RETRY_S

    def lost(self, stream: Stream) -> None:
        if self.closed or self.sink is None:
            return
        if not self.pushed:
            self.sink.list_failed()  # the module says when to ask again
        elif stream is self.stream:
            self.loop.call_later(self.retry_s, self._again, stream)
            self.retry_s = min(RETRY_MOST_S, 2.0 * self.retry_s)

    def _again(self, stream: Stream) -> None:
        if stream is self.stream:
            self.watch(True)

    def close(self) -> None:
        self.closed = True
        self.watch(False)
        for task in self.tasks:
            task.cancel()

    async def wait_closed(self) -> None:
        """After `close`: until no task is left."""
        if self.tasks:
            await asyncio.wait(set(self.tasks))
