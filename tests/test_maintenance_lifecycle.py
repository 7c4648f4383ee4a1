"""Machines that go out of service and return, in a tier of replicas."""

from __future__ import annotations

import pytest
from laurelstep.maintenance.entries import (
    CommandVerb,
    OperatorCommand,
)
from laurelstep.maintenance.errors import (
    LeaderUnreachableError,
    UnknownPeerError,
)
from laurelstep.maintenance.states import (
    MachineState,
)

from tests.maintenance import (
    LISTED_MACHINES,
    SECOND,
    SLOW_START_US,
    Tier,
    drained_machines,
    listed_entry,
    request_for,
    started_tier,
    tier_with_request,
)
from tests.maintenance_states import apply_entry, apply_event, state_with


def test_a_machine_is_drained_worked_on_and_returned_and_then_the_next_one() -> None:
    tier = started_tier()
    command = tier.replicas[1].api.submit_request(request_for(zone="a"))
    assert command is not None and command.status == "wished"
    tier.settle()
    assert command.status == "agreed"
    (machine_id,) = drained_machines(tier)
    assert machine_id == "m0", "the first by zone, cell and id"
    assert all(machine_id not in replica.engine.ready for replica in tier.replicas)
    tier.replicas[2].api.report_work(CommandVerb.BEGIN_WORK, machine_id)
    tier.settle(1)
    assert tier.state_of(machine_id) == "at work"
    tier.replicas[0].api.report_work(CommandVerb.FINISH_WORK, machine_id)
    tier.settle(1)
    assert tier.state_of(machine_id) == "returning"
    wall_ms = tier.clock.wall() // 1000
    for replica in tier.replicas:
        assert wall_ms - 2000 <= replica.engine.ready[machine_id] <= wall_ms, "listed as just started"
    tier.settle(SLOW_START_US / SECOND + 2)
    assert drained_machines(tier) == ["m2"]


def test_a_machine_is_not_clear_while_a_replica_has_requests_at_it() -> None:
    tier = started_tier()
    tier.replicas[2].engine.in_flight["m0"] = 1
    tier.replicas[0].api.submit_request(request_for(zone="a"))
    tier.settle()
    (machine,) = tier.replicas[0].api.status()["machines"]
    assert machine["state"] == "leaving" and machine["missing"] == [2] and machine["quiet_here"]
    tier.replicas[2].engine.in_flight["m0"] = 0
    tier.settle()
    assert drained_machines(tier) == ["m0"]


def test_a_drain_waits_for_a_replica_that_is_cut_off_until_it_is_declared_absent() -> None:
    tier = started_tier()
    tier.replicas[2].is_cut_off = True
    tier.replicas[0].api.submit_request(request_for(zone="a"))
    tier.settle(30)
    assert tier.state_of("m0") == "leaving", "there is no time-out"
    tier.replicas[2].crash()
    with pytest.raises(UnknownPeerError):
        tier.replicas[1].api.declare_absent(3)
    with pytest.raises(UnknownPeerError):
        tier.replicas[1].api.declare_absent(1)
    tier.replicas[1].api.declare_absent(2)
    tier.settle()
    assert drained_machines(tier) == ["m0"] and tier.state.absent_peers == {2}
    restarted = tier.restart(2)
    tier.settle()
    assert tier.state.absent_peers == set() and "m0" not in restarted.engine.ready
    assert tier.replicas[1].api.declare_absent(0) is not None


def test_absent_applies_only_to_the_process_that_it_was_declared_for() -> None:
    """The replica has restarted before the command is committed: it is not absent."""
    tier = started_tier()
    tier.replicas[2].crash()
    tier.replicas[1].api.declare_absent(2)
    tier.replicas[1].controller.run_step()
    late_messages, tier.messages = tier.messages, []
    tier.restart(2)
    tier.settle()
    tier.messages = late_messages
    tier.settle(1)
    (command,) = tier.replicas[1].api.status()["asked"]
    assert tier.state.absent_peers == set() and command["state"] == "OrderError"


