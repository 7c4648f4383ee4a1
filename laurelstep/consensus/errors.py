"""Errors of the replicated log, each with its cause and the remedy for an operator."""

from __future__ import annotations

from typing import ClassVar

from laurelstep.errors import LaurelstepError

__all__ = [
    "BusyError",
    "ConsensusError",
    "EntryError",
    "LinkError",
    "NotLeaderError",
    "StoreFaultError",
    "StoredStateError",
]


class ConsensusError(LaurelstepError):
    """Base class of the errors of the replicated log."""

    cause: ClassVar[str] = "an operation on the replicated state of the tier failed"
    remedy: ClassVar[str] = "read the message; check that a majority of the voters is up and connected"


class NotLeaderError(ConsensusError):
    """A proposal reached a replica that is not the leader.

    `leader_id` is the peer number of the leader, None if unknown.
    """

    cause: ClassVar[str] = "this process is not the leader, so it can't append an entry"
    remedy: ClassVar[str] = (
        "send the request to the leader; if there is none, bring a majority of the voters back up"
    )

    def __init__(self, leader_id: int | None) -> None:
        super().__init__("no leader is known" if leader_id is None else f"peer {leader_id} is the leader")
        self.leader_id = leader_id


class BusyError(ConsensusError):
    """Too many proposals or steps are pending."""

    cause: ClassVar[str] = "the maximum number of proposals or steps is pending"
    remedy: ClassVar[str] = "retry in a second; if it persists, check that a majority of the voters is up"


class EntryError(ConsensusError, ValueError):
    """An entry or a leader message exceeds its limits, such as the size that fits into one datagram."""

    cause: ClassVar[str] = "an entry or message does not fit into one datagram"
    remedy: ClassVar[str] = "name fewer items, or select them by zone, cell or kind"


class LinkError(ConsensusError, ValueError):
    """A datagram is too long, or its destination is not a configured peer."""

    cause: ClassVar[str] = (
        "a datagram is longer than 256 bytes, or its destination is not in the list of peers"
    )
    remedy: ClassVar[str] = "check that `peers` lists every process of the tier, in the same order everywhere"


class StoredStateError(ConsensusError):
    """The records of a durable store can't be read, or belong to another replica or list of peers."""

    cause: ClassVar[str] = "the stored state can't be read, or belongs to another list of peers"
    remedy: ClassVar[str] = "move the folder in `store_path` away; the process rejoins with an empty state"


class StoreFaultError(ConsensusError):
    """The disk under a durable store fails, perhaps temporarily.

    The store object can't be used any longer, but opening the store again may succeed.
    """

    cause: ClassVar[str] = "the disk under the store of the replicated state fails, perhaps temporarily"
    remedy: ClassVar[str] = "repair the disk; the process rejoins automatically"
