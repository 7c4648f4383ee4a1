"""What both HTTP sides share: limits and the rules of heads."""

from __future__ import annotations

import select
from collections.abc import Iterable
from typing import Final

from laurelstep.engine.call import Headers

# Bodies up to MAX_BUFFERED_BODY_BYTES are buffered whole; larger ones, up to MAX_STREAMED_BODY_BYTES,
# may be streamed as they arrive.
MAX_BUFFERED_BODY_BYTES = MAX_HEAD_BYTES = 64 * 1024
MAX_STREAMED_BODY_BYTES: Final = 32 << 20
# Of one message beside its body, and for each byte of that (chunks of one byte take six);
# guards against chunks that are mostly framing.
FRAMING_MAX: Final = MAX_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES
FRAMING_EACH: Final = 8
# A request must be whole so long after its connection came or its first byte: guards
# descriptors and memory against clients that say nothing or never end.
REQUEST_TIMEOUT_S: Final = 2.2
# What an endpoint needs of a request, and a client of an answer, beside what is
# set anew on each side. Whatever else a socket brings ends here.
REQUEST_HEADERS: Final = frozenset(
    (b"host", b"x-request-id", b"x-class", b"x-tenant", b"x-retry", b"x-cost-hint", b"x-extras",
     b"idempotency-key", b"content-type", b"content-encoding")
)  # fmt: skip
ANSWER_HEADERS: Final = frozenset((b"content-type", b"content-encoding"))


# Around a field's value, and no part of it (RFC 9110, 5.5 and 5.6.3): the parser leaves what trails.
OWS: Final = b" \t"


def encode_headers(headers: Iterable[tuple[bytes, bytes]], named: frozenset[bytes] | None = None) -> bytes:
    """Header lines as they are written, of those that are named or of all.

    Formatted, here and wherever bytes are put together in a compiled module: `+` of two
    `bytes` is compiled to a function that never frees the left one (mypyc 1.18).
    """
    parts: list[bytes] = []
    for name, value in headers:
        if named is None or name in named:
            parts.append(b"%b: %b\r\n" % (name, value))
    return b"".join(parts)


def pass_on(headers: Headers, named: frozenset[bytes]) -> Headers:
    """The headers that travel end to end."""
    return [pair for pair in headers if pair[0] in named]


def single(headers: Headers, once: frozenset[bytes]) -> dict[bytes, bytes]:
    """The headers by name; ValueError if one that may stand only once is repeated."""
    fields = dict(headers)
    if len(fields) < len(headers):
        names = [name for name, _ in headers]
        if any(names.count(name) > 1 for name in once):
            raise ValueError("a header is repeated")
    return fields


def body_length(fields: dict[bytes, bytes]) -> int | None:
    """The length that a head declares, -1 for chunks, None for neither.

    Guards against two readings of one message, which hide another in its body:
    ValueError for both framings, other codings, and what is no length.
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
    """What a head that was checked declares; -1 for chunks."""
    for name, value in headers:
        if name == b"content-length":
            return int(value)
    return -1


def has_event(descriptor: int, events: int, if_unknown: bool) -> bool:
    """Whether any of these has happened to it by now; `if_unknown` where the system can't tell."""
    news = select.poll()
    news.register(descriptor, events)
    try:
        return bool(news.poll(0))
    except OSError:  # ENOMEM, poll(2)
        return if_unknown
