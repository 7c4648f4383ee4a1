"""Maintenance: its table of states, its rules, the hard cases, its calls, and the step where lists change."""

from __future__ import annotations

import itertools
import json
from collections.abc import Callable, Iterator, Sequence
from typing import Any

import msgspec
import pytest

from laurelstep.consensus.errors import BusyError, NotLeaderError
from laurelstep.consensus.state_machines import CompositeStateMachine
from laurelstep.engine import Answer, Call, Ending, Engine, Names, endpoint_number
from laurelstep.engine.call import Attempt
from laurelstep.engine.flow import Flow
from laurelstep.engine.given import GivenMembers
from laurelstep.errors import LaurelstepError
from laurelstep.interface import OK, RequestClass, Settings
from laurelstep.lifecycle import Lifecycle
from laurelstep.maintenance.api import MaintenanceApi
from laurelstep.maintenance.bounds import MAX_ENTRY_BYTES, MAX_MACHINES_OUT, MAX_OPEN_REQUESTS
from laurelstep.maintenance.commands import COMMAND_TIMEOUT_US, MAX_COMMANDS
from laurelstep.maintenance.entries import (
    SUBSYSTEM_TAG,
    CommandVerb,
    CompleteRequest,
    DrainAcknowledgement,
    DrainedCounts,
    DrainMachine,
    MachineTransition,
    OperatorCommand,
    ReplicaStarted,
    decode_entry,
    decode_message,
    encode,
    fits_entry,
)
from laurelstep.maintenance.errors import (
    ConflictingRequestError,
    EntryTooLargeError,
    InvalidLimitError,
    InvalidRequestError,
    InvalidTransitionError,
    LeaderUnreachableError,
    MaintenanceError,
    MaintenanceSnapshotError,
    TooManyRequestsError,
    UnknownMachineError,
    UnknownPeerError,
    UnknownRequestError,
    UnsatisfiableRequestError,
)
from laurelstep.maintenance.machines import MachineTable, parse_listed_machine
from laurelstep.maintenance.records import DroppedMachine
from laurelstep.maintenance.requests import MaintenanceRequest, parse_request
from laurelstep.maintenance.routes import METHODS, handle_call
from laurelstep.maintenance.settings import MaintenanceSettings
from laurelstep.maintenance.source import MAX_DIRECT_ENTRIES, MaintenanceSource
from laurelstep.maintenance.state import MaintenanceState
from laurelstep.maintenance.states import (
    CORDONED_STATES,
    DRAINED_STATES,
    OUT_OF_SERVICE_STATES,
    TRANSITIONS,
    MachineState,
    next_state,
)
from laurelstep.maintenance.subsystem import passive_state_machines
from laurelstep.management.calls import Reply, reply_to
from tests.fakes import Answers, ManualClock, PlayedUpstream, entry
from tests.maintenance import (
    COLD_US,
    GRACE_US,
    SECOND,
    FakeDiscovery,
    FakeEngine,
    Replica,
    Tier,
    listed_entry,
    request_for,
)

MACHINES = [listed_entry(f"m{n}", "ab"[n % 2]) for n in range(6)]


def tier(count: int = 3, machines: Any = MACHINES, **settings: Any) -> Tier:
    one = Tier(count, machines, MaintenanceSettings(**settings))
    one.settle(2)
    return one


def out(one: Tier, count: int = 1) -> list[str]:
    """The machines that are clear."""
    found = [id for id, state in one.states().items() if state == "clear"]
    assert len(found) == count, one.states()
    return found


# --- The table of states --------------------------------------------------------------------


def agree(state: MaintenanceState, index: int, entry: Any) -> None:
    """As the record hands it on, without the byte that says whose it is."""
    state.apply(index, encode(entry)[1:])


def state_with(machine_state: MachineState) -> MaintenanceState:
    """A state with one machine in this state."""
    state = MaintenanceState()
    events: dict[MachineState, list[Any]] = {
        MachineState.DRAINING: [],
        MachineState.DRAINED: ["clear"],
        MachineState.IN_MAINTENANCE: ["clear", "begin"],
        MachineState.OVERDUE: ["clear", "overdue"],
        MachineState.WARMING_UP: ["clear", "done"],
    }
    agree(state, 1, OperatorCommand(0, 5, 1, "wish", request_for(zone="a")))
    agree(state, 2, leave(state))
    for event in events[machine_state]:
        tell(state, event)
    assert state.machines["m0"].state == machine_state
    return state


def leave(state: MaintenanceState, id: str = "m0", **more: Any) -> DrainMachine:
    facts: dict[str, Any] = {
        "base_index": state.changed_index, "request_number": next(iter(state.open_requests)),
        "machine_id": id, "zone": "a", "cell": 1,
        "weight": 1.0, "started_ms": 1, "ready_count": 6, "ready_weight": 6.0, "listed_weight": 6.0,
        "drained_by_discovery": DrainedCounts(0, 0, 0), "slow_start_share": 0.2, **more,
    }  # fmt: skip
    return DrainMachine(**facts)


def tell(state: MaintenanceState, event: str) -> None:
    """One event to the machine, as it comes in the record."""
    index = state.index + 1
    if event in ("begin", "done"):
        number = state.last_commands[0].sequence_number + 1
        agree(state, index, OperatorCommand(0, 5, number, event, "m0"))
    elif event == "withdraw":
        number = state.last_commands[0].sequence_number + 1
        agree(state, index, OperatorCommand(0, 5, number, "withdraw", "w"))
    elif event == "leave":
        agree(state, index, leave(state))
    else:
        since = state.machines["m0"].since_index if "m0" in state.machines else 2
        agree(state, index, MachineTransition("m0", since, event, "why"))


def test_a_replica_with_maintenance_off_that_leads_forgets_no_request() -> None:
    """Its snapshot is all that a replica which fell behind gets."""
    off, behind = CompositeStateMachine(passive_state_machines()), MaintenanceState()
    off.apply(1, encode(OperatorCommand(0, 5, 1, "wish", request_for(zone="a"))))
    off.apply(2, encode(ReplicaStarted(1, 7)))
    CompositeStateMachine({SUBSYSTEM_TAG[0]: behind}).load(off.dump())
    assert [one.request.name for one in behind.open_requests.values()] == ["w"] and behind.incarnations == {
        1: 7
    }


EVENTS = sorted({event for event, _ in TRANSITIONS} - {"agree"})


@pytest.mark.parametrize(("machine_state", "event"), itertools.product(sorted(OUT_OF_SERVICE_STATES), EVENTS))
def test_each_state_moves_as_the_table_says(machine_state: MachineState, event: str) -> None:
    state = state_with(machine_state)
    before = state.machines["m0"].since_index
    tell(state, event)
    after = next_state(event, machine_state)
    machine = state.machines.get("m0")
    if after is None or after == machine_state:
        assert machine is not None and (machine.state, machine.since_index) == (machine_state, before)
    elif after in OUT_OF_SERVICE_STATES:
        assert machine is not None and (machine.state, machine.since_index) == (after, state.index)
    else:
        assert machine is None
        assert state.was_finished("m0") == (event in ("back", "drop"))


def test_what_is_requested_waits_until_it_leaves_or_is_withdrawn() -> None:
    assert next_state("agree", MachineState.REQUESTED) == MachineState.WAITING
    assert next_state("leave", MachineState.WAITING) == MachineState.DRAINING
    assert {next_state("withdraw", state) for state in (MachineState.REQUESTED, MachineState.WAITING)} == {
        MachineState.WITHDRAWN
    }
    assert (
        DRAINED_STATES < CORDONED_STATES < OUT_OF_SERVICE_STATES
        and MachineState.WARMING_UP not in CORDONED_STATES
    )


# --- The state -------------------------------------------------------------------------------


