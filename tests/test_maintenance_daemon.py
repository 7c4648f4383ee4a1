"""Maintenance in real processes: a start that waits, one that does not, and a version that follows another
while a machine is out. A tier of several processes under faults is the rig's."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
from pathlib import Path
from typing import Any

import pytest
from laurelstep.hot_restart.predecessor import HotRestartServer
from laurelstep.hot_restart.rendezvous import RendezvousPoint
from laurelstep.testing import whole_list

from tests.sockets import TEST_TIMEOUT_S, Endpoint, free_port, read_message, request, run
from tests.upgrades import Site, Version

OPERATOR = "[accord]\nheartbeat_ms = 20\nelection_ms = 60\n[upkeep]\n"


def site(folder: Path, *endpoints: Endpoint, copies: int = 1, more: str = "") -> Site:
    """Copy 0 of a tier; the others are only named."""
    operator = folder / "operator.toml"
    operator.write_text(OPERATOR + more)
    peers = [f"127.0.0.1:{free_port()}" for _ in range(copies)]
    one = Site(folder, *endpoints, peers=peers, peer_listen=peers[0])
    one.changes["known"] = {"generation": 1, "reset": True, "instances": []}
    return one


async def start(one: Site) -> Version:
    """With the list of the endpoints as they are by now."""
    path = Path(one.environ["LB_CONFIG"])
    raw = json.loads(path.read_text())
    entries = [endpoint.entry(f"s-{n}") for n, endpoint in enumerate(one.endpoints)]
    raw["known"] = whole_list(*entries)
    path.write_text(json.dumps(raw))
    return await one.start(LB_OPERATOR=str(one.folder / "operator.toml"))


async def told(version: Version, words: str = "GET /api/upkeep") -> tuple[int, Any]:
    reader, writer = await asyncio.open_connection("127.0.0.1", version.management)
    writer.write(f"{words} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    try:
        message = await read_message(reader)
    finally:
        writer.close()
    return message.status, json.loads(message.body)


async def until(version: Version, **expected: str) -> None:
    """Until the machines are in these states; `s_0` is the machine s-0."""
    wanted = {id.replace("_", "-"): state for id, state in expected.items()}
    while True:
        _, found = await told(version)
        if {one["id"]: one["state"] for one in found["machines"]} == wanted:
            return
        await asyncio.sleep(0)


async def answers(version: Version) -> None:
    """Until its second address does."""
    while True:
        try:
            await told(version)
            return
        except (OSError, asyncio.IncompleteReadError):
            assert version.process.returncode is None
            await asyncio.sleep(0)


def test_a_machine_that_is_out_stays_out_in_the_version_that_follows(tmp_path: Path) -> None:
    async def main() -> None:
        first, second = Endpoint(), Endpoint()
        async with site(tmp_path, first, second) as one:
            old = await start(one)
            await old.until_ready()
            assert (await told(old, "POST /api/upkeep/wish?name=disk&id=nobody"))[0] == 400
            assert (await told(old, "POST /api/upkeep/wish?name=disk&id=s-0"))[0] == 202
            await until(old, s_0="clear")
            assert (await told(old, "POST /api/upkeep/begin?machine=s-0"))[0] == 202
            await until(old, s_0="at work")
            new = await start(one)
            await new.until_ready()
            await old.stop()
            before = first.request_count
            for n in range(20):
                assert (await one.ask(request(rid=f"r{n}"))).status == 200
            assert first.request_count == before and second.request_count >= 20
            await until(new, s_0="at work")
            assert (await told(new, "POST /api/upkeep/done?machine=s-0"))[0] == 202
            while first.request_count == before:
                assert (await one.ask(request())).status == 200
            errors = await new.stop()
            assert errors == b"", errors

    run(main())


def test_a_start_waits_until_the_record_is_known_and_may_be_stopped(tmp_path: Path) -> None:
    async def main() -> None:
        async with site(tmp_path, Endpoint(), copies=3) as one, asyncio.timeout(TEST_TIMEOUT_S):
            version = await start(one)
            await answers(version)
            status, found = await told(version)
            assert status == 200 and not found["known"] and not found["in_touch"]
            assert await version.call("GET /api/ready") == 503
            assert (await told(version, "POST /api/upkeep/withdraw?name=disk"))[0] == 400
            assert (await told(version, "POST /api/upkeep/wish?name=disk&id=s-0"))[0] in (400, 503)
            with pytest.raises(ConnectionError):
                await asyncio.open_connection("127.0.0.1", one.port)
            assert await version.stop() == b""

    run(main())


@pytest.mark.parametrize("lives", [True, False])
def test_a_version_that_waits_for_the_record_is_given_up_by_the_one_before(
    tmp_path: Path, lives: bool
) -> None:
    """If that one serves on, this one ends with one line; if it has ended, this one waits on."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        async with site(tmp_path, Endpoint(), copies=3) as one, asyncio.timeout(TEST_TIMEOUT_S):
            rendezvous = RendezvousPoint(("127.0.0.1", one.port), str(tmp_path))
            rendezvous.register()
            with socket.create_server(("127.0.0.1", one.port)) as listener:
                before = HotRestartServer(
                    loop, rendezvous, listener, lambda give: give({}), lambda: None, print
                )
                version = await start(one)
                await answers(version)
                if lives:
                    for connection in list(before.connections):
                        connection.reject()
                    _, errors = await version.process.communicate()
                    assert version.process.returncode == 2 and errors.count(b"\n") == 1
                    assert b"the previous version continues to serve" in errors
                before.close()
            if not lives:
                assert await version.call("GET /api/ready") == 503
                assert await version.stop() == b""

    run(main())


def test_a_start_may_go_on_without_the_record(tmp_path: Path) -> None:
    async def main() -> None:
        endpoint = Endpoint()
        more = 'start_alone = "serve"\nlearn_ms = 50\n'
        async with site(tmp_path, endpoint, copies=3, more=more) as one, asyncio.timeout(TEST_TIMEOUT_S):
            version = await start(one)
            await version.until_ready()
            assert (await one.ask(request())).status == 200
            assert (await told(version))[1]["serving_alone"]
            version.process.send_signal(signal.SIGTERM)
            _, errors = await version.process.communicate()
            assert version.process.returncode == 0 and errors.count(b"\n") == 1
            assert b"a machine reported as clear may still get requests" in errors

    run(main())
