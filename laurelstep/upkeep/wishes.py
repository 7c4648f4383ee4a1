"""A wish: which machines shall go out for work, and what must stay meanwhile. Pure.

Rules that everything here serves:

1. A wish is checked whole before anything is made of it; a bad one changes nothing.
2. Each error is a type of its own, with its cause and with what an operator can do.
3. A wish fits one entry of the record (`ENTRY_MOST` bytes), or is not taken.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Final, Literal, get_args

import msgspec

from laurelstep.errors import LaurelstepError

ENTRY_MOST: Final = 160
# Open at once, and machines of one of them: bounds of the record.
WISHES_MOST: Final = 16
MACHINES_MOST: Final = 1024
_NAME: Final = re.compile(r"[0-9A-Za-z._~-]{1,24}")

Per = Literal["zone", "cell", "tier"]


class UpkeepError(LaurelstepError):
    """What a call about upkeep meets. `status` is that of its answer."""

    status = 400
    cause = "a call about upkeep could not be done; nothing was changed"
    remedy = "see the type of the error"


class WishError(UpkeepError):
    cause = "a call's parameters can't be read as a wish"
    remedy = "see docs/operators/upkeep.md for the parameters, and call again"


class LimitError(UpkeepError):
    cause = "a wish's limit can't be: out below 1, a share outside 0 to 1, or a time that is none"
    remedy = "give out=1 or more, share from 0 to 1, overdue_s of 1 or more"


class UnknownMachineError(UpkeepError):
    cause = "discovery lists no machine like the one that a call names"
    remedy = "compare with discovery's list, or ask a copy whose list is newer"


class UnknownWishError(UpkeepError):
    cause = "no wish of this name is open"
    remedy = "GET /api/upkeep lists the open wishes"


class UnknownPeerError(UpkeepError):
    cause = "a call names a copy that is none of accord's peers"
    remedy = "give the copy's number as it stands in accord's peers, from 0"


class ContradictionError(UpkeepError):
    cause = "another wish of this name is open, and says something else"
    remedy = "withdraw that one first, or take another name"


class NeverError(UpkeepError):
    cause = "a wish can never hold: its own limits allow not even one of its machines out"
    remedy = "lower its share, or name machines that leave more behind"


class FitError(UpkeepError):
    cause = "a wish does not fit one entry of the record, or names too many machines"
    remedy = "name fewer machines in one wish, or name them by zone, cell or kind"


class ManyError(UpkeepError):
    cause = "too many wishes are open, or too many calls wait to be agreed"
    remedy = "wait until one is over, or withdraw one"


class OrderError(UpkeepError):
    cause = "the machine is not in the state that the call needs"
    remedy = "GET /api/upkeep tells its state: begin needs clear, done needs clear or at work"


class CutOffError(UpkeepError):
    status = 503
    cause = "this copy is not in touch with those that decide"
    remedy = "call another copy, or wait until the copies have a leader again"


class Limits(msgspec.Struct, frozen=True, array_like=True):
    """What must stay: at most `out` out at once for each zone, cell or in the tier, and at least
    `share` of the tier's capacity."""

    out: int = 1
    per: Per = "tier"
    share: float = 0.0


class Wish(msgspec.Struct, frozen=True, array_like=True):
    """Machines are named by id, zone, cell and kind; what names several ways means those for
    which all hold. `overdue_s` 0: as the settings say."""

    name: str
    limits: Limits
    ids: tuple[str, ...] = ()
    zone: str | None = None
    cell: int | None = None
    kind: str | None = None
    overdue_s: int = 0


PARAMETERS: Final = frozenset(
    ("name", "id", "address", "zone", "cell", "kind", "out", "per", "share", "overdue_s")
)


def read_wish(told: Mapping[str, list[str]], by_address: Mapping[str, str]) -> Wish:
    """A wish from a call's parameters: `id` and `address` may come several times. An address is
    taken for the machine there; `by_address` has the ids. `UpkeepError` for any other."""
    for key in told:
        if key not in PARAMETERS:
            raise WishError(f"{key}: no such parameter")
    name = _one(told, "name")
    if name is None or not _NAME.fullmatch(name):
        raise WishError("name: expected 1 to 24 of the characters 0-9 A-Z a-z . _ ~ -")
    ids = list(dict.fromkeys(told.get("id", [])))
    for address in told.get("address", []):
        if address not in by_address:
            raise UnknownMachineError(f"address: {address}")
        if by_address[address] not in ids:
            ids.append(by_address[address])
    cell = _one(told, "cell")
    wish = Wish(
        name=name,
        limits=_limits(told),
        ids=tuple(sorted(ids)),
        zone=_one(told, "zone"),
        cell=None if cell is None else _whole("cell", cell, WishError),
        kind=_one(told, "kind"),
        overdue_s=_overdue(told),
    )
    if not wish.ids and wish.zone is None and wish.cell is None and wish.kind is None:
        raise WishError("expected one of id, address, zone, cell and kind")
    return wish


def _limits(told: Mapping[str, list[str]]) -> Limits:
    out = _whole("out", _one(told, "out") or "1", LimitError)
    if not 1 <= out <= MACHINES_MOST:
        raise LimitError(f"out: expected 1 to {MACHINES_MOST}, got {out}")
    per = _one(told, "per") or "tier"
    if per not in get_args(Per):
        raise WishError(f"per: expected one of {', '.join(get_args(Per))}, got {per}")
    text = _one(told, "share") or "0"
    try:
        share = float(text)
    except ValueError:
        raise LimitError(f"share: expected a number, got {text}") from None
    if not 0.0 <= share <= 1.0:
        raise LimitError(f"share: expected 0 to 1, got {text}")
    return msgspec.convert((out, per, share), Limits)


def _overdue(told: Mapping[str, list[str]]) -> int:
    text = _one(told, "overdue_s")
    if text is None:
        return 0
    span = _whole("overdue_s", text, LimitError)
    if not 1 <= span <= 10_000_000:
        raise LimitError(f"overdue_s: expected 1 to 10000000, got {span}")
    return span


def _one(told: Mapping[str, list[str]], key: str) -> str | None:
    values = told.get(key)
    if not values:
        return None
    if len(values) > 1:
        raise WishError(f"{key}: given {len(values)} times")
    return values[0]


def _whole(key: str, text: str, error: type[UpkeepError]) -> int:
    if not re.fullmatch(r"-?[0-9]{1,12}", text):
        raise error(f"{key}: expected a whole number, got {text[:40]}")
    return int(text)
