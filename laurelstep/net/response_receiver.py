"""The receiving side of a connection to an endpoint: reads an answer and buffers or streams it.

An answer is buffered until it is complete, within the buffer budget for answers; a larger one is streamed to
its client as it arrives. `net.endpoint_connection` derives the attempt's outcome from it.
"""

from __future__ import annotations

import asyncio
from typing import Any, Final

import httptools

from laurelstep.balancing.events import OK
from laurelstep.engine.body_stream import BodyStream
from laurelstep.engine.call import Answer, Attempt, Ending, Headers
from laurelstep.engine.event_log import EventKind
from laurelstep.flow_control.buffer_budget import MAX_KEPT_FIELDS, held_head_bytes
from laurelstep.flow_control.throughput import has_min_throughput, hold_limit_s, silence_limit_s
from laurelstep.net.connection_pool import ConnectionPool, PooledConnection
from laurelstep.net.endpoint_state import EndpointState
from laurelstep.net.errors import MalformedResponseError
from laurelstep.net.message import (
    ANSWER_HEADERS,
    MAX_BUFFERED_BODY_BYTES,
    MAX_STREAMED_BODY_BYTES,
    OWS,
    USED_ANSWER_HEADERS,
    body_length,
    index_headers,
    select_headers,
)

# Values of `length` where no number is declared: the answer ends with its connection (RFC 9112, 6.3, case 8),
# or it is chunked.
UNTIL_CLOSE: Final = -2
CHUNKED: Final = -1
# Headers that may occur only once in a head, as the framing would be ambiguous otherwise.
UNIQUE_HEADERS: Final = frozenset((b"content-length", b"transfer-encoding"))


def validate_framing(headers: Headers, max_body_bytes: int) -> tuple[dict[bytes, bytes], int]:
    """The headers by name and the declared body length, before any of the body is read.

    `MalformedResponseError` if the framing is ambiguous or the length exceeds `max_body_bytes`.
    """
    try:
        fields = index_headers(headers, UNIQUE_HEADERS)
        length = body_length(fields)
    except ValueError as error:
        raise MalformedResponseError(str(error)) from None
    if length is None:
        return fields, UNTIL_CLOSE
    if length > max_body_bytes:
        raise MalformedResponseError("the declared body is too large")
    return fields, length


