"""What is known of other edges' writes where nothing is shared, and how others hear of ours. Pure."""

from __future__ import annotations

from typing import Protocol, runtime_checkable

from laurelstep.outbox.dependencies import Dependency, WriteStatus
from laurelstep.outbox.write_ids import EdgeLog, WriteId

__all__ = ["LocalVersionVector", "StatusPublisher"]


@runtime_checkable
class StatusPublisher(Protocol):
    """A `VersionVector` through which others hear of this process's writes. It may hear the same again."""

    def publish(self, write_id: WriteId, write_status: WriteStatus) -> bool:
        """What became of an own write. `APPLIED`, `ABANDONED`: over, with all that it follows. `UNKNOWN`:
        parked no more. False if there is no room: it is told again later."""

    def publish_low_watermark(self, edge_log: EdgeLog, number: int) -> bool:
        """All of an own log up to a number are over. Those given up were told before."""

    def is_unpublished(self, write_id: WriteId) -> bool:
        """What was told of an own write is not known to the others yet."""


class LocalVersionVector:
    """The version vector of an edge that hears of no other: it replays its own logs."""

    def __init__(self, edge: str) -> None:
        self.edge = edge

    def write_status(self, dependency: Dependency) -> WriteStatus:
        """Nothing is known of any other write."""
        return WriteStatus.UNKNOWN

    def holds(self, edge_log: EdgeLog) -> bool:
        """The logs of this edge."""
        return edge_log.edge == self.edge
