"""The agreed record of kept writes: its entries, its rules, its bounds, and what brings entries to it."""

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
from laurelstep.outbox.shared import ledger as records
from laurelstep.outbox.shared import ranges
from laurelstep.outbox.shared.agreement import AGAIN_MOST_US, AGAIN_US, FLIGHT_US, WAITS_MOST, AgreementDriver
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
    unpack_word,
)
from laurelstep.outbox.shared.ledger import ReplicatedLedger
from laurelstep.outbox.shared.messages import IntentStatus, LeaseRequest, LeaseStatus, StatusUpdate
from laurelstep.outbox.version_vector import WriteStatus
from laurelstep.outbox.write_ids import EDGE_MOST, EdgeLog, WriteId

from tests.consensus_nodes import RecordingStateMachine
from tests.fakes import ManualClock

ASH = EdgeLog("ash", 7)
OTHER = EdgeLog("ash", 8)
MS = 1_000


def write_id(number: int, line: EdgeLog = ASH) -> WriteId:
    return WriteId(*line, number)


def apply(record: ReplicatedLedger, *entries: LedgerEntry) -> ReplicatedLedger:
    for entry in entries:
        record.apply(1, pack(entry)[1:])
    return record


def after(*entries: LedgerEntry) -> ReplicatedLedger:
    return apply(ReplicatedLedger(), *entries)


def write_status(record: ReplicatedLedger, number: int, line: EdgeLog = ASH) -> WriteStatus:
    return record.write_status(Dependency(*line, number))


def fate_up_to(record: ReplicatedLedger, number: int, line: EdgeLog = ASH) -> WriteStatus:
    return record.write_status(Dependency(*line, number, True))


# --- Entries ------------------------------------------------------------------------------

LONG = WriteId("e" * EDGE_MOST, ID_END - 1, NUMBER_END - 1)
MOST = ID_END - 1


@pytest.mark.parametrize(
    "entry",
    [
        Intent(LONG, MOST, MOST),
        IntentWithdrawal(LONG, MOST),
        WriteApplied(LONG),
        LogLease(LONG.edge_log, MOST, MOST, NUMBER_END - 1, True),
        StatusRecord(LONG, WriteStatus.ABANDONED, MOST, True, MOST, NUMBER_END - 1),
        EdgeLost(LONG.edge, MOST),
    ],
)
def test_the_longest_entries_fit_and_are_read_back(entry: LedgerEntry) -> None:
    data = pack(entry)
    assert len(data) <= min(MAX_ENTRY_BYTES, MAX_LEADER_MESSAGE_BYTES) and data[:1] == KIND
    assert unpack(data[1:]) == entry == unpack_word(data)


@pytest.mark.parametrize(
    "entry",
    [
        WriteApplied(WriteId("Ash", 7, 1)),
        WriteApplied(WriteId("e" * (EDGE_MOST + 1), 7, 1)),
        WriteApplied(write_id(0)),
        WriteApplied(write_id(NUMBER_END)),
        WriteApplied(WriteId("ash", 0, 1)),
        Intent(write_id(1), 0, 1),
        Intent(write_id(1), 7, 0),
        IntentWithdrawal(write_id(1), ID_END),
        LogLease(ASH, 0, 7, 0),
        LogLease(ASH, 9, 7, -1),
        StatusRecord(write_id(1), WriteStatus.APPLIED, 0),
        StatusRecord(write_id(1), WriteStatus.APPLIED, 7, False, -1),
        StatusRecord(write_id(1), WriteStatus.APPLIED, 7, False, 0, -1),
        EdgeLost("ash", -1),
        EdgeLost(""),
    ],
)
def test_what_can_not_be_is_no_entry(entry: LedgerEntry) -> None:
    with pytest.raises(EntryError):
        pack(entry)
    try:
        data = msgspec.msgpack.encode(entry)
    except (OverflowError, msgspec.MsgspecError):
        return  # it has not even bytes
    record = ReplicatedLedger()
    empty = record.dump()
    record.apply(1, data)
    assert unpack(data) is None and record.ignored == 1 and record.dump() == empty


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        b"\x91",
        msgspec.msgpack.encode((7, ("ash", 7, 1))),  # of a later version
        msgspec.msgpack.encode((3,)),
        msgspec.msgpack.encode((3, ("ash", 7))),
        msgspec.msgpack.encode((5, ("ash", 7, 1), 9, 7)),  # a fate that a later version has
        msgspec.msgpack.encode((3, ("ash", 7, 1), "x" * MAX_ENTRY_BYTES)),
    ],
)
def test_what_can_not_be_read_is_counted_and_changes_nothing(data: bytes) -> None:
    record = after(WriteApplied(write_id(1)))
    before = record.dump()
    record.apply(2, data)
    assert record.dump() == before and record.ignored == 1 and record.status()["ignored"] == 1


def test_a_later_version_may_add_fields() -> None:
    assert unpack(msgspec.msgpack.encode((3, ("ash", 7, 1), "new"))) == WriteApplied(write_id(1))


def test_a_word_of_another_part_is_none_of_these() -> None:
    assert unpack_word(b"u" + pack(WriteApplied(write_id(1)))[1:]) is None and unpack_word(b"") is None


@given(st.binary(max_size=200))
def test_no_bytes_raise(data: bytes) -> None:
    record = ReplicatedLedger()
    record.apply(1, data)
    assert record.ignored + (unpack(data) is not None) == 1


# --- Ranges -------------------------------------------------------------------------------


@given(st.lists(st.tuples(st.booleans(), st.integers(1, 20), st.integers(0, 5)), max_size=20))
def test_ranges_are_a_set_in_one_form(steps: list[tuple[bool, int, int]]) -> None:
    found, naive = ranges.NONE, set[int]()
    for adds, first, more in steps:
        numbers = range(first, first + more + 1)
        gaps = [
            number
            for start, end in ranges.missing(found, first, first + more)
            for number in range(start, end + 1)
        ]
        assert gaps == [number for number in numbers if number not in naive]
        found = ranges.add(found, first, first + more) if adds else ranges.cut(found, first, first + more)
        naive = naive.union(numbers) if adds else naive.difference(numbers)
        assert {number for number in range(30) if ranges.has(found, number)} == naive
        assert ranges.well_formed(found, 30)
        assert len(found) == sum(number - 1 not in naive for number in naive)


# --- Fates --------------------------------------------------------------------------------


