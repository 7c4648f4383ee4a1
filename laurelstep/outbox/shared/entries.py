"""Entries of the replicated ledger: what the copies upstream agree on about queued writes. Pure.

1. Each entry begins with the byte `KIND`, because the consensus log and its links also carry entries of other
   kinds. `laurelstep.consensus.state_machines` removes that byte before the ledger applies the entry. The
   rest is a tagged array in msgpack.
2. A copy that does not lead sends the entry as a message to the leader. An entry means the same if it
   arrives twice, late or out of order, because one that depends on earlier state names that state
   (`Intent.intent_id`, `LogLease.holder_changes`, `StatusRecord.intent_id`).
3. New fields are only ever added at the end. Data with a value out of range, or with a tag that only a
   later version knows, is ignored.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import msgspec

from laurelstep.consensus.errors import EntryError
from laurelstep.consensus.limits import MAX_ENTRY_BYTES, MAX_LEADER_MESSAGE_BYTES
from laurelstep.outbox.version_vector import WriteStatus
from laurelstep.outbox.write_ids import EdgeLog, WriteId, check_edge

__all__ = [
    "ID_END",
    "KIND",
    "NUMBER_END",
    "EdgeLost",
    "Intent",
    "IntentWithdrawal",
    "LedgerEntry",
    "LogLease",
    "StatusRecord",
    "WriteApplied",
    "pack",
    "unpack",
    "unpack_message",
]  # fmt: skip

KIND: Final = b"o"
# Incarnations and intent ids are from 1 to below ID_END, numbers of writes from 1 to below NUMBER_END.
ID_END: Final = 1 << 64
NUMBER_END: Final = 1 << 63
_MAX_BYTES: Final = min(MAX_ENTRY_BYTES, MAX_LEADER_MESSAGE_BYTES)


class _Entry(msgspec.Struct, frozen=True, array_like=True, tag_field="t"):
    pass


class Intent(_Entry, frozen=True, tag=1):
    """A replay gate is about to send an unsafe write, which the edge process `incarnation` replays.

    `intent_id`: 64 random bits that the gate draws for each replay.
    """

    write_id: WriteId
    incarnation: int
    intent_id: int


class IntentWithdrawal(_Entry, frozen=True, tag=2):
    """The gate that recorded the intent has sent nothing under it and never will."""

    write_id: WriteId
    intent_id: int


class WriteApplied(_Entry, frozen=True, tag=3):
    """A final answer shows that the write was applied."""

    write_id: WriteId


class LogLease(_Entry, frozen=True, tag=4):
    """`incarnation` takes the lease on the log from `previous_holder`, if the log's holder has changed
    `holder_changes` times before. `is_forced`: an operator demanded it; `previous_holder` is not compared.
    """

    edge_log: EdgeLog
    incarnation: int
    previous_holder: int
    holder_changes: int
    is_forced: bool = False


class StatusRecord(_Entry, frozen=True, tag=5):
    """The log's holder `incarnation` records the status of one write, or with `before` of all writes up to
    it.

    `intent_id`: an operator resolved that this intent never ran the write. `parking`: the number of the
    parking that was resolved; 0 if the sender did not name it.
    """

    write_id: WriteId
    write_status: WriteStatus
    incarnation: int
    before: bool = False
    intent_id: int = 0
    parking: int = 0


class EdgeLost(_Entry, frozen=True, tag=6):
    """An operator declares an edge lost with all its logs, or just the log of `incarnation` if not 0."""

    edge: str
    incarnation: int = 0


LedgerEntry = Intent | IntentWithdrawal | WriteApplied | LogLease | StatusRecord | EdgeLost
_encode: Final = msgspec.msgpack.Encoder().encode
_decoder: Final[msgspec.msgpack.Decoder[LedgerEntry]] = msgspec.msgpack.Decoder(LedgerEntry)


def pack(entry: LedgerEntry) -> bytes:
    """Encode an entry, with `KIND` first. `EntryError` if other copies would reject it."""
    try:
        _CHECKS[type(entry)](entry)
    except (ValueError, TypeError) as error:
        raise EntryError(f"invalid ledger entry: {error}") from None
    data = KIND + _encode(entry)
    if len(data) > _MAX_BYTES:
        raise EntryError(f"ledger entry too large: {len(data)} bytes, {_MAX_BYTES} at most")
    return data


def unpack(data: bytes) -> LedgerEntry | None:
    """Decode an entry without its first byte. None if it is not a valid ledger entry."""
    if len(data) >= _MAX_BYTES:
        return None
    try:
        entry = _decoder.decode(data)
        _CHECKS[type(entry)](entry)
    except (msgspec.MsgspecError, ValueError, TypeError, RecursionError, OverflowError):
        return None
    return entry


def unpack_message(data: bytes) -> LedgerEntry | None:
    """Decode an entry with its first byte, as it is sent to the leader. None if it is not a ledger entry."""
    return unpack(data[1:]) if data[:1] == KIND else None


def _check_edge_log(edge: str, incarnation: int) -> None:
    check_edge(edge)
    _check_id(incarnation)


def _check_write_id(write_id: WriteId) -> None:
    _check_edge_log(write_id.edge, write_id.incarnation)
    if not 0 < write_id.number < NUMBER_END:
        raise ValueError("write number out of range")


def _check_id(id: int) -> None:
    if not 0 < id < ID_END:
        raise ValueError("incarnation or intent id out of range")


def _check_intent(entry: Intent) -> None:
    _check_write_id(entry.write_id)
    _check_id(entry.incarnation)
    _check_id(entry.intent_id)


def _check_withdrawal(entry: IntentWithdrawal) -> None:
    _check_write_id(entry.write_id)
    _check_id(entry.intent_id)


def _check_applied(entry: WriteApplied) -> None:
    _check_write_id(entry.write_id)


def _check_lease(entry: LogLease) -> None:
    _check_edge_log(*entry.edge_log)
    _check_id(entry.incarnation)
    if not (0 <= entry.previous_holder < ID_END and 0 <= entry.holder_changes < NUMBER_END):
        raise ValueError("previous holder or count of holder changes out of range")


def _check_status_record(entry: StatusRecord) -> None:
    _check_write_id(entry.write_id)
    _check_id(entry.incarnation)
    if not (0 <= entry.intent_id < ID_END and 0 <= entry.parking < NUMBER_END):
        raise ValueError("intent id or parking number out of range")


def _check_lost(entry: EdgeLost) -> None:
    check_edge(entry.edge)
    if not 0 <= entry.incarnation < ID_END:
        raise ValueError("incarnation out of range")


_CHECKS: Final[dict[type, Callable[..., None]]] = {
    Intent: _check_intent,
    IntentWithdrawal: _check_withdrawal,
    WriteApplied: _check_applied,
    LogLease: _check_lease,
    StatusRecord: _check_status_record,
    EdgeLost: _check_lost,
}
