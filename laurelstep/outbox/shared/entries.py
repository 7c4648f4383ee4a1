"""What copies agree on of queued writes: the record's entries. Pure.

1. All begin with the byte `KIND`, as one record and one link carry other things too (of an entry it is taken
   off before the record has it: `laurelstep.consensus.state_machines`); then a tagged array in msgpack.
2. An entry is also told as a word, to whoever leads. One that comes twice, late or before another says the
   same: what depends on what was before names it (`Intent.ask`, `LogLease.turn`, `StatusRecord.ask`).
3. Fields are only ever added at the end. What can't be, or is of a later version, is no entry.
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
    "unpack_word",
]  # fmt: skip

KIND: Final = b"o"
# Lives, incarnations and asks are 1 to below this; numbers of writes 1 to below NUMBER_END.
ID_END: Final = 1 << 64
NUMBER_END: Final = 1 << 63
_MOST: Final = min(MAX_ENTRY_BYTES, MAX_LEADER_MESSAGE_BYTES)


class _Entry(msgspec.Struct, frozen=True, array_like=True, tag_field="t"):
    pass


class Intent(_Entry, frozen=True, tag=1):
    """BEGIN: an unsafe write of this life is about to be sent, by one ask of a gate: 64 random bits."""

    write_id: WriteId
    life: int
    ask: int


class IntentWithdrawal(_Entry, frozen=True, tag=2):
    """UNBEGIN, by the very ask: it has sent nothing, and never will."""

    write_id: WriteId
    ask: int


class WriteApplied(_Entry, frozen=True, tag=3):
    """IN: a final answer says that the write ran."""

    write_id: WriteId


class LogLease(_Entry, frozen=True, tag=4):
    """CLAIM: `life` holds the log instead of `of`, if `turn` is how often its holder changed before.
    `force`: an operator's word; `of` is not looked at.
    """

    edge_log: EdgeLog
    life: int
    of: int
    turn: int
    force: bool = False


class StatusRecord(_Entry, frozen=True, tag=5):
    """FATE, or with `before` LOW: what the holder says of one write or of all up to it. `ask`: an operator
    said that this ask never ran it, though it had begun; of which `parking`, if that is told.
    """

    write_id: WriteId
    write_status: WriteStatus
    life: int
    before: bool = False
    ask: int = 0
    parking: int = 0


class EdgeLost(_Entry, frozen=True, tag=6):
    """LOST: an operator declares an edge lost with all its logs; with an incarnation, that log alone."""

    edge: str
    incarnation: int = 0


LedgerEntry = Intent | IntentWithdrawal | WriteApplied | LogLease | StatusRecord | EdgeLost
_encode: Final = msgspec.msgpack.Encoder().encode
_decoder: Final[msgspec.msgpack.Decoder[LedgerEntry]] = msgspec.msgpack.Decoder(LedgerEntry)


def pack(entry: LedgerEntry) -> bytes:
    """`EntryError` for what no copy would take."""
    try:
        _CHECKS[type(entry)](entry)
    except (ValueError, TypeError) as error:
        raise EntryError(f"no entry of kept writes: {error}") from None
    data = KIND + _encode(entry)
    if len(data) > _MOST:
        raise EntryError(f"an entry of {len(data)} bytes, {_MOST} at most")
    return data


def unpack(data: bytes) -> LedgerEntry | None:
    """Without its first byte. None for what is no entry of queued writes."""
    if len(data) >= _MOST:
        return None
    try:
        entry = _decoder.decode(data)
        _CHECKS[type(entry)](entry)
    except (msgspec.MsgspecError, ValueError, TypeError, RecursionError, OverflowError):
        return None
    return entry


def unpack_word(data: bytes) -> LedgerEntry | None:
    """An entry that was told as a word, with its first byte. None for what is no entry of queued writes."""
    return unpack(data[1:]) if data[:1] == KIND else None


def _check_line(edge: str, incarnation: int) -> None:
    check_edge(edge)
    _check_id(incarnation)


def _check_dot(write_id: WriteId) -> None:
    _check_line(write_id.edge, write_id.incarnation)
    if not 0 < write_id.number < NUMBER_END:
        raise ValueError("a number that can't be")


def _check_id(id: int) -> None:
    if not 0 < id < ID_END:
        raise ValueError("a life, incarnation or ask that can't be")


def _check_begin(entry: Intent) -> None:
    _check_dot(entry.write_id)
    _check_id(entry.life)
    _check_id(entry.ask)


def _check_unbegin(entry: IntentWithdrawal) -> None:
    _check_dot(entry.write_id)
    _check_id(entry.ask)


def _check_in(entry: WriteApplied) -> None:
    _check_dot(entry.write_id)


def _check_hold(entry: LogLease) -> None:
    _check_line(*entry.edge_log)
    _check_id(entry.life)
    if not (0 <= entry.of < ID_END and 0 <= entry.turn < NUMBER_END):
        raise ValueError("a holder or turn that can't be")


def _check_said(entry: StatusRecord) -> None:
    _check_dot(entry.write_id)
    _check_id(entry.life)
    if not (0 <= entry.ask < ID_END and 0 <= entry.parking < NUMBER_END):
        raise ValueError("an ask or parking that can't be")


def _check_lost(entry: EdgeLost) -> None:
    check_edge(entry.edge)
    if not 0 <= entry.incarnation < ID_END:
        raise ValueError("an incarnation that can't be")


_CHECKS: Final[dict[type, Callable[..., None]]] = {
    Intent: _check_begin,
    IntentWithdrawal: _check_unbegin,
    WriteApplied: _check_in,
    LogLease: _check_hold,
    StatusRecord: _check_said,
    EdgeLost: _check_lost,
}
