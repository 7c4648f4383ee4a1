"""What is known of other edges' writes where nothing is shared, and how others hear of ours. Pure."""

from __future__ import annotations

from enum import IntEnum
from typing import Protocol, runtime_checkable

from laurelstep.outbox.dependencies import Dependency
from laurelstep.outbox.write_ids import EdgeLog, WriteId

__all__ = ["LocalVersionVector", "StatusPublisher", "VersionVector", "WriteStatus"]


class WriteStatus(IntEnum):
    """What is known of a write that is not of this edge's own logs."""

    UNKNOWN = 0
    APPLIED = 1  # its effect is upstream
    PARKED = 2  # it waits for an operator at its edge
    ABANDONED = 3  # given up, or lost with its edge


class VersionVector(Protocol):
    """What is known of other logs, and which logs this process may replay.

    The local one knows what was told to it at this edge. One that copies share stands behind the same two
    questions; it tells `Outbox.heard` when it has learned something.
    """

    def write_status(self, dependency: Dependency) -> WriteStatus:
        """What is known of a write of another log."""

    def holds(self, edge_log: EdgeLog) -> bool:
        """This process, and no other with a copy of its disk, may send writes of this log."""


@runtime_checkable
class StatusPublisher(Protocol):
    """A `VersionVector` through which others hear of this process's writes. It may hear the same again."""

    def publish(self, write_id: WriteId, write_status: WriteStatus) -> bool:
        """What became of an own write. `APPLIED`, `ABANDONED`: over, with all that it follows. `UNKNOWN`:
        parked no more. False if there is no room: it is told again later.
        """

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
