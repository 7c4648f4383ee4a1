"""What the tables of the operator's file have in common: their base, and the bounds of plain values."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

Effect = Literal["safe", "keyed", "unsafe"]
Count = Annotated[int, msgspec.Meta(ge=1)]
Whole = Annotated[int, msgspec.Meta(ge=0)]
Part = Annotated[float, msgspec.Meta(gt=0.0, le=1.0)]
Amount = Annotated[float, msgspec.Meta(ge=0.0)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[0-9A-Za-z._~-]{1,64}$")]


class OperatorTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of the file: what it does not know is an error, never ignored."""


def has_duplicates(names: list[str]) -> bool:
    """Whether a name stands more than once."""
    return len(set(names)) < len(names)
