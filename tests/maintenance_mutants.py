"""Faults put into maintenance on purpose, and the rule that each of them breaks."""

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


def one_confirmation_early(patch: pytest.MonkeyPatch) -> None:
    missing = DrainAcknowledgements.missing_peers

    def early(self: DrainAcknowledgements, index: int, state: MaintenanceState, peers: int) -> list[int]:
        return missing(self, index, state, peers)[1:]

    patch.setattr(DrainAcknowledgements, "missing_peers", early)


def limits_only_by_the_leader(patch: pytest.MonkeyPatch) -> None:
    """What is proposed is planned as ever, and applied without a look."""
    drain, blocking = MaintenanceState._drain_machine, MaintenanceState.blocking_limit

    def blind(self: MaintenanceState, index: int, entry: DrainMachine) -> bool:
        entry = DrainMachine(
            self.changed_index, *[getattr(entry, key) for key in entry.__struct_fields__[1:]]
        )
        patched = MaintenanceState.blocking_limit
        MaintenanceState.blocking_limit = lambda self, entry, ignore_others=False: None  # type: ignore[method-assign]
        try:
            return drain(self, index, entry)
        finally:
            MaintenanceState.blocking_limit = patched  # type: ignore[method-assign]

    assert blocking is MaintenanceState.blocking_limit
    patch.setattr(MaintenanceState, "_drain_machine", blind)


def older_incarnation_counted(patch: pytest.MonkeyPatch) -> None:
    def record(self: DrainAcknowledgements, peer: int, incarnation: int, drained_index: int) -> None:
        old = self.by_peer.get(peer)
        if old is not None and old.drained_index > drained_index:
            incarnation, drained_index = old
        self.by_peer[peer] = PeerAcknowledgement(incarnation, drained_index)

    patch.setattr(DrainAcknowledgements, "record", record)


def hold_forgotten_when_cut_off(patch: pytest.MonkeyPatch) -> None:
    refresh = MaintenanceSource.refresh

    def forgetful(self: MaintenanceSource) -> None:
        refresh(self)
        controller = getattr(self.on_list_changed, "__self__", None)
        if (
            isinstance(controller, MaintenanceController)
            and not controller.consensus.has_leader_contact
            and self.overlay.cordons
        ):
            ids = list(self.overlay.cordons)
            self.overlay.cordons.clear()
            self._publish(False, [id for id in ids if id in self.table.machines])

    patch.setattr(MaintenanceSource, "refresh", forgetful)


def return_without_the_limits(patch: pytest.MonkeyPatch) -> None:
    violated_limit = limits_module.violated_limit

    def lenient(limits: Any, entry: DrainMachine, out: list[Any], ignore_others: bool = False) -> str | None:
        return violated_limit(
            limits, entry, [one for one in out if one.state != MachineState.WARMING_UP], ignore_others
        )

    patch.setattr(state_module, "violated_limit", lenient)


def quiet_before_the_grace(patch: pytest.MonkeyPatch) -> None:
    drained_index = EndpointOverlay.drained_index
    patch.setattr(
        EndpointOverlay,
        "drained_index",
        lambda self, state, now, grace, out: drained_index(self, state, now, 0, out),
    )


def quiet_with_requests_out(patch: pytest.MonkeyPatch) -> None:
    drained_index = EndpointOverlay.drained_index
    patch.setattr(
        EndpointOverlay,
        "drained_index",
        lambda self, state, now, grace, out: drained_index(self, state, now, grace, lambda id: 0),
    )


def sends_before_it_knows(patch: pytest.MonkeyPatch) -> None:
    start = MaintenanceController.start

    def hasty(self: MaintenanceController) -> None:
        start(self)
        self.source.start_forwarding(False)

    patch.setattr(MaintenanceController, "start", hasty)


def absent_names_no_incarnation(patch: pytest.MonkeyPatch) -> None:
    execute = MaintenanceState._execute_command

    def any_incarnation(self: MaintenanceState, index: int, command: Any) -> str:
        if command.verb == "absent":
            self.absent_peers.add(command.argument)
            return ""
        return execute(self, index, command)

    patch.setattr(MaintenanceState, "_execute_command", any_incarnation)


def absent_for_one_that_is_heard(patch: pytest.MonkeyPatch) -> None:
    missing = DrainAcknowledgements.missing_peers

    def blind(self: DrainAcknowledgements, index: int, state: MaintenanceState, peers: int) -> list[int]:
        return [peer for peer in missing(self, index, state, peers) if peer not in state.absent_peers]

    patch.setattr(DrainAcknowledgements, "missing_peers", blind)


def last_one_taken(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(EndpointOverlay, "_uncordoned_ready_count", lambda self, table: 1000)


def late_steps_hold(patch: pytest.MonkeyPatch) -> None:
    """A `clear` for an earlier leaving counts for a later one."""
    apply_transition = MaintenanceState._apply_transition

    def timeless(self: MaintenanceState, index: int, entry: MachineTransition) -> bool:
        machine = self.machines.get(entry.machine_id)
        since_index = entry.since_index if machine is None else machine.since_index
        return apply_transition(
            self, index, MachineTransition(entry.machine_id, since_index, entry.event, entry.reason)
        )

    patch.setattr(MaintenanceState, "_apply_transition", timeless)


def discovery_loses(patch: pytest.MonkeyPatch) -> None:
    as_it_is = EndpointOverlay.overlaid_entry

    def raw(self: EndpointOverlay, machine: Any) -> dict[str, Any]:
        found = as_it_is(self, machine)
        if machine.machine_id in self.returned_ms and not self.is_cordoned(machine.machine_id):
            found["lifecycle"] = "ready"
        return found

    patch.setattr(EndpointOverlay, "overlaid_entry", raw)


def never_told_again(patch: pytest.MonkeyPatch) -> None:
    """Words are told once."""
    message = Replica.send_to_leader
    told: set[bytes] = set()

    def once(self: Replica, data: bytes) -> None:
        key = data + repr((id(self.tier), self.index, self.incarnation)).encode()
        if key not in told:
            told.add(key)
            message(self, data)

    patch.setattr(Replica, "send_to_leader", once)


Fault = Callable[[pytest.MonkeyPatch], None]
FAULTS: dict[Fault, str | tuple[str, str]] = {
    one_confirmation_early: "clear while",
    limits_only_by_the_leader: ("more out than", "less stays than"),
    older_incarnation_counted: "clear while one had said",
    hold_forgotten_when_cut_off: "clear while somebody",
    return_without_the_limits: "more out than",
    quiet_before_the_grace: "clear while somebody",
    quiet_with_requests_out: "clear while somebody",
    sends_before_it_knows: "clear while somebody",
    absent_names_no_incarnation: "clear while somebody",
    absent_for_one_that_is_heard: "clear while one had said",
    last_one_taken: "the last ready machine was taken",
    late_steps_hold: "clear while somebody",
    discovery_loses: "ready against discovery",
    never_told_again: "no progress",
}
