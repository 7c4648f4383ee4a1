"""The callers' side: reads requests, writes final answers, and stops in order."""

from __future__ import annotations

import asyncio
import re
import zlib
from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, cast

import httptools

from woadyard.interface import KEYED, SAFE, RequestClass
from woadyard.net.message import (
    BODY_MAX,
    HEAD_MAX,
    MESSAGE_MAX,
    REQUEST_HEADERS,
    Answer,
    Call,
    Headers,
    Sweep,
    body_length,
    pass_on,
    single,
)

if TYPE_CHECKING:
    from woadyard.net.driver import Driver

READY_PATH = b"/health/ready"
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
# A request must be whole so long after its connection came or its first byte: guards
# descriptors and memory against callers that say nothing or never end.
READ_S = 2.2
# A connection rests so long between requests at most: some callers never come back.
REST_S = 5.0
# How long a connection that was ended may take to read its answer before it is cut.
LINGER_S = 1.0
# Refused before all of it came: more may be on its way.
MORE_COMES = (408, 413, 431)
# New connections come for this long after SIGTERM, and a last one gets this
# long to bring its request.
ACCEPT_S, LAST_S = 0.4, 0.15
MAX_U63 = 2**63

# --- What is let in -------------------------------------------------------------

# Headers that decide something: a second one would leave it open which counts.
ONCE = frozenset(
    (b"host", b"content-length", b"transfer-encoding", b"x-request-id", b"x-class", b"x-tenant",
     b"x-deadline-ms", b"idempotency-key", b"x-retry", b"x-cost-hint")
)  # fmt: skip
TOKEN = re.compile(rb"[0-9A-Za-z._~+/=:-]{1,128}")
# Origin form and nothing else: no second word, no control characters, no fragment.
TARGET = re.compile(rb"/[!\"$-~]*")


class BadRequestError(Exception):
    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def number(fields: dict[bytes, bytes], name: bytes) -> int | None:
    raw = fields.get(name)
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


def checked(headers: Headers) -> dict[bytes, bytes]:
    """The fields of a head whose framing has one reading and whose body is not too
    large: judged by what it declares, before any of the body is read."""
    try:
        fields = single(headers, ONCE)
        length = body_length(fields)
    except ValueError as error:
        raise BadRequestError(400, str(error)) from None
    if length is not None and length > BODY_MAX:
        raise BadRequestError(413, "the body is too large")
    return fields


def class_of(target: bytes, fields: dict[bytes, bytes], classes: dict[str, int]) -> int:
    if not TARGET.fullmatch(target):
        raise BadRequestError(400, "the target is no path")
    name = fields.get(b"x-class", b"")
    if target.partition(b"?")[0].split(b"/")[1] != name:
        raise BadRequestError(400, "X-Class and the path differ")
    cls = classes.get(name.decode("latin-1"))
    if cls is None:
        raise BadRequestError(404, "unknown class")
    return cls


def check_form(method: bytes, fields: dict[bytes, bytes], cls: RequestClass) -> None:
    """The id, and the method, key and body that the class demands."""
    if not TOKEN.fullmatch(fields.get(b"x-request-id", b"")):
        raise BadRequestError(400, "X-Request-Id is missing or malformed")
    if method != (b"GET" if cls.effect == SAFE else b"POST"):
        raise BadRequestError(405, "not the method of this class")
    key = fields.get(b"idempotency-key")
    if (key is not None) != (cls.effect == KEYED) or (key is not None and not TOKEN.fullmatch(key)):
        raise BadRequestError(400, "Idempotency-Key is not as the class demands")
    length = body_length(fields)
    if cls.effect == SAFE and length:
        raise BadRequestError(400, "a GET has no body")
    if cls.effect != SAFE and length is None:
        raise BadRequestError(411, "Content-Length is missing")


