"""The base class of the tables in the operator's file, and the value types that they share."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

Effect = Literal["safe", "keyed", "unsafe"]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
Fraction = Annotated[float, msgspec.Meta(gt=0.0, le=1.0)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0.0)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[0-9A-Za-z._~-]{1,64}$")]


class OperatorTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of the file. Unknown keys are errors."""


def has_duplicates(names: list[str]) -> bool:
    """Whether any name occurs more than once."""
    return len(set(names)) < len(names)
