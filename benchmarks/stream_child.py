"""The endpoint of `stream`: gives as many bytes as the target asks for, and drops what it is sent.

Prints its port as its first line. `GET .../N` is answered with N bytes, whatever else it says.
"""

from __future__ import annotations

import asyncio
from typing import Any, cast

import httptools
import uvloop

PART = b"x" * 65_536


class Endpoint(asyncio.Protocol):
    def __init__(self) -> None:
        self.parser: Any = httptools.HttpRequestParser(self)
        self.left = 0
        self.full = False
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
        self.left = int(size) if size.isdigit() else 2
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % self.left)
        self.give()

    def give(self) -> None:
        while self.left and not self.full:
            part = PART[: self.left]
            self.left -= len(part)
            self.transport.write(part)

    def pause_writing(self) -> None:
        self.full = True

    def resume_writing(self) -> None:
        self.full = False
        self.give()


async def main() -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(Endpoint, "127.0.0.1", 0, backlog=1024)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(main())
