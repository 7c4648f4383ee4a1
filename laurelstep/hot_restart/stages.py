"""How far a hot restart has come, as the predecessor sees it. Pure.

1. One successor takes over at a time; a second that connects meanwhile is rejected.
2. Until the successor accepts clients, nothing changes for those of the predecessor but the fraction of the
   resources that the two may use together. Should the successor exit before, the predecessor is alone again.
3. Clients are left to the successor only while it lives and has said that it accepts them: then a stop need
   not wait for late ones.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final

# Of connections and descriptors, for each of two processes.
SHARED_FRACTION: Final = 0.5


class HotRestartStage(StrEnum):
    """How far it has come."""

    ALONE = "alone"
    OFFERED = "offered"  # the successor has the listener, and is starting
    TAKEN_OVER = "taken"  # the successor accepts clients


class HotRestartEvent(StrEnum):
    """What happens at the connection of a successor."""

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
    """The stage of one process."""

    def __init__(self) -> None:
        self.stage = HotRestartStage.ALONE

    def handle(self, event: HotRestartEvent) -> bool:
        """Whether the event changed the stage; one that the table does not have is rejected."""
        stage = TRANSITIONS.get((event, self.stage))
        if stage is None:
            return False
        self.stage = stage
        return True

    @property
    def is_alone(self) -> bool:
        """Whether no successor is there."""
        return self.stage == HotRestartStage.ALONE

    @property
    def is_taken_over(self) -> bool:
        """Whether a successor accepts clients."""
        return self.stage == HotRestartStage.TAKEN_OVER

    @property
    def resource_fraction(self) -> float:
        """Of the sidecar's connections and descriptors, what this process may use; 0 to 1."""
        return 1.0 if self.is_alone else SHARED_FRACTION
