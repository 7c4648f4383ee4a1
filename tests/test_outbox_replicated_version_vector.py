"""The version vector of a copy's own outbox: what it reads from the record, claims, and tells."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from laurelstep.outbox.dependencies import Dependency
from laurelstep.outbox.shared.entries import EdgeLost, LogLease, StatusRecord, WriteApplied
from laurelstep.outbox.shared.ledger import ReplicatedLedger
from laurelstep.outbox.shared.replicated_version_vector import (
    AGREE_US,
    OUT_MOST,
    SAID_MOST,
    SOON_US,
    TURN_US,
    ReplicatedVersionVector,
)
from laurelstep.outbox.version_vector import WriteStatus
from laurelstep.outbox.write_ids import EdgeLog, WriteId

from tests.fakes import ManualClock
from tests.test_outbox_replay_gate import Agreed

OLD, FORMER, MINE = EdgeLog("copy-1", 1), EdgeLog("copy-1", 2), EdgeLog("copy-1", 3)
FOREIGN = Dependency("edge-1", 7, 3)


class World:
    def __init__(self) -> None:
        self.clock = ManualClock()
        self.record = ReplicatedLedger()
        self.sharer = Agreed(self.record, self.clock)
        self.lines: list[str] = []
        self.heard = 0
        self.version_vector = ReplicatedVersionVector(self.record, self.clock, self.lines.append)

    def begin(self, *lines: EdgeLog) -> None:
        self.version_vector.begin(self.sharer, MINE, (*lines, MINE), self._hear)

    def _hear(self) -> None:
        self.heard += 1

    async def turn(self, span_us: int = SOON_US) -> None:
        for _ in range(5):
            await asyncio.sleep(0)
        self.clock.advance(span_us)
        for _ in range(5):
            await asyncio.sleep(0)

    async def land(self) -> None:
        self.sharer.land()
        await self.turn()


def play(test: Callable[[World], Awaitable[None]]) -> None:
    async def main() -> None:
        world = World()
        await test(world)
        world.version_vector.close()
        await asyncio.sleep(0)

    asyncio.run(asyncio.wait_for(main(), 20))


def test_what_the_record_says_is_known_also_while_this_copy_is_behind() -> None:
    async def test(world: World) -> None:
        assert world.version_vector.write_status(FOREIGN) is WriteStatus.UNKNOWN
        world.sharer.land(WriteApplied(FOREIGN.write_id))
        world.sharer.is_ready = False
        assert world.version_vector.write_status(FOREIGN) is WriteStatus.APPLIED

    play(test)


def test_its_own_line_is_held_while_it_is_in_touch_and_not_lost() -> None:
    async def test(world: World) -> None:
        assert not world.version_vector.holds(MINE)  # not begun
        world.begin()
        assert world.version_vector.holds(MINE) and not world.version_vector.holds(EdgeLog("edge-1", 7))
        world.sharer.is_ready = False
        assert not world.version_vector.holds(MINE)
        world.sharer.is_ready = True
        world.sharer.land(EdgeLost("copy-1", MINE.incarnation))
        assert not world.version_vector.holds(MINE)

    play(test)


def test_a_former_line_is_claimed_once_it_is_wanted_and_held_once_that_is_agreed() -> None:
    async def test(world: World) -> None:
        world.begin(OLD, FORMER)
        await world.turn(2 * TURN_US)
        assert world.sharer.asked == []  # a line of which nothing is left needs no claim
        assert not world.version_vector.holds(FORMER)
        await world.turn()
        assert world.sharer.asked == [LogLease(FORMER, MINE.incarnation, FORMER.incarnation, 0)]
        assert not world.version_vector.holds(FORMER)
        heard = world.heard
        await world.land()
        assert world.version_vector.holds(FORMER) and world.heard > heard and world.lines == []

    play(test)


def test_a_line_whose_holder_this_disk_knows_is_claimed_from_it() -> None:
    """The life between claimed it and ended."""

    async def test(world: World) -> None:
        world.sharer.land(LogLease(OLD, FORMER.incarnation, OLD.incarnation, 0))
        world.begin(OLD, FORMER)
        world.version_vector.holds(OLD)
        await world.turn()
        assert world.sharer.asked == [LogLease(OLD, MINE.incarnation, FORMER.incarnation, 1)]

    play(test)


def test_a_line_that_a_life_holds_which_this_disk_does_not_know_is_fenced_until_an_operator_claims_it() -> (
    None
):
    async def test(world: World) -> None:
        world.sharer.land(LogLease(OLD, 99, OLD.incarnation, 0))
        world.begin(OLD)
        world.version_vector.holds(OLD)
        await world.turn(3 * TURN_US)
        assert world.sharer.asked == [] and not world.version_vector.holds(OLD)
        assert len(world.lines) == 1 and "fenced" in world.lines[0]
        with pytest.raises(KeyError):
            world.version_vector.force(EdgeLog("copy-1", 50))
        assert world.version_vector.force(OLD)
        await world.turn()
        assert world.sharer.asked == [LogLease(OLD, MINE.incarnation, 99, 1, True)]
        await world.land()
        assert world.version_vector.holds(OLD) and not world.version_vector.force(OLD)
        world.sharer.land(LogLease(OLD, 98, MINE.incarnation, 2, True))
        await world.turn(2 * TURN_US)
        assert world.sharer.asked == [] and len(world.lines) == 2  # its force counted once

    play(test)


def test_a_line_of_this_very_life_that_a_copy_of_its_disk_claims_is_fenced_with_one_line() -> None:
    async def test(world: World) -> None:
        world.begin()
        world.sharer.land(LogLease(MINE, 99, MINE.incarnation, 0))
        await world.turn(3 * TURN_US)
        assert not world.version_vector.holds(MINE) and len(world.lines) == 1 and "fenced" in world.lines[0]
        assert world.version_vector.force(MINE)
        await world.turn()
        await world.land()
        assert world.version_vector.holds(MINE)

    play(test)


def test_what_becomes_of_own_writes_is_told_until_the_record_says_so() -> None:
    async def test(world: World) -> None:
        write_ids = [WriteId(*MINE, number) for number in (1, 2, 3)]
        world.version_vector.publish(write_ids[0], WriteStatus.PARKED)  # as it is restored
        world.begin()
        assert world.sharer.asked == [StatusRecord(write_ids[0], WriteStatus.PARKED, 3)]
        world.version_vector.publish(write_ids[1], WriteStatus.APPLIED)
        world.sharer.is_ready = False
        await world.turn(2 * TURN_US)
        assert len(world.sharer.asked) == 1
        world.sharer.is_ready = True
        both = {
            StatusRecord(write_ids[0], WriteStatus.PARKED, 3),
            StatusRecord(write_ids[1], WriteStatus.APPLIED, 3),
        }
        await world.turn(TURN_US)
        assert set(world.sharer.asked) == both
        for _ in range(2 * AGREE_US // SOON_US):  # it is not agreed, and told again
            await world.turn()
        assert set(world.sharer.asked) == both and world.sharer.calls > 3
        await world.land()
        await world.turn(TURN_US)
        assert (
            world.version_vector.write_status(Dependency(*write_ids[1])) is WriteStatus.APPLIED
            and world.version_vector.said == {}
        )
        world.version_vector.publish(write_ids[0], WriteStatus.UNKNOWN)
        await world.turn(TURN_US)
        await world.land()
        assert world.version_vector.write_status(Dependency(*write_ids[0])) is WriteStatus.UNKNOWN

    play(test)


def test_all_up_to_a_number_waits_for_those_given_up() -> None:
    async def test(world: World) -> None:
        world.begin()
        gone = WriteId(*MINE, 1)
        assert world.version_vector.publish(
            gone, WriteStatus.ABANDONED
        ) and world.version_vector.publish_low_watermark(MINE, 2)
        await world.turn(TURN_US)
        assert world.sharer.asked == [StatusRecord(gone, WriteStatus.ABANDONED, 3)]
        await world.land()
        await world.turn(TURN_US)
        assert world.sharer.asked == [StatusRecord(WriteId(*MINE, 2), WriteStatus.APPLIED, 3, True)]
        await world.land()
        assert world.version_vector.write_status(Dependency(*gone)) is WriteStatus.ABANDONED
        assert world.version_vector.write_status(Dependency(*MINE, 2)) is WriteStatus.APPLIED

    play(test)


def test_what_is_to_be_told_has_bounds() -> None:
    async def test(world: World) -> None:
        world.begin()
        for number in range(1, SAID_MOST + 1):
            assert world.version_vector.publish(WriteId(*MINE, number), WriteStatus.PARKED)
        assert not world.version_vector.publish(WriteId(*MINE, SAID_MOST + 1), WriteStatus.PARKED)
        assert world.version_vector.publish(
            WriteId(*MINE, 1), WriteStatus.APPLIED
        )  # what is in it already may change
        await world.turn(TURN_US)
        assert len(world.sharer.asked) == OUT_MOST
        await world.land()
        assert len(world.version_vector.said) == SAID_MOST - OUT_MOST
        assert world.version_vector.publish(WriteId(*MINE, SAID_MOST + 1), WriteStatus.PARKED)

    play(test)


def test_of_a_fenced_line_nothing_is_told() -> None:
    async def test(world: World) -> None:
        world.sharer.land(EdgeLost("copy-1", OLD.incarnation))
        world.begin(OLD)
        world.version_vector.publish(WriteId(*OLD, 1), WriteStatus.APPLIED)
        await world.turn(TURN_US)
        assert world.sharer.asked == [] and world.version_vector.said == {}

    play(test)
