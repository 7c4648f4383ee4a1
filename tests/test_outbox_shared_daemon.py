"""Three copies upstream of edges, as processes: what they agree on outlives each of them, and an unsafe write
of an edge takes effect once, whichever copies its replays come to."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import subprocess
import sys
from collections.abc import AsyncIterator, Coroutine
from pathlib import Path
from typing import Any

import pytest
from laurelstep.outbox.causality_tokens import CausalityTokens
from laurelstep.outbox.dependencies import Dependency
from laurelstep.outbox.shared.message_seal import MessageSeal
from laurelstep.outbox.shared.messages import (
    LeaseRequest,
    LeaseStatus,
    QueryReply,
    ReplayIdentity,
    ReplayQuery,
    StatusUpdate,
)
from laurelstep.outbox.version_vector import WriteStatus
from laurelstep.outbox.write_ids import EdgeLog, WriteId
from laurelstep.testing.messages import Message, read_message
from laurelstep.testing.processes import ProcessTier, wait_until
from laurelstep.testing.processes.program import POLL_INTERVAL_S
from laurelstep.testing.processes.tier_settings import SETTINGS

from tests.sockets import run, start_daemon

SECRET = b"of the edges and of the copies"
SEAL, TOKENS = MessageSeal(SECRET), CausalityTokens(SECRET)
INCARNATION, LATER_INCARNATION = 7, 8
LINE = EdgeLog("edge-1", INCARNATION)
DOT = WriteId("edge-1", INCARNATION, 3)
KEPT = [{"name": "put", "keep": "keyed", "window_s": 86400}, {"name": "pay", "keep": "unsafe"}]
TEST_S = 90.0  # for a test that hangs; nothing is measured by it


def play(test: Coroutine[Any, Any, None]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(TEST_S):
            await test

    run(limited())


class Copies:
    def __init__(self, tier: ProcessTier) -> None:
        self.tier = tier
        self.count = 0

    async def exchange(self, copy: int, words: str, headers: str = "", body: bytes = b"") -> Message:
        reader, writer = await asyncio.open_connection(*self.tier.programs[copy].listen)
        writer.write(f"{words} HTTP/1.1\r\nHost: x\r\n{headers}\r\n".encode() + body)
        try:
            return await read_message(reader)
        finally:
            writer.close()

    async def write(self, copy: int, cls: str = "pay", headers: str = "", query: str = "") -> Message:
        self.count += 1
        key = f"Idempotency-Key: k-{self.count}\r\n" if cls == "put" else ""
        told = f"X-Request-Id: r-{self.count}\r\nX-Class: {cls}\r\nContent-Length: 1\r\n{key}{headers}"
        return await self.exchange(copy, f"POST /{cls}{query}", told, b"x")

    async def replay(
        self, copy: int, write_id: WriteId = DOT, cls: str = "pay", incarnation: int = INCARNATION
    ) -> tuple[int, str]:
        """Again while it is refused as not run, as an edge would: another copy may come to lead."""
        while (found := await self.replay_once(copy, write_id, cls, incarnation)) == (503, ""):
            await asyncio.sleep(POLL_INTERVAL_S)
        return found

    async def replay_once(
        self, copy: int, write_id: WriteId = DOT, cls: str = "pay", incarnation: int = INCARNATION
    ) -> tuple[int, str]:
        sealed = SEAL.replayed(ReplayIdentity(write_id, incarnation, cls == "pay"))
        found = await self.write(copy, cls, f"X-Kept-Write: {sealed}\r\n")
        return found.status, found.headers.get("x-kept-fate", "")

    async def ask(self, copy: int, ask: ReplayQuery) -> QueryReply | None:
        """None if it is refused."""
        sealed = SEAL.ask(ask)
        found = await self.exchange(copy, f"GET /outbox/shared/{sealed}")
        if found.status == 503:
            assert float(found.headers["retry-after"]) > 0 and found.body == b""
            return None
        assert found.status == 200, (found.status, found.body)
        return SEAL.open_answered(found.body.decode(), sealed)

    async def until_told(self, copy: int, ask: ReplayQuery, answer: QueryReply) -> None:
        async def look() -> bool:
            return await self.ask(copy, ask) == answer

        await wait_until(look, f"{ask}: {answer} at {copy}")

    async def until_fate(self, copy: int, dependency: Dependency, write_status: WriteStatus) -> None:
        await self.until_told(
            copy, ReplayQuery(dependencies=(dependency,)), QueryReply(write_statuses=(write_status,))
        )

    async def until_ready(self, copies: tuple[int, ...] = (0, 1, 2), ready: bool = True) -> None:
        async def look() -> bool:
            told = [await self.status(copy) for copy in copies]
            return all(one["shared"]["ready"] is ready for one in told)

        await wait_until(look, f"{copies} share: {ready}")

    async def status(self, copy: int) -> Any:
        return json.loads((await self.tier.programs[copy].query("GET", "/api/outbox")).body)

    async def call(self, copy: int, words: str) -> tuple[int, Any]:
        found = await self.tier.programs[copy].query("POST", f"/api/outbox/{words}")
        return found.status, json.loads(found.body)

    @property
    def ran(self) -> int:
        return sum(sum(one.by_id.values()) for one in self.tier.effects)


@contextlib.asynccontextmanager
async def copies(folder: Path, off: int | None = None, seats: int = 3) -> AsyncIterator[Copies]:
    """`off`: this one shares nothing."""
    secret = folder / "secret"
    secret.write_bytes(SECRET + b"\n")
    outbox = {
        "store_path": "{folder}/outbox", "edge": "copy-{process}", "secret_file": str(secret),
        "shared": True, "classes": KEPT, "cut_ms": 60_000,
    }  # fmt: skip
    tables: dict[str, dict[str, Any]] = {
        "accord": {"store_path": "{folder}/accord", "heartbeat_ms": 100, "election_ms": 400, "seats": seats},
        "outbox": outbox,
    }
    tables_of = {} if off is None else {off: {"outbox": {**outbox, "shared": False}}}
    tier = ProcessTier(3, 1, tables, process_tables=tables_of, folder=folder / "tier")
    (folder / "tier").mkdir()
    async with tier:
        found = Copies(tier)
        await found.until_ready(tuple(one for one in range(3) if one != off))
        yield found


def test_a_write_is_in_at_all_copies_and_after_the_end_of_them_all(tmp_path: Path) -> None:
    async def main() -> None:
        async with copies(tmp_path) as tier:
            assert await tier.replay(0) == (200, "")
            for copy in range(3):
                await tier.until_fate(copy, Dependency(*DOT), WriteStatus.APPLIED)
                assert await tier.replay(copy) == (200, "in")
            for copy in range(3):
                await tier.tier.kill(copy)
            for copy in range(3):
                await tier.tier.start(copy)
            await tier.until_ready()
            for copy in range(3):
                assert await tier.replay(copy) == (200, "in")
            assert tier.ran == 1

    play(main())


def test_an_unsafe_write_whose_copy_was_killed_is_not_sent_by_another(tmp_path: Path) -> None:
    async def main() -> None:
        async with copies(tmp_path) as tier:
            tier.tier.hold_answers(0)
            first = asyncio.create_task(tier.replay(0))

            async def has_run() -> bool:
                return tier.ran == 1

            await wait_until(has_run, "the first try took effect")
            await tier.tier.kill(0)
            with contextlib.suppress(asyncio.IncompleteReadError, OSError):
                assert await first is None
            tier.tier.release_answers(0)
            await tier.until_ready((1, 2))
            for copy in (1, 2):
                assert await tier.replay(copy) == (502, "begun")
            await tier.tier.start(0)
            await tier.until_ready()
            assert await tier.replay(0) == (502, "begun")
            assert tier.ran == 1
            # An operator looked, and says so at the edge: then it runs, once.
            never_ran = StatusUpdate(DOT, WriteStatus.UNKNOWN, INCARNATION, withdraw_intent=True, parking=1)
            await tier.until_told(1, ReplayQuery(status_updates=(never_ran,)), QueryReply(agreements=(True,)))
            assert await tier.replay(1) == (200, "") and await tier.replay(1) == (200, "in")
            assert tier.ran == 2

    play(main())


def test_a_copy_that_is_cut_off_grants_and_tells_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        async with copies(tmp_path) as tier:
            tier.tier.partition({0}, {1, 2})
            await tier.until_ready((0,), ready=False)
            assert await tier.replay_once(0) == (503, "")
            assert await tier.ask(0, ReplayQuery(dependencies=(Dependency(*DOT),))) is None
            await tier.until_ready((1, 2))
            assert await tier.replay(1) == (200, "")
            tier.tier.heal_partition()
            await tier.until_ready()
            assert await tier.replay(0) == (200, "in") and tier.ran == 1

    play(main())


def test_of_two_copies_of_a_disk_the_one_that_claims_first_replays(tmp_path: Path) -> None:
    async def main() -> None:
        async with copies(tmp_path) as tier:
            mine, others = (
                LeaseRequest(LINE, LATER_INCARNATION, (INCARNATION,)),
                LeaseRequest(LINE, 9, (INCARNATION,)),
            )
            await tier.until_told(
                0, ReplayQuery(lease_requests=(mine,)), QueryReply(lease_statuses=(LeaseStatus.HELD,))
            )
            await tier.until_told(
                1, ReplayQuery(lease_requests=(others,)), QueryReply(lease_statuses=(LeaseStatus.FENCED,))
            )
            assert await tier.replay(1, incarnation=9) == (503, "fenced")
            assert await tier.replay(1, incarnation=LATER_INCARNATION) == (200, "") and tier.ran == 1
            forced = LeaseRequest(LINE, 9, (INCARNATION,), is_forced=True)
            await tier.until_told(
                2, ReplayQuery(lease_requests=(forced,)), QueryReply(lease_statuses=(LeaseStatus.HELD,))
            )
            assert await tier.replay(2, WriteId("edge-1", INCARNATION, 4), incarnation=9) == (200, "")

    play(main())


def test_an_edge_that_an_operator_declares_lost_is_refused_everywhere(tmp_path: Path) -> None:
    async def main() -> None:
        async with copies(tmp_path) as tier:
            assert await tier.replay(0) == (200, "")
            await tier.until_fate(2, Dependency(*DOT), WriteStatus.APPLIED)
            assert (await tier.call(2, "lost?edge=edge-1"))[0] == 202
            other = WriteId("edge-1", INCARNATION, 4)
            for copy in range(3):
                await tier.until_fate(copy, Dependency(*other), WriteStatus.ABANDONED)
                assert await tier.replay(copy, other) == (503, "fenced")
            assert (await tier.call(2, "lost?edge=edge-1"))[0] == 200
            assert await tier.replay(1) == (200, "in")  # as before: that is final
            assert (await tier.status(1))["shared"]["lost_edges"] == 1
            for words, status in (
                ("lost?edge=", 400), ("lost?edge=Edge", 400), ("lost?incarnation=7", 400),
                ("lost?edge=a&incarnation=0000000000000000", 400), ("lost?edge=a&edge=b", 400),
                ("claim?line=copy-1", 400), ("claim?line=copy-1/0000000000000007", 404),
            ):  # fmt: skip
                assert (await tier.call(1, words))[0] == status, words
            incarnation = WriteId("edge-2", INCARNATION, 1)
            assert (await tier.call(1, f"lost?edge=edge-2&incarnation={INCARNATION:016x}"))[0] == 202
            await tier.until_fate(0, Dependency(*incarnation), WriteStatus.ABANDONED)
            assert await tier.replay(
                0, WriteId("edge-2", LATER_INCARNATION, 1), incarnation=LATER_INCARNATION
            ) == (200, "")

    play(main())


def test_a_customer_that_comes_straight_upstream_waits_for_what_its_token_names(tmp_path: Path) -> None:
    """Kept by the copy that it came to, sent once what it follows is in; and others know of it by then."""

    async def main() -> None:
        async with copies(tmp_path) as tier:
            token = TOKENS.receipt(DOT)
            kept = await tier.write(2, "put", f"X-Causal-Token: {token}\r\n")
            assert kept.status == 202 and tier.ran == 0
            assert await tier.replay(0) == (200, "")
            assert (await tier.write(0, "put", f"X-Causal-Token: {token}\r\n")).status == 200

            async def is_done() -> bool:
                found = await tier.exchange(2, f"GET {kept.headers['location']}")
                return bool(json.loads(found.body)["state"] == "done")

            await wait_until(is_done, "the kept one is done")
            own = kept.headers["x-causal-token"]
            (dependency,) = TOKENS.read(own)
            await tier.until_fate(1, dependency, WriteStatus.APPLIED)
            assert (await tier.write(1, "put", f"X-Causal-Token: {own}\r\n")).status == 200
            assert tier.ran == 4

    play(main())


def test_a_copy_that_comes_again_sends_and_tells_what_it_had_kept(tmp_path: Path) -> None:
    """Its former life's line is claimed for that."""

    async def main() -> None:
        async with copies(tmp_path) as tier:
            kept = await tier.write(2, "put", f"X-Causal-Token: {TOKENS.receipt(DOT)}\r\n")
            assert kept.status == 202
            await tier.tier.kill(2)
            assert await tier.replay(0) == (200, "")
            await tier.tier.start(2)
            (dependency,) = TOKENS.read(kept.headers["x-causal-token"])
            await tier.until_fate(1, dependency, WriteStatus.APPLIED)
            assert tier.ran == 2 and (await tier.status(2))["kept"] == 0

    play(main())


