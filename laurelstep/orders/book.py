"""What a record says, and what a request that names an order again is told. No I/O.

The rules:

1. A record is an intent or an answer, with a digest of the request's body.
2. Intent without an answer: it may have run. That is a failure, never a refusal, and nothing
   is sent.
3. A known answer is given again as it was. A refused order has no record: it has not run.
4. The same name with another body is another request, and is told so.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any, Literal

from laurelstep.engine.call import Answer, Call, Ending

INTENT, ANSWERED = b"I", b"A"
DIGEST_SIZE = 16
NAME_MOST = 256
MAY_HAVE_RUN = (b"x-may-have-run", b"1")
FROM_RECORD = (b"x-from-record", b"1")


@dataclass(frozen=True, slots=True)
class OrderClass:
    """How requests of one class name their order: by a header, or by a top-level field of a
    JSON body; and for how long the record is kept."""

    header: bytes = b""
    body_field: str = ""
    keep_ms: int = 86_400_000


@dataclass(frozen=True)
class Orders:
    """The record's settings. `unavailable`: what becomes of an order that can't be recorded."""

    store_path: str
    classes: Mapping[str, OrderClass]
    unavailable: Literal["fail", "pass"] = "fail"
    max_bytes: int = 1 << 30


def digest_of(call: Call) -> bytes:
    """Of what is asked for: method, target and body."""
    return blake2b(call.start + b"\n" + call.body, digest_size=DIGEST_SIZE).digest()


def order_name(settings: OrderClass, header: bytes, body: bytes) -> bytes | None:
    """What the request calls its order, or None if it names none that can be used."""
    if settings.header:
        name = header.strip()
    else:
        try:
            told: Any = json.loads(body)
        except (ValueError, RecursionError):
            return None
        value = told.get(settings.body_field) if isinstance(told, dict) else None
        if isinstance(value, bool) or not isinstance(value, str | int):
            return None
        name = str(value).encode("utf-8", "surrogatepass")
    return name if 0 < len(name) <= NAME_MOST else None


def order_key(cls: str, name: bytes) -> bytes:
    return b"order/" + cls.encode() + b"/" + name


# --- Records ----------------------------------------------------------------------------


def encode_intent(digest: bytes) -> bytes:
    return INTENT + digest


def encode_answer(digest: bytes, answer: Answer) -> bytes:
    headers = [[name.decode("latin-1"), value.decode("latin-1")] for name, value in answer.headers]
    told = json.dumps([answer.ending.value, answer.status, headers], separators=(",", ":"))
    return ANSWERED + digest + told.encode() + b"\n" + answer.body


def may_have_run() -> Answer:
    return Answer(Ending.FAILED, 502, (MAY_HAVE_RUN,))


def another_body() -> Answer:
    return Answer(Ending.FAILED, 422, (), b"the order was named before with another request\n")


def answer_of(record: bytes, digest: bytes) -> Answer:
    """What a request is told whose order has this record; ValueError if it can't be read."""
    kind, known, rest = record[:1], record[1 : 1 + DIGEST_SIZE], record[1 + DIGEST_SIZE :]
    if kind not in (INTENT, ANSWERED) or len(known) < DIGEST_SIZE:
        raise ValueError("no record of an order")
    if known != digest:
        return another_body()
    if kind == INTENT:
        return may_have_run()
    line, _, body = rest.partition(b"\n")
    ending, status, headers = json.loads(line)
    pairs = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
    return Answer(Ending(ending), int(status), (*pairs, FROM_RECORD), body)
