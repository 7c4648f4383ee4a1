"""The journal's records, and the answers to requests whose idempotency key has a record. No I/O.

The rules:

1. A record is an intent or a response, with a digest of the request's method, target and body.
2. An intent without a response means that the request may have run. A repeat is answered with a failure,
   never a rejection, and is not sent.
3. A recorded response is returned unchanged. A rejected request has no record, as it did not run.
4. The same key with another digest belongs to another request; the answer says so.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from laurelstep.engine.call import Answer, Call, Ending
from laurelstep.request_journal.settings import JournalClass

DIGEST_BYTES = 16
MAX_KEY_BYTES = 256
MAY_HAVE_RUN = (b"x-may-have-run", b"1")
FROM_RECORD = (b"x-from-record", b"1")

# The first byte of a stored record.
_INTENT_MARK, _RESPONSE_MARK = b"I", b"A"
_STORE_PREFIX = b"order/"


@dataclass(frozen=True, slots=True)
class IntentRecord:
    """A request was about to be sent. `digest`: see `request_digest`."""

    digest: bytes

    def encode(self) -> bytes:
        """Encode for the store: mark and digest."""
        return _INTENT_MARK + self.digest


@dataclass(frozen=True, slots=True)
class ResponseRecord:
    """A request got this final answer."""

    digest: bytes
    answer: Answer

    def encode(self) -> bytes:
        """Encode for the store: mark, digest, a JSON line with status and headers, then the body."""
        answer = self.answer
        headers = [[name.decode("latin-1"), value.decode("latin-1")] for name, value in answer.headers]
        line = json.dumps([answer.ending.value, answer.status, headers], separators=(",", ":"))
        return _RESPONSE_MARK + self.digest + line.encode() + b"\n" + answer.body


def decode_record(data: bytes) -> IntentRecord | ResponseRecord:
    """Decode a stored record. Raises ValueError if it is damaged."""
    mark, digest, rest = data[:1], data[1 : 1 + DIGEST_BYTES], data[1 + DIGEST_BYTES :]
    if mark not in (_INTENT_MARK, _RESPONSE_MARK) or len(digest) < DIGEST_BYTES:
        raise ValueError("not a record of a request")
    if mark == _INTENT_MARK:
        return IntentRecord(digest)
    line, _, body = rest.partition(b"\n")
    ending, status, headers = json.loads(line)
    pairs = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
    return ResponseRecord(digest, Answer(Ending(ending), int(status), pairs, body))


# --- Keys ---------------------------------------------------------------------------------


def request_digest(call: Call) -> bytes:
    """Return a digest of a request's method, target and body."""
    return blake2b(call.method_and_target + b"\n" + call.body, digest_size=DIGEST_BYTES).digest()


def idempotency_key(journal_class: JournalClass, header: bytes, body: bytes) -> bytes | None:
    """Return a request's key from the value of its header or from its body; None if there is no valid one."""
    key = header.strip() if journal_class.header else _key_in_body(journal_class.body_field, body)
    return key if 0 < len(key) <= MAX_KEY_BYTES else None


def _key_in_body(field: str, body: bytes) -> bytes:
    """Return a string or an integer at the top level of a JSON object; empty if there is none."""
    try:
        document: Any = json.loads(body)
    except (ValueError, RecursionError):
        return b""
    value = document.get(field) if isinstance(document, dict) else None
    if isinstance(value, bool) or not isinstance(value, str | int):
        return b""
    return str(value).encode("utf-8", "surrogatepass")


def store_key(class_name: str, key: bytes) -> bytes:
    """Return the store's key for the record of a class's idempotency key."""
    return _STORE_PREFIX + class_name.encode() + b"/" + key


# --- Answers ------------------------------------------------------------------------------


def may_have_run_answer() -> Answer:
    """Return the answer to a request that may have run, with an unknown outcome."""
    return Answer(Ending.FAILED, 502, (MAY_HAVE_RUN,))


def key_conflict_answer() -> Answer:
    """Return the answer to a request whose idempotency key was used for another request."""
    return Answer(Ending.FAILED, 422, (), b"the order was named before with another request\n")


def answer_from_record(data: bytes, digest: bytes) -> Answer:
    """Return the answer to a request whose key has this record. Raises ValueError if it is damaged."""
    record = decode_record(data)
    if record.digest != digest:
        return key_conflict_answer()
    if isinstance(record, IntentRecord):
        return may_have_run_answer()
    answer = record.answer
    return Answer(answer.ending, answer.status, (*answer.headers, FROM_RECORD), answer.body)
