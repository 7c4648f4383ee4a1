"""The machines in one process's latest list from discovery. Pure.

1. An entry is parsed as the engine parses it: what the engine would reject is rejected here.
2. Totals and groups are updated with each change, so that the cost of planning depends on the number of
   selected machines and not on the length of the list.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator, Mapping
from math import inf
from typing import Any, Final

from laurelstep.balancing.events import DRAINING, READY
from laurelstep.engine.endpoint_table import PHASES, endpoint_number, split_address
from laurelstep.maintenance.requests import LimitScope

__all__ = ["ListedMachine", "MachineTable", "parse_listed_machine"]

LIFECYCLES: Final = {phase: name for name, phase in PHASES.items()}

# The attribute by which machines are grouped ("zone", "cell" or "kind"), and its value.
GroupKey = tuple[str, object]


class ListedMachine:
    """A machine as listed by discovery."""

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
        """Its number in the engine. Computed at the first use, since most are never used."""
        self._endpoint_number = self._endpoint_number or endpoint_number(self.machine_id)
        return self._endpoint_number

    @property
    def capacity(self) -> float:
        """Its weight as the engine counts it: 1 if the listed one is not positive and finite."""
        return self.weight if 0.0 < self.weight < inf else 1.0

    @property
    def group_keys(self) -> tuple[GroupKey, ...]:
        """The keys of its groups in `MachineTable.groups`."""
        return (("zone", self.zone), ("cell", self.cell), ("kind", self.kind))

    def to_entry(self, phase: int, started_ms: int) -> dict[str, Any]:
        """Its entry in the format of discovery, with the given phase and start time."""
        return {
            "instanceId": self.machine_id, "hostPort": self.address, "zone": self.zone,
            "machineType": self.kind, "cell": self.cell, "lifecycle": LIFECYCLES[phase],
            "weight": self.weight, "startedAtMs": started_ms,
        }  # fmt: skip


def parse_listed_machine(raw: Any) -> ListedMachine:
    """Parse an entry in the format of discovery. Raises ValueError if it is malformed."""
    try:
        phase = PHASES[raw["lifecycle"]]
        address = str(raw.get("hostPort", ""))
        if phase == READY:
            split_address(address)
        machine_id = raw["instanceId"]
        machine_id.encode()  # `endpoint_number` needs valid Unicode
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
        raise ValueError(f"malformed entry: {error!r}") from None


class MachineTable:
    """All machines that are listed as ready or draining, with their totals."""

    def __init__(self) -> None:
        self.machines: dict[str, ListedMachine] = {}
        self.is_complete = False  # a full list was stored
        self.is_consistent = True  # False while a full list is being stored
        self.version = 0  # incremented with each change
        self.ready_count = 0
        self.ready_weight = 0.0
        self.listed_weight = 0.0
        self.draining: set[str] = set()
        self.groups: dict[GroupKey, set[str]] = {}

    def put(self, machine: ListedMachine) -> None:
        """Add or replace a machine; remove it if it is gone."""
        self.remove(machine.machine_id)
        if machine.phase not in (READY, DRAINING):
            return
        self.machines[machine.machine_id] = machine
        self._update_totals(machine, 1)
        for key in machine.group_keys:
            self.groups.setdefault(key, set()).add(machine.machine_id)

    def remove(self, machine_id: str) -> None:
        """Remove a machine, if it is in the table."""
        self.version += 1
        machine = self.machines.pop(machine_id, None)
        if machine is None:
            return
        self._update_totals(machine, -1)
        for key in machine.group_keys:
            group = self.groups[key]
            group.discard(machine_id)
            if not group:
                del self.groups[key]

    def _update_totals(self, machine: ListedMachine, sign: int) -> None:
        self.listed_weight += sign * machine.capacity
        if machine.phase == READY:
            self.ready_count += sign
            self.ready_weight += sign * machine.capacity
        elif sign > 0:
            self.draining.add(machine.machine_id)
        else:
            self.draining.discard(machine.machine_id)
        if not self.machines:  # discard accumulated rounding errors
            self.listed_weight = self.ready_weight = 0.0

    def replace(self, machines: Mapping[str, ListedMachine]) -> Iterator[None]:
        """Replace the table's machines with those of a full list, one machine in each step.

        `is_consistent` is False until the last step: the totals match neither list.
        """
        self.is_consistent = False
        for machine_id in [old_id for old_id in self.machines if old_id not in machines]:
            self.remove(machine_id)
            yield
        for machine in machines.values():
            self.put(machine)
            yield
        self.is_consistent = self.is_complete = True

    def ids_in_scope(self, scope: LimitScope, machine: ListedMachine) -> Iterable[str]:
        """The ids of the machines in the given machine's zone or cell, or of all in the tier."""
        if scope == "tier":
            return self.machines
        return self.groups.get((scope, machine.zone if scope == "zone" else machine.cell), ())
