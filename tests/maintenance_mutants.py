"""Deliberate faults in maintenance, and the violation that each of them causes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from laurelstep.maintenance import limits as limits_module
from laurelstep.maintenance import state as state_module
from laurelstep.maintenance.acknowledgements import DrainAcknowledgements, PeerAcknowledgement
from laurelstep.maintenance.controller import MaintenanceController
from laurelstep.maintenance.entries import (
    DrainMachine,
    MachineTransition,
)
from laurelstep.maintenance.overlay import EndpointOverlay
from laurelstep.maintenance.source import MaintenanceSource
from laurelstep.maintenance.state import MaintenanceState
from laurelstep.maintenance.states import MachineState

from tests.maintenance import Replica


def ignore_the_first_missing_peer(patch: pytest.MonkeyPatch) -> None:
    missing = DrainAcknowledgements.missing_peers

    def skip_first(self: DrainAcknowledgements, index: int, state: MaintenanceState, peers: int) -> list[int]:
        return missing(self, index, state, peers)[1:]

    patch.setattr(DrainAcknowledgements, "missing_peers", skip_first)


def skip_limits_when_applied(patch: pytest.MonkeyPatch) -> None:
    """The leader checks the limits when it plans, but replicas do not when they apply the entry."""
    drain, blocking = MaintenanceState._drain_machine, MaintenanceState.blocking_limit

    def drain_unchecked(self: MaintenanceState, index: int, entry: DrainMachine) -> bool:
        entry = DrainMachine(
            self.changed_index, *[getattr(entry, name) for name in entry.__struct_fields__[1:]]
        )
        patched = MaintenanceState.blocking_limit
        MaintenanceState.blocking_limit = lambda self, entry, ignore_others=False: None  # type: ignore[method-assign]
        try:
            return drain(self, index, entry)
        finally:
            MaintenanceState.blocking_limit = patched  # type: ignore[method-assign]

    assert blocking is MaintenanceState.blocking_limit
    patch.setattr(MaintenanceState, "_drain_machine", drain_unchecked)


def count_an_older_incarnation(patch: pytest.MonkeyPatch) -> None:
    def record(self: DrainAcknowledgements, peer: int, incarnation: int, drained_index: int) -> None:
        last = self.by_peer.get(peer)
        if last is not None and last.drained_index > drained_index:
            incarnation, drained_index = last
        self.by_peer[peer] = PeerAcknowledgement(incarnation, drained_index)

    patch.setattr(DrainAcknowledgements, "record", record)


def drop_cordons_when_cut_off(patch: pytest.MonkeyPatch) -> None:
    refresh = MaintenanceSource.refresh

    def refresh_and_drop(self: MaintenanceSource) -> None:
        refresh(self)
        controller = getattr(self.on_list_changed, "__self__", None)
        if (
            isinstance(controller, MaintenanceController)
            and not controller.consensus.has_leader_contact
            and self.overlay.cordons
        ):
            machine_ids = list(self.overlay.cordons)
            self.overlay.cordons.clear()
            self._publish(False, [id for id in machine_ids if id in self.table.machines])

    patch.setattr(MaintenanceSource, "refresh", refresh_and_drop)


def exclude_warming_up_from_limits(patch: pytest.MonkeyPatch) -> None:
    violated_limit = limits_module.violated_limit

    def exclude(limits: Any, entry: DrainMachine, out: list[Any], ignore_others: bool = False) -> str | None:
        return violated_limit(
            limits,
            entry,
            [machine for machine in out if machine.state != MachineState.WARMING_UP],
            ignore_others,
        )

    patch.setattr(state_module, "violated_limit", exclude)


def skip_the_drain_grace(patch: pytest.MonkeyPatch) -> None:
    drained_index = EndpointOverlay.drained_index
    patch.setattr(
        EndpointOverlay,
        "drained_index",
        lambda self, state, now_us, grace_us, in_flight: drained_index(self, state, now_us, 0, in_flight),
    )


def ignore_requests_in_flight(patch: pytest.MonkeyPatch) -> None:
    drained_index = EndpointOverlay.drained_index
    patch.setattr(
        EndpointOverlay,
        "drained_index",
        lambda self, state, now, grace, in_flight: drained_index(self, state, now, grace, lambda id: 0),
    )


def forward_before_the_state_is_known(patch: pytest.MonkeyPatch) -> None:
    start = MaintenanceController.start

    def start_forwarding(self: MaintenanceController) -> None:
        start(self)
        self.source.start_forwarding(False)

    patch.setattr(MaintenanceController, "start", start_forwarding)


def declare_any_incarnation_absent(patch: pytest.MonkeyPatch) -> None:
    execute = MaintenanceState._execute_command

    def execute_absent(self: MaintenanceState, index: int, command: Any) -> str:
        if command.verb == "absent":
            self.absent_peers.add(command.argument)
            return ""
        return execute(self, index, command)

    patch.setattr(MaintenanceState, "_execute_command", execute_absent)


def skip_absent_peers_that_serve(patch: pytest.MonkeyPatch) -> None:
    missing = DrainAcknowledgements.missing_peers

    def skip_absent(
        self: DrainAcknowledgements, index: int, state: MaintenanceState, peers: int
    ) -> list[int]:
        return [peer for peer in missing(self, index, state, peers) if peer not in state.absent_peers]

    patch.setattr(DrainAcknowledgements, "missing_peers", skip_absent)


def cordon_the_last_ready_machine(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(EndpointOverlay, "_uncordoned_ready_count", lambda self, table: 1000)


def apply_outdated_transitions(patch: pytest.MonkeyPatch) -> None:
    """A `clear` for an earlier drain of a machine applies to a later one."""
    apply_transition = MaintenanceState._apply_transition

    def apply_to_current(self: MaintenanceState, index: int, entry: MachineTransition) -> bool:
        machine = self.machines.get(entry.machine_id)
        since_index = entry.since_index if machine is None else machine.since_index
        return apply_transition(
            self, index, MachineTransition(entry.machine_id, since_index, entry.event, entry.reason)
        )

    patch.setattr(MaintenanceState, "_apply_transition", apply_to_current)


def override_discovery(patch: pytest.MonkeyPatch) -> None:
    overlaid_entry = EndpointOverlay.overlaid_entry

    def ready_after_return(self: EndpointOverlay, machine: Any) -> dict[str, Any]:
        entry = overlaid_entry(self, machine)
        if machine.machine_id in self.returned_ms and not self.is_cordoned(machine.machine_id):
            entry["lifecycle"] = "ready"
        return entry

    patch.setattr(EndpointOverlay, "overlaid_entry", ready_after_return)


def send_each_message_once(patch: pytest.MonkeyPatch) -> None:
    """Replicas do not repeat messages that may have been lost."""
    send_to_leader = Replica.send_to_leader
    sent: set[bytes] = set()

    def send_once(self: Replica, data: bytes) -> None:
        key = data + repr((id(self.tier), self.index, self.incarnation)).encode()
        if key not in sent:
            sent.add(key)
            send_to_leader(self, data)

    patch.setattr(Replica, "send_to_leader", send_once)


Mutant = Callable[[pytest.MonkeyPatch], None]
# The beginning of the violation that each mutant causes.
MUTANTS: dict[Mutant, str | tuple[str, str]] = {
    ignore_the_first_missing_peer: "clear while",
    skip_limits_when_applied: ("more machines out of service than", "less capacity in service than"),
    count_an_older_incarnation: "clear while a replica had reported",
    drop_cordons_when_cut_off: "clear while a replica may",
    exclude_warming_up_from_limits: "more machines out of service than",
    skip_the_drain_grace: "clear while a replica may",
    ignore_requests_in_flight: "clear while a replica may",
    forward_before_the_state_is_known: "clear while a replica may",
    declare_any_incarnation_absent: "clear while a replica may",
    skip_absent_peers_that_serve: "clear while a replica had reported",
    cordon_the_last_ready_machine: "the last ready machine was drained",
    apply_outdated_transitions: "clear while a replica may",
    override_discovery: "ready in the engine but not in discovery's list",
    send_each_message_once: "no progress",
}
