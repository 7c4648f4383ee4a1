"""One connection to an endpoint: opens it, writes the request, and reports the outcome of its attempt.

Whether an attempt may still start is checked at the moment of writing. This module never retries a request.
"""

from __future__ import annotations

import asyncio
import select
from typing import Any, Final, cast

import httptools

from laurelstep.balancing.events import ERROR, FULL, NO_CONNECT, NOT_SENT, OK, RESET
from laurelstep.engine.body_stream import BodyStream
from laurelstep.engine.call import Answer, Attempt, Ending
from laurelstep.net.connect import is_local_fault, open_connection
from laurelstep.net.connection_pool import MIN_IDLE, ConnectionPool
from laurelstep.net.endpoint_request import encode_request, encode_upload_head
from laurelstep.net.endpoint_state import EndpointState
from laurelstep.net.message import (
    ANSWER_HEADERS,
    MAX_FRAMING_BYTES,
    MAX_FRAMING_BYTES_PER_BODY_BYTE,
    MAX_HEAD_BYTES,
    select_headers,
)
from laurelstep.net.read_buffer import is_fragmented
from laurelstep.net.response_receiver import UNTIL_CLOSE, ResponseReceiver
from laurelstep.net.write_backlog import WriteBacklog

# If a connection cannot be opened for lack of a local resource (port, buffer, descriptor), opening it is
# retried after a pause, which doubles each time, while the attempt waits. After REOPEN_TIMEOUT_S the attempt
# ends, so that another endpoint, which may have an idle connection, is tried, or the client is refused before
# its deadline.
REOPEN_PAUSE_S: Final = 0.01
MAX_REOPEN_PAUSE_S: Final = 0.08
REOPEN_TIMEOUT_S: Final = 0.25


