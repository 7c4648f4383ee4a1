"""The listed machines that a request selects, and those of them that are still waiting. Pure."""

from __future__ import annotations

from collections.abc import Iterable

from laurelstep.engine.endpoint_table import endpoint_number
from laurelstep.maintenance.bounds import MAX_MACHINES_PER_REQUEST
from laurelstep.maintenance.machines import ListedMachine, MachineTable
from laurelstep.maintenance.records import OpenRequest
from laurelstep.maintenance.requests import MaintenanceRequest
from laurelstep.maintenance.state import MaintenanceState


def selected_machines(request: MaintenanceRequest, table: MachineTable) -> list[ListedMachine]:
    """The listed machines that a request selects, ordered by zone, cell and id; at most
    `MAX_MACHINES_PER_REQUEST`.
    """
    selected = []
    for machine_id in _candidate_ids(request, table):
        machine = table.machines.get(machine_id)
        if machine is not None and _is_selected(request, machine):
            selected.append(machine)
    selected.sort(key=lambda machine: (machine.zone, machine.cell, machine.machine_id))
    return selected[:MAX_MACHINES_PER_REQUEST]


def _candidate_ids(request: MaintenanceRequest, table: MachineTable) -> Iterable[str]:
    """The ids that a request selects, or else those of the smallest group that it selects."""
    if request.machine_ids:
        return request.machine_ids
    keys = (("zone", request.zone), ("cell", request.cell), ("kind", request.kind))
    groups = [table.groups.get(key, set()) for key in keys if key[1] is not None]
    return min(groups, key=len, default=set())


def _is_selected(request: MaintenanceRequest, machine: ListedMachine) -> bool:
    if request.zone is not None and machine.zone != request.zone:
        return False
    if request.cell is not None and machine.cell != request.cell:
        return False
    return request.kind is None or machine.kind == request.kind


def waiting_machines(
    request: OpenRequest, state: MaintenanceState, table: MachineTable
) -> list[ListedMachine]:
    """The selected machines that are neither out of service for this request nor done, in their order."""
    waiting = []
    for machine in selected_machines(request.request, table):
        record = state.machines.get(machine.machine_id)
        is_out = record is not None and record.request_number == request.number
        if machine.endpoint_number not in request.finished and not is_out:
            waiting.append(machine)
    return waiting


def describe_unlisted(request: OpenRequest, table: MachineTable) -> str:
    """A description of what a request selects but the list does not have; empty if nothing is missing.

    While something is missing, the leader does not close the request: its list may be older than the machine.
    """
    for machine_id in request.request.machine_ids:
        if machine_id not in table.machines and endpoint_number(machine_id) not in request.finished:
            return f"{machine_id}: not listed"
    return "" if request.request.machine_ids or request.finished else "no machine that is listed"
