"""Attempts at endpoints: which connection carries each.

It opens, reuses and drops connections; each attempt has one outcome, told by its connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from laurelstep.balancing.events import NO_CONNECT, NOT_SENT
from laurelstep.engine.call import Attempt
from laurelstep.engine.endpoint_table import split_address
from laurelstep.net.connection_pool import ConnectionPool
from laurelstep.net.endpoint_connection import EndpointConnection
from laurelstep.net.endpoint_state import SETTLE_US, EndpointState


class Upstream(EndpointState[EndpointConnection]):
    """All pools and open connections of this sidecar."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        now: Callable[[], int],
        idle_us: int,
        connect_us: int,
        max_connections: int,
        memory_mb: int = 0,
    ) -> None:
        super().__init__(loop, now, idle_us, connect_us, max_connections, memory_mb)
        self.pools: dict[int, ConnectionPool[EndpointConnection]] = {}  # of those that were sent something

    @property
    def idle_us(self) -> int:
        """For how long an idle connection is kept, us."""
        return int(self.idle_connections.timeout_s * 1e6)

    def set_address(self, endpoint: int, address: str) -> None:
        """A new process or address: what was open to the old one is of no use."""
        self.remove(endpoint)
        self.addresses[endpoint] = address

    def remove(self, endpoint: int) -> None:
        """The endpoint is listed no more."""
        self.addresses.pop(endpoint, None)
        if (pool := self.pools.pop(endpoint, None)) is not None:
            pool.close()

    def close_idle(self, endpoint: int) -> None:
        """Close the connections that rest at an endpoint."""
        if (pool := self.pools.get(endpoint)) is not None:
            pool.close_idle()

    def send(self, attempt: Attempt) -> None:
        """Start an attempt, on an idle connection or a new one."""
        if attempt.call.queued_write_fate is not None:
            attempt.call.queued_write_fate = b""  # of the last attempt alone
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

    def _open(self, pool: ConnectionPool[EndpointConnection], attempt: Attempt) -> None:
        if (
            len(self.connections) >= self.max_connections
            and (oldest := self.idle_connections.oldest()) is not None
        ):
            oldest.close()
            self.on_disconnect(oldest)
        if len(self.connections) >= self.max_connections:
            # Guards the limit on descriptors; no fault of the endpoint.
            attempt.end(NOT_SENT)
            return
        connection = EndpointConnection(self, pool, attempt)
        self.by_attempt[attempt] = connection
        self.connections.add(connection)
        connection.open()

    def retire(self) -> None:
        """Keep no connection past its attempt: those that a sidecar on its way out
        kept at rest left no room for the one that took its callers over.
        """
        self.retiring = True
        for pool in self.pools.values():
            pool.close_idle()

    def cancel(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt: the endpoint sees its connection close."""
        connection = self.by_attempt.pop(attempt, None)
        if connection is not None and connection.attempt is attempt:
            connection.attempt = None
            connection.close()

    def close(self) -> None:
        """Close all connections; attempts end by their own time."""
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
