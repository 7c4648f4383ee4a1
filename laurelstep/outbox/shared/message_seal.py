"""Seals the messages between edges and copies upstream with their common secret. Pure.

1. Seals are made and checked with the bytes of `outbox.secret_file` alone. Each kind of message has a key of
   its own, so a sealed replay identity is not valid as a query, nor a query as a reply, nor any of them as a
   causality token.
2. A message has exactly one sealed text, and changing any bit invalidates it. This includes the unused bits
   of the last base64 character.
3. A reply is sealed together with the query that it answers, and is not valid for another query.
4. A sealed text has at most `MAX_SEALED_CHARS` characters, so that it fits in a request line. A longer
   message is not sealed.
5. A valid seal may come from another version of the program, so the content is checked as strictly as if it
   were not sealed.
6. A seal authenticates a message and does not encrypt it: anybody on the path can read it.
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
from laurelstep.outbox.shared.messages import MAX_QUERY_ITEMS, QueryReply, ReplayIdentity, ReplayQuery
from laurelstep.outbox.write_ids import EdgeLog, check_edge

__all__ = ["MAX_SEALED_CHARS", "MessageSeal", "SealError", "SealedLengthError"]

# A sealed text is part of a request's head, which may have 64 KiB.
MAX_SEALED_CHARS: Final = 16 * 1024
_MAC_BYTES: Final = 16
_VERSION: Final = 1
_NUMBER_END: Final = 1 << 63
_INCARNATION_END: Final = 1 << 64

_Sealed = TypeVar("_Sealed", ReplayIdentity, ReplayQuery, QueryReply)

_Versioned = tuple[int, msgspec.Raw]
_decoder: Final[msgspec.msgpack.Decoder[_Versioned]] = msgspec.msgpack.Decoder(_Versioned)


class SealError(OutboxError, ValueError):
    """A text that was not sealed with this secret as this kind of message."""

    cause: ClassVar[str] = (
        "the identity of a replay, an edge's query or the reply to one is forged, damaged or sealed with "
        "another secret; it was refused"
    )
    remedy: ClassVar[str] = (
        "give all edges and upstream copies the same outbox.secret_file; else check who can reach the port"
    )


class SealedLengthError(OutboxError, ValueError):
    """A message that is too long to be sealed."""

    cause: ClassVar[str] = "an edge or a copy made a message that is too long for a request line"
    remedy: ClassVar[str] = "report this fault of the program with the error's text; nothing was sent"


class MessageSeal:
    """Makes and opens sealed texts with the secret of the edges and copies, which has 16 bytes or more."""

    def __init__(self, secret: bytes) -> None:
        if len(secret) < 16:
            raise ValueError("the secret is shorter than 16 bytes")
        self._keys: dict[type[Any], bytes] = {
            message_type: blake2b(secret, digest_size=32, person=personalization).digest()
            for message_type, personalization in (
                (ReplayIdentity, b"outbox replay"),
                (ReplayQuery, b"outbox ask"),
                (QueryReply, b"outbox answer"),
            )
        }

    def seal_replay(self, message: ReplayIdentity) -> str:
        """Seal the identity of a replay."""
        return self._seal(message, b"")

    def seal_query(self, message: ReplayQuery) -> str:
        """Seal a query. `SealedLengthError` if it is too long for a request line."""
        return self._seal(message, b"")

    def seal_reply(self, message: QueryReply, sealed_query: str) -> str:
        """Seal the reply to `sealed_query`. `SealedLengthError` if it is too long."""
        return self._seal(message, sealed_query.encode("latin-1", "replace"))

    def open_replay(self, text: str) -> ReplayIdentity:
        """The identity that was sealed. `SealError` if the text is not valid."""
        message = self._open(ReplayIdentity, text, b"")
        with _as_seal_error():
            _check_edge_log(message.write_id.edge_log)
            _check_number(message.write_id.number)
            _check_incarnation(message.incarnation)
        return message

    def open_query(self, text: str) -> ReplayQuery:
        """The query that was sealed. `SealError` if the text is not valid."""
        message = self._open(ReplayQuery, text, b"")
        with _as_seal_error():
            _check_query(message)
        return message

    def open_reply(self, text: str, sealed_query: str) -> QueryReply:
        """The reply that was sealed for `sealed_query`. `SealError` if the text is not valid for it."""
        message = self._open(QueryReply, text, sealed_query.encode("latin-1", "replace"))
        with _as_seal_error():
            _check_count(message.write_statuses, message.lease_statuses, message.agreements)
        return message

    def _seal(self, message: ReplayIdentity | ReplayQuery | QueryReply, sealed_query: bytes) -> str:
        data = msgspec.msgpack.encode((_VERSION, message))
        text = _encode_base64(self._mac(type(message), data, sealed_query) + data)
        if len(text) > MAX_SEALED_CHARS:
            raise SealedLengthError(
                f"sealed message has {len(text)} characters; the limit is {MAX_SEALED_CHARS}"
            )
        return text

    def _open(self, message_type: type[_Sealed], text: str, sealed_query: bytes) -> _Sealed:
        if len(text) > MAX_SEALED_CHARS:
            raise SealError(f"a sealed text is longer than {MAX_SEALED_CHARS} characters")
        try:
            raw = base64.b64decode(text.encode("ascii") + b"=" * (-len(text) % 4), b"-_", validate=True)
        except (UnicodeEncodeError, binascii.Error, ValueError):
            raise SealError("a sealed text is not in the form of one") from None
        mac, data = raw[:_MAC_BYTES], raw[_MAC_BYTES:]
        if (
            not hmac.compare_digest(mac, self._mac(message_type, data, sealed_query))
            or _encode_base64(raw) != text
        ):
            raise SealError("a sealed text was not made with this secret for this use")
        with _as_seal_error():
            version, message = _decoder.decode(data)
            if version != _VERSION:
                raise ValueError(f"a seal of version {version}")
            return msgspec.msgpack.decode(message, type=message_type)

    def _mac(self, message_type: type[Any], data: bytes, sealed_query: bytes) -> bytes:
        # The query's digest has a fixed size, so that no byte of one part can be taken for the other part's.
        query_digest = blake2b(sealed_query, digest_size=16).digest()
        return blake2b(query_digest + data, digest_size=_MAC_BYTES, key=self._keys[message_type]).digest()


@contextmanager
def _as_seal_error() -> Iterator[None]:
    """Raise `SealError` for content that can't be read, as a sealed text of another version may have."""
    try:
        yield
    except (msgspec.MsgspecError, ValueError) as error:
        raise SealError(f"a sealed text can't be read: {error}") from None


