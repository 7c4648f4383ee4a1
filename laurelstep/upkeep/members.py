"""What discovery says of the tier's machines, as one process heard it last. Pure.

Rules that everything here serves:

1. An entry is read as the engine reads it: what the engine would not take is not taken here.
2. Sums and groups are kept with each change: a plan costs what its wishes name, not the list.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator, Mapping
from math import inf
from typing import Any, Final

from laurelstep.engine.members import PHASES, endpoint_number, split_address
from laurelstep.interface import DRAINING, READY

__all__ = ["Member", "MemberTable", "read_member"]

LIFECYCLES: Final = {number: name for name, number in PHASES.items()}


class Member:
    """One machine, as discovery lists it."""

    __slots__ = ("_number", "address", "cell", "id", "kind", "phase", "started_ms", "weight", "zone")

    def __init__(
        self,
        id: str,
        address: str,
        phase: int,
        zone: str,
        cell: int,
        kind: str,
        weight: float,
        started_ms: int,
    ) -> None:
        self.id = id
        self.address = address
        self.phase = phase  # READY, DRAINING or GONE of `laurelstep.interface`
        self.zone = zone
        self.cell = cell
        self.kind = kind
        self.weight = weight
        self.started_ms = started_ms
        self._number = 0

    @property
    def number(self) -> int:
        """As the module has it; made when it is first asked for: few are."""
        self._number = self._number or endpoint_number(self.id)
        return self._number

    @property
    def size(self) -> float:
        """Its part of the capacity: as the module has it, 1 where none is told."""
        return self.weight if 0.0 < self.weight < inf else 1.0

    def raw(self, phase: int, started_ms: int) -> dict[str, Any]:
        """In discovery's form, in another phase or with another start."""
        return {
            "instanceId": self.id, "hostPort": self.address, "zone": self.zone, "machineType": self.kind,
            "cell": self.cell, "lifecycle": LIFECYCLES[phase], "weight": self.weight,
            "startedAtMs": started_ms,
        }  # fmt: skip


def read_member(raw: Any) -> Member:
    """ValueError for what is no entry."""
    try:
        phase = PHASES[raw["lifecycle"]]
        address = str(raw.get("hostPort", ""))
        if phase == READY:
            split_address(address)
        id = raw["instanceId"]
        id.encode()  # its number is made of that: see `endpoint_number`
        return Member(
            id=id,
            address=address,
            phase=phase,
            zone=sys.intern(str(raw.get("zone", ""))),
            cell=int(raw.get("cell", 0)),
            kind=sys.intern(str(raw.get("machineType", ""))),
            weight=float(raw.get("weight", 1.0)),
            started_ms=int(raw.get("startedAtMs", 0)),
        )
    except (KeyError, TypeError, AttributeError, ValueError, OverflowError) as error:
        raise ValueError(f"no entry: {error!r}") from None


class MemberTable:
    """All that are listed ready or draining, with their sums."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.whole = False  # a whole list was heard
        self.settled = True  # no list is being put in its place
        self.version = 0  # changes with each change
        self.ready = 0
        self.ready_weight = 0.0
        self.weight = 0.0
        self.draining: set[str] = set()
        self.groups: dict[tuple[str, object], set[str]] = {}  # ("zone" | "cell" | "kind", which)

    def put(self, member: Member) -> None:
        """What is gone leaves the table."""
        self.remove(member.id)
        if member.phase not in (READY, DRAINING):
            return
        self.members[member.id] = member
        self._count(member, 1)
        for key in _groups_of(member):
            self.groups.setdefault(key, set()).add(member.id)

    def remove(self, id: str) -> None:
        self.version += 1
        member = self.members.pop(id, None)
        if member is None:
            return
        self._count(member, -1)
        for key in _groups_of(member):
            group = self.groups[key]
            group.discard(id)
            if not group:
                del self.groups[key]

    def _count(self, member: Member, sign: int) -> None:
        self.weight += sign * member.size
        if member.phase == READY:
            self.ready += sign
            self.ready_weight += sign * member.size
        elif sign > 0:
            self.draining.add(member.id)
        else:
            self.draining.discard(member.id)
        if not self.members:  # no rest of rounding outlives a list
            self.weight = self.ready_weight = 0.0

    def replace(self, members: Mapping[str, Member]) -> Iterator[None]:
        """A whole list in place of this one; a step with each item. Between them the sums are of
        neither list: `settled` is False."""
        self.settled = False
        for id in [one for one in self.members if one not in members]:
            self.remove(id)
            yield
        for member in members.values():
            self.put(member)
            yield
        self.settled = self.whole = True

    def group(self, per: str, of: Member) -> Iterable[str]:
        """The ids in the zone or cell of a machine, or in the tier."""
        if per == "tier":
            return self.members
        return self.groups.get((per, of.zone if per == "zone" else of.cell), ())


def _groups_of(member: Member) -> tuple[tuple[str, object], ...]:
    return (("zone", member.zone), ("cell", member.cell), ("kind", member.kind))
