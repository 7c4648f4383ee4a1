"""The operations that operators call at one replica.

1. A call is checked against this replica's state and list, so that an invalid one fails at once; the state
   machine checks it again when it is committed.
2. A call whose effect is in place already is no error. A replica without a leader raises
   `LeaderUnreachableError` instead: its state may be outdated.
"""

from __future__ import annotations

from typing import Any

from laurelstep.maintenance.bounds import MAX_MACHINES_PER_REQUEST, MAX_OPEN_REQUESTS
from laurelstep.maintenance.commands import PendingCommand
from laurelstep.maintenance.controller import MaintenanceController
from laurelstep.maintenance.entries import CommandVerb
from laurelstep.maintenance.errors import (
    ConflictingRequestError,
    EntryTooLargeError,
    InvalidTransitionError,
    TooManyRequestsError,
    UnknownMachineError,
    UnknownPeerError,
    UnknownRequestError,
    UnsatisfiableRequestError,
)
from laurelstep.maintenance.machines import MachineTable
from laurelstep.maintenance.planner import explain_obstacle
from laurelstep.maintenance.records import OpenRequest
from laurelstep.maintenance.requests import MaintenanceRequest
from laurelstep.maintenance.selection import selected_machines
from laurelstep.maintenance.state import MaintenanceState
from laurelstep.maintenance.states import next_state
from laurelstep.maintenance.status import StatusReport


class MaintenanceApi:
    """The operators' calls. Each returns the submitted command, or None if its effect is in place already.

    They raise `MaintenanceError` if the call is invalid or can't be submitted.
    """

    def __init__(self, controller: MaintenanceController) -> None:
        self.controller = controller

    @property
    def _state(self) -> MaintenanceState:
        return self.controller.state

    @property
    def _table(self) -> MachineTable:
        return self.controller.source.table

    def ids_by_address(self) -> dict[str, str]:
        """The ids of all listed machines by address."""
        return {machine.address: machine.machine_id for machine in self._table.machines.values()}

    def status(self) -> dict[str, Any]:
        """The status of maintenance as this replica sees it, for JSON."""
        return StatusReport(self.controller).build()

    def submit_request(self, request: MaintenanceRequest) -> PendingCommand | None:
        """Submit a request to take machines out of service."""
        same_name = self._state.find_request(request.name)
        if same_name is not None:
            if same_name.request == request and not same_name.is_withdrawn:
                return self._already_done()
            raise ConflictingRequestError(request.name)
        self._check_selection(request)
        if len(self._state.open_requests) >= MAX_OPEN_REQUESTS:
            raise TooManyRequestsError(f"{MAX_OPEN_REQUESTS} requests are open")
        self._check_satisfiable(request)
        return self.controller.commands.submit(CommandVerb.REQUEST, request)

    def _check_selection(self, request: MaintenanceRequest) -> None:
        for machine_id in request.machine_ids:
            if machine_id not in self._table.machines:
                raise UnknownMachineError(f"id: {machine_id}")
        for key, value in (("zone", request.zone), ("cell", request.cell), ("kind", request.kind)):
            if value is not None and (key, value) not in self._table.groups:
                raise UnknownMachineError(f"{key}: {value}")
        selected = selected_machines(request, self._table)
        if not selected:
            raise UnknownMachineError("no machine for which all holds")
        if len(selected) >= MAX_MACHINES_PER_REQUEST:
            raise EntryTooLargeError(
                f"{len(selected)} machines and more, {MAX_MACHINES_PER_REQUEST - 1} at most"
            )

    def _check_satisfiable(self, request: MaintenanceRequest) -> None:
        """Raise `UnsatisfiableRequestError` if the request could not be met even as the only one."""
        isolated = MaintenanceState()
        isolated.open_requests[0] = OpenRequest(0, request)
        inputs = self.controller.planner_input(self.controller.clock.now())
        inputs.state = isolated
        obstacle = explain_obstacle(inputs, isolated.open_requests[0])
        if obstacle.is_permanent:
            raise UnsatisfiableRequestError(obstacle.reason)

    def withdraw_request(self, name: str) -> PendingCommand | None:
        """Withdraw a request: its draining and drained machines return at once, those under work when the
        work is finished.
        """
        request = self._state.find_request(name)
        if request is not None:
            if request.is_withdrawn:
                return self._already_done()
            return self.controller.commands.submit(CommandVerb.WITHDRAW, name)
        if any(past.name == name and past.is_withdrawn for past in self._state.past_requests):
            return self._already_done()
        raise UnknownRequestError(name)

    def report_work(self, verb: CommandVerb, machine_id: str) -> PendingCommand | None:
        """Report that work on a machine begins or is finished (`BEGIN_WORK`, `FINISH_WORK`)."""
        machine = self._state.machines.get(machine_id)
        if machine is None:
            raise InvalidTransitionError(f"{machine_id}: not out")
        state = next_state(verb, machine.state)
        if state is None:
            raise InvalidTransitionError(f"{machine_id}: {machine.state}")
        if state == machine.state:
            return self._already_done()
        return self.controller.commands.submit(verb, machine_id)

    def declare_absent(self, peer: int) -> PendingCommand | None:
        """Declare that a replica's process has ended: drains don't wait for it until it starts again."""
        consensus = self.controller.consensus
        if not 0 <= peer < consensus.peer_count or peer == consensus.replica_id:
            raise UnknownPeerError(f"peer: {peer}: expected another replica, 0 to {consensus.peer_count - 1}")
        if peer in self._state.absent_peers:
            return self._already_done()
        return self.controller.commands.submit(CommandVerb.DECLARE_ABSENT, peer)

    def _already_done(self) -> PendingCommand | None:
        """Return None: nothing has to be submitted. Raises `LeaderUnreachableError` if the state may be
        outdated.
        """
        self.controller.commands.require_leader()
        return None