def test_in_comes_in_any_order_and_all_up_to_a_number_once_there_is_no_gap() -> None:
    record = after(WriteApplied(write_id(1)), WriteApplied(write_id(3)))
    assert [write_status(record, n) for n in (1, 2, 3)] == [
        WriteStatus.APPLIED,
        WriteStatus.UNKNOWN,
        WriteStatus.APPLIED,
    ]
    assert [fate_up_to(record, n) for n in (1, 2, 3)] == [
        WriteStatus.APPLIED,
        WriteStatus.UNKNOWN,
        WriteStatus.UNKNOWN,
    ]
    apply(record, StatusRecord(write_id(2), WriteStatus.PARKED, 7))
    assert (write_status(record, 2), fate_up_to(record, 3), fate_up_to(record, 1)) == (
        WriteStatus.PARKED,
        WriteStatus.PARKED,
        WriteStatus.APPLIED,
    )
    apply(record, StatusRecord(write_id(2), WriteStatus.ABANDONED, 7))
    assert (write_status(record, 2), fate_up_to(record, 3)) == (WriteStatus.ABANDONED, WriteStatus.APPLIED)


def test_parked_is_taken_back_by_its_holder_alone() -> None:
    record = after(
        StatusRecord(write_id(2), WriteStatus.PARKED, 7), StatusRecord(write_id(2), WriteStatus.UNKNOWN, 9)
    )
    assert write_status(record, 2) is WriteStatus.PARKED
    assert (
        write_status(apply(record, StatusRecord(write_id(2), WriteStatus.UNKNOWN, 7)), 2)
        is WriteStatus.UNKNOWN
    )
    assert record.dump() == ReplicatedLedger().dump()


def test_what_is_over_stays_as_it_is() -> None:
    record = after(WriteApplied(write_id(1)), StatusRecord(write_id(2), WriteStatus.ABANDONED, 7))
    before = record.dump()
    for told in (WriteStatus.UNKNOWN, WriteStatus.PARKED, WriteStatus.APPLIED, WriteStatus.ABANDONED):
        apply(
            record,
            StatusRecord(write_id(1), told, 7),
            StatusRecord(write_id(2), told, 7),
            StatusRecord(write_id(2), told, 7, True),
        )
    apply(record, WriteApplied(write_id(2)), Intent(write_id(1), 7, 5), Intent(write_id(2), 7, 5))
    assert record.dump() == before


def test_all_up_to_a_number_is_the_holders_word_and_leaves_gone_ones_gone() -> None:
    record = after(
        StatusRecord(write_id(3), WriteStatus.ABANDONED, 7),
        StatusRecord(write_id(4), WriteStatus.PARKED, 7),
        Intent(write_id(5), 7, 1),
    )
    apply(record, StatusRecord(write_id(6), WriteStatus.APPLIED, 9, True))
    assert fate_up_to(record, 6) is WriteStatus.PARKED
    apply(record, StatusRecord(write_id(6), WriteStatus.APPLIED, 7, True))
    assert fate_up_to(record, 6) is WriteStatus.APPLIED and fate_up_to(record, 7) is WriteStatus.UNKNOWN
    assert [write_status(record, n) for n in range(1, 8)] == [WriteStatus.APPLIED] * 2 + [
        WriteStatus.ABANDONED
    ] + [WriteStatus.APPLIED] * 3 + [WriteStatus.UNKNOWN]
    assert record.status()["begun"] == 0


def test_all_up_to_a_number_may_be_gone_or_parked_but_what_is_in() -> None:
    record = after(WriteApplied(write_id(2)), StatusRecord(write_id(3), WriteStatus.PARKED, 7, True))
    assert [write_status(record, n) for n in (1, 2, 3)] == [
        WriteStatus.PARKED,
        WriteStatus.APPLIED,
        WriteStatus.PARKED,
    ]
    apply(record, StatusRecord(write_id(3), WriteStatus.ABANDONED, 7, True))
    assert [write_status(record, n) for n in (1, 2, 3)] == [
        WriteStatus.ABANDONED,
        WriteStatus.APPLIED,
        WriteStatus.ABANDONED,
    ]
    assert fate_up_to(record, 3) is WriteStatus.APPLIED


# --- Begun --------------------------------------------------------------------------------


def test_one_ask_alone_gets_a_begin() -> None:
    record = after(Intent(write_id(1), 7, 5))
    before = record.dump()
    apply(record, Intent(write_id(1), 7, 5), Intent(write_id(1), 7, 6), Intent(write_id(2), 9, 6))
    assert record.dump() == before
    assert (
        record.intent_status(write_id(1), 7, 5) is IntentStatus.MINE
        and record.intent_status(write_id(1), 7, 6) is IntentStatus.OTHERS
    )
    assert (
        record.intent_status(write_id(2), 7, 6) is IntentStatus.OPEN
        and record.intent_status(write_id(2), 9, 6) is IntentStatus.FENCED
    )
    apply(record, WriteApplied(write_id(1)), StatusRecord(write_id(2), WriteStatus.ABANDONED, 7))
    assert (
        record.intent_status(write_id(1), 9, 6) is IntentStatus.APPLIED
        and record.intent_status(write_id(2), 7, 6) is IntentStatus.FENCED
    )
    assert record.status()["begun"] == 0


def test_a_begin_is_taken_back_by_its_ask_alone() -> None:
    record = after(Intent(write_id(1), 7, 5), IntentWithdrawal(write_id(1), 6))
    assert (
        record.intent_status(write_id(1), 7, 5) is IntentStatus.MINE
        and record.is_withdrawn(6)
        and not record.is_withdrawn(5)
    )
    apply(record, IntentWithdrawal(write_id(1), 5), IntentWithdrawal(write_id(1), 5))
    assert record.intent_status(write_id(1), 7, 9) is IntentStatus.OPEN and record.is_withdrawn(5)


def test_a_begin_that_comes_after_it_was_taken_back_is_not_granted() -> None:
    record = after(IntentWithdrawal(write_id(1), 5), Intent(write_id(1), 7, 5))
    assert record.intent_status(write_id(1), 7, 5) is IntentStatus.OPEN
    apply(
        record,
        Intent(write_id(1), 7, 6),
        IntentWithdrawal(write_id(1), 6),
        Intent(write_id(1), 7, 6),
        Intent(write_id(1), 7, 8),
    )
    assert record.intent_status(write_id(1), 7, 8) is IntentStatus.MINE


def test_that_it_never_ran_is_the_holders_word_of_the_ask_that_it_saw() -> None:
    record = after(Intent(write_id(1), 7, 5), StatusRecord(write_id(1), WriteStatus.PARKED, 7))
    told = StatusUpdate(write_id(1), WriteStatus.UNKNOWN, 7, False, True)
    entry = record.status_entry(told)
    assert entry == StatusRecord(write_id(1), WriteStatus.UNKNOWN, 7, False, 5) and not record.agrees_with(
        told
    )
    apply(record, msgspec.structs.replace(entry, life=9))
    assert record.intent_status(write_id(1), 7, 5) is IntentStatus.MINE
    apply(record, entry)
    assert record.agrees_with(told) and record.status_entry(told) is None
    # It comes once more: another ask has begun since.
    apply(record, Intent(write_id(1), 7, 6), entry, Intent(write_id(1), 7, 5))
    assert record.intent_status(write_id(1), 7, 6) is IntentStatus.MINE


