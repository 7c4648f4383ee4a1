"""The table of machine states; the effect of entries on the replicated state; its snapshots."""

from __future__ import annotations

import itertools
from typing import Any

import msgspec
import pytest
from laurelstep.consensus.state_machines import CompositeStateMachine
from laurelstep.maintenance.assembly import passive_state_machines
from laurelstep.maintenance.bounds import MAX_ENTRY_BYTES, MAX_MACHINES_OUT, MAX_OPEN_REQUESTS
from laurelstep.maintenance.entries import (
    SUBSYSTEM_TAG,
    CompleteRequest,
    DrainedCounts,
    MachineTransition,
    OperatorCommand,
    ReplicaStarted,
    decode_entry,
    decode_message,
    encode,
)
from laurelstep.maintenance.errors import (
    MaintenanceSnapshotError,
)
from laurelstep.maintenance.state import MaintenanceState
from laurelstep.maintenance.states import (
    CORDONED_STATES,
    DRAINED_STATES,
    OUT_OF_SERVICE_STATES,
    TRANSITIONS,
    MachineState,
    next_state,
)

from tests.maintenance import (
    request_for,
)
from tests.maintenance_states import apply_entry, apply_event, drain_entry, state_with


def test_a_leader_with_maintenance_off_keeps_the_requests_in_its_snapshots() -> None:
    """A replica that lags behind the log gets nothing but the leader's snapshot."""
    passive, state = CompositeStateMachine(passive_state_machines()), MaintenanceState()
    passive.apply(1, encode(OperatorCommand(0, 5, 1, "wish", request_for(zone="a"))))
    passive.apply(2, encode(ReplicaStarted(1, 7)))
    CompositeStateMachine({SUBSYSTEM_TAG[0]: state}).load(passive.dump())
    assert [item.request.name for item in state.open_requests.values()] == ["w"] and state.incarnations == {
        1: 7
    }


EVENTS = sorted({event for event, _ in TRANSITIONS} - {"agree"})


@pytest.mark.parametrize(("machine_state", "event"), itertools.product(sorted(OUT_OF_SERVICE_STATES), EVENTS))
def test_each_event_has_the_effect_that_the_table_gives(machine_state: MachineState, event: str) -> None:
    state = state_with(machine_state)
    since_index = state.machines["m0"].since_index
    apply_event(state, event)
    state_after = next_state(event, machine_state)
    machine = state.machines.get("m0")
    if state_after is None or state_after == machine_state:
        assert machine is not None and (machine.state, machine.since_index) == (machine_state, since_index)
    elif state_after in OUT_OF_SERVICE_STATES:
        assert machine is not None and (machine.state, machine.since_index) == (state_after, state.index)
    else:
        assert machine is None
        assert state.was_finished("m0") == (event in ("back", "drop"))


def test_transitions_before_a_drain_and_subsets_of_states() -> None:
    assert next_state("agree", MachineState.REQUESTED) == MachineState.WAITING
    assert next_state("leave", MachineState.WAITING) == MachineState.DRAINING
    assert {next_state("withdraw", state) for state in (MachineState.REQUESTED, MachineState.WAITING)} == {
        MachineState.WITHDRAWN
    }
    assert (
        DRAINED_STATES < CORDONED_STATES < OUT_OF_SERVICE_STATES
        and MachineState.WARMING_UP not in CORDONED_STATES
    )


def test_a_malformed_entry_is_only_counted() -> None:
    state = MaintenanceState()
    snapshot = state.dump()
    valid = encode(ReplicaStarted(1, 7))
    for malformed in (
        b"",
        SUBSYSTEM_TAG,
        b"x" + valid[1:],
        valid[:-1],
        SUBSYSTEM_TAG + b"\xc1",
        valid + b"x" * MAX_ENTRY_BYTES,
        b"u\x91\x63",
    ):
        state.apply(0, malformed)
        assert decode_message(malformed) is None
    assert state.dump() == snapshot and state.undecoded_count == 7


def test_fields_of_a_later_version_are_skipped() -> None:
    fields = msgspec.msgpack.decode(encode(ReplicaStarted(1, 7))[1:])
    assert decode_entry(msgspec.msgpack.encode([*fields, "more"])) == ReplicaStarted(1, 7)


