"""What is let in: one request's head judged, alike on every front.

The rules: one well-formed id, a class that agrees with the path, the method, key and
body of that class, one reading of the framing, no more body than is allowed. Whatever
breaks one of them is a `BadRequestError` with the status that tells the client so.
"""

from __future__ import annotations

import re
import zlib
from typing import Final

from laurelstep.balancing.events import KEYED, SAFE, RequestClass, Settings
from laurelstep.engine.call import Call, Frontend, Headers
from laurelstep.engine.names import NameTable
from laurelstep.net.errors import BadRequestError
from laurelstep.net.message import (
    MAX_BUFFERED_BODY_BYTES,
    REQUEST_HEADERS,
    body_length,
    encode_headers,
    single,
)

MAX_U63 = 2**63

# Headers that decide something: a second one would leave it open which counts.
ONCE: Final = frozenset(
    (b"host", b"content-length", b"transfer-encoding", b"x-request-id", b"x-class", b"x-tenant",
     b"x-deadline-ms", b"idempotency-key", b"x-retry", b"x-cost-hint")
)  # fmt: skip
# What a write follows, where its class may be kept: receipts, the token of the client's last answer, and
# its session; and of an edge's replay, which one it is. Of each so many bytes. None is forwarded.
CAUSE_HEADERS: Final = (b"x-follows", b"x-causal-token", b"x-session", b"x-kept-write")
CAUSES_MOST: Final = 1024
TOKEN: Final = re.compile(rb"[0-9A-Za-z._~+/=:-]{1,128}")
# Origin form and nothing else: no second word, no control characters, no fragment.
TARGET: Final = re.compile(rb"/[!\"$-~]*")


def number(fields: dict[bytes, bytes], name: bytes) -> int | None:
    """The value of a head's field as a number, None where it is absent; `BadRequestError` if it is none."""
    raw = fields.get(name)
    if raw is None:
        return None
    if not raw.isdigit() or len(raw) > 15:
        raise BadRequestError(400, f"{name.decode()} is no number")
    return int(raw)


def parse_cost_hint(raw: bytes) -> int:
    """A guess may be missing or unreadable; that is no reason to refuse."""
    return int(raw) if raw.isdigit() and len(raw) <= 15 else 0


def parse_object_key(query: bytes) -> int:
    """The number of what a request is about; 0 = nothing named."""
    for part in query.split(b"&"):
        if part.startswith(b"obj="):
            value = part[4:]
            try:
                return int(value, 16) % MAX_U63 if len(value) <= 16 else zlib.crc32(value)
            except ValueError:
                return zlib.crc32(value)
    return 0


def checked(headers: Headers, most: int = MAX_BUFFERED_BODY_BYTES) -> dict[bytes, bytes]:
    """The fields of a head whose framing has one reading and whose body is not too
    large: judged by what it declares, before any of the body is read.
    """
    try:
        fields = single(headers, ONCE)
        length = body_length(fields)
    except ValueError as error:
        raise BadRequestError(400, str(error)) from None
    if length is not None and length > most:
        raise BadRequestError(413, "the body is too large")
    return fields


def class_of(target: bytes, fields: dict[bytes, bytes], classes: dict[str, int]) -> int:
    """The number of a request's class; `BadRequestError` if target or class are none of this deployment."""
    if not TARGET.fullmatch(target):
        raise BadRequestError(400, "the target is no path")
    name = fields.get(b"x-class", b"")
    if target != b"/%b" % name and not target.startswith((b"/%b?" % name, b"/%b/" % name)):
        raise BadRequestError(400, "X-Class and the path differ")
    cls = classes.get(name.decode("latin-1"))
    if cls is None:
        raise BadRequestError(404, "unknown class")
    return cls


def check_form(method: bytes, fields: dict[bytes, bytes], cls: RequestClass) -> None:
    """The id, and the method, key and body that the class demands."""
    if not TOKEN.fullmatch(fields.get(b"x-request-id", b"")):
        raise BadRequestError(400, "X-Request-Id is missing or malformed")
    if method != (b"GET" if cls.effect == SAFE else b"POST"):
        raise BadRequestError(405, "not the method of this class")
    key = fields.get(b"idempotency-key")
    if (key is not None) != (cls.effect == KEYED) or (key is not None and not TOKEN.fullmatch(key)):
        raise BadRequestError(400, "Idempotency-Key is not as the class demands")
    length = body_length(fields)
    if cls.effect == SAFE and length:
        raise BadRequestError(400, "a GET has no body")
    if cls.effect != SAFE and length is None:
        raise BadRequestError(411, "Content-Length is missing")


def build_call(
    method: bytes,
    target: bytes,
    headers: Headers,
    names: NameTable,
    settings: Settings,
    front: Frontend,
    most: int = MAX_BUFFERED_BODY_BYTES,
) -> Call:
    """The call that a head asks for; `expires_at` is still a span, which counts from the
    request's last byte on, and the body, `most` bytes of it, is still to come.
    """
    fields = checked(headers, most)
    cls = class_of(target, fields, names.classes)
    rules = settings.classes[cls]
    check_form(method, fields, rules)
    wait_ms = number(fields, b"x-deadline-ms")
    tenant = fields.get(b"x-tenant", b"").decode("latin-1")
    call = Call(
        request_class=cls,
        expires_at=rules.deadline_us if wait_ms is None else min(wait_ms * 1000, rules.deadline_us),
        method_and_target=b"%b %b" % (method, target),
        header_lines=encode_headers(headers, REQUEST_HEADERS),
        body=b"",
        frontend=front,
        client_request_id=fields[b"x-request-id"],
        tenant=names.tenants.get(tenant, 0),
        key=parse_object_key(target.partition(b"?")[2]),
        work_us=parse_cost_hint(fields.get(b"x-cost-hint", b"")),
        is_retry=fields.get(b"x-retry") == b"1",
        order_id=fields.get(names.order_headers[cls], b"") if cls in names.order_headers else b"",
    )
    if cls in names.queueable_classes:
        call.causal_dependencies = causes_of(headers)
    return call


def causes_of(headers: Headers) -> tuple[bytes, ...]:
    """What a write says that it follows: the values of `CAUSE_HEADERS`, in their order. One that comes
    twice leaves it open which counts.
    """
    found = [b""] * len(CAUSE_HEADERS)
    for name, value in headers:
        if name in CAUSE_HEADERS:
            at = CAUSE_HEADERS.index(name)
            if found[at] or len(value) > CAUSES_MOST:
                raise BadRequestError(400, f"{name.decode()} comes twice or is too long")
            found[at] = value
    return tuple(found)
