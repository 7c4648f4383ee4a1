"""Discovery of one process, and the word of when it has read what was pushed."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable, Sequence
from typing import Any, Final

from laurelstep.testing.endpoints import Listener
from laurelstep.testing.messages import Reader, Writer, read_message
from laurelstep.testing.processes.program import LOOK_S
from laurelstep.testing.processes.relays import HOST, StreamRelay, now_us

Entry = dict[str, Any]
# Entries that a process has read, and when they were pushed.
Read = Callable[[Sequence[Entry], int], None]
# Between empty lines while nothing changes, as the protocol has it.
BEAT_S: Final = 2.0


class _Watch:
    """One that is open, and the bytes written into it."""

    def __init__(self, writer: Writer) -> None:
        self.writer = writer
        self.written = 0

    def write(self, data: bytes) -> None:
        self.written += len(data)
        self.writer.write(data)

    def chunk(self, line: bytes) -> None:
        self.write(b"%x\r\n%b\r\n" % (len(line), line))


class Lists(Listener):
    """Pushes the list of one process through a relay that can be cut. A watch that opens gets all of
    it; what is pushed while none is open comes with the next."""

    def __init__(self, entries: Callable[[], list[Entry]], read: Read) -> None:
        self.entries = entries
        self.read = read
        self.generation = 1
        self.relay: StreamRelay | None = None
        self._watches: list[_Watch] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def open(self) -> StreamRelay:
        self._server = await self.start()
        self.relay = StreamRelay((HOST, self.port))
        await self.relay.start()
        return self.relay

    def push(self, *entries: Entry) -> None:
        """Changes."""
        self.generation += 1
        for watch in self._watches:
            self._push(watch, False, entries)

    def _push(self, watch: _Watch, whole: bool, entries: Sequence[Entry]) -> None:
        told = {"generation": self.generation, "reset": whole, "instances": list(entries)}
        pushed_at = now_us()
        watch.chunk(json.dumps(told).encode() + b"\n")
        task = asyncio.create_task(self._follow(watch, watch.written, entries, pushed_at))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _follow(self, watch: _Watch, end: int, entries: Sequence[Entry], pushed_at: int) -> None:
        """Until the process has read this far, or its watch is over."""
        assert self.relay is not None
        port = watch.writer.get_extra_info("peername")[1]
        while (connection := self.relay.connection_from(port)) is not None:
            if connection.passed_back >= end and connection.is_read():
                self.read(entries, pushed_at)
                return
            await asyncio.sleep(LOOK_S)

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        watch = _Watch(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await read_message(reader)
                watch.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self._push(watch, True, self.entries())
                self._watches.append(watch)
                await self._beat(watch, reader)
        except asyncio.CancelledError:
            # Guards against asyncio's own callback, which fails on a cancelled task.
            return
        finally:
            if watch in self._watches:
                self._watches.remove(watch)
            writer.close()

    async def _beat(self, watch: _Watch, reader: Reader) -> None:
        """Until the watch is ended from there."""
        ended = asyncio.create_task(reader.read())
        try:
            while not (await asyncio.wait({ended}, timeout=BEAT_S))[0]:
                watch.chunk(b"\n")
        finally:
            ended.cancel()

    def close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        if self.relay is not None:
            self.relay.close()
        if self._server is not None:
            self._server.close()
