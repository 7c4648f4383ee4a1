"""Maintenance in daemon processes: starts with and without waiting for the replicated state, and a hot
restart while a machine is out of service. `test_maintenance_processes` has tiers of several processes."""

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
from tests.upgrades import Deployment, Version

OPERATOR = "[accord]\nheartbeat_ms = 20\nelection_ms = 60\n[upkeep]\n"


def make_site(folder: Path, *endpoints: Endpoint, copies: int = 1, extra: str = "") -> Deployment:
    """The site of copy 0 of a tier; the other copies are configured but do not run."""
    operator = folder / "operator.toml"
    operator.write_text(OPERATOR + extra)
    peers = [f"127.0.0.1:{free_port()}" for _ in range(copies)]
    site = Deployment(folder, *endpoints, peers=peers, peer_listen=peers[0])
    site.changes["known"] = {"generation": 1, "reset": True, "instances": []}
    return site


async def start_version(site: Deployment) -> Version:
    """Start a version that is configured with the endpoints' present addresses."""
    path = Path(site.environ["LB_CONFIG"])
    config = json.loads(path.read_text())
    entries = [endpoint.entry(f"s-{n}") for n, endpoint in enumerate(site.endpoints)]
    config["known"] = whole_list(*entries)
    path.write_text(json.dumps(config))
    return await site.start(LB_OPERATOR=str(site.folder / "operator.toml"))


async def call(version: Version, request_line: str = "GET /api/upkeep") -> tuple[int, Any]:
    reader, writer = await asyncio.open_connection("127.0.0.1", version.management_port)
    writer.write(f"{request_line} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    try:
        message = await read_message(reader)
    finally:
        writer.close()
    return message.status, json.loads(message.body)


async def wait_for_states(version: Version, **expected: str) -> None:
    """Wait until the machines are in these states; `s_0` is the machine s-0."""
    expected_states = {machine_id.replace("_", "-"): state for machine_id, state in expected.items()}
    while True:
        _, status = await call(version)
        if {machine["id"]: machine["state"] for machine in status["machines"]} == expected_states:
            return
        await asyncio.sleep(0)


async def wait_until_answering(version: Version) -> None:
    """Wait until the management address answers."""
    while True:
        try:
            await call(version)
            return
        except (OSError, asyncio.IncompleteReadError):
            assert version.process.returncode is None
            await asyncio.sleep(0)


def test_a_machine_stays_out_of_service_across_a_hot_restart(tmp_path: Path) -> None:
    async def main() -> None:
        first, second = Endpoint(), Endpoint()
        async with make_site(tmp_path, first, second) as site:
            predecessor = await start_version(site)
            await predecessor.wait_ready()
            assert (await call(predecessor, "POST /api/upkeep/wish?name=disk&id=nobody"))[0] == 400
            assert (await call(predecessor, "POST /api/upkeep/wish?name=disk&id=s-0"))[0] == 202
            await wait_for_states(predecessor, s_0="clear")
            assert (await call(predecessor, "POST /api/upkeep/begin?machine=s-0"))[0] == 202
            await wait_for_states(predecessor, s_0="at work")
            successor = await start_version(site)
            await successor.wait_ready()
            await predecessor.stop()
            count_before = first.request_count
            for n in range(20):
                assert (await site.send(request(rid=f"r{n}"))).status == 200
            assert first.request_count == count_before and second.request_count >= 20
            await wait_for_states(successor, s_0="at work")
            assert (await call(successor, "POST /api/upkeep/done?machine=s-0"))[0] == 202
            while first.request_count == count_before:
                assert (await site.send(request())).status == 200
            log_output = await successor.stop()
            assert log_output == b"", log_output

    run(main())


def test_a_start_without_the_state_waits_and_can_be_stopped(tmp_path: Path) -> None:
    async def main() -> None:
        async with make_site(tmp_path, Endpoint(), copies=3) as site, asyncio.timeout(TEST_TIMEOUT_S):
            version = await start_version(site)
            await wait_until_answering(version)
            status, body = await call(version)
            assert status == 200 and not body["known"] and not body["in_touch"]
            assert await version.call("GET /api/ready") == 503
            assert (await call(version, "POST /api/upkeep/withdraw?name=disk"))[0] == 400
            assert (await call(version, "POST /api/upkeep/wish?name=disk&id=s-0"))[0] in (400, 503)
            with pytest.raises(ConnectionError):
                await asyncio.open_connection("127.0.0.1", site.port)
            assert await version.stop() == b""

    run(main())


@pytest.mark.parametrize("keeps_serving", [True, False])
def test_a_waiting_successor_ends_only_if_its_predecessor_rejects_it(
    tmp_path: Path, keeps_serving: bool
) -> None:
    """If the predecessor rejects the successor and goes on serving, the successor ends with one log line; if
    the predecessor ends, the successor keeps waiting for the state.
    """

    async def main() -> None:
        loop = asyncio.get_running_loop()
        async with make_site(tmp_path, Endpoint(), copies=3) as site, asyncio.timeout(TEST_TIMEOUT_S):
            rendezvous = RendezvousPoint(("127.0.0.1", site.port), str(tmp_path))
            rendezvous.register()
            with socket.create_server(("127.0.0.1", site.port)) as listener:
                predecessor = HotRestartServer(
                    loop, rendezvous, listener, lambda on_collected: on_collected({}), lambda: None, print
                )
                version = await start_version(site)
                await wait_until_answering(version)
                if keeps_serving:
                    for connection in list(predecessor.connections):
                        connection.reject()
                    _, log_output = await version.process.communicate()
                    assert version.process.returncode == 2 and log_output.count(b"\n") == 1
                    assert b"the previous version continues to serve" in log_output
                predecessor.close()
            if not keeps_serving:
                assert await version.call("GET /api/ready") == 503
                assert await version.stop() == b""

    run(main())


def test_a_start_with_start_alone_serves_without_the_state(tmp_path: Path) -> None:
    async def main() -> None:
        endpoint = Endpoint()
        extra = 'start_alone = "serve"\nlearn_ms = 50\n'
        async with (
            make_site(tmp_path, endpoint, copies=3, extra=extra) as site,
            asyncio.timeout(TEST_TIMEOUT_S),
        ):
            version = await start_version(site)
            await version.wait_ready()
            assert (await site.send(request())).status == 200
            assert (await call(version))[1]["serving_alone"]
            version.process.send_signal(signal.SIGTERM)
            _, log_output = await version.process.communicate()
            assert version.process.returncode == 0 and log_output.count(b"\n") == 1
            assert b"a machine reported as clear may still get requests" in log_output

    run(main())
