"""The callers' side: reads requests, writes final answers, and stops in order."""

from __future__ import annotations

import asyncio
import zlib
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, cast

import httptools

from woadyard.net.message import BODY_MAX, HEAD_MAX, Answer, Call, Headers, pass_on

if TYPE_CHECKING:
    from woadyard.net.driver import Driver

READY_PATH = b"/health/ready"
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
# How long a refused connection may take to read its 4xx before it is cut.
LINGER_S = 1.0
# New connections come for this long after SIGTERM, and a last one gets this
# long to bring its request.
ACCEPT_S, LAST_S = 0.4, 0.15
MAX_U63 = 2**63


class BadRequestError(Exception):
    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def number(headers: dict[bytes, bytes], name: bytes) -> int | None:
    raw = headers.get(name)
    if raw is None:
        return None
    if not raw.isdigit() or len(raw) > 15:
        raise BadRequestError(400, f"{name.decode()} is no number")
    return int(raw)


def hint(raw: bytes) -> int:
    """A guess may be missing or unreadable; that is no reason to refuse."""
    return int(raw) if raw.isdigit() and len(raw) <= 15 else 0


def key_of(query: bytes) -> int:
    """The number of what a request is about; 0 = nothing named."""
    for part in query.split(b"&"):
        if part.startswith(b"obj="):
            value = part[4:]
            try:
                return int(value, 16) % MAX_U63 if len(value) <= 16 else zlib.crc32(value)
            except ValueError:
                return zlib.crc32(value)
    return 0


