"""The receiving side of a client's connection: reads one request at a time and buffers or streams its body.

A request is buffered until it is complete, within the buffer budget for requests. A larger one is streamed:
its first attempt forwards the body as it arrives.
"""

from __future__ import annotations

from typing import Any, Final

import httptools

from laurelstep.engine.body_stream import BodyStream
from laurelstep.engine.call import Answer, Call, Ending, Headers
from laurelstep.flow_control.buffer_budget import MAX_KEPT_FIELDS, held_head_bytes
from laurelstep.flow_control.throughput import has_min_throughput
from laurelstep.net.errors import BadRequestError
from laurelstep.net.message import (
    MAX_FRAMING_BYTES,
    MAX_FRAMING_BYTES_PER_BODY_BYTE,
    MAX_HEAD_BYTES,
    MAX_REQUEST_FIELDS,
    OWS,
    body_length,
)
from laurelstep.net.read_buffer import is_fragmented
from laurelstep.net.request import build_call, validate_framing
from laurelstep.net.server_state import ServerState, TrackedConnection

READY_PATH: Final = b"/health/ready"
# Clients query receipts of queued writes under this path. No class of requests may have this name.
RECEIPTS_PATH: Final = b"/outbox/receipts/"
# Edges query an upstream copy of this program about queued writes under this path. It is defined here, as the
# outbox package is not loaded when the outbox is off.
SHARED_PATH: Final = b"/outbox/shared/"
OUTBOX_QUERY: Final = -1  # the class number of outbox queries, which the engine does not handle
# Bytes read and discarded after this side of a connection was closed: closing a socket with unread bytes
# resets the connection, and the client may lose the answer.
MAX_DISCARDED_BYTES: Final = 1 << 20
STOPPING_MESSAGE: Final = "this sidecar stops"