def test_a_copy_that_shares_nothing_itself_passes_on_what_others_agree(tmp_path: Path) -> None:
    """It leads, as the one seat there is."""

    async def main() -> None:
        async with copies(tmp_path, off=0, seats=1) as tier:
            assert await tier.replay(1) == (200, "")
            await tier.until_fate(2, Dependency(*DOT), WriteStatus.APPLIED)
            assert await tier.replay(2) == (200, "in") and tier.ran == 1
            found = await tier.exchange(0, f"GET /outbox/shared/{SEAL.ask(ReplayQuery())}")
            assert found.status == 400 and (await tier.call(0, "lost?edge=edge-1"))[0] == 400
            # A start of all from what it has kept: it holds what the others agreed.
            for copy in range(3):
                await tier.tier.kill(copy)
            for copy in range(3):
                await tier.tier.start(copy)
            await tier.until_ready((1, 2))
            assert await tier.replay(1) == (200, "in")

    play(main())


def test_asking_takes_no_body_and_get_alone(tmp_path: Path) -> None:
    async def main() -> None:
        async with copies(tmp_path) as tier:
            path = f"/outbox/shared/{SEAL.ask(ReplayQuery())}"
            assert (await tier.exchange(0, f"GET {path}")).status == 200
            assert (await tier.exchange(0, f"POST {path}", "Content-Length: 0\r\n")).status == 405
            assert (await tier.exchange(0, f"GET {path}", "Content-Length: 1\r\n", b"x")).status == 400
            assert (await tier.exchange(0, f"GET {path}x")).status == 400
            assert (await tier.write(0, "pay", "X-Kept-Write: x\r\n")).status == 400
            twice = f"X-Kept-Write: {SEAL.replayed(ReplayIdentity(DOT, INCARNATION, True))}\r\n" * 2
            assert (await tier.write(0, "pay", twice)).status == 400
            assert tier.ran == 0

    play(main())


