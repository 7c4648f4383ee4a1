"""The receiving side of a connection to an endpoint: reads an answer, buffers it or streams it.

An answer is buffered until it is complete, within the budget for answers; a larger one is streamed to
its client while it comes. What the answer says of the attempt is for `net.endpoint_connection`.
"""

from __future__ import annotations

import asyncio
from typing import Any, Final

import httptools

from laurelstep.balancing.events import OK
from laurelstep.engine.body_stream import BodyStream
from laurelstep.engine.call import Answer, Attempt, Ending, Headers
from laurelstep.flow_control.throughput import has_min_throughput
from laurelstep.net.connection_pool import ConnectionPool, PooledConnection
from laurelstep.net.endpoint_state import EndpointState
from laurelstep.net.errors import MalformedResponseError
from laurelstep.net.message import (
    ANSWER_HEADERS,
    MAX_BUFFERED_BODY_BYTES,
    MAX_STREAMED_BODY_BYTES,
    OWS,
    body_length,
    pass_on,
    single,
)

# The length of an answer that ends with its connection (RFC 9112, 6.3, case 8), and of chunks.
UNTIL_CLOSE: Final = -2
CHUNKED: Final = -1
# Fields that stand once in a head, or the framing is unclear.
ONCE: Final = frozenset((b"content-length", b"transfer-encoding"))


def checked(headers: Headers, most: int) -> tuple[dict[bytes, bytes], int]:
    """The fields of an answer's head and the length of its body, if that lies within the
    limit: judged by what it declares, before any of the body is read.
    """
    try:
        fields = single(headers, ONCE)
        length = body_length(fields)
    except ValueError as error:
        raise MalformedResponseError(str(error)) from None
    if length is None:
        return fields, UNTIL_CLOSE
    if length > most:
        raise MalformedResponseError("too large")
    return fields, length


class ResponseReceiver(PooledConnection):
    """One connection's answer at a time. The parser calls the `on_...` methods."""

    def __init__(self, owner: EndpointState[Any], pool: ConnectionPool[Any], attempt: Attempt) -> None:
        super().__init__(pool, attempt)
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.answer: BodyStream | None = None  # an answer that is streamed
        self.reserved = 0  # bytes of the budget for answers
        self.streaming_since = 0.0  # when streaming began, without the time that it was paused; s of the loop
        self.paused_since = 0.0  # when its client last had no room
        self.parser: Any = httptools.HttpResponseParser(self)
        self._reset()

    def _reset(self) -> None:
        self.headers: Headers = []
        self.fields: dict[bytes, bytes] | None = None  # of the final answer's head
        self.body = bytearray()
        self.size = self.received = self.received_at_check = self.status = 0
        self.length = CHUNKED
        self.is_complete = self.keep_alive = self.has_trailing_data = False
        self._release_budget()

    def _release_budget(self) -> None:
        reserved, self.reserved = self.reserved, 0
        self.owner.answer_budget.release(reserved)

    # --- Parsing ------------------------------------------------------------------

    def on_message_begin(self) -> None:
        """The parser: an answer begins."""
        if self.is_complete:
            self.has_trailing_data, self.keep_alive = True, False  # something stands behind the answer
        else:
            self.headers.clear()  # an interim answer's say nothing of the real one

    def on_header(self, name: bytes, value: bytes) -> None:
        """The parser: a field of the head, or a trailer."""
        if self.fields is None:
            self.headers.append((name.lower(), value.strip(OWS)))

    def on_headers_complete(self) -> None:
        """The parser: a head has come. `MalformedResponseError` if its framing is unclear."""
        if not self.is_complete and self.parser.get_status_code() >= 200:
            self.status = self.parser.get_status_code()
            self.fields, self.length = checked(self.headers, self._max_body())

    def on_body(self, data: bytes) -> None:
        """The parser: a part of the body."""
        if not self.is_complete:
            self.size += len(data)
            if self.size > self._max_body():
                raise MalformedResponseError("too large")
            if self.answer is not None:
                self.answer.feed(data)
            else:
                self.body += data

    def _may_buffer(self) -> bool:
        """Whether the answer may wait here until it is whole."""
        if max(self.length, self.size) > MAX_BUFFERED_BODY_BYTES:
            return False
        budget = self.owner.answer_budget
        reserved = budget.reserve(self.size, self.reserved)
        if reserved < 0 and self.attempt is not None and self.attempt.call.can_stream_answer:
            return False
        self.reserved = budget.reserve_unconditionally(self.size, self.reserved) if reserved < 0 else reserved
        return True

    def _max_body(self) -> int:
        if self.attempt is not None and not self.attempt.call.can_stream_answer:
            return MAX_BUFFERED_BODY_BYTES
        return MAX_STREAMED_BODY_BYTES

    def on_message_complete(self) -> None:
        """The parser: the last byte has come."""
        if self.fields is not None and not self.is_complete:
            self.is_complete, self.keep_alive = True, self.parser.should_keep_alive()

    # --- Streaming ----------------------------------------------------------------

    def _stream_answer(self) -> None:
        """Large: its head is the final answer, and what follows goes the same way. There is
        no other attempt from here on.
        """
        attempt, self.attempt = self.attempt, None
        assert attempt is not None
        self.owner.by_attempt.pop(attempt, None)
        self.owner.receiving.discard(self)
        answer = self.answer = BodyStream(self, max(self.length, CHUNKED))
        if self.body:
            answer.feed(bytes(self.body))
            self.body = bytearray()
        self._release_budget()
        self.streaming_since = self.owner.loop.time()
        self.owner.streaming.add(self)
        passed = pass_on(self.headers, ANSWER_HEADERS)
        final = Answer(Ending.SERVED, 200, passed, stream=answer)
        attempt.end(OK, final, (self.fields or {}).get(b"x-load", b""))
        if not answer.was_attached:
            answer.abandon()  # nobody waits for it any more

    def _check_throughput(self) -> None:
        """Guards a client against an answer that goes on for ever, a little at a time."""
        passing = self.owner.streaming
        if self not in passing.waiting_since:
            return  # it is held: what comes was under way
        passing.discard(self)
        if has_min_throughput(self.size, self.owner.loop.time() - self.streaming_since):
            passing.add(self)
        else:
            self.close()

    def pause(self) -> None:
        """The client has no room: read no more for now."""
        if self in self.owner.streaming.waiting_since:
            self.owner.streaming.discard(self)
            self.paused_since = self.owner.loop.time()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume(self) -> None:
        """The client has room again."""
        if self.transport is not None and not self.transport.is_closing():
            if self not in self.owner.streaming.waiting_since:
                self.owner.streaming.add(self)
                self.streaming_since += self.owner.loop.time() - self.paused_since
            self.transport.resume_reading()

    def on_abandoned(self) -> None:
        """The client takes no more of the answer."""
        self.answer = None
        self.close()
