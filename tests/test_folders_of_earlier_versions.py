"""Folders that earlier versions wrote are opened, and what they owe is done. See tests/fixtures/README.md."""

from __future__ import annotations

import json
import shutil
import time
from pathlib import Path
from typing import Any, Final

import pytest
from laurelstep.outbox import replay_driver
from laurelstep.outbox.records import WriteState
from laurelstep.outbox.write_ids import parse_write_id

from tests.consensus_tiers import Tier
from tests.sockets import run
from tests.test_outbox_bodies import edge

FIXTURES: Final = Path(__file__).parent / "fixtures"
HOUR_US: Final = 3_600_000_000


def told(name: str) -> Any:
    return json.loads((FIXTURES / f"{name}.json").read_text())


def copy_of(name: str, to: Path) -> Path:
    return Path(shutil.copytree(FIXTURES / name, to / name))


def test_an_outbox_of_9af0195_is_opened_and_what_it_kept_goes_upstream_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    before = told("outbox-9af0195")
    monkeypatch.setattr(time, "time_ns", lambda: (before["wall_us"] + HOUR_US) * 1000)
    monkeypatch.setattr(replay_driver, "TURN_US", 10_000)

    async def main() -> None:
        folder = copy_of("outbox-9af0195", tmp_path)
        async with edge(str(folder), off=False) as one:  # type: ignore[arg-type]
            driver = one.driver
            write_ids = {name: parse_write_id(found["write"]) for name, found in before["told"].items()}
            for name, found in before["told"].items():
                (dependency,) = driver.tokens.read(found["receipt"])
                assert dependency.write_id == write_ids[name], (
                    "the secret is the same, and so are the receipts"
                )
            done = await driver.receipt(write_ids["done"])
            assert (done.state, done.status, done.body) == (WriteState.DONE, 200, b"done")
            assert (await driver.receipt(write_ids["parked"])).state is WriteState.PARKED
            assert list(driver.parked) == [write_ids["parked"]]
            await one.until(lambda: driver.outbox.count == 1)  # the parked one
            effects = one.endpoint.effects.by_id
            assert len(one.endpoint.got) == 2 and set(effects.values()) == {1}
            bodies = sorted((message.body for message in one.endpoint.got), key=len)
            assert bodies == [b"sum", b"album" * 20_000]
            for name in ("keyed", "unsafe"):
                assert (await driver.receipt(write_ids[name])).state is WriteState.DONE

    run(main())


def test_the_consensus_folders_of_9af0195_are_opened_and_agree_on(tmp_path: Path) -> None:
    before = told("consensus-9af0195")

    async def main() -> None:
        tier = Tier(3, 3, copy_of("consensus-9af0195", tmp_path))
        for me in range(3):
            await tier.start(me, durable=True)
        await tier.replicate(b"after")
        assert [tier.nodes[me].incarnation for me in range(3)] == before["incarnations"]
        for record in tier.state_machines.values():
            entries = [one for one in record.applied if one]
            assert entries == [*(one.encode() for one in before["entries"]), b"after"]
        await tier.stop()
        assert not tier.log_lines

    run(main())
