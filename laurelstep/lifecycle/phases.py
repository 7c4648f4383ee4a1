"""The phases of a daemon, and what each means for its callers. Time is passed in, in s.

Rules that everything here serves:

1. Phases change as `MOVES` says and in no other way; what is asked twice changes nothing.
2. A stop is final, and wins over a drain.
3. Ready is said while serving, and at no other time: those who send callers here ask that.
4. Only while serving does a connection outlive the answer on it.
5. In a drain nothing that comes is turned away before `DRAIN_S`: those who send callers
   hear of it late. From then on no half-sent request is waited for.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import Final


class Phase(StrEnum):
    """Where a daemon stands between its start and its end."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"  # by a call: callers are sent away, the process stays
    DRAINED = "drained"  # they have been sent away
    STOPPING = "stopping"


# What is asked of a daemon, in each phase: the phase that follows. What stands nowhere is
# refused.
MOVES: Final = {
    ("serve", Phase.STARTING): Phase.SERVING,
    ("evacuate", Phase.SERVING): Phase.DRAINING,
    ("evacuate", Phase.DRAINING): Phase.DRAINING,
    ("evacuate", Phase.DRAINED): Phase.DRAINED,
    ("evacuate", Phase.STOPPING): Phase.STOPPING,  # it leaves anyway: what was asked is so
    ("rejoin", Phase.SERVING): Phase.SERVING,
    ("rejoin", Phase.DRAINING): Phase.SERVING,
    ("rejoin", Phase.DRAINED): Phase.SERVING,
    ("drained", Phase.DRAINING): Phase.DRAINED,
    ("stop", Phase.STARTING): Phase.STOPPING,
    ("stop", Phase.SERVING): Phase.STOPPING,
    ("stop", Phase.DRAINING): Phase.STOPPING,
    ("stop", Phase.DRAINED): Phase.STOPPING,
}
# A front asks every 0.1 s and sends connections for 0.2 s more. Callers that ask again within
# this hear that their connection ends; those that rest longer are closed.
IDLE_CLOSE_DELAY_S: Final = 1.0
# What is not whole by now would still be open when all has to be gone, at 4 s.
DRAIN_S: Final = 2.0
# How long a connection that comes after its time may take to bring a request.
LATE_REQUEST_TIMEOUT_S: Final = 0.3


class Lifecycle:
    """The phase of one daemon, and who is notified of its changes: `phase` is the new one by then."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self.since = 0.0
        self.observers: list[Callable[[], None]] = []

    def _move(self, now: float, asked: str) -> bool:
        """Whether it may be asked now; it is done then."""
        phase = MOVES.get((asked, self.phase))
        if phase is None:
            return False
        if phase != self.phase:
            self.phase, self.since = phase, now
            for watcher in self.observers:
                watcher()
        return True

    def serve(self, now: float) -> bool:
        """The listener is open. Like each call here: `now` in s, True if it may be asked in this phase."""
        return self._move(now, "serve")

    def evacuate(self, now: float) -> bool:
        """Send the clients away; the process stays."""
        return self._move(now, "evacuate")

    def rejoin(self, now: float) -> bool:
        """Take clients again."""
        return self._move(now, "rejoin")

    def drained(self, now: float) -> bool:
        """The time of the drain is over."""
        return self._move(now, "drained")

    def stop(self, now: float) -> bool:
        """False if it stops already."""
        return self._move(now, "stop")

    @property
    def is_stopping(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return self.phase == Phase.STOPPING

    @property
    def is_ready(self) -> bool:
        """Whether new clients are welcome."""
        return self.phase == Phase.SERVING

    @property
    def allows_keep_alive(self) -> bool:
        """Whether a connection may stay open behind an answer."""
        return self.phase == Phase.SERVING

    def has_short_request_timeout(self, now: float) -> bool:
        """Whether a new connection has but a moment to bring its request."""
        if self.phase == Phase.DRAINING:
            return now - self.since >= IDLE_CLOSE_DELAY_S
        return self.phase == Phase.DRAINED
