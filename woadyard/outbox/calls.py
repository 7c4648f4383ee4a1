"""The calls about kept writes at the second address, and their answers. Pure wording.

Rules that everything here serves:

1. `GET /api/outbox` tells how much is kept, whether the edge is cut off, and the first parked writes.
2. `POST /api/outbox/judge` says what became of one: `write`, `parking` and `verdict` (`ran`, `never_ran`,
   `give_up`) as query parameters. It names the parking, so that a verdict given twice holds once.
3. 202: it is being written, and `GET` tells when it holds; 200: this verdict was given already; 400, 404 and
   409: the error's name, cause and remedy, and nothing was changed.
"""

from __future__ import annotations

from typing import Any, Final, Protocol
from urllib.parse import parse_qs

import msgspec

from woadyard.errors import LaurelstepError
from woadyard.management.calls import Reply
from woadyard.outbox.errors import OutboxError, UnknownWriteError, VerdictError
from woadyard.outbox.journal import Verdict

ROOT: Final = b"/api/outbox"
METHODS: Final = {ROOT: b"GET", ROOT + b"/judge": b"POST"}
JSON_TYPE: Final = b"application/json"
FIELDS: Final = ("write", "parking", "verdict")
VERDICTS: Final = {one.name.lower(): one for one in Verdict}


class Desk(Protocol):
    """The driver, as calls know it."""

    def status(self) -> dict[str, Any]: ...

    def judge(self, text: str, parking: int, verdict: Verdict) -> bool:
        """False if it was given already. `OutboxError`."""


class OutboxCallError(OutboxError):
    """A call that can't be understood."""

    cause = "a call about a kept write can't be understood; nothing was changed"
    remedy = "give write, parking and verdict, once each, as GET /api/outbox tells them"


def reply_about(method: bytes, target: bytes, desk: Desk) -> Reply | None:
    """None for what is no call of the outbox's."""
    path, _, query = target.partition(b"?")
    expected = METHODS.get(path)
    if expected is None:
        return None
    if method != expected:
        return Reply(405, f"call it with {expected.decode()}\n", allow=expected)
    if path == ROOT:
        return _json(200, desk.status())
    try:
        is_new = desk.judge(*_read(query))
    except LaurelstepError as error:
        return _json(_status(error), _told(error))
    return _json(202 if is_new else 200, {"state": "being written" if is_new else "given already"})


def _status(error: LaurelstepError) -> int:
    if isinstance(error, UnknownWriteError):
        return 404
    return 409 if isinstance(error, VerdictError) else 400


def _told(error: LaurelstepError) -> dict[str, str]:
    return {
        "error": type(error).__name__, "what": str(error), "cause": error.cause, "remedy": error.remedy,
    }  # fmt: skip


def _json(status: int, value: Any) -> Reply:
    return Reply(status, msgspec.json.encode(value).decode() + "\n", JSON_TYPE)


def _read(query: bytes) -> tuple[str, int, Verdict]:
    try:
        given = parse_qs(query.decode("ascii"), strict_parsing=True, max_num_fields=len(FIELDS))
    except ValueError as error:
        raise OutboxCallError(f"the query can't be read: {error}") from None
    if sorted(given) != sorted(FIELDS) or any(len(values) != 1 for values in given.values()):
        raise OutboxCallError(f"expected {', '.join(FIELDS)}, once each, and nothing else")
    write, parking, verdict = (given[name][0] for name in FIELDS)
    if not parking.isdecimal() or not parking.isascii() or len(parking) > 9:
        raise OutboxCallError(f"parking: expected a number, got {parking[:40]!r}")
    if verdict not in VERDICTS:
        raise OutboxCallError(f"verdict: expected one of {', '.join(VERDICTS)}, got {verdict[:40]!r}")
    return write, int(parking), VERDICTS[verdict]