class Caller(asyncio.Protocol):
    """One connection of a caller; one request is served at a time."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.call: Call | None = None
        self.waiting: deque[tuple[Call | Answer, bool]] = deque()  # sent ahead of an answer
        self.keep = True
        self.over = False  # nothing more is read
        self.parser = httptools.HttpRequestParser(self)
        self.fed = 0  # bytes since the last whole request
        self.paused = False
        self.on_message_begin()
        self.reading = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.server.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.over = True
        self.waiting.clear()
        if self.call is not None:
            self.server.driver.gone(self.call)
            self.call = None
        self.server.left(self)

    # --- Reading --------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        if self.over:
            return
        self.server.resting.pop(self, None)
        self.fed += len(data)
        try:
            self.parser.feed_data(data)
            if not self.in_body and self.fed > HEAD_MAX:
                raise BadRequestError(431, "the head is too large")
        except httptools.HttpParserCallbackError as error:
            self.next()  # whole requests before the bad one are taken
            cause = error.__context__
            self.refuse(cause if isinstance(cause, BadRequestError) else BadRequestError(400, "malformed"))
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.next()
            self.refuse(BadRequestError(400, "malformed"))
        except BadRequestError as error:
            self.refuse(error)
        else:
            self.next()

    def on_message_begin(self) -> None:
        self.target = b""
        self.headers: Headers = []
        self.body: list[bytes] = []
        self.size = self.head_size = 0
        self.in_body, self.reading = False, True

    def on_url(self, url: bytes) -> None:
        self.target += url
        self._grow_head(len(url))

    def _grow_head(self, size: int) -> None:
        self.head_size += size
        if self.head_size > HEAD_MAX:
            raise BadRequestError(431, "the head is too large")

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name, value))
        self._grow_head(len(name) + len(value))

    def on_headers_complete(self) -> None:
        self.in_body = True

    def on_body(self, data: bytes) -> None:
        self.size += len(data)
        self.body.append(data)
        if self.size > BODY_MAX:
            raise BadRequestError(413, "the body is too large")

    def on_message_complete(self) -> None:
        if self.over:
            return
        asked = self._asked()
        self.waiting.append((asked, self.parser.should_keep_alive()))
        self.in_body, self.reading, self.fed = False, False, 0

    def _asked(self) -> Call | Answer:
        path, _, query = self.target.partition(b"?")
        if path == READY_PATH:
            return Answer(503 if self.server.stopping else 200)
        headers = {name.lower(): value for name, value in self.headers}
        method = self.parser.get_method()
        if method not in (b"GET", b"POST"):
            raise BadRequestError(405, "GET and POST only")
        driver = self.server.driver
        name = headers.get(b"x-class") or path.split(b"/")[1] if path.startswith(b"/") else b""
        cls = driver.names.classes.get(name.decode("latin-1"))
        if cls is None:
            raise BadRequestError(404, "unknown class")
        if driver.names.keyed[cls] and b"idempotency-key" not in headers:
            raise BadRequestError(400, "Idempotency-Key is missing")
        wait_ms = number(headers, b"x-deadline-ms")
        wait_us = driver.settings.classes[cls].deadline_us if wait_ms is None else wait_ms * 1000
        tenant = headers.get(b"x-tenant", b"").decode("latin-1")
        return Call(
            cls=cls,
            expires=driver.now() + wait_us,
            start=method + b" " + self.target,
            head=pass_on(self.headers),
            body=b"".join(self.body),
            answer=self.answer,
            tenant=driver.names.tenants.get(tenant, 0),
            key=key_of(query),
            work_us=hint(headers.get(b"x-cost-hint", b"")),
            repeated=headers.get(b"x-retry") == b"1",
        )

    def next(self) -> None:
        """Serve the oldest request read; a caller is heard once it is answered."""
        while self.waiting and self.call is None and not self.over:
            asked, self.keep = self.waiting.popleft()
            if isinstance(asked, Answer):
                self._write(asked)
            else:
                self.call = asked
                self.server.driver.take(asked)
        if self.transport is not None and not self.over:
            # Guards memory against a caller that never waits for its answers.
            if self.waiting and not self.paused:
                self.transport.pause_reading()
            elif self.paused and not self.waiting:
                self.transport.resume_reading()
            self.paused = bool(self.waiting)

    # --- Writing --------------------------------------------------------------------

    def answer(self, answer: Answer) -> None:
        self.call = None
        self._write(answer)
        if self.waiting:
            self.server.driver.loop.call_soon(self.next)

    def _write(self, answer: Answer) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        keep = self.keep and not self.server.stopping
        reason = REASONS.get(answer.status, b"")
        close = b"" if keep else b"Connection: close\r\n"
        self.transport.write(
            b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b%b\r\n%b"
            % (answer.status, reason, len(answer.body), answer.head, close, answer.body)
        )
        if not keep:
            self.over = True
            self.transport.close()
        elif self.idle():
            self.server.resting[self] = None

    def refuse(self, error: BadRequestError) -> None:
        """A plain 4xx, then the end. What is still coming is read and dropped for
        a moment: closing on unread bytes would reset the answer away."""
        self.over = True
        if self.call is not None or self.transport is None:
            # The request before it is still served; its answer ends the connection.
            self.over, self.keep = False, False
            self.waiting.clear()
            return
        text = f"{error}\n".encode()
        self.keep = False
        self.transport.write(
            b"HTTP/1.1 %d %b\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%b"
            % (error.status, REASONS[error.status], len(text), text)
        )
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.server.driver.loop.call_later(LINGER_S, self.transport.abort)

    def idle(self) -> bool:
        return self.call is None and not self.waiting and not self.reading


class Server:
    """The listener and its connections."""

    def __init__(self, driver: Driver, most: int = 512) -> None:
        self.driver, self.most = driver, most  # sockets of both sides
        self.callers: set[Caller] = set()
        self.resting: dict[Caller, None] = {}  # between requests, the longest first
        self.stopping = False
        self.listener: asyncio.Server | None = None
        self.last_joined = 0.0
        self.on_end: Callable[[], None] = lambda: None

    async def listen(self, host: str, port: int) -> int:
        loop = self.driver.loop
        self.listener = await loop.create_server(lambda: Caller(self), host, port, backlog=1024)
        return int(self.listener.sockets[0].getsockname()[1])

    def joined(self, caller: Caller) -> None:
        # Guards the limit on sockets. One that has brought no request yet is never
        # closed: its first may be on its way, and a client sends it anew only once.
        if len(self.callers) + len(self.driver.upstream.links) >= self.most and self.resting:
            self._close(next(iter(self.resting)))
        self.callers.add(caller)
        self.last_joined = self.driver.loop.time()

    def left(self, caller: Caller) -> None:
        self.callers.discard(caller)
        self.resting.pop(caller, None)
        if self.stopping and self.listener is None and not self.callers:
            self.on_end()

    def stop(self, on_end: Callable[[], None]) -> None:
        """SIGTERM: serve what comes while it comes, then finish and end."""
        if self.stopping:
            return
        self.stopping, self.on_end = True, on_end
        for caller in list(self.resting):
            self._close(caller)
        loop = self.driver.loop
        loop.call_later(ACCEPT_S, self._stop_listening, loop.time() + ACCEPT_S)

    def _close(self, caller: Caller) -> None:
        self.resting.pop(caller, None)
        caller.over = True
        if caller.transport is not None:
            caller.transport.close()

    def _stop_listening(self, least: float) -> None:
        loop = self.driver.loop
        until = max(least, self.last_joined) + LAST_S
        if loop.time() < until:
            loop.call_later(until - loop.time(), self._stop_listening, least)
            return
        assert self.listener is not None
        self.listener.close()
        self.listener = None
        for caller in [one for one in self.callers if one.idle()]:
            self._close(caller)
        if not self.callers:
            self.on_end()
