"""Log entries of the maintenance state machine, and messages to the leader: their types and encoding. Pure.

Each begins with the byte `SUBSYSTEM_TAG`, since one log and one link also serve other subsystems (of an entry
the multiplexer removes it before the state machine sees the rest); then a tagged msgpack array follows.
Fields keep their order and are only ever added at the end: an older version skips what it does not know.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final

import msgspec

from laurelstep.maintenance.bounds import MAX_ENTRY_BYTES
from laurelstep.maintenance.errors import EntryTooLargeError
from laurelstep.maintenance.requests import MaintenanceRequest

SUBSYSTEM_TAG: Final = b"u"

# What a command acts on: a request, the name of one, a machine's id or a peer's number.
CommandArgument = MaintenanceRequest | str | int


class CommandVerb(StrEnum):
    """What an operator can ask for; the values are part of log entries and HTTP paths."""

    REQUEST = "wish"
    WITHDRAW = "withdraw"
    BEGIN_WORK = "begin"
    FINISH_WORK = "done"
    DECLARE_ABSENT = "absent"


class _TaggedArray(msgspec.Struct, frozen=True, array_like=True, tag_field="t"):
    pass


class OperatorCommand(_TaggedArray, frozen=True, tag=1):
    """What an operator asked for at one replica.

    `sequence_number` counts the commands of that replica's incarnation, so that a repeated or late one takes
    effect once. `expected_version` names what the command is meant for: the incarnation that is declared
    absent, the log index at which the machine began to drain, or the number of the request that is withdrawn.
    0 in the last two cases stands for whichever there is.
    """

    peer: int
    incarnation: int
    sequence_number: int
    verb: str
    argument: CommandArgument
    expected_version: int = 0


class DrainedCounts(msgspec.Struct, frozen=True, array_like=True):
    """How many machines discovery itself drains: in the machine's zone, in its cell, and in the tier."""

    zone: int
    cell: int
    tier: int


class DrainMachine(_TaggedArray, frozen=True, tag=2):
    """A machine is to drain, with the facts of the proposer's list, machines already out not counted.

    `base_index` is the last change of the state that the proposer knew; in any other state the entry is
    ignored. `ready_count` includes the machine; `listed_weight` is of the ready and the draining ones.
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
    """A machine's next state, as the leader sees it.

    `since_index` is the log index of its present state; `event` is ALL_DRAINED, EXCEED_TIME, WARM_UP, DROP or
    KEEP_LAST of `states.MachineEvent`.
    """

    machine_id: str
    since_index: int
    event: str
    reason: str = ""


class CompleteRequest(_TaggedArray, frozen=True, tag=4):
    """A request has no machine left to work on."""

    base_index: int
    request_number: int


class ReplicaStarted(_TaggedArray, frozen=True, tag=5):
    """A replica has started; sent as a message and then committed as an entry.

    It sends no traffic before the entry is committed, so that no replica is declared absent that has
    meanwhile started again.
    """

    peer: int
    incarnation: int


class DrainAcknowledgement(_TaggedArray, frozen=True, tag=6):
    """Message only: the sender has no traffic to any machine that began to drain at or before
    `drained_index`.

    `UNKNOWN_STATE` from a replica that serves without knowing the replicated state.
    """

    drained_index: int


UNKNOWN_STATE: Final = -1

MaintenanceEntry = OperatorCommand | DrainMachine | MachineTransition | CompleteRequest | ReplicaStarted
LeaderMessage = OperatorCommand | ReplicaStarted | DrainAcknowledgement
_encode: Final = msgspec.msgpack.Encoder().encode
_entries: Final[msgspec.msgpack.Decoder[MaintenanceEntry]] = msgspec.msgpack.Decoder(MaintenanceEntry)
_messages: Final[msgspec.msgpack.Decoder[LeaderMessage]] = msgspec.msgpack.Decoder(LeaderMessage)
_DECODE_ERRORS: Final = (msgspec.DecodeError, RecursionError, OverflowError)


def encode(message: MaintenanceEntry | LeaderMessage) -> bytes:
    """The bytes of an entry or a message, with the tag.

    Raises `EntryTooLargeError` over `MAX_ENTRY_BYTES`, and for text that is not valid Unicode.
    """
    try:
        data = SUBSYSTEM_TAG + _encode(message)
    except UnicodeEncodeError as error:  # a lone surrogate, which JSON may have
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
    """The entry in these bytes, without the tag; None if they hold none."""
    if len(data) >= MAX_ENTRY_BYTES:
        return None
    try:
        return _entries.decode(data)
    except _DECODE_ERRORS:
        return None


def decode_message(data: bytes) -> LeaderMessage | None:
    """The message in these bytes, with the tag; None if they hold none."""
    if data[:1] != SUBSYSTEM_TAG or len(data) > MAX_ENTRY_BYTES:
        return None
    try:
        return _messages.decode(data[1:])
    except _DECODE_ERRORS:
        return None
