"""What copies agree on of kept writes: the record's entries. Pure.

1. All begin with the byte `KIND`, as one record and one link carry other things too (of an entry it is taken
   off before the record has it: `laurelstep.accord.machines`); then a tagged array in msgpack.
2. An entry is also told as a word, to whoever leads. One that comes twice, late or before another says the
   same: what depends on what was before names it (`Begin.ask`, `Hold.turn`, `Said.ask`).
3. Fields are only ever added at the end. What can't be, or is of a later version, is no entry.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import msgspec

from laurelstep.accord.errors import EntryError
from laurelstep.accord.terms import ENTRY_MOST, WORD_MOST
from laurelstep.outbox.causes import Fate
from laurelstep.outbox.dots import Dot, Line, check_edge

__all__ = [
    "ID_END", "KIND", "NUMBER_END", "Begin", "Entry", "Hold", "In", "Lost", "Said", "Unbegin", "pack",
    "unpack", "unpack_word",
]  # fmt: skip

KIND: Final = b"o"
# Lives, incarnations and asks are 1 to below this; numbers of writes 1 to below NUMBER_END.
ID_END: Final = 1 << 64
NUMBER_END: Final = 1 << 63
_MOST: Final = min(ENTRY_MOST, WORD_MOST)


class _Entry(msgspec.Struct, frozen=True, array_like=True, tag_field="t"):
    pass


class Begin(_Entry, frozen=True, tag=1):
    """BEGIN: an unsafe write of this life is about to be sent, by one ask of a gate: 64 random bits."""

    dot: Dot
    life: int
    ask: int


class Unbegin(_Entry, frozen=True, tag=2):
    """UNBEGIN, by the very ask: it has sent nothing, and never will."""

    dot: Dot
    ask: int


class In(_Entry, frozen=True, tag=3):
    """IN: a final answer says that the write ran."""

    dot: Dot


class Hold(_Entry, frozen=True, tag=4):
    """CLAIM: `life` holds the line instead of `of`, if `turn` is how often its holder changed before.
    `force`: an operator's word; `of` is not looked at."""

    line: Line
    life: int
    of: int
    turn: int
    force: bool = False


class Said(_Entry, frozen=True, tag=5):
    """FATE, or with `before` LOW: what the holder says of one write or of all up to it. `ask`: an operator
    said that this ask never ran it, though it had begun; of which `parking`, if that is told."""

    dot: Dot
    fate: Fate
    life: int
    before: bool = False
    ask: int = 0
    parking: int = 0


class Lost(_Entry, frozen=True, tag=6):
    """LOST: an operator declares an edge lost with all its lines; with an incarnation, that line alone."""

    edge: str
    incarnation: int = 0


Entry = Begin | Unbegin | In | Hold | Said | Lost
_encode: Final = msgspec.msgpack.Encoder().encode
_decoder: Final[msgspec.msgpack.Decoder[Entry]] = msgspec.msgpack.Decoder(Entry)


def pack(entry: Entry) -> bytes:
    """`EntryError` for what no copy would take."""
    try:
        _CHECKS[type(entry)](entry)
    except (ValueError, TypeError) as error:
        raise EntryError(f"no entry of kept writes: {error}") from None
    data = KIND + _encode(entry)
    if len(data) > _MOST:
        raise EntryError(f"an entry of {len(data)} bytes, {_MOST} at most")
    return data


def unpack(data: bytes) -> Entry | None:
    """Without its first byte. None for what is no entry of kept writes."""
    if len(data) >= _MOST:
        return None
    try:
        entry = _decoder.decode(data)
        _CHECKS[type(entry)](entry)
    except (msgspec.MsgspecError, ValueError, TypeError, RecursionError, OverflowError):
        return None
    return entry


def unpack_word(data: bytes) -> Entry | None:
    return unpack(data[1:]) if data[:1] == KIND else None


def _check_line(edge: str, incarnation: int) -> None:
    check_edge(edge)
    _check_id(incarnation)


def _check_dot(dot: Dot) -> None:
    _check_line(dot.edge, dot.incarnation)
    if not 0 < dot.number < NUMBER_END:
        raise ValueError("a number that can't be")


def _check_id(id: int) -> None:
    if not 0 < id < ID_END:
        raise ValueError("a life, incarnation or ask that can't be")


def _check_begin(entry: Begin) -> None:
    _check_dot(entry.dot)
    _check_id(entry.life)
    _check_id(entry.ask)


def _check_unbegin(entry: Unbegin) -> None:
    _check_dot(entry.dot)
    _check_id(entry.ask)


def _check_in(entry: In) -> None:
    _check_dot(entry.dot)


def _check_hold(entry: Hold) -> None:
    _check_line(*entry.line)
    _check_id(entry.life)
    if not (0 <= entry.of < ID_END and 0 <= entry.turn < NUMBER_END):
        raise ValueError("a holder or turn that can't be")


def _check_said(entry: Said) -> None:
    _check_dot(entry.dot)
    _check_id(entry.life)
    if not (0 <= entry.ask < ID_END and 0 <= entry.parking < NUMBER_END):
        raise ValueError("an ask or parking that can't be")


def _check_lost(entry: Lost) -> None:
    check_edge(entry.edge)
    if not 0 <= entry.incarnation < ID_END:
        raise ValueError("an incarnation that can't be")


_CHECKS: Final[dict[type, Callable[..., None]]] = {
    Begin: _check_begin,
    Unbegin: _check_unbegin,
    In: _check_in,
    Hold: _check_hold,
    Said: _check_said,
    Lost: _check_lost,
}
