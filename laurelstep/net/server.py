"""The callers' side: reads requests and writes final answers. `net.shutdown` says when connections end."""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final, cast

import httptools

from laurelstep.engine.call import Answer, Call, Ending, Headers
from laurelstep.engine.engine import Engine
from laurelstep.engine.flow import Flow
from laurelstep.lifecycle import Lifecycle
from laurelstep.lifecycle.phases import LATE_S
from laurelstep.net.errors import BadRequestError
from laurelstep.net.message import (
    BODY_MAX,
    FRAMING_EACH,
    FRAMING_MAX,
    HEAD_MAX,
    LARGE_MAX,
    OWS,
    READ_S,
    Sweep,
    body_length,
    declared_length,
    has_news,
    lines,
)
from laurelstep.net.request import call_from, checked
from laurelstep.net.shutdown import BACKLOG, GracefulShutdown
from laurelstep.room.descriptors import ENDED, RESTING, giving_way
from laurelstep.stream.pace import Room, keeps_pace, room_for

READY_PATH: Final = b"/health/ready"
# Where a receipt of a kept write is asked for, as no class is named so: by a client, so at its address.
RECEIPTS_PATH: Final = b"/outbox/receipts/"
# What edges ask a copy upstream of kept writes; here, as nothing of the outbox is loaded where it is off.
SHARED_PATH: Final = b"/outbox/shared/"
ASKING: Final = -1  # in place of a class: it is no request of the engine's
REASONS: Final = {status.value: status.phrase.encode() for status in HTTPStatus}
START_LINES: Final = {status: b"HTTP/1.1 %d %b\r\n" % (status, reason) for status, reason in REASONS.items()}
# A connection rests so long between requests at most: some callers never come back.
REST_S: Final = 5.0
# How long the caller of a connection that was ended may take to end its own side, and how much of what it
# still sends is read and dropped: a close over unread bytes is a reset, which takes the answer with it.
LINGER_S: Final = 1.0
LINGER_MOST: Final = 1 << 20
# How often it is asked whether the caller of an upload that is not read has left: no attempt may begin for it
# 0.1 s after its close.
HELD_S: Final = 0.05
# A caller that does not read what it is sent is cut after this.
STUCK_S: Final = 10.0
# An upload's provisional time: it counts from the last byte, once that has come.
UPLOAD_MOST_US: Final = 600_000_000