def test_a_late_command_does_not_affect_the_next_drain() -> None:
    """Work is reported finished at two replicas. The message of one is late: the machine is drained again."""
    tier = started_tier()
    tier.replicas[0].api.submit_request(request_for("first", machine_ids=("m0",)))
    tier.settle()
    assert drained_machines(tier) == ["m0"]
    tier.replicas[1].api.report_work(CommandVerb.FINISH_WORK, "m0")
    tier.replicas[1].controller.run_step()
    late_messages, tier.messages = tier.messages, []
    tier.replicas[1].controller.commands.commands[0].sent_at_us = (
        tier.clock.now() + 60 * SECOND
    )  # the repeated messages are lost
    tier.replicas[2].api.report_work(CommandVerb.FINISH_WORK, "m0")
    tier.settle(SLOW_START_US / SECOND + 1)
    assert not tier.state.machines and not tier.state.open_requests
    tier.replicas[0].api.submit_request(request_for("second", machine_ids=("m0",)))
    tier.settle()
    assert drained_machines(tier) == ["m0"]
    tier.messages = late_messages
    tier.settle(1)
    assert drained_machines(tier) == ["m0"] and tier.state.last_commands[1].verdict == "OrderError"


def test_a_late_withdrawal_does_not_affect_the_next_request_of_that_name() -> None:
    state = state_with(MachineState.WARMING_UP)
    first_number = next(iter(state.open_requests))
    apply_entry(state, 20, OperatorCommand(1, 6, 1, "withdraw", "w", first_number))
    apply_event(state, "back")
    apply_entry(state, 22, OperatorCommand(0, 5, 30, "wish", request_for(zone="a")))
    apply_entry(state, 23, OperatorCommand(1, 6, 2, "withdraw", "w", first_number))
    assert list(state.open_requests) == [22] and state.last_commands[1].verdict == "UnknownWishError"
    apply_entry(state, 24, OperatorCommand(1, 6, 3, "withdraw", "w", 22))
    assert not state.open_requests


def test_an_absent_replica_is_registered_again_when_it_is_no_longer_cut_off() -> None:
    tier = started_tier()
    tier.replicas[2].is_cut_off = True
    tier.replicas[0].api.declare_absent(2)
    tier.settle(1)
    assert tier.state.absent_peers == {2}
    tier.replicas[2].is_cut_off = False
    tier.settle(2)
    assert tier.state.absent_peers == set()


def test_a_replica_sends_nothing_before_it_knows_the_replicated_state() -> None:
    tier = Tier(2, LISTED_MACHINES)
    tier.replicas[0].receive_list()
    for _ in range(50):
        tier.replicas[0].controller.run_step()
        tier.clock.advance(SECOND)
    assert not tier.replicas[0].engine.ready and not tier.replicas[0].serving_count
    tier.settle()
    ready_count, serving_count = len(tier.replicas[0].engine.ready), tier.replicas[0].serving_count
    assert (ready_count, serving_count) == (6, 1)


def test_a_replica_that_serves_without_the_state_reports_it_and_holds_up_drains() -> None:
    tier = started_tier(start_alone="serve", learn_us=2 * SECOND)
    tier.replicas[1].engine.in_flight["m0"] = 1
    tier.replicas[0].api.submit_request(request_for(zone="a"))
    tier.settle(1)
    replica = tier.restart(2)
    replica.can_catch_up = False
    tier.settle(4)
    assert len(replica.engine.ready) == 6 and replica.serving_count == 1
    assert (
        replica.api.status()["serving_alone"]
        and "a machine reported as clear may still get requests" in replica.log_lines[0]
    )
    tier.replicas[1].engine.in_flight["m0"] = 0
    tier.settle(10)
    assert tier.state_of("m0") == "leaving", "an acknowledgement of an earlier incarnation does not count"
    replica.can_catch_up = True
    tier.settle()
    assert drained_machines(tier) == ["m0"] and "m0" not in replica.engine.ready


def test_an_absent_replica_that_serves_without_the_state_holds_up_drains() -> None:
    """Its earlier process was declared absent; the new one sends requests, and tells the leader so."""
    tier = started_tier(start_alone="serve", learn_us=2 * SECOND)
    tier.replicas[2].crash()
    tier.replicas[1].api.declare_absent(2)
    tier.settle(1)
    replica = tier.restart(2)
    replica.can_catch_up = False
    tier.settle(3)
    tier.replicas[1].api.submit_request(request_for(zone="a"))
    tier.settle(12)
    assert tier.state.absent_peers == {2} and tier.state_of("m0") == "leaving"
    tier.restart(2)
    tier.settle(10)
    assert tier.state.absent_peers == set() and drained_machines(tier) == ["m0"]


