"""Errors of the replicated log, each with its cause and what an operator can do."""

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
    """Any fault of the replicated log."""

    cause: ClassVar[str] = "an operation on the state that a tier replicates could not be done"
    remedy: ClassVar[str] = "read the message; see that a majority of the voters is up and reaches each other"


class NotLeaderError(ConsensusError):
    """A proposal reached a replica that does not lead. `leader_id` is the leader's number, if known."""

    cause: ClassVar[str] = "this process does not lead, so it can't append an entry"
    remedy: ClassVar[str] = "ask the leader; where there is none, bring a majority of the voters back"

    def __init__(self, leader_id: int | None) -> None:
        super().__init__("no process leads" if leader_id is None else f"peer {leader_id} leads")
        self.leader_id = leader_id


class BusyError(ConsensusError):
    """Too many proposals or steps are pending."""

    cause: ClassVar[str] = "as many proposals as are allowed are pending"
    remedy: ClassVar[str] = "retry in a second; if it persists, see that a majority of the voters is up"


class EntryError(ConsensusError, ValueError):
    """An entry or a leader message exceeds its bounds, as what one datagram carries."""

    cause: ClassVar[str] = "an entry is longer than one datagram carries"
    remedy: ClassVar[str] = "name fewer things, or name them by zone, cell or kind"


class LinkError(ConsensusError, ValueError):
    """A datagram is too long, or its destination is no listed peer."""

    cause: ClassVar[str] = "a datagram over 256 bytes, or to a peer that is not in the list"
    remedy: ClassVar[str] = "see that `peers` lists every process of the tier, in the same order everywhere"


class StoredStateError(ConsensusError):
    """The records of a durable store can't be read."""

    cause: ClassVar[str] = "the stored state is not readable, or belongs to another list of peers"
    remedy: ClassVar[str] = "move the folder in `store_path` away; the process rejoins with an empty state"


class StoreFaultError(ConsensusError):
    """The disk under a durable store fails, for now: this store is of no more use, one opened anew may be."""

    cause: ClassVar[str] = "the disk under what a process keeps for the tier fails for now"
    remedy: ClassVar[str] = "see to the disk; the process takes part again by itself"
