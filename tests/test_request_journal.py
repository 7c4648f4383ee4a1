"""The request journal: across restarts and kills, no request runs twice and no answer contradicts another."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import random
import signal
import sys
from pathlib import Path
from typing import Any

import pytest
from laurelstep.engine import Answer, Call, Ending
from laurelstep.library import ConfigError, Request
from laurelstep.request_journal import JournalClass
from laurelstep.request_journal.journal import RequestJournal
from laurelstep.request_journal.records import (
    IntentRecord,
    ResponseRecord,
    answer_from_record,
    idempotency_key,
    request_digest,
)
from laurelstep.settings import read_file
from laurelstep.settings.operator import read_operator
from laurelstep.store import FolderDisk
from laurelstep.store.disk import Disk
from laurelstep.testing import (
    Caller,
    Effects,
    Endpoint,
    after,
    refuse,
    request,
    reset,
    sequence,
    serve,
    stall,
    whole_list,
)

from tests.journals import (
    FROM_RECORD,
    MAY_HAVE_RUN,
    ORDER_CLASS,
    SERVED,
    client_with_journal,
    client_with_store,
    pay_request,
    summary,
)
from tests.sockets import free_port
from tests.test_library import is_idle, member
from tests.test_settings import platform_json, write_file


def run(test: Any) -> None:
    asyncio.run(test)


# --- Without I/O -------------------------------------------------------------------------


class NoClient:
    def on_answer(self, call: Call, answer: Answer) -> None:
        """Ignore the answer."""


def call(body: bytes = b"sum") -> Call:
    return Call(2, 0, b"POST /pay", b"", body, NoClient())


def test_a_record_yields_its_answer_unchanged() -> None:
    digest = request_digest(call())
    answer = Answer(Ending.SERVED, 200, ((b"content-type", b"text/plain"),), b"line\nline\0")
    recorded = answer_from_record(ResponseRecord(digest, answer).encode(), digest)
    assert (recorded.ending, recorded.status, recorded.body) == (answer.ending, 200, answer.body)
    assert recorded.headers == (*answer.headers, (b"x-from-record", b"1"))
    unknown = answer_from_record(IntentRecord(digest).encode(), digest)
    assert (unknown.ending, unknown.status, unknown.headers) == (
        Ending.FAILED,
        502,
        ((b"x-may-have-run", b"1"),),
    )
    assert answer_from_record(IntentRecord(digest).encode(), request_digest(call(b"other"))).status == 422
    for damaged in (b"", b"Z" * 40, b"I", ResponseRecord(digest, answer).encode()[:20]):
        with pytest.raises(ValueError, match=r".*"):
            answer_from_record(damaged, digest)


@pytest.mark.parametrize(
    ("journal_class", "header", "body", "expected"),
    [
        (ORDER_CLASS, b" o-1 ", b"", b"o-1"),
        (ORDER_CLASS, b"", b'{"order": "o-1"}', None),
        (ORDER_CLASS, b"x" * 257, b"", None),
        (JournalClass(body_field="order"), b"o-1", b'{"order": "o-2"}', b"o-2"),
        (JournalClass(body_field="order"), b"", b'{"order": 17}', b"17"),
        (JournalClass(body_field="order"), b"", '{"order": "\u00fc"}'.encode(), "\u00fc".encode()),
        (JournalClass(body_field="order"), b"", b'{"order": true}', None),
        (JournalClass(body_field="order"), b"", b'{"order": {}}', None),
        (JournalClass(body_field="order"), b"", b"[1]", None),
        (JournalClass(body_field="order"), b"", b"\xff", None),
        (JournalClass(body_field="order"), b"", b"[" * 100_000, None),
    ],
)
def test_the_idempotency_key_is_read_from_the_header_or_the_body(
    journal_class: JournalClass, header: bytes, body: bytes, expected: bytes | None
) -> None:
    assert idempotency_key(journal_class, header, body) == expected


# --- Within one process ------------------------------------------------------------------


def test_a_repeat_gets_the_recorded_answer(tmp_path: Path) -> None:
    async def main() -> None:
        async with Endpoint(sequence(serve(b"first"), serve(b"second"))) as endpoint:
            async with client_with_journal(tmp_path, endpoint) as client:
                assert summary(await client.send(pay_request())) == SERVED
                repeat = await client.send(pay_request())
                assert summary(repeat) == FROM_RECORD and repeat.body == b"first" and repeat.attempts == 0
                assert (await client.send(pay_request(body=b"other sum"))).status == 422
                assert summary(await client.send(pay_request("o-2"))) == SERVED
                without_key = Request("pay", "/pay", "POST", body=b"sum")
                assert [summary(await client.send(without_key)) for _ in range(2)] == [SERVED, SERVED]
                assert is_idle(client)
            assert len(endpoint.requests) == 4, "requests without a key are not journaled"

    run(main())


def test_concurrent_requests_with_one_key_run_once(tmp_path: Path) -> None:
    async def main() -> None:
        gate = asyncio.Event()
        async with (
            Endpoint(after(gate, serve(b"one"))) as endpoint,
            client_with_journal(tmp_path, endpoint) as client,
        ):
            tasks = [asyncio.create_task(client.send(pay_request())) for _ in range(5)]
            other = asyncio.create_task(client.send(pay_request(body=b"other")))
            await endpoint.arrived.acquire()
            gate.set()
            replies = await asyncio.gather(*tasks)
            assert {reply.body for reply in replies} == {b"one"} and (await other).status == 422
            assert len(endpoint.requests) == 1 and is_idle(client)

    run(main())


def test_a_refused_request_may_be_repeated(tmp_path: Path) -> None:
    async def main() -> None:
        async with Endpoint(refuse()) as endpoint, client_with_journal(tmp_path, endpoint) as client:
            assert (await client.send(pay_request())).outcome is Ending.REFUSED
            endpoint.handler = serve(b"now")
            client.members([member(endpoint, "n-1")])
            assert summary(await client.send(pay_request())) == SERVED and endpoint.effects.by_id.total() == 1

    run(main())


def test_a_failed_request_is_not_sent_again(tmp_path: Path) -> None:
    async def main() -> None:
        async with (
            Endpoint(sequence(reset(), serve())) as endpoint,
            client_with_journal(tmp_path, endpoint) as client,
        ):
            first, second = await client.send(pay_request()), await client.send(pay_request())
            assert (first.outcome, second.outcome) == (Ending.FAILED, Ending.FAILED)
            assert len(endpoint.requests) == 1

    run(main())


def test_a_request_whose_client_left_may_have_run(tmp_path: Path) -> None:
    async def main() -> None:
        async with Endpoint(stall()) as endpoint, client_with_journal(tmp_path, endpoint) as client:
            first = asyncio.create_task(client.send(pay_request()))
            await endpoint.arrived.acquire()
            follower = asyncio.create_task(client.send(pay_request()))
            await asyncio.sleep(0)
            first.cancel()
            assert summary(await follower) == MAY_HAVE_RUN
            assert summary(await client.send(pay_request())) == MAY_HAVE_RUN
            assert len(endpoint.requests) == 1 and is_idle(client)

    run(main())


def test_a_follower_takes_over_if_the_client_left_before_sending(tmp_path: Path) -> None:
    async def main() -> None:
        async with Endpoint() as endpoint, client_with_journal(tmp_path, endpoint) as client:
            first = asyncio.create_task(client.send(pay_request()))
            follower = asyncio.create_task(client.send(pay_request()))
            await asyncio.sleep(0)
            first.cancel()  # while its intent is being written
            assert summary(await follower) == SERVED
            alone = asyncio.create_task(client.send(pay_request("o-2")))
            await asyncio.sleep(0)
            alone.cancel()
            assert summary(await client.send(pay_request("o-2"))) == SERVED
            assert len(endpoint.requests) == 2 and is_idle(client)

    run(main())


# --- The store fails -----------------------------------------------------------------------


@pytest.mark.parametrize("unavailable", ["fail", "pass"])
def test_a_request_that_can_not_be_recorded_fails_or_passes(tmp_path: Path, unavailable: str) -> None:
    async def main() -> None:
        from laurelstep.testing.disk import SimulatedDisk

        disk = SimulatedDisk()
        async with Endpoint() as endpoint, contextlib.AsyncExitStack() as stack:
            client, _ = await client_with_store(disk, endpoint, unavailable, tmp_path, stack)
            disk.fail("sync", OSError(errno.EIO, "Input/output error"))
            reply = await client.send(pay_request())
            if unavailable == "pass":
                assert summary(reply) == SERVED and len(endpoint.requests) == 1
            else:
                assert summary(reply) == MAY_HAVE_RUN and not endpoint.requests, (
                    "fails at once with nothing sent"
                )
            assert (await client.send(Request("page", "/page"))).outcome is Ending.SERVED

    run(main())


def test_an_answer_that_can_not_be_recorded_is_not_served(tmp_path: Path) -> None:
    async def main() -> None:
        from laurelstep.testing.disk import SimulatedDisk

        disk = SimulatedDisk()
        gate = asyncio.Event()
        async with Endpoint(after(gate, serve())) as endpoint, contextlib.AsyncExitStack() as stack:
            client, _ = await client_with_store(disk, endpoint, "fail", tmp_path, stack)
            pending = asyncio.create_task(client.send(pay_request()))
            await endpoint.arrived.acquire()
            disk.fail("sync", OSError(errno.EIO, "Input/output error"))
            gate.set()
            assert summary(await pending) == MAY_HAVE_RUN, "as a later process would answer"

    run(main())


def test_a_slow_store_does_not_delay_an_answer_past_its_deadline(tmp_path: Path) -> None:
    async def main() -> None:
        async with Endpoint() as endpoint, client_with_journal(tmp_path, endpoint) as client:
            recorder = client.engine.recorder
            assert isinstance(recorder, RequestJournal)
            put, released = recorder.store.put, asyncio.Event()

            async def slow(key: bytes, value: bytes, ttl_ms: int = 0) -> None:
                await released.wait()
                await put(key, value, ttl_ms)

            vars(recorder.store)["put"] = slow
            reply = await client.send(pay_request(deadline_s=0.05))
            assert (reply.outcome, reply.status) == (Ending.FAILED, 504) and not endpoint.requests
            released.set()
            del vars(recorder.store)["put"]
            assert summary(await client.send(pay_request())) == SERVED, (
                "its intent was deleted, as nothing was sent"
            )

    run(main())


# --- Restarts ------------------------------------------------------------------------------


def test_after_a_restart_repeats_get_recorded_answers_or_may_have_run(tmp_path: Path) -> None:
    async def main() -> None:
        effects = Effects()
        script = sequence(serve(b"album"), stall())
        async with Endpoint(script, effects=effects) as endpoint:
            async with client_with_journal(tmp_path, endpoint) as client:
                assert summary(await client.send(pay_request("known"))) == SERVED
                unanswered = asyncio.create_task(client.send(pay_request("lost")))
                await endpoint.arrived.acquire()
                await endpoint.arrived.acquire()
                unanswered.cancel()
            endpoint.handler = serve(b"never")
            for _ in range(2):
                async with client_with_journal(tmp_path, endpoint) as client:
                    reply = await client.send(pay_request("known"))
                    assert summary(reply) == FROM_RECORD and reply.body == b"album"
                    assert summary(await client.send(pay_request("lost"))) == MAY_HAVE_RUN
                    repeats = [client.send(pay_request("lost")), client.send(pay_request("known"))]
                    assert [summary(reply) for reply in await asyncio.gather(*repeats)] == [
                        MAY_HAVE_RUN,
                        FROM_RECORD,
                    ]
            assert len(endpoint.requests) == 2 and not effects.executed_twice()

    run(main())


def test_a_folder_serves_one_client_at_a_time(tmp_path: Path) -> None:
    async def main() -> None:
        async with Endpoint() as endpoint, client_with_journal(tmp_path, endpoint):
            with pytest.raises(ConfigError, match="another process has this store open"):
                async with client_with_journal(tmp_path, endpoint):
                    pass

    run(main())


OPERATOR = """
[orders]
store_path = "{folder}"
[[orders.classes]]
name = "pay"
header = "X-Order-Id"
"""


class World:
    """A daemon that is killed and restarted while clients send orders and repeat them."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.folder = folder
        self.seed = seed  # part of each order's key: worlds must not share keys
        self.rng = random.Random(seed)
        self.effects = Effects()
        self.runs: dict[str, int] = {}  # by order: how often it ran
        self.statuses: dict[str, set[int]] = {}  # by order: the statuses answered
        self.port = free_port()
        self.is_stopping = False
        self.request_count = 0
        self.withheld: asyncio.Event | None = None  # set once a handler has run without answering

    async def handler(self, endpoint: Endpoint, message: Any, writer: Any) -> None:
        order = message.headers.get("x-order-id") or message.body.decode()
        self.runs[order] = self.runs.get(order, 0) + 1
        if self.withheld is not None and self.rng.random() < 0.3:
            self.withheld.set()  # the order has run, and the daemon is killed without its answer
            return
        await serve(order.encode())(endpoint, message, writer)

    async def client(self, name: str) -> None:
        """Send one order after another until the world stops."""
        caller = Caller("127.0.0.1", self.port)
        number = 0
        while not self.is_stopping:
            number += 1
            await self.order(caller, f"{name}-{number}")
        caller.close()

    async def order(self, caller: Caller, order: str) -> None:
        """Send an order and repeat it until it has a final answer, across restarts of the daemon."""
        while True:
            self.request_count += 1
            headers = f"X-Order-Id: {order}\r\n"
            raw = request("pay", order.encode(), headers, rid=f"r{self.request_count}", deadline_ms=2000)
            try:
                reply = await caller.send(raw)
            except (OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.002)
                continue
            self.statuses.setdefault(order, set()).add(reply.status)
            if reply.status == 200:
                assert reply.body == order.encode()
            if reply.status != 503:
                return

    async def start(self, environ: dict[str, str]) -> asyncio.subprocess.Process:
        process = await asyncio.create_subprocess_exec(sys.executable, "-m", "laurelstep", env=environ)
        while process.returncode is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                async with Caller("127.0.0.1", self.port) as caller:
                    if (await caller.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")).status == 200:
                        return process
            await asyncio.sleep(0.005)
        raise AssertionError(f"the daemon exited with {process.returncode}")

    async def run(self, kills: int) -> None:
        async with (
            Endpoint(self.handler, records_requests=False) as first,
            Endpoint(self.handler, records_requests=False) as second,
        ):
            entries = [first.entry("s-0"), second.entry("s-1")]
            text = platform_json(listen=f"127.0.0.1:{self.port}", known=whole_list(*entries))
            operator = OPERATOR.format(folder=self.folder / "store")
            environ = {
                **os.environ,
                "LB_CONFIG": write_file(self.folder, text, "config.json"),
                "LB_OPERATOR": write_file(self.folder, operator),
            }
            process = await self.start(environ)
            clients = [asyncio.create_task(self.client(f"{self.seed}-c{n}")) for n in range(4)]
            for _ in range(kills):
                await self.until_kill()
                process.send_signal(signal.SIGKILL)
                await process.wait()
                process = await self.start(environ)
            self.is_stopping = True
            await asyncio.gather(*clients)
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
            await self.check(environ)

    async def until_kill(self) -> None:
        """Wait until more orders have run; half the time until one has run without an answer."""
        target = sum(self.runs.values()) + self.rng.randint(1, 12)
        while sum(self.runs.values()) < target:
            await asyncio.sleep(0)
        if self.rng.random() < 0.5:
            self.withheld = asyncio.Event()
            await self.withheld.wait()
            self.withheld = None

    async def check(self, environ: dict[str, str]) -> None:
        """Repeat all orders to one more daemon: its answers must not contradict earlier ones."""
        process = await self.start(environ)
        async with Caller("127.0.0.1", self.port) as caller:
            for order, statuses in self.statuses.items():
                before = set(statuses)
                await self.order(caller, order)
                if 200 in before:
                    assert statuses == before, f"still answered as served: {order}, runs {self.runs[order]}"
        process.send_signal(signal.SIGKILL)
        await process.wait()


def test_no_request_runs_twice_if_the_daemon_is_killed_at_any_moment(tmp_path: Path) -> None:
    """200 kills in four concurrent worlds."""

    async def main() -> None:
        worlds = []
        for seed in range(4):
            (tmp_path / str(seed)).mkdir()
            worlds.append(World(tmp_path / str(seed), seed))
        async with asyncio.timeout(150):
            await asyncio.gather(*(world.run(kills=50) for world in worlds))
        for world in worlds:
            assert len(world.runs) > 100 and set(world.runs.values()) == {1}, "no order runs twice"
            answered = [status for statuses in world.statuses.values() for status in statuses]
            assert 200 in answered and set(answered) <= {200, 502, 503, 504}

    run(main())


# --- Settings ------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("[orders]", "orders: Object missing required field `store_path`"),
        (OPERATOR + 'body_field = "x"', "pay: expected one of header and body_field"),
        (OPERATOR.replace('header = "X-Order-Id"', ""), "pay: expected one of header and body_field"),
        (OPERATOR.replace("[[", "unavailable = 'wait'\n[[", 1), "expected one of fail, pass, got 'wait'"),
        (OPERATOR + OPERATOR.partition("\n[[")[2].replace("orders", "[[orders", 1), "each name once"),
    ],
)
def test_invalid_settings_are_reported_on_one_line(tmp_path: Path, text: str, expected: str) -> None:
    with pytest.raises(ConfigError) as caught:
        read_operator(write_file(tmp_path, text.replace("{folder}", str(tmp_path))))
    assert expected in str(caught.value) and "\n" not in str(caught.value)


def test_only_classes_with_effects_are_recorded(tmp_path: Path) -> None:
    text = (Path(__file__).parent.parent / "deploy" / "kiosk.toml").read_text()
    text += OPERATOR.format(folder=tmp_path)
    with pytest.raises(ConfigError, match=r"orders\.classes: pay: expected one of print-order, upload"):
        read_file(write_file(tmp_path, text))
    config = read_file(write_file(tmp_path, text.replace('"pay"', '"print-order"')))
    assert config.orders is not None and config.names.order_headers == {2: b"x-order-id"}


def test_a_folder_disk_satisfies_the_disk_protocol(tmp_path: Path) -> None:
    disk: Disk = FolderDisk(tmp_path)
    disk.lock()
    disk.close()
