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
from laurelstep.interface import ERROR, FULL, MOOT, NO_CONNECT, OK, RESET
from laurelstep.net.errors import SpoiltError
from laurelstep.net.message import (
    ANSWER_HEADERS,
    BODY_MAX,
    FRAMING_EACH,
    FRAMING_MAX,
    HEAD_MAX,
    LARGE_MAX,
    OWS,
    Sweep,
    body_length,
    pass_on,
    single,
)
from laurelstep.net.opening import open_connection
from laurelstep.stream.pace import ANSWERS_PART, Room, room_for

# Part of an endpoint's idle time for which a connection is kept: the rest guards
# against a request that crosses the endpoint's own close. No longer than IDLE_MOST_S:
# endpoints hold only so many, and what one sidecar kept from a rush was missing to
# another that started anew and found every table full.
IDLE_PART, IDLE_MOST_S = 0.8, 6.0
# A connection that rested this long is given up if more rest at its endpoint than are in
# use, and SPARE. Guards another sidecar's share of the places there: after a rush one kept
# most of them, and one that had just started found none. Does harm where load comes in
# waves longer than this: each pays for new connections.
SURPLUS_S, SPARE = 1.0, 2
# Of an answer that has begun something more must come within this: guards against one that
# never ends, which would cost the request all the time that its client has.
ANSWER_S: Final = 0.5
# The same once it is passed on, and for an endpoint that does not read: nothing can be tried
# again then, so the connection has longer.
STALL_S: Final = 5.0
# For DOUBT_US after something spoilt came from any endpoint, a connection rests for SETTLE_US behind
# an answer before it carries another request, unless SPARE others rest there: guards against an
# endpoint that answers twice, the second time some milliseconds late, and so answers the next
# request: nothing tells those two apart. Not always: it costs new connections, and an endpoint
# that holds no more turns them away.
SETTLE_US: Final = 20_000
DOUBT_US: Final = 60_000_000
# The length of an answer that ends with its connection (RFC 9112, 6.3, case 8), and of chunks.
UNTIL_END: Final = -2
CHUNKS: Final = -1
# Where the settings name none.
IDLE_DEFAULT_US, CONNECT_DEFAULT_US = 10_000_000, 1_000_000


class Pool:
    """The idle connections to one process at one address, the last used last."""

    __slots__ = ("closed", "host", "idle", "port")

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.idle: list[Link] = []
        self.closed = False

    def take(self, now: int, settle_us: int) -> Link | None:
        """The last used of those that have rested so long."""
        for at in range(len(self.idle) - 1, -1, -1):
            if now - self.idle[at].rested_at >= settle_us:
                return self.idle.pop(at)
        return self.idle.pop(0) if len(self.idle) > SPARE else None

    def free(self) -> None:
        links, self.idle = self.idle, []
        for link in links:
            link.close()

    def close(self) -> None:
        self.closed = True
        self.free()


ONCE: Final = frozenset((b"content-length", b"transfer-encoding"))


def checked(headers: Headers, most: int) -> tuple[dict[bytes, bytes], int]:
    """The fields of an answer's head and the length of its body, if that lies within the
    limit: judged by what it declares, before any of the body is read."""
    try:
        fields = single(headers, ONCE)
        length = body_length(fields)
    except ValueError as error:
        raise SpoiltError(str(error)) from None
    if length is None:
        return fields, UNTIL_END
    if length > most:
        raise SpoiltError("too large")
    return fields, length