def test_an_entry_that_can_not_be_read_is_counted_and_nothing_else() -> None:
    state = MaintenanceState()
    before = state.dump()
    good = encode(ReplicaStarted(1, 7))
    for bad in (
        b"",
        SUBSYSTEM_TAG,
        b"x" + good[1:],
        good[:-1],
        SUBSYSTEM_TAG + b"\xc1",
        good + b"x" * MAX_ENTRY_BYTES,
        b"u\x91\x63",
    ):
        state.apply(0, bad)
        assert decode_message(bad) is None
    assert state.dump() == before and state.undecoded_count == 7


def test_fields_of_a_later_version_are_passed_over() -> None:
    raw = msgspec.msgpack.decode(encode(ReplicaStarted(1, 7))[1:])
    assert decode_entry(msgspec.msgpack.encode([*raw, "more"])) == ReplicaStarted(1, 7)


def test_the_same_entries_make_the_same_state_also_by_a_snapshot() -> None:
    state, other = state_with(MachineState.IN_MAINTENANCE), MaintenanceState()
    other.load(state.dump())
    for one in (state, other):
        agree(one, 20, ReplicaStarted(2, 9))
        agree(one, 21, OperatorCommand(0, 5, 9, "done", "m0"))
    assert state.dump() == other.dump() and other.machines["m0"].state == MachineState.WARMING_UP
    other.load(b"")
    assert other.dump() == MaintenanceState().dump()
    with pytest.raises(MaintenanceSnapshotError):
        state.load(b"what?")
    assert state.machines["m0"].state == MachineState.WARMING_UP


def test_limits_are_checked_where_entries_are_applied() -> None:
    state = state_with(MachineState.DRAINING)
    for facts in (
        {},
        {"base_index": 1},
        {"ready_count": 1},
        {"weight": float("nan")},
        {"request_number": 77},
        {"drained_by_discovery": DrainedCounts(0, 0, -1)},
    ):
        agree(state, state.index + 1, leave(state, "m2", **facts))
    assert list(state.machines) == ["m0"] and state.ignored_count == 6


def test_one_command_is_done_once_also_when_it_comes_again_late() -> None:
    state = MaintenanceState()
    ask = OperatorCommand(0, 5, 1, "wish", request_for(zone="a"))
    agree(state, 1, ask)
    agree(state, 2, OperatorCommand(0, 5, 2, "withdraw", "w"))
    agree(state, 3, ask)
    assert not state.open_requests and state.past_requests[0].is_withdrawn


@pytest.mark.parametrize(
    ("verb", "what", "verdict"),
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
def test_what_does_not_hold_when_it_is_agreed_changes_nothing_but_the_verdict(
    verb: str, what: Any, verdict: str
) -> None:
    state = state_with(MachineState.DRAINING)
    state.incarnations[3] = 11
    machines, requests = msgspec.to_builtins(state.machines), len(state.open_requests)
    agree(state, 9, OperatorCommand(0, 5, 9, verb, what))
    assert state.last_commands[0].verdict == verdict
    assert (msgspec.to_builtins(state.machines), len(state.open_requests), state.absent_peers) == (
        machines,
        requests,
        set(),
    )


def test_the_state_is_bounded() -> None:
    state = MaintenanceState()
    for n in range(3 * MAX_OPEN_REQUESTS):
        agree(state, n + 1, OperatorCommand(0, 5, n + 1, "wish", request_for(f"w{n}", out=1000, zone="a")))
    assert len(state.open_requests) == MAX_OPEN_REQUESTS and state.last_commands[0].verdict == "ManyError"
    for n in range(MAX_MACHINES_OUT + 5):
        agree(state, 1000 + n, leave(state, f"m{n}", listed_weight=2000.0, ready_weight=2000.0))
    assert len(state.machines) == MAX_MACHINES_OUT
    agree(state, 5000, ReplicaStarted(5000, 1))
    assert 5000 not in state.incarnations


def test_a_late_end_or_step_is_for_another_state() -> None:
    state = state_with(MachineState.WARMING_UP)
    number, base = next(iter(state.open_requests)), state.changed_index
    agree(state, 10, CompleteRequest(base, number))
    assert number in state.open_requests, "it has a machine out"
    since = state.machines["m0"].since_index
    agree(state, 11, MachineTransition("m0", since - 1, "back"))
    assert "m0" in state.machines
    agree(state, 12, MachineTransition("m0", since, "back"))
    agree(state, 13, CompleteRequest(base, number))
    assert number in state.open_requests
    agree(state, 14, CompleteRequest(state.changed_index, number))
    assert not state.open_requests and state.past_requests[0].machine_count == 1


# --- Wishes ---------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("told", "error"),
    [
        ({}, InvalidRequestError),
        ({"name": ["w"]}, InvalidRequestError),
        ({"name": ["a b"], "zone": ["a"]}, InvalidRequestError),
        ({"name": ["w" * 25], "zone": ["a"]}, InvalidRequestError),
        ({"name": ["w", "v"], "zone": ["a"]}, InvalidRequestError),
        ({"name": ["w"], "zone": ["a"], "oout": ["1"]}, InvalidRequestError),
        ({"name": ["w"], "zone": ["a"], "per": ["rack"]}, InvalidRequestError),
        ({"name": ["w"], "cell": ["x"]}, InvalidRequestError),
        ({"name": ["w"], "zone": ["a"], "out": ["0"]}, InvalidLimitError),
        ({"name": ["w"], "zone": ["a"], "out": ["-3"]}, InvalidLimitError),
        ({"name": ["w"], "zone": ["a"], "out": ["many"]}, InvalidLimitError),
        ({"name": ["w"], "zone": ["a"], "share": ["1.01"]}, InvalidLimitError),
        ({"name": ["w"], "zone": ["a"], "share": ["nan"]}, InvalidLimitError),
        ({"name": ["w"], "zone": ["a"], "share": ["half"]}, InvalidLimitError),
        ({"name": ["w"], "zone": ["a"], "overdue_s": ["0"]}, InvalidLimitError),
        ({"name": ["w"], "address": ["127.0.0.1:1"]}, UnknownMachineError),
    ],
)
def test_a_bad_request_has_an_error_of_its_own(
    told: dict[str, list[str]], error: type[MaintenanceError]
) -> None:
    with pytest.raises(error):
        parse_request(told, {})


def test_a_request_is_read() -> None:
    told = {
        "name": ["disk"], "id": ["m2", "m1", "m2"], "address": ["h:1"], "zone": ["a"], "cell": ["4"],
        "kind": ["small"], "out": ["2"], "per": ["zone"], "share": ["0.7"], "overdue_s": ["60"],
    }  # fmt: skip
    request = parse_request(told, {"h:1": "m9"})
    assert request == request_for(
        "disk", 2, "zone", 0.7, machine_ids=("m1", "m2", "m9"), zone="a", cell=4, kind="small", overdue_s=60
    )
    assert decode_entry(encode(OperatorCommand(1, 2, 3, "wish", request))[1:]) == OperatorCommand(
        1, 2, 3, "wish", request
    )


def test_every_error_says_its_cause_and_a_remedy() -> None:
    for error in (MaintenanceSnapshotError, *MaintenanceError.__subclasses__()):
        assert issubclass(error, LaurelstepError)
        assert {"cause", "remedy"} <= vars(error).keys(), error
        assert "\n" not in error.cause + error.remedy


# --- The way of a machine -------------------------------------------------------------------


def test_a_machine_goes_out_and_comes_back_and_then_the_next() -> None:
    one = tier()
    asked = one.replicas[1].api.submit_request(request_for(zone="a"))
    assert asked is not None and asked.status == "wished"
    one.settle()
    assert asked.status == "agreed"
    (id,) = out(one)
    assert id == "m0", "by zone, cell and id"
    assert all(id not in replica.engine.ready for replica in one.replicas)
    one.replicas[2].api.report_work(CommandVerb.BEGIN_WORK, id)
    one.settle(1)
    assert one.state_of(id) == "at work"
    one.replicas[0].api.report_work(CommandVerb.FINISH_WORK, id)
    one.settle(1)
    assert one.state_of(id) == "returning"
    wall = one.clock.wall() // 1000
    for replica in one.replicas:
        assert wall - 2000 <= replica.engine.ready[id] <= wall, "as one that has just started"
    one.settle(COLD_US / SECOND + 2)
    assert out(one) == ["m2"]


