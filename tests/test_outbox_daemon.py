"""Writes queued by a daemon, over loopback sockets, while its link fails and the daemon restarts.

The stand-in endpoints record which writes took effect, and in which order.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest
from laurelstep.__main__ import main as command
from laurelstep.testing import after, reset, sequence, serve, stall, whole_list
from laurelstep.testing.processes.files import fill_disk, free_disk

from tests.sockets import (
    SETTINGS,
    TEST_TIMEOUT_S,
    Endpoint,
    Handler,
    Message,
    Registry,
    Writer,
    free_port,
    read_message,
    run,
    start_daemon,
)

TABLE = """
[outbox]
store_path = "{store}"
edge = "studio-1"
cut_ms = 100
back_ms = 10
{more}
[[outbox.classes]]
name = "put"
keep = "keyed"
window_s = 86400
[[outbox.classes]]
name = "pay"
keep = "unsafe"
"""


class Edge:
    """One daemon with an outbox, and the endpoint behind its link."""

    def __init__(self, folder: Path, endpoint: Endpoint, registry: Registry, more: str = "") -> None:
        self.folder = folder
        self.endpoint = endpoint
        self.port, self.management = free_port(), free_port()
        raw = {
            "name": "n1", "listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{registry.port}",
            "seed": "8c1f", "management": f"127.0.0.1:{self.management}", "settings": SETTINGS,
            "limits": {"sockets": 1024}, "known": whole_list(endpoint.entry()),
        }  # fmt: skip
        (folder / "config.json").write_text(json.dumps(raw))
        (folder / "operator.toml").write_text(TABLE.format(store=folder / "store", more=more))
        self.process: asyncio.subprocess.Process | None = None
        self.asked = 0

    async def start(self) -> None:
        environ = {
            **os.environ, "LB_CONFIG": str(self.folder / "config.json"),
            "LB_OPERATOR": str(self.folder / "operator.toml"),
        }  # fmt: skip
        self.process = await start_daemon(environ)
        while self.process.returncode is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if (await self.exchange("GET /api/ready", port=self.management)).status == 200:
                    return
        raise AssertionError(await self.end())

    async def end(self, number: signal.Signals = signal.SIGKILL) -> str:
        """End the process with a signal, and return its log."""
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)
        _, log = await self.process.communicate()
        return log.decode()

    async def exchange(self, request: str, headers: str = "", body: bytes = b"", port: int = 0) -> Message:
        reader, writer = await asyncio.open_connection("127.0.0.1", port or self.port)
        writer.write(f"{request} HTTP/1.1\r\nHost: x\r\n{headers}\r\n".encode() + body)
        try:
            return await read_message(reader)
        finally:
            writer.close()

    async def write(
        self, cls: str, name: str, body: bytes = b"", headers: str = "", query: str = ""
    ) -> Message:
        key = f"Idempotency-Key: k-{name}\r\n" if cls == "put" else ""
        fields = f"X-Request-Id: {name}\r\nX-Class: {cls}\r\nContent-Length: {len(body)}\r\n{key}{headers}"
        return await self.exchange(f"POST /{cls}", fields, body)

    async def receipt(self, accepted: Message) -> Any:
        answer = await self.exchange(f"GET {accepted.headers['location']}")
        assert answer.status == 200, answer.body
        return json.loads(answer.body)

    async def until(self, accepted: Message, state: str) -> Any:
        while (receipt := await self.receipt(accepted))["state"] != state:
            await asyncio.sleep(0)
        return receipt

    async def manage(self, request: str) -> tuple[int, Any]:
        answer = await self.exchange(request, port=self.management)
        return answer.status, json.loads(answer.body)

    @property
    def ran(self) -> list[str]:
        """Request ids of the writes that took effect, in their order."""
        return list(self.endpoint.effects.by_id)


@contextlib.asynccontextmanager
async def edge(folder: Path, more: str = "", up: bool = False) -> AsyncIterator[Edge]:
    """A running daemon with an outbox. Its link is down at first, unless `up`."""
    endpoint, registry = Endpoint(), Registry()
    async with contextlib.AsyncExitStack() as stack, asyncio.timeout(TEST_TIMEOUT_S):
        listener = await registry.start()
        stack.callback(listener.close)
        await stack.enter_async_context(endpoint)
        daemon = Edge(folder, endpoint, registry, more)
        if not up:
            endpoint.stop()
        await daemon.start()
        try:
            yield daemon
        finally:
            if daemon.process is not None and daemon.process.returncode is None:
                await daemon.end()


def token(accepted: Message) -> str:
    assert accepted.status == 202, (accepted.status, accepted.body)
    return accepted.headers["x-causal-token"]


def test_queued_writes_are_replayed_once_in_order_after_a_kill(tmp_path: Path) -> None:
    async def main() -> None:
        async with edge(tmp_path) as daemon:
            album = await daemon.write("put", "album", b"wedding")
            photos = [
                await daemon.write(
                    "put", f"photo-{n}", bytes([n]) * 100_000, f"X-Follows: {token(album)}\r\n"
                )
                for n in range(3)
            ]
            tokens = ", ".join(map(token, photos))
            order = await daemon.write("pay", "order", b"print", f"X-Causal-Token: {tokens}\r\n")
            assert (await daemon.receipt(order))["state"] == "kept"
            await daemon.end()
            await daemon.start()
            assert (await daemon.receipt(order))["state"] == "kept"
            await daemon.endpoint.restart(0)
            done = await daemon.until(order, "done")
            assert (done["status"], done["body"]) == (200, "ok")
            assert daemon.ran[0] == "album" and daemon.ran[-1] == "order" and len(daemon.ran) == 5
            assert not daemon.endpoint.effects.executed_twice() and daemon.endpoint.effects.dropped_count == 0
            got = {message.headers["x-request-id"]: message.body for message in daemon.endpoint.requests}
            assert got["photo-2"] == b"\x02" * 100_000 and got["album"] == b"wedding"
            await daemon.end()
            await daemon.start()
            assert (await daemon.until(album, "done"))["status"] == 200
            assert len(daemon.ran) == 5

    run(main())


def test_a_write_whose_attempt_may_have_run_is_not_queued(tmp_path: Path) -> None:
    async def main() -> None:
        async with edge(tmp_path, up=True) as daemon:
            daemon.endpoint.handler = reset()
            assert (await daemon.write("pay", "order")).status == 502
            assert daemon.ran == ["order"]
            _, status = await daemon.manage("GET /api/outbox")
            assert status["kept"] == 0
            daemon.endpoint.stop()
            queued = await daemon.write("pay", "another")
            await daemon.endpoint.restart(0)
            daemon.endpoint.handler = serve()
            await daemon.until(queued, "done")
            assert daemon.ran == ["order", "another"] and not daemon.endpoint.effects.executed_twice()

    run(main())


def test_a_keyed_write_whose_answer_is_lost_is_replayed_again(tmp_path: Path) -> None:
    async def main() -> None:
        async with edge(tmp_path) as daemon:
            queued = await daemon.write("put", "photo")
            daemon.endpoint.handler = sequence(*[reset()] * 3, serve())
            await daemon.endpoint.restart(0)
            await daemon.until(queued, "done")
            assert daemon.ran == ["photo"] and daemon.endpoint.effects.dropped_count >= 1

    run(main())


def test_an_unsafe_write_in_flight_at_a_kill_is_parked_until_an_operator_resolves_it(tmp_path: Path) -> None:
    async def main() -> None:
        async with edge(tmp_path) as daemon:
            order = await daemon.write("pay", "order")
            mail = await daemon.write("put", "mail", b"", f"X-Follows: {token(order)}\r\n")
            album = await daemon.write("put", "album")
            daemon.endpoint.handler = by_id(order=stall())
            await daemon.endpoint.restart(0)
            while "order" not in daemon.ran:
                await asyncio.sleep(0)
            await daemon.end()
            daemon.endpoint.handler = serve()
            await daemon.start()
            parked = await daemon.until(order, "parked")
            assert (
                parked["verdicts"] == ["ran", "never_ran", "give_up"]
                and "answer was lost" in parked["reason"]
            )
            await daemon.until(album, "done")
            behind = await daemon.receipt(mail)
            assert (behind["state"], behind["behind"]) == ("parked", parked["write"])
            status, listed = await daemon.manage("GET /api/outbox")
            assert status == 200 and [write["write"] for write in listed["writes"]] == [parked["write"]]
            judge = f"POST /api/outbox/judge?write={parked['write']}&parking=1&verdict="
            assert (await daemon.manage(judge + "perhaps"))[0] == 400
            assert (await daemon.manage(judge.replace("parking=1", "parking=2") + "ran"))[0] == 409
            assert (await daemon.manage(judge + "ran"))[0] == 202
            await daemon.until(order, "done")
            assert (await daemon.manage(judge + "ran"))[0] == 200
            assert (await daemon.manage(judge + "give_up"))[0] == 409
            await daemon.until(mail, "done")
            assert daemon.ran == ["order", "album", "mail"] and not daemon.endpoint.effects.executed_twice()

    run(main())


def by_id(**scripts: Handler) -> Handler:
    """Handle the requests with the given ids by a script each; serve all others."""
    default = serve()

    async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        await scripts.get(message.headers["x-request-id"], default)(endpoint, message, writer)

    return handler


def test_a_live_write_does_not_overtake_queued_writes_of_its_session(tmp_path: Path) -> None:
    async def main() -> None:
        async with edge(tmp_path) as daemon:
            gate = asyncio.Event()
            session = "X-Session: anna\r\n"
            album = await daemon.write("put", "album", b"", session)
            daemon.endpoint.handler = by_id(album=after(gate, serve()))
            await daemon.endpoint.restart(0)
            await daemon.endpoint.arrived.acquire()  # its replay is in flight
            photo = await daemon.write("put", "photo", b"", session)
            about = await daemon.write("pay", "about", b"", f"X-Follows: {token(photo)}\r\n")
            other = await daemon.write("put", "other")
            assert (photo.status, about.status, other.status) == (202, 202, 200)
            gate.set()
            await daemon.until(about, "done")
            assert daemon.ran == ["other", "album", "photo", "about"]
            assert (await daemon.receipt(album))["state"] == "done"
            assert (await daemon.write("put", "last", b"", session)).status == 200

    run(main())


def test_a_repeat_gets_the_receipt_of_the_first_request(tmp_path: Path) -> None:
    async def main() -> None:
        async with edge(tmp_path) as daemon:
            first, repeat = await daemon.write("put", "photo", b"a"), await daemon.write("put", "photo", b"a")
            assert token(first) == token(repeat)
            assert (await daemon.write("put", "photo", b"b")).status == 422
            await daemon.end()
            await daemon.start()
            assert token(await daemon.write("put", "photo", b"a")) == token(first)
            await daemon.endpoint.restart(0)
            await daemon.until(first, "done")
            assert len(daemon.endpoint.requests) == 1

    run(main())


def test_forged_tokens_and_cycles_are_rejected_with_one_line(tmp_path: Path) -> None:
    async def main() -> None:
        async with edge(tmp_path) as daemon:
            queued = await daemon.write("put", "photo")
            forged = token(queued)[:-2] + "zz"
            for headers in (f"X-Follows: {forged}", "X-Causal-Token: none", f"X-Follows: {token(queued)}é"):
                answer = await daemon.write("put", "other", b"", headers + "\r\n")
                assert answer.status == 400 and answer.body.count(b"\n") == 1
            cycle = await daemon.write("put", "photo", b"", f"X-Follows: {token(queued)}\r\n")
            assert cycle.status == 400 and b"follow itself" in cycle.body
            assert (await daemon.exchange(f"GET /outbox/receipts/{forged}")).status == 400
            assert (await daemon.exchange("GET /outbox/receipts/")).status == 400
            assert (await daemon.exchange(f"POST {queued.headers['location']}")).status == 405
            _, status = await daemon.manage("GET /api/outbox")
            assert status["kept"] == 1

    run(main())


def test_a_write_over_a_bound_is_answered_as_without_an_outbox(tmp_path: Path) -> None:
    async def main() -> None:
        async with edge(tmp_path, "most = 2\nshare = 1.0\nbody_mb = 1\nmax_mb = 1") as daemon:
            assert (await daemon.write("put", "large", bytes((1 << 20) + 1))).status in (502, 503, 504)
            first = await daemon.write("put", "first")
            assert token(first)
            assert token(await daemon.write("put", "second"))
            third = await daemon.write("put", "third")
            assert third.status in (502, 503, 504) and "location" not in third.headers
            follows = await daemon.write("put", "fourth", b"", f"X-Follows: {token(first)}\r\n")
            assert follows.status == 503 and float(follows.headers["retry-after"]) > 0
            await daemon.endpoint.restart(0)
            await daemon.until(first, "done")
            assert "third" not in daemon.ran and "large" not in daemon.ran

    run(main())


def test_a_write_that_meets_a_full_disk_is_refused_and_never_runs(tmp_path: Path) -> None:
    async def main() -> None:
        async with edge(tmp_path) as daemon:
            before = await daemon.write("put", "before", bytes(100_000))
            assert daemon.process is not None
            fill_disk(daemon.process.pid)
            refused = await daemon.write("put", "large", bytes(300_000))
            assert refused.status in (502, 503, 504)
            free_disk(daemon.process.pid)
            await daemon.end()
            await daemon.start()
            await daemon.endpoint.restart(0)
            await daemon.until(before, "done")
            assert daemon.ran == ["before"]
            got = {message.headers["x-request-id"]: message.body for message in daemon.endpoint.requests}
            assert got["before"] == bytes(100_000)

    run(main())


# --- Settings ---------------------------------------------------------------------------------

DEPLOYMENT = """
[deployment]
listen = "127.0.0.1:1"
[[deployment.classes]]
name = "page"
effect = "safe"
aim_ms = 100
deadline_ms = 1000
[[deployment.classes]]
name = "put"
effect = "keyed"
aim_ms = 100
deadline_ms = 1000
window_ms = 5000
[[deployment.classes]]
name = "pay"
effect = "unsafe"
aim_ms = 100
deadline_ms = 1000
"""
ON = '[outbox]\nstore_path = "/s/outbox"\nedge = "a"\n'
SECRET = 'secret_file = "/s/secret"\n'
ACCORD = '[accord]\npeers = ["127.0.0.1:7946"]\n'
PUT = '[[outbox.classes]]\nname = "put"\nkeep = "keyed"\n'


@pytest.mark.parametrize(
    ("text", "line"),
    [
        (ON, "outbox: Object missing required field `classes`"),
        (ON + PUT.replace('"put"', '"get"'), "outbox.classes: get: expected one of pay, put"),
        (
            ON + PUT.replace('"put"', '"page"'),
            "outbox.classes: page: expected a class with effects, as pay, put",
        ),
        (ON + PUT.replace('"put"', '"pay"'), "outbox.classes: pay: keep: expected 'unsafe', as the class is"),
        (ON + PUT + "window_s = 0\n", "outbox.classes: put: window_s: expected above 0"),
        (
            ON + PUT + "window_s = 1\n",
            "outbox.classes: put: window_s: expected above the class's deadline",
        ),
        (ON + PUT + PUT, "outbox.classes: expected each name once"),
        (ON.replace('"a"', '"A"') + PUT, "outbox.edge: Expected `str` matching regex"),
        (ON + PUT.replace("keyed", "always"), "outbox.classes[0].keep: expected one of keyed, unsafe"),
        (
            ON + PUT + '[orders]\nstore_path = "/s"\n[[orders.classes]]\nname = "pay"\nheader = "x-o"\n',
            "outbox.store_path: expected a folder outside that of orders.store_path, '/s'",
        ),
        (
            ON + PUT + '[orders]\nstore_path = "/o"\n[[orders.classes]]\nname = "put"\nheader = "x-o"\n',
            "outbox.classes: put: expected a class that [orders] does not record",
        ),
        (ON + PUT + "[workers]\nprocesses = 2\n", "workers: expected no [outbox]"),
        (ON + SECRET + 'upstream = "copy"\n' + PUT, "outbox.upstream: expected one of servers, copies"),
        (ON + 'upstream = "copies"\n' + PUT, "outbox.secret_file: expected the file of the edges'"),
        (ON + SECRET + "shared = true\n" + PUT, "outbox.shared: expected the table [accord]"),
        (
            ON + SECRET + "shared = true\n" + PUT + ACCORD,
            "accord.store_path: expected a folder where outbox.shared is on",
        ),
        (
            ON + "shared = true\n" + PUT + ACCORD + 'store_path = "/a"\n',
            "outbox.secret_file: expected the file of the edges' and copies' common secret, as outbox.shared",
        ),
        (
            ON + SECRET + 'shared = true\nupstream = "copies"\n' + PUT + ACCORD + 'store_path = "/a"\n',
            "outbox.shared: expected false where outbox.upstream is 'copies'",
        ),
    ],
)
def test_invalid_settings_give_one_line_with_file_key_and_expected_value(
    tmp_path: Path, capfd: pytest.CaptureFixture[str], text: str, line: str
) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(DEPLOYMENT + text)
    assert command(["check", str(path)]) == 2
    error = capfd.readouterr().err
    assert error.count("\n") == 1 and f"{path}: {line}" in error
    path.write_text(DEPLOYMENT + ON + PUT)
    assert command(["check", str(path)]) == 0


def test_a_daemon_with_invalid_settings_exits_with_that_line(tmp_path: Path) -> None:
    async def main() -> None:
        store = tmp_path / "file"
        store.write_text("")
        for text, line in (
            (PUT.replace('"put"', '"page"'), "outbox.classes: page: expected a class with effects"),
            (PUT, f"outbox.store_path: {store}: "),
        ):
            path = tmp_path / "operator.toml"
            path.write_text(DEPLOYMENT + ON.replace("/s/outbox", str(store)) + text)
            process = await start_daemon({**os.environ, "LB_OPERATOR": str(path), "LB_CONFIG": ""})
            _, log = await process.communicate()
            assert process.returncode == 2, log
            assert log.decode().count("\n") == 1 and f"{path}: {line}" in log.decode()

    run(main())


def test_no_outbox_module_is_imported_without_an_outbox() -> None:
    program = "import sys, laurelstep.__main__; print(*[name for name in sys.modules if 'outbox' in name])"
    output = subprocess.run(
        [sys.executable, "-c", program], check=True, capture_output=True, text=True
    ).stdout
    assert output.split() == []


def test_on_a_flapping_link_each_write_is_queued_or_served_and_none_runs_twice(tmp_path: Path) -> None:
    async def main() -> None:
        async with edge(tmp_path, up=True) as daemon:
            queued, served = [], []
            for n in range(12):
                if n % 3 == 0:
                    daemon.endpoint.stop()
                elif n % 3 == 2:
                    await daemon.endpoint.restart(0)
                answer = await daemon.write("pay", f"order-{n}", b"x", "X-Session: anna\r\n")
                if answer.status == 202:
                    queued.append(answer)
                elif answer.status == 200:
                    served.append(n)
            for accepted in queued:
                await daemon.until(accepted, "done")
            assert (
                queued
                and len(daemon.ran) >= len(queued) + len(served)
                and not daemon.endpoint.effects.executed_twice()
            )
            order = [int(name.removeprefix("order-")) for name in daemon.ran]
            assert order == sorted(order)

    run(main())
