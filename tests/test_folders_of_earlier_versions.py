"""Store folders written by earlier versions can be opened, and their pending work is done.

See tests/fixtures/README.md.
"""

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
from tests.journals import (
    FROM_RECORD,
    MAY_HAVE_RUN,
    ORDER_CLASS,
    SERVED,
    client_with_journal,
    pay_request,
    summary,
)
from tests.sockets import Endpoint, run
from tests.test_outbox_bodies import edge

FIXTURES: Final = Path(__file__).parent / "fixtures"
VERSIONS: Final = ("9af0195", "136a9fe")
HOUR_US: Final = 3_600_000_000


def expectations(name: str) -> Any:
    return json.loads((FIXTURES / f"{name}.json").read_text())


def copy_fixture(name: str, to: Path) -> Path:
    return Path(shutil.copytree(FIXTURES / name, to / name))


@pytest.mark.parametrize("version", VERSIONS)
def test_an_outbox_of_an_earlier_version_opens_and_its_queued_writes_run_once(
    version: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    expected = expectations(f"outbox-{version}")
    monkeypatch.setattr(time, "time_ns", lambda: (expected["wall_us"] + HOUR_US) * 1000)
    monkeypatch.setattr(replay_driver, "REPLAY_INTERVAL_US", 10_000)

    async def main() -> None:
        folder = copy_fixture(f"outbox-{version}", tmp_path)
        async with edge(str(folder), off=False) as process:  # type: ignore[arg-type]
            driver = process.driver
            write_ids = {name: parse_write_id(found["write"]) for name, found in expected["told"].items()}
            for name, found in expected["told"].items():
                (dependency,) = driver.tokens.read(found["receipt"])
                assert dependency.write_id == write_ids[name], "the secret was kept, so receipts stay valid"
            done = await driver.receipt(write_ids["done"])
            assert (done.state, done.status, done.body) == (WriteState.DONE, 200, b"done")
            assert (await driver.receipt(write_ids["parked"])).state is WriteState.PARKED
            assert list(driver.parked) == [write_ids["parked"]]
            await process.until(lambda: driver.outbox.count == 1)  # only the parked write is left
            effects = process.endpoint.effects.by_id
            assert len(process.endpoint.requests) == 2 and set(effects.values()) == {1}
            bodies = sorted((message.body for message in process.endpoint.requests), key=len)
            assert bodies == [b"sum", b"album" * 20_000]
            for name in ("keyed", "unsafe"):
                assert (await driver.receipt(write_ids[name])).state is WriteState.DONE

    run(main())


@pytest.mark.parametrize("version", VERSIONS)
def test_consensus_folders_of_an_earlier_version_open_and_continue_to_agree(
    version: str, tmp_path: Path
) -> None:
    expected = expectations(f"consensus-{version}")

    async def main() -> None:
        tier = Tier(3, 3, copy_fixture(f"consensus-{version}", tmp_path))
        for replica in range(3):
            await tier.start(replica, durable=True)
        await tier.replicate(b"after")
        assert [tier.nodes[replica].incarnation for replica in range(3)] == expected["incarnations"]
        for state_machine in tier.state_machines.values():
            entries = [entry for entry in state_machine.applied if entry]
            assert entries == [*(entry.encode() for entry in expected["entries"]), b"after"]
        await tier.stop()
        assert not tier.log_lines

    run(main())


def test_a_request_journal_of_version_136a9fe_opens_and_answers_from_its_records(tmp_path: Path) -> None:
    expected = expectations("request-journal-136a9fe")
    journal_class = replace(ORDER_CLASS, retention_ms=expected["retention_ms"])

    async def main() -> None:
        folder = copy_fixture("request-journal-136a9fe", tmp_path)
        async with (
            Endpoint() as endpoint,
            client_with_journal(folder, endpoint, settings=journal_class) as client,
        ):
            answered = await client.send(pay_request("answered"))
            assert summary(answered) == FROM_RECORD
            assert answered.body.decode() == expected["answered"]
            assert summary(await client.send(pay_request("unanswered"))) == MAY_HAVE_RUN
            assert summary(await client.send(pay_request("new"))) == SERVED
            assert endpoint.request_count == 1

    run(main())
