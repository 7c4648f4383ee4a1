"""What all connections of clients share: limits, budgets, deadlines, and which one is evicted."""

from __future__ import annotations

import asyncio
import itertools
import select
from collections.abc import Callable
from typing import Any, Final, Generic, TypeVar

from laurelstep.engine.call import Answer, Call
from laurelstep.engine.engine import Engine
from laurelstep.flow_control.buffer_budget import BufferBudget, budget_bytes
from laurelstep.lifecycle import Lifecycle
from laurelstep.lifecycle.phases import LATE_REQUEST_TIMEOUT_S
from laurelstep.net.acceptor import Acceptor
from laurelstep.net.deadline_sweeper import DeadlineSweeper
from laurelstep.net.errors import BadRequestError
from laurelstep.net.message import (
    MAX_BUFFERED_BODY_BYTES,
    MAX_STREAMED_BODY_BYTES,
    REQUEST_TIMEOUT_S,
    has_event,
)
from laurelstep.net.shutdown import GracefulShutdown
from laurelstep.resources.descriptors import CLOSING, IDLE, eviction_order

# A connection rests so long between requests at most: some clients never come back.
REST_S: Final = 5.0
# How long the client of a connection that was ended may take to end its own side.
LINGER_S: Final = 1.0
MAX_DISCARDED_BYTES: Final = 1 << 20
# How often it is asked whether the client of an upload that is not read has left: no attempt may begin for it
# 0.1 s after its close.
HELD_S: Final = 0.05
# So many of each kind, those that have waited longest, are looked at when one has to give way.
CANDIDATES: Final = 4
# A client that does not read what it is sent is cut after this.
STUCK_S: Final = 10.0


