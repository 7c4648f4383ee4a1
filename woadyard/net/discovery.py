"""Discovery: keeps the watch open, or asks when told to, and hands lists on."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any, cast

import httptools

from woadyard.net.message import log

# While nothing changes an empty line comes every 2 s: after two missed ones the
# watch is taken for dead, as a network that is cut off says nothing.
SILENT_S = 5.0
RETRY_S, RETRY_MOST_S = 0.1, 2.0
CONNECT_S = 2.0
LINE_MAX = 16 * 1024 * 1024

# Takes one list (version, whether it is whole, entries); ValueError if it is bad.
Listen = Callable[[int, bool, list[dict[str, Any]]], None]


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
            log(f"bad line from discovery: {error}")
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
    def __init__(
        self, loop: asyncio.AbstractEventLoop, address: str, path: str, pushed: bool, listen: Listen
    ) -> None:
        self.loop, self.address, self.path, self.pushed = loop, address, path, pushed
        self.listen = listen
        self.on_failed: Callable[[], None] = lambda: None
        self.generation = 0
        self.stream: Stream | None = None  # the watch
        self.retry_s, self.silent_s = RETRY_S, SILENT_S
        self.tasks: set[asyncio.Task[None]] = set()
        self.closed = False

    def watch(self, on: bool) -> None:
        if self.stream is not None:
            self.stream.stop()
            self.stream = None
        if on and not self.closed:
            target = f"{self.path}?watch=1&from={self.generation}"
            self.stream = self._ask(target, watch=True)
            self.loop.call_later(self.silent_s, self._check, self.stream)

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
            self.loop.call_later(left, self._check, stream)
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
        if whole or version >= self.generation:
            self.listen(version, whole, entries)
            self.generation = version
        self.retry_s = RETRY_S

    def lost(self, stream: Stream) -> None:
        if self.closed:
            return
        if not self.pushed:
            self.on_failed()  # the module says when to ask again
        elif stream is self.stream:
            self.loop.call_later(self.retry_s, self._again, stream)
            self.retry_s = min(RETRY_MOST_S, 2.0 * self.retry_s)

    def _again(self, stream: Stream) -> None:
        if stream is self.stream:
            self.watch(True)

    def close(self) -> None:
        self.closed = True
        self.watch(False)
