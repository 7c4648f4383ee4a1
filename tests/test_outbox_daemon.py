"""Writes kept by the daemon over loopback sockets: its link goes down and comes back, it is killed and
started again, and the stand-ins beyond it count what took effect, in which order."""

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
from laurelstep.testing import after, in_turn, reset, serve, stall, whole_list
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
        """Its log."""
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)
        _, told = await self.process.communicate()
        return told.decode()

    async def exchange(self, words: str, headers: str = "", body: bytes = b"", port: int = 0) -> Message:
        reader, writer = await asyncio.open_connection("127.0.0.1", port or self.port)
        writer.write(f"{words} HTTP/1.1\r\nHost: x\r\n{headers}\r\n".encode() + body)
        try:
            return await read_message(reader)
        finally:
            writer.close()

    async def write(
        self, cls: str, name: str, body: bytes = b"", headers: str = "", query: str = ""
    ) -> Message:
        key = f"Idempotency-Key: k-{name}\r\n" if cls == "put" else ""
        told = f"X-Request-Id: {name}\r\nX-Class: {cls}\r\nContent-Length: {len(body)}\r\n{key}{headers}"
        return await self.exchange(f"POST /{cls}", told, body)

    async def receipt(self, kept: Message) -> Any:
        told = await self.exchange(f"GET {kept.headers['location']}")
        assert told.status == 200, told.body
        return json.loads(told.body)

    async def until(self, kept: Message, state: str) -> Any:
        while (found := await self.receipt(kept))["state"] != state:
            await asyncio.sleep(0)
        return found

    async def manage(self, words: str) -> tuple[int, Any]:
        told = await self.exchange(words, port=self.management)
        return told.status, json.loads(told.body)

    @property
    def ran(self) -> list[str]:
        """What took effect, in its order."""
        return list(self.endpoint.effects.by_id)


@contextlib.asynccontextmanager
async def edge(folder: Path, more: str = "", up: bool = False) -> AsyncIterator[Edge]:
    """Its link is down at first."""
    endpoint, registry = Endpoint(), Registry()
    async with contextlib.AsyncExitStack() as stack, asyncio.timeout(TEST_TIMEOUT_S):
        listener = await registry.start()
        stack.callback(listener.close)
        await stack.enter_async_context(endpoint)
        found = Edge(folder, endpoint, registry, more)
        if not up:
            endpoint.stop()
        await found.start()
        try:
            yield found
        finally:
            if found.process is not None and found.process.returncode is None:
                await found.end()


def token(kept: Message) -> str:
    assert kept.status == 202, (kept.status, kept.body)
    return kept.headers["x-causal-token"]


def test_what_was_kept_is_replayed_once_in_order_after_a_kill(tmp_path: Path) -> None:
    async def main() -> None:
        async with edge(tmp_path) as one:
            album = await one.write("put", "album", b"wedding")
            photos = [
                await one.write("put", f"photo-{n}", bytes([n]) * 100_000, f"X-Follows: {token(album)}\r\n")
                for n in range(3)
            ]
            named = ", ".join(map(token, photos))
            order = await one.write("pay", "order", b"print", f"X-Causal-Token: {named}\r\n")
            assert (await one.receipt(order))["state"] == "kept"
            await one.end()
            await one.start()
            assert (await one.receipt(order))["state"] == "kept"
            await one.endpoint.restart(0)
            done = await one.until(order, "done")
            assert (done["status"], done["body"]) == (200, "ok")
            assert one.ran[0] == "album" and one.ran[-1] == "order" and len(one.ran) == 5
            assert not one.endpoint.effects.twice() and one.endpoint.effects.dropped == 0
            got = {message.headers["x-request-id"]: message.body for message in one.endpoint.got}
            assert got["photo-2"] == b"\x02" * 100_000 and got["album"] == b"wedding"
            await one.end()
            await one.start()
            assert (await one.until(album, "done"))["status"] == 200
            assert len(one.ran) == 5

    run(main())


def test_an_attempt_that_may_have_run_is_never_kept(tmp_path: Path) -> None:
    async def main() -> None:
        async with edge(tmp_path, up=True) as one:
            one.endpoint.handler = reset()
            assert (await one.write("pay", "order")).status == 502
            assert one.ran == ["order"]
            _, told = await one.manage("GET /api/outbox")
            assert told["kept"] == 0
            one.endpoint.stop()
            kept = await one.write("pay", "another")
            await one.endpoint.restart(0)
            one.endpoint.handler = serve()
            await one.until(kept, "done")
            assert one.ran == ["order", "another"] and not one.endpoint.effects.twice()

    run(main())


