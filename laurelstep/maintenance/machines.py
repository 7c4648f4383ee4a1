"""The machines that discovery lists, as one process heard of them last. Pure.

1. An entry is parsed as the engine parses it: what the engine would reject is rejected here.
2. Sums and groups are kept up to date with each change: planning costs what its requests select, not the
   list.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator, Mapping
from math import inf
from typing import Any, Final

from laurelstep.balancing.events import DRAINING, READY
from laurelstep.engine.members import PHASES, endpoint_number, split_address
from laurelstep.maintenance.requests import LimitScope

__all__ = ["ListedMachine", "MachineTable", "parse_listed_machine"]

LIFECYCLES: Final = {phase: name for name, phase in PHASES.items()}

# What machines are grouped by ("zone", "cell" or "kind"), and the value that they share.
GroupKey = tuple[str, object]


class ListedMachine:
    """One machine, as discovery lists it."""

    __slots__ = (
        "_endpoint_number", "address", "cell", "kind", "machine_id", "phase", "started_ms", "weight", "zone",
    )  # fmt: skip

    def __init__(
        self,
        machine_id: str,
        address: str,
        phase: int,
        zone: str,
        cell: int,
        kind: str,
        weight: float,
        started_ms: int,
    ) -> None:
        self.machine_id = machine_id
        self.address = address
        self.phase = phase  # READY, DRAINING or GONE of `laurelstep.balancing.events`
        self.zone = zone
        self.cell = cell
        self.kind = kind
        self.weight = weight
        self.started_ms = started_ms
        self._endpoint_number = 0

    @property
    def endpoint_number(self) -> int:
        """Its number in the engine. Computed when first asked for: few ever are."""
        self._endpoint_number = self._endpoint_number or endpoint_number(self.machine_id)
        return self._endpoint_number

    @property
    def capacity(self) -> float:
        """Its weight as the engine counts it: 1 where none is listed."""
        return self.weight if 0.0 < self.weight < inf else 1.0

    @property
    def group_keys(self) -> tuple[GroupKey, ...]:
        """The groups that it belongs to."""
        return (("zone", self.zone), ("cell", self.cell), ("kind", self.kind))

    def to_entry(self, phase: int, started_ms: int) -> dict[str, Any]:
        """Its entry in discovery's form, with another phase or start time."""
        return {
            "instanceId": self.machine_id, "hostPort": self.address, "zone": self.zone,
            "machineType": self.kind, "cell": self.cell, "lifecycle": LIFECYCLES[phase],
            "weight": self.weight, "startedAtMs": started_ms,
        }  # fmt: skip


def parse_listed_machine(raw: Any) -> ListedMachine:
    """The machine of an entry in discovery's form. Raises ValueError for anything else."""
    try:
        phase = PHASES[raw["lifecycle"]]
        address = str(raw.get("hostPort", ""))
        if phase == READY:
            split_address(address)
        machine_id = raw["instanceId"]
        machine_id.encode()  # its number is made of that: see `endpoint_number`
        return ListedMachine(
            machine_id=machine_id,
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


class MachineTable:
    """All machines that are listed ready or draining, with their sums."""

    def __init__(self) -> None:
        self.machines: dict[str, ListedMachine] = {}
        self.is_complete = False  # a complete list was received
        self.is_settled = True  # no list is being put in its place
        self.version = 0  # differs after each change
        self.ready_count = 0
        self.ready_weight = 0.0
        self.listed_weight = 0.0
        self.draining: set[str] = set()
        self.groups: dict[GroupKey, set[str]] = {}

    def put(self, machine: ListedMachine) -> None:
        """Add or replace a machine; one that is gone leaves the table."""
        self.remove(machine.machine_id)
        if machine.phase not in (READY, DRAINING):
            return
        self.machines[machine.machine_id] = machine
        self._count(machine, 1)
        for key in machine.group_keys:
            self.groups.setdefault(key, set()).add(machine.machine_id)

    def remove(self, machine_id: str) -> None:
        """Remove a machine, if it is in the table."""
        self.version += 1
        machine = self.machines.pop(machine_id, None)
        if machine is None:
            return
        self._count(machine, -1)
        for key in machine.group_keys:
            group = self.groups[key]
            group.discard(machine_id)
            if not group:
                del self.groups[key]

    def _count(self, machine: ListedMachine, sign: int) -> None:
        self.listed_weight += sign * machine.capacity
        if machine.phase == READY:
            self.ready_count += sign
            self.ready_weight += sign * machine.capacity
        elif sign > 0:
            self.draining.add(machine.machine_id)
        else:
            self.draining.discard(machine.machine_id)
        if not self.machines:  # no rounding error outlives a list
            self.listed_weight = self.ready_weight = 0.0

    def replace(self, machines: Mapping[str, ListedMachine]) -> Iterator[None]:
        """Put a complete list in place of this one, one machine a step.

        Until the last step the sums are of neither list: `is_settled` is False.
        """
        self.is_settled = False
        for machine_id in [known for known in self.machines if known not in machines]:
            self.remove(machine_id)
            yield
        for machine in machines.values():
            self.put(machine)
            yield
        self.is_settled = self.is_complete = True

    def ids_in_scope(self, scope: LimitScope, machine: ListedMachine) -> Iterable[str]:
        """The ids of the machines in the zone or cell of this one, or in the tier."""
        if scope == "tier":
            return self.machines
        return self.groups.get((scope, machine.zone if scope == "zone" else machine.cell), ())
