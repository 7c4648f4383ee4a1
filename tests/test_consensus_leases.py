"""Leases, and several state machines on one log."""

from __future__ import annotations

import random

import pytest
from laurelstep.consensus.epoch import ClusterEpoch
from laurelstep.consensus.errors import EntryError
from laurelstep.consensus.leases import LeaseTable
from laurelstep.consensus.state_machines import CompositeStateMachine
from laurelstep.testing.schedules import RecordingStateMachine

from tests.once import once

pytestmark = once


def test_an_entry_of_an_unknown_state_machine_is_counted_and_its_dump_passed_on() -> None:
    first, second = RecordingStateMachine(), RecordingStateMachine()
    both, one = (
        CompositeStateMachine({0: first, 7: second}),
        CompositeStateMachine({0: RecordingStateMachine()}),
    )
    both.apply(1, b"\0a")
    both.apply(2, b"\7b")
    one.load(both.dump())
    one.apply(3, b"\7c")
    one.apply(4, b"")
    assert one.ignored_count == 2
    assert one.dump() == both.dump()
    both.load(b"")
    assert first.applied == second.applied == []


EPOCH = ClusterEpoch(1, 1)
LEASE = 1_000_000


def leases(me: int) -> LeaseTable:
    return LeaseTable(me, 0.01, LEASE, random.Random(me))


def granted(at: int, by: LeaseTable, to: LeaseTable, now: int, index: int, among: list[LeaseTable]) -> bool:
    """`to`, peer `at`, asks `by` at that time, and all learn what was granted."""
    entry = by.entry_for(now, EPOCH, at, 7, to.request(now, 7, "name", LEASE))
    if entry is None:
        return False
    for one in among:
        one.apply(index, entry)
        one.observe(now, EPOCH)
    return True


def test_a_lease_is_held_by_one_process_renewed_released_and_not_granted_early() -> None:
    leader, a, b = three = [leases(0), leases(1), leases(2)]
    leader.observe(0, EPOCH)
    wait = 1_010_001
    # An epoch that began may have lost grants: none for the longest lease.
    assert not granted(1, leader, a, wait - 1, 1, three)
    assert granted(1, leader, a, wait, 1, three)
    assert a.holds(wait + 989_999, "name") and not a.holds(wait + 990_000, "name")
    assert not b.holds(wait, "name")
    assert not granted(2, leader, b, wait + 1_000_000, 2, three)
    assert granted(1, leader, a, wait + 500_000, 3, three)
    assert a.holds(wait + 1_489_999, "name")
    assert not granted(2, leader, b, wait + 1_510_000, 4, three)
    assert granted(2, leader, b, wait + 1_510_001, 5, three)
    assert b.holds(wait + 1_510_001, "name")
    message = b.release("name")
    assert message is not None and not b.holds(wait + 1_510_002, "name")
    assert leader.entry_for(wait + 1_510_003, EPOCH, 1, 7, message) is None
    assert leader.entry_for(wait + 1_510_003, EPOCH, 2, 7, message) == message
    for one in three:
        one.apply(6, message)
    assert granted(1, leader, a, wait + 1_510_004, 7, three)


def test_of_two_grants_that_follow_the_same_lease_one_holds() -> None:
    leader, a, b = three = [leases(0), leases(1), leases(2)]
    leader.observe(0, EPOCH)
    now = 2 * LEASE
    first = leader.entry_for(now, EPOCH, 1, 7, a.request(now, 7, "name", LEASE))
    second = leader.entry_for(now, EPOCH, 2, 7, b.request(now, 7, "name", LEASE))
    assert first is not None and second is not None
    for one in three:
        one.apply(1, second)
        one.apply(2, first)
    assert b.holds(now, "name") and not a.holds(now, "name")
    assert a.ignored_count == 1
    assert a.dump() == b.dump()


def test_a_lease_can_not_be_requested_for_another_process_or_malformed() -> None:
    leader, a = leases(0), leases(1)
    leader.observe(0, EPOCH)
    now = 2 * LEASE
    assert leader.entry_for(now, EPOCH, 2, 7, a.request(now, 7, "name", LEASE)) is None
    assert leader.entry_for(now, EPOCH, 1, 8, a.request(now, 7, "name", LEASE)) is None
    assert leader.entry_for(now, EPOCH, 1, 7, b"\xc1") is None
    for name, lease_us in (("", LEASE), ("n" * 65, LEASE), ("name", 0), ("name", LEASE + 1)):
        with pytest.raises(EntryError):
            a.request(now, 7, name, lease_us)
    for raw in (b"", b"\xc1", b"\x93\x02\xa4name\x05"):
        leader.apply(1, raw)
    assert leader.dump() == leases(0).dump()
