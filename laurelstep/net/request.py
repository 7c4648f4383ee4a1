"""Validates the head of a request, in the same way for the daemon and the library.

A request has one well-formed id, a class that agrees with its path, the method, idempotency key and body
that the class requires, unambiguous framing, and a body within the size limit. Otherwise it is rejected with
a `BadRequestError`, which has the HTTP status of the rejection.
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
    index_headers,
)

OBJECT_KEY_LIMIT = 2**63

# Headers that affect how a request is handled: a repeated one would be ambiguous.
UNIQUE_HEADERS: Final = frozenset(
    (b"host", b"content-length", b"transfer-encoding", b"x-request-id", b"x-class", b"x-tenant",
     b"x-deadline-ms", b"idempotency-key", b"x-retry", b"x-cost-hint")
)  # fmt: skip
# Headers of a write whose class may be queued by the outbox. The first three name its causal dependencies:
# receipts, the token of the client's last answer, and the session. The last one identifies a write that an
# edge replays. The value of each is limited to MAX_CAUSE_BYTES. They are not forwarded to endpoints.
CAUSE_HEADERS: Final = (b"x-follows", b"x-causal-token", b"x-session", b"x-kept-write")
# Headers that are used wherever a request comes from, but for those that carry an order's id.
USED_HEADERS: Final = UNIQUE_HEADERS | REQUEST_HEADERS | frozenset((*CAUSE_HEADERS, b"expect"))
MAX_CAUSE_BYTES: Final = 1024
TOKEN_PATTERN: Final = re.compile(rb"[0-9A-Za-z._~+/=:-]{1,128}")
# The origin form of a request target only: no spaces, no control characters, no fragment.
TARGET_PATTERN: Final = re.compile(rb"/[!\"$-~]*")


def parse_number(fields: dict[bytes, bytes], name: bytes) -> int | None:
    """The value of a header as a number, None if it is absent. `BadRequestError` if it is malformed."""
    raw = fields.get(name)
    if raw is None:
        return None
    if not raw.isdigit() or len(raw) > 15:
        raise BadRequestError(400, f"{name.decode()} is no number")
    return int(raw)


def parse_cost_hint(raw: bytes) -> int:
    """The cost hint of a request; 0 if it is missing or malformed, as a bad hint is no reason to reject."""
    return int(raw) if raw.isdigit() and len(raw) <= 15 else 0


def parse_object_key(query: bytes) -> int:
    """The number of the object that the query names with `obj=`, below 2**63; 0 if it names none."""
    for part in query.split(b"&"):
        if part.startswith(b"obj="):
            value = part[4:]
            try:
                return int(value, 16) % OBJECT_KEY_LIMIT if len(value) <= 16 else zlib.crc32(value)
            except ValueError:
                return zlib.crc32(value)
    return 0


def validate_framing(headers: Headers, max_body_bytes: int = MAX_BUFFERED_BODY_BYTES) -> dict[bytes, bytes]:
    """The headers by name. `BadRequestError` if the framing is ambiguous or the declared body length exceeds
    `max_body_bytes`; called before any of the body is read.
    """
    try:
        fields = index_headers(headers, UNIQUE_HEADERS)
        length = body_length(fields)
    except ValueError as error:
        raise BadRequestError(400, str(error)) from None
    if length is not None and length > max_body_bytes:
        raise BadRequestError(413, "the body is too large")
    return fields


def resolve_class(target: bytes, fields: dict[bytes, bytes], classes: dict[str, int]) -> int:
    """The number of a request's class. `BadRequestError` if the target or the class is invalid."""
    if not TARGET_PATTERN.fullmatch(target):
        raise BadRequestError(400, "the target is no path")
    name = fields.get(b"x-class", b"")
    if target != b"/%b" % name and not target.startswith((b"/%b?" % name, b"/%b/" % name)):
        raise BadRequestError(400, "X-Class and the path differ")
    cls = classes.get(name.decode("latin-1"))
    if cls is None:
        raise BadRequestError(404, "unknown class")
    return cls


def validate_form(method: bytes, fields: dict[bytes, bytes], cls: RequestClass) -> None:
    """`BadRequestError` unless the request id is valid and method, key and body are as the class requires."""
    if not TOKEN_PATTERN.fullmatch(fields.get(b"x-request-id", b"")):
        raise BadRequestError(400, "X-Request-Id is missing or malformed")
    if method != (b"GET" if cls.effect == SAFE else b"POST"):
        raise BadRequestError(405, "not the method of this class")
    key = fields.get(b"idempotency-key")
    if (key is not None) != (cls.effect == KEYED) or (key is not None and not TOKEN_PATTERN.fullmatch(key)):
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
    frontend: Frontend,
    max_body_bytes: int = MAX_BUFFERED_BODY_BYTES,
) -> Call:
    """The call for a validated head. `BadRequestError` if the head is not valid.

    The caller sets the body, which may have up to `max_body_bytes`, when it has arrived. `expires_at` is
    still a duration in µs: the caller adds the time at which the request's last byte arrived.
    """
    fields = validate_framing(headers, max_body_bytes)
    cls = resolve_class(target, fields, names.classes)
    class_settings = settings.classes[cls]
    validate_form(method, fields, class_settings)
    deadline_ms = parse_number(fields, b"x-deadline-ms")
    tenant = fields.get(b"x-tenant", b"").decode("latin-1")
    call = Call(
        request_class=cls,
        expires_at=class_settings.deadline_us
        if deadline_ms is None
        else min(deadline_ms * 1000, class_settings.deadline_us),
        method_and_target=b"%b %b" % (method, target),
        header_lines=encode_headers(headers, REQUEST_HEADERS),
        body=b"",
        frontend=frontend,
        client_request_id=fields[b"x-request-id"],
        tenant=names.tenants.get(tenant, 0),
        key=parse_object_key(target.partition(b"?")[2]),
        work_us=parse_cost_hint(fields.get(b"x-cost-hint", b"")),
        is_retry=fields.get(b"x-retry") == b"1",
        order_id=fields.get(names.order_headers[cls], b"") if cls in names.order_headers else b"",
    )
    if cls in names.queueable_classes:
        call.causal_dependencies = parse_causes(headers)
    return call


def parse_causes(headers: Headers) -> tuple[bytes, ...]:
    """The values of `CAUSE_HEADERS` in their order, empty if absent. `BadRequestError` if one is repeated,
    which would be ambiguous, or too long.
    """
    values = [b""] * len(CAUSE_HEADERS)
    for name, value in headers:
        if name in CAUSE_HEADERS:
            index = CAUSE_HEADERS.index(name)
            if values[index] or len(value) > MAX_CAUSE_BYTES:
                raise BadRequestError(400, f"{name.decode()} comes twice or is too long")
            values[index] = value
    return tuple(values)
