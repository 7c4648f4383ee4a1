"""Commands of operators at one replica, until the state has them."""

from __future__ import annotations

import pytest
from laurelstep.consensus.errors import BusyError, NotLeaderError
from laurelstep.maintenance.bounds import MAX_OPEN_REQUESTS
from laurelstep.maintenance.commands import COMMAND_TIMEOUT_US, MAX_COMMANDS
from laurelstep.maintenance.entries import (
    CommandVerb,
    MachineTransition,
    fits_entry,
)
from laurelstep.maintenance.errors import (
    ConflictingRequestError,
    EntryTooLargeError,
    InvalidTransitionError,
    TooManyRequestsError,
    UnknownMachineError,
    UnknownRequestError,
    UnsatisfiableRequestError,
)

from tests.maintenance import (
    SECOND,
    Replica,
    drained_machines,
    listed_entry,
    request_for,
    started_tier,
)


def test_messages_that_are_lost_are_told_again_and_given_up_in_the_end() -> None:
    one = started_tier()
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
    one = started_tier()
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
    one = started_tier()
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
    one = started_tier()
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
    one = started_tier()
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
    assert drained_machines(one) == ["m0"] and not answers and not busy


def test_the_api_refuses_what_it_can_tell_at_once() -> None:
    one = started_tier()
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
    one = started_tier(machines=[*long, listed_entry("y" * 150), listed_entry("z")])
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
    one = started_tier(2, [listed_entry("m0", zone="\ud800"), *(listed_entry(f"m{n}") for n in range(1, 4))])
    one.replicas[0].api.submit_request(request_for(out=9, kind="small"))
    one.settle()
    assert set(one.states()) == {"m1", "m2", "m3"}


def test_a_request_for_more_machines_than_the_record_holds() -> None:
    one = started_tier(2, [listed_entry(f"m{n}") for n in range(1100)])
    with pytest.raises(EntryTooLargeError, match="1024"):
        one.replicas[0].api.submit_request(request_for(zone="a"))
