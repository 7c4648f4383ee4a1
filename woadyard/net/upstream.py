"""Attempts at endpoints and the connections that carry them.

It opens, reuses and drops connections and reports one outcome for each
attempt. Whether an attempt may still start is asked of the driver at the
moment of writing; a broken connection is never tried again from here.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import httptools

from woadyard.interface import ERROR, FULL, MOOT, NO_CONNECT, OK, RESET
from woadyard.net.message import BODY_MAX, HEAD_MAX, Answer, Call, Headers, pass_on

# Part of an endpoint's idle time for which a connection is kept: the rest guards
# against a request that crosses the endpoint's own close.
IDLE_PART = 0.8
# Where the settings name none.
IDLE_DEFAULT_US, CONNECT_DEFAULT_US = 10_000_000, 1_000_000

Ended = Callable[["Attempt", int, "Answer | None", "bytes"], None]


class Attempt:
    __slots__ = ("call", "copy", "endpoint", "link", "out", "sent", "timer", "until")

    def __init__(self, call: Call, copy: int, endpoint: int, now: int, until: int) -> None:
        self.call = call
        self.copy = copy
        self.endpoint = endpoint
        self.sent = now
        self.until = until  # when the sidecar stops waiting
        self.out = True  # no outcome yet
        self.link: Link | None = None
        self.timer: asyncio.TimerHandle | None = None


class Pool:
    """The idle connections to one process at one address, the last used last."""

    __slots__ = ("closed", "host", "idle", "port")

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.idle: list[Link] = []
        self.closed = False

    def free(self) -> None:
        links, self.idle = self.idle, []
        for link in links:
            link.close()

    def close(self) -> None:
        self.closed = True
        self.free()


class Link(asyncio.Protocol):
    """One connection, carrying one attempt at a time."""

    def __init__(self, owner: Upstream, pool: Pool, attempt: Attempt) -> None:
        self.owner, self.pool = owner, pool
        self.attempt: Attempt | None = attempt
        self.transport: asyncio.Transport | None = None
        self.opening: asyncio.Task[None] | None = None
        self.idle_since = 0.0
        self.unwritten = True  # the request's last byte is not yet with the system
        self.parser = httptools.HttpResponseParser(self)
        self._begin()

    def _begin(self) -> None:
        self.headers: Headers = []
        self.body: list[bytes] = []
        self.size = self.fed = 0
        self.load = b""
        self.not_run = self.whole = self.keep = False

    # --- Connection -----------------------------------------------------------

    async def open(self) -> None:
        loop, seconds = self.owner.loop, self.owner.connect_s
        try:
            async with asyncio.timeout(seconds):
                await loop.create_connection(lambda: self, self.pool.host, self.pool.port)
        except (OSError, TimeoutError, asyncio.CancelledError):
            # Once it has come up, `connection_lost` knows whether the request left.
            if self.transport is None:
                self.owner.gone(self)
                self._end(NO_CONNECT)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)  # `pause_writing` tells of unwritten bytes
        if self.attempt is None:  # called off while it came up
            self.transport.abort()
        else:
            self.write()

    def pause_writing(self) -> None:
        self.unwritten = True

    def resume_writing(self) -> None:
        self.unwritten = False

    def write(self) -> None:
        attempt, transport = self.attempt, self.transport
        assert attempt is not None and transport is not None
        now = self.owner.now()
        if not self.owner.may_start(attempt, now):
            # Guards the rules after a slow connect: past the drain grace, the
            # deadline or the final answer nothing may start.
            self.attempt = None
            self.rest()
            self.owner.ended(attempt, MOOT, None, b"")
            return
        self.unwritten = False
        transport.write(request_bytes(attempt, now))
        if transport.is_closing():
            self.unwritten = True  # the first write failed: nothing left

    def rest(self) -> None:
        """The connection carries nothing now: keep it for the next attempt."""
        if self.pool.closed or self.transport is None or self.transport.is_closing():
            self.close()
            return
        self._begin()
        self.pool.idle.append(self)
        self.idle_since = self.owner.loop.time()
        self.owner.arm(self.idle_since)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()
        elif self.opening is not None:
            self.opening.cancel()

    def connection_lost(self, exc: Exception | None) -> None:
        if self in self.pool.idle:
            self.pool.idle.remove(self)
        self.owner.gone(self)
        self._end(NO_CONNECT if self.unwritten else RESET)

    def _end(self, outcome: int, answer: Answer | None = None) -> None:
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            self.owner.ended(attempt, outcome, answer, self.load)

    # --- Answers ------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        if self.attempt is None:  # nobody asked: whatever it is, it ends the connection
            self.close()
            return
        self.fed += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.fed = HEAD_MAX + 2 * BODY_MAX + 1
        if self.whole:
            self._finish()
        elif self.size > BODY_MAX or self.fed > HEAD_MAX + 2 * BODY_MAX:
            self.close()  # no answer of this protocol: it ends as a reset
            self._end(RESET)

    def on_header(self, name: bytes, value: bytes) -> None:
        lower = name.lower()
        if lower == b"x-load":
            self.load = value
        elif lower == b"x-not-run":
            self.not_run = value.strip() == b"1"
        self.headers.append((name, value))

    def on_body(self, data: bytes) -> None:
        self.size += len(data)
        self.body.append(data)

    def on_message_complete(self) -> None:
        if self.parser.get_status_code() < 200:  # an interim answer; the real one follows
            self.headers.clear()
        else:
            self.whole, self.keep = True, self.parser.should_keep_alive()

    def _finish(self) -> None:
        status = self.parser.get_status_code()
        outcome, answer = ERROR, None
        if status == 200:
            outcome = OK
            answer = Answer(200, pass_on(self.headers), b"".join(self.body))
        elif status in (503, 504) and self.not_run:
            outcome = FULL
        attempt, load = self.attempt, self.load
        self.attempt = None
        # A request not yet read whole leaves the connection unfit for the next.
        if self.keep and not self.unwritten:
            self.rest()
        else:
            self.close()
        if attempt is not None:
            self.owner.ended(attempt, outcome, answer, load)


def request_bytes(attempt: Attempt, now: int) -> bytes:
    call = attempt.call
    # Rounded down: the endpoint must not work on past the sidecar's patience.
    wait_ms = max(1, (attempt.until - now) // 1000)
    plain = call.start.startswith(b"GET ") and not call.body
    length = b"" if plain else b"Content-Length: %d\r\n" % len(call.body)
    wait = b"X-Deadline-Ms: %d\r\n" % wait_ms
    return b"%b HTTP/1.1\r\n%b%b%b\r\n%b" % (call.start, call.head, wait, length, call.body)


class Upstream:
    """All pools and open connections of this sidecar."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        now: Callable[[], int],
        idle_us: int,
        connect_us: int,
        most: int,
    ) -> None:
        self.loop, self.now = loop, now
        self.idle_s = IDLE_PART * (idle_us or IDLE_DEFAULT_US) / 1e6
        self.connect_s = (connect_us or CONNECT_DEFAULT_US) / 1e6
        self.most = most  # sockets of both sides
        self.others: Callable[[], int] = lambda: 0  # those of the callers
        self.pools: dict[int, Pool] = {}
        self.links: set[Link] = set()
        self.sweeping: asyncio.TimerHandle | None = None
        self.ended: Ended = lambda *_: None
        self.may_start: Callable[[Attempt, int], bool] = lambda *_: True

    def place(self, endpoint: int, host: str, port: int) -> None:
        """A new process or address: what was open to the old one is of no use."""
        self.remove(endpoint)
        self.pools[endpoint] = Pool(host, port)

    def remove(self, endpoint: int) -> None:
        if (pool := self.pools.pop(endpoint, None)) is not None:
            pool.close()

    def free(self, endpoint: int) -> None:
        if (pool := self.pools.get(endpoint)) is not None:
            pool.free()

    def send(self, attempt: Attempt) -> None:
        pool = self.pools.get(attempt.endpoint)
        if pool is None:
            self.ended(attempt, NO_CONNECT, None, b"")
            return
        while pool.idle:
            link = pool.idle.pop()
            if link.transport is not None and not link.transport.is_closing():
                link.attempt, attempt.link = attempt, link
                link.write()
                return
        self._open(pool, attempt)

    def _open(self, pool: Pool, attempt: Attempt) -> None:
        if len(self.links) + self.others() >= self.most:
            self._drop_oldest()
        if len(self.links) + self.others() >= self.most:
            self.ended(attempt, NO_CONNECT, None, b"")
            return
        link = attempt.link = Link(self, pool, attempt)
        self.links.add(link)
        link.opening = self.loop.create_task(link.open())

    def _drop_oldest(self) -> None:
        resting = [pool.idle[0] for pool in self.pools.values() if pool.idle]
        if resting:
            oldest = min(resting, key=lambda link: link.idle_since)
            oldest.pool.idle.remove(oldest)
            oldest.close()
            self.gone(oldest)

    def cancel(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt: the endpoint sees its connection close."""
        link, attempt.link = attempt.link, None
        if link is not None and link.attempt is attempt:
            link.attempt = None
            link.close()

    def gone(self, link: Link) -> None:
        self.links.discard(link)

    # --- Idle connections -----------------------------------------------------------

    def arm(self, since: float) -> None:
        if self.sweeping is None:
            self.sweeping = self.loop.call_at(since + self.idle_s, self._sweep)

    def _sweep(self) -> None:
        """Drop what rested too long; one timer serves all connections."""
        self.sweeping = None
        limit = self.loop.time() - self.idle_s
        oldest = None
        for pool in self.pools.values():
            while pool.idle and pool.idle[0].idle_since <= limit:
                pool.idle.pop(0).close()
            if pool.idle and (oldest is None or pool.idle[0].idle_since < oldest):
                oldest = pool.idle[0].idle_since
        if oldest is not None:
            self.arm(oldest)

    def close(self) -> None:
        for link in list(self.links):
            link.close()
