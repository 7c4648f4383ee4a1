"""The records of the replicated maintenance state, and its snapshot. Pure.

Structs are encoded as arrays: the order of their fields never changes, and new ones are added at the end.
Indexes are those of the consensus log.
"""

from __future__ import annotations

from typing import Final

import msgspec

from laurelstep.maintenance.errors import MaintenanceSnapshotError
from laurelstep.maintenance.requests import MaintenanceRequest
from laurelstep.maintenance.states import MachineState


class MachineRecord(msgspec.Struct, array_like=True):
    """A machine that is out of service."""

    machine_id: str
    request_number: int
    state: MachineState
    drain_index: int  # of the entry that started its drain
    since_index: int  # of the entry that caused its present state
    zone: str
    cell: int
    weight: float
    started_ms: int
    slow_start_share: float  # of its capacity that counts while it warms up, 0 to 1


class DroppedMachine(msgspec.Struct, frozen=True, array_like=True):
    """A machine that a request no longer drains, since discovery drained, removed or replaced it."""

    machine_id: str
    reason: str


class OpenRequest(msgspec.Struct, array_like=True):
    """An open request. Its number is the index of its entry, so that numbers give the order of requests."""

    number: int
    request: MaintenanceRequest
    is_withdrawn: bool = False
    finished: set[int] = msgspec.field(
        default_factory=set
    )  # endpoint numbers of its machines that are done or dropped
    dropped: list[DroppedMachine] = msgspec.field(default_factory=list)  # the last ones only


class PastRequest(msgspec.Struct, array_like=True):
    """A closed request."""

    number: int
    name: str
    is_withdrawn: bool
    machine_count: int
    dropped: list[DroppedMachine]
    finished: set[int] = msgspec.field(default_factory=set)


class LastCommand(msgspec.Struct, array_like=True):
    """The last committed command of a replica. `verdict` is an `ErrorCode`, or empty if it took effect."""

    incarnation: int
    sequence_number: int
    verdict: str


class StateSnapshot(msgspec.Struct, array_like=True):
    """The encoded form of `MaintenanceState`."""

    index: int
    changed_index: int
    open_requests: list[OpenRequest]
    machines: list[MachineRecord]
    past_requests: list[PastRequest]
    last_commands: list[tuple[int, LastCommand]]  # by peer
    absent_peers: list[int]
    incarnations: list[tuple[int, int]]  # by peer


_encode: Final = msgspec.msgpack.Encoder(order="deterministic").encode
_decoder: Final[msgspec.msgpack.Decoder[StateSnapshot]] = msgspec.msgpack.Decoder(StateSnapshot)


def encode_snapshot(snapshot: StateSnapshot) -> bytes:
    """Encode a snapshot. Equal states give equal bytes."""
    return _encode(snapshot)


def decode_snapshot(raw: bytes) -> StateSnapshot:
    """Decode a snapshot; empty bytes stand for the initial state. Raises `MaintenanceSnapshotError`."""
    if not raw:
        return StateSnapshot(0, 0, [], [], [], [], [], [])
    try:
        return _decoder.decode(raw)
    except (msgspec.DecodeError, RecursionError, OverflowError) as error:
        raise MaintenanceSnapshotError(str(error)) from None
