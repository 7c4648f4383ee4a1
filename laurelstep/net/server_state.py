"""State shared by all client connections: limits, buffer budget, timeouts, and eviction."""

from __future__ import annotations

import asyncio
import itertools
import select
from collections.abc import Callable
from typing import Any, Final, Generic, TypeVar

from laurelstep.engine.call import Answer, Call
from laurelstep.engine.engine import Engine
from laurelstep.engine.event_log import EventKind
from laurelstep.flow_control.buffer_budget import BodyBudgets
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
from laurelstep.net.read_buffer import ReadBuffer
from laurelstep.net.request import USED_HEADERS
from laurelstep.net.shutdown import GracefulShutdown
from laurelstep.resources.descriptors import CLOSING, IDLE, eviction_order

# An idle client connection is closed after this time, as some clients never send another request.
IDLE_TIMEOUT_S: Final = 5.0
# After this side of a connection is closed, the client has this long to close its side.
LINGER_TIMEOUT_S: Final = 1.0
# How often a paused connection is checked for a client that has left: no attempt may begin for it later than
# 0.1 s after its close.
HANGUP_CHECK_INTERVAL_S: Final = 0.05
# How long after its upload was last read an attempt may begin for a client whose close could be hidden behind
# bytes that have not arrived.
UNSEEN_LIMIT_S: Final = 0.1
# How many connections of each kind, the longest waiting first, are considered for eviction.
EVICTION_CANDIDATES: Final = 4
# How often it is checked that a client reads an answer that does not fit into the kernel's buffers. Its
# connection is aborted if it has read too little since the last check.
WRITE_STALL_TIMEOUT_S: Final = 10.0


