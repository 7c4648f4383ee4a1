"""The messages between an edge and the copies upstream about queued writes. Pure.

1. Messages are sealed with the secret that all edges and copies share (`MessageSeal`). Nobody without it can
   forge a message, and a seal made for one kind of message is not valid for another.
2. An incarnation identifies one opening of an outbox's store. At any time one incarnation holds a log; at
   first it is the log's own incarnation.
3. Every message may arrive twice, late or not at all. A repeated message has the same meaning as the first.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Final, Protocol

import msgspec

from laurelstep.outbox.dependencies import Dependency
from laurelstep.outbox.version_vector import WriteStatus
from laurelstep.outbox.write_ids import EdgeLog, WriteId

__all__ = [
    "MAX_QUERY_ITEMS",
    "REPLAY_HEADER",
    "REPLAY_STATUS_HEADER",
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

# On a replay: a sealed `ReplayIdentity`.
REPLAY_HEADER: Final = b"x-kept-write"
# On the answer to a replay: "in" (applied already), "begun" (another intent is granted) or "fenced".
REPLAY_STATUS_HEADER: Final = b"x-kept-fate"
# The path of an edge's GET request, followed by a sealed `ReplayQuery`. Served at the clients' address.
SHARED_PATH: Final = b"/outbox/shared/"
# Items in each field of a query. The sealed query must fit in a request line.
MAX_QUERY_ITEMS: Final = 16


class ReplayIdentity(msgspec.Struct, array_like=True, frozen=True):
    """Identifies a replay: the queued write, and the incarnation of the edge process that replays it."""

    write_id: WriteId
    incarnation: int
    unsafe: bool


class LeaseRequest(msgspec.Struct, array_like=True, frozen=True):
    """An edge process of `incarnation` asks for the lease on a log, in order to replay it.

    `known_holders`: the holders of the log that the edge's disk knows of, without `incarnation` itself.
    `is_forced`: an operator declares this disk to be the right one.
    """

    edge_log: EdgeLog
    incarnation: int
    known_holders: tuple[int, ...]
    is_forced: bool = False


class StatusUpdate(msgspec.Struct, array_like=True, frozen=True):
    """The status that a log's holder reports for one write, or with `before` for all writes up to it.

    `UNKNOWN`: the write waits at its edge, and is no longer parked. `APPLIED` and `ABANDONED` are final.
    `withdraw_intent`: an operator resolved that the write never ran, in its parking number `parking`. An
    update that arrives late does not affect an intent recorded after that parking.
    """

    write_id: WriteId
    write_status: WriteStatus
    incarnation: int
    before: bool = False
    withdraw_intent: bool = False
    parking: int = 0


class ReplayQuery(msgspec.Struct, array_like=True, frozen=True):
    """A query of an edge, with at most `MAX_QUERY_ITEMS` items in each field."""

    dependencies: tuple[Dependency, ...] = ()
    lease_requests: tuple[LeaseRequest, ...] = ()
    status_updates: tuple[StatusUpdate, ...] = ()


class LeaseStatus(IntEnum):
    """The result of a lease request."""

    OPEN = 0  # not agreed yet: the edge sends the request again
    HELD = 1
    FENCED = 2  # another incarnation holds the log, or it is lost


class QueryReply(msgspec.Struct, array_like=True, frozen=True):
    """The reply to a query; each field is in the order of the query's items. `agreements`: for each status
    update, whether the ledger agrees with it now.
    """

    write_statuses: tuple[WriteStatus, ...] = ()
    lease_statuses: tuple[LeaseStatus, ...] = ()
    agreements: tuple[bool, ...] = ()


class IntentStatus(IntEnum):
    """The state of an unsafe write in the ledger, as seen by the replay gate that drew one intent id."""

    OPEN = 0  # no intent is granted
    MINE = 1  # granted under this intent id: the gate may send the write
    OTHERS = 2  # granted under another intent id: the write may have run
    APPLIED = 3
    FENCED = 4  # another incarnation holds the log, or it is lost


class VersionVectors(Protocol):
    """Read access to the agreed ledger. Implemented by `ReplicatedLedger`."""

    def write_status(self, dependency: Dependency) -> WriteStatus:
        """The agreed status of a write, or of all writes of a log up to a number."""

    def holder(self, edge_log: EdgeLog) -> int:
        """The incarnation that may replay the log; 0 if the log is lost."""

    def intent_status(self, write_id: WriteId, incarnation: int, intent_id: int) -> IntentStatus:
        """The agreed state of an unsafe write, as seen by the gate that drew `intent_id`."""

    def lease_status(self, request: LeaseRequest) -> LeaseStatus:
        """The result of a request; OPEN while an entry for it would still be granted."""

    def agrees_with(self, update: StatusUpdate) -> bool:
        """Whether the ledger shows the update's status, or a final status of the write."""
