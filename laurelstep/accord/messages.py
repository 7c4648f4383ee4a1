"""What processes of a tier say to each other about what they share. No I/O.

1. A datagram is a version byte and one message as msgpack, an array headed by its kind; at most 256 bytes.
2. What is of another version, not readable, or out of bounds is no message: `decode` gives None, and the
   caller counts it. Who sent it is the link's to say.
3. A message that speaks for a record names its era. One that binds its sender (an answer to a vote, an
   append or a founding) names the sender's incarnation; it is counted for that incarnation alone.
4. One that changes its receiver (`to`) names the receiver's incarnation, in short: what was sent to a process
   that has come again from nothing since is dropped. Without this a late datagram of a record that all have
   forgotten could take a seat out of the one founded since, as eras of one generation have no order in time.
"""

from __future__ import annotations

from typing import Annotated, Final

import msgspec

from laurelstep.accord.ports import DATAGRAM_MOST
from laurelstep.accord.terms import ENTRY_MOST, WORD_MOST, Era

__all__ = [
    "CHUNK_MOST",
    "ENTRIES_MOST",
    "VERSION",
    "Accepted",
    "Ack",
    "Append",
    "Ask",
    "Chunk",
    "Chunked",
    "Entry",
    "Feed",
    "Follow",
    "Found",
    "Here",
    "Message",
    "Read",
    "ReadAt",
    "Stand",
    "Vote",
    "Word",
    "decode",
    "encode",
    "short",
]

VERSION: Final = 1
# A snapshot's part, and the data of the entries of one message with FRAME bytes for each, in bytes.
CHUNK_MOST: Final = 160
ENTRIES_MOST: Final = 175
FRAME: Final = 14

# Bounds far above what is ever reached keep one mad message from making numbers that can't be sent.
Count = Annotated[int, msgspec.Meta(ge=0, lt=1 << 48)]
Small = Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
Random = Annotated[int, msgspec.Meta(ge=0)]
Mark = Annotated[int, msgspec.Meta(ge=-1, lt=1 << 48)]
Seat = Annotated[int, msgspec.Meta(ge=0, lt=7)]


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One place in the record. `kind` is of `log.py`."""

    term: Count
    kind: Annotated[int, msgspec.Meta(ge=0, le=2)]
    data: Annotated[bytes, msgspec.Meta(max_length=ENTRY_MOST)]


class _Message(msgspec.Struct, array_like=True, frozen=True):
    pass


class Ask(_Message, frozen=True, tag=1):
    """Who are you? The answer gives the nonce back, so that it was made after the question."""

    nonce: Random


class Here(_Message, frozen=True, tag=2):
    """Who holds a seat now, what it has promised, how good its log is, and the newest voters it knows."""

    nonce: Random
    incarnation: Random
    promised: Era
    log_era: Era
    last_term: Count
    last: Count
    config_term: Count
    config_index: Count
    members: Annotated[list[tuple[Seat, Random]], msgspec.Meta(max_length=7)]
    in_touch: bool


class Found(_Message, frozen=True, tag=3):
    """Leave your era for this one, which these incarnations, by seat, are to begin."""

    era: Era
    nonce: Random
    incarnations: Annotated[list[Random], msgspec.Meta(max_length=7)]


class Accepted(_Message, frozen=True, tag=4):
    """I have left every older era for this one, with a log as good as this."""

    era: Era
    nonce: Random
    incarnation: Random
    log_era: Era
    last_term: Count
    last: Count


class Stand(_Message, frozen=True, tag=5):
    """RequestVote (Raft, figure 2); `pre`: would you vote for me (dissertation 9.6)?"""

    era: Era
    to: Small
    incarnation: Random
    term: Count
    last_term: Count
    last: Count
    pre: bool


class Vote(_Message, frozen=True, tag=6):
    """The answer to `Stand`, to the incarnation `to`. With `pre`, a yes has the term asked for."""

    era: Era
    incarnation: Random
    to: Random
    term: Count
    granted: bool
    pre: bool


class Append(_Message, frozen=True, tag=7):
    """AppendEntries (Raft, figure 2), with the leader's round of heartbeats."""

    era: Era
    to: Small
    term: Count
    previous: Count
    previous_term: Count
    commit: Count
    round: Count
    entries: Annotated[list[Entry], msgspec.Meta(max_length=DATAGRAM_MOST)] = []


class Ack(_Message, frozen=True, tag=8):
    """The answer to `Append`. Not `ok`: `match` is where to go on; -1 says that a snapshot is needed."""

    era: Era
    incarnation: Random
    term: Count
    ok: bool
    match: Mark
    round: Count


class Chunk(_Message, frozen=True, tag=9):
    """Part of a snapshot, from a leader (with its term) or to a learner."""

    era: Era
    to: Small
    term: Count
    index: Count
    index_term: Count
    total: Small
    crc: Small
    offset: Small
    round: Count
    data: Annotated[bytes, msgspec.Meta(max_length=CHUNK_MOST)]


class Chunked(_Message, frozen=True, tag=10):
    """So much of that snapshot is here."""

    era: Era
    incarnation: Random
    term: Count
    index: Count
    crc: Small
    got: Small
    round: Count


class Follow(_Message, frozen=True, tag=11):
    """A learner's question: what is agreed after this?"""

    era: Era
    incarnation: Random
    applied: Count


class Feed(_Message, frozen=True, tag=12):
    """A seat's answer and push: agreed entries after `previous`, and who leads (-1: nobody known)."""

    era: Era
    to: Small
    leader: Mark
    in_touch: bool
    previous: Count
    entries: Annotated[list[Entry], msgspec.Meta(max_length=DATAGRAM_MOST)] = []


class Read(_Message, frozen=True, tag=13):
    """How far is the record agreed, at least, at a time after this question?"""

    incarnation: Random
    nonce: Random


class ReadAt(_Message, frozen=True, tag=14):
    """So far, confirmed by a majority after the question came."""

    era: Era
    nonce: Random
    index: Count


class Word(_Message, frozen=True, tag=15):
    """A word for the one that leads. `era`: of the record that it speaks of; NOWHERE from one that has
    none yet.
    """

    era: Era
    incarnation: Random
    data: Annotated[bytes, msgspec.Meta(max_length=WORD_MOST)]


Message = (
    Ask
    | Here
    | Found
    | Accepted
    | Stand
    | Vote
    | Append
    | Ack
    | Chunk
    | Chunked
    | Follow
    | Feed
    | Read
    | ReadAt
    | Word
)

_encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
_HEAD: Final = bytes((VERSION,))


def encode(message: Message) -> bytes:
    """One datagram. The bounds above keep it within DATAGRAM_MOST."""
    return _HEAD + _encode(message)


def decode(raw: bytes) -> Message | None:
    """The message, or None (rule 2). Never raises."""
    if len(raw) > DATAGRAM_MOST or raw[:1] != _HEAD:
        return None
    try:
        message = _decoder.decode(memoryview(raw)[1:])
    except (msgspec.DecodeError, ValueError, RecursionError):
        return None
    era = getattr(message, "era", None)
    if era is not None and not _sound(era):
        return None
    return message


def _sound(era: Era) -> bool:
    return 0 <= era.generation < 1 << 32 and 0 <= era.id < 1 << 64


def short(incarnation: int) -> int:
    """An incarnation as `to` has it: 5 bytes in a heartbeat, not 9."""
    return incarnation & 0xFFFFFFFF


def cost(entry: Entry) -> int:
    """An entry's room in a message, in bytes, at most."""
    return len(entry.data) + FRAME
