"""How long each machine has been in its state, by the clock of this process. Pure."""

from __future__ import annotations

from typing import NamedTuple

from laurelstep.maintenance.records import MachineRecord
from laurelstep.maintenance.state import MaintenanceState


class ObservedState(NamedTuple):
    """The log index at which a machine's state began, and when this process observed it first, in µs."""

    since_index: int
    observed_us: int


class StateAges:
    """When this process first observed each machine's state.

    An age may be too small, never too large: a new leader counts from its first observation.
    """

    def __init__(self) -> None:
        self.observed: dict[str, ObservedState] = {}  # by machine id

    def update(self, state: MaintenanceState, now_us: int) -> None:
        """Record the time for machines whose state changed; drop those that are not in the state."""
        observed = {}
        for machine in state.machines.values():
            observation = self.observed.get(machine.machine_id)
            if observation is None or observation.since_index != machine.since_index:
                observation = ObservedState(machine.since_index, now_us)
            observed[machine.machine_id] = observation
        self.observed = observed

    def age_us(self, machine: MachineRecord, now_us: int) -> int:
        """How long a machine has been in its state, in µs; 0 if its state was not observed yet."""
        observation = self.observed.get(machine.machine_id)
        if observation is None or observation.since_index != machine.since_index:
            return 0
        return now_us - observation.observed_us
