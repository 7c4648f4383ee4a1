"""Attempts at endpoints and the connections that carry them.

It opens, reuses and drops connections and reports one outcome for each
attempt. Whether an attempt may still start is asked of the attempt at the
moment of writing; a broken connection is never tried again from here.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from typing import Any, Final, cast

import httptools

from laurelstep.engine.call import Answer, Attempt, Ending, Headers
from laurelstep.engine.flow import Flow
from laurelstep.engine.members import split_address
from laurelstep.flow_control.buffer_budget import ANSWERS_PART, BufferBudget, budget_for
from laurelstep.flow_control.throughput import has_min_throughput
from laurelstep.interface import ERROR, FULL, MOOT, NO_CONNECT, OK, RESET
from laurelstep.net.connect import is_local_fault, open_connection
from laurelstep.net.errors import MalformedResponseError
from laurelstep.net.message import (
    ANSWER_HEADERS,
    BODY_MAX,
    FRAMING_EACH,
    FRAMING_MAX,
    HEAD_MAX,
    LARGE_MAX,
    OWS,
    DeadlineSweeper,
    body_length,
    pass_on,
    single,
)

# Part of an endpoint's idle time for which a connection is kept: the rest guards
# against a request that crosses the endpoint's own close. No longer than MAX_IDLE_S:
# endpoints hold only so many, and what one sidecar kept from a rush was missing to
# another that started anew and found every table full.
IDLE_PART, MAX_IDLE_S = 0.8, 6.0
# A connection that rested this long is given up if more rest at its endpoint than are in
# use, and MIN_IDLE. Guards another sidecar's share of the places there: after a rush one kept
# most of them, and one that had just started found none. Does harm where load comes in
# waves longer than this: each pays for new connections.
SURPLUS_S, MIN_IDLE = 1.0, 2
# Of an answer that has begun something more must come within this: guards against one that
# never ends, which would cost the request all the time that its client has.
ANSWER_S: Final = 0.5
# The same once it is passed on, and for an endpoint that does not read: nothing can be tried
# again then, so the connection has longer.
STALL_S: Final = 5.0
# For DISTRUST_US after something spoilt came from any endpoint, a connection rests for SETTLE_US behind
# an answer before it carries another request, unless MIN_IDLE others rest there: guards against an
# endpoint that answers twice, the second time some milliseconds late, and so answers the next
# request: nothing tells those two apart. Not always: it costs new connections, and an endpoint
# that holds no more turns them away.
SETTLE_US: Final = 20_000
DISTRUST_US: Final = 60_000_000
# Of the time left to the client an endpoint is told so much less, or this part of it if that is less: the
# request may have waited to be read, and what is written leaves at the end of the event loop's turn.
UNTOLD_US: Final = 20_000
UNTOLD_PART: Final = 8
# The length of an answer that ends with its connection (RFC 9112, 6.3, case 8), and of chunks.
UNTIL_CLOSE: Final = -2
CHUNKED: Final = -1
# A connection that can't be opened for a fault of this machine (no port, no buffer, no descriptor) is
# tried again after a pause, which doubles, while the attempt waits. After so long another endpoint, at
# which a connection may rest, gets its chance; the client is refused before its patience ends.
REOPEN_PAUSE_S: Final = 0.01
MAX_REOPEN_PAUSE_S: Final = 0.08
MAX_REOPEN_S: Final = 0.25
# Where the settings name none.
IDLE_DEFAULT_US, CONNECT_DEFAULT_US = 10_000_000, 1_000_000


class ConnectionPool:
    """The idle connections to one process at one address, the last used last."""

    __slots__ = ("closed", "host", "idle", "port")

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.idle: list[EndpointConnection] = []
        self.closed = False

    def acquire(self, now: int, settle_us: int) -> EndpointConnection | None:
        """The last used of those that have rested so long."""
        for at in range(len(self.idle) - 1, -1, -1):
            if now - self.idle[at].idle_since >= settle_us:
                return self.idle.pop(at)
        return self.idle.pop(0) if len(self.idle) > MIN_IDLE else None

    def close_idle(self) -> None:
        """Close what is idle; connections in use stay."""
        connections, self.idle = self.idle, []
        for connection in connections:
            connection.close()

    def close(self) -> None:
        self.closed = True
        self.close_idle()


ONCE: Final = frozenset((b"content-length", b"transfer-encoding"))


def checked(headers: Headers, most: int) -> tuple[dict[bytes, bytes], int]:
    """The fields of an answer's head and the length of its body, if that lies within the
    limit: judged by what it declares, before any of the body is read."""
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


class EndpointConnection:
    """One connection, carrying one attempt at a time; an `asyncio.Protocol` in all but the
    base class, as `Caller` is."""

    def __init__(self, owner: Upstream, pool: ConnectionPool, attempt: Attempt) -> None:
        self.owner, self.pool = owner, pool
        self.attempt: Attempt | None = attempt
        self.transport: asyncio.Transport | None = None
        self.connect_task: asyncio.Task[None] | None = None
        # After a fault of this machine: the next trial to open it, the pause before the one
        # after that, and when the last one begins, in s of the loop.
        self.reopen_timer: asyncio.TimerHandle | None = None
        self.reopen_pause_s = REOPEN_PAUSE_S
        self.reopen_until = 0.0
        self.poller = select.poll()  # made once: it is asked at each reuse
        self.unwritten = True  # the request's last byte is not yet with the system
        self.write_paused = False  # the transport holds bytes that the system did not take yet
        self.upload: Flow | None = None  # a request that is passed on while it comes
        self.answer: Flow | None = None  # an answer that is
        self.reserved = 0  # bytes of the budget for answers
        self.streaming_since = 0.0  # when an answer began to be passed on, without the time that it was held
        self.paused_since = 0.0  # when its client last had no room
        self.idle_since = 0  # since when it carries nothing
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

    # --- Connection -----------------------------------------------------------

    def open(self) -> None:
        self.reopen_until = self.owner.loop.time() + MAX_REOPEN_S
        self.owner.connecting.add(self)
        self._open()

    def _open(self) -> None:
        owner, pool = self.owner, self.pool
        self.reopen_timer = None
        self.connect_task = owner.loop.create_task(open_connection(owner.loop, self, pool.host, pool.port))

    def on_connect_failed(self, is_local_fault: bool) -> None:
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
        self._end_attempt(MOOT if is_local_fault else NO_CONNECT)

    def on_connect_timeout(self) -> None:
        lacks_socket = self.attempt is not None and self.attempt.lacks_socket
        self.close()
        self.reopen_until = 0.0
        self.on_connect_failed(lacks_socket)

    def on_connect_ended(self) -> None:
        self.connect_task = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.owner.connecting.discard(self)
        self.poller.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        self.transport.set_write_buffer_limits(high=0)  # `pause_writing` tells of unwritten bytes
        if self.attempt is None:  # called off while it came up
            self.transport.abort()
            return
        if self.attempt.lacks_socket:
            self.attempt.lacks_socket = False
            self.attempt.sent = self.owner.now()  # the wait for a socket is none of the endpoint's
        self.write()

    def eof_received(self) -> None:
        """The endpoint has ended its side: the transport closes."""
        ends_here = self.fields is not None and self.length == UNTIL_CLOSE
        if ends_here and not self.is_complete and (self.attempt is not None or self.answer is not None):
            self.is_complete, self.keep_alive = True, False
            self._complete()

    def pause_writing(self) -> None:
        self.write_paused = self.unwritten = True
        if self.upload is not None:
            self.upload.pause()
            self.owner.write_stalled.add(self)

    def resume_writing(self) -> None:
        self.write_paused = False
        self.owner.write_stalled.discard(self)
        if self.upload is not None:
            self.upload.resume()
        else:
            self._written()

    def _written(self) -> None:
        self.unwritten = False
        if self.attempt is not None:
            self.attempt.written()

    def write(self) -> None:
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
            attempt.end(MOOT)
            return
        upload = attempt.call.upload
        if upload is not None:
            self._begin_upload(attempt, upload, now)
            return
        self.unwritten = False
        transport.write(request_bytes(attempt, now))
        if transport.is_closing():
            self.unwritten = True  # the first write failed: nothing left
        elif not self.unwritten:
            attempt.written()

    # --- A request that is passed on while it comes -----------------------------------

    def _begin_upload(self, attempt: Attempt, upload: Flow, now: int) -> None:
        assert self.transport is not None
        self.unwritten = True
        self.upload = upload
        self.transport.write(upload_head(attempt, upload, now))
        upload.attach(self)
        if not self.write_paused:
            upload.resume()  # does nothing if it was whole already

    def flow(self, data: bytes) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if self.upload is not None and self.upload.length < 0:
            self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self.transport.write(data)

    def flowed(self, whole: bool) -> None:
        upload, self.upload = self.upload, None
        self.owner.write_stalled.discard(self)
        if self.transport is None or self.transport.is_closing():
            return
        if not whole:
            self.close()
            return
        if upload is not None and upload.length < 0:
            self.transport.write(b"0\r\n\r\n")
        if not self.write_paused and not self.transport.is_closing():
            self._written()

    def _abandon_upload(self) -> None:
        upload, self.upload = self.upload, None
        if upload is not None:
            upload.leave()

    # --- An answer that is passed on while it comes -----------------------------------

    def _stream_answer(self) -> None:
        """Large: its head is the final answer, and what follows goes the same way. There is
        no other attempt from here on."""
        attempt, self.attempt = self.attempt, None
        assert attempt is not None
        self.owner.by_attempt.pop(attempt, None)
        self.owner.receiving.discard(self)
        self._abandon_upload()
        answer = self.answer = Flow(self, max(self.length, CHUNKED))
        if self.body:
            answer.feed(bytes(self.body))
            self.body = bytearray()
        self._release_budget()
        self.streaming_since = self.owner.loop.time()
        self.owner.streaming.add(self)
        passed = pass_on(self.headers, ANSWER_HEADERS)
        final = Answer(Ending.SERVED, 200, passed, flow=answer)
        attempt.end(OK, final, (self.fields or {}).get(b"x-load", b""))
        if not answer.begun:
            answer.leave()  # nobody waits for it any more

    def _check_throughput(self) -> None:
        """Guards a client against an answer that goes on for ever, a little at a time."""
        passing = self.owner.streaming
        if self not in passing.since:
            return  # it is held: what comes was under way
        passing.discard(self)
        if has_min_throughput(self.size, self.owner.loop.time() - self.streaming_since):
            passing.add(self)
        else:
            self.close()

    def hold(self) -> None:
        if self in self.owner.streaming.since:
            self.owner.streaming.discard(self)
            self.paused_since = self.owner.loop.time()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def go_on(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            if self not in self.owner.streaming.since:
                self.owner.streaming.add(self)
                self.streaming_since += self.owner.loop.time() - self.paused_since
            self.transport.resume_reading()

    def unwanted(self) -> None:
        self.answer = None
        self.close()

    # --- At rest ------------------------------------------------------------------

    def is_reusable(self) -> bool:
        """Whether a resting connection may carry a request. Guards against bytes that
        came behind an earlier answer and would answer the next request, and against
        an end not yet read."""
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
        used = sum(1 for connection in self.owner.connections if connection.pool is self.pool) - len(
            self.pool.idle
        )
        if len(self.pool.idle) > used + MIN_IDLE:
            self.close()
            self.owner.on_disconnect(self)  # at once: it must not count for the next one

    def close(self) -> None:
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
        self.owner.on_disconnect(self)
        self._release_budget()
        answer, self.answer = self.answer, None
        if answer is not None:
            answer.end(False)
        self._abandon_upload()
        not_run = MOOT if is_local_fault(exc) else NO_CONNECT
        self._end_attempt(not_run if self.unwritten else RESET)
        self.parser = None  # it holds this object's methods: the cycle ends here

    def _end_attempt(self, outcome: int) -> None:
        """It had no whole answer: its outcome is told behind the turn that closes the descriptor.
        Guards against a next attempt that is written before this one is off the wire."""
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            self.owner.by_attempt.pop(attempt, None)
            load = (self.fields or {}).get(b"x-load", b"")
            self.owner.loop.call_soon(attempt.end, outcome, None, load)

    def reject_response(self) -> None:
        """No answer of this protocol: the request may have run, if it was written whole, and the
        connection is of no more use. That it came says that the connection did not die, so no reset."""
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
        elif spoilt or (self.fields is None and self.received > HEAD_MAX):
            self.reject_response()
        elif self.answer is not None:
            self._check_throughput()
        elif self.status == 200 and not self._may_buffer():
            self._stream_answer()
        else:
            if self not in self.owner.receiving.since:
                self.received_at_check = self.received
            self.owner.receiving.add(self)

    def _answers_earlier_request(self) -> bool:
        """Whether it says that a request was served whose last byte is not written yet: it came for an
        earlier one. Uploads may be answered early."""
        attempt = self.attempt
        return self.unwritten and self.status == 200 and attempt is not None and attempt.call.upload is None

    def on_message_begin(self) -> None:
        if self.is_complete:
            self.has_trailing_data, self.keep_alive = True, False  # something stands behind the answer
        else:
            self.headers.clear()  # an interim answer's say nothing of the real one

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.fields is None:
            self.headers.append((name.lower(), value.strip(OWS)))

    def on_headers_complete(self) -> None:
        if not self.is_complete and self.parser.get_status_code() >= 200:
            self.status = self.parser.get_status_code()
            self.fields, self.length = checked(self.headers, self._max_body())

    def on_body(self, data: bytes) -> None:
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
        if max(self.length, self.size) > BODY_MAX:
            return False
        budget = self.owner.answer_budget
        reserved = budget.reserve(self.size, self.reserved)
        if reserved < 0 and self.attempt is not None and self.attempt.call.streams:
            return False
        self.reserved = budget.force(self.size, self.reserved) if reserved < 0 else reserved
        return True

    def _max_body(self) -> int:
        if self.attempt is not None and not self.attempt.call.streams:
            return BODY_MAX
        return LARGE_MAX

    def on_message_complete(self) -> None:
        if self.fields is not None and not self.is_complete:
            self.is_complete, self.keep_alive = True, self.parser.should_keep_alive()

    def _complete(self) -> None:
        answer, self.answer = self.answer, None
        if answer is not None:
            self.owner.streaming.discard(self)
            self._end_exchange()
            answer.end(True)
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
        if attempt is not None and attempt.call.fate is not None:
            # From a copy of this program, whose 503 promises that nothing ran.
            outcome = FULL if status == 503 else outcome
            attempt.call.fate = fields.get(b"x-kept-fate", b"refused" if status == 503 else b"")
        self.owner.receiving.discard(self)
        self._end_exchange()
        if attempt is not None:
            self.owner.by_attempt.pop(attempt, None)
            attempt.end(outcome, answer, fields.get(b"x-load", b""))


def told_ms(left_us: int) -> int:
    """The deadline to tell an endpoint, ms, where so many us are left to the client: rounded down, and
    one at least."""
    return max(1, (left_us - min(UNTOLD_US, left_us // UNTOLD_PART)) // 1000)


def request_bytes(attempt: Attempt, now: int) -> bytes:
    call = attempt.call
    wait_ms = told_ms(attempt.until - now)
    plain = call.start.startswith(b"GET ") and not call.body
    length = b"" if plain else b"Content-Length: %d\r\n" % len(call.body)
    wait = b"X-Deadline-Ms: %d\r\n" % wait_ms
    return b"%b HTTP/1.1\r\n%b%b%b\r\n%b" % (call.start, call.head, wait, length, call.body)


def upload_head(attempt: Attempt, upload: Flow, now: int) -> bytes:
    """The head of a request whose body follows as it comes."""
    call = attempt.call
    # Counted by the endpoint from the last byte on, as by the caller.
    wait = b"X-Deadline-Ms: %d\r\n" % told_ms(min(call.span, call.expires - now))
    framing = b"Transfer-Encoding: chunked\r\n"
    if upload.length >= 0:
        framing = b"Content-Length: %d\r\n" % upload.length
    return b"%b HTTP/1.1\r\n%b%b%b\r\n" % (call.start, call.head, wait, framing)


class Upstream:
    """All pools and open connections of this sidecar."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        now: Callable[[], int],
        idle_us: int,
        connect_us: int,
        most: int,
        memory_mb: int = 0,
    ) -> None:
        self.loop, self.now = loop, now
        self.answer_budget = BufferBudget(budget_for(memory_mb, ANSWERS_PART))
        self.max_connections = most  # connections to endpoints
        self.addresses: dict[int, str] = {}
        self.pools: dict[int, ConnectionPool] = {}  # of those that were sent something
        self.retiring = False
        self.distrust_until = 0
        self.connections: set[EndpointConnection] = set()
        idle_s = min(MAX_IDLE_S, IDLE_PART * (idle_us or IDLE_DEFAULT_US) / 1e6)
        connect_s = (connect_us or CONNECT_DEFAULT_US) / 1e6
        self.connecting: DeadlineSweeper[EndpointConnection] = DeadlineSweeper(
            loop, connect_s, EndpointConnection.on_connect_timeout
        )
        self.idle_connections: DeadlineSweeper[EndpointConnection] = DeadlineSweeper(
            loop, idle_s, EndpointConnection.close
        )
        self.surplus_connections: DeadlineSweeper[EndpointConnection] = DeadlineSweeper(
            loop, SURPLUS_S, EndpointConnection.close_surplus
        )
        self.receiving: DeadlineSweeper[EndpointConnection] = DeadlineSweeper(
            loop, ANSWER_S, EndpointConnection.on_response_timeout
        )  # begun, not yet whole
        self.streaming: DeadlineSweeper[EndpointConnection] = DeadlineSweeper(
            loop, STALL_S, EndpointConnection.close
        )  # the same, passed on
        self.write_stalled: DeadlineSweeper[EndpointConnection] = DeadlineSweeper(
            loop, STALL_S, EndpointConnection.close
        )  # does not read its request
        self.sweeps = (
            self.connecting, self.idle_connections, self.surplus_connections, self.receiving,
            self.streaming, self.write_stalled,
        )  # fmt: skip
        self.by_attempt: dict[Attempt, EndpointConnection] = {}
        self.emptied: asyncio.Event | None = None

    @property
    def idle_us(self) -> int:
        return int(self.idle_connections.seconds * 1e6)

    def place(self, endpoint: int, address: str) -> None:
        """A new process or address: what was open to the old one is of no use."""
        self.remove(endpoint)
        self.addresses[endpoint] = address

    def remove(self, endpoint: int) -> None:
        self.addresses.pop(endpoint, None)
        if (pool := self.pools.pop(endpoint, None)) is not None:
            pool.close()

    def on_malformed_response(self) -> None:
        """Something came that is no answer of this protocol."""
        self.distrust_until = self.now() + DISTRUST_US

    def free(self, endpoint: int) -> None:
        if (pool := self.pools.get(endpoint)) is not None:
            pool.close_idle()

    def send(self, attempt: Attempt) -> None:
        if attempt.call.fate is not None:
            attempt.call.fate = b""  # of the last attempt alone
        pool = self.pools.get(attempt.endpoint)
        if pool is None:
            address = self.addresses.get(attempt.endpoint)
            if address is None:
                attempt.end(NO_CONNECT)
                return
            # Made when first drawn: of a large fleet most endpoints never are.
            pool = self.pools[attempt.endpoint] = ConnectionPool(*split_address(address))
        now = self.now()
        settle_us = SETTLE_US if now < self.distrust_until else 0
        while (connection := pool.acquire(now, settle_us)) is not None:
            self.idle_connections.discard(connection)
            self.surplus_connections.discard(connection)
            if connection.is_reusable():
                connection.attempt = attempt
                self.by_attempt[attempt] = connection
                connection.write()
                return
            connection.close()
        self._open(pool, attempt)

    def _open(self, pool: ConnectionPool, attempt: Attempt) -> None:
        if (
            len(self.connections) >= self.max_connections
            and (oldest := self.idle_connections.oldest()) is not None
        ):
            oldest.close()
            self.on_disconnect(oldest)
        if len(self.connections) >= self.max_connections:
            # Guards the limit on descriptors; no fault of the endpoint.
            attempt.end(MOOT)
            return
        connection = EndpointConnection(self, pool, attempt)
        self.by_attempt[attempt] = connection
        self.connections.add(connection)
        connection.open()

    def retire(self) -> None:
        """Keep no connection past its attempt: those that a sidecar on its way out
        kept at rest left no room for the one that took its callers over."""
        self.retiring = True
        for pool in self.pools.values():
            pool.close_idle()

    def cancel(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt: the endpoint sees its connection close."""
        connection = self.by_attempt.pop(attempt, None)
        if connection is not None and connection.attempt is attempt:
            connection.attempt = None
            connection.close()

    def on_disconnect(self, connection: EndpointConnection) -> None:
        self.connections.discard(connection)
        if not self.connections and self.emptied is not None:
            self.emptied.set()
        for sweep in self.sweeps:
            sweep.discard(connection)
        if connection in connection.pool.idle:
            connection.pool.idle.remove(connection)

    def close(self) -> None:
        self.retiring = True
        for connection in list(self.connections):
            connection.close()
        for sweep in self.sweeps:
            sweep.close()

    async def wait_closed(self) -> None:
        """After `close`: until no connection is left."""
        if self.connections:
            self.emptied = self.emptied or asyncio.Event()
            await self.emptied.wait()
