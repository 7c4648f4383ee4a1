"""Maintenance requests: which machines to take out of service, and under which limits. Pure.

1. A request is checked completely before it is submitted; an invalid one changes nothing.
2. Each kind of error has its own type (`errors`), with its cause and remedy.
3. A request that does not fit one log entry (`bounds.MAX_ENTRY_BYTES`) is rejected.

Structs are encoded as arrays: the order of their fields never changes, and new ones are added at the end.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Final, Literal, get_args

import msgspec

from laurelstep.maintenance.bounds import MAX_MACHINES_PER_REQUEST
from laurelstep.maintenance.errors import (
    InvalidLimitError,
    InvalidRequestError,
    MaintenanceError,
    UnknownMachineError,
)

_REQUEST_NAME: Final = re.compile(r"[0-9A-Za-z._~-]{1,24}")
_INTEGER: Final = re.compile(r"-?[0-9]{1,12}")
_MAX_OVERDUE_S: Final = 10_000_000

LimitScope = Literal["zone", "cell", "tier"]


class DisruptionLimits(msgspec.Struct, frozen=True, array_like=True):
    """At most `max_unavailable` machines may be out of service at once in each zone, each cell or the tier
    (`scope`), and at least `min_capacity_share` (0 to 1) of the tier's capacity must stay in service.
    """

    max_unavailable: int = 1
    scope: LimitScope = "tier"
    min_capacity_share: float = 0.0


class MaintenanceRequest(msgspec.Struct, frozen=True, array_like=True):
    """The machines that an operator wants out of service, selected by id, zone, cell and kind.

    A machine is selected if it matches all selectors that are set. `overdue_s`: how long a machine may stay
    drained, or under work, before it is reported overdue, in seconds; 0 means the setting's value.
    """

    name: str
    limits: DisruptionLimits
    machine_ids: tuple[str, ...] = ()
    zone: str | None = None
    cell: int | None = None
    kind: str | None = None
    overdue_s: int = 0

    @property
    def has_selector(self) -> bool:
        """Whether at least one selector is set."""
        selectors = (self.zone, self.cell, self.kind)
        return bool(self.machine_ids) or any(selector is not None for selector in selectors)


Parameters = Mapping[str, list[str]]
PARAMETERS: Final = frozenset(
    ("name", "id", "address", "zone", "cell", "kind", "out", "per", "share", "overdue_s")
)


def parse_request(parameters: Parameters, ids_by_address: Mapping[str, str]) -> MaintenanceRequest:
    """Parse the query parameters of a call; `id` and `address` may be repeated.

    `ids_by_address` maps addresses to machine ids. Raises `MaintenanceError` if a parameter is invalid.
    """
    for key in parameters:
        if key not in PARAMETERS:
            raise InvalidRequestError(f"{key}: no such parameter")
    name = _single_value(parameters, "name")
    if name is None or not _REQUEST_NAME.fullmatch(name):
        raise InvalidRequestError("name: expected 1 to 24 of the characters 0-9 A-Z a-z . _ ~ -")
    machine_ids = _machine_ids(parameters, ids_by_address)
    cell = _single_value(parameters, "cell")
    request = MaintenanceRequest(
        name=name,
        limits=_parse_limits(parameters),
        machine_ids=machine_ids,
        zone=_single_value(parameters, "zone"),
        cell=None if cell is None else _parse_integer("cell", cell, InvalidRequestError),
        kind=_single_value(parameters, "kind"),
        overdue_s=_parse_overdue_s(parameters),
    )
    if not request.has_selector:
        raise InvalidRequestError("expected one of id, address, zone, cell and kind")
    return request


def _machine_ids(parameters: Parameters, ids_by_address: Mapping[str, str]) -> tuple[str, ...]:
    machine_ids = set(parameters.get("id", []))
    for address in parameters.get("address", []):
        if address not in ids_by_address:
            raise UnknownMachineError(f"address: {address}")
        machine_ids.add(ids_by_address[address])
    return tuple(sorted(machine_ids))


def _parse_limits(parameters: Parameters) -> DisruptionLimits:
    max_unavailable = _parse_integer("out", _single_value(parameters, "out") or "1", InvalidLimitError)
    if not 1 <= max_unavailable <= MAX_MACHINES_PER_REQUEST:
        raise InvalidLimitError(f"out: expected 1 to {MAX_MACHINES_PER_REQUEST}, got {max_unavailable}")
    scope = _single_value(parameters, "per") or "tier"
    if scope not in get_args(LimitScope):
        raise InvalidRequestError(f"per: expected one of {', '.join(get_args(LimitScope))}, got {scope}")
    text = _single_value(parameters, "share") or "0"
    try:
        share = float(text)
    except ValueError:
        raise InvalidLimitError(f"share: expected a number, got {text}") from None
    if not 0.0 <= share <= 1.0:
        raise InvalidLimitError(f"share: expected 0 to 1, got {text}")
    return msgspec.convert((max_unavailable, scope, share), DisruptionLimits)


def _parse_overdue_s(parameters: Parameters) -> int:
    text = _single_value(parameters, "overdue_s")
    if text is None:
        return 0
    overdue_s = _parse_integer("overdue_s", text, InvalidLimitError)
    if not 1 <= overdue_s <= _MAX_OVERDUE_S:
        raise InvalidLimitError(f"overdue_s: expected 1 to {_MAX_OVERDUE_S}, got {overdue_s}")
    return overdue_s


def _single_value(parameters: Parameters, key: str) -> str | None:
    """The value of a parameter that may be given once; None if it is missing."""
    values = parameters.get(key)
    if not values:
        return None
    if len(values) > 1:
        raise InvalidRequestError(f"{key}: given {len(values)} times")
    return values[0]


def _parse_integer(key: str, text: str, error: type[MaintenanceError]) -> int:
    if not _INTEGER.fullmatch(text):
        raise error(f"{key}: expected a whole number, got {text[:40]}")
    return int(text)
