"""What the leader proposes, from the state, its own endpoint list and the acknowledgements. Pure.

1. A machine is drained when every replica, in the incarnation that started last, has acknowledged that it
   sends nothing to what began to drain at that index; replicas that were declared absent are left out. No
   time-out stands in for an acknowledgement.
2. The order follows from the state: requests by number, their machines by zone, cell and id. The first
   that the limits allow goes next, one with each proposal.
3. Nothing is proposed from half a list.
4. What discovery drains, removes or replaces while it drains here is dropped from its request; once it is
   drained, its going and coming is the work itself, and it stays out until an operator reports it finished.
   Lists differ in age: who has just learned of a drain waits `LIST_PROPAGATION_US` before that, and a machine
   that a request names by id stays selected while it is not listed.
5. Every proposal names the state that it was made for: a late one is ignored.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from laurelstep.balancing.events import READY
from laurelstep.maintenance.acknowledgements import DrainAcknowledgements
from laurelstep.maintenance.ages import StateAges
from laurelstep.maintenance.entries import (
    CompleteRequest,
    DrainedCounts,
    DrainMachine,
    MachineTransition,
    MaintenanceEntry,
    fits_entry,
)
from laurelstep.maintenance.limits import NONE_DRAINED
from laurelstep.maintenance.machines import ListedMachine, MachineTable
from laurelstep.maintenance.records import MachineRecord, OpenRequest
from laurelstep.maintenance.selection import describe_unlisted, waiting_machines
from laurelstep.maintenance.state import MaintenanceState
from laurelstep.maintenance.states import MachineEvent, MachineState

# Within this time a list reaches all replicas, or the next one does.
LIST_PROPAGATION_US: Final = 2_000_000


@dataclass(slots=True)
class PlannerInput:
    """All that a plan depends on. Times are in µs."""

    state: MaintenanceState
    table: MachineTable
    acknowledgements: DrainAcknowledgements
    ages: StateAges
    peer_count: int
    slow_start_share: float  # of a machine's capacity that counts while it warms up
    slow_start_us: int
    overdue_us: int
    now_us: int

    @property
    def basis(self) -> tuple[int, int]:
        """What the choice of the next machine depends on: the versions of the state and of the list."""
        return self.state.changed_index, self.table.version

    @property
    def is_list_usable(self) -> bool:
        """Whether the list is a complete one, and not being replaced."""
        return self.table.is_complete and self.table.is_settled


@dataclass(frozen=True, slots=True)
class AvailableCapacity:
    """Of the machines that are listed and not out of service."""

    ready_count: int
    ready_weight: float
    listed_weight: float


@dataclass(frozen=True, slots=True)
class DrainObstacle:
    """What keeps the next machine of a request in service, in words; empty if nothing does.

    `is_permanent`: it would also with no other machine out, as long as the open requests stand.
    """

    reason: str = ""
    is_permanent: bool = False


def plan_entries(inputs: PlannerInput, is_settled: bool = False) -> list[MaintenanceEntry]:
    """The entries to propose now. `DrainMachine` and `CompleteRequest` come alone: they are for the state as
    it is.

    `is_settled`: nothing was found to drain on the same basis before.
    """
    transitions = [
        transition
        for machine in inputs.state.machines.values()
        if (transition := _plan_transition(inputs, machine)) is not None
    ]
    if transitions or is_settled or not inputs.is_list_usable:
        return list(transitions)
    for request in inputs.state.open_requests.values():
        entry = _plan_request(inputs, request)
        if entry is not None:
            return [entry]
    return []


# --- Machines that are out ------------------------------------------------------------


def _plan_transition(inputs: PlannerInput, machine: MachineRecord) -> MachineTransition | None:
    age_us = inputs.ages.age_us(machine, inputs.now_us)
    event, reason = "", ""
    if machine.state == MachineState.DRAINING:
        event, reason = _plan_draining(inputs, machine, age_us)
    elif machine.state == MachineState.WARMING_UP:
        if age_us >= inputs.slow_start_us:
            event = MachineEvent.WARM_UP
    elif machine.state != MachineState.OVERDUE and age_us >= _overdue_us(inputs, machine):
        event = MachineEvent.EXCEED_TIME
    return MachineTransition(machine.machine_id, machine.since_index, event, reason) if event else None


def _plan_draining(inputs: PlannerInput, machine: MachineRecord, age_us: int) -> tuple[str, str]:
    """The event for a machine that drains, and its reason; both empty while it goes on."""
    if inputs.is_list_usable:
        reason = _drop_reason(inputs.table, machine) if age_us >= LIST_PROPAGATION_US else ""
        if reason:
            return MachineEvent.DROP, reason
        if available_capacity(inputs.state, inputs.table).ready_count == 0:
            return MachineEvent.KEEP_LAST, "last"
    acknowledgements = inputs.acknowledgements
    if acknowledgements.missing_peers(machine.drain_index, inputs.state, inputs.peer_count):
        return "", ""
    return MachineEvent.ALL_DRAINED, ""


def _drop_reason(table: MachineTable, machine: MachineRecord) -> str:
    """What discovery did to a machine that drains; empty if nothing."""
    listed = table.machines.get(machine.machine_id)
    if listed is None:
        return "gone"
    if listed.phase != READY:
        return "drained by discovery"
    if listed.started_ms > machine.started_ms:
        return "replaced"
    return ""


def _overdue_us(inputs: PlannerInput, machine: MachineRecord) -> int:
    request = inputs.state.open_requests.get(machine.request_number)
    if request is None or not request.request.overdue_s:
        return inputs.overdue_us
    return request.request.overdue_s * 1_000_000


# --- The next machine of a request ----------------------------------------------------


def _plan_request(inputs: PlannerInput, request: OpenRequest) -> DrainMachine | CompleteRequest | None:
    if request.is_withdrawn:
        return None
    waiting = waiting_machines(request, inputs.state, inputs.table)
    if not waiting and not _has_machine_out(inputs.state, request):
        if describe_unlisted(request, inputs.table):
            return None
        return CompleteRequest(inputs.state.changed_index, request.number)
    blocked = set()  # one machine stands for all that are alike to the limits
    for machine in waiting:
        likeness = machine.zone, machine.cell, machine.capacity
        if likeness in blocked or machine.phase != READY or machine.machine_id in inputs.state.machines:
            continue
        entry = drain_entry(inputs, request.number, machine)
        if not fits_entry(entry):
            continue
        if inputs.state.blocking_limit(entry) is None:
            return entry
        blocked.add(likeness)
    return None


def _has_machine_out(state: MaintenanceState, request: OpenRequest) -> bool:
    return any(machine.request_number == request.number for machine in state.machines.values())


def explain_obstacle(inputs: PlannerInput, request: OpenRequest) -> DrainObstacle:
    """Why the next machine of a request does not drain."""
    waiting = waiting_machines(request, inputs.state, inputs.table)
    if not waiting:
        return DrainObstacle(describe_unlisted(request, inputs.table))
    machine = waiting[0]
    if machine.machine_id in inputs.state.machines:
        return DrainObstacle(f"{machine.machine_id}: out for another request")
    if machine.phase != READY:
        return DrainObstacle(f"{machine.machine_id}: drained by discovery")
    entry = drain_entry(inputs, request.number, machine)
    if not fits_entry(entry):
        too_long = "its id and zone are too long for a log entry"
        return DrainObstacle(f"{machine.machine_id[:40]}: {too_long}", is_permanent=True)
    reason = inputs.state.blocking_limit(entry)
    if reason is None:
        return DrainObstacle()
    permanent = inputs.state.blocking_limit(_with_all_in_service(inputs, entry), ignore_others=True)
    return DrainObstacle(f"{machine.machine_id}: {permanent or reason}", permanent is not None)


# --- Facts of the list ----------------------------------------------------------------


def available_capacity(state: MaintenanceState, table: MachineTable) -> AvailableCapacity:
    """What the list has beside the machines that are out of service."""
    ready_count, ready_weight = table.ready_count, table.ready_weight
    listed_weight = table.listed_weight
    for machine_id in state.machines:
        listed = table.machines.get(machine_id)
        if listed is None:
            continue
        listed_weight -= listed.capacity
        if listed.phase == READY:
            ready_count -= 1
            ready_weight -= listed.capacity
    return AvailableCapacity(ready_count, max(0.0, ready_weight), max(0.0, listed_weight))


def drain_entry(inputs: PlannerInput, request_number: int, machine: ListedMachine) -> DrainMachine:
    """The entry that drains a machine, with the facts that the limits are checked against."""
    available = available_capacity(inputs.state, inputs.table)
    return DrainMachine(
        base_index=inputs.state.changed_index,
        request_number=request_number,
        machine_id=machine.machine_id,
        zone=machine.zone,
        cell=machine.cell,
        weight=machine.capacity,
        started_ms=machine.started_ms,
        ready_count=available.ready_count,
        ready_weight=available.ready_weight,
        listed_weight=available.listed_weight,
        drained_by_discovery=_drained_by_discovery(inputs, machine),
        slow_start_share=inputs.slow_start_share,
    )


def _drained_by_discovery(inputs: PlannerInput, machine: ListedMachine) -> DrainedCounts:
    """The machines that discovery drains, beside those that are out of service."""
    zone = cell = tier = 0
    for machine_id in inputs.table.draining:
        if machine_id in inputs.state.machines:
            continue
        draining = inputs.table.machines[machine_id]
        tier += 1
        zone += draining.zone == machine.zone
        cell += draining.cell == machine.cell
    return DrainedCounts(zone, cell, tier)


def _with_all_in_service(inputs: PlannerInput, entry: DrainMachine) -> DrainMachine:
    """The same entry with every listed machine ready and none out."""
    return DrainMachine(
        base_index=entry.base_index,
        request_number=entry.request_number,
        machine_id=entry.machine_id,
        zone=entry.zone,
        cell=entry.cell,
        weight=entry.weight,
        started_ms=entry.started_ms,
        ready_count=len(inputs.table.machines),
        ready_weight=inputs.table.listed_weight,
        listed_weight=inputs.table.listed_weight,
        drained_by_discovery=NONE_DRAINED,
        slow_start_share=entry.slow_start_share,
    )
