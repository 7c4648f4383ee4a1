"""The overlay over discovery's list in one process: the engine gets cordoned machines as draining. Pure.

1. Discovery has precedence: a machine that it lists as draining or gone is published as such. A cordon only
   turns ready into draining, and no machine is published that discovery does not list.
2. An applied cordon remains until the state ends it, also while the process is cut off from the leader, and
   whatever lists arrive in the meantime.
3. The last ready machine is not cordoned: a cordon that would leave none is postponed, and until then this
   process does not acknowledge the drain. Machines that are drained already are cordoned unconditionally, and
   so are all cordoned ones of the state at the first update: an earlier incarnation may have acknowledged
   them.
4. A machine is drained in this process when the engine got it as `draining`, the drain grace has passed
   since, and it has no request in flight. It then counts as drained until the cordon ends.
5. A machine that returns from work is published with the time of its return as its start time, or with
   discovery's if that is later, as long as it is listed: a published start time never decreases.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from laurelstep.balancing.events import DRAINING, READY
from laurelstep.maintenance.machines import ListedMachine, MachineTable
from laurelstep.maintenance.records import MachineRecord
from laurelstep.maintenance.state import MaintenanceState
from laurelstep.maintenance.states import CORDONED_STATES, DRAINED_STATES, MachineState


class MachineCordon:
    """The progress of one machine's drain in this process."""

    __slots__ = ("drain_index", "is_applied", "is_drained", "published_us", "state")

    def __init__(self, drain_index: int, state: MachineState) -> None:
        self.drain_index = drain_index
        self.state = state
        self.is_applied = False  # published as draining
        self.published_us: int | None = None  # the time by which the engine had it as draining
        self.is_drained = False


