"""What an edge and a copy upstream say to each other of queued writes. Pure.

1. What goes between them is sealed with the edges' common secret (`MessageSeal`): it can't be made up, and
   a seal of one use is of no use for another.
2. A life is the incarnation of one opening of an outbox's store. A log is held by one life at a time; at
   first by the life of its own incarnation.
3. Everything that is said may come twice, late, or not at all, and means the same.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Final, Protocol

import msgspec

from laurelstep.outbox.dependencies import Dependency
from laurelstep.outbox.version_vector import WriteStatus
from laurelstep.outbox.write_ids import EdgeLog, WriteId

__all__ = [
    "FATE_HEADER",
    "KEPT_HEADER",
    "QUERIED_MOST",
    "SHARED_PATH",
    "IntentStatus",
    "LeaseRequest",
    "LeaseStatus",
    "QueryReply",
    "ReplayIdentity",
    "ReplayQuery",
    "StatusUpdate",
    "VersionVectors",
]

# On a replay: a sealed `ReplayIdentity`. On an answer to one: "in", "begun" or "fenced".
KEPT_HEADER: Final = b"x-kept-write"
FATE_HEADER: Final = b"x-kept-fate"
# An edge asks with GET of this and a sealed `ReplayQuery`, at the callers' address.
SHARED_PATH: Final = b"/outbox/shared/"
# Of fates asked, told and claims in one ask, each: the sealed ask must fit in a request line.
QUERIED_MOST: Final = 16


class ReplayIdentity(msgspec.Struct, array_like=True, frozen=True):
    """A queued write on its way upstream."""

    write_id: WriteId
    incarnation: int
    unsafe: bool


class LeaseRequest(msgspec.Struct, array_like=True, frozen=True):
    """A life wants to replay a log: the holders that its disk has known, itself not among them.
    `force`: an operator says that this disk is the right one.
    """

    edge_log: EdgeLog
    incarnation: int
    known_holders: tuple[int, ...]
    is_forced: bool = False


class StatusUpdate(msgspec.Struct, array_like=True, frozen=True):
    """What the holder of a log says of one write, or with `before` of all up to it.

    `UNKNOWN`: it waits at its edge (parked no more). `APPLIED`, `ABANDONED`: final. `withdraw_intent`: an
    operator said that it never ran, of this `parking` of it: one that comes late says nothing of what
    began since.
    """

    write_id: WriteId
    write_status: WriteStatus
    incarnation: int
    before: bool = False
    withdraw_intent: bool = False
    parking: int = 0


class ReplayQuery(msgspec.Struct, array_like=True, frozen=True):
    """Of an edge. At most `QUERIED_MOST` of each."""

    dependencies: tuple[Dependency, ...] = ()
    lease_requests: tuple[LeaseRequest, ...] = ()
    status_updates: tuple[StatusUpdate, ...] = ()


class LeaseStatus(IntEnum):
    """What became of a claim."""

    OPEN = 0  # not agreed yet: ask again
    HELD = 1
    FENCED = 2  # another life holds it, or it is lost


class QueryReply(msgspec.Struct, array_like=True, frozen=True):
    """To an ask, each in the order of what was asked. `told`: whether the record says so now."""

    write_statuses: tuple[WriteStatus, ...] = ()
    lease_statuses: tuple[LeaseStatus, ...] = ()
    agreements: tuple[bool, ...] = ()


class IntentStatus(IntEnum):
    """What the record says of an unsafe write for one ask of a gate."""

    OPEN = 0  # nobody's
    MINE = 1  # this ask may send it
    OTHERS = 2  # another ask may have sent it: it may have run
    APPLIED = 3
    FENCED = 4  # the log is another life's, lost, or gone


class VersionVectors(Protocol):
    """The agreed record as it is read: `shared.record.ReplicatedLedger` has these."""

    def write_status(self, dependency: Dependency) -> WriteStatus:
        """What is agreed of a write, or of all writes of a log up to one."""

    def holder(self, edge_log: EdgeLog) -> int:
        """The life that may replay it; 0 if it is lost."""

    def intent_status(self, write_id: WriteId, incarnation: int, intent_id: int) -> IntentStatus:
        """What is agreed of an unsafe write for one query of a gate."""

    def lease_status(self, request: LeaseRequest) -> LeaseStatus:
        """OPEN while the claim, agreed now, would hold."""

    def agrees_with(self, update: StatusUpdate) -> bool:
        """The record says so now, or what it says of the write is final."""
