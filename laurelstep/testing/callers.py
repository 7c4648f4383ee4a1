"""A client that sends requests with the platform's headers, one at a time, over a persistent connection."""

from __future__ import annotations

import asyncio
from types import TracebackType
from typing import Self

from laurelstep.testing.messages import Message, Reader, Writer, read_message


def request(
    cls: str = "page",
    body: bytes = b"",
    headers: str = "",
    deadline_ms: int = 4000,
    rid: str = "r1",
    key: str | None = None,
    method: str | None = None,
) -> bytes:
    """Return the bytes of a request. `headers` are complete lines; `rid` is its X-Request-Id.

    The default method is GET for the classes `page` and `view` and POST for others. The default idempotency
    key is `k1` for the class `put`; other classes have none.
    """
    method = method or ("GET" if cls in ("page", "view") else "POST")
    length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
    key = key or ("k1" if cls == "put" else None)
    key_line = f"Idempotency-Key: {key}\r\n" if key else ""
    return (
        f"{method} /{cls}?obj=7f3a HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: {rid}\r\n"
        f"X-Class: {cls}\r\n"
        f"X-Deadline-Ms: {deadline_ms}\r\n{length}{key_line}{headers}\r\n"
    ).encode() + body


class Caller:
    """A persistent connection to a frontend, opened by the first request and again after a close.

    A frontend may close an idle connection just as the next request is sent. With `resends_after_close` that
    request is sent once more on a new connection, as the platform's clients do.
    """

    def __init__(self, host: str, port: int, *, resends_after_close: bool = False) -> None:
        self.host = host
        self.port = port
        self.resends_after_close = resends_after_close
        self.streams: tuple[Reader, Writer] | None = None

    async def send(self, raw: bytes) -> Message:
        """Send a request and return its answer. OSError or `asyncio.IncompleteReadError` if none arrives."""
        if self.streams is None or not self.resends_after_close:
            return await self._send(raw)
        try:
            return await self._send(raw)
        except asyncio.IncompleteReadError as error:
            if error.partial:
                raise
        return await self._send(raw)

    async def _send(self, raw: bytes) -> Message:
        if self.streams is None:
            self.streams = await asyncio.open_connection(self.host, self.port)
        reader, writer = self.streams
        writer.write(raw)
        try:
            message = await read_message(reader)
        except (OSError, asyncio.IncompleteReadError):
            self.close()
            raise
        if message.headers.get("connection", "").lower() == "close":
            self.close()
        return message

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self.streams is not None:
            self.streams[1].close()
            self.streams = None

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()
