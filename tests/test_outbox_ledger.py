"""The replicated ledger of queued writes: its entries, rules and limits, and the driver that gets entries
agreed.
"""

from __future__ import annotations

import asyncio
import functools
import random
from collections.abc import Callable, Mapping
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from laurelstep.consensus.core import ConsensusCore
from laurelstep.consensus.errors import BusyError, EntryError, NotLeaderError, StoredStateError
from laurelstep.consensus.limits import MAX_ENTRY_BYTES, MAX_LEADER_MESSAGE_BYTES
from laurelstep.consensus.links.memory import FaultSchedule, MemoryNetwork
from laurelstep.consensus.multiplexer import ConsensusMultiplexer
from laurelstep.consensus.node import ConsensusNode
from laurelstep.consensus.ports import Store
from laurelstep.consensus.snapshots import MAX_SNAPSHOT_BYTES
from laurelstep.consensus.state_machines import CompositeStateMachine
from laurelstep.consensus.stores.none import NoStore
from laurelstep.consensus.timing import ConsensusTiming
from laurelstep.outbox.dependencies import Dependency
from laurelstep.outbox.shared import ledger as ledger_module
from laurelstep.outbox.shared import ranges
from laurelstep.outbox.shared.agreement import (
    MAX_WAITERS,
    PROPOSAL_TIMEOUT_US,
    RESUBMIT_MAX_US,
    RESUBMIT_MIN_US,
    AgreementDriver,
)
from laurelstep.outbox.shared.entries import (
    ID_END,
    KIND,
    NUMBER_END,
    EdgeLost,
    Intent,
    IntentWithdrawal,
    LedgerEntry,
    LogLease,
    StatusRecord,
    WriteApplied,
    pack,
    unpack,
    unpack_message,
)
from laurelstep.outbox.shared.ledger import ReplicatedLedger
from laurelstep.outbox.shared.messages import IntentStatus, LeaseRequest, LeaseStatus, StatusUpdate
from laurelstep.outbox.version_vector import WriteStatus
from laurelstep.outbox.write_ids import MAX_EDGE_NAME_CHARS, EdgeLog, WriteId

from tests.consensus_nodes import RecordingStateMachine
from tests.fakes import ManualClock

ASH_LOG = EdgeLog("ash", 7)
OTHER_LOG = EdgeLog("ash", 8)
US_PER_MS = 1_000


def write_id(number: int, edge_log: EdgeLog = ASH_LOG) -> WriteId:
    return WriteId(*edge_log, number)


def apply(ledger: ReplicatedLedger, *entries: LedgerEntry) -> ReplicatedLedger:
    for entry in entries:
        ledger.apply(1, pack(entry)[1:])
    return ledger


def ledger_after(*entries: LedgerEntry) -> ReplicatedLedger:
    return apply(ReplicatedLedger(), *entries)


def write_status(ledger: ReplicatedLedger, number: int, edge_log: EdgeLog = ASH_LOG) -> WriteStatus:
    return ledger.write_status(Dependency(*edge_log, number))


def write_status_up_to(ledger: ReplicatedLedger, number: int, edge_log: EdgeLog = ASH_LOG) -> WriteStatus:
    return ledger.write_status(Dependency(*edge_log, number, True))


# --- Entries ------------------------------------------------------------------------------

LONGEST_WRITE_ID = WriteId("e" * MAX_EDGE_NAME_CHARS, ID_END - 1, NUMBER_END - 1)
MAX_ID = ID_END - 1


@pytest.mark.parametrize(
    "entry",
    [
        Intent(LONGEST_WRITE_ID, MAX_ID, MAX_ID),
        IntentWithdrawal(LONGEST_WRITE_ID, MAX_ID),
        WriteApplied(LONGEST_WRITE_ID),
        LogLease(LONGEST_WRITE_ID.edge_log, MAX_ID, MAX_ID, NUMBER_END - 1, True),
        StatusRecord(LONGEST_WRITE_ID, WriteStatus.ABANDONED, MAX_ID, True, MAX_ID, NUMBER_END - 1),
        EdgeLost(LONGEST_WRITE_ID.edge, MAX_ID),
    ],
)
def test_entries_of_maximum_size_fit_and_are_decoded_unchanged(entry: LedgerEntry) -> None:
    data = pack(entry)
    assert len(data) <= min(MAX_ENTRY_BYTES, MAX_LEADER_MESSAGE_BYTES) and data[:1] == KIND
    assert unpack(data[1:]) == entry == unpack_message(data)


@pytest.mark.parametrize(
    "entry",
    [
        WriteApplied(WriteId("Ash", 7, 1)),
        WriteApplied(WriteId("e" * (MAX_EDGE_NAME_CHARS + 1), 7, 1)),
        WriteApplied(write_id(0)),
        WriteApplied(write_id(NUMBER_END)),
        WriteApplied(WriteId("ash", 0, 1)),
        Intent(write_id(1), 0, 1),
        Intent(write_id(1), 7, 0),
        IntentWithdrawal(write_id(1), ID_END),
        LogLease(ASH_LOG, 0, 7, 0),
        LogLease(ASH_LOG, 9, 7, -1),
        StatusRecord(write_id(1), WriteStatus.APPLIED, 0),
        StatusRecord(write_id(1), WriteStatus.APPLIED, 7, False, -1),
        StatusRecord(write_id(1), WriteStatus.APPLIED, 7, False, 0, -1),
        EdgeLost("ash", -1),
        EdgeLost(""),
    ],
)
def test_an_entry_with_a_value_out_of_range_is_rejected(entry: LedgerEntry) -> None:
    with pytest.raises(EntryError):
        pack(entry)
    try:
        data = msgspec.msgpack.encode(entry)
    except (OverflowError, msgspec.MsgspecError):
        return  # it can't even be encoded
    ledger = ReplicatedLedger()
    empty = ledger.dump()
    ledger.apply(1, data)
    assert unpack(data) is None and ledger.ignored_count == 1 and ledger.dump() == empty


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        b"\x91",
        msgspec.msgpack.encode((7, ("ash", 7, 1))),  # a tag that only a later version knows
        msgspec.msgpack.encode((3,)),
        msgspec.msgpack.encode((3, ("ash", 7))),
        msgspec.msgpack.encode((5, ("ash", 7, 1), 9, 7)),  # a status that only a later version knows
        msgspec.msgpack.encode((3, ("ash", 7, 1), "x" * MAX_ENTRY_BYTES)),
    ],
)
def test_unreadable_bytes_are_counted_and_change_nothing(data: bytes) -> None:
    ledger = ledger_after(WriteApplied(write_id(1)))
    before = ledger.dump()
    ledger.apply(2, data)
    assert ledger.dump() == before and ledger.ignored_count == 1 and ledger.status()["ignored"] == 1


def test_fields_added_by_a_later_version_are_ignored() -> None:
    assert unpack(msgspec.msgpack.encode((3, ("ash", 7, 1), "new"))) == WriteApplied(write_id(1))


def test_a_message_of_another_kind_is_not_a_ledger_entry() -> None:
    assert unpack_message(b"u" + pack(WriteApplied(write_id(1)))[1:]) is None and unpack_message(b"") is None


@given(st.binary(max_size=200))
def test_arbitrary_bytes_do_not_raise(data: bytes) -> None:
    ledger = ReplicatedLedger()
    ledger.apply(1, data)
    assert ledger.ignored_count + (unpack(data) is not None) == 1


# --- Ranges -------------------------------------------------------------------------------