class ResponseReceiver(PooledConnection):
    """Reads one answer at a time from a connection. The HTTP parser calls the `on_...` methods."""

    def __init__(self, owner: EndpointState[Any], pool: ConnectionPool[Any], attempt: Attempt) -> None:
        super().__init__(pool, attempt)
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.answer: BodyStream | None = None  # the body of an answer that is being streamed
        self.reserved_bytes = 0  # bytes reserved in the answer budget
        self.streaming_since = 0.0  # loop time at which streaming began, moved forward by each pause
        self.paused_since = 0.0  # loop time of the last pause
        self.silent_since = 0.0  # loop time at which the last progress of a buffered answer was seen
        self.part_count = 0  # header fields and parts of the body in the last read
        self.was_fragmented = False  # the last read had many of them
        self.parser: Any = httptools.HttpResponseParser(self)
        self._reset()

    def _reset(self) -> None:
        self.headers: Headers = []
        # Headers of the final answer by name; None before its head is complete.
        self.fields: dict[bytes, bytes] | None = None
        self.body = bytearray()
        self.body_byte_count = self.received_bytes = self.received_bytes_at_check = self.status = 0
        self.length = CHUNKED
        self.is_complete = self.keep_alive = self.has_trailing_data = False
        self._release_budget()

    def _release_budget(self) -> None:
        reserved, self.reserved_bytes = self.reserved_bytes, 0
        self.owner.answer_budget.release(reserved)

    # --- Parsing ------------------------------------------------------------------

    def on_message_begin(self) -> None:
        """HTTP parser: an answer begins."""
        if self.is_complete:
            self.has_trailing_data, self.keep_alive = True, False  # another message follows the answer
        else:
            self.headers.clear()  # those of an interim answer (1xx)

    def on_header(self, name: bytes, value: bytes) -> None:
        """HTTP parser: a header, or a trailer, which is ignored."""
        self.part_count += 1
        if self.fields is not None:
            return
        lower = name.lower()
        if lower in USED_ANSWER_HEADERS:
            if len(self.headers) >= MAX_KEPT_FIELDS:
                raise MalformedResponseError("too many header fields")
            self.headers.append((lower, value.strip(OWS)))

    def on_headers_complete(self) -> None:
        """HTTP parser: a head is complete. `MalformedResponseError` if its framing is ambiguous."""
        if not self.is_complete and self.parser.get_status_code() >= 200:
            self.status = self.parser.get_status_code()
            self.fields, self.length = validate_framing(self.headers, self._max_body_bytes())

    def on_body(self, data: bytes) -> None:
        """HTTP parser: a part of the body."""
        self.part_count += 1
        if not self.is_complete:
            self.body_byte_count += len(data)
            if self.body_byte_count > self._max_body_bytes():
                raise MalformedResponseError("the body is too large")
            if self.status == 200:  # the body of any other answer is not used
                self.body += data

    def may_hold_head(self) -> bool:
        """Whether the incomplete head may be held within the buffer budget."""
        size = held_head_bytes(self.received_bytes, len(self.headers))
        reserved = self.owner.answer_budget.reserve(size, self.reserved_bytes)
        if reserved >= 0:
            self.reserved_bytes = reserved
        return reserved >= 0

    def forward_body(self) -> None:
        """Forward what was read of a streamed answer, in one piece however it was split into chunks."""
        if self.answer is not None and self.body:
            body, self.body = self.body, bytearray()
            self.answer.feed(bytes(body))

    def _may_buffer(self) -> bool:
        """Whether the answer may be buffered until it is complete."""
        if max(self.length, self.body_byte_count) > MAX_BUFFERED_BODY_BYTES:
            return False
        budget = self.owner.answer_budget
        reserved = budget.reserve(self.body_byte_count, self.reserved_bytes)
        if reserved < 0 and self.attempt is not None and self.attempt.call.can_stream_answer:
            return False
        self.reserved_bytes = (
            budget.reserve_unconditionally(self.body_byte_count, self.reserved_bytes)
            if reserved < 0
            else reserved
        )
        return True

    def _max_body_bytes(self) -> int:
        if self.attempt is not None and not self.attempt.call.can_stream_answer:
            return MAX_BUFFERED_BODY_BYTES
        return MAX_STREAMED_BODY_BYTES

    def on_message_complete(self) -> None:
        """HTTP parser: the last byte of a message has arrived."""
        if self.fields is not None and not self.is_complete:
            self.is_complete, self.keep_alive = True, self.parser.should_keep_alive()

    def _await_rest(self) -> None:
        """Check the answer, of which a part is buffered, once `ANSWER_CHECK_INTERVAL_S` has passed."""
        if self not in self.owner.receiving.waiting_since:
            self.received_bytes_at_check = self.received_bytes
            self.silent_since = self.owner.loop.time()
            self.owner.receiving.add(self)

    def on_response_check(self) -> None:
        """`ANSWER_CHECK_INTERVAL_S` has passed since an incomplete answer was begun or checked: stream it if
        it may be large, or is silent for long, else wait for its rest as long as its request's time allows.
        """
        attempt = self.attempt
        if attempt is None:
            return
        now = self.owner.loop.time()
        has_progress = self.received_bytes != self.received_bytes_at_check
        if has_progress:
            self.silent_since = now
        silent_s = now - self.silent_since
        left_s = (attempt.call.expires_at - self.owner.now()) / 1e6 + silent_s
        is_held_long = silent_s >= hold_limit_s(left_s, attempt.may_retry)
        may_be_large = self.length < 0 and (has_progress or is_held_long)
        if self._can_stream() and (may_be_large or (is_held_long and attempt.may_retry)):
            self.stream_answer()
        elif silent_s < silence_limit_s(left_s, attempt.may_retry):
            self.received_bytes_at_check = self.received_bytes
            self.owner.receiving.add(self)
        else:
            self.reject_response("answer is incomplete")

    def _can_stream(self) -> bool:
        """Whether the head of a successful answer is complete, and its client can be sent the body as it
        arrives.
        """
        attempt = self.attempt
        is_begun = self.fields is not None and self.status == 200
        return is_begun and attempt is not None and attempt.call.can_stream_answer

    def reject_response(self, reason: str) -> None:
        """Close the connection after a malformed or incomplete response, and end its attempt."""
        raise NotImplementedError

    def abandon_upload(self) -> None:
        """The answer needs no more of the upload, if there is one."""
        raise NotImplementedError

    # --- Streaming ----------------------------------------------------------------

    def stream_answer(self) -> None:
        """Report the answer as final with its body as a stream. No other attempt can be made afterwards."""
        attempt, self.attempt = self.attempt, None
        assert attempt is not None
        self.abandon_upload()
        self.owner.connections_by_attempt.pop(attempt, None)
        self.owner.receiving.discard(self)
        answer = self.answer = BodyStream(self, max(self.length, CHUNKED))
        if self.body:
            answer.feed(bytes(self.body))
            self.body = bytearray()
        self._release_budget()
        self.streaming_since = self.owner.loop.time()
        self.owner.streaming.add(self)
        forwarded_headers = select_headers(self.headers, ANSWER_HEADERS)
        final = Answer(Ending.SERVED, 200, forwarded_headers, stream=answer)
        attempt.end(OK, final, (self.fields or {}).get(b"x-load", b""))
        if not answer.was_attached:
            answer.abandon()  # no client takes it

    def _check_throughput(self) -> None:
        """Close the connection if the answer arrives too slowly: guards against one that trickles forever."""
        streaming = self.owner.streaming
        if self not in streaming.waiting_since:
            return  # paused: these bytes were already on their way
        streaming.discard(self)
        if has_min_throughput(self.body_byte_count, self.owner.loop.time() - self.streaming_since):
            streaming.add(self)
        else:
            self.record_close("answer is too slow")
            self.close()

    def on_stream_timeout(self) -> None:
        """Nothing of the streamed answer has arrived in time."""
        self.record_close("answer stalled")
        self.close()

    def record_close(self, reason: str) -> None:
        """Log why this side closes the connection."""
        attempt, event_log = self.attempt, self.owner.event_log
        if event_log.admits(EventKind.ENDPOINT_CLOSED, reason):
            request_id = b"" if attempt is None else attempt.call.client_request_id
            detail = f"endpoint={self.pool.host}:{self.pool.port} received={self.received_bytes}"
            event_log.write_line(EventKind.ENDPOINT_CLOSED, reason, request_id, detail)

    def pause(self) -> None:
        """The client's buffer is full: stop reading."""
        if self in self.owner.streaming.waiting_since:
            self.owner.streaming.discard(self)
            self.paused_since = self.owner.loop.time()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume(self) -> None:
        """The client's buffer has room again: go on reading."""
        if self.transport is not None and not self.transport.is_closing():
            if self not in self.owner.streaming.waiting_since:
                self.owner.streaming.add(self)
                self.streaming_since += self.owner.loop.time() - self.paused_since
            self.transport.resume_reading()

    def on_abandoned(self) -> None:
        """The rest of the answer is not needed: close the connection."""
        self.answer = None
        self.close()
