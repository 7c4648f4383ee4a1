"""The outbox's driver, without processes."""

from __future__ import annotations

import asyncio
from pathlib import Path

from laurelstep.outbox.driver import OutboxDriver
from laurelstep.outbox.journal import Event, Moved, Reason, State
from laurelstep.outbox.options import KeptClass, OutboxSettings
from laurelstep.outbox.terms import Offer

SECOND = 1_000_000


def test_a_send_whose_record_took_longer_than_its_window_is_not_sent(tmp_path: Path) -> None:
    async def main() -> None:
        settings = OutboxSettings(
            store_path=str(tmp_path / "store"), edge="ash", classes={"put": KeptClass("keyed", 60 * SECOND)},
            share=1.0, send_us=2 * SECOND,
        )  # fmt: skip
        driver = await OutboxDriver.open(settings, {"put": 1}, {}, lambda line: None)
        now = driver._now()
        driver._now = lambda: now  # type: ignore[method-assign]
        ticket = driver.outbox.offer(Offer("put", b"POST /put", (), 0, b"", b"key"), now, 1)
        assert ticket.write is not None
        await driver.store.keep(ticket.write, b"")
        driver.outbox.stored(ticket.dot, now)
        (change,) = driver.outbox.due(now)
        assert change.event is Event.SEND
        move = driver.store.move

        async def slow(moved: Moved) -> None:
            nonlocal now
            await move(moved)
            now += 61 * SECOND

        driver.store.move = slow  # type: ignore[method-assign]
        await driver._step(change)  # there is no engine: to send would fail
        for change in driver.outbox.due(now):
            await driver._step(change)
        found = driver.outbox.receipt(ticket.dot)
        assert (found.state, found.reason) == (State.PARKED, Reason.WINDOW)
        await driver.close()

    asyncio.run(main())