@given(st.lists(st.tuples(st.booleans(), st.integers(1, 20), st.integers(0, 5)), max_size=20))
def test_ranges_match_a_set_of_numbers_and_stay_canonical(steps: list[tuple[bool, int, int]]) -> None:
    result, reference = ranges.EMPTY, set[int]()
    for is_addition, first, extra in steps:
        numbers = range(first, first + extra + 1)
        gaps = [
            number
            for start, end in ranges.gaps(result, first, first + extra)
            for number in range(start, end + 1)
        ]
        assert gaps == [number for number in numbers if number not in reference]
        result = (
            ranges.add(result, first, first + extra)
            if is_addition
            else ranges.remove(result, first, first + extra)
        )
        reference = reference.union(numbers) if is_addition else reference.difference(numbers)
        assert {number for number in range(30) if ranges.contains(result, number)} == reference
        assert ranges.is_canonical(result, 30)
        assert len(result) == sum(number - 1 not in reference for number in reference)


# --- Statuses -----------------------------------------------------------------------------


def test_applied_writes_may_come_in_any_order_and_prefixes_count_once_there_is_no_gap() -> None:
    ledger = ledger_after(WriteApplied(write_id(1)), WriteApplied(write_id(3)))
    assert [write_status(ledger, n) for n in (1, 2, 3)] == [
        WriteStatus.APPLIED,
        WriteStatus.UNKNOWN,
        WriteStatus.APPLIED,
    ]
    assert [write_status_up_to(ledger, n) for n in (1, 2, 3)] == [
        WriteStatus.APPLIED,
        WriteStatus.UNKNOWN,
        WriteStatus.UNKNOWN,
    ]
    apply(ledger, StatusRecord(write_id(2), WriteStatus.PARKED, 7))
    assert (write_status(ledger, 2), write_status_up_to(ledger, 3), write_status_up_to(ledger, 1)) == (
        WriteStatus.PARKED,
        WriteStatus.PARKED,
        WriteStatus.APPLIED,
    )
    apply(ledger, StatusRecord(write_id(2), WriteStatus.ABANDONED, 7))
    assert (write_status(ledger, 2), write_status_up_to(ledger, 3)) == (
        WriteStatus.ABANDONED,
        WriteStatus.APPLIED,
    )


def test_only_the_holder_can_release_a_parked_write() -> None:
    ledger = ledger_after(
        StatusRecord(write_id(2), WriteStatus.PARKED, 7), StatusRecord(write_id(2), WriteStatus.UNKNOWN, 9)
    )
    assert write_status(ledger, 2) is WriteStatus.PARKED
    assert (
        write_status(apply(ledger, StatusRecord(write_id(2), WriteStatus.UNKNOWN, 7)), 2)
        is WriteStatus.UNKNOWN
    )
    assert ledger.dump() == ReplicatedLedger().dump()


def test_final_statuses_do_not_change() -> None:
    ledger = ledger_after(WriteApplied(write_id(1)), StatusRecord(write_id(2), WriteStatus.ABANDONED, 7))
    before = ledger.dump()
    for new_status in (WriteStatus.UNKNOWN, WriteStatus.PARKED, WriteStatus.APPLIED, WriteStatus.ABANDONED):
        apply(
            ledger,
            StatusRecord(write_id(1), new_status, 7),
            StatusRecord(write_id(2), new_status, 7),
            StatusRecord(write_id(2), new_status, 7, True),
        )
    apply(ledger, WriteApplied(write_id(2)), Intent(write_id(1), 7, 5), Intent(write_id(2), 7, 5))
    assert ledger.dump() == before


def test_only_the_holder_records_a_low_watermark_and_abandoned_writes_stay_abandoned() -> None:
    ledger = ledger_after(
        StatusRecord(write_id(3), WriteStatus.ABANDONED, 7),
        StatusRecord(write_id(4), WriteStatus.PARKED, 7),
        Intent(write_id(5), 7, 1),
    )
    apply(ledger, StatusRecord(write_id(6), WriteStatus.APPLIED, 9, True))
    assert write_status_up_to(ledger, 6) is WriteStatus.PARKED
    apply(ledger, StatusRecord(write_id(6), WriteStatus.APPLIED, 7, True))
    assert (
        write_status_up_to(ledger, 6) is WriteStatus.APPLIED
        and write_status_up_to(ledger, 7) is WriteStatus.UNKNOWN
    )
    assert [write_status(ledger, n) for n in range(1, 8)] == [WriteStatus.APPLIED] * 2 + [
        WriteStatus.ABANDONED
    ] + [WriteStatus.APPLIED] * 3 + [WriteStatus.UNKNOWN]
    assert ledger.status()["begun"] == 0


def test_all_writes_up_to_a_number_can_be_parked_or_abandoned_except_applied_ones() -> None:
    ledger = ledger_after(WriteApplied(write_id(2)), StatusRecord(write_id(3), WriteStatus.PARKED, 7, True))
    assert [write_status(ledger, n) for n in (1, 2, 3)] == [
        WriteStatus.PARKED,
        WriteStatus.APPLIED,
        WriteStatus.PARKED,
    ]
    apply(ledger, StatusRecord(write_id(3), WriteStatus.ABANDONED, 7, True))
    assert [write_status(ledger, n) for n in (1, 2, 3)] == [
        WriteStatus.ABANDONED,
        WriteStatus.APPLIED,
        WriteStatus.ABANDONED,
    ]
    assert write_status_up_to(ledger, 3) is WriteStatus.APPLIED


# --- Intents ------------------------------------------------------------------------------


def test_an_intent_is_granted_to_one_intent_id_only() -> None:
    ledger = ledger_after(Intent(write_id(1), 7, 5))
    before = ledger.dump()
    apply(ledger, Intent(write_id(1), 7, 5), Intent(write_id(1), 7, 6), Intent(write_id(2), 9, 6))
    assert ledger.dump() == before
    assert (
        ledger.intent_status(write_id(1), 7, 5) is IntentStatus.MINE
        and ledger.intent_status(write_id(1), 7, 6) is IntentStatus.OTHERS
    )
    assert (
        ledger.intent_status(write_id(2), 7, 6) is IntentStatus.OPEN
        and ledger.intent_status(write_id(2), 9, 6) is IntentStatus.FENCED
    )
    apply(ledger, WriteApplied(write_id(1)), StatusRecord(write_id(2), WriteStatus.ABANDONED, 7))
    assert (
        ledger.intent_status(write_id(1), 9, 6) is IntentStatus.APPLIED
        and ledger.intent_status(write_id(2), 7, 6) is IntentStatus.FENCED
    )
    assert ledger.status()["begun"] == 0


def test_an_intent_is_withdrawn_only_by_its_own_id() -> None:
    ledger = ledger_after(Intent(write_id(1), 7, 5), IntentWithdrawal(write_id(1), 6))
    assert (
        ledger.intent_status(write_id(1), 7, 5) is IntentStatus.MINE
        and ledger.is_withdrawn(6)
        and not ledger.is_withdrawn(5)
    )
    apply(ledger, IntentWithdrawal(write_id(1), 5), IntentWithdrawal(write_id(1), 5))
    assert ledger.intent_status(write_id(1), 7, 9) is IntentStatus.OPEN and ledger.is_withdrawn(5)


def test_an_intent_that_arrives_after_its_withdrawal_is_not_granted() -> None:
    ledger = ledger_after(IntentWithdrawal(write_id(1), 5), Intent(write_id(1), 7, 5))
    assert ledger.intent_status(write_id(1), 7, 5) is IntentStatus.OPEN
    apply(
        ledger,
        Intent(write_id(1), 7, 6),
        IntentWithdrawal(write_id(1), 6),
        Intent(write_id(1), 7, 6),
        Intent(write_id(1), 7, 8),
    )
    assert ledger.intent_status(write_id(1), 7, 8) is IntentStatus.MINE


