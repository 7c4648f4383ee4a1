"""State shared by all connections to endpoints: limits, buffer budget and timeouts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final, Generic, TypeVar

from laurelstep.engine.call import Attempt
from laurelstep.engine.event_log import EventLog, discard_line
from laurelstep.flow_control.buffer_budget import BodyBudgets
from laurelstep.net.connection_pool import PooledConnection
from laurelstep.net.deadline_sweeper import DeadlineSweeper
from laurelstep.net.read_buffer import ReadBuffer

# An idle connection is kept for this fraction of the endpoint's idle timeout: the rest guards against a
# request that crosses the endpoint's own close. It is kept for at most MAX_IDLE_S, as endpoints limit their
# connections: those that one sidecar kept after a load peak left no room for a sidecar that had just started.
IDLE_FRACTION, MAX_IDLE_S = 0.8, 6.0
# A connection idle for this long is closed if its endpoint has more idle connections than used ones plus
# MIN_IDLE. Guards another sidecar's share of the endpoint's connections: after a load peak one sidecar kept
# most of them, and one that had just started got none. The cost: if load comes in waves longer than this,
# each wave opens new connections.
SURPLUS_IDLE_S: Final = 1.0
# How often a buffered answer that is not complete is checked: see `flow_control.throughput`.
ANSWER_CHECK_INTERVAL_S: Final = 0.5
# More of an answer that is being streamed must arrive within this time. Also how often it is checked that an
# endpoint reads an upload.
STREAM_STALL_TIMEOUT_S: Final = 5.0
# For DISTRUST_US after a malformed response from any endpoint, a connection must be idle for SETTLE_US after
# an answer before it is reused, unless more than MIN_IDLE are idle there. Guards against an endpoint that
# answers twice: the second answer, some milliseconds late, cannot be distinguished from the answer to the
# next request. Not applied permanently, as it costs new connections, which an endpoint at its limit refuses.
SETTLE_US: Final = 20_000
DISTRUST_US: Final = 60_000_000
# Used where the settings name no time.
DEFAULT_IDLE_US, DEFAULT_CONNECT_TIMEOUT_US = 10_000_000, 1_000_000


C = TypeVar("C", bound=PooledConnection)


class EndpointState(Generic[C]):
    """The base of `Upstream`, which each of its connections refers to. `C` is the class of connections."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        now: Callable[[], int],
        idle_us: int,
        connect_timeout_us: int,
        max_connections: int,
        memory_mb: int = 0,
        event_log: EventLog | None = None,
    ) -> None:
        """`now` returns the engine's time in µs. `idle_us` is how long an endpoint keeps an idle connection
        and `connect_timeout_us` the limit for establishing one; 0 selects the default. `memory_mb` is the
        memory limit of the process in MiB; 0 = none is set. `event_log` None: no lines are written.
        """
        self.loop, self.now = loop, now
        self.event_log = event_log or EventLog(now, discard_line)
        self.budgets = BodyBudgets(memory_mb)
        self.answer_budget = self.budgets.answers
        self.read_buffer = ReadBuffer(self.answer_budget)
        self.max_connections = max_connections
        self.addresses: dict[int, str] = {}
        self.is_retiring = False
        self.distrust_until = 0
        self.connections: set[C] = set()
        self.connections_by_attempt: dict[Attempt, C] = {}
        self.all_closed: asyncio.Event | None = None
        idle_s = min(MAX_IDLE_S, IDLE_FRACTION * (idle_us or DEFAULT_IDLE_US) / 1e6)
        connect_timeout_s = (connect_timeout_us or DEFAULT_CONNECT_TIMEOUT_US) / 1e6
        self.connecting = self._create_sweeper(
            connect_timeout_s, lambda connection: connection.on_connect_timeout()
        )
        self.idle_connections = self._create_sweeper(idle_s, lambda connection: connection.close())
        self.surplus_connections = self._create_sweeper(
            SURPLUS_IDLE_S, lambda connection: connection.close_surplus()
        )
        # For a buffered answer that is incomplete, a streamed answer, and a request that is not being read.
        self.receiving = self._create_sweeper(
            ANSWER_CHECK_INTERVAL_S, lambda connection: connection.on_response_check()
        )
        self.streaming = self._create_sweeper(
            STREAM_STALL_TIMEOUT_S, lambda connection: connection.on_stream_timeout()
        )
        self.write_stalled = self._create_sweeper(
            STREAM_STALL_TIMEOUT_S, lambda connection: connection.on_write_timeout()
        )
        self.sweepers = (
            *(self.connecting, self.idle_connections, self.surplus_connections),
            *(self.receiving, self.streaming, self.write_stalled),
        )

    def _create_sweeper(self, timeout_s: float, expire: Callable[[C], None]) -> DeadlineSweeper[C]:
        return DeadlineSweeper(self.loop, timeout_s, expire)

    def on_malformed_response(self) -> None:
        """An endpoint sent bytes that are not a valid answer."""
        self.distrust_until = self.now() + DISTRUST_US

    def on_disconnect(self, connection: C) -> None:
        """A connection is closed or being closed: stop its timeouts. May be called again."""
        self.connections.discard(connection)
        if not self.connections and self.all_closed is not None:
            self.all_closed.set()
        for sweeper in self.sweepers:
            sweeper.discard(connection)
        if connection in connection.pool.idle:
            connection.pool.idle.remove(connection)
