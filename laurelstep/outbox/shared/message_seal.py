"""What edges and upstream's copies say to each other, sealed with their common secret. Pure.

1. A seal is made and read with `outbox.secret_file`'s bytes alone. Each use has a key of its own, so a sealed
   replay is no ask, and neither of them an answer, nor any of them a causal token.
2. One value has one text, and no bit of that can be changed: also not those of its last character that base64
   leaves over.
3. An answer is sealed together with the ask that it is to: the answer to one is of no use for another.
4. A text is at most `SEALED_MOST` characters, which fit a request line. What is longer is not sealed.
5. What is sealed may be another version's: it is read as strictly as if it were not.
6. It is no secret to those on the way: nothing is ciphered.
"""

from __future__ import annotations

import base64
import binascii
import hmac
from collections.abc import Iterator
from contextlib import contextmanager
from hashlib import blake2b
from typing import Any, ClassVar, Final, TypeVar

import msgspec

from laurelstep.outbox.errors import OutboxError
from laurelstep.outbox.shared.messages import QUERIED_MOST, QueryReply, ReplayIdentity, ReplayQuery
from laurelstep.outbox.write_ids import EdgeLog, check_edge

__all__ = ["SEALED_MOST", "MessageSeal", "SealError", "SealedLengthError"]

# Characters. The head of a request, which it is part of, may have 64 KiB.
SEALED_MOST: Final = 16 * 1024
_SIGN_SIZE: Final = 16
_VERSION: Final = 1
_NUMBER_END: Final = 1 << 63
_INCARNATION_END: Final = 1 << 64

_Sealed = TypeVar("_Sealed", ReplayIdentity, ReplayQuery, QueryReply)

_Versioned = tuple[int, msgspec.Raw]
_decoder: Final[msgspec.msgpack.Decoder[_Versioned]] = msgspec.msgpack.Decoder(_Versioned)


class SealError(OutboxError, ValueError):
    """A sealed text that nobody with this secret made for this use."""

    cause: ClassVar[str] = (
        "what came as a kept write's name, an edge's ask or the answer to one is forged, damaged or of "
        "edges with another secret; it was refused"
    )
    remedy: ClassVar[str] = (
        "give all edges and upstream copies one outbox.secret_file; else look at who can reach the port"
    )


class SealedLengthError(OutboxError, ValueError):
    """More than one sealed text may say."""

    cause: ClassVar[str] = "an edge or a copy was to say more at once than a request line holds"
    remedy: ClassVar[str] = "report it with the text: the fault is in the program; nothing was sent"


class MessageSeal:
    """Makes and reads sealed texts with the secret of the edges and upstream's copies (16 bytes or more)."""

    def __init__(self, secret: bytes) -> None:
        if len(secret) < 16:
            raise ValueError("the secret is shorter than 16 bytes")
        self._keys: dict[type[Any], bytes] = {
            kind: blake2b(secret, digest_size=32, person=person).digest()
            for kind, person in (
                (ReplayIdentity, b"outbox replay"),
                (ReplayQuery, b"outbox ask"),
                (QueryReply, b"outbox answer"),
            )
        }

    def replayed(self, value: ReplayIdentity) -> str:
        """Seal the name of a replay."""
        return self._text(value, b"")

    def ask(self, value: ReplayQuery) -> str:
        """Seal a query; `SealedLengthError` if it is too long for a request line."""
        return self._text(value, b"")

    def answered(self, value: QueryReply, to: str) -> str:
        """`to`: the sealed ask."""
        return self._text(value, to.encode("latin-1", "replace"))

    def open_replayed(self, text: str) -> ReplayIdentity:
        """`SealError`, as of all that opens."""
        value = self._open(ReplayIdentity, text, b"")
        with _as_read():
            _check_line(value.write_id.edge_log)
            _check_number(value.write_id.number)
            _check_incarnation(value.incarnation)
        return value

    def open_ask(self, text: str) -> ReplayQuery:
        """The query that was sealed. `SealError`."""
        value = self._open(ReplayQuery, text, b"")
        with _as_read():
            _check_ask(value)
        return value

    def open_answered(self, text: str, to: str) -> QueryReply:
        """`to`: the sealed ask that it is to be an answer to."""
        value = self._open(QueryReply, text, to.encode("latin-1", "replace"))
        with _as_read():
            _check_count(value.write_statuses, value.lease_statuses, value.agreements)
        return value

    def _text(self, value: ReplayIdentity | ReplayQuery | QueryReply, to: bytes) -> str:
        data = msgspec.msgpack.encode((_VERSION, value))
        text = _told(self._sign(type(value), data, to) + data)
        if len(text) > SEALED_MOST:
            raise SealedLengthError(f"{len(text)} characters, {SEALED_MOST} are the most")
        return text

    def _open(self, kind: type[_Sealed], text: str, to: bytes) -> _Sealed:
        if len(text) > SEALED_MOST:
            raise SealError(f"a sealed text is longer than {SEALED_MOST} characters")
        try:
            raw = base64.b64decode(text.encode("ascii") + b"=" * (-len(text) % 4), b"-_", validate=True)
        except (UnicodeEncodeError, binascii.Error, ValueError):
            raise SealError("a sealed text is not in the form of one") from None
        sign, data = raw[:_SIGN_SIZE], raw[_SIGN_SIZE:]
        if not hmac.compare_digest(sign, self._sign(kind, data, to)) or _told(raw) != text:
            raise SealError("a sealed text was not made with this secret for this use")
        with _as_read():
            version, value = _decoder.decode(data)
            if version != _VERSION:
                raise ValueError(f"a seal of version {version}")
            return msgspec.msgpack.decode(value, type=kind)

    def _sign(self, kind: type[Any], data: bytes, to: bytes) -> bytes:
        # The ask goes in as its digest: of a fixed size, so no byte of one part can be taken for the other's.
        bound = blake2b(to, digest_size=16).digest()
        return blake2b(bound + data, digest_size=_SIGN_SIZE, key=self._keys[kind]).digest()


@contextmanager
def _as_read() -> Iterator[None]:
    """Signed, but maybe by another version (rule 5)."""
    try:
        yield
    except (msgspec.MsgspecError, ValueError) as error:
        raise SealError(f"a sealed text can't be read: {error}") from None


def _told(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).rstrip(b"=").decode()


def _check_ask(ask: ReplayQuery) -> None:
    _check_count(ask.dependencies, ask.lease_requests, ask.status_updates)
    for dependency in ask.dependencies:
        _check_line(dependency.edge_log)
        _check_number(dependency.number)
    for claim in ask.lease_requests:
        _check_line(claim.edge_log)
        for incarnation in (claim.incarnation, *claim.known_holders):
            _check_incarnation(incarnation)
    for told in ask.status_updates:
        _check_line(told.write_id.edge_log)
        _check_number(told.write_id.number)
        _check_incarnation(told.incarnation)
        _check_number(told.parking + 1)


def _check_count(*parts: tuple[object, ...]) -> None:
    if any(len(part) > QUERIED_MOST for part in parts):
        raise ValueError(f"more than {QUERIED_MOST} of one kind")


def _check_line(edge_log: EdgeLog) -> None:
    check_edge(edge_log.edge)
    _check_incarnation(edge_log.incarnation)


def _check_incarnation(incarnation: int) -> None:
    if not 0 <= incarnation < _INCARNATION_END:
        raise ValueError("an incarnation that can't be")


def _check_number(number: int) -> None:
    if not 0 < number < _NUMBER_END:
        raise ValueError("a number that can't be")