def test_only_the_holder_resolves_a_write_as_never_run_and_only_for_the_intent_it_names() -> None:
    ledger = ledger_after(Intent(write_id(1), 7, 5), StatusRecord(write_id(1), WriteStatus.PARKED, 7))
    update = StatusUpdate(write_id(1), WriteStatus.UNKNOWN, 7, False, True)
    entry = ledger.status_entry(update)
    assert entry == StatusRecord(write_id(1), WriteStatus.UNKNOWN, 7, False, 5) and not ledger.agrees_with(
        update
    )
    apply(ledger, msgspec.structs.replace(entry, incarnation=9))
    assert ledger.intent_status(write_id(1), 7, 5) is IntentStatus.MINE
    apply(ledger, entry)
    assert ledger.agrees_with(update) and ledger.status_entry(update) is None
    # The record arrives again, after a new intent was granted: it must not end that one.
    apply(ledger, Intent(write_id(1), 7, 6), entry, Intent(write_id(1), 7, 5))
    assert ledger.intent_status(write_id(1), 7, 6) is IntentStatus.MINE


def test_each_parking_is_resolved_once() -> None:
    ledger = ledger_after(Intent(write_id(1), 7, 5), StatusRecord(write_id(1), WriteStatus.PARKED, 7))
    first_update, second_update = (
        StatusUpdate(write_id(1), WriteStatus.UNKNOWN, 7, False, True, parking) for parking in (1, 2)
    )
    entry = ledger.status_entry(first_update)
    assert entry == StatusRecord(write_id(1), WriteStatus.UNKNOWN, 7, False, 5, 1)
    apply(ledger, entry, Intent(write_id(1), 7, 6), StatusRecord(write_id(1), WriteStatus.PARKED, 7))
    # The first update arrives again late. A gate builds its entry from the present ledger, or has built it
    # before the second intent.
    assert (
        ledger.agrees_with(first_update)
        and ledger.status_entry(first_update) is None
        and not ledger.agrees_with(second_update)
    )
    apply(ledger, entry, StatusRecord(write_id(1), WriteStatus.UNKNOWN, 7, False, 6, 1))
    assert (
        ledger.intent_status(write_id(1), 7, 6) is IntentStatus.MINE
        and write_status(ledger, 1) is WriteStatus.PARKED
    )
    second_entry = ledger.status_entry(second_update)
    assert second_entry is not None
    apply(ledger, second_entry)
    assert (
        ledger.intent_status(write_id(1), 7, 9) is IntentStatus.OPEN
        and write_status(ledger, 1) is WriteStatus.UNKNOWN
        and ledger.agrees_with(second_update)
    )
    # A parking that is resolved before the ledger had an intent of the write counts too.
    apply(
        ledger,
        StatusRecord(write_id(2), WriteStatus.UNKNOWN, 7, False, 0, 1),
        Intent(write_id(2), 7, 8),
        IntentWithdrawal(write_id(2), 8),
    )
    assert (
        ledger.agrees_with(StatusUpdate(write_id(2), WriteStatus.UNKNOWN, 7, False, True, 1))
        and ledger.status()["begun"] == 2
    )
    apply(ledger, WriteApplied(write_id(1)), WriteApplied(write_id(2)))
    assert ledger.status()["begun"] == 0


def test_an_intent_ends_the_parking() -> None:
    ledger = ledger_after(StatusRecord(write_id(1), WriteStatus.PARKED, 7), Intent(write_id(1), 7, 5))
    assert write_status(ledger, 1) is WriteStatus.UNKNOWN
    apply(ledger, StatusRecord(write_id(1), WriteStatus.PARKED, 7))
    assert (
        write_status(ledger, 1) is WriteStatus.PARKED
        and ledger.intent_status(write_id(1), 7, 6) is IntentStatus.OTHERS
    )


# --- Leases -------------------------------------------------------------------------------


def request_leases(ledger: ReplicatedLedger, *requests: LeaseRequest) -> list[LeaseStatus]:
    """Apply the entry of each request, and return the status that each request has afterwards."""
    for request in requests:
        entry = ledger.lease_entry(request)
        if entry is not None:
            apply(ledger, entry)
    return [ledger.lease_status(request) for request in requests]


def test_a_log_is_held_by_its_own_incarnation_until_a_request_that_knows_the_holder() -> None:
    ledger = ReplicatedLedger()
    assert (
        ledger.holder(ASH_LOG) == 7 and ledger.lease_status(LeaseRequest(ASH_LOG, 7, ())) is LeaseStatus.HELD
    )
    assert ledger.lease_status(LeaseRequest(ASH_LOG, 9, (7,))) is LeaseStatus.OPEN
    assert (
        ledger.lease_status(LeaseRequest(ASH_LOG, 9, (6,))) is LeaseStatus.FENCED
        and ledger.lease_entry(LeaseRequest(ASH_LOG, 9, (6,))) is None
    )
    assert request_leases(ledger, LeaseRequest(ASH_LOG, 9, (6, 7))) == [LeaseStatus.HELD]
    assert (
        ledger.holder(ASH_LOG) == 9
        and ledger.lease_status(LeaseRequest(ASH_LOG, 7, ())) is LeaseStatus.FENCED
    )
    apply(ledger, Intent(write_id(1), 7, 5), StatusRecord(write_id(1), WriteStatus.PARKED, 7))
    assert (
        write_status(ledger, 1) is WriteStatus.UNKNOWN
        and ledger.intent_status(write_id(1), 7, 5) is IntentStatus.FENCED
    )
    assert ledger.intent_status(write_id(1), 9, 5) is IntentStatus.OPEN


def test_of_two_copies_of_a_disk_one_holds_the_log_until_an_operator_forces_a_lease() -> None:
    ledger = ReplicatedLedger()
    first, second = LeaseRequest(ASH_LOG, 11, (7,)), LeaseRequest(ASH_LOG, 12, (7,))
    assert request_leases(ledger, first, second) == [LeaseStatus.HELD, LeaseStatus.FENCED]
    # The next incarnation on each disk knows only the incarnations of its own disk.
    assert request_leases(ledger, LeaseRequest(ASH_LOG, 22, (7, 12))) == [LeaseStatus.FENCED]
    assert request_leases(ledger, LeaseRequest(ASH_LOG, 21, (7, 11))) == [LeaseStatus.HELD]
    forced = LeaseRequest(ASH_LOG, 23, (7, 12, 22), True)
    assert request_leases(ledger, forced) == [LeaseStatus.HELD]
    assert ledger.lease_status(LeaseRequest(ASH_LOG, 21, (7, 11))) is LeaseStatus.FENCED
    assert request_leases(ledger, LeaseRequest(ASH_LOG, 24, (7, 11, 21))) == [LeaseStatus.FENCED]


def test_a_lease_that_arrives_late_or_twice_is_not_granted() -> None:
    ledger = ReplicatedLedger()
    late, duplicate = LogLease(ASH_LOG, 11, 7, 0), LogLease(ASH_LOG, 12, 7, 0)
    forced = LogLease(ASH_LOG, 7, 12, 1, True)
    apply(ledger, duplicate, forced)
    assert ledger.holder(ASH_LOG) == 7
    apply(ledger, late, duplicate)  # they name the present holder, but it has changed in between
    assert ledger.holder(ASH_LOG) == 7
    apply(ledger, LogLease(ASH_LOG, 13, 7, 2), forced)
    assert ledger.holder(ASH_LOG) == 13


def test_an_intent_outlives_a_change_of_holder() -> None:
    ledger = ledger_after(Intent(write_id(1), 7, 5))
    assert request_leases(ledger, LeaseRequest(ASH_LOG, 9, (7,))) == [LeaseStatus.HELD]
    assert (
        ledger.intent_status(write_id(1), 9, 6) is IntentStatus.OTHERS
        and ledger.intent_status(write_id(1), 7, 5) is IntentStatus.FENCED
    )
    assert write_status(apply(ledger, WriteApplied(write_id(1))), 1) is WriteStatus.APPLIED


