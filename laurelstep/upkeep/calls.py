"""The calls about upkeep at the second address, and their answers. Pure wording.

Rules that everything here serves:

1. What a call needs comes as query parameters; answers are JSON objects.
2. 200: it is so already; 202: it was told to those who decide, and `GET /api/upkeep` says what
   becomes of it; 400 and 503: the error's name, cause and remedy, and nothing was changed.
"""

from __future__ import annotations

from typing import Any, Final, Protocol
from urllib.parse import parse_qs

import msgspec

from laurelstep.errors import LaurelstepError
from laurelstep.management.calls import Reply
from laurelstep.upkeep.wishes import UpkeepError, Wish, WishError, read_wish

ROOT: Final = b"/api/upkeep"
JSON_TYPE: Final = b"application/json"
METHODS: Final = {
    ROOT: b"GET",
    ROOT + b"/wish": b"POST",
    ROOT + b"/withdraw": b"POST",
    ROOT + b"/begin": b"POST",
    ROOT + b"/done": b"POST",
    ROOT + b"/absent": b"POST",
}
FIELDS_MOST: Final = 128


class Asked(Protocol):
    number: int
    said: str


class Desk(Protocol):
    """The keeper, as calls know it: each gives None where what is asked for is so already, and
    raises `UpkeepError` where it can't be."""

    def status(self) -> dict[str, Any]: ...
    def addresses(self) -> dict[str, str]: ...
    def wish(self, wish: Wish) -> Asked | None: ...
    def withdraw(self, name: str) -> Asked | None: ...
    def work(self, event: str, id: str) -> Asked | None: ...
    def absent(self, peer: int) -> Asked | None: ...


def reply_about(method: bytes, target: bytes, desk: Desk) -> Reply | None:
    """None for what is no call of upkeep's."""
    path, _, query = target.partition(b"?")
    expected = METHODS.get(path)
    if expected is None:
        return None
    if method != expected:
        return Reply(405, f"call it with {expected.decode()}\n", allow=expected)
    if path == ROOT:
        return _json(200, desk.status())
    try:
        asked = _do(path[len(ROOT) + 1 :].decode(), _read(query), desk)
    except LaurelstepError as error:
        status = error.status if isinstance(error, UpkeepError) else 400
        return _json(status, told(error))
    if asked is None:
        return _json(200, {"state": "agreed"})
    return _json(202, {"state": asked.said, "asked": asked.number})


def told(error: LaurelstepError) -> dict[str, str]:
    return {
        "error": type(error).__name__, "what": str(error), "cause": error.cause, "remedy": error.remedy,
    }  # fmt: skip


def _json(status: int, value: Any) -> Reply:
    return Reply(status, msgspec.json.encode(value).decode() + "\n", JSON_TYPE)


def _read(query: bytes) -> dict[str, list[str]]:
    try:
        return parse_qs(
            query.decode("ascii"), keep_blank_values=True, strict_parsing=bool(query), errors="strict",
            max_num_fields=FIELDS_MOST,
        )  # fmt: skip
    except ValueError as error:
        raise WishError(f"the query can't be read: {error}") from None


def _do(verb: str, given: dict[str, list[str]], desk: Desk) -> Asked | None:
    if verb == "wish":
        return desk.wish(read_wish(given, desk.addresses() if "address" in given else {}))
    if verb == "withdraw":
        return desk.withdraw(_only(given, "name"))
    if verb == "absent":
        peer = _only(given, "peer")
        if not peer.isdecimal() or not peer.isascii() or len(peer) > 6:
            raise WishError(f"peer: expected a number, got {peer[:40]}")
        return desk.absent(int(peer))
    return desk.work(verb, _only(given, "machine"))


def _only(given: dict[str, list[str]], key: str) -> str:
    """The one parameter that this call has."""
    if list(given) != [key] or len(given[key]) != 1:
        raise WishError(f"expected {key}, once, and nothing else")
    return given[key][0]