def test_each_parking_is_judged_once() -> None:
    record = after(Intent(write_id(1), 7, 5), StatusRecord(write_id(1), WriteStatus.PARKED, 7))
    first, second = (
        StatusUpdate(write_id(1), WriteStatus.UNKNOWN, 7, False, True, parking) for parking in (1, 2)
    )
    entry = record.status_entry(first)
    assert entry == StatusRecord(write_id(1), WriteStatus.UNKNOWN, 7, False, 5, 1)
    apply(record, entry, Intent(write_id(1), 7, 6), StatusRecord(write_id(1), WriteStatus.PARKED, 7))
    # The first word comes late, at a gate that makes an entry of it by what it knows now, or did before.
    assert record.agrees_with(first) and record.status_entry(first) is None and not record.agrees_with(second)
    apply(record, entry, StatusRecord(write_id(1), WriteStatus.UNKNOWN, 7, False, 6, 1))
    assert (
        record.intent_status(write_id(1), 7, 6) is IntentStatus.MINE
        and write_status(record, 1) is WriteStatus.PARKED
    )
    again = record.status_entry(second)
    assert again is not None
    apply(record, again)
    assert (
        record.intent_status(write_id(1), 7, 9) is IntentStatus.OPEN
        and write_status(record, 1) is WriteStatus.UNKNOWN
        and record.agrees_with(second)
    )
    # Judged before anything of it began here: that counts too.
    apply(
        record,
        StatusRecord(write_id(2), WriteStatus.UNKNOWN, 7, False, 0, 1),
        Intent(write_id(2), 7, 8),
        IntentWithdrawal(write_id(2), 8),
    )
    assert (
        record.agrees_with(StatusUpdate(write_id(2), WriteStatus.UNKNOWN, 7, False, True, 1))
        and record.status()["begun"] == 2
    )
    apply(record, WriteApplied(write_id(1)), WriteApplied(write_id(2)))
    assert record.status()["begun"] == 0


def test_a_begin_means_that_it_is_parked_no_more() -> None:
    record = after(StatusRecord(write_id(1), WriteStatus.PARKED, 7), Intent(write_id(1), 7, 5))
    assert write_status(record, 1) is WriteStatus.UNKNOWN
    apply(record, StatusRecord(write_id(1), WriteStatus.PARKED, 7))
    assert (
        write_status(record, 1) is WriteStatus.PARKED
        and record.intent_status(write_id(1), 7, 6) is IntentStatus.OTHERS
    )


# --- Claims -------------------------------------------------------------------------------


def claim(record: ReplicatedLedger, *claims: LeaseRequest) -> list[LeaseStatus]:
    """Each is agreed, and asked for again."""
    for one in claims:
        entry = record.lease_entry(one)
        if entry is not None:
            apply(record, entry)
    return [record.lease_status(one) for one in claims]


def test_a_line_is_its_own_lifes_until_one_claims_it_that_knows_the_holder() -> None:
    record = ReplicatedLedger()
    assert record.holder(ASH) == 7 and record.lease_status(LeaseRequest(ASH, 7, ())) is LeaseStatus.HELD
    assert record.lease_status(LeaseRequest(ASH, 9, (7,))) is LeaseStatus.OPEN
    assert (
        record.lease_status(LeaseRequest(ASH, 9, (6,))) is LeaseStatus.FENCED
        and record.lease_entry(LeaseRequest(ASH, 9, (6,))) is None
    )
    assert claim(record, LeaseRequest(ASH, 9, (6, 7))) == [LeaseStatus.HELD]
    assert record.holder(ASH) == 9 and record.lease_status(LeaseRequest(ASH, 7, ())) is LeaseStatus.FENCED
    apply(record, Intent(write_id(1), 7, 5), StatusRecord(write_id(1), WriteStatus.PARKED, 7))
    assert (
        write_status(record, 1) is WriteStatus.UNKNOWN
        and record.intent_status(write_id(1), 7, 5) is IntentStatus.FENCED
    )
    assert record.intent_status(write_id(1), 9, 5) is IntentStatus.OPEN


def test_of_two_copies_of_a_disk_one_holds_the_line_until_an_operator_says_otherwise() -> None:
    record = ReplicatedLedger()
    one, two = LeaseRequest(ASH, 11, (7,)), LeaseRequest(ASH, 12, (7,))
    assert claim(record, one, two) == [LeaseStatus.HELD, LeaseStatus.FENCED]
    # The next life on each disk: it knows the lives of its own disk alone.
    assert claim(record, LeaseRequest(ASH, 22, (7, 12))) == [LeaseStatus.FENCED]
    assert claim(record, LeaseRequest(ASH, 21, (7, 11))) == [LeaseStatus.HELD]
    forced = LeaseRequest(ASH, 23, (7, 12, 22), True)
    assert claim(record, forced) == [LeaseStatus.HELD]
    assert record.lease_status(LeaseRequest(ASH, 21, (7, 11))) is LeaseStatus.FENCED
    assert claim(record, LeaseRequest(ASH, 24, (7, 11, 21))) == [LeaseStatus.FENCED]


def test_a_claim_that_comes_late_or_twice_takes_nothing() -> None:
    record = ReplicatedLedger()
    late, double = LogLease(ASH, 11, 7, 0), LogLease(ASH, 12, 7, 0)
    forced = LogLease(ASH, 7, 12, 1, True)
    apply(record, double, forced)
    assert record.holder(ASH) == 7
    apply(record, late, double)  # the holder that they name, but it changed since
    assert record.holder(ASH) == 7
    apply(record, LogLease(ASH, 13, 7, 2), forced)
    assert record.holder(ASH) == 13


def test_what_was_begun_stays_so_for_the_next_holder() -> None:
    record = after(Intent(write_id(1), 7, 5))
    assert claim(record, LeaseRequest(ASH, 9, (7,))) == [LeaseStatus.HELD]
    assert (
        record.intent_status(write_id(1), 9, 6) is IntentStatus.OTHERS
        and record.intent_status(write_id(1), 7, 5) is IntentStatus.FENCED
    )
    assert write_status(apply(record, WriteApplied(write_id(1))), 1) is WriteStatus.APPLIED


# --- Lost ---------------------------------------------------------------------------------


