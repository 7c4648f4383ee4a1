"""The endpoint of `stream`: answers `GET .../N` with N bytes, and discards request bodies.

Prints its port as its first line.
"""

from __future__ import annotations

import asyncio
from typing import Any, cast

import httptools
import uvloop

CHUNK = b"x" * 65_536


class Endpoint(asyncio.Protocol):
    def __init__(self) -> None:
        self.parser: Any = httptools.HttpRequestParser(self)
        self.remaining_bytes = 0
        self.is_paused = False
        self.target = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        self.target = b""

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_message_complete(self) -> None:
        size = self.target.partition(b"?")[0].rpartition(b"/")[2]
        self.remaining_bytes = int(size) if size.isdigit() else 2
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % self.remaining_bytes)
        self.write_while_open()

    def write_while_open(self) -> None:
        while self.remaining_bytes and not self.is_paused:
            data = CHUNK[: self.remaining_bytes]
            self.remaining_bytes -= len(data)
            self.transport.write(data)

    def pause_writing(self) -> None:
        self.is_paused = True

    def resume_writing(self) -> None:
        self.is_paused = False
        self.write_while_open()


async def main() -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(Endpoint, "127.0.0.1", 0, backlog=1024)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(main())
