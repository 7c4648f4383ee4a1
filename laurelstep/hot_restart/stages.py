"""The stage of a hot restart, as the predecessor sees it. Pure.

1. One successor takes over at a time; a second that connects meanwhile is rejected.
2. Until the successor accepts clients, the only change for the predecessor's clients is the fraction of the
   resources that it may use. If the successor exits before, the predecessor is alone again.
3. Clients are left to the successor only while it runs and has reported that it accepts them: then a stop
   need not wait for late ones.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final

# Of connections and descriptors, for each of the two processes.
SHARED_FRACTION: Final = 0.5


class HotRestartStage(StrEnum):
    """How far a hot restart has progressed."""

    ALONE = "alone"
    OFFERED = "offered"  # the successor has the listener, and is starting
    TAKEN_OVER = "taken"  # the successor accepts clients


class HotRestartEvent(StrEnum):
    """An event at the connection of a successor."""

    HELLO = "ask"
    READY = "ready"
    DISCONNECTED = "lost"


TRANSITIONS: Final = {
    (HotRestartEvent.HELLO, HotRestartStage.ALONE): HotRestartStage.OFFERED,
    (HotRestartEvent.READY, HotRestartStage.OFFERED): HotRestartStage.TAKEN_OVER,
    (HotRestartEvent.DISCONNECTED, HotRestartStage.OFFERED): HotRestartStage.ALONE,
    (HotRestartEvent.DISCONNECTED, HotRestartStage.TAKEN_OVER): HotRestartStage.ALONE,
}


class HotRestartProgress:
    """The stage of one process's hot restart."""

    def __init__(self) -> None:
        self.stage = HotRestartStage.ALONE

    def handle(self, event: HotRestartEvent) -> bool:
        """Return whether the event changed the stage; one that `TRANSITIONS` lacks for it changes nothing."""
        stage = TRANSITIONS.get((event, self.stage))
        if stage is None:
            return False
        self.stage = stage
        return True

    @property
    def is_alone(self) -> bool:
        """Whether there is no successor."""
        return self.stage == HotRestartStage.ALONE

    @property
    def is_taken_over(self) -> bool:
        """Whether a successor accepts clients."""
        return self.stage == HotRestartStage.TAKEN_OVER

    @property
    def resource_fraction(self) -> float:
        """The part of the sidecar's connections and descriptors that this process may use; 0 to 1."""
        return 1.0 if self.is_alone else SHARED_FRACTION
