"""The outbox's driver, without processes."""

from __future__ import annotations

import asyncio
from pathlib import Path

from laurelstep.outbox.driver import OutboxDriver
from laurelstep.outbox.messages import WriteOffer
from laurelstep.outbox.options import OutboxSettings, QueuedClass
from laurelstep.outbox.records import ParkingReason, StateChange, WriteEvent, WriteState

SECOND = 1_000_000


def test_a_send_whose_record_took_longer_than_its_window_is_not_sent(tmp_path: Path) -> None:
    async def main() -> None:
        settings = OutboxSettings(
            store_path=str(tmp_path / "store"),
            edge="ash",
            classes={"put": QueuedClass("keyed", 60 * SECOND)},
            tenant_share=1.0,
            max_deadline_us=2 * SECOND,
        )
        driver = await OutboxDriver.open(settings, {"put": 1}, {}, lambda line: None)
        now = driver.now()
        driver.now = lambda: now  # type: ignore[method-assign]
        ticket = driver.outbox.offer(WriteOffer("put", b"POST /put", (), 0, b"", b"key"), now, 1)
        assert ticket.write is not None
        await driver.store.put_write(ticket.write, b"")
        driver.outbox.on_stored(ticket.write_id, now)
        (change,) = driver.outbox.due(now)
        assert change.event is WriteEvent.SEND
        move = driver.store.put_state

        async def slow(moved: StateChange) -> None:
            nonlocal now
            await move(moved)
            now += 61 * SECOND

        driver.store.put_state = slow  # type: ignore[method-assign]
        await driver.take_step(change)  # there is no engine: to send would fail
        for change in driver.outbox.due(now):
            await driver.take_step(change)
        found = driver.outbox.receipt(ticket.write_id)
        assert (found.state, found.reason) == (WriteState.PARKED, ParkingReason.WINDOW)
        await driver.close()

    asyncio.run(main())
