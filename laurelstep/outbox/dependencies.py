"""What a write follows, and the token that tells it. Pure.

1. A write follows a set of write ids. A write id stands for its write and for all that this one follows in
   turn; so the receipt of a client's last write is all that it needs to bring along.
2. Up to `IDS_PER_LOG` write ids of one line stand as they are. More are told as one: "all up to the newest of
   them". That is more than was named, never less.
3. A token is signed with the edges' common secret: it can't be made up, and no bit of it changed. It is at
   most `TOKEN_MOST` characters; any `LOGS_FIT` logs fit. A set that does not fit gets a name of its own
   instead: a join, a queued write without an effect that follows all of the set (`Outbox.join`).
4. A request may bring several tokens, `DEPENDENCIES_MOST` write ids in all.
5. The token is no secret of its client: it names writes, and asking for their receipts is another right.
"""

from __future__ import annotations

import base64
import binascii
import hmac
from collections.abc import Iterable
from enum import IntEnum
from hashlib import blake2b
from typing import Final, NamedTuple, Protocol

import msgspec

from laurelstep.outbox.errors import LooseError, TokenError
from laurelstep.outbox.write_ids import EdgeLog, WriteId, check_edge

__all__ = [
    "DEPENDENCIES_MOST",
    "TOKEN_MOST",
    "CausalityTokens",
    "Dependencies",
    "Dependency",
    "VersionVector",
    "WriteStatus",
    "merge",
]

TOKEN_MOST: Final = 512
LOGS_FIT: Final = 6
IDS_PER_LOG: Final = 4
DEPENDENCIES_MOST: Final = 512
# Guards the header's memory before anything of it is read: as many tokens as have sense.
_TOKENS_MOST: Final = 128
_SIGN_SIZE: Final = 12
_VERSION: Final = 1
_NUMBER_END: Final = 1 << 63


class Dependency(NamedTuple):
    """One write id; with `before`, all write ids of its log up to it."""

    edge: str
    incarnation: int
    number: int
    before: bool = False

    @property
    def edge_log(self) -> EdgeLog:
        """The log of the write."""
        return EdgeLog(self.edge, self.incarnation)

    @property
    def write_id(self) -> WriteId:
        """The write, without those before it."""
        return WriteId(self.edge, self.incarnation, self.number)


Dependencies = tuple[Dependency, ...]


def merge(*sets: Iterable[Dependency]) -> Dependencies:
    """One set that says what all of them say, by rule 2, sorted."""
    exact: dict[tuple[str, int], set[int]] = {}
    before: dict[tuple[str, int], int] = {}
    dependencies = {dependency for one in sets for dependency in one}
    if len(dependencies) < 2:  # as most are
        return tuple(dependencies)
    for dependency in dependencies:
        edge_log = dependency[:2]
        if dependency.before:
            before[edge_log] = max(before.get(edge_log, 0), dependency.number)
        else:
            exact.setdefault(edge_log, set()).add(dependency.number)
    found: list[Dependency] = []
    for edge_log in sorted(exact.keys() | before.keys()):
        bound = before.get(edge_log, 0)
        numbers = sorted(number for number in exact.get(edge_log, ()) if number > bound)
        if len(numbers) > IDS_PER_LOG:
            bound, numbers = numbers[-1], []
        if bound:
            found.append(Dependency(*edge_log, bound, True))
        found += [Dependency(*edge_log, number) for number in numbers]
    return tuple(found)


class WriteStatus(IntEnum):
    """What is known of a write that is not of this edge's own logs."""

    UNKNOWN = 0
    APPLIED = 1  # its effect is upstream
    PARKED = 2  # it waits for an operator at its edge
    ABANDONED = 3  # given up, or lost with its edge


class VersionVector(Protocol):
    """What is known of other logs, and which logs this process may replay.

    The local one knows what was told to it at this edge. One that copies share stands behind the same two
    questions; it tells `Outbox.heard` when it has learned something."""

    def write_status(self, dependency: Dependency) -> WriteStatus:
        """What is known of a write of another log."""

    def holds(self, edge_log: EdgeLog) -> bool:
        """This process, and no other with a copy of its disk, may send writes of this log."""


