"""The receiving side of a client's connection: reads one request at a time, buffers or streams its body.

A request is buffered until it is complete, within the budget for requests; a larger one is streamed: its
first attempt takes the body while it comes.
"""

from __future__ import annotations

from typing import Any, Final

import httptools

from laurelstep.engine.body_stream import BodyStream
from laurelstep.engine.call import Answer, Call, Ending, Headers
from laurelstep.flow_control.throughput import has_min_throughput
from laurelstep.net.errors import BadRequestError
from laurelstep.net.message import (
    FRAMING_EACH,
    FRAMING_MAX,
    MAX_HEAD_BYTES,
    OWS,
    body_length,
    declared_length,
)
from laurelstep.net.request import build_call, checked
from laurelstep.net.server_state import ServerState, TrackedConnection

READY_PATH: Final = b"/health/ready"
# Where a receipt of a kept write is asked for, as no class is named so: by a client, so at its address.
RECEIPTS_PATH: Final = b"/outbox/receipts/"
# What edges ask a copy upstream of kept writes; here, as nothing of the outbox is loaded where it is off.
SHARED_PATH: Final = b"/outbox/shared/"
OUTBOX_QUERY: Final = -1  # in place of a class: it is no request of the engine's
# How much of what a client still sends behind the end of its connection is read and dropped: a close
# over unread bytes is a reset, which takes the answer with it.
MAX_DISCARDED_BYTES: Final = 1 << 20
STOPS: Final = "this sidecar stops"
# An upload's provisional time: it counts from the last byte, once that has come.
UPLOAD_MOST_US: Final = 600_000_000


