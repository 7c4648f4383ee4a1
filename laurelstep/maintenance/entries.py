"""Log entries of the maintenance state machine and messages to the leader: types and encoding. Pure.

Each starts with the byte `SUBSYSTEM_TAG`, since the log and the links also serve other subsystems; the
multiplexer removes it from an entry before the state machine gets the rest. A tagged msgpack array follows.
Its fields keep their order, and new ones are added at the end: an older version skips them.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final

import msgspec

from laurelstep.maintenance.bounds import MAX_ENTRY_BYTES
from laurelstep.maintenance.errors import EntryTooLargeError
from laurelstep.maintenance.requests import MaintenanceRequest

SUBSYSTEM_TAG: Final = b"u"

# The object of a command: a request, a request's name, a machine's id or a peer's number.
CommandArgument = MaintenanceRequest | str | int


class CommandVerb(StrEnum):
    """The commands of operators. The values are part of log entries and HTTP paths."""

    REQUEST = "wish"
    WITHDRAW = "withdraw"
    BEGIN_WORK = "begin"
    FINISH_WORK = "done"
    DECLARE_ABSENT = "absent"


class _TaggedArray(msgspec.Struct, frozen=True, array_like=True, tag_field="t"):
    pass


class OperatorCommand(_TaggedArray, frozen=True, tag=1):
    """An operator's command, submitted at one replica.

    `sequence_number` counts the commands of that replica's incarnation, so that a repeated or late one takes
    effect once. `expected_version` identifies what the command refers to: the incarnation that is declared
    absent, the log index at which the machine began to drain, or the number of the request that is withdrawn.
    In the last two cases, 0 means the current drain or request.
    """

    peer: int
    incarnation: int
    sequence_number: int
    verb: str
    argument: CommandArgument
    expected_version: int = 0


class DrainedCounts(msgspec.Struct, frozen=True, array_like=True):
    """Numbers of machines that discovery drains: in the machine's zone, in its cell, and in the tier."""

    zone: int
    cell: int
    tier: int


class DrainMachine(_TaggedArray, frozen=True, tag=2):
    """Starts the drain of a machine.

    The counts and weights are those of the proposer's list without the machines that are out of service.
    `base_index` is the index of the last change of the proposer's state; in any other state the entry is
    ignored. `ready_count` includes the machine; `listed_weight` sums the ready and the draining machines.
    """

    base_index: int
    request_number: int
    machine_id: str
    zone: str
    cell: int
    weight: float
    started_ms: int
    ready_count: int
    ready_weight: float
    listed_weight: float
    drained_by_discovery: DrainedCounts
    slow_start_share: float


class MachineTransition(_TaggedArray, frozen=True, tag=3):
    """An event that the leader observed for a machine.

    `since_index` is the log index at which the machine's present state began; `event` is ALL_DRAINED,
    EXCEED_TIME, WARM_UP, DROP or KEEP_LAST of `states.MachineEvent`.
    """

    machine_id: str
    since_index: int
    event: str
    reason: str = ""


class CompleteRequest(_TaggedArray, frozen=True, tag=4):
    """Closes a request that has no machine left to drain."""

    base_index: int
    request_number: int


class ReplicaStarted(_TaggedArray, frozen=True, tag=5):
    """A replica has started. Sent to the leader as a message, then committed as an entry.

    The replica sends no requests before the entry is committed. Thus a command that declares its earlier
    incarnation absent can't apply to the new process.
    """

    peer: int
    incarnation: int


class DrainAcknowledgement(_TaggedArray, frozen=True, tag=6):
    """The sender has no requests at any machine that began to drain at or before `drained_index`. Sent as a
    message only.

    `drained_index` is `UNKNOWN_STATE` if the sender serves without the replicated state.
    """

    drained_index: int


UNKNOWN_STATE: Final = -1

MaintenanceEntry = OperatorCommand | DrainMachine | MachineTransition | CompleteRequest | ReplicaStarted
LeaderMessage = OperatorCommand | ReplicaStarted | DrainAcknowledgement
_encode: Final = msgspec.msgpack.Encoder().encode
_entry_decoder: Final[msgspec.msgpack.Decoder[MaintenanceEntry]] = msgspec.msgpack.Decoder(MaintenanceEntry)
_message_decoder: Final[msgspec.msgpack.Decoder[LeaderMessage]] = msgspec.msgpack.Decoder(LeaderMessage)
_DECODE_ERRORS: Final = (msgspec.DecodeError, RecursionError, OverflowError)


def encode(message: MaintenanceEntry | LeaderMessage) -> bytes:
    """Encode an entry or a message, with the tag.

    Raises `EntryTooLargeError` if it is larger than `MAX_ENTRY_BYTES` or contains invalid Unicode.
    """
    try:
        data = SUBSYSTEM_TAG + _encode(message)
    except UnicodeEncodeError as error:  # a lone surrogate, which JSON may contain
        raise EntryTooLargeError(str(error)) from None
    if len(data) > MAX_ENTRY_BYTES:
        raise EntryTooLargeError(f"{len(data)} bytes, {MAX_ENTRY_BYTES} at most")
    return data


def fits_entry(entry: MaintenanceEntry) -> bool:
    """Whether `encode` accepts an entry."""
    try:
        encode(entry)
    except EntryTooLargeError:
        return False
    return True


def decode_entry(data: bytes) -> MaintenanceEntry | None:
    """Decode an entry, given without the tag; None if it is malformed."""
    if len(data) >= MAX_ENTRY_BYTES:
        return None
    try:
        return _entry_decoder.decode(data)
    except _DECODE_ERRORS:
        return None


def decode_message(data: bytes) -> LeaderMessage | None:
    """Decode a message, given with the tag; None if it is malformed."""
    if data[:1] != SUBSYSTEM_TAG or len(data) > MAX_ENTRY_BYTES:
        return None
    try:
        return _message_decoder.decode(data[1:])
    except _DECODE_ERRORS:
        return None