@pytest.mark.parametrize("lost", [EdgeLost("ash"), EdgeLost("ash", 7)])
def test_what_is_in_of_a_lost_line_stays_in_and_all_else_is_gone(lost: EdgeLost) -> None:
    record = after(
        WriteApplied(write_id(1)),
        WriteApplied(write_id(3)),
        Intent(write_id(4), 7, 5),
        StatusRecord(write_id(5), WriteStatus.PARKED, 7),
        lost,
    )
    assert [write_status(record, n) for n in range(1, 7)] == [
        WriteStatus.APPLIED,
        WriteStatus.ABANDONED,
        WriteStatus.APPLIED,
    ] + [WriteStatus.ABANDONED] * 3
    assert (fate_up_to(record, 1), fate_up_to(record, 3)) == (WriteStatus.APPLIED, WriteStatus.ABANDONED)
    assert record.holder(ASH) == 0 and record.intent_status(write_id(4), 7, 5) is IntentStatus.FENCED
    before = record.dump()
    apply(
        record,
        WriteApplied(write_id(4)),
        Intent(write_id(6), 7, 1),
        StatusRecord(write_id(6), WriteStatus.APPLIED, 7),
        StatusRecord(write_id(6), WriteStatus.APPLIED, 7, True),
        LogLease(ASH, 9, 7, 0, True),
        LogLease(ASH, 9, 0, 0),
        lost,
    )
    assert record.dump() == before and record.status()["begun"] == 0
    assert record.lease_status(LeaseRequest(ASH, 9, (7,), True)) is LeaseStatus.FENCED
    assert record.lease_status(LeaseRequest(ASH, 0, ())) is LeaseStatus.FENCED


def test_a_lost_edge_is_so_with_lines_to_come_and_a_lost_line_alone() -> None:
    record = after(EdgeLost("ash", 7))
    assert (write_status(record, 1, OTHER), write_status(record, 1)) == (
        WriteStatus.UNKNOWN,
        WriteStatus.ABANDONED,
    )
    apply(record, EdgeLost("ash"))
    assert write_status(record, 1, OTHER) is WriteStatus.ABANDONED and record.holder(OTHER) == 0
    apply(record, WriteApplied(write_id(1, OTHER)), WriteApplied(write_id(1, EdgeLog("birch", 7))))
    assert (
        write_status(record, 1, OTHER) is WriteStatus.ABANDONED
        and write_status(record, 1, EdgeLog("birch", 7)) is WriteStatus.APPLIED
    )
    again = ReplicatedLedger()
    again.load(record.dump())
    assert write_status(again, 1, EdgeLog("ash", 99)) is WriteStatus.ABANDONED


# --- What is told -------------------------------------------------------------------------


def test_it_says_what_was_told_and_what_is_over_whatever_is_told() -> None:
    record = after(WriteApplied(write_id(1)), StatusRecord(write_id(2), WriteStatus.ABANDONED, 7))
    for told in WriteStatus:
        assert record.agrees_with(StatusUpdate(write_id(1), told, 7)) and record.agrees_with(
            StatusUpdate(write_id(2), told, 7)
        )
        assert record.status_entry(StatusUpdate(write_id(2), told, 7, True)) is None
    for told in (WriteStatus.APPLIED, WriteStatus.PARKED, WriteStatus.ABANDONED):
        one = StatusUpdate(write_id(3), told, 7)
        entry = record.status_entry(one)
        assert not record.agrees_with(one) and entry == StatusRecord(write_id(3), told, 7)
        assert apply(ReplicatedLedger(), *[] if entry is None else [entry]).agrees_with(one)


# --- Bounds -------------------------------------------------------------------------------


def refused(record: ReplicatedLedger, name: str, *entries: LedgerEntry) -> None:
    """Each changes nothing, and is counted."""
    before, count = record.dump(), record.refused[name]
    apply(record, *entries)
    assert record.dump() == before and record.refused[name] == count + len(entries)


def test_ranges_of_a_line_have_a_bound_and_what_fills_a_gap_goes_in() -> None:
    record = after(*(WriteApplied(write_id(2 * n)) for n in range(1, records.RANGES_MOST + 1)))
    high = 2 * records.RANGES_MOST + 2
    refused(
        record, "ranges", WriteApplied(write_id(high)), StatusRecord(write_id(high), WriteStatus.ABANDONED, 7)
    )
    assert (
        write_status(record, high) is WriteStatus.UNKNOWN
        and write_status(record, high - 2) is WriteStatus.APPLIED
    )
    apply(record, WriteApplied(write_id(3)), WriteApplied(write_id(high)))
    assert (
        write_status(record, high) is WriteStatus.APPLIED and write_status(record, 2) is WriteStatus.APPLIED
    )


def test_parked_ranges_of_a_line_have_a_bound() -> None:
    record = after(
        *(StatusRecord(write_id(2 * n), WriteStatus.PARKED, 7) for n in range(1, records.PARKED_MOST + 1))
    )
    high = 2 * records.PARKED_MOST + 2
    refused(record, "parked", StatusRecord(write_id(high), WriteStatus.PARKED, 7))
    apply(
        record,
        StatusRecord(write_id(2), WriteStatus.UNKNOWN, 7),
        StatusRecord(write_id(high), WriteStatus.PARKED, 7),
    )
    assert write_status(record, high) is WriteStatus.PARKED


def test_lines_have_a_bound() -> None:
    record = after(*(WriteApplied(WriteId("ash", n, 1)) for n in range(1, records.LINES_MOST + 1)))
    line = EdgeLog("birch", 1)
    refused(
        record,
        "lines",
        WriteApplied(write_id(1, line)),
        Intent(write_id(1, line), 1, 5),
        LogLease(line, 9, 1, 0),
        EdgeLost("birch", 1),
        StatusRecord(write_id(1, line), WriteStatus.PARKED, 1),
    )
    assert record.lease_status(LeaseRequest(line, 9, (1,))) is LeaseStatus.OPEN
    apply(record, WriteApplied(write_id(2)), EdgeLost("ash"))
    assert write_status(record, 2) is WriteStatus.APPLIED


def test_begun_ones_have_a_bound_over_all_lines() -> None:
    entries = [
        Intent(write_id(n, EdgeLog("ash", 1 + n % 2)), 1 + n % 2, n) for n in range(1, records.BEGUN_MOST + 1)
    ]
    record = after(*entries)
    refused(record, "begun", Intent(write_id(1, EdgeLog("birch", 1)), 1, 5))
    apply(record, WriteApplied(entries[0].write_id), Intent(write_id(1, EdgeLog("birch", 1)), 1, 5))
    assert record.intent_status(write_id(1, EdgeLog("birch", 1)), 1, 5) is IntentStatus.MINE