class Caller:
    """One connection of a caller; one request is read, and answered, at a time.

    An `asyncio.Protocol` in all but the base class: compiled, one with a base that is
    not compiled would lose its fixed layout."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.call: Call | None = None
        self.over = False  # what comes is dropped
        self.dropped = 0  # bytes of that
        self.keep = True
        self.upload: Flow | None = None  # a request that is passed on while it comes
        self.answer: Flow | None = None  # an answer that is
        self.chunks = False  # the answer goes out in chunks
        self.behind = b""  # what came meanwhile: the next request waits for its end
        self.held = 0  # of the room for requests
        self.parser: Any = httptools.HttpRequestParser(self)
        self._begin()

    def _begin(self) -> None:
        self.target = b""
        self.headers: Headers = []
        self.body = bytearray()  # not a list of parts: of one byte each they would take forty
        self.size = self.fed = 0
        self.asked: Call | Answer | None = None  # what the head says
        self.head_at = 0.0  # when it had come
        self.begun = self.whole = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.server.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.over = True
        self.parser = None  # it holds this object's methods: the cycle ends here
        self._leave()
        answer, self.answer = self.answer, None
        if answer is not None:
            answer.leave()
        self.server.left(self)

    def eof_received(self) -> None:
        """The caller has ended its side, so it has gone: the protocol knows no caller that waits on for its
        answer. The transport closes, but tells so a turn later, behind timers that may send the request."""
        self.over = True
        self._leave()

    def pause_writing(self) -> None:
        self.server.stuck.add(self)
        if self.answer is not None:
            self.answer.pause()

    def resume_writing(self) -> None:
        if not self.over:  # an end that waits for this keeps its bound
            self.server.stuck.discard(self)
        if self.answer is not None:
            self.answer.resume()

    def _leave(self) -> None:
        call, self.call = self.call, None
        if call is not None:
            self.server.engine.gone(call)
        self._forget_body()

    def _forget_body(self) -> None:
        """Of the request in hand nothing more is held here."""
        upload, self.upload = self.upload, None
        if upload is not None:
            upload.leave()
        held, self.held = self.held, 0
        self.server.room.give_back(held)

    # --- Reading --------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        if self.over:
            self._drop(data)
            return
        if self.answer is not None:
            self._keep_behind(data)
            return
        if not self.fed and self.call is None:
            self.server.resting.discard(self)
            self.server.reading.discard(self)  # its time counts from the first byte
        self.fed += len(data)
        try:
            if self.call is not None and self.upload is None:
                # Guards against a request hidden behind another: callers send one at a time.
                raise BadRequestError(400, "more than one request")
            self.parser.feed_data(data)
            if self.asked is None and self.fed > HEAD_MAX:
                raise BadRequestError(431, "the head is too large")
            if self.fed > FRAMING_MAX + FRAMING_EACH * self.size:
                raise BadRequestError(413, "the request is mostly framing")
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            self.refuse(cause if isinstance(cause, BadRequestError) else BadRequestError(400, "malformed"))
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.refuse(BadRequestError(400, "malformed"))
        except BadRequestError as error:
            self.refuse(error)
        else:
            if not self.whole:
                self._read_on()
            elif self.upload is not None:
                self._end_upload()
            else:
                self._take()

    def _drop(self, data: bytes) -> None:
        """Behind the end of the connection: none of it is a request any more."""
        self.dropped += len(data)
        if self.dropped > LINGER_MOST and self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def _read_on(self) -> None:
        """More of the request is owed: its head by one time, its body at a pace."""
        server = self.server
        server.late.discard(self)
        if self.asked is None:
            server.reading.add(self)
            server.hold_head(self)
            return
        if not keeps_pace(self.size, server.loop.time() - self.head_at):
            self.refuse(BadRequestError(408, "the body came too slowly"))
            return
        if self.upload is None and not self._hold_body():
            self._begin_upload()
            return
        waiting = server.uploading if self.upload is not None else server.reading
        if self.upload is None or self in waiting.since:  # an upload that is held back is not late
            waiting.discard(self)
            waiting.add(self)

    def _hold_body(self) -> bool:
        """Whether the body may wait here until it is whole."""
        return self.hold_bytes(self.size)

    def hold_bytes(self, size: int) -> bool:
        held = self.server.room.hold(size, self.held)
        if held >= 0:
            self.held = held
        return held >= 0

    def on_message_begin(self) -> None:
        if self.begun:
            raise BadRequestError(400, "more than one request")
        self.begun = True

    def on_url(self, url: bytes) -> None:
        self.target = b"%b%b" % (self.target, url)

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.asked is None:  # not a trailer: those end here
            self.headers.append((name.lower(), value.strip(OWS)))

    def on_headers_complete(self) -> None:
        if self.fed > HEAD_MAX and sum(len(n) + len(v) for n, v in self.headers) > HEAD_MAX:
            raise BadRequestError(431, "the head is too large")
        self.asked = self._asked()
        self.head_at = self.server.loop.time()
        if any(name == b"expect" and value.lower() == b"100-continue" for name, value in self.headers):
            self._continue()

    def _continue(self) -> None:
        """The caller waits for a word before it sends the body (RFC 9110, 10.1.1)."""
        if self.transport is not None and self.parser.get_http_version() == "1.1":
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        self.size += len(data)
        if self.size > self.server.body_most:
            raise BadRequestError(413, "the body is too large")
        if self.upload is not None:
            self.upload.feed(data)
        else:
            self.body += data

    def on_message_complete(self) -> None:
        self.whole, self.keep = True, self.parser.should_keep_alive()

    def _asked(self) -> Call | Answer:
        method = self.parser.get_method()
        if method == b"GET" and self.target == READY_PATH:
            checked(self.headers)
            return Answer(Ending.SERVED, 200) if self.server.lifecycle.ready else Answer(Ending.FAILED, 503)
        if self.server.receipts is not None and self.target.startswith(RECEIPTS_PATH):
            return self._asking(method, RECEIPTS_PATH, "a receipt")
        if self.server.shared is not None and self.target.startswith(SHARED_PATH):
            return self._asking(method, SHARED_PATH, "what is shared")
        engine = self.server.engine
        most = self.server.body_most
        return call_from(method, self.target, self.headers, engine.names, engine.settings, self, most)

    def _asking(self, method: bytes, path: bytes, what: str) -> Call:
        """Asked of the outbox: a call that is not open, as the engine never has it; `order` is the path."""
        if body_length(checked(self.headers)):
            raise BadRequestError(400, f"asking for {what} has no body")
        if method != b"GET":
            raise BadRequestError(405, f"ask for {what} with GET")
        asking = Call(ASKING, 0, self.target[len(path) :], b"", b"", self, order=path)
        asking.open = False
        return asking

    def _ask(self, asking: Call) -> None:
        asked = self.server.shared if asking.order == SHARED_PATH else self.server.receipts
        assert asked is not None
        asked(asking)

    # --- A request that is passed on while it comes -----------------------------------

    def _begin_upload(self) -> None:
        """Too large to be held: the first attempt takes it as it comes."""
        server, asked = self.server, self.asked
        if not isinstance(asked, Call):
            self.refuse(BadRequestError(413, "the body is too large"))
            return
        if asked.name in server.engine.open_names:
            self.refuse(BadRequestError(409, "X-Request-Id is that of an open request"))
            return
        upload = Flow(self, declared_length(self.headers))
        if self.body:
            upload.feed(bytes(self.body))
            self.body = bytearray()
        self._forget_body()
        self.upload = asked.upload = upload
        asked.span = asked.expires
        asked.expires += server.engine.now() + UPLOAD_MOST_US
        asked.streams = True
        self.call = asked
        server.reading.discard(self)
        server.uploading.add(self)
        server.engine.take(asked)
        # Not `self.upload` again: to the compiler that is what was assigned above.
        if not upload.over and not upload.begun:
            self.hold()  # nobody takes it yet

    def _end_upload(self) -> None:
        upload, self.upload, call = self.upload, None, self.call
        self.server.uploading.discard(self)
        self._begin()
        if upload is not None:
            upload.end(True)
        if call is not None:
            self.server.engine.whole(call)

    def hold(self) -> None:
        self.server.uploading.discard(self)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()
            self.server.held_back.add(self)

    def go_on(self) -> None:
        if self.transport is not None and not self.transport.is_closing() and self.upload is not None:
            self.server.held_back.discard(self)
            self.server.uploading.add(self)
            self.transport.resume_reading()

    def end_if_left(self) -> None:
        """Of an upload that is not read, the caller's end lies behind what is not either."""
        if self.has_left():
            self._leave()
            self.cut()
        else:
            self.server.held_back.add(self)

    def unwanted(self) -> None:
        """The final answer comes, and ends the connection."""

    # --- A request that has come whole ------------------------------------------------

    def _take(self) -> None:
        asked, body = self.asked, bytes(self.body)
        self._begin()
        self.server.reading.discard(self)
        self.server.late.discard(self)
        engine = self.server.engine
        if isinstance(asked, Answer):
            self._forget_body()
            self._write(asked)
        elif asked is not None and asked.cls == ASKING:
            self._forget_body()
            self.call = asked
            self._ask(asked)
        elif asked is not None and asked.name in engine.open_names:
            self.refuse(BadRequestError(409, "X-Request-Id is that of an open request"))
        elif asked is not None:
            asked.expires += engine.now()
            asked.body = body
            if body:
                self.held = self.server.room.count(len(body), self.held)
            asked.streams = True
            self.call = asked
            engine.take(asked)

    # --- Writing --------------------------------------------------------------------

    def answered(self, call: Call, answer: Answer) -> None:
        self.call = None
        unread = self.upload is not None
        self._forget_body()
        if answer.flow is not None:
            self._pass_on(answer, answer.flow, unread)
        else:
            self._write(answer, unread)

    def _write(self, answer: Answer, unread: bool = False) -> None:
        """`unread`: more of the request may come, and is not waited for."""
        if self.transport is None or self.transport.is_closing():
            return
        keep = self.keep and self.server.lifecycle.keeps and not unread
        head = lines(answer.headers)
        if answer.retry_after_us > 0:
            head = b"%bRetry-After: %.3f\r\n" % (head, answer.retry_after_us / 1e6)
        close = b"" if keep else b"Connection: close\r\n"
        self.transport.write(
            b"%bContent-Length: %d\r\n%b%b\r\n%b"
            % (START_LINES[answer.status], len(answer.body), head, close, answer.body)
        )
        if keep:
            self.server.resting.add(self)
        else:
            self.close()

    # --- An answer that is passed on while it comes -----------------------------------

    def _pass_on(self, answer: Answer, flow: Flow, unread: bool) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        self.chunks = flow.length < 0 and self.parser.get_http_version() == "1.1"
        self.keep = self.keep and self.server.lifecycle.keeps and not unread
        self.keep = self.keep and (self.chunks or flow.length >= 0)
        framing = b"Transfer-Encoding: chunked\r\n" if self.chunks else b""
        if flow.length >= 0:
            framing = b"Content-Length: %d\r\n" % flow.length
        close = b"" if self.keep else b"Connection: close\r\n"
        self.answer = flow
        self.transport.write(
            b"%b%b%b%b\r\n" % (START_LINES[answer.status], framing, lines(answer.headers), close)
        )
        flow.attach(self)

    def _keep_behind(self, data: bytes) -> None:
        """Read on until there is something: that the caller leaves is seen in this way alone."""
        self.behind = b"%b%b" % (self.behind, data)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def _read_behind(self) -> None:
        data, self.behind = self.behind, b""
        if self.transport is not None:
            self.transport.resume_reading()
            self.data_received(data)

    def flow(self, data: bytes) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if self.chunks:
            self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self.transport.write(data)

    def flowed(self, whole: bool) -> None:
        self.answer = None
        if self.transport is None or self.transport.is_closing():
            return
        if whole and self.chunks:
            self.transport.write(b"0\r\n\r\n")
        if whole and self.keep:
            self.server.resting.add(self)
            if self.behind and self.has_left():  # its end lay behind what was not read
                self.close()
            elif self.behind:
                self._read_behind()
            elif not self.server.lifecycle.keeps:  # it did when the answer's head was written
                self.close_unless_asking()
        elif whole or self.chunks or self.keep:
            # What has been given is still read; that it is not whole shows in its framing.
            self.close()
        else:
            self.cut()

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
        self.close()

    def close(self) -> None:
        """A lingering close: this side ends behind what is written, what still comes is dropped, and the
        caller's own end closes the connection."""
        self.over = True
        if self.transport is None or self.transport.is_closing():
            return
        self.server.ending(self)
        self.transport.write_eof()
        self.transport.resume_reading()

    def has_written(self) -> bool:
        """Whether all that it was answered is with the system."""
        return self.transport is None or self.transport.get_write_buffer_size() == 0

    def end_linger(self) -> None:
        """A caller that still takes its answer has as long as any that reads slowly."""
        if self.has_written():
            self.cut()
        else:
            self.server.stuck.add(self)

    def cut(self) -> None:
        self.over = True
        if self.transport is not None:
            self.transport.abort()

    def has_more(self) -> bool:
        """Whether bytes have come that were not read yet."""
        assert self.transport is not None
        return has_news(self.transport.get_extra_info("socket").fileno(), select.POLLIN)

    def has_left(self) -> bool:
        """Whether the caller has ended its side, though bytes before that may not be read yet."""
        assert self.transport is not None
        return has_news(self.transport.get_extra_info("socket").fileno(), select.POLLRDHUP)

    def close_unless_asking(self) -> None:
        """Guards a request that crosses the end of its connection: one that has come is
        served; what comes behind the close is sent once more by its caller."""
        if not self.has_more():
            self.close()

    def is_silent(self) -> bool:
        return not self.fed

    def is_unsent(self) -> bool:
        return self.call is None and self.answer is None and not self.over

    def end_unsent(self) -> None:
        """The process stops. What has come is read first. Of a half-sent request the last byte may be on its
        way: it is refused, as nothing of it was sent on."""
        if self.fed and not self.has_more():
            self.refuse(BadRequestError(503, "this sidecar stops"))
        else:
            self.close_unless_asking()

    def time_out(self) -> None:
        """The request did not come in time; a caller that sent none is just left."""
        if self.fed:
            self.refuse(BadRequestError(408, "the request came too slowly"))
        else:
            self.close_unless_asking()