def test_a_state_loaded_from_a_snapshot_changes_as_the_original_one() -> None:
    state, loaded = state_with(MachineState.IN_MAINTENANCE), MaintenanceState()
    loaded.load(state.dump())
    for each in (state, loaded):
        apply_entry(each, 20, ReplicaStarted(2, 9))
        apply_entry(each, 21, OperatorCommand(0, 5, 9, "done", "m0"))
    assert state.dump() == loaded.dump() and loaded.machines["m0"].state == MachineState.WARMING_UP
    loaded.load(b"")
    assert loaded.dump() == MaintenanceState().dump()
    with pytest.raises(MaintenanceSnapshotError):
        state.load(b"what?")
    assert state.machines["m0"].state == MachineState.WARMING_UP


def test_limits_are_checked_where_entries_are_applied() -> None:
    state = state_with(MachineState.DRAINING)
    for fields in (
        {},
        {"base_index": 1},
        {"ready_count": 1},
        {"weight": float("nan")},
        {"request_number": 77},
        {"drained_by_discovery": DrainedCounts(0, 0, -1)},
    ):
        apply_entry(state, state.index + 1, drain_entry(state, "m2", **fields))
    assert list(state.machines) == ["m0"] and state.ignored_count == 6


def test_a_repeated_late_command_has_no_effect() -> None:
    state = MaintenanceState()
    command = OperatorCommand(0, 5, 1, "wish", request_for(zone="a"))
    apply_entry(state, 1, command)
    apply_entry(state, 2, OperatorCommand(0, 5, 2, "withdraw", "w"))
    apply_entry(state, 3, command)
    assert not state.open_requests and state.past_requests[0].is_withdrawn


@pytest.mark.parametrize(
    ("verb", "argument", "verdict"),
    [
        ("wish", request_for(zone="b"), "ContradictionError"),
        ("wish", request_for("x", out=0, zone="b"), "LimitError"),
        ("wish", request_for("x", share=1.5, zone="b"), "LimitError"),
        ("withdraw", "x", "UnknownWishError"),
        ("begin", "m0", "OrderError"),
        ("done", "m9", "OrderError"),
        ("absent", 3, "OrderError"),
        ("what", "x", "WishError"),
    ],
)
def test_a_command_that_is_rejected_when_applied_changes_only_the_verdict(
    verb: str, argument: Any, verdict: str
) -> None:
    state = state_with(MachineState.DRAINING)
    state.incarnations[3] = 11
    machines, requests = msgspec.to_builtins(state.machines), len(state.open_requests)
    apply_entry(state, 9, OperatorCommand(0, 5, 9, verb, argument))
    assert state.last_commands[0].verdict == verdict
    assert (msgspec.to_builtins(state.machines), len(state.open_requests), state.absent_peers) == (
        machines,
        requests,
        set(),
    )


def test_the_state_is_bounded() -> None:
    state = MaintenanceState()
    for n in range(3 * MAX_OPEN_REQUESTS):
        apply_entry(
            state,
            n + 1,
            OperatorCommand(0, 5, n + 1, "wish", request_for(f"w{n}", out=1000, zone="a")),
        )
    assert len(state.open_requests) == MAX_OPEN_REQUESTS and state.last_commands[0].verdict == "ManyError"
    for n in range(MAX_MACHINES_OUT + 5):
        apply_entry(state, 1000 + n, drain_entry(state, f"m{n}", listed_weight=2000.0, ready_weight=2000.0))
    assert len(state.machines) == MAX_MACHINES_OUT
    apply_entry(state, 5000, ReplicaStarted(5000, 1))
    assert 5000 not in state.incarnations


def test_a_late_transition_or_end_of_a_request_is_ignored() -> None:
    state = state_with(MachineState.WARMING_UP)
    number, base = next(iter(state.open_requests)), state.changed_index
    apply_entry(state, 10, CompleteRequest(base, number))
    assert number in state.open_requests, "it has a machine out of service"
    since_index = state.machines["m0"].since_index
    apply_entry(state, 11, MachineTransition("m0", since_index - 1, "back"))
    assert "m0" in state.machines
    apply_entry(state, 12, MachineTransition("m0", since_index, "back"))
    apply_entry(state, 13, CompleteRequest(base, number))
    assert number in state.open_requests
    apply_entry(state, 14, CompleteRequest(state.changed_index, number))
    assert not state.open_requests and state.past_requests[0].machine_count == 1