# --- Lost edges and logs ------------------------------------------------------------------


@pytest.mark.parametrize("lost", [EdgeLost("ash"), EdgeLost("ash", 7)])
def test_applied_writes_of_a_lost_log_stay_applied_and_all_others_are_abandoned(lost: EdgeLost) -> None:
    ledger = ledger_after(
        WriteApplied(write_id(1)),
        WriteApplied(write_id(3)),
        Intent(write_id(4), 7, 5),
        StatusRecord(write_id(5), WriteStatus.PARKED, 7),
        lost,
    )
    assert [write_status(ledger, n) for n in range(1, 7)] == [
        WriteStatus.APPLIED,
        WriteStatus.ABANDONED,
        WriteStatus.APPLIED,
    ] + [WriteStatus.ABANDONED] * 3
    assert (write_status_up_to(ledger, 1), write_status_up_to(ledger, 3)) == (
        WriteStatus.APPLIED,
        WriteStatus.ABANDONED,
    )
    assert ledger.holder(ASH_LOG) == 0 and ledger.intent_status(write_id(4), 7, 5) is IntentStatus.FENCED
    before = ledger.dump()
    apply(
        ledger,
        WriteApplied(write_id(4)),
        Intent(write_id(6), 7, 1),
        StatusRecord(write_id(6), WriteStatus.APPLIED, 7),
        StatusRecord(write_id(6), WriteStatus.APPLIED, 7, True),
        LogLease(ASH_LOG, 9, 7, 0, True),
        LogLease(ASH_LOG, 9, 0, 0),
        lost,
    )
    assert ledger.dump() == before and ledger.status()["begun"] == 0
    assert ledger.lease_status(LeaseRequest(ASH_LOG, 9, (7,), True)) is LeaseStatus.FENCED
    assert ledger.lease_status(LeaseRequest(ASH_LOG, 0, ())) is LeaseStatus.FENCED


def test_a_lost_edge_loses_later_logs_too_and_a_lost_log_only_itself() -> None:
    ledger = ledger_after(EdgeLost("ash", 7))
    assert (write_status(ledger, 1, OTHER_LOG), write_status(ledger, 1)) == (
        WriteStatus.UNKNOWN,
        WriteStatus.ABANDONED,
    )
    apply(ledger, EdgeLost("ash"))
    assert write_status(ledger, 1, OTHER_LOG) is WriteStatus.ABANDONED and ledger.holder(OTHER_LOG) == 0
    apply(ledger, WriteApplied(write_id(1, OTHER_LOG)), WriteApplied(write_id(1, EdgeLog("birch", 7))))
    assert (
        write_status(ledger, 1, OTHER_LOG) is WriteStatus.ABANDONED
        and write_status(ledger, 1, EdgeLog("birch", 7)) is WriteStatus.APPLIED
    )
    restored = ReplicatedLedger()
    restored.load(ledger.dump())
    assert write_status(restored, 1, EdgeLog("ash", 99)) is WriteStatus.ABANDONED


# --- Status updates -----------------------------------------------------------------------


def test_the_ledger_agrees_with_applied_updates_and_with_any_update_of_a_final_write() -> None:
    ledger = ledger_after(WriteApplied(write_id(1)), StatusRecord(write_id(2), WriteStatus.ABANDONED, 7))
    for new_status in WriteStatus:
        assert ledger.agrees_with(StatusUpdate(write_id(1), new_status, 7)) and ledger.agrees_with(
            StatusUpdate(write_id(2), new_status, 7)
        )
        assert ledger.status_entry(StatusUpdate(write_id(2), new_status, 7, True)) is None
    for new_status in (WriteStatus.APPLIED, WriteStatus.PARKED, WriteStatus.ABANDONED):
        update = StatusUpdate(write_id(3), new_status, 7)
        entry = ledger.status_entry(update)
        assert not ledger.agrees_with(update) and entry == StatusRecord(write_id(3), new_status, 7)
        assert apply(ReplicatedLedger(), *[] if entry is None else [entry]).agrees_with(update)


# --- Limits -------------------------------------------------------------------------------


def assert_refused(ledger: ReplicatedLedger, name: str, *entries: LedgerEntry) -> None:
    """Check that each entry changes nothing and is counted under the limit's name."""
    before, count = ledger.dump(), ledger.refusal_counts[name]
    apply(ledger, *entries)
    assert ledger.dump() == before and ledger.refusal_counts[name] == count + len(entries)


def test_final_ranges_of_a_log_are_limited_but_a_write_that_fills_a_gap_is_accepted() -> None:
    ledger = ledger_after(*(WriteApplied(write_id(2 * n)) for n in range(1, ledger_module.MAX_RANGES + 1)))
    number = 2 * ledger_module.MAX_RANGES + 2
    assert_refused(
        ledger,
        "ranges",
        WriteApplied(write_id(number)),
        StatusRecord(write_id(number), WriteStatus.ABANDONED, 7),
    )
    assert (
        write_status(ledger, number) is WriteStatus.UNKNOWN
        and write_status(ledger, number - 2) is WriteStatus.APPLIED
    )
    apply(ledger, WriteApplied(write_id(3)), WriteApplied(write_id(number)))
    assert (
        write_status(ledger, number) is WriteStatus.APPLIED and write_status(ledger, 2) is WriteStatus.APPLIED
    )


def test_parked_ranges_of_a_log_are_limited() -> None:
    ledger = ledger_after(
        *(
            StatusRecord(write_id(2 * n), WriteStatus.PARKED, 7)
            for n in range(1, ledger_module.MAX_PARKED + 1)
        )
    )
    number = 2 * ledger_module.MAX_PARKED + 2
    assert_refused(ledger, "parked", StatusRecord(write_id(number), WriteStatus.PARKED, 7))
    apply(
        ledger,
        StatusRecord(write_id(2), WriteStatus.UNKNOWN, 7),
        StatusRecord(write_id(number), WriteStatus.PARKED, 7),
    )
    assert write_status(ledger, number) is WriteStatus.PARKED


def test_the_number_of_logs_is_limited() -> None:
    ledger = ledger_after(
        *(WriteApplied(WriteId("ash", n, 1)) for n in range(1, ledger_module.MAX_LINES + 1))
    )
    edge_log = EdgeLog("birch", 1)
    assert_refused(
        ledger,
        "lines",
        WriteApplied(write_id(1, edge_log)),
        Intent(write_id(1, edge_log), 1, 5),
        LogLease(edge_log, 9, 1, 0),
        EdgeLost("birch", 1),
        StatusRecord(write_id(1, edge_log), WriteStatus.PARKED, 1),
    )
    assert ledger.lease_status(LeaseRequest(edge_log, 9, (1,))) is LeaseStatus.OPEN
    apply(ledger, WriteApplied(write_id(2)), EdgeLost("ash"))
    assert write_status(ledger, 2) is WriteStatus.APPLIED


def test_intents_are_limited_over_all_logs() -> None:
    entries = [
        Intent(write_id(n, EdgeLog("ash", 1 + n % 2)), 1 + n % 2, n)
        for n in range(1, ledger_module.MAX_BEGUN + 1)
    ]
    ledger = ledger_after(*entries)
    assert_refused(ledger, "begun", Intent(write_id(1, EdgeLog("birch", 1)), 1, 5))
    apply(ledger, WriteApplied(entries[0].write_id), Intent(write_id(1, EdgeLog("birch", 1)), 1, 5))
    assert ledger.intent_status(write_id(1, EdgeLog("birch", 1)), 1, 5) is IntentStatus.MINE


def test_lost_edges_are_limited() -> None:
    ledger = ledger_after(*(EdgeLost(f"ash{n}") for n in range(ledger_module.MAX_LOST)))
    assert_refused(ledger, "lost", EdgeLost("birch"))
    assert ledger.holder(EdgeLog("birch", 3)) == 3