_Told = tuple[int, list[tuple[str, int, list[int], int]]]
_decoder: Final[msgspec.msgpack.Decoder[_Told]] = msgspec.msgpack.Decoder(_Told)


class CausalityTokens:
    """Makes and reads tokens with the secret that all edges and upstream copies share (16 bytes or more)."""

    def __init__(self, secret: bytes) -> None:
        if len(secret) < 16:
            raise ValueError("the secret is shorter than 16 bytes")
        self._secret = blake2b(secret, digest_size=32, person=b"outbox token").digest()

    def encode(self, dependencies: Dependencies) -> str:
        """The token of a set; `LooseError` if it is longer than a token may be (rule 3)."""
        edge_logs: dict[EdgeLog, tuple[list[int], int]] = {}
        for dependency in merge(dependencies):
            exact, _ = edge_logs.setdefault(dependency.edge_log, ([], 0))
            if dependency.before:
                edge_logs[dependency.edge_log] = (exact, dependency.number)
            else:
                exact.append(dependency.number)
        told = [
            (edge_log.edge, edge_log.incarnation, exact, bound)
            for edge_log, (exact, bound) in edge_logs.items()
        ]
        data = msgspec.msgpack.encode((_VERSION, told))
        text = base64.urlsafe_b64encode(self._sign(data) + data).rstrip(b"=").decode()
        if len(text) > TOKEN_MOST:
            raise LooseError(f"{len(edge_logs)} lines are more than one token tells")
        return text

    def receipt(self, write_id: WriteId) -> str:
        """The token of one write."""
        return self.encode((Dependency(*write_id),))

    def read(self, value: str) -> Dependencies:
        """What a header's tokens say, parted by commas; `TokenError`, or `LooseError` by rule 4."""
        if len(value) > _TOKENS_MOST * (TOKEN_MOST + 2):
            raise LooseError("the tokens of one request are too long")
        texts = [text for part in value.split(",") if (text := part.strip())]
        if len(texts) > _TOKENS_MOST:
            raise LooseError(f"more than {_TOKENS_MOST} tokens in one request")
        dependencies = merge(*(self._read(text) for text in texts))
        if len(dependencies) > DEPENDENCIES_MOST:
            raise LooseError(f"{len(dependencies)} writes before one, {DEPENDENCIES_MOST} are the most")
        return dependencies

    def _read(self, text: str) -> list[Dependency]:
        if len(text) > TOKEN_MOST:
            raise TokenError(f"a token is longer than {TOKEN_MOST} characters")
        try:
            raw = base64.b64decode(text.encode("ascii") + b"=" * (-len(text) % 4), b"-_", validate=True)
        except (UnicodeEncodeError, binascii.Error, ValueError):
            raise TokenError("a token is not in the form of one") from None
        sign, data = raw[:_SIGN_SIZE], raw[_SIGN_SIZE:]
        if not hmac.compare_digest(sign, self._sign(data)):
            raise TokenError("a token was not given by an edge with this secret")
        return _causes_of(data)

    def _sign(self, data: bytes) -> bytes:
        return blake2b(data, digest_size=_SIGN_SIZE, key=self._secret).digest()


def _causes_of(data: bytes) -> list[Dependency]:
    """Signed, but maybe by another version: read as strictly as if it were not."""
    found: list[Dependency] = []
    try:
        version, edge_logs = _decoder.decode(data)
        if version != _VERSION:
            raise ValueError(f"a token of version {version}")
        for edge, incarnation, numbers, bound in edge_logs:
            check_edge(edge)
            if not all(0 < number < _NUMBER_END for number in (*numbers, bound or 1)):
                raise ValueError("a number that can't be")
            if not 0 <= incarnation < 1 << 64:
                raise ValueError("an incarnation that can't be")
            found += [Dependency(edge, incarnation, number) for number in numbers]
            if bound:
                found.append(Dependency(edge, incarnation, bound, True))
    except (msgspec.MsgspecError, ValueError) as error:
        raise TokenError(f"a token can't be read: {error}") from None
    return found
