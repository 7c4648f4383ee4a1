"""The management calls about queued writes, and their answers. Parses and formats only.

The rules:

1. `GET /api/outbox` returns how much is queued, whether the edge is cut off, and the first parked writes. At
   a copy that shares a ledger of applied writes, also the ledger's status.
2. `POST /api/outbox/judge` resolves a parked write. The query parameters are `write`, `parking` and `verdict`
   (`ran`, `never_ran`, `give_up`). The call names the parking, so that a verdict given twice applies once.
3. `POST /api/outbox/lost` declares an edge lost at a copy that shares a ledger: the edge will not return, and
   its writes that are not applied are given up. The parameters are `edge`, and `incarnation` in 16 hex digits
   if only that incarnation is lost. This can't be undone.
4. `POST /api/outbox/claim` is for the edge log of an earlier incarnation that is fenced here: of the
   processes that have copies of the same disk, this one replays it. The parameter `line` is
   `edge/incarnation`.
5. 202: the change is being stored, and `GET` shows when it is done. 200: it was made already. 400, 404 and
   409: the body has the error's name, cause and remedy, and nothing was changed.
"""

from __future__ import annotations

from typing import Any, Final, Protocol, runtime_checkable
from urllib.parse import parse_qs

import msgspec

from laurelstep.errors import LaurelstepError
from laurelstep.management.calls import Reply
from laurelstep.outbox.errors import OutboxError, UnknownWriteError, VerdictError
from laurelstep.outbox.records import Resolution
from laurelstep.outbox.write_ids import EdgeLog, check_edge, parse_write_id

ROOT: Final = b"/api/outbox"
JUDGE, LOST, CLAIM = ROOT + b"/judge", ROOT + b"/lost", ROOT + b"/claim"
METHODS: Final = {ROOT: b"GET", JUDGE: b"POST", LOST: b"POST", CLAIM: b"POST"}
JSON_TYPE: Final = b"application/json"
JUDGE_FIELDS: Final = ("write", "parking", "verdict")
VERDICTS: Final = {resolution.name.lower(): resolution for resolution in Resolution}


class OutboxApi(Protocol):
    """What the management calls need of an outbox's driver."""

    def status(self) -> dict[str, Any]:
        """The status for an operator, in types that JSON has."""

    def resolve(self, text: str, parking: int, resolution: Resolution) -> bool:
        """Resolve a parked write; False if that was done already. `OutboxError` if it can't be resolved."""


class EdgeLossApi(Protocol):
    """What the management calls need of a copy that shares a ledger."""

    def lose(self, edge: str, incarnation: int) -> bool:
        """Declare an edge lost, or one incarnation of it if not 0. False if it was declared already."""

    def status(self) -> dict[str, Any]:
        """The status for an operator, in types that JSON has."""


@runtime_checkable
class LogClaimApi(Protocol):
    """What the management calls need of an edge that may claim logs of earlier incarnations."""

    def claim(self, edge_log: EdgeLog) -> bool:
        """Claim a log; False if this process holds it already. `UnknownWriteError` if it has no such log."""


class OutboxCallError(OutboxError):
    """A call with wrong or missing parameters."""

    cause = "a management call about queued writes is malformed; nothing was changed"
    remedy = "give each parameter that the call needs once; GET /api/outbox and the operators' page have them"


class UnsharedError(OutboxError):
    """A call about the shared ledger, at a process that does not share one."""

    cause = "a call concerns the ledger that upstream copies share, in which this process takes no part"
    remedy = "call a copy upstream that has outbox.shared on, or the edge whose line it is"


