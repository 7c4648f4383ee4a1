"""HTTP limits and header rules shared by the client side and the endpoint side."""

from __future__ import annotations

import select
from collections.abc import Iterable
from typing import Final

from laurelstep.engine.call import Headers

# Bodies up to MAX_BUFFERED_BODY_BYTES are buffered whole; larger ones, up to MAX_STREAMED_BODY_BYTES,
# may be streamed as they arrive.
MAX_BUFFERED_BODY_BYTES = MAX_HEAD_BYTES = 64 * 1024
MAX_STREAMED_BODY_BYTES: Final = 32 << 20
# Bytes of a message beside its body: a fixed part, and a part for each body byte, as a chunk of one byte has
# six bytes of framing. Guards against messages that consist mostly of framing.
MAX_FRAMING_BYTES: Final = MAX_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES
MAX_FRAMING_BYTES_PER_BODY_BYTE: Final = 8
# Header and trailer fields of a request: guards other clients against the time that parsing them takes.
MAX_REQUEST_FIELDS: Final = 1000
# A request must be complete within this time after its connection was accepted or its first byte arrived:
# guards descriptors and memory against clients that send nothing or never finish a request.
REQUEST_TIMEOUT_S: Final = 2.2
# Headers forwarded to endpoints, and those forwarded to clients; others are dropped. Headers about framing
# and the connection are written anew on each side.
REQUEST_HEADERS: Final = frozenset(
    (b"host", b"x-request-id", b"x-class", b"x-tenant", b"x-retry", b"x-cost-hint", b"x-extras",
     b"idempotency-key", b"content-type", b"content-encoding")
)  # fmt: skip
ANSWER_HEADERS: Final = frozenset((b"content-type", b"content-encoding"))
# Headers of an answer that are used: others are not kept.
USED_ANSWER_HEADERS: Final = ANSWER_HEADERS | {
    b"content-length", b"transfer-encoding", b"x-load", b"x-not-run", b"x-kept-fate",
}  # fmt: skip


# Optional whitespace around a header value (RFC 9110, 5.5 and 5.6.3); the parser does not strip it at the
# end.
OWS: Final = b" \t"


def encode_headers(headers: Iterable[tuple[bytes, bytes]], allowed: frozenset[bytes] | None = None) -> bytes:
    """Encode header lines: of all headers, or of those whose names are in `allowed`.

    Here, and wherever a compiled module joins `bytes`, `%` is used instead of `+`: mypyc 1.18 compiles `+` of
    two `bytes` to a function that never frees the left operand.
    """
    parts: list[bytes] = []
    for name, value in headers:
        if allowed is None or name in allowed:
            parts.append(b"%b: %b\r\n" % (name, value))
    return b"".join(parts)


def select_headers(headers: Headers, allowed: frozenset[bytes]) -> Headers:
    """The headers whose names are in `allowed`."""
    return [pair for pair in headers if pair[0] in allowed]


def index_headers(headers: Headers, unique: frozenset[bytes]) -> dict[bytes, bytes]:
    """The headers by name. ValueError if a header named in `unique` occurs more than once."""
    fields = dict(headers)
    if len(fields) < len(headers):
        names = [name for name, _ in headers]
        if any(names.count(name) > 1 for name in unique):
            raise ValueError("a header is repeated")
    return fields


def body_length(fields: dict[bytes, bytes]) -> int | None:
    """The body length that a head declares: -1 for a chunked body, None if it declares neither.

    Guards against request smuggling, in which a message with two readings hides another one in its body:
    ValueError if both framings are declared, for other transfer codings, and for a malformed length.
    """
    length, coding = fields.get(b"content-length"), fields.get(b"transfer-encoding")
    if coding is not None:
        if length is not None or coding.strip().lower() != b"chunked":
            raise ValueError("the framing is unclear")
        return -1
    if length is None:
        return None
    if not length.isdigit():
        raise ValueError("the length is no number")
    return int(length)


def declared_length(headers: Headers) -> int:
    """The body length that a validated head declares; -1 for a chunked body."""
    for name, value in headers:
        if name == b"content-length":
            return int(value)
    return -1


def has_event(descriptor: int, events: int, if_unknown: bool) -> bool:
    """Whether one of the poll `events` is pending on a descriptor; `if_unknown` if poll itself fails."""
    poller = select.poll()
    poller.register(descriptor, events)
    try:
        return bool(poller.poll(0))
    except OSError:  # ENOMEM: poll(2)
        return if_unknown
