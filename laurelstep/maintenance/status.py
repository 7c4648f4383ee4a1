"""The status of maintenance for operators. The keys and values of the answer never change."""

from __future__ import annotations

from functools import cached_property
from typing import Any, Final

from laurelstep.maintenance.commands import PendingCommand
from laurelstep.maintenance.controller import MaintenanceController
from laurelstep.maintenance.planner import DrainObstacle, PlannerInput, explain_obstacle
from laurelstep.maintenance.records import MachineRecord, OpenRequest, PastRequest
from laurelstep.maintenance.requests import MaintenanceRequest
from laurelstep.maintenance.selection import waiting_machines
from laurelstep.maintenance.states import MachineState

# Items of a list that one answer contains.
MAX_SHOWN: Final = 64


class StatusReport:
    """A status report of one replica, for the time at which it is created."""

    def __init__(self, controller: MaintenanceController) -> None:
        self.controller = controller
        self.now_us = controller.clock.now()
        self.inputs: PlannerInput = controller.planner_input(self.now_us)

    @cached_property
    def drained_index(self) -> int:
        """See `MaintenanceSource.drained_index`. Computed once, as it may scan all requests in flight."""
        return self.controller.source.drained_index()

    def build(self) -> dict[str, Any]:
        """The whole report, for JSON."""
        consensus, state = self.controller.consensus, self.controller.state
        is_alone = self.controller.serves_without_state and not self.controller.source.has_learned_state
        return {
            "copy": consensus.replica_id,
            "copies": consensus.peer_count,
            "leading": consensus.is_leader,
            "known": consensus.is_caught_up,
            "in_touch": consensus.has_leader_contact,
            "serving_alone": is_alone,
            "index": state.index,
            "wishes": [self.describe_request(request) for request in state.open_requests.values()],
            "machines": [self._describe_machine(machine) for machine in state.machines.values()],
            "absent": sorted(state.absent_peers),
            "unheard": self._peers_never_started(),
            "past": [_describe_past(request) for request in state.past_requests],
            "asked": [_describe_command(command) for command in self.controller.commands.commands],
            "accord": consensus.status(),
        }

    def _peers_never_started(self) -> list[int]:
        """Replicas that have not started since the cluster's bootstrap. No drain completes without them."""
        incarnations = self.controller.state.incarnations
        peers = range(self.controller.consensus.peer_count)
        return [peer for peer in peers if peer not in incarnations][:MAX_SHOWN]

    def describe_request(self, request: OpenRequest) -> dict[str, Any]:
        """An open request, with the reason why its next machine does not drain."""
        waiting = []
        obstacle = DrainObstacle()
        if not request.is_withdrawn:
            waiting = waiting_machines(request, self.inputs.state, self.inputs.table)
            obstacle = explain_obstacle(self.inputs, request)
        state = MachineState.WITHDRAWN if request.is_withdrawn else MachineState.WAITING
        limits = request.request.limits
        return {
            "name": request.request.name,
            "out": limits.max_unavailable,
            "per": limits.scope,
            "share": limits.min_capacity_share,
            "state": state.value,
            "waiting": len(waiting),
            "next": [machine.machine_id for machine in waiting[:MAX_SHOWN]],
            "done": len(request.finished),
            "dropped": request.dropped,
            "kept_by": obstacle.reason,
            "never": obstacle.is_permanent,
        }

    def _describe_machine(self, machine: MachineRecord) -> dict[str, Any]:
        request = self.inputs.state.open_requests.get(machine.request_number)
        return {
            "id": machine.machine_id,
            "wish": request.request.name if request is not None else "",
            "state": machine.state.value,
            "for_s": self.inputs.ages.age_us(machine, self.now_us) // 1_000_000,
            "missing": self._missing_peers(machine),
            "quiet_here": self.drained_index >= machine.drain_index,
        }

    def _missing_peers(self, machine: MachineRecord) -> list[int] | None:
        """The peers whose acknowledgement is missing; None if this replica does not lead, or if the machine
        is not draining.
        """
        if not self.controller.consensus.is_leader or machine.state != MachineState.DRAINING:
            return None
        inputs = self.inputs
        missing = inputs.acknowledgements.missing_peers(machine.drain_index, inputs.state, inputs.peer_count)
        return missing[:MAX_SHOWN]


def _describe_past(request: PastRequest) -> dict[str, Any]:
    return {
        "name": request.name,
        "machines": request.machine_count,
        "withdrawn": request.is_withdrawn,
        "dropped": request.dropped,
    }


def _describe_command(command: PendingCommand) -> dict[str, Any]:
    argument = command.argument
    return {
        "verb": command.verb,
        "what": argument.name if isinstance(argument, MaintenanceRequest) else argument,
        "state": command.status,
    }
