"""The version vector of a copy's own outbox: reading the ledger, requesting leases, publishing statuses."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from laurelstep.outbox.dependencies import Dependency
from laurelstep.outbox.shared.entries import EdgeLost, LogLease, StatusRecord, WriteApplied
from laurelstep.outbox.shared.ledger import ReplicatedLedger
from laurelstep.outbox.shared.replicated_version_vector import (
    AGREE_TIMEOUT_US,
    CHANGE_DELAY_US,
    MAX_PENDING,
    MAX_UNPUBLISHED,
    SUBMIT_INTERVAL_US,
    ReplicatedVersionVector,
)
from laurelstep.outbox.version_vector import WriteStatus
from laurelstep.outbox.write_ids import EdgeLog, WriteId

from tests.fakes import ManualClock
from tests.test_outbox_replay_gate import ManualAgreement

OLDEST_LOG, PREVIOUS_LOG, OWN_LOG = EdgeLog("copy-1", 1), EdgeLog("copy-1", 2), EdgeLog("copy-1", 3)
FOREIGN_WRITE = Dependency("edge-1", 7, 3)


class World:
    def __init__(self) -> None:
        self.clock = ManualClock()
        self.ledger = ReplicatedLedger()
        self.agreement = ManualAgreement(self.ledger, self.clock)
        self.log_lines: list[str] = []
        self.change_count = 0
        self.version_vector = ReplicatedVersionVector(self.ledger, self.clock, self.log_lines.append)

    def begin(self, *edge_logs: EdgeLog) -> None:
        self.version_vector.begin(self.agreement, OWN_LOG, (*edge_logs, OWN_LOG), self._on_change)

    def _on_change(self) -> None:
        self.change_count += 1

    async def advance(self, duration_us: int = CHANGE_DELAY_US) -> None:
        for _ in range(5):
            await asyncio.sleep(0)
        self.clock.advance(duration_us)
        for _ in range(5):
            await asyncio.sleep(0)

    async def commit(self) -> None:
        self.agreement.apply_entries()
        await self.advance()


def run_in_world(test: Callable[[World], Awaitable[None]]) -> None:
    async def main() -> None:
        world = World()
        await test(world)
        world.version_vector.close()
        await asyncio.sleep(0)

    asyncio.run(asyncio.wait_for(main(), 20))


def test_statuses_in_the_ledger_are_known_while_this_copy_is_not_ready() -> None:
    async def test(world: World) -> None:
        assert world.version_vector.write_status(FOREIGN_WRITE) is WriteStatus.UNKNOWN
        world.agreement.apply_entries(WriteApplied(FOREIGN_WRITE.write_id))
        world.agreement.is_ready = False
        assert world.version_vector.write_status(FOREIGN_WRITE) is WriteStatus.APPLIED

    run_in_world(test)


def test_the_own_log_is_held_while_the_copy_is_ready_and_the_log_not_lost() -> None:
    async def test(world: World) -> None:
        assert not world.version_vector.holds(OWN_LOG)  # `begin` was not called yet
        world.begin()
        assert world.version_vector.holds(OWN_LOG) and not world.version_vector.holds(EdgeLog("edge-1", 7))
        world.agreement.is_ready = False
        assert not world.version_vector.holds(OWN_LOG)
        world.agreement.is_ready = True
        world.agreement.apply_entries(EdgeLost("copy-1", OWN_LOG.incarnation))
        assert not world.version_vector.holds(OWN_LOG)

    run_in_world(test)


def test_an_earlier_log_is_requested_once_wanted_and_held_once_agreed() -> None:
    async def test(world: World) -> None:
        world.begin(OLDEST_LOG, PREVIOUS_LOG)
        await world.advance(2 * SUBMIT_INTERVAL_US)
        assert world.agreement.submitted_entries == []  # no earlier log is wanted yet
        assert not world.version_vector.holds(PREVIOUS_LOG)
        await world.advance()
        assert world.agreement.submitted_entries == [
            LogLease(PREVIOUS_LOG, OWN_LOG.incarnation, PREVIOUS_LOG.incarnation, 0)
        ]
        assert not world.version_vector.holds(PREVIOUS_LOG)
        change_count = world.change_count
        await world.commit()
        assert (
            world.version_vector.holds(PREVIOUS_LOG)
            and world.change_count > change_count
            and world.log_lines == []
        )

    run_in_world(test)


def test_a_log_is_requested_from_the_known_incarnation_that_holds_it() -> None:
    """An incarnation between the oldest and the present one took the lease on the oldest log, and ended."""

    async def test(world: World) -> None:
        world.agreement.apply_entries(
            LogLease(OLDEST_LOG, PREVIOUS_LOG.incarnation, OLDEST_LOG.incarnation, 0)
        )
        world.begin(OLDEST_LOG, PREVIOUS_LOG)
        world.version_vector.holds(OLDEST_LOG)
        await world.advance()
        assert world.agreement.submitted_entries == [
            LogLease(OLDEST_LOG, OWN_LOG.incarnation, PREVIOUS_LOG.incarnation, 1)
        ]

    run_in_world(test)


def test_a_log_held_by_an_unknown_incarnation_is_fenced_until_an_operator_forces_the_lease() -> None:
    async def test(world: World) -> None:
        world.agreement.apply_entries(LogLease(OLDEST_LOG, 99, OLDEST_LOG.incarnation, 0))
        world.begin(OLDEST_LOG)
        world.version_vector.holds(OLDEST_LOG)
        await world.advance(3 * SUBMIT_INTERVAL_US)
        assert world.agreement.submitted_entries == [] and not world.version_vector.holds(OLDEST_LOG)
        assert len(world.log_lines) == 1 and "fenced" in world.log_lines[0]
        with pytest.raises(KeyError):
            world.version_vector.force_lease(EdgeLog("copy-1", 50))
        assert world.version_vector.force_lease(OLDEST_LOG)
        await world.advance()
        assert world.agreement.submitted_entries == [LogLease(OLDEST_LOG, OWN_LOG.incarnation, 99, 1, True)]
        await world.commit()
        assert world.version_vector.holds(OLDEST_LOG) and not world.version_vector.force_lease(OLDEST_LOG)
        world.agreement.apply_entries(LogLease(OLDEST_LOG, 98, OWN_LOG.incarnation, 2, True))
        await world.advance(2 * SUBMIT_INTERVAL_US)
        assert (
            world.agreement.submitted_entries == [] and len(world.log_lines) == 2
        )  # an operator's demand applies once

    run_in_world(test)


def test_the_own_log_is_fenced_with_one_log_line_when_a_copy_of_the_disk_takes_the_lease() -> None:
    async def test(world: World) -> None:
        world.begin()
        world.agreement.apply_entries(LogLease(OWN_LOG, 99, OWN_LOG.incarnation, 0))
        await world.advance(3 * SUBMIT_INTERVAL_US)
        assert (
            not world.version_vector.holds(OWN_LOG)
            and len(world.log_lines) == 1
            and "fenced" in world.log_lines[0]
        )
        assert world.version_vector.force_lease(OWN_LOG)
        await world.advance()
        await world.commit()
        assert world.version_vector.holds(OWN_LOG)

    run_in_world(test)


def test_statuses_of_own_writes_are_published_until_the_ledger_shows_them() -> None:
    async def test(world: World) -> None:
        write_ids = [WriteId(*OWN_LOG, number) for number in (1, 2, 3)]
        # Before `begin`, as when the outbox is restored.
        world.version_vector.publish(write_ids[0], WriteStatus.PARKED)
        world.begin()
        assert world.agreement.submitted_entries == [StatusRecord(write_ids[0], WriteStatus.PARKED, 3)]
        world.version_vector.publish(write_ids[1], WriteStatus.APPLIED)
        world.agreement.is_ready = False
        await world.advance(2 * SUBMIT_INTERVAL_US)
        assert len(world.agreement.submitted_entries) == 1
        world.agreement.is_ready = True
        updates = {
            StatusRecord(write_ids[0], WriteStatus.PARKED, 3),
            StatusRecord(write_ids[1], WriteStatus.APPLIED, 3),
        }
        await world.advance(SUBMIT_INTERVAL_US)
        assert set(world.agreement.submitted_entries) == updates
        # The entries are not agreed, and are submitted again.
        for _ in range(2 * AGREE_TIMEOUT_US // CHANGE_DELAY_US):
            await world.advance()
        assert set(world.agreement.submitted_entries) == updates and world.agreement.submission_count > 3
        await world.commit()
        await world.advance(SUBMIT_INTERVAL_US)
        assert (
            world.version_vector.write_status(Dependency(*write_ids[1])) is WriteStatus.APPLIED
            and world.version_vector.unpublished == {}
        )
        world.version_vector.publish(write_ids[0], WriteStatus.UNKNOWN)
        await world.advance(SUBMIT_INTERVAL_US)
        await world.commit()
        assert world.version_vector.write_status(Dependency(*write_ids[0])) is WriteStatus.UNKNOWN

    run_in_world(test)


def test_the_low_watermark_waits_until_abandoned_writes_are_published() -> None:
    async def test(world: World) -> None:
        world.begin()
        abandoned = WriteId(*OWN_LOG, 1)
        assert world.version_vector.publish(
            abandoned, WriteStatus.ABANDONED
        ) and world.version_vector.publish_low_watermark(OWN_LOG, 2)
        await world.advance(SUBMIT_INTERVAL_US)
        assert world.agreement.submitted_entries == [StatusRecord(abandoned, WriteStatus.ABANDONED, 3)]
        await world.commit()
        await world.advance(SUBMIT_INTERVAL_US)
        assert world.agreement.submitted_entries == [
            StatusRecord(WriteId(*OWN_LOG, 2), WriteStatus.APPLIED, 3, True)
        ]
        await world.commit()
        assert world.version_vector.write_status(Dependency(*abandoned)) is WriteStatus.ABANDONED
        assert world.version_vector.write_status(Dependency(*OWN_LOG, 2)) is WriteStatus.APPLIED

    run_in_world(test)


def test_unpublished_statuses_and_pending_entries_are_limited() -> None:
    async def test(world: World) -> None:
        world.begin()
        for number in range(1, MAX_UNPUBLISHED + 1):
            assert world.version_vector.publish(WriteId(*OWN_LOG, number), WriteStatus.PARKED)
        assert not world.version_vector.publish(WriteId(*OWN_LOG, MAX_UNPUBLISHED + 1), WriteStatus.PARKED)
        # A status that already waits can be replaced.
        assert world.version_vector.publish(WriteId(*OWN_LOG, 1), WriteStatus.APPLIED)
        await world.advance(SUBMIT_INTERVAL_US)
        assert len(world.agreement.submitted_entries) == MAX_PENDING
        await world.commit()
        assert len(world.version_vector.unpublished) == MAX_UNPUBLISHED - MAX_PENDING
        assert world.version_vector.publish(WriteId(*OWN_LOG, MAX_UNPUBLISHED + 1), WriteStatus.PARKED)

    run_in_world(test)


def test_nothing_is_published_for_a_fenced_log() -> None:
    async def test(world: World) -> None:
        world.agreement.apply_entries(EdgeLost("copy-1", OLDEST_LOG.incarnation))
        world.begin(OLDEST_LOG)
        world.version_vector.publish(WriteId(*OLDEST_LOG, 1), WriteStatus.APPLIED)
        await world.advance(SUBMIT_INTERVAL_US)
        assert world.agreement.submitted_entries == [] and world.version_vector.unpublished == {}

    run_in_world(test)
