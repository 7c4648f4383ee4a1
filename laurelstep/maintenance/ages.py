"""How long each machine has been in its state, on this process's own clock. Pure."""

from __future__ import annotations

from typing import NamedTuple

from laurelstep.maintenance.records import MachineRecord
from laurelstep.maintenance.state import MaintenanceState


class ObservedState(NamedTuple):
    """The log index at which a machine's state began, and when this process learned of it, in µs."""

    since_index: int
    observed_us: int


class StateAges:
    """Since when this process knows of each machine's state.

    What a new leader did not see begin counts from when it learned of it, so never too long.
    """

    def __init__(self) -> None:
        self.observed: dict[str, ObservedState] = {}  # by machine id

    def update(self, state: MaintenanceState, now_us: int) -> None:
        """Note the states that are new."""
        observed = {}
        for machine in state.machines.values():
            known = self.observed.get(machine.machine_id)
            if known is None or known.since_index != machine.since_index:
                known = ObservedState(machine.since_index, now_us)
            observed[machine.machine_id] = known
        self.observed = observed

    def age_us(self, machine: MachineRecord, now_us: int) -> int:
        """For how long it has been in its state, in µs; 0 if that is not known yet."""
        known = self.observed.get(machine.machine_id)
        if known is None or known.since_index != machine.since_index:
            return 0
        return now_us - known.observed_us