class Server:
    """The listener and its connections."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        engine: Engine,
        most: int = 512,
        on_stop: Callable[[], None] | None = None,
        lifecycle: Lifecycle | None = None,
        memory_mb: int = 0,
    ) -> None:
        self.loop = loop
        self.room = Room(room_for(memory_mb))
        # An order's record holds all of it.
        self.body_most = LARGE_MAX if engine.recorder is None else BODY_MAX
        self.lifecycle = lifecycle or Lifecycle()
        self.engine = engine
        self.most = most  # connections of callers
        self.callers: set[Caller] = set()
        self.reading: Sweep[Caller] = Sweep(loop, READ_S, Caller.time_out)  # a request is owed
        self.uploading: Sweep[Caller] = Sweep(loop, READ_S, Caller.time_out)  # the same, being sent on
        self.held_back: Sweep[Caller] = Sweep(loop, HELD_S, Caller.end_if_left)  # the same, held back
        self.stuck: Sweep[Caller] = Sweep(loop, STUCK_S, Caller.cut)  # does not read
        self.resting: Sweep[Caller] = Sweep(loop, REST_S, Caller.close_unless_asking)  # between requests
        self.lingering: Sweep[Caller] = Sweep(loop, LINGER_S, Caller.end_linger)  # half-closed
        # Came when others were gone.
        self.late: Sweep[Caller] = Sweep(loop, LATE_S, Caller.close_unless_asking)
        self.listener: asyncio.Server | None = None
        self.shutdown = GracefulShutdown(loop, self.lifecycle, self, on_stop)
        self.receipts: Callable[[Call], None] | None = None  # asked for one; its front is answered later
        self.shared: Callable[[Call], None] | None = None  # the same, asked what copies share

    async def listen(
        self, host: str, port: int, shared: bool = False, handed: socket.socket | None = None
    ) -> int:
        """The port it listens at; `shared` with other processes that say so too, or at a
        listener that another process handed over."""
        # Not typed: the sockets of uvloop's are a list, where asyncio's are a tuple.
        listener: Any
        if handed is not None:
            listener = await self.loop.create_server(self._caller, sock=handed, backlog=BACKLOG)
        else:
            listener = await self.loop.create_server(
                self._caller, host, port, backlog=BACKLOG, reuse_port=shared or None
            )
        self.listener = listener
        self.lifecycle.serve(self.loop.time())
        return int(listener.sockets[0].getsockname()[1])

    def _caller(self) -> Any:
        return Caller(self)

    def joined(self, caller: Caller) -> None:
        if self.shutdown.over:
            caller.cut()  # guards a request that would run and go unanswered
            return
        self.callers.add(caller)
        late = self.listener is None or self.lifecycle.is_late(self.loop.time())
        (self.late if late else self.reading).add(caller)
        if len(self.callers) > self.most:
            self._make_room()

    def _make_room(self) -> None:
        """Guards the limit on descriptors against a crowd. None gives way while a part of its answer
        waits here: that would be lost."""
        for waits in giving_way(len(self.reading.since), self.most):
            sweep = self.lingering if waits == ENDED else self.resting if waits == RESTING else self.reading
            oldest = next((one for one in sweep.since if one.has_written()), None)
            if oldest is not None:
                sweep.discard(oldest)
                oldest.cut()
                self.callers.discard(oldest)  # its descriptor is freed in this turn of the loop
                return

    def hold_head(self, caller: Caller) -> None:
        """Guards memory against a crowd of half-written heads: there the one that has been
        owed for longest gives way. Refused, as nothing of it was sent on."""
        while not caller.hold_bytes(caller.fed):
            held = (one for one in self.reading.since if one.held > 0 and one.asked is None)
            oldest = next(held, caller)
            oldest.refuse(BadRequestError(503, "too much is half-written"))
            if oldest is caller:
                return

    def ending(self, caller: Caller) -> None:
        for sweep in (self.reading, self.uploading, self.held_back, self.resting, self.late):
            sweep.discard(caller)
        self.lingering.add(caller)

    def left(self, caller: Caller) -> None:
        self.callers.discard(caller)
        for sweep in (
            *(self.reading, self.uploading, self.held_back, self.stuck),
            *(self.resting, self.lingering, self.late),
        ):
            sweep.discard(caller)
        self.shutdown.maybe_end()

    def stop(self, on_end: Callable[[], None]) -> None:
        """Graceful shutdown: `on_end` is called when all that was taken is answered and all have gone."""
        self.shutdown.stop(on_end)
