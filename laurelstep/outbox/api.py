"""The calls about queued writes at the second address, and their answers. Pure wording.

Rules that everything here serves:

1. `GET /api/outbox` tells how much is kept, whether the edge is cut off, and the first parked writes.
   Where copies share what is in, also what their record holds.
2. `POST /api/outbox/judge` says what became of one: `write`, `parking` and `resolution` (`ran`, `never_ran`,
   `give_up`) as query parameters. It names the parking, so that a resolution given twice holds once.
3. `POST /api/outbox/lost` with `edge`, and `incarnation` in 16 hex digits for one of its lives alone, at a
   copy that shares: that edge will not come back, and what of it is not in is given up. Never taken back.
4. `POST /api/outbox/claim` with `line` as `edge/incarnation`, where a former life's log is fenced: of the
   processes that have copies of this disk, this one replays it.
5. 202: it is being written, and `GET` tells when it holds; 200: it was said already; 400, 404 and
   409: the error's name, cause and remedy, and nothing was changed.
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
FIELDS: Final = ("write", "parking", "verdict")
VERDICTS: Final = {one.name.lower(): one for one in Resolution}


class OutboxApi(Protocol):
    """The driver, as calls know it."""

    def status(self) -> dict[str, Any]:
        """For an operator, in JSON's types."""

    def resolve(self, text: str, parking: int, resolution: Resolution) -> bool:
        """False if it was given already. `OutboxError`."""


class EdgeLossApi(Protocol):
    """What copies share, as calls know it."""

    def lose(self, edge: str, incarnation: int) -> bool:
        """An edge is lost, or with an incarnation one life of it. False if that was said already."""

    def status(self) -> dict[str, Any]:
        """For an operator, in JSON's types."""


@runtime_checkable
class LogClaimApi(Protocol):
    """Who holds logs of former lives, as calls know it."""

    def claim(self, edge_log: EdgeLog) -> bool:
        """False if it is held. `UnknownWriteError`."""


class OutboxCallError(OutboxError):
    """A call that can't be understood."""

    cause = "a call about a kept write can't be understood; nothing was changed"
    remedy = "give what the call needs, once each, as GET /api/outbox and the operators' page tell it"


class UnsharedError(OutboxError):
    """A call about what copies share, where none do."""

    cause = "a call is about what copies upstream share of kept writes, and this process has no part in it"
    remedy = "call a copy upstream that has outbox.shared on, or the edge whose line it is"


def reply_about(
    method: bytes,
    target: bytes,
    desk: OutboxApi,
    shared: EdgeLossApi | None = None,
    claimer: LogClaimApi | None = None,
) -> Reply | None:
    """None for what is no call of the outbox's. `shared`: at a copy that shares."""
    path, _, query = target.partition(b"?")
    expected = METHODS.get(path)
    if expected is None:
        return None
    if method != expected:
        return Reply(405, f"call it with {expected.decode()}\n", allow=expected)
    if path == ROOT:
        told = desk.status()
        return _json(200, told if shared is None else {**told, "shared": shared.status()})
    try:
        is_new = _act(path, query, desk, shared, claimer)
    except LaurelstepError as error:
        return _json(_status(error), _told(error))
    return _json(202 if is_new else 200, {"state": "being written" if is_new else "given already"})


def _act(
    path: bytes, query: bytes, desk: OutboxApi, shared: EdgeLossApi | None, claimer: LogClaimApi | None
) -> bool:
    if path == JUDGE:
        return desk.resolve(*_read(query))
    if path == LOST:
        if shared is None:
            raise UnsharedError("edges are declared lost where outbox.shared is on")
        return shared.lose(*_read_lost(query))
    if claimer is None:
        raise UnsharedError("lines are claimed where outbox.shared is on, or outbox.upstream is 'copies'")
    return claimer.claim(_read_line(query))


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


def _read(query: bytes) -> tuple[str, int, Resolution]:
    given = _fields(query, FIELDS)
    write, parking, resolution = (given[name] for name in FIELDS)
    if not parking.isdecimal() or not parking.isascii() or len(parking) > 9:
        raise OutboxCallError(f"parking: expected a number, got {parking[:40]!r}")
    if resolution not in VERDICTS:
        raise OutboxCallError(f"verdict: expected one of {', '.join(VERDICTS)}, got {resolution[:40]!r}")
    return write, int(parking), VERDICTS[resolution]


def _read_lost(query: bytes) -> tuple[str, int]:
    given = _fields(query, ("edge",), ("incarnation",))
    life = given.get("incarnation")
    if life is not None:
        return _line(f"{given['edge']}/{life}")
    try:
        return check_edge(given["edge"]), 0
    except ValueError as error:
        raise OutboxCallError(f"edge: {error}") from None


def _read_line(query: bytes) -> EdgeLog:
    return _line(_fields(query, ("line",))["line"])


def _line(text: str) -> EdgeLog:
    try:
        edge_log = parse_write_id(f"{text}/1").edge_log
    except OutboxError:
        edge_log = EdgeLog("", 0)
    if not edge_log.incarnation:
        raise OutboxCallError(f"expected an edge's name and a life in 16 hex digits, got {text[:60]!r}")
    return edge_log


def _fields(query: bytes, needed: tuple[str, ...], others: tuple[str, ...] = ()) -> dict[str, str]:
    """Each once, and nothing else."""
    try:
        most = len(needed) + len(others)
        given = parse_qs(query.decode("ascii"), strict_parsing=True, max_num_fields=most)
    except ValueError as error:
        raise OutboxCallError(f"the query can't be read: {error}") from None
    names = set(given)
    if not set(needed) <= names <= {*needed, *others} or any(len(values) != 1 for values in given.values()):
        told = ", ".join(needed) + "".join(f" and maybe {name}" for name in others)
        raise OutboxCallError(f"expected {told}, once each, and nothing else")
    return {name: values[0] for name, values in given.items()}