class RequestReceiver(TrackedConnection):
    """Reads one request at a time from a connection. The HTTP parser calls the `on_...` methods."""

    def __init__(self, server: ServerState[Any]) -> None:
        super().__init__()
        self.server = server
        self.call: Call | None = None
        self.part_count = 0  # header fields and parts of the body in the last read
        self.was_fragmented = False  # the last read had many of them
        self.discarded_bytes = 0  # bytes discarded after this side was closed
        self.keep_alive = True
        self.upload: BodyStream | None = None  # the body of a request that is being streamed
        self.upload_expires_at = 0  # engine's time by which an upload ends that its client writes slowly, µs
        self.is_backlogged = False  # the client may have written the upload's end, which is not read
        # Engine's time in µs, and how many bytes the client can have written by then.
        self.checkpoint_at = self.checkpoint_bytes = 0
        # Loop time at which all that had arrived of a backlogged upload was read, 0 if not, and its size.
        self.drained_at, self.drained_bytes = 0.0, 0
        self.upload_paused_at = 0.0  # loop time at which reading an upload was paused that no attempt reads
        self.answer: BodyStream | None = None  # the body of an answer that is being streamed
        self.pipelined = b""  # bytes of the next request, read while an answer is being streamed
        self.parser: Any = httptools.HttpRequestParser(self)
        self._reset()

    def write_answer(self, answer: Answer, is_incomplete: bool = False) -> None:
        """Write an answer. `is_incomplete`: the request is incomplete, and the rest of it is not read."""
        raise NotImplementedError

    def begin_upload(self) -> None:
        """Stream the body, as it is too large to be buffered."""
        raise NotImplementedError

    def hold_waiting_upload(self) -> None:
        """More of an upload that no attempt reads yet has arrived."""
        raise NotImplementedError

    def check_backlog(self) -> None:
        """More of an upload was read after reading had been paused."""
        raise NotImplementedError

    def end_upload(self) -> None:
        """The last byte of a streamed body has arrived."""
        raise NotImplementedError

    def _reset(self) -> None:
        self.target = b""
        self.headers: Headers = []  # those that are used
        self.head_field_bytes = 0  # names and values of all headers
        self.field_count = 0  # headers and trailers
        self.body = bytearray()  # a list of parts would take 40 bytes for a part of one byte
        self.body_byte_count = self.received_bytes = 0
        self.parsed: Call | Answer | None = None  # the call for the head, or the answer to a health check
        self.head_completed_at = 0.0  # loop time at which the head was complete
        self.has_begun = self.is_complete = False

    def _abandon(self) -> None:
        call, self.call = self.call, None
        if call is not None:
            self.server.engine.on_client_left(call)
        self._release_body()

    def _release_body(self) -> None:
        """Abandon an upload and release the reserved buffer budget."""
        upload, self.upload = self.upload, None
        if upload is not None:
            upload.abandon()
        self._release_budget()

    def _release_budget(self) -> None:
        reserved, self.reserved_bytes = self.reserved_bytes, 0
        self.server.request_budget.release(reserved)

    # --- Reading --------------------------------------------------------------------

    def get_buffer(self, sizehint: int) -> memoryview:
        """asyncio: the memory for the next read, which is used until `buffer_updated`."""
        return self.server.read_buffer.view(self.was_fragmented or self.parsed is None)

    def buffer_updated(self, nbytes: int) -> None:
        """asyncio: `nbytes` bytes of a request have arrived."""
        self.data_received(self.server.read_buffer.take(nbytes))

    def data_received(self, data: bytes) -> None:
        """Read bytes of a request that have arrived."""
        if self.is_closing:
            self._discard(data)
            return
        if self.answer is not None:
            self._hold_pipelined(data)
            return
        if not self.received_bytes and self.call is None:
            self.server.idle.discard(self)
            self.server.awaiting_request.discard(self)  # the timeout restarts at the first byte
        self.received_bytes += len(data)
        self.part_count = 0
        try:
            if self.call is not None and self.upload is None:
                # Guards against request smuggling: clients send one request at a time.
                raise BadRequestError(400, "more than one request")
            self.parser.feed_data(data)
            if self.parsed is None and self.received_bytes > MAX_HEAD_BYTES:
                raise BadRequestError(431, "the head is too large")
            if (
                self.received_bytes
                > MAX_FRAMING_BYTES + MAX_FRAMING_BYTES_PER_BODY_BYTE * self.body_byte_count
            ):
                raise BadRequestError(413, "the request is mostly framing")
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            self.reject(cause if isinstance(cause, BadRequestError) else BadRequestError(400, "malformed"))
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.reject(BadRequestError(400, "malformed"))
        except BadRequestError as error:
            self.reject(error)
        else:
            self.was_fragmented = is_fragmented(len(data), self.part_count)
            self._forward_body()
            if not self.is_complete:
                self._continue_reading()
            elif self.upload is not None:
                self.end_upload()
            else:
                self._dispatch()

    def _forward_body(self) -> None:
        """Forward what was read of an upload, in one piece however it was split into chunks."""
        if self.upload is not None and self.body:
            body, self.body = self.body, bytearray()
            self.upload.feed(bytes(body))

    def _discard(self, data: bytes) -> None:
        """Discard bytes that arrive after this side was closed, and stop reading if there are too many."""
        self.discarded_bytes += len(data)
        if (
            self.discarded_bytes > MAX_DISCARDED_BYTES
            and self.transport is not None
            and not self.transport.is_closing()
        ):
            self.transport.pause_reading()

    def _continue_reading(self) -> None:
        """Wait for the rest of a request: its head has a time limit, its body a minimum throughput."""
        server = self.server
        if server.shutdown.refuses_incomplete:
            self.reject(BadRequestError(503, STOPPING_MESSAGE))
            return
        server.late_connections.discard(self)
        if self.parsed is None:
            server.awaiting_request.add(self)
            server.reserve_head(self)
            return
        if not has_min_throughput(self.body_byte_count, server.loop.time() - self.head_completed_at):
            self.reject(BadRequestError(408, "the body came too slowly"))
            return
        if self.upload is None and not self.reserve(self.body_byte_count):
            self.begin_upload()
            return
        sweeper = server.uploading if self.upload is not None else server.awaiting_request
        if self.upload is None or self in sweeper.waiting_since:  # a paused upload has no timeout
            sweeper.discard(self)
            sweeper.add(self)
        if self.is_backlogged:
            self.check_backlog()
        if self.upload is not None and not self.upload.was_attached:
            self.hold_waiting_upload()

    def reserve(self, size: int) -> bool:
        """Reserve buffer budget for `size` bytes of the request; False if the budget is used up."""
        reserved = self.server.request_budget.reserve(size, self.reserved_bytes)
        if reserved >= 0:
            self.reserved_bytes = reserved
        return reserved >= 0

    def on_message_begin(self) -> None:
        """HTTP parser: a request begins."""
        if self.has_begun:
            raise BadRequestError(400, "more than one request")
        self.has_begun = True

    def on_url(self, url: bytes) -> None:
        """HTTP parser: a part of the target."""
        self.target = b"%b%b" % (self.target, url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """HTTP parser: a header, or a trailer, which is ignored."""
        self.part_count += 1
        self.field_count += 1
        if self.field_count > MAX_REQUEST_FIELDS:
            raise BadRequestError(431, "too many header fields")
        if self.parsed is not None:
            return
        self.head_field_bytes += len(name) + len(value)
        lower = name.lower()
        if lower in self.server.used_headers:
            if len(self.headers) >= MAX_KEPT_FIELDS:
                raise BadRequestError(431, "too many header fields are used")
            self.headers.append((lower, value.strip(OWS)))

    def head_bytes(self) -> int:
        """The memory that the incomplete head holds, in bytes."""
        return held_head_bytes(self.received_bytes, len(self.headers))

    def on_headers_complete(self) -> None:
        """HTTP parser: the head is complete. `BadRequestError` if the request is not valid."""
        if self.head_field_bytes > MAX_HEAD_BYTES:
            raise BadRequestError(431, "the head is too large")
        self.parsed = self._parse_head()
        self.head_completed_at = self.server.loop.time()
        if any(name == b"expect" and value.lower() == b"100-continue" for name, value in self.headers):
            self._send_continue()

    def _send_continue(self) -> None:
        """Send the interim answer that the client awaits before it sends the body (RFC 9110, 10.1.1)."""
        if self.transport is not None and self.parser.get_http_version() == "1.1":
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """HTTP parser: a part of the body."""
        self.part_count += 1
        self.body_byte_count += len(data)
        if self.body_byte_count > self.server.max_body_bytes:
            raise BadRequestError(413, "the body is too large")
        self.body += data

    def on_message_complete(self) -> None:
        """HTTP parser: the last byte of the request has arrived."""
        self.is_complete, self.keep_alive = True, self.parser.should_keep_alive()

    def _parse_head(self) -> Call | Answer:
        method = self.parser.get_method()
        if method == b"GET" and self.target == READY_PATH:
            validate_framing(self.headers)
            return (
                Answer(Ending.SERVED, 200) if self.server.lifecycle.is_ready else Answer(Ending.FAILED, 503)
            )
        if self.server.on_receipt_query is not None and self.target.startswith(RECEIPTS_PATH):
            return self._outbox_query(method, RECEIPTS_PATH, "a receipt")
        if self.server.on_shared_query is not None and self.target.startswith(SHARED_PATH):
            return self._outbox_query(method, SHARED_PATH, "what is shared")
        engine = self.server.engine
        max_body_bytes = self.server.max_body_bytes
        call = build_call(
            method, self.target, self.headers, engine.names, engine.settings, self, max_body_bytes
        )
        call.client_connection = self
        return call

    def _outbox_query(self, method: bytes, path: bytes, subject: str) -> Call:
        """The call for an outbox query. It is not open, as the engine does not handle it.

        Its `order_id` is the path prefix, its target the rest of the path.
        """
        if body_length(validate_framing(self.headers)):
            raise BadRequestError(400, f"asking for {subject} has no body")
        if method != b"GET":
            raise BadRequestError(405, f"ask for {subject} with GET")
        query = Call(OUTBOX_QUERY, 0, self.target[len(path) :], b"", b"", self, order_id=path)
        query.is_open = False
        return query

    def _reserve_complete(self, call: Call, body_bytes: int) -> bool:
        """Reserve buffer budget for all that a call holds until its answer; False if there is none."""
        size = len(call.method_and_target) + len(call.header_lines) + body_bytes
        reserved = self.server.request_budget.reserve_complete(size, self.reserved_bytes)
        if reserved >= 0:
            self.reserved_bytes = reserved
        return reserved >= 0

    def _forward_query(self, query: Call) -> None:
        handler = (
            self.server.on_shared_query if query.order_id == SHARED_PATH else self.server.on_receipt_query
        )
        assert handler is not None
        handler(query)

    # --- Complete requests ------------------------------------------------------------

    def _dispatch(self) -> None:
        parsed, body = self.parsed, bytes(self.body)
        self._reset()
        self.server.awaiting_request.discard(self)
        self.server.late_connections.discard(self)
        engine = self.server.engine
        if isinstance(parsed, Answer):
            self._release_body()
            self.write_answer(parsed)
        elif parsed is not None and parsed.request_class == OUTBOX_QUERY:
            self._release_body()
            self.call = parsed
            self._forward_query(parsed)
        elif parsed is not None and engine.is_duplicate(parsed):
            self.reject(BadRequestError(409, "X-Request-Id is that of an earlier request"))
        elif parsed is not None:
            if not self._reserve_complete(parsed, len(body)):
                self.reject(BadRequestError(503, "too many requests are held"))
                return
            parsed.expires_at += engine.now()
            parsed.body = body
            parsed.can_stream_answer = True
            self.call = parsed
            engine.take(parsed)

    # --- Pipelined bytes while an answer is streamed -----------------------------------

    def _hold_pipelined(self, data: bytes) -> None:
        """Keep bytes that arrive while an answer is streamed, and pause reading.

        Until then reading goes on, as only reading shows that the client has closed the connection.
        """
        self.pipelined = b"%b%b" % (self.pipelined, data)
        self.reserved_bytes = self.server.request_budget.reserve_unconditionally(
            len(self.pipelined), self.reserved_bytes
        )
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()
            self.server.paused.add(self)

    def _resume_pipelined(self) -> None:
        data, self.pipelined = self.pipelined, b""
        self._release_budget()
        if self.transport is not None:
            self.transport.resume_reading()
            self.data_received(data)