class Caller(asyncio.Protocol):
    """One connection of a caller; one request is read, and answered, at a time."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.call: Call | None = None
        self.over = False  # nothing more is read
        self.keep = True
        self.parser = httptools.HttpRequestParser(self)
        self._begin()

    def _begin(self) -> None:
        self.target = b""
        self.headers: Headers = []
        self.body: list[bytes] = []
        self.size = self.fed = 0
        self.asked: Call | Answer | None = None  # what the head says
        self.begun = self.whole = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.server.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.over = True
        del self.parser  # it holds this object's methods: the cycle ends here
        self._leave()
        self.server.left(self)

    def _leave(self) -> None:
        call, self.call = self.call, None
        if call is not None:
            self.server.driver.gone(call)

    # --- Reading --------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        if self.over:
            return
        if not self.fed and self.call is None:
            self.server.resting.discard(self)
            self.server.reading.add(self)
        self.fed += len(data)
        try:
            if self.call is not None:
                # Guards against a request hidden behind another: callers send one at a time.
                raise BadRequestError(400, "more than one request")
            self.parser.feed_data(data)
            if self.asked is None and self.fed > HEAD_MAX:
                raise BadRequestError(431, "the head is too large")
            if self.fed > MESSAGE_MAX:
                raise BadRequestError(413, "the request is too large")
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            self.refuse(cause if isinstance(cause, BadRequestError) else BadRequestError(400, "malformed"))
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.refuse(BadRequestError(400, "malformed"))
        except BadRequestError as error:
            self.refuse(error)
        else:
            if self.whole:
                self._take()

    def on_message_begin(self) -> None:
        if self.begun:
            raise BadRequestError(400, "more than one request")
        self.begun = True

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.asked is None:  # not a trailer: those end here
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        if self.fed > HEAD_MAX and sum(len(n) + len(v) for n, v in self.headers) > HEAD_MAX:
            raise BadRequestError(431, "the head is too large")
        self.asked = self._asked()

    def on_body(self, data: bytes) -> None:
        self.size += len(data)
        self.body.append(data)
        if self.size > BODY_MAX:
            raise BadRequestError(413, "the body is too large")

    def on_message_complete(self) -> None:
        self.whole, self.keep = True, self.parser.should_keep_alive()

    def _asked(self) -> Call | Answer:
        fields = checked(self.headers)
        method = self.parser.get_method()
        if method == b"GET" and self.target == READY_PATH:
            return Answer(503 if self.server.stopping else 200)
        driver = self.server.driver
        cls = class_of(self.target, fields, driver.names.classes)
        rules = driver.settings.classes[cls]
        check_form(method, fields, rules)
        wait_ms = number(fields, b"x-deadline-ms")
        tenant = fields.get(b"x-tenant", b"").decode("latin-1")
        return Call(
            cls=cls,
            # From the last byte on: until that has come it is a span.
            expires=rules.deadline_us if wait_ms is None else min(wait_ms * 1000, rules.deadline_us),
            start=method + b" " + self.target,
            head=pass_on(self.headers, REQUEST_HEADERS),
            body=b"",
            answer=self.answer,
            name=fields[b"x-request-id"],
            tenant=driver.names.tenants.get(tenant, 0),
            key=key_of(self.target.partition(b"?")[2]),
            work_us=hint(fields.get(b"x-cost-hint", b"")),
            repeated=fields.get(b"x-retry") == b"1",
        )

    def _take(self) -> None:
        asked, body = self.asked, b"".join(self.body)
        self._begin()
        self.server.reading.discard(self)
        driver = self.server.driver
        if isinstance(asked, Answer):
            self._write(asked)
        elif asked is not None and asked.name in driver.names_open:
            self.refuse(BadRequestError(409, "X-Request-Id is that of an open request"))
        elif asked is not None:
            asked.expires += driver.now()
            asked.body = body
            self.call = asked
            driver.take(asked)

    # --- Writing --------------------------------------------------------------------

    def answer(self, answer: Answer) -> None:
        self.call = None
        self._write(answer)

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
        if keep:
            self.server.resting.add(self)
        else:
            self.close()

    def refuse(self, error: BadRequestError) -> None:
        """A plain 4xx, then the end."""
        self.over = True
        self._leave()
        if self.transport is None or self.transport.is_closing():
            return
        text = f"{error}\n".encode()
        self.transport.write(
            b"HTTP/1.1 %d %b\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%b"
            % (error.status, REASONS[error.status], len(text), text)
        )
        if error.status not in MORE_COMES:
            self.close()
            return
        # Guards against the rest of a large request: it is not read, but for a moment
        # not cut off either, as closing on unread bytes resets the answer away.
        self.transport.pause_reading()
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.server.ending(self)

    def close(self) -> None:
        """End the connection once what is written has left; in `LINGER_S` at the latest."""
        self.over = True
        if self.transport is not None:
            self.server.ending(self)
            self.transport.close()

    def cut(self) -> None:
        self.over = True
        if self.transport is not None:
            self.transport.abort()

    def time_out(self) -> None:
        """The request did not come in time; a caller that sent none is just left."""
        if self.fed:
            self.refuse(BadRequestError(408, "the request came too slowly"))
        else:
            self.close()


class Server:
    """The listener and its connections."""

    def __init__(self, driver: Driver, most: int = 512) -> None:
        self.driver, self.most = driver, most  # connections of callers
        self.callers: set[Caller] = set()
        loop = driver.loop
        self.reading: Sweep[Caller] = Sweep(loop, READ_S, Caller.time_out)  # a request is owed
        self.resting: Sweep[Caller] = Sweep(loop, REST_S, Caller.close)  # between requests
        self.lingering: Sweep[Caller] = Sweep(loop, LINGER_S, Caller.cut)  # ended, not yet closed
        self.stopping = False
        self.listener: asyncio.Server | None = None
        self.on_end: Callable[[], None] = lambda: None

    async def listen(self, host: str, port: int) -> int:
        loop = self.driver.loop
        self.listener = await loop.create_server(lambda: Caller(self), host, port, backlog=1024)
        return int(self.listener.sockets[0].getsockname()[1])

    def joined(self, caller: Caller) -> None:
        self.callers.add(caller)
        self.reading.add(caller)
        if len(self.callers) > self.most:
            self._make_room()

    def _make_room(self) -> None:
        """Guards the limit on descriptors against a crowd. Those that were told the end
        go first; silent ones may take a third from those that rest, no more."""
        silent = len(self.reading.since) > self.most // 3
        order = (self.reading, self.resting) if silent else (self.resting, self.reading)
        for sweep in (self.lingering, *order):
            if (oldest := sweep.oldest()) is not None:
                sweep.discard(oldest)
                oldest.cut()
                self.callers.discard(oldest)  # its descriptor is freed in this turn of the loop
                return

    def ending(self, caller: Caller) -> None:
        self.reading.discard(caller)
        self.resting.discard(caller)
        self.lingering.add(caller)

    def left(self, caller: Caller) -> None:
        self.callers.discard(caller)
        for sweep in (self.reading, self.resting, self.lingering):
            sweep.discard(caller)
        self._maybe_end()

    def _maybe_end(self) -> None:
        if self.stopping and self.listener is None and not self.callers:
            self.on_end()

    def stop(self, on_end: Callable[[], None]) -> None:
        """SIGTERM: serve what comes while it comes, then finish and end."""
        if self.stopping:
            return
        self.stopping, self.on_end = True, on_end
        for caller in list(self.resting.since):
            caller.close()
        self.driver.upstream.retire()
        self.driver.loop.call_later(ACCEPT_S + LAST_S, self._stop_listening)

    def _stop_listening(self) -> None:
        """No request begins any more: half-sent ones and silent callers keep nothing up."""
        assert self.listener is not None
        self.listener.close()
        self.listener = None
        for caller in [one for one in self.callers if one.call is None and not one.over]:
            caller.close()
        self._maybe_end()
