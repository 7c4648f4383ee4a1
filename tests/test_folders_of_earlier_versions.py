"""Folders that earlier versions wrote are opened, and what they owe is done. See tests/fixtures/README.md."""

from __future__ import annotations

import json
import shutil
import time
from dataclasses import replace
from pathlib import Path
from typing import Any, Final

import pytest
from laurelstep.outbox import replay_driver
from laurelstep.outbox.records import WriteState
from laurelstep.outbox.write_ids import parse_write_id

from tests.consensus_tiers import Tier
from tests.journals import AGAIN, MAY_HAVE_RUN, ORDER, SERVED, client_with_journal, pay, said
from tests.sockets import Endpoint, run
from tests.test_outbox_bodies import edge

FIXTURES: Final = Path(__file__).parent / "fixtures"
VERSIONS: Final = ("9af0195", "136a9fe")
HOUR_US: Final = 3_600_000_000


def told(name: str) -> Any:
    return json.loads((FIXTURES / f"{name}.json").read_text())


def copy_of(name: str, to: Path) -> Path:
    return Path(shutil.copytree(FIXTURES / name, to / name))


@pytest.mark.parametrize("version", VERSIONS)
def test_an_outbox_of_an_earlier_version_is_opened_and_what_it_kept_goes_upstream_once(
    version: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    before = told(f"outbox-{version}")
    monkeypatch.setattr(time, "time_ns", lambda: (before["wall_us"] + HOUR_US) * 1000)
    monkeypatch.setattr(replay_driver, "REPLAY_INTERVAL_US", 10_000)

    async def main() -> None:
        folder = copy_of(f"outbox-{version}", tmp_path)
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


@pytest.mark.parametrize("version", VERSIONS)
def test_the_consensus_folders_of_an_earlier_version_are_opened_and_agree_on(
    version: str, tmp_path: Path
) -> None:
    before = told(f"consensus-{version}")

    async def main() -> None:
        tier = Tier(3, 3, copy_of(f"consensus-{version}", tmp_path))
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


def test_a_request_journal_of_136a9fe_is_opened_and_answers_from_its_records(tmp_path: Path) -> None:
    before = told("request-journal-136a9fe")
    journal_class = replace(ORDER, retention_ms=before["retention_ms"])

    async def main() -> None:
        folder = copy_of("request-journal-136a9fe", tmp_path)
        async with (
            Endpoint() as endpoint,
            client_with_journal(folder, endpoint, settings=journal_class) as client,
        ):
            answered = await client.send(pay("answered"))
            assert said(answered) == AGAIN
            assert answered.body.decode() == before["answered"]
            assert said(await client.send(pay("unanswered"))) == MAY_HAVE_RUN
            assert said(await client.send(pay("new"))) == SERVED
            assert endpoint.count == 1

    run(main())