class EndpointOverlay:
    """The cordons of one process, and its machines that returned from work. Times are in µs; `wall_ms` is
    Unix time in ms.
    """

    def __init__(self) -> None:
        self.cordons: dict[str, MachineCordon] = {}  # by machine id
        self.returned_ms: dict[str, int] = {}  # by machine id: Unix time of its return
        self.is_first_update = True  # the state was not known before

    # --- Updates ----------------------------------------------------------------------

    def update(self, state: MaintenanceState, table: MachineTable, now_us: int, wall_ms: int) -> list[str]:
        """Apply changes of the state or of the list.

        Returns the ids of the machines whose published entry changes.
        """
        changed = self._lift_cordons(state, table, wall_ms)
        ready_count = self._uncordoned_ready_count(table)
        for machine in state.machines.values():
            if machine.state not in CORDONED_STATES:
                if self._is_unseen_return(machine):
                    self.returned_ms[machine.machine_id] = wall_ms
                    changed.append(machine.machine_id)
            elif self._cordon(machine, table, ready_count, now_us):
                ready_count -= 1
                changed.append(machine.machine_id)
        self.is_first_update = False
        return changed

    def _is_unseen_return(self, machine: MachineRecord) -> bool:
        """Whether a machine returned from work before this process knew the state."""
        return (
            self.is_first_update
            and machine.state == MachineState.WARMING_UP
            and machine.machine_id not in self.returned_ms
        )

    def _cordon(self, machine: MachineRecord, table: MachineTable, ready_count: int, now_us: int) -> bool:
        """Create or update the cordon of a machine. Returns whether the machine's published entry changes
        from ready to draining.
        """
        cordon = self.cordons.get(machine.machine_id)
        if cordon is None:
            cordon = MachineCordon(machine.drain_index, machine.state)
            self.cordons[machine.machine_id] = cordon
        cordon.state = machine.state
        if cordon.is_applied:
            return False
        is_ready = _is_ready(table, machine.machine_id)
        is_unconditional = self.is_first_update or machine.state in DRAINED_STATES
        if is_ready and ready_count <= 1 and not is_unconditional:
            return False  # rule 3
        cordon.is_applied = True
        if not is_ready:
            cordon.published_us = now_us  # discovery's list keeps the engine from sending there already
        return is_ready

    def _lift_cordons(self, state: MaintenanceState, table: MachineTable, wall_ms: int) -> list[str]:
        """Remove the cordons that the state has ended. Returns the ids of the listed machines whose published
        entry changes.
        """
        changed = []
        for machine_id, cordon in list(self.cordons.items()):
            if _is_current(cordon, state.machines.get(machine_id)):
                continue
            del self.cordons[machine_id]
            if machine_id not in table.machines:
                continue
            if _has_returned(state, machine_id, cordon):
                self.returned_ms[machine_id] = wall_ms
            if cordon.is_applied:
                changed.append(machine_id)
        return changed

    def _uncordoned_ready_count(self, table: MachineTable) -> int:
        """The number of ready machines without an applied cordon."""
        cordoned = sum(
            1
            for machine_id, cordon in self.cordons.items()
            if cordon.is_applied and _is_ready(table, machine_id)
        )
        return table.ready_count - cordoned

    def on_published(self, machine_ids: Iterable[str], now_us: int) -> None:
        """Called after the engine has applied the published entries of these machines.

        The drain grace counts from now, not from when the cordon was applied: the engine got the entry in
        between.
        """
        for machine_id in machine_ids:
            cordon = self.cordons.get(machine_id)
            if cordon is not None and cordon.is_applied and cordon.published_us is None:
                cordon.published_us = now_us

    def forget_unlisted(self, table: MachineTable) -> None:
        """Remove the return times of machines that are not listed any more (rule 5)."""
        for machine_id in [old_id for old_id in self.returned_ms if old_id not in table.machines]:
            del self.returned_ms[machine_id]

    # --- Published entries ------------------------------------------------------------

    def is_cordoned(self, machine_id: str) -> bool:
        """Whether a machine is published as draining."""
        cordon = self.cordons.get(machine_id)
        return cordon is not None and cordon.is_applied

    def may_differ(self, machine_id: str) -> bool:
        """Whether the published entry of a machine may differ from discovery's."""
        return machine_id in self.returned_ms or self.is_cordoned(machine_id)

    def overlaid_entry(self, machine: ListedMachine) -> dict[str, Any]:
        """The published entry of a machine, in the format of discovery."""
        is_cordoned = machine.phase == READY and self.is_cordoned(machine.machine_id)
        phase = DRAINING if is_cordoned else machine.phase
        return machine.to_entry(phase, max(machine.started_ms, self.returned_ms.get(machine.machine_id, 0)))

    # --- Acknowledgement --------------------------------------------------------------

    def drained_index(
        self, state: MaintenanceState, now_us: int, grace_us: int, in_flight: Callable[[str], int]
    ) -> int:
        """The highest index such that all machines that began to drain at or before it are drained in this
        process.

        `in_flight` returns the number of requests in flight at a machine; `grace_us` is the drain grace.
        """
        index = state.index
        for machine in state.machines.values():
            if machine.state not in CORDONED_STATES:
                continue
            if not self._is_drained(machine, now_us, grace_us, in_flight):
                index = min(index, machine.drain_index - 1)
        return index

    def _is_drained(
        self, machine: MachineRecord, now_us: int, grace_us: int, in_flight: Callable[[str], int]
    ) -> bool:
        cordon = self.cordons.get(machine.machine_id)
        if cordon is None or cordon.drain_index != machine.drain_index or cordon.published_us is None:
            return False
        if not cordon.is_drained:
            is_grace_over = now_us >= cordon.published_us + grace_us
            cordon.is_drained = is_grace_over and in_flight(machine.machine_id) == 0
        return cordon.is_drained


def _is_ready(table: MachineTable, machine_id: str) -> bool:
    machine = table.machines.get(machine_id)
    return machine is not None and machine.phase == READY


def _is_current(cordon: MachineCordon, machine: MachineRecord | None) -> bool:
    return (
        machine is not None and machine.state in CORDONED_STATES and machine.drain_index == cordon.drain_index
    )


def _has_returned(state: MaintenanceState, machine_id: str, cordon: MachineCordon) -> bool:
    """Whether a machine whose cordon ended may have been worked on, so that it needs slow start."""
    machine = state.machines.get(machine_id)
    if machine is not None:
        return machine.state == MachineState.WARMING_UP
    return cordon.state in DRAINED_STATES or state.was_finished(machine_id)
