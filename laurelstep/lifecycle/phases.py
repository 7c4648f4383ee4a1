"""The phases of a daemon, and what each means for its clients. Times are passed in, in s.

Rules of this module:

1. Phases change only as `TRANSITIONS` says; a repeated event changes nothing.
2. A stop is final, and takes precedence over a drain.
3. The daemon reports itself ready only while serving. The load balancer in front of it polls that.
4. Only while serving is a client's connection kept open after an answer.
5. In a drain no new request is refused before `DRAIN_S`, because the load balancer in front of the daemon
   notices the drain late. From then on the daemon does not wait for requests that are received only in part.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import Final


class Phase(StrEnum):
    """The phases of a daemon between its start and its end."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"  # by a management call: connections are closed, the process keeps running
    DRAINED = "drained"  # the drain has ended, the process keeps running
    STOPPING = "stopping"


# The next phase, by event and current phase. An event that is not listed for a phase is refused.
TRANSITIONS: Final = {
    ("serve", Phase.STARTING): Phase.SERVING,
    ("evacuate", Phase.SERVING): Phase.DRAINING,
    ("evacuate", Phase.DRAINING): Phase.DRAINING,
    ("evacuate", Phase.DRAINED): Phase.DRAINED,
    ("evacuate", Phase.STOPPING): Phase.STOPPING,  # a stop closes the connections as well
    ("rejoin", Phase.SERVING): Phase.SERVING,
    ("rejoin", Phase.DRAINING): Phase.SERVING,
    ("rejoin", Phase.DRAINED): Phase.SERVING,
    ("drained", Phase.DRAINING): Phase.DRAINED,
    ("stop", Phase.STARTING): Phase.STOPPING,
    ("stop", Phase.SERVING): Phase.STOPPING,
    ("stop", Phase.DRAINING): Phase.STOPPING,
    ("stop", Phase.DRAINED): Phase.STOPPING,
}
# How long after the start of a drain idle connections are closed. A load balancer polls readiness every 0.1 s
# and still sends connections for 0.2 s after that. Clients that send a request within this time are told in
# the answer that their connection closes.
IDLE_CLOSE_DELAY_S: Final = 1.0
# How long a drain waits for requests that are received only in part. One that is incomplete by then would
# still be open at 4 s, when all connections have to be closed.
DRAIN_S: Final = 2.0
# How long a connection that is accepted late in a drain, or after it, may take to send a request.
LATE_REQUEST_TIMEOUT_S: Final = 0.3


class Lifecycle:
    """The phase of one daemon. `since`: when it began, s. `observers` are called after each change."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self.since = 0.0
        self.observers: list[Callable[[], None]] = []

    def _transition(self, now: float, event: str) -> bool:
        """Apply an event; False if it is refused in the current phase."""
        phase = TRANSITIONS.get((event, self.phase))
        if phase is None:
            return False
        if phase != self.phase:
            self.phase, self.since = phase, now
            for observer in self.observers:
                observer()
        return True

    def serve(self, now: float) -> bool:
        """The listener is open. As for each event: `now` in s; False if it is refused in this phase."""
        return self._transition(now, "serve")

    def evacuate(self, now: float) -> bool:
        """Start a drain: close the clients' connections, and keep the process running."""
        return self._transition(now, "evacuate")

    def rejoin(self, now: float) -> bool:
        """End a drain: accept clients again."""
        return self._transition(now, "rejoin")

    def drained(self, now: float) -> bool:
        """The drain has ended."""
        return self._transition(now, "drained")

    def stop(self, now: float) -> bool:
        """Start a graceful shutdown. False if one has begun already."""
        return self._transition(now, "stop")

    @property
    def is_stopping(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return self.phase == Phase.STOPPING

    @property
    def is_ready(self) -> bool:
        """Whether new clients are accepted, as reported to the load balancer in front."""
        return self.phase == Phase.SERVING

    @property
    def allows_keep_alive(self) -> bool:
        """Whether a client's connection may stay open after an answer."""
        return self.phase == Phase.SERVING

    def has_short_request_timeout(self, now: float) -> bool:
        """Whether a new connection has only `LATE_REQUEST_TIMEOUT_S` to send its request."""
        if self.phase == Phase.DRAINING:
            return now - self.since >= IDLE_CLOSE_DELAY_S
        return self.phase == Phase.DRAINED