def test_lost_edges_have_a_bound() -> None:
    record = after(*(EdgeLost(f"ash{n}") for n in range(records.LOST_MOST)))
    refused(record, "lost", EdgeLost("birch"))
    assert record.holder(EdgeLog("birch", 3)) == 3


def test_of_asks_that_were_taken_back_the_last_ones_are_kept() -> None:
    record = after(*(IntentWithdrawal(write_id(1), n) for n in range(1, records.UNDONE_MOST + 2)))
    assert (
        not record.is_withdrawn(1) and record.is_withdrawn(2) and record.is_withdrawn(records.UNDONE_MOST + 1)
    )


def test_the_fullest_record_fits_in_a_snapshot_and_refuses_more_ranges(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    record, lines = ReplicatedLedger(), [EdgeLog(f"{n:032d}", MOST - n) for n in range(records.LINES_MOST)]
    high = NUMBER_END - 1_000_000
    each = records.SPANS_MOST // records.LINES_MOST
    for line in lines:
        for n in range(each):
            apply(record, WriteApplied(write_id(high + 2 * n, line)))
        apply(record, LogLease(line, MOST, line.incarnation, 0))
    for n in range(records.BEGUN_MOST):
        apply(record, Intent(write_id(NUMBER_END - 1, lines[n]), MOST, MOST))
    for n in range(records.LOST_MOST):
        apply(record, EdgeLost(f"x{n:031d}"))
    for n in range(records.UNDONE_MOST):
        apply(record, IntentWithdrawal(LONG, MOST - n))
    assert len(record.dump()) < MAX_SNAPSHOT_BYTES
    refused(record, "spans", WriteApplied(write_id(high + 2 * each, lines[0])))
    other = ReplicatedLedger()
    other.load(record.dump())
    assert other.dump() == record.dump() and other.status()["spans"] == records.SPANS_MOST


# --- Snapshots ----------------------------------------------------------------------------


def test_nothing_is_a_new_record() -> None:
    record = after(WriteApplied(write_id(1)), EdgeLost("birch"), IntentWithdrawal(write_id(2), 5))
    record.load(b"")
    assert record.dump() == ReplicatedLedger().dump()


def row(*fields: Any) -> bytes:
    return msgspec.msgpack.encode([[["ash", 7, fields]], [], []])


@pytest.mark.parametrize(
    "raw",
    [
        b"\xff",
        b"\xa3abc",
        row(7, 0, -1),
        row(-7),
        row(7, 0, 0, [[3, 2]]),
        row(7, 0, 0, [[1, 2], [3, 4]]),
        row(7, 0, 0, [], [], [], [[2, 1, 0], [1, 1, 0]]),
        row(7, 0, 0, [], [], [], [[1, 0, 0]]),
        row(7, 0, 0, [], [], [], [[1, 5]]),
        msgspec.msgpack.encode([[["ash", 0, [1]]], [], []]),
        msgspec.msgpack.encode([[["Ash", 7, [1]]], [], []]),
        msgspec.msgpack.encode([[], ["Ash"], []]),
        msgspec.msgpack.encode([[], [], [0]]),
    ],
)
def test_a_snapshot_that_can_not_be_read_changes_nothing(raw: bytes) -> None:
    record = after(WriteApplied(write_id(1)))
    before = record.dump()
    with pytest.raises(StoredStateError):
        record.load(raw)
    assert record.dump() == before


# --- Any sequence -------------------------------------------------------------------------

LINES = [EdgeLog("ash", 1), EdgeLog("ash", 2), EdgeLog("birch", 1)]
lives, asks, numbers = st.integers(1, 3), st.integers(1, 4), st.integers(1, 6)
write_ids = st.builds(write_id, numbers, st.sampled_from(LINES))
sequences = st.lists(
    st.one_of(
        st.builds(Intent, write_ids, lives, asks),
        st.builds(IntentWithdrawal, write_ids, asks),
        st.builds(WriteApplied, write_ids),
        st.builds(LogLease, st.sampled_from(LINES), lives, lives, st.integers(0, 2), st.booleans()),
        st.builds(
            StatusRecord,
            write_ids,
            st.sampled_from(WriteStatus),
            lives,
            st.booleans(),
            st.integers(0, 4),
            st.integers(0, 2),
        ),
        st.builds(EdgeLost, st.sampled_from(["ash", "birch"]), st.integers(0, 2)),
    ),
    max_size=24,
)


class Naive:
    """The rules, number by number."""

    def __init__(self) -> None:
        self.write_statuses: dict[WriteId, WriteStatus] = {}
        self.begun: dict[WriteId, int] = {}
        self.holders: dict[EdgeLog, int] = {}
        self.turns: dict[EdgeLog, int] = {}
        self.lost: set[str | EdgeLog] = set()
        self.is_withdrawn: set[int] = set()
        self.resolved: dict[WriteId, int] = {}

    def is_lost(self, line: EdgeLog) -> bool:
        return line in self.lost or line.edge in self.lost

    def holder(self, line: EdgeLog) -> int:
        return 0 if self.is_lost(line) else self.holders.get(line, line.incarnation)

    def write_status(self, one: WriteId) -> WriteStatus:
        found = self.write_statuses.get(one, WriteStatus.UNKNOWN)
        return (
            WriteStatus.ABANDONED
            if self.is_lost(one.edge_log) and found is not WriteStatus.APPLIED
            else found
        )

    def become(self, one: WriteId, new: WriteStatus) -> None:
        if self.write_status(one) not in (WriteStatus.APPLIED, WriteStatus.ABANDONED):
            self.write_statuses[one] = new
            if new in (WriteStatus.APPLIED, WriteStatus.ABANDONED):
                self.begun.pop(one, None)
                self.resolved.pop(one, None)

    def apply(self, entry: LedgerEntry) -> None:
        match entry:
            case Intent(write_id=one):
                free = (
                    self.write_status(one) in (WriteStatus.UNKNOWN, WriteStatus.PARKED)
                    and one not in self.begun
                )
                if free and self.holder(one.edge_log) == entry.life and entry.ask not in self.is_withdrawn:
                    self.begun[one] = entry.ask
                    self.write_statuses[one] = WriteStatus.UNKNOWN
            case IntentWithdrawal(write_id=one):
                if self.begun.get(one) == entry.ask:
                    del self.begun[one]
                self.is_withdrawn.add(entry.ask)
            case WriteApplied(write_id=one):
                self.become(one, WriteStatus.APPLIED)
            case LogLease(edge_log=line):
                if self.holder(line) in (0, entry.life) or self.turns.get(line, 0) != entry.turn:
                    return
                if entry.force or self.holder(line) == entry.of:
                    self.holders[line], self.turns[line] = entry.life, entry.turn + 1
            case StatusRecord(write_id=one):
                self.say(entry, one)
            case EdgeLost():
                self.lost.add(EdgeLog(entry.edge, entry.incarnation) if entry.incarnation else entry.edge)

    def say(self, entry: StatusRecord, one: WriteId) -> None:
        if self.holder(one.edge_log) != entry.life:
            return
        if entry.ask or entry.parking:
            if self.begun.get(one, 0) != entry.ask or 0 < entry.parking <= self.resolved.get(one, 0):
                return
            if self.write_status(one) not in (WriteStatus.APPLIED, WriteStatus.ABANDONED):
                self.begun.pop(one, None)
                self.resolved[one] = max(entry.parking, self.resolved.get(one, 0))
                self.is_withdrawn.update({entry.ask} - {0})
        for number in range(1 if entry.before else one.number, one.number + 1):
            self.become(write_id(number, one.edge_log), entry.write_status)


def same(record: ReplicatedLedger, naive: Naive) -> None:
    for line in (*LINES, EdgeLog("birch", 9)):
        assert record.holder(line) == naive.holder(line)
        write_statuses = [naive.write_status(write_id(number, line)) for number in range(1, 8)]
        assert [write_status(record, number, line) for number in range(1, 8)] == write_statuses
        for number, found in enumerate(write_statuses, 1):
            over = all(one in (WriteStatus.APPLIED, WriteStatus.ABANDONED) for one in write_statuses[:number])
            if not naive.is_lost(line):
                parked = (
                    WriteStatus.PARKED
                    if WriteStatus.PARKED in write_statuses[:number]
                    else WriteStatus.UNKNOWN
                )
                assert fate_up_to(record, number, line) is (WriteStatus.APPLIED if over else parked)
            holder, by = naive.holder(line), naive.begun.get(write_id(number, line), 0)
            if holder and found not in (WriteStatus.APPLIED, WriteStatus.ABANDONED):
                begun = record.intent_status(write_id(number, line), holder, by or 9)
                assert begun is (IntentStatus.MINE if by else IntentStatus.OPEN)


@given(sequences)
@settings(max_examples=300)
def test_it_is_as_the_rules_are_number_by_number(entries: list[LedgerEntry]) -> None:
    record, naive = ReplicatedLedger(), Naive()
    for entry in entries:
        apply(record, entry)
        naive.apply(entry)
        same(record, naive)
    assert not record.ignored


@given(sequences, st.data())
@settings(max_examples=200)
def test_a_snapshot_anywhere_makes_no_difference(entries: list[LedgerEntry], data: st.DataObject) -> None:
    cut = data.draw(st.integers(0, len(entries)))
    whole, first, second = after(*entries), after(*entries[:cut]), ReplicatedLedger()
    second.load(first.dump())
    assert second.dump() == first.dump()
    assert apply(second, *entries[cut:]).dump() == whole.dump() == apply(first, *entries[cut:]).dump()
    assert {**second.status(), **dict.fromkeys(("ignored",), 0)} == whole.status()


@given(sequences)
@settings(max_examples=200)
def test_an_entry_that_comes_twice_says_the_same(entries: list[LedgerEntry]) -> None:
    assert after(*entries).dump() == after(*(one for entry in entries for one in (entry, entry))).dump()


@given(sequences, sequences, st.data())
@settings(max_examples=200)
def test_what_is_over_stays_so_whatever_comes_again(
    first: list[LedgerEntry], more: list[LedgerEntry], data: st.DataObject
) -> None:
    record = after(*first)
    dependencies = [
        Dependency(*line, number, before)
        for line in LINES
        for number in range(1, 8)
        for before in (True, False)
    ]
    over = {
        dependency: found
        for dependency in dependencies
        if (found := record.write_status(dependency)) in (WriteStatus.APPLIED, WriteStatus.ABANDONED)
    }
    apply(record, *data.draw(st.permutations([*first, *more])))
    assert {dependency: record.write_status(dependency) for dependency in over} == over


@given(
    st.lists(
        st.one_of(st.builds(WriteApplied, write_ids), st.builds(IntentWithdrawal, write_ids, st.just(1))),
        max_size=12,
    ),
    st.data(),
)
def test_the_order_of_ins_makes_no_difference(entries: list[LedgerEntry], data: st.DataObject) -> None:
    assert after(*entries).dump() == after(*data.draw(st.permutations(entries))).dump()


# --- The sharer ---------------------------------------------------------------------------


class PlayedAccord:
    """One copy's: proposals and words wait for the test."""

    def __init__(self, leading: bool = True) -> None:
        self.on_leader_message: Callable[[int, int, bytes], None] = lambda peer, incarnation, data: None
        self.on_change: Callable[[], None] = lambda: None
        self.replica_id, self.peer_count, self.incarnation, self.epoch = 0, 3, 1, "epoch"
        self.is_leader, self.leader_id = leading, 0 if leading else 1
        self.is_caught_up = self.has_leader_contact = True
        self.proposed: list[bytes] = []
        self.words: list[bytes] = []
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
        self.words.append(data)

    def status(self) -> dict[str, Any]:
        return {}


class OutboxApi:
    """A sharer on a played accord."""

    def __init__(self, leading: bool = True) -> None:
        self.clock = ManualClock()
        self.accord = PlayedAccord(leading)
        self.record = ReplicatedLedger()
        self.sharer = AgreementDriver(self.accord, self.record, self.clock)

    def agree(self, entry: LedgerEntry, within: int = 3_000 * MS) -> asyncio.Future[bool]:
        return self.sharer.agree(entry, self.said(entry), self.clock.now() + within)

    def said(self, entry: LedgerEntry) -> Callable[[], bool]:
        assert isinstance(entry, WriteApplied)
        return lambda: self.record.write_status(Dependency(*entry.write_id)) is WriteStatus.APPLIED

    def land(self, entry: LedgerEntry) -> None:
        apply(self.record, entry)
        self.accord.on_change()


ONE = WriteApplied(write_id(1))


def test_who_leads_proposes_and_it_is_agreed_once_the_record_says_so() -> None:
    async def main() -> None:
        desk = OutboxApi()
        future = desk.agree(ONE)
        assert desk.accord.proposed == [pack(ONE)] and not desk.accord.words
        desk.accord.on_change()
        assert not future.done()
        desk.land(ONE)
        assert await future
        assert await desk.agree(ONE) and desk.accord.proposed == [pack(ONE)]
        desk.clock.advance(10 * AGAIN_MOST_US)
        assert desk.accord.proposed == [pack(ONE)] and not desk.clock.due

    asyncio.run(main())


def test_who_does_not_lead_tells_it_again_ever_more_slowly_until_its_time_is_over() -> None:
    async def main() -> None:
        desk = OutboxApi(leading=False)
        future = desk.agree(ONE, 4_000 * MS)
        told = [len(desk.accord.words)]
        for _ in range(40):
            desk.clock.advance(AGAIN_US)
            told.append(len(desk.accord.words))
        # 0, then after 100, 200, 400 and 800 ms each.
        assert [told.index(count) for count in range(1, 9)] == [0, 1, 3, 7, 15, 23, 31, 39]
        assert future.done() and not await future and set(desk.accord.words) == {pack(ONE)}
        assert desk.sharer.counters["late"] == 1
        desk.clock.advance(4_000 * MS)
        assert len(desk.accord.words) == 8 and not desk.accord.proposed

    asyncio.run(main())


def test_several_that_wait_for_one_entry_tell_it_once_and_each_has_its_time() -> None:
    async def main() -> None:
        desk = OutboxApi(leading=False)
        short, long = desk.agree(ONE, 150 * MS), desk.agree(ONE, 1_000 * MS)
        assert len(desk.accord.words) == 1
        desk.clock.advance(150 * MS)
        assert short.done() and not short.result() and not long.done()
        desk.land(ONE)
        assert await long

    asyncio.run(main())


def test_what_became_true_in_the_last_moment_is_true() -> None:
    async def main() -> None:
        desk = OutboxApi()
        future = desk.agree(ONE, 150 * MS)
        apply(desk.record, ONE)  # and nobody was told of a change
        desk.clock.advance(150 * MS)
        assert await future
        late = desk.agree(WriteApplied(write_id(2)), 0)
        assert late.done() and not late.result()

    asyncio.run(main())


def test_an_entry_on_its_way_is_not_proposed_again_but_under_another_reign_or_after_a_time() -> None:
    async def main() -> None:
        desk = OutboxApi()
        desk.agree(ONE, 60_000 * MS)
        for _ in range(3):
            desk.accord.on_leader_message(2, 5, pack(ONE))
        desk.clock.advance(FLIGHT_US - 1)
        assert len(desk.accord.proposed) == 1
        desk.clock.advance(AGAIN_MOST_US)
        assert len(desk.accord.proposed) == 2
        desk.accord.is_leader = False
        desk.accord.on_change()
        desk.accord.is_leader = True
        desk.accord.on_leader_message(2, 5, pack(ONE))
        assert len(desk.accord.proposed) == 3
        desk.land(ONE)
        desk.accord.on_leader_message(2, 5, pack(ONE))  # a late word: it says the same again
        assert len(desk.accord.proposed) == 4

    asyncio.run(main())


@pytest.mark.parametrize("error", [BusyError("full"), NotLeaderError(2)])
def test_a_proposal_that_is_not_taken_is_made_again(error: Exception) -> None:
    async def main() -> None:
        desk = OutboxApi()
        desk.accord.error = error
        future = desk.agree(ONE)
        desk.accord.error = None
        assert not desk.accord.proposed
        desk.clock.advance(AGAIN_US)
        assert desk.accord.proposed == [pack(ONE)]
        desk.land(ONE)
        assert await future

    asyncio.run(main())


def test_a_word_that_is_not_taken_is_told_again() -> None:
    async def main() -> None:
        desk = OutboxApi(leading=False)
        desk.accord.error = BusyError("full")
        desk.agree(ONE)
        desk.accord.error = None
        desk.clock.advance(AGAIN_US)
        assert desk.accord.words == [pack(ONE)]

    asyncio.run(main())


def test_words_that_are_no_entries_are_not_proposed() -> None:
    desk = OutboxApi()
    for data in (b"", KIND, b"u" + pack(ONE)[1:], KIND + b"\xff"):
        desk.accord.on_leader_message(2, 5, data)
    assert not desk.accord.proposed and desk.sharer.counters["unread"] == 4


def test_one_more_than_may_wait_hears_no_at_once_and_one_that_is_called_off_makes_room() -> None:
    async def main() -> None:
        desk = OutboxApi(leading=False)
        waiting = [desk.agree(WriteApplied(write_id(n))) for n in range(1, WAITS_MOST + 1)]
        full = desk.agree(WriteApplied(write_id(WAITS_MOST + 1)))
        assert full.done() and not full.result() and desk.sharer.counters["full"] == 1
        waiting[0].cancel()
        await asyncio.sleep(0)
        assert not desk.agree(WriteApplied(write_id(WAITS_MOST + 1))).done()
        count = len(desk.accord.words)
        desk.clock.advance(AGAIN_US)
        assert len(desk.accord.words) == count + WAITS_MOST and desk.accord.words.count(pack(ONE)) == 1

    asyncio.run(main())


def test_closing_ends_all_waits_and_nothing_is_told_after() -> None:
    async def main() -> None:
        desk = OutboxApi()
        futures = [desk.agree(WriteApplied(write_id(n))) for n in (1, 1, 2)]
        desk.sharer.close()
        assert [await future for future in futures] == [False] * 3
        assert not await desk.agree(WriteApplied(write_id(3))) and not desk.sharer.is_ready
        desk.accord.on_leader_message(2, 5, pack(ONE))
        desk.clock.advance(10 * AGAIN_MOST_US)
        assert len(desk.accord.proposed) == 2 and not desk.clock.due

    asyncio.run(main())


def test_it_is_ready_where_the_record_is_known_and_a_leader_is_heard() -> None:
    desk = OutboxApi()
    changes: list[bool] = []
    desk.sharer.on_change = lambda: changes.append(desk.sharer.is_ready)
    for known, in_touch in ((True, True), (False, True), (True, False)):
        desk.accord.is_caught_up, desk.accord.has_leader_contact = known, in_touch
        desk.accord.on_change()
    assert changes == [True, False, False]


# --- Several parts on one node ------------------------------------------------------------


def test_each_part_gets_its_own_words_and_all_hear_of_changes() -> None:
    accord = PlayedAccord()
    multiplexer = ConsensusMultiplexer(accord)
    heard: list[object] = []
    for kind in (b"o", b"u"):
        channel = multiplexer.channel(kind)
        assert channel is multiplexer.channel(kind)
        channel.on_leader_message = functools.partial(
            lambda kind, peer, incarnation, data: heard.append((kind, peer, data)), kind
        )
        channel.on_change = lambda kind=kind: heard.append(kind)  # type: ignore[misc]
    for data in (b"o1", b"u2", b"x3", b""):
        accord.on_leader_message(2, 5, data)
    accord.on_change()
    assert heard == [(b"o", 2, b"o1"), (b"u", 2, b"u2"), b"o", b"u"] and multiplexer.ignored_count == 2
    multiplexer.channel(b"o").propose(b"o4")
    multiplexer.channel(b"o").send_to_leader(b"o5")
    assert accord.proposed == [b"o4"] and accord.words == [b"o5"]
    one = multiplexer.channel(b"u")
    assert (one.replica_id, one.peer_count, one.incarnation, one.epoch) == (0, 3, 1, "epoch")
    assert (one.is_leader, one.leader_id) == (True, 0)
    assert one.is_caught_up and one.has_leader_contact and one.status() == {}


class Tier:
    """Nodes over a memory link on a clock of their own; on each, kept writes and another part."""

    def __init__(self, seed: int, count: int = 4, seats: int = 3) -> None:
        self.clock = ManualClock()
        self.draw = random.Random(seed)
        self.faults = FaultSchedule(self.draw)
        self.network = MemoryNetwork(self.clock, count, self.faults)
        self.count, self.seats = count, seats
        self.nodes: dict[int, ConsensusNode] = {}
        self.records: dict[int, ReplicatedLedger] = {}
        self.sharers: dict[int, AgreementDriver] = {}
        self.others: dict[int, list[bytes]] = {}
        self.blanks: dict[int, RecordingStateMachine] = {}
        self.lines: list[str] = []

    async def start(self, me: int) -> None:
        record, blank = ReplicatedLedger(), RecordingStateMachine()
        machines = CompositeStateMachine({KIND[0]: record, ord("u"): blank})

        def make_core(incarnation: int, kept: Mapping[bytes, bytes]) -> ConsensusCore:
            draw = random.Random(self.draw.getrandbits(32))
            timing = ConsensusTiming()
            return ConsensusCore(me, self.count, self.seats, incarnation, machines, timing, draw, kept)

        async def store() -> Store:
            return NoStore()

        node = ConsensusNode(
            make_core, lambda: self.network.link(me), store, machines, self.clock, self.lines.append, me
        )
        multiplexer = ConsensusMultiplexer(node)
        self.sharers[me] = AgreementDriver(multiplexer.channel(KIND), record, self.clock)
        self.others[me] = []
        multiplexer.channel(b"u").on_leader_message = lambda peer, incarnation, data: self.others[me].append(
            data
        )
        self.nodes[me], self.records[me], self.blanks[me] = node, record, blank
        await node.start()

    async def until(self, done: Callable[[], bool]) -> None:
        for _ in range(6_000):
            if done():
                return
            self.clock.advance(10 * MS)
            await asyncio.sleep(0)
        raise AssertionError("not in a minute of its clock")

    def leader(self) -> int | None:
        return next((me for me, node in self.nodes.items() if node.is_leader and node.is_caught_up), None)

    async def settle(self) -> int:
        await self.until(
            lambda: self.leader() is not None and all(one.is_ready for one in self.sharers.values())
        )
        found = self.leader()
        assert found is not None
        return found

    def agree(self, me: int, entry: WriteApplied, within: int = 20_000 * MS) -> asyncio.Future[bool]:
        record = self.records[me]
        return self.sharers[me].agree(
            entry,
            lambda: record.write_status(Dependency(*entry.write_id)) is WriteStatus.APPLIED,
            self.clock.now() + within,
        )

    async def close(self) -> None:
        for me, node in self.nodes.items():
            self.sharers[me].close()
            await node.close()


def test_real_nodes_agree_from_whichever_copy_beside_another_part() -> None:
    async def main() -> None:
        tier = Tier(1)
        for me in range(4):
            await tier.start(me)
        await tier.settle()
        futures = [tier.agree(me, WriteApplied(write_id(1 + me))) for me in range(4)]
        await tier.until(lambda: all(one.done() for one in futures))
        assert all(one.result() for one in futures)
        await tier.until(
            lambda: all(fate_up_to(one, 4) is WriteStatus.APPLIED for one in tier.records.values())
        )
        assert len({one.dump() for one in tier.records.values()}) == 1
        # What each proposed, once in the record each; the other part hears its own words alone.
        assert sum(one.counters["proposed"] for one in tier.sharers.values()) == 4
        leader = await tier.settle()
        tier.nodes[3].send_to_leader(b"u word")
        tier.nodes[leader].propose(b"u entry")
        await tier.until(lambda: tier.others[leader] == [b"u word"])
        await tier.until(lambda: all(one.applied == [b" entry"] for one in tier.blanks.values()))
        assert len({one.dump() for one in tier.records.values()}) == 1
        await tier.close()
        assert not tier.lines

    asyncio.run(main())


@pytest.mark.parametrize("seed", range(3))
def test_real_nodes_agree_through_loss_doubling_and_the_leaders_death(seed: int) -> None:
    async def main() -> None:
        tier = Tier(seed)
        for me in range(4):
            await tier.start(me)
        leader = await tier.settle()
        tier.faults.loss, tier.faults.duplication, tier.faults.delay_us = 0.2, 0.2, (500, 40_000)
        others = [me for me in range(4) if me != leader]
        futures = [
            tier.agree(me, WriteApplied(write_id(1 + n, EdgeLog("ash", 1 + me))))
            for n in range(5)
            for me in others
        ]
        tier.sharers[leader].close()
        await tier.nodes[leader].close()
        del tier.nodes[leader], tier.records[leader], tier.sharers[leader]
        await tier.until(lambda: all(one.done() for one in futures))
        assert all(one.result() for one in futures)
        tier.faults.loss = 0.0
        await tier.until(lambda: all(one.status()["lines"] == 3 for one in tier.records.values()))
        await tier.until(lambda: len({one.dump() for one in tier.records.values()}) == 1)
        await tier.close()

    asyncio.run(main())


def test_a_copy_that_is_cut_off_is_not_ready_and_hears_no_in_time() -> None:
    async def main() -> None:
        tier = Tier(5)
        for me in range(4):
            await tier.start(me)
        leader = await tier.settle()
        lone = next(me for me in range(4) if me != leader)
        tier.faults.partition([lone], [me for me in range(4) if me != lone])
        await tier.until(lambda: not tier.sharers[lone].is_ready)
        future = tier.agree(lone, ONE, 2_000 * MS)
        await tier.until(future.done)
        assert not future.result() and write_status(tier.records[leader], 1) is WriteStatus.UNKNOWN
        tier.faults.heal()
        await tier.until(lambda: tier.sharers[lone].is_ready)
        again = tier.agree(lone, ONE)
        await tier.until(again.done)
        assert again.result()
        # From nothing: it knows what was agreed before it is ready.
        tier.sharers[lone].close()
        await tier.nodes[lone].close()
        await tier.start(lone)
        assert not tier.sharers[lone].is_ready
        await tier.until(lambda: tier.sharers[lone].is_ready)
        assert write_status(tier.records[lone], 1) is WriteStatus.APPLIED
        await tier.close()

    asyncio.run(main())