def test_the_latest_withdrawn_intent_ids_are_kept() -> None:
    ledger = ledger_after(
        *(IntentWithdrawal(write_id(1), n) for n in range(1, ledger_module.MAX_WITHDRAWN + 2))
    )
    assert (
        not ledger.is_withdrawn(1)
        and ledger.is_withdrawn(2)
        and ledger.is_withdrawn(ledger_module.MAX_WITHDRAWN + 1)
    )


def test_the_fullest_ledger_fits_in_a_snapshot_and_refuses_more_ranges(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    ledger, edge_logs = (
        ReplicatedLedger(),
        [EdgeLog(f"{n:032d}", MAX_ID - n) for n in range(ledger_module.MAX_LINES)],
    )
    first_number = NUMBER_END - 1_000_000
    ranges_per_log = ledger_module.MAX_SPANS // ledger_module.MAX_LINES
    for edge_log in edge_logs:
        for n in range(ranges_per_log):
            apply(ledger, WriteApplied(write_id(first_number + 2 * n, edge_log)))
        apply(ledger, LogLease(edge_log, MAX_ID, edge_log.incarnation, 0))
    for n in range(ledger_module.MAX_BEGUN):
        apply(ledger, Intent(write_id(NUMBER_END - 1, edge_logs[n]), MAX_ID, MAX_ID))
    for n in range(ledger_module.MAX_LOST):
        apply(ledger, EdgeLost(f"x{n:031d}"))
    for n in range(ledger_module.MAX_WITHDRAWN):
        apply(ledger, IntentWithdrawal(LONGEST_WRITE_ID, MAX_ID - n))
    assert len(ledger.dump()) < MAX_SNAPSHOT_BYTES
    assert_refused(ledger, "spans", WriteApplied(write_id(first_number + 2 * ranges_per_log, edge_logs[0])))
    restored = ReplicatedLedger()
    restored.load(ledger.dump())
    assert restored.dump() == ledger.dump() and restored.status()["spans"] == ledger_module.MAX_SPANS


# --- Snapshots ----------------------------------------------------------------------------


def test_loading_no_bytes_gives_an_empty_ledger() -> None:
    ledger = ledger_after(WriteApplied(write_id(1)), EdgeLost("birch"), IntentWithdrawal(write_id(2), 5))
    ledger.load(b"")
    assert ledger.dump() == ReplicatedLedger().dump()


def packed_snapshot(*fields: Any) -> bytes:
    return msgspec.msgpack.encode([[["ash", 7, fields]], [], []])


@pytest.mark.parametrize(
    "raw",
    [
        b"\xff",
        b"\xa3abc",
        packed_snapshot(7, 0, -1),
        packed_snapshot(-7),
        packed_snapshot(7, 0, 0, [[3, 2]]),
        packed_snapshot(7, 0, 0, [[1, 2], [3, 4]]),
        packed_snapshot(7, 0, 0, [], [], [], [[2, 1, 0], [1, 1, 0]]),
        packed_snapshot(7, 0, 0, [], [], [], [[1, 0, 0]]),
        packed_snapshot(7, 0, 0, [], [], [], [[1, 5]]),
        msgspec.msgpack.encode([[["ash", 0, [1]]], [], []]),
        msgspec.msgpack.encode([[["Ash", 7, [1]]], [], []]),
        msgspec.msgpack.encode([[], ["Ash"], []]),
        msgspec.msgpack.encode([[], [], [0]]),
    ],
)
def test_an_unreadable_snapshot_changes_nothing(raw: bytes) -> None:
    ledger = ledger_after(WriteApplied(write_id(1)))
    before = ledger.dump()
    with pytest.raises(StoredStateError):
        ledger.load(raw)
    assert ledger.dump() == before


# --- Random sequences of entries ----------------------------------------------------------

EDGE_LOGS = [EdgeLog("ash", 1), EdgeLog("ash", 2), EdgeLog("birch", 1)]
incarnations, intent_ids, numbers = st.integers(1, 3), st.integers(1, 4), st.integers(1, 6)
write_ids = st.builds(write_id, numbers, st.sampled_from(EDGE_LOGS))
entry_sequences = st.lists(
    st.one_of(
        st.builds(Intent, write_ids, incarnations, intent_ids),
        st.builds(IntentWithdrawal, write_ids, intent_ids),
        st.builds(WriteApplied, write_ids),
        st.builds(
            LogLease, st.sampled_from(EDGE_LOGS), incarnations, incarnations, st.integers(0, 2), st.booleans()
        ),
        st.builds(
            StatusRecord,
            write_ids,
            st.sampled_from(WriteStatus),
            incarnations,
            st.booleans(),
            st.integers(0, 4),
            st.integers(0, 2),
        ),
        st.builds(EdgeLost, st.sampled_from(["ash", "birch"]), st.integers(0, 2)),
    ),
    max_size=24,
)


class ReferenceLedger:
    """A model of the ledger's rules that keeps the status of each write separately, without ranges."""

    def __init__(self) -> None:
        self.write_statuses: dict[WriteId, WriteStatus] = {}
        self.intents: dict[WriteId, int] = {}
        self.holders: dict[EdgeLog, int] = {}
        self.holder_changes: dict[EdgeLog, int] = {}
        self.lost_logs: set[str | EdgeLog] = set()
        self.withdrawn_intents: set[int] = set()
        self.resolved_parkings: dict[WriteId, int] = {}

    def is_lost(self, edge_log: EdgeLog) -> bool:
        return edge_log in self.lost_logs or edge_log.edge in self.lost_logs

    def holder(self, edge_log: EdgeLog) -> int:
        return 0 if self.is_lost(edge_log) else self.holders.get(edge_log, edge_log.incarnation)

    def write_status(self, target: WriteId) -> WriteStatus:
        known_status = self.write_statuses.get(target, WriteStatus.UNKNOWN)
        return (
            WriteStatus.ABANDONED
            if self.is_lost(target.edge_log) and known_status is not WriteStatus.APPLIED
            else known_status
        )

    def set_status(self, target: WriteId, new_status: WriteStatus) -> None:
        if self.write_status(target) not in (WriteStatus.APPLIED, WriteStatus.ABANDONED):
            self.write_statuses[target] = new_status
            if new_status in (WriteStatus.APPLIED, WriteStatus.ABANDONED):
                self.intents.pop(target, None)
                self.resolved_parkings.pop(target, None)

    def apply(self, entry: LedgerEntry) -> None:
        match entry:
            case Intent(write_id=target):
                is_free = (
                    self.write_status(target) in (WriteStatus.UNKNOWN, WriteStatus.PARKED)
                    and target not in self.intents
                )
                if (
                    is_free
                    and self.holder(target.edge_log) == entry.incarnation
                    and entry.intent_id not in self.withdrawn_intents
                ):
                    self.intents[target] = entry.intent_id
                    self.write_statuses[target] = WriteStatus.UNKNOWN
            case IntentWithdrawal(write_id=target):
                if self.intents.get(target) == entry.intent_id:
                    del self.intents[target]
                self.withdrawn_intents.add(entry.intent_id)
            case WriteApplied(write_id=target):
                self.set_status(target, WriteStatus.APPLIED)
            case LogLease(edge_log=edge_log):
                if (
                    self.holder(edge_log) in (0, entry.incarnation)
                    or self.holder_changes.get(edge_log, 0) != entry.holder_changes
                ):
                    return
                if entry.is_forced or self.holder(edge_log) == entry.previous_holder:
                    self.holders[edge_log], self.holder_changes[edge_log] = (
                        entry.incarnation,
                        entry.holder_changes + 1,
                    )
            case StatusRecord(write_id=target):
                self.apply_status_record(entry, target)
            case EdgeLost():
                self.lost_logs.add(
                    EdgeLog(entry.edge, entry.incarnation) if entry.incarnation else entry.edge
                )

    def apply_status_record(self, entry: StatusRecord, target: WriteId) -> None:
        if self.holder(target.edge_log) != entry.incarnation:
            return
        if entry.intent_id or entry.parking:
            if self.intents.get(
                target, 0
            ) != entry.intent_id or 0 < entry.parking <= self.resolved_parkings.get(target, 0):
                return
            if self.write_status(target) not in (WriteStatus.APPLIED, WriteStatus.ABANDONED):
                self.intents.pop(target, None)
                self.resolved_parkings[target] = max(entry.parking, self.resolved_parkings.get(target, 0))
                self.withdrawn_intents.update({entry.intent_id} - {0})
        for number in range(1 if entry.before else target.number, target.number + 1):
            self.set_status(write_id(number, target.edge_log), entry.write_status)


def assert_same(ledger: ReplicatedLedger, reference: ReferenceLedger) -> None:
    for edge_log in (*EDGE_LOGS, EdgeLog("birch", 9)):
        assert ledger.holder(edge_log) == reference.holder(edge_log)
        expected_statuses = [reference.write_status(write_id(number, edge_log)) for number in range(1, 8)]
        assert [write_status(ledger, number, edge_log) for number in range(1, 8)] == expected_statuses
        for number, expected in enumerate(expected_statuses, 1):
            is_all_final = all(
                status in (WriteStatus.APPLIED, WriteStatus.ABANDONED)
                for status in expected_statuses[:number]
            )
            if not reference.is_lost(edge_log):
                not_final = (
                    WriteStatus.PARKED
                    if WriteStatus.PARKED in expected_statuses[:number]
                    else WriteStatus.UNKNOWN
                )
                assert write_status_up_to(ledger, number, edge_log) is (
                    WriteStatus.APPLIED if is_all_final else not_final
                )
            holder, intent_id = (
                reference.holder(edge_log),
                reference.intents.get(write_id(number, edge_log), 0),
            )
            if holder and expected not in (WriteStatus.APPLIED, WriteStatus.ABANDONED):
                intent_status = ledger.intent_status(write_id(number, edge_log), holder, intent_id or 9)
                assert intent_status is (IntentStatus.MINE if intent_id else IntentStatus.OPEN)


@given(entry_sequences)
@settings(max_examples=300)
def test_the_ledger_matches_the_reference_model(entries: list[LedgerEntry]) -> None:
    ledger, reference = ReplicatedLedger(), ReferenceLedger()
    for entry in entries:
        apply(ledger, entry)
        reference.apply(entry)
        assert_same(ledger, reference)
    assert not ledger.ignored_count


@given(entry_sequences, st.data())
@settings(max_examples=200)
def test_restoring_a_snapshot_at_any_point_makes_no_difference(
    entries: list[LedgerEntry], data: st.DataObject
) -> None:
    split = data.draw(st.integers(0, len(entries)))
    whole, first, second = ledger_after(*entries), ledger_after(*entries[:split]), ReplicatedLedger()
    second.load(first.dump())
    assert second.dump() == first.dump()
    assert apply(second, *entries[split:]).dump() == whole.dump() == apply(first, *entries[split:]).dump()
    assert {**second.status(), **dict.fromkeys(("ignored",), 0)} == whole.status()


@given(entry_sequences)
@settings(max_examples=200)
def test_applying_each_entry_twice_makes_no_difference(entries: list[LedgerEntry]) -> None:
    assert (
        ledger_after(*entries).dump()
        == ledger_after(*(repeated for entry in entries for repeated in (entry, entry))).dump()
    )


@given(entry_sequences, entry_sequences, st.data())
@settings(max_examples=200)
def test_final_statuses_survive_replayed_entries_in_any_order(
    first_entries: list[LedgerEntry], later_entries: list[LedgerEntry], data: st.DataObject
) -> None:
    ledger = ledger_after(*first_entries)
    dependencies = [
        Dependency(*edge_log, number, before)
        for edge_log in EDGE_LOGS
        for number in range(1, 8)
        for before in (True, False)
    ]
    final = {
        dependency: status
        for dependency in dependencies
        if (status := ledger.write_status(dependency)) in (WriteStatus.APPLIED, WriteStatus.ABANDONED)
    }
    apply(ledger, *data.draw(st.permutations([*first_entries, *later_entries])))
    assert {dependency: ledger.write_status(dependency) for dependency in final} == final


@given(
    st.lists(
        st.one_of(st.builds(WriteApplied, write_ids), st.builds(IntentWithdrawal, write_ids, st.just(1))),
        max_size=12,
    ),
    st.data(),
)
def test_the_order_of_applied_entries_makes_no_difference(
    entries: list[LedgerEntry], data: st.DataObject
) -> None:
    assert ledger_after(*entries).dump() == ledger_after(*data.draw(st.permutations(entries))).dump()


# --- Agreement driver ---------------------------------------------------------------------


class ScriptedConsensus:
    """Stand-in for one copy's consensus client: it collects proposals and messages for the test."""

    def __init__(self, is_leader: bool = True) -> None:
        self.on_leader_message: Callable[[int, int, bytes], None] = lambda peer, incarnation, data: None
        self.on_change: Callable[[], None] = lambda: None
        self.replica_id, self.peer_count, self.incarnation, self.epoch = 0, 3, 1, "epoch"
        self.is_leader, self.leader_id = is_leader, 0 if is_leader else 1
        self.is_caught_up = self.has_leader_contact = True
        self.proposed: list[bytes] = []
        self.messages: list[bytes] = []
        self.error: Exception | None = None

    def propose(self, data: bytes) -> None:
        if self.error is not None:
            raise self.error
        if not self.is_leader:
            raise NotLeaderError(self.leader_id)
        self.proposed.append(data)

    def send_to_leader(self, data: bytes) -> None:
        if self.error is not None:
            raise self.error
        self.messages.append(data)

    def status(self) -> dict[str, Any]:
        return {}


class AgreementWorld:
    """An agreement driver on a scripted consensus client."""

    def __init__(self, is_leader: bool = True) -> None:
        self.clock = ManualClock()
        self.consensus = ScriptedConsensus(is_leader)
        self.ledger = ReplicatedLedger()
        self.agreement = AgreementDriver(self.consensus, self.ledger, self.clock)

    def agree(self, entry: LedgerEntry, timeout_us: int = 3_000 * US_PER_MS) -> asyncio.Future[bool]:
        return self.agreement.agree(entry, self.is_applied(entry), self.clock.now() + timeout_us)

    def is_applied(self, entry: LedgerEntry) -> Callable[[], bool]:
        assert isinstance(entry, WriteApplied)
        return lambda: self.ledger.write_status(Dependency(*entry.write_id)) is WriteStatus.APPLIED

    def commit(self, entry: LedgerEntry) -> None:
        apply(self.ledger, entry)
        self.consensus.on_change()


APPLIED_ENTRY = WriteApplied(write_id(1))


def test_a_leader_proposes_an_entry_which_is_agreed_once_the_ledger_shows_it() -> None:
    async def main() -> None:
        world = AgreementWorld()
        future = world.agree(APPLIED_ENTRY)
        assert world.consensus.proposed == [pack(APPLIED_ENTRY)] and not world.consensus.messages
        world.consensus.on_change()
        assert not future.done()
        world.commit(APPLIED_ENTRY)
        assert await future
        assert await world.agree(APPLIED_ENTRY) and world.consensus.proposed == [pack(APPLIED_ENTRY)]
        world.clock.advance(10 * RESUBMIT_MAX_US)
        assert world.consensus.proposed == [pack(APPLIED_ENTRY)] and not world.clock.due

    asyncio.run(main())


def test_a_follower_resends_an_entry_with_growing_delay_until_the_deadline() -> None:
    async def main() -> None:
        world = AgreementWorld(is_leader=False)
        future = world.agree(APPLIED_ENTRY, 4_000 * US_PER_MS)
        message_counts = [len(world.consensus.messages)]
        for _ in range(40):
            world.clock.advance(RESUBMIT_MIN_US)
            message_counts.append(len(world.consensus.messages))
        # In steps of 100 ms: sent at once, then after 100, 200, 400 ms, then after 800 ms each.
        assert [message_counts.index(count) for count in range(1, 9)] == [0, 1, 3, 7, 15, 23, 31, 39]
        assert future.done() and not await future and set(world.consensus.messages) == {pack(APPLIED_ENTRY)}
        assert world.agreement.counters["late"] == 1
        world.clock.advance(4_000 * US_PER_MS)
        assert len(world.consensus.messages) == 8 and not world.consensus.proposed

    asyncio.run(main())


def test_several_waiters_for_one_entry_send_it_once_and_keep_their_own_deadlines() -> None:
    async def main() -> None:
        world = AgreementWorld(is_leader=False)
        short_wait, long_wait = (
            world.agree(APPLIED_ENTRY, 150 * US_PER_MS),
            world.agree(APPLIED_ENTRY, 1_000 * US_PER_MS),
        )
        assert len(world.consensus.messages) == 1
        world.clock.advance(150 * US_PER_MS)
        assert short_wait.done() and not short_wait.result() and not long_wait.done()
        world.commit(APPLIED_ENTRY)
        assert await long_wait

    asyncio.run(main())


def test_an_effect_that_shows_at_the_deadline_counts() -> None:
    async def main() -> None:
        world = AgreementWorld()
        future = world.agree(APPLIED_ENTRY, 150 * US_PER_MS)
        apply(world.ledger, APPLIED_ENTRY)  # without a notification of the change
        world.clock.advance(150 * US_PER_MS)
        assert await future
        late = world.agree(WriteApplied(write_id(2)), 0)
        assert late.done() and not late.result()

    asyncio.run(main())


def test_an_entry_in_flight_is_proposed_again_only_after_a_timeout_or_a_leadership_change() -> None:
    async def main() -> None:
        world = AgreementWorld()
        world.agree(APPLIED_ENTRY, 60_000 * US_PER_MS)
        for _ in range(3):
            world.consensus.on_leader_message(2, 5, pack(APPLIED_ENTRY))
        world.clock.advance(PROPOSAL_TIMEOUT_US - 1)
        assert len(world.consensus.proposed) == 1
        world.clock.advance(RESUBMIT_MAX_US)
        assert len(world.consensus.proposed) == 2
        world.consensus.is_leader = False
        world.consensus.on_change()
        world.consensus.is_leader = True
        world.consensus.on_leader_message(2, 5, pack(APPLIED_ENTRY))
        assert len(world.consensus.proposed) == 3
        world.commit(APPLIED_ENTRY)
        world.consensus.on_leader_message(
            2, 5, pack(APPLIED_ENTRY)
        )  # a late message: proposing it again does no harm
        assert len(world.consensus.proposed) == 4

    asyncio.run(main())


@pytest.mark.parametrize("error", [BusyError("full"), NotLeaderError(2)])
def test_a_rejected_proposal_is_retried(error: Exception) -> None:
    async def main() -> None:
        world = AgreementWorld()
        world.consensus.error = error
        future = world.agree(APPLIED_ENTRY)
        world.consensus.error = None
        assert not world.consensus.proposed
        world.clock.advance(RESUBMIT_MIN_US)
        assert world.consensus.proposed == [pack(APPLIED_ENTRY)]
        world.commit(APPLIED_ENTRY)
        assert await future

    asyncio.run(main())


def test_a_rejected_message_to_the_leader_is_retried() -> None:
    async def main() -> None:
        world = AgreementWorld(is_leader=False)
        world.consensus.error = BusyError("full")
        world.agree(APPLIED_ENTRY)
        world.consensus.error = None
        world.clock.advance(RESUBMIT_MIN_US)
        assert world.consensus.messages == [pack(APPLIED_ENTRY)]

    asyncio.run(main())


def test_messages_that_are_no_entries_are_not_proposed() -> None:
    world = AgreementWorld()
    for data in (b"", KIND, b"u" + pack(APPLIED_ENTRY)[1:], KIND + b"\xff"):
        world.consensus.on_leader_message(2, 5, data)
    assert not world.consensus.proposed and world.agreement.counters["unread"] == 4


def test_a_waiter_over_the_limit_gets_false_at_once_and_a_cancelled_one_frees_its_place() -> None:
    async def main() -> None:
        world = AgreementWorld(is_leader=False)
        waiting = [world.agree(WriteApplied(write_id(n))) for n in range(1, MAX_WAITERS + 1)]
        full = world.agree(WriteApplied(write_id(MAX_WAITERS + 1)))
        assert full.done() and not full.result() and world.agreement.counters["full"] == 1
        waiting[0].cancel()
        await asyncio.sleep(0)
        assert not world.agree(WriteApplied(write_id(MAX_WAITERS + 1))).done()
        count = len(world.consensus.messages)
        world.clock.advance(RESUBMIT_MIN_US)
        assert (
            len(world.consensus.messages) == count + MAX_WAITERS
            and world.consensus.messages.count(pack(APPLIED_ENTRY)) == 1
        )

    asyncio.run(main())


def test_closing_ends_all_waits_and_nothing_is_sent_afterwards() -> None:
    async def main() -> None:
        world = AgreementWorld()
        futures = [world.agree(WriteApplied(write_id(n))) for n in (1, 1, 2)]
        world.agreement.close()
        assert [await future for future in futures] == [False] * 3
        assert not await world.agree(WriteApplied(write_id(3))) and not world.agreement.is_ready
        world.consensus.on_leader_message(2, 5, pack(APPLIED_ENTRY))
        world.clock.advance(10 * RESUBMIT_MAX_US)
        assert len(world.consensus.proposed) == 2 and not world.clock.due

    asyncio.run(main())


def test_the_driver_is_ready_once_caught_up_and_in_contact_with_a_leader() -> None:
    world = AgreementWorld()
    changes: list[bool] = []
    world.agreement.on_change = lambda: changes.append(world.agreement.is_ready)
    for known, in_touch in ((True, True), (False, True), (True, False)):
        world.consensus.is_caught_up, world.consensus.has_leader_contact = known, in_touch
        world.consensus.on_change()
    assert changes == [True, False, False]


# --- Several kinds of entries on one node -------------------------------------------------


def test_each_channel_gets_its_own_messages_and_all_are_notified_of_changes() -> None:
    consensus = ScriptedConsensus()
    multiplexer = ConsensusMultiplexer(consensus)
    received: list[object] = []
    for kind in (b"o", b"u"):
        channel = multiplexer.channel(kind)
        assert channel is multiplexer.channel(kind)
        channel.on_leader_message = functools.partial(
            lambda kind, peer, incarnation, data: received.append((kind, peer, data)), kind
        )
        channel.on_change = lambda kind=kind: received.append(kind)  # type: ignore[misc]
    for data in (b"o1", b"u2", b"x3", b""):
        consensus.on_leader_message(2, 5, data)
    consensus.on_change()
    assert received == [(b"o", 2, b"o1"), (b"u", 2, b"u2"), b"o", b"u"] and multiplexer.ignored_count == 2
    multiplexer.channel(b"o").propose(b"o4")
    multiplexer.channel(b"o").send_to_leader(b"o5")
    assert consensus.proposed == [b"o4"] and consensus.messages == [b"o5"]
    other_channel = multiplexer.channel(b"u")
    assert (
        other_channel.replica_id,
        other_channel.peer_count,
        other_channel.incarnation,
        other_channel.epoch,
    ) == (0, 3, 1, "epoch")
    assert (other_channel.is_leader, other_channel.leader_id) == (True, 0)
    assert other_channel.is_caught_up and other_channel.has_leader_contact and other_channel.status() == {}


class Cluster:
    """Consensus nodes over a memory network on a manual clock, each with a ledger and one other state
    machine.
    """

    def __init__(self, seed: int, count: int = 4, voter_count: int = 3) -> None:
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.faults = FaultSchedule(self.rng)
        self.network = MemoryNetwork(self.clock, count, self.faults)
        self.node_count, self.voter_count = count, voter_count
        self.nodes: dict[int, ConsensusNode] = {}
        self.ledgers: dict[int, ReplicatedLedger] = {}
        self.agreements: dict[int, AgreementDriver] = {}
        self.other_messages: dict[int, list[bytes]] = {}
        self.other_machines: dict[int, RecordingStateMachine] = {}
        self.log_lines: list[str] = []

    async def start(self, replica_id: int) -> None:
        ledger, other_machine = ReplicatedLedger(), RecordingStateMachine()
        machines = CompositeStateMachine({KIND[0]: ledger, ord("u"): other_machine})

        def make_core(incarnation: int, stored: Mapping[bytes, bytes]) -> ConsensusCore:
            node_rng = random.Random(self.rng.getrandbits(32))
            timing = ConsensusTiming()
            return ConsensusCore(
                replica_id, self.node_count, self.voter_count, incarnation, machines, timing, node_rng, stored
            )

        async def store() -> Store:
            return NoStore()

        node = ConsensusNode(
            make_core,
            lambda: self.network.link(replica_id),
            store,
            machines,
            self.clock,
            self.log_lines.append,
            replica_id,
        )
        multiplexer = ConsensusMultiplexer(node)
        self.agreements[replica_id] = AgreementDriver(multiplexer.channel(KIND), ledger, self.clock)
        self.other_messages[replica_id] = []
        multiplexer.channel(b"u").on_leader_message = lambda peer, incarnation, data: self.other_messages[
            replica_id
        ].append(data)
        self.nodes[replica_id], self.ledgers[replica_id], self.other_machines[replica_id] = (
            node,
            ledger,
            other_machine,
        )
        await node.start()

    async def run_until(self, is_done: Callable[[], bool]) -> None:
        for _ in range(6_000):
            if is_done():
                return
            self.clock.advance(10 * US_PER_MS)
            await asyncio.sleep(0)
        raise AssertionError("the condition did not hold within 60 s of the manual clock")

    def leader(self) -> int | None:
        return next(
            (replica_id for replica_id, node in self.nodes.items() if node.is_leader and node.is_caught_up),
            None,
        )

    async def wait_until_ready(self) -> int:
        await self.run_until(
            lambda: self.leader() is not None
            and all(agreement.is_ready for agreement in self.agreements.values())
        )
        leader = self.leader()
        assert leader is not None
        return leader

    def agree(
        self, replica_id: int, entry: WriteApplied, timeout_us: int = 20_000 * US_PER_MS
    ) -> asyncio.Future[bool]:
        ledger = self.ledgers[replica_id]
        return self.agreements[replica_id].agree(
            entry,
            lambda: ledger.write_status(Dependency(*entry.write_id)) is WriteStatus.APPLIED,
            self.clock.now() + timeout_us,
        )

    async def close(self) -> None:
        for replica_id, node in self.nodes.items():
            self.agreements[replica_id].close()
            await node.close()


def test_real_nodes_agree_on_entries_from_any_copy_beside_another_kind() -> None:
    async def main() -> None:
        cluster = Cluster(1)
        for replica_id in range(4):
            await cluster.start(replica_id)
        await cluster.wait_until_ready()
        futures = [
            cluster.agree(replica_id, WriteApplied(write_id(1 + replica_id))) for replica_id in range(4)
        ]
        await cluster.run_until(lambda: all(future.done() for future in futures))
        assert all(future.result() for future in futures)
        await cluster.run_until(
            lambda: all(
                write_status_up_to(ledger, 4) is WriteStatus.APPLIED for ledger in cluster.ledgers.values()
            )
        )
        assert len({ledger.dump() for ledger in cluster.ledgers.values()}) == 1
        # Each entry was proposed once; messages of the other kind reach the other kind alone.
        assert sum(agreement.counters["proposed"] for agreement in cluster.agreements.values()) == 4
        leader = await cluster.wait_until_ready()
        cluster.nodes[3].send_to_leader(b"u word")
        cluster.nodes[leader].propose(b"u entry")
        await cluster.run_until(lambda: cluster.other_messages[leader] == [b"u word"])
        await cluster.run_until(
            lambda: all(machine.applied == [b" entry"] for machine in cluster.other_machines.values())
        )
        assert len({ledger.dump() for ledger in cluster.ledgers.values()}) == 1
        await cluster.close()
        assert not cluster.log_lines

    asyncio.run(main())


@pytest.mark.parametrize("seed", range(3))
def test_real_nodes_agree_despite_loss_duplication_and_the_death_of_the_leader(seed: int) -> None:
    async def main() -> None:
        cluster = Cluster(seed)
        for replica_id in range(4):
            await cluster.start(replica_id)
        leader = await cluster.wait_until_ready()
        cluster.faults.loss, cluster.faults.duplication, cluster.faults.delay_us = 0.2, 0.2, (500, 40_000)
        others = [replica_id for replica_id in range(4) if replica_id != leader]
        futures = [
            cluster.agree(replica_id, WriteApplied(write_id(1 + n, EdgeLog("ash", 1 + replica_id))))
            for n in range(5)
            for replica_id in others
        ]
        cluster.agreements[leader].close()
        await cluster.nodes[leader].close()
        del cluster.nodes[leader], cluster.ledgers[leader], cluster.agreements[leader]
        await cluster.run_until(lambda: all(future.done() for future in futures))
        assert all(future.result() for future in futures)
        cluster.faults.loss = 0.0
        await cluster.run_until(
            lambda: all(ledger.status()["lines"] == 3 for ledger in cluster.ledgers.values())
        )
        await cluster.run_until(lambda: len({ledger.dump() for ledger in cluster.ledgers.values()}) == 1)
        await cluster.close()

    asyncio.run(main())


def test_an_isolated_copy_is_not_ready_and_its_entries_miss_the_deadline() -> None:
    async def main() -> None:
        cluster = Cluster(5)
        for replica_id in range(4):
            await cluster.start(replica_id)
        leader = await cluster.wait_until_ready()
        isolated = next(replica_id for replica_id in range(4) if replica_id != leader)
        cluster.faults.partition(
            [isolated], [replica_id for replica_id in range(4) if replica_id != isolated]
        )
        await cluster.run_until(lambda: not cluster.agreements[isolated].is_ready)
        future = cluster.agree(isolated, APPLIED_ENTRY, 2_000 * US_PER_MS)
        await cluster.run_until(future.done)
        assert not future.result() and write_status(cluster.ledgers[leader], 1) is WriteStatus.UNKNOWN
        cluster.faults.heal()
        await cluster.run_until(lambda: cluster.agreements[isolated].is_ready)
        second_future = cluster.agree(isolated, APPLIED_ENTRY)
        await cluster.run_until(second_future.done)
        assert second_future.result()
        # A copy that restarts with an empty store is ready only once it has the earlier entries.
        cluster.agreements[isolated].close()
        await cluster.nodes[isolated].close()
        await cluster.start(isolated)
        assert not cluster.agreements[isolated].is_ready
        await cluster.run_until(lambda: cluster.agreements[isolated].is_ready)
        assert write_status(cluster.ledgers[isolated], 1) is WriteStatus.APPLIED
        await cluster.close()

    asyncio.run(main())