def test_it_is_not_clear_before_every_replica_is_quiet() -> None:
    one = tier()
    one.replicas[2].engine.out["m0"] = 1
    one.replicas[0].api.submit_request(request_for(zone="a"))
    one.settle()
    (told,) = one.replicas[0].api.status()["machines"]
    assert told["state"] == "leaving" and told["missing"] == [2] and told["quiet_here"]
    one.replicas[2].engine.out["m0"] = 0
    one.settle()
    assert out(one) == ["m0"]


def test_a_replica_that_never_heard_of_it_keeps_it_from_clear_until_somebody_says_absent() -> None:
    one = tier()
    one.replicas[2].is_cut_off = True
    one.replicas[0].api.submit_request(request_for(zone="a"))
    one.settle(30)
    assert one.state_of("m0") == "leaving", "no time-out"
    one.replicas[2].crash()
    with pytest.raises(UnknownPeerError):
        one.replicas[1].api.declare_absent(3)
    with pytest.raises(UnknownPeerError):
        one.replicas[1].api.declare_absent(1)
    one.replicas[1].api.declare_absent(2)
    one.settle()
    assert out(one) == ["m0"] and one.state.absent_peers == {2}
    back = one.restart(2)
    one.settle()
    assert one.state.absent_peers == set() and "m0" not in back.engine.ready
    assert one.replicas[1].api.declare_absent(0) is not None


def test_absent_is_for_the_process_that_was_meant() -> None:
    """It has come back before the message was agreed: nothing is declared."""
    one = tier()
    one.replicas[2].crash()
    one.replicas[1].api.declare_absent(2)
    one.replicas[1].controller.run_step()
    late, one.messages = one.messages, []
    one.restart(2)
    one.settle()
    one.messages = late
    one.settle(1)
    (asked,) = one.replicas[1].api.status()["asked"]
    assert one.state.absent_peers == set() and asked["state"] == "OrderError"


def test_a_message_that_is_told_late_does_not_hit_the_next_time() -> None:
    """Two replicas are told that a machine is done, one of them in vain: it is out again by then."""
    one = tier()
    one.replicas[0].api.submit_request(request_for("first", machine_ids=("m0",)))
    one.settle()
    assert out(one) == ["m0"]
    one.replicas[1].api.report_work(CommandVerb.FINISH_WORK, "m0")
    one.replicas[1].controller.run_step()
    late, one.messages = one.messages, []
    one.replicas[1].controller.commands.commands[0].sent_at_us = (
        one.clock.now() + 60 * SECOND
    )  # the repeats are lost
    one.replicas[2].api.report_work(CommandVerb.FINISH_WORK, "m0")
    one.settle(COLD_US / SECOND + 1)
    assert not one.state.machines and not one.state.open_requests
    one.replicas[0].api.submit_request(request_for("second", machine_ids=("m0",)))
    one.settle()
    assert out(one) == ["m0"]
    one.messages = late
    one.settle(1)
    assert out(one) == ["m0"] and one.state.last_commands[1].verdict == "OrderError"


def test_a_request_withdrawn_late_is_not_the_next_one_of_its_name() -> None:
    state = state_with(MachineState.WARMING_UP)
    first = next(iter(state.open_requests))
    agree(state, 20, OperatorCommand(1, 6, 1, "withdraw", "w", first))
    tell(state, "back")
    agree(state, 22, OperatorCommand(0, 5, 30, "wish", request_for(zone="a")))
    agree(state, 23, OperatorCommand(1, 6, 2, "withdraw", "w", first))
    assert list(state.open_requests) == [22] and state.last_commands[1].verdict == "UnknownWishError"
    agree(state, 24, OperatorCommand(1, 6, 3, "withdraw", "w", 22))
    assert not state.open_requests


def test_an_absent_replica_that_was_only_cut_off_ends_it() -> None:
    one = tier()
    one.replicas[2].is_cut_off = True
    one.replicas[0].api.declare_absent(2)
    one.settle(1)
    assert one.state.absent_peers == {2}
    one.replicas[2].is_cut_off = False
    one.settle(2)
    assert one.state.absent_peers == set()


def test_a_replica_sends_nothing_before_it_knows_the_record() -> None:
    one = Tier(2, MACHINES)
    one.replicas[0].receive_list()
    for _ in range(50):
        one.replicas[0].controller.run_step()
        one.clock.advance(SECOND)
    assert not one.replicas[0].engine.ready and not one.replicas[0].serving_count
    one.settle()
    ready, opened = len(one.replicas[0].engine.ready), one.replicas[0].serving_count
    assert (ready, opened) == (6, 1)


def test_a_replica_that_serves_alone_says_so_and_keeps_machines_from_clear() -> None:
    one = tier(start_alone="serve", learn_us=2 * SECOND)
    one.replicas[1].engine.out["m0"] = 1
    one.replicas[0].api.submit_request(request_for(zone="a"))
    one.settle(1)
    alone = one.restart(2)
    alone.can_learn = False
    one.settle(4)
    assert len(alone.engine.ready) == 6 and alone.serving_count == 1
    assert alone.api.status()["serving_alone"] and "a clear may be untrue" in alone.logged[0]
    one.replicas[1].engine.out["m0"] = 0
    one.settle(10)
    assert one.state_of("m0") == "leaving", "what it confirmed in an earlier life does not count"
    alone.can_learn = True
    one.settle()
    assert out(one) == ["m0"] and "m0" not in alone.engine.ready


def test_one_that_was_declared_absent_and_serves_alone_keeps_machines_from_clear() -> None:
    """Somebody saw it dead; it has come again since, sends, and says so."""
    one = tier(start_alone="serve", learn_us=2 * SECOND)
    one.replicas[2].crash()
    one.replicas[1].api.declare_absent(2)
    one.settle(1)
    alone = one.restart(2)
    alone.can_learn = False
    one.settle(3)
    one.replicas[1].api.submit_request(request_for(zone="a"))
    one.settle(12)
    assert one.state.absent_peers == {2} and one.state_of("m0") == "leaving"
    one.restart(2)
    one.settle(10)
    assert one.state.absent_peers == set() and out(one) == ["m0"]


def test_a_message_of_an_earlier_life_that_comes_late_is_passed_over() -> None:
    one = tier()
    before = one.replicas[2].incarnation
    one.restart(2)
    one.settle(1)
    heard = one.replicas[0].controller.acknowledgements
    heard.record(2, before, 10**6)
    assert heard.by_peer.get(2, (0, 0))[0] != before
    one.state.incarnations[2] = before  # a late message had it agreed: it is taken again
    heard.update(one.state)
    heard.record(2, before, 10**6)
    assert heard.by_peer[2] == (before, 10**6)


def test_a_replica_that_is_cut_off_holds_what_it_knows_and_takes_nobody_out() -> None:
    one = tier()
    one.replicas[0].api.submit_request(request_for(out=2, zone="a"))
    one.settle()
    cut = one.replicas[2]
    cut.is_cut_off = True
    for id in out(one, 2):
        one.replicas[0].api.report_work(CommandVerb.FINISH_WORK, id)
    one.settle(6)
    assert "m0" in one.replicas[1].engine.ready
    assert cut.engine.ready.keys() == {"m1", "m3", "m4", "m5"}, "held until the record says otherwise"
    assert one.state_of("m4") == "leaving"
    with pytest.raises(LeaderUnreachableError):
        cut.api.submit_request(request_for("other", zone="b"))
    one.update_list(listed_entry("m7"), listed_entry("m1", "b", "draining"))
    cut.receive_list()
    assert cut.engine.ready.keys() == {"m3", "m4", "m5", "m7"}, "it goes on by discovery's list"
    cut.is_cut_off = False
    one.settle()
    assert out(one) == ["m4"]


