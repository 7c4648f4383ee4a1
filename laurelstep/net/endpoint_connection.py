"""One connection to an endpoint: how it is opened, what is written, and the outcome of its attempt.

Whether an attempt may still start is asked of the attempt at the moment of writing; a request is never
sent again from here.
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
from laurelstep.net.message import ANSWER_HEADERS, FRAMING_EACH, FRAMING_MAX, MAX_HEAD_BYTES, pass_on
from laurelstep.net.response_receiver import UNTIL_CLOSE, ResponseReceiver

# A connection that can't be opened for a fault of this machine (no port, no buffer, no descriptor) is
# tried again after a pause, which doubles, while the attempt waits. After so long another endpoint, at
# which a connection may rest, gets its chance; the client is refused before its patience ends.
REOPEN_PAUSE_S: Final = 0.01
MAX_REOPEN_PAUSE_S: Final = 0.08
MAX_REOPEN_S: Final = 0.25


class EndpointConnection(ResponseReceiver):
    """One connection, carrying one attempt at a time; an `asyncio.Protocol` in all but the
    base class, as `ClientConnection` is.
    """

    def __init__(self, owner: EndpointState[Any], pool: ConnectionPool[Any], attempt: Attempt) -> None:
        super().__init__(owner, pool, attempt)
        self.connect_task: asyncio.Task[None] | None = None
        # After a fault of this machine: the next trial to open it, the pause before the one
        # after that, and when the last one begins, in s of the loop.
        self.reopen_timer: asyncio.TimerHandle | None = None
        self.reopen_pause_s = REOPEN_PAUSE_S
        self.reopen_until = 0.0
        self.poller = select.poll()  # made once: it is asked at each reuse
        self.unwritten = True  # the request's last byte is not yet with the system
        self.write_paused = False  # the transport holds bytes that the system did not take yet
        self.upload: BodyStream | None = None  # a request that is streamed

    # --- Connection -----------------------------------------------------------

    def open(self) -> None:
        """Connect to the endpoint; the request is written once that is done."""
        self.reopen_until = self.owner.loop.time() + MAX_REOPEN_S
        self.owner.connecting.add(self)
        self._open()

    def _open(self) -> None:
        owner, pool = self.owner, self.pool
        self.reopen_timer = None
        self.connect_task = owner.loop.create_task(open_connection(owner.loop, self, pool.host, pool.port))

    def on_connect_failed(self, is_local_fault: bool) -> None:
        """Try again after a fault of this machine, or end the attempt: nothing of it left."""
        # Once it has come up, `connection_lost` knows whether the request left.
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
        """It did not come up in time."""
        lacks_socket = self.attempt is not None and self.attempt.lacks_socket
        self.close()
        self.reopen_until = 0.0
        self.on_connect_failed(lacks_socket)

    def on_connect_ended(self) -> None:
        """The attempt to connect is over, however it ended."""
        self.connect_task = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """asyncio: the endpoint has accepted."""
        self.transport = cast(asyncio.Transport, transport)
        self.owner.connecting.discard(self)
        self.poller.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        self.transport.set_write_buffer_limits(high=0)  # `pause_writing` tells of unwritten bytes
        if self.attempt is None:  # called off while it came up
            self.transport.abort()
            return
        if self.attempt.lacks_socket:
            self.attempt.lacks_socket = False
            self.attempt.sent_at = self.owner.now()  # the wait for a socket is none of the endpoint's
        self.write()

    def eof_received(self) -> None:
        """The endpoint has ended its side: the transport closes."""
        ends_here = self.fields is not None and self.length == UNTIL_CLOSE
        if ends_here and not self.is_complete and (self.attempt is not None or self.answer is not None):
            self.is_complete, self.keep_alive = True, False
            self._complete()

    def pause_writing(self) -> None:
        """asyncio: the system takes no more for now."""
        self.write_paused = self.unwritten = True
        if self.upload is not None:
            self.upload.pause()
            self.owner.write_stalled.add(self)

    def resume_writing(self) -> None:
        """asyncio: the system has all that was written."""
        self.write_paused = False
        self.owner.write_stalled.discard(self)
        if self.upload is not None:
            self.upload.resume()
        else:
            self._written()

    def _written(self) -> None:
        self.unwritten = False
        if self.attempt is not None:
            self.attempt.on_written()

    def write(self) -> None:
        """Write the request of its attempt, if that may still start."""
        attempt, transport = self.attempt, self.transport
        assert attempt is not None and transport is not None
        now = self.owner.now()
        replaced = self.pool.closed and attempt.endpoint in self.owner.addresses
        if replaced or not attempt.may_start(now):
            # Guards the rules after a slow connect: past the drain grace, the deadline, the window
            # for repeats or the final answer nothing may start, and nothing at a process in whose
            # place another one was listed meanwhile.
            self.attempt = None
            self.owner.by_attempt.pop(attempt, None)
            self.return_to_pool()
            attempt.end(NOT_SENT)
            return
        upload = attempt.call.upload
        if upload is not None:
            self._begin_upload(attempt, upload, now)
            return
        self.unwritten = False
        transport.write(encode_request(attempt, now))
        if transport.is_closing():
            self.unwritten = True  # the first write failed: nothing left
        elif not self.unwritten:
            attempt.on_written()

    # --- Streaming ---------------------------------------------------------------------

    def _begin_upload(self, attempt: Attempt, upload: BodyStream, now: int) -> None:
        assert self.transport is not None
        self.unwritten = True
        self.upload = upload
        self.transport.write(encode_upload_head(attempt, upload, now))
        upload.attach(self)
        if not self.write_paused:
            upload.resume()  # does nothing if it was whole already

    def on_data(self, data: bytes) -> None:
        """A part of a request that is streamed, as `engine.body_stream.BodySink` has it."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.upload is not None and self.upload.length < 0:
            self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self.transport.write(data)

    def on_end(self, complete: bool) -> None:
        """The end of a request that is streamed."""
        upload, self.upload = self.upload, None
        self.owner.write_stalled.discard(self)
        if self.transport is None or self.transport.is_closing():
            return
        if not complete:
            self.close()
            return
        if upload is not None and upload.length < 0:
            self.transport.write(b"0\r\n\r\n")
        if not self.write_paused and not self.transport.is_closing():
            self._written()

    def _abandon_upload(self) -> None:
        upload, self.upload = self.upload, None
        if upload is not None:
            upload.abandon()

    # --- At rest ------------------------------------------------------------------

    def is_reusable(self) -> bool:
        """Whether a resting connection may carry a request. Guards against bytes that
        came behind an earlier answer and would answer the next request, and against
        an end not yet read.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        try:
            return not self.poller.poll(0)
        except OSError:  # not known: a new connection is the safe choice
            return False

    def return_to_pool(self) -> None:
        """The connection carries nothing now: keep it for the next attempt."""
        done = self.pool.closed or self.owner.retiring
        if done or self.transport is None or self.transport.is_closing():
            self.close()
            return
        self._reset()
        self.idle_since = self.owner.now()
        self.pool.idle.append(self)
        self.owner.idle_connections.add(self)
        self.owner.surplus_connections.add(self)

    def close_surplus(self) -> None:
        """Close it, if more rest at its endpoint than are in use there, and `MIN_IDLE`."""
        used = sum(1 for connection in self.owner.connections if connection.pool is self.pool) - len(
            self.pool.idle
        )
        if len(self.pool.idle) > used + MIN_IDLE:
            self.close()
            self.owner.on_disconnect(self)  # at once: it must not count for the next one

    def close(self) -> None:
        """Close it at once, or call its opening off."""
        if self.transport is not None:
            self.transport.abort()
        elif self.connect_task is not None:
            # A task that never ran has no chance to tell of its end.
            self.connect_task.cancel()
            self.owner.on_disconnect(self)
        elif self.reopen_timer is not None:
            self.reopen_timer.cancel()
            self.reopen_timer = None
            self.owner.on_disconnect(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """asyncio: the connection is closed; its attempt ends, if it had no whole answer."""
        self.owner.on_disconnect(self)
        self._release_budget()
        answer, self.answer = self.answer, None
        if answer is not None:
            answer.finish(False)
        self._abandon_upload()
        not_run = NOT_SENT if is_local_fault(exc) else NO_CONNECT
        self._end_attempt(not_run if self.unwritten else RESET)
        self.parser = None  # it holds this object's methods: the cycle ends here

    def _end_attempt(self, outcome: int) -> None:
        """It had no whole answer: its outcome is told behind the turn that closes the descriptor.
        Guards against a next attempt that is written before this one is off the wire.
        """
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            self.owner.by_attempt.pop(attempt, None)
            load = (self.fields or {}).get(b"x-load", b"")
            self.owner.loop.call_soon(attempt.end, outcome, None, load)

    def reject_response(self) -> None:
        """No answer of this protocol: the request may have run, if it was written whole, and the
        connection is of no more use. That it came says that the connection did not die, so no reset.
        """
        self.owner.on_malformed_response()
        self.close()
        self._abandon_upload()
        self._end_attempt(NO_CONNECT if self.unwritten else ERROR)

    def on_response_timeout(self) -> None:
        """Nothing whole for `ANSWER_S`: it may go on as long as something comes."""
        if self.received == self.received_at_check:
            self.reject_response()
            return
        self.received_at_check = self.received
        self.owner.receiving.add(self)

    # --- Answers ------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        """asyncio: bytes of an answer."""
        if self.attempt is None and self.answer is None:
            self.owner.on_malformed_response()
            self.close()  # nobody asked: whatever it is, it ends the connection
            return
        self.received += len(data)
        spoilt = False
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            spoilt, self.keep_alive = True, False
        spoilt = spoilt or self.received > FRAMING_MAX + FRAMING_EACH * self.size
        if self._answers_earlier_request():
            self.reject_response()
        elif self.is_complete:
            if spoilt or self.has_trailing_data:
                self.owner.on_malformed_response()
            self._complete()
        elif spoilt or (self.fields is None and self.received > MAX_HEAD_BYTES):
            self.reject_response()
        elif self.answer is not None:
            self._check_throughput()
        elif self.status == 200 and not self._may_buffer():
            self._abandon_upload()
            self._stream_answer()
        else:
            if self not in self.owner.receiving.waiting_since:
                self.received_at_check = self.received
            self.owner.receiving.add(self)

    def _answers_earlier_request(self) -> bool:
        """Whether it says that a request was served whose last byte is not written yet: it came for an
        earlier one. Uploads may be answered early.
        """
        attempt = self.attempt
        return self.unwritten and self.status == 200 and attempt is not None and attempt.call.upload is None

    def _complete(self) -> None:
        answer, self.answer = self.answer, None
        if answer is not None:
            self.owner.streaming.discard(self)
            self._end_exchange()
            answer.finish(True)
            return
        self._abandon_upload()
        self._report()

    def _end_exchange(self) -> None:
        # A request not yet read whole leaves the connection unfit for the next.
        if self.keep_alive and not self.unwritten:
            self.return_to_pool()
        else:
            self.close()

    def _report(self) -> None:
        fields, status = self.fields or {}, self.status
        outcome, answer = ERROR, None
        if status == 200:
            outcome = OK
            passed = pass_on(self.headers, ANSWER_HEADERS)
            answer = Answer(Ending.SERVED, 200, passed, bytes(self.body))
        elif status in (503, 504) and fields.get(b"x-not-run", b"").strip() == b"1":
            outcome = FULL
        attempt, self.attempt = self.attempt, None
        if attempt is not None and attempt.call.queued_write_fate is not None:
            # From a copy of this program, whose 503 promises that nothing ran.
            outcome = FULL if status == 503 else outcome
            attempt.call.queued_write_fate = fields.get(b"x-kept-fate", b"refused" if status == 503 else b"")
        self.owner.receiving.discard(self)
        self._end_exchange()
        if attempt is not None:
            self.owner.by_attempt.pop(attempt, None)
            attempt.end(outcome, answer, fields.get(b"x-load", b""))