def test_a_late_acknowledgement_of_an_earlier_incarnation_is_ignored() -> None:
    tier = started_tier()
    earlier_incarnation = tier.replicas[2].incarnation
    tier.restart(2)
    tier.settle(1)
    acknowledgements = tier.replicas[0].controller.acknowledgements
    acknowledgements.record(2, earlier_incarnation, 10**6)
    assert acknowledgements.by_peer.get(2, (0, 0))[0] != earlier_incarnation
    tier.state.incarnations[2] = earlier_incarnation  # a late message was committed, so it is current again
    acknowledgements.update(tier.state)
    acknowledgements.record(2, earlier_incarnation, 10**6)
    assert acknowledgements.by_peer[2] == (earlier_incarnation, 10**6)


def test_a_replica_that_is_cut_off_keeps_its_cordons_and_adds_none() -> None:
    tier = tier_with_request(out=2, zone="a")
    replica = tier.replicas[2]
    replica.is_cut_off = True
    for machine_id in drained_machines(tier, 2):
        tier.replicas[0].api.report_work(CommandVerb.FINISH_WORK, machine_id)
    tier.settle(6)
    assert "m0" in tier.replicas[1].engine.ready
    assert replica.engine.ready.keys() == {"m1", "m3", "m4", "m5"}, "cordoned until the state ends it"
    assert tier.state_of("m4") == "leaving"
    with pytest.raises(LeaderUnreachableError):
        replica.api.submit_request(request_for("other", zone="b"))
    tier.update_list(listed_entry("m7"), listed_entry("m1", "b", "draining"))
    replica.receive_list()
    assert replica.engine.ready.keys() == {"m3", "m4", "m5", "m7"}, "it follows discovery's list"
    replica.is_cut_off = False
    tier.settle()
    assert drained_machines(tier) == ["m4"]


def test_a_replica_that_is_cut_off_does_not_answer_from_an_outdated_state() -> None:
    tier = started_tier(3, LISTED_MACHINES)
    first, last = tier.replicas[0], tier.replicas[2]
    request = request_for(machine_ids=("m0",))
    first.api.submit_request(request)
    tier.settle()
    first.api.report_work(CommandVerb.BEGIN_WORK, "m0")
    tier.settle()
    assert (
        last.api.report_work(CommandVerb.BEGIN_WORK, "m0") is None
        and last.api.submit_request(request) is None
    )
    last.is_cut_off = True
    first.api.report_work(CommandVerb.FINISH_WORK, "m0")
    tier.settle()
    assert tier.state_of("m0") != "at work" and last.state.machines["m0"].state == "at work"
    with pytest.raises(LeaderUnreachableError):
        last.api.report_work(CommandVerb.BEGIN_WORK, "m0")
    with pytest.raises(LeaderUnreachableError):
        last.api.submit_request(request)


def test_cordons_stay_while_the_state_is_loaded_again() -> None:
    """A process that rejoins the cluster with a new incarnation has an empty state for a while."""
    tier = tier_with_request(zone="a")
    replica = tier.replicas[2]
    replica.state.load(b"")
    replica.applied_count, replica.is_caught_up, replica.is_cut_off = 0, False, True
    tier.last_incarnation += 1
    replica.incarnation = tier.last_incarnation
    tier.settle()
    assert "m0" not in replica.engine.ready and replica.source.drained_index() == -1
    replica.is_cut_off = False
    tier.settle()
    assert tier.state.incarnations[2] == replica.incarnation and drained_machines(tier) == ["m0"]
    assert (
        "m0" not in replica.engine.ready
        and replica.source.drained_index() >= tier.state.machines["m0"].drain_index
    )


def test_during_a_hot_restart_the_successor_acknowledges_nothing() -> None:
    tier = started_tier()
    tier.replicas[2].controller.may_acknowledge = lambda: False
    tier.replicas[0].api.submit_request(request_for(zone="a"))
    tier.settle(10)
    assert tier.state_of("m0") == "leaving"
    tier.replicas[2].controller.may_acknowledge = lambda: True
    tier.settle()
    assert drained_machines(tier) == ["m0"]