def _encode_base64(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).rstrip(b"=").decode()


def _check_query(query: ReplayQuery) -> None:
    _check_count(query.dependencies, query.lease_requests, query.status_updates)
    for dependency in query.dependencies:
        _check_edge_log(dependency.edge_log)
        _check_number(dependency.number)
    for request in query.lease_requests:
        _check_edge_log(request.edge_log)
        for incarnation in (request.incarnation, *request.known_holders):
            _check_incarnation(incarnation)
    for update in query.status_updates:
        _check_edge_log(update.write_id.edge_log)
        _check_number(update.write_id.number)
        _check_incarnation(update.incarnation)
        _check_number(update.parking + 1)


def _check_count(*parts: tuple[object, ...]) -> None:
    if any(len(part) > MAX_QUERY_ITEMS for part in parts):
        raise ValueError(f"more than {MAX_QUERY_ITEMS} of one kind")


def _check_edge_log(edge_log: EdgeLog) -> None:
    check_edge(edge_log.edge)
    _check_incarnation(edge_log.incarnation)


def _check_incarnation(incarnation: int) -> None:
    if not 0 <= incarnation < _INCARNATION_END:
        raise ValueError("an incarnation that can't be")


def _check_number(number: int) -> None:
    if not 0 < number < _NUMBER_END:
        raise ValueError("a number that can't be")