def test_a_replica_that_is_cut_off_does_not_say_that_what_it_remembers_still_is() -> None:
    one = tier(3, MACHINES)
    first, last = one.replicas[0], one.replicas[2]
    request = request_for(machine_ids=("m0",))
    first.api.submit_request(request)
    one.settle()
    first.api.report_work(CommandVerb.BEGIN_WORK, "m0")
    one.settle()
    assert (
        last.api.report_work(CommandVerb.BEGIN_WORK, "m0") is None
        and last.api.submit_request(request) is None
    )
    last.is_cut_off = True
    first.api.report_work(CommandVerb.FINISH_WORK, "m0")
    one.settle()
    assert one.state_of("m0") != "at work" and last.state.machines["m0"].state == "at work"
    with pytest.raises(LeaderUnreachableError):
        last.api.report_work(CommandVerb.BEGIN_WORK, "m0")
    with pytest.raises(LeaderUnreachableError):
        last.api.submit_request(request)


def test_a_record_that_is_learned_anew_lets_nothing_go() -> None:
    """A process that has to come again as another member has an empty state for a while."""
    one = tier()
    one.replicas[0].api.submit_request(request_for(zone="a"))
    one.settle()
    again = one.replicas[2]
    again.state.load(b"")
    again.applied, again.is_caught_up, again.is_cut_off = 0, False, True
    one.incarnations += 1
    again.incarnation = one.incarnations
    one.settle()
    assert "m0" not in again.engine.ready and again.source.drained_index() == -1
    again.is_cut_off = False
    one.settle()
    assert one.state.incarnations[2] == again.incarnation and out(one) == ["m0"]
    assert (
        "m0" not in again.engine.ready
        and again.source.drained_index() >= one.state.machines["m0"].drain_index
    )


def test_during_a_handover_the_new_process_confirms_nothing() -> None:
    one = tier()
    one.replicas[2].controller.may_acknowledge = lambda: False
    one.replicas[0].api.submit_request(request_for(zone="a"))
    one.settle(10)
    assert one.state_of("m0") == "leaving"
    one.replicas[2].controller.may_acknowledge = lambda: True
    one.settle()
    assert out(one) == ["m0"]


# --- Hard cases -----------------------------------------------------------------------------


def test_the_sidecar_of_a_machine_dies_while_it_is_at_work() -> None:
    """Its replica comes again from nothing, and sends nothing to it."""
    one = tier()
    one.replicas[2].api.submit_request(request_for(zone="a"))
    one.settle()
    one.replicas[2].api.report_work(CommandVerb.BEGIN_WORK, "m0")
    one.settle(1)
    one.replicas[2].crash()
    one.settle(1)
    back = one.restart(2)
    assert not back.engine.ready
    one.settle()
    assert one.state_of("m0") == "at work" and "m0" not in back.engine.ready and len(back.engine.ready) == 5
    back.api.report_work(CommandVerb.FINISH_WORK, "m0")
    one.settle(1)
    assert one.state_of("m0") == "returning" and "m0" in back.engine.ready


def test_a_request_withdrawn_while_half_have_confirmed() -> None:
    one = tier(4)
    for replica in one.replicas[2:]:
        replica.engine.out["m0"] = 1
    one.replicas[0].api.submit_request(request_for(zone="a"))
    one.settle()
    missing = one.replicas[0].controller.acknowledgements.missing_peers(
        one.state.machines["m0"].drain_index, one.state, 4
    )
    assert missing == [2, 3]
    one.replicas[3].api.withdraw_request("w")
    one.settle()
    assert not one.state.open_requests and not one.state.machines
    for replica in one.replicas:
        assert replica.engine.ready["m0"] == 1000, "as it was: it never stopped"
    assert one.replicas[1].api.withdraw_request("w") is None, "asked twice, it says yes twice"


def test_a_withdrawn_request_waits_for_who_is_at_work() -> None:
    one = tier()
    one.replicas[0].api.submit_request(request_for(zone="a", out=2))
    one.settle()
    one.replicas[0].api.report_work(CommandVerb.BEGIN_WORK, "m0")
    one.settle(1)
    one.replicas[0].api.withdraw_request("w")
    one.settle()
    assert one.states() == {"m0": "at work"} and "m2" in one.replicas[1].engine.ready
    assert one.replicas[0].api.status()["wishes"][0]["state"] == "withdrawn"
    one.replicas[0].api.report_work(CommandVerb.FINISH_WORK, "m0")
    one.settle(COLD_US / SECOND + 2)
    assert not one.state.open_requests and one.replicas[0].api.status()["past"][0]["withdrawn"]


@pytest.mark.parametrize(
    ("phase", "started_ms", "why"),
    [("gone", 1000, "gone"), ("draining", 1000, "drained by discovery"), ("ready", 9000, "replaced")],
)
def test_discovery_takes_the_machine_that_leaves(phase: str, started_ms: int, why: str) -> None:
    one = tier()
    one.replicas[1].engine.out["m0"] = 1
    one.replicas[0].api.submit_request(request_for(zone="a"))
    one.settle(1)
    assert one.state_of("m0") == "leaving"
    one.update_list(listed_entry("m0", "a", phase, started_ms))
    one.settle(4)
    assert "m0" not in one.state.machines
    assert one.state.open_requests and next(iter(one.state.open_requests.values())).dropped == [
        DroppedMachine("m0", why)
    ]
    for replica in one.replicas:
        assert ("m0" in replica.engine.ready) == (phase == "ready"), "discovery wins"
    if phase == "draining":  # it is out as well, by discovery's message
        assert not one.states()
    else:
        assert out(one) == ["m2"], "the next goes"


@pytest.mark.parametrize("phase", ["gone", "draining", "replaced"])
def test_a_machine_at_work_may_go_and_come_and_stays_out(phase: str) -> None:
    one = tier()
    one.replicas[0].api.submit_request(request_for(zone="a"))
    one.settle()
    one.replicas[0].api.report_work(CommandVerb.BEGIN_WORK, "m0")
    one.settle(1)
    one.update_list(listed_entry("m0", "a", "ready" if phase == "replaced" else phase, 9000))
    one.settle(2)
    assert one.state_of("m0") == "at work"
    one.update_list(listed_entry("m0", "a", started_ms=9000))
    one.settle(1)
    assert all("m0" not in replica.engine.ready for replica in one.replicas)
    one.replicas[0].api.report_work(CommandVerb.FINISH_WORK, "m0")
    one.settle(1)
    assert all("m0" in replica.engine.ready for replica in one.replicas)


def test_two_zones_requested_at_once_with_room_for_one() -> None:
    one = tier()
    one.replicas[1].api.submit_request(request_for("b-first", 1, "tier", zone="b"))
    one.replicas[2].api.submit_request(request_for("a-then", 1, "tier", zone="a"))
    one.settle()
    (id,) = out(one)
    first = min(one.state.open_requests.values(), key=lambda request: request.number)
    assert first.request.zone == one.list[id]["zone"], "the order of the record"
    told = one.replicas[0].api.status()["wishes"]
    assert all("out 1 per tier: 1 out in the tier" in request["kept_by"] for request in told)
    assert not any(request["never"] for request in told)
    done: list[str] = []
    for _ in range(6):
        (id,) = out(one)
        done.append(id)
        one.replicas[0].api.report_work(CommandVerb.FINISH_WORK, id)
        one.settle(COLD_US / SECOND + 3)
    zones = [one.list[id]["zone"] for id in done]
    assert sorted(zones, key=zones.index) == zones and not one.state.open_requests


