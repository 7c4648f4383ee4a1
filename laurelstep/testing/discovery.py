"""A discovery server for tests, which follows discovery's protocol:

1. `GET /registry/instances` is answered with the whole list, and the connection stays open.
2. `GET /registry/instances?watch=1&from=N` opens a watch: a chunked answer with one JSON object per line.
   Any number of watches may be open at the same time.
3. The first object of a watch holds the changes after generation N. It holds the whole list instead if N
   is 0, is unknown here, or is older than the last `replace`.
4. Each later change is written to every open watch at once, as one object.
5. An empty line is sent every `heartbeat_interval_s`: a client can tell an idle watch from a dead one.
6. A watch ends when either side closes its connection.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Any, Final, Self
from urllib.parse import parse_qs, urlsplit

from laurelstep.testing.endpoints import Listener
from laurelstep.testing.messages import Message, Reader, Writer, answer, free_port, read_message
from laurelstep.testing.registry import push_raw

Entry = dict[str, Any]
Sleep = Callable[[float], Awaitable[object]]

HEARTBEAT_INTERVAL_S: Final = 2.0
LIST_PATH: Final = "/registry/instances"
WATCH_HEAD: Final = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"


class DiscoveryServer(Listener):
    """Serves one endpoint list on loopback, by the rules at the head of the module.

        async with Endpoint() as endpoint, DiscoveryServer([endpoint.entry("s-1")]) as discovery:
            client = Client.open({..., "discovery": discovery.address})
            discovery.publish(endpoint.entry("s-1", lifecycle="draining"))

    `entries` are in discovery's format, as returned by `Endpoint.entry`. `sleep` is called with the heartbeat
    interval in seconds; a test that must not wait passes its own. `opened_watches` gets the `from` of each
    watch once its first object has been written. ValueError for a generation below 1 or an interval that is
    not positive.
    """

    def __init__(
        self,
        entries: list[Entry] | tuple[Entry, ...] = (),
        *,
        generation: int = 1,
        heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S,
        sleep: Sleep = asyncio.sleep,
    ) -> None:
        if generation < 1 or heartbeat_interval_s <= 0.0:
            raise ValueError("expected a generation of 1 or more and a positive heartbeat interval")
        self.generation = generation
        self.opened_watches: asyncio.Queue[int] = asyncio.Queue()
        self._heartbeat_interval_s = heartbeat_interval_s
        self._sleep = sleep
        self._entries: dict[str, Entry] = {}
        self._changed_at: dict[str, int] = {}  # generation of each entry's last change, also of `gone` ones
        self._oldest_generation = generation  # changes after it are known
        self._set_list(entries)
        self._watches: set[Writer] = set()
        self._connections: dict[asyncio.Task[Any], Writer] = {}
        self._server: asyncio.Server | None = None
        self._is_open = False

    @property
    def address(self) -> str:
        """Host and port, in the format of a configuration's `discovery`."""
        return f"127.0.0.1:{self.port}"

    @property
    def watch_count(self) -> int:
        """The number of open watches."""
        return len(self._watches)

    def whole_list(self) -> dict[str, Any]:
        """Return the current list, as discovery sends it and a configuration's `known` holds it."""
        entries = [entry for entry in self._entries.values() if entry.get("lifecycle") != "gone"]
        return self._list_object(True, entries)

    # --- Changes ------------------------------------------------------------------

    def publish(self, *entries: Entry) -> None:
        """Change these entries under the next generation; `lifecycle="gone"` removes an entry."""
        self.generation += 1
        for entry in entries:
            name = entry["instanceId"]
            self._entries[name] = entry
            self._changed_at[name] = self.generation
        self._write_to_watches(self._list_object(False, list(entries)))

    def replace(self, *entries: Entry) -> None:
        """Replace the whole list under the next generation; entries that are not listed are removed."""
        self.generation += 1
        self._oldest_generation = self.generation
        self._set_list(entries)
        self._write_to_watches(self.whole_list())

    def end_watches(self) -> None:
        """End every open watch, as in a restart of discovery; new watches are accepted."""
        for writer in list(self._watches):
            self._watches.discard(writer)
            writer.close()

    def _set_list(self, entries: list[Entry] | tuple[Entry, ...]) -> None:
        self._entries = {entry["instanceId"]: entry for entry in entries}
        self._changed_at = dict.fromkeys(self._entries, self.generation)

    def _list_object(self, is_whole: bool, entries: list[Entry]) -> dict[str, Any]:
        return {"generation": self.generation, "reset": is_whole, "instances": entries}

    def _changes_after(self, generation: int) -> dict[str, Any]:
        if not self._oldest_generation <= generation <= self.generation:
            return self.whole_list()
        changed = [
            self._entries[name] for name, changed_at in self._changed_at.items() if changed_at > generation
        ]
        return self._list_object(False, changed)

    def _write_to_watches(self, list_object: dict[str, Any]) -> None:
        for writer in self._watches:
            push_raw(writer, _line(list_object))

    # --- Connections --------------------------------------------------------------

    async def start(self, port: int = 0) -> asyncio.Server:
        """Listen on this port, or for 0 on a reserved one. OSError if it is in use.

        Guards against a client of another test process's discovery, closed meanwhile: on a port that the
        system had picked for both, it would open its watch here.
        """
        self._is_open = True
        self._server = await super().start(port or free_port())
        return self._server

    async def close(self) -> None:
        """Stop listening, end every connection and wait until none is left; `start` may follow."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self._is_open = False
        for writer in self._connections.values():
            writer.transport.abort()  # a close would wait for a client that does not read
        if self._connections:
            await asyncio.wait(set(self._connections))

    async def __aenter__(self) -> Self:
        await self.start()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.close()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        task = asyncio.current_task()
        assert task is not None
        if not self._is_open:
            writer.close()  # accepted in the loop iteration that closed the server
            return
        self._connections[task] = writer
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while await self._answer(await read_message(reader), reader, writer):
                    pass
        except asyncio.CancelledError:
            # Not raised again: the callback that asyncio adds to this task fails for a cancelled one.
            return
        finally:
            del self._connections[task]
            writer.close()

    async def _answer(self, request: Message, reader: Reader, writer: Writer) -> bool:
        """Answer a request; return whether another may follow on the connection."""
        target = urlsplit(request.start_line.split()[1])
        query = parse_qs(target.query)
        if target.path != LIST_PATH:
            writer.write(answer(404, b""))
        elif query.get("watch") == ["1"]:
            start = query.get("from", ["0"])[0]
            await self._watch(int(start) if start.isdecimal() else 0, reader, writer)
            return False
        else:
            writer.write(answer(200, _line(self.whole_list())))
        await writer.drain()
        return True

    async def _watch(self, generation: int, reader: Reader, writer: Writer) -> None:
        """Serve a watch until either side ends it."""
        writer.write(WATCH_HEAD)
        push_raw(writer, _line(self._changes_after(generation)))
        self._watches.add(writer)
        heartbeats = asyncio.create_task(self._send_heartbeats(writer))
        self.opened_watches.put_nowait(generation)
        try:
            await reader.read()
        finally:
            heartbeats.cancel()
            self._watches.discard(writer)

    async def _send_heartbeats(self, writer: Writer) -> None:
        while True:
            await self._sleep(self._heartbeat_interval_s)
            push_raw(writer, b"\n")


def _line(list_object: dict[str, Any]) -> bytes:
    return json.dumps(list_object).encode() + b"\n"