class Link:
    """One connection, carrying one attempt at a time; an `asyncio.Protocol` in all but the
    base class, as `Caller` is."""

    def __init__(self, owner: Upstream, pool: Pool, attempt: Attempt) -> None:
        self.owner, self.pool = owner, pool
        self.attempt: Attempt | None = attempt
        self.transport: asyncio.Transport | None = None
        self.opening: asyncio.Task[None] | None = None
        self.news = select.poll()  # made once: it is asked at each reuse
        self.unwritten = True  # the request's last byte is not yet with the system
        self.full = False  # the transport holds bytes that the system did not take yet
        self.upload: Flow | None = None  # a request that is passed on while it comes
        self.answer: Flow | None = None  # an answer that is
        self.held = 0  # of the room for answers
        self.rested_at = 0  # since when it carries nothing
        self.parser: Any = httptools.HttpResponseParser(self)
        self._begin()

    def _begin(self) -> None:
        self.headers: Headers = []
        self.fields: dict[bytes, bytes] | None = None  # of the final answer's head
        self.body = bytearray()
        self.size = self.fed = self.fed_then = self.status = 0
        self.length = CHUNKS
        self.whole = self.keep = self.behind = False
        self._give_back()

    def _give_back(self) -> None:
        held, self.held = self.held, 0
        self.owner.room.give_back(held)

    # --- Connection -----------------------------------------------------------

    def open(self) -> None:
        owner, pool = self.owner, self.pool
        self.opening = owner.loop.create_task(open_connection(owner.loop, self, pool.host, pool.port))
        owner.connecting.add(self)

    def not_opened(self) -> None:
        # Once it has come up, `connection_lost` knows whether the request left.
        if self.transport is None:
            self.owner.gone(self)
            self._end_closed(NO_CONNECT)

    def time_out_connect(self) -> None:
        self.close()
        self.not_opened()

    def opening_ended(self) -> None:
        self.opening = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.owner.connecting.discard(self)
        self.news.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        self.transport.set_write_buffer_limits(high=0)  # `pause_writing` tells of unwritten bytes
        if self.attempt is None:  # called off while it came up
            self.transport.abort()
        else:
            self.write()

    def eof_received(self) -> None:
        """The endpoint has ended its side: the transport closes."""
        ends_here = self.fields is not None and self.length == UNTIL_END
        if ends_here and not self.whole and (self.attempt is not None or self.answer is not None):
            self.whole, self.keep = True, False
            self._finish()

    def pause_writing(self) -> None:
        self.full = self.unwritten = True
        if self.upload is not None:
            self.upload.pause()
            self.owner.stalled.add(self)

    def resume_writing(self) -> None:
        self.full = False
        self.owner.stalled.discard(self)
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
            self.owner.carrying.pop(attempt, None)
            self.rest()
            attempt.end(MOOT)
            return
        upload = attempt.call.upload
        if upload is not None:
            self._write_upload(attempt, upload, now)
            return
        self.unwritten = False
        transport.write(request_bytes(attempt, now))
        if transport.is_closing():
            self.unwritten = True  # the first write failed: nothing left
        elif not self.unwritten:
            attempt.written()

    # --- A request that is passed on while it comes -----------------------------------

    def _write_upload(self, attempt: Attempt, upload: Flow, now: int) -> None:
        assert self.transport is not None
        self.unwritten = True
        self.upload = upload
        self.transport.write(upload_head(attempt, upload, now))
        upload.attach(self)
        if not self.full:
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
        self.owner.stalled.discard(self)
        if self.transport is None or self.transport.is_closing():
            return
        if not whole:
            self.close()
            return
        if upload is not None and upload.length < 0:
            self.transport.write(b"0\r\n\r\n")
        if not self.full and not self.transport.is_closing():
            self._written()

    def _leave_upload(self) -> None:
        upload, self.upload = self.upload, None
        if upload is not None:
            upload.leave()

    # --- An answer that is passed on while it comes -----------------------------------

    def _pass_on(self) -> None:
        """Large: its head is the final answer, and what follows goes the same way. There is
        no other attempt from here on."""
        attempt, self.attempt = self.attempt, None
        assert attempt is not None
        self.owner.carrying.pop(attempt, None)
        self.owner.answering.discard(self)
        self._leave_upload()
        answer = self.answer = Flow(self, max(self.length, CHUNKS))
        if self.body:
            answer.feed(bytes(self.body))
            self.body = bytearray()
        self._give_back()
        self.owner.passing.add(self)
        passed = pass_on(self.headers, ANSWER_HEADERS)
        final = Answer(Ending.SERVED, 200, passed, flow=answer)
        attempt.end(OK, final, (self.fields or {}).get(b"x-load", b""))
        if not answer.begun:
            answer.leave()  # nobody waits for it any more

    def hold(self) -> None:
        self.owner.passing.discard(self)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def go_on(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.owner.passing.add(self)
            self.transport.resume_reading()

    def unwanted(self) -> None:
        self.answer = None
        self.close()

    # --- At rest ------------------------------------------------------------------

    def fit(self) -> bool:
        """Whether a resting connection may carry a request. Guards against bytes that
        came behind an earlier answer and would answer the next request, and against
        an end not yet read."""
        return self.transport is not None and not self.transport.is_closing() and not self.news.poll(0)

    def rest(self) -> None:
        """The connection carries nothing now: keep it for the next attempt."""
        done = self.pool.closed or self.owner.retiring
        if done or self.transport is None or self.transport.is_closing():
            self.close()
            return
        self._begin()
        self.rested_at = self.owner.now()
        self.pool.idle.append(self)
        self.owner.resting.add(self)
        self.owner.surplus.add(self)

    def close_surplus(self) -> None:
        used = sum(1 for link in self.owner.links if link.pool is self.pool) - len(self.pool.idle)
        if len(self.pool.idle) > used + SPARE:
            self.close()
            self.owner.gone(self)  # at once: it must not count for the next one

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()
        elif self.opening is not None:
            # A task that never ran has no chance to tell of its end.
            self.opening.cancel()
            self.owner.gone(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.owner.gone(self)
        self._give_back()
        answer, self.answer = self.answer, None
        if answer is not None:
            answer.end(False)
        self._leave_upload()
        self._end_closed(NO_CONNECT if self.unwritten else RESET)
        self.parser = None  # it holds this object's methods: the cycle ends here

    def _end_closed(self, outcome: int) -> None:
        """It had no whole answer: its outcome is told behind the turn that closes the descriptor.
        Guards against a next attempt that is written before this one is off the wire."""
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            self.owner.carrying.pop(attempt, None)
            load = (self.fields or {}).get(b"x-load", b"")
            self.owner.loop.call_soon(attempt.end, outcome, None, load)

    def spoil(self) -> None:
        """No answer of this protocol: the request may have run, if it was written whole, and the
        connection is of no more use. That it came says that the connection did not die, so no reset."""
        self.owner.doubt()
        self.close()
        self._leave_upload()
        self._end_closed(NO_CONNECT if self.unwritten else ERROR)

    def late(self) -> None:
        """Nothing whole for `ANSWER_S`: it may go on as long as something comes."""
        if self.fed == self.fed_then:
            self.spoil()
            return
        self.fed_then = self.fed
        self.owner.answering.add(self)

    # --- Answers ------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        if self.attempt is None and self.answer is None:
            self.owner.doubt()
            self.close()  # nobody asked: whatever it is, it ends the connection
            return
        self.fed += len(data)
        spoilt = False
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            spoilt, self.keep = True, False
        spoilt = spoilt or self.fed > FRAMING_MAX + FRAMING_EACH * self.size
        if self._is_anothers():
            self.spoil()
        elif self.whole:
            if spoilt or self.behind:
                self.owner.doubt()
            self._finish()
        elif spoilt or (self.fields is None and self.fed > HEAD_MAX):
            self.spoil()
        elif self.answer is not None:
            if self in self.owner.passing.since:  # it is not held
                self.owner.passing.discard(self)
                self.owner.passing.add(self)
        elif self.status == 200 and not self._holds():
            self._pass_on()
        else:
            if self not in self.owner.answering.since:
                self.fed_then = self.fed
            self.owner.answering.add(self)

    def _is_anothers(self) -> bool:
        """Whether it says that a request was served whose last byte is not written yet: it came for an
        earlier one. Uploads may be answered early."""
        attempt = self.attempt
        return self.unwritten and self.status == 200 and attempt is not None and attempt.call.upload is None

    def on_message_begin(self) -> None:
        if self.whole:
            self.behind, self.keep = True, False  # something stands behind the answer
        else:
            self.headers.clear()  # an interim answer's say nothing of the real one

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.fields is None:
            self.headers.append((name.lower(), value.strip(OWS)))

    def on_headers_complete(self) -> None:
        if not self.whole and self.parser.get_status_code() >= 200:
            self.status = self.parser.get_status_code()
            self.fields, self.length = checked(self.headers, self._most())

    def on_body(self, data: bytes) -> None:
        if not self.whole:
            self.size += len(data)
            if self.size > self._most():
                raise SpoiltError("too large")
            if self.answer is not None:
                self.answer.feed(data)
            else:
                self.body += data

    def _holds(self) -> bool:
        """Whether the answer may wait here until it is whole."""
        if max(self.length, self.size) > BODY_MAX:
            return False
        room = self.owner.room
        held = room.hold(self.size, self.held)
        if held < 0 and self.attempt is not None and self.attempt.call.streams:
            return False
        self.held = room.count(self.size, self.held) if held < 0 else held
        return True

    def _most(self) -> int:
        if self.attempt is not None and not self.attempt.call.streams:
            return BODY_MAX
        return LARGE_MAX

    def on_message_complete(self) -> None:
        if self.fields is not None and not self.whole:
            self.whole, self.keep = True, self.parser.should_keep_alive()

    def _finish(self) -> None:
        answer, self.answer = self.answer, None
        if answer is not None:
            self.owner.passing.discard(self)
            self._end_use()
            answer.end(True)
            return
        self._leave_upload()
        self._outcome()

    def _end_use(self) -> None:
        # A request not yet read whole leaves the connection unfit for the next.
        if self.keep and not self.unwritten:
            self.rest()
        else:
            self.close()

    def _outcome(self) -> None:
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
        self.owner.answering.discard(self)
        self._end_use()
        if attempt is not None:
            self.owner.carrying.pop(attempt, None)
            attempt.end(outcome, answer, fields.get(b"x-load", b""))


def request_bytes(attempt: Attempt, now: int) -> bytes:
    call = attempt.call
    # Rounded down: the endpoint must not work on past the sidecar's patience.
    wait_ms = max(1, (attempt.until - now) // 1000)
    plain = call.start.startswith(b"GET ") and not call.body
    length = b"" if plain else b"Content-Length: %d\r\n" % len(call.body)
    wait = b"X-Deadline-Ms: %d\r\n" % wait_ms
    return b"%b HTTP/1.1\r\n%b%b%b\r\n%b" % (call.start, call.head, wait, length, call.body)


def upload_head(attempt: Attempt, upload: Flow, now: int) -> bytes:
    """The head of a request whose body follows as it comes."""
    call = attempt.call
    # Counted by the endpoint from the last byte on, as by the caller.
    wait = b"X-Deadline-Ms: %d\r\n" % max(1, min(call.span, call.expires - now) // 1000)
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
        self.room = Room(room_for(memory_mb, ANSWERS_PART))
        self.most = most  # connections to endpoints
        self.addresses: dict[int, str] = {}
        self.pools: dict[int, Pool] = {}  # of those that were sent something
        self.retiring = False
        self.doubt_until = 0
        self.links: set[Link] = set()
        idle_s = min(IDLE_MOST_S, IDLE_PART * (idle_us or IDLE_DEFAULT_US) / 1e6)
        connect_s = (connect_us or CONNECT_DEFAULT_US) / 1e6
        self.connecting: Sweep[Link] = Sweep(loop, connect_s, Link.time_out_connect)
        self.resting: Sweep[Link] = Sweep(loop, idle_s, Link.close)
        self.surplus: Sweep[Link] = Sweep(loop, SURPLUS_S, Link.close_surplus)
        self.answering: Sweep[Link] = Sweep(loop, ANSWER_S, Link.late)  # begun, not yet whole
        self.passing: Sweep[Link] = Sweep(loop, STALL_S, Link.close)  # the same, passed on
        self.stalled: Sweep[Link] = Sweep(loop, STALL_S, Link.close)  # does not read its request
        self.sweeps = (
            self.connecting, self.resting, self.surplus, self.answering, self.passing, self.stalled
        )  # fmt: skip
        self.carrying: dict[Attempt, Link] = {}
        self.emptied: asyncio.Event | None = None

    @property
    def idle_us(self) -> int:
        return int(self.resting.seconds * 1e6)

    def place(self, endpoint: int, address: str) -> None:
        """A new process or address: what was open to the old one is of no use."""
        self.remove(endpoint)
        self.addresses[endpoint] = address

    def remove(self, endpoint: int) -> None:
        self.addresses.pop(endpoint, None)
        if (pool := self.pools.pop(endpoint, None)) is not None:
            pool.close()

    def doubt(self) -> None:
        """Something came that is no answer of this protocol."""
        self.doubt_until = self.now() + DOUBT_US

    def free(self, endpoint: int) -> None:
        if (pool := self.pools.get(endpoint)) is not None:
            pool.free()

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
            pool = self.pools[attempt.endpoint] = Pool(*split_address(address))
        now = self.now()
        settle_us = SETTLE_US if now < self.doubt_until else 0
        while (link := pool.take(now, settle_us)) is not None:
            self.resting.discard(link)
            self.surplus.discard(link)
            if link.fit():
                link.attempt = attempt
                self.carrying[attempt] = link
                link.write()
                return
            link.close()
        self._open(pool, attempt)

    def _open(self, pool: Pool, attempt: Attempt) -> None:
        if len(self.links) >= self.most and (oldest := self.resting.oldest()) is not None:
            oldest.close()
            self.gone(oldest)
        if len(self.links) >= self.most:
            # Guards the limit on descriptors; no fault of the endpoint.
            attempt.end(MOOT)
            return
        link = Link(self, pool, attempt)
        self.carrying[attempt] = link
        self.links.add(link)
        link.open()

    def retire(self) -> None:
        """Keep no connection past its attempt: those that a sidecar on its way out
        kept at rest left no room for the one that took its callers over."""
        self.retiring = True
        for pool in self.pools.values():
            pool.free()

    def cancel(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt: the endpoint sees its connection close."""
        link = self.carrying.pop(attempt, None)
        if link is not None and link.attempt is attempt:
            link.attempt = None
            link.close()

    def gone(self, link: Link) -> None:
        self.links.discard(link)
        if not self.links and self.emptied is not None:
            self.emptied.set()
        for sweep in self.sweeps:
            sweep.discard(link)
        if link in link.pool.idle:
            link.pool.idle.remove(link)

    def close(self) -> None:
        self.retiring = True
        for link in list(self.links):
            link.close()
        for sweep in self.sweeps:
            sweep.close()

    async def wait_closed(self) -> None:
        """After `close`: until no connection is left."""
        if self.links:
            self.emptied = self.emptied or asyncio.Event()
            await self.emptied.wait()
