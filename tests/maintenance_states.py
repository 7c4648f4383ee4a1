"""Helpers for tests of a single replicated state: states to start from, and entries to apply."""

from __future__ import annotations

from typing import Any

from laurelstep.maintenance.entries import (
    DrainedCounts,
    DrainMachine,
    MachineTransition,
    OperatorCommand,
    encode,
)
from laurelstep.maintenance.state import MaintenanceState
from laurelstep.maintenance.states import MachineState

from tests.maintenance import request_for


def apply_entry(state: MaintenanceState, index: int, entry: Any) -> None:
    """Apply an entry as the multiplexer passes it, without `SUBSYSTEM_TAG`."""
    state.apply(index, encode(entry)[1:])


def state_with(machine_state: MachineState) -> MaintenanceState:
    """A replicated state in which the machine m0 is in the given state, and no other is out of service."""
    state = MaintenanceState()
    events: dict[MachineState, list[Any]] = {
        MachineState.DRAINING: [],
        MachineState.DRAINED: ["clear"],
        MachineState.IN_MAINTENANCE: ["clear", "begin"],
        MachineState.OVERDUE: ["clear", "overdue"],
        MachineState.WARMING_UP: ["clear", "done"],
    }
    apply_entry(state, 1, OperatorCommand(0, 5, 1, "wish", request_for(zone="a")))
    apply_entry(state, 2, drain_entry(state))
    for event in events[machine_state]:
        apply_event(state, event)
    assert state.machines["m0"].state == machine_state
    return state


def drain_entry(state: MaintenanceState, machine_id: str = "m0", **changes: Any) -> DrainMachine:
    """The entry that drains a machine for the first open request, with changed fields."""
    fields: dict[str, Any] = {
        "base_index": state.changed_index, "request_number": next(iter(state.open_requests)),
        "machine_id": machine_id, "zone": "a", "cell": 1,
        "weight": 1.0, "started_ms": 1, "ready_count": 6, "ready_weight": 6.0, "listed_weight": 6.0,
        "drained_by_discovery": DrainedCounts(0, 0, 0), "slow_start_share": 0.2, **changes,
    }  # fmt: skip
    return DrainMachine(**fields)


def apply_event(state: MaintenanceState, event: str) -> None:
    """Apply an event for the machine m0, as the command or the entry that causes it."""
    index = state.index + 1
    if event in ("begin", "done"):
        number = state.last_commands[0].sequence_number + 1
        apply_entry(state, index, OperatorCommand(0, 5, number, event, "m0"))
    elif event == "withdraw":
        number = state.last_commands[0].sequence_number + 1
        apply_entry(state, index, OperatorCommand(0, 5, number, "withdraw", "w"))
    elif event == "leave":
        apply_entry(state, index, drain_entry(state))
    else:
        since = state.machines["m0"].since_index if "m0" in state.machines else 2
        apply_entry(state, index, MachineTransition("m0", since, event, "why"))