def test_a_request_that_can_never_hold_is_told_with_the_constraint() -> None:
    one = tier()
    with pytest.raises(UnsatisfiableRequestError, match=r"share 0\.9: 0\.833 would stay"):
        one.replicas[1].api.submit_request(request_for(share=0.9, zone="a"))
    one.replicas[1].api.submit_request(request_for("strict", share=0.8, zone="b"))
    one.replicas[1].api.submit_request(request_for("wide", out=3, share=0.2, zone="a"))
    one.settle()
    one.update_list(
        listed_entry("m5", "b", "gone"), listed_entry("m4", "a", "gone")
    )  # four are left: a quarter each
    one.settle(2)
    (id,) = out(one)
    one.replicas[0].api.report_work(CommandVerb.FINISH_WORK, id)
    one.settle(COLD_US / SECOND + 2)
    told = {request["name"]: request for request in one.replicas[0].api.status()["wishes"]}
    assert told["strict"]["never"] and "share 0.8" in told["strict"]["kept_by"]
    assert told["wide"]["never"] and "(wish strict)" in told["wide"]["kept_by"]
    one.replicas[0].api.withdraw_request("strict")
    one.settle()
    assert len(out(one, 2)) == 2


def test_a_release_replaces_all_sidecars_while_three_requests_are_under_way() -> None:
    one = tier(4)
    for name, zone in (("disk", "a"), ("kernel", "b")):
        one.replicas[0].api.submit_request(request_for(name, 2, zone=zone))
    one.replicas[0].api.submit_request(request_for("release", 2, kind="small"))
    one.settle()
    first, second = out(one, 2)
    one.replicas[0].api.report_work(CommandVerb.BEGIN_WORK, first)
    for me in (3, 2, 1, 0):
        one.settle(1)
        old = set(one.replicas[me].engine.ready)
        one.leaders = {(me + 1) % 4}
        new = one.restart(me)
        assert not new.engine.ready
        one.settle(2)
        assert new.engine.ready.keys() == old, "what is out stays out"
    assert one.states() == {first: "at work", second: "clear"}
    one.leaders = {0}
    finish(one)
    assert [past.machine_count for past in sorted(one.state.past_requests, key=lambda past: past.name)] == [
        3,
        3,
        6,
    ]


def finish(one: Tier, rounds: int = 60) -> None:
    """Staff works until all requests are over."""
    for _ in range(rounds):
        for id, state in one.states().items():
            if state in ("clear", "at work", "overdue"):
                one.live_replicas[0].api.report_work(CommandVerb.FINISH_WORK, id)
        one.settle(COLD_US / SECOND + 1)
        if not one.state.open_requests:
            return
    raise AssertionError(one.states())


def test_lists_of_different_age_at_the_replicas() -> None:
    """One does not know the machine, one has it draining, one would be left with none."""
    one = Tier(4, MACHINES)
    one.replicas[1].source.listed(1, True, MACHINES[1:])
    one.replicas[2].source.listed(1, True, [listed_entry("m0", "a", "draining"), *MACHINES[1:]])
    one.replicas[3].source.listed(1, True, [MACHINES[0]])
    for replica in one.replicas[1:]:
        replica.list_version = 10**6
    one.settle(2)
    one.replicas[0].api.submit_request(request_for(machine_ids=("m0",)))
    one.settle()
    assert one.state_of("m0") == "leaving" and one.replicas[3].engine.ready.keys() == {"m0"}
    assert one.replicas[0].api.status()["machines"][0]["missing"] == [3], "the last one is never taken"
    for replica in one.replicas[1:]:
        replica.list_version = -1
    one.settle()
    assert out(one) == ["m0"] and all("m0" not in replica.engine.ready for replica in one.replicas)


def test_whoever_leads_with_an_older_list_ends_no_request() -> None:
    one = tier()
    one.replicas[0].list_version = 10**6
    one.update_list(listed_entry("m9", "z"), listed_entry("m8", "y"))
    one.settle(1)
    one.replicas[1].api.submit_request(request_for("by-id", machine_ids=("m9",)))
    one.replicas[1].api.submit_request(request_for("by-zone", out=2, zone="y"))
    one.settle()
    told = {request["name"]: request["kept_by"] for request in one.replicas[0].api.status()["wishes"]}
    assert told == {"by-id": "m9: not listed", "by-zone": "no machine that is listed"}
    one.replicas[0].list_version = -1
    one.settle()
    assert out(one) == ["m9"]


def test_a_new_leader_with_an_older_list_drops_nothing_at_once() -> None:
    one = tier()
    one.replicas[1].engine.out["m0"] = 1
    one.replicas[0].api.submit_request(request_for(zone="a"))
    one.settle(1)
    one.update_list(listed_entry("m0", phase="gone"))
    one.restart(2)
    one.leaders = {2}
    one.settle(1)
    one.update_list(listed_entry("m0"))
    one.settle(4)
    assert one.states() == {"m0": "leaving"}


def test_a_status_looks_once_at_what_is_out_at_each_machine() -> None:
    one = tier(1, [listed_entry(f"m{n}") for n in range(40)])
    replica = one.replicas[0]
    replica.engine.out.update(f"m{n}" for n in range(40))
    replica.api.submit_request(request_for(out=30, kind="small", zone="a"))
    one.settle(6.0)
    assert len(one.state.machines) == 30
    looks: list[int] = []
    replica.source.in_flight_at = lambda endpoint: looks.append(endpoint) or 1  # type: ignore[func-returns-value]
    assert not any(told["quiet_here"] for told in replica.api.status()["machines"])
    assert len(looks) == 30


def test_two_hundred_replicas() -> None:
    one = Tier(200, [listed_entry(f"m{n}", "ab"[n % 2]) for n in range(10)])
    one.settle(1)
    assert len(one.state.incarnations) == 200
    one.messages.clear()
    one.settle(1)
    assert not one.messages, "none at rest"
    one.replicas[150].api.submit_request(request_for(out=2, per="zone", zone="a"))
    one.settle(2)
    assert out(one, 2) == ["m0", "m2"]
    assert (
        one.replicas[0].controller.acknowledgements.missing_peers(
            one.state.machines["m2"].drain_index, one.state, 200
        )
        == []
    )


def test_a_machine_that_never_comes_back_is_overdue_and_counts() -> None:
    one = tier(overdue_us=10 * SECOND)
    one.replicas[0].api.submit_request(request_for("one", 1, zone="a"))
    one.settle()
    one.replicas[0].api.report_work(CommandVerb.BEGIN_WORK, "m0")
    one.settle(12)
    assert one.states() == {"m0": "overdue"}, "the next does not go: one is out"
    assert one.replicas[0].logged == ["maintenance: m0: overdue"]
    one.replicas[0].api.withdraw_request("one")
    one.settle(1)
    one.replicas[0].api.submit_request(request_for("two", 2, machine_ids=("m2", "m4")))
    one.settle(2)
    assert one.states() == {"m0": "overdue", "m2": "clear"}, "with room for two the next goes"
    one.replicas[0].api.report_work(CommandVerb.FINISH_WORK, "m0")
    one.settle(COLD_US / SECOND + 2)
    assert "m0" not in one.states()


def test_a_request_has_its_own_time_until_overdue() -> None:
    one = tier(overdue_us=3600 * SECOND)
    one.replicas[0].api.submit_request(request_for(zone="a", overdue_s=5))
    one.settle(9)
    assert one.states() == {"m0": "overdue"}, "clear, and nobody began"


def test_all_processes_killed_between_leaving_and_clear() -> None:
    """With a lasting record it goes on; without, nothing is out and nothing was clear."""
    for lasting in (True, False):
        one = tier()
        one.replicas[1].engine.out["m0"] = 1
        one.replicas[0].api.submit_request(request_for(zone="a"))
        one.settle(1)
        assert one.state_of("m0") == "leaving"
        for replica in one.replicas:
            replica.crash()
        if not lasting:
            one.log.clear()
            one.multiplexer.load(b"")
            one.epoch = 2
        for me in range(3):
            one.restart(me)
        one.leaders = {1}
        one.settle()
        assert one.states() == ({"m0": "clear"} if lasting else {})
        assert all(("m0" in replica.engine.ready) is not lasting for replica in one.replicas)