class TrackedConnection:
    """The interface of a client connection that the sweepers, the eviction and the shutdown use.

    `ClientConnection` is the only implementation; this base class avoids an import cycle.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.is_closing = False  # bytes that still arrive are discarded
        self.received_bytes = 0  # bytes of the request that is being read
        self.reserved_bytes = 0  # bytes reserved in the request budget
        self.parsed: Call | Answer | None = None  # the call for its head, or the answer to a health check
        self.hangup_poller: Any = None  # polls for the client's close; created on first use

    def on_answer(self, call: Call, answer: Answer) -> None:
        """`Frontend`: write the final answer of the current call."""
        raise NotImplementedError

    def head_bytes(self) -> int:
        """The memory that the incomplete head holds, in bytes."""
        raise NotImplementedError

    def reserve(self, size: int) -> bool:
        """Reserve buffer budget for `size` bytes of the request; False if the budget is used up."""
        raise NotImplementedError

    def reject(self, error: BadRequestError) -> None:
        """Answer with the error's status, and close the connection."""
        raise NotImplementedError

    def is_silent(self) -> bool:
        """Whether no byte of a request has been read."""
        raise NotImplementedError

    def has_nothing_forwarded(self) -> bool:
        """Whether it waits for a request, or for the rest of a request of which no part was forwarded."""
        raise NotImplementedError

    def close_unforwarded(self) -> None:
        """Close the connection, but read unread bytes first; an incomplete request is rejected."""
        raise NotImplementedError

    def reject_upload(self) -> None:
        """Reject an incomplete upload, if there is one."""
        raise NotImplementedError

    def close_if_idle(self) -> None:
        """Close the connection unless unread bytes have arrived."""
        raise NotImplementedError

    def abort(self) -> None:
        """Close the connection at once, even if a request is unanswered."""
        raise NotImplementedError

    def evict(self) -> None:
        """Close the connection at once to free its descriptor; an incomplete request is rejected."""
        raise NotImplementedError

    def check_hangup(self) -> None:
        """Abort the connection if its client has closed it after bytes that are not read."""
        raise NotImplementedError

    def on_request_timeout(self) -> None:
        """The request has not arrived in time."""
        raise NotImplementedError

    def on_write_timeout(self) -> None:
        """The client has not read all of its answer in time."""
        raise NotImplementedError

    def on_linger_timeout(self) -> None:
        """The client has not closed its side in time."""
        raise NotImplementedError

    def has_written(self) -> bool:
        """Whether the kernel has taken all bytes written to the client."""
        return self.transport is None or self.transport.get_write_buffer_size() == 0

    def may_hide_close(self) -> bool:
        """Whether the client may have closed the connection behind bytes that have not arrived here."""
        raise NotImplementedError

    def has_unread(self) -> bool:
        """Whether bytes have arrived that are not read yet; True if that cannot be determined."""
        assert self.transport is not None
        return has_event(self.transport.get_extra_info("socket").fileno(), select.POLLIN, True)

    def has_left(self) -> bool:
        """Whether the client has closed its side, even if bytes before that are not read yet."""
        if self.transport is None or self.transport.is_closing():
            return True
        if self.hangup_poller is None:
            self.hangup_poller = select.poll()
            self.hangup_poller.register(self.transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        try:
            return bool(self.hangup_poller.poll(0))
        except OSError:  # ENOMEM: poll(2). Unknown, so the connection stays open
            return False


C = TypeVar("C", bound=TrackedConnection)


class ServerState(Generic[C]):
    """The base of `Server`, which each of its connections refers to. `C` is the class of connections."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        engine: Engine,
        max_connections: int = 512,
        on_stop: Callable[[], None] | None = None,
        lifecycle: Lifecycle | None = None,
        budgets: BodyBudgets | None = None,
    ) -> None:
        """`on_stop` is called when a graceful shutdown begins. `budgets`: those of the engine's upstream,
        which the connections share; None = budgets of their own.
        """
        self.loop = loop
        budgets = budgets or BodyBudgets()
        self.request_budget, self.answer_budget = budgets.requests, budgets.answers
        self.read_buffer = ReadBuffer(self.request_budget)
        self.unseen_limit_s = UNSEEN_LIMIT_S
        # The request journal records the whole body of an order, so that body cannot be streamed.
        self.max_body_bytes = MAX_STREAMED_BODY_BYTES if engine.recorder is None else MAX_BUFFERED_BODY_BYTES
        self.lifecycle = lifecycle or Lifecycle()
        self.lifecycle.observers.append(self._record_phase)
        self.engine = engine
        # Names of the request headers that are kept.
        self.used_headers = USED_HEADERS | frozenset(engine.names.order_headers.values())
        self.max_connections = max_connections
        self.connections: set[C] = set()
        # For connections without a complete request, with a streamed upload, and with reading paused.
        self.awaiting_request = self._create_sweeper(
            REQUEST_TIMEOUT_S, lambda connection: connection.on_request_timeout()
        )
        self.uploading = self._create_sweeper(
            REQUEST_TIMEOUT_S, lambda connection: connection.on_request_timeout()
        )
        self.paused = self._create_sweeper(
            HANGUP_CHECK_INTERVAL_S, lambda connection: connection.check_hangup()
        )
        # For those whose client does not read its answer, those between two requests, those closed on this
        # side, and those accepted late in a drain or a shutdown.
        self.write_stalled = self._create_sweeper(
            WRITE_STALL_TIMEOUT_S, lambda connection: connection.on_write_timeout()
        )
        self.idle = self._create_sweeper(IDLE_TIMEOUT_S, lambda connection: connection.close_if_idle())
        self.lingering = self._create_sweeper(
            LINGER_TIMEOUT_S, lambda connection: connection.on_linger_timeout()
        )
        self.late_connections = self._create_sweeper(
            LATE_REQUEST_TIMEOUT_S, lambda connection: connection.close_if_idle()
        )
        self.listener: Acceptor | None = None
        self.shutdown = GracefulShutdown(loop, self.lifecycle, self, on_stop)
        # Handlers of outbox queries: for the receipt of a queued write, and from edges to an upstream copy.
        # None if the outbox does not offer them. The handler answers the call later.
        self.on_receipt_query: Callable[[Call], None] | None = None
        self.on_shared_query: Callable[[Call], None] | None = None

    def _record_phase(self) -> None:
        self.engine.event_log.count(EventKind.PHASE, self.lifecycle.phase.value)

    def _create_sweeper(self, timeout_s: float, expire: Callable[[C], None]) -> DeadlineSweeper[C]:
        return DeadlineSweeper(self.loop, timeout_s, expire)

    def on_connect(self, connection: C) -> None:
        """Register a new connection, and evict another one if there are too many."""
        if self.shutdown.is_finished:
            connection.abort()  # its request would run, but not be answered
            return
        self.connections.add(connection)
        is_late = self.listener is None or self.lifecycle.has_short_request_timeout(self.loop.time())
        (self.late_connections if is_late else self.awaiting_request).add(connection)
        if len(self.connections) > self.max_connections:
            self._evict_one()

    def _evict_one(self) -> None:
        """Close a connection to keep within the limit on descriptors.

        A connection whose answer is not fully written is never chosen, as the rest of the answer would be
        lost. One with an unread request is chosen only if there is no other.
        """
        candidates: list[tuple[DeadlineSweeper[C], C]] = []
        for kind in eviction_order(len(self.awaiting_request.waiting_since), self.max_connections):
            sweeper = (
                self.lingering if kind == CLOSING else self.idle if kind == IDLE else self.awaiting_request
            )
            written = (connection for connection in sweeper.waiting_since if connection.has_written())
            candidates += [
                (sweeper, connection) for connection in itertools.islice(written, EVICTION_CANDIDATES)
            ]
        for sweeper, connection in candidates:
            if connection.is_closing or not connection.has_unread():
                self._evict(sweeper, connection)
                return
        if candidates:
            self._evict(*candidates[0])

    def _evict(self, sweeper: DeadlineSweeper[C], connection: C) -> None:
        sweeper.discard(connection)
        connection.evict()
        self.connections.discard(connection)  # its descriptor is freed in this event loop iteration

    def reserve_head(self, connection: C) -> None:
        """Reserve buffer budget for an incomplete head; while there is none, refuse the oldest incomplete
        head.

        Guards memory against many incomplete heads. No part of them was forwarded, so they are refused.
        """
        while not connection.reserve(connection.head_bytes()):
            partial_heads = (
                candidate
                for candidate in self.awaiting_request.waiting_since
                if candidate.reserved_bytes > 0 and candidate.parsed is None
            )
            oldest = next(partial_heads, connection)
            oldest.reject(BadRequestError(503, "too much is half-written"))
            if oldest is connection:
                return

    def on_closing(self, connection: C) -> None:
        """This side of a connection is closed: wait for the client to close its side."""
        for sweeper in (self.awaiting_request, self.uploading, self.paused, self.idle, self.late_connections):
            sweeper.discard(connection)
        self.lingering.add(connection)

    def on_disconnect(self, connection: C) -> None:
        """A connection is closed: remove it everywhere, and finish a shutdown if it was the last one."""
        self.connections.discard(connection)
        for sweeper in (
            *(self.awaiting_request, self.uploading, self.paused, self.write_stalled),
            *(self.idle, self.lingering, self.late_connections),
        ):
            sweeper.discard(connection)
        self.shutdown.finish_if_done()
