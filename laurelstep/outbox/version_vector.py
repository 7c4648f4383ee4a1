"""The statuses of other edges' writes, and how other processes learn the statuses of ours. Pure."""

from __future__ import annotations

from enum import IntEnum
from typing import Protocol, runtime_checkable

from laurelstep.outbox.dependencies import Dependency
from laurelstep.outbox.write_ids import EdgeLog, WriteId

__all__ = ["LocalVersionVector", "StatusPublisher", "VersionVector", "WriteStatus"]


class WriteStatus(IntEnum):
    """What is known of a write in a log that is not this edge's own."""

    UNKNOWN = 0
    APPLIED = 1  # it has taken effect upstream
    PARKED = 2  # it waits for an operator, at its edge
    ABANDONED = 3  # given up, or lost with its edge


class VersionVector(Protocol):
    """What is known of other logs, and which logs this process may replay.

    `LocalVersionVector` knows nothing of other edges. An implementation that processes share calls
    `Outbox.on_remote_change` when it has learned something.
    """

    def write_status(self, dependency: Dependency) -> WriteStatus:
        """The status of a write of another log."""

    def holds(self, edge_log: EdgeLog) -> bool:
        """Whether this process, and no other with a copy of its disk, may send writes of this log."""


@runtime_checkable
class StatusPublisher(Protocol):
    """A `VersionVector` that publishes the statuses of this process's writes. Repeats are harmless."""

    def publish(self, write_id: WriteId, write_status: WriteStatus) -> bool:
        """Publish the status of an own write. `APPLIED` and `ABANDONED`: the write and all its dependencies
        are final. `UNKNOWN`: it is no longer parked. False if there is no room; the caller tries again later.
        """

    def publish_low_watermark(self, edge_log: EdgeLog, number: int) -> bool:
        """Publish that an own log is final up to `number`. Abandoned writes have been published before."""

    def is_unpublished(self, write_id: WriteId) -> bool:
        """Whether the published status of an own write has not reached the other processes yet."""


class LocalVersionVector:
    """The version vector of an edge that exchanges nothing with others. It replays its own logs."""

    def __init__(self, edge: str) -> None:
        self.edge = edge

    def write_status(self, dependency: Dependency) -> WriteStatus:
        """Always UNKNOWN: nothing is known of other edges' writes."""
        return WriteStatus.UNKNOWN

    def holds(self, edge_log: EdgeLog) -> bool:
        """Whether the log is one of this edge's."""
        return edge_log.edge == self.edge
