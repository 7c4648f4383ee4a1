"""The pool of idle connections to one endpoint, and the interface of a pooled connection."""

from __future__ import annotations

from typing import Any, Final, Generic, TypeVar

from laurelstep.engine.call import Attempt

# Idle connections kept for an endpoint even if none of its connections is in use.
MIN_IDLE: Final = 2


class PooledConnection:
    """The interface of a connection to an endpoint that its pool and the deadline sweepers use.

    `EndpointConnection` is the only implementation; this base class avoids an import cycle.
    """

    def __init__(self, pool: ConnectionPool[Any], attempt: Attempt) -> None:
        self.pool = pool
        self.attempt: Attempt | None = attempt  # the attempt that uses this connection
        self.idle_since = 0  # engine's clock, µs

    def is_reusable(self) -> bool:
        """Whether an idle connection can be used for a request."""
        raise NotImplementedError

    def write(self) -> None:
        """Write the attempt's request, if the attempt may still start."""
        raise NotImplementedError

    def close(self) -> None:
        """Close the connection at once; its attempt is ended by its own timeout."""
        raise NotImplementedError

    def close_surplus(self) -> None:
        """Close the connection if its endpoint has more idle connections than used ones plus `MIN_IDLE`."""
        raise NotImplementedError

    def on_connect_timeout(self) -> None:
        """The connection was not established within the connect timeout."""
        raise NotImplementedError

    def on_write_timeout(self) -> None:
        """The endpoint has not read all of its upload in time."""
        raise NotImplementedError

    def on_response_check(self) -> None:
        """An answer has begun and is not complete: decide whether it is still waited for."""
        raise NotImplementedError

    def on_stream_timeout(self) -> None:
        """Nothing of an answer that is being streamed has arrived in time."""
        raise NotImplementedError


C = TypeVar("C", bound=PooledConnection)


class ConnectionPool(Generic[C]):
    """The idle connections to one process at one address, ordered by last use, latest last."""

    __slots__ = ("host", "idle", "is_closed", "port")

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.idle: list[C] = []
        self.is_closed = False

    def acquire(self, now: int, settle_us: int) -> C | None:
        """Take the most recently used connection that has been idle for at least `settle_us` µs.

        If none has, take the one idle longest, provided that more than `MIN_IDLE` are idle; else None.
        """
        for index in range(len(self.idle) - 1, -1, -1):
            if now - self.idle[index].idle_since >= settle_us:
                return self.idle.pop(index)
        return self.idle.pop(0) if len(self.idle) > MIN_IDLE else None

    def close_idle(self) -> None:
        """Close the idle connections; those in use stay open."""
        connections, self.idle = self.idle, []
        for connection in connections:
            connection.close()

    def close(self) -> None:
        """Close the pool: the endpoint was removed from the list, or replaced by another process."""
        self.is_closed = True
        self.close_idle()