def reply_about(
    method: bytes,
    target: bytes,
    outbox: OutboxApi,
    shared: EdgeLossApi | None = None,
    claimer: LogClaimApi | None = None,
) -> Reply | None:
    """Answer a management call; None if the path is not one of the outbox's.

    `shared`: None at a process that shares no ledger. `claimer`: None where logs can't be claimed.
    """
    path, _, query = target.partition(b"?")
    expected = METHODS.get(path)
    if expected is None:
        return None
    if method != expected:
        return Reply(405, f"call it with {expected.decode()}\n", allow=expected)
    if path == ROOT:
        status = outbox.status()
        return _json(200, status if shared is None else {**status, "shared": shared.status()})
    try:
        is_new = _apply(path, query, outbox, shared, claimer)
    except LaurelstepError as error:
        return _json(_status_code(error), _error_body(error))
    return _json(202 if is_new else 200, {"state": "being written" if is_new else "given already"})


def _apply(
    path: bytes, query: bytes, outbox: OutboxApi, shared: EdgeLossApi | None, claimer: LogClaimApi | None
) -> bool:
    if path == JUDGE:
        return outbox.resolve(*_read_resolution(query))
    if path == LOST:
        if shared is None:
            raise UnsharedError("edges are declared lost where outbox.shared is on")
        return shared.lose(*_read_lost(query))
    if claimer is None:
        raise UnsharedError("lines are claimed where outbox.shared is on, or outbox.upstream is 'copies'")
    return claimer.claim(_read_edge_log(query))


def _status_code(error: LaurelstepError) -> int:
    if isinstance(error, UnknownWriteError):
        return 404
    return 409 if isinstance(error, VerdictError) else 400


def _error_body(error: LaurelstepError) -> dict[str, str]:
    return {
        "error": type(error).__name__, "what": str(error), "cause": error.cause, "remedy": error.remedy,
    }  # fmt: skip


def _json(status: int, value: Any) -> Reply:
    return Reply(status, msgspec.json.encode(value).decode() + "\n", JSON_TYPE)


def _read_resolution(query: bytes) -> tuple[str, int, Resolution]:
    values = _fields(query, JUDGE_FIELDS)
    write, parking, resolution = (values[name] for name in JUDGE_FIELDS)
    if not parking.isdecimal() or not parking.isascii() or len(parking) > 9:
        raise OutboxCallError(f"parking: expected a number, got {parking[:40]!r}")
    if resolution not in VERDICTS:
        raise OutboxCallError(f"verdict: expected one of {', '.join(VERDICTS)}, got {resolution[:40]!r}")
    return write, int(parking), VERDICTS[resolution]


def _read_lost(query: bytes) -> tuple[str, int]:
    values = _fields(query, ("edge",), ("incarnation",))
    incarnation = values.get("incarnation")
    if incarnation is not None:
        return _parse_edge_log(f"{values['edge']}/{incarnation}")
    try:
        return check_edge(values["edge"]), 0
    except ValueError as error:
        raise OutboxCallError(f"edge: {error}") from None


def _read_edge_log(query: bytes) -> EdgeLog:
    return _parse_edge_log(_fields(query, ("line",))["line"])


def _parse_edge_log(text: str) -> EdgeLog:
    try:
        edge_log = parse_write_id(f"{text}/1").edge_log
    except OutboxError:
        edge_log = EdgeLog("", 0)
    if not edge_log.incarnation:
        raise OutboxCallError(f"expected an edge's name and a life in 16 hex digits, got {text[:60]!r}")
    return edge_log


def _fields(query: bytes, required: tuple[str, ...], optional: tuple[str, ...] = ()) -> dict[str, str]:
    """The query's parameters: each required one once, each optional one at most once, and no other."""
    try:
        max_fields = len(required) + len(optional)
        parameters = parse_qs(query.decode("ascii"), strict_parsing=True, max_num_fields=max_fields)
    except ValueError as error:
        raise OutboxCallError(f"the query can't be read: {error}") from None
    names = set(parameters)
    if not set(required) <= names <= {*required, *optional} or any(
        len(values) != 1 for values in parameters.values()
    ):
        expected = ", ".join(required) + "".join(f" and maybe {name}" for name in optional)
        raise OutboxCallError(f"expected {expected}, once each, and nothing else")
    return {name: values[0] for name, values in parameters.items()}
