"""A discovery server for one process, which reports when the process has read a change."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable, Sequence
from typing import Any

from laurelstep.testing.discovery import HEARTBEAT_INTERVAL_S
from laurelstep.testing.endpoints import Listener
from laurelstep.testing.messages import Reader, Writer, read_message
from laurelstep.testing.processes.program import POLL_INTERVAL_S
from laurelstep.testing.processes.relays import HOST, StreamRelay, now_us

Entry = dict[str, Any]
# Called with entries that the process has read, and the time at which they were pushed, µs.
OnRead = Callable[[Sequence[Entry], int], None]


class _OpenWatch:
    """An open watch, with the number of bytes written to it."""

    def __init__(self, writer: Writer) -> None:
        self.writer = writer
        self.written_bytes = 0

    def write(self, data: bytes) -> None:
        """Write these bytes and count them."""
        self.written_bytes += len(data)
        self.writer.write(data)

    def write_chunk(self, line: bytes) -> None:
        """Write one line as a chunk of the answer."""
        self.write(b"%x\r\n%b\r\n" % (len(line), line))


class ProcessDiscovery(Listener):
    """Pushes the endpoint list to one process, through a relay that can be blocked.

    Each watch begins with the whole list, so entries pushed while no watch is open arrive with the next one.
    """

    def __init__(self, entries: Callable[[], list[Entry]], on_read: OnRead) -> None:
        self.entries = entries
        self.on_read = on_read
        self.generation = 1
        self.relay: StreamRelay | None = None
        self._watches: list[_OpenWatch] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def open(self) -> StreamRelay:
        """Start listening, and return the relay whose address is configured as the process's discovery."""
        self._server = await self.start()
        self.relay = StreamRelay((HOST, self.port))
        await self.relay.start()
        return self.relay

    def push(self, *entries: Entry) -> None:
        """Push changed entries to every open watch."""
        self.generation += 1
        for watch in self._watches:
            self._push(watch, False, entries)

    def _push(self, watch: _OpenWatch, is_whole: bool, entries: Sequence[Entry]) -> None:
        list_object = {"generation": self.generation, "reset": is_whole, "instances": list(entries)}
        pushed_at_us = now_us()
        watch.write_chunk(json.dumps(list_object).encode() + b"\n")
        task = asyncio.create_task(self._report_when_read(watch, watch.written_bytes, entries, pushed_at_us))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _report_when_read(
        self, watch: _OpenWatch, end_offset: int, entries: Sequence[Entry], pushed_at_us: int
    ) -> None:
        """Call `on_read` once the process has read up to `end_offset`, unless the watch ends first."""
        assert self.relay is not None
        port = watch.writer.get_extra_info("peername")[1]
        while (connection := self.relay.connection_on_port(port)) is not None:
            if connection.returned_bytes >= end_offset and connection.is_read():
                self.on_read(entries, pushed_at_us)
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        watch = _OpenWatch(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await read_message(reader)
                watch.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self._push(watch, True, self.entries())
                self._watches.append(watch)
                await self._send_heartbeats(watch, reader)
        except asyncio.CancelledError:
            # Not raised again: the callback that asyncio adds to this task fails for a cancelled one.
            return
        finally:
            if watch in self._watches:
                self._watches.remove(watch)
            writer.close()

    async def _send_heartbeats(self, watch: _OpenWatch, reader: Reader) -> None:
        """Send heartbeats until the process ends the watch."""
        ended = asyncio.create_task(reader.read())
        try:
            while not (await asyncio.wait({ended}, timeout=HEARTBEAT_INTERVAL_S))[0]:
                watch.write_chunk(b"\n")
        finally:
            ended.cancel()

    def close(self) -> None:
        """Stop listening, close the relay and cancel pending reports."""
        for task in list(self._tasks):
            task.cancel()
        if self.relay is not None:
            self.relay.close()
        if self._server is not None:
            self._server.close()
