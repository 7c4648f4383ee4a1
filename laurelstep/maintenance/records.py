"""The records that make up the replicated maintenance state, and its snapshot. Pure.

Structs are encoded as arrays: the order of their fields never changes, new ones are added at the end. An
index is one of the consensus log.
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
    drain_index: int  # of the entry that began its drain
    since_index: int  # of the entry that led to the present state
    zone: str
    cell: int
    weight: float
    started_ms: int
    slow_start_share: float  # of its capacity that counts while it warms up, 0 to 1


class DroppedMachine(msgspec.Struct, frozen=True, array_like=True):
    """A machine that went without maintenance, because of what discovery did to it."""

    machine_id: str
    reason: str


class OpenRequest(msgspec.Struct, array_like=True):
    """A request that is under way. Its number is the index of its entry, and so the order of requests."""

    number: int
    request: MaintenanceRequest
    is_withdrawn: bool = False
    finished: set[int] = msgspec.field(default_factory=set)  # endpoint numbers of the machines that are over
    dropped: list[DroppedMachine] = msgspec.field(default_factory=list)  # the last ones


class PastRequest(msgspec.Struct, array_like=True):
    """A request that is over."""

    number: int
    name: str
    is_withdrawn: bool
    machine_count: int
    dropped: list[DroppedMachine]
    finished: set[int] = msgspec.field(default_factory=set)


class LastCommand(msgspec.Struct, array_like=True):
    """The last command of a replica that was committed. `verdict` is an `ErrorCode`, or empty if it took
    effect.
    """

    incarnation: int
    sequence_number: int
    verdict: str


class StateSnapshot(msgspec.Struct, array_like=True):
    """All of the state, as it is encoded."""

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
    """Equal states give equal bytes."""
    return _encode(snapshot)


def decode_snapshot(raw: bytes) -> StateSnapshot:
    """The snapshot in these bytes; empty bytes stand for a new state. Raises `MaintenanceSnapshotError`."""
    if not raw:
        return StateSnapshot(0, 0, [], [], [], [], [], [])
    try:
        return _decoder.decode(raw)
    except (msgspec.DecodeError, RecursionError, OverflowError) as error:
        raise MaintenanceSnapshotError(str(error)) from None