def test_a_reply_that_is_lost_after_the_effect_of_a_keyed_write(tmp_path: Path) -> None:
    async def main() -> None:
        async with edge(tmp_path) as one:
            kept = await one.write("put", "photo")
            one.endpoint.handler = in_turn(*[reset()] * 3, serve())
            await one.endpoint.restart(0)
            await one.until(kept, "done")
            assert one.ran == ["photo"] and one.endpoint.effects.dropped >= 1

    run(main())


def test_an_unsafe_write_out_at_a_kill_is_parked_until_an_operator_knows(tmp_path: Path) -> None:
    async def main() -> None:
        async with edge(tmp_path) as one:
            order = await one.write("pay", "order")
            mail = await one.write("put", "mail", b"", f"X-Follows: {token(order)}\r\n")
            album = await one.write("put", "album")
            one.endpoint.handler = by_id(order=stall())
            await one.endpoint.restart(0)
            while "order" not in one.ran:
                await asyncio.sleep(0)
            await one.end()
            one.endpoint.handler = serve()
            await one.start()
            parked = await one.until(order, "parked")
            assert (
                parked["verdicts"] == ["ran", "never_ran", "give_up"]
                and "answer was lost" in parked["reason"]
            )
            await one.until(album, "done")
            behind = await one.receipt(mail)
            assert (behind["state"], behind["behind"]) == ("parked", parked["write"])
            status, told = await one.manage("GET /api/outbox")
            assert status == 200 and [each["write"] for each in told["writes"]] == [parked["write"]]
            judge = f"POST /api/outbox/judge?write={parked['write']}&parking=1&verdict="
            assert (await one.manage(judge + "perhaps"))[0] == 400
            assert (await one.manage(judge.replace("parking=1", "parking=2") + "ran"))[0] == 409
            assert (await one.manage(judge + "ran"))[0] == 202
            await one.until(order, "done")
            assert (await one.manage(judge + "ran"))[0] == 200
            assert (await one.manage(judge + "give_up"))[0] == 409
            await one.until(mail, "done")
            assert one.ran == ["order", "album", "mail"] and not one.endpoint.effects.twice()

    run(main())


def by_id(**scripts: Handler) -> Handler:
    """A script for some of the requests; the others are served."""
    other = serve()

    async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        await scripts.get(message.headers["x-request-id"], other)(endpoint, message, writer)

    return handler


def test_a_live_write_of_a_session_does_not_overtake_what_is_kept_of_it(tmp_path: Path) -> None:
    async def main() -> None:
        async with edge(tmp_path) as one:
            gate = asyncio.Event()
            session = "X-Session: anna\r\n"
            album = await one.write("put", "album", b"", session)
            one.endpoint.handler = by_id(album=after(gate, serve()))
            await one.endpoint.restart(0)
            await one.endpoint.arrived.acquire()  # it is on its way
            photo = await one.write("put", "photo", b"", session)
            about = await one.write("pay", "about", b"", f"X-Follows: {token(photo)}\r\n")
            other = await one.write("put", "other")
            assert (photo.status, about.status, other.status) == (202, 202, 200)
            gate.set()
            await one.until(about, "done")
            assert one.ran == ["other", "album", "photo", "about"]
            assert (await one.receipt(album))["state"] == "done"
            assert (await one.write("put", "last", b"", session)).status == 200

    run(main())


def test_a_repeat_gets_the_receipt_of_the_first_try(tmp_path: Path) -> None:
    async def main() -> None:
        async with edge(tmp_path) as one:
            first, again = await one.write("put", "photo", b"a"), await one.write("put", "photo", b"a")
            assert token(first) == token(again)
            assert (await one.write("put", "photo", b"b")).status == 422
            await one.end()
            await one.start()
            assert token(await one.write("put", "photo", b"a")) == token(first)
            await one.endpoint.restart(0)
            await one.until(first, "done")
            assert len(one.endpoint.got) == 1

    run(main())