class EndpointConnection(ResponseReceiver):
    """A connection to an endpoint that is used by one attempt at a time.

    It has the methods of an `asyncio.Protocol` but not the base class: see `ClientConnection`.
    """

    def __init__(self, owner: EndpointState[Any], pool: ConnectionPool[Any], attempt: Attempt) -> None:
        super().__init__(owner, pool, attempt)
        self.connect_task: asyncio.Task[None] | None = None
        # For retries after a local fault: the timer of the next one, the pause before the one after that, and
        # the loop time after which none begins.
        self.reopen_timer: asyncio.TimerHandle | None = None
        self.reopen_pause_s = REOPEN_PAUSE_S
        self.reopen_until = 0.0
        self.poller = select.poll()  # created once, as it is used for each request
        self.has_unwritten_bytes = True  # the kernel has not taken the request's last byte
        self.backlog = WriteBacklog(owner.budgets.requests, owner.write_stalled)
        self.upload: BodyStream | None = None  # the body of a request that is being streamed

    # --- Connection -----------------------------------------------------------

    def open(self) -> None:
        """Connect to the endpoint, then write the request."""
        self.reopen_until = self.owner.loop.time() + REOPEN_TIMEOUT_S
        self.owner.connecting.add(self)
        self._open()

    def _open(self) -> None:
        owner, pool = self.owner, self.pool
        self.reopen_timer = None
        self.connect_task = owner.loop.create_task(open_connection(owner.loop, self, pool.host, pool.port))

    def on_connect_failed(self, is_local_fault: bool) -> None:
        """Retry after a local fault, or end the attempt: none of its request was sent."""
        # Once the connection was established, `connection_lost` ends the attempt.
        if self.transport is not None:
            return
        if self.attempt is not None:
            self.attempt.lacks_socket = is_local_fault
            if is_local_fault and self.owner.loop.time() < self.reopen_until:
                self.reopen_timer = self.owner.loop.call_later(self.reopen_pause_s, self._open)
                self.reopen_pause_s = min(2.0 * self.reopen_pause_s, MAX_REOPEN_PAUSE_S)
                return
        self.owner.on_disconnect(self)
        self._end_attempt(NOT_SENT if is_local_fault else NO_CONNECT)

    def on_connect_timeout(self) -> None:
        """The connection was not established within the connect timeout."""
        lacks_socket = self.attempt is not None and self.attempt.lacks_socket
        self.record_close("connect timeout")
        self.close()
        self.reopen_until = 0.0
        self.on_connect_failed(lacks_socket)

    def on_connect_ended(self) -> None:
        """The attempt to connect has ended, successfully or not."""
        self.connect_task = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """asyncio: the connection is established."""
        self.transport = cast(asyncio.Transport, transport)
        self.owner.connecting.discard(self)
        self.poller.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        # `pause_writing` is called as soon as any bytes are buffered.
        self.transport.set_write_buffer_limits(high=0)
        if self.attempt is None:  # cancelled while connecting
            self.transport.abort()
            return
        if self.attempt.lacks_socket:
            self.attempt.lacks_socket = False
            # The wait for a local socket does not count as latency of the endpoint.
            self.attempt.sent_at = self.owner.now()
        self.write()

    def eof_received(self) -> None:
        """asyncio: the endpoint has closed its side. The transport is closed next."""
        is_end_of_answer = self.fields is not None and self.length == UNTIL_CLOSE
        if (
            is_end_of_answer
            and not self.is_complete
            and (self.attempt is not None or self.answer is not None)
        ):
            self.is_complete, self.keep_alive = True, False
            self._complete()

    def pause_writing(self) -> None:
        """asyncio: the kernel's send buffer is full."""
        self.has_unwritten_bytes = True
        if self.transport is not None:
            self.backlog.pause(self.transport)
        if self.upload is not None:
            self.upload.pause()
            if self.transport is not None:
                self.backlog.await_progress(self, self.transport)

    def resume_writing(self) -> None:
        """asyncio: the kernel has taken all bytes written so far."""
        self.backlog.resume()
        self.owner.write_stalled.discard(self)
        if self.upload is not None:
            self.upload.resume()
        else:
            self._written()

    def on_write_timeout(self) -> None:
        """Close the connection if its endpoint has read too little of the upload since the last check."""
        if self.transport is not None and self.backlog.has_progress(self.transport):
            self.owner.write_stalled.add(self)
        else:
            self.record_close("upload is not read")
            self.close()

    def _written(self) -> None:
        self.has_unwritten_bytes = False
        if self.attempt is not None:
            self.attempt.on_written()

    def write(self) -> None:
        """Write the attempt's request, if the attempt may still start."""
        attempt, transport = self.attempt, self.transport
        assert attempt is not None and transport is not None
        now = self.owner.now()
        is_replaced = self.pool.is_closed and attempt.endpoint in self.owner.addresses
        if is_replaced or not attempt.may_start(now):
            # The connection may have taken long. No attempt may start after the drain grace, the deadline,
            # the window for retries or the final answer, nor at a process that another one has replaced in
            # the endpoint list.
            self.attempt = None
            self.owner.connections_by_attempt.pop(attempt, None)
            self.return_to_pool()
            attempt.end(NOT_SENT)
            return
        upload = attempt.call.upload
        if upload is not None:
            self._begin_upload(attempt, upload, now)
            return
        self.has_unwritten_bytes = False
        transport.write(encode_request(attempt, now))
        if transport.is_closing():
            self.has_unwritten_bytes = True  # the first write failed: nothing was sent
        elif not self.has_unwritten_bytes:
            attempt.on_written()

    # --- Streaming ---------------------------------------------------------------------

    def _begin_upload(self, attempt: Attempt, upload: BodyStream, now: int) -> None:
        assert self.transport is not None
        self.has_unwritten_bytes = True
        self.upload = upload
        self.transport.write(encode_upload_head(attempt, upload, now))
        upload.attach(self)
        if not self.backlog.is_paused:
            upload.resume()  # does nothing if the upload is complete

    def on_data(self, data: bytes) -> None:
        """`BodySink`: write a part of the upload."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.upload is not None and self.upload.length < 0:
            self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self.transport.write(data)
        self.backlog.count(self.transport)

    def on_end(self, is_complete: bool) -> None:
        """`BodySink`: the upload has ended; `is_complete` if all of it has arrived."""
        upload, self.upload = self.upload, None
        self.owner.write_stalled.discard(self)
        if self.transport is None or self.transport.is_closing():
            return
        if not is_complete:
            self.close()
            return
        if upload is not None and upload.length < 0:
            self.transport.write(b"0\r\n\r\n")
        if not self.backlog.is_paused and not self.transport.is_closing():
            self._written()

    def abandon_upload(self) -> None:
        """The answer needs no more of the upload, if there is one."""
        upload, self.upload = self.upload, None
        if upload is not None:
            upload.abandon()

    # --- Idle connections ---------------------------------------------------------

    def is_reusable(self) -> bool:
        """Whether an idle connection can be used for a request.

        Guards against unread bytes after an earlier answer, which would be taken for the answer to the next
        request, and against an end of the connection that is not read yet.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        try:
            return not self.poller.poll(0)
        except OSError:  # state unknown: a new connection is the safe choice
            return False

    def return_to_pool(self) -> None:
        """Keep the connection for the next attempt, or close it if it cannot be reused."""
        must_close = self.pool.is_closed or self.owner.is_retiring
        if must_close or self.transport is None or self.transport.is_closing():
            self.close()
            return
        self._reset()
        self.idle_since = self.owner.now()
        self.pool.idle.append(self)
        self.owner.idle_connections.add(self)
        self.owner.surplus_connections.add(self)

    def close_surplus(self) -> None:
        """Close the connection if its endpoint has more idle connections than used ones plus `MIN_IDLE`."""
        used_count = sum(1 for connection in self.owner.connections if connection.pool is self.pool) - len(
            self.pool.idle
        )
        if len(self.pool.idle) > used_count + MIN_IDLE:
            self.close()
            self.owner.on_disconnect(self)  # now, so that it is not counted for the next connection

    def close(self) -> None:
        """Close the connection at once, or cancel opening it."""
        if self.transport is not None:
            self.transport.abort()
        elif self.connect_task is not None:
            # A task cancelled before it first ran does not call `on_connect_ended`.
            self.connect_task.cancel()
            self.owner.on_disconnect(self)
        elif self.reopen_timer is not None:
            self.reopen_timer.cancel()
            self.reopen_timer = None
            self.owner.on_disconnect(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """asyncio: the connection is closed. Ends its attempt, if that has no complete answer."""
        self.owner.on_disconnect(self)
        self._release_budget()
        self.backlog.resume()
        answer, self.answer = self.answer, None
        if answer is not None:
            answer.finish(False)
        self.abandon_upload()
        outcome_if_not_run = NOT_SENT if is_local_fault(exc) else NO_CONNECT
        self._end_attempt(outcome_if_not_run if self.has_unwritten_bytes else RESET)
        self.parser = None  # breaks the reference cycle: the parser holds bound methods of this object

    def _end_attempt(self, outcome: int) -> None:
        """Report the outcome of an attempt without a complete answer, after the descriptor has been closed.

        Guards against a next attempt that is written while this one's connection is still open.
        """
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            self.owner.connections_by_attempt.pop(attempt, None)
            load = (self.fields or {}).get(b"x-load", b"")
            self.owner.loop.call_soon(attempt.end, outcome, None, load)

    def reject_response(self, reason: str) -> None:
        """Close the connection after a malformed or incomplete response, and end its attempt.

        If the request was fully written, it may have run. The outcome is an error and not a reset, as the
        connection was alive.
        """
        self.owner.on_malformed_response()
        self.record_close(reason)
        self.close()
        self.abandon_upload()
        self._end_attempt(NO_CONNECT if self.has_unwritten_bytes else ERROR)

    # --- Answers ------------------------------------------------------------------

    def get_buffer(self, sizehint: int) -> memoryview:
        """asyncio: the memory for the next read, which is used until `buffer_updated`."""
        return self.owner.read_buffer.view(self.was_fragmented or self.fields is None)

    def buffer_updated(self, nbytes: int) -> None:
        """asyncio: `nbytes` bytes of an answer have arrived."""
        self.data_received(self.owner.read_buffer.take(nbytes))

    def data_received(self, data: bytes) -> None:
        """Read bytes of an answer that have arrived."""
        if self.attempt is None and self.answer is None:
            self.owner.on_malformed_response()
            self.record_close("bytes without a request")
            self.close()  # no request is open, so these bytes are not an answer
            return
        self.received_bytes += len(data)
        is_malformed = False
        self.part_count = 0
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            is_malformed, self.keep_alive = True, False
        self.was_fragmented = is_fragmented(len(data), self.part_count)
        self.forward_body()
        is_malformed = (
            is_malformed
            or self.received_bytes
            > MAX_FRAMING_BYTES + MAX_FRAMING_BYTES_PER_BODY_BYTE * self.body_byte_count
        )
        if self._answers_earlier_request():
            self.reject_response("answer before the request was written")
        elif self.is_complete:
            if is_malformed or self.has_trailing_data:
                self.owner.on_malformed_response()
            self._complete()
        elif is_malformed or (self.fields is None and self.received_bytes > MAX_HEAD_BYTES):
            self.reject_response("malformed answer")
        elif self.fields is None and not self.may_hold_head():
            self.reject_response("no room for the head")
        elif self.answer is not None:
            self._check_throughput()
        elif self.status == 200 and not self._may_buffer():
            self.stream_answer()
        else:
            self._await_rest()

    def _answers_earlier_request(self) -> bool:
        """Whether a 200 answer arrived before the request was fully written, so that it belongs to an earlier
        request. An upload may be answered early.
        """
        attempt = self.attempt
        return (
            self.has_unwritten_bytes
            and self.status == 200
            and attempt is not None
            and attempt.call.upload is None
        )

    def _complete(self) -> None:
        answer, self.answer = self.answer, None
        if answer is not None:
            self.owner.streaming.discard(self)
            # The last part may have paused reading, and a stream that is closed does not resume its source.
            if self.transport is not None and not self.transport.is_closing():
                self.transport.resume_reading()
            self._end_exchange()
            answer.finish(True)
            return
        self.abandon_upload()
        self._report_answer()

    def _end_exchange(self) -> None:
        # If the request was not fully written, the connection cannot be used for another one.
        if self.keep_alive and not self.has_unwritten_bytes:
            self.return_to_pool()
        else:
            self.close()

    def _report_answer(self) -> None:
        fields, status = self.fields or {}, self.status
        outcome, answer = ERROR, None
        if status == 200:
            outcome = OK
            forwarded_headers = select_headers(self.headers, ANSWER_HEADERS)
            answer = Answer(Ending.SERVED, 200, forwarded_headers, bytes(self.body))
        elif status in (503, 504) and fields.get(b"x-not-run", b"").strip() == b"1":
            outcome = FULL
        attempt, self.attempt = self.attempt, None
        if attempt is not None and attempt.call.queued_write_fate is not None:
            # Another copy of this program sent the answer: its 503 guarantees that nothing ran.
            outcome = FULL if status == 503 else outcome
            attempt.call.queued_write_fate = fields.get(b"x-kept-fate", b"refused" if status == 503 else b"")
        self.owner.receiving.discard(self)
        self._end_exchange()
        if attempt is not None:
            self.owner.connections_by_attempt.pop(attempt, None)
            attempt.end(outcome, answer, fields.get(b"x-load", b""))
