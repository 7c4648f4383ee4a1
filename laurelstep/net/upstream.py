"""Assigns a connection to each attempt: opens, reuses and closes connections to endpoints.

Each attempt has exactly one outcome, which its connection reports.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from laurelstep.balancing.events import NO_CONNECT, NOT_SENT
from laurelstep.engine.call import Attempt
from laurelstep.engine.endpoint_table import split_address
from laurelstep.engine.event_log import EventLog
from laurelstep.net.connection_pool import ConnectionPool
from laurelstep.net.endpoint_connection import EndpointConnection
from laurelstep.net.endpoint_state import SETTLE_US, EndpointState


class Upstream(EndpointState[EndpointConnection]):
    """All connection pools and open endpoint connections of this sidecar."""

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
        super().__init__(loop, now, idle_us, connect_timeout_us, max_connections, memory_mb, event_log)
        self.pools: dict[
            int, ConnectionPool[EndpointConnection]
        ] = {}  # only of endpoints that were sent a request

    @property
    def idle_us(self) -> int:
        """How long an idle connection is kept, in µs."""
        return int(self.idle_connections.timeout_s * 1e6)

    def set_address(self, endpoint: int, address: str) -> None:
        """Set an endpoint's address, and close idle connections to the previous one.

        Called for each new process and each new address of an endpoint.
        """
        self.remove(endpoint)
        self.addresses[endpoint] = address

    def remove(self, endpoint: int) -> None:
        """Forget an endpoint that is no longer listed, and close its idle connections."""
        self.addresses.pop(endpoint, None)
        if (pool := self.pools.pop(endpoint, None)) is not None:
            pool.close()

    def close_idle(self, endpoint: int) -> None:
        """Close the idle connections to an endpoint."""
        if (pool := self.pools.get(endpoint)) is not None:
            pool.close_idle()

    def send(self, attempt: Attempt) -> None:
        """Start an attempt on an idle connection or a new one."""
        if attempt.call.queued_write_fate is not None:
            attempt.call.queued_write_fate = b""  # describes only the latest attempt
        pool = self.pools.get(attempt.endpoint)
        if pool is None:
            address = self.addresses.get(attempt.endpoint)
            if address is None:
                attempt.end(NO_CONNECT)
                return
            # Created on first use: in a large fleet most endpoints are never chosen.
            pool = self.pools[attempt.endpoint] = ConnectionPool(*split_address(address))
        now = self.now()
        settle_us = SETTLE_US if now < self.distrust_until else 0
        while (connection := pool.acquire(now, settle_us)) is not None:
            self.idle_connections.discard(connection)
            self.surplus_connections.discard(connection)
            if connection.is_reusable():
                connection.attempt = attempt
                self.connections_by_attempt[attempt] = connection
                connection.write()
                return
            connection.close()
        self._open(pool, attempt)

    def _open(self, pool: ConnectionPool[EndpointConnection], attempt: Attempt) -> None:
        if (
            len(self.connections) >= self.max_connections
            and (oldest := self.idle_connections.oldest()) is not None
        ):
            oldest.close()
            self.on_disconnect(oldest)
        if len(self.connections) >= self.max_connections:
            # Keeps within the limit on descriptors; not a failure of the endpoint.
            attempt.end(NOT_SENT)
            return
        connection = EndpointConnection(self, pool, attempt)
        self.connections_by_attempt[attempt] = connection
        self.connections.add(connection)
        connection.open()

    def retire(self) -> None:
        """Close every connection after its attempt. Idle connections kept by a stopping sidecar left no room
        at the endpoints for the sidecar that took over its clients.
        """
        self.is_retiring = True
        for pool in self.pools.values():
            pool.close_idle()

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt by closing its connection."""
        connection = self.connections_by_attempt.pop(attempt, None)
        if connection is not None and connection.attempt is attempt:
            connection.attempt = None
            connection.close()

    def close(self) -> None:
        """Close all connections. Their attempts are ended by their own timeouts."""
        self.is_retiring = True
        for connection in list(self.connections):
            connection.close()
        for sweeper in self.sweepers:
            sweeper.close()

    async def wait_closed(self) -> None:
        """Wait, after `close`, until no connection is left."""
        if self.connections:
            self.all_closed = self.all_closed or asyncio.Event()
            await self.all_closed.wait()