def test_what_a_client_makes_up_is_refused_in_one_line(tmp_path: Path) -> None:
    async def main() -> None:
        async with edge(tmp_path) as one:
            kept = await one.write("put", "photo")
            forged = token(kept)[:-2] + "zz"
            for headers in (f"X-Follows: {forged}", "X-Causal-Token: none", f"X-Follows: {token(kept)}é"):
                found = await one.write("put", "other", b"", headers + "\r\n")
                assert found.status == 400 and found.body.count(b"\n") == 1
            circle = await one.write("put", "photo", b"", f"X-Follows: {token(kept)}\r\n")
            assert circle.status == 400 and b"follow itself" in circle.body
            assert (await one.exchange(f"GET /outbox/receipts/{forged}")).status == 400
            assert (await one.exchange("GET /outbox/receipts/")).status == 400
            assert (await one.exchange(f"POST {kept.headers['location']}")).status == 405
            _, told = await one.manage("GET /api/outbox")
            assert told["kept"] == 1

    run(main())


def test_what_the_bounds_do_not_let_in_gets_the_answer_that_it_would_have_had(tmp_path: Path) -> None:
    async def main() -> None:
        async with edge(tmp_path, "most = 2\nshare = 1.0\nbody_mb = 1\nmax_mb = 1") as one:
            assert (await one.write("put", "large", bytes((1 << 20) + 1))).status in (502, 503, 504)
            first = await one.write("put", "first")
            assert token(first)
            assert token(await one.write("put", "second"))
            third = await one.write("put", "third")
            assert third.status in (502, 503, 504) and "location" not in third.headers
            follows = await one.write("put", "fourth", b"", f"X-Follows: {token(first)}\r\n")
            assert follows.status == 503 and float(follows.headers["retry-after"]) > 0
            await one.endpoint.restart(0)
            await one.until(first, "done")
            assert "third" not in one.ran and "large" not in one.ran

    run(main())


def test_a_full_disk_keeps_nothing_and_says_so(tmp_path: Path) -> None:
    async def main() -> None:
        async with edge(tmp_path) as one:
            before = await one.write("put", "before", bytes(100_000))
            assert one.process is not None
            fill_disk(one.process.pid)
            refused = await one.write("put", "large", bytes(300_000))
            assert refused.status in (502, 503, 504)
            free_disk(one.process.pid)
            await one.end()
            await one.start()
            await one.endpoint.restart(0)
            await one.until(before, "done")
            assert one.ran == ["before"]
            got = {message.headers["x-request-id"]: message.body for message in one.endpoint.got}
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
def test_bad_input_is_one_line_with_file_key_and_remedy(
    tmp_path: Path, capfd: pytest.CaptureFixture[str], text: str, line: str
) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(DEPLOYMENT + text)
    assert command(["check", str(path)]) == 2
    told = capfd.readouterr().err
    assert told.count("\n") == 1 and f"{path}: {line}" in told
    path.write_text(DEPLOYMENT + ON + PUT)
    assert command(["check", str(path)]) == 0


def test_a_start_with_bad_input_ends_with_the_same_line(tmp_path: Path) -> None:
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
            _, told = await process.communicate()
            assert process.returncode == 2, told
            assert told.decode().count("\n") == 1 and f"{path}: {line}" in told.decode()

    run(main())


def test_nothing_of_it_is_imported_where_it_is_off() -> None:
    words = "import sys, laurelstep.__main__; print(*[name for name in sys.modules if 'outbox' in name])"
    told = subprocess.run([sys.executable, "-c", words], check=True, capture_output=True, text=True).stdout
    assert told.split() == []


def test_each_flap_of_the_link_keeps_or_serves_and_nothing_runs_twice(tmp_path: Path) -> None:
    async def main() -> None:
        async with edge(tmp_path, up=True) as one:
            kept, served = [], []
            for n in range(12):
                if n % 3 == 0:
                    one.endpoint.stop()
                elif n % 3 == 2:
                    await one.endpoint.restart(0)
                found = await one.write("pay", f"order-{n}", b"x", "X-Session: anna\r\n")
                if found.status == 202:
                    kept.append(found)
                elif found.status == 200:
                    served.append(n)
            for each in kept:
                await one.until(each, "done")
            assert kept and len(one.ran) >= len(kept) + len(served) and not one.endpoint.effects.twice()
            order = [int(name.removeprefix("order-")) for name in one.ran]
            assert order == sorted(order)

    run(main())