class RequestReceiver(TrackedConnection):
    """One connection's request at a time. The parser calls the `on_...` methods."""

    def __init__(self, server: ServerState[Any]) -> None:
        super().__init__()
        self.server = server
        self.call: Call | None = None
        self.dropped = 0  # bytes that came behind the end
        self.keep_alive = True
        self.upload: BodyStream | None = None  # a request that is streamed
        self.answer: BodyStream | None = None  # an answer that is
        self.pipelined = b""  # what came meanwhile: the next request waits for its end
        self.parser: Any = httptools.HttpRequestParser(self)
        self._reset()

    def write_answer(self, answer: Answer, unread: bool = False) -> None:
        """`unread`: more of the request may come, and is not waited for."""
        raise NotImplementedError

    def _reset(self) -> None:
        self.target = b""
        self.headers: Headers = []
        self.body = bytearray()  # not a list of parts: of one byte each they would take forty
        self.size = self.received = 0
        self.parsed: Call | Answer | None = None  # what the head says
        self.head_at = 0.0  # when it had come
        self.has_begun = self.is_complete = False

    def _abandon(self) -> None:
        call, self.call = self.call, None
        if call is not None:
            self.server.engine.on_client_left(call)
        self._release_body()

    def _release_body(self) -> None:
        """Of the request in hand nothing more is held here."""
        upload, self.upload = self.upload, None
        if upload is not None:
            upload.abandon()
        reserved, self.reserved = self.reserved, 0
        self.server.request_budget.release(reserved)

    # --- Reading --------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        """asyncio: bytes of a request."""
        if self.closing:
            self._discard(data)
            return
        if self.answer is not None:
            self._hold_pipelined(data)
            return
        if not self.received and self.call is None:
            self.server.idle.discard(self)
            self.server.awaiting_request.discard(self)  # its time counts from the first byte
        self.received += len(data)
        try:
            if self.call is not None and self.upload is None:
                # Guards against a request hidden behind another: clients send one at a time.
                raise BadRequestError(400, "more than one request")
            self.parser.feed_data(data)
            if self.parsed is None and self.received > MAX_HEAD_BYTES:
                raise BadRequestError(431, "the head is too large")
            if self.received > FRAMING_MAX + FRAMING_EACH * self.size:
                raise BadRequestError(413, "the request is mostly framing")
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            self.reject(cause if isinstance(cause, BadRequestError) else BadRequestError(400, "malformed"))
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.reject(BadRequestError(400, "malformed"))
        except BadRequestError as error:
            self.reject(error)
        else:
            if not self.is_complete:
                self._continue_reading()
            elif self.upload is not None:
                self._end_upload()
            else:
                self._dispatch()

    def _discard(self, data: bytes) -> None:
        """Behind the end of the connection: none of it is a request any more."""
        self.dropped += len(data)
        if (
            self.dropped > MAX_DISCARDED_BYTES
            and self.transport is not None
            and not self.transport.is_closing()
        ):
            self.transport.pause_reading()

    def _continue_reading(self) -> None:
        """More of the request is owed: its head by one time, its body at a pace."""
        server = self.server
        if server.shutdown.refuses_partial:
            self.reject(BadRequestError(503, STOPS))
            return
        server.late_connections.discard(self)
        if self.parsed is None:
            server.awaiting_request.add(self)
            server.reserve_head(self)
            return
        if not has_min_throughput(self.size, server.loop.time() - self.head_at):
            self.reject(BadRequestError(408, "the body came too slowly"))
            return
        if self.upload is None and not self.reserve(self.size):
            self._begin_upload()
            return
        waiting = server.uploading if self.upload is not None else server.awaiting_request
        if self.upload is None or self in waiting.waiting_since:  # an upload that is held back is not late
            waiting.discard(self)
            waiting.add(self)

    def reserve(self, size: int) -> bool:
        """Whether so many bytes of the request may wait here until it is complete."""
        reserved = self.server.request_budget.reserve(size, self.reserved)
        if reserved >= 0:
            self.reserved = reserved
        return reserved >= 0

    def on_message_begin(self) -> None:
        """The parser: a request begins."""
        if self.has_begun:
            raise BadRequestError(400, "more than one request")
        self.has_begun = True

    def on_url(self, url: bytes) -> None:
        """The parser: a part of the target."""
        self.target = b"%b%b" % (self.target, url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """The parser: a field of the head, or a trailer."""
        if self.parsed is None:  # not a trailer: those end here
            self.headers.append((name.lower(), value.strip(OWS)))

    def on_headers_complete(self) -> None:
        """The parser: the head has come. `BadRequestError` if it can't be served."""
        if self.received > MAX_HEAD_BYTES and sum(len(n) + len(v) for n, v in self.headers) > MAX_HEAD_BYTES:
            raise BadRequestError(431, "the head is too large")
        self.parsed = self._parse_head()
        self.head_at = self.server.loop.time()
        if any(name == b"expect" and value.lower() == b"100-continue" for name, value in self.headers):
            self._send_continue()

    def _send_continue(self) -> None:
        """The client waits for a word before it sends the body (RFC 9110, 10.1.1)."""
        if self.transport is not None and self.parser.get_http_version() == "1.1":
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """The parser: a part of the body."""
        self.size += len(data)
        if self.size > self.server.max_body_bytes:
            raise BadRequestError(413, "the body is too large")
        if self.upload is not None:
            self.upload.feed(data)
        else:
            self.body += data

    def on_message_complete(self) -> None:
        """The parser: the last byte has come."""
        self.is_complete, self.keep_alive = True, self.parser.should_keep_alive()

    def _parse_head(self) -> Call | Answer:
        method = self.parser.get_method()
        if method == b"GET" and self.target == READY_PATH:
            checked(self.headers)
            return (
                Answer(Ending.SERVED, 200) if self.server.lifecycle.is_ready else Answer(Ending.FAILED, 503)
            )
        if self.server.on_receipt_query is not None and self.target.startswith(RECEIPTS_PATH):
            return self._outbox_query(method, RECEIPTS_PATH, "a receipt")
        if self.server.on_shared_query is not None and self.target.startswith(SHARED_PATH):
            return self._outbox_query(method, SHARED_PATH, "what is shared")
        engine = self.server.engine
        most = self.server.max_body_bytes
        call = build_call(method, self.target, self.headers, engine.names, engine.settings, self, most)
        call.client_connection = self
        return call

    def _outbox_query(self, method: bytes, path: bytes, what: str) -> Call:
        """Asked of the outbox: a call that is not open, as the engine never has it; `order` is the path."""
        if body_length(checked(self.headers)):
            raise BadRequestError(400, f"asking for {what} has no body")
        if method != b"GET":
            raise BadRequestError(405, f"ask for {what} with GET")
        asking = Call(OUTBOX_QUERY, 0, self.target[len(path) :], b"", b"", self, order_id=path)
        asking.is_open = False
        return asking

    def _forward_query(self, asking: Call) -> None:
        asked = (
            self.server.on_shared_query if asking.order_id == SHARED_PATH else self.server.on_receipt_query
        )
        assert asked is not None
        asked(asking)

    # --- Streaming ---------------------------------------------------------------------

    def _begin_upload(self) -> None:
        """Too large to be held: the first attempt takes it as it comes."""
        server, asked = self.server, self.parsed
        if not isinstance(asked, Call):
            self.reject(BadRequestError(413, "the body is too large"))
            return
        if asked.client_request_id in server.engine.open_request_ids:
            self.reject(BadRequestError(409, "X-Request-Id is that of an open request"))
            return
        upload = BodyStream(self, declared_length(self.headers))
        if self.body:
            upload.feed(bytes(self.body))
            self.body = bytearray()
        self._release_body()
        self.upload = asked.upload = upload
        asked.time_after_upload_us = asked.expires_at
        asked.expires_at += server.engine.now() + UPLOAD_MOST_US
        asked.can_stream_answer = True
        self.call = asked
        server.awaiting_request.discard(self)
        server.uploading.add(self)
        server.engine.take(asked)
        # Not `self.upload` again: to the compiler that is what was assigned above.
        if not upload.is_closed and not upload.was_attached:
            self.pause()  # nobody takes it yet

    def _end_upload(self) -> None:
        upload, self.upload, call = self.upload, None, self.call
        self.server.uploading.discard(self)
        self._reset()
        if upload is not None:
            upload.finish(True)
        if call is not None:
            self.server.engine.on_upload_complete(call)

    def pause(self) -> None:
        """The upload's taker has no room: read no more for now."""
        self.server.uploading.discard(self)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()
            self.server.paused.add(self)

    def resume(self) -> None:
        """The upload's taker has room again."""
        if self.transport is not None and not self.transport.is_closing() and self.upload is not None:
            self.server.paused.discard(self)
            self.server.uploading.add(self)
            self.transport.resume_reading()

    def check_hangup(self) -> None:
        """The client's end lies behind what is not read: the rest of an upload, or what came behind a
        request whose answer is streamed.
        """
        if self.has_left():
            self._abandon()
            self.abort()
        else:
            self.server.paused.add(self)

    def on_abandoned(self) -> None:
        """The final answer comes, and ends the connection."""

    # --- A request that has come whole ------------------------------------------------

    def _dispatch(self) -> None:
        asked, body = self.parsed, bytes(self.body)
        self._reset()
        self.server.awaiting_request.discard(self)
        self.server.late_connections.discard(self)
        engine = self.server.engine
        if isinstance(asked, Answer):
            self._release_body()
            self.write_answer(asked)
        elif asked is not None and asked.request_class == OUTBOX_QUERY:
            self._release_body()
            self.call = asked
            self._forward_query(asked)
        elif asked is not None and asked.client_request_id in engine.open_request_ids:
            self.reject(BadRequestError(409, "X-Request-Id is that of an open request"))
        elif asked is not None:
            asked.expires_at += engine.now()
            asked.body = body
            if body:
                self.reserved = self.server.request_budget.reserve_unconditionally(len(body), self.reserved)
            asked.can_stream_answer = True
            self.call = asked
            engine.take(asked)

    # --- Behind an answer that is streamed ---------------------------------------------

    def _hold_pipelined(self, data: bytes) -> None:
        """Read on until there is something: that the client leaves is seen in this way alone."""
        self.pipelined = b"%b%b" % (self.pipelined, data)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()
            self.server.paused.add(self)

    def _resume_pipelined(self) -> None:
        data, self.pipelined = self.pipelined, b""
        if self.transport is not None:
            self.transport.resume_reading()
            self.data_received(data)
