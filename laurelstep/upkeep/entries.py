"""What travels of upkeep: entries of the record, and words to whoever leads. Pure.

All begin with the byte `KIND`, as one record and one link carry other things too (of an entry it
is taken off before the roll has it: `laurelstep.accord.machines`); then a tagged array in msgpack.
Fields are only ever added at the end: an older version passes over what it does not know, and
reads what it does."""

from __future__ import annotations

from typing import Final

import msgspec

from laurelstep.upkeep.wishes import ENTRY_MOST, FitError, Wish

KIND: Final = b"u"


class _Entry(msgspec.Struct, frozen=True, array_like=True, tag_field="t"):
    pass


class Ask(_Entry, frozen=True, tag=1):
    """What somebody asked at a copy: `number` counts the askings of that copy's incarnation, so
    that one which comes twice, or late, is done once."""

    peer: int
    incarnation: int
    number: int
    verb: str  # wish, withdraw, begin, done or absent
    what: Wish | str | int
    # absent: the incarnation that is declared so; begin and done: the index at which the machine
    # left; withdraw: the number of the wish. 0 for these two: whichever there is.
    whose: int = 0


class Leave(_Entry, frozen=True, tag=2):
    """A machine is to leave; the facts are as the proposer saw them, without what the roll holds.
    `base`: the roll's last change as the proposer knew it. Another roll ignores the entry."""

    base: int
    wish: int
    id: str
    zone: str
    cell: int
    weight: float
    started_ms: int
    ready: int  # ready ones in the tier, this one among them
    ready_weight: float
    listed_weight: float  # ready and draining
    away: tuple[int, int, int]  # drained by discovery in its zone, its cell, and the tier
    cold_share: float


class Step(_Entry, frozen=True, tag=3):
    """A held machine's next state, by what the leader knows; `since` is the index of its present one."""

    id: str
    since: int
    event: str  # clear, overdue, back, drop or spare
    why: str = ""


class End(_Entry, frozen=True, tag=4):
    """A wish has nothing left to do."""

    base: int
    wish: int


class Here(_Entry, frozen=True, tag=5):
    """A copy has begun, as a word by itself and as an entry: it sends nothing before this is agreed,
    so that what is declared absent is never one that has come back meanwhile."""

    peer: int
    incarnation: int


class Confirm(_Entry, frozen=True, tag=6):
    """A word, no entry: nothing that left at or before this index is sent to by the sender.
    -1 from one that sends and does not know the record."""

    quiet: int


Entry = Ask | Leave | Step | End | Here
Word = Ask | Here | Confirm
_encode: Final = msgspec.msgpack.Encoder().encode
_entries: Final[msgspec.msgpack.Decoder[Entry]] = msgspec.msgpack.Decoder(Entry)
_words: Final[msgspec.msgpack.Decoder[Word]] = msgspec.msgpack.Decoder(Word)


def pack(entry: Entry | Word) -> bytes:
    """`FitError` for what is too long for the record, or has what is no Unicode."""
    try:
        data = KIND + _encode(entry)
    except UnicodeEncodeError as error:  # a lone surrogate, which JSON may have
        raise FitError(str(error)) from None
    if len(data) > ENTRY_MOST:
        raise FitError(f"{len(data)} bytes, {ENTRY_MOST} at most")
    return data


def fits(entry: Entry) -> bool:
    try:
        pack(entry)
    except FitError:
        return False
    return True


def unpack_entry(data: bytes) -> Entry | None:
    """Without its first byte. None for what is no entry of upkeep."""
    if len(data) >= ENTRY_MOST:
        return None
    try:
        return _entries.decode(data)
    except (msgspec.DecodeError, RecursionError, OverflowError):
        return None


def unpack_word(data: bytes) -> Word | None:
    if data[:1] != KIND or len(data) > ENTRY_MOST:
        return None
    try:
        return _words.decode(data[1:])
    except (msgspec.DecodeError, RecursionError, OverflowError):
        return None
