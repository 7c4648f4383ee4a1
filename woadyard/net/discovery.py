"""Discovery: keeps the watch open, or asks when told to, and hands lists on."""

from __future__ import annotations

import asyncio
import functools
import json
import random
from collections.abc import Iterator
from typing import Any, cast

import httptools

from woadyard.engine.listing import parse_in_steps
from woadyard.engine.ports import Log, MemberSink
from woadyard.net.collector import Collector
from woadyard.net.slices import Slices

# While nothing changes an empty line comes every 2 s: after two missed ones the
# watch is taken for dead, as a network that is cut off says nothing.
SILENT_S = 5.0
RETRY_S, RETRY_MOST_S = 0.1, 2.0
# A renewal waits for a part of that between half and all of it, drawn by each sidecar for itself:
# when discovery comes back, a fleet must not ask at once.
RETRY_PART = 0.5
CONNECT_S = 2.0
LIST_PATH = "/registry/instances"
LINE_MAX = 64 * 1024 * 1024  # of some 300,000 endpoints
# A longer line is read and applied in slices: this much takes a millisecond or two.
SHORT_LINE = 32 * 1024


class Stream(asyncio.Protocol):
    """One answer of discovery: a watch, or one whole list."""

    def __init__(self, owner: Discovery, target: str, watch: bool) -> None:
        self.owner, self.target, self.watch = owner, target, watch
        self.parser = httptools.HttpResponseParser(self)
        self.buffer = bytearray()
        self.searched = 0  # no line ends before this
        self.paused_at: int | None = None  # on the engine's clock; lines since then wait
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
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.spoilt(error)
        else:
            self.read()

    def spoilt(self, error: Exception) -> None:
        self.owner.log(f"bad line from discovery: {error}")
        self.fail()

    def on_body(self, data: bytes) -> None:
        self.buffer += data

    def on_message_complete(self) -> None:
        if not self.watch and not self.done and self.parser.get_status_code() == 200:
            self.buffer += b"\n"

    def read(self) -> None:
        """The lines that are whole, until one is so long that the next must wait."""
        if self.buffer and self.parser.get_status_code() != 200:
            self.fail()
            return
        while not self.done and (end := self.buffer.find(b"\n", self.searched)) >= 0:
            if self.owner.busy:
                self.pause()
                return
            if end == len(self.buffer) - 1:  # most often: it need not be copied
                line, self.buffer = self.buffer, bytearray()
            else:
                line = self.buffer[:end]
                del self.buffer[: end + 1]
            self.searched = 0
            if line.strip():
                self._take(line)
        self.searched = len(self.buffer)
        if len(self.buffer) > LINE_MAX:
            self.spoilt(ValueError("a line without an end"))

    def _take(self, line: bytearray) -> None:
        told_at, self.paused_at = self.paused_at, None
        try:
            self.owner.line(line, self, told_at)
        except ValueError as error:
            self.spoilt(error)
        else:
            if not self.watch and not self.owner.busy:
                self.stop()

    def pause(self) -> None:
        """Read no more, so that what waits is bounded. It counts as told from now on."""
        if self.paused_at is None and self.transport is not None and self.owner.sink is not None:
            self.paused_at = self.owner.sink.now()
            self.transport.pause_reading()

    def resume(self) -> None:
        if self.done or self.transport is None:
            return
        self.heard = self.owner.loop.time()
        if self.paused_at is not None:
            self.transport.resume_reading()
        self.read()

    def stop(self) -> None:
        self.done = True
        self.owner.streams.discard(self)
        if self.transport is not None:
            self.transport.abort()

    def fail(self) -> None:
        if not self.done:
            self.stop()
            self.owner.lost(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.fail()


def _list_of(told: Any) -> tuple[int, bool, list[Any]]:
    """Version, whether it is whole, and entries; ValueError."""
    try:
        version, whole, entries = int(told["generation"]), bool(told["reset"]), told["instances"]
    except (KeyError, TypeError, OverflowError) as error:
        raise ValueError(f"no list: {error!r}") from None
    if not isinstance(entries, list):
        raise ValueError("instances is no list")
    return version, whole, entries


class Discovery:
    """Lists over HTTP, as the engine's source of members.

    `pushed`: the watch is kept open from the start on, and opened anew when it ends.
    Otherwise it is opened, and lists are fetched, when the engine says so.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: str,
        path: str,
        pushed: bool,
        log: Log,
        collector: Collector | None = None,
        seed: int = 0,
    ) -> None:
        self.loop = loop
        self.draw = random.Random(seed)
        self.address = address
        self.path = path
        self.pushed = pushed
        self.log = log
        self.collector = collector  # of the process, where it is the balancer's
        self.sink: MemberSink | None = None
        self.generation = 0
        self.stream: Stream | None = None  # the watch
        self.checking: asyncio.TimerHandle | None = None
        self.retry_s = RETRY_S
        self.silent_s = SILENT_S
        self.tasks: set[asyncio.Task[None]] = set()
        self.closed = False
        self.slices = Slices(loop)
        self.listed = 0  # entries of the last long list
        self.busy = False  # a long list is being read and applied
        self.streams: set[Stream] = set()  # those that may have lines to read

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
        self.streams.add(stream)
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
        if self.busy:
            stream.heard = self.loop.time()  # it was not listened to
        left = stream.heard + self.silent_s - self.loop.time()
        if left > 0.0:
            self.checking = self.loop.call_later(left, self._check, stream)
        else:
            stream.fail()

    def line(self, raw: bytearray, stream: Stream, told_at: int | None) -> None:
        """One list; ValueError on anything else, before any of it is used. A long one
        is only begun, and its stream hears of its end."""
        if len(raw) <= SHORT_LINE:
            version, whole, entries = _list_of(json.loads(raw))
            if self.sink is not None and (whole or version >= self.generation):
                self.sink.listed(version, whole, entries)
                self.generation = version
            self.retry_s = RETRY_S
        elif self.sink is not None:
            self.busy = True
            if self.collector is not None:
                self.collector.begin()
            told_at = self.sink.now() if told_at is None else told_at
            steps = self._in_steps(raw, stream, self.sink, told_at)
            self.slices.run(steps, functools.partial(self._ended, stream))

    def _in_steps(self, raw: bytearray, stream: Stream, sink: MemberSink, told_at: int) -> Iterator[None]:
        told = yield from parse_in_steps(raw.decode())
        version, whole, entries = _list_of(told)
        self.listed = len(entries)
        if whole or version >= self.generation:
            yield from sink.list_in_steps(whole, entries, told_at)
            if not stream.done:  # another source may be watched since
                self.generation = version
        self.retry_s = RETRY_S

    def _ended(self, stream: Stream, error: Exception | None) -> None:
        self.busy = False
        if self.collector is not None:
            self.collector.end(self.listed)
        if error is not None and not stream.done:
            stream.spoilt(error)
        elif not stream.watch:
            stream.stop()
        for one in list(self.streams):
            if not self.busy:
                one.resume()

    def lost(self, stream: Stream) -> None:
        if self.closed or self.sink is None:
            return
        if not self.pushed:
            self.sink.list_failed()  # the module says when to ask again
        elif stream is self.stream:
            part = RETRY_PART + (1.0 - RETRY_PART) * self.draw.random()
            self.loop.call_later(part * self.retry_s, self._again, stream)
            self.retry_s = min(RETRY_MOST_S, 2.0 * self.retry_s)

    def _again(self, stream: Stream) -> None:
        if stream is self.stream:
            self.watch(True)

    def close(self) -> None:
        self.closed = True
        self.slices.close()
        self.watch(False)
        for task in self.tasks:
            task.cancel()

    async def wait_closed(self) -> None:
        """After `close`: until no task is left."""
        if self.tasks:
            await asyncio.wait(set(self.tasks))