def test_a_record_founded_anew_says_what_it_forgot() -> None:
    """One without a seat lives on, and held back what those that decided have all forgotten."""
    one = tier()
    one.replicas[0].api.submit_request(request_for(zone="a"))
    one.settle()
    last = one.replicas[2]
    one.log.clear()
    one.multiplexer.load(b"")
    one.epoch, last.applied = 2, 0
    for me in range(2):
        one.restart(me)
    one.leaders = {0}
    last.state.load(b"")
    one.settle()
    assert last.logged == [
        "maintenance: the cluster was bootstrapped again and lost what is out of service: m0"
    ]
    assert "m0" in last.engine.ready


def test_the_last_ready_machines_stay() -> None:
    one = tier(machines=[listed_entry("m0"), listed_entry("m1")])
    one.replicas[0].api.submit_request(request_for(out=2, zone="a"))
    one.settle()
    assert out(one) == ["m0"]
    assert one.replicas[0].api.status()["wishes"][0]["kept_by"] == "m1: last: 1 ready in the tier"


def test_a_machine_that_leaves_is_spared_when_all_others_go() -> None:
    one = tier(machines=[listed_entry("m0"), listed_entry("m1")])
    one.replicas[1].engine.out["m0"] = 1
    one.replicas[0].api.submit_request(request_for(zone="a"))
    one.settle(1)
    assert one.state_of("m0") == "leaving"
    one.update_list(listed_entry("m1", phase="gone"))
    one.settle(2)
    assert not one.states() and all(replica.engine.ready.keys() == {"m0"} for replica in one.replicas)
    assert one.state.open_requests, "its turn comes again"


def test_what_discovery_drains_counts_as_out() -> None:
    one = tier()
    one.update_list(listed_entry("m2", "a", "draining"))
    one.settle(1)
    one.replicas[0].api.submit_request(request_for(per="zone", zone="a"))
    one.settle()
    assert not one.states()
    assert "out 1 per zone: 1 out in zone a" in one.replicas[0].api.status()["wishes"][0]["kept_by"]


