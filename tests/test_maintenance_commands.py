"""Commands of operators at one replica, until they are committed."""

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


def test_lost_messages_are_sent_again_until_the_command_expires() -> None:
    tier = started_tier()
    command = tier.replicas[1].api.submit_request(request_for(zone="a"))
    assert command is not None
    tier.replicas[1].controller.run_step()
    tier.messages.clear()
    tier.settle()
    assert command.status == "agreed"
    tier.leaders.clear()
    withdrawal = tier.replicas[1].api.withdraw_request("w")
    assert withdrawal is not None and tier.replicas[1].api.withdraw_request("w") is withdrawal, (
        "the pending command"
    )
    tier.settle(COMMAND_TIMEOUT_US / SECOND + 2)
    assert withdrawal.status == "lost" and "call again" in tier.replicas[1].log_lines[-1]


def test_a_successor_continues_the_sequence_numbers_of_its_predecessor() -> None:
    tier = started_tier()
    tier.replicas[1].api.submit_request(request_for(zone="a"))
    tier.settle()
    incarnation = tier.replicas[1].incarnation
    successor = tier.restart(1)
    successor.incarnation = incarnation
    tier.settle(1)
    command = successor.api.report_work(CommandVerb.BEGIN_WORK, "m0")
    tier.settle(1)
    assert command is not None and command.status == "agreed" and tier.state_of("m0") == "at work"


def test_acknowledgements_repeat_at_growing_intervals_and_at_once_to_a_new_leader() -> None:
    tier = started_tier()
    tier.replicas[2].is_cut_off = True
    tier.replicas[0].api.submit_request(request_for(zone="a"))
    tier.settle(20)
    message_count = 0
    for _ in range(600):
        tier.replicas[1].controller.run_step()
        message_count += len(tier.messages)
        tier.messages.clear()
        tier.clock.time += SECOND // 10
    assert 7 <= message_count <= 9
    tier.replicas[0].controller.acknowledgements.reset()
    tier.leaders = {1}
    for replica in tier.replicas[:2]:
        replica.controller.run_step()
    assert {peer for peer, _, _ in tier.messages} == {0, 1}


def test_the_number_of_commands_is_bounded() -> None:
    tier = started_tier()
    tier.leaders.clear()
    api = tier.replicas[1].api
    for number in range(MAX_COMMANDS):
        api.submit_request(request_for(f"w{number}", zone="a"))
    with pytest.raises(TooManyRequestsError):
        api.submit_request(request_for("more", zone="a"))
    tier.leaders = {0}
    tier.settle()
    assert len(tier.state.open_requests) == min(MAX_COMMANDS, MAX_OPEN_REQUESTS)
    api.withdraw_request("w0")
    assert len(tier.replicas[1].controller.commands.commands) == MAX_COMMANDS


def test_rejected_proposals_and_messages_are_repeated() -> None:
    tier = started_tier()
    leader = tier.replicas[0]
    proposal_errors: list[Exception] = [BusyError("full"), NotLeaderError(None), BusyError("full")]
    append = tier.append

    def reject_or_append(proposer: Replica, data: bytes) -> None:
        if proposal_errors:
            raise proposal_errors.pop()
        append(data)

    tier.on_proposal = reject_or_append  # type: ignore[method-assign]
    send = leader.send_to_leader
    send_errors = [BusyError("full")]

    def reject_or_send(data: bytes) -> None:
        if send_errors:
            raise send_errors.pop()
        send(data)

    leader.send_to_leader = reject_or_send  # type: ignore[method-assign]
    leader.api.submit_request(request_for(zone="a"))
    tier.settle(6)
    assert drained_machines(tier) == ["m0"] and not proposal_errors and not send_errors


def test_the_api_rejects_invalid_calls_at_once() -> None:
    tier = started_tier()
    api = tier.replicas[1].api
    for request, error_type in (
        (request_for(machine_ids=("m0", "nobody")), UnknownMachineError),
        (request_for(zone="nowhere"), UnknownMachineError),
        (request_for(cell=77), UnknownMachineError),
        (request_for(machine_ids=("m0",), zone="b"), UnknownMachineError),
        (request_for(machine_ids=tuple(f"m{n}" for n in range(6)), kind="small" * 30), UnknownMachineError),
    ):
        with pytest.raises(error_type):
            api.submit_request(request)
    with pytest.raises(UnknownRequestError):
        api.withdraw_request("nothing")
    with pytest.raises(InvalidTransitionError, match="m0: not out"):
        api.report_work(CommandVerb.BEGIN_WORK, "m0")
    assert api.submit_request(request_for(zone="a")) is not None
    tier.settle()
    assert api.submit_request(request_for(zone="a")) is None
    with pytest.raises(ConflictingRequestError):
        api.submit_request(request_for(zone="b"))
    with pytest.raises(InvalidTransitionError):
        api.report_work(CommandVerb.BEGIN_WORK, "m2")


def test_requests_and_machines_that_do_not_fit_an_entry() -> None:
    entries = [listed_entry("x" * 40 + str(n)) for n in range(9)]
    tier = started_tier(machines=[*entries, listed_entry("y" * 150), listed_entry("z")])
    with pytest.raises(EntryTooLargeError, match="160 at most"):
        tier.replicas[0].api.submit_request(
            request_for(machine_ids=tuple(entry["instanceId"] for entry in entries))
        )
    with pytest.raises(UnsatisfiableRequestError, match="too long"):
        tier.replicas[0].api.submit_request(request_for(machine_ids=("y" * 150,)))
    tier.replicas[0].api.submit_request(request_for(out=20, kind="small"))
    tier.settle()
    assert len(tier.states()) == 10, "all but the machine that does not fit"
    assert not fits_entry(MachineTransition("y" * 150, 1, "clear")) and fits_entry(
        MachineTransition("y", 1, "clear")
    )


def test_an_invalid_zone_name_excludes_only_its_machine() -> None:
    tier = started_tier(2, [listed_entry("m0", zone="\ud800"), *(listed_entry(f"m{n}") for n in range(1, 4))])
    tier.replicas[0].api.submit_request(request_for(out=9, kind="small"))
    tier.settle()
    assert set(tier.states()) == {"m1", "m2", "m3"}


def test_a_request_for_too_many_machines_is_rejected() -> None:
    tier = started_tier(2, [listed_entry(f"m{n}") for n in range(1100)])
    with pytest.raises(EntryTooLargeError, match="1024"):
        tier.replicas[0].api.submit_request(request_for(zone="a"))