class TrackedConnection:
    """A client's connection, as the sweepers, the eviction and the shutdown know it. `ClientConnection`
    is the only one there is; it stands apart so that neither module needs the other.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.closing = False  # what comes is dropped
        self.received = 0  # bytes of the request that is being read
        self.reserved = 0  # bytes of the budget for requests
        self.parsed: Call | Answer | None = None  # what the head of that request says
        self.hangup_poller: Any = None  # for the client's end, made when it is first asked

    def on_answer(self, call: Call, answer: Answer) -> None:
        """The engine's final answer to a call of this connection."""
        raise NotImplementedError

    def reserve(self, size: int) -> bool:
        """Whether so many bytes of the request may wait here until it is complete."""
        raise NotImplementedError

    def reject(self, error: BadRequestError) -> None:
        """Answer by the error's status, and close behind it."""
        raise NotImplementedError

    def is_silent(self) -> bool:
        """Whether nothing of a request has come."""
        raise NotImplementedError

    def has_nothing_forwarded(self) -> bool:
        """Whether it waits for a request, or for the rest of one, of which no endpoint had anything."""
        raise NotImplementedError

    def close_unforwarded(self) -> None:
        """End it though a request is half here: that is rejected."""
        raise NotImplementedError

    def reject_upload(self) -> None:
        """Reject a request that is streamed and not complete."""
        raise NotImplementedError

    def close_if_idle(self) -> None:
        """Close it, unless a request has come that was not read yet."""
        raise NotImplementedError

    def abort(self) -> None:
        """Close it at once, whatever is owed."""
        raise NotImplementedError

    def evict(self) -> None:
        """Free its descriptor at once; a half-sent request is rejected."""
        raise NotImplementedError

    def check_hangup(self) -> None:
        """End it if its client has left behind bytes that are not read."""
        raise NotImplementedError

    def on_request_timeout(self) -> None:
        """The request did not come in time."""
        raise NotImplementedError

    def on_linger_timeout(self) -> None:
        """The client did not end its side in time."""
        raise NotImplementedError

    def has_written(self) -> bool:
        """Whether all that it was answered is with the system."""
        return self.transport is None or self.transport.get_write_buffer_size() == 0

    def has_unread(self) -> bool:
        """Whether bytes have come that were not read yet."""
        assert self.transport is not None
        return has_event(self.transport.get_extra_info("socket").fileno(), select.POLLIN, True)

    def has_left(self) -> bool:
        """Whether the client has ended its side, though bytes before that may not be read yet."""
        if self.transport is None or self.transport.is_closing():
            return True
        if self.hangup_poller is None:
            self.hangup_poller = select.poll()
            self.hangup_poller.register(self.transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        try:
            return bool(self.hangup_poller.poll(0))
        except OSError:  # ENOMEM, poll(2): not known, so it stays
            return False


C = TypeVar("C", bound=TrackedConnection)


class ServerState(Generic[C]):
    """Held by `Server`, and known to each of its connections, which are all of one class."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        engine: Engine,
        max_connections: int = 512,
        on_stop: Callable[[], None] | None = None,
        lifecycle: Lifecycle | None = None,
        memory_mb: int = 0,
    ) -> None:
        """`on_stop` is called when a graceful shutdown begins."""
        self.loop = loop
        self.request_budget = BufferBudget(budget_bytes(memory_mb))
        # An order's record holds all of it.
        self.max_body_bytes = MAX_STREAMED_BODY_BYTES if engine.recorder is None else MAX_BUFFERED_BODY_BYTES
        self.lifecycle = lifecycle or Lifecycle()
        self.engine = engine
        self.max_connections = max_connections
        self.connections: set[C] = set()
        # A request is owed; it is being streamed; the same, paused.
        self.awaiting_request = self._sweeper(REQUEST_TIMEOUT_S, lambda one: one.on_request_timeout())
        self.uploading = self._sweeper(REQUEST_TIMEOUT_S, lambda one: one.on_request_timeout())
        self.paused = self._sweeper(HELD_S, lambda one: one.check_hangup())
        # Does not read its answer; between requests; half-closed; came when others had gone.
        self.write_stalled = self._sweeper(STUCK_S, lambda one: one.abort())
        self.idle = self._sweeper(REST_S, lambda one: one.close_if_idle())
        self.lingering = self._sweeper(LINGER_S, lambda one: one.on_linger_timeout())
        self.late_connections = self._sweeper(LATE_REQUEST_TIMEOUT_S, lambda one: one.close_if_idle())
        self.listener: Acceptor | None = None
        self.shutdown = GracefulShutdown(loop, self.lifecycle, self, on_stop)
        # Asked for the receipt of a kept write, and for what copies share; the call is answered later.
        self.on_receipt_query: Callable[[Call], None] | None = None
        self.on_shared_query: Callable[[Call], None] | None = None

    def _sweeper(self, seconds: float, expire: Callable[[C], None]) -> DeadlineSweeper[C]:
        return DeadlineSweeper(self.loop, seconds, expire)

    def on_connect(self, connection: C) -> None:
        """A client has connected; for want of a place another connection is evicted."""
        if self.shutdown.is_finished:
            connection.abort()  # guards a request that would run and go unanswered
            return
        self.connections.add(connection)
        late = self.listener is None or self.lifecycle.has_short_request_timeout(self.loop.time())
        (self.late_connections if late else self.awaiting_request).add(connection)
        if len(self.connections) > self.max_connections:
            self._evict_one()

    def _evict_one(self) -> None:
        """Guards the limit on descriptors against a crowd. None gives way while a part of its answer
        waits here: that would be lost. Nor one whose request has come and is not read yet, where
        another can.
        """
        candidates: list[tuple[DeadlineSweeper[C], C]] = []
        for waits in eviction_order(len(self.awaiting_request.waiting_since), self.max_connections):
            sweep = (
                self.lingering if waits == CLOSING else self.idle if waits == IDLE else self.awaiting_request
            )
            written = (one for one in sweep.waiting_since if one.has_written())
            candidates += [(sweep, one) for one in itertools.islice(written, CANDIDATES)]
        for sweep, one in candidates:
            if one.closing or not one.has_unread():
                self._evict(sweep, one)
                return
        if candidates:
            self._evict(*candidates[0])

    def _evict(self, sweep: DeadlineSweeper[C], connection: C) -> None:
        sweep.discard(connection)
        connection.evict()
        self.connections.discard(connection)  # its descriptor is freed in this turn of the loop

    def reserve_head(self, connection: C) -> None:
        """Guards memory against a crowd of half-written heads: there the one that has been
        owed for longest gives way. Refused, as nothing of it was sent on.
        """
        while not connection.reserve(connection.received):
            held = (
                one for one in self.awaiting_request.waiting_since if one.reserved > 0 and one.parsed is None
            )
            oldest = next(held, connection)
            oldest.reject(BadRequestError(503, "too much is half-written"))
            if oldest is connection:
                return

    def on_closing(self, connection: C) -> None:
        """A connection's answer was its last: its client is to end its own side."""
        for sweep in (self.awaiting_request, self.uploading, self.paused, self.idle, self.late_connections):
            sweep.discard(connection)
        self.lingering.add(connection)

    def on_disconnect(self, connection: C) -> None:
        """A connection is closed."""
        self.connections.discard(connection)
        for sweep in (
            *(self.awaiting_request, self.uploading, self.paused, self.write_stalled),
            *(self.idle, self.lingering, self.late_connections),
        ):
            sweep.discard(connection)
        self.shutdown.finish_if_done()
