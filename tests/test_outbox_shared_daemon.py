"""Three copies upstream of edges, as processes: the agreed ledger survives the loss of any copy, and an
unsafe write of an edge takes effect once, whichever copies receive its replays.
"""

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
EDGE_LOG = EdgeLog("edge-1", INCARNATION)
WRITE_ID = WriteId("edge-1", INCARNATION, 3)
QUEUED_CLASSES = [{"name": "put", "keep": "keyed", "window_s": 86400}, {"name": "pay", "keep": "unsafe"}]
TEST_TIMEOUT_S = 90.0  # ends a test that hangs


def run_limited(test: Coroutine[Any, Any, None]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await test

    run(limited())


class CopyTier:
    def __init__(self, tier: ProcessTier) -> None:
        self.tier = tier
        self.request_count = 0

    async def exchange(
        self, copy: int, method_and_target: str, headers: str = "", body: bytes = b""
    ) -> Message:
        reader, writer = await asyncio.open_connection(*self.tier.programs[copy].listen)
        writer.write(f"{method_and_target} HTTP/1.1\r\nHost: x\r\n{headers}\r\n".encode() + body)
        try:
            return await read_message(reader)
        finally:
            writer.close()

    async def write(self, copy: int, class_name: str = "pay", headers: str = "", query: str = "") -> Message:
        self.request_count += 1
        key = f"Idempotency-Key: k-{self.request_count}\r\n" if class_name == "put" else ""
        request_headers = (
            f"X-Request-Id: r-{self.request_count}\r\nX-Class: {class_name}\r\nContent-Length: 1\r\n"
            f"{key}{headers}"
        )
        return await self.exchange(copy, f"POST /{class_name}{query}", request_headers, b"x")

    async def replay(
        self, copy: int, write_id: WriteId = WRITE_ID, class_name: str = "pay", incarnation: int = INCARNATION
    ) -> tuple[int, str]:
        """Replay until the answer is not a refusal of a write that did not run, as an edge does: another copy
        may become the leader.
        """
        while (answer := await self.replay_once(copy, write_id, class_name, incarnation)) == (503, ""):
            await asyncio.sleep(POLL_INTERVAL_S)
        return answer

    async def replay_once(
        self, copy: int, write_id: WriteId = WRITE_ID, class_name: str = "pay", incarnation: int = INCARNATION
    ) -> tuple[int, str]:
        sealed = SEAL.seal_replay(ReplayIdentity(write_id, incarnation, class_name == "pay"))
        message = await self.write(copy, class_name, f"X-Kept-Write: {sealed}\r\n")
        return message.status, message.headers.get("x-kept-fate", "")

    async def query(self, copy: int, query: ReplayQuery) -> QueryReply | None:
        """The reply to a query; None if the query is refused."""
        sealed = SEAL.seal_query(query)
        message = await self.exchange(copy, f"GET /outbox/shared/{sealed}")
        if message.status == 503:
            assert float(message.headers["retry-after"]) > 0 and message.body == b""
            return None
        assert message.status == 200, (message.status, message.body)
        return SEAL.open_reply(message.body.decode(), sealed)

    async def wait_for_reply(self, copy: int, query: ReplayQuery, answer: QueryReply) -> None:
        async def is_reached() -> bool:
            return await self.query(copy, query) == answer

        await wait_until(is_reached, f"copy {copy} answers {query} with {answer}")

    async def wait_for_status(self, copy: int, dependency: Dependency, write_status: WriteStatus) -> None:
        await self.wait_for_reply(
            copy, ReplayQuery(dependencies=(dependency,)), QueryReply(write_statuses=(write_status,))
        )

    async def wait_for_readiness(self, copies: tuple[int, ...] = (0, 1, 2), ready: bool = True) -> None:
        async def is_reached() -> bool:
            status_reports = [await self.status(copy) for copy in copies]
            return all(report["shared"]["ready"] is ready for report in status_reports)

        await wait_until(is_reached, f"readiness of copies {copies} is {ready}")

    async def status(self, copy: int) -> Any:
        return json.loads((await self.tier.programs[copy].query("GET", "/api/outbox")).body)

    async def command(self, copy: int, target: str) -> tuple[int, Any]:
        message = await self.tier.programs[copy].query("POST", f"/api/outbox/{target}")
        return message.status, json.loads(message.body)

    @property
    def effect_count(self) -> int:
        return sum(sum(endpoint.by_id.values()) for endpoint in self.tier.effects)


@contextlib.asynccontextmanager
async def start_copies(
    folder: Path, unshared_copy: int | None = None, seats: int = 3
) -> AsyncIterator[CopyTier]:
    """`unshared_copy`: the number of a copy without a shared outbox."""
    secret = folder / "secret"
    secret.write_bytes(SECRET + b"\n")
    outbox = {
        "store_path": "{folder}/outbox", "edge": "copy-{process}", "secret_file": str(secret),
        "shared": True, "classes": QUEUED_CLASSES, "cut_ms": 60_000,
    }  # fmt: skip
    tables: dict[str, dict[str, Any]] = {
        "accord": {"store_path": "{folder}/accord", "heartbeat_ms": 100, "election_ms": 400, "seats": seats},
        "outbox": outbox,
    }
    process_tables = {} if unshared_copy is None else {unshared_copy: {"outbox": {**outbox, "shared": False}}}
    tier = ProcessTier(3, 1, tables, process_tables=process_tables, folder=folder / "tier")
    (folder / "tier").mkdir()
    async with tier:
        copy_tier = CopyTier(tier)
        await copy_tier.wait_for_readiness(tuple(copy for copy in range(3) if copy != unshared_copy))
        yield copy_tier


def test_an_applied_write_is_known_at_all_copies_and_after_all_are_restarted(tmp_path: Path) -> None:
    async def main() -> None:
        async with start_copies(tmp_path) as tier:
            assert await tier.replay(0) == (200, "")
            for copy in range(3):
                await tier.wait_for_status(copy, Dependency(*WRITE_ID), WriteStatus.APPLIED)
                assert await tier.replay(copy) == (200, "in")
            for copy in range(3):
                await tier.tier.kill(copy)
            for copy in range(3):
                await tier.tier.start(copy)
            await tier.wait_for_readiness()
            for copy in range(3):
                assert await tier.replay(copy) == (200, "in")
            assert tier.effect_count == 1

    run_limited(main())


def test_an_unsafe_write_whose_copy_was_killed_is_not_sent_by_another(tmp_path: Path) -> None:
    async def main() -> None:
        async with start_copies(tmp_path) as tier:
            tier.tier.hold_answers(0)
            first_replay = asyncio.create_task(tier.replay(0))

            async def has_run() -> bool:
                return tier.effect_count == 1

            await wait_until(has_run, "the first attempt took effect")
            await tier.tier.kill(0)
            with contextlib.suppress(asyncio.IncompleteReadError, OSError):
                assert await first_replay is None
            tier.tier.release_answers(0)
            await tier.wait_for_readiness((1, 2))
            for copy in (1, 2):
                assert await tier.replay(copy) == (502, "begun")
            await tier.tier.start(0)
            await tier.wait_for_readiness()
            assert await tier.replay(0) == (502, "begun")
            assert tier.effect_count == 1
            # An operator resolves the write as never run at its edge: then it runs once more.
            never_ran = StatusUpdate(
                WRITE_ID, WriteStatus.UNKNOWN, INCARNATION, withdraw_intent=True, parking=1
            )
            await tier.wait_for_reply(
                1, ReplayQuery(status_updates=(never_ran,)), QueryReply(agreements=(True,))
            )
            assert await tier.replay(1) == (200, "") and await tier.replay(1) == (200, "in")
            assert tier.effect_count == 2

    run_limited(main())


def test_a_partitioned_copy_admits_no_replay_and_answers_no_query(tmp_path: Path) -> None:
    async def main() -> None:
        async with start_copies(tmp_path) as tier:
            tier.tier.partition({0}, {1, 2})
            await tier.wait_for_readiness((0,), ready=False)
            assert await tier.replay_once(0) == (503, "")
            assert await tier.query(0, ReplayQuery(dependencies=(Dependency(*WRITE_ID),))) is None
            await tier.wait_for_readiness((1, 2))
            assert await tier.replay(1) == (200, "")
            tier.tier.heal_partition()
            await tier.wait_for_readiness()
            assert await tier.replay(0) == (200, "in") and tier.effect_count == 1

    run_limited(main())


def test_of_two_copies_of_a_disk_the_first_to_request_the_lease_replays(tmp_path: Path) -> None:
    async def main() -> None:
        async with start_copies(tmp_path) as tier:
            request, other_request = (
                LeaseRequest(EDGE_LOG, LATER_INCARNATION, (INCARNATION,)),
                LeaseRequest(EDGE_LOG, 9, (INCARNATION,)),
            )
            await tier.wait_for_reply(
                0, ReplayQuery(lease_requests=(request,)), QueryReply(lease_statuses=(LeaseStatus.HELD,))
            )
            await tier.wait_for_reply(
                1,
                ReplayQuery(lease_requests=(other_request,)),
                QueryReply(lease_statuses=(LeaseStatus.FENCED,)),
            )
            assert await tier.replay(1, incarnation=9) == (503, "fenced")
            assert await tier.replay(1, incarnation=LATER_INCARNATION) == (200, "") and tier.effect_count == 1
            forced_request = LeaseRequest(EDGE_LOG, 9, (INCARNATION,), is_forced=True)
            await tier.wait_for_reply(
                2,
                ReplayQuery(lease_requests=(forced_request,)),
                QueryReply(lease_statuses=(LeaseStatus.HELD,)),
            )
            assert await tier.replay(2, WriteId("edge-1", INCARNATION, 4), incarnation=9) == (200, "")

    run_limited(main())


def test_an_edge_that_an_operator_declares_lost_is_refused_everywhere(tmp_path: Path) -> None:
    async def main() -> None:
        async with start_copies(tmp_path) as tier:
            assert await tier.replay(0) == (200, "")
            await tier.wait_for_status(2, Dependency(*WRITE_ID), WriteStatus.APPLIED)
            assert (await tier.command(2, "lost?edge=edge-1"))[0] == 202
            other = WriteId("edge-1", INCARNATION, 4)
            for copy in range(3):
                await tier.wait_for_status(copy, Dependency(*other), WriteStatus.ABANDONED)
                assert await tier.replay(copy, other) == (503, "fenced")
            assert (await tier.command(2, "lost?edge=edge-1"))[0] == 200
            assert await tier.replay(1) == (200, "in")  # an applied write stays applied
            assert (await tier.status(1))["shared"]["lost_edges"] == 1
            for target, status in (
                ("lost?edge=", 400), ("lost?edge=Edge", 400), ("lost?incarnation=7", 400),
                ("lost?edge=a&incarnation=0000000000000000", 400), ("lost?edge=a&edge=b", 400),
                ("claim?line=copy-1", 400), ("claim?line=copy-1/0000000000000007", 404),
            ):  # fmt: skip
                assert (await tier.command(1, target))[0] == status, target
            lost_write = WriteId("edge-2", INCARNATION, 1)
            assert (await tier.command(1, f"lost?edge=edge-2&incarnation={INCARNATION:016x}"))[0] == 202
            await tier.wait_for_status(0, Dependency(*lost_write), WriteStatus.ABANDONED)
            assert await tier.replay(
                0, WriteId("edge-2", LATER_INCARNATION, 1), incarnation=LATER_INCARNATION
            ) == (200, "")

    run_limited(main())


def test_a_request_sent_straight_upstream_waits_for_the_write_in_its_token(tmp_path: Path) -> None:
    """The receiving copy queues the request and sends it once the write that it depends on is applied. The
    other copies receive its status.
    """

    async def main() -> None:
        async with start_copies(tmp_path) as tier:
            token = TOKENS.receipt(WRITE_ID)
            queued = await tier.write(2, "put", f"X-Causal-Token: {token}\r\n")
            assert queued.status == 202 and tier.effect_count == 0
            assert await tier.replay(0) == (200, "")
            assert (await tier.write(0, "put", f"X-Causal-Token: {token}\r\n")).status == 200

            async def is_done() -> bool:
                message = await tier.exchange(2, f"GET {queued.headers['location']}")
                return bool(json.loads(message.body)["state"] == "done")

            await wait_until(is_done, "the queued write is done")
            own_token = queued.headers["x-causal-token"]
            (dependency,) = TOKENS.read(own_token)
            await tier.wait_for_status(1, dependency, WriteStatus.APPLIED)
            assert (await tier.write(1, "put", f"X-Causal-Token: {own_token}\r\n")).status == 200
            assert tier.effect_count == 4

    run_limited(main())


def test_a_restarted_copy_sends_and_publishes_its_queued_writes(tmp_path: Path) -> None:
    """To do so it requests the lease on the log of its earlier incarnation."""

    async def main() -> None:
        async with start_copies(tmp_path) as tier:
            queued = await tier.write(2, "put", f"X-Causal-Token: {TOKENS.receipt(WRITE_ID)}\r\n")
            assert queued.status == 202
            await tier.tier.kill(2)
            assert await tier.replay(0) == (200, "")
            await tier.tier.start(2)
            (dependency,) = TOKENS.read(queued.headers["x-causal-token"])
            await tier.wait_for_status(1, dependency, WriteStatus.APPLIED)
            assert tier.effect_count == 2 and (await tier.status(2))["kept"] == 0

    run_limited(main())


def test_a_copy_without_a_shared_outbox_replicates_the_entries_of_others(tmp_path: Path) -> None:
    """That copy leads, as the only voter."""

    async def main() -> None:
        async with start_copies(tmp_path, unshared_copy=0, seats=1) as tier:
            assert await tier.replay(1) == (200, "")
            await tier.wait_for_status(2, Dependency(*WRITE_ID), WriteStatus.APPLIED)
            assert await tier.replay(2) == (200, "in") and tier.effect_count == 1
            message = await tier.exchange(0, f"GET /outbox/shared/{SEAL.seal_query(ReplayQuery())}")
            assert message.status == 400 and (await tier.command(0, "lost?edge=edge-1"))[0] == 400
            # After a restart of all copies, the one voter still stores what the other copies agreed on.
            for copy in range(3):
                await tier.tier.kill(copy)
            for copy in range(3):
                await tier.tier.start(copy)
            await tier.wait_for_readiness((1, 2))
            assert await tier.replay(1) == (200, "in")

    run_limited(main())


def test_a_query_is_a_get_without_a_body(tmp_path: Path) -> None:
    async def main() -> None:
        async with start_copies(tmp_path) as tier:
            path = f"/outbox/shared/{SEAL.seal_query(ReplayQuery())}"
            assert (await tier.exchange(0, f"GET {path}")).status == 200
            assert (await tier.exchange(0, f"POST {path}", "Content-Length: 0\r\n")).status == 405
            assert (await tier.exchange(0, f"GET {path}", "Content-Length: 1\r\n", b"x")).status == 400
            assert (await tier.exchange(0, f"GET {path}x")).status == 400
            assert (await tier.write(0, "pay", "X-Kept-Write: x\r\n")).status == 400
            twice = f"X-Kept-Write: {SEAL.seal_replay(ReplayIdentity(WRITE_ID, INCARNATION, True))}\r\n" * 2
            assert (await tier.write(0, "pay", twice)).status == 400
            assert tier.effect_count == 0

    run_limited(main())


def test_a_shared_outbox_is_refused_without_configured_peers(tmp_path: Path) -> None:
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
        environment = {
            "LB_CONFIG": str(tmp_path / "config.json"),
            "LB_OPERATOR": str(tmp_path / "operator.toml"),
        }
        process = await start_daemon({**os.environ, **environment})
        _, log = await process.communicate()
        assert process.returncode == 2 and log.count(b"\n") == 1, log
        assert b"peers, peer_listen: expected them where outbox.shared is on" in log

    run(main())


@pytest.mark.parametrize("table", ["", '[outbox]\nstore_path = "{folder}"\nedge = "a"\n'])
def test_the_shared_outbox_is_not_imported_where_it_is_off(tmp_path: Path, table: str) -> None:
    """Checks a plain daemon, and one whose outbox is not shared."""
    program = (
        "import sys, laurelstep.__main__, laurelstep.daemon, laurelstep.settings.operator\n"
        f"{'import laurelstep.outbox.driver, laurelstep.outbox.api' if table else ''}\n"
        "print(*[name for name in sys.modules if 'outbox.shared' in name])"
    )
    modules = subprocess.run(
        [sys.executable, "-c", program], check=True, capture_output=True, text=True
    ).stdout
    assert modules.split() == []
