"""Leases, and several state machines on one replicated log."""

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


def test_an_entry_for_an_unknown_state_machine_is_counted_and_its_dump_is_kept() -> None:
    first, second = RecordingStateMachine(), RecordingStateMachine()
    complete, partial = (
        CompositeStateMachine({0: first, 7: second}),
        CompositeStateMachine({0: RecordingStateMachine()}),
    )
    complete.apply(1, b"\0a")
    complete.apply(2, b"\7b")
    partial.load(complete.dump())
    partial.apply(3, b"\7c")
    partial.apply(4, b"")
    assert partial.ignored_count == 2
    assert partial.dump() == complete.dump()
    complete.load(b"")
    assert first.applied == second.applied == []


EPOCH = ClusterEpoch(1, 1)
LEASE_US = 1_000_000


def new_lease_table(replica_id: int) -> LeaseTable:
    return LeaseTable(replica_id, 0.01, LEASE_US, random.Random(replica_id))


def request_lease(
    requester_id: int,
    leader: LeaseTable,
    requester: LeaseTable,
    now_us: int,
    index: int,
    tables: list[LeaseTable],
) -> bool:
    """Peer `requester_id` requests the lease, and all tables apply the grant.

    Returns whether it was granted.
    """
    entry = leader.entry_for(now_us, EPOCH, requester_id, 7, requester.request(now_us, 7, "name", LEASE_US))
    if entry is None:
        return False
    for table in tables:
        table.apply(index, entry)
        table.observe(now_us, EPOCH)
    return True


def test_a_lease_is_held_by_one_process_renewed_released_and_not_granted_early() -> None:
    leader, process_1, process_2 = tables = [new_lease_table(0), new_lease_table(1), new_lease_table(2)]
    leader.observe(0, EPOCH)
    grants_allowed_us = 1_010_001
    # A new epoch may lack committed grants, so nothing is granted for the longest possible lease.
    assert not request_lease(1, leader, process_1, grants_allowed_us - 1, 1, tables)
    assert request_lease(1, leader, process_1, grants_allowed_us, 1, tables)
    assert process_1.holds(grants_allowed_us + 989_999, "name") and not process_1.holds(
        grants_allowed_us + 990_000, "name"
    )
    assert not process_2.holds(grants_allowed_us, "name")
    assert not request_lease(2, leader, process_2, grants_allowed_us + 1_000_000, 2, tables)
    assert request_lease(1, leader, process_1, grants_allowed_us + 500_000, 3, tables)
    assert process_1.holds(grants_allowed_us + 1_489_999, "name")
    assert not request_lease(2, leader, process_2, grants_allowed_us + 1_510_000, 4, tables)
    assert request_lease(2, leader, process_2, grants_allowed_us + 1_510_001, 5, tables)
    assert process_2.holds(grants_allowed_us + 1_510_001, "name")
    message = process_2.release("name")
    assert message is not None and not process_2.holds(grants_allowed_us + 1_510_002, "name")
    assert leader.entry_for(grants_allowed_us + 1_510_003, EPOCH, 1, 7, message) is None
    assert leader.entry_for(grants_allowed_us + 1_510_003, EPOCH, 2, 7, message) == message
    for table in tables:
        table.apply(6, message)
    assert request_lease(1, leader, process_1, grants_allowed_us + 1_510_004, 7, tables)


def test_of_two_grants_that_follow_the_same_lease_only_one_takes_effect() -> None:
    leader, process_1, process_2 = tables = [new_lease_table(0), new_lease_table(1), new_lease_table(2)]
    leader.observe(0, EPOCH)
    now_us = 2 * LEASE_US
    first = leader.entry_for(now_us, EPOCH, 1, 7, process_1.request(now_us, 7, "name", LEASE_US))
    second = leader.entry_for(now_us, EPOCH, 2, 7, process_2.request(now_us, 7, "name", LEASE_US))
    assert first is not None and second is not None
    for table in tables:
        table.apply(1, second)
        table.apply(2, first)
    assert process_2.holds(now_us, "name") and not process_1.holds(now_us, "name")
    assert process_1.ignored_count == 1
    assert process_1.dump() == process_2.dump()


def test_a_lease_request_for_another_process_or_a_malformed_one_is_ignored() -> None:
    leader, process_1 = new_lease_table(0), new_lease_table(1)
    leader.observe(0, EPOCH)
    now_us = 2 * LEASE_US
    assert leader.entry_for(now_us, EPOCH, 2, 7, process_1.request(now_us, 7, "name", LEASE_US)) is None
    assert leader.entry_for(now_us, EPOCH, 1, 8, process_1.request(now_us, 7, "name", LEASE_US)) is None
    assert leader.entry_for(now_us, EPOCH, 1, 7, b"\xc1") is None
    for name, lease_us in (("", LEASE_US), ("n" * 65, LEASE_US), ("name", 0), ("name", LEASE_US + 1)):
        with pytest.raises(EntryError):
            process_1.request(now_us, 7, name, lease_us)
    for raw in (b"", b"\xc1", b"\x93\x02\xa4name\x05"):
        leader.apply(1, raw)
    assert leader.dump() == new_lease_table(0).dump()
