"""What one process shows its engine: discovery's list with the cordons of the replicated state laid over it.
Pure.

1. Discovery wins: what it calls draining or gone is shown so. A cordon only ever turns ready into draining;
   no machine is shown that discovery does not list.
2. A cordon that was applied stands until the state says otherwise, also in a process that is cut off, and
   whatever the list becomes meanwhile.
3. The last ready machine is never cordoned: a cordon that would leave none waits, and meanwhile this process
   acknowledges no drain. A machine that is drained already is cordoned unconditionally, and so are all that
   the state has when a process first learns it: an earlier incarnation may have acknowledged them.
4. A machine is drained here when the engine was told `draining`, its drain grace is over since, and it has no
   request in flight. Once drained here, it stays so until the cordon ends.
5. What comes back from work is shown as started when it came back, or later if discovery says so, as long as
   it is listed: a start time once shown is never taken back.
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
    """How far one machine is drained in this process."""

    __slots__ = ("drain_index", "is_applied", "is_drained", "published_us", "state")

    def __init__(self, drain_index: int, state: MachineState) -> None:
        self.drain_index = drain_index
        self.state = state
        self.is_applied = False  # shown as draining from now on
        self.published_us: int | None = None  # since when the engine surely knows
        self.is_drained = False


class EndpointOverlay:
    """The cordons and the returns of one process. Times are in µs; `wall_ms` is Unix time in ms."""

    def __init__(self) -> None:
        self.cordons: dict[str, MachineCordon] = {}  # by machine id
        self.returned_ms: dict[str, int] = {}  # by machine id: wall time of its return
        self.is_first_update = True  # the state was never learned

    # --- Updates ----------------------------------------------------------------------

    def update(self, state: MaintenanceState, table: MachineTable, now_us: int, wall_ms: int) -> list[str]:
        """Follow a change of the state or of the list.

        Returns the ids of the machines that are shown otherwise from now on.
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
        """Whether it came back before this process learned the state."""
        return (
            self.is_first_update
            and machine.state == MachineState.WARMING_UP
            and machine.machine_id not in self.returned_ms
        )

    def _cordon(self, machine: MachineRecord, table: MachineTable, ready_count: int, now_us: int) -> bool:
        """Follow a cordoned machine. Whether it is a ready one that is shown as draining from now on."""
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
            cordon.published_us = now_us  # discovery's own word keeps the engine from sending there already
        return is_ready

    def _lift_cordons(self, state: MaintenanceState, table: MachineTable, wall_ms: int) -> list[str]:
        """End the cordons that do not stand any more; the ids of those that were shown."""
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
        """Ready machines that this process may send to."""
        cordoned = sum(
            1
            for machine_id, cordon in self.cordons.items()
            if cordon.is_applied and _is_ready(table, machine_id)
        )
        return table.ready_count - cordoned

    def on_published(self, machine_ids: Iterable[str], now_us: int) -> None:
        """The engine has taken in what is shown of these machines.

        Its grace counts from when it was told: that is before now, but may be after the cordon was applied.
        """
        for machine_id in machine_ids:
            cordon = self.cordons.get(machine_id)
            if cordon is not None and cordon.is_applied and cordon.published_us is None:
                cordon.published_us = now_us

    def forget_unlisted(self, table: MachineTable) -> None:
        """Forget the returns of machines that are not listed any more (rule 5)."""
        for machine_id in [known for known in self.returned_ms if known not in table.machines]:
            del self.returned_ms[machine_id]

    # --- What is shown ----------------------------------------------------------------

    def is_cordoned(self, machine_id: str) -> bool:
        """Whether a machine is shown as draining."""
        cordon = self.cordons.get(machine_id)
        return cordon is not None and cordon.is_applied

    def may_alter(self, machine_id: str) -> bool:
        """Whether what is shown of a machine may differ from discovery's entry."""
        return machine_id in self.returned_ms or self.is_cordoned(machine_id)

    def overlaid_entry(self, machine: ListedMachine) -> dict[str, Any]:
        """A machine's entry in discovery's form, as the engine gets it."""
        is_cordoned = machine.phase == READY and self.is_cordoned(machine.machine_id)
        phase = DRAINING if is_cordoned else machine.phase
        return machine.to_entry(phase, max(machine.started_ms, self.returned_ms.get(machine.machine_id, 0)))

    # --- Acknowledgement --------------------------------------------------------------

    def drained_index(
        self, state: MaintenanceState, now_us: int, grace_us: int, in_flight: Callable[[str], int]
    ) -> int:
        """The highest index such that nothing is sent from here to what began to drain at or before it.

        `in_flight` counts the requests in flight at a machine; `grace_us` is the drain grace.
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
    """Whether a machine whose cordon ended has been worked on."""
    machine = state.machines.get(machine_id)
    if machine is not None:
        return machine.state == MachineState.WARMING_UP
    return cordon.state in DRAINED_STATES or state.was_finished(machine_id)
