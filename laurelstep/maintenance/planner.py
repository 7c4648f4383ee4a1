"""The entries that the leader proposes, from the state, its endpoint list and the acknowledgements. Pure.

1. A machine is drained when every replica, in its current incarnation, has acknowledged the drain index;
   replicas that were declared absent are not counted. No time-out replaces an acknowledgement.
2. The order follows from the state: requests by number, their machines by zone, cell and id. The first
   machine that the limits allow drains next, one with each proposal.
3. No drain, drop or end of a request is proposed while the list is incomplete or being replaced.
4. A machine that discovery drains, removes or replaces while it is draining is dropped from its request. Once
   it is drained, such changes are part of the work, and it stays out of service until an operator reports the
   work finished. Since the leader's list may be older than another replica's, a machine is dropped only after
   it has been observed draining for `LIST_PROPAGATION_US`, and a request that names an unlisted machine by id
   stays open.
5. Every proposal contains the index of the state that it was made for: a late one is ignored.
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

# A change of discovery's list reaches all replicas within this time.
LIST_PROPAGATION_US: Final = 2_000_000


@dataclass(slots=True)
class PlannerInput:
    """The input of a plan. Times are in µs."""

    state: MaintenanceState
    table: MachineTable
    acknowledgements: DrainAcknowledgements
    ages: StateAges
    peer_count: int
    slow_start_share: float  # of a machine's capacity that counts while it warms up, 0 to 1
    slow_start_us: int
    overdue_us: int
    now_us: int

    @property
    def basis(self) -> tuple[int, int]:
        """The versions of the state and of the list, which determine the next machine to drain."""
        return self.state.changed_index, self.table.version

    @property
    def is_list_usable(self) -> bool:
        """Whether a full list was received and none is being stored."""
        return self.table.is_complete and self.table.is_consistent


@dataclass(frozen=True, slots=True)
class AvailableCapacity:
    """Totals of the machines that are listed and not out of service."""

    ready_count: int
    ready_weight: float
    listed_weight: float


@dataclass(frozen=True, slots=True)
class DrainObstacle:
    """The reason why the next machine of a request does not drain; empty if there is none.

    `is_permanent`: the reason would also apply if no other machine were out of service.
    """

    reason: str = ""
    is_permanent: bool = False


def plan_entries(inputs: PlannerInput, is_basis_unchanged: bool = False) -> list[MaintenanceEntry]:
    """The entries to propose now. `DrainMachine` and `CompleteRequest` are proposed alone, since another
    entry would change the state that they are for.

    `is_basis_unchanged`: an earlier plan with the same `PlannerInput.basis` had no entries.
    """
    transitions = [
        transition
        for machine in inputs.state.machines.values()
        if (transition := _plan_transition(inputs, machine)) is not None
    ]
    if transitions or is_basis_unchanged or not inputs.is_list_usable:
        return list(transitions)
    for request in inputs.state.open_requests.values():
        entry = _plan_request(inputs, request)
        if entry is not None:
            return [entry]
    return []


# --- Machines out of service ----------------------------------------------------------


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
    """The event for a draining machine, and its reason; both empty while the drain continues."""
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
    """Why a draining machine is dropped from its request; empty if it is not."""
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
    blocked = set()  # the limits treat machines with the same key alike
    for machine in waiting:
        limit_key = machine.zone, machine.cell, machine.capacity
        if limit_key in blocked or machine.phase != READY or machine.machine_id in inputs.state.machines:
            continue
        entry = drain_entry(inputs, request.number, machine)
        if not fits_entry(entry):
            continue
        if inputs.state.blocking_limit(entry) is None:
            return entry
        blocked.add(limit_key)
    return None


def _has_machine_out(state: MaintenanceState, request: OpenRequest) -> bool:
    return any(machine.request_number == request.number for machine in state.machines.values())


def explain_obstacle(inputs: PlannerInput, request: OpenRequest) -> DrainObstacle:
    """The reason why the next machine of a request does not drain, if any."""
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


# --- Counts and weights of the list ---------------------------------------------------


def available_capacity(state: MaintenanceState, table: MachineTable) -> AvailableCapacity:
    """The totals of the list without the machines that are out of service."""
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
    """The entry that drains a machine, with the counts and weights for the check of the limits."""
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
    """The numbers of machines that discovery drains, without those that are out of service."""
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
    """The entry as it would be with every listed machine ready and none out of service."""
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
