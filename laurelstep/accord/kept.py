"""What of a seat's state must survive, as keys and bytes. Pure.

1. `me`: whose it is. `vote`: era promised, term, vote. `base`: the snapshot and where the log starts. `e` and
   eight bytes: an entry.
2. Learners keep nothing: each comes again as another incarnation, and learns.
3. What can't be read, or is of another list of peers, is an error: no process may go on from half of what it
   promised.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final, TypeVar

import msgspec

from laurelstep.accord.errors import KeptError
from laurelstep.accord.log import Config, Entry, Log
from laurelstep.accord.snapshots import Snapshot
from laurelstep.accord.terms import Era

__all__ = ["BASE", "ME", "VOTE", "Base", "Me", "Promise", "entry_key", "log_from", "raw", "read"]

ME: Final = b"me"
VOTE: Final = b"vote"
BASE: Final = b"base"
_ENTRY: Final = b"e"

_Kind = TypeVar("_Kind", bound=msgspec.Struct)


class Me(msgspec.Struct, array_like=True):
    """Whose it is."""

    me: int
    peers: int
    seats: int
    incarnation: int


class Promise(msgspec.Struct, array_like=True):
    """The era promised, whether it was heard to live, the term in it, and who got the vote (seat,
    incarnation).
    """

    era: Era
    live: bool
    term: int
    voted: tuple[int, int] | None


class Base(msgspec.Struct, array_like=True):
    """Where the log starts, the voters as of there, and the snapshot."""

    era: Era
    start: int
    start_term: int
    config_index: int
    config_term: int
    members: list[tuple[int, int]]
    index: int
    term: int
    snapshot: bytes


def raw(thing: msgspec.Struct) -> bytes:
    return msgspec.msgpack.encode(thing)


def read(kept: Mapping[bytes, bytes], key: bytes, kind: type[_Kind]) -> _Kind | None:
    """What stands under the key, if anything. Raises KeptError."""
    found = kept.get(key)
    if found is None:
        return None
    try:
        return msgspec.msgpack.decode(found, type=kind)
    except msgspec.DecodeError as error:
        raise KeptError(f"what is kept under {key!r} is not readable: {error}") from None


def entry_key(index: int) -> bytes:
    return _ENTRY + index.to_bytes(8, "big")


def log_from(kept: Mapping[bytes, bytes], base: Base) -> tuple[Log, Snapshot]:
    """The log and the snapshot. Raises KeptError where a place is missing."""
    config = Config(base.config_index, base.config_term, dict(base.members))
    log = Log(base.era, base.start, base.start_term, config)
    places = sorted(key for key in kept if key[:1] == _ENTRY and len(key) == 9)
    for key in places:
        index = int.from_bytes(key[1:], "big")
        entry = read(kept, key, Entry)
        if index != log.last + 1 or entry is None:
            raise KeptError(f"place {log.last + 1} of the record is missing")
        log.append(entry)
    return log, Snapshot.having(base.era, base.index, base.term, base.snapshot)
