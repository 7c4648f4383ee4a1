"""What all connections to endpoints share: limits, budgets, and the deadlines of what they wait for."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final, Generic, TypeVar

from laurelstep.engine.call import Attempt
from laurelstep.flow_control.buffer_budget import ANSWERS_SHARE, BufferBudget, budget_bytes
from laurelstep.net.connection_pool import PooledConnection
from laurelstep.net.deadline_sweeper import DeadlineSweeper

# Part of an endpoint's idle time for which a connection is kept: the rest guards
# against a request that crosses the endpoint's own close. No longer than MAX_IDLE_S:
# endpoints hold only so many, and what one sidecar kept from a rush was missing to
# another that started anew and found every table full.
IDLE_PART, MAX_IDLE_S = 0.8, 6.0
# A connection that rested this long is given up if more rest at its endpoint than are in
# use, and MIN_IDLE. Guards another sidecar's share of the places there: after a rush one kept
# most of them, and one that had just started found none. Does harm where load comes in
# waves longer than this: each pays for new connections.
SURPLUS_S: Final = 1.0
# Of an answer that has begun something more must come within this: guards against one that
# never ends, which would cost the request all the time that its client has.
ANSWER_S: Final = 0.5
# The same once it is streamed, and for an endpoint that does not read: nothing can be tried
# again then, so the connection has longer.
STALL_S: Final = 5.0
# For DISTRUST_US after something spoilt came from any endpoint, a connection rests for SETTLE_US behind
# an answer before it carries another request, unless MIN_IDLE others rest there: guards against an
# endpoint that answers twice, the second time some milliseconds late, and so answers the next
# request: nothing tells those two apart. Not always: it costs new connections, and an endpoint
# that holds no more turns them away.
SETTLE_US: Final = 20_000
DISTRUST_US: Final = 60_000_000
# Where the settings name none.
IDLE_DEFAULT_US, CONNECT_DEFAULT_US = 10_000_000, 1_000_000


C = TypeVar("C", bound=PooledConnection)


class EndpointState(Generic[C]):
    """Held by `Upstream`, and known to each of its connections, which are all of one class."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        now: Callable[[], int],
        idle_us: int,
        connect_us: int,
        max_connections: int,
        memory_mb: int = 0,
    ) -> None:
        """`now` is the engine's clock, in us. For `idle_us` an endpoint keeps an idle connection; 0 where
        the settings do not say, as for `connect_us`.
        """
        self.loop, self.now = loop, now
        self.answer_budget = BufferBudget(budget_bytes(memory_mb, ANSWERS_SHARE))
        self.max_connections = max_connections
        self.addresses: dict[int, str] = {}
        self.retiring = False
        self.distrust_until = 0
        self.connections: set[C] = set()
        self.by_attempt: dict[Attempt, C] = {}
        self.emptied: asyncio.Event | None = None
        idle_s = min(MAX_IDLE_S, IDLE_PART * (idle_us or IDLE_DEFAULT_US) / 1e6)
        connect_s = (connect_us or CONNECT_DEFAULT_US) / 1e6
        self.connecting = self._sweeper(connect_s, lambda one: one.on_connect_timeout())
        self.idle_connections = self._sweeper(idle_s, lambda one: one.close())
        self.surplus_connections = self._sweeper(SURPLUS_S, lambda one: one.close_surplus())
        # An answer has begun, and is not complete; the same, being streamed; a request is not read.
        self.receiving = self._sweeper(ANSWER_S, lambda one: one.on_response_timeout())
        self.streaming = self._sweeper(STALL_S, lambda one: one.close())
        self.write_stalled = self._sweeper(STALL_S, lambda one: one.close())
        self.sweeps = (
            *(self.connecting, self.idle_connections, self.surplus_connections),
            *(self.receiving, self.streaming, self.write_stalled),
        )

    def _sweeper(self, seconds: float, expire: Callable[[C], None]) -> DeadlineSweeper[C]:
        return DeadlineSweeper(self.loop, seconds, expire)

    def on_malformed_response(self) -> None:
        """Something came that is no answer of this protocol."""
        self.distrust_until = self.now() + DISTRUST_US

    def on_disconnect(self, connection: C) -> None:
        """It is closed, or about to be: nothing waits for it any more. May be called again."""
        self.connections.discard(connection)
        if not self.connections and self.emptied is not None:
            self.emptied.set()
        for sweep in self.sweeps:
            sweep.discard(connection)
        if connection in connection.pool.idle:
            connection.pool.idle.remove(connection)
