"""The way of a machine out of service and back, through a tier of replicas."""

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
    COLD_US,
    LISTED,
    SECOND,
    Tier,
    drained_machines,
    listed_entry,
    request_for,
    started_tier,
    tier_with_request,
)
from tests.maintenance_states import apply_entry, apply_event, state_with


def test_a_machine_goes_out_and_comes_back_and_then_the_next() -> None:
    one = started_tier()
    asked = one.replicas[1].api.submit_request(request_for(zone="a"))
    assert asked is not None and asked.status == "wished"
    one.settle()
    assert asked.status == "agreed"
    (id,) = drained_machines(one)
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
    assert drained_machines(one) == ["m2"]


def test_it_is_not_clear_before_every_replica_is_quiet() -> None:
    one = started_tier()
    one.replicas[2].engine.out["m0"] = 1
    one.replicas[0].api.submit_request(request_for(zone="a"))
    one.settle()
    (told,) = one.replicas[0].api.status()["machines"]
    assert told["state"] == "leaving" and told["missing"] == [2] and told["quiet_here"]
    one.replicas[2].engine.out["m0"] = 0
    one.settle()
    assert drained_machines(one) == ["m0"]


def test_a_replica_that_never_heard_of_it_keeps_it_from_clear_until_somebody_says_absent() -> None:
    one = started_tier()
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
    assert drained_machines(one) == ["m0"] and one.state.absent_peers == {2}
    back = one.restart(2)
    one.settle()
    assert one.state.absent_peers == set() and "m0" not in back.engine.ready
    assert one.replicas[1].api.declare_absent(0) is not None


def test_absent_is_for_the_process_that_was_meant() -> None:
    """It has come back before the message was agreed: nothing is declared."""
    one = started_tier()
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
    one = started_tier()
    one.replicas[0].api.submit_request(request_for("first", machine_ids=("m0",)))
    one.settle()
    assert drained_machines(one) == ["m0"]
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
    assert drained_machines(one) == ["m0"]
    one.messages = late
    one.settle(1)
    assert drained_machines(one) == ["m0"] and one.state.last_commands[1].verdict == "OrderError"


def test_a_request_withdrawn_late_is_not_the_next_one_of_its_name() -> None:
    state = state_with(MachineState.WARMING_UP)
    first = next(iter(state.open_requests))
    apply_entry(state, 20, OperatorCommand(1, 6, 1, "withdraw", "w", first))
    apply_event(state, "back")
    apply_entry(state, 22, OperatorCommand(0, 5, 30, "wish", request_for(zone="a")))
    apply_entry(state, 23, OperatorCommand(1, 6, 2, "withdraw", "w", first))
    assert list(state.open_requests) == [22] and state.last_commands[1].verdict == "UnknownWishError"
    apply_entry(state, 24, OperatorCommand(1, 6, 3, "withdraw", "w", 22))
    assert not state.open_requests


def test_an_absent_replica_that_was_only_cut_off_ends_it() -> None:
    one = started_tier()
    one.replicas[2].is_cut_off = True
    one.replicas[0].api.declare_absent(2)
    one.settle(1)
    assert one.state.absent_peers == {2}
    one.replicas[2].is_cut_off = False
    one.settle(2)
    assert one.state.absent_peers == set()


def test_a_replica_sends_nothing_before_it_knows_the_record() -> None:
    one = Tier(2, LISTED)
    one.replicas[0].receive_list()
    for _ in range(50):
        one.replicas[0].controller.run_step()
        one.clock.advance(SECOND)
    assert not one.replicas[0].engine.ready and not one.replicas[0].serving_count
    one.settle()
    ready, opened = len(one.replicas[0].engine.ready), one.replicas[0].serving_count
    assert (ready, opened) == (6, 1)


def test_a_replica_that_serves_alone_says_so_and_keeps_machines_from_clear() -> None:
    one = started_tier(start_alone="serve", learn_us=2 * SECOND)
    one.replicas[1].engine.out["m0"] = 1
    one.replicas[0].api.submit_request(request_for(zone="a"))
    one.settle(1)
    alone = one.restart(2)
    alone.can_learn = False
    one.settle(4)
    assert len(alone.engine.ready) == 6 and alone.serving_count == 1
    assert (
        alone.api.status()["serving_alone"]
        and "a machine reported as clear may still get requests" in alone.logged[0]
    )
    one.replicas[1].engine.out["m0"] = 0
    one.settle(10)
    assert one.state_of("m0") == "leaving", "what it confirmed in an earlier life does not count"
    alone.can_learn = True
    one.settle()
    assert drained_machines(one) == ["m0"] and "m0" not in alone.engine.ready


def test_one_that_was_declared_absent_and_serves_alone_keeps_machines_from_clear() -> None:
    """Somebody saw it dead; it has come again since, sends, and says so."""
    one = started_tier(start_alone="serve", learn_us=2 * SECOND)
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
    assert one.state.absent_peers == set() and drained_machines(one) == ["m0"]


def test_a_message_of_an_earlier_life_that_comes_late_is_passed_over() -> None:
    one = started_tier()
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
    one = tier_with_request(out=2, zone="a")
    cut = one.replicas[2]
    cut.is_cut_off = True
    for id in drained_machines(one, 2):
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
    assert drained_machines(one) == ["m4"]


def test_a_replica_that_is_cut_off_does_not_say_that_what_it_remembers_still_is() -> None:
    one = started_tier(3, LISTED)
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
    one = tier_with_request(zone="a")
    again = one.replicas[2]
    again.state.load(b"")
    again.applied, again.is_caught_up, again.is_cut_off = 0, False, True
    one.incarnations += 1
    again.incarnation = one.incarnations
    one.settle()
    assert "m0" not in again.engine.ready and again.source.drained_index() == -1
    again.is_cut_off = False
    one.settle()
    assert one.state.incarnations[2] == again.incarnation and drained_machines(one) == ["m0"]
    assert (
        "m0" not in again.engine.ready
        and again.source.drained_index() >= one.state.machines["m0"].drain_index
    )


def test_during_a_hot_restart_the_successor_acknowledges_nothing() -> None:
    one = started_tier()
    one.replicas[2].controller.may_acknowledge = lambda: False
    one.replicas[0].api.submit_request(request_for(zone="a"))
    one.settle(10)
    assert one.state_of("m0") == "leaving"
    one.replicas[2].controller.may_acknowledge = lambda: True
    one.settle()
    assert drained_machines(one) == ["m0"]