def test_cells_and_cold_ones_count() -> None:
    machines = [listed_entry(f"m{n}", "a", cell=n // 2) for n in range(4)]
    one = tier(machines=machines)
    one.replicas[0].api.submit_request(request_for(per="cell", share=0.5, zone="a"))
    one.settle()
    assert set(out(one, 2)) == {"m0", "m2"}, "one of each cell"
    one.replicas[0].api.report_work(CommandVerb.FINISH_WORK, "m0")
    one.settle(1)
    assert "m1" not in one.states(), "the one that is back is cold"
    assert one.replicas[0].api.status()["wishes"][0]["kept_by"].startswith("m1: ")


# --- What is asked at a replica ------------------------------------------------------------------


def test_messages_that_are_lost_are_told_again_and_given_up_in_the_end() -> None:
    one = tier()
    asked = one.replicas[1].api.submit_request(request_for(zone="a"))
    assert asked is not None
    one.replicas[1].controller.run_step()
    one.messages.clear()
    one.settle()
    assert asked.status == "agreed"
    one.leaders.clear()
    lost = one.replicas[1].api.withdraw_request("w")
    assert lost is not None and one.replicas[1].api.withdraw_request("w") is lost, "the same asking"
    one.settle(COMMAND_TIMEOUT_US / SECOND + 2)
    assert lost.status == "lost" and "call again" in one.replicas[1].logged[-1]


def test_a_version_that_follows_asks_on_from_the_number_of_the_one_before() -> None:
    one = tier()
    one.replicas[1].api.submit_request(request_for(zone="a"))
    one.settle()
    before = one.replicas[1].incarnation
    after = one.restart(1)
    after.incarnation = before
    one.settle(1)
    asked = after.api.report_work(CommandVerb.BEGIN_WORK, "m0")
    one.settle(1)
    assert asked is not None and asked.status == "agreed" and one.state_of("m0") == "at work"


def test_what_is_confirmed_is_told_ever_more_seldom_and_to_a_new_leader_at_once() -> None:
    one = tier()
    one.replicas[2].is_cut_off = True
    one.replicas[0].api.submit_request(request_for(zone="a"))
    one.settle(20)
    messages = 0
    for _ in range(600):
        one.replicas[1].controller.run_step()
        messages += len(one.messages)
        one.messages.clear()
        one.clock.time += SECOND // 10
    assert 7 <= messages <= 9
    one.replicas[0].controller.acknowledgements.reset()
    one.leaders = {1}
    for replica in one.replicas[:2]:
        replica.controller.run_step()
    assert {peer for peer, _, _ in one.messages} == {0, 1}


def test_commands_are_bounded() -> None:
    one = tier()
    one.leaders.clear()
    api = one.replicas[1].api
    for n in range(MAX_COMMANDS):
        api.submit_request(request_for(f"w{n}", zone="a"))
    with pytest.raises(TooManyRequestsError):
        api.submit_request(request_for("more", zone="a"))
    one.leaders = {0}
    one.settle()
    assert len(one.state.open_requests) == min(MAX_COMMANDS, MAX_OPEN_REQUESTS)
    api.withdraw_request("w0")
    assert len(one.replicas[1].controller.commands.commands) == MAX_COMMANDS


def test_a_leader_that_is_busy_or_deposed_proposes_again() -> None:
    one = tier()
    first = one.replicas[0]
    answers: list[Exception] = [BusyError("full"), NotLeaderError(None), BusyError("full")]
    append = one.append

    def proposed(by: Replica, data: bytes) -> None:
        if answers:
            raise answers.pop()
        append(data)

    one.on_proposal = proposed  # type: ignore[method-assign]
    message = first.send_to_leader
    busy = [BusyError("full")]

    def say(data: bytes) -> None:
        if busy:
            raise busy.pop()
        message(data)

    first.send_to_leader = say  # type: ignore[method-assign]
    first.api.submit_request(request_for(zone="a"))
    one.settle(6)
    assert out(one) == ["m0"] and not answers and not busy


def test_the_api_refuses_what_it_can_tell_at_once() -> None:
    one = tier()
    api = one.replicas[1].api
    for request, error in (
        (request_for(machine_ids=("m0", "nobody")), UnknownMachineError),
        (request_for(zone="nowhere"), UnknownMachineError),
        (request_for(cell=77), UnknownMachineError),
        (request_for(machine_ids=("m0",), zone="b"), UnknownMachineError),
        (request_for(machine_ids=tuple(f"m{n}" for n in range(6)), kind="small" * 30), UnknownMachineError),
    ):
        with pytest.raises(error):
            api.submit_request(request)
    with pytest.raises(UnknownRequestError):
        api.withdraw_request("nothing")
    with pytest.raises(InvalidTransitionError, match="m0: not out"):
        api.report_work(CommandVerb.BEGIN_WORK, "m0")
    assert api.submit_request(request_for(zone="a")) is not None
    one.settle()
    assert api.submit_request(request_for(zone="a")) is None
    with pytest.raises(ConflictingRequestError):
        api.submit_request(request_for(zone="b"))
    with pytest.raises(InvalidTransitionError):
        api.report_work(CommandVerb.BEGIN_WORK, "m2")


def test_a_request_or_a_machine_that_does_not_fit_an_entry() -> None:
    long = [listed_entry("x" * 40 + str(n)) for n in range(9)]
    one = tier(machines=[*long, listed_entry("y" * 150), listed_entry("z")])
    with pytest.raises(EntryTooLargeError, match="160 at most"):
        one.replicas[0].api.submit_request(request_for(machine_ids=tuple(raw["instanceId"] for raw in long)))
    with pytest.raises(UnsatisfiableRequestError, match="too long"):
        one.replicas[0].api.submit_request(request_for(machine_ids=("y" * 150,)))
    one.replicas[0].api.submit_request(request_for(out=20, kind="small"))
    one.settle()
    assert len(one.states()) == 10, "all but the one that does not fit"
    assert not fits_entry(MachineTransition("y" * 150, 1, "clear")) and fits_entry(
        MachineTransition("y", 1, "clear")
    )


def test_a_zone_that_is_no_unicode_keeps_its_machine_and_no_other() -> None:
    one = tier(2, [listed_entry("m0", zone="\ud800"), *(listed_entry(f"m{n}") for n in range(1, 4))])
    one.replicas[0].api.submit_request(request_for(out=9, kind="small"))
    one.settle()
    assert set(one.states()) == {"m1", "m2", "m3"}


def test_a_request_for_more_machines_than_the_record_holds() -> None:
    one = tier(2, [listed_entry(f"m{n}") for n in range(1100)])
    with pytest.raises(EntryTooLargeError, match="1024"):
        one.replicas[0].api.submit_request(request_for(zone="a"))


# --- Calls ------------------------------------------------------------------------------------


def asked(one: Tier, method: bytes, target: bytes) -> tuple[int, Any]:
    reply = handle_call(method, target, one.replicas[1].api)
    assert reply is not None
    return reply.status, json.loads(reply.body) if reply.status != 405 else reply.allow


def test_calls_from_request_to_back() -> None:
    one = tier()
    target = b"/api/upkeep/wish?name=disk&zone=a&out=1&per=zone&share=0.5"
    assert asked(one, b"POST", target) == (202, {"state": "wished", "asked": 1})
    one.settle()
    assert asked(one, b"POST", target) == (200, {"state": "agreed"})
    status, told = asked(one, b"GET", b"/api/upkeep")
    assert status == 200 and told["machines"][0]["state"] == "clear" and told["copies"] == 3
    assert told["wishes"][0]["name"] == "disk" and told["asked"][0]["state"] == "agreed"
    assert asked(one, b"POST", b"/api/upkeep/begin?machine=m0")[0] == 202
    one.settle(1)
    assert asked(one, b"POST", b"/api/upkeep/begin?machine=m0")[0] == 200
    assert asked(one, b"POST", b"/api/upkeep/done?machine=m0")[0] == 202
    assert asked(one, b"POST", b"/api/upkeep/withdraw?name=disk")[0] == 202
    one.settle(COLD_US / SECOND + 2)
    assert asked(one, b"GET", b"/api/upkeep")[1]["past"][0]["name"] == "disk"
    address = one.list["m1"]["hostPort"].encode()
    assert asked(one, b"POST", b"/api/upkeep/wish?name=x&address=" + address)[0] == 202
    assert asked(one, b"POST", b"/api/upkeep/absent?peer=2")[0] == 202


@pytest.mark.parametrize(
    ("target", "error"),
    [
        (b"/wish", "WishError"),
        (b"/wish?name=w&zone=nowhere", "UnknownMachineError"),
        (b"/wish?name=w&id=nobody", "UnknownMachineError"),
        (b"/wish?name=w&zone=a&out=0", "LimitError"),
        (b"/wish?name=w&zone=a&share=1.2", "LimitError"),
        (b"/wish?name=w&zone=a&share=1", "NeverError"),
        (b"/wish?name=w&zone=a&what", "WishError"),
        (b"/wish?name=\xff&zone=a", "WishError"),
        (b"/wish?name=%FF&zone=a", "WishError"),
        (b"/wish?" + b"&".join(b"id=m%d" % n for n in range(500)), "WishError"),
        (b"/withdraw?name=w", "UnknownWishError"),
        (b"/withdraw?name=w&name=v", "WishError"),
        (b"/begin?machine=m0", "OrderError"),
        (b"/done?machine=m0", "OrderError"),
        (b"/done?name=m0", "WishError"),
        (b"/absent?peer=9", "UnknownPeerError"),
        (b"/absent?peer=x", "WishError"),
    ],
)
def test_a_bad_call_is_told_its_error_and_changes_nothing(target: bytes, error: str) -> None:
    one = tier()
    before = one.state.dump()
    status, told = asked(one, b"POST", b"/api/upkeep" + target)
    assert status == 400 and told["error"] == error and told["cause"] and told["remedy"]
    one.settle(1)
    assert one.state.dump() == before


def test_a_replica_out_of_touch_says_503_and_the_rest_is_none_of_maintenance() -> None:
    one = tier()
    one.replicas[1].is_cut_off = True
    assert asked(one, b"POST", b"/api/upkeep/wish?name=w&zone=a")[0] == 503
    for path, expected in METHODS.items():
        other = b"POST" if expected == b"GET" else b"GET"
        assert asked(one, other, path) == (405, expected)
    assert handle_call(b"GET", b"/api/upkeep/nothing", one.replicas[1].api) is None


def test_the_second_address_asks_maintenance_only_where_it_is_on() -> None:
    one = tier()
    api: MaintenanceApi = one.replicas[1].api

    def more(method: bytes, target: bytes) -> Reply | None:
        return handle_call(method, target, api)

    def reply(target: bytes, on: bool) -> Reply:
        return reply_to(b"GET", target, Lifecycle(), 0.0, str, more if on else None)

    assert reply(b"/api/upkeep", False).status == 404
    assert reply(b"/api/upkeep", True).status == 200
    assert reply(b"/api/upkeep/nothing", True).status == 404
    assert reply(b"/api/telemetry?x=1", True).status == 200


# --- The step where lists change --------------------------------------------------------------


class World:
    """A source between a list that is given and an engine that is played, in steps by hand."""

    def __init__(self, known: bool = True) -> None:
        self.clock = ManualClock()
        self.engine = FakeEngine(self.clock)
        self.state = MaintenanceState()
        self.logged: list[str] = []
        self.steps: list[tuple[Iterator[None], Callable[[Exception | None], None]]] = []
        self.source = MaintenanceSource(
            FakeDiscovery(),
            self.state,
            self.clock,
            GRACE_US,
            lambda *run: self.steps.append(run),
            self.logged.append,
        )
        self.source.start(self.engine, 0)
        if known:
            self.source.start_forwarding(True)

    def run(self) -> int:
        """All that is on its way; how many steps that took."""
        count = 0
        while self.steps:
            steps, ended = self.steps.pop(0)
            count += sum(1 for _ in steps)
            ended(None)
        return count

    def hold(self, id: str) -> None:
        if not self.state.open_requests:
            agree(self.state, 1, OperatorCommand(0, 5, 1, "wish", request_for(out=99, zone="a")))
        agree(self.state, self.state.index + 1, leave(self.state, id))
        assert id in self.state.machines


LONG = [listed_entry(f"m{n}") for n in range(1000)]


def test_a_long_list_stays_in_steps() -> None:
    world = World()
    raws = [dict(raw) for raw in LONG]
    steps = world.source.list_in_steps(True, raws, 5)
    count = sum(1 for _ in steps)
    assert count > 1000 / MAX_DIRECT_ENTRIES and not raws, "used up"
    assert len(world.engine.ready) == len(world.source.table.machines) == 1000
    world.hold("m7")
    world.source.refresh()
    assert "m7" not in world.engine.ready and not world.steps, "one change is told at once"


def test_what_changes_while_a_long_list_is_on_its_way_is_told_behind_it() -> None:
    world = World()
    steps = world.source.list_in_steps(True, [dict(raw) for raw in LONG], 5)
    next(steps)
    world.hold("m7")
    world.source.refresh()
    assert world.source.drained_index() < world.state.machines["m7"].drain_index, "not told yet"
    for _ in steps:
        pass
    assert "m7" not in world.engine.ready
    world.clock.advance(GRACE_US)
    assert world.source.drained_index() == world.state.index


def test_a_list_that_is_held_back_is_told_in_steps_once_the_record_is_known() -> None:
    world = World(known=False)
    for _ in world.source.list_in_steps(True, [dict(raw) for raw in LONG], 5):
        pass
    world.source.listed(2, False, [listed_entry("m3", phase="draining")])
    assert not world.engine.ready and world.source.drained_index() == -1
    world.hold("m7")
    world.source.start_forwarding(True)
    world.source.listed(3, False, [listed_entry("m4", phase="gone"), listed_entry("new")])
    assert not world.engine.ready and world.source.drained_index() < world.state.index
    assert world.run() > 1000 / MAX_DIRECT_ENTRIES
    assert world.engine.ready.keys() == {raw["instanceId"] for raw in LONG} - {"m3", "m4", "m7"} | {"new"}
    world.source.listed(4, True, [listed_entry("m8")])
    assert world.engine.ready.keys() == {"m8"}


def test_a_whole_list_while_ours_is_on_its_way_is_told_behind_it() -> None:
    world = World(known=False)
    world.source.give_known(41, LONG)
    world.source.start_forwarding(True)
    world.source.listed(3, True, [listed_entry("m8")])
    for _ in world.source.list_in_steps(True, [listed_entry("m8"), listed_entry("m9")], 5):
        pass
    world.run()
    assert world.engine.ready.keys() == {"m8", "m9"}


def test_a_process_that_stands_still_as_it_tells_is_not_quiet_before_the_grace_is_over() -> None:
    world = World()
    world.source.listed(1, True, [listed_entry("m0"), listed_entry("m1")])
    world.hold("m0")
    listed = world.engine.listed

    def late(version: int, whole: bool, entries: Sequence[Any]) -> None:
        world.clock.advance(2 * GRACE_US)  # stopped between the hold and the engine
        listed(version, whole, entries)

    world.engine.listed = late  # type: ignore[method-assign]
    world.source.refresh()
    left = world.state.machines["m0"].drain_index
    assert world.engine.may_send("m0") and world.source.drained_index() < left
    world.clock.advance(GRACE_US)
    assert not world.engine.may_send("m0") and world.source.drained_index() >= left


def test_what_the_engine_did_not_take_is_never_quiet() -> None:
    world = World()
    world.source.listed(1, True, [listed_entry("m0"), listed_entry("m1")])
    world.hold("m0")

    def refuse(version: int, whole: bool, entries: Sequence[Any]) -> None:
        raise ValueError("no entry")

    listed, world.engine.listed = world.engine.listed, refuse  # type: ignore[method-assign]
    world.source.refresh()
    left = world.state.machines["m0"].drain_index
    world.clock.advance(2 * GRACE_US)
    assert world.engine.may_send("m0") and world.source.drained_index() < left
    world.engine.listed = listed  # type: ignore[method-assign]
    world.source.listed(2, True, [listed_entry("m0"), listed_entry("m1")])
    world.clock.advance(2 * GRACE_US)
    assert not world.engine.may_send("m0") and world.source.drained_index() >= left


@pytest.mark.parametrize(
    "bad",
    [
        {"instanceId": "x"},
        7,
        listed_entry("x", phase="asleep"),
        listed_entry("x", hostPort="no"),
        # As the engine, which makes its number of an id.
        listed_entry("x") | {"instanceId": "\ud800"},
        listed_entry("x") | {"instanceId": 7},
    ],
)
def test_a_bad_list_changes_nothing(bad: Any) -> None:
    for known in (True, False):
        world = World(known)
        world.source.listed(1, True, MACHINES)
        with pytest.raises(ValueError, match="no entry"):
            world.source.listed(2, True, [listed_entry("m1"), bad])
        with pytest.raises(ValueError, match="no entry"):
            list(world.source.list_in_steps(True, [listed_entry("m1"), bad], 5))
        assert len(world.source.table.machines) == 6 and not world.source.is_reading
        assert len(world.engine.ready) == (6 if known else 0)
        world.source.listed(3, False, [listed_entry("m1", phase="gone")])
        assert len(world.source.table.machines) == 5


def test_a_source_passes_on_what_else_is_asked() -> None:
    told: list[str] = []

    class Sink(FakeEngine):
        def list_failed(self) -> None:
            told.append("failed")

    clock = ManualClock()
    given = GivenMembers(MACHINES)
    source = MaintenanceSource(given, MaintenanceState(), clock, GRACE_US, lambda *run: None, told.append)
    source.list_failed()
    source.start(Sink(clock), 3)
    assert given.generation == 3 and source.now() == clock.now()
    source.watch(True)
    source.fetch()
    source.list_failed()
    assert told == ["failed"] and len(source.table.machines) == 6


def test_a_return_is_told_as_a_start_until_discovery_tells_a_later_one() -> None:
    world = World()
    world.source.listed(1, True, MACHINES)
    world.hold("m0")
    world.source.refresh()
    tell(world.state, "clear")
    tell(world.state, "done")
    world.source.refresh()
    began = world.engine.ready["m0"]
    assert began == world.clock.wall() // 1000
    world.source.listed(2, True, MACHINES)
    assert world.engine.ready["m0"] == began, "a start told is never taken back"
    world.source.listed(3, False, [listed_entry("m0", started_ms=began + 5)])
    assert world.engine.ready["m0"] == began + 5
    world.source.listed(4, False, [listed_entry("m0", phase="gone")])
    assert not world.source.overlay.returned_ms


def test_the_list_for_the_next_version_has_what_is_held() -> None:
    world = World()
    world.source.listed(1, True, [*MACHINES, listed_entry("m9", phase="draining")])
    world.hold("m0")
    world.source.refresh()
    taken: list[bytes] = []
    for _ in world.source.dump_in_steps(41, taken):
        pass
    told = json.loads(taken[0])
    assert told["generation"] == 41 and told["reset"] and len(told["instances"]) == 6
    assert told["instances"] == MACHINES


def test_sums_of_a_table_stay_those_of_its_members() -> None:
    table = MachineTable()
    for raw in (
        *MACHINES,
        listed_entry("m0", "b", "draining", weight=3.0),
        listed_entry("m1", phase="gone"),
        listed_entry("x", weight=-1.0),
    ):
        table.put(parse_listed_machine(raw))
    ready = [one for one in table.machines.values() if one.phase == 1]
    assert (table.ready_count, table.ready_weight, table.listed_weight) == (len(ready), 5.0, 8.0)
    assert table.draining == {"m0"} and set(table.ids_in_scope("zone", table.machines["m0"])) == {
        "m0",
        "m3",
        "m5",
    }
    for id in list(table.machines):
        table.remove(id)
    assert (table.ready_count, table.listed_weight, table.groups) == (0, 0.0, {})


# --- What is out at an endpoint -----------------------------------------------------------------


def test_the_engine_counts_what_is_out_at_an_endpoint() -> None:
    clock = ManualClock()
    upstream = PlayedUpstream(clock)
    settings = Settings(classes=(RequestClass(),), max_attempts=2, second_copies=True)
    names = Names({"classes": [{"name": "page"}]}, settings)
    engine = Engine(clock, 1, settings, names, upstream, GivenMembers(), 500_000, lambda text: None)
    engine.start()
    engine.listed(1, True, [entry("s-0")])
    where = endpoint_number("s-0")
    calls = [
        Call(0, clock.now() + SECOND, b"GET / HTTP/1.1", b"", b"", Answers(), b"%d" % n) for n in range(2)
    ]
    for call in calls:
        engine.take(call)
    assert engine.out_at(where) == 2 and engine.out_at(where + 1) == 0

    class Body:
        def hold(self) -> None: ...
        def go_on(self) -> None: ...
        def unwanted(self) -> None: ...

    attempts: list[Attempt] = list(upstream.out)
    flow = Flow(Body(), 10)
    attempts[0].end(OK, Answer(Ending.SERVED, 200, flow=flow))
    attempts[1].end(OK, Answer(Ending.SERVED, 200))
    assert engine.out_at(where) == 1, "its answer still comes from there"
    flow.end(True)
    assert engine.out_at(where) == 0


def test_a_request_is_one_entry_and_a_confirmation_is_short() -> None:
    request: MaintenanceRequest = request_for(
        "n" * 24, 1000, "zone", 0.123456, zone="z" * 24, kind="k" * 24, cell=10**6
    )
    assert len(encode(OperatorCommand(255, 2**64 - 1, 10**6, "withdraw", request))) <= MAX_ENTRY_BYTES
    assert len(encode(DrainAcknowledgement(10**9))) < 16