def test_it_is_refused_where_the_platform_names_no_peers(tmp_path: Path) -> None:
    async def main() -> None:
        (tmp_path / "secret").write_bytes(SECRET)
        config = {
            "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1", "limits": {"sockets": 1024},
            "settings": {
                "classes": SETTINGS["classes"], "ceilings": {"max-attempts": 3}, "zones": ["here"],
                "discovery": "push",
            },
        }  # fmt: skip
        (tmp_path / "config.json").write_text(json.dumps(config))
        (tmp_path / "operator.toml").write_text(
            f'[accord]\nstore_path = "{tmp_path}/accord"\n[outbox]\nstore_path = "{tmp_path}/outbox"\n'
            f'edge = "copy"\nsecret_file = "{tmp_path}/secret"\nshared = true\n'
            '[[outbox.classes]]\nname = "pay"\nkeep = "unsafe"\n'
        )
        told = {"LB_CONFIG": str(tmp_path / "config.json"), "LB_OPERATOR": str(tmp_path / "operator.toml")}
        process = await start_daemon({**os.environ, **told})
        _, log = await process.communicate()
        assert process.returncode == 2 and log.count(b"\n") == 1, log
        assert b"peers, peer_listen: expected them where outbox.shared is on" in log

    run(main())


@pytest.mark.parametrize("table", ["", '[outbox]\nstore_path = "{folder}"\nedge = "a"\n'])
def test_nothing_of_it_is_imported_where_it_is_off(tmp_path: Path, table: str) -> None:
    """Neither by a plain daemon, nor by one with an outbox alone."""
    words = (
        "import sys, laurelstep.__main__, laurelstep.daemon, laurelstep.settings.operator\n"
        f"{'import laurelstep.outbox.driver, laurelstep.outbox.api' if table else ''}\n"
        "print(*[name for name in sys.modules if 'outbox.shared' in name])"
    )
    told = subprocess.run([sys.executable, "-c", words], check=True, capture_output=True, text=True).stdout
    assert told.split() == []
