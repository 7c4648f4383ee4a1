"""The idle connections to one endpoint, and what a pool and the sweepers know of a connection."""

from __future__ import annotations

from typing import Any, Final, Generic, TypeVar

from laurelstep.engine.call import Attempt

# So many idle connections of an endpoint are kept though nothing is in use there.
MIN_IDLE: Final = 2


class PooledConnection:
    """A connection to an endpoint, as its pool and the sweepers know it. `EndpointConnection` is the
    only one there is; it stands apart so that neither module needs the other.
    """

    def __init__(self, pool: ConnectionPool[Any], attempt: Attempt) -> None:
        self.pool = pool
        self.attempt: Attempt | None = attempt  # what it carries
        self.idle_since = 0  # on the engine's clock, us

    def is_reusable(self) -> bool:
        """Whether an idle connection may carry a request."""
        raise NotImplementedError

    def write(self) -> None:
        """Write the request of its attempt, if that may still start."""
        raise NotImplementedError

    def close(self) -> None:
        """Close it at once; its attempt ends by its own time."""
        raise NotImplementedError

    def close_surplus(self) -> None:
        """Close it, if more rest at its endpoint than are in use there, and `MIN_IDLE`."""
        raise NotImplementedError

    def on_connect_timeout(self) -> None:
        """It did not come up in time."""
        raise NotImplementedError

    def on_response_timeout(self) -> None:
        """Nothing complete came of an answer for a while."""
        raise NotImplementedError


C = TypeVar("C", bound=PooledConnection)


class ConnectionPool(Generic[C]):
    """The idle connections to one process at one address, the last used last."""

    __slots__ = ("closed", "host", "idle", "port")

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.idle: list[C] = []
        self.closed = False

    def acquire(self, now: int, settle_us: int) -> C | None:
        """The last used of those that were idle for so long, in us; None if there is none."""
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
        """The endpoint is listed no more, or another process is in its place."""
        self.closed = True
        self.close_idle()
